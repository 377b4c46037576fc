/* Codec of the sync messages.  A message is one flat msgpack array: [version,
   kind, from, incarnation, fields of the kind ...].  Later releases may append
   elements, which older receivers ignore.

   Revisions are sent without their era, which is one for all revisions of a
   message and an element of its own: older builds know no eras.  */

#include "wire/sync.h"
#include "wire/message.h"
#include "wire/reader.h"
#include "wire/wire.h"
#include "wire/writer.h"

enum
{
  HEADER_FIELDS = 4,
  VM_FIELDS = 4,
  LOAD_FIELDS = 5,
  DEMAND_FIELDS = 2,
  ROOM_FIELDS = 5,
  ANSWER_FIELDS = 3,
  SILENCE_FIELDS = 3,
  /* Older builds put the suspicion of a server into a load.  */
  LOAD_NOT_SUSPECT = 0,
  SERVER_FIELDS = 13,
  SERVER_STATE_MAX = BB_SERVER_EXPIRED, /* that older builds accept */
  ROUTE_FIELDS = 5,
  EVACUATION_FIELDS = 3,
  SERVICE_LIMIT_FIELDS = 3,
  FULL_STATE_FIELDS = 2,
  EVACUATION_ELEMENTS = 2, /* evacuations and limits of services */
};

/* Stands for a name that is not known; a name cannot be empty.  */
#define NO_NAME "-"

static const size_t body_fields[BB_SYNC_KINDS] = {
  [BB_SYNC_HEARTBEAT] = 15,
  [BB_SYNC_REQUEST] = 2,
  [BB_SYNC_RECORDS] = 18,
};

/* Encoding.  */

static void
put_revision (msgpack_packer *pk, uint64_t revision)
{
  bb_writer_put_uint (pk, bb_revision_number (revision));
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
}

static void
put_heartbeat (msgpack_packer *pk, const struct bb_sync_heartbeat *h)
{
  bb_writer_put_uint (pk, h->data_centre);
  bb_writer_put_uint (pk, h->flags);
  bb_writer_put_uint (pk, h->capacity);
  put_revision (pk, h->revision);
  bb_writer_put_uint (pk, h->version);
  bb_writer_put_uint (pk, h->verified_ms);
  msgpack_pack_array (pk, h->listed_peer_count * VM_FIELDS);
  for (uint32_t i = 0; i < h->listed_peer_count; i++)
    {
      bb_writer_put_uint (pk, h->listed_peers[i].id);
      bb_writer_put_uint (pk, h->listed_peers[i].data_centre);
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
      bb_writer_put_uint (pk, r->shares[i].service);
      bb_writer_put_uint (pk, r->shares[i].weight);
    }
  msgpack_pack_array (pk, r->allowed_count);
  for (uint32_t i = 0; i < r->allowed_count; i++)
    bb_writer_put_uint (pk, r->allowed[i]);
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
      bb_writer_put_uint (pk, m->services[i].service);
      bb_writer_put_uint (pk, m->services[i].cold_rate);
      put_revision (pk, m->services[i].revision);
    }
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

/* Decoding.  */

/* Reads the array that comes next as groups of FIELDS elements.  Sets *COUNT
   to the number of groups; more than MAX groups are invalid.  */
static struct bb_reader
read_groups (struct bb_reader *r, uint32_t fields, uint32_t max,
             uint32_t *count)
{
  struct bb_reader inner = bb_reader_get_array (r);
  *count = inner.remaining / fields;
  if (inner.remaining % fields != 0 || *count > max)
    {
      r->is_invalid = true;
      *count = 0;
    }
  return inner;
}

static uint64_t
read_revision (struct bb_reader *r)
{
  return bb_reader_get_uint (r, BB_REVISION_NUMBER_MAX);
}

/* Reads the era of the revisions of a message.  Earlier releases send none.
 */
static uint64_t
read_era (struct bb_reader *r)
{
  return r->remaining ? bb_reader_get_uint (r, BB_REVISION_ERA_MAX) : 0;
}

/* Reads the answers, which earlier releases do not send.  */
static void
read_answers (struct bb_reader *r, struct bb_sync_heartbeat *h)
{
  if (r->remaining == 0)
    return;
  struct bb_reader inner
      = read_groups (r, ANSWER_FIELDS, BB_SYNC_LOADS_MAX, &h->answer_count);
  for (uint32_t i = 0; i < h->answer_count; i++)
    {
      h->answers[i].counts.usual = bb_reader_get_u32 (&inner);
      h->answers[i].counts.outliers = bb_reader_get_u32 (&inner);
      h->answers[i].is_failing = bb_reader_get_uint (&inner, 1) != 0;
    }
  r->is_invalid
      |= inner.is_invalid
         || (h->answer_count > 0 && h->answer_count != h->load_count);
}

static void
read_silences (struct bb_reader *r, struct bb_sync_heartbeat *h)
{
  if (r->remaining == 0)
    return;
  struct bb_reader inner = read_groups (
      r, SILENCE_FIELDS, BB_SYNC_SILENCES_MAX, &h->silence_count);
  for (uint32_t i = 0; i < h->silence_count; i++)
    {
      h->silences[i].load = bb_reader_get_u32 (&inner);
      h->silences[i].flows = bb_reader_get_u32 (&inner);
      h->silences[i].age_ms = bb_reader_get_u32 (&inner);
      r->is_invalid |= h->silences[i].load >= h->load_count;
    }
  r->is_invalid |= inner.is_invalid;
}

static void
read_demands (struct bb_reader *r, struct bb_sync_heartbeat *h)
{
  struct bb_reader inner
      = read_groups (r, DEMAND_FIELDS, BB_SYNC_DEMANDS_MAX, &h->demand_count);
  for (uint32_t i = 0; i < h->demand_count; i++)
    {
      h->demands[i].service = bb_reader_get_u32 (&inner);
      h->demands[i].rate = bb_reader_get_u32 (&inner);
    }
  r->is_invalid |= inner.is_invalid;
}

static void
read_rooms (struct bb_reader *r, struct bb_sync_heartbeat *h)
{
  struct bb_reader inner
      = read_groups (r, ROOM_FIELDS, BB_SYNC_ROOMS_MAX, &h->room_count);
  for (uint32_t i = 0; i < h->room_count; i++)
    {
      h->rooms[i].data_centre = bb_reader_get_u32 (&inner);
      h->rooms[i].service = bb_reader_get_u32 (&inner);
      h->rooms[i].pending = bb_reader_get_u32 (&inner);
      h->rooms[i].slots = bb_reader_get_u32 (&inner);
      h->rooms[i].age_ms = bb_reader_get_u32 (&inner);
    }
  r->is_invalid |= inner.is_invalid;
}

/* Messages of earlier releases end after the loads or the era.  */
static void
read_heartbeat (struct bb_reader *r, struct bb_sync_heartbeat *h)
{
  h->data_centre = bb_reader_get_u32 (r);
  h->flags = bb_reader_get_u32 (r);
  h->capacity = bb_reader_get_u32 (r);
  h->revision = read_revision (r);
  h->version = bb_reader_get_uint (r, UINT64_MAX);
  h->verified_ms = bb_reader_get_u32 (r);
  struct bb_reader inner = read_groups (r, VM_FIELDS, BB_SYNC_LISTED_PEERS_MAX,
                                        &h->listed_peer_count);
  for (uint32_t i = 0; i < h->listed_peer_count; i++)
    {
      h->listed_peers[i].id = bb_reader_get_u32 (&inner);
      h->listed_peers[i].data_centre = bb_reader_get_u32 (&inner);
      bb_reader_get_endpoint (&inner, &h->listed_peers[i].endpoint);
    }
  r->is_invalid |= inner.is_invalid;
  inner = read_groups (r, LOAD_FIELDS, BB_SYNC_LOADS_MAX, &h->load_count);
  for (uint32_t i = 0; i < h->load_count; i++)
    {
      h->loads[i].cookie = bb_reader_get_u32 (&inner);
      h->loads[i].open = (uint16_t)bb_reader_get_uint (&inner, UINT16_MAX);
      h->loads[i].busy = (uint16_t)bb_reader_get_uint (&inner, UINT16_MAX);
      bb_reader_get_uint (&inner, 1); /* suspicion, from older builds */
      h->loads[i].is_answering = bb_reader_get_uint (&inner, 1) != 0;
    }
  r->is_invalid |= inner.is_invalid;
  h->revision = bb_revision_make (read_era (r), h->revision);
  h->owners = r->remaining ? bb_reader_get_u32 (r) : 0;
  h->owner_count = r->remaining ? bb_reader_get_u32 (r) : 0;
  if (r->remaining > 0)
    read_demands (r, h);
  if (r->remaining > 0)
    read_rooms (r, h);
  read_answers (r, h);
  read_silences (r, h);
}

static void
read_server (struct bb_reader *r, struct bb_server_record *s)
{
  bb_reader_get_name (r, s->name);
  bb_reader_get_name (r, s->service);
  bb_reader_get_name (r, s->data_centre);
  bb_reader_get_endpoint (r, &s->address);
  s->tag = bb_reader_get_uint (r, UINT64_MAX);
  s->state = (enum bb_server_state)bb_reader_get_uint (r, SERVER_STATE_MAX);
  if (s->address.port == 0)
    {
      s->service[0] = s->data_centre[0] = 0;
      if (s->state == BB_SERVER_EXPIRED)
        s->state = BB_SERVER_UNUSABLE;
    }
  s->cold_ms = bb_reader_get_u32 (r);
  s->gone_ms = bb_reader_get_u32 (r);
  s->slots = (uint16_t)bb_reader_get_uint (r, UINT16_MAX);
  s->born_ms = (int64_t)bb_reader_get_uint (r, INT64_MAX);
  s->created = bb_reader_get_uint (r, UINT64_MAX);
  s->revision = read_revision (r);
}

static void
read_route (struct bb_reader *r, struct bb_route_record *route)
{
  bb_reader_get_endpoint (r, &route->address);
  route->revision = read_revision (r);
  struct bb_reader inner
      = read_groups (r, 2, BB_ROUTE_SERVICES, &route->share_count);
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      route->shares[i].service = bb_reader_get_u32 (&inner);
      route->shares[i].weight = bb_reader_get_u32 (&inner);
    }
  r->is_invalid |= inner.is_invalid;
  inner = read_groups (r, 1, BB_ROUTE_ALLOWED, &route->allowed_count);
  for (uint32_t i = 0; i < route->allowed_count; i++)
    route->allowed[i] = bb_reader_get_u32 (&inner);
  r->is_invalid |= inner.is_invalid;
}

static void
read_evacuations (struct bb_reader *r, struct bb_sync_records *m)
{
  struct bb_reader inner = read_groups (
      r, EVACUATION_FIELDS, BB_SYNC_EVACUATIONS_MAX, &m->evacuation_count);
  for (uint32_t i = 0; i < m->evacuation_count; i++)
    {
      bb_reader_get_name (&inner, m->evacuations[i].data_centre);
      m->evacuations[i].is_active = bb_reader_get_uint (&inner, 1) != 0;
      m->evacuations[i].revision = read_revision (&inner);
    }
  r->is_invalid |= inner.is_invalid;
}

static void
read_service_limits (struct bb_reader *r, struct bb_sync_records *m)
{
  struct bb_reader inner = read_groups (
      r, SERVICE_LIMIT_FIELDS, BB_SYNC_SERVICES_MAX, &m->service_count);
  for (uint32_t i = 0; i < m->service_count; i++)
    {
      m->services[i].service = bb_reader_get_u32 (&inner);
      m->services[i].cold_rate = bb_reader_get_u32 (&inner);
      m->services[i].revision = read_revision (&inner);
    }
  r->is_invalid |= inner.is_invalid;
}

static void
read_objectives (struct bb_reader *r, struct bb_sync_records *m)
{
  struct bb_reader inner = bb_reader_get_array (r);
  for (uint32_t i = 0; i < m->route_count; i++)
    m->routes[i].objective_ms = bb_reader_get_u32 (&inner);
  r->is_invalid |= inner.is_invalid;
}

static void
read_priorities (struct bb_reader *r, struct bb_sync_records *m)
{
  struct bb_reader inner = bb_reader_get_array (r);
  for (uint32_t i = 0; i < m->route_count; i++)
    m->routes[i].priority = bb_reader_get_u32 (&inner);
  r->is_invalid |= inner.is_invalid;
}

static void
read_full_states (struct bb_reader *r, struct bb_sync_records *m)
{
  struct bb_reader inner = bb_reader_get_array (r);
  for (uint32_t i = 0; i < m->server_count; i++)
    {
      m->servers[i].state = (enum bb_server_state)bb_reader_get_uint (
          &inner, BB_SERVER_STATES - 1);
      m->servers[i].hold_ms = bb_reader_get_u32 (&inner);
    }
  r->is_invalid |= inner.is_invalid;
}

/* Adds ERA to all revisions of M.  */
static void
set_era (struct bb_sync_records *m, uint64_t era)
{
  uint64_t *const revisions[] = { &m->from, &m->to, &m->removals_since };
  for (size_t i = 0; i < G_N_ELEMENTS (revisions); i++)
    *revisions[i] = bb_revision_make (era, *revisions[i]);
  for (uint32_t i = 0; i < m->server_count; i++)
    m->servers[i].revision = bb_revision_make (era, m->servers[i].revision);
  for (uint32_t i = 0; i < m->route_count; i++)
    m->routes[i].revision = bb_revision_make (era, m->routes[i].revision);
  for (uint32_t i = 0; i < m->evacuation_count; i++)
    m->evacuations[i].revision
        = bb_revision_make (era, m->evacuations[i].revision);
  for (uint32_t i = 0; i < m->service_count; i++)
    m->services[i].revision = bb_revision_make (era, m->services[i].revision);
}

/* The elements after the routes are missing in messages of earlier releases,
   which end after the routes, the objectives or the priorities.  */
static void
read_records (struct bb_reader *r, struct bb_sync_records *m)
{
  m->batch = bb_reader_get_u32 (r);
  m->chunk = (uint32_t)bb_reader_get_uint (r, BB_SYNC_CHUNKS_MAX - 1);
  m->chunk_count = (uint32_t)bb_reader_get_uint (r, BB_SYNC_CHUNKS_MAX);
  m->from = read_revision (r);
  m->to = read_revision (r);
  m->removals_since = read_revision (r);
  m->route_history_ms = bb_reader_get_u32 (r);
  m->version = bb_reader_get_uint (r, UINT64_MAX);
  m->verified_ms = bb_reader_get_u32 (r);
  if (m->chunk >= m->chunk_count)
    r->is_invalid = true;
  struct bb_reader inner
      = read_groups (r, SERVER_FIELDS, BB_SYNC_SERVERS_MAX, &m->server_count);
  for (uint32_t i = 0; i < m->server_count; i++)
    read_server (&inner, &m->servers[i]);
  r->is_invalid |= inner.is_invalid;
  inner = read_groups (r, ROUTE_FIELDS, BB_SYNC_ROUTES_MAX, &m->route_count);
  for (uint32_t i = 0; i < m->route_count; i++)
    read_route (&inner, &m->routes[i]);
  r->is_invalid |= inner.is_invalid;
  uint64_t era = 0;
  if (r->remaining > 0)
    read_objectives (r, m);
  if (r->remaining > 0)
    read_priorities (r, m);
  if (r->remaining > 0)
    era = read_era (r);
  if (r->remaining > 0)
    read_full_states (r, m);
  if (r->remaining > 0)
    m->is_divergent = bb_reader_get_uint (r, 1) != 0;
  if (r->remaining > 0)
    {
      m->has_evacuations = true;
      read_evacuations (r, m);
    }
  if (r->remaining > 0)
    read_service_limits (r, m);
  set_era (m, era);
}

static void
read_body (struct bb_reader *r, struct bb_sync_message *m)
{
  switch (m->kind)
    {
    case BB_SYNC_HEARTBEAT:
      read_heartbeat (r, &m->heartbeat);
      break;
    case BB_SYNC_REQUEST:
      m->request.revision = read_revision (r);
      m->request.revision
          = bb_revision_make (read_era (r), m->request.revision);
      break;
    case BB_SYNC_RECORDS:
      read_records (r, &m->record_chunk);
      break;
    case BB_SYNC_KINDS:
      break;
    }
}

static bool
read_message (void *context, uint64_t kind, struct bb_reader *fields)
{
  struct bb_sync_message *m = context;
  if (kind >= BB_SYNC_KINDS)
    return false;
  m->kind = (enum bb_sync_kind)kind;
  m->from = bb_reader_get_u32 (fields);
  m->incarnation = bb_reader_get_uint (fields, UINT64_MAX);
  read_body (fields, m);
  return true;
}

bool
bb_sync_decode (const uint8_t *data, size_t length,
                struct bb_sync_message *message, GError **error)
{
  memset (message, 0, sizeof *message);
  return bb_wire_read_message (data, length, read_message, message, NULL,
                               error);
}
