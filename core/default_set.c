/* The base set: which servers get packets of flows without an entry, and its
   change from one generation to the next.  Phases advance only when every
   balancer of the data centre, known or listed, has reached the same one.  */

#include "core/engine_private.h"
#include "core/hash.h"

#define SEND_INTERVAL (300 * BB_MSEC)
#define STEADY_TIME (10 * BB_SEC) /* without change before a rebase */

static uint32_t
digest (const struct bb_engine *e, bool target)
{
  uint32_t d = (uint32_t)bb_hash_score (e->origin, e->generation);
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      const struct bb_slot *t = &e->slots[i];
      uint16_t weight = target ? t->target_weight : t->base_weight;
      if (weight)
        d ^= (uint32_t)bb_hash_score (t->key, weight);
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

/* Forms the base set of each listed service that has none from its listed
   servers.  Balancers may form it with different versions; the lowest one
   wins when they meet.  */
void
bb_base_form (struct bb_engine *e)
{
  bool *new = g_new0 (bool, e->service_count + 1);
  for (uint32_t i = 0; i < e->service_count; i++)
    {
      struct bb_service_state *s = &e->services[i];
      new[i] = s->listed && !s->formed;
      if (new[i])
        s->formed = e->fleet->base_version + e->fleet->overlay_version;
    }
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[i];
      if (new[t->service])
        t->base_weight = t->listed ? t->weight : 0;
    }
  g_free (new);
  e->base_digest = digest (e, false);
}

void
bb_base_bootstrap (struct bb_engine *e, bb_usec now)
{
  e->origin = e->options.incarnation;
  e->generation = 1;
  e->phase = BB_PHASE_SETTLED;
  bb_base_form (e);
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
      const struct bb_service_state *s = &e->services[t->service];
      m[n++] = (struct bb_set_member){ .service = t->service_key,
                                       .server = t->key,
                                       .gue = t->gue,
                                       .base_weight = t->base_weight,
                                       .target_weight = t->target_weight,
                                       .buckets = s->buckets,
                                       .formed = s->formed };
    }
  struct bb_message message
      = { .kind = BB_MESSAGE_BASE_SET,
          .from = e->options.self.id,
          .u.base_set = { .origin = e->origin,
                          .hash_seed = e->hash_seed,
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
  if (t && !t->listed)
    t->gue = m->gue;
}

static void
take_target (struct bb_engine *e, const struct bb_base_set *b)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    e->slots[i].target_weight = 0;
  for (size_t i = 0; i < b->member_count; i++)
    {
      struct bb_slot *t = bb_slot_find (e, b->members[i].server);
      if (t)
        t->target_weight = b->members[i].target_weight;
    }
}

/* Takes the base sets of the services that B formed with a lower version, or
   all that it has.  Returns whether there was one.  */
static bool
take_base (struct bb_engine *e, const struct bb_base_set *b, bool all)
{
  bool *taken = g_new0 (bool, BB_SERVICE_MAX);
  bool any = false;
  for (size_t i = 0; i < b->member_count; i++)
    {
      const struct bb_set_member *m = &b->members[i];
      struct bb_service_state *s = bb_service_find (e, m->service);
      if (!s || !m->formed || !m->buckets)
        continue;
      uint32_t index = (uint32_t)(s - e->services);
      if (!taken[index] && !all && s->formed && m->formed >= s->formed)
        continue;
      if (!taken[index])
        for (uint32_t k = 0; k < e->slot_count; k++)
          if (e->slots[k].service == index)
            e->slots[k].base_weight = 0;
      taken[index] = any = true;
      s->formed = m->formed;
      s->buckets = m->buckets;
      struct bb_slot *t = bb_slot_find (e, m->server);
      if (t)
        t->base_weight = m->base_weight;
    }
  g_free (taken);
  return any;
}

/* Takes over a whole state: after a start, or when an older origin shows that
   this balancer had started alone.  */
static void
adopt (struct bb_engine *e, const struct bb_base_set *b, bb_usec now)
{
  if (e->generation)
    bb_engine_event (e, BB_EVENT_BASE_CONFLICT, 0, 0, b->origin);
  take_base (e, b, true);
  take_target (e, b);
  if (e->fleet)
    bb_base_form (e);
  e->origin = b->origin;
  e->hash_seed = b->hash_seed;
  e->generation = b->generation;
  e->phase = b->phase;
  changed (e, now);
}

static void
settle (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      e->slots[i].base_weight = e->slots[i].target_weight;
      e->slots[i].target_weight = 0;
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
  if (same && theirs == mine && take_base (e, b, false))
    {
      changed (e, now);
      return;
    }
  if (!same || theirs != mine + 1)
    return;
  if (e->phase == BB_PHASE_SETTLED && !skipped_any (e, now))
    {
      take_target (e, b);
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
      t->target_weight = follow ? (t->listed ? t->weight : 0) : t->base_weight;
      differs |= t->target_weight != t->base_weight;
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
