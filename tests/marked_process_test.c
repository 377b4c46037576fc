/* Runs a complete balancer on a marked transport on loopback; the test calls
   the sink in place of a store.  */

#include "platform/platform.h"
#include "runtime/fetch.h"
#include "runtime/marked_private.h"
#include "tests/sockets.h"
#include "tests/suite.h"

enum
{
  ROUTE = 0xc6120001,
  ROUTE_PORT = 443,
};

#define LOOPBACK socket_own.address
#define CALLER (socket_own.address + 1)

static struct
{
  struct bb_settings settings;
  struct bb_marked_process *p;
  const struct bb_store_sink *sink;
  void *context;
  int server;
  int caller;
  int status;
  char *body;
} t;

static struct bb_store_counters counters;

static void *
source_start (struct event_base *loop, const struct bb_endpoint *endpoint,
              GRand *random, const struct bb_store_sink *sink, void *context)
{
  (void)loop;
  (void)endpoint;
  (void)random;
  t.sink = sink;
  t.context = context;
  return &t;
}

static void
source_poke (void *state, bb_usec now)
{
  (void)state;
  (void)now;
}

static const struct bb_store_counters *
source_counters (const void *state)
{
  (void)state;
  return &counters;
}

static void
source_stop (void *state)
{
  (void)state;
}

static const struct bb_store_ops source = {
  .name = "script",
  .start = source_start,
  .poll = source_poke,
  .counters = source_counters,
  .stop = source_stop,
};

/* Chooses the endpoints that the process will bind.  */
static void
set_up_settings (void)
{
  memset (&t, 0, sizeof t);
  t.server = socket_open (LOOPBACK, SOCK_DGRAM);
  t.settings = (struct bb_settings){
    .self = { .name = "e1",
              .id = bb_name_key ("e1"),
              .data_centre = "north",
              .data = { LOOPBACK, 0 } },
    .metrics = socket_free_endpoint (LOOPBACK, SOCK_STREAM),
    .log_level = "error",
    .marked = { .packets = socket_free_endpoint (LOOPBACK, SOCK_DGRAM),
                .ready = socket_free_endpoint (LOOPBACK, SOCK_STREAM),
                .peer_port = socket_free_endpoint (LOOPBACK, SOCK_DGRAM).port,
                .capacity = 1000,
                .flow_capacity = 1024,
                .idle_ms = 15000,
                .drain_ms = 3000 },
  };
}

static void
start_process (void)
{
  GError *error = NULL;
  t.p = bb_marked_process_new (&t.settings, &bb_platform_transport, &source,
                               &error);
  ck_assert_msg (t.p != NULL, "%s", error ? error->message : "");
  /* Responses are sent to the caller's address at the port of the packets.  */
  struct sockaddr_in in
      = { .sin_family = AF_INET,
          .sin_addr.s_addr = htonl (CALLER),
          .sin_port = htons (t.settings.marked.packets.port) };
  t.caller = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK, 0);
  ck_assert_int_eq (bind (t.caller, (struct sockaddr *)&in, sizeof in), 0);
}

static void
set_up (void)
{
  set_up_settings ();
  start_process ();
}

static void
tear_down (void)
{
  bb_marked_process_free (t.p);
  close (t.server);
  close (t.caller);
  g_free (t.body);
}

/* Delivers one server and one route as the store would.  */
static void
publish_state (void)
{
  struct bb_server_record s = { .name = "i-7f",
                                .service = "desk",
                                .data_centre = "north",
                                .address = socket_endpoint (t.server),
                                .tag = 0x7f,
                                .slots = 2,
                                .created = 1,
                                .revision = 1 };
  struct bb_route_record r = { .address = { ROUTE, ROUTE_PORT },
                               .shares = { { bb_name_key ("desk"), 1 } },
                               .share_count = 1,
                               .revision = 2 };
  t.sink->server (t.context, &s);
  t.sink->configuration (
      t.context,
      &(struct bb_configuration){
          .version = 7, .revision = 2, .routes = &r, .route_count = 1 });
  t.sink->current (t.context, 2, bb_clock_boot ());
}

static void
on_fetched (void *context, const struct bb_fetch_response *response)
{
  (void)context;
  t.status = response->status;
  g_free (t.body);
  t.body = g_strndup ((const char *)response->body, response->length);
}

static int
get (const struct bb_endpoint *endpoint, const char *path)
{
  t.status = 0;
  struct bb_fetch *fetch = bb_fetch_new (t.p->loop, endpoint, path, BB_SEC,
                                         1 << 20, on_fetched, NULL);
  while (t.status == 0)
    event_base_loop (t.p->loop, EVLOOP_ONCE);
  bb_fetch_free (fetch);
  return t.status;
}

/* Sends a SYN to PORT of the route, with 1 as its checksum.  */
static void
send_syn (uint16_t port)
{
  uint8_t bytes[BB_PLATFORM_HEADER_SIZE] = { 0 };
  const struct bb_endpoint *to = &t.settings.marked.packets;
  struct sockaddr_in in = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (to->address),
                            .sin_port = htons (to->port) };
  const uint8_t head[] = { (uint8_t)(CALLER >> 24),
                           (uint8_t)(CALLER >> 16),
                           (uint8_t)(CALLER >> 8),
                           (uint8_t)CALLER,
                           (uint8_t)(port >> 8),
                           (uint8_t)port,
                           0x9c,
                           0x41,
                           0xc6,
                           0x12,
                           0,
                           1 };
  memcpy (bytes, head, sizeof head);
  bytes[23] = 1;
  bytes[30] = 16;
  ck_assert_int_eq (sendto (t.caller, bytes, sizeof bytes, 0,
                            (struct sockaddr *)&in, sizeof in),
                    (ssize_t)sizeof bytes);
}

static ssize_t
receive (int fd, uint8_t *bytes, size_t size)
{
  ssize_t length = -1;
  bb_usec end = bb_clock_boot () + 2 * BB_SEC;
  while ((length = recv (fd, bytes, size, 0)) < 0 && bb_clock_boot () < end)
    event_base_loop (t.p->loop, EVLOOP_ONCE);
  return length;
}

/* Guards against reporting ready before a configuration is in force, or while
   the process stops; the fabric would send flows here.  */
START_TEST (readiness_follows_state)
{
  ck_assert_int_eq (get (&t.settings.marked.ready, "/ready"), 503);
  publish_state ();
  ck_assert_int_eq (get (&t.settings.marked.ready, "/ready"), 200);
  raise (SIGTERM);
  event_base_loop (t.p->loop, EVLOOP_ONCE);
  ck_assert_int_eq (get (&t.settings.marked.ready, "/ready"), 503);
}
END_TEST

/* Guards against packets that are altered while being forwarded, and against a
   caller that gets no reset for an address without a route.  */
START_TEST (packets)
{
  uint8_t bytes[256];
  publish_state ();
  send_syn (ROUTE_PORT);
  ck_assert_int_eq (receive (t.server, bytes, sizeof bytes),
                    BB_PLATFORM_TAG_SIZE + BB_PLATFORM_HEADER_SIZE);
  ck_assert_uint_eq (bytes[7], 0x7f);
  ck_assert_uint_eq (bytes[BB_PLATFORM_TAG_SIZE + 23], 1);
  uint32_t mark = bb_server_cookie ("i-7f", 0);
  ck_assert_uint_eq (bytes[BB_PLATFORM_TAG_SIZE + 27], (uint8_t)mark);
  send_syn (ROUTE_PORT + 1);
  ck_assert_int_eq (receive (t.caller, bytes, sizeof bytes),
                    BB_PLATFORM_HEADER_SIZE);
  ck_assert_uint_eq (bytes[30], 8);
  ck_assert_uint_eq (bytes[23], 0);
}
END_TEST

/* Guards against metrics that are missing or have a wrong value.  */
static const char *const lines[] = {
  "\nbluebellstand_ready 1\n",
  "\nbluebellstand_configuration_version 7\n",
  "\nbluebellstand_flows_placed_total 1\n",
  "\nbluebellstand_flows_refused_total{reason=\"no_route\"} 1\n",
  "\n# TYPE bluebellstand_service_answer_time_seconds histogram\n",
  "\nbluebellstand_service_answer_time_seconds_bucket{service=\"desk\","
  "le=\"+Inf\"} 0\n",
  "\nbluebellstand_service_answer_estimate_seconds{service=\"desk\","
  "place=\"near\"} 0.000000\n",
  "\nbluebellstand_server_flows{service=\"desk\",server=\"i-7f\"} 1\n",
};

START_TEST (metrics)
{
  uint8_t bytes[256];
  publish_state ();
  send_syn (ROUTE_PORT);
  ck_assert_int_gt (receive (t.server, bytes, sizeof bytes), 0);
  send_syn (ROUTE_PORT + 1);
  ck_assert_int_gt (receive (t.caller, bytes, sizeof bytes), 0);
  ck_assert_int_eq (get (&t.settings.metrics, "/metrics"), 200);
  ck_assert_msg (strstr (t.body, lines[_i]),
                 "the metrics page lacks the line%s", lines[_i]);
}
END_TEST

/* Guards against a test that fails because another program binds one of its
   ports between the choice of the port and the start of the process.  */
START_TEST (ports_bound_by_others)
{
  const struct bb_endpoint endpoints[]
      = { t.settings.metrics,
          t.settings.marked.packets,
          t.settings.marked.ready,
          { LOOPBACK, t.settings.marked.peer_port } };
  socket_take (_i, endpoints, G_N_ELEMENTS (endpoints));
  start_process ();
  socket_check_ports (endpoints, G_N_ELEMENTS (endpoints));
}
END_TEST

/* Guards against an evacuation that an operator cannot see: in the log with
   the name of the data centre, in the metrics, and for each flow.  */
START_TEST (evacuation_is_shown)
{
  const struct bb_evacuation_record r
      = { .data_centre = "north", .is_active = true, .revision = 3 };
  publish_state ();
  t.sink->evacuation (t.context, &r);
  send_syn (ROUTE_PORT);
  uint8_t bytes[256];
  ck_assert_int_eq (receive (t.caller, bytes, sizeof bytes),
                    BB_PLATFORM_HEADER_SIZE);
  ck_assert_int_eq (get (&t.settings.metrics, "/metrics"), 200);
  ck_assert_ptr_nonnull (strstr (t.body, "\nbluebellstand_evacuations 1\n"));
  ck_assert_ptr_nonnull (strstr (
      t.body,
      "\nbluebellstand_flows_refused_total{reason=\"evacuated\"} 1\n"));
  ck_assert_int_eq (get (&t.settings.metrics, "/events"), 200);
  ck_assert_ptr_nonnull (strstr (t.body, "\"event\":\"evacuation\""));
  ck_assert_ptr_nonnull (strstr (t.body, "\"target_data_centre\":\"north\""));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("marked process");
  TCase *tc = tcase_create ("marked process");
  tcase_add_unchecked_fixture (tc, socket_reserve, socket_release);
  tcase_add_checked_fixture (tc, set_up, tear_down);
  tcase_add_test (tc, readiness_follows_state);
  tcase_add_test (tc, packets);
  tcase_add_test (tc, evacuation_is_shown);
  tcase_add_loop_test (tc, metrics, 0, G_N_ELEMENTS (lines));
  suite_add_tcase (suite, tc);
  tc = tcase_create ("ports");
  tcase_add_unchecked_fixture (tc, socket_reserve, socket_release);
  tcase_add_checked_fixture (tc, set_up_settings, tear_down);
  tcase_add_loop_test (tc, ports_bound_by_others, 0, SOCKET_TAKERS);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
