/* The server side of TCP: a listening address with many flows, each of which
   executes one request at a time.  */

#ifndef BB_STANDINS_COMMON_LISTENER_H
#define BB_STANDINS_COMMON_LISTENER_H

#include "standins/common.h"

struct bb_listener_flow
{
  uint64_t key; /* the caller's address and port */
  struct bb_endpoint caller;
  uint32_t caller_initial;
  uint32_t received;     /* next octet expected */
  uint32_t acknowledged; /* first octet that the caller has not
                            acknowledged */
  GByteArray *out;       /* octets from ACKNOWLEDGED on */
  bool open;             /* the caller has acknowledged the SYN */
  bool finishing;        /* FIN received and sent */
  int resends;
  bb_usec resend_at; /* 0: nothing to resend */
  bb_usec answer_at; /* when the request is done; 0: no request */
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
  /* Called for a new request, given by ID and ANSWER_LENGTH.  Must set
     ANSWER_AT.  */
  void (*on_request) (struct bb_listener_flow *flow);
  /* Called at the time ANSWER_AT.  Returns false to reset the flow.  */
  bool (*on_answer_due) (struct bb_listener_flow *flow);
  void (*on_ended) (struct bb_listener_flow *flow);
  /* Called for a segment of an unknown flow and for a malformed request.  */
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
