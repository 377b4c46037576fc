/* Sockets on loopback for tests.  */

#ifndef BB_TESTS_SOCKETS_H
#define BB_TESTS_SOCKETS_H

#include "core/core.h"
#include <arpa/inet.h>
#include <check.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* The local endpoint of FD.  */
static inline struct bb_endpoint
socket_endpoint (int fd)
{
  struct sockaddr_in in;
  socklen_t size = sizeof in;
  memset (&in, 0, sizeof in);
  ck_assert_int_eq (getsockname (fd, (struct sockaddr *)&in, &size), 0);
  return (struct bb_endpoint){ ntohl (in.sin_addr.s_addr),
                               ntohs (in.sin_port) };
}

/* A non-blocking socket of TYPE at a free port of ADDRESS.  */
static inline int
socket_open (uint32_t address, int type)
{
  struct sockaddr_in in
      = { .sin_family = AF_INET, .sin_addr.s_addr = htonl (address) };
  int fd = socket (AF_INET, type | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (bind (fd, (struct sockaddr *)&in, sizeof in), 0);
  return fd;
}

/* An endpoint that is free now; the system does not hand its port out again
   soon.  */
static inline struct bb_endpoint
socket_free_endpoint (uint32_t address, int type)
{
  int fd = socket_open (address, type);
  struct bb_endpoint endpoint = socket_endpoint (fd);
  close (fd);
  return endpoint;
}
#endif
