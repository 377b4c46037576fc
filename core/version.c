/* Puts versions of the configuration and of the VM list in force.  A version
   that is not newer is ignored, so that the state never goes back.  */

#include "core/engine_private.h"

#include <string.h>

static void
unlist_all (struct bb_engine *e)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    e->services[i].listed = false;
}

static void
set_server (struct bb_engine *e, const struct bb_service *service,
            const struct bb_server *server, bb_usec now)
{
  struct bb_slot *t = bb_slot_find_or_add (e, service->key, server->key, now);
  if (!t)
    return;
  if (!t->listed)
    t->listed_since = now;
  t->listed = true;
  t->drain = server->drain;
  t->weight = server->weight;
  t->gue = server->gue;
  t->health_endpoint = server->health;
  t->connection_limit = server->connection_limit;
  memcpy (t->name, server->name, sizeof t->name);
}

static void
set_service (struct bb_engine *e, const struct bb_service *service,
             bb_usec now)
{
  struct bb_service_state *s = bb_service_find_or_add (e, service->key);
  if (!s)
    return;
  s->listed = true;
  s->conf = *service;
  s->conf.servers = NULL;
  s->conf.server_count = 0;
  if (!s->formed_version)
    s->buckets = service->buckets ? service->buckets : BB_BUCKETS_DEFAULT;
  for (size_t i = 0; i < service->server_count; i++)
    set_server (e, service, &service->servers[i], now);
}

/* Whether FLEET lists the server T.  */
static bool
lists_server (const struct bb_fleet *fleet, const struct bb_slot *t)
{
  for (size_t i = 0; i < fleet->service_count; i++)
    {
      const struct bb_service *s = &fleet->services[i];
      if (s->key != t->service_key)
        continue;
      for (size_t k = 0; k < s->server_count; k++)
        if (s->servers[k].key == t->key)
          return true;
    }
  return false;
}

static void
unlist_missing (struct bb_engine *e, const struct bb_fleet *fleet, bb_usec now)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[i];
      if (!t->listed || lists_server (fleet, t))
        continue;
      t->listed = false;
      t->unlisted_since = now;
    }
}

static bool
is_newer (const struct bb_fleet *old, const struct bb_fleet *new)
{
  if (!old)
    return true;
  if (new->base_version < old->base_version
      || new->overlay_version < old->overlay_version)
    return false;
  return new->base_version > old->base_version
         || new->overlay_version > old->overlay_version;
}

bool
bb_engine_set_fleet (struct bb_engine *e, const struct bb_fleet *fleet,
                     bb_usec now)
{
  if (!is_newer (e->fleet, fleet))
    {
      bb_engine_emit_event (e, BB_EVENT_VERSION_STALE, 0, 0,
                            fleet->base_version);
      return false;
    }
  unlist_all (e);
  unlist_missing (e, fleet, now);
  for (size_t i = 0; i < fleet->service_count; i++)
    set_service (e, &fleet->services[i], now);
  bb_fleet_free (e->fleet);
  e->fleet = bb_fleet_copy (fleet);
  e->version_changed_at = now;
  e->version_in_effect = false;
  e->heartbeat_pending = true;
  if (e->generation)
    bb_default_set_form (e);
  else
    e->hash_seed = fleet->hash_seed;
  bb_tables_rebuild (e, now);
  bb_bits_merge (e, now);
  bb_place_prepare (e, now);
  bb_engine_emit_event (e, BB_EVENT_VERSION, 0, 0, fleet->base_version);
  return true;
}

/* The list may lack a live server, so a server that is not in it is taken as
   live.  */
static enum bb_vm_state
listed_state (const struct bb_vm_list *l, uint32_t key)
{
  for (size_t i = 0; i < l->server_count; i++)
    if (l->servers[i].key == key)
      return l->servers[i].state;
  return BB_VM_LIVE;
}

static void
update_leaving (struct bb_engine *e, const struct bb_vm_list *l)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[i];
      bool leaving = listed_state (l, t->key) == BB_VM_LEAVING;
      if (leaving && !t->leaving)
        bb_engine_emit_event (e, BB_EVENT_SERVER_DRAIN, 0, t->key, l->version);
      t->leaving = leaving;
    }
}

bool
bb_engine_set_vm_list (struct bb_engine *e, const struct bb_vm_list *l,
                       bb_usec now)
{
  if (l->version <= e->list_version)
    return false;
  e->list_version = l->version;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      e->peers[i].delisted |= e->peers[i].listed;
      e->peers[i].listed = false;
    }
  for (size_t i = 0; i < l->vm_count; i++)
    {
      bb_peer_add (e, &l->vms[i], false, now);
      struct bb_peer *p = bb_peer_find (e, l->vms[i].id);
      if (p)
        {
          p->listed = true;
          p->delisted = false;
        }
    }
  update_leaving (e, l);
  return true;
}
