/* The TCP of a caller: one flow to a service address.  */

#ifndef BB_STANDINS_COMMON_CLIENT_H
#define BB_STANDINS_COMMON_CLIENT_H

#include "standins/common.h"

enum bb_call_state
{
  BB_CALL_ENDED,
  BB_CALL_OPENING,
  BB_CALL_OPEN,
  BB_CALL_CLOSING
};

struct bb_call
{
  struct bb_endpoint inner;
  struct bb_endpoint service;
  enum bb_call_state state;
  uint32_t acknowledged; /* first octet that the server has not taken */
  uint32_t sent;         /* next octet to send */
  uint32_t received;     /* next octet expected */
  GByteArray *in;        /* octets received and not consumed */
  uint8_t request[BB_STANDIN_REQUEST];
  int resends;
  bb_usec resend_at; /* 0: nothing to repeat */
};

/* What happens to a call; the functions may call the ones below.  */
struct bb_call_ops
{
  void (*established) (struct bb_call *c);
  void (*received) (struct bb_call *c); /* octets were added to IN */
  void (*refused) (struct bb_call *c);  /* a reset answered the SYN */
  void (*reset) (struct bb_call *c);
  void (*gave_up) (struct bb_call *c);
  void (*closed) (struct bb_call *c);
  void (*resent) (struct bb_call *c);
};

/* Where all calls of the process send, and their OPS.  */
struct bb_call_net
{
  int fd;
  struct bb_endpoint ingress;
  const struct bb_call_ops *ops;
};

void bb_call_open (const struct bb_call_net *net, struct bb_call *c);
void bb_call_send_request (const struct bb_call_net *net, struct bb_call *c,
                           uint64_t id, uint32_t length);
void bb_call_close (const struct bb_call_net *net, struct bb_call *c);
void bb_call_take_segment (const struct bb_call_net *net, struct bb_call *c,
                           const struct bb_segment *s);
/* Answers a FIN for a flow that has ended here.  */
void bb_call_take_stray (const struct bb_call_net *net,
                         const struct bb_segment *s);
void bb_call_tick (const struct bb_call_net *net, struct bb_call *c,
                   bb_usec now);
#endif
