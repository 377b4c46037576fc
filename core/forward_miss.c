/* Decisions on flows that have no entry.  */

#include "core/forward.h"

uint16_t
bb_steer_base (const struct bb_steering *c)
{
  if (c->s->target && c->e->phase == BB_PHASE_RESOLVE)
    return c->s->target[c->bucket];
  return c->s->base[c->bucket];
}

/* While a peer is missing it may be serving flows of its own on the other
   side of a split.  The first packets of a flow without an entry are dropped,
   so that their retransmissions reach the side that knows the flow.  The time
   limit is for callers that had already backed off while the peer was not yet
   suspected: three sightings alone took up to 9 s after a crash.  A flow that
   meets another one's count in the same place is let through, so that none
   waits for ever.  */
static bool
doubtful (struct bb_steering *c)
{
  struct bb_doubt *d = &c->e->doubts[c->hash % BB_DOUBT_SIZE];
  uint32_t flow = (uint32_t)(c->hash >> 32);
  bool open = d->sightings && d->sightings < BB_DOUBT_SIGHTINGS
              && c->now - d->first < BB_DOUBT_LIMIT;
  if (d->flow != flow && open)
    return false;
  if (d->flow != flow)
    *d = (struct bb_doubt){ .flow = flow, .first = c->now };
  return ++d->sightings < BB_DOUBT_SIGHTINGS
         && c->now - d->first < BB_DOUBT_LIMIT;
}

/* Whether older flows of the bucket are to be recorded, so that the bucket
   can get another base server later.  One that cannot be recorded puts the
   rebase off.  */
static bool
learning (struct bb_steering *c)
{
  struct bb_service_state *s = c->s;
  if (s->head[c->bucket] == s->base[c->bucket] && !c->e->missing_peer)
    return false;
  if (c->e->flows.used < c->e->flows.capacity / 2)
    return true;
  s->skipped = c->now;
  return false;
}

static void
decide_old (struct bb_steering *c)
{
  uint16_t base = bb_steer_base (c);
  if (base == BB_MISSING_SLOT)
    {
      bb_steer_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  if (bb_is_end (c->p))
    {
      c->e->slots[base].own_open--;
      bb_steer_forward (c, base);
      return;
    }
  if (c->e->missing_peer && doubtful (c))
    {
      bb_silence_restart (c->e->silence, c->hash);
      bb_steer_drop (c, BB_DROP_UNCERTAIN);
      return;
    }
  if (learning (c) && bb_record (c->e, c->hash, base, BB_FLOW_OPEN))
    bb_steer_replicate (c, base);
  else
    bb_steer_forward (c, base);
}

static void
refuse (struct bb_steering *c)
{
  if (c->p->protocol != IPPROTO_TCP)
    {
      bb_steer_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  c->v->kind = BB_VERDICT_REFUSE;
  c->e->counters.refused++;
}

static void
decide_new (struct bb_steering *c)
{
  struct bb_engine *e = c->e;
  int slot = bb_place (e, c->s, c->bucket, c->hash);
  if (slot == BB_PLACE_REFUSE)
    {
      refuse (c);
      return;
    }
  if (slot < 0)
    {
      bb_steer_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  bool tcp = bb_is_syn (c->p);
  /* The choice of a spill bucket changes from tick to tick, so that a repeated
     SYN would be placed again.  During a rebase the balancers may miss
     differently.  A datagram flow has no first packet, so that the next one
     would be placed again.  */
  if (slot != bb_steer_base (c) || c->s->limited || c->s->target || !tcp
      || c->bucket < c->s->spill_buckets)
    {
      if (!bb_record (e, c->hash, (uint16_t)slot,
                      tcp ? BB_FLOW_SYN : BB_FLOW_OPEN))
        {
          bb_steer_drop (c, BB_DROP_TABLE_FULL);
          return;
        }
      e->counters.placed_off_base += slot != bb_steer_base (c);
      e->slots[slot].own_open += tcp;
      bb_steer_replicate (c, (uint16_t)slot);
      return;
    }
  e->slots[slot].own_open += tcp;
  bb_steer_forward (c, (uint16_t)slot);
}

void
bb_steer_decide (struct bb_steering *c)
{
  c->e->counters.missed++;
  if (bb_may_open (c->p))
    decide_new (c);
  else
    decide_old (c);
}
