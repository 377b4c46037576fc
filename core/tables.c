/* Lookup tables of a version: base, head and route of each bucket.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <string.h>

bool
bb_bucket_inherent (const struct bb_service_state *s, uint32_t b)
{
  if (s->head[b] != s->base[b] || b < s->spill_buckets)
    return true;
  return s->target && s->target[b] != s->base[b];
}

/* Fills TABLE over the slots of service INDEX that have a weight.  */
static void
fill (struct bb_engine *e, uint16_t index, uint16_t *table,
      uint16_t (*weight) (const struct bb_slot *))
{
  struct bb_service_state *s = &e->services[index];
  struct bb_maglev_member *m
      = g_new0 (struct bb_maglev_member, e->slot_count + 1);
  uint16_t *slots = g_new0 (uint16_t, e->slot_count + 1);
  size_t n = 0;
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      const struct bb_slot *t = &e->slots[i];
      if (t->service != index || !weight (t))
        continue;
      m[n] = (struct bb_maglev_member){ .key = t->key, .weight = weight (t) };
      slots[n++] = (uint16_t)i;
    }
  bb_maglev_fill (table, s->buckets, m, n);
  for (uint32_t b = 0; b < s->buckets; b++)
    table[b] = table[b] == UINT16_MAX ? BB_MISSING_SLOT : slots[table[b]];
  g_free (m);
  g_free (slots);
}

static uint16_t
head_weight (const struct bb_slot *s)
{
  return s->listed ? s->weight : 0;
}

static uint16_t
base_weight (const struct bb_slot *s)
{
  return s->base_weight;
}

static uint16_t
target_weight (const struct bb_slot *s)
{
  return s->target_weight;
}

static void
list_slots (struct bb_engine *e, uint16_t index)
{
  struct bb_service_state *s = &e->services[index];
  g_free (s->slots);
  g_free (s->spill.slots);
  g_free (s->spill.bounds);
  s->slots = g_new0 (uint16_t, e->slot_count + 1);
  s->spill.slots = g_new0 (uint16_t, e->slot_count + 1);
  s->spill.bounds = g_new0 (uint32_t, e->slot_count + 1);
  s->spill.count = 0;
  s->slot_count = 0;
  s->uniform = true;
  for (uint32_t i = 0; i < e->slot_count; i++)
    if (e->slots[i].service == index && e->slots[i].listed)
      s->slots[s->slot_count++] = (uint16_t)i;
  for (uint32_t i = 1; i < s->slot_count; i++)
    s->uniform &= e->slots[s->slots[i]].weight == e->slots[s->slots[0]].weight;
}

/* A bucket that was marked by the configuration only stays tracked for a
   while, until the holders of its entries have set impairment bits.  */
static void
keep_sticky (struct bb_service_state *s, bb_usec now)
{
  if (!s->sticky)
    s->sticky = g_new0 (bb_usec, s->buckets);
  for (uint32_t b = 0; b < s->buckets; b++)
    if (s->route[b] & BB_ROUTE_TRACKED)
      s->sticky[b] = now + BB_STICKY_TIME;
}

static void
allocate (struct bb_service_state *s)
{
  if (s->base && s->allocated == s->buckets)
    return;
  g_free (s->base);
  g_free (s->head);
  g_free (s->route);
  g_clear_pointer (&s->sticky, g_free);
  s->allocated = s->buckets;
  s->base = g_new0 (uint16_t, s->buckets);
  s->head = g_new0 (uint16_t, s->buckets);
  s->route = g_new0 (uint16_t, s->buckets);
}

static void
rebuild_head (struct bb_engine *e, uint16_t index, bb_usec now)
{
  struct bb_service_state *s = &e->services[index];
  size_t bytes = s->buckets * sizeof *s->head;
  uint16_t *before = g_memdup2 (s->head, bytes);
  fill (e, index, s->head, head_weight);
  if (memcmp (before, s->head, bytes) != 0)
    s->head_since = now;
  g_free (before);
}

static void
rebuild_service (struct bb_engine *e, uint16_t index, bb_usec now)
{
  struct bb_service_state *s = &e->services[index];
  allocate (s);
  keep_sticky (s, now);
  list_slots (e, index);
  s->policy = bb_policy_find (s->conf.policy);
  s->spill_buckets = s->policy->spills ? s->buckets * s->conf.spill / 1000 : 0;
  fill (e, index, s->base, base_weight);
  rebuild_head (e, index, now);
  g_clear_pointer (&s->target, g_free);
  if (e->phase != BB_PHASE_SETTLED)
    {
      s->target = g_new0 (uint16_t, s->buckets);
      fill (e, index, s->target, target_weight);
    }
  /* Until the base set is known, the listed servers stand in for it.  */
  for (uint32_t b = 0; b < s->buckets; b++)
    if (s->base[b] == BB_MISSING_SLOT)
      s->base[b] = s->head[b];
}

static void
recount_held (struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    e->slots[i].held = 0;
  for (uint32_t i = 0; i < e->flows.size; i++)
    if (e->flows.flows[i].hash)
      bb_held_count (e, e->flows.flows[i].hash, e->flows.flows[i].slot, 1);
}

void
bb_held_count (struct bb_engine *e, uint64_t hash, uint16_t slot, int delta)
{
  struct bb_service_state *s = &e->services[e->slots[slot].service];
  if (!s->base)
    return;
  uint32_t b = bb_hash_bucket (hash, s->buckets);
  if (bb_bucket_inherent (s, b) || s->base[b] == BB_MISSING_SLOT)
    return;
  e->slots[s->base[b]].held += (uint32_t)delta;
}

void
bb_tables_rebuild (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    if (e->services[i].listed)
      rebuild_service (e, (uint16_t)i, now);
  bb_addresses_rebuild (e);
  bb_counts_order (e);
  recount_held (e);
  bb_routes_rebuild (e, now);
}

static bool
marked (const struct bb_engine *e, uint16_t slot)
{
  if (slot == BB_MISSING_SLOT)
    return false;
  return e->slots[slot].bit || e->slots[slot].bit_peer;
}

void
bb_routes_rebuild (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    {
      struct bb_service_state *s = &e->services[i];
      if (!s->listed)
        continue;
      bool sticky = false;
      for (uint32_t b = 0; b < s->buckets; b++)
        {
          bool tracked = bb_bucket_inherent (s, b) || marked (e, s->base[b])
                         || marked (e, s->head[b]);
          if (s->sticky && s->sticky[b] > now)
            tracked = sticky = true;
          s->route[b] = s->base[b] | (tracked ? BB_ROUTE_TRACKED : 0);
        }
      if (!sticky)
        g_clear_pointer (&s->sticky, g_free);
    }
}

void
bb_tables_clear (struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    {
      struct bb_service_state *s = &e->services[i];
      g_free (s->base);
      g_free (s->target);
      g_free (s->head);
      g_free (s->route);
      g_free (s->sticky);
      g_free (s->slots);
      g_free (s->spill.slots);
      g_free (s->spill.bounds);
    }
  g_free (e->services);
  g_free (e->slots);
  g_free (e->counted);
}
