/* The packet path: decides from the routes, the flow table and the membership
   view whether a packet goes to a server or to another balancer, or is
   dropped.  Packets of a tracked bucket go to the owner of the flow, which
   holds its entry.  Nothing here allocates memory or logs.  */

#include "core/forward.h"
#include "core/hash.h"

/* The replicas of a live flow are refreshed at this interval.  */
#define REFRESH_SECONDS 60
#define REFRESH_SECONDS_UDP 10 /* less than UDP_SECONDS of entries.c */

void
bb_forward_drop (struct bb_packet_context *c, enum bb_drop kind)
{
  c->v->kind = BB_VERDICT_DROP;
  c->v->drop = kind;
  c->e->counters.drops[kind]++;
}

void
bb_forward_to_server (struct bb_packet_context *c, uint16_t slot)
{
  if (slot == BB_NO_SLOT)
    {
      bb_forward_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  c->v->kind = BB_VERDICT_FORWARD;
  c->v->target = c->e->slots[slot].gue;
  c->v->server = c->e->slots[slot].key;
  c->e->counters.forwarded++;
}

static bool
has_visited (const struct bb_handover *h, uint32_t id)
{
  if (!h)
    return false;
  for (int i = 0; i < BB_HOPS_MAX; i++)
    if (h->visited[i] == (uint16_t)id)
      return true;
  return false;
}

/* Hands the packet over to P.  */
static void
hand_over (struct bb_packet_context *c, const struct bb_peer *p, uint8_t flags,
           uint32_t server)
{
  struct bb_engine *e = c->e;
  struct bb_handover *o = &c->v->handover;
  *o = c->h ? *c->h : (struct bb_handover){ .hops = 0 };
  /* Only a balancer that searched its flow table counts as visited: an ingress
     that only handed the packet over may be a replica that is queried
     later.  */
  if (o->hops < BB_HOPS_MAX && c->table_searched)
    o->visited[o->hops] = (uint16_t)e->options.self.id;
  o->hops++;
  o->flags = flags;
  o->server = server;
  c->v->kind = BB_VERDICT_HAND_OVER;
  c->v->target = p->vm.data;
  e->counters.handed_out++;
}

void
bb_forward_to_member (struct bb_packet_context *c, uint32_t member,
                      uint8_t flags, uint32_t server)
{
  hand_over (c, &c->e->peers[c->e->view.peers[member]], flags, server);
}

/* The next replica that has not received the packet, or -1.  */
static int
next_replica (const struct bb_packet_context *c)
{
  const struct bb_view *v = &c->e->view;
  if (c->h && c->h->hops >= BB_HOPS_MAX)
    return -1;
  const struct bb_order *order = bb_order_replicas (v, c->hash);
  for (uint32_t i = 0; i < order->count; i++)
    {
      uint32_t m = order->members[i];
      if (v->peers[m] != BB_SELF && !has_visited (c->h, v->ids[m]))
        return (int)m;
    }
  return -1;
}

/* Passes the packet along the replicas; the last of them forwards it to the
   server.  Balancers that handed the packet over without BB_HAND_RECORD have
   not recorded the flow, so they do not count as visited: the ingress may be
   one of the replicas.  */
void
bb_forward_along_replicas (struct bb_packet_context *c, uint16_t slot)
{
  if (c->h && !(c->h->flags & BB_HAND_RECORD))
    c->h = NULL;
  int next = next_replica (c);
  if (next < 0)
    bb_forward_to_server (c, slot);
  else
    bb_forward_to_member (c, (uint32_t)next, BB_HAND_RECORD,
                          c->e->slots[slot].key);
}

static enum bb_flow_state
next_state (const struct bb_packet *p, enum bb_flow_state before)
{
  if (bb_is_fin_or_rst (p))
    return BB_FLOW_CLOSING;
  if (bb_is_syn (p))
    return before;
  return before == BB_FLOW_SYN ? BB_FLOW_OPEN : before;
}

/* Whether the replicas under the present view have not received F.  The packet
   that reports F to them may be lost.  Therefore the entry keeps its epoch
   until the replication is done, so that replication sends F too.  */
static bool
is_unreported (const struct bb_engine *e, const struct bb_flow *f)
{
  return f->epoch != e->epoch
         && (e->replication_done
             || (bb_usec)f->last_refreshed * BB_SEC < e->view_changed_at);
}

static uint32_t
refresh_time (const struct bb_packet *p)
{
  return p->protocol == IPPROTO_UDP ? REFRESH_SECONDS_UDP : REFRESH_SECONDS;
}

static void
handle_hit (struct bb_packet_context *c, struct bb_flow *f)
{
  struct bb_engine *e = c->e;
  enum bb_flow_state after = next_state (c->p, f->state);
  e->counters.entry_hits++;
  f->last_seen = e->tick_seconds;
  bool replicate
      = f->state != after || is_unreported (e, f)
        || e->tick_seconds - f->last_refreshed >= refresh_time (c->p)
        || (bb_is_syn (c->p) && f->state == BB_FLOW_SYN);
  if (after == BB_FLOW_CLOSING && f->state != BB_FLOW_CLOSING)
    e->slots[f->slot].own_open_flows--;
  if (f->state != after)
    bb_flows_set_state (&e->flows, f, after);
  if (!replicate)
    {
      bb_forward_to_server (c, f->slot);
      return;
    }
  if (e->replication_done)
    f->epoch = e->epoch;
  f->last_refreshed = e->tick_seconds;
  bb_forward_along_replicas (c, f->slot);
}

/* Returns a leaving balancer that has not received the packet, or NULL.  Until
   it has replicated its entries, it may be the only one that holds the
   entry.  */
static const struct bb_peer *
next_leaving (const struct bb_packet_context *c)
{
  const struct bb_engine *e = c->e;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (p->state == BB_PEER_LEAVING && bb_peer_is_local (e, p)
          && p->generation && bb_peer_is_live (e, p)
          && !has_visited (c->h, p->vm.id))
        return p;
    }
  return NULL;
}

/* Handles a packet without an entry here.  While views differ or entries are
   still being replicated, the other replicas are queried first; then the
   packet is handed to the owner, which handles it as a packet without an
   entry.  */
static void
handle_miss (struct bb_packet_context *c)
{
  struct bb_engine *e = c->e;
  bool is_final = c->h && (c->h->flags & BB_HAND_FINAL);
  bool hops_exhausted = c->h && c->h->hops >= BB_HOPS_MAX;
  int owner = bb_order_owner (&e->view, c->hash);
  bool is_owner = owner < 0 || e->view.peers[owner] == BB_SELF;
  if (is_final || (hops_exhausted && is_owner))
    {
      bb_forward_without_entry (c);
      return;
    }
  bool query_replicas = !hops_exhausted && e->entries_may_be_elsewhere;
  int next = query_replicas ? next_replica (c) : -1;
  const struct bb_peer *leaving
      = query_replicas && next < 0 ? next_leaving (c) : NULL;
  if (next >= 0)
    bb_forward_to_member (c, (uint32_t)next, 0, 0);
  else if (leaving)
    hand_over (c, leaving, 0, 0);
  else if (is_owner)
    bb_forward_without_entry (c);
  else
    bb_forward_to_member (c, (uint32_t)owner, BB_HAND_FINAL, 0);
}

/* Whether a SYN of the flow is placed on a server again: its 5-tuple is
   reused, or the server went down before the flow was established.  */
static bool
must_place_again (const struct bb_engine *e, const struct bb_flow *f)
{
  return f->state == BB_FLOW_CLOSING
         || (f->state == BB_FLOW_SYN && !e->slots[f->slot].health.up);
}

static void
look_up_entry (struct bb_packet_context *c)
{
  c->table_searched = true;
  struct bb_flow *f = bb_flows_find (&c->e->flows, c->hash);
  /* The hash alone must never lead to a server of another service.  */
  if (f && &c->e->services[c->e->slots[f->slot].service] != c->s)
    f = NULL;
  if (f && bb_is_syn (c->p) && must_place_again (c->e, f))
    {
      bb_entry_remove (c->e, f);
      f = NULL;
    }
  if (f)
    handle_hit (c, f);
  else
    handle_miss (c);
}

static void
record_and_forward (struct bb_packet_context *c)
{
  struct bb_engine *e = c->e;
  c->table_searched = true;
  struct bb_slot *t = bb_slot_find (e, c->h->server);
  if (!t || &e->services[t->service] != c->s)
    {
      bb_forward_drop (c, BB_DROP_NO_SERVER);
      return;
    }
  uint16_t slot = bb_slot_index (e, t);
  struct bb_flow *f = bb_flows_find (&e->flows, c->hash);
  bool same_flow = f && f->slot == slot && f->state != BB_FLOW_CLOSING;
  enum bb_flow_state before
      = same_flow ? f->state : (bb_is_syn (c->p) ? BB_FLOW_SYN : BB_FLOW_OPEN);
  if (f && f->slot != slot)
    bb_entry_remove (e, f);
  bb_entry_record (e, c->hash, slot, next_state (c->p, before));
  bb_forward_along_replicas (c, slot);
}

static void
forward_untracked (struct bb_packet_context *c)
{
  uint16_t slot = c->s->route[c->bucket] & BB_NO_SLOT;
  if (c->p->protocol == IPPROTO_TCP && slot != BB_NO_SLOT)
    {
      if (bb_is_syn (c->p))
        c->e->slots[slot].own_open_flows++;
      else if (bb_is_fin_or_rst (c->p))
        c->e->slots[slot].own_open_flows--;
    }
  bb_forward_to_server (c, slot);
}

static void
forward_packet (struct bb_packet_context *c)
{
  bool tracked = c->s->route[c->bucket] & BB_ROUTE_TRACKED;
  if (c->h && (c->h->flags & BB_HAND_RECORD))
    {
      record_and_forward (c);
      return;
    }
  if (!tracked && !c->h)
    {
      forward_untracked (c);
      return;
    }
  if (c->h)
    {
      look_up_entry (c);
      return;
    }
  int owner = bb_order_owner (&c->e->view, c->hash);
  if (owner >= 0 && c->e->view.peers[owner] != BB_SELF)
    bb_forward_to_member (c, (uint32_t)owner, 0, 0);
  else
    look_up_entry (c);
}

static enum bb_drop
drop_reason (const struct bb_engine *e, bb_usec now)
{
  if (!e->ready)
    return BB_DROP_NOT_READY;
  if (!e->has_resumed || now - e->last_tick > BB_PAUSE_LIMIT)
    return BB_DROP_PAUSED;
  return BB_DROP_NONE;
}

void
bb_engine_handle_packet (struct bb_engine *e, const struct bb_packet *p,
                         const struct bb_handover *h, bb_usec now,
                         struct bb_verdict *v)
{
  struct bb_packet_context c = { .e = e, .p = p, .h = h, .v = v, .now = now };
  *v = (struct bb_verdict){ .kind = BB_VERDICT_DROP };
  if (h)
    e->counters.handed_in++;
  else
    e->counters.packets++;
  enum bb_drop why = drop_reason (e, now);
  c.s = bb_service_by_destination (e, p);
  if (!why && !c.s)
    why = BB_DROP_NO_SERVICE;
  if (!why && h && h->hops > BB_HOPS_MAX + 1) /* one for BB_HAND_FINAL */
    why = BB_DROP_HOPS;
  if (why)
    {
      bb_forward_drop (&c, why);
      return;
    }
  v->service = c.s->conf.key;
  c.hash = bb_flow_hash (p, e->hash_seed);
  c.bucket = bb_hash_bucket (c.hash, c.s->buckets);
  if (bb_forward_is_repetition (&c) && bb_forward_count_repetition (&c))
    return;
  forward_packet (&c);
}
