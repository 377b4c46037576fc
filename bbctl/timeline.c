#include "bbctl/timeline.h"
#include <errno.h>
#include <stdio.h>
#include <string.h>

/* Default limit of a clock correction.  NTP keeps clocks within milliseconds,
   and a larger error of a clock should remain visible.  */
#define CORRECTION_MS_DEFAULT 2000
#define EVENTS_TIMEOUT_MS 3000

static gboolean json;
static char *flow;
static char *server;
static char *vm;
static char *since;
static char *until;
static char *svg;
static int correction_ms = CORRECTION_MS_DEFAULT;

static const GOptionEntry entries[] = {
  { "flow", 0, 0, G_OPTION_ARG_STRING, &flow, "only this flow", "HASH" },
  { "server", 0, 0, G_OPTION_ARG_STRING, &server, "only this server", "NAME" },
  { "vm", 0, 0, G_OPTION_ARG_STRING, &vm,
    "only events of this balancer or about it", "NAME" },
  { "since", 0, 0, G_OPTION_ARG_STRING, &since,
    "from this time: ISO 8601 or seconds since 1970", "TIME" },
  { "until", 0, 0, G_OPTION_ARG_STRING, &until, "to this time", "TIME" },
  { "svg", 0, 0, G_OPTION_ARG_FILENAME, &svg, "also write an SVG image",
    "FILE" },
  { "max-correction", 0, 0, G_OPTION_ARG_INT, &correction_ms,
    "limit of the correction of a clock, 2000 by default; 0: no correction",
    "MS" },
  { "json", 0, 0, G_OPTION_ARG_NONE, &json, "print JSON lines", NULL },
  G_OPTION_ENTRY_NULL
};

static const struct bb_ctl_options options = {
  .entries = entries,
  .usage = "FILE|ADDRESS:PORT...",
  .summary = "Merges the events of balancers, from log files or GET /events, "
             "into one time line.",
  .description = "Order: by wall clock time (time_us). Events of one process "
                 "are always in the order of\n"
                 "their numbers (seq), even if its clock was set back. Where "
                 "clocks differ, a balancer\n"
                 "that records peer_leaving before the peer records leaving "
                 "has its events moved to\n"
                 "later times, by no more than needed and at most "
                 "--max-correction. Corrections are\n"
                 "printed, and so are gaps in seq, which show events that "
                 "were lost or suppressed.\n"
                 "Events of different balancers that are closer than a "
                 "heartbeat (0.5 s) may have\n"
                 "happened in either order.\n\n"
                 "Exit status: 0 all sources were read; 4 a file cannot be "
                 "read or written; 6 a balancer\n"
                 "did not respond.",
  .min_arguments = 1,
  .max_arguments = -1,
};

static bool
parse_time (const char *text, int64_t default_us, int64_t *us)
{
  char *end = NULL;

  *us = default_us;
  if (!text)
    return true;
  double seconds = g_ascii_strtod (text, &end);
  if (end != text && *end == '\0')
    {
      *us = (int64_t)(seconds * 1e6);
      return true;
    }
  g_autoptr (GTimeZone) utc = g_time_zone_new_utc ();
  g_autoptr (GDateTime) time = g_date_time_new_from_iso8601 (text, utc);
  if (!time)
    {
      fprintf (stderr,
               "bbctl timeline: %s is not a time; expected "
               "2026-01-31T12:00:00Z or seconds since 1970\n",
               text);
      return false;
    }
  *us = g_date_time_to_unix (time) * G_USEC_PER_SEC
        + g_date_time_get_microsecond (time);
  return true;
}

int
bb_ctl_timeline_read_source (struct bb_ctl_timeline *t, char *source)
{
  struct bb_endpoint e;
  enum bb_error_kind kind = BB_ERROR_IO;
  g_autofree char *text = NULL;
  g_autofree char *reason = NULL;
  GError *error = NULL;

  if (bb_ctl_parse_endpoint (source, &e))
    {
      struct bb_ctl_response *a
          = bb_ctl_http_get (&source, 1, "/events", EVENTS_TIMEOUT_MS);
      text = g_strdup (a->body);
      reason = g_strdup (a->error);
      kind = BB_ERROR_TIMEOUT;
      bb_ctl_responses_free (a, 1);
    }
  else if (!g_file_get_contents (strcmp (source, "-") ? source : "/dev/stdin",
                                 &text, NULL, &error))
    {
      reason = g_strdup (error->message);
      g_clear_error (&error);
    }
  if (text)
    {
      bb_ctl_timeline_add_lines (t, text);
      return 0;
    }
  fprintf (stderr, "%s: %s: %s\n", g_get_prgname (), source, reason);
  return bb_error_handling (kind)->exit_status;
}

struct bb_ctl_timeline *
bb_ctl_timeline_load_sources (char **sources, int64_t limit_us, int *status)
{
  struct bb_ctl_timeline *t = bb_ctl_timeline_new ();
  *status = 0;
  for (; *sources; sources++)
    {
      int s = bb_ctl_timeline_read_source (t, *sources);
      *status = *status ? *status : s;
    }
  if (t->skipped_lines)
    fprintf (stderr, "%s: skipped %zu lines that are not events\n",
             g_get_prgname (), t->skipped_lines);
  bb_ctl_timeline_sort (t, limit_us);
  return t;
}

static bool
matches_filters (const struct bb_ctl_event *e, int64_t from, int64_t to)
{
  if (e->place_us < from || e->place_us > to)
    return false;
  if (flow && strcmp (bb_ctl_json_string (e->line, "flow"), flow) != 0)
    return false;
  if (server && strcmp (bb_ctl_json_string (e->line, "server"), server) != 0)
    return false;
  return !vm || !strcmp (e->run->vm, vm)
         || !strcmp (bb_ctl_json_string (e->line, "peer"), vm);
}

static char *
format_time (int64_t us)
{
  g_autoptr (GDateTime) time
      = g_date_time_new_from_unix_utc (us / G_USEC_PER_SEC);
  g_autofree char *text
      = time ? g_date_time_format (time, "%Y-%m-%dT%H:%M:%S") : g_strdup ("");

  return g_strdup_printf ("%s.%06dZ", text, (int)(us % G_USEC_PER_SEC));
}

static void
print_event (const struct bb_ctl_event *e)
{
  static const char *const members[]
      = { "peer", "service", "server", "flow", "value", "suppressed", "text" };
  g_autofree char *time = format_time (e->place_us);

  if (json)
    {
      json_object_object_add (e->line, "place_us",
                              json_object_new_int64 (e->place_us));
      puts (json_object_to_json_string_ext (e->line, JSON_C_TO_STRING_PLAIN));
      return;
    }
  printf ("%s %-12s %-5s %-16s", time, e->run->vm,
          bb_ctl_json_string (e->line, "level"),
          bb_ctl_json_string (e->line, "event"));
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      const char *text = bb_ctl_json_string (e->line, members[i]);
      if (*text && strcmp (text, "0") != 0)
        printf (" %s=%s", members[i], text);
    }
  const char *versions = bb_ctl_json_string (e->line, "versions");
  printf ("%s%s\n", *versions ? " versions=" : "", versions);
}

static void
print_gap (const struct bb_ctl_event *e)
{
  if (!json && e->missing_before > 0)
    printf ("-- %s: %" G_GINT64_FORMAT " events are missing here\n",
            e->run->vm, e->missing_before);
}

static void
print_corrections (const struct bb_ctl_timeline *t)
{
  GHashTableIter iter;
  gpointer name;

  g_hash_table_iter_init (&iter, t->corrections);
  while (!json && g_hash_table_iter_next (&iter, &name, NULL))
    if (bb_ctl_timeline_get_correction (t, name) > 0)
      printf ("-- clock of %s corrected by +%.6f s\n", (char *)name,
              (double)bb_ctl_timeline_get_correction (t, name) / 1e6);
}

static int
print_timeline (struct bb_ctl_timeline *t, int64_t from, int64_t to)
{
  GPtrArray *shown = g_ptr_array_new ();
  bool is_filtered = flow || server || vm;
  int status = 0;

  print_corrections (t);
  for (guint i = 0; i < t->sorted->len; i++)
    if (matches_filters (t->sorted->pdata[i], from, to))
      {
        g_ptr_array_add (shown, t->sorted->pdata[i]);
        if (!is_filtered)
          print_gap (t->sorted->pdata[i]);
        print_event (t->sorted->pdata[i]);
      }
  if (svg && !bb_ctl_timeline_draw (shown, svg))
    {
      fprintf (stderr, "bbctl timeline: %s: %s\n", svg, g_strerror (errno));
      status = bb_error_handling (BB_ERROR_IO)->exit_status;
    }
  g_ptr_array_unref (shown);
  return status;
}

int
bb_ctl_run_timeline (int argc, char **argv)
{
  int64_t from;
  int64_t to;
  int status;

  if (!bb_ctl_parse_options (&options, &argc, &argv)
      || !parse_time (since, INT64_MIN, &from)
      || !parse_time (until, INT64_MAX, &to))
    return BB_CTL_EXIT_USAGE;
  struct bb_ctl_timeline *t = bb_ctl_timeline_load_sources (
      argv + 1, (int64_t)MAX (correction_ms, 0) * 1000, &status);
  int s = print_timeline (t, from, to);
  bb_ctl_timeline_free (t);
  return status ? status : s;
}
