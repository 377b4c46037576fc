/* The base set: which servers get packets of flows without an entry, and its
   change from one generation to the next.  Phases advance only when every
   balancer of the data centre, known or listed, has reached the same one.  */

#include "core/hash.h"
#include "core/private.h"

#define SEND_INTERVAL (300 * BB_MSEC)
#define STEADY_TIME (10 * BB_SEC) /* without change before a rebase */

static uint32_t
digest (const struct bb_engine *e, bool target)
{
  uint32_t d = (uint32_t)bb_hash_score (e->origin, e->generation);
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      const struct bb_slot *t = &e->slots[i];
      if (target ? t->in_target : t->in_base)
        d ^= (uint32_t)bb_hash_score (t->key, t->weight);
    }
  return d;
}

/* Of the target while one is being prepared, else of the base set.  */
uint32_t
bb_base_visible_digest (const struct bb_engine *e)
{
  return e->phase == BB_PHASE_SETTLED ? e->base_digest : e->target_digest;
}

static void
changed (struct bb_engine *e, bb_usec now)
{
  e->base_digest = digest (e, false);
  e->target_digest = digest (e, true);
  e->heartbeat_soon = true;
  e->steady_since = now;
  bb_tables_rebuild (e, now);
  bb_engine_event (e, BB_EVENT_REBASE, 0, 0,
                   (uint64_t)e->generation * 4 + e->phase);
}

void
bb_base_bootstrap (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    e->slots[i].in_base = e->slots[i].listed;
  e->origin = e->options.incarnation;
  e->generation = 1;
  e->phase = BB_PHASE_SETTLED;
  changed (e, now);
}

void
bb_base_send (struct bb_engine *e, struct bb_peer *p, bb_usec now)
{
  if (now - p->base_sent < SEND_INTERVAL)
    return;
  p->base_sent = now;
  struct bb_set_member *m = g_new0 (struct bb_set_member, e->slot_count + 1);
  size_t n = 0;
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      const struct bb_slot *t = &e->slots[i];
      if (!t->gue.address)
        continue;
      m[n++] = (struct bb_set_member){ .service = t->service_key,
                                       .server = t->key,
                                       .gue = t->gue,
                                       .weight = t->weight,
                                       .in_base = t->in_base,
                                       .in_target = t->in_target };
    }
  struct bb_message message
      = { .kind = BB_MESSAGE_BASE_SET,
          .from = e->options.self.id,
          .u.base_set = { .origin = e->origin,
                          .generation = e->generation,
                          .phase = e->phase,
                          .digest = bb_base_visible_digest (e),
                          .members = m,
                          .member_count = n } };
  e->sink->message (e->context, &p->vm, &message);
  g_free (m);
}

/* Servers that the configuration no longer lists keep their addresses.  */
static void
learn_server (struct bb_engine *e, const struct bb_set_member *m, bb_usec now)
{
  struct bb_slot *t = bb_slot_get (e, m->service, m->server, now);
  if (!t || t->listed)
    return;
  t->gue = m->gue;
  if (m->in_base || m->in_target)
    t->weight = MAX (m->weight, 1);
}

static void
take_sets (struct bb_engine *e, const struct bb_base_set *b, bool base,
           bool target)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      if (base)
        e->slots[i].in_base = false;
      if (target)
        e->slots[i].in_target = false;
    }
  for (size_t i = 0; i < b->member_count; i++)
    {
      struct bb_slot *t = bb_slot_find (e, b->members[i].server);
      if (!t)
        continue;
      if (base)
        t->in_base = b->members[i].in_base;
      if (target)
        t->in_target = b->members[i].in_target;
    }
}

/* Takes over a whole state: after a start, or when an older origin shows that
   this balancer had started alone.  */
static void
adopt (struct bb_engine *e, const struct bb_base_set *b, bb_usec now)
{
  if (e->generation)
    bb_engine_event (e, BB_EVENT_BASE_CONFLICT, 0, 0, b->origin);
  take_sets (e, b, true, true);
  e->origin = b->origin;
  e->generation = b->generation;
  e->phase = b->phase;
  changed (e, now);
}

static void
settle (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      e->slots[i].in_base = e->slots[i].in_target;
      e->slots[i].in_target = false;
    }
  e->generation++;
  e->phase = BB_PHASE_SETTLED;
  changed (e, now);
}

/* Position in the sequence settled, prepare, resolve, settled, ...  */
static uint64_t
step (uint32_t generation, enum bb_phase phase)
{
  return 3 * (uint64_t)generation + phase;
}

static bool
skipped_any (const struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    {
      const struct bb_service_state *s = &e->services[i];
      if (s->skipped && now - s->skipped < s->conf.idle_s * BB_SEC)
        return true;
    }
  return false;
}

void
bb_base_receive (struct bb_engine *e, struct bb_peer *p,
                 const struct bb_base_set *b, bb_usec now)
{
  if (!b->generation || !bb_peer_local (e, p))
    return;
  for (size_t i = 0; i < b->member_count; i++)
    learn_server (e, &b->members[i], now);
  bool older = b->origin < e->origin;
  bool same = b->origin == e->origin;
  uint64_t mine = step (e->generation, e->phase);
  uint64_t theirs = step (b->generation, b->phase);
  if (!e->generation || older || (same && theirs > mine + 1))
    {
      adopt (e, b, now);
      return;
    }
  if (!same || theirs != mine + 1)
    return;
  if (e->phase == BB_PHASE_SETTLED && !skipped_any (e, now))
    {
      take_sets (e, b, false, true);
      e->phase = BB_PHASE_PREPARE;
      changed (e, now);
    }
}

/* Whether all balancers that may serve have reached this phase.  */
static bool
all_reached (const struct bb_engine *e)
{
  uint64_t mine = step (e->generation, e->phase);
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (!bb_peer_local (e, p) || p->state == BB_PEER_LEAVING)
        continue;
      if (!bb_peer_live (e, p))
        return false;
      uint64_t theirs = step (p->generation, p->phase);
      if (theirs < mine)
        return false;
      if (theirs == mine && p->base_digest != bb_base_visible_digest (e))
        return false;
    }
  return true;
}

static bool
lowest (const struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_local (e, &e->peers[i])
        && e->peers[i].vm.id < e->options.self.id)
      return false;
  return e->state == BB_PEER_ACTIVE;
}

/* Whether the listed servers of S may become its base set: its head has not
   changed for so long that all older flows in the buckets that differ were
   recorded or have ended.  */
static bool
may_follow (const struct bb_service_state *s, bb_usec now)
{
  bb_usec idle = s->conf.idle_s * BB_SEC;
  return s->listed && now - s->head_since >= idle
         && (!s->skipped || now - s->skipped >= idle);
}

static void
propose (struct bb_engine *e, bb_usec now)
{
  bool differs = false;
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[i];
      bool follow = may_follow (&e->services[t->service], now);
      t->in_target = follow ? t->listed : t->in_base;
      differs |= t->in_target != t->in_base;
    }
  if (!differs)
    return;
  e->phase = BB_PHASE_PREPARE;
  changed (e, now);
}

static bool
steady (const struct bb_engine *e, bb_usec now)
{
  if (!e->push_done || !e->version_acted || !all_reached (e))
    return false;
  if (now - MAX (e->view_changed, e->version_since) < STEADY_TIME)
    return false;
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_local (e, &e->peers[i]) && e->peers[i].state != BB_PEER_ACTIVE)
      return false;
  return now - e->steady_since >= STEADY_TIME;
}

void
bb_base_tick (struct bb_engine *e, bb_usec now)
{
  if (!e->generation || e->state != BB_PEER_ACTIVE)
    return;
  if (e->phase == BB_PHASE_SETTLED)
    {
      if (lowest (e) && steady (e, now))
        propose (e, now);
      return;
    }
  if (!all_reached (e))
    return;
  if (e->phase == BB_PHASE_RESOLVE)
    settle (e, now);
  else
    {
      e->phase = BB_PHASE_RESOLVE;
      changed (e, now);
    }
}
