/* Backend server.  Receives packets in GUE and sends its answers to the
   callers through the fabric's egress, not through a balancer (direct server
   return).  Serves health reports over HTTP.  Writes each flow and each
   request that it executes to a history file.  */

#include "standins/common/listener.h"
#include <event2/buffer.h>
#include <event2/http.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TICK_MS = 5
};

/* Faults for tests of the checker, at each EVERYth request.  */
enum fault
{
  FAULT_NONE,
  FAULT_RUN_TWICE,
  FAULT_WRONG,   /* an answer with a changed body */
  FAULT_CROSSED, /* an answer with the id of the previous request */
  FAULT_SILENT,  /* no answer */
  FAULT_RESET,   /* a reset instead of an answer */
  FAULTS
};
static const char *const fault_names[FAULTS]
    = { "none", "run_twice", "wrong", "crossed", "silent", "reset" };

static struct
{
  char *name, *service, *service_endpoint, *gue, *health, *egress, *history,
      *fault;
  gint every, slots, work_ms;
} options = { .every = 1, .slots = 2, .work_ms = 20 };

static const GOptionEntry entries[]
    = { BB_STANDIN_STRING ("name", options.name),
        BB_STANDIN_STRING ("service", options.service),
        BB_STANDIN_STRING ("serve", options.service_endpoint),
        BB_STANDIN_STRING ("gue", options.gue),
        BB_STANDIN_STRING ("health", options.health),
        BB_STANDIN_STRING ("egress", options.egress),
        BB_STANDIN_STRING ("history", options.history),
        BB_STANDIN_STRING ("fault", options.fault),
        BB_STANDIN_INT ("slots", options.slots),
        BB_STANDIN_INT ("work-ms", options.work_ms),
        BB_STANDIN_INT ("every", options.every),
        { 0 } };

static struct
{
  struct bb_listener listener;
  struct event_base *base;
  FILE *history;
  bb_usec started;
  bb_usec *slot_free_at;
  int running;
  bool draining;
  enum fault fault;
  uint64_t requests;
  uint64_t previous_id;
} server;

static void
record_flow (const char *event, struct bb_endpoint caller,
             struct bb_endpoint destination, const char *more)
{
  char ends[2][24];
  bb_standin_write_event (
      server.history, event,
      "\"service\":\"%s\",\"server\":\"%s\",\"flow\":\"%s>%s\"%s",
      options.service, options.name,
      bb_standin_format_endpoint (ends[0], caller),
      bb_standin_format_endpoint (ends[1], destination), more);
}

static void
record_unexpected (const char *event, struct bb_endpoint caller)
{
  record_flow (event, caller, server.listener.service_endpoint, "");
}

static void
record_accepted (struct bb_listener_flow *f)
{
  record_flow ("new_flow", f->caller, server.listener.service_endpoint, "");
}

static void
record_execution (const struct bb_listener_flow *f)
{
  char id[40];
  g_snprintf (id, sizeof id, ",\"id\":\"%016" G_GINT64_MODIFIER "x\"", f->id);
  record_flow ("run", f->caller, server.listener.service_endpoint, id);
}

static void
record_state (const char *event)
{
  bb_standin_write_event (server.history, event,
                          "\"service\":\"%s\",\"server\":\"%s\",\"flows\":%u,"
                          "\"running\":%d",
                          options.service, options.name,
                          g_hash_table_size (server.listener.flows),
                          server.running);
}

static bool
is_fault_due (enum fault fault)
{
  return server.fault == fault
         && server.requests % (uint64_t)options.every == 0;
}

/* Schedules the request on the slot that is free first.  */
static void
start_request (struct bb_listener_flow *f)
{
  bb_usec now = bb_standin_now ();
  int slot = 0;
  for (int i = 1; i < options.slots; i++)
    if (server.slot_free_at[i] < server.slot_free_at[slot])
      slot = i;
  f->answer_at
      = MAX (now, server.slot_free_at[slot]) + options.work_ms * BB_MSEC;
  server.slot_free_at[slot] = f->answer_at;
  server.running++;
  server.requests++;
  record_execution (f);
  if (is_fault_due (FAULT_RUN_TWICE))
    record_execution (f);
}

static void
end_flow (struct bb_listener_flow *f)
{
  if (f->answer_at)
    server.running--;
}

static bool
answer_request (struct bb_listener_flow *f)
{
  struct bb_answer answer = { .id = f->id, .length = f->answer_length };
  if (is_fault_due (FAULT_RESET))
    return false;
  f->answer_at = 0;
  server.running--;
  if (is_fault_due (FAULT_CROSSED))
    answer.id = server.previous_id;
  server.previous_id = f->id;
  if (is_fault_due (FAULT_SILENT))
    return true;
  g_strlcpy (answer.server, options.name, sizeof answer.server);
  bb_standin_write_answer (f->out, &answer);
  if (is_fault_due (FAULT_WRONG))
    f->out->data[f->out->len - 1] ^= 1;
  bb_listener_send (&server.listener, f);
  return true;
}

static void
receive_packets (void *context)
{
  uint8_t buffer[BB_STANDIN_DATAGRAM_MAX], *inner;
  struct bb_endpoint from;
  struct bb_segment s;
  ssize_t n;
  (void)context;
  while ((n = bb_standin_receive_packet (server.listener.fd, buffer, &inner,
                                         &from))
         >= 0)
    if (!n || !bb_standin_parse_segment (inner, (size_t)n, &s))
      record_unexpected ("damaged", from);
    else if (bb_standin_endpoints_equal (s.destination,
                                         server.listener.service_endpoint))
      bb_listener_handle_segment (&server.listener, &s);
    else
      record_flow ("foreign", s.source, s.destination, "");
}

static void
tick_flows (void *context)
{
  (void)context;
  bb_listener_tick (&server.listener);
}

static void
answer_health (struct evhttp_request *request, void *context)
{
  struct evbuffer *body = evbuffer_new ();
  (void)context;
  evbuffer_add_printf (
      body,
      "{\"ok\":true,\"connections\":%u,\"load\":%d,\"uptime_ms\":%d,"
      "\"draining\":%s}\n",
      g_hash_table_size (server.listener.flows),
      MIN (1000, server.running * 1000 / options.slots),
      (int)((bb_standin_now () - server.started) / BB_MSEC),
      server.draining ? "true" : "false");
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type", "application/json");
  evhttp_send_reply (request, HTTP_OK, "OK", body);
  evbuffer_free (body);
}

static void
start_drain (void *context)
{
  (void)context;
  if (!server.draining)
    record_state ("draining");
  server.draining = true;
}

static void
stop (void *context)
{
  (void)context;
  record_state ("stop");
  event_base_loopbreak (server.base);
}

static void
open_listener (void)
{
  struct bb_endpoint gue = bb_standin_parse_endpoint (options.gue);
  server.listener = (struct bb_listener){
    .fd = bb_standin_open_udp (gue),
    .service_endpoint = bb_standin_parse_endpoint (options.service_endpoint),
    .egress = bb_standin_parse_endpoint (options.egress),
    .on_accepted = record_accepted,
    .on_request = start_request,
    .on_answer_due = answer_request,
    .on_ended = end_flow,
    .on_unexpected = record_unexpected,
  };
  bb_listener_init (&server.listener);
}

int
main (int argc, char **argv)
{
  bb_standin_parse_options (argc, argv, entries);
  server.fault = bb_standin_parse_name (options.fault, fault_names, FAULTS);
  server.base = event_base_new ();
  server.history = bb_standin_open_history (options.history);
  server.slot_free_at = g_new0 (bb_usec, options.slots);
  server.started = bb_standin_now ();
  open_listener ();
  bb_standin_open_http (server.base,
                        bb_standin_parse_endpoint (options.health),
                        answer_health, NULL);
  bb_standin_watch_socket (server.base, server.listener.fd, receive_packets,
                           NULL);
  bb_standin_watch_timer (server.base, TICK_MS, tick_flows, NULL);
  bb_standin_watch_signal (server.base, SIGUSR1, start_drain, NULL);
  bb_standin_watch_signal (server.base, SIGTERM, stop, NULL);
  record_state ("start");
  event_base_dispatch (server.base);
  return 0;
}
