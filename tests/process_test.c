/* A whole process on loopback, driven from the test's thread.  */

#include "runtime/data.h"
#include "runtime/fetch.h"
#include "runtime/peers.h"
#include "runtime/private.h"
#include "tests/sockets.h"
#include "tests/suite.h"
#include "wire/wire.h"
#include <glib/gstdio.h>
#include <json-c/json.h>
#include <string.h>
#include <unistd.h>
#include <zmq.h>

enum
{
  SERVICE = 0x0a090909, /* 10.9.9.9 */
  CALLER = 0x0a010101,
  LOOPBACK = 0x7f000001, /* of the process; an entry network */
  FOREIGN = 0x7f000005   /* not in the entry network */
};

#define BASE                                                                  \
  "{\"version\": 4, \"hash_seed\": 1, \"data_centres\": {\"mde\": "           \
  "{\"entry_networks\": [\"127.0.0.1/32\"]}}, \"services\": {\"s\": "         \
  "{\"address\": \"10.9.9.9\", \"port\": 80, \"protocol\": \"tcp\", "         \
  "\"servers\": {\"a\": {\"address\": \"127.0.0.1\", \"gue_port\": %u}}}}}"

static struct
{
  struct bb_settings settings;
  struct bb_process *p;
  char *directory;
  int server; /* UDP sockets of the test */
  int egress;
  int fabric;    /* at FOREIGN */
  int peer;      /* at LOOPBACK */
  char *fetched; /* body of the last answer */
} t;

static void
write_document (const char *name, const char *text)
{
  char *path = g_build_filename (t.directory, name, NULL);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  g_free (path);
}

static void
run_once (void)
{
  event_base_loop (t.p->loop, EVLOOP_ONCE);
}

static bool
is_ready (void)
{
  struct bb_engine_status status;
  bb_engine_status (t.p->engine, bb_clock_boot (), &status);
  return status.ready;
}

static void
set_up (void)
{
  memset (&t, 0, sizeof t);
  t.directory = g_dir_make_tmp ("bb-XXXXXX", NULL);
  t.server = socket_open (LOOPBACK, SOCK_DGRAM);
  t.egress = socket_open (LOOPBACK, SOCK_DGRAM);
  t.peer = socket_open (LOOPBACK, SOCK_DGRAM);
  t.fabric = socket_open (FOREIGN, SOCK_DGRAM);
  t.settings = (struct bb_settings){
    .self = { .name = "e1",
              .id = bb_name_key ("e1"),
              .data_centre = "mde",
              .data = socket_free_endpoint (LOOPBACK, SOCK_DGRAM),
              .control = socket_free_endpoint (LOOPBACK, SOCK_STREAM) },
    .metrics = socket_free_endpoint (LOOPBACK, SOCK_STREAM),
    .platform_kind = BB_PLATFORM_DIRECTORY,
    .platform = t.directory,
    .egress = socket_endpoint (t.egress),
    .flow_capacity = 1024,
    .push_bytes = 1024,
    .probe_interval_ms = 1000,
    .log_level = "error",
  };
  char *base = g_strdup_printf (BASE, socket_endpoint (t.server).port);
  write_document ("base.json", base);
  g_free (base);
  write_document ("vms.json", "{\"version\": 1, \"vms\": []}");
  GError *error = NULL;
  t.p = bb_process_new (&t.settings, &error);
  ck_assert_msg (t.p != NULL, "%s", error ? error->message : "");
  while (!is_ready ())
    run_once ();
}

static void
tear_down (void)
{
  bb_process_free (t.p);
  ck_assert_int_eq (chdir (t.directory), 0);
  g_unlink ("base.json");
  g_unlink ("vms.json");
  g_rmdir (t.directory);
  g_free (t.directory);
  g_free (t.fetched);
  close (t.server);
  close (t.egress);
  close (t.fabric);
  close (t.peer);
}

/* A TCP segment with FLAGS to port 80 of DESTINATION; returns its length.  */
static size_t
segment (uint8_t *data, uint32_t destination, uint8_t flags)
{
  struct bb_packet packet = { .source = CALLER,
                              .destination = destination,
                              .source_port = 4000,
                              .destination_port = 80,
                              .protocol = 6,
                              .tcp_flags = BB_TCP_ACK,
                              .sequence = 7 };
  size_t length = bb_wire_reset (data, &packet, false);
  data[33] = flags;
  return length;
}

static void
send_datagram (int fd, const uint8_t *data, size_t length)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET,
          .sin_addr.s_addr = htonl (t.settings.self.data.address),
          .sin_port = htons (t.settings.self.data.port) };
  ck_assert_int_eq (
      sendto (fd, data, length, 0, (struct sockaddr *)&to, sizeof to),
      (ssize_t)length);
}

static uint64_t
dropped (enum bb_drop kind)
{
  return bb_data_get_counters (t.p->data)->drops[kind]
         + bb_engine_counters (t.p->engine)->drops[kind];
}

static const struct
{
  const char *guard;
  int offset; /* into the datagram of a byte that is changed, -1: none */
  uint8_t byte;
  int cut; /* bytes left out at the end */
  uint32_t destination;
  uint8_t flags;
  enum bb_drop drop; /* NONE: it reaches the server unchanged */
} datagrams[] = {
  { "a SYN that is not forwarded as it came", -1, 0, 0, SERVICE, BB_TCP_SYN,
    BB_DROP_NONE },
  { "a later segment that is not forwarded", -1, 0, 0, SERVICE, BB_TCP_ACK,
    BB_DROP_NONE },
  { "GUE version 1", 0, 0x40, 0, SERVICE, BB_TCP_SYN, BB_DROP_GUE_VERSION },
  { "a payload that is not IPv4", 1, 41, 0, SERVICE, BB_TCP_SYN,
    BB_DROP_NOT_IPV4 },
  { "IPv6 behind an IPv4 header type", 4, 0x60, 0, SERVICE, BB_TCP_SYN,
    BB_DROP_NOT_IPV4 },
  { "a fragment", 10, 0x20, 0, SERVICE, BB_TCP_SYN, BB_DROP_FRAGMENT },
  { "a cut TCP header", -1, 0, 8, SERVICE, BB_TCP_SYN, BB_DROP_TRUNCATED },
  { "an empty datagram", -1, 0, 44, SERVICE, BB_TCP_SYN, BB_DROP_TRUNCATED },
  { "a destination that is no service", -1, 0, 0, SERVICE + 1, BB_TCP_SYN,
    BB_DROP_NO_SERVICE },
};

/* Guards against the failure that each row names: forwarding it, or a drop
   that is not counted under its kind.  */
START_TEST (datagram_is_forwarded_or_counted)
{
  uint8_t data[64] = { 0 }, got[64];
  size_t header = bb_gue_encode (data, NULL);
  size_t length = header
                  + segment (data + header, datagrams[_i].destination,
                             datagrams[_i].flags)
                  - (size_t)datagrams[_i].cut;
  if (datagrams[_i].offset >= 0)
    data[datagrams[_i].offset] = datagrams[_i].byte;
  send_datagram (t.fabric, data, length);
  while (bb_data_get_counters (t.p->data)->received_packets == 0)
    run_once ();
  ssize_t size = recv (t.server, got, sizeof got, 0);
  if (datagrams[_i].drop == BB_DROP_NONE)
    {
      ck_assert_int_eq (size, (ssize_t)length);
      ck_assert_mem_eq (got, data, length);
      return;
    }
  ck_assert_int_eq (size, -1);
  ck_assert_msg (dropped (datagrams[_i].drop) == 1, "%s", datagrams[_i].guard);
}
END_TEST

/* Guards against packets that an outsider hands over as if it were a
   balancer.  */
START_TEST (handover_is_accepted_from_peers_only)
{
  uint8_t data[64], got[64];
  struct bb_handover handover = { .hops = 1, .flags = BB_HAND_FINAL };
  size_t header = bb_gue_encode (data, &handover);
  size_t length = header + segment (data + header, SERVICE, BB_TCP_ACK);
  send_datagram (t.fabric, data, length);
  send_datagram (t.peer, data, length);
  while (bb_data_get_counters (t.p->data)->received_packets < 2)
    run_once ();
  ck_assert_uint_eq (dropped (BB_DROP_NOT_PEER), 1);
  ck_assert_uint_eq (bb_engine_counters (t.p->engine)->handed_in, 1);
  ck_assert_int_eq (recv (t.server, got, sizeof got, 0),
                    (ssize_t)(length - BB_GUE_HANDOVER));
  ck_assert_int_eq (recv (t.server, got, sizeof got, 0), -1);
  ck_assert_int_eq (bb_data_last_packet (t.p->data), 0);
}
END_TEST

/* Guards against packets that waited while the process was paused and are
   handled with stale state: no event is handled for longer than the limit. */
START_TEST (packets_of_a_pause_are_discarded)
{
  enum
  {
    COUNT = 200
  };
  uint8_t data[64], got[64];
  size_t header = bb_gue_encode (data, NULL);
  size_t length = header + segment (data + header, SERVICE, BB_TCP_SYN);
  for (int i = 0; i < COUNT; i++)
    send_datagram (t.fabric, data, length);
  g_usleep (BB_PAUSE_LIMIT + 100 * BB_MSEC);
  while (bb_data_get_counters (t.p->data)->discarded == 0)
    run_once ();
  ck_assert_uint_eq (bb_data_get_counters (t.p->data)->discarded, COUNT);
  ck_assert_int_eq (recv (t.server, got, sizeof got, 0), -1);
}
END_TEST

static void
send_control (void *context, const char *source, const void *bytes,
              size_t length)
{
  char text[BB_ENDPOINT_TEXT], url[80];
  void *socket = zmq_socket (context, ZMQ_DEALER);
  g_snprintf (url, sizeof url, "tcp://%s:0;%s", source,
              bb_endpoint_text (text, &t.settings.self.control));
  ck_assert_int_eq (zmq_connect (socket, url), 0);
  ck_assert_int_eq (zmq_send (socket, bytes, length, 0), (int)length);
  uint64_t before = bb_peers_get_counters (t.p->peers)->received_messages;
  while (bb_peers_get_counters (t.p->peers)->received_messages == before)
    run_once ();
  zmq_close (socket);
}

/* Guards against messages of an outsider that reach the engine, and against
   messages that cannot be decoded.  */
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
  send_control (context, "127.0.0.5", bytes->data, bytes->len);
  ck_assert_uint_eq (counters->refused_sources, 1);
  ck_assert_uint_eq (bb_engine_peers (t.p->engine, 0, NULL, 0), 0);
  send_control (context, "127.0.0.1", "junk", 4);
  ck_assert_uint_eq (counters->undecodable, 1);
  send_control (context, "127.0.0.1", bytes->data, bytes->len);
  ck_assert_uint_eq (bb_engine_peers (t.p->engine, 0, NULL, 0), 1);
  zmq_ctx_term (context);
  g_byte_array_unref (bytes);
}
END_TEST

static void
on_fetched (void *context, const struct bb_fetch_answer *answer)
{
  int *status = context;
  *status = answer->status;
  g_free (t.fetched);
  t.fetched = g_strndup ((const char *)answer->body, answer->length);
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

/* Guards against pages that scrapers and the operator's tool cannot read.  */
START_TEST (page_is_served)
{
  ck_assert_int_eq (get (pages[_i].path), pages[_i].status);
  ck_assert_msg (strstr (t.fetched, pages[_i].part) != NULL, "%s", t.fetched);
}
END_TEST

/* Guards against a status document that lacks a key which is documented, and
   against a refused document that the operator is not told of.  */
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

/* Guards against a second process that shares a port with the first, and
   against an error that does not say which port is taken.  */
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

int
main (void)
{
  Suite *s = suite_create ("process");
  TCase *c = tcase_create ("loopback");
  tcase_add_checked_fixture (c, set_up, tear_down);
  tcase_add_loop_test (c, datagram_is_forwarded_or_counted, 0,
                       G_N_ELEMENTS (datagrams));
  tcase_add_test (c, handover_is_accepted_from_peers_only);
  tcase_add_test (c, packets_of_a_pause_are_discarded);
  tcase_add_test (c, message_is_accepted_from_peers_only);
  tcase_add_loop_test (c, page_is_served, 0, G_N_ELEMENTS (pages));
  tcase_add_test (c, status_is_complete);
  tcase_add_loop_test (c, port_in_use_is_an_error, 0, 3);
  suite_add_tcase (s, c);
  return run_suite (s);
}
