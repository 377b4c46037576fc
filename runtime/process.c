#include "runtime/process.h"
#include "runtime/data.h"
#include "runtime/documents.h"
#include "runtime/http.h"
#include "runtime/log.h"
#include "runtime/peers.h"
#include "runtime/probe.h"
#include "runtime/process_private.h"
#include <signal.h>

#define TICK_INTERVAL (50 * BB_MSEC)
#define MAINTENANCE_INTERVAL BB_SEC

/* Callbacks of the engine.  */

static void
sink_message (void *context, const struct bb_vm *to,
              const struct bb_message *message)
{
  struct bb_process *p = context;
  bb_peers_send (p->peers, to, message);
}

static void
sink_event (void *context, const struct bb_event *event)
{
  struct bb_process *p = context;
  bb_events_add (p->events, event, bb_clock_boot (), bb_clock_wall ());
}

static bool
sink_document (void *context, enum bb_document_kind kind, uint64_t version,
               const uint8_t *bytes, size_t length)
{
  struct bb_process *p = context;
  return bb_documents_offer (p->documents, kind, version, bytes, length,
                             "peer")
         != BB_OFFER_REFUSED;
}

static const struct bb_sink engine_sink = {
  .message = sink_message,
  .event = sink_event,
  .document = sink_document,
};

/* Callbacks of the platform.  */

static enum bb_offer
platform_document (void *context, enum bb_document_kind kind, uint64_t version,
                   const uint8_t *bytes, size_t length)
{
  struct bb_process *p = context;
  return bb_documents_offer (p->documents, kind, version, bytes, length,
                             "platform");
}

static void
platform_absent (void *context, enum bb_document_kind kind)
{
  struct bb_process *p = context;
  if (kind == BB_DOCUMENT_OVERLAY)
    bb_documents_set_overlay_absent (p->documents);
}

static uint64_t
platform_version (void *context, enum bb_document_kind kind)
{
  struct bb_process *p = context;
  return bb_documents_version (p->documents, kind);
}

static const struct bb_platform_sink platform_sink = {
  .document = platform_document,
  .absent = platform_absent,
  .version = platform_version,
};

static void
add_event (struct bb_process *p, enum bb_event_kind kind, uint64_t value)
{
  struct bb_event event = { .kind = kind, .value = value };
  sink_event (p, &event);
}

/* A base received from a peer is held back until an overlay arrives.  If at
   least one peer reports a base and none reports an overlay, there is no
   overlay.  */
static void
check_overlay_absent (struct bb_process *p, const struct bb_peer_status *peers,
                      size_t count)
{
  bool has_base = false;
  if (!bb_documents_is_base_waiting (p->documents))
    return;
  for (size_t i = 0; i < count; i++)
    {
      if (peers[i].versions[BB_DOCUMENT_OVERLAY] != 0)
        return;
      has_base |= peers[i].versions[BB_DOCUMENT_BASE] != 0;
    }
  if (has_base)
    bb_documents_set_overlay_absent (p->documents);
}

static void
run_maintenance (struct bb_process *p, bb_usec now)
{
  struct bb_peer_status peers[BB_PEER_MAX];
  size_t count = bb_engine_peers (p->engine, now, peers, BB_PEER_MAX);
  count = MIN (count, BB_PEER_MAX);
  for (size_t i = 0; i < count; i++)
    bb_names_add_vms (p->names, &peers[i].vm, 1);
  check_overlay_absent (p, peers, count);
  bb_peers_maintain (p->peers, now);
  bb_probes_remove_dropped (p->probes, now);
}

/* Ends the loop when the stop is complete or has exceeded its time limit.  */
static void
check_stop (struct bb_process *p, bb_usec now)
{
  if (p->stop_requested == 0)
    return;
  bb_usec quiet_time
      = now - MAX (bb_data_last_fabric_packet (p->data), p->stop_requested);
  bb_usec elapsed = now - p->stop_requested;
  if ((bb_engine_has_left (p->engine, now)
       && quiet_time >= p->settings->quiet_ms * BB_MSEC)
      || elapsed >= p->settings->leave_limit_ms * BB_MSEC)
    event_base_loopbreak (p->loop);
}

static void
update_phase (struct bb_process *p, bb_usec now)
{
  struct bb_engine_status status;
  bb_engine_status (p->engine, now, &status);
  bb_events_set_versions (p->events, status.versions);
  if (status.phase != p->phase)
    p->phase_since = now;
  p->phase = status.phase;
}

bool
bb_process_tick (struct bb_process *p, bb_usec now)
{
  p->last_tick = now;
  bool paused = bb_engine_tick (p->engine, now);
  if (paused)
    {
      bb_data_discard_received (p->data);
      bb_peers_discard_received (p->peers, now);
    }
  update_phase (p, now);
  if (now - p->last_maintenance >= MAINTENANCE_INTERVAL)
    {
      p->last_maintenance = now;
      run_maintenance (p, now);
    }
  bb_log_flush (p->log, p->events);
  check_stop (p, now);
  return paused;
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  bb_process_tick (context, bb_clock_boot ());
}

static void
on_signal (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  bb_process_request_stop (context);
}

static void
start_engine (struct bb_process *p)
{
  const struct bb_settings *settings = p->settings;
  struct bb_engine_options options = {
    .self = settings->self,
    .incarnation = (uint64_t)bb_clock_wall (),
    .flow_capacity = settings->flow_capacity,
    .push_bytes = settings->push_bytes,
    .seed = (uint64_t)g_rand_int (p->random) << 32 | g_rand_int (p->random),
  };
  p->engine = bb_engine_new (&options, &engine_sink, p, p->started);
  bb_names_add_vms (p->names, &settings->self, 1);
  bb_names_add_vms (p->names, settings->peers, settings->peer_count);
  for (size_t i = 0; i < settings->peer_count; i++)
    bb_engine_add_peer (p->engine, &settings->peers[i], p->started);
}

/* Connects to the seeds before the first tick, so that the heartbeats of that
   tick can be sent.  */
static bool
open_sockets (struct bb_process *p, GError **error)
{
  const struct bb_settings *settings = p->settings;
  p->data = bb_data_new (p, error);
  if (!p->data)
    return false;
  p->peers = bb_peers_new (p, error);
  if (!p->peers)
    return false;
  for (size_t i = 0; i < settings->peer_count; i++)
    bb_peers_connect (p->peers, &settings->peers[i].control);
  if (settings->metrics.port != 0)
    {
      p->http = bb_http_new (p, error);
      if (!p->http)
        return false;
    }
  p->platform = bb_platform_new (
      settings->platform_kind, p->loop, settings->platform,
      settings->self.data_centre, p->random, &platform_sink, p, error);
  return p->platform != NULL;
}

static void
start_timers (struct bb_process *p)
{
  const int numbers[] = { SIGTERM, SIGINT };
  struct timeval tv = bb_clock_timeval (TICK_INTERVAL);
  p->timer = event_new (p->loop, -1, EV_PERSIST, on_tick, p);
  event_add (p->timer, &tv);
  for (size_t i = 0; i < G_N_ELEMENTS (numbers); i++)
    {
      p->signals[i] = evsignal_new (p->loop, numbers[i], on_signal, p);
      event_add (p->signals[i], NULL);
    }
}

struct bb_process *
bb_process_new (const struct bb_settings *settings, GError **error)
{
  struct bb_process *p = g_new0 (struct bb_process, 1);
  signal (SIGPIPE, SIG_IGN);
  p->settings = settings;
  p->loop = event_base_new ();
  p->random = g_rand_new ();
  p->events = bb_events_new (BB_EVENTS_CAPACITY);
  p->names = bb_names_new ();
  p->log = bb_log_new (&settings->self, p->names, settings->log_level);
  p->documents = bb_documents_new (p);
  p->probes = bb_probes_new (p);
  p->started = p->last_tick = p->phase_since = bb_clock_boot ();
  start_engine (p);
  if (!open_sockets (p, error))
    {
      bb_process_free (p);
      return NULL;
    }
  start_timers (p);
  return p;
}

void
bb_process_free (struct bb_process *p)
{
  if (!p)
    return;
  for (size_t i = 0; i < G_N_ELEMENTS (p->signals); i++)
    if (p->signals[i])
      event_free (p->signals[i]);
  if (p->timer)
    event_free (p->timer);
  bb_platform_free (p->platform);
  bb_http_free (p->http);
  bb_probes_free (p->probes);
  bb_peers_free (p->peers);
  bb_data_free (p->data);
  bb_engine_free (p->engine);
  bb_documents_free (p->documents);
  bb_log_free (p->log);
  bb_names_free (p->names);
  bb_events_free (p->events);
  g_rand_free (p->random);
  event_base_free (p->loop);
  g_free (p);
}

int
bb_process_run (struct bb_process *p)
{
  int status = event_base_dispatch (p->loop);
  bb_usec waited
      = p->stop_requested ? bb_clock_boot () - p->stop_requested : 0;
  add_event (p, BB_EVENT_STOP, (uint64_t)waited);
  bb_log_flush (p->log, p->events);
  return status < 0 ? bb_error_handling (BB_ERROR_IO)->exit_status : 0;
}

void
bb_process_request_stop (struct bb_process *p)
{
  if (p->stop_requested != 0)
    return;
  p->stop_requested = bb_clock_boot ();
  bb_engine_leave (p->engine, p->stop_requested);
}
