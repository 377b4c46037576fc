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
#define BB_SHARE_INTERVAL (300 * BB_MSEC)
#define BB_SHARE_SILENCE (1000 * BB_MSEC)

/* A watch of the store waits at most so long, and a reader whose connection
   went silent notices so much later.  */
#define BB_STORE_WAIT (1000 * BB_MSEC)
#define BB_STORE_MARGIN (400 * BB_MSEC)

/* Older knowledge makes a balancer read the store itself: a whole watch, its
   margin, and a beat from the reader to the leader and on to the follower.
   What is left of a configuration's bound of 3 s is for the read.  */
#define BB_SHARE_OUTDATED                                                     \
  (BB_STORE_WAIT + BB_STORE_MARGIN + 2 * BB_SHARE_INTERVAL)

struct bb_sharing;

struct bb_share_sink
{
  /* Sends MESSAGE to the COUNT endpoints TO.  */
  void (*send) (void *context, const struct bb_endpoint *to, size_t count,
                const struct bb_share_message *message);
  void (*event) (void *context, const struct bb_event *event);
  /* A server is new, or changed.  */
  void (*server) (void *context, struct bb_backend_server *server);
};

/* Puts RECORD, which FROM brought, into DIRECTORY and reports what changed. */
void bb_share_take_server (struct bb_directory *directory,
                           const struct bb_server_record *record,
                           enum bb_reason from, uint64_t revision, bb_usec age,
                           const struct bb_share_sink *sink, void *context,
                           bb_usec now);

/* The servers that are listed, but not among NAMES, are gone as of REVISION;
   those that were ready get STATE, gone or lapsed.  */
void bb_share_retain (struct bb_directory *directory, GHashTable *names,
                      enum bb_server_state state, uint64_t revision,
                      enum bb_reason from, bb_usec age,
                      const struct bb_share_sink *sink, void *context,
                      bb_usec now);

struct bb_share_options
{
  struct bb_share_vm self;
  uint64_t incarnation;
  uint32_t capacity; /* permille of a core */
  uint32_t seed;     /* of random numbers */
};

struct bb_sharing *bb_sharing_new (const struct bb_share_options *options,
                                   struct bb_directory *directory,
                                   const struct bb_share_sink *sink,
                                   void *context, bb_usec now);
void bb_sharing_free (struct bb_sharing *s);

/* Balancers to contact until one of them answers.  */
void bb_sharing_seed (struct bb_sharing *s, const struct bb_endpoint *seeds,
                      size_t count);

void bb_sharing_receive (struct bb_sharing *s, const struct bb_endpoint *from,
                         const struct bb_share_message *message, bb_usec now);
void bb_sharing_tick (struct bb_sharing *s, bb_usec now);

/* Tells the peers that this balancer stops, so that others read.  */
void bb_sharing_leave (struct bb_sharing *s, bb_usec now);

/* Whether this balancer is to read the store.  */
bool bb_sharing_reads (const struct bb_sharing *s);

/* Whether it is to call the store now.  While the store answers nobody, those
   that are not first ask seldom.  */
bool bb_sharing_may_call (const struct bb_sharing *s, bb_usec now);

/* The directory holds the store's state of REVISION, as a call showed that
   was sent at ASKED.  */
void bb_sharing_current (struct bb_sharing *s, uint64_t revision,
                         bb_usec asked, bb_usec now);

/* A call to the store failed.  */
void bb_sharing_store_failed (struct bb_sharing *s, bb_usec now);

/* Whether the last call of this balancer to the store failed.  */
bool bb_sharing_store_lost (const struct bb_sharing *s);

uint64_t bb_sharing_revision (const struct bb_sharing *s);

/* Age of the directory's state; a large one if it holds none.  */
bb_usec bb_sharing_age (const struct bb_sharing *s, bb_usec now);
uint32_t bb_sharing_live (const struct bb_sharing *s, bb_usec now);
#endif
