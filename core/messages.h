/* Messages between balancers.  Included by core/core.h.  */

#ifndef BB_CORE_MESSAGES_H
#define BB_CORE_MESSAGES_H

#include "core/core.h"

/* The code that builds a message owns the arrays in the message.  They are
   valid until the function to which the message is passed returns.  */

enum bb_message_kind
{
  BB_MESSAGE_HEARTBEAT = 1,
  BB_MESSAGE_MEMBERS,
  BB_MESSAGE_DOCUMENT_REQUEST,
  BB_MESSAGE_DOCUMENT,
  BB_MESSAGE_ENTRIES,
  BB_MESSAGE_ENTRIES_ACK,
  BB_MESSAGE_DEFAULT_SET,
  BB_MESSAGE_KINDS
};

enum bb_peer_state
{
  BB_PEER_JOINING,
  BB_PEER_ACTIVE,
  BB_PEER_LEAVING
};

enum bb_document_kind
{
  BB_DOCUMENT_BASE,
  BB_DOCUMENT_OVERLAY,
  BB_DOCUMENT_VMS,
  BB_DOCUMENT_KINDS
};

enum bb_phase
{
  BB_PHASE_SETTLED,
  BB_PHASE_PREPARE,
  BB_PHASE_RESOLVE
};

struct bb_heartbeat
{
  uint64_t incarnation; /* start time; greater after a restart */
  enum bb_peer_state state;
  uint64_t versions[BB_DOCUMENT_KINDS];
  uint32_t generation;
  enum bb_phase phase;
  /* Digest of the target set, or of the default set in BB_PHASE_SETTLED.  */
  uint32_t default_set_digest;
  uint32_t bits_sequence; /* sequence number of the sender's bits */
  const uint32_t *bits;   /* keys of servers whose impairment bit is set */
  size_t bit_count;
  /* Last bits_sequence of the receiver that the sender has processed.  */
  uint32_t acknowledged;
  /* The sender has replicated all entries for the receiver.  */
  bool replicated;
  /* Digest of the keys of the servers in counts, in the same order.  */
  uint32_t counts_digest;
  const int32_t *counts; /* open flows of each server at the sender */
  size_t count_count;
  uint32_t members_digest;
};

struct bb_members
{
  const struct bb_vm *vms;
  size_t vm_count;
};

/* A request for one chunk of a document.  The chunks are requested in order,
   starting with offset 0.  */
struct bb_document_request
{
  enum bb_document_kind document;
  uint64_t version;
  uint32_t offset;
};

struct bb_document
{
  enum bb_document_kind document;
  uint64_t version;
  uint32_t offset;
  uint32_t total; /* bytes of the whole document */
  const uint8_t *bytes;
  size_t length;
};

struct bb_entry
{
  uint64_t hash;
  uint32_t server; /* key */
  uint8_t state;   /* enum bb_flow_state */
};

struct bb_entries
{
  uint32_t batch; /* repeated in the acknowledgement */
  const struct bb_entry *entries;
  size_t entry_count;
};

struct bb_entries_ack
{
  uint32_t batch;
};

struct bb_default_set_member
{
  uint32_t service; /* key */
  uint32_t server;  /* key */
  struct bb_endpoint gue;
  uint16_t default_weight; /* in the default set in force, 0: not in it */
  uint16_t target_weight;  /* in the set being prepared, 0: not in it */
  uint32_t buckets;        /* of the service */
  /* Configuration version from which the service's default set was formed.  */
  uint64_t formed_version;
};

struct bb_default_set
{
  /* Wall clock time of the first generation, in microseconds.  Of two default
     sets with different origins, the one with the older origin is used.  */
  uint64_t origin;
  uint64_t hash_seed;
  uint32_t generation;
  enum bb_phase phase;
  uint32_t digest;
  const struct bb_default_set_member *members;
  size_t member_count;
};

struct bb_message
{
  enum bb_message_kind kind;
  uint32_t from; /* VM id */
  union
  {
    struct bb_heartbeat heartbeat;
    struct bb_members members;
    struct bb_document_request document_request;
    struct bb_document document;
    struct bb_entries entries;
    struct bb_entries_ack entries_ack;
    struct bb_default_set default_set;
  } u;
};
#endif
