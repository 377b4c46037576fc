/* Table of tracked flows: open addressing, fixed capacity.  */

#ifndef BB_CORE_FLOWS_H
#define BB_CORE_FLOWS_H

#include "core/core.h"

enum bb_flow_state
{
  BB_FLOW_SYN,    /* only a SYN was seen */
  BB_FLOW_OPEN,   /* established, or a datagram flow */
  BB_FLOW_CLOSING /* FIN or RST was seen */
};

struct bb_flow
{
  uint64_t hash;           /* 0: free position */
  uint32_t last_seen;      /* seconds; last packet */
  uint32_t last_refreshed; /* seconds; last report to the replicas */
  uint16_t slot;           /* of the server */
  uint8_t state;
  uint8_t epoch; /* of the view whose replicas received the entry */
};

struct bb_flows
{
  struct bb_flow *flows;
  uint32_t size;            /* positions, more than CAPACITY */
  uint32_t capacity;        /* entries at most */
  uint32_t used;            /* entries in the table */
  uint32_t embryonic;       /* entries in BB_FLOW_SYN */
  uint32_t eviction_cursor; /* where the search for an eviction continues */
};

void bb_flows_init (struct bb_flows *t, uint32_t capacity);
void bb_flows_clear (struct bb_flows *t);

/* Returns the entry of HASH or NULL.  Valid until the next change.  */
struct bb_flow *bb_flows_find (const struct bb_flows *t, uint64_t hash);

/* Whether an entry in STATE may be added without an eviction.  */
bool bb_flows_has_room (const struct bb_flows *t, enum bb_flow_state state);

/* Adds an entry for HASH, which must not have one.  The table must have
   room.  */
struct bb_flow *bb_flows_add (struct bb_flows *t, uint64_t hash,
                              enum bb_flow_state state);
void bb_flows_set_state (struct bb_flows *t, struct bb_flow *f,
                         enum bb_flow_state state);
void bb_flows_remove (struct bb_flows *t, struct bb_flow *f);

/* Returns the oldest embryonic entry of a bounded sample, or NULL.  */
struct bb_flow *bb_flows_eviction_candidate (struct bb_flows *t);
#endif
