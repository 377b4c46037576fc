#include "marked/sync/sync_private.h"

void
bb_sync_clear_batch (struct bb_sync_batch *b)
{
  if (b->names)
    g_hash_table_unref (b->names);
  if (b->routes)
    g_hash_table_unref (b->routes);
  if (b->records)
    g_array_unref (b->records);
  bb_sync_clear_evacuations (b);
  if (b->servers)
    g_array_unref (b->servers);
  *b = (struct bb_sync_batch){ 0 };
}

struct bb_configuration
bb_sync_get_configuration (const struct bb_sync_batch *b, uint64_t version,
                           uint64_t revision)
{
  return (struct bb_configuration){
    .version = version,
    .revision = revision,
    .routes = (struct bb_route_record *)b->records->data,
    .route_count = b->records->len,
    .services = (struct bb_service_record *)b->limits->data,
    .service_count = b->limits->len,
  };
}

void
bb_sync_expire_batches (struct bb_sync *s, bb_usec now)
{
  for (size_t i = 0; i < G_N_ELEMENTS (s->batches); i++)
    {
      struct bb_sync_batch *b = &s->batches[i];
      if (b->records && now - b->updated >= BB_SYNC_BATCH_TIMEOUT)
        bb_sync_clear_batch (b);
    }
}

static void
begin_batch (struct bb_sync_batch *b, const struct bb_sync_message *message)
{
  const struct bb_sync_records *m = &message->record_chunk;
  bb_sync_clear_batch (b);
  b->from = message->from;
  b->incarnation = message->incarnation;
  b->number = m->batch;
  b->chunk_count = m->chunk_count;
  b->records = g_array_new (FALSE, FALSE, sizeof (struct bb_route_record));
  bb_sync_begin_evacuations (b, m->from == 0);
  b->servers = g_array_new (FALSE, FALSE, sizeof (struct bb_server_record));
  if (m->from > 0)
    return;
  b->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->routes = g_hash_table_new (NULL, NULL);
}

/* What was removed is not listed: the receiver may have held it again since,
   and its tombstone is then too old to be applied.  */
static void
add_to_batch (struct bb_sync_batch *b, const struct bb_sync_records *m)
{
  g_array_append_vals (b->records, m->routes, m->route_count);
  bb_sync_collect_evacuations (b, m);
  g_array_append_vals (b->servers, m->servers, m->server_count);
  for (uint32_t i = 0; b->names && i < m->server_count; i++)
    if (m->servers[i].state != BB_SERVER_GONE)
      g_hash_table_add (b->names, g_strdup (m->servers[i].name));
  for (uint32_t i = 0; b->routes && i < m->route_count; i++)
    if (m->routes[i].share_count > 0)
      g_hash_table_add (b->routes,
                        bb_directory_route_key (&m->routes[i].address));
}

static bool
is_of_batch (const struct bb_sync_batch *b,
             const struct bb_sync_message *message)
{
  return b->records && b->from == message->from
         && b->incarnation == message->incarnation
         && b->number == message->record_chunk.batch;
}

/* Returns the batch that MESSAGE belongs to.  A new batch replaces the one
   whose last datagram is the oldest.  */
static struct bb_sync_batch *
get_batch (struct bb_sync *s, const struct bb_sync_message *message)
{
  struct bb_sync_batch *oldest = &s->batches[0];
  for (size_t i = 0; i < G_N_ELEMENTS (s->batches); i++)
    {
      struct bb_sync_batch *b = &s->batches[i];
      if (is_of_batch (b, message))
        return b;
      if (b->updated < oldest->updated)
        oldest = b;
    }
  begin_batch (oldest, message);
  return oldest;
}

struct bb_sync_batch *
bb_sync_collect_chunk (struct bb_sync *s,
                       const struct bb_sync_message *message, bb_usec now)
{
  const struct bb_sync_records *m = &message->record_chunk;
  struct bb_sync_batch *b = get_batch (s, message);
  uint64_t bit = (uint64_t)1 << (m->chunk % 64);
  if (m->chunk_count != b->chunk_count || b->chunks[m->chunk / 64] & bit)
    return NULL;
  b->chunks[m->chunk / 64] |= bit;
  b->updated = now;
  add_to_batch (b, m);
  if (++b->chunks_received < b->chunk_count)
    return NULL;
  bb_route_records_sort (b->records);
  return b;
}
