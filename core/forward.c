/* The packet path.  Nothing here allocates or logs.  */

#include "core/forward.h"
#include "core/hash.h"

#define REFRESH_SECONDS 60 /* replicas are told of a live flow this often */
#define REFRESH_SECONDS_UDP 10 /* shorter than the life of an idle entry */

void
bb_steer_drop (struct bb_steering *c, enum bb_drop kind)
{
  c->v->kind = BB_VERDICT_DROP;
  c->v->drop = kind;
  c->e->counters.drops[kind]++;
}

void
bb_steer_forward (struct bb_steering *c, uint16_t slot)
{
  if (slot == BB_MISSING_SLOT)
    {
      bb_steer_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  c->v->kind = BB_VERDICT_FORWARD;
  c->v->target = c->e->slots[slot].gue;
  c->v->server = c->e->slots[slot].key;
  c->e->counters.forwarded++;
}

static bool
visited (const struct bb_handover *h, uint32_t id)
{
  if (!h)
    return false;
  for (int i = 0; i < BB_HOPS_MAX; i++)
    if (h->visited[i] == (uint16_t)id)
      return true;
  return false;
}

/* Hands the packet to MEMBER of the view.  */
static void
hand_to (struct bb_steering *c, const struct bb_peer *p, uint8_t flags,
         uint32_t server)
{
  struct bb_engine *e = c->e;
  struct bb_handover *o = &c->v->handover;
  *o = c->h ? *c->h : (struct bb_handover){ .hops = 0 };
  /* An ingress that only hands over may be a replica that is asked later.  */
  if (o->hops < BB_HOPS_MAX && c->searched)
    o->visited[o->hops] = (uint16_t)e->options.self.id;
  o->hops++;
  o->flags = flags;
  o->server = server;
  c->v->kind = BB_VERDICT_HAND;
  c->v->target = p->vm.data;
  e->counters.handed_out++;
}

void
bb_steer_hand (struct bb_steering *c, uint32_t member, uint8_t flags,
               uint32_t server)
{
  hand_to (c, &c->e->peers[c->e->view.peers[member]], flags, server);
}

/* The next replica that has not seen the packet, or -1.  */
static int
next_replica (const struct bb_steering *c)
{
  const struct bb_view *v = &c->e->view;
  if (c->h && c->h->hops >= BB_HOPS_MAX)
    return -1;
  const struct bb_order *order = bb_order_replicas (v, c->hash);
  for (uint32_t i = 0; i < order->count; i++)
    {
      uint32_t m = order->members[i];
      if (v->peers[m] != BB_SELF && !visited (c->h, v->ids[m]))
        return (int)m;
    }
  return -1;
}

/* Passes the packet along the replicas, the last of which forwards it.  The
   balancers that handed it over before have not recorded the flow, so they
   count as not visited: the ingress may be one of the replicas.  */
void
bb_steer_replicate (struct bb_steering *c, uint16_t slot)
{
  if (c->h && !(c->h->flags & BB_HAND_RECORD))
    c->h = NULL;
  int next = next_replica (c);
  if (next < 0)
    bb_steer_forward (c, slot);
  else
    bb_steer_hand (c, (uint32_t)next, BB_HAND_RECORD, c->e->slots[slot].key);
}

static enum bb_flow_state
state_after (const struct bb_packet *p, enum bb_flow_state before)
{
  if (bb_is_end (p))
    return BB_FLOW_CLOSING;
  if (bb_is_syn (p))
    return before;
  return before == BB_FLOW_SYN ? BB_FLOW_OPEN : before;
}

/* Whether the replicas under the present view have not been told of F.  The
   packet that tells them may be lost, so that until the push is done the entry
   keeps its epoch and is pushed as well.  */
static bool
untold (const struct bb_engine *e, const struct bb_flow *f)
{
  return f->epoch != e->epoch
         && (e->push_done || (bb_usec)f->refreshed * BB_SEC < e->view_changed);
}

static uint32_t
refresh_time (const struct bb_packet *p)
{
  return p->protocol == IPPROTO_UDP ? REFRESH_SECONDS_UDP : REFRESH_SECONDS;
}

static void
found (struct bb_steering *c, struct bb_flow *f)
{
  struct bb_engine *e = c->e;
  enum bb_flow_state after = state_after (c->p, f->state);
  e->counters.found++;
  f->seen = e->seconds;
  bool tell = f->state != after || untold (e, f)
              || e->seconds - f->refreshed >= refresh_time (c->p)
              || (bb_is_syn (c->p) && f->state == BB_FLOW_SYN);
  if (after == BB_FLOW_CLOSING && f->state != BB_FLOW_CLOSING)
    e->slots[f->slot].own_open--;
  if (f->state != after)
    bb_flows_set_state (&e->flows, f, after);
  if (!tell)
    {
      bb_steer_forward (c, f->slot);
      return;
    }
  if (e->push_done)
    f->epoch = e->epoch;
  f->refreshed = e->seconds;
  bb_steer_replicate (c, f->slot);
}

/* A leaving balancer that has not seen the packet, or NULL.  It may hold the
   last replica until it has pushed it.  */
static const struct bb_peer *
next_leaving (const struct bb_steering *c)
{
  const struct bb_engine *e = c->e;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (p->state == BB_PEER_LEAVING && bb_peer_local (e, p) && p->generation
          && bb_peer_live (e, p) && !visited (c->h, p->vm.id))
        return p;
    }
  return NULL;
}

/* No entry here.  While views differ or entries are still being moved, the
   other replicas are asked, and then the owner decides.  */
static void
missed (struct bb_steering *c)
{
  struct bb_engine *e = c->e;
  bool final = c->h && (c->h->flags & BB_HAND_FINAL);
  bool spent = c->h && c->h->hops >= BB_HOPS_MAX;
  int owner = bb_order_owner (&e->view, c->hash);
  bool own = owner < 0 || e->view.peers[owner] == BB_SELF;
  if (final || (spent && own))
    {
      bb_steer_decide (c);
      return;
    }
  bool ask = !spent && e->unsettled;
  int next = ask ? next_replica (c) : -1;
  const struct bb_peer *leaving = ask && next < 0 ? next_leaving (c) : NULL;
  if (next >= 0)
    bb_steer_hand (c, (uint32_t)next, 0, 0);
  else if (leaving)
    hand_to (c, leaving, 0, 0);
  else if (own)
    bb_steer_decide (c);
  else
    bb_steer_hand (c, (uint32_t)owner, BB_HAND_FINAL, 0);
}

/* Whether a SYN of the flow is placed again: its 5-tuple is reused, or the
   server went down before the flow was established.  */
static bool
starts_anew (const struct bb_engine *e, const struct bb_flow *f)
{
  return f->state == BB_FLOW_CLOSING
         || (f->state == BB_FLOW_SYN && !e->slots[f->slot].health.up);
}

static void
look_up (struct bb_steering *c)
{
  c->searched = true;
  struct bb_flow *f = bb_flows_find (&c->e->flows, c->hash);
  /* The hash alone must never lead to a server of another service.  */
  if (f && &c->e->services[c->e->slots[f->slot].service] != c->s)
    f = NULL;
  if (f && bb_is_syn (c->p) && starts_anew (c->e, f))
    {
      bb_forget (c->e, f);
      f = NULL;
    }
  if (f)
    found (c, f);
  else
    missed (c);
}

static void
record_and_pass (struct bb_steering *c)
{
  struct bb_engine *e = c->e;
  c->searched = true;
  struct bb_slot *t = bb_slot_find (e, c->h->server);
  if (!t || &e->services[t->service] != c->s)
    {
      bb_steer_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  uint16_t slot = bb_slot_index (e, t);
  struct bb_flow *f = bb_flows_find (&e->flows, c->hash);
  bool known = f && f->slot == slot && f->state != BB_FLOW_CLOSING;
  enum bb_flow_state before
      = known ? f->state : (bb_is_syn (c->p) ? BB_FLOW_SYN : BB_FLOW_OPEN);
  if (f && f->slot != slot)
    bb_forget (e, f);
  bb_record (e, c->hash, slot, state_after (c->p, before));
  bb_steer_replicate (c, slot);
}

static void
forward_untracked (struct bb_steering *c)
{
  uint16_t slot = c->s->route[c->bucket] & BB_MISSING_SLOT;
  if (c->p->protocol == IPPROTO_TCP && slot != BB_MISSING_SLOT)
    {
      if (bb_is_syn (c->p))
        c->e->slots[slot].own_open++;
      else if (bb_is_end (c->p))
        c->e->slots[slot].own_open--;
    }
  bb_steer_forward (c, slot);
}

static void
steer (struct bb_steering *c)
{
  bool tracked = c->s->route[c->bucket] & BB_ROUTE_TRACKED;
  if (c->h && (c->h->flags & BB_HAND_RECORD))
    {
      record_and_pass (c);
      return;
    }
  if (!tracked && !c->h)
    {
      forward_untracked (c);
      return;
    }
  if (c->h)
    {
      look_up (c);
      return;
    }
  int owner = bb_order_owner (&c->e->view, c->hash);
  if (owner >= 0 && c->e->view.peers[owner] != BB_SELF)
    bb_steer_hand (c, (uint32_t)owner, 0, 0);
  else
    look_up (c);
}

static enum bb_drop
unable (const struct bb_engine *e, bb_usec now)
{
  if (!e->ready)
    return BB_DROP_NOT_READY;
  if (!e->awake || now - e->ticked > BB_PAUSE_LIMIT)
    return BB_DROP_PAUSED;
  return BB_DROP_NONE;
}

void
bb_engine_packet (struct bb_engine *e, const struct bb_packet *p,
                  const struct bb_handover *h, bb_usec now,
                  struct bb_verdict *v)
{
  struct bb_steering c = { .e = e, .p = p, .h = h, .v = v, .now = now };
  *v = (struct bb_verdict){ .kind = BB_VERDICT_DROP };
  if (h)
    e->counters.handed_in++;
  else
    e->counters.packets++;
  enum bb_drop why = unable (e, now);
  c.s = bb_service_of (e, p);
  if (!why && !c.s)
    why = BB_DROP_NO_SERVICE;
  if (!why && h && h->hops > BB_HOPS_MAX + 1) /* one for BB_HAND_FINAL */
    why = BB_DROP_HOPS;
  if (why)
    {
      bb_steer_drop (&c, why);
      return;
    }
  v->service = c.s->conf.key;
  c.hash = bb_flow_hash (p, e->hash_seed);
  c.bucket = bb_hash_bucket (c.hash, c.s->buckets);
  if (bb_steer_repeated (&c) && bb_steer_silent (&c))
    return;
  steer (&c);
}
