#include "bbctl/bbctl.h"
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

static void
add_file_problem (GPtrArray *problems, enum bb_error_kind kind,
                  const char *path, const char *text)
{
  struct bb_problem *p = g_new0 (struct bb_problem, 1);

  p->kind = kind;
  p->file = g_strdup (path);
  p->path = g_strdup ("/");
  p->text = g_strdup (text);
  g_ptr_array_add (problems, p);
}

bool
bb_ctl_read_file (const char *path, GPtrArray *problems, char **bytes,
                  size_t *length)
{
  GError *error = NULL;

  if (g_file_get_contents (path, bytes, length, &error))
    return true;
  add_file_problem (problems, BB_ERROR_IO, path, error->message);
  g_clear_error (&error);
  return false;
}

struct bb_config_document *
bb_ctl_load_document (const char *path, GPtrArray *problems)
{
  g_autofree char *bytes = NULL;
  size_t length = 0;
  struct stat st;

  /* Do not read a file above the limit into memory.  */
  if (!stat (path, &st) && st.st_size > BB_DOCUMENT_MAX)
    {
      add_file_problem (problems, BB_ERROR_TOO_LARGE, path,
                        "over 1 MB; expected at most 1048576 bytes");
      return NULL;
    }
  if (!bb_ctl_read_file (path, problems, &bytes, &length))
    return NULL;
  return bb_config_parse (path, (const uint8_t *)bytes, length, problems);
}

bool
bb_ctl_documents_load (struct bb_ctl_documents *d, const char *base,
                       char **paths, GPtrArray *problems)
{
  bool all_loaded = true;

  d->base = bb_ctl_load_document (base, problems);
  d->data_centres = d->base ? bb_config_document_data_centres (d->base) : NULL;
  d->overlays = g_ptr_array_new_with_free_func (
      (GDestroyNotify)bb_config_document_free);
  for (; paths && *paths; paths++)
    {
      struct bb_config_document *overlay
          = bb_ctl_load_document (*paths, problems);
      if (overlay)
        g_ptr_array_add (d->overlays, overlay);
      else
        all_loaded = false;
    }
  return all_loaded && d->base;
}

void
bb_ctl_documents_clear (struct bb_ctl_documents *d)
{
  bb_config_document_free (d->base);
  g_ptr_array_unref (d->overlays);
  g_strfreev (d->data_centres);
}

struct bb_fleet *
bb_ctl_documents_merge (const struct bb_ctl_documents *d,
                        const char *data_centre, GPtrArray *problems)
{
  const struct bb_config_document *overlay = NULL;

  for (guint i = 0; i < d->overlays->len; i++)
    if (!g_strcmp0 (bb_config_document_data_centre (d->overlays->pdata[i]),
                    data_centre))
      overlay = d->overlays->pdata[i];
  return bb_config_merge (d->base, overlay, data_centre, problems);
}

const char *
bb_ctl_documents_choose_data_centre (const struct bb_ctl_documents *d,
                                     const char *requested)
{
  const char *chosen = NULL;

  if (requested)
    return requested;
  if (d->overlays->len == 1)
    chosen = bb_config_document_data_centre (d->overlays->pdata[0]);
  else if (d->data_centres[0] && !d->data_centres[1])
    chosen = d->data_centres[0];
  if (!chosen)
    fputs ("bbctl: which data centre? Give one overlay or --data-centre.\n",
           stderr);
  return chosen;
}

int
bb_ctl_problems_exit_status (const GPtrArray *problems)
{
  for (guint i = 0; i < problems->len; i++)
    {
      const struct bb_problem *p = problems->pdata[i];
      if (!p->is_warning)
        return bb_error_handling (p->kind)->exit_status;
    }
  return 0;
}

static char *
format_problem (const struct bb_problem *p)
{
  const char *level = p->is_warning ? "warning" : "error";

  if (p->line)
    return g_strdup_printf ("%s:%d: %s: %s: %s", p->file, p->line, level,
                            p->path, p->text);
  return g_strdup_printf ("%s: %s: %s: %s", p->file, level, p->path, p->text);
}

/* Merging each overlay reports the problems of the base again; keep one of
   each.  */
static GPtrArray *
unique_problems (const GPtrArray *problems)
{
  GHashTable *seen
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GPtrArray *unique = g_ptr_array_new ();

  for (guint i = 0; i < problems->len; i++)
    if (g_hash_table_add (seen, format_problem (problems->pdata[i])))
      g_ptr_array_add (unique, problems->pdata[i]);
  g_hash_table_unref (seen);
  return unique;
}

json_object *
bb_ctl_problems_to_json (const GPtrArray *problems)
{
  json_object *list = json_object_new_array ();
  GPtrArray *unique = unique_problems (problems);

  for (guint i = 0; i < unique->len; i++)
    {
      const struct bb_problem *p = unique->pdata[i];
      json_object *o = json_object_new_object ();
      json_object_object_add (
          o, "level",
          json_object_new_string (p->is_warning ? "warning" : "error"));
      json_object_object_add (
          o, "kind",
          json_object_new_string (bb_error_handling (p->kind)->name));
      json_object_object_add (o, "file", json_object_new_string (p->file));
      json_object_object_add (o, "line", json_object_new_int (p->line));
      json_object_object_add (o, "path", json_object_new_string (p->path));
      json_object_object_add (o, "text", json_object_new_string (p->text));
      json_object_array_add (list, o);
    }
  g_ptr_array_unref (unique);
  return list;
}

int
bb_ctl_print_problems (const GPtrArray *problems, bool json)
{
  if (json)
    {
      json_object *o = json_object_new_object ();
      json_object_object_add (o, "problems",
                              bb_ctl_problems_to_json (problems));
      bb_ctl_print_json (o);
      return bb_ctl_problems_exit_status (problems);
    }
  GPtrArray *unique = unique_problems (problems);
  for (guint i = 0; i < unique->len; i++)
    {
      g_autofree char *line = format_problem (unique->pdata[i]);
      fprintf (stderr, "%s\n", line);
    }
  g_ptr_array_unref (unique);
  return bb_ctl_problems_exit_status (problems);
}
