#include "wire/message.h"
#include "wire/sync.h"
#include "wire/sync_fields.h"
#include "wire/wire.h"
#include "wire/writer.h"

enum
{
  HEADER_FIELDS = 4,
  /* Older builds put the suspicion of a server into a load.  */
  LOAD_NOT_SUSPECT = 0,
  /* Flows with first packets only, which older builds take for a sign of
     death.  In place of the flows whose retransmissions were not acknowledged,
     and of those whose were, they get the probes that failed and were
     answered.
   */
  SILENCE_NOT_OPENING = 0,
  /* Evacuations, limits of services, and what later releases appended.  */
  EVACUATION_ELEMENTS = 4,
};

/* Stands for a name that is not known; a name cannot be empty.  */
#define NO_NAME "-"

static const size_t body_fields[BB_SYNC_KINDS] = {
  [BB_SYNC_HEARTBEAT] = 18,
  [BB_SYNC_REQUEST] = 2,
  [BB_SYNC_RECORDS] = 20,
};

static void
put_revision (msgpack_packer *pk, uint64_t revision)
{
  bb_writer_put_uint (pk, bb_revision_number (revision));
}

static void
put_digest (msgpack_packer *pk, uint64_t key)
{
  struct bb_digest d = bb_key_digest (key);
  for (size_t i = 0; i < DIGEST_FIELDS; i++)
    bb_writer_put_uint (pk, d.words[i]);
}

static void
put_demands_and_rooms (msgpack_packer *pk, const struct bb_sync_heartbeat *h)
{
  msgpack_pack_array (pk, h->demand_count * DEMAND_FIELDS);
  for (uint32_t i = 0; i < h->demand_count; i++)
    {
      bb_writer_put_uint (pk, h->demands[i].service);
      bb_writer_put_uint (pk, h->demands[i].rate);
    }
  msgpack_pack_array (pk, h->room_count * ROOM_FIELDS);
  for (uint32_t i = 0; i < h->room_count; i++)
    {
      bb_writer_put_uint (pk, h->rooms[i].data_centre);
      bb_writer_put_uint (pk, h->rooms[i].service);
      bb_writer_put_uint (pk, h->rooms[i].pending);
      bb_writer_put_uint (pk, h->rooms[i].slots);
      bb_writer_put_uint (pk, h->rooms[i].age_ms);
    }
}

static void
put_answers (msgpack_packer *pk, const struct bb_sync_heartbeat *h)
{
  msgpack_pack_array (pk, h->answer_count * ANSWER_FIELDS);
  for (uint32_t i = 0; i < h->answer_count; i++)
    {
      bb_writer_put_uint (pk, h->answers[i].counts.usual);
      bb_writer_put_uint (pk, h->answers[i].counts.outliers);
      bb_writer_put_uint (pk, h->answers[i].is_failing);
    }
}

static void
put_silences (msgpack_packer *pk, const struct bb_sync_heartbeat *h)
{
  msgpack_pack_array (pk, h->silence_count * SILENCE_FIELDS);
  for (uint32_t i = 0; i < h->silence_count; i++)
    {
      bb_writer_put_uint (pk, h->silences[i].load);
      bb_writer_put_uint (pk, h->silences[i].flows);
      bb_writer_put_uint (pk, h->silences[i].age_ms);
    }
  msgpack_pack_array (pk, h->silence_count * SILENCE_DETAIL_FIELDS);
  for (uint32_t i = 0; i < h->silence_count; i++)
    {
      bb_writer_put_uint (pk, SILENCE_NOT_OPENING);
      bb_writer_put_uint (pk, h->silences[i].failed);
      bb_writer_put_uint (pk, h->silences[i].answered);
      bb_writer_put_uint (pk, h->silences[i].is_slow);
    }
}

static void
put_probes (msgpack_packer *pk, const struct bb_sync_heartbeat *h)
{
  msgpack_pack_array (pk, h->silence_count * SILENCE_PROBE_FIELDS);
  for (uint32_t i = 0; i < h->silence_count; i++)
    {
      bb_writer_put_uint (pk, h->silences[i].failed);
      bb_writer_put_uint (pk, h->silences[i].answered);
      bb_writer_put_uint (pk, h->silences[i].probed_ms);
    }
}

static void
put_heartbeat (msgpack_packer *pk, const struct bb_sync_heartbeat *h)
{
  bb_writer_put_uint (pk, bb_key_hash (h->data_centre));
  bb_writer_put_uint (pk, h->flags);
  bb_writer_put_uint (pk, h->capacity);
  put_revision (pk, h->revision);
  bb_writer_put_uint (pk, h->version);
  bb_writer_put_uint (pk, h->verified_ms);
  msgpack_pack_array (pk, h->listed_peer_count * VM_FIELDS);
  for (uint32_t i = 0; i < h->listed_peer_count; i++)
    {
      bb_writer_put_uint (pk, h->listed_peers[i].id);
      bb_writer_put_uint (pk, bb_key_hash (h->listed_peers[i].data_centre));
      bb_writer_put_endpoint (pk, &h->listed_peers[i].endpoint);
    }
  msgpack_pack_array (pk, h->load_count * LOAD_FIELDS);
  for (uint32_t i = 0; i < h->load_count; i++)
    {
      bb_writer_put_uint (pk, h->loads[i].cookie);
      bb_writer_put_uint (pk, h->loads[i].open);
      bb_writer_put_uint (pk, h->loads[i].busy);
      bb_writer_put_uint (pk, LOAD_NOT_SUSPECT);
      bb_writer_put_uint (pk, h->loads[i].is_answering);
    }
  bb_writer_put_uint (pk, bb_revision_era (h->revision));
  bb_writer_put_uint (pk, h->owners);
  bb_writer_put_uint (pk, h->owner_count);
  put_demands_and_rooms (pk, h);
  put_answers (pk, h);
  put_silences (pk, h);
  put_probes (pk, h);
  msgpack_pack_array (pk, DIGEST_FIELDS);
  put_digest (pk, h->data_centre);
}

static void
put_request (msgpack_packer *pk, const struct bb_sync_request *m)
{
  put_revision (pk, m->revision);
  bb_writer_put_uint (pk, bb_revision_era (m->revision));
}

/* Older builds have no state for a server that is withheld, or whose entry is
   unusable.  One that is draining gets no new flows and keeps the open ones,
   too.  If only the name is known, the record must leave the data held by the
   receiver, as that of an expired server does.  */
static enum bb_server_state
encode_state (const struct bb_server_record *r)
{
  if (r->state == BB_SERVER_WITHHELD)
    return BB_SERVER_DRAINING;
  if (r->state != BB_SERVER_UNUSABLE)
    return r->state;
  return r->address.port ? BB_SERVER_DRAINING : BB_SERVER_EXPIRED;
}

static const char *
encode_name (const char *name)
{
  return *name ? name : NO_NAME;
}

static void
put_server (msgpack_packer *pk, const struct bb_server_record *r)
{
  bb_writer_put_name (pk, r->name);
  bb_writer_put_name (pk, encode_name (r->service));
  bb_writer_put_name (pk, encode_name (r->data_centre));
  bb_writer_put_endpoint (pk, &r->address);
  bb_writer_put_uint (pk, r->tag);
  bb_writer_put_uint (pk, encode_state (r));
  bb_writer_put_uint (pk, r->cold_ms);
  bb_writer_put_uint (pk, r->gone_ms);
  bb_writer_put_uint (pk, r->slots);
  bb_writer_put_uint (pk, (uint64_t)r->born_ms);
  bb_writer_put_uint (pk, r->created);
  put_revision (pk, r->revision);
}

static void
put_route (msgpack_packer *pk, const struct bb_route_record *r)
{
  bb_writer_put_endpoint (pk, &r->address);
  put_revision (pk, r->revision);
  msgpack_pack_array (pk, 2 * r->share_count);
  for (uint32_t i = 0; i < r->share_count; i++)
    {
      bb_writer_put_uint (pk, bb_key_hash (r->shares[i].service));
      bb_writer_put_uint (pk, r->shares[i].weight);
    }
  msgpack_pack_array (pk, r->former_count);
  for (uint32_t i = 0; i < r->former_count; i++)
    bb_writer_put_uint (pk, bb_key_hash (r->former[i].service));
}

static void
put_evacuations (msgpack_packer *pk, const struct bb_sync_records *m)
{
  msgpack_pack_array (pk, m->evacuation_count * EVACUATION_FIELDS);
  for (uint32_t i = 0; i < m->evacuation_count; i++)
    {
      bb_writer_put_name (pk, m->evacuations[i].data_centre);
      bb_writer_put_uint (pk, m->evacuations[i].is_active);
      put_revision (pk, m->evacuations[i].revision);
    }
}

static void
put_service_limits (msgpack_packer *pk, const struct bb_sync_records *m)
{
  msgpack_pack_array (pk, m->service_count * SERVICE_LIMIT_FIELDS);
  for (uint32_t i = 0; i < m->service_count; i++)
    {
      bb_writer_put_uint (pk, bb_key_hash (m->services[i].service));
      bb_writer_put_uint (pk, m->services[i].cold_rate);
      put_revision (pk, m->services[i].revision);
    }
}

static void
put_former_ages (msgpack_packer *pk, const struct bb_sync_records *m)
{
  size_t count = 0;
  for (uint32_t i = 0; i < m->route_count; i++)
    count += m->routes[i].former_count;
  msgpack_pack_array (pk, count);
  for (uint32_t i = 0; i < m->route_count; i++)
    for (uint32_t k = 0; k < m->routes[i].former_count; k++)
      bb_writer_put_uint (pk, m->routes[i].former[k].age_ms);
}

/* Writes the digests of all services in the routes and the limits.  */
static void
put_digests (msgpack_packer *pk, const struct bb_sync_records *m)
{
  size_t count = m->service_count;
  for (uint32_t i = 0; i < m->route_count; i++)
    count += m->routes[i].share_count + m->routes[i].former_count;
  msgpack_pack_array (pk, count * DIGEST_FIELDS);
  for (uint32_t i = 0; i < m->route_count; i++)
    {
      for (uint32_t k = 0; k < m->routes[i].share_count; k++)
        put_digest (pk, m->routes[i].shares[k].service);
      for (uint32_t k = 0; k < m->routes[i].former_count; k++)
        put_digest (pk, m->routes[i].former[k].service);
    }
  for (uint32_t i = 0; i < m->service_count; i++)
    put_digest (pk, m->services[i].service);
}

/* Writes the states of the servers again, since those in the records are
   limited to what older builds accept.  */
static void
put_full_states (msgpack_packer *pk, const struct bb_sync_records *m)
{
  msgpack_pack_array (pk, m->server_count * FULL_STATE_FIELDS);
  for (uint32_t i = 0; i < m->server_count; i++)
    {
      bb_writer_put_uint (pk, m->servers[i].state);
      bb_writer_put_uint (pk, m->servers[i].hold_ms);
    }
}

static void
put_records (msgpack_packer *pk, const struct bb_sync_records *m)
{
  bb_writer_put_uint (pk, m->batch);
  bb_writer_put_uint (pk, m->chunk);
  bb_writer_put_uint (pk, m->chunk_count);
  put_revision (pk, m->from);
  put_revision (pk, m->to);
  put_revision (pk, m->removals_since);
  bb_writer_put_uint (pk, m->route_history_ms);
  bb_writer_put_uint (pk, m->version);
  bb_writer_put_uint (pk, m->verified_ms);
  msgpack_pack_array (pk, m->server_count * SERVER_FIELDS);
  for (uint32_t i = 0; i < m->server_count; i++)
    put_server (pk, &m->servers[i]);
  msgpack_pack_array (pk, m->route_count * ROUTE_FIELDS);
  for (uint32_t i = 0; i < m->route_count; i++)
    put_route (pk, &m->routes[i]);
  msgpack_pack_array (pk, m->route_count);
  for (uint32_t i = 0; i < m->route_count; i++)
    bb_writer_put_uint (pk, m->routes[i].objective_ms);
  msgpack_pack_array (pk, m->route_count);
  for (uint32_t i = 0; i < m->route_count; i++)
    bb_writer_put_uint (pk, m->routes[i].priority);
  bb_writer_put_uint (pk, bb_revision_era (m->to));
  put_full_states (pk, m);
  bb_writer_put_uint (pk, m->is_divergent);
  if (!m->has_evacuations)
    return;
  put_evacuations (pk, m);
  put_service_limits (pk, m);
  put_former_ages (pk, m);
  put_digests (pk, m);
}

/* A balancer that lacks evacuations does not send the elements.  */
static size_t
count_body_fields (const struct bb_sync_message *m)
{
  bool is_short
      = m->kind == BB_SYNC_RECORDS && !m->record_chunk.has_evacuations;
  return body_fields[m->kind] - (is_short ? EVACUATION_ELEMENTS : 0);
}

GByteArray *
bb_sync_encode (const struct bb_sync_message *m)
{
  GByteArray *out = g_byte_array_sized_new (256);
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, bb_writer_append);
  msgpack_pack_array (&pk, HEADER_FIELDS + count_body_fields (m));
  bb_writer_put_uint (&pk, BB_WIRE_VERSION);
  bb_writer_put_uint (&pk, m->kind);
  bb_writer_put_uint (&pk, m->from);
  bb_writer_put_uint (&pk, m->incarnation);
  switch (m->kind)
    {
    case BB_SYNC_HEARTBEAT:
      put_heartbeat (&pk, &m->heartbeat);
      break;
    case BB_SYNC_REQUEST:
      put_request (&pk, &m->request);
      break;
    case BB_SYNC_RECORDS:
      put_records (&pk, &m->record_chunk);
      break;
    case BB_SYNC_KINDS:
      break;
    }
  return out;
}
