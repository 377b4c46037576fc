#include "bbctl/report.h"
#include <errno.h>
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

enum
{
  CORRECTION_MS_MAX = 1000, /* limit of the clock correction per VM */
};

static double interval_s = 1;
static char *svg;

static const GOptionEntry entries[] = {
  { "interval", 'i', 0, G_OPTION_ARG_DOUBLE, &interval_s,
    "Length of an interval", "SECONDS" },
  { "svg", 's', 0, G_OPTION_ARG_FILENAME, &svg, "Also write an SVG image",
    "FILE" },
  G_OPTION_ENTRY_NULL,
};

static const struct bb_ctl_options options = {
  .entries = entries,
  .usage = "LOG...",
  .summary = "Summarises the events of balancers: flows placed, refused and "
             "reset over time, by\n"
             "reason and by server, and when versions came into force.  LOG "
             "is a file, - for standard\n"
             "input, or ADDRESS:PORT of a balancer.",
  .min_arguments = 1,
  .max_arguments = -1,
};

static void
print_intervals (const struct bb_ctl_report *r)
{
  printf ("%9s %9s %9s %9s %9s %9s\n", "from s", "placed", "refused", "reset",
          "suspects", "starts");
  for (guint i = 0; i < r->intervals->len; i++)
    {
      const struct bb_ctl_interval *at
          = &g_array_index (r->intervals, struct bb_ctl_interval, i);
      printf ("%9.1f %9" PRIu64 " %9" PRIu64 " %9" PRIu64 " %9" PRIu64
              " %9" PRIu64 "\n",
              (double)i * (double)r->interval_us / 1e6, at->placed,
              at->refused, at->reset, at->suspected, at->started);
    }
}

static gint
compare_by_count (gconstpointer a, gconstpointer b, gpointer table)
{
  const char *x = *(const char *const *)a, *y = *(const char *const *)b;
  gsize m = GPOINTER_TO_SIZE (g_hash_table_lookup (table, x));
  gsize n = GPOINTER_TO_SIZE (g_hash_table_lookup (table, y));
  return m != n ? (m < n ? 1 : -1) : strcmp (x, y);
}

static void
print_counts (const char *title, GHashTable *table)
{
  guint length;
  gpointer *keys = g_hash_table_get_keys_as_array (table, &length);
  g_qsort_with_data (keys, (gint)length, sizeof keys[0], compare_by_count,
                     table);
  printf ("\n%s\n", title);
  for (guint i = 0; i < length; i++)
    printf ("%9zu %s\n",
            GPOINTER_TO_SIZE (g_hash_table_lookup (table, keys[i])),
            (const char *)keys[i]);
  if (length == 0)
    puts ("     none");
  g_free (keys);
}

static void
print_adoptions (const struct bb_ctl_report *r)
{
  puts ("\n"
        "version: first in force, delay until in force on all balancers that "
        "report it");
  for (guint i = 0; i < r->adoptions->len; i++)
    {
      const struct bb_ctl_adoption *a
          = &g_array_index (r->adoptions, struct bb_ctl_adoption, i);
      printf ("%9" PRId64 " at %.3f s, after %.3f s on %u\n", a->version,
              (double)(a->first_us - r->from_us) / 1e6,
              (double)(a->last_us - a->first_us) / 1e6, a->balancers);
    }
}

static int
print_report (const struct bb_ctl_timeline *t)
{
  struct bb_ctl_report *r
      = bb_ctl_report_new (t, (int64_t)(interval_s * BB_SEC));
  int status = 0;
  if (!r)
    {
      fputs ("bbctl report: the logs have no events\n", stderr);
      return bb_error_handling (BB_ERROR_NOT_FOUND)->exit_status;
    }
  print_intervals (r);
  print_counts ("refused and reset, by cause", r->causes);
  print_counts ("flows placed, by service and server", r->servers);
  print_adoptions (r);
  if (svg && !bb_ctl_report_draw (r, svg))
    {
      fprintf (stderr, "bbctl report: %s: %s\n", svg, g_strerror (errno));
      status = bb_error_handling (BB_ERROR_IO)->exit_status;
    }
  bb_ctl_report_free (r);
  return status;
}

int
bb_ctl_run_report (int argc, char **argv)
{
  int status;
  if (!bb_ctl_parse_options (&options, &argc, &argv))
    return BB_CTL_EXIT_USAGE;
  if (!(interval_s >= 0.001))
    {
      fputs ("bbctl report: --interval is at least 0.001 s\n", stderr);
      return BB_CTL_EXIT_USAGE;
    }
  struct bb_ctl_timeline *t = bb_ctl_timeline_load_sources (
      argv + 1, CORRECTION_MS_MAX * BB_MSEC, &status);
  int s = print_report (t);
  bb_ctl_timeline_free (t);
  return status ? status : s;
}
