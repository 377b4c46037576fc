#include "marked/state/directory_private.h"

static uint64_t
limit_revision (const struct bb_link *link)
{
  return BB_LINKED (link, struct bb_service_limit, by_revision)
      ->record.revision;
}

static gint
compare_limits (gconstpointer a, gconstpointer b)
{
  return bb_directory_compare_revisions (
      limit_revision (*(struct bb_link *const *)a),
      limit_revision (*(struct bb_link *const *)b));
}

void
bb_directory_init_limits (struct bb_directory *d)
{
  d->limits = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  bb_list_init (&d->limits_by_revision);
}

struct bb_link *
bb_directory_service_limits (struct bb_directory *d)
{
  bb_directory_sort_list (&d->limits_by_revision, &d->limits_unsorted,
                          compare_limits);
  return &d->limits_by_revision;
}

const struct bb_service_limit *
bb_directory_find_limit (const struct bb_directory *d, uint64_t service)
{
  const struct bb_service_limit *limit
      = g_hash_table_lookup (d->limits, bb_directory_service_key (service));
  if (limit || bb_key_is_shared (service))
    return limit;
  uint64_t unnamed = bb_key_of_hash (bb_key_hash (service));
  return g_hash_table_lookup (d->limits, bb_directory_service_key (unnamed));
}

static struct bb_service_limit *
get_limit (struct bb_directory *d, uint64_t service)
{
  struct bb_service_limit *limit
      = g_hash_table_lookup (d->limits, bb_directory_service_key (service));
  if (limit)
    return limit;
  limit = g_new0 (struct bb_service_limit, 1);
  bb_list_init (&limit->by_revision);
  g_hash_table_insert (d->limits, bb_directory_service_key (service), limit);
  return limit;
}

enum bb_directory_change
bb_directory_put_service (struct bb_directory *d,
                          const struct bb_service_record *record, bb_usec now)
{
  if (record->revision == 0)
    return BB_DIRECTORY_STALE;
  uint64_t service = bb_key_resolve (record->service);
  struct bb_service_limit *limit = get_limit (d, service);
  if (record->revision <= limit->record.revision)
    return BB_DIRECTORY_STALE;
  uint32_t before = limit->record.cold_rate;
  bool same = limit->record.revision != 0 && before == record->cold_rate;
  limit->record = *record;
  limit->record.service = service;
  if (!same)
    limit->dropped = record->cold_rate ? 0 : MAX (now, 1);
  struct bb_link *head = &d->limits_by_revision;
  uint64_t newest = bb_list_empty (head) ? 0 : limit_revision (head->previous);
  bb_directory_append (head, &limit->by_revision, record->revision, newest,
                       &d->limits_unsorted);
  struct bb_server_group *group = bb_directory_find_service (d, service);
  if (group)
    group->cold_rate = record->cold_rate;
  if (before == record->cold_rate)
    return BB_DIRECTORY_UNCHANGED;
  if (record->cold_rate == 0)
    return BB_DIRECTORY_GONE;
  return before ? BB_DIRECTORY_CHANGED : BB_DIRECTORY_ADDED;
}

void
bb_directory_drop_unlisted_services (struct bb_directory *d,
                                     GHashTable *listed, uint64_t revision,
                                     bb_usec now)
{
  struct bb_link *next;
  for (struct bb_link *at = d->limits_by_revision.next;
       at != &d->limits_by_revision; at = next)
    {
      const struct bb_service_limit *limit
          = BB_LINKED (at, struct bb_service_limit, by_revision);
      next = at->next;
      struct bb_service_record gone
          = { .service = limit->record.service, .revision = revision };
      if (limit->record.cold_rate != 0
          && !g_hash_table_contains (listed,
                                     bb_directory_service_key (gone.service)))
        bb_directory_put_service (d, &gone, now);
    }
}

void
bb_directory_configure_limits (struct bb_directory *d,
                               const struct bb_configuration *c, bb_usec now)
{
  GHashTable *listed = g_hash_table_new (NULL, NULL);
  for (size_t i = 0; i < c->service_count; i++)
    g_hash_table_add (listed, bb_directory_service_key (
                                  bb_key_resolve (c->services[i].service)));
  bb_directory_drop_unlisted_services (d, listed, c->revision, now);
  g_hash_table_unref (listed);
  /* Also those that look the same: a peer may hold another one from a
     configuration in between.  */
  for (size_t i = 0; i < c->service_count; i++)
    bb_directory_put_service (d, &c->services[i], now);
}

void
bb_directory_sweep_limits (struct bb_directory *d, bb_usec now)
{
  struct bb_link *next;
  for (struct bb_link *at = d->limits_by_revision.next;
       at != &d->limits_by_revision; at = next)
    {
      struct bb_service_limit *limit
          = BB_LINKED (at, struct bb_service_limit, by_revision);
      next = at->next;
      if (limit->dropped == 0 || now - limit->dropped < BB_DIRECTORY_RETENTION)
        continue;
      d->removals_since = MAX (d->removals_since, limit->record.revision);
      bb_list_remove (&limit->by_revision);
      g_hash_table_remove (d->limits,
                           bb_directory_service_key (limit->record.service));
    }
}
