/* The engine of one balancer: dispatches messages and probe reports, runs the
   periodic work and controls start, join, pause and exit.  A balancer owns
   flows only if it holds their entries, and exits only if its peers do.  */

#include "core/engine_private.h"
#include "core/hash.h"

#define START_GRACE (1000 * BB_MSEC)      /* time for the peers to report */
#define START_LIMIT (5000 * BB_MSEC)      /* then start without peers */
#define ACTIVE_PEER_GRACE (600 * BB_MSEC) /* after the first active peer */
#define SWEEP_INTERVAL (1000 * BB_MSEC)
#define LEAVE_STAGGER (300 * BB_MSEC)
#define SILENCE_SLOTS 65536
#define SEQUENCE_UNIT (100 * BB_MSEC)

void
bb_engine_emit_event (struct bb_engine *e, enum bb_event_kind kind,
                      uint32_t peer, uint32_t server, uint64_t value)
{
  struct bb_event event
      = { .kind = kind, .peer = peer, .server = server, .value = value };
  e->sink->event (e->context, &event);
}

uint32_t
bb_engine_random (struct bb_engine *e, uint32_t below)
{
  return (uint32_t)g_rand_int_range (e->random, 0, (gint32)below);
}

struct bb_engine *
bb_engine_new (const struct bb_engine_options *o, const struct bb_sink *sink,
               void *context, bb_usec now)
{
  struct bb_engine *e = g_new0 (struct bb_engine, 1);
  e->options = *o;
  e->sink = sink;
  e->context = context;
  e->started_at = e->last_tick = e->unchanged_since = now;
  e->has_resumed = true;
  e->tick_seconds = (uint32_t)(now / BB_SEC);
  e->random = g_rand_new_with_seed ((guint32)o->seed);
  e->slot_index = g_hash_table_new (NULL, NULL);
  e->silence = bb_silence_new (SILENCE_SLOTS);
  /* Start time: an acknowledgement of an earlier process is always lower.  */
  e->bits_sequence = (uint32_t)(o->incarnation / SEQUENCE_UNIT) | 1;
  e->join_sequence = e->bits_sequence;
  bb_flows_init (&e->flows, o->flow_capacity);
  bb_view_rebuild (e, now);
  bb_engine_emit_event (e, BB_EVENT_START, 0, 0, o->incarnation);
  return e;
}

void
bb_engine_free (struct bb_engine *e)
{
  if (!e)
    return;
  bb_tables_clear (e);
  bb_flows_clear (&e->flows);
  bb_documents_clear (e);
  bb_peers_clear (e);
  bb_silence_free (e->silence);
  bb_fleet_free (e->fleet);
  g_hash_table_destroy (e->slot_index);
  g_rand_free (e->random);
  g_free (e);
}

void
bb_engine_receive_report (struct bb_engine *e, uint32_t server,
                          const struct bb_probe_report *report, bb_usec now)
{
  struct bb_slot *t = bb_slot_find (e, server);
  if (!t)
    return;
  bool draining = t->health.draining;
  enum bb_health_change change
      = bb_health_apply_report (&t->health, report, now);
  t->open_flows_at_report = t->own_open_flows + t->peers_open_flows;
  if (change == BB_HEALTH_WENT_DOWN)
    bb_engine_emit_event (e, BB_EVENT_SERVER_DOWN, 0, server, 0);
  if (change == BB_HEALTH_WENT_UP)
    bb_engine_emit_event (e, BB_EVENT_SERVER_UP, 0, server, 0);
  if (t->health.draining && !draining)
    bb_engine_emit_event (e, BB_EVENT_SERVER_DRAIN, 0, server, 0);
}

void
bb_engine_receive_message (struct bb_engine *e, const struct bb_message *m,
                           bb_usec now)
{
  struct bb_peer *p = bb_peer_find (e, m->from);
  if (m->kind == BB_MESSAGE_MEMBERS)
    {
      bb_members_receive (e, &m->u.members, now);
      return;
    }
  if (!p)
    return; /* unknown until its member list arrives */
  switch (m->kind)
    {
    case BB_MESSAGE_HEARTBEAT:
      bb_heartbeat_receive (e, p, &m->u.heartbeat, now);
      break;
    case BB_MESSAGE_DOCUMENT_REQUEST:
      bb_documents_serve (e, p, &m->u.document_request);
      break;
    case BB_MESSAGE_DOCUMENT:
      bb_documents_receive (e, p, &m->u.document, now);
      break;
    case BB_MESSAGE_ENTRIES:
      bb_replication_receive (e, p, &m->u.entries, now);
      break;
    case BB_MESSAGE_ENTRIES_ACK:
      bb_replication_acknowledged (e, p, m->u.entries_ack.batch);
      break;
    case BB_MESSAGE_DEFAULT_SET:
      bb_default_set_receive (e, p, &m->u.default_set, now);
      break;
    default:
      break;
    }
}

static void
set_state (struct bb_engine *e, enum bb_peer_state state, bb_usec now)
{
  e->state = state;
  e->bits_sequence++;
  e->heartbeat_pending = true;
  bb_view_rebuild (e, now);
}

/* After a pause the state of this process may be out of date, and flows may
   have been placed without it, so this balancer joins again.  */
static void
resume_after_pause (struct bb_engine *e, bb_usec now, bb_usec paused_for)
{
  bb_engine_emit_event (e, BB_EVENT_PAUSE, 0, 0, (uint64_t)paused_for);
  e->has_resumed = false;
  e->resumed_at = now;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      e->peers[i].replicated = false;
      e->peers[i].last_received = now;
    }
  bb_entries_remove_embryonic (e);
  set_state (e, e->state == BB_PEER_LEAVING ? e->state : BB_PEER_JOINING, now);
  e->join_sequence = e->bits_sequence;
}

/* Each peer must acknowledge a sequence number raised after the pause, because
   heartbeats sent during the pause may be out of date.  */
static void
update_has_resumed (struct bb_engine *e, bb_usec now)
{
  bool all_acknowledged = true;
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_is_local (e, &e->peers[i])
        && bb_peer_is_live (e, &e->peers[i]))
      all_acknowledged &= e->peers[i].acknowledged >= e->join_sequence;
  if (all_acknowledged || now - e->resumed_at >= BB_PAUSE_LIMIT)
    e->has_resumed = true;
}

static void
update_version_in_effect (struct bb_engine *e, bb_usec now)
{
  bool held_by_all = true;
  if (e->version_in_effect || !e->fleet)
    return;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (!bb_peer_is_local (e, p) || !bb_peer_is_live (e, p))
        continue;
      held_by_all
          &= p->versions[BB_DOCUMENT_BASE] >= e->fleet->base_version
             && p->versions[BB_DOCUMENT_OVERLAY] >= e->fleet->overlay_version;
    }
  e->version_in_effect
      = held_by_all || now - e->version_changed_at >= BB_ACKNOWLEDGE_TIMEOUT;
}

/* Whether this balancer forms the first default set: no peer has one, and no
   joining balancer with a configuration has a lower id.  */
static bool
may_bootstrap (const struct bb_engine *e, bb_usec now)
{
  if (!e->fleet || now - e->started_at < START_GRACE)
    return false;
  if (now - e->started_at >= START_LIMIT)
    return true;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (!bb_peer_is_local (e, p) || !bb_peer_is_live (e, p))
        continue;
      if (p->generation || p->state == BB_PEER_ACTIVE
          || (p->vm.id < e->options.self.id && p->versions[BB_DOCUMENT_BASE]))
        return false;
    }
  return true;
}

static bool
have_all_reported (const struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_is_local (e, &e->peers[i]) && !e->peers[i].has_reported)
      return false;
  return true;
}

/* Whether all live peers have acknowledged this balancer.  Other peers put
   their impairment bits into effect without waiting for this balancer.  */
static bool
have_all_acknowledged (const struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (bb_peer_is_local (e, p) && bb_peer_is_live (e, p)
          && p->acknowledged < e->join_sequence)
        return false;
    }
  return true;
}

/* Makes the peers add this balancer to their views and replicate to it.  The
   new sequence number invalidates their earlier replication reports.  */
static void
become_ready (struct bb_engine *e, bb_usec now)
{
  e->ready = true;
  e->join_sequence = ++e->bits_sequence;
  e->heartbeat_pending = true;
  bb_engine_emit_event (e, BB_EVENT_READY, 0, 0,
                        (uint64_t)(now - e->started_at));
}

static void
maybe_become_ready (struct bb_engine *e, bb_usec now)
{
  if (e->ready || !e->fleet)
    return;
  if (!e->generation)
    {
      if (!may_bootstrap (e, now))
        return;
      bb_default_set_bootstrap (e, now);
      become_ready (e, now);
      return;
    }
  bool grace_expired
      = e->first_active_at && now - e->first_active_at >= ACTIVE_PEER_GRACE;
  if (have_all_acknowledged (e) && (have_all_reported (e) || grace_expired))
    become_ready (e, now);
}

/* Becomes active once all active peers have replicated its entries to it.  */
static void
maybe_become_active (struct bb_engine *e, bb_usec now)
{
  if (e->state != BB_PEER_JOINING || !e->ready || !e->has_resumed)
    return;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (!bb_peer_is_local (e, p) || !bb_peer_is_live (e, p)
          || p->state != BB_PEER_ACTIVE)
        continue;
      if (p->acknowledged < e->join_sequence || !p->replicated)
        return;
    }
  set_state (e, BB_PEER_ACTIVE, now);
}

static void
refresh_aged_state (struct bb_engine *e, bb_usec now)
{
  if (now - e->last_sweep < SWEEP_INTERVAL)
    return;
  e->last_sweep = now;
  bb_bits_merge (e, now);
  for (uint32_t i = 0; i < e->service_count; i++)
    if (e->services[i].tracked_until)
      {
        bb_routes_rebuild (e, now);
        return;
      }
}

/* Balancers leave in turn, lowest id first, after passing on their state: if
   several left and joined at once, no active one might hold the entries.  */
static bool
may_leave (const struct bb_engine *e, bb_usec now)
{
  bb_usec turn = 0;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (!bb_peer_is_local (e, p) || !bb_peer_is_live (e, p))
        continue;
      if (p->state != BB_PEER_ACTIVE || !p->replicated)
        return false;
      if (p->vm.id < e->options.self.id)
        turn += LEAVE_STAGGER;
    }
  return e->replication_done && now - e->leave_requested_at >= turn;
}

static void
maybe_start_leave (struct bb_engine *e, bb_usec now)
{
  if (!e->leave_requested_at || e->state == BB_PEER_LEAVING
      || (e->state == BB_PEER_ACTIVE && !may_leave (e, now)))
    return;
  set_state (e, BB_PEER_LEAVING, now);
  e->leave_sequence = e->bits_sequence;
}

/* Whether all active peers hold the entries of this balancer.  */
static bool
are_entries_replicated (const struct bb_engine *e)
{
  if (e->state != BB_PEER_LEAVING)
    return false;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      if (!bb_peer_is_local (e, p) || !bb_peer_is_live (e, p)
          || p->state != BB_PEER_ACTIVE)
        continue;
      if (p->acknowledged < e->leave_sequence || !p->replicated)
        return false;
    }
  return e->replication_done;
}

/* Before the exit, reports that this balancer holds no entries, so that peers
   do not query it for entries between its exit and its suspicion.  */
static void
finish_leave (struct bb_engine *e)
{
  if (e->entries_replicated || !are_entries_replicated (e))
    return;
  e->entries_replicated = true;
  e->heartbeat_pending = true;
}

bool
bb_engine_tick (struct bb_engine *e, bb_usec now)
{
  bb_usec elapsed = now - e->last_tick;
  bool paused = elapsed > BB_PAUSE_LIMIT;
  e->last_tick = now;
  e->tick_seconds = (uint32_t)(now / BB_SEC);
  if (paused)
    resume_after_pause (e, now, elapsed);
  if (!e->has_resumed)
    update_has_resumed (e, now);
  bb_members_tick (e, now);
  refresh_aged_state (e, now);
  bb_place_prepare (e, now);
  bb_bits_tick (e, now);
  update_version_in_effect (e, now);
  maybe_become_ready (e, now);
  maybe_become_active (e, now);
  maybe_start_leave (e, now);
  bb_default_set_tick (e, now);
  bb_replication_tick (e, now, elapsed);
  bb_entries_expire_tick (e);
  finish_leave (e);
  bb_heartbeats_send (e, now);
  return paused;
}

void
bb_engine_leave (struct bb_engine *e, bb_usec now)
{
  if (e->leave_requested_at)
    return;
  e->leave_requested_at = now;
  bb_engine_emit_event (e, BB_EVENT_LEAVING, 0, 0, e->flows.used);
}

bool
bb_engine_has_left (const struct bb_engine *e, bb_usec now)
{
  (void)now;
  return e->entries_replicated && !e->heartbeat_pending;
}

const struct bb_counters *
bb_engine_counters (const struct bb_engine *e)
{
  return &e->counters;
}
