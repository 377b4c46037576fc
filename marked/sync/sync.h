/* Synchronization of the store's state and of server load between balancers,
   so that a few readers of the store serve many balancers.

   Each data centre has a leader, the first of its live balancers in an order
   by capacity.  The first leader watches the store, the other leaders follow
   it, and all other balancers follow the leader of their data centre.  A
   balancer that is silent, stops or has no state yet is skipped in the order;
   those whose calls to the store failed recently come last.  A balancer that
   receives no current state reads the store itself.  */

#ifndef BB_MARKED_SYNC_H
#define BB_MARKED_SYNC_H

#include "marked/sync/sync_messages.h"

/* A peer is silent after three lost heartbeats.  */
#define BB_SYNC_HEARTBEAT_INTERVAL (300 * BB_MSEC)
#define BB_SYNC_PEER_TIMEOUT (1000 * BB_MSEC)

/* Time limit of a watch of the store.  If the watch has not returned
   BB_STORE_WATCH_MARGIN after that limit, the reader treats the connection as
   silent.  */
#define BB_STORE_WATCH_TIME (1000 * BB_MSEC)
#define BB_STORE_WATCH_MARGIN (400 * BB_MSEC)

/* A balancer whose state is older than this reads the store itself.  The time
   allows for a whole watch, its margin, and heartbeats from the reader to the
   leader and from the leader to the follower.  The remainder of the limit of
   3 s for a configuration is left for the read.  */
#define BB_SYNC_STATE_AGE_MAX                                                 \
  (BB_STORE_WATCH_TIME + BB_STORE_WATCH_MARGIN                                \
   + 2 * BB_SYNC_HEARTBEAT_INTERVAL)

struct bb_sync;

struct bb_sync_sink
{
  /* Sends MESSAGE to the COUNT endpoints TO.  */
  void (*send) (void *context, const struct bb_endpoint *to, size_t count,
                const struct bb_sync_message *message);
  void (*event) (void *context, const struct bb_event *event);
  /* Reports a server that was added or changed.  */
  void (*server) (void *context, struct bb_backend_server *server);
};

/* Applies RECORD, received from FROM, to DIRECTORY and reports the change.  */
void bb_sync_apply_server (struct bb_directory *directory,
                           const struct bb_server_record *record,
                           enum bb_reason from, uint64_t revision, bb_usec age,
                           const struct bb_sync_sink *sink, void *context,
                           bb_usec now);

/* Removes the listed servers that are not in NAMES, unless they are newer than
   REVISION.  Servers that were ready are set to STATE, gone or expired; the
   others are set to gone.  */
void bb_sync_remove_unlisted (struct bb_directory *directory,
                              GHashTable *names, enum bb_server_state state,
                              uint64_t revision, enum bb_reason from,
                              bb_usec age, const struct bb_sync_sink *sink,
                              void *context, bb_usec now);

/* Applies RECORD, received from FROM, to DIRECTORY and reports the change.  */
void bb_sync_apply_evacuation (struct bb_directory *directory,
                               const struct bb_evacuation_record *record,
                               enum bb_reason from, uint64_t revision,
                               bb_usec age, const struct bb_sync_sink *sink,
                               void *context, bb_usec now);

/* Takes back the evacuations of data centres that are not in LISTED, unless
   they are newer than REVISION.  */
void bb_sync_end_unlisted_evacuations (struct bb_directory *directory,
                                       GHashTable *listed, uint64_t revision,
                                       enum bb_reason from, bb_usec age,
                                       const struct bb_sync_sink *sink,
                                       void *context, bb_usec now);

struct bb_sync_options
{
  struct bb_sync_vm self;
  uint64_t incarnation;
  uint32_t capacity; /* permille of a core */
  uint32_t seed;     /* of the random number generator */
};

struct bb_sync *bb_sync_new (const struct bb_sync_options *options,
                             struct bb_directory *directory,
                             const struct bb_sync_sink *sink, void *context,
                             bb_usec now);
void bb_sync_free (struct bb_sync *s);

/* Sets the balancers to contact until one of them replies.  */
void bb_sync_set_seeds (struct bb_sync *s, const struct bb_endpoint *seeds,
                        size_t count);

void bb_sync_receive (struct bb_sync *s, const struct bb_endpoint *from,
                      const struct bb_sync_message *message, bb_usec now);
void bb_sync_tick (struct bb_sync *s, bb_usec now);

/* Records that the server of COOKIE fell silent here: heartbeats report it
   before other servers.  */
void bb_sync_note_silence (struct bb_sync *s, uint32_t cookie);

/* Sends the next heartbeat soon, since it has a report that peers need now.
 */
void bb_sync_hurry_heartbeat (struct bb_sync *s, bb_usec now);

/* Announces to the peers that this balancer stops, so that another one reads
   the store.  */
void bb_sync_announce_leave (struct bb_sync *s, bb_usec now);

/* Whether this balancer reads the store.  */
bool bb_sync_is_reader (const struct bb_sync *s);

/* Whether this balancer may call the store now.  While calls fail, readers
   other than the first one call at longer intervals.  */
bool bb_sync_may_call_store (const struct bb_sync *s, bb_usec now);

/* Records that the directory holds the state of the store at REVISION, as
   confirmed by a call that was sent at REQUESTED.  */
void bb_sync_confirm_revision (struct bb_sync *s, uint64_t revision,
                               bb_usec requested, bb_usec now);

/* Records that a call to the store failed.  */
void bb_sync_report_store_failure (struct bb_sync *s, bb_usec now);

/* Whether the last call of this balancer to the store failed.  */
bool bb_sync_has_store_failed (const struct bb_sync *s);

uint64_t bb_sync_revision (const struct bb_sync *s);

/* Returns the revision from which a call to the store must continue.  It is
   lower than bb_sync_revision if a peer of an older build sent the changes
   after it, without evacuations and limits of services.  */
uint64_t bb_sync_complete_revision (const struct bb_sync *s);

/* Last time that a balancer of the own data centre joined, was lost, or began
   to leave, this one included; 0: never.  */
bb_usec bb_sync_members_changed (const struct bb_sync *s);

/* Whether this balancer takes part in the division of cold servers among the
   balancers of its data centre.  Off at first.  */
void bb_sync_enable_owner (struct bb_sync *s, bool is_enabled);

/* Whether this balancer is the owner of SERVER, a bb_server_key in its own
   data centre.  At most one balancer is.  */
bool bb_sync_owns (const struct bb_sync *s, uint32_t server);

/* Number and time of the last change of the owners known.  */
uint32_t bb_sync_owners_generation (const struct bb_sync *s);
bb_usec bb_sync_owners_changed (const struct bb_sync *s);

/* Age of the state in the directory; BB_AGE_UNKNOWN if there is none.  */
bb_usec bb_sync_state_age (const struct bb_sync *s, bb_usec now);

/* Number of states that were not sent since they exceed BB_SYNC_CHUNKS_MAX. */
uint64_t bb_sync_unsent_batches (const struct bb_sync *s);

/* Number of silences of servers that peers report now.  */
uint32_t bb_sync_peer_silences (const struct bb_sync *s);
uint32_t bb_sync_count_live_peers (const struct bb_sync *s, bb_usec now);
#endif
