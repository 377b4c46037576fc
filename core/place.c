/* Eligibility of servers and placement of new flows.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <math.h>

#define NEAR_LIMIT 950 /* permille of the connection limit */

static bool
stays (const struct bb_slot *s)
{
  return s->listed && !s->drain && !s->leaving && !s->health.draining;
}

/* Less than half of the servers up means that the probes are wrong or that
   the rest would be overloaded; then health is ignored.  */
static bool
in_panic (const struct bb_engine *e, const struct bb_service_state *s)
{
  uint32_t staying = 0, up = 0;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      const struct bb_slot *t = &e->slots[s->slots[i]];
      staying += stays (t);
      up += stays (t) && t->health.up;
    }
  return staying && 2 * up < staying;
}

static void
check_limit (struct bb_slot *t)
{
  int64_t limit = t->connection_limit;
  t->full = limit && t->open >= limit;
  t->near_limit = limit && t->open * 1000 >= limit * NEAR_LIMIT;
}

static uint16_t
share_of (const struct bb_slot *t, const struct bb_service_state *s,
          bb_usec now)
{
  if (!stays (t) || t->full)
    return 0;
  if (!t->health.up && !s->panic)
    return 0;
  return (uint16_t)bb_health_ramp (&t->health, s->conf.ramp_ms, now);
}

/* When no server is left that stays, those that leave must serve.  */
static void
use_leaving (struct bb_engine *e, struct bb_service_state *s)
{
  for (uint32_t i = 0; i < s->slot_count; i++)
    if (stays (&e->slots[s->slots[i]]))
      return;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[s->slots[i]];
      t->share = t->health.up && !t->full ? BB_SHARE_FULL : 0;
    }
}

static void
prepare_service (struct bb_engine *e, struct bb_service_state *s, bb_usec now)
{
  bool panic = in_panic (e, s);
  if (panic && !s->panic)
    bb_engine_event (e, BB_EVENT_PANIC, 0, s->conf.key, s->slot_count);
  s->panic = panic;
  s->limited = false;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[s->slots[i]];
      check_limit (t);
      t->share = share_of (t, s, now);
      s->limited |= t->near_limit;
    }
  use_leaving (e, s);
  if (s->policy->prepare)
    s->policy->prepare (e, s, now);
}

static void
form_opinions (struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[i];
      t->opinion
          = t->listed
            && (t->share < BB_SHARE_FULL || t->near_limit || !stays (t));
    }
}

void
bb_place_prepare (struct bb_engine *e, bb_usec now)
{
  bb_counts_merge (e, now);
  for (uint32_t i = 0; i < e->service_count; i++)
    if (e->services[i].listed)
      prepare_service (e, &e->services[i], now);
  form_opinions (e);
}

/* Whether SLOT takes the flow HASH.  A starting server takes the flows whose
   hash falls into its share.  */
static bool
eligible (const struct bb_engine *e, uint16_t slot, uint64_t hash)
{
  if (slot == BB_MISSING_SLOT)
    return false;
  uint16_t share = e->slots[slot].share;
  if (share == BB_SHARE_FULL)
    return true;
  return share && (hash >> 10) % BB_SHARE_FULL < share;
}

/* Highest weighted rendezvous score among the eligible servers: the weight
   divided by -ln of the score as a fraction.  Equal weights need no
   logarithm, since the order is that of the scores.  */
static double
scaled (const struct bb_service_state *s, const struct bb_slot *t,
        uint64_t hash)
{
  double u = (double)(bb_hash_score (hash, t->key) >> 11) * 0x1p-53;
  return s->uniform ? u : -t->weight / log (u);
}

static int
rendezvous (struct bb_engine *e, struct bb_service_state *s, uint64_t hash)
{
  int best = BB_PLACE_NONE;
  double top = -1;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      if (!eligible (e, s->slots[i], hash))
        continue;
      double score = scaled (s, &e->slots[s->slots[i]], hash);
      if (score <= top)
        continue;
      best = s->slots[i];
      top = score;
    }
  return best;
}

static bool
any_full (const struct bb_engine *e, const struct bb_service_state *s)
{
  for (uint32_t i = 0; i < s->slot_count; i++)
    if (e->slots[s->slots[i]].full)
      return true;
  return false;
}

int
bb_place (struct bb_engine *e, struct bb_service_state *s, uint32_t bucket,
          uint64_t hash)
{
  uint16_t base = s->base[bucket], head = s->head[bucket];
  bool version_known
      = e->version_acted && (head != base || bucket < s->spill_buckets);
  /* While a peer is missing, it may serve the other half of a split, which
     cannot be told of placements.  */
  if (version_known && bucket < s->spill_buckets && !e->missing_peer)
    {
      int slot = s->policy->spill (e, s, hash);
      if (slot >= 0)
        return slot;
    }
  if (version_known && eligible (e, head, hash))
    return head;
  if (eligible (e, base, hash))
    return base;
  bool safe
      = version_known || (base != BB_MISSING_SLOT && e->slots[base].acted);
  if (!safe)
    return base == BB_MISSING_SLOT ? BB_PLACE_NONE : base;
  int slot = rendezvous (e, s, hash);
  if (slot >= 0)
    return slot;
  if (any_full (e, s))
    return BB_PLACE_REFUSE;
  return base == BB_MISSING_SLOT ? BB_PLACE_NONE : base;
}
