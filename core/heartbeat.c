/* Sends and receives heartbeats and member lists.  Heartbeats carry the state,
   the versions, the impairment bits and the flow counts of a balancer.  Member
   lists make balancers discover each other.  Messages may be lost, repeated or
   reordered.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <string.h>

#define HEARTBEAT_MIN_INTERVAL (100 * BB_MSEC)
#define HEARTBEATS_PER_COUNTS 2 /* counts are part of every second one */
#define MEMBERS_INTERVAL (1000 * BB_MSEC)

struct payload
{
  uint32_t *bits;
  size_t bit_count;
  int32_t *counts;
  size_t count_count;
};

static void
collect (const struct bb_engine *e, struct payload *payload, bool with_counts)
{
  payload->bits = g_new (uint32_t, e->slot_count + 1);
  for (uint32_t i = 0; i < e->slot_count; i++)
    if (e->slots[i].bit_set)
      payload->bits[payload->bit_count++] = e->slots[i].key;
  if (!with_counts)
    return;
  payload->counts = g_new (int32_t, e->counted_slot_count + 1);
  for (uint32_t i = 0; i < e->counted_slot_count; i++)
    payload->counts[i] = e->slots[e->counted_slots[i]].own_open_flows;
  payload->count_count = e->counted_slot_count;
}

static void
send_heartbeat (struct bb_engine *e, struct bb_peer *p,
                const struct payload *payload)
{
  struct bb_message m = {
    .kind = BB_MESSAGE_HEARTBEAT,
    .from = e->options.self.id,
    .u.heartbeat = {
      .incarnation = e->options.incarnation,
      .state = e->state,
      /* 0: holds no entries */
      .generation = e->ready && !e->entries_replicated ? e->generation : 0,
      .phase = e->phase,
      .default_set_digest = bb_default_set_digest (e),
      .bits_sequence = e->bits_sequence,
      .acknowledged = p->bits_sequence,
      .replicated = e->replication_done,
      .counts_digest = e->counts_digest,
      .members_digest = bb_members_digest (e),
    },
  };
  struct bb_heartbeat *h = &m.u.heartbeat;
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    h->versions[k] = e->stored_documents[k].version;
  if (bb_peer_is_local (e, p))
    {
      h->bits = payload->bits;
      h->bit_count = payload->bit_count;
      h->counts = payload->counts;
      h->count_count = payload->count_count;
    }
  e->sink->message (e->context, &p->vm, &m);
}

/* Sends to one random peer of another data centre, so that versions spread
   between data centres.  Called with the counts, once a second.  */
static void
send_to_remote_peer (struct bb_engine *e, const struct payload *payload)
{
  uint32_t remote = 0;
  for (uint32_t i = 0; i < e->peer_count; i++)
    remote += !bb_peer_is_local (e, &e->peers[i]);
  if (!remote)
    return;
  uint32_t pick = bb_engine_random (e, remote);
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (!bb_peer_is_local (e, &e->peers[i]) && pick-- == 0)
      send_heartbeat (e, &e->peers[i], payload);
}

static void
send_members (struct bb_engine *e, struct bb_peer *to, bb_usec now)
{
  struct bb_vm vms[BB_PEER_MAX + 1];
  size_t n = 0;
  if (now - to->members_sent_at < MEMBERS_INTERVAL)
    return;
  to->members_sent_at = now;
  vms[n++] = e->options.self;
  for (uint32_t i = 0; i < e->peer_count; i++)
    vms[n++] = e->peers[i].vm;
  struct bb_message m = { .kind = BB_MESSAGE_MEMBERS,
                          .from = e->options.self.id,
                          .u.members = { .vms = vms, .vm_count = n } };
  e->sink->message (e->context, &to->vm, &m);
}

void
bb_heartbeats_send (struct bb_engine *e, bb_usec now)
{
  bool due = now >= e->heartbeat_due;
  bool soon = e->heartbeat_pending
              && now - e->heartbeat_sent_at >= HEARTBEAT_MIN_INTERVAL;
  if (!due && !soon)
    return;
  bool include_counts
      = due && (now / BB_HEARTBEAT_INTERVAL) % HEARTBEATS_PER_COUNTS == 0;
  struct payload payload = { .bits = NULL };
  collect (e, &payload, include_counts);
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_is_local (e, &e->peers[i]))
      {
        /* The member list of a peer that does not report may not contain this
           balancer.  */
        if (!bb_peer_is_live (e, &e->peers[i]))
          send_members (e, &e->peers[i], now);
        send_heartbeat (e, &e->peers[i], &payload);
      }
  if (include_counts)
    send_to_remote_peer (e, &payload);
  g_free (payload.bits);
  g_free (payload.counts);
  e->heartbeat_pending = false;
  e->heartbeat_sent_at = now;
  if (due)
    e->heartbeat_due = now + BB_HEARTBEAT_INTERVAL;
}

static void
update_state (struct bb_engine *e, struct bb_peer *p, enum bb_peer_state state,
              bb_usec now)
{
  static const enum bb_event_kind events[] = {
    [BB_PEER_JOINING] = BB_EVENT_PEER_JOINED,
    [BB_PEER_ACTIVE] = BB_EVENT_PEER_ACTIVE,
    [BB_PEER_LEAVING] = BB_EVENT_PEER_LEAVING,
  };
  bool back = p->has_reported && p->suspected;
  if (p->has_reported && !back && p->state == state)
    return;
  /* The peer was paused and has removed entries that may be out of date.  */
  if (p->has_reported && p->state == BB_PEER_ACTIVE
      && state == BB_PEER_JOINING)
    bb_view_remove_peer (e, p->vm.id, now);
  p->has_reported = true;
  p->suspected = false;
  p->state = state;
  if (!bb_peer_is_local (e, p))
    return;
  bb_engine_emit_event (e, back ? BB_EVENT_PEER_BACK : events[state], p->vm.id,
                        0, state);
  e->heartbeat_pending = true;
  bb_view_rebuild (e, now);
}

/* A restarted peer has lost the entries and bits that were sent to it
   before.  */
static void
update_incarnation (struct bb_engine *e, struct bb_peer *p,
                    uint64_t incarnation, bb_usec now)
{
  if (p->incarnation == incarnation)
    return;
  if (p->incarnation)
    bb_view_remove_peer (e, p->vm.id, now);
  p->incarnation = incarnation;
  p->bits_sequence = 0;
  p->acknowledged = 0;
  p->replicated = false;
  p->outbox.count = 0;
  p->outbox.sent = 0;
  memset (p->versions, 0, sizeof p->versions);
  g_clear_pointer (&p->bits, g_free);
  p->bit_count = 0;
}

/* Messages may be repeated or reordered, so a value that only grows within an
   incarnation is never lowered.  */
static void
update_progress (struct bb_peer *p, const struct bb_heartbeat *h)
{
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    p->versions[k] = MAX (p->versions[k], h->versions[k]);
  if (h->acknowledged < p->acknowledged)
    return;
  p->acknowledged = h->acknowledged;
  p->replicated = h->replicated;
}

static void
update_counts (struct bb_peer *p, const struct bb_heartbeat *h)
{
  if (!h->count_count)
    return;
  g_free (p->counts);
  p->counts = g_memdup2 (h->counts, h->count_count * sizeof *h->counts);
  p->count_count = h->count_count;
  p->counts_digest = h->counts_digest;
}

void
bb_members_receive (struct bb_engine *e, const struct bb_members *m,
                    bb_usec now)
{
  for (size_t i = 0; i < m->vm_count; i++)
    {
      if (bb_peer_find (e, m->vms[i].id))
        continue;
      bb_peer_add (e, &m->vms[i], false, now);
    }
}

static void
update_default_set (struct bb_engine *e, struct bb_peer *p,
                    const struct bb_heartbeat *h, bb_usec now)
{
  bool was_ready = p->generation != 0;
  p->generation = h->generation;
  if (was_ready != (h->generation != 0))
    bb_view_rebuild (e, now);
  p->phase = h->phase;
  p->default_set_digest = h->default_set_digest;
  if (!e->generation || !bb_peer_is_local (e, p))
    return;
  if (h->generation != e->generation || h->phase != e->phase
      || h->default_set_digest != bb_default_set_digest (e))
    bb_default_set_send (e, p, now);
}

void
bb_heartbeat_receive (struct bb_engine *e, struct bb_peer *p,
                      const struct bb_heartbeat *h, bb_usec now)
{
  if (h->incarnation < p->incarnation)
    return; /* a delayed message of an earlier process */
  update_incarnation (e, p, h->incarnation, now);
  if (h->bits_sequence < p->bits_sequence)
    return; /* a later heartbeat arrived before */
  p->last_received = now;
  if (bb_peer_is_local (e, p) && h->bits_sequence > p->bits_sequence)
    {
      bb_bits_receive (e, p, h);
      bb_bits_merge (e, now);
      e->heartbeat_pending = true;
    }
  update_progress (p, h);
  update_counts (p, h);
  update_default_set (e, p, h, now);
  update_state (e, p, h->state, now);
  if (p->state == BB_PEER_ACTIVE && !e->first_active_at)
    e->first_active_at = now;
  bb_documents_fetch_newer (e, p, now);
  if (h->members_digest != bb_members_digest (e))
    send_members (e, p, now);
}
