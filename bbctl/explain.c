#include "bbctl/timeline.h"
#include "core/engine.h"
#include <inttypes.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

/* Events of the balancer and of the server are printed as context if they are
   at most CONTEXT_S from an event of the flow.  */
enum
{
  CONTEXT_S = 10,
  CORRECTION_MS_MAX = 1000, /* limit of the clock correction per VM */
};

static char *flow_text;

static const GOptionEntry entries[] = {
  { "flow", 'f', 0, G_OPTION_ARG_STRING, &flow_text,
    "Identifier of the flow, in place of CALLER and SERVICE", "HEX" },
  G_OPTION_ENTRY_NULL,
};

static const struct bb_ctl_options options = {
  .entries = entries,
  .usage = "CALLER SERVICE LOG... | --flow HEX LOG...",
  .summary
  = "Shows the decisions of balancers on a flow and the state they held.\n"
    "CALLER and SERVICE are the ADDRESS:PORT of the two ends; LOG is a file,\n"
    "- for standard input, or ADDRESS:PORT of a balancer.",
  .min_arguments = 1,
  .max_arguments = -1,
};

/* Outcome of a flow's event for its caller.  */
static const struct
{
  const char *event;
  const char *reason; /* NULL: any reason */
  const char *text;
} outcomes[] = {
  { "flow_refused", "no_route",
    "refused: the configuration held by the balancer had no route for that "
    "address" },
  { "flow_refused", "route_dropped",
    "refused: the configuration no longer had the route" },
  { "flow_refused", "no_server",
    "refused: no server of the service accepted new flows" },
  { "flow_refused", "all_busy",
    "refused: all servers were full and their responses slow" },
  { "flow_refused", "evacuated",
    "refused: all servers of the service were in evacuated data centres" },
  { "flow_refused", "cold",
    "refused: all servers of the service had just started and had no room "
    "left" },
  { "flow_reset", "server_gone",
    "reset: the server had left, or its entry had expired" },
  { "flow_reset", "server_silent",
    "reset: several callers received no response from the server" },
  { "flow_reset", "route_dropped",
    "reset: a new request arrived after the route was removed" },
  { "mark_unknown", NULL,
    "dropped: the server cookie matched no server of the balancer" },
  { "flow_placed", "server_silent",
    "placed on a suspect server, because all servers were suspect" },
  { "flow_placed", "evacuated",
    "placed in another data centre, because the balancer's own was "
    "evacuated" },
  { "flow_placed", NULL,
    "placed; any later failure was between the caller and the server" },
};

static const char *
describe_outcome (const struct bb_ctl_event *e)
{
  for (size_t i = 0; i < G_N_ELEMENTS (outcomes); i++)
    if (strcmp (outcomes[i].event, bb_ctl_json_string (e->line, "event")) == 0
        && (!outcomes[i].reason
            || strcmp (outcomes[i].reason,
                       bb_ctl_json_string (e->line, "reason"))
                   == 0))
      return outcomes[i].text;
  return "no explanation; see the event above";
}

static void
print_event (const struct bb_ctl_event *e, const char *indent)
{
  static const char *const members[]
      = { "server", "service",  "peer", "target_data_centre", "reason",
          "value",  "revision", "era",  "suppressed" };
  int64_t age = bb_ctl_json_int64 (e->line, "age_us");
  printf ("%s%.6f %-18s %-16s", indent, (double)e->place_us / 1e6, e->run->vm,
          bb_ctl_json_string (e->line, "event"));
  for (size_t i = 0; i < G_N_ELEMENTS (members); i++)
    {
      const char *text = bb_ctl_json_string (e->line, members[i]);
      if (*text)
        printf (" %s=%s", members[i], text);
    }
  if (age > 0)
    printf (" knowledge_age=%.3fs", (double)age / 1e6);
  putchar ('\n');
}

/* Returns whether EVENT is a change in the state of a balancer, which may
   affect all flows.  */
static bool
is_balancer_state_event (const char *event)
{
  static const char *const names[]
      = { "start",      "ready",      "version",   "reader",
          "store_lost", "store_back", "store_era", "leaving",
          "stop",       "reload",     "pause",     "evacuation" };
  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (strcmp (names[i], event) == 0)
      return true;
  return false;
}

/* Returns whether E is about the server of one of the events FLOWS, or about
   the state of its balancer, and close to it in time.  */
static bool
is_context_of_flows (const struct bb_ctl_event *e, const GPtrArray *flows)
{
  const char *server = bb_ctl_json_string (e->line, "server");
  const char *event = bb_ctl_json_string (e->line, "event");
  for (guint i = 0; i < flows->len; i++)
    {
      const struct bb_ctl_event *f = flows->pdata[i];
      if (ABS (e->place_us - f->place_us) > CONTEXT_S * BB_SEC)
        continue;
      bool is_same_server
          = *server && g_str_has_prefix (event, "server_")
            && strcmp (server, bb_ctl_json_string (f->line, "server")) == 0;
      if (is_same_server
          || (e->run == f->run && is_balancer_state_event (event)))
        return true;
    }
  return false;
}

static GPtrArray *
select_flow_events (const struct bb_ctl_timeline *t, const char *id)
{
  GPtrArray *selected = g_ptr_array_new ();
  for (guint i = 0; i < t->sorted->len; i++)
    {
      struct bb_ctl_event *e = t->sorted->pdata[i];
      if (strcmp (bb_ctl_json_string (e->line, "flow"), id) == 0)
        g_ptr_array_add (selected, e);
    }
  return selected;
}

static int
print_flow (const struct bb_ctl_timeline *t, const char *id)
{
  GPtrArray *flows = select_flow_events (t, id);
  printf ("flow %s\n", id);
  for (guint i = 0; i < flows->len; i++)
    {
      print_event (flows->pdata[i], "  ");
      printf ("    %s\n", describe_outcome (flows->pdata[i]));
    }
  if (flows->len == 0)
    puts ("  no event names this flow: its packets reached none of these "
          "balancers,\n"
          "  or its events were suppressed (see \"suppressed\")");
  else
    puts ("related events:");
  for (guint i = 0; flows->len > 0 && i < t->sorted->len; i++)
    if (is_context_of_flows (t->sorted->pdata[i], flows))
      print_event (t->sorted->pdata[i], "  ");
  int status = flows->len > 0
                   ? 0
                   : bb_error_handling (BB_ERROR_NOT_FOUND)->exit_status;
  g_ptr_array_unref (flows);
  return status;
}

/* Returns the identifier under which balancers log the flow from CALLER to
   SERVICE, or NULL if one of these is invalid.  */
static char *
format_flow_id (const char *caller, const char *service)
{
  struct bb_endpoint from, to;
  if (!bb_ctl_parse_endpoint (caller, &from)
      || !bb_ctl_parse_endpoint (service, &to))
    return NULL;
  struct bb_packet packet = { .source = from.address,
                              .source_port = from.port,
                              .destination = to.address,
                              .destination_port = to.port,
                              .protocol = IPPROTO_TCP };
  return g_strdup_printf ("%016" PRIx64, bb_flow_hash (&packet, 0));
}

int
bb_ctl_run_explain (int argc, char **argv)
{
  int status = 0, first = 1;
  if (!bb_ctl_parse_options (&options, &argc, &argv))
    return BB_CTL_EXIT_USAGE;
  g_autofree char *id = g_strdup (flow_text);
  if (!id && argc > 3)
    {
      id = format_flow_id (argv[1], argv[2]);
      first = 3;
    }
  if (!id || first >= argc)
    {
      fprintf (stderr,
               "%s: expected CALLER and SERVICE as ADDRESS:PORT, or --flow, "
               "and at least one LOG\n",
               g_get_prgname ());
      return BB_CTL_EXIT_USAGE;
    }
  struct bb_ctl_timeline *t = bb_ctl_timeline_load_sources (
      argv + first, CORRECTION_MS_MAX * BB_MSEC, &status);
  int s = print_flow (t, id);
  bb_ctl_timeline_free (t);
  return status ? status : s;
}
