/* A message is one flat msgpack array: [version, kind, from, incarnation,
   fields of the kind ...].  Later versions may append elements, which older
   receivers ignore.  */

#include "wire/sync.h"
#include "wire/message.h"
#include "wire/reader.h"
#include "wire/wire.h"
#include "wire/writer.h"

enum
{
  HEAD_FIELDS = 4,
  VM_FIELDS = 4,
  LOAD_FIELDS = 5,
  SERVER_FIELDS = 13,
  ROUTE_FIELDS = 5,
};

static const size_t body_fields[BB_SYNC_KINDS] = {
  [BB_SYNC_HEARTBEAT] = 8,
  [BB_SYNC_REQUEST] = 1,
  [BB_SYNC_RECORDS] = 13,
};

/* Encoding.  */

static void
put_beat (msgpack_packer *pk, const struct bb_sync_heartbeat *b)
{
  bb_put (pk, b->data_centre);
  bb_put (pk, b->flags);
  bb_put (pk, b->capacity);
  bb_put (pk, b->revision);
  bb_put (pk, b->version);
  bb_put (pk, b->verified_ms);
  msgpack_pack_array (pk, b->listed_peer_count * VM_FIELDS);
  for (uint32_t i = 0; i < b->listed_peer_count; i++)
    {
      bb_put (pk, b->listed_peers[i].id);
      bb_put (pk, b->listed_peers[i].data_centre);
      bb_put_endpoint (pk, &b->listed_peers[i].endpoint);
    }
  msgpack_pack_array (pk, b->load_count * LOAD_FIELDS);
  for (uint32_t i = 0; i < b->load_count; i++)
    {
      bb_put (pk, b->loads[i].cookie);
      bb_put (pk, b->loads[i].open);
      bb_put (pk, b->loads[i].busy);
      bb_put (pk, b->loads[i].is_suspect);
      bb_put (pk, b->loads[i].is_answering);
    }
}

static void
put_server (msgpack_packer *pk, const struct bb_server_record *r)
{
  bb_put_name (pk, r->name);
  bb_put_name (pk, r->service);
  bb_put_name (pk, r->data_centre);
  bb_put_endpoint (pk, &r->address);
  bb_put (pk, r->tag);
  bb_put (pk, r->state);
  bb_put (pk, r->cold_ms);
  bb_put (pk, r->gone_ms);
  bb_put (pk, r->slots);
  bb_put (pk, (uint64_t)r->born_ms);
  bb_put (pk, r->created);
  bb_put (pk, r->revision);
}

static void
put_route (msgpack_packer *pk, const struct bb_route_record *r)
{
  bb_put_endpoint (pk, &r->address);
  bb_put (pk, r->revision);
  msgpack_pack_array (pk, 2 * r->share_count);
  for (uint32_t i = 0; i < r->share_count; i++)
    {
      bb_put (pk, r->shares[i].service);
      bb_put (pk, r->shares[i].weight);
    }
  msgpack_pack_array (pk, r->allowed_count);
  for (uint32_t i = 0; i < r->allowed_count; i++)
    bb_put (pk, r->allowed[i]);
}

static void
put_items (msgpack_packer *pk, const struct bb_sync_records *m)
{
  bb_put (pk, m->batch);
  bb_put (pk, m->chunk);
  bb_put (pk, m->chunk_count);
  bb_put (pk, m->from);
  bb_put (pk, m->to);
  bb_put (pk, m->removals_since);
  bb_put (pk, m->route_history_ms);
  bb_put (pk, m->version);
  bb_put (pk, m->verified_ms);
  msgpack_pack_array (pk, m->server_count * SERVER_FIELDS);
  for (uint32_t i = 0; i < m->server_count; i++)
    put_server (pk, &m->servers[i]);
  msgpack_pack_array (pk, m->route_count * ROUTE_FIELDS);
  for (uint32_t i = 0; i < m->route_count; i++)
    put_route (pk, &m->routes[i]);
  msgpack_pack_array (pk, m->route_count);
  for (uint32_t i = 0; i < m->route_count; i++)
    bb_put (pk, m->routes[i].objective_ms);
  msgpack_pack_array (pk, m->route_count);
  for (uint32_t i = 0; i < m->route_count; i++)
    bb_put (pk, m->routes[i].priority);
}

GByteArray *
bb_share_encode (const struct bb_sync_message *m)
{
  GByteArray *out = g_byte_array_sized_new (256);
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, bb_append);
  msgpack_pack_array (&pk, HEAD_FIELDS + body_fields[m->kind]);
  bb_put (&pk, BB_WIRE_VERSION);
  bb_put (&pk, m->kind);
  bb_put (&pk, m->from);
  bb_put (&pk, m->incarnation);
  switch (m->kind)
    {
    case BB_SYNC_HEARTBEAT:
      put_beat (&pk, &m->heartbeat);
      break;
    case BB_SYNC_REQUEST:
      bb_put (&pk, m->request.revision);
      break;
    case BB_SYNC_RECORDS:
      put_items (&pk, &m->record_chunk);
      break;
    case BB_SYNC_KINDS:
      break;
    }
  return out;
}

/* Decoding.  */

/* Elements of the array that comes next, in groups of FIELDS; *COUNT is the
   number of groups, at most MAX.  */
static struct bb_reader
take_groups (struct bb_reader *r, uint32_t fields, uint32_t max,
             uint32_t *count)
{
  struct bb_reader inner = bb_take_array (r);
  *count = inner.left / fields;
  if (inner.left % fields != 0 || *count > max)
    {
      r->bad = true;
      *count = 0;
    }
  return inner;
}

static void
take_beat (struct bb_reader *r, struct bb_sync_heartbeat *b)
{
  b->data_centre = bb_take_u32 (r);
  b->flags = bb_take_u32 (r);
  b->capacity = bb_take_u32 (r);
  b->revision = bb_take_uint (r, UINT64_MAX);
  b->version = bb_take_uint (r, UINT64_MAX);
  b->verified_ms = bb_take_u32 (r);
  struct bb_reader inner = take_groups (r, VM_FIELDS, BB_SYNC_LISTED_PEERS_MAX,
                                        &b->listed_peer_count);
  for (uint32_t i = 0; i < b->listed_peer_count; i++)
    {
      b->listed_peers[i].id = bb_take_u32 (&inner);
      b->listed_peers[i].data_centre = bb_take_u32 (&inner);
      bb_take_endpoint (&inner, &b->listed_peers[i].endpoint);
    }
  r->bad |= inner.bad;
  inner = take_groups (r, LOAD_FIELDS, BB_SYNC_LOADS_MAX, &b->load_count);
  for (uint32_t i = 0; i < b->load_count; i++)
    {
      b->loads[i].cookie = bb_take_u32 (&inner);
      b->loads[i].open = (uint16_t)bb_take_uint (&inner, UINT16_MAX);
      b->loads[i].busy = (uint16_t)bb_take_uint (&inner, UINT16_MAX);
      b->loads[i].is_suspect = bb_take_uint (&inner, 1) != 0;
      b->loads[i].is_answering = bb_take_uint (&inner, 1) != 0;
    }
  r->bad |= inner.bad;
}

static void
take_server (struct bb_reader *r, struct bb_server_record *s)
{
  bb_take_name (r, s->name);
  bb_take_name (r, s->service);
  bb_take_name (r, s->data_centre);
  bb_take_endpoint (r, &s->address);
  s->tag = bb_take_uint (r, UINT64_MAX);
  s->state = (enum bb_server_state)bb_take_uint (r, BB_SERVER_STATES - 1);
  s->cold_ms = bb_take_u32 (r);
  s->gone_ms = bb_take_u32 (r);
  s->slots = (uint16_t)bb_take_uint (r, UINT16_MAX);
  s->born_ms = (int64_t)bb_take_uint (r, INT64_MAX);
  s->created = bb_take_uint (r, UINT64_MAX);
  s->revision = bb_take_uint (r, UINT64_MAX);
}

static void
take_route (struct bb_reader *r, struct bb_route_record *route)
{
  bb_take_endpoint (r, &route->address);
  route->revision = bb_take_uint (r, UINT64_MAX);
  struct bb_reader inner
      = take_groups (r, 2, BB_ROUTE_SERVICES, &route->share_count);
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      route->shares[i].service = bb_take_u32 (&inner);
      route->shares[i].weight = bb_take_u32 (&inner);
    }
  r->bad |= inner.bad;
  inner = take_groups (r, 1, BB_ROUTE_ALLOWED, &route->allowed_count);
  for (uint32_t i = 0; i < route->allowed_count; i++)
    route->allowed[i] = bb_take_u32 (&inner);
  r->bad |= inner.bad;
}

static void
take_items (struct bb_reader *r, struct bb_sync_records *m)
{
  m->batch = bb_take_u32 (r);
  m->chunk = (uint32_t)bb_take_uint (r, BB_SYNC_CHUNKS_MAX - 1);
  m->chunk_count = (uint32_t)bb_take_uint (r, BB_SYNC_CHUNKS_MAX);
  m->from = bb_take_uint (r, UINT64_MAX);
  m->to = bb_take_uint (r, UINT64_MAX);
  m->removals_since = bb_take_uint (r, UINT64_MAX);
  m->route_history_ms = bb_take_u32 (r);
  m->version = bb_take_uint (r, UINT64_MAX);
  m->verified_ms = bb_take_u32 (r);
  if (m->chunk >= m->chunk_count)
    r->bad = true;
  struct bb_reader inner
      = take_groups (r, SERVER_FIELDS, BB_SYNC_SERVERS_MAX, &m->server_count);
  for (uint32_t i = 0; i < m->server_count; i++)
    take_server (&inner, &m->servers[i]);
  r->bad |= inner.bad;
  inner = take_groups (r, ROUTE_FIELDS, BB_SYNC_ROUTES_MAX, &m->route_count);
  for (uint32_t i = 0; i < m->route_count; i++)
    take_route (&inner, &m->routes[i]);
  r->bad |= inner.bad;
  if (r->left == 0)
    return; /* an earlier version, which does not tell objectives */
  inner = bb_take_array (r);
  for (uint32_t i = 0; i < m->route_count; i++)
    m->routes[i].objective_ms = bb_take_u32 (&inner);
  r->bad |= inner.bad;
  if (r->left == 0)
    return; /* one that does not tell priorities */
  inner = bb_take_array (r);
  for (uint32_t i = 0; i < m->route_count; i++)
    m->routes[i].priority = bb_take_u32 (&inner);
  r->bad |= inner.bad;
}

static void
take_body (struct bb_reader *r, struct bb_sync_message *m)
{
  switch (m->kind)
    {
    case BB_SYNC_HEARTBEAT:
      take_beat (r, &m->heartbeat);
      break;
    case BB_SYNC_REQUEST:
      m->request.revision = bb_take_uint (r, UINT64_MAX);
      break;
    case BB_SYNC_RECORDS:
      take_items (r, &m->record_chunk);
      break;
    case BB_SYNC_KINDS:
      break;
    }
}

static bool
take_message (void *context, uint64_t kind, struct bb_reader *fields)
{
  struct bb_sync_message *m = context;
  if (kind >= BB_SYNC_KINDS)
    return false;
  m->kind = (enum bb_sync_kind)kind;
  m->from = bb_take_u32 (fields);
  m->incarnation = bb_take_uint (fields, UINT64_MAX);
  take_body (fields, m);
  return true;
}

bool
bb_share_decode (const uint8_t *data, size_t length,
                 struct bb_sync_message *message, GError **error)
{
  memset (message, 0, sizeof *message);
  return bb_wire_read (data, length, take_message, message, NULL, error);
}
