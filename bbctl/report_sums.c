#include "bbctl/report.h"
#include <string.h>

enum
{
  /* Limits memory: logs of several weeks would need millions of
     intervals.  */
  INTERVALS_MAX = 3600,
};

static struct bb_ctl_interval *
interval_at (struct bb_ctl_report *r, int64_t time_us)
{
  guint i = (guint)((time_us - r->from_us) / r->interval_us);
  if (i >= r->intervals->len)
    g_array_set_size (r->intervals, i + 1);
  return &g_array_index (r->intervals, struct bb_ctl_interval, i);
}

static void
add_to_count (GHashTable *table, const char *first, const char *second,
              uint64_t n)
{
  char *key = g_strdup_printf ("%s %s", first, second);
  uint64_t sum = GPOINTER_TO_SIZE (g_hash_table_lookup (table, key)) + n;
  g_hash_table_replace (table, key, GSIZE_TO_POINTER (sum));
}

static void
record_adoption (struct bb_ctl_report *r, int64_t version, int64_t time_us)
{
  for (guint i = 0; i < r->adoptions->len; i++)
    {
      struct bb_ctl_adoption *a
          = &g_array_index (r->adoptions, struct bb_ctl_adoption, i);
      if (a->version != version)
        continue;
      a->last_us = MAX (a->last_us, time_us);
      a->balancers++;
      return;
    }
  struct bb_ctl_adoption a = {
    .version = version, .first_us = time_us, .last_us = time_us, .balancers = 1
  };
  g_array_append_val (r->adoptions, a);
}

/* How an event is counted; OFFSET is that of a counter in struct
   bb_ctl_interval.  */
static const struct
{
  const char *event;
  size_t offset;
  bool by_reason; /* also count by reason */
  bool by_server; /* also count by server */
} counted_events[] = {
  { "flow_placed", offsetof (struct bb_ctl_interval, placed), false, true },
  { "flow_refused", offsetof (struct bb_ctl_interval, refused), true, false },
  { "flow_reset", offsetof (struct bb_ctl_interval, reset), true, false },
  { "server_suspect", offsetof (struct bb_ctl_interval, suspected), false,
    false },
  { "start", offsetof (struct bb_ctl_interval, started), false, false },
};

/* Returns the number of events that the line E stands for, including
   suppressed ones.  A flow_reset event without a flow stands for several
   resets, whose number is its value.  */
static uint64_t
count_of_line (const struct bb_ctl_event *e, const char *name)
{
  int64_t suppressed = bb_ctl_json_int64 (e->line, "suppressed");
  int64_t value = bb_ctl_json_int64 (e->line, "value");
  bool is_summary = strcmp (name, "flow_reset") == 0
                    && *bb_ctl_json_string (e->line, "flow") == 0;
  return (uint64_t)(MAX (suppressed, 0) + (is_summary ? MAX (value, 1) : 1));
}

static void
add_event (struct bb_ctl_report *r, const struct bb_ctl_event *e)
{
  const char *name = bb_ctl_json_string (e->line, "event");
  const char *reason = bb_ctl_json_string (e->line, "reason");
  struct bb_ctl_interval *at = interval_at (r, e->place_us);
  uint64_t n = count_of_line (e, name);
  if (strcmp (name, "version") == 0)
    record_adoption (r, bb_ctl_json_int64 (e->line, "value"), e->place_us);
  for (size_t i = 0; i < G_N_ELEMENTS (counted_events); i++)
    {
      if (strcmp (name, counted_events[i].event) != 0)
        continue;
      *(uint64_t *)(void *)((char *)at + counted_events[i].offset) += n;
      if (counted_events[i].by_reason)
        add_to_count (r->causes, name, *reason ? reason : "unknown", n);
      if (counted_events[i].by_server)
        add_to_count (r->servers, bb_ctl_json_string (e->line, "service"),
                      bb_ctl_json_string (e->line, "server"), n);
    }
}

struct bb_ctl_report *
bb_ctl_report_new (const struct bb_ctl_timeline *t, int64_t interval_us)
{
  if (t->sorted->len == 0)
    return NULL;
  const struct bb_ctl_event *first = t->sorted->pdata[0];
  const struct bb_ctl_event *last = t->sorted->pdata[t->sorted->len - 1];
  struct bb_ctl_report *r = g_new0 (struct bb_ctl_report, 1);
  r->from_us = first->place_us;
  r->to_us = last->place_us;
  r->interval_us = MAX (interval_us, (r->to_us - r->from_us) / INTERVALS_MAX);
  r->intervals = g_array_new (FALSE, TRUE, sizeof (struct bb_ctl_interval));
  r->adoptions = g_array_new (FALSE, TRUE, sizeof (struct bb_ctl_adoption));
  r->causes = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  r->servers = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  for (guint i = 0; i < t->sorted->len; i++)
    add_event (r, t->sorted->pdata[i]);
  return r;
}

void
bb_ctl_report_free (struct bb_ctl_report *r)
{
  if (!r)
    return;
  g_array_unref (r->intervals);
  g_array_unref (r->adoptions);
  g_hash_table_unref (r->causes);
  g_hash_table_unref (r->servers);
  g_free (r);
}
