/* Status of the engine for metrics and the operator's tool.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <string.h>

void
bb_engine_status (const struct bb_engine *e, bb_usec now,
                  struct bb_engine_status *s)
{
  *s = (struct bb_engine_status){
    .state = e->state,
    .ready = e->ready,
    .version_age = now - e->version_changed_at,
    .generation = e->generation,
    .phase = e->phase,
    .flows = e->flows.used,
    .flow_capacity = e->flows.capacity,
    .entries_unsynced = e->replication_done ? 0 : e->flows.used,
  };
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    s->versions[k] = e->stored_documents[k].version;
  for (uint32_t i = 0; i < e->peer_count; i++)
    {
      s->peers_live += bb_peer_is_live (e, &e->peers[i]);
      s->peers_lost += e->peers[i].has_reported && e->peers[i].suspected
                       && e->peers[i].state != BB_PEER_LEAVING;
    }
}

static void
describe_server (const struct bb_engine *e, const struct bb_slot *t,
                 bb_usec now, struct bb_server_status *s)
{
  *s = (struct bb_server_status){
    .service = t->service_key,
    .server = t->key,
    .gue = t->gue,
    .listed = t->listed,
    .in_default_set = t->default_weight != 0,
    .healthy = t->health.up,
    .draining = t->drain || t->leaving || t->health.draining,
    .bit_set = t->bit_set,
    .bit_set_by_peer = t->bit_set_by_peer,
    .flows = t->open_flows,
    .load = t->health.load,
    .report_age = t->health.last_report ? now - t->health.last_report : -1,
  };
  const char *service = e->services[t->service].conf.name;
  memcpy (s->service_name, service, sizeof s->service_name);
  memcpy (s->server_name, t->name, sizeof s->server_name);
}

size_t
bb_engine_servers (const struct bb_engine *e, bb_usec now,
                   struct bb_server_status *servers, size_t max)
{
  for (uint32_t i = 0; i < e->slot_count && i < max; i++)
    describe_server (e, &e->slots[i], now, &servers[i]);
  return e->slot_count;
}

size_t
bb_engine_peers (const struct bb_engine *e, bb_usec now,
                 struct bb_peer_status *peers, size_t max)
{
  for (uint32_t i = 0; i < e->peer_count && i < max; i++)
    {
      const struct bb_peer *p = &e->peers[i];
      peers[i] = (struct bb_peer_status){
        .vm = p->vm,
        .state = p->state,
        .suspected = p->suspected || !p->has_reported,
        .last_received_age = now - p->last_received,
      };
      memcpy (peers[i].versions, p->versions, sizeof p->versions);
    }
  return e->peer_count;
}

static uint32_t
key_of (const struct bb_engine *e, uint16_t slot)
{
  return slot == BB_NO_SLOT ? 0 : e->slots[slot].key;
}

bool
bb_engine_explain (const struct bb_engine *e, const struct bb_packet *packet,
                   struct bb_explanation *x)
{
  const struct bb_service_state *s
      = bb_service_by_destination ((struct bb_engine *)e, packet);
  if (!s || !s->default_server)
    return false;
  uint64_t hash = bb_flow_hash (packet, e->hash_seed);
  uint32_t b = bb_hash_bucket (hash, s->buckets);
  *x = (struct bb_explanation){
    .service = s->conf.key,
    .bucket = b,
    .default_server = key_of (e, s->default_server[b]),
    .desired_server = key_of (e, s->desired_server[b]),
    .tracked = s->route[b] & BB_ROUTE_TRACKED,
  };
  return true;
}
