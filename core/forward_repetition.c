/* Detects silent flows, whose caller keeps repeating one sequence number.  The
   ingress detects a repetition; the owner of the flow counts it and resets the
   flow after silent_ms, so that the caller does not wait for a server that no
   longer answers.  */

#include "core/forward.h"

bool
bb_forward_count_repetition (struct bb_packet_context *c)
{
  struct bb_engine *e = c->e;
  bb_usec limit = c->s->conf.silent_ms * BB_MSEC;
  int owner = bb_order_owner (&e->view, c->hash);
  if (!c->h && owner >= 0 && e->view.peers[owner] != BB_SELF)
    {
      bb_forward_to_member (c, (uint32_t)owner, BB_HAND_REPEAT, 0);
      return true;
    }
  if (!bb_silence_count_repeat (e->silence, c->hash, c->p->sequence, limit,
                                c->now)
      || c->now - c->s->last_progress > limit)
    return false;
  struct bb_flow *f = bb_flows_find (&e->flows, c->hash);
  uint16_t slot = f ? f->slot : bb_forward_default_server (c);
  if (slot == BB_NO_SLOT)
    return false;
  c->v->kind = BB_VERDICT_RESET;
  c->v->target = e->slots[slot].gue;
  c->v->server = e->slots[slot].key;
  e->counters.resets++;
  if (f)
    bb_flows_set_state (&e->flows, f, BB_FLOW_CLOSING);
  return true;
}

bool
bb_forward_is_repetition (struct bb_packet_context *c)
{
  struct bb_engine *e = c->e;
  if (c->h)
    return c->h->flags & BB_HAND_REPEAT;
  /* Keep-alives and window probes repeat one byte for as long as a flow is
     idle (RFC 9293, section 3.8.4).  */
  if (!c->s->conf.silent_ms || c->p->payload <= 1
      || c->p->protocol != IPPROTO_TCP)
    return false;
  if (bb_silence_observe (e->silence, c->hash, c->p->sequence, c->now))
    return true;
  c->s->last_progress = c->now;
  return false;
}
