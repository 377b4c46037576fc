#include "bbctl/status.h"
#include <stdio.h>
#include <string.h>

/* Number of servers that fits on one screen with 9 balancers.  If there are
   more, servers in state ok are only counted.  */
#define FULL_TABLE_MAX 24

#define RED "\033[31m"
#define YELLOW "\033[33m"
#define GREEN "\033[32m"
#define BOLD "\033[1m"
#define RESET "\033[0m"

static size_t
array_length (json_object *list)
{
  return json_object_is_type (list, json_type_array)
             ? json_object_array_length (list)
             : 0;
}

static int
count_suspected_peers (json_object *status)
{
  json_object *peers = bb_ctl_json_member (status, "peers");
  int suspected = 0;

  for (size_t i = 0; i < array_length (peers); i++)
    suspected += bb_ctl_json_bool (json_object_array_get_idx (peers, i),
                                   "suspected");
  return suspected;
}

static void
print_balancer_row (const struct bb_ctl_balancer *b)
{
  int64_t v[3];

  if (!b->status)
    {
      printf (RED "%-16.16s %s" RESET "\n", b->address, b->error);
      return;
    }
  bool ready = bb_ctl_json_bool (b->status, "ready");
  int suspected = count_suspected_peers (b->status);
  bb_ctl_status_read_versions (bb_ctl_json_member (b->status, "versions"), v);
  printf (
      "%-16.16s %-12.12s %s%-8.8s" RESET " %4" G_GINT64_FORMAT
      "/%" G_GINT64_FORMAT "/%-4" G_GINT64_FORMAT " %8.0f s %4" G_GINT64_FORMAT
      " %-8.8s %9" G_GINT64_FORMAT "  %s%zu of %zu" RESET "\n",
      bb_ctl_json_string (b->status, "vm"),
      bb_ctl_json_string (b->status, "data_centre"), ready ? GREEN : YELLOW,
      bb_ctl_json_string (b->status, "state"), v[0], v[1], v[2],
      (double)bb_ctl_json_int64 (b->status, "version_age_us") / 1e6,
      bb_ctl_json_int64 (b->status, "generation"),
      bb_ctl_json_string (b->status, "phase"),
      bb_ctl_json_int64 (b->status, "flows"), suspected ? RED : "",
      array_length (bb_ctl_json_member (b->status, "peers"))
          - (size_t)suspected,
      array_length (bb_ctl_json_member (b->status, "peers")));
}

static const char *
server_state_name (json_object *v, const char **colour)
{
  static const struct
  {
    const char *name;
    const char *colour;
  } states[] = { { "gone", YELLOW },
                 { "down", RED },
                 { "draining", YELLOW },
                 { "impaired", YELLOW },
                 { "ok", GREEN } };
  size_t i = !bb_ctl_json_bool (v, "listed")    ? 0
             : !bb_ctl_json_bool (v, "healthy") ? 1
             : bb_ctl_json_bool (v, "draining") ? 2
             : bb_ctl_json_bool (v, "bit")      ? 3
             : bb_ctl_json_bool (v, "bit_peer") ? 3
                                                : 4;

  *colour = states[i].colour;
  return states[i].name;
}

/* Prints the row of one server, unless SKIP_OK is set and the server is in
   state ok.  Returns whether the row was skipped.  */
static bool
print_server_row (json_object *v, bool skip_ok)
{
  const char *colour = "";
  const char *name = server_state_name (v, &colour);

  if (skip_ok && !strcmp (name, "ok"))
    return true;
  int64_t age = bb_ctl_json_int64 (v, "report_age_us");
  g_autofree char *report
      = age < 0 ? g_strdup ("none")
                : g_strdup_printf ("%.1f s", (double)age / 1e6);
  printf ("%-20.20s %-20.20s %s%-9s" RESET " %-4s %9" G_GINT64_FORMAT
          " %5.1f %% %10s\n",
          bb_ctl_json_string (v, "service"), bb_ctl_json_string (v, "server"),
          colour, name, bb_ctl_json_bool (v, "in_base") ? "yes" : "no",
          bb_ctl_json_int64 (v, "flows"),
          (double)bb_ctl_json_int64 (v, "load") / 10, report);
  return false;
}

static void
print_server_table (json_object *servers)
{
  bool skip_ok = array_length (servers) > FULL_TABLE_MAX;
  int skipped = 0;

  printf (BOLD "\n%-20s %-20s %-9s %-4s %9s %7s %10s" RESET "\n", "SERVICE",
          "SERVER", "STATE", "BASE", "FLOWS", "LOAD", "REPORT");
  for (size_t i = 0; i < array_length (servers); i++)
    skipped
        += print_server_row (json_object_array_get_idx (servers, i), skip_ok);
  if (skipped)
    printf ("%d more servers are " GREEN "ok" RESET "\n", skipped);
}

/* Returns the server list of the first ready balancer or, if none is ready, of
   the first balancer that has a list.  Other balancers may report different
   lists; the attention lines show the differences.  */
static json_object *
choose_servers (const struct bb_ctl_status *s)
{
  json_object *any = NULL;

  for (size_t i = 0; i < s->count; i++)
    {
      json_object *o = s->balancers[i].status;
      if (o && bb_ctl_json_bool (o, "ready"))
        return bb_ctl_json_member (o, "servers");
      any = any ? any : bb_ctl_json_member (o, "servers");
    }
  return any;
}

void
bb_ctl_status_print_screen (const struct bb_ctl_status *s)
{
  json_object *servers = choose_servers (s);

  printf (BOLD "%-16s %-12s %-8s %14s %10s %4s %-8s %9s  %s" RESET "\n",
          "BALANCER", "DATA CENTRE", "STATE", "BASE/OVERLAY/VM", "AGE", "GEN",
          "PHASE", "FLOWS", "PEERS");
  for (size_t i = 0; i < s->count; i++)
    print_balancer_row (&s->balancers[i]);
  print_server_table (servers);
  printf (BOLD "\nATTENTION" RESET "\n");
  for (guint i = 0; i < s->attention->len; i++)
    printf (YELLOW "! " RESET "%s\n", (char *)s->attention->pdata[i]);
  if (s->attention->len == 0)
    puts (GREEN "nothing" RESET);
}

/* Prints one line with the scalar members of O and its versions.  Other
   objects and lists are printed on separate lines.  */
static void
print_members_line (const char *kind, const char *vm, json_object *o)
{
  printf ("%s vm=%s", kind, vm);
  json_object_object_foreach (o, key, value)
  {
    bool nested = json_object_is_type (value, json_type_object)
                  || json_object_is_type (value, json_type_array);
    if (nested && !strcmp (key, "versions"))
      {
        int64_t v[3];
        bb_ctl_status_read_versions (value, v);
        printf (" versions=%" G_GINT64_FORMAT "/%" G_GINT64_FORMAT
                "/%" G_GINT64_FORMAT,
                v[0], v[1], v[2]);
      }
    else if (!nested && strcmp (key, "vm") != 0)
      printf (" %s=%s", key, value ? json_object_get_string (value) : "none");
    else if (!nested && strcmp (kind, "peer") == 0)
      printf (" peer=%s", json_object_get_string (value));
  }
  putchar ('\n');
}

static void
print_balancer_lines (json_object *status)
{
  static const char *const lists[][2]
      = { { "peers", "peer" }, { "servers", "server" } };
  const char *vm = bb_ctl_json_string (status, "vm");
  json_object *counters = bb_ctl_json_member (status, "counters");

  print_members_line ("balancer", vm, status);
  for (size_t l = 0; l < G_N_ELEMENTS (lists); l++)
    {
      json_object *list = bb_ctl_json_member (status, lists[l][0]);
      for (size_t i = 0; i < array_length (list); i++)
        {
          json_object *e = json_object_array_get_idx (list, i);
          if (json_object_is_type (e, json_type_object))
            print_members_line (lists[l][1], vm, e);
        }
    }
  if (json_object_is_type (counters, json_type_object))
    print_members_line ("counters", vm, counters);
}

void
bb_ctl_status_print_lines (const struct bb_ctl_status *s)
{
  for (size_t i = 0; i < s->count; i++)
    if (s->balancers[i].status)
      print_balancer_lines (s->balancers[i].status);
    else
      printf ("unreachable address=%s error=\"%s\"\n", s->balancers[i].address,
              s->balancers[i].error);
  for (guint i = 0; i < s->attention->len; i++)
    printf ("attention %s\n", (char *)s->attention->pdata[i]);
}
