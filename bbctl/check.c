#include "bbctl/bbctl.h"
#include <stdio.h>
#include <string.h>

static gboolean json;
static char *vms_path;

static const GOptionEntry entries[]
    = { { "vms", 0, 0, G_OPTION_ARG_FILENAME, &vms_path,
          "also check against this list of VMs", "FILE" },
        { "json", 0, 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL },
        G_OPTION_ENTRY_NULL };

static const struct bb_ctl_options options = {
  .entries = entries,
  .usage = "BASE [OVERLAY...]",
  .summary = "Checks a base with its overlays and reports all problems.\n"
             "Data centres without an overlay are checked with the base "
             "alone.",
  .description = "Exit status: 0 valid, perhaps with warnings; 2 invalid; "
                 "4 a file cannot be read.",
  .min_arguments = 1,
  .max_arguments = -1,
};

static void
add_conflict (GPtrArray *problems, enum bb_error_kind kind, const char *file,
              int line, char *text)
{
  struct bb_problem *p = g_new0 (struct bb_problem, 1);

  *p = (struct bb_problem){ .kind = kind,
                            .file = g_strdup (file),
                            .path = g_strdup ("/data_centre"),
                            .line = line,
                            .text = text };
  g_ptr_array_add (problems, p);
}

/* Reports overlays whose data centre is missing or not declared, or has
   another overlay already.  */
static void
check_overlay_data_centres (const struct bb_ctl_documents *d, char **paths,
                            GPtrArray *problems)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);

  for (guint i = 0; i < d->overlays->len; i++)
    {
      const struct bb_config_document *o = d->overlays->pdata[i];
      const char *name = bb_config_document_data_centre (o);
      int line = bb_config_document_line (o, "/data_centre");
      if (!name)
        bb_fleet_free (bb_config_merge (
            d->base, o, d->data_centres[0] ? d->data_centres[0] : "none",
            problems));
      else if (!g_strv_contains ((const char *const *)d->data_centres, name))
        bb_fleet_free (bb_config_merge (d->base, o, name, problems));
      else if (!g_hash_table_add (seen, (gpointer)name))
        add_conflict (
            problems, BB_ERROR_CONFLICT, paths[i], line,
            g_strdup_printf ("%s has another overlay; expected at most one",
                             name));
    }
  g_hash_table_unref (seen);
}

static void
check_vms (const struct bb_ctl_documents *d, GPtrArray *problems)
{
  g_autofree char *bytes = NULL;
  size_t length = 0;

  if (!bb_ctl_read_file (vms_path, problems, &bytes, &length))
    return;
  struct bb_vm_list *list = bb_config_parse_vms (
      vms_path, (const uint8_t *)bytes, length, problems);
  if (list)
    bb_config_check_vms (d->base, list, problems);
  bb_vm_list_free (list);
}

static void
print_fleet (const struct bb_fleet *f)
{
  size_t servers = 0;

  for (size_t i = 0; i < f->service_count; i++)
    servers += f->services[i].server_count;
  printf ("%s: base %" G_GUINT64_FORMAT ", overlay %" G_GUINT64_FORMAT
          ", %zu services, %zu servers: valid\n",
          f->data_centre, f->base_version, f->overlay_version,
          f->service_count, servers);
}

/* Collects the problems of each data centre in its own list, so that an error
   in one overlay does not prevent the others from being reported as valid.
   Returns whether the data centre is evacuated.  */
static bool
check_data_centre (const struct bb_ctl_documents *d, const char *name,
                   bool quiet, GPtrArray *problems)
{
  GPtrArray *own = bb_problems_new ();
  struct bb_fleet *f = bb_ctl_documents_merge (d, name, own);

  if (f && !quiet)
    print_fleet (f);
  bool is_evacuated = f && f->is_evacuated;
  bb_fleet_free (f);
  g_ptr_array_extend_and_steal (problems, own);
  return is_evacuated;
}

/* Balancers hold the overlay of their own data centre only, so that each of
   two evacuated ones sends new flows to the servers of the other.  Warns about
   those after the FIRST one.  */
static void
warn_evacuated_together (const struct bb_ctl_documents *d, char **paths,
                         const char *first, const char *name,
                         GPtrArray *problems)
{
  for (guint i = 0; i < d->overlays->len; i++)
    {
      const struct bb_config_document *o = d->overlays->pdata[i];
      const char *data_centre = bb_config_document_data_centre (o);
      if (!data_centre || strcmp (data_centre, name) != 0)
        continue;
      struct bb_problem *p = g_new0 (struct bb_problem, 1);
      *p = (struct bb_problem){
        .kind = BB_ERROR_CONFLICT,
        .is_warning = true,
        .file = g_strdup (paths[i]),
        .path = g_strdup ("/evacuated"),
        .line = bb_config_document_line (o, "/evacuated"),
        .text = g_strdup_printf ("%s is evacuated, too; the servers of each "
                                 "still get new flows of the other",
                                 first),
      };
      g_ptr_array_add (problems, p);
    }
}

static void
check_data_centres (const struct bb_ctl_documents *d, char **paths, bool quiet,
                    GPtrArray *problems)
{
  const char *first = NULL;

  for (char **name = d->data_centres; *name; name++)
    if (check_data_centre (d, *name, quiet, problems))
      {
        if (first)
          warn_evacuated_together (d, paths, first, *name, problems);
        else
          first = *name;
      }
}

int
bb_ctl_run_check (int argc, char **argv)
{
  struct bb_ctl_documents d = { 0 };

  if (!bb_ctl_parse_options (&options, &argc, &argv))
    return BB_CTL_EXIT_USAGE;
  GPtrArray *problems = bb_problems_new ();
  bool loaded = bb_ctl_documents_load (&d, argv[1], argv + 2, problems);
  if (d.base)
    {
      if (loaded)
        check_overlay_data_centres (&d, argv + 2, problems);
      check_data_centres (&d, argv + 2, json || !loaded, problems);
      if (!d.data_centres[0])
        check_data_centre (&d, "none", true, problems);
      if (vms_path)
        check_vms (&d, problems);
    }
  int status = bb_ctl_print_problems (problems, json);
  g_ptr_array_unref (problems);
  bb_ctl_documents_clear (&d);
  return status;
}
