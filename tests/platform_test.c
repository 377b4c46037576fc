#include "runtime/platform.h"
#include "runtime/util.h"
#include "tests/sockets.h"
#include "tests/suite.h"
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <fcntl.h>
#include <glib/gstdio.h>

/* The platform under test, the calls that it made, and the service that it
   reads.  */
static struct
{
  struct event_base *loop;
  struct evhttp *server;
  GRand *random;
  struct bb_platform *platform;
  char location[BB_ENDPOINT_TEXT_SIZE];
  uint16_t port;       /* of the service */
  GString *calls;      /* one word for each call of the sink */
  const char *awaited; /* the loop ends once CALLS contains this */
  uint64_t versions[BB_DOCUMENT_KINDS];
  unsigned absent;   /* bit set of the kinds reported as absent */
  GString *requests; /* values of "after" requested for the base document */
  int step;          /* responses sent for the base document */
  int unanswered;    /* requests for the base document without a response */
  const struct response *script;
} t;

/* One response of the service for the base document.  Status 0 never responds,
   -1 closes the connection within the body.  */
struct response
{
  int status;
  const char *version; /* NULL: no header */
  const char *body;
};

static void record_call (const char *format, ...) G_GNUC_PRINTF (1, 2);

static void
record_call (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  g_string_append_vprintf (t.calls, format, arguments);
  va_end (arguments);
  if (t.awaited && strstr (t.calls->str, t.awaited))
    event_base_loopbreak (t.loop);
}

/* Accepts a document that ends with a brace, except that "{bad}" is refused
   and "{old}" is older than the one in force.  */
static enum bb_offer
offer_document (void *context, enum bb_document_kind kind, uint64_t version,
                const uint8_t *bytes, size_t length)
{
  (void)context;
  char *text = g_strndup ((const char *)bytes, length);
  enum bb_offer offer = BB_OFFER_ACCEPTED;
  if (!g_str_has_suffix (text, "}") || strcmp (text, "{bad}") == 0)
    offer = BB_OFFER_REFUSED;
  else if (strcmp (text, "{old}") == 0)
    offer = BB_OFFER_OLDER;
  else
    t.versions[kind] = version;
  record_call ("%d:%d:%s ", kind, offer, text);
  g_free (text);
  return offer;
}

static void
record_absence (void *context, enum bb_document_kind kind)
{
  (void)context;
  t.absent |= 1U << kind;
}

static uint64_t
get_version (void *context, enum bb_document_kind kind)
{
  (void)context;
  return t.versions[kind];
}

static const struct bb_platform_sink sink
    = { offer_document, record_absence, get_version };

static void
record_request (struct evhttp_request *request)
{
  struct evkeyvalq query;
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  ck_assert_int_eq (evhttp_parse_query_str (text, &query), 0);
  ck_assert_ptr_nonnull (evhttp_find_header (&query, "wait_s"));
  g_string_append_printf (t.requests, "%s ",
                          evhttp_find_header (&query, "after"));
  evhttp_clear_headers (&query);
}

static void
on_base (struct evhttp_request *request, void *context)
{
  (void)context;
  const struct response *response = &t.script[t.step];
  record_request (request);
  ck_assert_int_eq (t.unanswered, 0);
  if (response->status == 0)
    {
      t.unanswered++;
      record_call ("held ");
      return;
    }
  t.step++;
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  struct evbuffer *body = evbuffer_new ();
  if (response->version)
    evhttp_add_header (headers, "Config-Version", response->version);
  if (response->body)
    evbuffer_add_printf (body, "%s", response->body);
  if (response->status == -1)
    evhttp_add_header (headers, "Content-Length", "1000");
  evhttp_add_header (headers, "Connection", "close");
  evhttp_send_reply (request, response->status == -1 ? 200 : response->status,
                     NULL, body);
  evbuffer_free (body);
}

/* The other documents do not exist.  */
static void
on_other (struct evhttp_request *request, void *context)
{
  (void)context;
  evhttp_send_error (request, HTTP_NOTFOUND, NULL);
}

static void
set_up (void)
{
  memset (&t, 0, sizeof t);
  t.loop = event_base_new ();
  t.random = g_rand_new_with_seed (1);
  t.calls = g_string_new (NULL);
  t.requests = g_string_new (NULL);
  t.server = evhttp_new (t.loop);
  /* Uses an address of this program, so that no other program can answer at it
     once the server has ended.  */
  char address[BB_ENDPOINT_TEXT_SIZE];
  bb_address_to_text (address, socket_own.address);
  struct evhttp_bound_socket *bound
      = evhttp_bind_socket_with_handle (t.server, address, 0);
  struct bb_endpoint endpoint
      = socket_endpoint (evhttp_bound_socket_get_fd (bound));
  bb_endpoint_to_text (t.location, &endpoint);
  t.port = endpoint.port;
  evhttp_set_cb (t.server, "/v1/base", on_base, NULL);
  evhttp_set_gencb (t.server, on_other, NULL);
}

static void
tear_down (void)
{
  bb_platform_free (t.platform);
  if (t.server)
    evhttp_free (t.server);
  event_base_free (t.loop);
  g_rand_free (t.random);
  g_string_free (t.calls, TRUE);
  g_string_free (t.requests, TRUE);
}

static void
start (enum bb_platform_kind kind, const char *location)
{
  t.platform = bb_platform_new (kind, t.loop, location, "north", t.random,
                                &sink, NULL, NULL);
  ck_assert_ptr_nonnull (t.platform);
}

static void
run_until (const char *awaited)
{
  t.awaited = awaited;
  if (!strstr (t.calls->str, awaited))
    event_base_dispatch (t.loop);
}

static const struct
{
  const char *guard;
  struct response script[5];
  const char *calls;    /* of the sink */
  const char *requests; /* values of "after" */
  uint64_t failures;
} scripts[] = {
  { "a document that is not delivered, or requested again",
    { { 200, "3", "{a}" } },
    "0:0:{a} held ",
    "0 3 ",
    0 },
  { "a newer version that is not requested after the first",
    { { 200, "3", "{a}" }, { 200, "4", "{b}" } },
    "0:0:{a} 0:0:{b} held ",
    "0 3 4 ",
    0 },
  { "a response without change that is treated as a document",
    { { 304, "3", NULL } },
    "held ",
    "0 0 ",
    0 },
  { "an error of the service that ends the polling",
    { { 503, NULL, "busy" }, { 500, NULL, NULL }, { 200, "3", "{a}" } },
    "0:0:{a} held ",
    "0 0 0 3 ",
    2 },
  { "a truncated document that is delivered",
    { { -1, "3", "{\"a\": " }, { 200, "3", "{a}" } },
    "0:0:{a} held ",
    "0 0 3 ",
    1 },
  { "a refused document that is requested again at once, or that hides a "
    "corrected one with a lower version",
    { { 200, "9", "{bad}" }, { 304, "9", NULL }, { 200, "3", "{a}" } },
    "0:4:{bad} 0:0:{a} held ",
    "0 9 0 3 ",
    0 },
};

/* Guards against the fault that each row describes.  */
START_TEST (service_is_watched)
{
  t.script = scripts[_i].script;
  start (BB_PLATFORM_HTTP, t.location);
  run_until ("held");
  ck_assert_msg (strcmp (t.calls->str, scripts[_i].calls) == 0, "%s: %s",
                 scripts[_i].guard, t.calls->str);
  ck_assert_str_eq (t.requests->str, scripts[_i].requests);
  ck_assert_uint_eq (t.platform->status.failures, scripts[_i].failures);
  ck_assert_int_eq (t.platform->status.failed_since, 0);
}
END_TEST

static void
on_time (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  event_base_loopbreak (t.loop);
}

/* Guards against bursts of requests while the service is down or responds to
   each request at once.  The limit is the token budget for the elapsed time,
   however long the test took.  */
START_TEST (requests_stay_within_the_budget)
{
  static const struct response failing[100]
      = { [0 ... 99] = { 503, NULL, "" } };
  static const struct response same[100]
      = { [0 ... 99] = { 304, NULL, NULL } };
  struct timeval tv = { .tv_sec = 2 };
  bb_usec began = bb_clock_boot ();
  t.script = _i ? failing : same;
  start (BB_PLATFORM_HTTP, t.location);
  event_base_once (t.loop, -1, EV_TIMEOUT, on_time, NULL, &tv);
  event_base_dispatch (t.loop);
  double passed = (double)(bb_clock_boot () - began) / BB_SEC;
  ck_assert_uint_ge (t.platform->status.reads, 3);
  ck_assert_double_le ((double)t.platform->status.reads, 6 + 2 * passed);
}
END_TEST

/* Guards against an outage that is not reported, and against polling that ends
   when the connection is refused.  */
START_TEST (refused_connection_is_a_failure)
{
  evhttp_free (t.server);
  t.server = NULL;
  /* Another program binds the same port at the usual loopback address and
     never responds.  */
  int other = socket_bind (INADDR_LOOPBACK, t.port, SOCK_STREAM);
  if (other >= 0)
    ck_assert_int_eq (listen (other, 64), 0);
  start (BB_PLATFORM_HTTP, t.location);
  while (t.platform->status.failures < 4)
    event_base_loop (t.loop, EVLOOP_ONCE);
  close (other);
  ck_assert (t.platform->status.failed_since != 0);
  ck_assert_str_eq (t.calls->str, "");
}
END_TEST

/* The directory.  */

static char *
build_path (const char *directory, const char *name)
{
  return g_build_filename (directory, name, NULL);
}

static void
append_text (const char *path, const char *text)
{
  int fd = open (path, O_WRONLY | O_CREAT | O_APPEND, 0600);
  ck_assert_int_eq (write (fd, text, strlen (text)), (int)strlen (text));
  close (fd);
}

static void
remove_all (char *directory)
{
  static const char *const names[]
      = { "base.json", "overlay-north.json", "vms.json" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    {
      char *path = build_path (directory, names[i]);
      g_unlink (path);
      g_free (path);
    }
  g_rmdir (directory);
  g_free (directory);
}

/* Guards against a file that is read while it is being written and not read
   again, even if the rest is written within the resolution of the file
   system's clock.  */
START_TEST (half_written_file_is_read_again)
{
  char *directory = g_dir_make_tmp ("bb-XXXXXX", NULL);
  char *path = build_path (directory, "base.json");
  append_text (path, "{\"half\": ");
  start (BB_PLATFORM_DIRECTORY, directory);
  run_until ("0:4:{\"half\": ");
  append_text (path, "1}");
  run_until ("0:0:{\"half\": 1}");
  ck_assert_uint_eq (t.absent, 1U << BB_DOCUMENT_OVERLAY);
  ck_assert (t.platform->status.failed_since != 0); /* there is no vms.json */
  g_free (path);
  remove_all (directory);
}
END_TEST

/* Guards against missing a change: a file that is replaced, rewritten with the
   same size, or created later.  */
START_TEST (changed_file_is_read)
{
  char *directory = g_dir_make_tmp ("bb-XXXXXX", NULL);
  char *path = build_path (directory, "base.json");
  char *other = build_path (directory, "overlay-north.json");
  append_text (path, "{a}");
  start (BB_PLATFORM_DIRECTORY, directory);
  run_until ("0:0:{a}");
  append_text (other, "{o}");
  run_until ("1:0:{o}");
  g_unlink (path);
  append_text (path, "{b}");
  run_until ("0:0:{b}");
  g_file_set_contents (path, "{c}", -1, NULL);
  run_until ("0:0:{c}");
  g_free (path);
  g_free (other);
  remove_all (directory);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("platform");
  TCase *c = tcase_create ("sources");
  tcase_add_unchecked_fixture (c, socket_reserve, socket_release);
  tcase_add_checked_fixture (c, set_up, tear_down);
  tcase_add_loop_test (c, service_is_watched, 0, G_N_ELEMENTS (scripts));
  tcase_add_loop_test (c, requests_stay_within_the_budget, 0, 2);
  tcase_add_test (c, refused_connection_is_a_failure);
  tcase_add_test (c, half_written_file_is_read_again);
  tcase_add_test (c, changed_file_is_read);
  suite_add_tcase (s, c);
  return run_suite (s);
}
