/* Lookup tables of a version: default server, desired server and route of each
   bucket.  The default server is computed from the default set, the desired
   server from the listed servers.  The route is the default server and whether
   the bucket is tracked, that is, whether its packets go through the owner of
   their flow.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <string.h>

/* Whether bucket B is tracked without any impairment bit: its desired or
   target server differs from its default server, or it is load-aware.  */
bool
bb_bucket_is_always_tracked (const struct bb_service_state *s, uint32_t b)
{
  if (s->desired_server[b] != s->default_server[b]
      || b < s->load_aware_buckets)
    return true;
  return s->target_server && s->target_server[b] != s->default_server[b];
}

/* Fills TABLE from the slots of service INDEX that have a weight.  */
static void
fill_table (struct bb_engine *e, uint16_t index, uint16_t *table,
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
    table[b] = table[b] == UINT16_MAX ? BB_NO_SLOT : slots[table[b]];
  g_free (m);
  g_free (slots);
}

static uint16_t
desired_weight (const struct bb_slot *s)
{
  return s->listed ? s->weight : 0;
}

static uint16_t
default_weight (const struct bb_slot *s)
{
  return s->default_weight;
}

static uint16_t
target_weight (const struct bb_slot *s)
{
  return s->target_weight;
}

static void
rebuild_listed_slots (struct bb_engine *e, uint16_t index)
{
  struct bb_service_state *s = &e->services[index];
  g_free (s->slots);
  g_free (s->load_aware.slots);
  g_free (s->load_aware.bounds);
  s->slots = g_new0 (uint16_t, e->slot_count + 1);
  s->load_aware.slots = g_new0 (uint16_t, e->slot_count + 1);
  s->load_aware.bounds = g_new0 (uint32_t, e->slot_count + 1);
  s->load_aware.count = 0;
  s->slot_count = 0;
  s->has_equal_weights = true;
  for (uint32_t i = 0; i < e->slot_count; i++)
    if (e->slots[i].service == index && e->slots[i].listed)
      s->slots[s->slot_count++] = (uint16_t)i;
  for (uint32_t i = 1; i < s->slot_count; i++)
    s->has_equal_weights
        &= e->slots[s->slots[i]].weight == e->slots[s->slots[0]].weight;
}

/* Buckets that were tracked, if only because of the configuration, stay
   tracked for BB_TRACKED_HOLD_TIME, until the holders of their entries have
   set impairment bits.  */
static void
extend_tracking (struct bb_service_state *s, bb_usec now)
{
  if (!s->tracked_until)
    s->tracked_until = g_new0 (bb_usec, s->buckets);
  for (uint32_t b = 0; b < s->buckets; b++)
    if (s->route[b] & BB_ROUTE_TRACKED)
      s->tracked_until[b] = now + BB_TRACKED_HOLD_TIME;
}

static void
allocate (struct bb_service_state *s)
{
  if (s->default_server && s->allocated_buckets == s->buckets)
    return;
  g_free (s->default_server);
  g_free (s->desired_server);
  g_free (s->route);
  g_clear_pointer (&s->tracked_until, g_free);
  s->allocated_buckets = s->buckets;
  s->default_server = g_new0 (uint16_t, s->buckets);
  s->desired_server = g_new0 (uint16_t, s->buckets);
  s->route = g_new0 (uint16_t, s->buckets);
}

static void
rebuild_desired (struct bb_engine *e, uint16_t index, bb_usec now)
{
  struct bb_service_state *s = &e->services[index];
  size_t bytes = s->buckets * sizeof *s->desired_server;
  uint16_t *before = g_memdup2 (s->desired_server, bytes);
  fill_table (e, index, s->desired_server, desired_weight);
  if (memcmp (before, s->desired_server, bytes) != 0)
    s->desired_since = now;
  g_free (before);
}

static void
rebuild_service (struct bb_engine *e, uint16_t index, bb_usec now)
{
  struct bb_service_state *s = &e->services[index];
  allocate (s);
  extend_tracking (s, now);
  rebuild_listed_slots (e, index);
  s->policy = bb_policy_find (s->conf.policy);
  s->load_aware_buckets = s->policy->is_load_aware
                              ? s->buckets * s->conf.spill_permille / 1000
                              : 0;
  fill_table (e, index, s->default_server, default_weight);
  rebuild_desired (e, index, now);
  g_clear_pointer (&s->target_server, g_free);
  if (e->phase != BB_PHASE_SETTLED)
    {
      s->target_server = g_new0 (uint16_t, s->buckets);
      fill_table (e, index, s->target_server, target_weight);
    }
  /* Buckets without a default server use the desired server until the default
     set is received.  */
  for (uint32_t b = 0; b < s->buckets; b++)
    if (s->default_server[b] == BB_NO_SLOT)
      s->default_server[b] = s->desired_server[b];
}

static void
recount_held_entries (struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    e->slots[i].held_entries = 0;
  for (uint32_t i = 0; i < e->flows.size; i++)
    if (e->flows.flows[i].hash)
      bb_held_entries_adjust (e, e->flows.flows[i].hash,
                              e->flows.flows[i].slot, 1);
}

/* Counts DELTA entries at the default server of HASH if its bucket is tracked
   only for impairment bits.  */
void
bb_held_entries_adjust (struct bb_engine *e, uint64_t hash, uint16_t slot,
                        int delta)
{
  struct bb_service_state *s = &e->services[e->slots[slot].service];
  if (!s->default_server)
    return;
  uint32_t b = bb_hash_bucket (hash, s->buckets);
  if (bb_bucket_is_always_tracked (s, b) || s->default_server[b] == BB_NO_SLOT)
    return;
  e->slots[s->default_server[b]].held_entries += (uint32_t)delta;
}

void
bb_tables_rebuild (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    if (e->services[i].listed)
      rebuild_service (e, (uint16_t)i, now);
  bb_addresses_rebuild (e);
  bb_counts_set_order (e);
  recount_held_entries (e);
  bb_routes_rebuild (e, now);
}

static bool
has_bit (const struct bb_engine *e, uint16_t slot)
{
  if (slot == BB_NO_SLOT)
    return false;
  return e->slots[slot].bit_set || e->slots[slot].bit_set_by_peer;
}

void
bb_routes_rebuild (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    {
      struct bb_service_state *s = &e->services[i];
      if (!s->listed)
        continue;
      bool any_kept = false;
      for (uint32_t b = 0; b < s->buckets; b++)
        {
          bool tracked = bb_bucket_is_always_tracked (s, b)
                         || has_bit (e, s->default_server[b])
                         || has_bit (e, s->desired_server[b]);
          if (s->tracked_until && s->tracked_until[b] > now)
            tracked = any_kept = true;
          s->route[b]
              = s->default_server[b] | (tracked ? BB_ROUTE_TRACKED : 0);
        }
      if (!any_kept)
        g_clear_pointer (&s->tracked_until, g_free);
    }
}

void
bb_tables_clear (struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    {
      struct bb_service_state *s = &e->services[i];
      g_free (s->default_server);
      g_free (s->target_server);
      g_free (s->desired_server);
      g_free (s->route);
      g_free (s->tracked_until);
      g_free (s->slots);
      g_free (s->load_aware.slots);
      g_free (s->load_aware.bounds);
    }
  g_free (e->services);
  g_free (e->slots);
  g_free (e->counted_slots);
}
