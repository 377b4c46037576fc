/* Heartbeats and member lists.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <string.h>

#define SOON_INTERVAL (100 * BB_MSEC) /* least time between heartbeats */
#define COUNTS_EVERY 2                /* heartbeats */
#define MEMBERS_INTERVAL (1000 * BB_MSEC)

struct parts
{
  uint32_t *bits;
  size_t bit_count;
  int32_t *counts;
  size_t count_count;
};

static void
collect (const struct bb_engine *e, struct parts *parts, bool with_counts)
{
  parts->bits = g_new (uint32_t, e->slot_count + 1);
  for (uint32_t i = 0; i < e->slot_count; i++)
    if (e->slots[i].bit)
      parts->bits[parts->bit_count++] = e->slots[i].key;
  if (!with_counts)
    return;
  parts->counts = g_new (int32_t, e->counted_count + 1);
  for (uint32_t i = 0; i < e->counted_count; i++)
    parts->counts[i] = e->slots[e->counted[i]].own_open;
  parts->count_count = e->counted_count;
}

static void
send_to (struct bb_engine *e, struct bb_peer *p, const struct parts *parts)
{
  struct bb_message m = {
    .kind = BB_MESSAGE_HEARTBEAT,
    .from = e->options.self.id,
    .u.heartbeat = {
      .incarnation = e->options.incarnation,
      .state = e->state,
      .generation = e->ready && !e->released ? e->generation : 0, /* 0: holds no entries */
      .phase = e->phase,
      .base_digest = bb_base_visible_digest (e),
      .bits_sequence = e->bits_sequence,
      .acknowledged = p->bits_sequence,
      .pushed = e->push_done,
      .counts_digest = e->counts_digest,
      .members_digest = bb_members_digest (e),
    },
  };
  struct bb_heartbeat *h = &m.u.heartbeat;
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    h->versions[k] = e->kept[k].version;
  if (bb_peer_local (e, p))
    {
      h->bits = parts->bits;
      h->bit_count = parts->bit_count;
      h->counts = parts->counts;
      h->count_count = parts->count_count;
    }
  e->sink->message (e->context, &p->vm, &m);
}

/* One random peer of another data centre a second carries versions across. */
static void
send_remote (struct bb_engine *e, const struct parts *parts)
{
  uint32_t remote = 0;
  for (uint32_t i = 0; i < e->peer_count; i++)
    remote += !bb_peer_local (e, &e->peers[i]);
  if (!remote)
    return;
  uint32_t pick = bb_engine_random (e, remote);
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (!bb_peer_local (e, &e->peers[i]) && pick-- == 0)
      send_to (e, &e->peers[i], parts);
}

static void
send_members (struct bb_engine *e, struct bb_peer *to, bb_usec now)
{
  struct bb_vm vms[BB_PEER_MAX + 1];
  size_t n = 0;
  if (now - to->members_sent < MEMBERS_INTERVAL)
    return;
  to->members_sent = now;
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
  bool soon = e->heartbeat_soon && now - e->heartbeat_sent >= SOON_INTERVAL;
  if (!due && !soon)
    return;
  bool whole = due && (now / BB_HEARTBEAT_INTERVAL) % COUNTS_EVERY == 0;
  struct parts parts = { .bits = NULL };
  collect (e, &parts, whole);
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_local (e, &e->peers[i]))
      {
        /* One that was not heard may not know this balancer.  */
        if (!bb_peer_live (e, &e->peers[i]))
          send_members (e, &e->peers[i], now);
        send_to (e, &e->peers[i], &parts);
      }
  if (whole)
    send_remote (e, &parts);
  g_free (parts.bits);
  g_free (parts.counts);
  e->heartbeat_soon = false;
  e->heartbeat_sent = now;
  if (due)
    e->heartbeat_due = now + BB_HEARTBEAT_INTERVAL;
}

static void
note_state (struct bb_engine *e, struct bb_peer *p, enum bb_peer_state state,
            bb_usec now)
{
  static const enum bb_event_kind events[] = {
    [BB_PEER_JOINING] = BB_EVENT_PEER_JOINED,
    [BB_PEER_ACTIVE] = BB_EVENT_PEER_ACTIVE,
    [BB_PEER_LEAVING] = BB_EVENT_PEER_LEAVING,
  };
  bool back = p->heard && p->suspected;
  if (p->heard && !back && p->state == state)
    return;
  /* It was paused and has dropped entries that may be out of date.  */
  if (p->heard && p->state == BB_PEER_ACTIVE && state == BB_PEER_JOINING)
    bb_view_forget (e, p->vm.id, now);
  p->heard = true;
  p->suspected = false;
  p->state = state;
  if (!bb_peer_local (e, p))
    return;
  bb_engine_event (e, back ? BB_EVENT_PEER_BACK : events[state], p->vm.id, 0,
                   state);
  e->heartbeat_soon = true;
  bb_view_rebuild (e, now);
}

/* A restarted peer has forgotten all that was said to it.  */
static void
note_incarnation (struct bb_engine *e, struct bb_peer *p, uint64_t incarnation,
                  bb_usec now)
{
  if (p->incarnation == incarnation)
    return;
  if (p->incarnation)
    bb_view_forget (e, p->vm.id, now);
  p->incarnation = incarnation;
  p->bits_sequence = 0;
  p->acknowledged = 0;
  p->pushed = false;
  p->outbox.count = 0;
  p->outbox.sent = 0;
  memset (p->versions, 0, sizeof p->versions);
  g_clear_pointer (&p->bits, g_free);
  p->bit_count = 0;
}

/* Messages may be repeated or overtake each other, so what only grows within
   an incarnation never goes back.  */
static void
note_progress (struct bb_peer *p, const struct bb_heartbeat *h)
{
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    p->versions[k] = MAX (p->versions[k], h->versions[k]);
  if (h->acknowledged < p->acknowledged)
    return;
  p->acknowledged = h->acknowledged;
  p->pushed = h->pushed;
}

static void
note_counts (struct bb_peer *p, const struct bb_heartbeat *h)
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
note_base (struct bb_engine *e, struct bb_peer *p,
           const struct bb_heartbeat *h, bb_usec now)
{
  bool was_ready = p->generation != 0;
  p->generation = h->generation;
  if (was_ready != (h->generation != 0))
    bb_view_rebuild (e, now);
  p->phase = h->phase;
  p->base_digest = h->base_digest;
  if (!e->generation || !bb_peer_local (e, p))
    return;
  if (h->generation != e->generation || h->phase != e->phase
      || h->base_digest != bb_base_visible_digest (e))
    bb_base_send (e, p, now);
}

void
bb_heartbeat_receive (struct bb_engine *e, struct bb_peer *p,
                      const struct bb_heartbeat *h, bb_usec now)
{
  if (h->incarnation < p->incarnation)
    return; /* a delayed message of an earlier process */
  note_incarnation (e, p, h->incarnation, now);
  if (h->bits_sequence < p->bits_sequence)
    return; /* overtaken by a later heartbeat */
  p->heard_at = now;
  if (bb_peer_local (e, p) && h->bits_sequence > p->bits_sequence)
    {
      bb_bits_from_peer (e, p, h);
      bb_bits_merge (e, now);
      e->heartbeat_soon = true;
    }
  note_progress (p, h);
  note_counts (p, h);
  note_base (e, p, h, now);
  note_state (e, p, h->state, now);
  if (p->state == BB_PEER_ACTIVE && !e->first_active)
    e->first_active = now;
  bb_documents_compare (e, p, now);
  if (h->members_digest != bb_members_digest (e))
    send_members (e, p, now);
}
