/* Forwards packets whose flow has no entry.  A new flow is placed on a server;
   a packet of an established flow goes to the default server of its bucket.
   If the default server may change or is not the server chosen, the flow is
   recorded, so that its later packets reach the same server.  */

#include "core/forward.h"

uint16_t
bb_forward_default_server (const struct bb_packet_context *c)
{
  if (c->s->target_server && c->e->phase == BB_PHASE_RESOLVE)
    return c->s->target_server[c->bucket];
  return c->s->default_server[c->bucket];
}

/* Counts a packet of a flow without an entry while a peer is missing; returns
   whether to drop the packet.  The peer may be serving flows of its own on the
   other side of a network partition.  The first packets are dropped, so that
   their retransmissions reach the side that holds the entry.  The time limit
   shortens the delay of callers whose retransmission timeout had grown before
   the peer was suspected: waiting for three packets alone took up to 9 s after
   a crash.  If the table position of a flow is in use by another flow, its
   packets are forwarded, so that no flow waits for ever.  */
static bool
must_drop_uncertain (struct bb_packet_context *c)
{
  struct bb_uncertain_flow *u
      = &c->e->uncertain_flows[c->hash % BB_UNCERTAIN_TABLE_SIZE];
  uint32_t flow = (uint32_t)(c->hash >> 32);
  bool open = u->packets && u->packets < BB_UNCERTAIN_PACKETS
              && c->now - u->first_seen < BB_UNCERTAIN_TIMEOUT;
  if (u->flow != flow && open)
    return false;
  if (u->flow != flow)
    *u = (struct bb_uncertain_flow){ .flow = flow, .first_seen = c->now };
  return ++u->packets < BB_UNCERTAIN_PACKETS
         && c->now - u->first_seen < BB_UNCERTAIN_TIMEOUT;
}

/* Whether to record an established flow, so that the default server of the
   bucket can be changed later.  A flow that cannot be recorded delays the
   rebalance.  */
static bool
must_record (struct bb_packet_context *c)
{
  struct bb_service_state *s = c->s;
  if (s->desired_server[c->bucket] == s->default_server[c->bucket]
      && !c->e->has_missing_peer)
    return false;
  if (c->e->flows.used < c->e->flows.capacity / 2)
    return true;
  s->last_unrecorded = c->now;
  return false;
}

static void
forward_established (struct bb_packet_context *c)
{
  uint16_t default_server = bb_forward_default_server (c);
  if (default_server == BB_NO_SLOT)
    {
      bb_forward_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  if (bb_is_fin_or_rst (c->p))
    {
      c->e->slots[default_server].own_open_flows--;
      bb_forward_to_server (c, default_server);
      return;
    }
  if (c->e->has_missing_peer && must_drop_uncertain (c))
    {
      bb_silence_reset_count (c->e->silence, c->hash);
      bb_forward_drop (c, BB_DROP_UNCERTAIN);
      return;
    }
  if (must_record (c)
      && bb_entry_record (c->e, c->hash, default_server, BB_FLOW_OPEN))
    bb_forward_along_replicas (c, default_server);
  else
    bb_forward_to_server (c, default_server);
}

static void
refuse_flow (struct bb_packet_context *c)
{
  if (c->p->protocol != IPPROTO_TCP)
    {
      bb_forward_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  c->v->kind = BB_VERDICT_REFUSE;
  c->e->counters.refused++;
}

static void
forward_new (struct bb_packet_context *c)
{
  struct bb_engine *e = c->e;
  int slot = bb_place_choose_slot (e, c->s, c->bucket, c->hash);
  if (slot == BB_PLACE_REFUSE)
    {
      refuse_flow (c);
      return;
    }
  if (slot < 0)
    {
      bb_forward_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  bool tcp = bb_is_syn (c->p);
  /* A load-aware bucket may choose another server at each tick, so that a
     repeated SYN would be placed again.  During a rebalance the balancers may
     send packets without an entry to different servers.  A datagram flow has
     no recognisable first packet, so that the next packet would be placed
     again.  */
  if (slot != bb_forward_default_server (c) || c->s->has_server_near_limit
      || c->s->target_server || !tcp || c->bucket < c->s->load_aware_buckets)
    {
      if (!bb_entry_record (e, c->hash, (uint16_t)slot,
                            tcp ? BB_FLOW_SYN : BB_FLOW_OPEN))
        {
          bb_forward_drop (c, BB_DROP_TABLE_FULL);
          return;
        }
      e->counters.placed_non_default += slot != bb_forward_default_server (c);
      e->slots[slot].own_open_flows += tcp;
      bb_forward_along_replicas (c, (uint16_t)slot);
      return;
    }
  e->slots[slot].own_open_flows += tcp;
  bb_forward_to_server (c, (uint16_t)slot);
}

void
bb_forward_without_entry (struct bb_packet_context *c)
{
  c->e->counters.entry_misses++;
  if (bb_may_open_flow (c->p))
    forward_new (c);
  else
    forward_established (c);
}
