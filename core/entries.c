/* Records, removes and expires the entries of tracked flows.  The lifetime of
   an entry depends on the state of its flow.  A full table evicts only entries
   of flows of which no more than a SYN was seen.  */

#include "core/engine_private.h"

#define CLOSING_SECONDS 60
#define SYN_SECONDS 180 /* a caller retransmits its SYN for less */
#define UDP_SECONDS 30
/* Added to idle_s, so that a replica outlives the owner's entry.  */
#define REPLICA_MARGIN_SECONDS 600
#define NOT_REPLICA_SECONDS 120
#define SWEEP_TICKS 600 /* 30 s for the whole table */

static struct bb_flow *
add_or_evict (struct bb_engine *e, uint64_t hash, enum bb_flow_state state)
{
  if (!bb_flows_has_room (&e->flows, state))
    {
      struct bb_flow *old = bb_flows_eviction_candidate (&e->flows);
      if (!old)
        return NULL;
      e->counters.evicted++;
      bb_entry_remove (e, old);
      if (!bb_flows_has_room (&e->flows, state))
        return NULL;
    }
  return bb_flows_add (&e->flows, hash, state);
}

/* Adds or changes the entry of HASH; NULL if the table is full.  */
struct bb_flow *
bb_entry_record (struct bb_engine *e, uint64_t hash, uint16_t slot,
                 enum bb_flow_state state)
{
  struct bb_flow *f = bb_flows_find (&e->flows, hash);
  if (!f)
    {
      f = add_or_evict (e, hash, state);
      if (!f)
        return NULL;
      bb_held_entries_adjust (e, hash, slot, 1);
      f->epoch = e->epoch;
    }
  else if (f->state != state)
    bb_flows_set_state (&e->flows, f, state);
  f->slot = slot;
  f->last_seen = e->tick_seconds;
  f->last_refreshed = e->tick_seconds;
  if (e->replication_done)
    f->epoch = e->epoch; /* else replication sends it too, see is_unreported */
  return f;
}

/* A removal moves later entries of the same probe sequence forward.  If the
   replication cursor is within that sequence, it goes back, so that no entry
   is skipped.  */
static void
rewind_replication (struct bb_engine *e, uint32_t index)
{
  uint32_t i = index;
  while (i < e->replication_cursor && e->flows.flows[i].hash)
    i++;
  if (i == e->replication_cursor)
    e->replication_cursor = index;
}

void
bb_entry_remove (struct bb_engine *e, struct bb_flow *f)
{
  if (!e->replication_done)
    rewind_replication (e, (uint32_t)(f - e->flows.flows));
  bb_held_entries_adjust (e, f->hash, f->slot, -1);
  bb_flows_remove (&e->flows, f);
}

/* Removes the entries of flows that have sent only a SYN.  The SYN may have
   been lost on its way and its retransmission placed by another balancer.  */
void
bb_entries_remove_embryonic (struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->flows.size;)
    {
      struct bb_flow *f = &e->flows.flows[i];
      if (f->hash && f->state == BB_FLOW_SYN)
        bb_entry_remove (e, f);
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
  return s->conf.idle_s + REPLICA_MARGIN_SECONDS;
}

/* Whether this balancer has not been a replica of the flow for so long that
   its entry may be out of date.  */
static bool
is_not_replica (const struct bb_engine *e, const struct bb_flow *f)
{
  if (!e->replication_done
      || e->tick_seconds - f->last_seen < NOT_REPLICA_SECONDS
      || f->epoch == e->epoch || e->state != BB_PEER_ACTIVE)
    return false;
  const struct bb_order *order = bb_order_replicas (&e->view, f->hash);
  for (uint32_t i = 0; i < order->count; i++)
    if (e->view.peers[order->members[i]] == BB_SELF)
      return false;
  return true;
}

/* Scans a part of the table each tick.  A removal moves a later entry to the
   freed index, so the same index is examined again.  */
void
bb_entries_expire_tick (struct bb_engine *e)
{
  uint32_t positions = e->flows.size / SWEEP_TICKS + 1;
  while (positions--)
    {
      struct bb_flow *f = &e->flows.flows[e->expiry_cursor];
      if (f->hash
          && (e->tick_seconds - f->last_seen > lifetime (e, f)
              || is_not_replica (e, f)))
        {
          bb_entry_remove (e, f);
          continue;
        }
      if (++e->expiry_cursor == e->flows.size)
        e->expiry_cursor = 0;
    }
}
