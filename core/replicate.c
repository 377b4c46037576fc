/* Replicates entries at a limited rate after a change of the view to the
   balancers that should now hold them, so that entries of tracked flows are
   not lost when balancers leave, crash or join.  */

#include "core/engine_private.h"

#define ENTRY_BYTES 20 /* of one entry in a message */
#define RESEND_AFTER (1000 * BB_MSEC)
#define STALE_REPORT_TIME (BB_SUSPECT_TIMEOUT + BB_HEARTBEAT_INTERVAL)
#define SCAN_POSITIONS_PER_TICK 20000 /* positions of the flow table */

void
bb_replication_restart (struct bb_engine *e)
{
  e->replication_done = false;
  e->replication_cursor = 0;
}

static bool
is_replica (const struct bb_order *o, const struct bb_view *v, uint32_t id)
{
  for (uint32_t i = 0; i < o->count; i++)
    if (v->ids[o->members[i]] == id)
      return true;
  return false;
}

/* Returns in ORDER the replicas that last received F, under the view of that
   time or under a later one for which all entries were replicated; no replicas
   if that view is no longer stored.  Returns the view that ORDER belongs
   to.  */
static const struct bb_view *
previous_replicas (const struct bb_engine *e, const struct bb_flow *f,
                   const struct bb_order **order)
{
  static const struct bb_order none;
  uint8_t age = MIN ((uint8_t)(e->epoch - f->epoch),
                     (uint8_t)(e->epoch - e->synced_epoch));
  const struct bb_view *v
      = &e->views[(uint8_t)(e->epoch - age) % BB_VIEW_HISTORY];
  *order = age < BB_VIEW_HISTORY ? bb_order_replicas (v, f->hash) : &none;
  return v;
}

/* Whether this balancer replicates the entry: the first of the new replicas
   that was a replica before does so, or each holder if there is none.  */
static bool
is_responsible (const struct bb_engine *e, const struct bb_order *new,
                const struct bb_order *old, const struct bb_view *old_view)
{
  for (uint32_t i = 0; i < new->count; i++)
    {
      uint32_t id = e->view.ids[new->members[i]];
      if (is_replica (old, old_view, id))
        return id == e->options.self.id;
    }
  return true;
}

static void
send_batch (struct bb_engine *e, struct bb_peer *p, bb_usec now)
{
  struct bb_outbox *o = &p->outbox;
  o->sent = now;
  if (!o->batch)
    o->batch = ++e->replication_batch;
  struct bb_message m = { .kind = BB_MESSAGE_ENTRIES,
                          .from = e->options.self.id,
                          .u.entries = { .batch = o->batch,
                                         .entries = o->entries,
                                         .entry_count = o->count } };
  e->replication_credit -= (int64_t)(o->count * ENTRY_BYTES);
  e->sink->message (e->context, &p->vm, &m);
}

/* Adds F to the outbox of P.  Returns false if the outbox is full or its
   message is not yet acknowledged.  */
static bool
queue_entry (struct bb_engine *e, struct bb_peer *p, const struct bb_flow *f)
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
outbox_has_room (const struct bb_outbox *o)
{
  return !o->sent && o->count < BB_ENTRIES_PER_MESSAGE;
}

/* Queues F for its new replicas.  Returns false if one of their outboxes has
   no room.  */
static bool
queue_to_replicas (struct bb_engine *e, const struct bb_flow *f)
{
  const struct bb_order *new = bb_order_replicas (&e->view, f->hash);
  const struct bb_order *old;
  const struct bb_view *old_view = previous_replicas (e, f, &old);
  if (!is_responsible (e, new, old, old_view))
    return true;
  struct bb_peer *to[BB_HOPS_MAX];
  uint32_t n = 0;
  for (uint32_t i = 0; i < new->count; i++)
    {
      uint32_t id = e->view.ids[new->members[i]];
      if (id == e->options.self.id || is_replica (old, old_view, id))
        continue;
      struct bb_peer *p = bb_peer_find (e, id);
      if (!p)
        continue;
      if (!outbox_has_room (&p->outbox))
        return false;
      to[n++] = p;
    }
  while (n--)
    queue_entry (e, to[n], f);
  return true;
}

static bool
are_outboxes_empty (const struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (e->peers[i].outbox.count && bb_peer_is_live (e, &e->peers[i]))
      return false;
  return true;
}

static void
scan_entries (struct bb_engine *e)
{
  for (int n = 0;
       n < SCAN_POSITIONS_PER_TICK && e->replication_cursor < e->flows.size;
       n++)
    {
      const struct bb_flow *f = &e->flows.flows[e->replication_cursor];
      if (f->hash && f->state != BB_FLOW_CLOSING && !queue_to_replicas (e, f))
        return;
      e->replication_cursor++;
    }
}

static void
send_outboxes (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      struct bb_peer *p = &e->peers[i];
      struct bb_outbox *o = &p->outbox;
      if (!bb_peer_is_live (e, p))
        o->count = 0, o->sent = 0, o->batch = 0;
      if (!o->count || e->replication_credit <= 0)
        continue;
      bool full = o->count == BB_ENTRIES_PER_MESSAGE;
      bool end = e->replication_cursor >= e->flows.size;
      if (o->sent ? now - o->sent >= RESEND_AFTER : full || end)
        send_batch (e, p, now);
    }
}

/* Whether all live peers have replicated all entries for the present view.  A
   report that a peer sent before it had this view is replaced by a newer one
   within STALE_REPORT_TIME, and a peer that fails before its replication is
   done is suspected by then.  */
static bool
have_all_replicated (const struct bb_engine *e, bb_usec now)
{
  if (now - e->view_changed_at < STALE_REPORT_TIME)
    return false;
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_is_local (e, &e->peers[i]) && bb_peer_is_live (e, &e->peers[i])
        && !e->peers[i].replicated)
      return false;
  return true;
}

void
bb_replication_tick (struct bb_engine *e, bb_usec now, bb_usec elapsed)
{
  int64_t rate = e->options.push_bytes;
  e->replication_credit += rate * elapsed / BB_SEC;
  e->replication_credit = MIN (e->replication_credit, rate);
  if (e->replication_done)
    {
      if (e->synced_epoch != e->epoch && have_all_replicated (e, now))
        e->synced_epoch = e->epoch;
      return;
    }
  scan_entries (e);
  send_outboxes (e, now);
  if (e->replication_cursor < e->flows.size || !are_outboxes_empty (e))
    return;
  e->replication_done = true;
  e->heartbeat_pending = true;
  bb_engine_emit_event (e, BB_EVENT_PUSH_DONE, 0, 0, e->flows.used);
}

/* An entry that a packet recorded under this view is newer than a replicated
   one.  */
static void
merge_entry (struct bb_engine *e, const struct bb_entry *n)
{
  struct bb_slot *t = bb_slot_find (e, n->server);
  if (!t || !n->hash || n->state > BB_FLOW_CLOSING)
    return;
  uint16_t slot = bb_slot_index (e, t);
  struct bb_flow *f = bb_flows_find (&e->flows, n->hash);
  if (f && f->epoch == e->epoch)
    return;
  if (f && f->slot != slot)
    bb_entry_remove (e, f);
  bb_entry_record (e, n->hash, slot, (enum bb_flow_state)n->state);
}

void
bb_replication_receive (struct bb_engine *e, struct bb_peer *p,
                        const struct bb_entries *m, bb_usec now)
{
  (void)now;
  for (size_t i = 0; i < m->entry_count; i++)
    merge_entry (e, &m->entries[i]);
  struct bb_message entries_ack = { .kind = BB_MESSAGE_ENTRIES_ACK,
                                    .from = e->options.self.id,
                                    .u.entries_ack = { .batch = m->batch } };
  e->sink->message (e->context, &p->vm, &entries_ack);
}

void
bb_replication_acknowledged (struct bb_engine *e, struct bb_peer *p,
                             uint32_t batch)
{
  (void)e;
  if (!p->outbox.sent || p->outbox.batch != batch)
    return;
  p->outbox.count = 0;
  p->outbox.sent = 0;
  p->outbox.batch = 0;
}
