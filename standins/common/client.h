/* The client side of TCP: one flow from an inner address to a service
   address.  */

#ifndef BB_STANDINS_COMMON_CLIENT_H
#define BB_STANDINS_COMMON_CLIENT_H

#include "standins/common.h"

enum bb_client_state
{
  BB_CLIENT_ENDED,
  BB_CLIENT_OPENING,
  BB_CLIENT_OPEN,
  BB_CLIENT_CLOSING
};

struct bb_client
{
  struct bb_endpoint inner;
  struct bb_endpoint service;
  enum bb_client_state state;
  uint32_t acknowledged; /* first octet that the server has not
                            acknowledged */
  uint32_t sent;         /* next octet to send */
  uint32_t received;     /* next octet expected */
  GByteArray *in;        /* octets received and not yet handled */
  uint8_t request[BB_STANDIN_REQUEST_SIZE];
  int resends;
  bb_usec resend_at; /* 0: nothing to resend */
};

/* Called on events of a flow.  The callbacks may call the functions below.  */
struct bb_client_callbacks
{
  void (*on_established) (struct bb_client *c);
  void (*on_received) (struct bb_client *c); /* octets were added to IN */
  void (*on_refused) (struct bb_client *c);  /* a reset answered the SYN */
  void (*on_reset) (struct bb_client *c);
  void (*on_gave_up) (struct bb_client *c);
  void (*on_closed) (struct bb_client *c);
  void (*on_resent) (struct bb_client *c);
};

/* Socket, destination and callbacks of all flows of the process.  */
struct bb_client_net
{
  int fd;
  struct bb_endpoint ingress;
  const struct bb_client_callbacks *callbacks;
};

void bb_client_open (const struct bb_client_net *net, struct bb_client *c);
void bb_client_send_request (const struct bb_client_net *net,
                             struct bb_client *c, uint64_t id,
                             uint32_t length);
void bb_client_close (const struct bb_client_net *net, struct bb_client *c);
void bb_client_handle_segment (const struct bb_client_net *net,
                               struct bb_client *c,
                               const struct bb_segment *s);
/* Acknowledges a FIN of a flow that has ended on this side.  */
void bb_client_acknowledge_fin (const struct bb_client_net *net,
                                const struct bb_segment *s);
void bb_client_tick (const struct bb_client_net *net, struct bb_client *c,
                     bb_usec now);
#endif
