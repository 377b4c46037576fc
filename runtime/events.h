/* Bounded ring of the latest events.  Adding one allocates nothing, so that
   the packet path may do it.  */

#ifndef BB_RUNTIME_EVENTS_H
#define BB_RUNTIME_EVENTS_H

#include "core/core.h"

enum
{
  BB_EVENTS_CAPACITY = 4096,
  BB_EVENTS_BURST = 64, /* events of one kind before the limit applies */
  BB_EVENTS_RATE = 20,  /* events per second of one kind */
};

struct bb_event_record
{
  uint64_t seq; /* from 1 */
  int64_t time_us;
  bb_usec mono_us;
  uint64_t versions[BB_DOCUMENT_KINDS];
  uint64_t suppressed; /* events of the kind since the last one kept */
  struct bb_event event;
};

struct bb_events;

struct bb_events *bb_events_new (uint32_t capacity);
void bb_events_free (struct bb_events *events);

/* The versions that are written into the events that follow.  */
void bb_events_set_versions (struct bb_events *events,
                             const uint64_t versions[BB_DOCUMENT_KINDS]);

/* Keeps EVENT unless its kind is over the rate limit; the oldest one makes
   room.  */
void bb_events_add (struct bb_events *events, const struct bb_event *event,
                    bb_usec mono_us, int64_t time_us);

/* The oldest event kept whose seq is greater than AFTER, or NULL.  */
const struct bb_event_record *bb_events_next (const struct bb_events *events,
                                              uint64_t after);
uint64_t bb_events_last_seq (const struct bb_events *events);
uint64_t bb_events_suppressed_count (const struct bb_events *events);
#endif
