/* Loopback traffic for bench/forward.c: a load generator, a sink that counts
   datagrams, and the plain relay that the data path is compared with.  Each
   runs in its own thread until SHOULD_STOP is set.  */

#ifndef BB_BENCH_COMMON_TRAFFIC_H
#define BB_BENCH_COMMON_TRAFFIC_H

#include "core/core.h"
#include <netinet/in.h>

enum
{
  TRAFFIC_BATCH = 64, /* datagrams per system call */
  TRAFFIC_FLOWS = 1024,
  TRAFFIC_PAYLOAD = 16,  /* bytes of TCP payload */
  TRAFFIC_WAIT_MS = 100, /* timeout of a receive call */
};

/* Returns a UDP socket on a free port of the loopback interface and stores its
   address in ADDRESS.  Exits on failure.  */
int traffic_open_socket (struct sockaddr_in *address);

struct traffic_generator
{
  int fd;
  struct bb_endpoint service;
  /* May be changed while IS_IDLE is true.  */
  struct sockaddr_in to;
  _Atomic uint64_t packets;
  _Atomic bool is_running;
  _Atomic bool is_idle;
  _Atomic bool should_stop;
};
void *traffic_run_generator (void *generator);

struct traffic_sink
{
  int fd;
  _Atomic uint64_t packets;
  _Atomic bool should_stop;
};
void *traffic_run_sink (void *sink);

/* Forwards each datagram unchanged from FD to TO.  */
struct traffic_relay
{
  int fd;
  struct sockaddr_in to;
  _Atomic bool should_stop;
};
void *traffic_run_relay (void *relay);
#endif
