/* Placement of new flows: selects the eligible servers and the server of a
   flow from the health, drain, limits and flow counts of the servers.  A flow
   is placed away from its default server only when all balancers track its
   bucket; a balancer that does not track the bucket would send later packets
   to the default server.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <math.h>

#define NEAR_LIMIT_PERMILLE 950 /* of the connection limit */

static bool
is_in_service (const struct bb_slot *s)
{
  return s->listed && !s->drain && !s->leaving && !s->health.draining;
}

/* If fewer than half of the servers are up, either the probes are wrong or the
   remaining servers would be overloaded, so health is ignored.  */
static bool
in_panic (const struct bb_engine *e, const struct bb_service_state *s)
{
  uint32_t in_service = 0, up = 0;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      const struct bb_slot *t = &e->slots[s->slots[i]];
      in_service += is_in_service (t);
      up += is_in_service (t) && t->health.up;
    }
  return in_service && 2 * up < in_service;
}

static void
update_limit (struct bb_slot *t)
{
  int64_t limit = t->connection_limit;
  t->is_full = limit && t->open_flows >= limit;
  t->is_near_limit
      = limit && t->open_flows * 1000 >= limit * NEAR_LIMIT_PERMILLE;
}

static uint16_t
share_of_new_flows (const struct bb_slot *t, const struct bb_service_state *s,
                    bb_usec now)
{
  if (!is_in_service (t) || t->is_full)
    return 0;
  if (!t->health.up && !s->panic)
    return 0;
  return (uint16_t)bb_health_ramp (&t->health, s->conf.ramp_ms, now);
}

/* If all servers are draining or leaving, they take the new flows.  */
static void
use_draining_servers (struct bb_engine *e, struct bb_service_state *s)
{
  for (uint32_t i = 0; i < s->slot_count; i++)
    if (is_in_service (&e->slots[s->slots[i]]))
      return;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[s->slots[i]];
      t->share = t->health.up && !t->is_full ? BB_SHARE_FULL : 0;
    }
}

static void
prepare_service (struct bb_engine *e, struct bb_service_state *s, bb_usec now)
{
  bool panic = in_panic (e, s);
  if (panic && !s->panic)
    bb_engine_emit_event (e, BB_EVENT_PANIC, 0, s->conf.key, s->slot_count);
  s->panic = panic;
  s->has_server_near_limit = false;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[s->slots[i]];
      update_limit (t);
      t->share = share_of_new_flows (t, s, now);
      s->has_server_near_limit |= t->is_near_limit;
    }
  use_draining_servers (e, s);
  if (s->policy->prepare)
    s->policy->prepare (e, s, now);
}

static void
evaluate_impairment (struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[i];
      t->is_impaired = t->listed
                       && (t->share < BB_SHARE_FULL || t->is_near_limit
                           || !is_in_service (t));
    }
}

void
bb_place_prepare (struct bb_engine *e, bb_usec now)
{
  bb_counts_merge (e, now);
  for (uint32_t i = 0; i < e->service_count; i++)
    if (e->services[i].listed)
      prepare_service (e, &e->services[i], now);
  evaluate_impairment (e);
}

/* Whether SLOT may get the flow HASH.  A starting server gets the flows whose
   hash falls into its share.  */
static bool
is_eligible (const struct bb_engine *e, uint16_t slot, uint64_t hash)
{
  if (slot == BB_NO_SLOT)
    return false;
  uint16_t share = e->slots[slot].share;
  if (share == BB_SHARE_FULL)
    return true;
  return share && (hash >> 10) % BB_SHARE_FULL < share;
}

/* Weighted rendezvous score of T for the flow HASH: the weight divided by -ln
   (u), where u is the hash score as a fraction of 1.  With equal weights u
   gives the same order without a logarithm.  */
static double
weighted_score (const struct bb_service_state *s, const struct bb_slot *t,
                uint64_t hash)
{
  double u = (double)(bb_hash_score (hash, t->key) >> 11) * 0x1p-53;
  return s->has_equal_weights ? u : -t->weight / log (u);
}

static int
rendezvous (struct bb_engine *e, struct bb_service_state *s, uint64_t hash)
{
  int best = BB_PLACE_NONE;
  double top = -1;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      if (!is_eligible (e, s->slots[i], hash))
        continue;
      double score = weighted_score (s, &e->slots[s->slots[i]], hash);
      if (score <= top)
        continue;
      best = s->slots[i];
      top = score;
    }
  return best;
}

static bool
has_full_server (const struct bb_engine *e, const struct bb_service_state *s)
{
  for (uint32_t i = 0; i < s->slot_count; i++)
    if (e->slots[s->slots[i]].is_full)
      return true;
  return false;
}

int
bb_place_choose_slot (struct bb_engine *e, struct bb_service_state *s,
                      uint32_t bucket, uint64_t hash)
{
  uint16_t default_server = s->default_server[bucket],
           desired_server = s->desired_server[bucket];
  bool tracked_by_all = e->version_in_effect
                        && (desired_server != default_server
                            || bucket < s->load_aware_buckets);
  /* A missing peer may be serving the other side of a partition, which cannot
     receive reports of placements.  */
  if (tracked_by_all && bucket < s->load_aware_buckets && !e->has_missing_peer)
    {
      int slot = s->policy->choose_slot (e, s, hash);
      if (slot >= 0)
        return slot;
    }
  if (tracked_by_all && is_eligible (e, desired_server, hash))
    return desired_server;
  if (is_eligible (e, default_server, hash))
    return default_server;
  bool may_divert = tracked_by_all
                    || (default_server != BB_NO_SLOT
                        && e->slots[default_server].bit_in_effect);
  if (!may_divert)
    return default_server == BB_NO_SLOT ? BB_PLACE_NONE : default_server;
  int slot = rendezvous (e, s, hash);
  if (slot >= 0)
    return slot;
  if (has_full_server (e, s))
    return BB_PLACE_REFUSE;
  return default_server == BB_NO_SLOT ? BB_PLACE_NONE : default_server;
}
