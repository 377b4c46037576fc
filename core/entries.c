/* Entries of tracked flows.  */

#include "core/engine_private.h"

#define CLOSING_SECONDS 60
#define SYN_SECONDS 180 /* longer than a caller retransmits its SYN */
#define UDP_SECONDS 30
#define REPLICA_MARGIN 600 /* a replica outlives the owner's entry */
#define DISOWNED_SECONDS 120
#define SWEEP_TICKS 600 /* 30 s for the whole table */

static struct bb_flow *
add (struct bb_engine *e, uint64_t hash, enum bb_flow_state state)
{
  if (!bb_flows_has_room (&e->flows, state))
    {
      struct bb_flow *old = bb_flows_eviction (&e->flows);
      if (!old)
        return NULL;
      e->counters.evicted++;
      bb_forget (e, old);
      if (!bb_flows_has_room (&e->flows, state))
        return NULL;
    }
  return bb_flows_add (&e->flows, hash, state);
}

/* Adds or changes the entry of HASH; NULL if the table is full.  */
struct bb_flow *
bb_record (struct bb_engine *e, uint64_t hash, uint16_t slot,
           enum bb_flow_state state)
{
  struct bb_flow *f = bb_flows_find (&e->flows, hash);
  if (!f)
    {
      f = add (e, hash, state);
      if (!f)
        return NULL;
      bb_held_count (e, hash, slot, 1);
      f->epoch = e->epoch;
    }
  else if (f->state != state)
    bb_flows_set_state (&e->flows, f, state);
  f->slot = slot;
  f->seen = e->seconds;
  f->refreshed = e->seconds;
  if (e->push_done)
    f->epoch = e->epoch; /* else it is pushed as well, see untold */
  return f;
}

/* A removal moves later entries of the same run of places forward.  If the
   push stands within that run, it goes back, so that it passes none over.  */
static void
keep_push_place (struct bb_engine *e, uint32_t place)
{
  uint32_t i = place;
  while (i < e->push_hand && e->flows.flows[i].hash)
    i++;
  if (i == e->push_hand)
    e->push_hand = place;
}

void
bb_forget (struct bb_engine *e, struct bb_flow *f)
{
  if (!e->push_done)
    keep_push_place (e, (uint32_t)(f - e->flows.flows));
  bb_held_count (e, f->hash, f->slot, -1);
  bb_flows_remove (&e->flows, f);
}

/* Drops the entries that have seen only a SYN.  The SYN may have been lost on
   its way and its repetition placed by another balancer.  */
void
bb_forget_embryonic (struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->flows.size;)
    {
      struct bb_flow *f = &e->flows.flows[i];
      if (f->hash && f->state == BB_FLOW_SYN)
        bb_forget (e, f);
      else
        i++;
    }
}

static uint32_t
lifetime (const struct bb_engine *e, const struct bb_flow *f)
{
  const struct bb_service_state *s = &e->services[e->slots[f->slot].service];
  if (f->state == BB_FLOW_CLOSING)
    return CLOSING_SECONDS;
  if (f->state == BB_FLOW_SYN)
    return SYN_SECONDS;
  if (s->conf.protocol == 17)
    return UDP_SECONDS;
  return s->conf.idle_s + REPLICA_MARGIN;
}

/* Whether this balancer has held no replica of the flow for so long that its
   entry may be out of date.  */
static bool
disowned (const struct bb_engine *e, const struct bb_flow *f)
{
  if (!e->push_done || e->seconds - f->seen < DISOWNED_SECONDS
      || f->epoch == e->epoch || e->state != BB_PEER_ACTIVE)
    return false;
  const struct bb_order *order = bb_order_replicas (&e->view, f->hash);
  for (uint32_t i = 0; i < order->count; i++)
    if (e->view.peers[order->members[i]] == BB_SELF)
      return false;
  return true;
}

/* Walks a part of the table each tick.  A removal moves later entries into
   the freed place, so that place is looked at again.  */
void
bb_expire_tick (struct bb_engine *e)
{
  uint32_t places = e->flows.size / SWEEP_TICKS + 1;
  while (places--)
    {
      struct bb_flow *f = &e->flows.flows[e->expiry_hand];
      if (f->hash
          && (e->seconds - f->seen > lifetime (e, f) || disowned (e, f)))
        {
          bb_forget (e, f);
          continue;
        }
      if (++e->expiry_hand == e->flows.size)
        e->expiry_hand = 0;
    }
}
