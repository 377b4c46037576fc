/* Event loop of a balancer on a marked transport.  Connects the balancer
   (marked/balancer.h) with its sockets, the client of the store, the log and
   the timers, and handles signals.  */

#include "runtime/marked_private.h"
#include <inttypes.h>
#include <signal.h>

#define TICK_INTERVAL (50 * BB_MSEC)

/* A stop takes at least STOP_DELAY_MIN: the fabric polls readiness twice a
   second and removes a balancer after two failures.  It then lasts until no
   packet has arrived for STOP_QUIET, since packets already on their way arrive
   shortly after the removal.  */
#define STOP_DELAY_MIN (1300 * BB_MSEC)
#define STOP_QUIET (400 * BB_MSEC)

const char *
bb_store_outcome_name (enum bb_store_outcome outcome)
{
  static const char *const names[BB_STORE_OUTCOMES] = {
    [BB_STORE_OK] = "ok",
    [BB_STORE_TIMEOUT] = "timeout",
    [BB_STORE_REFUSED] = "refused",
    [BB_STORE_UNREADABLE] = "unreadable",
    [BB_STORE_TOO_LARGE] = "too_large",
    [BB_STORE_HISTORY_LOST] = "history_lost",
    [BB_STORE_ERA_CHANGED] = "era_changed",
    [BB_STORE_ERA_REFUSED] = "era_refused",
  };
  return (unsigned)outcome < BB_STORE_OUTCOMES ? names[outcome] : "unknown";
}

/* Callbacks of the balancer.  */

/* Names the data centre of an evacuation that begins or ends in the log.  */
static void
name_evacuation (struct bb_marked_process *p, uint32_t data_centre)
{
  struct bb_link *head
      = bb_directory_evacuations (bb_marked_directory (p->marked));
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      const char *name = BB_LINKED (at, struct bb_evacuation, by_revision)
                             ->record.data_centre;
      if (bb_name_key (name) == data_centre)
        bb_names_add_data_centre (p->names, name);
    }
}

static void
sink_event (void *context, const struct bb_event *event)
{
  struct bb_marked_process *p = context;
  if (event->data_centre != 0)
    name_evacuation (p, event->data_centre);
  bb_events_add (p->events, event, bb_clock_boot (), bb_clock_wall ());
}

static void
sink_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_sync_message *message)
{
  bb_marked_send_to_peers (context, to, count, message);
}

static void
sink_server (void *context, const struct bb_backend_server *s)
{
  struct bb_marked_process *p = context;
  bb_names_add_server (p->names, s->key, s->record.service, s->record.name);
}

static void
sink_reset (void *context, const struct bb_marked_packet *packet)
{
  bb_marked_send_reset (context, packet);
}

static void
sink_copy (void *context, unsigned slot)
{
  bb_marked_queue_copy (context, slot);
}

static const struct bb_marked_sink marked_sink = {
  .send = sink_send,
  .event = sink_event,
  .server = sink_server,
  .reset = sink_reset,
  .copy = sink_copy,
};

void
bb_marked_add_event (struct bb_marked_process *p, enum bb_event_kind kind,
                     uint64_t value, enum bb_reason reason)
{
  const struct bb_sync *sync = bb_marked_get_sync (p->marked);
  struct bb_event event
      = { .kind = kind,
          .value = value,
          .reason = reason,
          .revision = bb_sync_revision (sync),
          .age = bb_sync_state_age (sync, bb_clock_boot ()) };
  sink_event (p, &event);
}

/* Callbacks of the store client.  */

static bool
store_needs_read (void *context, uint64_t *revision)
{
  struct bb_marked_process *p = context;
  const struct bb_sync *sync = bb_marked_get_sync (p->marked);
  *revision = bb_sync_complete_revision (sync);
  return bb_sync_may_call_store (sync, bb_clock_boot ());
}

static void
store_server (void *context, const struct bb_server_record *record)
{
  struct bb_marked_process *p = context;
  bb_marked_put_server (p->marked, record, bb_clock_boot ());
}

static void
store_configuration (void *context, const struct bb_configuration *c)
{
  struct bb_marked_process *p = context;
  bb_marked_configure (p->marked, c, bb_clock_boot ());
}

static void
store_evacuation (void *context, const struct bb_evacuation_record *record)
{
  struct bb_marked_process *p = context;
  bb_marked_put_evacuation (p->marked, record, bb_clock_boot ());
}

static void
store_snapshot (void *context, const struct bb_snapshot *snapshot)
{
  struct bb_marked_process *p = context;
  bb_marked_adopt_snapshot (p->marked, snapshot, bb_clock_boot ());
}

static void
record_ready (struct bb_marked_process *p)
{
  if (p->ready_since != 0 || !bb_marked_is_ready (p->marked))
    return;
  p->ready_since = bb_clock_boot ();
  bb_marked_add_event (p, BB_EVENT_READY,
                       (uint64_t)(p->ready_since - p->started),
                       BB_REASON_NONE);
}

static void
store_current (void *context, uint64_t revision, bb_usec requested_at)
{
  struct bb_marked_process *p = context;
  if (p->is_store_lost)
    bb_marked_add_event (p, BB_EVENT_STORE_BACK, bb_revision_number (revision),
                         BB_REASON_STORE);
  p->is_store_lost = false;
  bb_marked_confirm_revision (p->marked, revision, requested_at,
                              bb_clock_boot ());
  record_ready (p);
}

static enum bb_reason
store_reason (enum bb_store_outcome outcome)
{
  static const enum bb_reason reasons[BB_STORE_OUTCOMES] = {
    [BB_STORE_TIMEOUT] = BB_REASON_TIMEOUT,
    [BB_STORE_REFUSED] = BB_REASON_REFUSED,
    [BB_STORE_UNREADABLE] = BB_REASON_UNREADABLE,
    [BB_STORE_HISTORY_LOST] = BB_REASON_HISTORY_LOST,
    [BB_STORE_ERA_CHANGED] = BB_REASON_ERA_CHANGED,
    [BB_STORE_ERA_REFUSED] = BB_REASON_UNREADABLE,
    [BB_STORE_TOO_LARGE] = BB_REASON_TOO_LARGE,
  };
  return reasons[outcome];
}

static void
store_failed (void *context, enum bb_store_outcome outcome)
{
  struct bb_marked_process *p = context;
  if (!p->is_store_lost)
    bb_marked_add_event (p, BB_EVENT_STORE_LOST, 0, store_reason (outcome));
  p->is_store_lost = true;
  bb_sync_report_store_failure (bb_marked_get_sync (p->marked),
                                bb_clock_boot ());
}

static void
store_watch_ended (void *context, uint64_t revision,
                   enum bb_store_outcome outcome)
{
  struct bb_marked_process *p = context;
  bb_marked_add_event (p, BB_EVENT_WATCH_ENDED, bb_revision_number (revision),
                       store_reason (outcome));
}

static void
store_era_differs (void *context, uint64_t revision, uint64_t era,
                   enum bb_reason reason)
{
  struct bb_marked_process *p = context;
  const struct bb_sync *sync = bb_marked_get_sync (p->marked);
  struct bb_event event
      = { .kind = BB_EVENT_STORE_ERA,
          .value = era,
          .reason = reason,
          .revision = revision,
          .age = bb_sync_state_age (sync, bb_clock_boot ()) };
  sink_event (p, &event);
}

static void
store_refused (void *context, const char *key, uint64_t revision,
               const GError *error)
{
  struct bb_marked_process *p = context;
  g_autofree char *text
      = g_strdup_printf ("%s, revision %" PRIu64 ", era %" PRIu64 ": %s", key,
                         bb_revision_number (revision),
                         bb_revision_era (revision), error->message);
  bb_marked_add_event (p, BB_EVENT_ENTRY_REFUSED,
                       bb_revision_number (revision), BB_REASON_UNREADABLE);
  bb_log_write_text (p->log, BB_LOG_ERROR, "entry_unusable", text);
}

static const struct bb_store_sink store_sink = {
  .needs_read = store_needs_read,
  .server = store_server,
  .configuration = store_configuration,
  .evacuation = store_evacuation,
  .snapshot = store_snapshot,
  .current = store_current,
  .call_failed = store_failed,
  .watch_ended = store_watch_ended,
  .era_differs = store_era_differs,
  .refused = store_refused,
};

void
bb_marked_start_store (struct bb_marked_process *p)
{
  if (p->store_client)
    p->store_ops->stop (p->store_client);
  p->store_client
      = p->store_ops->start (p->loop, &p->store, p->random, &store_sink, p);
  p->store_ops->poll (p->store_client, bb_clock_boot ());
}

/* Event loop.  */

static void
check_stop (struct bb_marked_process *p, bb_usec now)
{
  if (p->stop_requested == 0)
    return;
  bb_usec elapsed = now - p->stop_requested;
  bool is_quiet
      = elapsed >= STOP_DELAY_MIN && now - p->last_packet >= STOP_QUIET;
  if (is_quiet || elapsed >= p->settings->marked.drain_ms * BB_MSEC)
    event_base_loopbreak (p->loop);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  struct bb_marked_process *p = context;
  bb_usec now = bb_clock_boot ();
  bb_histogram_add (&p->loop_delay, MAX (now - p->tick_due, 0));
  p->tick_due = now + TICK_INTERVAL;
  bb_marked_tick (p->marked, now);
  bb_marked_flush_copies (p);
  p->store_ops->poll (p->store_client, now);
  record_ready (p);
  bb_marked_check_settings_file (p, now);
  bb_log_flush (p->log, p->events);
  check_stop (p, now);
}

static void
request_stop (struct bb_marked_process *p)
{
  if (p->stop_requested != 0)
    return;
  p->stop_requested = bb_clock_boot ();
  bb_marked_add_event (p, BB_EVENT_LEAVING, 0, BB_REASON_NONE);
  bb_sync_announce_leave (bb_marked_get_sync (p->marked), p->stop_requested);
}

static void
on_signal (evutil_socket_t number, short what, void *context)
{
  (void)what;
  struct bb_marked_process *p = context;
  if (number == SIGHUP)
    {
      p->settings_mtime = bb_marked_settings_mtime (p);
      bb_marked_reload_settings (p);
    }
  else
    request_stop (p);
}

static void
start_balancer (struct bb_marked_process *p)
{
  const struct bb_settings *s = p->settings;
  struct bb_marked_options options = {
    .sync_options = {
      .self = { .id = s->self.id,
                .data_centre = bb_key (s->self.data_centre),
                .endpoint = { s->self.data.address, s->marked.peer_port } },
      .incarnation = (uint64_t)bb_clock_wall (),
      .capacity = s->marked.capacity,
      .seed = g_rand_int (p->random),
    },
    .data_centre = s->self.data_centre,
    .flow_capacity = s->marked.flow_capacity,
    .idle_ms = s->marked.idle_ms,
    .cold_limits = { .factor = s->marked.cold_factor,
                     .slack = s->marked.cold_slack },
  };
  p->marked = bb_marked_new (&options, &marked_sink, p, p->started);
  bb_marked_set_seeds (p, &s->marked);
}

static void
start_timers (struct bb_marked_process *p)
{
  const int numbers[] = { SIGTERM, SIGINT, SIGHUP };
  struct timeval tv = bb_clock_timeval (TICK_INTERVAL);
  p->tick_due = p->started + TICK_INTERVAL;
  p->timer = event_new (p->loop, -1, EV_PERSIST, on_tick, p);
  event_add (p->timer, &tv);
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      p->signals[i] = evsignal_new (p->loop, numbers[i], on_signal, p);
      event_add (p->signals[i], NULL);
    }
}

struct bb_marked_process *
bb_marked_process_new (const struct bb_settings *settings,
                       const struct bb_transport *transport,
                       const struct bb_store_ops *store_ops, GError **error)
{
  struct bb_marked_process *p = g_new0 (struct bb_marked_process, 1);
  signal (SIGPIPE, SIG_IGN);
  p->settings = settings;
  p->transport = transport;
  p->store_ops = store_ops;
  p->store = settings->marked.store;
  p->loop = event_base_new ();
  p->random = g_rand_new ();
  p->events = bb_events_new (BB_EVENTS_CAPACITY);
  p->names = bb_names_new ();
  p->log = bb_log_new (&settings->self, p->names, settings->log_level);
  bb_names_add_vms (p->names, &settings->self, 1);
  p->started = bb_clock_boot ();
  start_balancer (p);
  bb_marked_add_event (p, BB_EVENT_START, settings->marked.seed_count,
                       BB_REASON_NONE);
  if (!bb_marked_data_start (p, error) || !bb_marked_http_start (p, error))
    {
      bb_marked_process_free (p);
      return NULL;
    }
  start_timers (p);
  bb_marked_tick (p->marked, p->started);
  bb_marked_start_store (p);
  return p;
}

void
bb_marked_process_free (struct bb_marked_process *p)
{
  if (!p)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (p->signals); i++)
    if (p->signals[i])
      event_free (p->signals[i]);
  if (p->timer)
    event_free (p->timer);
  if (p->store_client)
    p->store_ops->stop (p->store_client);
  bb_marked_http_stop (p);
  bb_marked_data_stop (p);
  bb_marked_free (p->marked);
  bb_log_free (p->log);
  bb_names_free (p->names);
  bb_events_free (p->events);
  g_rand_free (p->random);
  event_base_free (p->loop);
  g_free (p);
}

int
bb_marked_process_run (struct bb_marked_process *p, const char *settings_file)
{
  p->settings_file = settings_file;
  p->settings_mtime = bb_marked_settings_mtime (p);
  int status = event_base_dispatch (p->loop);
  bb_usec waited
      = p->stop_requested ? bb_clock_boot () - p->stop_requested : 0;
  bb_marked_add_event (p, BB_EVENT_STOP, (uint64_t)waited, BB_REASON_NONE);
  bb_log_flush (p->log, p->events);
  return status < 0 ? bb_error_handling (BB_ERROR_IO)->exit_status : 0;
}
