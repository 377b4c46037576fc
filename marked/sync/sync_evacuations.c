#include "marked/sync/sync_private.h"

void
bb_sync_apply_evacuation (struct bb_directory *directory,
                          const struct bb_evacuation_record *record,
                          enum bb_reason from, uint64_t revision, bb_usec age,
                          const struct bb_sync_sink *sink, void *context,
                          bb_usec now)
{
  enum bb_directory_change change
      = bb_directory_put_evacuation (directory, record, now);
  if (change == BB_DIRECTORY_UNCHANGED || change == BB_DIRECTORY_STALE)
    return;
  struct bb_event event = { .kind = BB_EVENT_EVACUATION,
                            .data_centre = bb_name_key (record->data_centre),
                            .value = record->is_active,
                            .reason = from,
                            .revision = revision,
                            .age = age };
  sink->event (context, &event);
}

void
bb_sync_end_unlisted_evacuations (struct bb_directory *directory,
                                  GHashTable *listed, uint64_t revision,
                                  enum bb_reason from, bb_usec age,
                                  const struct bb_sync_sink *sink,
                                  void *context, bb_usec now)
{
  struct bb_link *head = bb_directory_evacuations (directory);
  struct bb_link *next;
  for (struct bb_link *at = head->next; at != head; at = next)
    {
      struct bb_evacuation *e
          = BB_LINKED (at, struct bb_evacuation, by_revision);
      struct bb_evacuation_record end = e->record;
      next = at->next;
      if (!end.is_active || end.revision >= revision
          || g_hash_table_contains (listed, end.data_centre))
        continue;
      /* What the store lost is written again.  If it returns once more before
         that, the time for it starts anew.  */
      if (bb_sync_is_newer_era (revision, end.revision))
        e->held_until = now + BB_EXPIRY_GRACE_TIME;
      if (e->held_until > now)
        continue;
      end.is_active = false;
      end.revision = revision;
      bb_sync_apply_evacuation (directory, &end, from, revision, age, sink,
                                context, now);
    }
}

/* Peers of older builds.  */

void
bb_sync_set_complete (struct bb_sync *s, uint64_t revision, bool is_complete,
                      bb_usec now)
{
  if (is_complete)
    {
      /* What ended in between and was never held here is not recorded.  */
      if (!bb_sync_is_complete (s))
        bb_directory_add_gap (s->directory, s->complete_revision, revision,
                              bb_directory_history_start (s->directory));
      s->complete_revision = revision;
      s->incomplete_since = 0;
    }
  else if (s->incomplete_since == 0)
    s->incomplete_since = now;
}

bool
bb_sync_is_complete (const struct bb_sync *s)
{
  return s->incomplete_since == 0;
}

uint64_t
bb_sync_complete_revision (const struct bb_sync *s)
{
  return s->complete_revision;
}

/* Batches.  */

void
bb_sync_begin_evacuations (struct bb_sync_batch *b, bool is_whole)
{
  b->evacuations
      = g_array_new (FALSE, FALSE, sizeof (struct bb_evacuation_record));
  b->limits = g_array_new (FALSE, FALSE, sizeof (struct bb_service_record));
  if (!is_whole)
    return;
  b->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->services = g_hash_table_new (NULL, NULL);
}

void
bb_sync_clear_evacuations (struct bb_sync_batch *b)
{
  if (b->evacuations)
    g_array_unref (b->evacuations);
  if (b->limits)
    g_array_unref (b->limits);
  if (b->evacuated)
    g_hash_table_unref (b->evacuated);
  if (b->services)
    g_hash_table_unref (b->services);
}

void
bb_sync_collect_evacuations (struct bb_sync_batch *b,
                             const struct bb_sync_records *m)
{
  b->lacks_evacuations |= !m->has_evacuations;
  g_array_append_vals (b->evacuations, m->evacuations, m->evacuation_count);
  g_array_append_vals (b->limits, m->services, m->service_count);
  for (uint32_t i = 0; b->evacuated && i < m->evacuation_count; i++)
    if (m->evacuations[i].is_active)
      g_hash_table_add (b->evacuated,
                        g_strdup (m->evacuations[i].data_centre));
  for (uint32_t i = 0; b->services && i < m->service_count; i++)
    if (m->services[i].cold_rate > 0)
      g_hash_table_add (b->services, bb_directory_service_key (bb_key_resolve (
                                         m->services[i].service)));
}

void
bb_sync_apply_evacuations (struct bb_sync *s, const struct bb_sync_batch *b,
                           const struct bb_sync_records *m, bb_usec now)
{
  bb_usec age = (bb_usec)m->verified_ms * BB_MSEC;
  for (guint i = 0; i < b->evacuations->len; i++)
    {
      const struct bb_evacuation_record *r
          = &g_array_index (b->evacuations, struct bb_evacuation_record, i);
      if (r->revision > s->complete_revision || !r->is_active)
        bb_sync_apply_evacuation (s->directory, r, BB_REASON_PEER, m->to, age,
                                  s->sink, s->context, now);
    }
  if (b->evacuated && !b->lacks_evacuations)
    bb_sync_end_unlisted_evacuations (s->directory, b->evacuated, m->to,
                                      BB_REASON_PEER, age, s->sink, s->context,
                                      now);
}

void
bb_sync_apply_limits (struct bb_sync *s, const struct bb_sync_batch *b,
                      const struct bb_sync_records *m, bb_usec now)
{
  for (guint i = 0; i < b->limits->len; i++)
    {
      const struct bb_service_record *r
          = &g_array_index (b->limits, struct bb_service_record, i);
      if (r->revision > s->complete_revision)
        bb_directory_put_service (s->directory, r, now);
    }
  if (b->services && !b->lacks_evacuations)
    bb_directory_drop_unlisted_services (s->directory, b->services, m->to,
                                         now);
}
