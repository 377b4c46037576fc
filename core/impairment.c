/* Impairment bits and their acknowledgements.

   A balancer sets the bit of a server that cannot take its full share of new
   flows, or while it holds entries in buckets that are tracked only because of
   this bit.  It clears the bit after BB_BIT_CLEAR_DELAY without either reason.
   All balancers track the buckets of a server with a bit.  The bit is in
   effect, so that flows may be placed on other servers, once the peers have
   acknowledged it or BB_ACKNOWLEDGE_TIMEOUT has passed.  A peer that did not
   track the bucket would send later packets to the default server.  */

#include "core/engine_private.h"

#include <string.h>

/* Whether P may be forwarding packets.  A suspected peer may have been cut off
   and forwards packets again before a heartbeat from it arrives.  */
static bool
may_serve (const struct bb_peer *p)
{
  return p->has_reported && (!p->suspected || p->state == BB_PEER_ACTIVE);
}

/* Whether each peer of the data centre that may be forwarding packets has
   processed SEQUENCE.  */
static bool
all_acknowledged (const struct bb_engine *e, uint32_t sequence)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (bb_peer_is_local (e, p) && may_serve (p)
          && p->acknowledged < sequence)
        return false;
    }
  return true;
}

static void
set_bit (struct bb_engine *e, struct bb_slot *t, bb_usec now)
{
  t->bit_set = true;
  t->bit_since = now;
  t->bit_sequence = e->bits_sequence + 1;
  bb_engine_emit_event (e, BB_EVENT_BIT_SET, 0, t->key, t->held_entries);
}

static void
clear_bit (struct bb_engine *e, struct bb_slot *t)
{
  t->bit_set = false;
  t->bit_in_effect = false;
  bb_engine_emit_event (e, BB_EVENT_BIT_CLEARED, 0, t->key, 0);
}

static bool
update_bit (struct bb_engine *e, struct bb_slot *t, bb_usec now)
{
  if (t->is_impaired || t->held_entries)
    t->bit_last_needed = now;
  if (!t->bit_set && (t->is_impaired || t->held_entries))
    {
      set_bit (e, t, now);
      return true;
    }
  if (t->bit_set && now - t->bit_last_needed >= BB_BIT_CLEAR_DELAY)
    {
      clear_bit (e, t);
      return true;
    }
  return false;
}

static void
update_bit_in_effect (struct bb_engine *e, struct bb_slot *t, bb_usec now)
{
  if (!t->bit_set || t->bit_in_effect)
    return;
  if (!all_acknowledged (e, t->bit_sequence)
      && now - t->bit_since < BB_ACKNOWLEDGE_TIMEOUT)
    return;
  t->bit_in_effect = true;
  bb_engine_emit_event (e, BB_EVENT_BIT_ACTED, 0, t->key,
                        (uint64_t)(now - t->bit_since));
}

void
bb_bits_tick (struct bb_engine *e, bb_usec now)
{
  bool changed = false;
  for (uint32_t i = 0; i < e->slot_count; i++)
    changed |= update_bit (e, &e->slots[i], now);
  if (changed)
    {
      e->bits_sequence++;
      e->heartbeat_pending = true;
      bb_routes_rebuild (e, now);
    }
  for (uint32_t i = 0; i < e->slot_count; i++)
    update_bit_in_effect (e, &e->slots[i], now);
}

void
bb_bits_receive (struct bb_engine *e, struct bb_peer *p,
                 const struct bb_heartbeat *h)
{
  (void)e;
  p->bits_sequence = h->bits_sequence;
  g_free (p->bits);
  p->bits = g_memdup2 (h->bits, h->bit_count * sizeof *h->bits);
  p->bit_count = h->bit_count;
}

/* The bits of a lost peer stay valid for BB_LOST_PEER_BITS_TIME: its replicas
   still hold its entries and have set their own bits by then.  */
static bool
has_valid_bits (const struct bb_engine *e, const struct bb_peer *p,
                bb_usec now)
{
  if (!bb_peer_is_local (e, p) || !p->has_reported)
    return false;
  return !p->suspected || now - p->lost_at < BB_LOST_PEER_BITS_TIME;
}

void
bb_bits_merge (struct bb_engine *e, bb_usec now)
{
  bool *before = g_new0 (bool, e->slot_count + 1);
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      before[i] = e->slots[i].bit_set_by_peer;
      e->slots[i].bit_set_by_peer = false;
    }
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (!has_valid_bits (e, p, now))
        continue;
      for (size_t k = 0; k < p->bit_count; k++)
        {
          struct bb_slot *t = bb_slot_find (e, p->bits[k]);
          if (t)
            t->bit_set_by_peer = true;
        }
    }
  bool changed = false;
  for (uint32_t i = 0; i < e->slot_count; i++)
    changed |= before[i] != e->slots[i].bit_set_by_peer;
  g_free (before);
  if (changed)
    bb_routes_rebuild (e, now);
}
