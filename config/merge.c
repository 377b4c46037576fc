/* Builds the effective configuration of one data centre from the base and its
   overlay: merges the documents, reads services and servers, and checks that
   names, keys and addresses are unique.  */

#include "config/fleet_check.h"
#include <netinet/in.h>
#include <string.h>

struct merge
{
  struct bb_config_layers layers;
  const char *data_centre;
  json_object *root; /* merged document */
  bool is_evacuated;
  struct bb_unique_values endpoints;
  struct bb_unique_values keys;
};

/* Merges PATCH into TARGET as specified by RFC 7396: null deletes, objects are
   merged, any other value replaces.  PATH is the path of TARGET; it is used to
   warn about null for a key that does not exist.  */
static void
merge_patch (struct merge *m, json_object *target, json_object *patch,
             GString *path)
{
  size_t length = path->len;

  json_object_object_foreach (patch, name, value)
  {
    json_object *old = NULL;
    bool exists = json_object_object_get_ex (target, name, &old);
    bb_path_append_key (path, name);
    if (!value && !exists)
      bb_layers_add_warning (&m->layers, path->str,
                             "null deletes nothing; the base has no such key");
    if (!value)
      json_object_object_del (target, name);
    else if (json_object_is_type (value, json_type_object))
      {
        if (!json_object_is_type (old, json_type_object))
          {
            old = json_object_new_object ();
            json_object_object_add (target, name, old);
          }
        merge_patch (m, old, value, path);
      }
    else
      json_object_object_add (target, name, json_object_get (value));
    g_string_truncate (path, length);
  }
}

static void
merge_overlay (struct merge *m)
{
  json_object *overlay_services
      = m->layers.upper ? bb_json_member (m->layers.upper->root, "services",
                                          json_type_object)
                        : NULL;
  json_object *services
      = bb_json_member (m->root, "services", json_type_object);
  GString *path = g_string_new ("/services");

  if (overlay_services && !services)
    {
      services = json_object_new_object ();
      json_object_object_add (m->root, "services", services);
    }
  if (overlay_services)
    merge_patch (m, services, overlay_services, path);
  g_string_free (path, TRUE);
}

static json_object *
get_data_centres (const struct merge *m)
{
  return bb_json_member (m->root, "data_centres", json_type_object);
}

static void
check_data_centre (const struct merge *m, const char *path, const char *name)
{
  json_object *all = get_data_centres (m);
  GString *declared = g_string_new ("");

  if (!all || json_object_object_get_ex (all, name, NULL))
    {
      g_string_free (declared, TRUE);
      return;
    }
  json_object_object_foreach (all, other, value)
  {
    (void)value;
    g_string_append_printf (declared, "%s%s", declared->len ? ", " : "",
                            other);
  }
  bb_layers_add_error (&m->layers, BB_ERROR_CONFLICT, path,
                       "data centre %s does not exist; expected one of %s",
                       name, declared->str);
  g_string_free (declared, TRUE);
}

/* Reports that VALUE, of the key at PATH, is already used by the key at
   EARLIER.  */
static void
report_duplicate (struct merge *m, const char *path, const char *key,
                  const char *value, const char *earlier)
{
  g_autofree char *whole = g_strconcat (path, key, NULL);

  bb_layers_add_error (&m->layers, BB_ERROR_CONFLICT, whole,
                       "%s is taken by %s; expected another", value, earlier);
}

static void
check_server_unique (struct merge *m, const char *path,
                     const struct bb_server *v,
                     struct bb_unique_values *endpoints)
{
  g_autofree char *gue = bb_endpoint_format (v->gue);
  const char *earlier = v->gue.address && v->gue.port
                            ? bb_unique_values_add (endpoints, path, "%s", gue)
                            : NULL;

  if (earlier)
    report_duplicate (m, path, "/address", gue, earlier);
  earlier = bb_unique_values_add (&m->keys, path, "%u", v->key);
  if (earlier)
    report_duplicate (m, path, "", "the 32-bit key of the name", earlier);
}

/* Whether the base declares server NAME of SERVICE.  One that only the overlay
   declares is in the data centre of the overlay.  */
static bool
is_in_base (const struct merge *m, const char *service, const char *name)
{
  json_object *o = m->layers.lower->root;
  const char *const names[] = { "services", service, "servers", name };

  for (size_t i = 0; i < G_N_ELEMENTS (names); i++)
    if (!(o = bb_json_member (o, names[i], json_type_object)))
      return false;
  return true;
}

/* Reads one server.  Returns whether DATA_CENTRE of M uses the server.  */
static bool
read_server (struct merge *m, const char *path, const char *name,
             json_object *object, struct bb_service_keys *s,
             struct bb_unique_values *endpoints, struct bb_server *server)
{
  struct bb_server_keys keys
      = { .server.connection_limit = s->connection_limit,
          .server.slots = s->slots };

  bb_schema_read (&m->layers, "base", "services.NAME.servers.NAME", path,
                  object, &keys);
  *server = keys.server;
  g_strlcpy (server->name, name, BB_NAME_MAX);
  server->key = bb_server_key (s->service.name, name);
  server->health.address = server->health.port ? server->gue.address : 0;
  check_server_unique (m, path, server, endpoints);
  if (!*keys.data_centre)
    {
      server->drain
          |= m->is_evacuated && !is_in_base (m, s->service.name, name);
      return true;
    }
  g_autofree char *key = g_strconcat (path, "/data_centre", NULL);
  check_data_centre (m, key, keys.data_centre);
  bool is_own = strcmp (keys.data_centre, m->data_centre) == 0;
  server->drain |= m->is_evacuated && is_own;
  return is_own || m->is_evacuated;
}

static int
compare_servers (const void *a, const void *b)
{
  return strcmp (((const struct bb_server *)a)->name,
                 ((const struct bb_server *)b)->name);
}

static int
compare_services (const void *a, const void *b)
{
  return strcmp (((const struct bb_service *)a)->name,
                 ((const struct bb_service *)b)->name);
}

/* Reads the servers of a service, sorted by name so that their order in the
   documents has no effect.  */
static void
read_servers (struct merge *m, const char *path, json_object *servers,
              struct bb_service_keys *s)
{
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct bb_server));
  struct bb_unique_values endpoints;

  bb_unique_values_init (&endpoints);
  if (servers)
    {
      json_object_object_foreach (servers, name, object)
      {
        struct bb_server server;
        if (!json_object_is_type (object, json_type_object))
          continue;
        GString *key = g_string_new (path);
        g_string_append (key, "/servers");
        bb_path_append_key (key, name);
        if (read_server (m, key->str, name, object, s, &endpoints, &server))
          g_array_append_val (list, server);
        g_string_free (key, TRUE);
      }
    }
  bb_unique_values_clear (&endpoints);
  g_array_sort (list, compare_servers);
  s->service.server_count = list->len;
  s->service.servers = (struct bb_server *)g_array_free (list, FALSE);
}

static void
check_service_unique (struct merge *m, const char *path,
                      const struct bb_service *s)
{
  g_autofree char *address = bb_endpoint_format (s->address);
  g_autofree char *value = g_strdup_printf (
      "%s/%s", address, s->protocol == IPPROTO_UDP ? "udp" : "tcp");
  const char *earlier
      = s->address.address && s->address.port
            ? bb_unique_values_add (&m->endpoints, path, "%s", value)
            : NULL;

  if (earlier)
    report_duplicate (m, path, "/address", value, earlier);
  earlier = bb_unique_values_add (&m->keys, path, "%u", s->key);
  if (earlier)
    report_duplicate (m, path, "", "the 32-bit key of the name", earlier);
}

static void
read_spill_permille (const struct merge *m, const char *path,
                     json_object *object, struct bb_service *s)
{
  json_object *spill_permille
      = bb_json_member (object, "spill_permille", json_type_int);

  if (s->policy == BB_POLICY_EVEN)
    s->spill_permille
        = spill_permille ? s->spill_permille : BB_SPILL_PERMILLE_DEFAULT;
  else if (s->spill_permille)
    {
      g_autofree char *key = g_strconcat (path, "/spill_permille", NULL);
      bb_layers_add_warning (
          &m->layers, key,
          "has no effect with policy table; expected policy even");
      s->spill_permille = 0;
    }
}

static void
read_service (struct merge *m, const char *name, json_object *object,
              struct bb_service *service)
{
  struct bb_service_keys keys = { 0 };
  struct bb_service *s = &keys.service;
  GString *path = g_string_new ("/services");

  bb_path_append_key (path, name);
  g_strlcpy (s->name, name, BB_NAME_MAX);
  s->key = bb_name_key (name);
  bb_schema_read (&m->layers, "base", "services.NAME", path->str, object,
                  &keys);
  read_spill_permille (m, path->str, object, s);
  check_service_unique (m, path->str, s);
  json_object *servers = bb_json_member (object, "servers", json_type_object);
  read_servers (m, path->str, servers, &keys);
  if (servers)
    bb_service_check (&m->layers, path->str, m->data_centre, m->is_evacuated,
                      s);
  *service = *s;
  g_string_free (path, TRUE);
}

static void
read_services (struct merge *m, struct bb_fleet *fleet)
{
  json_object *services
      = bb_json_member (m->root, "services", json_type_object);
  GArray *list = g_array_new (FALSE, TRUE, sizeof (struct bb_service));

  if (services && json_object_object_length (services) == 0)
    bb_layers_add_error (&m->layers, BB_ERROR_MISSING_KEY, "/services",
                         "no service is left; expected at least one");
  if (services)
    {
      json_object_object_foreach (services, name, object)
      {
        struct bb_service service;
        if (!json_object_is_type (object, json_type_object))
          continue;
        read_service (m, name, object, &service);
        g_array_append_val (list, service);
      }
    }
  g_array_sort (list, compare_services);
  fleet->service_count = list->len;
  fleet->services = (struct bb_service *)g_array_free (list, FALSE);
}

static void
read_networks (const struct merge *m, struct bb_fleet *fleet)
{
  const struct bb_key *key
      = bb_key_lookup ("base", "data_centres.NAME.entry_networks[]");
  json_object *all = get_data_centres (m);
  json_object *own
      = all ? bb_json_member (all, m->data_centre, json_type_object) : NULL;
  json_object *list
      = own ? bb_json_member (own, "entry_networks", json_type_array) : NULL;
  size_t count = list ? json_object_array_length (list) : 0;
  enum bb_error_kind kind;

  fleet->networks = g_new0 (struct bb_network, count);
  for (size_t i = 0; i < count; i++)
    {
      json_object *value = json_object_array_get_idx (list, i);
      if (bb_key_check (key, value, &kind))
        bb_key_store (key, value, &fleet->networks[fleet->network_count++]);
    }
}

static void
read_overlay (struct merge *m, struct bb_fleet *fleet)
{
  const struct bb_config_document *overlay = m->layers.upper;
  struct bb_config_layers layers = { NULL, overlay, m->layers.problems };

  if (overlay)
    bb_schema_read (&layers, "overlay", "", "", overlay->root, fleet);
  if (*fleet->data_centre && strcmp (fleet->data_centre, m->data_centre) != 0)
    bb_layers_add_error (&layers, BB_ERROR_CONFLICT, "/data_centre",
                         "the overlay is for %s; expected %s",
                         fleet->data_centre, m->data_centre);
  g_strlcpy (fleet->data_centre, m->data_centre, BB_NAME_MAX);
  m->is_evacuated = fleet->is_evacuated;
}

struct bb_fleet *
bb_config_merge (const struct bb_config_document *base,
                 const struct bb_config_document *overlay,
                 const char *data_centre, GPtrArray *problems)
{
  struct merge m
      = { .layers = { overlay, base, problems }, .data_centre = data_centre };
  struct bb_config_layers own = { NULL, base, problems };
  struct bb_fleet *fleet = g_new0 (struct bb_fleet, 1);

  bb_schema_check (base, "base", problems);
  if (overlay)
    bb_schema_check (overlay, "overlay", problems);
  json_object_deep_copy (base->root, &m.root, NULL);
  bb_unique_values_init (&m.endpoints);
  bb_unique_values_init (&m.keys);
  merge_overlay (&m);
  bb_schema_read (&own, "base", "", "", m.root, fleet);
  read_overlay (&m, fleet);
  check_data_centre (&m, overlay ? "/data_centre" : "/data_centres",
                     data_centre);
  read_networks (&m, fleet);
  read_services (&m, fleet);
  bb_unique_values_clear (&m.endpoints);
  bb_unique_values_clear (&m.keys);
  json_object_put (m.root);
  if (!bb_problems_have_error (problems))
    return fleet;
  bb_fleet_free (fleet);
  return NULL;
}
