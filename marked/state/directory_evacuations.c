#include "marked/state/directory_private.h"
#include <string.h>

static uint64_t
evacuation_revision (const struct bb_link *link)
{
  return BB_LINKED (link, struct bb_evacuation, by_revision)->record.revision;
}

static gint
compare_evacuations (gconstpointer a, gconstpointer b)
{
  return bb_directory_compare_revisions (
      evacuation_revision (*(struct bb_link *const *)a),
      evacuation_revision (*(struct bb_link *const *)b));
}

void
bb_directory_init_evacuations (struct bb_directory *d)
{
  d->evacuations
      = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  bb_list_init (&d->evacuations_by_revision);
}

struct bb_link *
bb_directory_evacuations (struct bb_directory *d)
{
  bb_directory_sort_list (&d->evacuations_by_revision,
                          &d->evacuations_unsorted, compare_evacuations);
  return &d->evacuations_by_revision;
}

bool
bb_directory_is_evacuated (const struct bb_directory *d,
                           const char *data_centre)
{
  const struct bb_evacuation *e
      = g_hash_table_lookup (d->evacuations, data_centre);
  return e && e->record.is_active;
}

uint32_t
bb_directory_count_evacuations (const struct bb_directory *d)
{
  uint32_t count = 0;
  const struct bb_link *head = &d->evacuations_by_revision;
  for (const struct bb_link *at = head->next; at != head; at = at->next)
    count
        += BB_LINKED (at, struct bb_evacuation, by_revision)->record.is_active;
  return count;
}

static struct bb_evacuation *
get_evacuation (struct bb_directory *d, const char *data_centre)
{
  struct bb_evacuation *e = g_hash_table_lookup (d->evacuations, data_centre);
  if (e)
    return e;
  e = g_new0 (struct bb_evacuation, 1);
  bb_list_init (&e->by_revision);
  g_strlcpy (e->record.data_centre, data_centre, sizeof e->record.data_centre);
  g_hash_table_insert (d->evacuations, e->record.data_centre, e);
  return e;
}

static void
mark_servers (struct bb_directory *d, const struct bb_evacuation_record *r)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, d->names);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct bb_backend_server *s = value;
      if (strcmp (s->record.data_centre, r->data_centre) == 0)
        s->is_evacuated = r->is_active;
    }
}

enum bb_directory_change
bb_directory_put_evacuation (struct bb_directory *d,
                             const struct bb_evacuation_record *record,
                             bb_usec now)
{
  if (record->revision == 0)
    return BB_DIRECTORY_STALE;
  struct bb_evacuation *e = get_evacuation (d, record->data_centre);
  if (record->revision <= e->record.revision)
    return BB_DIRECTORY_STALE;
  bool was_known = e->record.revision != 0;
  bool was_active = e->record.is_active;
  e->record.is_active = record->is_active;
  e->record.revision = record->revision;
  e->held_until = 0;
  if (record->is_active)
    e->ended = 0;
  else if (was_active || !was_known)
    e->ended = MAX (now, 1);
  struct bb_link *head = &d->evacuations_by_revision;
  uint64_t newest
      = bb_list_empty (head) ? 0 : evacuation_revision (head->previous);
  bb_directory_append (head, &e->by_revision, record->revision, newest,
                       &d->evacuations_unsorted);
  if (was_active == record->is_active)
    return BB_DIRECTORY_UNCHANGED;
  mark_servers (d, &e->record);
  return record->is_active ? BB_DIRECTORY_ADDED : BB_DIRECTORY_GONE;
}

void
bb_directory_end_held_evacuations (
    struct bb_directory *d, bb_usec now,
    void (*ended) (void *context, const struct bb_evacuation_record *record),
    void *context)
{
  struct bb_link *head = &d->evacuations_by_revision;
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      struct bb_evacuation *e
          = BB_LINKED (at, struct bb_evacuation, by_revision);
      if (e->held_until == 0 || now < e->held_until)
        continue;
      e->held_until = 0;
      e->ended = MAX (now, 1);
      e->record.is_active = false;
      mark_servers (d, &e->record);
      ended (context, &e->record);
    }
}

void
bb_directory_sweep_evacuations (struct bb_directory *d, bb_usec now)
{
  struct bb_link *next;
  for (struct bb_link *at = d->evacuations_by_revision.next;
       at != &d->evacuations_by_revision; at = next)
    {
      struct bb_evacuation *e
          = BB_LINKED (at, struct bb_evacuation, by_revision);
      next = at->next;
      if (e->ended == 0 || now - e->ended < BB_DIRECTORY_RETENTION)
        continue;
      d->removals_since = MAX (d->removals_since, e->record.revision);
      bb_list_remove (&e->by_revision);
      g_hash_table_remove (d->evacuations, e->record.data_centre);
    }
}
