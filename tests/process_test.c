#include "runtime/fetch.h"
#include "runtime/peers.h"
#include "runtime/probe.h"
#include "tests/loopback.h"
#include "wire/wire.h"
#include <json-c/json.h>
#include <zmq.h>

static void
send_control (void *context, uint32_t source, const void *bytes, size_t length)
{
  char from[BB_ENDPOINT_TEXT_SIZE], text[BB_ENDPOINT_TEXT_SIZE], url[80];
  void *socket = zmq_socket (context, ZMQ_DEALER);
  bb_address_to_text (from, source);
  g_snprintf (url, sizeof url, "tcp://%s:0;%s", from,
              bb_endpoint_to_text (text, &t.settings.self.control));
  ck_assert_int_eq (zmq_connect (socket, url), 0);
  ck_assert_int_eq (zmq_send (socket, bytes, length, 0), (int)length);
  uint64_t before = bb_peers_get_counters (t.p->peers)->received_messages;
  while (bb_peers_get_counters (t.p->peers)->received_messages == before)
    run_once ();
  zmq_close (socket);
}

/* Guards against messages of an outsider, and messages that cannot be decoded,
   reaching the engine.  */
START_TEST (message_is_accepted_from_peers_only)
{
  struct bb_vm vm = { .name = "e2", .data_centre = "mde" };
  vm.data = vm.control = (struct bb_endpoint){ LOOPBACK, 9 };
  struct bb_message message
      = { .kind = BB_MESSAGE_MEMBERS, .from = 3, .u.members = { &vm, 1 } };
  GByteArray *bytes = bb_wire_encode (&message);
  void *context = zmq_ctx_new ();
  const struct bb_peers_counters *counters
      = bb_peers_get_counters (t.p->peers);
  send_control (context, FOREIGN, bytes->data, bytes->len);
  ck_assert_uint_eq (counters->refused_sources, 1);
  ck_assert_uint_eq (bb_engine_peers (t.p->engine, 0, NULL, 0), 0);
  send_control (context, LOOPBACK, "junk", 4);
  ck_assert_uint_eq (counters->undecodable, 1);
  send_control (context, LOOPBACK, bytes->data, bytes->len);
  ck_assert_uint_eq (bb_engine_peers (t.p->engine, 0, NULL, 0), 1);
  zmq_ctx_term (context);
  g_byte_array_unref (bytes);
}
END_TEST

static void
on_fetched (void *context, const struct bb_fetch_response *response)
{
  int *status = context;
  *status = response->status;
  g_free (t.fetched);
  t.fetched = g_strndup ((const char *)response->body, response->length);
}

static int
get (const char *path)
{
  int status = -1;
  struct bb_fetch *fetch
      = bb_fetch_new (t.p->loop, &t.settings.metrics, path, 60 * BB_SEC,
                      1 << 20, on_fetched, &status);
  while (status < 0)
    run_once ();
  bb_fetch_free (fetch);
  return status;
}

static const struct
{
  const char *path;
  int status;
  const char *part; /* of the body */
} pages[] = {
  { "/metrics", 200, "\n# TYPE bluebellstand_base_version gauge\n" },
  { "/metrics", 200, "\nbluebellstand_base_version 4\n" },
  { "/metrics", 200, "\nbluebellstand_data_received_bytes_total 0\n" },
  { "/metrics", 200, "_dropped_packets_total{reason=\"truncated\"} 0\n" },
  { "/metrics", 200, "_server_healthy{service=\"s\",server=\"a\"} 1\n" },
  { "/events", 200, "\"event\":\"ready\"" },
  { "/events?after=1000000", 200, "\"seq\":1," },
  { "/other", 404, "" },
};

/* Guards against pages that scrapers and the operator's tool cannot parse.  */
START_TEST (page_is_served)
{
  ck_assert_int_eq (get (pages[_i].path), pages[_i].status);
  ck_assert_msg (strstr (t.fetched, pages[_i].part) != NULL, "%s", t.fetched);
}
END_TEST

/* Guards against a status document without one of the documented keys, and
   against a refused document that is not reported to the operator.  */
START_TEST (status_is_complete)
{
  char **keys = g_strsplit ("vm data_centre state ready versions "
                            "version_age_us generation phase flows "
                            "flow_capacity peers servers counters attention",
                            " ", -1);
  struct json_object *status, *value = NULL;
  write_document ("base.json", "{\"version\": 5");
  while (!bb_events_next (t.p->events, 0)
         || t.p->platform->status.received_bytes == 0 || get ("/status") != 200
         || !strstr (t.fetched, "refused: "))
    run_once ();
  status = json_tokener_parse (t.fetched);
  for (size_t i = 0; keys[i]; i++)
    ck_assert_msg (json_object_object_get_ex (status, keys[i], &value), "%s",
                   keys[i]);
  ck_assert_uint_gt (json_object_array_length (value), 0);
  json_object_put (status);
  g_strfreev (keys);
}
END_TEST

/* Guards against a test that fails because another program binds one of its
   ports between the choice of the port and the start of the process.  */
START_TEST (ports_bound_by_others)
{
  const struct bb_endpoint endpoints[]
      = { t.settings.self.data, t.settings.self.control, t.settings.metrics };
  socket_take (_i, endpoints, G_N_ELEMENTS (endpoints));
  start_process ();
  socket_check_ports (endpoints, G_N_ELEMENTS (endpoints));
}
END_TEST

/* Guards against two processes sharing a port, and against an error that does
   not name the port in use.  */
START_TEST (port_in_use_is_an_error)
{
  static const char *const parts[]
      = { "data: UDP", "control: TCP", "metrics: TCP" };
  struct bb_settings other = t.settings;
  struct bb_endpoint *endpoints[]
      = { &other.self.data, &other.self.control, &other.metrics };
  for (int i = 0; i < (int)G_N_ELEMENTS (endpoints); i++)
    if (i != _i)
      *endpoints[i]
          = socket_free_endpoint (LOOPBACK, i == 0 ? SOCK_DGRAM : SOCK_STREAM);
  GError *error = NULL;
  ck_assert_ptr_null (bb_process_new (&other, &error));
  ck_assert (g_error_matches (error, BB_ERROR, BB_ERROR_IO));
  ck_assert_ptr_nonnull (strstr (error->message, parts[_i]));
  ck_assert_ptr_nonnull (strstr (error->message, "in use"));
  g_error_free (error);
}
END_TEST

/* Guards against a server that accepts connections and never responds.  Each
   probe must end as a failure, and no second probe may start before that.  */
START_TEST (silent_server_goes_down)
{
  const struct bb_probe_counters *counters
      = bb_probes_get_counters (t.p->probes);
  struct bb_server_status server = { 0 };
  do
    {
      run_once ();
      ck_assert_uint_le (counters->sent - counters->failed, 1);
      bb_engine_servers (t.p->engine, bb_clock_boot (), &server, 1);
    }
  while (server.healthy);
  ck_assert_uint_ge (counters->failed, 3);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("process");
  TCase *c = tcase_create ("loopback");
  tcase_add_unchecked_fixture (c, socket_reserve, socket_release);
  tcase_add_checked_fixture (c, set_up, tear_down);
  tcase_add_test (c, message_is_accepted_from_peers_only);
  tcase_add_loop_test (c, page_is_served, 0, G_N_ELEMENTS (pages));
  tcase_add_test (c, status_is_complete);
  tcase_add_loop_test (c, port_in_use_is_an_error, 0, 3);
  tcase_add_test (c, silent_server_goes_down);
  suite_add_tcase (s, c);
  c = tcase_create ("ports");
  tcase_add_unchecked_fixture (c, socket_reserve, socket_release);
  tcase_add_checked_fixture (c, set_up_settings, tear_down);
  tcase_add_loop_test (c, ports_bound_by_others, 0, SOCKET_TAKERS);
  suite_add_tcase (s, c);
  return run_suite (s);
}
