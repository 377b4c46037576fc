#include "marked/state/directory_era.h"
#include "marked/sync/sync_private.h"
#include <string.h>

/* Least time between two log lines about a state that cannot be sent.  */
#define UNSENT_LOG_INTERVAL (10 * BB_SEC)

enum
{
  /* Of the records in one datagram, beside the other fields of the message.
   */
  RECORDS_BYTES_MAX = BB_SYNC_DATAGRAM_BYTES - 120,
};

/* Packs records into the datagrams of a batch.  If IS_COUNTING, counts the
   datagrams without sending them.  */
struct packer
{
  struct bb_sync *sync;
  const struct bb_endpoint *to;
  size_t to_count;
  struct bb_sync_message message;
  bool is_counting;
  uint32_t chunks;
};

static void
flush_chunk (struct packer *packer)
{
  struct bb_sync_records *m = &packer->message.record_chunk;
  m->chunk = packer->chunks++;
  if (!packer->is_counting)
    bb_sync_send (packer->sync, packer->to, packer->to_count,
                  &packer->message);
  m->server_count = m->route_count = 0;
  m->evacuation_count = m->service_count = 0;
}

static void
pack_evacuations (struct packer *packer, uint64_t from)
{
  struct bb_sync_records *m = &packer->message.record_chunk;
  struct bb_link *head = bb_directory_evacuations (packer->sync->directory);
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_evacuation *e
          = BB_LINKED (at, struct bb_evacuation, by_revision);
      if (e->record.revision <= from)
        break;
      if (e->held_until != 0)
        continue;
      m->evacuations[m->evacuation_count++] = e->record;
      if (m->evacuation_count == BB_SYNC_EVACUATIONS_MAX)
        flush_chunk (packer);
    }
  if (m->evacuation_count > 0)
    flush_chunk (packer);
}

/* Bytes of R in a datagram, at most.  */
static uint32_t
server_bytes (const struct bb_server_record *r)
{
  enum
  {
    FIXED = 80 /* all but the names */
  };
  return FIXED
         + (uint32_t)(strlen (r->name) + strlen (r->service)
                      + strlen (r->data_centre));
}

static struct bb_server_record
server_record (const struct bb_backend_server *s, bb_usec now)
{
  struct bb_server_record r = s->record;
  r.cold_ms = (uint32_t)(MAX (s->cold_until - now, 0) / BB_MSEC);
  r.gone_ms = s->gone_since ? (uint32_t)((now - s->gone_since) / BB_MSEC) : 0;
  r.hold_ms = (uint32_t)(MAX (s->withheld_until - now, 0) / BB_MSEC);
  return r;
}

static void
pack_servers (struct packer *packer, uint64_t from, bb_usec now)
{
  struct bb_sync_records *m = &packer->message.record_chunk;
  struct bb_link *head = bb_directory_servers (packer->sync->directory);
  uint32_t bytes = 0;
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->record.revision <= from)
        break;
      uint32_t size = server_bytes (&s->record);
      if (m->server_count == BB_SYNC_SERVERS_MAX
          || (m->server_count > 0 && bytes + size > RECORDS_BYTES_MAX))
        {
          flush_chunk (packer);
          bytes = 0;
        }
      m->servers[m->server_count++] = server_record (s, now);
      bytes += size;
    }
  if (m->server_count > 0)
    flush_chunk (packer);
}

/* Bytes of R in a datagram, at most.  */
static uint32_t
route_bytes (const struct bb_route_record *r)
{
  enum
  {
    FIXED = 32, /* address, revision, objective, priority, array heads */
    SHARE = 28, /* service, its digest, and weight */
    FORMER = 28 /* service, its digest, and age */
  };
  return FIXED + SHARE * r->share_count + FORMER * r->former_count;
}

/* Packs ROUTE into datagrams that fit into one frame, as far as it is not yet
   full by *BYTES.  */
static void
pack_route (struct packer *packer, const struct bb_route *route,
            uint32_t *bytes, bb_usec now)
{
  struct bb_sync_records *m = &packer->message.record_chunk;
  struct bb_route_record r;
  uint32_t count = bb_route_get_record (route, 0, &r, now);
  for (uint32_t i = 0; i < count; i++)
    {
      bb_route_get_record (route, i, &r, now);
      if (m->route_count == BB_SYNC_ROUTES_MAX
          || *bytes + route_bytes (&r) > RECORDS_BYTES_MAX)
        {
          flush_chunk (packer);
          *bytes = 0;
        }
      m->routes[m->route_count++] = r;
      *bytes += route_bytes (&r);
    }
}

static void
pack_limits (struct packer *packer, uint64_t from)
{
  struct bb_sync_records *m = &packer->message.record_chunk;
  struct bb_link *head = bb_directory_service_limits (packer->sync->directory);
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_service_limit *limit
          = BB_LINKED (at, struct bb_service_limit, by_revision);
      if (limit->record.revision <= from)
        break;
      m->services[m->service_count++] = limit->record;
      if (m->service_count == BB_SYNC_SERVICES_SENT)
        flush_chunk (packer);
    }
  if (m->service_count > 0)
    flush_chunk (packer);
}

/* Packs the records that are newer than FROM, each kind in datagrams of its
   own.  */
static void
pack_records (struct packer *packer, uint64_t from, bb_usec now)
{
  struct bb_sync_records *m = &packer->message.record_chunk;
  packer->chunks = 0;
  m->server_count = m->route_count = 0;
  pack_servers (packer, from, now);
  pack_evacuations (packer, from);
  pack_limits (packer, from);
  uint32_t bytes = 0;
  struct bb_link *head = bb_directory_routes (packer->sync->directory);
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_route *route
          = BB_LINKED (at, struct bb_route, by_revision);
      if (route->revision <= from)
        break;
      pack_route (packer, route, &bytes, now);
    }
  if (m->route_count > 0 || packer->chunks == 0)
    flush_chunk (packer);
}

/* Records that the state takes CHUNKS datagrams, too many for a batch.  The
   receivers keep the state they hold, whole, and read the store when it is
   outdated.  */
static void
record_unsent (struct bb_sync *s, uint32_t chunks, bb_usec now)
{
  s->unsent_batches++;
  if (s->last_unsent != 0 && now - s->last_unsent < UNSENT_LOG_INTERVAL)
    return;
  s->last_unsent = now;
  bb_sync_send_event (s, BB_EVENT_STATE_UNSENT, 0, chunks, BB_REASON_TOO_LARGE,
                      bb_sync_state_age (s, now));
}

void
bb_sync_send_records (struct bb_sync *s, const struct bb_endpoint *to,
                      size_t count, uint64_t from, bb_usec now)
{
  struct packer packer
      = { .sync = s, .to = to, .to_count = count, .is_counting = true };
  if (!bb_directory_has_changes_after (s->directory, from))
    from = 0;
  struct bb_sync_records *m = &packer.message.record_chunk;
  packer.message.kind = BB_SYNC_RECORDS;
  m->batch = ++s->batch_number;
  m->from = from;
  m->to = s->revision;
  m->removals_since = bb_directory_removals_since (s->directory);
  m->route_history_ms
      = bb_sync_age_ms (bb_directory_history_start (s->directory), now);
  m->version = bb_directory_version (s->directory);
  m->has_evacuations = bb_sync_is_complete (s);
  m->is_divergent = bb_directory_is_divergent (s->directory);
  m->verified_ms = bb_sync_age_ms (s->last_verified, now);
  pack_records (&packer, from, now);
  m->chunk_count = packer.chunks;
  packer.is_counting = false;
  if (packer.chunks <= BB_SYNC_CHUNKS_MAX)
    pack_records (&packer, from, now);
  else
    record_unsent (s, packer.chunks, now);
}
