/* The default set of a service: the servers that its default table is built
   from.  A packet whose flow has no entry goes to the default server of its
   bucket.  The set that is being prepared is the target set.

   A change of the set (rebalance) passes through the phases prepare and
   resolve before it is settled.  A balancer enters the next phase only when
   every peer of the data centre that is not leaving, including peers that
   never reported, has reached the present phase.  Otherwise two balancers
   could send packets of one flow to different servers.  */

#include "core/engine_private.h"
#include "core/hash.h"

#define SEND_INTERVAL (300 * BB_MSEC)
#define STABLE_TIME (10 * BB_SEC) /* without change before a rebalance */

static uint32_t
weights_digest (const struct bb_engine *e, bool target)
{
  uint32_t d = (uint32_t)bb_hash_score (e->origin, e->generation);
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      const struct bb_slot *t = &e->slots[i];
      uint16_t weight = target ? t->target_weight : t->default_weight;
      if (weight)
        d ^= (uint32_t)bb_hash_score (t->key, weight);
    }
  return d;
}

/* Digest that peers compare: of the target set while one is being prepared,
   otherwise of the default set.  */
uint32_t
bb_default_set_digest (const struct bb_engine *e)
{
  return e->phase == BB_PHASE_SETTLED ? e->default_set_digest
                                      : e->target_digest;
}

static void
apply_change (struct bb_engine *e, bb_usec now)
{
  e->default_set_digest = weights_digest (e, false);
  e->target_digest = weights_digest (e, true);
  e->heartbeat_pending = true;
  e->unchanged_since = now;
  bb_tables_rebuild (e, now);
  bb_engine_emit_event (e, BB_EVENT_REBASE, 0, 0,
                        (uint64_t)e->generation * 4 + e->phase);
}

/* Forms the default set of each listed service that has none from its listed
   servers.  Balancers may form it from different versions; when they exchange
   their sets, the one with the lowest version is kept.  */
void
bb_default_set_form (struct bb_engine *e)
{
  bool *new = g_new0 (bool, e->service_count + 1);
  for (uint32_t i = 0; i < e->service_count; i++)
    {
      struct bb_service_state *s = &e->services[i];
      new[i] = s->listed && !s->formed_version;
      if (new[i])
        s->formed_version = e->fleet->base_version + e->fleet->overlay_version;
    }
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[i];
      if (new[t->service])
        t->default_weight = t->listed ? t->weight : 0;
    }
  g_free (new);
  e->default_set_digest = weights_digest (e, false);
}

void
bb_default_set_bootstrap (struct bb_engine *e, bb_usec now)
{
  e->origin = e->options.incarnation;
  e->generation = 1;
  e->phase = BB_PHASE_SETTLED;
  bb_default_set_form (e);
  apply_change (e, now);
}

void
bb_default_set_send (struct bb_engine *e, struct bb_peer *p, bb_usec now)
{
  if (now - p->default_set_sent_at < SEND_INTERVAL)
    return;
  p->default_set_sent_at = now;
  struct bb_default_set_member *m
      = g_new0 (struct bb_default_set_member, e->slot_count + 1);
  size_t n = 0;
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      const struct bb_slot *t = &e->slots[i];
      if (!t->gue.address)
        continue;
      const struct bb_service_state *s = &e->services[t->service];
      m[n++] = (struct bb_default_set_member){
        .service = t->service_key,
        .server = t->key,
        .gue = t->gue,
        .default_weight = t->default_weight,
        .target_weight = t->target_weight,
        .buckets = s->buckets,
        .formed_version = s->formed_version
      };
    }
  struct bb_message message
      = { .kind = BB_MESSAGE_DEFAULT_SET,
          .from = e->options.self.id,
          .u.default_set = { .origin = e->origin,
                             .hash_seed = e->hash_seed,
                             .generation = e->generation,
                             .phase = e->phase,
                             .digest = bb_default_set_digest (e),
                             .members = m,
                             .member_count = n } };
  e->sink->message (e->context, &p->vm, &message);
  g_free (m);
}

/* A server that is no longer in the configuration takes its address from the
   peer.  */
static void
update_address (struct bb_engine *e, const struct bb_default_set_member *m,
                bb_usec now)
{
  struct bb_slot *t = bb_slot_find_or_add (e, m->service, m->server, now);
  if (t && !t->listed)
    t->gue = m->gue;
}

static void
copy_target (struct bb_engine *e, const struct bb_default_set *set)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    e->slots[i].target_weight = 0;
  for (size_t i = 0; i < set->member_count; i++)
    {
      struct bb_slot *t = bb_slot_find (e, set->members[i].server);
      if (t)
        t->target_weight = set->members[i].target_weight;
    }
}

/* Copies from SET the default sets of the services that the sender formed from
   a lower version, or of all services if ALL.  Returns whether any was
   copied.  */
static bool
merge_default_sets (struct bb_engine *e, const struct bb_default_set *set,
                    bool all)
{
  bool *replaced = g_new0 (bool, BB_SERVICE_MAX);
  bool any = false;
  for (size_t i = 0; i < set->member_count; i++)
    {
      const struct bb_default_set_member *m = &set->members[i];
      struct bb_service_state *s = bb_service_find (e, m->service);
      if (!s || !m->formed_version || !m->buckets)
        continue;
      uint32_t index = (uint32_t)(s - e->services);
      if (!replaced[index] && !all && s->formed_version
          && m->formed_version >= s->formed_version)
        continue;
      if (!replaced[index])
        for (uint32_t k = 0; k < e->slot_count; k++)
          if (e->slots[k].service == index)
            e->slots[k].default_weight = 0;
      replaced[index] = any = true;
      s->formed_version = m->formed_version;
      s->buckets = m->buckets;
      struct bb_slot *t = bb_slot_find (e, m->server);
      if (t)
        t->default_weight = m->default_weight;
    }
  g_free (replaced);
  return any;
}

/* Replaces the whole state by SET: after a start, or if the origin of SET is
   older, since this balancer then formed its first default set without the
   peers.  */
static void
replace_state (struct bb_engine *e, const struct bb_default_set *set,
               bb_usec now)
{
  if (e->generation)
    bb_engine_emit_event (e, BB_EVENT_BASE_CONFLICT, 0, 0, set->origin);
  merge_default_sets (e, set, true);
  copy_target (e, set);
  if (e->fleet)
    bb_default_set_form (e);
  e->origin = set->origin;
  e->hash_seed = set->hash_seed;
  e->generation = set->generation;
  e->phase = set->phase;
  apply_change (e, now);
}

static void
settle_target (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      e->slots[i].default_weight = e->slots[i].target_weight;
      e->slots[i].target_weight = 0;
    }
  e->generation++;
  e->phase = BB_PHASE_SETTLED;
  apply_change (e, now);
}

/* Position in the sequence settled, prepare, resolve, settled, ...  */
static uint64_t
phase_step (uint32_t generation, enum bb_phase phase)
{
  return 3 * (uint64_t)generation + phase;
}

static bool
has_unrecorded_flow (const struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    {
      const struct bb_service_state *s = &e->services[i];
      if (s->last_unrecorded
          && now - s->last_unrecorded < s->conf.idle_s * BB_SEC)
        return true;
    }
  return false;
}

void
bb_default_set_receive (struct bb_engine *e, struct bb_peer *p,
                        const struct bb_default_set *set, bb_usec now)
{
  if (!set->generation || !bb_peer_is_local (e, p))
    return;
  for (size_t i = 0; i < set->member_count; i++)
    update_address (e, &set->members[i], now);
  bool older = set->origin < e->origin;
  bool same = set->origin == e->origin;
  uint64_t own_step = phase_step (e->generation, e->phase);
  uint64_t peer_step = phase_step (set->generation, set->phase);
  if (!e->generation || older || (same && peer_step > own_step + 1))
    {
      replace_state (e, set, now);
      return;
    }
  if (same && peer_step == own_step && merge_default_sets (e, set, false))
    {
      apply_change (e, now);
      return;
    }
  if (!same || peer_step != own_step + 1)
    return;
  if (e->phase == BB_PHASE_SETTLED && !has_unrecorded_flow (e, now))
    {
      copy_target (e, set);
      e->phase = BB_PHASE_PREPARE;
      apply_change (e, now);
    }
}

/* Whether all balancers that may forward packets have reached this phase.  */
static bool
have_all_reached_phase (const struct bb_engine *e)
{
  uint64_t own_step = phase_step (e->generation, e->phase);
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (!bb_peer_is_local (e, p) || p->state == BB_PEER_LEAVING)
        continue;
      if (!bb_peer_is_live (e, p))
        return false;
      uint64_t peer_step = phase_step (p->generation, p->phase);
      if (peer_step < own_step)
        return false;
      if (peer_step == own_step
          && p->default_set_digest != bb_default_set_digest (e))
        return false;
    }
  return true;
}

/* The balancer with the lowest id of the data centre starts a rebalance, once
   it is active.  */
static bool
is_coordinator (const struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_is_local (e, &e->peers[i])
        && e->peers[i].vm.id < e->options.self.id)
      return false;
  return e->state == BB_PEER_ACTIVE;
}

/* Whether the listed servers of S may become its default set: for the idle
   limit of its flows the desired table has not changed and no established flow
   was left unrecorded.  By then all older flows in the buckets that differ
   were recorded or have ended.  */
static bool
may_use_listed (const struct bb_service_state *s, bb_usec now)
{
  bb_usec idle = s->conf.idle_s * BB_SEC;
  return s->listed && now - s->desired_since >= idle
         && (!s->last_unrecorded || now - s->last_unrecorded >= idle);
}

static void
propose_target (struct bb_engine *e, bb_usec now)
{
  bool differs = false;
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[i];
      bool use_listed = may_use_listed (&e->services[t->service], now);
      t->target_weight
          = use_listed ? (t->listed ? t->weight : 0) : t->default_weight;
      differs |= t->target_weight != t->default_weight;
    }
  if (!differs)
    return;
  e->phase = BB_PHASE_PREPARE;
  apply_change (e, now);
}

static bool
is_stable (const struct bb_engine *e, bb_usec now)
{
  if (!e->replication_done || !e->version_in_effect
      || !have_all_reached_phase (e))
    return false;
  if (now - MAX (e->view_changed_at, e->version_changed_at) < STABLE_TIME)
    return false;
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_is_local (e, &e->peers[i])
        && e->peers[i].state != BB_PEER_ACTIVE)
      return false;
  return now - e->unchanged_since >= STABLE_TIME;
}

void
bb_default_set_tick (struct bb_engine *e, bb_usec now)
{
  if (!e->generation || e->state != BB_PEER_ACTIVE)
    return;
  if (e->phase == BB_PHASE_SETTLED)
    {
      if (is_coordinator (e) && is_stable (e, now))
        propose_target (e, now);
      return;
    }
  if (!have_all_reached_phase (e))
    return;
  if (e->phase == BB_PHASE_RESOLVE)
    settle_target (e, now);
  else
    {
      e->phase = BB_PHASE_RESOLVE;
      apply_change (e, now);
    }
}
