/* How balancers tell each other what the store says, so that a few readers
   serve many balancers, and what each sees of the servers' load.

   In each data centre the first live balancer of an order by capacity leads,
   and the first of the leaders watches the store.  The other leaders follow
   it, and the balancers of a data centre follow their leader.  Whoever is
   silent, cannot reach the store or tells what is old is passed over; a
   balancer that hears nobody reads the store itself.  */

#ifndef BB_MARKED_SYNC_H
#define BB_MARKED_SYNC_H

#include "marked/sync_messages.h"

/* Three lost beats are silence.  */
#define BB_SYNC_HEARTBEAT_INTERVAL (300 * BB_MSEC)
#define BB_SYNC_PEER_TIMEOUT (1000 * BB_MSEC)

/* A watch of the store waits at most so long, and a reader whose connection
   went silent notices so much later.  */
#define BB_STORE_WATCH_TIME (1000 * BB_MSEC)
#define BB_STORE_WATCH_MARGIN (400 * BB_MSEC)

/* Older knowledge makes a balancer read the store itself: a whole watch, its
   margin, and a beat from the reader to the leader and on to the follower.
   What is left of a configuration's bound of 3 s is for the read.  */
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
  /* A server is new, or changed.  */
  void (*server) (void *context, struct bb_backend_server *server);
};

/* Puts RECORD, which FROM brought, into DIRECTORY and reports what changed. */
void bb_sync_apply_server (struct bb_directory *directory,
                           const struct bb_server_record *record,
                           enum bb_reason from, uint64_t revision, bb_usec age,
                           const struct bb_sync_sink *sink, void *context,
                           bb_usec now);

/* The servers that are listed, but not among NAMES, are gone as of REVISION;
   those that were ready get STATE, gone or lapsed.  */
void bb_sync_remove_unlisted (struct bb_directory *directory,
                              GHashTable *names, enum bb_server_state state,
                              uint64_t revision, enum bb_reason from,
                              bb_usec age, const struct bb_sync_sink *sink,
                              void *context, bb_usec now);

struct bb_sync_options
{
  struct bb_sync_vm self;
  uint64_t incarnation;
  uint32_t capacity; /* permille of a core */
  uint32_t seed;     /* of random numbers */
};

struct bb_sync *bb_sync_new (const struct bb_sync_options *options,
                             struct bb_directory *directory,
                             const struct bb_sync_sink *sink, void *context,
                             bb_usec now);
void bb_sync_free (struct bb_sync *s);

/* Balancers to contact until one of them answers.  */
void bb_sync_set_seeds (struct bb_sync *s, const struct bb_endpoint *seeds,
                        size_t count);

void bb_sync_receive (struct bb_sync *s, const struct bb_endpoint *from,
                      const struct bb_sync_message *message, bb_usec now);
void bb_sync_tick (struct bb_sync *s, bb_usec now);

/* Tells the peers that this balancer stops, so that others read.  */
void bb_sync_announce_leave (struct bb_sync *s, bb_usec now);

/* Whether this balancer is to read the store.  */
bool bb_sync_is_reader (const struct bb_sync *s);

/* Whether it is to call the store now.  While the store answers nobody, those
   that are not first ask seldom.  */
bool bb_sync_may_call_store (const struct bb_sync *s, bb_usec now);

/* The directory holds the store's state of REVISION, as a call showed that
   was sent at ASKED.  */
void bb_sync_confirm_revision (struct bb_sync *s, uint64_t revision,
                               bb_usec requested, bb_usec now);

/* A call to the store failed.  */
void bb_sync_report_store_failure (struct bb_sync *s, bb_usec now);

/* Whether the last call of this balancer to the store failed.  */
bool bb_sync_has_store_failed (const struct bb_sync *s);

uint64_t bb_sync_revision (const struct bb_sync *s);

/* Age of the directory's state; a large one if it holds none.  */
bb_usec bb_sync_state_age (const struct bb_sync *s, bb_usec now);
uint32_t bb_sync_count_live_peers (const struct bb_sync *s, bb_usec now);
#endif
