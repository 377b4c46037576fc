#include "config/fleet_check.h"
#include <string.h>

/* The identifier of a VM is derived from its name.  Rejects two VMs with the
   same identifier, or with the same address and data port, because balancers
   could not distinguish them.  Other contradictions are accepted, because the
   list may be out of date.  */
static bool
check_vm (const struct bb_config_layers *layers, const char *path,
          const struct bb_vm *vm, struct bb_unique_values *unique,
          const void *context)
{
  (void)context;
  if (!*vm->name || !vm->data.address)
    return true; /* the invalid name or address was reported already */
  g_autofree char *data = bb_endpoint_format (vm->data);
  const char *earlier = bb_unique_values_add (unique, path, "%u", vm->id);

  if (earlier)
    bb_layers_add_error (layers, BB_ERROR_CONFLICT, path,
                         "the name %s has the same 32-bit key as the name of "
                         "%s; expected another name",
                         vm->name, earlier);
  earlier = bb_unique_values_add (unique, path, "%s", data);
  if (earlier)
    bb_layers_add_error (layers, BB_ERROR_CONFLICT, path,
                         "%s is also the address of %s; expected one VM per "
                         "address and data port",
                         data, earlier);
  return true;
}

size_t
bb_vms_read (const struct bb_config_layers *layers, const char *document,
             const char *list, json_object *array, bb_vm_check_func check,
             const void *context, struct bb_vm **vms)
{
  size_t count = array ? json_object_array_length (array) : 0, used = 0;
  g_autofree char *key = g_strdup_printf ("%s[]", list);
  struct bb_unique_values unique;

  bb_unique_values_init (&unique);
  *vms = g_new0 (struct bb_vm, count);
  for (size_t i = 0; i < count; i++)
    {
      json_object *object = json_object_array_get_idx (array, i);
      struct bb_vm *vm = &(*vms)[used];
      g_autofree char *path = g_strdup_printf ("/%s/%zu", list, i);
      if (!json_object_is_type (object, json_type_object))
        continue;
      bb_schema_read (layers, document, key, path, object, vm);
      vm->id = bb_name_key (vm->name);
      vm->control.address = vm->data.address;
      used += check (layers, path, vm, &unique, context);
    }
  bb_unique_values_clear (&unique);
  return used;
}

static void
read_servers (const struct bb_config_layers *layers, json_object *array,
              struct bb_vm_list *list)
{
  size_t count = array ? json_object_array_length (array) : 0;

  list->servers = g_new0 (struct bb_listed_server, count);
  for (size_t i = 0; i < count; i++)
    {
      json_object *object = json_object_array_get_idx (array, i);
      struct bb_listed_server_keys keys = { .state = BB_VM_LIVE };
      g_autofree char *path = g_strdup_printf ("/servers/%zu", i);
      if (!json_object_is_type (object, json_type_object))
        continue;
      bb_schema_read (layers, "vms", "servers[]", path, object, &keys);
      list->servers[list->server_count++] = (struct bb_listed_server){
        .key = bb_server_key (keys.service, keys.name),
        .state = keys.state,
      };
    }
}

struct bb_vm_list *
bb_config_parse_vms (const char *name, const uint8_t *bytes, size_t length,
                     GPtrArray *problems)
{
  struct bb_config_document *d
      = bb_config_parse (name, bytes, length, problems);
  struct bb_vm_list *list = g_new0 (struct bb_vm_list, 1);

  if (d)
    {
      struct bb_config_layers layers = { NULL, d, problems };
      bb_schema_check (d, "vms", problems);
      bb_schema_read (&layers, "vms", "", "", d->root, list);
      list->vm_count
          = bb_vms_read (&layers, "vms", "vms",
                         bb_json_member (d->root, "vms", json_type_array),
                         check_vm, NULL, &list->vms);
      read_servers (
          &layers, bb_json_member (d->root, "servers", json_type_array), list);
      bb_config_document_free (d);
    }
  if (!bb_problems_have_error (problems))
    return list;
  bb_vm_list_free (list);
  return NULL;
}

static void
warn_of_few_entry_vms (const struct bb_config_layers *layers,
                       const char *data_centre, const struct bb_vm_list *list)
{
  g_autofree char *path = g_strconcat ("/data_centres/", data_centre, NULL);
  size_t live = 0;

  for (size_t i = 0; i < list->vm_count; i++)
    live += list->vms[i].state == BB_VM_LIVE
            && !strcmp (list->vms[i].data_centre, data_centre);
  if (live == 0)
    bb_layers_add_warning (layers, path,
                           "no live entry VM; no balancer serves callers");
  else if (live == 1)
    bb_layers_add_warning (
        layers, path, "one live entry VM; its failure stops all services");
}

static bool
is_in_networks (json_object *networks, uint32_t address)
{
  const struct bb_key *key
      = bb_key_lookup ("base", "data_centres.NAME.entry_networks[]");
  size_t count = networks ? json_object_array_length (networks) : 0;
  enum bb_error_kind kind;

  for (size_t i = 0; i < count; i++)
    {
      json_object *value = json_object_array_get_idx (networks, i);
      struct bb_network n = { 0 };
      if (!bb_key_check (key, value, &kind))
        continue;
      bb_key_store (key, value, &n);
      if (n.prefix == 0 || (address ^ n.address) >> (32 - n.prefix) == 0)
        return true;
    }
  return count == 0;
}

static void
check_vm_location (const struct bb_config_layers *layers, json_object *all,
                   const struct bb_vm *vm)
{
  json_object *own = bb_json_member (all, vm->data_centre, json_type_object);

  if (!own)
    bb_layers_add_warning (layers, "/data_centres",
                           "VM %s is in data centre %s, which is not declared",
                           vm->name, vm->data_centre);
  else if (!is_in_networks (
               bb_json_member (own, "entry_networks", json_type_array),
               vm->data.address))
    {
      g_autofree char *address = bb_endpoint_format (vm->data);
      g_autofree char *path = g_strdup_printf (
          "/data_centres/%s/entry_networks", vm->data_centre);
      bb_layers_add_warning (
          layers, path, "VM %s has address %s, which no entry network holds",
          vm->name, address);
    }
}

void
bb_config_check_vms (const struct bb_config_document *base,
                     const struct bb_vm_list *list, GPtrArray *problems)
{
  struct bb_config_layers layers = { NULL, base, problems };
  json_object *all
      = bb_json_member (base->root, "data_centres", json_type_object);

  if (!all)
    return;
  json_object_object_foreach (all, name, value)
  {
    (void)value;
    warn_of_few_entry_vms (&layers, name, list);
  }
  for (size_t i = 0; i < list->vm_count; i++)
    check_vm_location (&layers, all, &list->vms[i]);
}
