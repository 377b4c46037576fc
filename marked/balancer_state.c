#include "marked/balancer_private.h"
#include "marked/state/directory_era.h"

#define SWEEP_INTERVAL BB_SEC

/* A balancer that does not tick for this time may have been taken out of
   rotation, since it misses two polls of the fabric.  */
#define FREEZE_TIME BB_SEC

/* State age above which, after a failed store call, the store is considered to
   have been unreachable.  A watch, its margin and the heartbeats in between
   take less time.  */
#define STORE_OUTAGE_AGE BB_SYNC_STATE_AGE_MAX

static const struct bb_sync_sink sync_sink;

void
bb_marked_send_event (struct bb_marked *m, enum bb_event_kind kind,
                      const struct bb_backend_server *s, uint64_t flow,
                      uint64_t value, enum bb_reason reason, bb_usec now)
{
  struct bb_event event = {
    .kind = kind,
    .server = s ? s->key : 0,
    .flow = flow,
    .value = value,
    .reason = reason,
    .revision = bb_sync_revision (m->sync),
    .age = bb_sync_state_age (m->sync, now),
  };
  m->sink->event (m->context, &event);
}

uint32_t
bb_marked_time_ms (bb_usec now)
{
  return (uint32_t)(now / BB_MSEC) | 1;
}

bb_usec
bb_marked_time_of (uint32_t at_ms, bb_usec now)
{
  uint32_t age_ms = bb_marked_time_ms (now) - at_ms;
  return now - (bb_usec)age_ms * BB_MSEC;
}

/* Updates from the store.  */

/* Returns the new state of a server that was ready and whose removal the store
   reports.  The first read after the store was unreachable starts the grace
   period in which expired entries may come back.  */
static enum bb_server_state
removal_state (struct bb_marked *m, bb_usec now)
{
  if (bb_sync_revision (m->sync) > 0 && bb_sync_has_store_failed (m->sync)
      && bb_sync_state_age (m->sync, now) > STORE_OUTAGE_AGE)
    m->removal_grace_end = now + BB_EXPIRY_GRACE_TIME;
  return now < m->removal_grace_end ? BB_SERVER_EXPIRED : BB_SERVER_GONE;
}

static void
put_server (struct bb_marked *m, const struct bb_server_record *update,
            bb_usec now)
{
  struct bb_server_record changed = *update;
  const struct bb_server_record *record = &changed;
  const struct bb_backend_server *s
      = bb_directory_find_server (m->directory, update->name);
  if (update->state == BB_SERVER_GONE && s
      && s->record.state == BB_SERVER_READY)
    changed.state = removal_state (m, now);
  bb_sync_apply_server (m->directory, record, BB_REASON_STORE,
                        record->revision, bb_sync_state_age (m->sync, now),
                        &sync_sink, m, now);
}

/* Whether a change of REVISION is one of the state held.  A peer may have
   delivered the state of a newer era since the store was called.  */
static bool
is_of_held_era (const struct bb_marked *m, uint64_t revision)
{
  uint64_t held = bb_sync_revision (m->sync);
  return held == 0 || bb_revision_era (revision) == bb_revision_era (held);
}

void
bb_marked_put_server (struct bb_marked *m,
                      const struct bb_server_record *update, bb_usec now)
{
  if (is_of_held_era (m, update->revision))
    put_server (m, update, now);
}

void
bb_marked_confirm_revision (struct bb_marked *m, uint64_t revision,
                            bb_usec requested, bb_usec now)
{
  bb_sync_confirm_revision (m->sync, revision, requested, now);
}

static void
configure (struct bb_marked *m, const struct bb_configuration *c, bb_usec now)
{
  int changed = bb_directory_configure (m->directory, c, now);
  bb_marked_send_event (
      m, changed >= 0 ? BB_EVENT_VERSION : BB_EVENT_VERSION_STALE, NULL, 0,
      c->version, BB_REASON_STORE, now);
}

void
bb_marked_configure (struct bb_marked *m, const struct bb_configuration *c,
                     bb_usec now)
{
  if (!is_of_held_era (m, c->revision))
    return;
  configure (m, c, now);
  bool is_divergent = c->version < bb_directory_version (m->directory);
  if (is_divergent != bb_directory_is_divergent (m->directory))
    bb_directory_restart_history (m->directory, c->revision, now);
  bb_directory_set_divergent (m->directory, is_divergent);
}

static void
put_evacuation (struct bb_marked *m, const struct bb_evacuation_record *record,
                bb_usec now)
{
  bb_sync_apply_evacuation (m->directory, record, BB_REASON_STORE,
                            record->revision, bb_sync_state_age (m->sync, now),
                            &sync_sink, m, now);
}

void
bb_marked_put_evacuation (struct bb_marked *m,
                          const struct bb_evacuation_record *record,
                          bb_usec now)
{
  if (is_of_held_era (m, record->revision))
    put_evacuation (m, record, now);
}

/* Evacuations are in force before the routes: no flow is placed between.  */
static void
adopt_evacuations (struct bb_marked *m, const struct bb_snapshot *s,
                   bb_usec now)
{
  for (guint i = 0; i < s->evacuations->len; i++)
    put_evacuation (
        m, &g_array_index (s->evacuations, struct bb_evacuation_record, i),
        now);
  bb_sync_end_unlisted_evacuations (m->directory, s->evacuated, s->revision,
                                    BB_REASON_STORE, now - s->requested_at,
                                    &sync_sink, m, now);
}

static void
put_records (struct bb_marked *m, const struct bb_snapshot *s, bb_usec now)
{
  for (guint i = 0; i < s->servers->len; i++)
    put_server (m, &g_array_index (s->servers, struct bb_server_record, i),
                now);
  /* A newer configuration is among the changes after the snapshot's revision,
     which the watch delivers.  */
  bb_directory_set_divergent (m->directory, true);
  if (s->version == 0 || s->configured > s->revision)
    return;
  const struct bb_configuration c = bb_snapshot_get_configuration (s);
  configure (m, &c, now);
  if (c.version != bb_directory_version (m->directory))
    return;
  bb_directory_set_divergent (m->directory, false);
  /* A route that looks the same may have been dropped and added again since
     the state held; a peer that recorded its removal then needs it as a change
     after that.  */
  bb_directory_renew_configuration (m->directory, &c, now);
}

void
bb_marked_adopt_snapshot (struct bb_marked *m, const struct bb_snapshot *s,
                          bb_usec now)
{
  uint64_t held = bb_sync_revision (m->sync);
  if (s->revision >= held)
    {
      bb_usec age = now - s->requested_at;
      bool is_new_era = held > 0 && !is_of_held_era (m, s->revision);
      if (is_new_era)
        m->removal_grace_end = now + BB_EXPIRY_GRACE_TIME;
      bool was_divergent = bb_directory_is_divergent (m->directory);
      adopt_evacuations (m, s, now);
      put_records (m, s, now);
      if (held == 0)
        bb_directory_start_history (m->directory, s->revision, now);
      else if (was_divergent != bb_directory_is_divergent (m->directory))
        bb_directory_restart_history (m->directory, s->revision, now);
      else if (!is_new_era)
        bb_directory_add_gap (m->directory, held, s->revision, now);
      bb_sync_remove_unlisted (m->directory, s->names, removal_state (m, now),
                               s->revision, BB_REASON_STORE, age, &sync_sink,
                               m, now);
      struct bb_event event = { .kind = BB_EVENT_STATE_ADOPTED,
                                .value = bb_directory_version (m->directory),
                                .reason = BB_REASON_STORE,
                                .revision = s->revision,
                                .age = age };
      m->sink->event (m->context, &event);
    }
  bb_marked_confirm_revision (m, s->revision, s->requested_at, now);
}

/* Handles a server that is still listed after it was withheld.  */
static void
handle_released_server (void *context, struct bb_backend_server *s)
{
  struct bb_marked *m = context;
  bb_marked_send_event (m, BB_EVENT_SERVER_CHANGED, s, 0, s->record.state,
                        BB_REASON_TIMEOUT, m->last_tick);
}

/* Handles a server whose entry did not come back within the grace period.  */
static void
handle_expired_server (void *context, struct bb_backend_server *s)
{
  struct bb_marked *m = context;
  bb_marked_add_ended_server (m, s);
  bb_marked_send_event (m, BB_EVENT_SERVER_GONE, s, 0, s->record.state,
                        BB_REASON_OUTDATED,
                        s->gone_since + BB_EXPIRY_GRACE_TIME);
}

/* Handles an evacuation that was not written again after the store came back
   from an older copy.  */
static void
handle_ended_evacuation (void *context, const struct bb_evacuation_record *r)
{
  struct bb_marked *m = context;
  struct bb_event event = { .kind = BB_EVENT_EVACUATION,
                            .data_centre = bb_name_key (r->data_centre),
                            .value = r->is_active,
                            .reason = BB_REASON_OUTDATED,
                            .revision = r->revision,
                            .age = bb_sync_state_age (m->sync, m->last_tick) };
  m->sink->event (m->context, &event);
}

void
bb_marked_tick (struct bb_marked *m, bb_usec now)
{
  if (m->last_tick != 0 && now - m->last_tick >= FREEZE_TIME)
    m->last_freeze_end = now;
  m->last_tick = now;
  bb_sync_tick (m->sync, now);
  bb_directory_remove_expired (m->directory, now, handle_expired_server, m);
  bb_directory_release_withheld (m->directory, now, handle_released_server, m);
  bb_directory_end_held_evacuations (m->directory, now,
                                     handle_ended_evacuation, m);
  bb_marked_send_probe_copies (m);
  bb_marked_count_short_answers (m, now);
  bb_marked_check_cold_servers (m, now);
  bb_marked_check_link (m, now);
  bb_marked_check_peer_silences (m, now);
  bb_marked_reset_ended_flows (m, now);
  if (now - m->last_sweep < SWEEP_INTERVAL)
    return;
  m->last_sweep = now;
  bb_marked_review_failing_servers (m, now);
  bb_marked_enable_cold_owner (m);
  bb_marked_flows_expire (m->flows, bb_marked_time_ms (now),
                          m->options.idle_ms);
  bb_directory_sweep (m->directory, now);
}

bool
bb_marked_is_ready (const struct bb_marked *m)
{
  return bb_directory_version (m->directory) > 0;
}

struct bb_sync *
bb_marked_get_sync (struct bb_marked *m)
{
  return m->sync;
}

struct bb_directory *
bb_marked_directory (struct bb_marked *m)
{
  return m->directory;
}

const struct bb_marked_counters *
bb_marked_get_counters (const struct bb_marked *m)
{
  return &m->counters;
}

void
bb_marked_count_drop (struct bb_marked *m, enum bb_drop kind)
{
  m->counters.drops[kind]++;
}

const struct bb_histogram *
bb_marked_answer_times (const struct bb_marked *m)
{
  return &m->answer_times;
}

const struct bb_histogram *
bb_marked_open_times (const struct bb_marked *m)
{
  return &m->open_times;
}

uint32_t
bb_marked_flow_count (const struct bb_marked *m)
{
  return bb_marked_flows_count (m->flows);
}

/* Callbacks of the synchronization.  */

static void
sync_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_sync_message *message)
{
  const struct bb_marked *m = context;
  m->sink->send (m->context, to, count, message);
}

static void
sync_event (void *context, const struct bb_event *event)
{
  const struct bb_marked *m = context;
  m->sink->event (m->context, event);
}

static void
sync_server (void *context, struct bb_backend_server *s)
{
  struct bb_marked *m = context;
  if (s->record.state == BB_SERVER_GONE)
    bb_marked_add_ended_server (m, s);
  m->sink->server (m->context, s);
}

static const struct bb_sync_sink sync_sink = {
  .send = sync_send,
  .event = sync_event,
  .server = sync_server,
};

struct bb_marked *
bb_marked_new (const struct bb_marked_options *options,
               const struct bb_marked_sink *sink, void *context, bb_usec now)
{
  struct bb_marked *m = g_new0 (struct bb_marked, 1);
  m->options = *options;
  m->sink = sink;
  m->context = context;
  m->directory = bb_directory_new (options->data_centre);
  m->sync
      = bb_sync_new (&options->sync_options, m->directory, &sync_sink, m, now);
  m->flows = bb_marked_flows_new (options->flow_capacity,
                                  bb_marked_uncount_flow, m);
  m->ended_servers = g_ptr_array_new ();
  m->alive_times = g_array_new (FALSE, FALSE, sizeof (bb_usec));
  m->random = g_rand_new_with_seed (options->sync_options.seed);
  return m;
}

void
bb_marked_free (struct bb_marked *m)
{
  if (!m)
    return;
  bb_marked_flows_free (m->flows);
  bb_sync_free (m->sync);
  bb_directory_free (m->directory);
  g_array_free (m->alive_times, TRUE);
  g_ptr_array_free (m->ended_servers, TRUE);
  g_rand_free (m->random);
  g_free (m);
}
