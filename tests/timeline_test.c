#include "tests/suite.h"
#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>
#include <glib.h>
#include <glib/gstdio.h>
#include <json-c/json.h>
#include <string.h>

static char *program;

static int
run (const char *arguments, char **out)
{
  g_autofree char *line = g_strdup_printf ("%s %s", program, arguments);
  g_auto (GStrv) argv = g_strsplit (line, " ", -1);
  int status = 0;

  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_STDERR_TO_DEV_NULL, NULL,
                           NULL, out, NULL, &status, NULL));
  ck_assert (WIFEXITED (status));
  return WEXITSTATUS (status);
}

/* An HTTP server in its own thread, in place of a balancer's HTTP port.  */
struct http_server
{
  struct event_base *base;
  struct evhttp *http;
  const char *body; /* of every response */
  int port;
  gint should_stop; /* accessed atomically */
  GThread *thread;
};

static void
send_body (struct evhttp_request *request, void *context)
{
  const struct http_server *s = context;
  struct evbuffer *out = evbuffer_new ();

  evbuffer_add (out, s->body, strlen (s->body));
  evhttp_send_reply (request, 200, "OK", out);
  evbuffer_free (out);
}

/* The event base has no lock, so the thread polls SHOULD_STOP.  */
static gpointer
run_event_loop (gpointer data)
{
  struct http_server *s = data;
  struct timeval pause = { 0, 5000 };

  while (!g_atomic_int_get (&s->should_stop))
    {
      event_base_loopexit (s->base, &pause);
      event_base_dispatch (s->base);
    }
  return NULL;
}

static void
start_server (struct http_server *s, const char *body)
{
  struct sockaddr_in address;
  ev_socklen_t length = sizeof address;

  *s = (struct http_server){ .base = event_base_new (), .body = body };
  s->http = evhttp_new (s->base);
  evhttp_set_gencb (s->http, send_body, s);
  struct evhttp_bound_socket *b
      = evhttp_bind_socket_with_handle (s->http, "127.0.0.1", 0);
  ck_assert_ptr_nonnull (b);
  getsockname (evhttp_bound_socket_get_fd (b), (struct sockaddr *)&address,
               &length);
  s->port = ntohs (address.sin_port);
  s->thread = g_thread_new ("server", run_event_loop, s);
}

static void
stop_server (struct http_server *s)
{
  g_atomic_int_set (&s->should_stop, 1);
  g_thread_join (s->thread);
  evhttp_free (s->http);
  event_base_free (s->base);
}

#define STATUS(vm, base, healthy)                                             \
  "{\"vm\": \"" vm "\", \"data_centre\": \"mde\", \"state\": \"active\", "    \
  "\"ready\": true, \"versions\": {\"base\": " base ", \"overlay\": 1, "      \
  "\"vms\": 2}, \"version_age_us\": 9000000, \"generation\": 1, "             \
  "\"phase\": \"settled\", \"flows\": 10, \"flow_capacity\": 100, "           \
  "\"peers\": [{\"vm\": \"e9\", \"suspected\": true, \"versions\": [1, 1, "   \
  "2]}], \"servers\": [{\"service\": \"ledger\", \"server\": \"l1\", "        \
  "\"listed\": true, \"healthy\": " healthy "}], \"counters\": {\"packets\":" \
  " 7}, \"attention\": [\"peer e9 lost\"]}"

static const char *const status_parts[] = {
  "balancer vm=e1 data_centre=mde state=active ready=true versions=7/1/2",
  "peer vm=e1 peer=e9 suspected=true versions=1/1/2",
  "server vm=e2 service=ledger server=l1 listed=true healthy=false",
  "counters vm=e2 packets=7",
  "attention e1: peer e9 lost",
  "attention e1 has base version 7 and e2 has 8, for 9 s",
  "attention balancers disagree on whether ledger/l1 is healthy",
};

/* Guards against a difference between balancers that stays hidden because no
   single balancer can report it.  */
START_TEST (status_compares)
{
  struct http_server a;
  struct http_server b;
  char *out = NULL;

  start_server (&a, STATUS ("e1", "7", "true"));
  start_server (&b, STATUS ("e2", "8", "false"));
  g_autofree char *arguments
      = g_strdup_printf ("status 127.0.0.1:%d 127.0.0.1:%d", a.port, b.port);
  ck_assert_int_eq (run (arguments, &out), 0);
  for (size_t i = 0; i < G_N_ELEMENTS (status_parts); i++)
    ck_assert_msg (strstr (out, status_parts[i]) != NULL, "no %s in %s",
                   status_parts[i], out);
  g_free (out);
  stop_server (&a);
  stop_server (&b);
}
END_TEST

/* Guards against an invalid response that is shown as a balancer without
   state.  */
START_TEST (status_refuses_garbage)
{
  struct http_server a;
  char *out = NULL;

  start_server (&a, "<html>");
  g_autofree char *arguments = g_strdup_printf ("status 127.0.0.1:%d", a.port);
  ck_assert_int_eq (run (arguments, &out), 5);
  g_free (out);
  stop_server (&a);
}
END_TEST

#define EVENT(vm, seq, time, event, peer)                                     \
  "{\"time_us\":" time ",\"mono_us\":" time ",\"vm\":\"" vm                   \
  "\",\"level\":\"info\",\"event\":\"" event "\",\"seq\":" seq                \
  ",\"versions\":[1,1,1],\"peer\":\"" peer "\",\"server\":\"l" seq            \
  "\",\"flow\":\"f" seq "\"}\n"

static const char e1_log[] = EVENT ("e1", "1", "1000000", "start", "")
    EVENT ("e1", "2", "9000000", "leaving", "")
        EVENT ("e1", "4", "8000000", "stop", "");
static const char e2_log[] = EVENT ("e2", "1", "8900000", "peer_leaving", "e1")
    EVENT ("e2", "2", "9200000", "stop", "")
        EVENT ("e2", "1", "9300000", "start", "");

struct order
{
  const char *options;
  const char *lines[6]; /* parts of the output, in this order */
};

static const struct order orders[] = {
  /* An effect follows its cause, and seq takes precedence over a clock that
     was set back.  */
  { "",
    { "clock of e2 corrected by +0.100000 s", "e1           info  start",
      "e1           info  leaving", "e1: 1 events are missing",
      "e1           info  stop", "e2           info  peer_leaving" } },
  { "",
    { "e2           info  peer_leaving", "e2           info  stop",
      "e2           info  start" } },
  { "--max-correction 0",
    { "e2           info  peer_leaving", "e1           info  leaving" } },
  { "--vm e1 --since 2",
    { "e1           info  leaving", "e2           info  peer_leaving" } },
  { "--flow f4", { "e1           info  stop             server=l4 flow=f4" } },
};

/* Guards against a time line that shows an effect before its cause, mixes up
   the events of one process, or has an event twice because two sources contain
   it.  */
START_TEST (timeline_orders)
{
  const struct order *o = &orders[_i];
  /* Has the same events as the file of e1, and is read too.  */
  struct http_server duplicate_source;
  char *out = NULL;

  g_autofree char *directory = g_dir_make_tmp ("timeline-XXXXXX", NULL);
  g_autofree char *a = g_build_filename (directory, "a.log", NULL);
  g_autofree char *b = g_build_filename (directory, "b.log", NULL);
  ck_assert (g_file_set_contents (a, e1_log, -1, NULL));
  ck_assert (g_file_set_contents (b, e2_log, -1, NULL));
  start_server (&duplicate_source, e1_log);
  g_autofree char *arguments = g_strdup_printf (
      "timeline %s %s 127.0.0.1:%d%s%s", a, b, duplicate_source.port,
      *o->options ? " " : "", o->options);
  ck_assert_int_eq (run (arguments, &out), 0);
  const char *at = out;
  g_auto (GStrv) starts = g_strsplit (out, "e1           info  start", -1);
  ck_assert_uint_le (g_strv_length (starts), 2);
  for (size_t i = 0; i < G_N_ELEMENTS (o->lines) && o->lines[i]; i++)
    {
      at = strstr (at, o->lines[i]);
      ck_assert_msg (at != NULL, "no %s in %s", o->lines[i], out);
    }
  g_free (out);
  stop_server (&duplicate_source);
  g_unlink (a);
  g_unlink (b);
  g_rmdir (directory);
}
END_TEST

enum
{
  VMS = 5,
  EVENTS = 200 /* per VM */
};

/* Writes two sources that overlap: one with the first 2/3 of the events, one
   with the last 2/3.  */
static void
write_sources (char *const paths[2], GRand *random)
{
  GString *parts[2] = { g_string_new (""), g_string_new ("") };

  for (int i = 0; i < VMS * EVENTS; i++)
    {
      int vm = i / EVENTS;
      int seq = i % EVENTS + 1;
      int time = g_rand_int_range (random, 1, 100000000);
      for (int p = 0; p < 2; p++)
        if (p ? seq > EVENTS / 3 : seq < EVENTS * 2 / 3)
          g_string_append_printf (
              parts[p],
              "{\"time_us\":%d,\"mono_us\":%d,\"vm\":\"%d\",\"event\":"
              "\"%s\",\"peer\":\"%d\",\"seq\":%d}\n",
              time, seq, vm, seq % 7 ? "peer_leaving" : "leaving",
              (vm + seq) % VMS, seq);
    }
  for (int p = 0; p < 2; p++)
    {
      ck_assert (g_file_set_contents (paths[p], parts[p]->str, -1, NULL));
      g_string_free (parts[p], TRUE);
    }
}

/* Guards against an order within a process that depends on its clock, which
   jumps forwards and backwards here, and against events that are lost or
   doubled where two sources overlap.  */
START_TEST (seq_order_holds)
{
  GRand *random = g_rand_new_with_seed ((guint32)_i);
  g_autofree char *directory = g_dir_make_tmp ("timeline-XXXXXX", NULL);
  char *paths[2] = { g_build_filename (directory, "0.log", NULL),
                     g_build_filename (directory, "1.log", NULL) };
  char *out = NULL;
  int last[VMS] = { 0 };

  write_sources (paths, random);
  g_autofree char *arguments
      = g_strdup_printf ("timeline --json %s %s", paths[0], paths[1]);
  ck_assert_int_eq (run (arguments, &out), 0);
  g_auto (GStrv) lines = g_strsplit (out, "\n", -1);
  for (char **l = lines; **l; l++)
    {
      json_object *o = json_tokener_parse (*l);
      int vm = json_object_get_int (json_object_object_get (o, "vm"));
      int seq = json_object_get_int (json_object_object_get (o, "seq"));
      ck_assert_int_eq (seq, ++last[vm]);
      json_object_put (o);
    }
  for (int vm = 0; vm < VMS; vm++)
    ck_assert_int_eq (last[vm], EVENTS);
  g_unlink (paths[0]);
  g_unlink (paths[1]);
  g_rmdir (directory);
  g_free (paths[0]);
  g_free (paths[1]);
  g_free (out);
  g_rand_free (random);
}
END_TEST

static void
count_circle (GMarkupParseContext *context, const char *name,
              const char **attributes, const char **values, gpointer data,
              GError **error)
{
  (void)context;
  (void)attributes;
  (void)values;
  (void)error;
  *(int *)data += !strcmp (name, "circle");
}

/* Guards against an SVG image that browsers reject because the name of an
   event was not escaped, and against an image without some of the events.  */
START_TEST (picture_is_well_formed)
{
  static const GMarkupParser parser = { .start_element = count_circle };
  g_autofree char *directory = g_dir_make_tmp ("timeline-XXXXXX", NULL);
  g_autofree char *log = g_build_filename (directory, "a.log", NULL);
  g_autofree char *svg = g_build_filename (directory, "a.svg", NULL);
  g_autofree char *text = NULL;
  char *out = NULL;
  int circles = 0;
  gsize length = 0;

  ck_assert (g_file_set_contents (log,
                                  EVENT ("<e&1>", "1", "1000000", "a<b", "")
                                      EVENT ("e2", "1", "1", "c", ""),
                                  -1, NULL));
  g_autofree char *arguments
      = g_strdup_printf ("timeline %s --svg %s", log, svg);
  ck_assert_int_eq (run (arguments, &out), 0);
  ck_assert (g_file_get_contents (svg, &text, &length, NULL));
  GMarkupParseContext *c
      = g_markup_parse_context_new (&parser, 0, &circles, NULL);
  ck_assert (g_markup_parse_context_parse (c, text, (gssize)length, NULL));
  ck_assert (g_markup_parse_context_end_parse (c, NULL));
  ck_assert_int_eq (circles, 2);
  g_markup_parse_context_free (c);
  g_unlink (log);
  g_unlink (svg);
  g_rmdir (directory);
  g_free (out);
}
END_TEST

int
main (int argc, char **argv)
{
  g_autofree char *own = g_path_get_dirname (argv[0]);
  Suite *s = suite_create ("timeline");
  TCase *t = tcase_create ("sources");

  (void)argc;
  program = g_strconcat (own, "/../bin/bbctl", NULL);
  tcase_add_test (t, status_compares);
  tcase_add_test (t, status_refuses_garbage);
  tcase_add_loop_test (t, timeline_orders, 0, G_N_ELEMENTS (orders));
  tcase_add_test (t, picture_is_well_formed);
  tcase_add_loop_test (t, seq_order_holds, 0, 20);
  suite_add_tcase (s, t);
  int status = run_suite (s);
  g_free (program);
  return status;
}
