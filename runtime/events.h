/* Bounded ring of the most recent events.  Adding an event allocates no
   memory, so the packet path may do it.  A rate limit for each kind keeps a
   flood of one kind from displacing all other events.  */

#ifndef BB_RUNTIME_EVENTS_H
#define BB_RUNTIME_EVENTS_H

#include "core/core.h"

enum
{
  BB_EVENTS_CAPACITY = 4096,
  BB_EVENTS_BURST = 64, /* events of one kind that are accepted at once */
  BB_EVENTS_RATE = 20,  /* sustained events of one kind per second */
};

struct bb_event_record
{
  uint64_t seq; /* starts at 1 */
  int64_t time_us;
  bb_usec mono_us;
  uint64_t versions[BB_DOCUMENT_KINDS];
  /* Number of events of this kind that the rate limit dropped since the
     previous record.  */
  uint64_t suppressed;
  struct bb_event event;
};

struct bb_events;

struct bb_events *bb_events_new (uint32_t capacity);
void bb_events_free (struct bb_events *events);

/* Sets the document versions that are recorded with subsequent events.  */
void bb_events_set_versions (struct bb_events *events,
                             const uint64_t versions[BB_DOCUMENT_KINDS]);

/* Stores EVENT unless its kind exceeds the rate limit.  A full ring overwrites
   its oldest event.  */
void bb_events_add (struct bb_events *events, const struct bb_event *event,
                    bb_usec mono_us, int64_t time_us);

/* The oldest stored event whose seq is greater than AFTER, or NULL.  */
const struct bb_event_record *bb_events_next (const struct bb_events *events,
                                              uint64_t after);
uint64_t bb_events_last_seq (const struct bb_events *events);
uint64_t bb_events_suppressed_count (const struct bb_events *events);
#endif
