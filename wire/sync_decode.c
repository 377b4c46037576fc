#include "wire/message.h"
#include "wire/reader.h"
#include "wire/sync.h"
#include "wire/sync_fields.h"
#include "wire/wire.h"

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

/* Reads what older builds count of the silences.  The retransmissions that
   they count are no probes.  */
static void
read_silence_details (struct bb_reader *r, struct bb_sync_heartbeat *h)
{
  if (r->remaining == 0)
    return;
  uint32_t count;
  struct bb_reader inner
      = read_groups (r, SILENCE_DETAIL_FIELDS, BB_SYNC_SILENCES_MAX, &count);
  for (uint32_t i = 0; i < h->silence_count; i++)
    {
      for (int skipped = 0; skipped < SILENCE_DETAIL_FIELDS - 1; skipped++)
        bb_reader_get_u32 (&inner);
      h->silences[i].is_slow = bb_reader_get_uint (&inner, 1) != 0;
    }
  r->is_invalid |= inner.is_invalid || count != h->silence_count;
}

/* Reads the probes of the silent servers, which older builds do not send.  */
static void
read_probes (struct bb_reader *r, struct bb_sync_heartbeat *h)
{
  if (r->remaining == 0)
    return;
  uint32_t count;
  struct bb_reader inner
      = read_groups (r, SILENCE_PROBE_FIELDS, BB_SYNC_SILENCES_MAX, &count);
  for (uint32_t i = 0; i < h->silence_count; i++)
    {
      h->silences[i].failed = bb_reader_get_u32 (&inner);
      h->silences[i].answered = bb_reader_get_u32 (&inner);
      h->silences[i].probed_ms = bb_reader_get_u32 (&inner);
    }
  r->is_invalid |= inner.is_invalid || count != h->silence_count;
}

/* Reads the digest of the name whose hash has *KEY, and sets *KEY to the key
   of that name.  */
static void
read_digest (struct bb_reader *r, uint64_t *key)
{
  struct bb_digest d;
  for (size_t i = 0; i < DIGEST_FIELDS; i++)
    d.words[i] = bb_reader_get_uint (r, UINT64_MAX);
  if (!r->is_invalid)
    *key = bb_key_receive (bb_key_hash (*key), &d);
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
  h->data_centre = bb_key_of_hash (bb_reader_get_u32 (r));
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
      h->listed_peers[i].data_centre
          = bb_key_of_hash (bb_reader_get_u32 (&inner));
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
  read_silence_details (r, h);
  read_probes (r, h);
  if (r->remaining == 0)
    return;
  inner = bb_reader_get_array (r);
  read_digest (&inner, &h->data_centre);
  r->is_invalid |= inner.is_invalid;
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
      route->shares[i].service = bb_key_of_hash (bb_reader_get_u32 (&inner));
      route->shares[i].weight = bb_reader_get_u32 (&inner);
    }
  r->is_invalid |= inner.is_invalid;
  inner = read_groups (r, 1, BB_ROUTE_FORMER, &route->former_count);
  for (uint32_t i = 0; i < route->former_count; i++)
    route->former[i].service = bb_key_of_hash (bb_reader_get_u32 (&inner));
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
      m->services[i].service = bb_key_of_hash (bb_reader_get_u32 (&inner));
      m->services[i].cold_rate = bb_reader_get_u32 (&inner);
      m->services[i].revision = read_revision (&inner);
    }
  r->is_invalid |= inner.is_invalid;
}

/* Without ages, from an earlier release, the services left their routes just
   now.  */
static void
read_former_ages (struct bb_reader *r, struct bb_sync_records *m)
{
  struct bb_reader inner = bb_reader_get_array (r);
  for (uint32_t i = 0; i < m->route_count; i++)
    for (uint32_t k = 0; k < m->routes[i].former_count; k++)
      m->routes[i].former[k].age_ms = bb_reader_get_u32 (&inner);
  r->is_invalid |= inner.is_invalid;
}

/* Older builds send no digests: their services are unnamed hashes.  */
static void
read_digests (struct bb_reader *r, struct bb_sync_records *m)
{
  struct bb_reader inner = bb_reader_get_array (r);
  for (uint32_t i = 0; i < m->route_count; i++)
    {
      for (uint32_t k = 0; k < m->routes[i].share_count; k++)
        read_digest (&inner, &m->routes[i].shares[k].service);
      for (uint32_t k = 0; k < m->routes[i].former_count; k++)
        read_digest (&inner, &m->routes[i].former[k].service);
    }
  for (uint32_t i = 0; i < m->service_count; i++)
    read_digest (&inner, &m->services[i].service);
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

/* The full states replace those in the records, but for states that a later
   build added.  */
static void
read_full_states (struct bb_reader *r, struct bb_sync_records *m)
{
  struct bb_reader inner = bb_reader_get_array (r);
  for (uint32_t i = 0; i < m->server_count; i++)
    {
      uint64_t state = bb_reader_get_uint (&inner, UINT64_MAX);
      if (state < BB_SERVER_STATES)
        m->servers[i].state = (enum bb_server_state)state;
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
  if (r->remaining > 0)
    read_former_ages (r, m);
  if (r->remaining > 0 && !r->is_invalid)
    read_digests (r, m);
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
