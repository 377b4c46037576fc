/* What the parts of the stand-ins share.  */

#ifndef REVIEW3_PRIVATE_H
#define REVIEW3_PRIVATE_H

#include "review/standin-3/world.h"
#include <netinet/in.h>
#include <poll.h>
#include <stddef.h>

enum
{
  CLIENTS_MAX = 16,
  STORE_CALLS_MAX = 64,
  /* Retransmissions of both ends: after 200 ms, doubled up to 1.6 s.  */
  FIRST_WAIT_MS = 200,
  WAIT_MAX_MS = 1600
};

/* Ports, the same on all addresses.  */
extern uint16_t ready_port, peer_port, metrics_port, store_port, server_port;
extern char directory[128]; /* for settings and logs */

/* packets.c */
struct packet
{
  uint32_t source, destination, sequence, acknowledgement, echo;
  uint16_t sport, dport, length;
  uint8_t flags;
};

/* The keyed sum of the LENGTH bytes P: over all fields but sum, echo, pad, and
   the data.  Never 0.  */
uint32_t sum_of (const uint8_t *p, size_t length);
size_t encode (uint8_t *b, const struct packet *p, const void *data);
struct packet decode (const uint8_t *b);
void store32 (uint8_t *p, uint32_t v);
struct sockaddr_in socket_address (uint32_t address, uint16_t port);
/* Returns a bound socket that does not block, -1 if there is none.  */
int open_socket (int type, uint32_t address, uint16_t port);
void send_datagram (int fd, uint32_t address, uint16_t port,
                    const uint8_t *bytes, size_t length);
/* Valid until the fourth call after this one.  */
const char *text_of (uint32_t address);

/* Each part adds its descriptors to P and returns their number, and handles
   what has come for it.  */
void store_start (void);
nfds_t store_add_fds (struct pollfd *p);
void store_turn (void);
void balancers_turn (void);
void balancers_end (void);
nfds_t servers_add_fds (struct pollfd *p);
void servers_turn (void);
void clients_start (void);
nfds_t clients_add_fds (struct pollfd *p);
void clients_turn (void);
#endif
