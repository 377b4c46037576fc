#include "marked/state/directory_private.h"

struct bb_server_group *
bb_directory_find_service (const struct bb_directory *d, uint32_t service)
{
  return g_hash_table_lookup (d->services, GUINT_TO_POINTER (service));
}

struct bb_server_group *
bb_directory_get_service (struct bb_directory *d, uint32_t service,
                          const char *name)
{
  struct bb_server_group *group = bb_directory_find_service (d, service);
  if (group)
    return group;
  group = g_new0 (struct bb_server_group, 1);
  group->service = service;
  g_strlcpy (group->name, name, sizeof group->name);
  bb_list_init (&group->servers);
  g_hash_table_insert (d->services, GUINT_TO_POINTER (service), group);
  return group;
}

void
bb_directory_foreach_service (
    const struct bb_directory *d,
    void (*each) (void *context, const struct bb_server_group *group),
    void *context)
{
  GHashTableIter iter;
  gpointer group;
  g_hash_table_iter_init (&iter, d->services);
  while (g_hash_table_iter_next (&iter, NULL, &group))
    each (context, group);
}
