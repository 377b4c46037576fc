#include "config/fleet_check.h"
#include <string.h>

static void
read_platform (const struct bb_config_layers *layers, json_object *object,
               struct bb_settings *s)
{
  struct bb_platform_keys keys = { 0 };

  bb_schema_read (layers, "settings", "platform", "/platform", object, &keys);
  bool is_http = keys.kind == BB_PLATFORM_HTTP;
  bool has_endpoint = keys.endpoint.address || keys.endpoint.port;
  bool has_whole_endpoint = keys.endpoint.address && keys.endpoint.port;

  if (json_object_object_get_ex (object, "kind", NULL))
    {
      if (is_http ? !has_whole_endpoint : !keys.path)
        bb_layers_add_error (layers, BB_ERROR_MISSING_KEY, "/platform",
                             "incomplete; expected also %s",
                             is_http ? "address and port, for kind http"
                                     : "path, for kind directory");
      if (is_http ? keys.path != NULL : has_endpoint)
        bb_layers_add_error (layers, BB_ERROR_CONFLICT, "/platform", "%s",
                             is_http ? "path is not used by kind http"
                                     : "address and port are not used by kind "
                                       "directory");
    }
  s->platform_kind = keys.kind;
  s->platform
      = is_http ? bb_endpoint_format (keys.endpoint) : g_strdup (keys.path);
  g_free (keys.path);
}

/* The same list of peers can be used on all VMs, so it may contain this VM's
   own name; that entry is skipped.  */
static bool
check_peer (const struct bb_config_layers *layers, const char *path,
            const struct bb_vm *vm, struct bb_unique_values *ids,
            const void *context)
{
  const struct bb_settings *s = context;
  const char *earlier = bb_unique_values_add (ids, path, "%u", vm->id);

  if (earlier && *vm->name)
    bb_layers_add_error (layers, BB_ERROR_CONFLICT, path,
                         "%s is already listed at %s; expected it once",
                         vm->name, earlier);
  return strcmp (vm->name, s->self.name) != 0;
}

static void
read_marked (const struct bb_config_layers *layers, json_object *object,
             struct bb_marked_settings *m)
{
  json_object *seeds = bb_json_member (object, "seeds", json_type_array);
  size_t count = seeds ? json_object_array_length (seeds) : 0;
  const struct bb_key *key = bb_key_lookup ("settings", "marked.seeds[]");
  enum bb_error_kind error;

  /* The defaults of 1.0 are set here, because bb_key_store does not store
     defaults of decimals.  */
  m->capacity = m->cold_factor = 1000;
  bb_schema_read (layers, "settings", "marked", "/marked", object, m);
  m->seeds = g_new0 (struct bb_endpoint, count);
  for (size_t i = 0; i < count; i++)
    {
      struct bb_key row = *key;
      json_object *value = json_object_array_get_idx (seeds, i);
      row.size = sizeof m->seeds[0];
      if (bb_key_check (&row, value, &error))
        bb_key_store (&row, value, &m->seeds[m->seed_count++]);
    }
}

static void
read_settings (const struct bb_config_layers *layers, struct bb_settings *s)
{
  json_object *root = layers->lower->root;
  json_object *egress = bb_json_member (root, "egress", json_type_object);
  json_object *platform = bb_json_member (root, "platform", json_type_object);
  json_object *marked = bb_json_member (root, "marked", json_type_object);
  json_object *level = bb_json_member (root, "log_level", json_type_string);

  bb_schema_read (layers, "settings", "", "", root, s);
  s->self.id = bb_name_key (s->self.name);
  s->self.control.address = s->self.data.address;
  s->metrics.address = s->metrics.port ? s->self.data.address : 0;
  s->log_level = g_strdup (level ? json_object_get_string (level) : "info");
  if (platform)
    read_platform (layers, platform, s);
  if (!egress && marked)
    s->egress.port = 0;
  else if (egress)
    bb_schema_read (layers, "settings", "egress", "/egress", egress,
                    &s->egress);
  else
    bb_layers_add_warning (
        layers, "/egress",
        "not set; callers whose flows are refused or get no response receive "
        "no reset and wait for their own timeouts");
  if (marked)
    read_marked (layers, marked, &s->marked);
  else if (!platform)
    bb_layers_add_error (layers, BB_ERROR_MISSING_KEY, "/platform",
                         "missing; expected an object, or \"marked\"");
  s->peer_count = bb_vms_read (layers, "settings", "peers",
                               bb_json_member (root, "peers", json_type_array),
                               check_peer, s, &s->peers);
}

struct bb_settings *
bb_settings_parse (const char *name, const uint8_t *bytes, size_t length,
                   GPtrArray *problems)
{
  struct bb_config_document *d
      = bb_config_parse (name, bytes, length, problems);
  struct bb_settings *s = g_new0 (struct bb_settings, 1);

  if (d)
    {
      struct bb_config_layers layers = { NULL, d, problems };
      bb_schema_check (d, "settings", problems);
      read_settings (&layers, s);
      bb_config_document_free (d);
    }
  if (!bb_problems_have_error (problems))
    return s;
  bb_settings_free (s);
  return NULL;
}

void
bb_settings_free (struct bb_settings *settings)
{
  if (!settings)
    return;
  g_free (settings->platform);
  g_free (settings->peers);
  g_free (settings->marked.seeds);
  g_free (settings->log_level);
  g_free (settings);
}
