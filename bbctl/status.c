#include "bbctl/status.h"
#include <stdio.h>
#include <unistd.h>

static gboolean json;
static gboolean plain;
static int timeout_ms = 2000;

static const GOptionEntry entries[]
    = { { "timeout", 't', 0, G_OPTION_ARG_INT, &timeout_ms,
          "timeout for each balancer, 2000 by default", "MS" },
        { "plain", 0, 0, G_OPTION_ARG_NONE, &plain,
          "print lines on a terminal too", NULL },
        { "json", 0, 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL },
        G_OPTION_ENTRY_NULL };

static const struct bb_ctl_options options = {
  .entries = entries,
  .usage = "ADDRESS:PORT...",
  .summary = "Requests /status from the metrics port of balancers and shows "
             "their state on one\n"
             "screen, with the conditions that need attention.",
  .description = "Exit status: 0 all responded; 5 a response is not valid; 6 "
                 "a balancer did not respond.",
  .min_arguments = 1,
  .max_arguments = -1,
};

static void
parse_response (struct bb_ctl_balancer *b, const struct bb_ctl_response *a)
{
  b->address = a->address;
  b->status = a->body ? json_tokener_parse (a->body) : NULL;
  if (json_object_is_type (b->status, json_type_object))
    return;
  json_object_put (b->status);
  b->status = NULL;
  b->error
      = g_strdup (a->error ? a->error : "the response is not a JSON object");
}

static int
exit_status (const struct bb_ctl_response *responses,
             const struct bb_ctl_status *s)
{
  for (size_t i = 0; i < s->count; i++)
    if (!responses[i].body)
      return bb_error_handling (BB_ERROR_TIMEOUT)->exit_status;
  for (size_t i = 0; i < s->count; i++)
    if (!s->balancers[i].status)
      return bb_error_handling (BB_ERROR_PROTOCOL)->exit_status;
  return 0;
}

static void
print_json (const struct bb_ctl_status *s)
{
  json_object *o = json_object_new_object ();
  json_object *balancers = json_object_new_array ();
  json_object *attention = json_object_new_array ();

  for (size_t i = 0; i < s->count; i++)
    {
      const struct bb_ctl_balancer *b = &s->balancers[i];
      json_object *e = json_object_new_object ();
      json_object_object_add (e, "address",
                              json_object_new_string (b->address));
      if (b->status)
        json_object_object_add (e, "status", json_object_get (b->status));
      else
        json_object_object_add (e, "error", json_object_new_string (b->error));
      json_object_array_add (balancers, e);
    }
  for (guint i = 0; i < s->attention->len; i++)
    json_object_array_add (attention,
                           json_object_new_string (s->attention->pdata[i]));
  json_object_object_add (o, "balancers", balancers);
  json_object_object_add (o, "attention", attention);
  bb_ctl_print_json (o);
}

int
bb_ctl_run_status (int argc, char **argv)
{
  struct bb_ctl_status s = { 0 };

  if (!bb_ctl_parse_options (&options, &argc, &argv))
    return BB_CTL_EXIT_USAGE;
  s.count = (size_t)argc - 1;
  s.balancers = g_new0 (struct bb_ctl_balancer, s.count);
  s.attention = g_ptr_array_new_with_free_func (g_free);
  struct bb_ctl_response *responses
      = bb_ctl_http_get (argv + 1, s.count, "/status", MAX (timeout_ms, 1));
  for (size_t i = 0; i < s.count; i++)
    parse_response (&s.balancers[i], &responses[i]);
  bb_ctl_status_evaluate (&s);
  if (json)
    print_json (&s);
  else if (plain || !isatty (STDOUT_FILENO))
    bb_ctl_status_print_lines (&s);
  else
    bb_ctl_status_print_screen (&s);
  int status = exit_status (responses, &s);
  for (size_t i = 0; i < s.count; i++)
    {
      json_object_put (s.balancers[i].status);
      g_free (s.balancers[i].error);
    }
  g_free (s.balancers);
  g_ptr_array_unref (s.attention);
  bb_ctl_responses_free (responses, s.count);
  return status;
}
