/* Fake configuration service.  Fleets and VM lists are handed to the engines
   as structures.  The documents that engines exchange hold only the version
   number, padded to the size of a typical document.  */

#include "driver/private.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

enum
{
  DOCUMENT_BYTES = 4000,
  SECOND_SERVICE_SERVERS = 4,
};

static struct bb_service
make_service (struct bb_driver *d, int index, uint32_t servers)
{
  static const char *const names[] = { "order", "catalogue" };
  struct bb_service s = {
    .key = bb_name_key (names[index]),
    .address = { 0x0a640001u + (uint32_t)index, 80 },
    .protocol = d->o.datagrams && index ? IPPROTO_UDP : IPPROTO_TCP,
    .policy = d->o.policy,
    .spill_permille = d->o.spill_permille,
    .buckets = BB_BUCKETS_DEFAULT,
    .ramp_ms = 30000,
    .idle_s = d->o.idle_s,
    .silent_ms = d->o.silent_ms,
    .servers = g_new0 (struct bb_server, servers),
    .server_count = servers,
  };
  g_strlcpy (s.name, names[index], sizeof s.name);
  for (uint32_t i = 0; i < servers; i++)
    {
      struct bb_server *t = &s.servers[i];
      g_snprintf (t->name, sizeof t->name, "s%u", i);
      t->key = bb_server_key (s.name, t->name);
      t->gue = (struct bb_endpoint){ 0x0a010000u + (uint32_t)d->server_count,
                                     6080 };
      t->health = (struct bb_endpoint){ t->gue.address, 8080 };
      t->weight = 100;
      t->slots = 2;
      t->connection_limit = d->o.connection_limit;
      d->servers[d->server_count++] = (struct bb_driver_server){
        .key = t->key, .service = index, .up = true, .started = -3600 * BB_SEC
      };
    }
  return s;
}

void
bb_driver_platform_init (struct bb_driver *d)
{
  struct bb_fleet *f = g_new0 (struct bb_fleet, 1);
  f->overlay_version = 1;
  f->hash_seed = 7;
  g_strlcpy (f->data_centre, "medellin", sizeof f->data_centre);
  f->networks = g_new0 (struct bb_network, 1);
  f->networks[0] = (struct bb_network){ 0x0a020000u, 16 };
  f->network_count = 1;
  f->services = g_new0 (struct bb_service, 2);
  f->services[0] = make_service (d, 0, d->o.servers);
  f->services[1] = make_service (d, 1, SECOND_SERVICE_SERVERS);
  f->service_count = 2;
  bb_driver_publish_fleet (d, f, 0);
  struct bb_vm_list *l = g_new0 (struct bb_vm_list, 1);
  l->vms = g_new0 (struct bb_vm, BB_DRIVER_NODES);
  for (uint32_t i = 0; i < d->o.balancers; i++)
    l->vms[l->vm_count++] = d->nodes[i].vm;
  bb_driver_publish_vm_list (d, l, 0);
}

struct bb_fleet *
bb_driver_copy_fleet (struct bb_driver *d)
{
  return bb_fleet_copy (d->fleets[d->fleet_count]);
}

static void
schedule_reads (struct bb_driver *d, enum bb_driver_event_kind kind,
                uint64_t version, bb_usec spread)
{
  for (int i = 0; i < BB_DRIVER_NODES; i++)
    {
      if (!d->nodes[i].engine || !d->nodes[i].config)
        continue;
      bb_usec delay = bb_driver_random (d, (uint32_t)spread + 1);
      struct bb_driver_event *ev = bb_driver_schedule (d, delay, kind);
      ev->node = (int16_t)i;
      ev->epoch = d->nodes[i].start_count;
      ev->version = version;
    }
}

void
bb_driver_publish_fleet (struct bb_driver *d, struct bb_fleet *fleet,
                         bb_usec spread)
{
  g_assert (d->fleet_count + 1 < BB_DRIVER_VERSIONS);
  fleet->base_version = ++d->fleet_count;
  d->fleets[d->fleet_count] = fleet;
  schedule_reads (d, BB_DRIVER_CONFIG, d->fleet_count, spread);
}

struct bb_vm_list *
bb_driver_copy_vm_list (struct bb_driver *d)
{
  const struct bb_vm_list *old = d->lists[d->list_count];
  struct bb_vm_list *l = g_new0 (struct bb_vm_list, 1);
  l->vms = g_new0 (struct bb_vm, BB_DRIVER_NODES);
  memcpy (l->vms, old->vms, old->vm_count * sizeof *l->vms);
  l->vm_count = old->vm_count;
  l->servers = g_new0 (struct bb_listed_server, BB_DRIVER_SERVERS);
  for (size_t i = 0; i < old->server_count; i++)
    l->servers[i] = old->servers[i];
  l->server_count = old->server_count;
  return l;
}

void
bb_driver_publish_vm_list (struct bb_driver *d, struct bb_vm_list *list,
                           bb_usec spread)
{
  g_assert (d->list_count + 1 < BB_DRIVER_VERSIONS);
  list->version = ++d->list_count;
  d->lists[d->list_count] = list;
  schedule_reads (d, BB_DRIVER_VM_LIST, d->list_count, spread);
}

bool
bb_driver_apply_version (struct bb_driver *d, int node,
                         enum bb_document_kind kind, uint64_t version)
{
  struct bb_driver_node *n = &d->nodes[node];
  uint8_t bytes[DOCUMENT_BYTES] = { 0 };
  bool ok = kind == BB_DOCUMENT_VMS
                ? bb_engine_set_vm_list (n->engine, d->lists[version], d->now)
                : bb_engine_set_fleet (n->engine, d->fleets[version], d->now);
  if (!ok)
    return false;
  memcpy (bytes, &version, sizeof version);
  bb_engine_store_document (n->engine, kind, version, bytes, sizeof bytes);
  if (kind == BB_DOCUMENT_BASE)
    {
      uint64_t one = 1;
      memcpy (bytes, &one, sizeof one);
      bb_engine_store_document (n->engine, BB_DOCUMENT_OVERLAY, 1, bytes,
                                sizeof bytes);
      n->version_at[version] = d->now;
    }
  return true;
}

void
bb_driver_read_config (struct bb_driver *d, struct bb_driver_event *ev)
{
  if (!d->nodes[ev->node].config)
    return;
  enum bb_document_kind kind
      = ev->kind == BB_DRIVER_VM_LIST ? BB_DOCUMENT_VMS : BB_DOCUMENT_BASE;
  bb_driver_apply_version (d, ev->node, kind, ev->version);
}

bool
bb_driver_offer_version (struct bb_driver *d, int node, uint64_t version)
{
  return bb_driver_apply_version (d, node, BB_DOCUMENT_BASE, version);
}

void
bb_driver_drain_server (struct bb_driver *d, int server, bb_usec spread)
{
  struct bb_fleet *f = bb_driver_copy_fleet (d);
  d->servers[server].drained = true;
  for (size_t i = 0; i < f->service_count; i++)
    for (size_t k = 0; k < f->services[i].server_count; k++)
      if (f->services[i].servers[k].key == d->servers[server].key)
        f->services[i].servers[k].drain = true;
  bb_driver_publish_fleet (d, f, spread);
}
