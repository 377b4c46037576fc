/* The TCP of a backend server: a listening port with many flows, each of
   which runs one request at a time.  */

#ifndef BB_STANDINS_COMMON_LISTENER_H
#define BB_STANDINS_COMMON_LISTENER_H

#include "standins/common.h"

struct bb_listener_flow
{
  uint64_t key; /* the caller's address and port */
  struct bb_endpoint caller;
  uint32_t caller_initial;
  uint32_t received;     /* next octet expected */
  uint32_t acknowledged; /* first octet that the caller has not taken */
  GByteArray *out;       /* octets from there on */
  bool open;             /* the caller has acknowledged the SYN */
  bool finishing;        /* FIN received and sent */
  int resends;
  bb_usec resend_at; /* 0: nothing to repeat */
  bb_usec answer_at; /* of the request that runs, 0: none */
  uint64_t id;       /* of that request */
  uint32_t answer_length;
};

struct bb_listener
{
  int fd;
  struct bb_endpoint service_endpoint;
  struct bb_endpoint egress;
  GHashTable *flows; /* of struct bb_listener_flow */
  void (*on_accepted) (struct bb_listener_flow *flow);
  /* A request is in the flow's ID and ANSWER_LENGTH; sets ANSWER_AT.  */
  void (*on_request) (struct bb_listener_flow *flow);
  /* ANSWER_AT has come.  Returns false to reset the flow.  */
  bool (*on_answer_due) (struct bb_listener_flow *flow);
  void (*on_ended) (struct bb_listener_flow *flow);
  /* A segment of an unknown flow, or one that is no request.  */
  void (*on_unexpected) (const char *event, struct bb_endpoint caller);
};

void bb_listener_init (struct bb_listener *listener);
void bb_listener_handle_segment (struct bb_listener *listener,
                                 const struct bb_segment *s);
/* Sends what was appended to the flow's OUT.  */
void bb_listener_send (const struct bb_listener *listener,
                       struct bb_listener_flow *flow);
void bb_listener_tick (struct bb_listener *listener);
#endif
