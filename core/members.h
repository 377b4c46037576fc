/* Peers of this balancer, and the orders of the members that hold the entries
   of flows.  Included by core/engine_private.h.  */

#ifndef BB_CORE_MEMBERS_H
#define BB_CORE_MEMBERS_H

#include "core/core.h"

struct bb_outbox
{
  struct bb_entry entries[BB_ENTRIES_PER_MESSAGE];
  size_t count;
  uint32_t batch; /* number of the message, 0: none yet */
  bb_usec sent;   /* 0: not sent yet */
};

struct bb_peer
{
  struct bb_vm vm;
  bool seed;
  bool listed;       /* in the VM list */
  bool delisted;     /* was in the VM list before and is no longer */
  bool has_reported; /* a heartbeat was received at least once */
  bool suspected;
  enum bb_peer_state state;
  bb_usec last_received;
  bb_usec lost_at; /* last time that it became suspected */
  uint64_t incarnation;
  uint64_t versions[BB_DOCUMENT_KINDS];
  uint32_t generation;
  enum bb_phase phase;
  uint32_t default_set_digest;
  uint32_t bits_sequence; /* last sequence number of the peer processed here */
  uint32_t acknowledged; /* last own sequence number that the peer processed */
  bool replicated; /* the peer has replicated all that this balancer should
                      hold */
  uint32_t *bits;
  size_t bit_count;
  int32_t *counts;
  size_t count_count;
  uint32_t counts_digest;
  bb_usec default_set_sent_at;
  bb_usec members_sent_at;
  struct bb_outbox outbox;
};

enum
{
  BB_PARTITIONS = 4096, /* of the flows, by 12 bits of the hash */
  BB_NO_OWNER = 0xff,
};

/* First members of the rendezvous order of one partition.  */
struct bb_order
{
  uint8_t owner; /* the first active member, or BB_NO_OWNER */
  uint8_t count;
  uint8_t members[BB_HOPS_MAX]; /* indices into the view */
};

/* Members that hold entries, in no particular order.  */
struct bb_view
{
  uint32_t ids[BB_PEER_MAX];
  bool joining[BB_PEER_MAX];
  uint8_t peers[BB_PEER_MAX]; /* index of the peer; BB_SELF: this balancer */
  uint32_t count;
  struct bb_order orders[BB_PARTITIONS];
};
#endif
