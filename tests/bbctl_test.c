#include "config/config.h"
#include "core/engine.h"
#include "tests/suite.h"
#include <glib/gstdio.h>
#include <netinet/in.h>
#include <string.h>

#define BASE "examples/umunyu/base.json"
#define RESTREPO "examples/restrepo/base.json"
#define MEDELLIN "examples/restrepo/overlay-medellin.json"
#define KIGALI "examples/umunyu/overlay-kigali.json"
#define VMS "examples/umunyu/vms.json"

static char *program;
static char *directory; /* for the files that a test creates */

/* Runs bbctl with ARGUMENTS, which are separated by spaces; @ stands for the
   directory.  Returns the exit status.  *OUT is standard output followed by
   standard error.  */
static int
run (const char *arguments, char **out)
{
  g_autofree char *line = g_strdup_printf ("%s %s", program, arguments);
  g_auto (GStrv) pieces = g_strsplit (line, "@", -1);
  g_autofree char *whole = g_strjoinv (directory, pieces);
  g_auto (GStrv) argv = g_strsplit (whole, " ", -1);
  g_autofree char *normal = NULL;
  g_autofree char *errors = NULL;
  int status = 0;

  ck_assert (g_spawn_sync (NULL, argv, NULL, G_SPAWN_DEFAULT, NULL, NULL,
                           &normal, &errors, &status, NULL));
  ck_assert_msg (WIFEXITED (status), "%s: %s", arguments, errors);
  *out = g_strconcat (normal, errors, NULL);
  return WEXITSTATUS (status);
}

/* Writes the example base, with OLD replaced by NEW, to the file NAME.  */
static void
write_base (const char *name, const char *old, const char *new)
{
  g_autofree char *path = g_build_filename (directory, name, NULL);
  g_autofree char *text = NULL;

  ck_assert (g_file_get_contents (BASE, &text, NULL, NULL));
  g_auto (GStrv) pieces = g_strsplit (text, old, 2);
  ck_assert_uint_eq (g_strv_length (pieces), 2);
  g_autofree char *edited = g_strjoinv (new, pieces);
  ck_assert (g_file_set_contents (path, edited, -1, NULL));
}

/* Writes a log with a flow that was placed and reset, a truncated line, and
   the removal of the server as recorded by another balancer.  The identifier
   of the flow is that of 100.64.0.7:40001 to 198.18.0.1:443.  */
static void
write_log (void)
{
  struct bb_packet packet = { .source = 0x64400007,
                              .source_port = 40001,
                              .destination = 0xc6120001,
                              .destination_port = 443,
                              .protocol = IPPROTO_TCP };
  guint64 id = bb_flow_hash (&packet, 0);
  g_autofree char *path = g_build_filename (directory, "log", NULL);
  g_autofree char *text = g_strdup_printf (
      "{\"time_us\":1000000,\"mono_us\":1,\"vm\":\"a\",\"event\":"
      "\"flow_placed\",\"seq\":1,\"server\":\"i-1\",\"flow\":\"%"
      "016" G_GINT64_MODIFIER "x\",\"reason\":\"own_data_centre\"}\n"
      "{\"time_us\":10\n"
      "{\"time_us\":2000000,\"mono_us\":2,\"vm\":\"a\",\"event\":"
      "\"flow_reset\",\"seq\":2,\"server\":\"i-1\",\"flow\":\"%"
      "016" G_GINT64_MODIFIER "x\",\"reason\":\"server_gone\"}\n"
      "{\"time_us\":2100000,\"mono_us\":3,\"vm\":\"b\",\"event\":"
      "\"server_gone\",\"seq\":1,\"server\":\"i-1\",\"reason\":"
      "\"store\",\"age_us\":250000}\n",
      id, id);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
}

static void
write_evacuation (const char *name, const char *data_centre,
                  const char *evacuated)
{
  g_autofree char *path = g_build_filename (directory, name, NULL);
  g_autofree char *text = g_strdup_printf (
      "{\"version\": 2, \"data_centre\": \"%s\", \"evacuated\": %s}",
      data_centre, evacuated);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
}

static void
make_directory (void)
{
  directory = g_dir_make_tmp ("bbctl-XXXXXX", NULL);
  ck_assert_ptr_nonnull (directory);
  write_base ("same.json", "hash_seed", "hash_seed");
  write_base ("other.json", "\"slots\": 3", "\"slots\": 4");
  write_base ("drain.json", "\"version\": 1,\n  \"hash_seed\": 31063",
              "\"version\": 2,\n  \"hash_seed\": 31063");
  write_base ("bad.json", "\"policy\": \"even\"", "\"policy\": \"odd\"");
  write_log ();
  write_base ("seed.json", "\"version\": 1,\n  \"hash_seed\": 31063",
              "\"version\": 2,\n  \"hash_seed\": 31064");
  g_autofree char *vms = g_build_filename (directory, "vms.json", NULL);
  ck_assert (g_file_set_contents (
      vms,
      "{\"version\": 1, \"vms\": [{\"name\": \"a\", \"data_centre\": "
      "\"kigali\", \"address\": \"10.40.0.1\"}, {\"name\": \"b\", "
      "\"data_centre\": \"huye\", \"address\": \"10.30.1.2\"}]}",
      -1, NULL));
  g_autofree char *overlay = g_build_filename (directory, "o.json", NULL);
  ck_assert (g_file_set_contents (
      overlay,
      "{\"version\": 2, \"data_centre\": \"kigali\", \"services\": "
      "{\"ledger\":"
      "{\"servers\": {\"ledger-03\": {\"drain\": true},"
      "\"ledger-04\": {\"weight\": 50}, \"ledger-05\": null, \"ledger-15\": "
      "{\"address\": \"10.30.200.80\", \"gue_port\": 6080}}}}}",
      -1, NULL));
  write_evacuation ("evacuated.json", "medellin", "true");
  write_evacuation ("both.json", "rionegro", "true");
  write_evacuation ("wrong.json", "medellin", "\"yes\"");
}

static void
remove_directory (void)
{
  GDir *d = g_dir_open (directory, 0, NULL);
  const char *name;

  while ((name = g_dir_read_name (d)))
    {
      g_autofree char *path = g_build_filename (directory, name, NULL);
      g_unlink (path);
    }
  g_dir_close (d);
  g_rmdir (directory);
  g_free (directory);
}

struct command
{
  const char *arguments;
  int status;
  const char *expected_part; /* must be in the output */
};

static const struct command commands[] = {
  { "", 1, "Usage: bbctl COMMAND" },
  { "--help", 0, "timeline" },
  { "chekc", 1, "unknown command chekc" },
  { "check", 1, "BASE [OVERLAY...]" },
  { "check --help", 0, "Exit status" },
  { "check --nonsense", 1, "--nonsense" },
  { "check " BASE " " KIGALI " --vms " VMS, 0, "7 servers: valid" },
  { "check " BASE " --vms @/vms.json", 0, "kigali: one live entry VM" },
  { "check " BASE " --vms @/vms.json", 0, "muhanga: no live entry VM" },
  { "check " BASE " --vms @/vms.json", 0, "10.40.0.1:6080, which no entry" },
  { "check " BASE " --vms @/vms.json", 0, "huye, which is not declared" },
  { "check @/absent.json", 4, "absent.json" },
  { "check @/bad.json", 2, "bad.json:" },
  { "check @/bad.json --json", 2, "\"kind\": \"range\"" },
  { "check " BASE " " KIGALI " " KIGALI, 2, "has another overlay" },
  { "check " BASE " " KIGALI " " VMS, 2, "unknown key" },
  { "render " BASE, 1, "which data centre" },
  { "render " BASE " -d bogota", 2, "does not exist" },
  { "render " BASE " -d muhanga", 0, "\"10.30.2.0/24\"" },
  { "render " BASE " @/o.json", 0, "\"drain\": true" },
  { "diff " BASE " @/same.json", 0, "no change" },
  { "diff " BASE " @/other.json", 3, "refuse" },
  { "diff @/drain.json " BASE, 3, "ignore" },
  { "diff " BASE " @/bad.json", 2, "expected one of" },
  { "diff " BASE " @/seed.json", 0, "hash_seed changed" },
  { "diff " BASE " @/drain.json --overlay @/o.json --old-overlay " KIGALI, 0,
    "ledger/ledger-03: drained" },
  { "diff " BASE " @/drain.json --overlay @/o.json --old-overlay " KIGALI, 0,
    "ledger/ledger-04: weight from 100 to 50" },
  { "diff " BASE " @/drain.json --overlay @/o.json --old-overlay " KIGALI, 0,
    "ledger/ledger-05: removed" },
  { "diff " BASE " @/drain.json --overlay @/o.json --old-overlay " KIGALI, 0,
    "ledger/ledger-15: added at 10.30.200.80:6080" },
  { "diff " BASE " " BASE " --overlay " KIGALI " --old-overlay @/o.json", 3,
    "overlay-kigali.json:4: error: /version: 1; expected at least 3" },
  { "check " RESTREPO " @/evacuated.json", 0, "medellin: base 1, overlay 2" },
  { "check " RESTREPO " @/evacuated.json @/both.json", 0,
    "both.json:1: warning: /evacuated: medellin is evacuated, too" },
  { "check " RESTREPO " @/wrong.json", 2,
    "wrong.json:1: error: /evacuated: \"yes\"; expected true or false" },
  { "render " RESTREPO " @/evacuated.json", 0, "\"evacuated\": true" },
  { "diff " RESTREPO " " RESTREPO
    " --overlay @/evacuated.json --old-overlay " MEDELLIN,
    0, "data centre evacuated: its servers get no new flows" },
  { "diff " RESTREPO " " RESTREPO
    " --overlay @/evacuated.json --old-overlay " MEDELLIN,
    0, "order-desk/order-desk-01: drained" },
  { "diff " RESTREPO " " RESTREPO
    " --overlay @/evacuated.json --old-overlay " MEDELLIN,
    0, "order-desk/order-desk-05: added at" },
  { "place 10.0.0.1:1 10.30.255.1:7101 " BASE " -d kigali", 0, "bucket" },
  { "place 10.0.0.1:1 10.30.255.1:7109 " BASE " -d kigali", 7, "no service" },
  { "place 10.0.0.1:1 10.30.255.1:7101 " BASE " -d kigali -p udp", 7, "udp" },
  { "place 10.0.0.5:4000 10.30.255.1:7101 " BASE " @/o.json", 0,
    "ledger-03 for bucket 833, but it drains" },
  { "place 10.0.0.1 10.30.255.1:7101 " BASE, 1, "ADDRESS:PORT" },
  { "status 127.0.0.1:1", 6, "does not respond" },
  { "status elsewhere", 6, "expected ADDRESS:PORT" },
  { "timeline @/absent.log", 4, "absent.log" },
  { "explain 100.64.0.7:40001 198.18.0.1:443 @/log", 0,
    "reset: the server had left" },
  { "explain 100.64.0.7:40001 198.18.0.1:443 @/log", 0,
    "knowledge_age=0.250s" },
  { "explain 100.64.0.7:40001 198.18.0.1:443 @/log", 0, "skipped 1 lines" },
  { "explain --flow 0123456789abcdef @/log", 7, "no event names this flow" },
  { "explain here there @/log", 1, "expected CALLER and SERVICE" },
  { "explain --flow 01 @/absent.log", 4, "absent.log" },
  { "timeline --since noon @/o.json", 1, "is not a time" },
  { "report @/log", 0, "1 flow_reset server_gone" },
  { "report @/log", 0, "flows placed, by service and server" },
  { "report @/log", 0, "skipped 1 lines" },
  { "report --interval 0 @/log", 1, "at least 0.001 s" },
  { "report --interval 0.001 @/log", 0, "from s" },
  { "report --svg @/no/file.svg @/log", 4, "No such file" },
  { "report @/absent.log", 4, "absent.log" },
};

/* Guards against a wrong exit status, which scripts rely on, and against a
   message that does not say what is wrong.  */
START_TEST (command_answers)
{
  const struct command *c = &commands[_i];
  char *out = NULL;

  ck_assert_int_eq (run (c->arguments, &out), c->status);
  ck_assert_msg (strstr (out, c->expected_part) != NULL, "%s: %s",
                 c->arguments, out);
  g_free (out);
}
END_TEST

/* Guards against a reference page that differs from the parser.  After a
   change of the keys run "build/bin/bbctl keys > docs/settings.md".  */
START_TEST (reference_is_current)
{
  char *out = NULL;
  char *page = NULL;

  ck_assert_int_eq (run ("keys", &out), 0);
  ck_assert (g_file_get_contents ("docs/settings.md", &page, NULL, NULL));
  ck_assert_str_eq (out, page);
  g_free (out);
  g_free (page);
}
END_TEST

static struct bb_fleet *
load_fleet (void)
{
  GPtrArray *problems = bb_problems_new ();
  char *text = NULL;
  gsize length = 0;

  ck_assert (g_file_get_contents (BASE, &text, &length, NULL));
  struct bb_config_document *d
      = bb_config_parse (BASE, (const uint8_t *)text, length, problems);
  struct bb_fleet *f = bb_config_merge (d, NULL, "kigali", problems);
  ck_assert_ptr_nonnull (f);
  bb_config_document_free (d);
  g_ptr_array_unref (problems);
  g_free (text);
  return f;
}

/* The messages and events of the engine are not checked here.  */
static void
ignore_message (void *context, const struct bb_vm *to,
                const struct bb_message *message)
{
  (void)context;
  (void)to;
  (void)message;
}

static void
ignore_event (void *context, const struct bb_event *event)
{
  (void)context;
  (void)event;
}

/* Guards against bbctl place naming a server other than the one balancers
   choose.  */
START_TEST (place_agrees_with_engine)
{
  struct bb_sink sink = { .message = ignore_message, .event = ignore_event };
  struct bb_engine_options options
      = { .self = { .name = "e1", .id = bb_name_key ("e1") },
          .flow_capacity = 1024,
          .push_bytes = 1024,
          .seed = 1 };
  struct bb_engine *e = bb_engine_new (&options, &sink, NULL, 0);
  struct bb_fleet *f = load_fleet ();

  ck_assert (bb_engine_set_fleet (e, f, 0));
  for (uint16_t port = 1; port <= 20; port++)
    {
      struct bb_packet packet = { .source = 0x0a000001,
                                  .source_port = port,
                                  .destination = 0x0a1eff01,
                                  .destination_port = 7101,
                                  .protocol = IPPROTO_TCP };
      struct bb_explanation x;
      char *out = NULL;
      ck_assert (bb_engine_explain (e, &packet, &x));
      g_autofree char *arguments = g_strdup_printf (
          "place 10.0.0.1:%u 10.30.255.1:7101 " BASE " -d kigali", port);
      ck_assert_int_eq (run (arguments, &out), 0);
      const struct bb_service *s = &f->services[0];
      const char *name = NULL;
      for (size_t i = 0; i < s->server_count; i++)
        if (s->servers[i].key == x.desired_server)
          name = s->servers[i].name;
      ck_assert_ptr_nonnull (name);
      g_autofree char *expected = g_strdup_printf (
          "bucket   %u of 4093\nserver   %s at", x.bucket, name);
      ck_assert_msg (strstr (out, expected) != NULL, "%s in %s", expected,
                     out);
      g_free (out);
    }
  bb_fleet_free (f);
  bb_engine_free (e);
}
END_TEST

int
main (int argc, char **argv)
{
  g_autofree char *own = g_path_get_dirname (argv[0]);
  Suite *s = suite_create ("bbctl");
  TCase *t = tcase_create ("commands");

  (void)argc;
  program = g_strconcat (own, "/../bin/bbctl", NULL);
  tcase_add_checked_fixture (t, make_directory, remove_directory);
  tcase_add_loop_test (t, command_answers, 0, G_N_ELEMENTS (commands));
  tcase_add_test (t, reference_is_current);
  tcase_add_test (t, place_agrees_with_engine);
  suite_add_tcase (s, t);
  int status = run_suite (s);
  g_free (program);
  return status;
}
