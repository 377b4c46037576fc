/* The packet path.  Nothing here allocates or logs.  */

#include "core/hash.h"
#include "core/private.h"

#include <netinet/in.h>

#define REFRESH_SECONDS 60 /* replicas are told of a live flow this often */
#define REFRESH_SECONDS_UDP 10 /* shorter than the life of an idle entry */

struct steering
{
  struct bb_engine *e;
  struct bb_service_state *s;
  const struct bb_packet *p;
  const struct bb_handover *h; /* NULL: from the fabric */
  struct bb_verdict *v;
  uint64_t hash;
  uint32_t bucket;
  bool searched; /* an entry was looked for here */
  bb_usec now;
};

static bool
is_syn (const struct bb_packet *p)
{
  return (p->tcp_flags & (BB_TCP_SYN | BB_TCP_ACK)) == BB_TCP_SYN
         && p->protocol == IPPROTO_TCP;
}

static bool
is_end (const struct bb_packet *p)
{
  return p->tcp_flags & (BB_TCP_FIN | BB_TCP_RST);
}

/* A datagram flow has no first packet that could be told from the others. */
static bool
may_open (const struct bb_packet *p)
{
  return is_syn (p) || p->protocol == IPPROTO_UDP;
}

static void
drop (struct steering *c, enum bb_drop kind)
{
  c->v->kind = BB_VERDICT_DROP;
  c->v->drop = kind;
  c->e->counters.drops[kind]++;
}

static void
forward (struct steering *c, uint16_t slot)
{
  if (slot == BB_MISSING_SLOT)
    {
      drop (c, BB_DROP_NO_SERVER);
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
hand (struct steering *c, uint32_t member, uint8_t flags, uint32_t server)
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
  c->v->target = e->peers[e->view.peers[member]].vm.data;
  e->counters.handed_out++;
}

/* The next replica that has not seen the packet, or -1.  */
static int
next_replica (const struct steering *c)
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
static void
replicate (struct steering *c, uint16_t slot)
{
  if (c->h && !(c->h->flags & BB_HAND_RECORD))
    c->h = NULL;
  int next = next_replica (c);
  if (next < 0)
    forward (c, slot);
  else
    hand (c, (uint32_t)next, BB_HAND_RECORD, c->e->slots[slot].key);
}

static enum bb_flow_state
state_after (const struct bb_packet *p, enum bb_flow_state before)
{
  if (is_end (p))
    return BB_FLOW_CLOSING;
  if (is_syn (p))
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
found (struct steering *c, struct bb_flow *f)
{
  struct bb_engine *e = c->e;
  enum bb_flow_state after = state_after (c->p, f->state);
  e->counters.found++;
  f->seen = e->seconds;
  bool tell = f->state != after || untold (e, f)
              || e->seconds - f->refreshed >= refresh_time (c->p)
              || (is_syn (c->p) && f->state == BB_FLOW_SYN);
  if (after == BB_FLOW_CLOSING && f->state != BB_FLOW_CLOSING)
    e->slots[f->slot].own_open--;
  if (f->state != after)
    bb_flows_set_state (&e->flows, f, after);
  if (!tell)
    {
      forward (c, f->slot);
      return;
    }
  if (e->push_done)
    f->epoch = e->epoch;
  f->refreshed = e->seconds;
  replicate (c, f->slot);
}

/* While a peer is missing it may be serving flows of its own on the other
   side of a split.  The first packets of a flow without an entry are dropped,
   so that their retransmissions reach the side that knows the flow.  A flow
   that meets another one's count in the same place is let through, so that
   none waits for ever.  */
static bool
doubtful (struct steering *c)
{
  struct bb_engine *e = c->e;
  struct bb_doubt *d = &e->doubts[c->hash % BB_DOUBT_SIZE];
  uint32_t flow = (uint32_t)(c->hash >> 32);
  if (d->flow != flow && d->sightings && d->sightings < BB_DOUBT_SIGHTINGS)
    return false;
  if (d->flow != flow)
    *d = (struct bb_doubt){ .flow = flow };
  return ++d->sightings < BB_DOUBT_SIGHTINGS;
}

static uint16_t
base_of (const struct steering *c)
{
  if (c->s->target && c->e->phase == BB_PHASE_RESOLVE)
    return c->s->target[c->bucket];
  return c->s->base[c->bucket];
}

/* Whether older flows of the bucket are to be recorded, so that the bucket
   can get another base server later.  One that cannot be recorded puts the
   rebase off.  */
static bool
learning (struct steering *c)
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
decide_old (struct steering *c)
{
  uint16_t base = base_of (c);
  if (base == BB_MISSING_SLOT)
    {
      drop (c, BB_DROP_NO_SERVER);
      return;
    }
  if (is_end (c->p))
    {
      c->e->slots[base].own_open--;
      forward (c, base);
      return;
    }
  if (c->e->missing_peer && doubtful (c))
    {
      bb_silence_restart (c->e->silence, c->hash);
      drop (c, BB_DROP_UNCERTAIN);
      return;
    }
  if (learning (c) && bb_record (c->e, c->hash, base, BB_FLOW_OPEN))
    replicate (c, base);
  else
    forward (c, base);
}

static void
refuse (struct steering *c)
{
  if (c->p->protocol != IPPROTO_TCP)
    {
      drop (c, BB_DROP_NO_SERVER);
      return;
    }
  c->v->kind = BB_VERDICT_REFUSE;
  c->e->counters.refused++;
}

static void
decide_new (struct steering *c)
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
      drop (c, BB_DROP_NO_SERVER);
      return;
    }
  bool tcp = is_syn (c->p);
  /* During a rebase the balancers may miss differently.  A datagram flow has
     no first packet, so that the next one would be placed again.  */
  if (slot != base_of (c) || c->s->limited || c->s->target || !tcp)
    {
      if (!bb_record (e, c->hash, (uint16_t)slot,
                      tcp ? BB_FLOW_SYN : BB_FLOW_OPEN))
        {
          drop (c, BB_DROP_TABLE_FULL);
          return;
        }
      e->counters.placed_off_base += slot != base_of (c);
      e->slots[slot].own_open += tcp;
      replicate (c, (uint16_t)slot);
      return;
    }
  e->slots[slot].own_open += tcp;
  forward (c, (uint16_t)slot);
}

static void
decide (struct steering *c)
{
  c->e->counters.missed++;
  if (may_open (c->p))
    decide_new (c);
  else
    decide_old (c);
}

/* No entry here.  While views differ or entries are still being moved, the
   other replicas are asked, and then the owner decides.  */
static void
missed (struct steering *c)
{
  struct bb_engine *e = c->e;
  bool final = c->h && (c->h->flags & BB_HAND_FINAL);
  bool spent = c->h && c->h->hops >= BB_HOPS_MAX;
  int owner = bb_order_owner (&e->view, c->hash);
  bool own = owner < 0 || e->view.peers[owner] == BB_SELF;
  if (final || (spent && own))
    {
      decide (c);
      return;
    }
  int next = !spent && e->unsettled ? next_replica (c) : -1;
  if (next >= 0)
    hand (c, (uint32_t)next, 0, 0);
  else if (own)
    decide (c);
  else
    hand (c, (uint32_t)owner, BB_HAND_FINAL, 0);
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
look_up (struct steering *c)
{
  c->searched = true;
  struct bb_flow *f = bb_flows_find (&c->e->flows, c->hash);
  /* The hash alone must never lead to a server of another service.  */
  if (f && &c->e->services[c->e->slots[f->slot].service] != c->s)
    f = NULL;
  if (f && is_syn (c->p) && starts_anew (c->e, f))
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
record_and_pass (struct steering *c)
{
  struct bb_engine *e = c->e;
  c->searched = true;
  struct bb_slot *t = bb_slot_find (e, c->h->server);
  if (!t || &e->services[t->service] != c->s)
    {
      drop (c, BB_DROP_NO_SERVER);
      return;
    }
  uint16_t slot = bb_slot_index (e, t);
  struct bb_flow *f = bb_flows_find (&e->flows, c->hash);
  bool known = f && f->slot == slot && f->state != BB_FLOW_CLOSING;
  enum bb_flow_state before
      = known ? f->state : (is_syn (c->p) ? BB_FLOW_SYN : BB_FLOW_OPEN);
  if (f && f->slot != slot)
    bb_forget (e, f);
  bb_record (e, c->hash, slot, state_after (c->p, before));
  replicate (c, slot);
}

static void
forward_untracked (struct steering *c)
{
  uint16_t slot = c->s->route[c->bucket] & BB_MISSING_SLOT;
  if (c->p->protocol == IPPROTO_TCP && slot != BB_MISSING_SLOT)
    {
      if (is_syn (c->p))
        c->e->slots[slot].own_open++;
      else if (is_end (c->p))
        c->e->slots[slot].own_open--;
    }
  forward (c, slot);
}

static void
steer (struct steering *c)
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
    hand (c, (uint32_t)owner, 0, 0);
  else
    look_up (c);
}

/* Counts a repetition at the flow's owner.  Returns whether the packet has
   been dealt with.  */
static bool
silent (struct steering *c)
{
  struct bb_engine *e = c->e;
  bb_usec limit = c->s->conf.silent_ms * BB_MSEC;
  int owner = bb_order_owner (&e->view, c->hash);
  if (!c->h && owner >= 0 && e->view.peers[owner] != BB_SELF)
    {
      hand (c, (uint32_t)owner, BB_HAND_REPEAT, 0);
      return true;
    }
  if (!bb_silence_count (e->silence, c->hash, c->p->sequence, limit, c->now)
      || c->now - c->s->progressed > limit)
    return false;
  struct bb_flow *f = bb_flows_find (&e->flows, c->hash);
  uint16_t slot = f ? f->slot : base_of (c);
  if (slot == BB_MISSING_SLOT)
    return false;
  c->v->kind = BB_VERDICT_RESET;
  c->v->target = e->slots[slot].gue;
  c->v->server = e->slots[slot].key;
  e->counters.resets++;
  if (f)
    bb_flows_set_state (&e->flows, f, BB_FLOW_CLOSING);
  return true;
}

static bool
repeated (struct steering *c)
{
  struct bb_engine *e = c->e;
  if (c->h)
    return c->h->flags & BB_HAND_REPEAT;
  if (!c->s->conf.silent_ms || !c->p->payload || c->p->protocol != IPPROTO_TCP)
    return false;
  if (bb_silence_sight (e->silence, c->hash, c->p->sequence, c->now))
    return true;
  c->s->progressed = c->now;
  return false;
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
  struct steering c = { .e = e, .p = p, .h = h, .v = v, .now = now };
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
      drop (&c, why);
      return;
    }
  v->service = c.s->conf.key;
  c.hash = bb_flow_hash (p, e->hash_seed);
  c.bucket = bb_hash_bucket (c.hash, c.s->buckets);
  if (repeated (&c) && silent (&c))
    return;
  steer (&c);
}
