/* A small deployment on loopback for the cases of the review: the platform's
   store, the routers, servers and clients are played by this program, and the
   balancers are child processes, started by the command of deploy/system.toml.
   It follows PROTOCOL.md.  A case chooses a script with its name.  */

#ifndef FLEET_H
#define FLEET_H

#include <poll.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

enum
{
  BALANCERS_MAX = 4,
  SERVERS_MAX = 32,
  ATTEMPTS_MAX = 20000,
  ROUTE_PORT = 443,
  HEADER = 36,
  DATA_MAX = 1200,
  /* Bounds of the site file, in milliseconds.  */
  CONFIG_MS = 3000,
  STABILITY_MS = 4000,
  HISTORY_MS = 20000,
};

struct packet
{
  uint32_t src, dst, seq, ack, echo;
  uint16_t sport, dport, len;
  uint8_t flags;
};

enum
{
  FIN = 2,
  RST = 8,
  SYN = 16,
  ACK = 32,
};

enum result
{
  PENDING,
  ANSWERED,
  RESET, /* by an RST that no server sent */
  RESET_BY_SERVER,
  NO_ANSWER, /* until the time limit of the client */
};

/* One request of a client, on a flow of its own or on a long one.  */
struct attempt
{
  unsigned id, route;
  int64_t sent;
  enum result result;
  int64_t ended;
  int server; /* that ran it last, -1: none */
  unsigned runs;
  char said[64]; /* service named in the answer */
};

extern int64_t now; /* milliseconds since the start */
extern bool trouble;
extern unsigned balancer_count;
extern uint32_t base; /* network of this run, 127.A.B.0 */

/* Ports of this run, the same on all machines.  */
extern struct ports
{
  uint16_t packets, ready, peer, metrics, store, server;
} ports;

uint32_t address (unsigned host);
const char *text_of (uint32_t address, char text[16]);
void record (const char *format, ...) __attribute__ ((format (printf, 1, 2)));
void broken (const char *rule, const char *format, ...)
    __attribute__ ((format (printf, 2, 3)));
void cannot_run (const char *why) __attribute__ ((noreturn));

/* net.c: packets, servers, clients.  */
/* Adds a server that runs SLOTS requests at once, each for WORK_MS; further
   ones wait in its queue.  */
void server_add (const char *service, unsigned slots, unsigned work_ms);
/* Sets how many flows a server holds; it sends nothing to further ones.  */
void server_set_limit (unsigned server, unsigned flows_max);
const char *server_service (int server);
unsigned server_count (void);
void net_start (void);
unsigned net_fds (struct pollfd *fds);
void net_readable (int fd);
void net_tick (void);
/* Sends one request on a new flow; with LONG_FLOW the flow stays open and is
   returned as an index for client_request.  */
unsigned client_open (unsigned route, bool long_flow);
void client_request (unsigned flow);
void client_close (unsigned flow);
bool client_flow_is_opening (unsigned flow);
/* Whether the system reset FLOW after it had opened.  */
bool client_flow_was_reset (unsigned flow);
/* Sets the time limit of the clients for requests to ROUTE.  */
void client_set_limit (unsigned route, int64_t limit);
bool client_flow_is_open (unsigned flow);
extern struct attempt attempts[ATTEMPTS_MAX];
extern unsigned attempt_count;
const char *result_name (enum result r);

/* store.c */
extern bool store_cut; /* no balancer reaches the store */
void store_start (void);
unsigned store_fds (struct pollfd *fds);
void store_event (int fd, short revents);
void store_tick (void);
void store_put (const char *key, const char *value);

/* balancers.c */
void balancers_start (const char *root, const char *folder);
void balancers_tick (void);
void balancers_stop (void);
/* Returns the balancer that the routers choose for HASH.  */
unsigned balancer_choose (uint32_t hash);
uint32_t balancer_address (unsigned b);

/* cases.c */
struct scenario
{
  const char *name;
  unsigned balancers;
  int64_t length;
  void (*prepare) (void);
  void (*step) (void);
  void (*judge) (void);
};
const struct scenario *scenario_find (const char *name);
#endif
