/* Callers.  Keeps many flows open from inner addresses, which exist only
   inside the GUE payload.  Long flows send requests with random pauses until
   SIGTERM; short ones close after one or two requests and are opened again.
   Each event that a caller can observe is written to a history file.  On
   SIGTERM the process waits for the answers of requests in progress, closes
   all flows and exits.  */

#include "standins/common/client.h"
#include <signal.h>
#include <stdlib.h>
#include <string.h>

enum
{
  TICK_MS = 5,
  SERVICES_MAX = 8,
  INNER_ADDRESSES = 250, /* inner addresses of one process */
  FIRST_PORT = 1024,
  REOPEN_PAUSE_MAX_MS = 200 /* before a flow is opened again */
};

struct service
{
  char *name;
  struct bb_endpoint endpoint;
};

/* CLIENT must be the first member, because callbacks cast a pointer to CLIENT
   to a pointer to its flow.  */
struct flow
{
  struct bb_client client;
  const struct service *service;
  uint64_t key; /* inner address and port */
  bool is_long;
  int requests_left; /* of a short flow */
  bool awaits_answer;
  uint64_t id; /* of the next request or the one in progress */
  uint32_t length;
  bb_usec next_action; /* time to send a request or open the flow; 0: none */
};

static struct
{
  char *ingress, *listen, *inner, *history, **service;
  gint number, seed, long_flows, short_flows, interval_ms, body_max, grace_ms;
} options = { .number = 1,
              .seed = 1,
              .long_flows = 100,
              .short_flows = 20,
              .interval_ms = 500,
              .body_max = 6000,
              .grace_ms = 10000 };

static const GOptionEntry entries[]
    = { BB_STANDIN_STRING ("ingress", options.ingress),
        BB_STANDIN_STRING ("listen", options.listen),
        BB_STANDIN_STRING ("inner", options.inner),
        BB_STANDIN_STRING ("history", options.history),
        BB_STANDIN_STRINGS ("service", options.service),
        BB_STANDIN_INT ("number", options.number),
        BB_STANDIN_INT ("seed", options.seed),
        BB_STANDIN_INT ("long", options.long_flows),
        BB_STANDIN_INT ("short", options.short_flows),
        BB_STANDIN_INT ("interval-ms", options.interval_ms),
        BB_STANDIN_INT ("body-max", options.body_max),
        BB_STANDIN_INT ("grace-ms", options.grace_ms),
        { 0 } };

static struct
{
  struct event_base *base;
  struct bb_client_net net;
  FILE *history;
  GRand *random;
  struct service services[SERVICES_MAX];
  int service_count;
  struct flow *flows;
  int flow_count;
  GHashTable *open; /* flows by key */
  struct bb_endpoint inner;
  uint32_t opened;
  uint64_t requests;
  bb_usec finish_deadline; /* 0: no SIGTERM received */
} caller;

static void
record (const char *event, const struct flow *f, const char *more)
{
  char ends[2][24];
  bb_standin_write_event (
      caller.history, event,
      "\"service\":\"%s\",\"flow\":\"%s>%s\","
      "\"id\":\"%016" G_GINT64_MODIFIER "x\"%s",
      f->service->name, bb_standin_format_endpoint (ends[0], f->client.inner),
      bb_standin_format_endpoint (ends[1], f->client.service), f->id, more);
}

static bb_usec
draw_pause (gint max)
{
  return g_rand_int_range (caller.random, 1, max + 1) * BB_MSEC;
}

/* Chooses id and length of the next request.  */
static void
prepare_request (struct flow *f)
{
  f->id = (uint64_t)options.number << 40 | ++caller.requests;
  f->length
      = (uint32_t)g_rand_int_range (caller.random, 1, options.body_max + 1);
}

static void
send_request (struct flow *f)
{
  f->awaits_answer = true;
  record ("send", f, "");
  bb_client_send_request (&caller.net, &f->client, f->id, f->length);
}

static void
open_flow (struct flow *f)
{
  uint32_t n = caller.opened++;
  f->client.inner
      = (struct bb_endpoint){ caller.inner.address + 1 + n % INNER_ADDRESSES,
                              (uint16_t)(FIRST_PORT + n / INNER_ADDRESSES) };
  f->client.service = f->service->endpoint;
  f->key = (uint64_t)f->client.inner.address << 16 | f->client.inner.port;
  f->requests_left = g_rand_int_range (caller.random, 1, 3);
  f->awaits_answer = false;
  f->next_action = 0;
  prepare_request (f);
  g_hash_table_replace (caller.open, &f->key, f);
  record ("open", f, "");
  bb_client_open (&caller.net, &f->client);
}

static void
handle_established (struct bb_client *c)
{
  struct flow *f = (struct flow *)c;
  record ("established", f, "");
  send_request (f);
}

static void
handle_answer (struct flow *f, const struct bb_answer *a, const uint8_t *body)
{
  char more[160];
  g_snprintf (more, sizeof more,
              ",\"answer_id\":\"%016" G_GINT64_MODIFIER "x\",\"length\":%u,"
              "\"asked\":%u,\"server\":\"%s\","
              "\"digest\":\"%016" G_GINT64_MODIFIER "x\"",
              a->id, a->length, f->length, a->server,
              bb_standin_digest (body, a->length));
  record ("answer", f, more);
  f->awaits_answer = false;
  g_byte_array_set_size (f->client.in, 0);
  if (caller.finish_deadline || (!f->is_long && --f->requests_left <= 0))
    {
      bb_client_close (&caller.net, &f->client);
      return;
    }
  prepare_request (f);
  f->next_action = bb_standin_now () + draw_pause (options.interval_ms);
}

static void
handle_octets (struct bb_client *c)
{
  struct flow *f = (struct flow *)c;
  struct bb_answer a;
  size_t length = c->in->len;
  if (length < BB_STANDIN_ANSWER_HEADER_SIZE)
    return;
  if (!f->awaits_answer || !bb_standin_read_answer (c->in->data, length, &a)
      || length > BB_STANDIN_ANSWER_HEADER_SIZE + a.length)
    record ("garbage", f, "");
  else if (length == BB_STANDIN_ANSWER_HEADER_SIZE + a.length)
    handle_answer (f, &a, c->in->data + BB_STANDIN_ANSWER_HEADER_SIZE);
}

static void
end_flow (struct bb_client *c, const char *event)
{
  struct flow *f = (struct flow *)c;
  record (event, f, "");
  g_hash_table_remove (caller.open, &f->key);
  f->next_action = bb_standin_now () + draw_pause (REOPEN_PAUSE_MAX_MS);
}

static void
handle_refused (struct bb_client *c)
{
  end_flow (c, "refused");
}

static void
handle_reset (struct bb_client *c)
{
  end_flow (c, "reset");
}

static void
handle_gave_up (struct bb_client *c)
{
  end_flow (c, "gave_up");
}

static void
handle_closed (struct bb_client *c)
{
  end_flow (c, "closed");
}

static void
handle_resent (struct bb_client *c)
{
  record ("resend", (struct flow *)c, "");
}

static const struct bb_client_callbacks callbacks
    = { .on_established = handle_established,
        .on_received = handle_octets,
        .on_refused = handle_refused,
        .on_reset = handle_reset,
        .on_gave_up = handle_gave_up,
        .on_closed = handle_closed,
        .on_resent = handle_resent };

static void
receive_packets (void *context)
{
  uint8_t buffer[BB_STANDIN_DATAGRAM_MAX], *inner;
  struct bb_endpoint from;
  struct bb_segment s;
  ssize_t n;
  (void)context;
  while ((n = bb_standin_receive_packet (caller.net.fd, buffer, &inner, &from))
         >= 0)
    {
      if (!n || !bb_standin_parse_segment (inner, (size_t)n, &s))
        continue;
      uint64_t key
          = (uint64_t)s.destination.address << 16 | s.destination.port;
      struct flow *f = g_hash_table_lookup (caller.open, &key);
      if (f && bb_standin_endpoints_equal (f->client.service, s.source))
        bb_client_handle_segment (&caller.net, &f->client, &s);
      else
        bb_client_acknowledge_fin (&caller.net, &s);
    }
}

/* Returns whether F has ended and will not be opened again.  */
static bool
tick_flow (struct flow *f, bb_usec now)
{
  bool due = f->next_action && f->next_action <= now;
  bool idle = f->client.state == BB_CLIENT_OPEN && !f->awaits_answer;
  bb_client_tick (&caller.net, &f->client, now);
  if (f->client.state == BB_CLIENT_ENDED)
    {
      if (due && !caller.finish_deadline)
        open_flow (f);
      return caller.finish_deadline;
    }
  if (idle && caller.finish_deadline)
    bb_client_close (&caller.net, &f->client);
  else if (idle && due)
    {
      f->next_action = 0;
      send_request (f);
    }
  return false;
}

static void
tick_flows (void *context)
{
  bb_usec now = bb_standin_now ();
  int ended = 0;
  (void)context;
  for (int i = 0; i < caller.flow_count; i++)
    ended += tick_flow (&caller.flows[i], now);
  if (ended < caller.flow_count
      && (!caller.finish_deadline || now < caller.finish_deadline))
    return;
  bb_standin_write_event (caller.history, "stop", "\"unfinished\":%d",
                          caller.flow_count - ended);
  event_base_loopbreak (caller.base);
}

static void
start_finish (void *context)
{
  (void)context;
  if (!caller.finish_deadline)
    caller.finish_deadline = bb_standin_now () + options.grace_ms * BB_MSEC;
}

static void
read_services (void)
{
  for (char **s = options.service; s && *s; s++)
    {
      char **parts = g_strsplit (*s, "=", 2);
      if (caller.service_count == SERVICES_MAX)
        exit (2);
      caller.services[caller.service_count++]
          = (struct service){ g_strdup (parts[0]),
                              bb_standin_parse_endpoint (parts[1]) };
      g_strfreev (parts);
    }
  if (!caller.service_count)
    {
      g_printerr (
          "--service NAME=ADDRESS:PORT is missing: at least one is needed\n");
      exit (2);
    }
}

/* Opens the flows at random times within one interval.  */
static void
make_flows (void)
{
  bb_usec now = bb_standin_now ();
  caller.flow_count = options.long_flows + options.short_flows;
  caller.flows = g_new0 (struct flow, caller.flow_count);
  caller.open = g_hash_table_new (g_int64_hash, g_int64_equal);
  for (int i = 0; i < caller.flow_count; i++)
    {
      caller.flows[i].is_long = i < options.long_flows;
      caller.flows[i].service = &caller.services[i % caller.service_count];
      caller.flows[i].next_action = now + draw_pause (options.interval_ms);
    }
}

int
main (int argc, char **argv)
{
  bb_standin_parse_options (argc, argv, entries);
  caller.base = event_base_new ();
  caller.history = bb_standin_open_history (options.history);
  caller.random = g_rand_new_with_seed ((guint32)options.seed);
  char *inner = g_strdup_printf ("%s:0", options.inner);
  caller.inner = bb_standin_parse_endpoint (inner);
  g_free (inner);
  caller.net = (struct bb_client_net){
    .fd = bb_standin_open_udp (bb_standin_parse_endpoint (options.listen)),
    .ingress = bb_standin_parse_endpoint (options.ingress),
    .callbacks = &callbacks,
  };
  read_services ();
  make_flows ();
  bb_standin_watch_socket (caller.base, caller.net.fd, receive_packets, NULL);
  bb_standin_watch_timer (caller.base, TICK_MS, tick_flows, NULL);
  bb_standin_watch_signal (caller.base, SIGTERM, start_finish, NULL);
  event_base_dispatch (caller.base);
  return 0;
}
