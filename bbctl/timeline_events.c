/* Assigns the events of each source to runs of a process, and removes events
   that several sources contain.  */

#include "bbctl/timeline.h"
#include <string.h>

static void
free_event (gpointer data)
{
  struct bb_ctl_event *e = data;

  json_object_put (e->line);
  g_free (e);
}

static void
free_run (gpointer data)
{
  struct bb_ctl_process_run *r = data;

  g_ptr_array_unref (r->events);
  g_free (r->vm);
  g_free (r);
}

struct bb_ctl_timeline *
bb_ctl_timeline_new (void)
{
  struct bb_ctl_timeline *t = g_new0 (struct bb_ctl_timeline, 1);

  t->runs = g_ptr_array_new_with_free_func (free_run);
  t->run_by_event
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  t->corrections = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                          (GDestroyNotify)g_array_unref);
  t->sorted = g_ptr_array_new ();
  return t;
}

void
bb_ctl_timeline_free (struct bb_ctl_timeline *t)
{
  g_ptr_array_unref (t->sorted);
  g_hash_table_unref (t->run_by_event);
  g_hash_table_unref (t->corrections);
  g_ptr_array_unref (t->runs);
  g_free (t);
}

static struct bb_ctl_process_run *
new_run (struct bb_ctl_timeline *t, const char *vm)
{
  struct bb_ctl_process_run *r = g_new0 (struct bb_ctl_process_run, 1);

  r->vm = g_strdup (vm);
  r->index = t->runs->len;
  r->events = g_ptr_array_new_with_free_func (free_event);
  g_ptr_array_add (t->runs, r);
  return r;
}

/* Position in one source for each VM: the current run, and the last sequence
   number in it.  */
struct cursor
{
  struct bb_ctl_process_run *run;
  int64_t seq;
  bool is_own_run; /* RUN has events of this source only, so far */
};

static void
append_event (struct bb_ctl_process_run *run, json_object *line, int64_t seq)
{
  struct bb_ctl_event *e = g_new0 (struct bb_ctl_event, 1);

  e->line = json_object_get (line);
  e->run = run;
  e->seq = seq;
  e->time_us = bb_ctl_json_int64 (line, "time_us");
  g_ptr_array_add (run->events, e);
}

static struct cursor *
get_cursor (GHashTable *cursors, const char *vm, const char *kind)
{
  char *key = g_strconcat (vm, kind, NULL);
  struct cursor *c = g_hash_table_lookup (cursors, key);

  if (c)
    {
      g_free (key);
      return c;
    }
  c = g_new0 (struct cursor, 1);
  g_hash_table_insert (cursors, key, c);
  return c;
}

/* Adds a log line without a sequence number.  Such lines keep the order of
   their source.  */
static void
add_unnumbered_line (struct bb_ctl_timeline *t, GHashTable *cursors,
                     json_object *line)
{
  const char *vm = bb_ctl_json_string (line, "vm");
  struct cursor *c = get_cursor (cursors, vm, " log");
  char *id = g_strdup (
      json_object_to_json_string_ext (line, JSON_C_TO_STRING_PLAIN));

  if (!c->run)
    c->run = new_run (t, vm);
  if (g_hash_table_lookup (t->run_by_event, id))
    {
      g_free (id);
      return;
    }
  append_event (c->run, line, ++c->seq);
  g_hash_table_insert (t->run_by_event, id, c->run);
}

/* Moves the events of FROM to TO, once they turn out to be of the same
   process.  */
static void
merge_runs (struct bb_ctl_timeline *t, struct bb_ctl_process_run *from,
            struct bb_ctl_process_run *to)
{
  GHashTableIter iter;
  gpointer value;

  for (guint i = 0; i < from->events->len; i++)
    ((struct bb_ctl_event *)from->events->pdata[i])->run = to;
  g_ptr_array_extend_and_steal (to->events, from->events);
  from->events = g_ptr_array_new_with_free_func (free_event);
  g_hash_table_iter_init (&iter, t->run_by_event);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    if (value == from)
      g_hash_table_iter_replace (&iter, to);
}

/* Adds an event with a sequence number.  A number that is not greater than the
   last one starts a new run, because the process was restarted.  An event that
   another source had, too, shows that both runs are of the same process.  */
static void
add_numbered_line (struct bb_ctl_timeline *t, GHashTable *cursors,
                   json_object *line)
{
  const char *vm = bb_ctl_json_string (line, "vm");
  int64_t seq = bb_ctl_json_int64 (line, "seq");
  struct cursor *c = get_cursor (cursors, vm, "");
  char *id = g_strdup_printf ("%s %" G_GINT64_FORMAT " %" G_GINT64_FORMAT
                              " %" G_GINT64_FORMAT,
                              vm, seq, bb_ctl_json_int64 (line, "mono_us"),
                              bb_ctl_json_int64 (line, "time_us"));
  struct bb_ctl_process_run *shared_run
      = g_hash_table_lookup (t->run_by_event, id);

  if (!c->run || seq <= c->seq)
    *c = (struct cursor){ .run = new_run (t, vm), .is_own_run = true };
  c->seq = seq;
  if (shared_run)
    {
      if (c->is_own_run && c->run != shared_run)
        merge_runs (t, c->run, shared_run);
      c->run = shared_run;
      c->is_own_run = false;
      g_free (id);
      return;
    }
  append_event (c->run, line, seq);
  g_hash_table_insert (t->run_by_event, id, c->run);
}

void
bb_ctl_timeline_add_lines (struct bb_ctl_timeline *t, const char *text)
{
  GHashTable *cursors
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
  g_auto (GStrv) lines = g_strsplit (text, "\n", -1);

  for (char **l = lines; *l; l++)
    {
      if (!**l)
        continue;
      json_object *o = json_tokener_parse (*l);
      bool is_event
          = *bb_ctl_json_string (o, "event") && *bb_ctl_json_string (o, "vm");
      if (is_event && bb_ctl_json_member (o, "seq"))
        add_numbered_line (t, cursors, o);
      else if (is_event)
        add_unnumbered_line (t, cursors, o);
      else
        t->skipped_lines++;
      json_object_put (o);
    }
  g_hash_table_unref (cursors);
}
