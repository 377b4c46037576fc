/* Sockets on loopback for tests.  */

#ifndef BB_TESTS_SOCKETS_H
#define BB_TESTS_SOCKETS_H

#include "core/core.h"
#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Each test program uses loopback addresses and ports of its own, so that no
   other program binds a port that was chosen and is not bound yet.  Outgoing
   connections use 127.0.0.1 and ephemeral ports.  The soak uses 127.10 to
   127.12 and ports from 12000 on, demo/lib.sh uses 127.20 to 127.219.  */
enum
{
  SOCKET_ADDRESSES = 0x7f010000, /* 127.1.0.0/16 */
  SOCKET_ADDRESSES_EACH = 4,
  SOCKET_PORTS = 2000,
  SOCKET_PORTS_EACH = 100,
  SOCKET_PROGRAMS = 100 /* running at the same time */
};

static struct
{
  int fd; /* keeps the addresses and ports reserved while it is open */
  uint32_t address;   /* first of the reserved addresses */
  uint16_t port, end; /* next port to hand out, and end of the range */
} socket_own;

/* Returns the local endpoint of FD.  */
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

/* Returns a non-blocking socket of TYPE at PORT of ADDRESS, or -1 if that port
   is in use.  */
static inline int
socket_bind (uint32_t address, uint16_t port, int type)
{
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (address),
                            .sin_port = htons (port) };
  int fd = socket (AF_INET, type | SOCK_NONBLOCK, 0);
  ck_assert_int_ge (fd, 0);
  if (bind (fd, (struct sockaddr *)&in, sizeof in) == 0)
    return fd;
  ck_assert_int_eq (errno, EADDRINUSE);
  close (fd);
  return -1;
}

/* Returns a non-blocking socket of TYPE at a free port of ADDRESS.  */
static inline int
socket_open (uint32_t address, int type)
{
  int fd = socket_bind (address, 0, type);
  ck_assert_int_ge (fd, 0);
  return fd;
}

/* Reserves addresses and ports for this program and the processes that it
   forks.  To be used as an unchecked fixture: check runs it in the process
   that waits for the forks, so that the kernel frees the reservation only
   after all sockets of the tests are closed.  No other program can bind the
   endpoint of the reservation, since the socket does not allow reuse.  */
static inline void
socket_reserve (void)
{
  int fd = -1;
  for (unsigned i = 0; fd < 0; i++)
    {
      ck_assert_uint_lt (i, SOCKET_PROGRAMS);
      socket_own.address = SOCKET_ADDRESSES + i * SOCKET_ADDRESSES_EACH;
      socket_own.port = (uint16_t)(SOCKET_PORTS + i * SOCKET_PORTS_EACH);
      socket_own.end = socket_own.port + SOCKET_PORTS_EACH;
      fd = socket_bind (socket_own.address, socket_own.port++, SOCK_DGRAM);
    }
  socket_own.fd = fd;
}

static inline void
socket_release (void)
{
  close (socket_own.fd);
  socket_own.address = 0;
}

/* Returns an endpoint that stays free until this program binds it: ADDRESS is
   one of its own, and no port is chosen twice.  */
static inline struct bb_endpoint
socket_free_endpoint (uint32_t address, int type)
{
  int fd;
  ck_assert_uint_ne (socket_own.address, 0);
  ck_assert_uint_lt (address - socket_own.address, SOCKET_ADDRESSES_EACH);
  /* Skips ports that a service of the machine has bound at all addresses.  */
  do
    ck_assert_uint_lt (socket_own.port, socket_own.end);
  while ((fd = socket_bind (address, socket_own.port++, type)) < 0);
  close (fd);
  return (struct bb_endpoint){ address, socket_own.port - 1 };
}

/* Other users that may bind a port between its choice and the bind by the code
   under test.  */
enum
{
  SOCKET_OUTGOING_CONNECTION,
  SOCKET_OTHER_PROGRAM,
  SOCKET_TAKERS
};

/* Connects to ADDRESS from PORT of the address that the kernel assigns to
   outgoing connections.  */
static inline void
socket_take_outgoing (uint32_t address, uint16_t port)
{
  int listener = socket_open (address, SOCK_STREAM);
  struct bb_endpoint to = socket_endpoint (listener);
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (to.address),
                            .sin_port = htons (to.port) };
  ck_assert_int_eq (listen (listener, 1), 0);
  int datagram = socket (AF_INET, SOCK_DGRAM, 0);
  ck_assert_int_eq (connect (datagram, (struct sockaddr *)&in, sizeof in), 0);
  uint32_t source = socket_endpoint (datagram).address;
  close (datagram);
  /* If another program has bound the port, it is in use all the same.  */
  (void)socket_bind (source, port, SOCK_DGRAM);
  int fd = socket_bind (source, port, SOCK_STREAM);
  if (fd >= 0 && connect (fd, (struct sockaddr *)&in, sizeof in) != 0)
    ck_assert_int_eq (errno, EINPROGRESS);
}

/* Binds the ports of ENDPOINTS, as the kind of user TAKER does, until the test
   ends.  */
static inline void
socket_take (int taker, const struct bb_endpoint *endpoints, size_t count)
{
  int done[2], end[2];
  char byte = 0;
  if (taker == SOCKET_OUTGOING_CONNECTION)
    {
      for (size_t i = 0; i < count; i++)
        socket_take_outgoing (endpoints[i].address, endpoints[i].port);
      return;
    }
  ck_assert_int_eq (pipe (done), 0);
  ck_assert_int_eq (pipe (end), 0);
  if (fork () == 0)
    {
      close (done[0]);
      close (end[1]);
      socket_reserve ();
      for (size_t i = 0; i < count; i++)
        if (socket_bind (socket_own.address, endpoints[i].port, SOCK_DGRAM) < 0
            || socket_bind (socket_own.address, endpoints[i].port, SOCK_STREAM)
                   < 0)
          _exit (EXIT_FAILURE);
      if (write (done[1], &byte, 1) == 1)
        (void)!read (end[0], &byte, 1);
      _exit (EXIT_SUCCESS);
    }
  close (done[1]);
  close (end[0]);
  ck_assert_int_eq (read (done[0], &byte, 1), 1);
  close (done[0]);
}

/* Checks that the ports of ENDPOINTS are not ephemeral: the kernel may give an
   ephemeral port to an unbound UDP socket, which then holds it at all
   addresses.  */
static inline void
socket_check_ports (const struct bb_endpoint *endpoints, size_t count)
{
  unsigned first = 0;
  FILE *file = fopen ("/proc/sys/net/ipv4/ip_local_port_range", "r");
  ck_assert_ptr_nonnull (file);
  ck_assert_int_eq (fscanf (file, "%u", &first), 1);
  fclose (file);
  for (size_t i = 0; i < count; i++)
    ck_assert_uint_lt (endpoints[i].port, first);
}
#endif
