/* Counts the faults that the history files of callers and backend servers and
   the event logs of balancers show; enum count lists the kinds.  The exit
   status is 0 without faults, 1 with faults, and 2 if the files hold no flow,
   no request or no execution, so that a run without faults proves nothing.
   Other events than those of HANDLERS and of balancers are skipped.  */

#include "standins/common.h"
#include "standins/common/history_line.h"
#include <stdlib.h>
#include <string.h>

enum
{
  VERSIONS = 3,
  FINDINGS_SHOWN_MAX = 20 /* findings of a kind that are printed */
};

enum count
{
  COUNT_FLOWS,
  COUNT_REQUESTS,
  COUNT_REFUSED,
  COUNT_RUNS,
  COUNT_REPORTS,
  COUNT_BROKEN,      /* flows; the faults start here */
  COUNT_MISROUTED,   /* packets or requests at the wrong service */
  COUNT_DUPLICATED,  /* repeated executions of a request */
  COUNT_LOST,        /* requests neither answered nor refused */
  COUNT_REVERTS,     /* balancers that returned to an older version */
  COUNT_WRONG,       /* answers or executions */
  COUNT_REFUSED_RUN, /* refused requests that were sent or executed */
  COUNT_LATE_NEW,    /* new flows on a draining server */
  COUNT_UNREADABLE,  /* lines or files */
  COUNT_FAULTS_END,  /* exclusive */
  COUNT_BROKEN_BY_KILL = COUNT_FAULTS_END, /* no fault */
  COUNT_LOST_BY_KILL,                      /* no fault */
  COUNTS
};
static const char *const count_names[COUNTS]
    = { "flows",    "requests",       "refused",        "runs",
        "reports",  "broken",         "misrouted",      "duplicated",
        "lost",     "config_reverts", "wrong",          "refused_run",
        "late_new", "unreadable",     "broken_by_kill", "lost_by_kill" };

struct flow
{
  char *service;
  bool established;
  bb_usec broken_at; /* time; 0: not broken */
};

struct request
{
  struct flow *flow;
  bool sent, refused, answered;
  int runs;
  char *answered_by; /* name of the server, or NULL */
};

struct server
{
  char *service;
  bb_usec draining_at;  /* 0: not draining */
  GArray *new_flows_at; /* of bb_usec */
};

static gint drain_bound_ms = 3000; /* negative: not checked */
static uint64_t counts[COUNTS];
static GHashTable *flows, *requests, *servers;
static GArray *kill_times, *step_times; /* of bb_usec */

static void G_GNUC_PRINTF (2, 3)
    report_finding (enum count kind, const char *format, ...)
{
  va_list arguments;
  if (++counts[kind] > FINDINGS_SHOWN_MAX)
    return;
  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  g_printerr ("%s: %s\n", count_names[kind], text);
  g_free (text);
}

/* Returns KEY's value in TABLE; adds SIZE zero bytes if there is none.  */
static void *
get_or_add (GHashTable *table, const char *key, size_t size)
{
  void *value = g_hash_table_lookup (table, key);
  if (!value)
    {
      value = g_malloc0 (size);
      g_hash_table_insert (table, g_strdup (key), value);
    }
  return value;
}

static struct flow *
get_flow (const struct bb_line *l)
{
  return get_or_add (flows, bb_line_string (l, "flow"), sizeof (struct flow));
}

static struct request *
get_request (const struct bb_line *l)
{
  return get_or_add (requests, bb_line_string (l, "id"),
                     sizeof (struct request));
}

static struct server *
get_server (const struct bb_line *l)
{
  struct server *s = get_or_add (servers, bb_line_string (l, "server"),
                                 sizeof (struct server));
  if (!s->service)
    {
      s->service = g_strdup (bb_line_string (l, "service"));
      s->new_flows_at = g_array_new (FALSE, FALSE, sizeof (bb_usec));
    }
  return s;
}

static void
handle_open (const struct bb_line *l)
{
  struct flow *f = get_flow (l);
  g_free (f->service);
  f->service = g_strdup (bb_line_string (l, "service"));
  get_request (l)->flow = f;
}

static void
handle_established (const struct bb_line *l)
{
  counts[COUNT_FLOWS]++;
  get_flow (l)->established = true;
}

static void
handle_send (const struct bb_line *l)
{
  struct request *r = get_request (l);
  counts[COUNT_REQUESTS]++;
  r->flow = get_flow (l);
  r->sent = true;
}

static void
handle_refused (const struct bb_line *l)
{
  counts[COUNT_REFUSED]++;
  get_request (l)->refused = true;
}

static void
handle_broken (const struct bb_line *l)
{
  struct flow *f = get_flow (l);
  if (f->established)
    f->broken_at = l->time;
}

static bool
answer_is_correct (const struct bb_line *l)
{
  uint64_t id = g_ascii_strtoull (bb_line_string (l, "id"), NULL, 16);
  uint32_t length
      = (uint32_t)CLAMP (bb_line_number (l, "asked"), 1, BB_STANDIN_BODY_MAX);
  uint8_t *body = g_malloc (length);
  bb_standin_fill_body (body, length, id);
  uint64_t digest = bb_standin_digest (body, length);
  g_free (body);
  return bb_line_number (l, "length") == length
         && !strcmp (bb_line_string (l, "id"), bb_line_string (l, "answer_id"))
         && g_ascii_strtoull (bb_line_string (l, "digest"), NULL, 16)
                == digest;
}

static void
handle_answer (const struct bb_line *l)
{
  struct request *r = get_request (l);
  const char *id = bb_line_string (l, "id");
  if (r->answered || !r->sent)
    report_finding (COUNT_WRONG,
                    "request %s: answered twice or without having been sent",
                    id);
  else if (!answer_is_correct (l))
    report_finding (COUNT_WRONG,
                    "request %s: id, length or digest of the answer is wrong",
                    id);
  r->answered = true;
  g_free (r->answered_by);
  r->answered_by = g_strdup (bb_line_string (l, "server"));
}

static void
handle_garbage (const struct bb_line *l)
{
  report_finding (COUNT_WRONG, "%s at %s", l->event,
                  bb_line_string (l, "flow"));
}

static void
handle_run (const struct bb_line *l)
{
  struct request *r = get_request (l);
  counts[COUNT_RUNS]++;
  r->runs++;
  if (r->runs > 1)
    report_finding (COUNT_DUPLICATED, "request %s: executed again by %s",
                    bb_line_string (l, "id"), bb_line_string (l, "server"));
}

static void
handle_foreign (const struct bb_line *l)
{
  report_finding (COUNT_MISROUTED, "packet of %s at %s",
                  bb_line_string (l, "flow"), bb_line_string (l, "server"));
}

static void
handle_server (const struct bb_line *l)
{
  struct server *s = get_server (l);
  if (!strcmp (l->event, "new_flow"))
    g_array_append_val (s->new_flows_at, l->time);
  else if (!strcmp (l->event, "draining"))
    s->draining_at = l->time;
}

static void
handle_step (const struct bb_line *l)
{
  g_array_append_val (!strcmp (l->event, "kill") ? kill_times : step_times,
                      l->time);
}

static const struct
{
  const char *event;
  void (*handle) (const struct bb_line *l);
} handlers[] = {
  { "open", handle_open },       { "established", handle_established },
  { "send", handle_send },       { "answer", handle_answer },
  { "refused", handle_refused }, { "reset", handle_broken },
  { "gave_up", handle_broken },  { "garbage", handle_garbage },
  { "damaged", handle_garbage }, { "run", handle_run },
  { "foreign", handle_foreign }, { "start", handle_server },
  { "new_flow", handle_server }, { "draining", handle_server },
  { "kill", handle_step },       { "step", handle_step },
};

/* Compares a balancer's versions with LAST, which a "start" event resets.  */
static void
check_versions (const struct bb_line *l, uint64_t *last)
{
  counts[COUNT_REPORTS]++;
  if (!strcmp (l->event, "start"))
    memset (last, 0, VERSIONS * sizeof *last);
  for (size_t i = 0; i < VERSIONS; i++)
    {
      uint64_t v = json_object_get_uint64 (
          json_object_array_get_idx (l->versions, i));
      if (v < last[i])
        report_finding (COUNT_REVERTS,
                        "%s: document %zu from version %" G_GUINT64_FORMAT
                        " to %" G_GUINT64_FORMAT,
                        bb_line_string (l, "vm"), i, last[i], v);
      last[i] = v;
    }
}

static void
handle_line (const struct bb_line *l, void *last)
{
  if (!l->root)
    report_finding (COUNT_UNREADABLE, "%s", l->text);
  else if (l->versions)
    check_versions (l, last);
  else
    for (size_t i = 0; i < G_N_ELEMENTS (handlers); i++)
      if (!strcmp (handlers[i].event, l->event))
        handlers[i].handle (l);
}

/* Returns whether TIME is after a "kill" event and before the next "step"
   event.  The script that makes the changes writes both.  */
static bool
is_after_kill (bb_usec time)
{
  bb_usec kill = 0, step = 0;
  for (guint i = 0; i < kill_times->len; i++)
    if (g_array_index (kill_times, bb_usec, i) <= time)
      kill = MAX (kill, g_array_index (kill_times, bb_usec, i));
  for (guint i = 0; i < step_times->len; i++)
    if (g_array_index (step_times, bb_usec, i) <= time)
      step = MAX (step, g_array_index (step_times, bb_usec, i));
  return kill && kill > step;
}

static void
check_flow (gpointer key, gpointer value, G_GNUC_UNUSED gpointer context)
{
  const struct flow *f = value;
  if (f->broken_at)
    report_finding (is_after_kill (f->broken_at) ? COUNT_BROKEN_BY_KILL
                                                 : COUNT_BROKEN,
                    "flow %s", (const char *)key);
}

static void
check_request (gpointer key, gpointer value, G_GNUC_UNUSED gpointer context)
{
  const struct request *r = value;
  const char *id = key;
  const struct server *s
      = r->answered_by ? g_hash_table_lookup (servers, r->answered_by) : NULL;
  if (r->refused && (r->runs || r->sent))
    report_finding (COUNT_REFUSED_RUN, "request %s", id);
  if (r->runs && !r->sent)
    report_finding (COUNT_WRONG,
                    "request %s: executed without having been sent", id);
  if (r->answered && !r->runs)
    report_finding (COUNT_WRONG,
                    "request %s: answered without having been executed", id);
  if (s && r->flow && g_strcmp0 (s->service, r->flow->service) != 0)
    report_finding (COUNT_MISROUTED, "request %s to %s: answered by %s", id,
                    r->flow->service, r->answered_by);
  if (r->answered || r->refused || !r->flow)
    return;
  bool killed = r->flow->broken_at && is_after_kill (r->flow->broken_at);
  report_finding (killed ? COUNT_LOST_BY_KILL : COUNT_LOST, "request %s to %s",
                  id, r->flow->service);
}

static void
check_server (gpointer key, gpointer value, G_GNUC_UNUSED gpointer context)
{
  const struct server *s = value;
  if (!s->draining_at || drain_bound_ms < 0)
    return;
  for (guint i = 0; i < s->new_flows_at->len; i++)
    {
      bb_usec late = g_array_index (s->new_flows_at, bb_usec, i)
                     - s->draining_at - drain_bound_ms * BB_MSEC;
      if (late > 0)
        report_finding (COUNT_LATE_NEW,
                        "flow at %s, %" G_GINT64_FORMAT " us after the bound",
                        (const char *)key, late);
    }
}

static int
print_counts (void)
{
  uint64_t faults = 0;
  for (int i = 0; i < COUNTS; i++)
    {
      printf ("%s%s=%" G_GUINT64_FORMAT, i ? " " : "", count_names[i],
              counts[i]);
      if (i >= COUNT_BROKEN && i < COUNT_FAULTS_END)
        faults += counts[i];
    }
  printf ("\n");
  if (faults)
    return 1;
  return counts[COUNT_FLOWS] && counts[COUNT_REQUESTS] && counts[COUNT_RUNS]
             ? 0
             : 2;
}

int
main (int argc, char **argv)
{
  char **paths = NULL;
  const GOptionEntry entries[]
      = { BB_STANDIN_INT ("drain-bound-ms", drain_bound_ms),
          { G_OPTION_REMAINING, 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &paths,
            NULL, "FILE..." },
          { 0 } };
  bb_standin_parse_options (argc, argv, entries);
  flows = g_hash_table_new (g_str_hash, g_str_equal);
  requests = g_hash_table_new (g_str_hash, g_str_equal);
  servers = g_hash_table_new (g_str_hash, g_str_equal);
  kill_times = g_array_new (FALSE, FALSE, sizeof (bb_usec));
  step_times = g_array_new (FALSE, FALSE, sizeof (bb_usec));
  for (char **p = paths; p && *p; p++)
    {
      uint64_t last[VERSIONS] = { 0 };
      if (!bb_line_read_file (*p, handle_line, last))
        report_finding (COUNT_UNREADABLE, "%s", *p);
    }
  g_strfreev (paths);
  g_hash_table_foreach (flows, check_flow, NULL);
  g_hash_table_foreach (requests, check_request, NULL);
  g_hash_table_foreach (servers, check_server, NULL);
  return print_counts ();
}
