/* Table of the flows that recently passed this balancer.  It serves placement
   only: it holds the server to which a SYN was forwarded and is used to
   measure answer times.  A flow that is not in the table is still forwarded by
   its cookie.

   The capacity is fixed; a new flow replaces the flow that was idle for
   longest.  Times are milliseconds of the engine's clock.  */

#ifndef BB_MARKED_FLOWS_H
#define BB_MARKED_FLOWS_H

#include "marked/evidence/suspicion.h"

enum
{
  BB_FLOW_OPENING, /* only SYNs were seen */
  BB_FLOW_OPEN,
  BB_FLOW_CLOSED /* not counted; late packets of the flow may follow */
};

/* The answer to the newest request of a flow.  */
enum
{
  BB_ANSWER_NONE,
  BB_ANSWER_AWAITED,
  BB_ANSWER_SETTLING, /* short so far */
  BB_ANSWER_COUNTED
};

struct bb_marked_flow
{
  uint64_t hash; /* 0: free */
  struct bb_endpoint caller;
  struct bb_endpoint service;
  uint32_t cookie; /* of the server; 0: none */
  uint32_t seen_ms;
  uint32_t request_sent_ms; /* of the unanswered request; 0: none */
  uint32_t sent;            /* end of the newest data of the caller */
  uint32_t sent_ms;         /* arrival of its last transmission */
  uint32_t confirmed;       /* end of the data that the server acknowledged */
  uint32_t acknowledged;    /* newest answer byte that the caller has */
  uint32_t answer_start;    /* acknowledged, when the request was sent */
  uint32_t chain;           /* next entry of the hash chain */
  uint32_t older;           /* neighbours in the order of seen_ms */
  uint32_t newer;
  struct bb_flow_silence silence;
  bb_usec probed;       /* when the last packet was sent as a probe; 0: not */
  uint32_t data_ms;     /* arrival of the newest data, first transmission */
  uint32_t held_life;   /* of the server, that accepted it; 0: not seen */
  uint32_t repeated;    /* sequence number of the last retransmission */
  bool was_queued;      /* the server had no free slot for the request */
  bool is_counted_cold; /* the first request had a token of a cold server */
  bool has_link_worked; /* whenever the newest data arrived */
  uint8_t state;
  uint8_t answer_state;
  uint8_t repeats;    /* retransmissions of the same data, without an answer */
  uint8_t probe_slot; /* while copies are to be sent; 0: none */
};

struct bb_marked_flows;

/* Called when a flow is removed, to subtract it from the counts.  */
typedef void (*bb_marked_flow_removed_func) (
    void *context, const struct bb_marked_flow *flow);

struct bb_marked_flows *
bb_marked_flows_new (uint32_t capacity,
                     bb_marked_flow_removed_func flow_removed, void *context);
void bb_marked_flows_free (struct bb_marked_flows *flows);

/* Returns the flow of HASH, or NULL.  */
struct bb_marked_flow *bb_marked_flows_find (struct bb_marked_flows *flows,
                                             uint64_t hash);

/* Adds a flow of HASH, which must not be in the table.  */
struct bb_marked_flow *bb_marked_flows_add (struct bb_marked_flows *flows,
                                            uint64_t hash, uint32_t now_ms);
void bb_marked_flows_touch (struct bb_marked_flows *flows,
                            struct bb_marked_flow *flow, uint32_t now_ms);
void bb_marked_flows_remove (struct bb_marked_flows *flows,
                             struct bb_marked_flow *flow);

/* Removes flows that have been idle for IDLE_MS.  */
void bb_marked_flows_expire (struct bb_marked_flows *flows, uint32_t now_ms,
                             uint32_t idle_ms);
/* Calls EACH for the flows of the server with COOKIE.  EACH may remove the
   flow.  */
void bb_marked_flows_foreach (struct bb_marked_flows *flows, uint32_t cookie,
                              void (*each) (void *context,
                                            struct bb_marked_flow *flow),
                              void *context);
uint32_t bb_marked_flows_count (const struct bb_marked_flows *flows);
#endif
