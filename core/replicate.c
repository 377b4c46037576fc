/* Paced push of entries to balancers that should hold them after the view
   changed.  */

#include "core/engine_private.h"

#define ENTRY_BYTES 20 /* of one entry in a message */
#define RESEND_AFTER (1000 * BB_MSEC)
#define SYNC_TIME (BB_SUSPECT_AFTER + BB_HEARTBEAT_INTERVAL)
#define SCAN_PLACES 20000 /* of the table in one tick */

void
bb_push_restart (struct bb_engine *e)
{
  e->push_done = false;
  e->push_hand = 0;
}

static bool
holds (const struct bb_order *o, const struct bb_view *v, uint32_t id)
{
  for (uint32_t i = 0; i < o->count; i++)
    if (v->ids[o->members[i]] == id)
      return true;
  return false;
}

/* The replicas that were last told of F: under the view in which they were, or
   under a later one for which all entries were pushed.  None when that is too
   long ago.  Returns the view that ORDER is of.  */
static const struct bb_view *
told_replicas (const struct bb_engine *e, const struct bb_flow *f,
               const struct bb_order **order)
{
  static const struct bb_order none;
  uint8_t age
      = MIN ((uint8_t)(e->epoch - f->epoch), (uint8_t)(e->epoch - e->synced));
  const struct bb_view *v = &e->views[(uint8_t)(e->epoch - age) % BB_VIEWS];
  *order = age < BB_VIEWS ? bb_order_replicas (v, f->hash) : &none;
  return v;
}

/* Whether this balancer is the one that pushes: the first of the new replicas
   that was a replica before, or any holder when there is none.  */
static bool
responsible (const struct bb_engine *e, const struct bb_order *new,
             const struct bb_order *old, const struct bb_view *old_view)
{
  for (uint32_t i = 0; i < new->count; i++)
    {
      uint32_t id = e->view.ids[new->members[i]];
      if (holds (old, old_view, id))
        return id == e->options.self.id;
    }
  return true;
}

static void
send_box (struct bb_engine *e, struct bb_peer *p, bb_usec now)
{
  struct bb_outbox *o = &p->outbox;
  o->sent = now;
  if (!o->batch)
    o->batch = ++e->push_batch;
  struct bb_message m = { .kind = BB_MESSAGE_ENTRIES,
                          .from = e->options.self.id,
                          .u.entries = { .batch = o->batch,
                                         .entries = o->entries,
                                         .entry_count = o->count } };
  e->push_credit -= (int64_t)(o->count * ENTRY_BYTES);
  e->sink->message (e->context, &p->vm, &m);
}

/* Puts F into the outbox of P; false if the box waits for its
   acknowledgement.  */
static bool
post (struct bb_engine *e, struct bb_peer *p, const struct bb_flow *f)
{
  struct bb_outbox *o = &p->outbox;
  if (o->sent || o->count == BB_ENTRIES_PER_MESSAGE)
    return false;
  o->entries[o->count++] = (struct bb_entry){ .hash = f->hash,
                                              .server = e->slots[f->slot].key,
                                              .state = f->state };
  return true;
}

static bool
box_free (const struct bb_outbox *o)
{
  return !o->sent && o->count < BB_ENTRIES_PER_MESSAGE;
}

/* Posts F to its new replicas; false if one of their boxes is not free.  */
static bool
push_entry (struct bb_engine *e, const struct bb_flow *f)
{
  const struct bb_order *new = bb_order_replicas (&e->view, f->hash);
  const struct bb_order *old;
  const struct bb_view *old_view = told_replicas (e, f, &old);
  if (!responsible (e, new, old, old_view))
    return true;
  struct bb_peer *to[BB_HOPS_MAX];
  uint32_t n = 0;
  for (uint32_t i = 0; i < new->count; i++)
    {
      uint32_t id = e->view.ids[new->members[i]];
      if (id == e->options.self.id || holds (old, old_view, id))
        continue;
      struct bb_peer *p = bb_peer_find (e, id);
      if (!p)
        continue;
      if (!box_free (&p->outbox))
        return false;
      to[n++] = p;
    }
  while (n--)
    post (e, to[n], f);
  return true;
}

static bool
boxes_empty (const struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (e->peers[i].outbox.count && bb_peer_live (e, &e->peers[i]))
      return false;
  return true;
}

static void
scan (struct bb_engine *e)
{
  for (int n = 0; n < SCAN_PLACES && e->push_hand < e->flows.size; n++)
    {
      const struct bb_flow *f = &e->flows.flows[e->push_hand];
      if (f->hash && f->state != BB_FLOW_CLOSING && !push_entry (e, f))
        return;
      e->push_hand++;
    }
}

static void
flush (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      struct bb_peer *p = &e->peers[i];
      struct bb_outbox *o = &p->outbox;
      if (!bb_peer_live (e, p))
        o->count = 0, o->sent = 0, o->batch = 0;
      if (!o->count || e->push_credit <= 0)
        continue;
      bool full = o->count == BB_ENTRIES_PER_MESSAGE;
      bool end = e->push_hand >= e->flows.size;
      if (o->sent ? now - o->sent >= RESEND_AFTER : full || end)
        send_box (e, p, now);
    }
}

/* Whether all live peers have pushed what the present view needs.  What a
   peer reported before it knew the view is overtaken within SYNC_TIME, and one
   that dies before its push is done is suspected by then.  */
static bool
all_pushed (const struct bb_engine *e, bb_usec now)
{
  if (now - e->view_changed < SYNC_TIME)
    return false;
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_local (e, &e->peers[i]) && bb_peer_live (e, &e->peers[i])
        && !e->peers[i].pushed)
      return false;
  return true;
}

void
bb_push_tick (struct bb_engine *e, bb_usec now, bb_usec elapsed)
{
  int64_t rate = e->options.push_bytes;
  e->push_credit += rate * elapsed / BB_SEC;
  e->push_credit = MIN (e->push_credit, rate);
  if (e->push_done)
    {
      if (e->synced != e->epoch && all_pushed (e, now))
        e->synced = e->epoch;
      return;
    }
  scan (e);
  flush (e, now);
  if (e->push_hand < e->flows.size || !boxes_empty (e))
    return;
  e->push_done = true;
  e->heartbeat_soon = true;
  bb_engine_event (e, BB_EVENT_PUSH_DONE, 0, 0, e->flows.used);
}

/* What a packet has recorded under this view is newer than what is pushed. */
static void
take_entry (struct bb_engine *e, const struct bb_entry *n)
{
  struct bb_slot *t = bb_slot_find (e, n->server);
  if (!t || !n->hash || n->state > BB_FLOW_CLOSING)
    return;
  uint16_t slot = bb_slot_index (e, t);
  struct bb_flow *f = bb_flows_find (&e->flows, n->hash);
  if (f && f->epoch == e->epoch)
    return;
  if (f && f->slot != slot)
    bb_forget (e, f);
  bb_record (e, n->hash, slot, (enum bb_flow_state)n->state);
}

void
bb_push_receive (struct bb_engine *e, struct bb_peer *p,
                 const struct bb_entries *m, bb_usec now)
{
  (void)now;
  for (size_t i = 0; i < m->entry_count; i++)
    take_entry (e, &m->entries[i]);
  struct bb_message taken = { .kind = BB_MESSAGE_TAKEN,
                              .from = e->options.self.id,
                              .u.taken = { .batch = m->batch } };
  e->sink->message (e->context, &p->vm, &taken);
}

void
bb_push_taken (struct bb_engine *e, struct bb_peer *p, uint32_t batch)
{
  (void)e;
  if (!p->outbox.sent || p->outbox.batch != batch)
    return;
  p->outbox.count = 0;
  p->outbox.sent = 0;
  p->outbox.batch = 0;
}
