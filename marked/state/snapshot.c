#include "marked/state/snapshot.h"

struct bb_snapshot *
bb_snapshot_new (bb_usec requested_at)
{
  struct bb_snapshot *s = g_new0 (struct bb_snapshot, 1);
  s->requested_at = requested_at;
  s->servers = g_array_new (FALSE, FALSE, sizeof (struct bb_server_record));
  s->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  s->routes = g_array_new (FALSE, FALSE, sizeof (struct bb_route_record));
  s->services = g_array_new (FALSE, FALSE, sizeof (struct bb_service_record));
  s->evacuations
      = g_array_new (FALSE, FALSE, sizeof (struct bb_evacuation_record));
  s->evacuated = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
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
  g_array_unref (s->services);
  g_array_unref (s->evacuations);
  g_hash_table_unref (s->evacuated);
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
bb_snapshot_set_configuration (struct bb_snapshot *s,
                               const struct bb_configuration *c)
{
  s->version = c->version;
  s->configured = c->revision;
  g_array_set_size (s->routes, 0);
  g_array_append_vals (s->routes, c->routes, (guint)c->route_count);
  g_array_set_size (s->services, 0);
  g_array_append_vals (s->services, c->services, (guint)c->service_count);
}

struct bb_configuration
bb_snapshot_get_configuration (const struct bb_snapshot *s)
{
  return (struct bb_configuration){
    .version = s->version,
    .revision = s->configured,
    .routes = (struct bb_route_record *)(void *)s->routes->data,
    .route_count = s->routes->len,
    .services = (struct bb_service_record *)(void *)s->services->data,
    .service_count = s->services->len,
  };
}

void
bb_snapshot_add_evacuation (struct bb_snapshot *s,
                            const struct bb_evacuation_record *record)
{
  g_array_append_vals (s->evacuations, record, 1);
  g_hash_table_add (s->evacuated, g_strdup (record->data_centre));
}
