#include "marked/state/directory_private.h"

enum
{
  POOL_MIN = 16,
};

void
bb_server_group_free (gpointer data)
{
  struct bb_server_group *group = data;
  g_free (group->pool);
  g_free (group);
}

bool
bb_server_is_eligible (const struct bb_backend_server *s)
{
  return bb_server_accepts_flows (s) && !s->is_evacuated && s->cookie != 0;
}

static uint32_t
count_servers (const struct bb_server_group *group)
{
  uint32_t count = 0;
  const struct bb_link *head = &group->servers;
  for (const struct bb_link *at = head->next; at != head; at = at->next)
    count++;
  return count;
}

/* Servers leave the list without a count, so that it is counted when the pool
   seems too small.  */
void
bb_server_group_add (struct bb_server_group *group,
                     struct bb_backend_server *s)
{
  bb_list_append (&group->servers, &s->of_service);
  if (++group->server_count <= group->pool_capacity)
    return;
  group->server_count = count_servers (group);
  if (group->server_count * 2 <= group->pool_capacity)
    return;
  group->pool_capacity = MAX (group->server_count * 2, POOL_MIN);
  group->pool = g_renew (struct bb_backend_server *, group->pool,
                         group->pool_capacity);
}

gpointer
bb_directory_service_key (uint64_t service)
{
  G_STATIC_ASSERT (sizeof (gpointer) >= sizeof (uint64_t));
  return GSIZE_TO_POINTER (service);
}

struct bb_server_group *
bb_directory_find_service (const struct bb_directory *d, uint64_t service)
{
  return g_hash_table_lookup (
      d->services, bb_directory_service_key (bb_key_resolve (service)));
}

struct bb_server_group *
bb_server_group_get (struct bb_directory *d, uint64_t service,
                     const char *name)
{
  struct bb_server_group *group = bb_directory_find_service (d, service);
  if (group)
    return group;
  group = g_new0 (struct bb_server_group, 1);
  group->service = service;
  g_strlcpy (group->name, name, sizeof group->name);
  const struct bb_service_limit *limit = bb_directory_find_limit (d, service);
  group->cold_rate = limit ? limit->record.cold_rate : 0;
  bb_list_init (&group->servers);
  g_hash_table_insert (d->services, bb_directory_service_key (service), group);
  return group;
}

void
bb_directory_foreach_service (const struct bb_directory *d,
                              void (*each) (void *context,
                                            struct bb_server_group *group),
                              void *context)
{
  GHashTableIter iter;
  gpointer group;
  g_hash_table_iter_init (&iter, d->services);
  while (g_hash_table_iter_next (&iter, NULL, &group))
    each (context, group);
}
