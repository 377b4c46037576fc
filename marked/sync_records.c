#include "marked/sync_private.h"

struct packer
{
  struct bb_sharing *sharing;
  const struct bb_endpoint *to;
  size_t to_count;
  struct bb_share_message message;
  bool counting;
  uint32_t chunks;
};

static void
flush (struct packer *k)
{
  struct bb_share_items *m = &k->message.items;
  m->chunk = k->chunks++;
  if (!k->counting)
    bb_share_send (k->sharing, k->to, k->to_count, &k->message);
  m->server_count = m->route_count = 0;
}

/* Walks the items that are newer than FROM.  Servers and routes are in
   datagrams of their own.  */
static void
pack (struct packer *k, uint64_t from, bb_usec now)
{
  struct bb_directory *d = k->sharing->directory;
  struct bb_share_items *m = &k->message.items;
  struct bb_link *head = bb_directory_servers (d);
  k->chunks = 0;
  m->server_count = m->route_count = 0;
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_backend_server *server
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (server->record.revision <= from)
        break;
      struct bb_server_record *r = &m->servers[m->server_count++];
      *r = server->record;
      r->cold_ms = (uint32_t)(MAX (server->cold_until - now, 0) / BB_MSEC);
      r->gone_ms = server->gone_since
                       ? (uint32_t)((now - server->gone_since) / BB_MSEC)
                       : 0;
      if (m->server_count == BB_SHARE_SERVERS)
        flush (k);
    }
  if (m->server_count > 0)
    flush (k);
  head = bb_directory_routes (d);
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_route *route
          = BB_LINKED (at, struct bb_route, by_revision);
      if (route->record.revision <= from)
        break;
      m->routes[m->route_count++] = route->record;
      if (m->route_count == BB_SHARE_ROUTES)
        flush (k);
    }
  if (m->route_count > 0 || k->chunks == 0)
    flush (k);
}

void
bb_share_send_items (struct bb_sharing *s, const struct bb_endpoint *to,
                     size_t count, uint64_t from, bb_usec now)
{
  struct packer k
      = { .sharing = s, .to = to, .to_count = count, .counting = true };
  /* Removals that this balancer never knew are told by telling all.  */
  if (from < bb_directory_since (s->directory))
    from = 0;
  struct bb_share_items *m = &k.message.items;
  k.message.kind = BB_SHARE_ITEMS;
  m->batch = ++s->batch_number;
  m->from = from;
  m->to = s->revision;
  m->since = bb_directory_since (s->directory);
  m->known_ms = bb_share_age_ms (bb_directory_begun (s->directory), now);
  m->version = bb_directory_version (s->directory);
  m->verified_ms = bb_share_age_ms (s->verified, now);
  pack (&k, from, now);
  m->chunk_count = k.chunks;
  k.counting = false;
  if (k.chunks <= BB_SHARE_CHUNKS)
    pack (&k, from, now);
}

/* Whether P learns from this balancer what is new.  */
static bool
follows (const struct bb_sharing *s, const struct bb_share_peer *p,
         bb_usec now)
{
  bool near = bb_share_is_near (s, p);
  if (near ? !s->leads : !s->reads || !(p->flags & BB_SHARE_LEADING))
    return false;
  return bb_share_is_live (p, now) && p->revision > 0
         && !(p->flags & BB_SHARE_READING);
}

void
bb_share_publish (struct bb_sharing *s, uint64_t before, bb_usec now)
{
  size_t count = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_share_peer *p = s->peers[i];
      if (!follows (s, p, now))
        continue;
      if (p->revision >= before)
        s->targets[count++] = p->vm.endpoint;
      else
        bb_share_send_items (s, &p->vm.endpoint, 1, p->revision, now);
    }
  if (count > 0)
    bb_share_send_items (s, s->targets, count, before, now);
}

void
bb_share_take_server (struct bb_directory *directory,
                      const struct bb_server_record *record,
                      enum bb_reason from, uint64_t revision, bb_usec age,
                      const struct bb_share_sink *sink, void *context,
                      bb_usec now)
{
  static const enum bb_event_kind kinds[] = {
    [BB_VIEW_ADDED] = BB_EVENT_SERVER_ADDED,
    [BB_VIEW_CHANGED] = BB_EVENT_SERVER_CHANGED,
    [BB_VIEW_RESTARTED] = BB_EVENT_SERVER_RESTARTED,
    [BB_VIEW_GONE] = BB_EVENT_SERVER_GONE,
  };
  struct bb_backend_server *server;
  enum bb_view_change change
      = bb_directory_put (directory, record, now, &server);
  if (!server || change == BB_VIEW_SAME || change == BB_VIEW_STALE)
    return;
  sink->server (context, server);
  struct bb_event event = { .kind = kinds[change],
                            .server = server->key,
                            .value = server->record.state,
                            .reason = from,
                            .revision = revision,
                            .age = age };
  sink->event (context, &event);
}

/* This balancer knows all up to its revision, so that an older item which it
   does not have was removed since.  Only that a server is gone may be news. */
static bool
is_news (const struct bb_sharing *s, uint64_t revision)
{
  return revision > s->revision;
}

static void
take_servers (struct bb_sharing *s, const struct bb_share_items *m,
              bb_usec now)
{
  for (uint32_t i = 0; i < m->server_count; i++)
    if (is_news (s, m->servers[i].revision)
        || m->servers[i].state == BB_SERVER_GONE)
      bb_share_take_server (s->directory, &m->servers[i], BB_REASON_PEER,
                            m->to, (bb_usec)m->verified_ms * BB_MSEC, s->sink,
                            s->context, now);
}

static void
put_routes (struct bb_sharing *s, const struct bb_share_batch *b, bb_usec now)
{
  for (guint i = 0; i < b->records->len; i++)
    {
      const struct bb_route_record *r
          = &g_array_index (b->records, struct bb_route_record, i);
      if (is_news (s, r->revision))
        bb_directory_put_route (s->directory, r, now);
    }
}

void
bb_share_retain (struct bb_directory *directory, GHashTable *names,
                 enum bb_server_state state, uint64_t revision,
                 enum bb_reason from, bb_usec age,
                 const struct bb_share_sink *sink, void *context, bb_usec now)
{
  struct bb_link *head = bb_directory_servers (directory);
  GPtrArray *missing = g_ptr_array_new ();
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->gone_since == 0 && s->record.revision <= revision
          && !g_hash_table_contains (names, s->record.name))
        g_ptr_array_add (missing, s);
    }
  for (guint i = 0; i < missing->len; i++)
    {
      const struct bb_backend_server *s = missing->pdata[i];
      struct bb_server_record gone
          = { .state
              = s->record.state == BB_SERVER_READY ? state : BB_SERVER_GONE };
      g_strlcpy (gone.name, s->record.name, sizeof gone.name);
      gone.revision = MAX (revision, s->record.revision + 1);
      bb_share_take_server (directory, &gone, from, revision, age, sink,
                            context, now);
    }
  g_ptr_array_unref (missing);
}

void
bb_share_batch_clear (struct bb_share_batch *b)
{
  if (b->names)
    g_hash_table_unref (b->names);
  if (b->routes)
    g_hash_table_unref (b->routes);
  if (b->records)
    g_array_unref (b->records);
  *b = (struct bb_share_batch){ 0 };
}

static void
begin_batch (struct bb_share_batch *b, uint32_t from,
             const struct bb_share_items *m)
{
  bb_share_batch_clear (b);
  b->from = from;
  b->number = m->batch;
  b->chunk_count = m->chunk_count;
  b->records = g_array_new (FALSE, FALSE, sizeof (struct bb_route_record));
  if (m->from > 0)
    return;
  b->names = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  b->routes = g_hash_table_new (NULL, NULL);
}

static void
note_items (struct bb_share_batch *b, const struct bb_share_items *m)
{
  g_array_append_vals (b->records, m->routes, m->route_count);
  for (uint32_t i = 0; b->names && i < m->server_count; i++)
    g_hash_table_add (b->names, g_strdup (m->servers[i].name));
  for (uint32_t i = 0; b->routes && i < m->route_count; i++)
    g_hash_table_add (b->routes,
                      bb_directory_route_key (&m->routes[i].address));
}

/* The batch that M is part of; a new one takes the place of the one that was
   heard of least lately.  */
static struct bb_share_batch *
batch_of (struct bb_sharing *s, uint32_t from, const struct bb_share_items *m)
{
  struct bb_share_batch *oldest = &s->batches[0];
  for (size_t i = 0; i < G_N_ELEMENTS (s->batches); i++)
    {
      struct bb_share_batch *b = &s->batches[i];
      if (b->from == from && b->number == m->batch && b->records)
        return b;
      if (b->touched < oldest->touched)
        oldest = b;
    }
  begin_batch (oldest, from, m);
  return oldest;
}

/* Returns the batch if M completes it, or NULL.  */
static struct bb_share_batch *
collect (struct bb_sharing *s, uint32_t from, const struct bb_share_items *m,
         bb_usec now)
{
  struct bb_share_batch *b = batch_of (s, from, m);
  uint64_t bit = (uint64_t)1 << (m->chunk % 64);
  if (m->chunk_count != b->chunk_count || b->chunks[m->chunk / 64] & bit)
    return NULL;
  b->chunks[m->chunk / 64] |= bit;
  b->touched = now;
  note_items (b, m);
  return ++b->received == b->chunk_count ? b : NULL;
}

/* What a whole state does not name is gone.  */
static void
retain (struct bb_sharing *s, const struct bb_share_batch *b,
        const struct bb_share_items *m, bb_usec now)
{
  if (s->revision == 0)
    bb_directory_begin (s->directory, m->since,
                        now - (bb_usec)m->known_ms * BB_MSEC);
  bb_share_retain (s->directory, b->names, BB_SERVER_GONE, m->to,
                   BB_REASON_PEER, (bb_usec)m->verified_ms * BB_MSEC, s->sink,
                   s->context, now);
  bb_directory_retain_routes (s->directory, b->routes, m->to, now);
}

void
bb_share_set_verified (struct bb_sharing *s, uint32_t verified_ms, bb_usec now)
{
  if (verified_ms != UINT32_MAX)
    s->verified = MAX (s->verified, now - (bb_usec)verified_ms * BB_MSEC);
}

/* Puts in force what the complete batch B, of which M came last, tells.  */
static void
finish_batch (struct bb_sharing *s, const struct bb_share_batch *b,
              const struct bb_share_items *m, bb_usec now)
{
  uint64_t version = bb_directory_version (s->directory);
  put_routes (s, b, now);
  bb_directory_set_version (s->directory, m->version);
  if (m->version > version)
    bb_share_send_event (s, BB_EVENT_VERSION, b->from, m->version,
                         BB_REASON_PEER, (bb_usec)m->verified_ms * BB_MSEC);
  if (m->to < s->revision)
    return;
  if (m->from == 0)
    retain (s, b, m, now);
  uint64_t before = s->revision;
  s->revision = m->to;
  bb_share_set_verified (s, m->verified_ms, now);
  if (s->revision > before)
    bb_share_publish (s, before, now);
}

void
bb_share_receive_items (struct bb_sharing *s, uint32_t from,
                        const struct bb_share_items *m, bb_usec now)
{
  if (m->from > s->revision)
    return;
  take_servers (s, m, now);
  struct bb_share_batch *b = collect (s, from, m, now);
  if (!b)
    return;
  finish_batch (s, b, m, now);
  bb_share_batch_clear (b);
}
