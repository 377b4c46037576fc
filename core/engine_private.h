/* State of the engine, shared by the files of this package.  */

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
  BB_MISSING_SLOT = 0x7fff,
  BB_SERVICE_MAX = 1024,
  BB_SHARE_FULL = 1000, /* permille */
  BB_VIEWS = 32,        /* that entries may have been replicated under */
  BB_DOUBT_SIZE = 4096,
  BB_DOUBT_SIGHTINGS = 3, /* of a flow that the other half may know */
};

#define BB_DOUBT_TIME (600 * BB_SEC) /* after that, a lost peer is dead */
#define BB_DOUBT_LIMIT (500 * BB_MSEC)
#define BB_LOST_BITS_TIME (10 * BB_SEC)
#define BB_FORGET_TIME (600 * BB_SEC)
#define BB_BIT_CLEAR_DELAY (10 * BB_SEC)

/* A backend server, for the life of the process.  */
struct bb_slot
{
  uint32_t key;
  uint32_t service_key;
  uint16_t service; /* index */
  uint16_t weight;
  char name[BB_NAME_MAX];
  struct bb_endpoint gue;
  struct bb_endpoint health_endpoint;
  uint32_t connection_limit;
  bool listed;            /* in the configuration in force */
  bool drain;             /* by configuration */
  bool leaving;           /* by the VM list */
  uint16_t base_weight;   /* in the base set, 0: not in it */
  uint16_t target_weight; /* in the base set being prepared */
  bb_usec listed_since;
  bb_usec unlisted_since;
  struct bb_health health;

  /* impairment bit */
  bool opinion;
  bool bit;
  bool bit_peer;
  bool acted;
  uint32_t bit_sequence;
  bb_usec bit_since;
  bb_usec wanted; /* last time that something asked for the bit */
  uint32_t held;  /* entries in buckets that only the bit marks */

  /* placement */
  bool full; /* at the connection limit */
  bool near_limit;
  uint16_t share;   /* permille of the new flows that it may get */
  int32_t own_open; /* flows opened less flows closed, seen here */
  int64_t open;     /* estimate over all balancers */
  int64_t peers_open;
  int64_t sum_at_report;
};

struct bb_policy;

/* How the new flows of spill buckets are shared out until the next tick.  */
struct bb_spill
{
  uint16_t *slots;
  uint32_t *bounds; /* cumulative, of 2^16 */
  uint32_t count;
  uint32_t placed; /* since the last tick */
  double rate;     /* placed here per second, smoothed */
  bb_usec prepared;
};

struct bb_service_state
{
  struct bb_service conf; /* without servers */
  bool listed;
  uint32_t buckets;   /* fixed once the base set was formed */
  uint32_t allocated; /* places of the tables */
  uint32_t spill_buckets;
  uint16_t *base;   /* slot of each bucket */
  uint16_t *target; /* of the base set being prepared, or NULL */
  uint16_t *head;
  uint16_t *route; /* base slot, BB_ROUTE_TRACKED */
  bb_usec *sticky; /* until when a bucket stays tracked; NULL: none */
  uint16_t *slots; /* listed servers */
  uint32_t slot_count;
  struct bb_spill spill;
  bool uniform; /* all weights are equal */
  bool panic;
  bb_usec head_since; /* head last changed */
  uint64_t formed;    /* version with which its base set began, 0: none */
  bb_usec skipped;    /* an older flow could not be recorded; 0: never */
  bool limited; /* some server is near its limit: record all placements */
  /* When a caller last sent anything new.  While a whole service is silent, a
     reset would help no caller.  */
  bb_usec progressed;
  const struct bb_policy *policy;
};

/* What placement decides for one SYN.  */
enum
{
  BB_PLACE_REFUSE = -1,
  BB_PLACE_NONE = -2
};

struct bb_policy
{
  const char *name;
  bool spills;
  /* Runs once a tick; NULL if there is nothing to prepare.  */
  void (*prepare) (struct bb_engine *e, struct bb_service_state *s,
                   bb_usec now);
  /* Returns the slot for a new flow of a spill bucket, or BB_PLACE_NONE.  */
  int (*spill) (struct bb_engine *e, struct bb_service_state *s,
                uint64_t hash);
};

const struct bb_policy *bb_policy_find (enum bb_policy_kind kind);

struct bb_fetch
{
  uint64_t version;
  uint32_t peer; /* VM id, 0: none under way */
  bb_usec asked;
  uint8_t *bytes;
  uint32_t total;
  uint32_t length;
  uint64_t refused; /* version that was invalid */
  uint64_t noticed; /* version that a peer was first seen with */
  bb_usec noticed_at;
  bb_usec refused_at;
};

struct bb_kept
{
  uint64_t version;
  uint8_t *bytes;
  uint32_t length;
};

struct bb_doubt
{
  uint32_t flow;
  uint32_t sightings;
  bb_usec first;
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
  bool ready;
  bool awake; /* false after a pause until the peers were heard */
  bb_usec started;
  bb_usec ticked;
  bb_usec woke;
  bb_usec heartbeat_due;
  bb_usec heartbeat_sent;
  bool heartbeat_soon;
  GRand *random;
  uint32_t seconds; /* of ticked */

  struct bb_slot *slots;
  uint32_t slot_count;
  uint32_t slot_room;
  GHashTable *slot_index; /* key to slot */
  struct bb_service_state *services;
  uint32_t service_count;
  struct bb_service_address addresses[2 * BB_SERVICE_MAX];

  struct bb_peer peers[BB_PEER_MAX];
  uint32_t peer_count;
  struct bb_view view;            /* in force */
  struct bb_view views[BB_VIEWS]; /* the last ones, by epoch */
  uint8_t epoch;
  uint8_t synced; /* last epoch for which all peers had pushed */
  bb_usec view_changed;
  /* Misses are not final, as of the last tick: looking at all peers took 100
     instructions of a packet.  */
  bool unsettled;
  bb_usec view_regained; /* a lost peer came back, entries may be elsewhere */
  bb_usec first_active;  /* an active peer was heard */
  bool missing_peer;     /* some active peer was lost not long ago */

  struct bb_flows flows;
  uint32_t expiry_hand;
  struct bb_silence *silence;
  struct bb_doubt doubts[BB_DOUBT_SIZE];

  /* push */
  bool push_done;
  uint32_t push_hand;
  uint32_t push_batch;
  int64_t push_credit; /* bytes */

  /* impairment bits */
  uint32_t bits_sequence;
  uint32_t join_sequence; /* peers must have seen it before this one owns */
  uint32_t leave_sequence;
  bb_usec leave_wanted; /* 0: no */
  bool released;        /* holds nothing that the peers do not hold */

  /* version */
  struct bb_fleet *fleet;
  uint64_t list_version;
  bb_usec version_since;
  bb_usec swept; /* last time that what only ages was looked at */
  bool version_acted;
  uint32_t counts_digest;
  uint16_t *counted; /* slots in the order of the counts */
  uint32_t counted_count;
  struct bb_kept kept[BB_DOCUMENT_KINDS];
  struct bb_fetch fetches[BB_DOCUMENT_KINDS];

  /* base set */
  uint64_t origin;
  uint64_t hash_seed; /* as of the origin */
  uint32_t generation;
  enum bb_phase phase;
  uint32_t base_digest;
  uint32_t target_digest;
  bb_usec steady_since;
};

/* engine.c */
void bb_engine_event (struct bb_engine *e, enum bb_event_kind kind,
                      uint32_t peer, uint32_t server, uint64_t value);
uint32_t bb_engine_random (struct bb_engine *e, uint32_t below);

/* slots.c */
struct bb_slot *bb_slot_find (struct bb_engine *e, uint32_t key);
uint16_t bb_slot_index (const struct bb_engine *e, const struct bb_slot *s);
/* Returns the slot of KEY, new if need be, or NULL when there are too many. */
struct bb_slot *bb_slot_get (struct bb_engine *e, uint32_t service_key,
                             uint32_t key, bb_usec now);
struct bb_service_state *bb_service_find (struct bb_engine *e, uint32_t key);
struct bb_service_state *bb_service_get (struct bb_engine *e, uint32_t key);
struct bb_service_state *bb_service_of (struct bb_engine *e,
                                        const struct bb_packet *p);
void bb_addresses_rebuild (struct bb_engine *e);

/* tables.c: derived per version.  */
void bb_tables_clear (struct bb_engine *e);
void bb_tables_rebuild (struct bb_engine *e, bb_usec now);
void bb_routes_rebuild (struct bb_engine *e, bb_usec now);
bool bb_bucket_inherent (const struct bb_service_state *s, uint32_t bucket);
void bb_held_count (struct bb_engine *e, uint64_t hash, uint16_t slot,
                    int delta);

/* place.c */
void bb_place_prepare (struct bb_engine *e, bb_usec now);
int bb_place (struct bb_engine *e, struct bb_service_state *s, uint32_t bucket,
              uint64_t hash);

/* bits.c */
void bb_bits_tick (struct bb_engine *e, bb_usec now);
void bb_bits_from_peer (struct bb_engine *e, struct bb_peer *p,
                        const struct bb_heartbeat *h);
void bb_bits_merge (struct bb_engine *e, bb_usec now);

/* members.c */
void bb_peer_add (struct bb_engine *e, const struct bb_vm *vm, bool seed,
                  bb_usec now);
void bb_peers_clear (struct bb_engine *e);
struct bb_peer *bb_peer_find (struct bb_engine *e, uint32_t id);
bool bb_peer_local (const struct bb_engine *e, const struct bb_peer *p);
bool bb_peer_live (const struct bb_engine *e, const struct bb_peer *p);
void bb_members_tick (struct bb_engine *e, bb_usec now);
void bb_view_rebuild (struct bb_engine *e, bb_usec now);
void bb_view_forget (struct bb_engine *e, uint32_t id, bb_usec now);
uint32_t bb_members_digest (const struct bb_engine *e);

/* order.c */
enum
{
  BB_SELF = BB_PEER_MAX
};
/* Computes the orders of VIEW from its other fields.  */
void bb_order_fill (struct bb_view *view);
/* Takes MEMBER out of the orders of VIEW and gives its index to the member
   LAST.  No other member moves up, because none was told in its place; the
   owner is not kept up to date.  */
void bb_order_forget (struct bb_view *view, uint8_t member, uint8_t last);
/* First members of VIEW for HASH: the members that hold its entry, joining
   ones included; at most BB_REPLICAS active ones and BB_HOPS_MAX in all.  */
const struct bb_order *bb_order_replicas (const struct bb_view *view,
                                          uint64_t hash);
/* Index into the view of the owner of HASH, or -1.  */
int bb_order_owner (const struct bb_view *view, uint64_t hash);

/* heartbeat.c */
void bb_heartbeats_send (struct bb_engine *e, bb_usec now);
void bb_heartbeat_receive (struct bb_engine *e, struct bb_peer *p,
                           const struct bb_heartbeat *h, bb_usec now);
void bb_members_receive (struct bb_engine *e, const struct bb_members *m,
                         bb_usec now);

/* documents.c */
void bb_documents_compare (struct bb_engine *e, struct bb_peer *p,
                           bb_usec now);
void bb_documents_want (struct bb_engine *e, struct bb_peer *p,
                        const struct bb_want *w);
void bb_documents_receive (struct bb_engine *e, struct bb_peer *p,
                           const struct bb_document *d, bb_usec now);
void bb_documents_clear (struct bb_engine *e);

/* baseset.c */
void bb_base_form (struct bb_engine *e);
void bb_base_bootstrap (struct bb_engine *e, bb_usec now);
void bb_base_send (struct bb_engine *e, struct bb_peer *p, bb_usec now);
void bb_base_receive (struct bb_engine *e, struct bb_peer *p,
                      const struct bb_base_set *b, bb_usec now);
void bb_base_tick (struct bb_engine *e, bb_usec now);
uint32_t bb_base_visible_digest (const struct bb_engine *e);

/* push.c */
void bb_push_restart (struct bb_engine *e);
void bb_push_tick (struct bb_engine *e, bb_usec now, bb_usec elapsed);
void bb_push_receive (struct bb_engine *e, struct bb_peer *p,
                      const struct bb_entries *m, bb_usec now);
void bb_push_taken (struct bb_engine *e, struct bb_peer *p, uint32_t batch);

/* record.c */
struct bb_flow *bb_record (struct bb_engine *e, uint64_t hash, uint16_t slot,
                           enum bb_flow_state state);
void bb_forget (struct bb_engine *e, struct bb_flow *f);
void bb_forget_embryonic (struct bb_engine *e);
void bb_expire_tick (struct bb_engine *e);

/* counts.c */
void bb_counts_order (struct bb_engine *e);
void bb_counts_merge (struct bb_engine *e, bb_usec now);
#endif
