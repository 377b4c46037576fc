#include "runtime/events.h"
#include <string.h>

/* Token bucket for one kind of event; tokens are millionths of an event.  */
struct rate_limit
{
  int64_t tokens;
  bb_usec refilled;
  uint64_t suppressed;
};

struct bb_events
{
  uint32_t capacity;
  uint64_t last; /* seq of the newest event */
  uint64_t suppressed;
  uint64_t versions[BB_DOCUMENT_KINDS];
  struct rate_limit limits[BB_EVENT_KINDS];
  struct bb_event_record records[];
};

struct bb_events *
bb_events_new (uint32_t capacity)
{
  struct bb_events *events
      = g_malloc0 (sizeof *events + capacity * sizeof events->records[0]);
  events->capacity = capacity;
  for (int i = 0; i < BB_EVENT_KINDS; i++)
    events->limits[i].tokens = BB_EVENTS_BURST * BB_SEC;
  return events;
}

void
bb_events_free (struct bb_events *events)
{
  g_free (events);
}

void
bb_events_set_versions (struct bb_events *events,
                        const uint64_t versions[BB_DOCUMENT_KINDS])
{
  memcpy (events->versions, versions, sizeof events->versions);
}

static bool
take_token (struct rate_limit *rate_limit, bb_usec now)
{
  bb_usec elapsed = CLAMP (now - rate_limit->refilled, 0,
                           BB_EVENTS_BURST * BB_SEC / BB_EVENTS_RATE);
  rate_limit->refilled = now;
  rate_limit->tokens = MIN (rate_limit->tokens + elapsed * BB_EVENTS_RATE,
                            BB_EVENTS_BURST * BB_SEC);
  if (rate_limit->tokens < BB_SEC)
    return false;
  rate_limit->tokens -= BB_SEC;
  return true;
}

void
bb_events_add (struct bb_events *events, const struct bb_event *event,
               bb_usec mono_us, int64_t time_us)
{
  struct rate_limit *rate_limit = &events->limits[event->kind];
  if (!take_token (rate_limit, mono_us))
    {
      rate_limit->suppressed++;
      events->suppressed++;
      return;
    }
  events->last++;
  struct bb_event_record *record
      = &events->records[events->last % events->capacity];
  *record = (struct bb_event_record){
    .seq = events->last,
    .time_us = time_us,
    .mono_us = mono_us,
    .suppressed = rate_limit->suppressed,
    .event = *event,
  };
  memcpy (record->versions, events->versions, sizeof record->versions);
  rate_limit->suppressed = 0;
}

const struct bb_event_record *
bb_events_next (const struct bb_events *events, uint64_t after)
{
  if (after >= events->last)
    return NULL;
  uint64_t oldest = events->last > events->capacity
                        ? events->last - events->capacity + 1
                        : 1;
  return &events->records[MAX (after + 1, oldest) % events->capacity];
}

uint64_t
bb_events_last_seq (const struct bb_events *events)
{
  return events->last;
}

uint64_t
bb_events_suppressed_count (const struct bb_events *events)
{
  return events->suppressed;
}
