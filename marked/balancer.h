/* Balancer of a marked transport: decides on each packet of a caller whether
   to forward it, to which server, or to reset or drop it.

   Both ends of a flow put a cookie into each packet.  The cookie identifies
   the flow's backend server, so that any balancer can forward the flow without
   state of its own.  New flows are placed on servers of the directory, which
   the balancers synchronize among each other.

   The functions do no I/O; the time is an argument.  */

#ifndef BB_MARKED_BALANCER_H
#define BB_MARKED_BALANCER_H

#include "core/histogram.h"
#include "marked/flow_causes.h"
#include "marked/placement/cold_start.h"
#include "marked/state/snapshot.h"
#include "marked/sync/sync.h"

struct bb_marked_packet
{
  struct bb_packet packet;
  uint32_t cookie; /* 0: none */
};

struct bb_marked_sink
{
  /* Sends MESSAGE to the COUNT endpoints TO.  */
  void (*send) (void *context, const struct bb_endpoint *to, size_t count,
                const struct bb_sync_message *message);
  void (*event) (void *context, const struct bb_event *event);
  /* Reports a server that was added or changed.  */
  void (*server) (void *context, const struct bb_backend_server *server);
  /* Sends a reset to the caller of PACKET.  */
  void (*reset) (void *context, const struct bb_marked_packet *packet);
  /* Sends the packet kept in SLOT again.  */
  void (*copy) (void *context, unsigned slot);
};

enum
{
  BB_MARKED_PROBE_SLOTS = 32, /* packets of probes kept at a time */
};

enum bb_marked_verdict_kind
{
  BB_MARKED_FORWARD, /* send to target, with cookie in the packet */
  BB_MARKED_RESET,   /* send a reset to the caller */
  BB_MARKED_DROP     /* counted under drop */
};

struct bb_marked_verdict
{
  enum bb_marked_verdict_kind kind;
  enum bb_drop drop;
  struct bb_endpoint target;
  uint64_t tag; /* bb_server_record.tag of the server */
  uint32_t cookie;
  /* From 1 to BB_MARKED_PROBE_SLOTS: the packet is to be kept there, as sent,
     for the copies of a probe; 0: not.  */
  unsigned probe_slot;
};

struct bb_marked_counters
{
  uint64_t forwarded;
  uint64_t placed;
  uint64_t placed_for[BB_FLOW_CAUSES];
  uint64_t placed_remote; /* in another data centre */
  /* In another data centre, because the own one is evacuated.  */
  uint64_t placed_evacuated;
  uint64_t placed_random;  /* BB_CHOICE_RANDOM */
  uint64_t placed_spilled; /* in another data centre, by its report of room */
  uint64_t syn_copies;     /* copies of first packets */
  uint64_t cold_passed_over; /* flows for which a cold server had no room */
  uint64_t refused[BB_REASONS];
  uint64_t resets;
  uint64_t drops[BB_DROP_KINDS];
  uint64_t suspicions;
  uint64_t answers; /* answers whose first data a caller acknowledged */
  uint64_t repeats; /* packets that callers retransmitted */
  /* Retransmissions that a server acknowledged no more than the packet.  */
  uint64_t unacknowledged;
  uint64_t probes; /* packets that were sent several times */
  uint64_t probes_failed;
};

struct bb_marked_options
{
  struct bb_sync_options sync_options;
  const char *data_centre;
  uint32_t flow_capacity;
  uint32_t idle_ms; /* a flow without packets for this time has ended */
  struct bb_cold_limits cold_limits;
};

struct bb_marked;

struct bb_marked *bb_marked_new (const struct bb_marked_options *options,
                                 const struct bb_marked_sink *sink,
                                 void *context, bb_usec now);
void bb_marked_free (struct bb_marked *m);

/* Decides on one packet of a caller.  Does not allocate memory.  */
void bb_marked_handle_packet (struct bb_marked *m,
                              const struct bb_marked_packet *packet,
                              bb_usec now, struct bb_marked_verdict *verdict);

/* Applies an update from the store.  A record of state BB_SERVER_GONE needs
   only a name and a revision.  */
void bb_marked_put_server (struct bb_marked *m,
                           const struct bb_server_record *record, bb_usec now);
void bb_marked_configure (struct bb_marked *m,
                          const struct bb_configuration *c, bb_usec now);
void bb_marked_put_evacuation (struct bb_marked *m,
                               const struct bb_evacuation_record *record,
                               bb_usec now);

/* Replaces the state held by SNAPSHOT and confirms its revision, unless a peer
   has delivered a newer state.  Servers that it does not list are removed.
   After a store outage, those that were ready are set to expired instead of
   gone, and may come back within BB_EXPIRY_GRACE_TIME.  Evacuations that it
   does not list are taken back.  */
void bb_marked_adopt_snapshot (struct bb_marked *m,
                               const struct bb_snapshot *snapshot,
                               bb_usec now);

/* Counts a packet that could not be decoded.  */
void bb_marked_count_drop (struct bb_marked *m, enum bb_drop kind);

/* Records that all changes up to REVISION have been applied, as confirmed by a
   store call that was sent at REQUESTED.  */
void bb_marked_confirm_revision (struct bb_marked *m, uint64_t revision,
                                 bb_usec requested, bb_usec now);

void bb_marked_tick (struct bb_marked *m, bb_usec now);

/* Whether a configuration is in force, so that flows can be handled.  */
bool bb_marked_is_ready (const struct bb_marked *m);

struct bb_sync *bb_marked_get_sync (struct bb_marked *m);
struct bb_directory *bb_marked_directory (struct bb_marked *m);
const struct bb_marked_counters *
bb_marked_get_counters (const struct bb_marked *m);
const struct bb_histogram *bb_marked_answer_times (const struct bb_marked *m);
const struct bb_histogram *bb_marked_open_times (const struct bb_marked *m);
uint32_t bb_marked_flow_count (const struct bb_marked *m);

/* Cold servers whose new flows this balancer places.  */
uint32_t bb_marked_count_owned_cold_servers (const struct bb_marked *m);
#endif
