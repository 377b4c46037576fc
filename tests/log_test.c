/* Tests the log as the reader of standard output receives it.  */

#include "runtime/events.h"
#include "runtime/log.h"
#include "tests/suite.h"
#include <fcntl.h>
#include <json-c/json.h>
#include <string.h>
#include <unistd.h>

enum
{
  CAPACITY = 256,
  BYTES_MAX = 1 << 20,
};

static const struct bb_vm self
    = { .name = "kigali-1", .id = 5, .data_centre = "kigali" };

static struct
{
  int pipe[2];
  int standard_output;
  struct bb_names *names;
  struct bb_log *log;
  struct bb_events *events;
} t;

static void
setup (void)
{
  ck_assert_int_eq (pipe (t.pipe), 0);
  t.standard_output = dup (STDOUT_FILENO);
  ck_assert_int_ge (dup2 (t.pipe[1], STDOUT_FILENO), 0);
  fcntl (t.pipe[0], F_SETFL, O_NONBLOCK);
  t.names = bb_names_new ();
  t.log = bb_log_new (&self, t.names, "info");
  t.events = bb_events_new (CAPACITY);
}

static void
teardown (void)
{
  bb_log_free (t.log);
  bb_events_free (t.events);
  bb_names_free (t.names);
  dup2 (t.standard_output, STDOUT_FILENO);
  close (t.standard_output);
  close (t.pipe[0]);
  close (t.pipe[1]);
}

/* Adds events one second apart, so that none exceeds the rate limit.  */
static void
add_events (unsigned count)
{
  for (unsigned i = 1; i <= count; i++)
    {
      struct bb_event event = { .kind = BB_EVENT_VERSION, .value = i };
      bb_events_add (t.events, &event, i * BB_SEC, i * BB_SEC);
    }
}

/* Returns the number of lines in the pipe; each must be a complete JSON
   object.  */
static unsigned
read_lines (void)
{
  char *text = g_malloc (BYTES_MAX);
  size_t used = 0;
  ssize_t got;
  while ((got = read (t.pipe[0], text + used, BYTES_MAX - used - 1)) > 0)
    used += (size_t)got;
  text[used] = 0;
  unsigned count = 0;
  gchar **lines = g_strsplit (text, "\n", -1);
  for (gchar **line = lines; *line && **line; line++)
    {
      struct json_object *object = json_tokener_parse (*line);
      ck_assert_msg (object, "not a JSON object: %s", *line);
      json_object_put (object);
      count++;
    }
  g_strfreev (lines);
  g_free (text);
  return count;
}

static const struct
{
  const char *guards;
  unsigned events;
} cases[] = {
  { "no events", 0 },
  { "one line", 1 },
  { "lines that fit into one write", 8 },
  { "lines for several writes", 100 },
};

/* Guards against lines that are truncated, duplicated or delayed when several
   are written together.  */
START_TEST (lines_are_whole)
{
  add_events (cases[_i].events);
  bb_log_flush (t.log, t.events);
  ck_assert_uint_eq (read_lines (), cases[_i].events);
  bb_log_flush (t.log, t.events);
  ck_assert_uint_eq (read_lines (), 0);
  ck_assert_uint_eq (bb_log_lost_lines (t.log), 0);
}
END_TEST

/* Guards against a balancer that stops because nothing reads its log, and
   against lost lines that are not counted.  */
START_TEST (full_pipe_loses_and_counts)
{
  char byte = '\n';
  fcntl (t.pipe[1], F_SETFL, O_NONBLOCK);
  while (write (t.pipe[1], &byte, 1) == 1)
    ;
  fcntl (t.pipe[1], F_SETFL, 0);
  add_events (30);
  bb_log_flush (t.log, t.events);
  ck_assert_uint_eq (bb_log_lost_lines (t.log), 30);
  bb_log_write_text (t.log, BB_LOG_WARN, "text", "one more");
  ck_assert_uint_eq (bb_log_lost_lines (t.log), 31);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("log");
  TCase *tc = tcase_create ("lines");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, lines_are_whole, 0, G_N_ELEMENTS (cases));
  tcase_add_test (tc, full_pipe_loses_and_counts);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
