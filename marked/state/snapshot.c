#include "marked/state/snapshot.h"

struct bb_snapshot *
bb_snapshot_new (bb_usec requested_at)
{
  struct bb_snapshot *s = g_new0 (struct bb_snapshot, 1);
  s->requested_at = requested_at;
  s->servers = g_array_new (FALSE, FALSE, sizeof (struct bb_server_record));
  s->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->routes = g_array_new (FALSE, FALSE, sizeof (struct bb_route_record));
  return s;
}

void
bb_snapshot_free (struct bb_snapshot *s)
{
  if (!s)
    return;
  g_array_unref (s->servers);
  g_hash_table_unref (s->names);
  g_array_unref (s->routes);
  g_free (s);
}

void
bb_snapshot_add_server (struct bb_snapshot *s,
                        const struct bb_server_record *record)
{
  g_array_append_vals (s->servers, record, 1);
  g_hash_table_add (s->names, g_strdup (record->name));
}

void
bb_snapshot_set_configuration (struct bb_snapshot *s, uint64_t version,
                               uint64_t revision,
                               const struct bb_route_record *routes,
                               size_t count)
{
  s->version = version;
  s->configured = revision;
  g_array_set_size (s->routes, 0);
  g_array_append_vals (s->routes, routes, (guint)count);
}
