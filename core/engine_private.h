/* State of the engine and the functions that the files of this package
   share.  */

#ifndef BB_CORE_ENGINE_PRIVATE_H
#define BB_CORE_ENGINE_PRIVATE_H

#include "core/engine.h"
#include "core/flows.h"
#include "core/health.h"
#include "core/members.h"
#include "core/silence.h"

enum
{
  BB_SLOT_MAX = 32767, /* servers of one process; 15 bits of a route */
  BB_ROUTE_TRACKED = 0x8000,
  BB_NO_SLOT = 0x7fff,
  BB_SERVICE_MAX = 1024,
  BB_SHARE_FULL = 1000, /* permille */
  BB_VIEW_HISTORY = 32, /* views that entries may have been replicated under */
  BB_UNCERTAIN_TABLE_SIZE = 4096,
  BB_UNCERTAIN_PACKETS = 3, /* number of the first one forwarded */
};

#define BB_MISSING_PEER_TIMEOUT (600 * BB_SEC) /* then presumed dead */
#define BB_UNCERTAIN_TIMEOUT (500 * BB_MSEC)
#define BB_LOST_PEER_BITS_TIME (10 * BB_SEC)
#define BB_PEER_EXPIRY_TIME (600 * BB_SEC)
#define BB_BIT_CLEAR_DELAY (10 * BB_SEC)

/* A backend server.  It is kept for the life of the process; its index in the
   table is its slot.  */
struct bb_slot
{
  uint32_t key;
  uint32_t service_key;
  uint16_t service; /* index into the services */
  uint16_t weight;
  char name[BB_NAME_MAX];
  struct bb_endpoint gue;
  struct bb_endpoint health_endpoint;
  uint32_t connection_limit;
  bool listed;             /* in the configuration in force */
  bool drain;              /* set by the configuration */
  bool leaving;            /* set by the VM list */
  uint16_t default_weight; /* in the default set, 0: not in it */
  uint16_t target_weight;  /* in the default set being prepared */
  bb_usec listed_since;
  bb_usec unlisted_since;
  struct bb_health health;

  /* impairment bit */
  bool is_impaired; /* cannot take its full share of new flows */
  bool bit_set;     /* by this balancer */
  bool bit_set_by_peer;
  bool bit_in_effect; /* flows may be placed on other servers */
  uint32_t bit_sequence;
  bb_usec bit_since;
  bb_usec bit_last_needed; /* last time with a reason for the bit */
  uint32_t held_entries;   /* entries in buckets tracked for this bit alone */

  /* placement */
  bool is_full; /* at the connection limit */
  bool is_near_limit;
  uint16_t share;         /* permille of the new flows that it may get */
  int32_t own_open_flows; /* flows opened less flows closed, as counted here */
  int64_t open_flows;     /* estimate over all balancers */
  int64_t peers_open_flows;     /* as counted by the peers */
  int64_t open_flows_at_report; /* counts at the last report */
};

struct bb_policy;

/* Distribution of the new flows of load-aware buckets until the next tick.  */
struct bb_load_aware
{
  uint16_t *slots;
  uint32_t *bounds; /* cumulative, of 2^16 */
  uint32_t count;
  uint32_t placed_since_tick;
  double placement_rate; /* flows placed here per second, smoothed */
  bb_usec prepared_at;
};

struct bb_service_state
{
  struct bb_service conf; /* without servers */
  bool listed;
  uint32_t buckets;           /* fixed once the default set was formed */
  uint32_t allocated_buckets; /* buckets that the tables have room for */
  uint32_t load_aware_buckets;
  uint16_t *default_server; /* slot by bucket */
  uint16_t *target_server;  /* of the default set being prepared, or NULL */
  uint16_t *desired_server; /* of the configuration in force */
  uint16_t *route;        /* default slot, with BB_ROUTE_TRACKED if tracked */
  bb_usec *tracked_until; /* by bucket; NULL: none is kept tracked */
  uint16_t *slots;        /* listed servers */
  uint32_t slot_count;
  struct bb_load_aware load_aware;
  bool has_equal_weights;
  bool panic;
  bb_usec desired_since;      /* desired_server last changed */
  uint64_t formed_version;    /* that formed the default set, 0: none */
  bb_usec last_unrecorded;    /* an established flow not recorded; 0: never */
  bool has_server_near_limit; /* if so, all placements are recorded */
  /* When a caller last sent a new sequence number.  While a whole service is
     silent, a reset would help no caller.  */
  bb_usec last_progress;
  const struct bb_policy *policy;
};

/* Results of the placement of a new flow, other than a slot.  */
enum
{
  BB_PLACE_REFUSE = -1,
  BB_PLACE_NONE = -2
};

struct bb_policy
{
  const char *name;
  bool is_load_aware;
  /* Runs once a tick; NULL if there is nothing to prepare.  */
  void (*prepare) (struct bb_engine *e, struct bb_service_state *s,
                   bb_usec now);
  /* Returns the slot for a new flow of a load-aware bucket, or
     BB_PLACE_NONE.  */
  int (*choose_slot) (struct bb_engine *e, struct bb_service_state *s,
                      uint64_t hash);
};

const struct bb_policy *bb_policy_find (enum bb_policy_kind kind);

struct bb_document_fetch
{
  uint64_t version;
  uint32_t peer; /* VM id, 0: no transfer */
  bb_usec requested_at;
  uint8_t *bytes;
  uint32_t total;             /* bytes of the document */
  uint32_t length;            /* bytes received */
  uint64_t refused_version;   /* version that was invalid */
  uint64_t announced_version; /* version that was first seen at ANNOUNCED_AT */
  bb_usec announced_at;
  bb_usec refused_at;
};

struct bb_stored_document
{
  uint64_t version;
  uint8_t *bytes;
  uint32_t length;
};

/* A flow without an entry while a peer is missing.  */
struct bb_uncertain_flow
{
  uint32_t flow;    /* high half of its hash */
  uint32_t packets; /* received of it, 0: unused */
  bb_usec first_seen;
};

struct bb_service_address
{
  uint64_t key; /* address, port, protocol */
  uint16_t service;
  bool used;
};

struct bb_engine
{
  struct bb_engine_options options;
  const struct bb_sink *sink;
  void *context;
  struct bb_counters counters;

  /* process */
  enum bb_peer_state state;
  bool ready;       /* forwards packets */
  bool has_resumed; /* false after a pause until the peers have responded */
  bb_usec started_at;
  bb_usec last_tick;
  bb_usec resumed_at;
  bb_usec heartbeat_due;
  bb_usec heartbeat_sent_at;
  bool heartbeat_pending; /* to be sent before it is due */
  GRand *random;
  uint32_t tick_seconds; /* last_tick in seconds */

  struct bb_slot *slots;
  uint32_t slot_count;
  uint32_t slot_capacity;
  GHashTable *slot_index; /* from key to slot */
  struct bb_service_state *services;
  uint32_t service_count;
  struct bb_service_address addresses[2 * BB_SERVICE_MAX];

  struct bb_peer peers[BB_PEER_MAX];
  uint32_t peer_count;
  struct bb_view view;                   /* in force */
  struct bb_view views[BB_VIEW_HISTORY]; /* the last ones, by epoch */
  uint8_t epoch;        /* grows with each change of the view */
  uint8_t synced_epoch; /* last epoch that all peers have replicated */
  bb_usec view_changed_at;
  /* Whether another balancer may hold the entry of a flow that has none here,
     as of the last tick.  A check of all peers for each packet took 100
     instructions.  */
  bool entries_may_be_elsewhere;
  bb_usec partition_healed_at; /* a lost peer returned; entries may be held by
                                  other balancers */
  bb_usec first_active_at;     /* an active peer first reported */
  bool has_missing_peer;       /* some active peer was lost not long ago */

  struct bb_flows flows;
  uint32_t expiry_cursor; /* index into the flow table */
  struct bb_silence *silence;
  struct bb_uncertain_flow uncertain_flows[BB_UNCERTAIN_TABLE_SIZE];

  /* replication */
  bool replication_done;
  uint32_t replication_cursor; /* index into the flow table */
  uint32_t replication_batch;  /* number of the last message */
  int64_t replication_credit;  /* bytes */

  /* impairment bits */
  uint32_t bits_sequence; /* grows with each change of the bits or the state */
  uint32_t join_sequence; /* must be acknowledged before flows are owned */
  uint32_t leave_sequence;
  bb_usec leave_requested_at; /* 0: not requested */
  bool entries_replicated;    /* the peers hold all entries of this balancer */

  /* version */
  struct bb_fleet *fleet;
  uint64_t list_version;
  bb_usec version_changed_at;
  bb_usec last_sweep; /* last refresh of state that changes with time only */
  bool version_in_effect; /* the peers hold the version, or the timeout has
                             passed */
  uint32_t counts_digest;
  uint16_t *counted_slots; /* slots in the order of the counts */
  uint32_t counted_slot_count;
  struct bb_stored_document stored_documents[BB_DOCUMENT_KINDS];
  struct bb_document_fetch fetches[BB_DOCUMENT_KINDS];

  /* default set */
  uint64_t origin;
  uint64_t hash_seed; /* of the set with ORIGIN */
  uint32_t generation;
  enum bb_phase phase;
  uint32_t default_set_digest;
  uint32_t target_digest;
  bb_usec unchanged_since;
};

/* engine.c */
void bb_engine_emit_event (struct bb_engine *e, enum bb_event_kind kind,
                           uint32_t peer, uint32_t server, uint64_t value);
uint32_t bb_engine_random (struct bb_engine *e, uint32_t below);

/* slots.c */
struct bb_slot *bb_slot_find (struct bb_engine *e, uint32_t key);
uint16_t bb_slot_index (const struct bb_engine *e, const struct bb_slot *s);
/* Returns the slot of KEY, added if it is new, or NULL if there are too
   many.  */
struct bb_slot *bb_slot_find_or_add (struct bb_engine *e, uint32_t service_key,
                                     uint32_t key, bb_usec now);
struct bb_service_state *bb_service_find (struct bb_engine *e, uint32_t key);
struct bb_service_state *bb_service_find_or_add (struct bb_engine *e,
                                                 uint32_t key);
struct bb_service_state *bb_service_by_destination (struct bb_engine *e,
                                                    const struct bb_packet *p);
void bb_addresses_rebuild (struct bb_engine *e);

/* tables.c: tables of a version.  */
void bb_tables_clear (struct bb_engine *e);
void bb_tables_rebuild (struct bb_engine *e, bb_usec now);
void bb_routes_rebuild (struct bb_engine *e, bb_usec now);
bool bb_bucket_is_always_tracked (const struct bb_service_state *s,
                                  uint32_t bucket);
void bb_held_entries_adjust (struct bb_engine *e, uint64_t hash, uint16_t slot,
                             int delta);

/* place.c */
void bb_place_prepare (struct bb_engine *e, bb_usec now);
int bb_place_choose_slot (struct bb_engine *e, struct bb_service_state *s,
                          uint32_t bucket, uint64_t hash);

/* impairment.c */
void bb_bits_tick (struct bb_engine *e, bb_usec now);
void bb_bits_receive (struct bb_engine *e, struct bb_peer *p,
                      const struct bb_heartbeat *h);
void bb_bits_merge (struct bb_engine *e, bb_usec now);

/* members.c */
void bb_peer_add (struct bb_engine *e, const struct bb_vm *vm, bool seed,
                  bb_usec now);
void bb_peers_clear (struct bb_engine *e);
struct bb_peer *bb_peer_find (struct bb_engine *e, uint32_t id);
bool bb_peer_is_local (const struct bb_engine *e, const struct bb_peer *p);
bool bb_peer_is_live (const struct bb_engine *e, const struct bb_peer *p);
void bb_members_tick (struct bb_engine *e, bb_usec now);
void bb_view_rebuild (struct bb_engine *e, bb_usec now);
void bb_view_remove_peer (struct bb_engine *e, uint32_t id, bb_usec now);
uint32_t bb_members_digest (const struct bb_engine *e);

/* order.c */
enum
{
  BB_SELF = BB_PEER_MAX
};
/* Computes the orders of VIEW from its other fields.  */
void bb_order_fill (struct bb_view *view);
/* Removes MEMBER from the orders of VIEW and renumbers the member LAST to
   MEMBER.  No other member replaces MEMBER in an order, because none has
   received its entries.  The owners are not updated.  */
void bb_order_remove_member (struct bb_view *view, uint8_t member,
                             uint8_t last);
/* Returns the replicas of HASH in VIEW: the members that hold its entry,
   including joining ones; at most BB_REPLICAS active ones and BB_HOPS_MAX in
   all.  */
const struct bb_order *bb_order_replicas (const struct bb_view *view,
                                          uint64_t hash);
/* Returns the index into VIEW of the owner of HASH, or -1.  */
int bb_order_owner (const struct bb_view *view, uint64_t hash);

/* heartbeat.c */
void bb_heartbeats_send (struct bb_engine *e, bb_usec now);
void bb_heartbeat_receive (struct bb_engine *e, struct bb_peer *p,
                           const struct bb_heartbeat *h, bb_usec now);
void bb_members_receive (struct bb_engine *e, const struct bb_members *m,
                         bb_usec now);

/* documents.c */
void bb_documents_fetch_newer (struct bb_engine *e, struct bb_peer *p,
                               bb_usec now);
void bb_documents_serve (struct bb_engine *e, struct bb_peer *p,
                         const struct bb_document_request *r);
void bb_documents_receive (struct bb_engine *e, struct bb_peer *p,
                           const struct bb_document *d, bb_usec now);
void bb_documents_clear (struct bb_engine *e);

/* default_set.c */
void bb_default_set_form (struct bb_engine *e);
void bb_default_set_bootstrap (struct bb_engine *e, bb_usec now);
void bb_default_set_send (struct bb_engine *e, struct bb_peer *p, bb_usec now);
void bb_default_set_receive (struct bb_engine *e, struct bb_peer *p,
                             const struct bb_default_set *set, bb_usec now);
void bb_default_set_tick (struct bb_engine *e, bb_usec now);
uint32_t bb_default_set_digest (const struct bb_engine *e);

/* replicate.c */
void bb_replication_restart (struct bb_engine *e);
void bb_replication_tick (struct bb_engine *e, bb_usec now, bb_usec elapsed);
void bb_replication_receive (struct bb_engine *e, struct bb_peer *p,
                             const struct bb_entries *m, bb_usec now);
void bb_replication_acknowledged (struct bb_engine *e, struct bb_peer *p,
                                  uint32_t batch);

/* entries.c */
struct bb_flow *bb_entry_record (struct bb_engine *e, uint64_t hash,
                                 uint16_t slot, enum bb_flow_state state);
void bb_entry_remove (struct bb_engine *e, struct bb_flow *f);
void bb_entries_remove_embryonic (struct bb_engine *e);
void bb_entries_expire_tick (struct bb_engine *e);

/* counts.c */
void bb_counts_set_order (struct bb_engine *e);
void bb_counts_merge (struct bb_engine *e, bb_usec now);
#endif
