#include "bbctl/changes.h"
#include <stdio.h>
#include <string.h>

static gboolean json;
static char **overlays;
static char **old_overlays;

static const GOptionEntry entries[]
    = { { "overlay", 'o', 0, G_OPTION_ARG_FILENAME_ARRAY, &overlays,
          "overlay of a data centre; may be given several times", "FILE" },
        { "old-overlay", 0, 0, G_OPTION_ARG_FILENAME_ARRAY, &old_overlays,
          "overlay that goes with the old base, if it differs", "FILE" },
        { "json", 0, 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL },
        G_OPTION_ENTRY_NULL };

static const struct bb_ctl_options options = {
  .entries = entries,
  .usage = "OLD_BASE NEW_BASE",
  .summary
  = "Shows what a new base changes in each data centre, and which share of "
    "new flows gets another server.",
  .description = "Exit status: 0 both are valid; 2 one is not; 3 the new "
                 "version is lower, or equal\nwith other content, so that "
                 "balancers would ignore or refuse it.",
  .min_arguments = 2,
  .max_arguments = 2,
};

static char *
format_changes (const struct bb_ctl_changes *c)
{
  GString *s = g_string_new ("");

  for (guint i = 0; i < c->changes->len; i++)
    {
      const struct bb_ctl_change *x = c->changes->pdata[i];
      g_string_append_printf (
          s, "  %s %s%s%s%s%s\n", x->is_disruptive ? "!" : " ", x->service,
          *x->server ? "/" : "", x->server, *x->service ? ": " : "", x->text);
    }
  for (guint i = 0; i < c->moved_shares->len; i++)
    {
      const struct bb_ctl_moved_share *m
          = &g_array_index (c->moved_shares, struct bb_ctl_moved_share, i);
      if (m->share > 0)
        g_string_append_printf (s,
                                "    %s: %.1f %% of new flows get another "
                                "server\n",
                                m->service, 100 * m->share);
    }
  return g_string_free (s, FALSE);
}

static json_object *
changes_json (const char *data_centre, const struct bb_ctl_changes *c)
{
  json_object *o = json_object_new_object ();
  json_object *list = json_object_new_array ();
  json_object *moved_shares = json_object_new_object ();

  for (guint i = 0; i < c->changes->len; i++)
    {
      const struct bb_ctl_change *x = c->changes->pdata[i];
      json_object *e = json_object_new_object ();
      json_object_object_add (e, "change",
                              json_object_new_string (x->change_kind));
      json_object_object_add (e, "service",
                              json_object_new_string (x->service));
      json_object_object_add (e, "server", json_object_new_string (x->server));
      json_object_object_add (e, "risky",
                              json_object_new_boolean (x->is_disruptive));
      json_object_object_add (e, "text", json_object_new_string (x->text));
      json_object_array_add (list, e);
    }
  for (guint i = 0; i < c->moved_shares->len; i++)
    {
      const struct bb_ctl_moved_share *m
          = &g_array_index (c->moved_shares, struct bb_ctl_moved_share, i);
      json_object_object_add (moved_shares, m->service,
                              json_object_new_double (m->share));
    }
  json_object_object_add (o, "data_centre",
                          json_object_new_string (data_centre));
  json_object_object_add (o, "changes", list);
  json_object_object_add (o, "new_flows_moved", moved_shares);
  return o;
}

/* Data centres with the same changes are printed together.  */
struct group
{
  char *text;
  GString *names;
};

static void
add_to_groups (GArray *groups, const char *data_centre, char *text)
{
  for (guint i = 0; i < groups->len; i++)
    {
      struct group *g = &g_array_index (groups, struct group, i);
      if (!strcmp (g->text, text))
        {
          g_string_append_printf (g->names, ", %s", data_centre);
          g_free (text);
          return;
        }
    }
  struct group g = { text, g_string_new (data_centre) };
  g_array_append_val (groups, g);
}

static void
print_groups (GArray *groups)
{
  bool is_disruptive = false;

  for (guint i = 0; i < groups->len; i++)
    {
      struct group *g = &g_array_index (groups, struct group, i);
      printf ("%s:\n%s", g->names->str,
              *g->text ? g->text : "    no change\n");
      is_disruptive = is_disruptive || strstr (g->text, "  ! ");
    }
  if (is_disruptive)
    puts ("! can break established flows or callers");
}

static void
clear_group (gpointer data)
{
  struct group *g = data;

  g_free (g->text);
  g_string_free (g->names, TRUE);
}

static void
compare_data_centre (struct bb_ctl_documents d[2], const char *name,
                     GPtrArray *problems, GArray *groups, json_object *list)
{
  struct bb_fleet *old = bb_ctl_documents_merge (&d[0], name, problems);
  struct bb_fleet *new = bb_ctl_documents_merge (&d[1], name, problems);

  if (old && new)
    {
      struct bb_ctl_changes *c = bb_ctl_changes_compute (old, new);
      json_object_array_add (list, changes_json (name, c));
      add_to_groups (groups, name, format_changes (c));
      bb_ctl_changes_free (c);
    }
  bb_fleet_free (old);
  bb_fleet_free (new);
}

static bool
files_are_equal (const char *a, const char *b)
{
  g_autofree char *x = NULL;
  g_autofree char *y = NULL;
  gsize m = 0;
  gsize n = 0;

  return g_file_get_contents (a, &x, &m, NULL)
         && g_file_get_contents (b, &y, &n, NULL) && m == n
         && !memcmp (x, y, m);
}

/* Reports a version that balancers would not accept: they ignore a lower
   version, and refuse the same version with different content.  */
static void
check_version (const struct bb_config_document *before, const char *old_path,
               const struct bb_config_document *after, const char *new_path,
               GPtrArray *problems)
{
  uint64_t old_version = bb_config_document_version (before);
  uint64_t new_version = bb_config_document_version (after);
  struct bb_problem *p;

  if (new_version > old_version
      || (new_version == old_version && files_are_equal (old_path, new_path)))
    return;
  p = g_new0 (struct bb_problem, 1);
  p->kind = new_version < old_version ? BB_ERROR_STALE_VERSION
                                      : BB_ERROR_VERSION_CONFLICT;
  p->file = g_strdup (new_path);
  p->path = g_strdup ("/version");
  p->line = bb_config_document_line (after, "/version");
  p->text = g_strdup_printf ("%" G_GUINT64_FORMAT
                             "; expected at least %" G_GUINT64_FORMAT
                             ", or balancers %s it",
                             new_version, old_version + 1,
                             new_version < old_version ? "ignore" : "refuse");
  g_ptr_array_add (problems, p);
}

static void
check_versions (struct bb_ctl_documents d[2], char **paths,
                GPtrArray *problems)
{
  check_version (d[0].base, paths[0], d[1].base, paths[1], problems);
  if (!old_overlays || !overlays)
    return;
  for (guint i = 0; i < d[0].overlays->len; i++)
    for (guint j = 0; j < d[1].overlays->len; j++)
      {
        const struct bb_config_document *a = d[0].overlays->pdata[i];
        const struct bb_config_document *b = d[1].overlays->pdata[j];
        if (!g_strcmp0 (bb_config_document_data_centre (a),
                        bb_config_document_data_centre (b)))
          check_version (a, old_overlays[i], b, overlays[j], problems);
      }
}

static void
compare_bases (struct bb_ctl_documents d[2], char **paths, GPtrArray *problems)
{
  GArray *groups = g_array_new (FALSE, TRUE, sizeof (struct group));
  json_object *list = json_object_new_array ();

  g_array_set_clear_func (groups, clear_group);
  for (char **name = d[1].data_centres; *name; name++)
    if (g_strv_contains ((const char *const *)d[0].data_centres, *name))
      compare_data_centre (d, *name, problems, groups, list);
    else
      add_to_groups (groups, *name, g_strdup ("    new data centre\n"));
  for (char **name = d[0].data_centres; *name; name++)
    if (!g_strv_contains ((const char *const *)d[1].data_centres, *name))
      add_to_groups (groups, *name, g_strdup ("  ! data centre removed\n"));
  check_versions (d, paths, problems);
  if (json)
    {
      json_object *o = json_object_new_object ();
      json_object_object_add (o, "data_centres", json_object_get (list));
      json_object_object_add (o, "problems",
                              bb_ctl_problems_to_json (problems));
      bb_ctl_print_json (o);
    }
  else
    print_groups (groups);
  g_array_unref (groups);
  json_object_put (list);
}

int
bb_ctl_run_diff (int argc, char **argv)
{
  struct bb_ctl_documents d[2] = { 0 };
  int status;

  if (!bb_ctl_parse_options (&options, &argc, &argv))
    return BB_CTL_EXIT_USAGE;
  GPtrArray *problems = bb_problems_new ();
  bool old = bb_ctl_documents_load (
      &d[0], argv[1], old_overlays ? old_overlays : overlays, problems);
  bool new = bb_ctl_documents_load (&d[1], argv[2], overlays, problems);

  if (old && new)
    compare_bases (d, argv + 1, problems);
  status = json && old && new ? bb_ctl_problems_exit_status (problems)
                              : bb_ctl_print_problems (problems, json);
  g_ptr_array_unref (problems);
  bb_ctl_documents_clear (&d[0]);
  bb_ctl_documents_clear (&d[1]);
  return status;
}
