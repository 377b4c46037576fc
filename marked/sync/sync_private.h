/* State of the synchronization, private to marked/.  */

#ifndef BB_MARKED_SYNC_PRIVATE_H
#define BB_MARKED_SYNC_PRIVATE_H

#include "marked/sync/sync.h"

enum
{
  /* The 524 balancers expected in a data centre in two years, and some of each
     of the 20 others.  */
  BB_SYNC_PEERS_MAX = 1024,
  BB_SYNC_REMOTE_PEERS_MAX = 8, /* of each other data centre */
  /* Peers at the start of the list in a heartbeat: the first live peer of the
     recipient's data centre, and leaders of other data centres.  */
  BB_SYNC_LISTED_LEADERS = 1 + BB_SYNC_LISTED_PEERS / 2,
  /* Batches that arrive at the same time.  Several balancers may reply to one
     that joins, while its leader sends new records.  */
  BB_SYNC_BATCHES_MAX = 4,
  BB_SYNC_CHUNK_WORDS = BB_SYNC_CHUNKS_MAX / 64,
};

struct bb_sync_peer_silence
{
  uint32_t cookie;
  struct bb_silence silence;
};

struct bb_sync_peer
{
  struct bb_sync_vm vm;
  uint64_t incarnation;
  bb_usec last_received; /* 0: never */
  bb_usec last_sent;
  uint32_t flags;
  bool was_leader; /* as of its last heartbeat */
  uint32_t capacity;
  uint64_t revision;
  uint64_t version;
  uint32_t owners; /* digest of its list of owners */
  uint32_t owner_count;
  /* Last heartbeat; before the first one, first listing by another peer.  */
  bb_usec last_mentioned;
  struct bb_sync_load loads[BB_SYNC_LOADS_MAX];
  uint32_t load_count;
  struct bb_sync_demand demands[BB_SYNC_DEMANDS_MAX];
  uint32_t demand_count;
  struct bb_sync_peer_silence silences[BB_SYNC_SILENCES_MAX];
  uint32_t silence_count;
};

/* Time without a datagram after which an incomplete batch is dropped.  A
   sender sends all datagrams of a batch at once; lost ones are not sent again.
 */
#define BB_SYNC_BATCH_TIMEOUT (2 * BB_SEC)

/* A batch of records that is being received.  It is applied when it is
   complete: a record of an incomplete one might be removed in the changes that
   the next batch skips, and no flow is handled by parts of two configurations.
   A balancer numbers its batches from 1 in each incarnation.
 */
struct bb_sync_batch
{
  uint32_t from; /* 0: not in use */
  uint64_t incarnation;
  uint32_t number;
  bb_usec updated;
  uint32_t chunk_count;
  uint32_t chunks_received;
  uint64_t chunks[BB_SYNC_CHUNK_WORDS];
  GHashTable *names;     /* servers of a whole state; else NULL */
  GHashTable *routes;    /* bb_directory_route_key of its routes; else NULL */
  GArray *records;       /* struct bb_route_record */
  GArray *servers;       /* struct bb_server_record */
  GArray *evacuations;   /* struct bb_evacuation_record */
  GArray *limits;        /* struct bb_service_record */
  GHashTable *evacuated; /* data centres, of a whole state; else NULL */
  GHashTable *services;  /* that have limits, of a whole state; else NULL */
  /* From an older build, which knows neither evacuations nor limits.  */
  bool lacks_evacuations;
};

enum bb_sync_owner_phase
{
  BB_SYNC_OWNER_JOINING,
  BB_SYNC_OWNER_ANNOUNCED, /* in its heartbeats; owns nothing yet */
  BB_SYNC_OWNER_CONFIRMED  /* by all other owners */
};

/* Another balancer of the data centre that may own cold servers.  */
struct bb_sync_owner
{
  uint32_t id;
  struct bb_endpoint endpoint;
  uint32_t digest; /* of its list, with itself, as of its last heartbeat */
  bb_usec last_received;
};

struct bb_sync_owners
{
  bool is_enabled; /* a service limits its cold servers */
  enum bb_sync_owner_phase phase;
  bb_usec phase_since;
  bb_usec last_tick;
  bb_usec discovered;  /* last time that a balancer was heard of first */
  bb_usec changed;     /* last change of the list or the phase */
  uint32_t generation; /* number of changes */
  uint32_t digest;     /* of the list, with this balancer once announced */
  uint32_t count;
  struct bb_sync_owner list[BB_SYNC_PEERS_MAX];
};

struct bb_sync
{
  struct bb_sync_options options;
  struct bb_directory *directory;
  const struct bb_sync_sink *sink;
  void *context;
  GRand *random;
  struct bb_endpoint seeds[BB_SYNC_LISTED_PEERS];
  size_t seed_count;
  struct bb_sync_peer *peers[BB_SYNC_PEERS_MAX];
  uint32_t peer_count;
  uint64_t revision;
  /* The state held lacks the configuration that changes of a peer start from,
     so that the whole state is to be requested.  */
  bool needs_whole_state;
  /* Up to which evacuations and limits of services are held.  Lower than
     REVISION after changes from a peer of an older build, which knows neither.
   */
  uint64_t complete_revision;
  bb_usec incomplete_since;   /* 0: all are held */
  bb_usec last_verified;      /* 0: never */
  bb_usec last_store_failure; /* 0: none since the last success */
  bb_usec next_heartbeat;
  bb_usec last_request;
  bb_usec last_seed_hello;
  bb_usec last_unlisted_hello; /* to a balancer that is not in the peer list */
  bb_usec next_remote_heartbeat;
  bb_usec members_changed; /* balancers of the own data centre; 0: never */
  uint32_t peer_silences;  /* of servers, that peers report now */
  /* Cookies of the servers that fell silent here last, a ring; 0: none.  */
  uint32_t silent_servers[BB_SYNC_SILENCES_MAX];
  uint32_t next_silent;
  bool is_reader;
  bool is_first; /* of all readers */
  bool is_leader;
  bool is_leaving;
  struct bb_endpoint targets[BB_SYNC_PEERS_MAX]; /* recipients of a message */
  struct bb_sync_owners owners;
  uint32_t batch_number;
  uint64_t unsent_batches; /* of more than BB_SYNC_CHUNKS_MAX datagrams */
  bb_usec last_unsent;     /* logged; 0: never */
  struct bb_sync_batch batches[BB_SYNC_BATCHES_MAX];
};

/* sync.c  */
void bb_sync_send_event (struct bb_sync *s, enum bb_event_kind kind,
                         uint32_t peer, uint64_t value, enum bb_reason reason,
                         bb_usec age);

/* Returns the first live peer of DATA_CENTRE in the order of readers, or NULL.
 */
const struct bb_sync_peer *bb_sync_first_peer (const struct bb_sync *s,
                                               uint64_t data_centre,
                                               bb_usec now);

/* Aborts if the state held is not one of its revision.  Does nothing in a
   build without BB_CHECK_INVARIANTS.  */
void bb_sync_check_state (struct bb_sync *s);

/* sync_peers.c: the list of peers.  */
/* Whether A and B are one balancer.  The id is a hash of its name, which two
   may share; their endpoints differ.  */
bool bb_sync_is_same_vm (const struct bb_sync_vm *a,
                         const struct bb_sync_vm *b);
bool bb_sync_peer_is_live (const struct bb_sync_peer *p, bb_usec now);
bool bb_sync_peer_is_local (const struct bb_sync *s,
                            const struct bb_sync_peer *p);

/* Returns the peer for VM, and adds it if needed.  NULL for this balancer
   itself, and if there are too many.  Of each other data centre at most
   BB_SYNC_REMOTE_PEERS_MAX are held.  Beyond that, VM is added only if it is
   the sender of a message (IS_SENDER), and replaces the peer that was silent
   for longest.  */
struct bb_sync_peer *bb_sync_get_peer (struct bb_sync *s,
                                       const struct bb_sync_vm *vm,
                                       bool is_sender);

/* Whether P leads its data centre, by its last heartbeat.  */
bool bb_sync_peer_is_leader (const struct bb_sync_peer *p, bb_usec now);

/* Adds (SIGN 1) or subtracts (SIGN -1) the server loads that P reported.  */
void bb_sync_apply_peer_loads (struct bb_sync *s, const struct bb_sync_peer *p,
                               int sign, bb_usec now);

/* Drops the loads, demands and silences that P reported.  */
void bb_sync_forget_reports (struct bb_sync *s, struct bb_sync_peer *p,
                             bb_usec now);

void bb_sync_expire_peers (struct bb_sync *s, bb_usec now);

/* sync_owners.c: the balancers that may own cold servers.  */
/* Evaluates heartbeat B of P, a balancer of the own data centre.  */
void bb_sync_record_owner (struct bb_sync *s, const struct bb_sync_peer *p,
                           const struct bb_sync_heartbeat *b, bb_usec now);
void bb_sync_update_owners (struct bb_sync *s, bb_usec now);
/* Number of owners known, with this balancer once it is announced.  */
uint32_t bb_sync_owner_count (const struct bb_sync *s);

/* sync_peer_list.c: the peer list of a heartbeat.  Adds peers until the list
   has COUNT entries, first those that a recipient in DATA_CENTRE needs most.
 */
void bb_sync_list_peers (struct bb_sync *s, struct bb_sync_heartbeat *b,
                         uint64_t data_centre, uint32_t count, bb_usec now);

/* sync_rooms.c: demand and room, for placement.  */
void bb_sync_add_demands (struct bb_sync *s, struct bb_sync_heartbeat *b,
                          bb_usec now);

/* Adds the rooms that a leader reports: that of its own data centre to other
   leaders, those of the other data centres to its own one.  */
void bb_sync_add_rooms (struct bb_sync *s, struct bb_sync_heartbeat *b,
                        bool is_local, bb_usec now);
void bb_sync_keep_demands (struct bb_sync_peer *p,
                           const struct bb_sync_heartbeat *b);
void bb_sync_keep_rooms (struct bb_sync *s, const struct bb_sync_peer *p,
                         const struct bb_sync_heartbeat *b, bb_usec now);

/* Sums the flows of peers that no report shows as of NOW.  */
void bb_sync_sum_demands (struct bb_sync *s, bb_usec now);

/* sync_heartbeats.c: exchange of heartbeats, the state of the balancers.  */
void bb_sync_send (struct bb_sync *s, const struct bb_endpoint *to,
                   size_t count, struct bb_sync_message *m);
uint32_t bb_sync_age_ms (bb_usec since, bb_usec now);
uint32_t bb_sync_own_flags (const struct bb_sync *s, bb_usec now);
/* Announces this balancer as the new leader of its data centre to the peers in
   other data centres.  */
void bb_sync_contact_remote_peers (struct bb_sync *s, bb_usec now);
void bb_sync_contact_seeds (struct bb_sync *s, bb_usec now);
void bb_sync_send_heartbeats (struct bb_sync *s, bb_usec now);
void bb_sync_receive_heartbeat (struct bb_sync *s,
                                const struct bb_endpoint *from,
                                const struct bb_sync_message *m, bb_usec now);

/* sync_answers.c: the answers of servers as seen by all balancers of a data
   centre.  */
/* Adds the answers seen here since the last heartbeat to B, whose loads are
   set.  Only a heartbeat that is sent to all peers may take them.  */
void bb_sync_add_answers (struct bb_sync *s, struct bb_sync_heartbeat *b,
                          bb_usec now);
void bb_sync_apply_peer_answers (struct bb_sync *s,
                                 const struct bb_sync_peer *p,
                                 const struct bb_sync_heartbeat *b,
                                 bb_usec now);

/* sync_silences.c: silent servers, as found by all balancers of a data centre.
 */
void bb_sync_add_silences (struct bb_sync *s, struct bb_sync_heartbeat *b,
                           bb_usec now);
/* Replaces the silences that P reported by those of B.  */
void bb_sync_keep_silences (struct bb_sync *s, struct bb_sync_peer *p,
                            const struct bb_sync_heartbeat *b, bb_usec now);
/* Finds the longest silences that peers report, without those that ended.  */
void bb_sync_compare_silences (struct bb_sync *s, bb_usec now);
void bb_sync_drop_silences (struct bb_sync *s, struct bb_sync_peer *p);

/* sync_loads.c: loads of servers in heartbeats.  */
/* Adds the loads of servers, first those of which silences are to be reported
   or refuted, then the most recently changed ones, since flows are placed on
   these.  */
void bb_sync_add_loads (struct bb_sync *s, struct bb_sync_heartbeat *b,
                        bb_usec now);
/* Keeps the loads of B for P.  An implausible load is ignored, since it could
   make balancers refuse all new flows.  */
void bb_sync_keep_loads (struct bb_sync *s, struct bb_sync_peer *p,
                         const struct bb_sync_heartbeat *b);

/* sync_pack.c: the datagrams in which records are sent.  */
void bb_sync_send_records (struct bb_sync *s, const struct bb_endpoint *to,
                           size_t count, uint64_t from, bb_usec now);

/* sync_records.c: exchange of records, the state of the store.  */
void bb_sync_receive_records (struct bb_sync *s,
                              const struct bb_sync_message *message,
                              bb_usec now);
void bb_sync_set_verified (struct bb_sync *s, uint32_t verified_ms,
                           bb_usec now);

/* sync_batches.c: the batches that are being received.  */
/* Adds MESSAGE to its batch.  Returns the batch if it is complete now, to be
   cleared by the caller, or NULL.  */
struct bb_sync_batch *
bb_sync_collect_chunk (struct bb_sync *s,
                       const struct bb_sync_message *message, bb_usec now);
void bb_sync_clear_batch (struct bb_sync_batch *b);
/* Returns the configuration VERSION in the records of B, at REVISION.  */
struct bb_configuration
bb_sync_get_configuration (const struct bb_sync_batch *b, uint64_t version,
                           uint64_t revision);
/* Drops the batches that have been incomplete for too long.  */
void bb_sync_expire_batches (struct bb_sync *s, bb_usec now);

/* sync_evacuations.c: evacuations and limits of services in batches.  Both
   take effect with the routes.  */
void bb_sync_begin_evacuations (struct bb_sync_batch *b, bool is_whole);
void bb_sync_clear_evacuations (struct bb_sync_batch *b);
void bb_sync_collect_evacuations (struct bb_sync_batch *b,
                                  const struct bb_sync_records *m);
void bb_sync_apply_evacuations (struct bb_sync *s,
                                const struct bb_sync_batch *b,
                                const struct bb_sync_records *m, bb_usec now);
void bb_sync_apply_limits (struct bb_sync *s, const struct bb_sync_batch *b,
                           const struct bb_sync_records *m, bb_usec now);

/* Whether a record of REVISION is newer than the directory.  The directory
   holds everything up to its revision, so an older record that it lacks was
   removed in the meantime.  Only an older removal may still be missing.  */
static inline bool
bb_sync_is_newer (const struct bb_sync *s, uint64_t revision)
{
  return revision > s->revision;
}

/* Records that all evacuations and limits up to REVISION are held, if
   IS_COMPLETE, or that changes up to it lack them.  */
void bb_sync_set_complete (struct bb_sync *s, uint64_t revision,
                           bool is_complete, bb_usec now);
bool bb_sync_is_complete (const struct bb_sync *s);

/* sync_publish.c: what followers are sent.  */
/* Sends all changes after revision BEFORE: a leader to its followers, a reader
   also to the other leaders.  */
void bb_sync_publish_changes (struct bb_sync *s, uint64_t before, bb_usec now);

/* sync_eras.c: states of a newer era, and configurations that the store no
   longer shows.  */
/* Enters the era of REVISION, whose records have been applied, and reports it
   with REASON.  Does nothing if this is the era of the state held, or if no
   state is held.  */
void bb_sync_enter_era (struct bb_sync *s, uint64_t revision, uint32_t peer,
                        enum bb_reason reason, bb_usec now);

/* Whether the revision A is of a newer era than B.  */
bool bb_sync_is_newer_era (uint64_t a, uint64_t b);

/* Whether the changes of M lead from the configuration held to that of M.  */
bool bb_sync_knows_changes (const struct bb_sync *s,
                            const struct bb_sync_records *m);

/* Applies the configuration of B, whose last datagram is M, unless the one
   held is newer.  Returns whether the changes recorded up to the state held
   still lead to it.  */
bool bb_sync_apply_configuration (struct bb_sync *s,
                                  const struct bb_sync_batch *b,
                                  const struct bb_sync_records *m,
                                  bb_usec now);

/* Takes the configuration of B, whose last datagram is M, a whole state that
   is not newer than the one held.  */
void bb_sync_adopt_configuration (struct bb_sync *s,
                                  const struct bb_sync_batch *b,
                                  const struct bb_sync_records *m,
                                  bb_usec now);
#endif
