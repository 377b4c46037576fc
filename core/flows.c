/* Table of tracked flows with linear probing.  A removal moves later entries
   of the probe sequence, so that a search can stop at the first free
   position.  */

#include "core/flows.h"

#include <string.h>

/* Positions sampled for one eviction; bounds the work for a packet.  */
#define EVICTION_SAMPLE 32

static uint32_t
home_index (const struct bb_flows *t, uint64_t hash)
{
  return (uint32_t)(((hash & UINT32_MAX) * t->size) >> 32);
}

void
bb_flows_init (struct bb_flows *t, uint32_t capacity)
{
  t->capacity = MAX (capacity, 16);
  t->size = t->capacity + t->capacity / 4 + 1;
  t->flows = g_new0 (struct bb_flow, t->size);
  t->used = 0;
  t->embryonic = 0;
  t->eviction_cursor = 0;
}

void
bb_flows_clear (struct bb_flows *t)
{
  g_free (t->flows);
  memset (t, 0, sizeof *t);
}

struct bb_flow *
bb_flows_find (const struct bb_flows *t, uint64_t hash)
{
  uint32_t i = home_index (t, hash);
  while (t->flows[i].hash)
    {
      if (t->flows[i].hash == hash)
        return &t->flows[i];
      if (++i == t->size)
        i = 0;
    }
  return NULL;
}

bool
bb_flows_has_room (const struct bb_flows *t, enum bb_flow_state state)
{
  if (state == BB_FLOW_SYN && t->embryonic >= t->capacity / 4)
    return false;
  return t->used < t->capacity;
}

struct bb_flow *
bb_flows_add (struct bb_flows *t, uint64_t hash, enum bb_flow_state state)
{
  uint32_t i = home_index (t, hash);
  while (t->flows[i].hash)
    if (++i == t->size)
      i = 0;
  t->used++;
  t->embryonic += state == BB_FLOW_SYN;
  t->flows[i] = (struct bb_flow){ .hash = hash, .state = (uint8_t)state };
  return &t->flows[i];
}

void
bb_flows_set_state (struct bb_flows *t, struct bb_flow *f,
                    enum bb_flow_state state)
{
  t->embryonic -= f->state == BB_FLOW_SYN;
  t->embryonic += state == BB_FLOW_SYN;
  f->state = (uint8_t)state;
}

/* Whether the entry at index J may move to the free index I, that is, whether
   its home index does not lie cyclically within (I, J].  */
static bool
may_move (const struct bb_flows *t, uint32_t i, uint32_t j)
{
  uint32_t h = home_index (t, t->flows[j].hash);
  if (i <= j)
    return h <= i || h > j;
  return h <= i && h > j;
}

void
bb_flows_remove (struct bb_flows *t, struct bb_flow *f)
{
  t->used--;
  t->embryonic -= f->state == BB_FLOW_SYN;
  uint32_t i = (uint32_t)(f - t->flows);
  uint32_t j = i;
  for (;;)
    {
      if (++j == t->size)
        j = 0;
      if (!t->flows[j].hash)
        break;
      if (!may_move (t, i, j))
        continue;
      t->flows[i] = t->flows[j];
      i = j;
    }
  t->flows[i] = (struct bb_flow){ .hash = 0 };
}

struct bb_flow *
bb_flows_eviction_candidate (struct bb_flows *t)
{
  struct bb_flow *oldest = NULL;
  for (int n = 0; n < EVICTION_SAMPLE; n++)
    {
      struct bb_flow *f = &t->flows[t->eviction_cursor];
      if (++t->eviction_cursor == t->size)
        t->eviction_cursor = 0;
      if (!f->hash || f->state != BB_FLOW_SYN)
        continue;
      if (!oldest || f->last_seen < oldest->last_seen)
        oldest = f;
    }
  return oldest;
}
