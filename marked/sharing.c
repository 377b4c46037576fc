#include "marked/sharing.h"
#include <string.h>

enum
{
  PEERS_MAX = 512, /* balancers of a data centre at the two-year size */
  CHUNK_WORDS = BB_SHARE_CHUNKS / 64,
};

/* A peer that was silent for so long is forgotten; a VM that was cut off for
   less is still greeted.  */
#define FORGET_AFTER (30 * BB_SEC)

/* One beat in so many goes to peers that are silent.  */
#define RETRY_INTERVAL (2 * BB_SEC)

/* A balancer that does not lead beats one of another data centre so often, so
   that the data centres know each other's balancers.  */
#define FAR_INTERVAL BB_SEC
#define FAR_SILENCE (20 * BB_SEC)

/* Between two requests for the same items, longer than any round trip.  */
#define WANT_INTERVAL (150 * BB_MSEC)

/* A store that refused is asked again by the next in the order first.  */
#define STORE_FAILED_TIME (2 * BB_SEC)

/* Followers take over one after the other, so that the first one's beat can
   reach the rest.  */
#define RANK_STEP (120 * BB_MSEC)
#define RANK_STEP_MAX (480 * BB_MSEC)

struct peer
{
  struct bb_share_vm vm;
  uint64_t incarnation;
  bb_usec heard; /* 0: never */
  bb_usec sent;
  uint32_t flags;
  uint32_t capacity;
  uint64_t revision;
  uint64_t version;
  bb_usec mentioned; /* last heard, or named by another balancer */
  struct bb_share_load loads[BB_SHARE_LOADS];
  uint32_t load_count;
};

/* A batch of items that is arriving.  */
struct batch
{
  uint32_t from;
  uint32_t number;
  uint32_t chunk_count;
  uint32_t received;
  uint64_t chunks[CHUNK_WORDS];
};

struct bb_sharing
{
  struct bb_share_options options;
  struct bb_directory *directory;
  const struct bb_share_sink *sink;
  void *context;
  GRand *random;
  struct bb_endpoint seeds[BB_SHARE_KNOWN];
  size_t seed_count;
  struct peer *peers[PEERS_MAX];
  uint32_t peer_count;
  uint64_t revision;
  bb_usec verified;     /* 0: never */
  bb_usec store_failed; /* 0: it answered, or was not asked */
  bb_usec beat_due;
  bb_usec wanted;
  bb_usec greeted;
  bb_usec far_due;
  bool reads;
  bool leads;
  bool leaving;
  uint32_t batch_number;
  struct batch batch;
};

struct bb_sharing *
bb_sharing_new (const struct bb_share_options *options,
                struct bb_directory *directory,
                const struct bb_share_sink *sink, void *context, bb_usec now)
{
  struct bb_sharing *s = g_new0 (struct bb_sharing, 1);
  s->options = *options;
  s->directory = directory;
  s->sink = sink;
  s->context = context;
  s->random = g_rand_new_with_seed (options->seed);
  s->beat_due = now;
  s->reads = true;
  return s;
}

void
bb_sharing_free (struct bb_sharing *s)
{
  if (!s)
    return;
  for (uint32_t i = 0; i < s->peer_count; i++)
    g_free (s->peers[i]);
  g_rand_free (s->random);
  g_free (s);
}

void
bb_sharing_seed (struct bb_sharing *s, const struct bb_endpoint *seeds,
                 size_t count)
{
  s->seed_count = MIN (count, G_N_ELEMENTS (s->seeds));
  memcpy (s->seeds, seeds, s->seed_count * sizeof seeds[0]);
  s->greeted = 0;
}

static void
send_event (struct bb_sharing *s, enum bb_event_kind kind, uint32_t peer,
            uint64_t value, enum bb_reason reason, bb_usec age)
{
  struct bb_event event = { .kind = kind,
                            .peer = peer,
                            .value = value,
                            .reason = reason,
                            .revision = s->revision,
                            .age = age };
  s->sink->event (s->context, &event);
}

/* Peers.  */

static bool
is_live (const struct peer *p, bb_usec now)
{
  return p->heard != 0 && now - p->heard < BB_SHARE_SILENCE
         && !(p->flags & BB_SHARE_LEAVING);
}

static bool
is_near (const struct bb_sharing *s, const struct peer *p)
{
  return p->vm.data_centre == s->options.self.data_centre;
}

static struct peer *
peer_find (struct bb_sharing *s, uint32_t id)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    if (s->peers[i]->vm.id == id)
      return s->peers[i];
  return NULL;
}

static struct peer *
peer_get (struct bb_sharing *s, const struct bb_share_vm *vm)
{
  struct peer *p = peer_find (s, vm->id);
  if (p || vm->id == s->options.self.id || s->peer_count == PEERS_MAX)
    return p;
  p = g_new0 (struct peer, 1);
  p->vm = *vm;
  s->peers[s->peer_count++] = p;
  return p;
}

/* Adds (SIGN 1) or takes away (-1) what PEER counts of the servers.  */
static void
count_loads (struct bb_sharing *s, const struct peer *p, int sign, bb_usec now)
{
  for (uint32_t i = 0; i < p->load_count; i++)
    {
      const struct bb_share_load *load = &p->loads[i];
      struct bb_backend_server *server
          = bb_directory_marked (s->directory, load->mark);
      if (!server)
        continue;
      server->load.peer_open
          = MAX (server->load.peer_open + sign * load->open, 0);
      server->load.peer_busy
          = MAX (server->load.peer_busy + sign * load->busy, 0);
      if (sign > 0 && load->suspect)
        bb_suspicion_hearsay (&server->load.evidence, now + BB_SHARE_SILENCE);
    }
}

static void
peer_silent (struct bb_sharing *s, struct peer *p, bb_usec now)
{
  send_event (s, BB_EVENT_PEER_LOST, p->vm.id, 0, BB_REASON_TIMEOUT,
              now - p->heard);
  count_loads (s, p, -1, now);
  p->load_count = 0;
  p->flags = 0;
  p->heard = 0;
  p->sent = now;
}

static void
sweep_peers (struct bb_sharing *s, bb_usec now)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct peer *p = s->peers[i];
      bb_usec silent = p->heard ? now - p->heard : 0;
      if (silent >= BB_SHARE_SILENCE)
        p->flags &= ~(uint32_t)BB_SHARE_LEADING;
      if (silent >= (is_near (s, p) ? BB_SHARE_SILENCE : FAR_SILENCE))
        peer_silent (s, p, now);
      if (p->heard == 0 && p->mentioned != 0
          && now - p->mentioned > FORGET_AFTER)
        g_free (p);
      else
        s->peers[kept++] = p;
    }
  s->peer_count = kept;
}

uint32_t
bb_sharing_live (const struct bb_sharing *s, bb_usec now)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    count += is_live (s->peers[i], now);
  return count;
}

/* Beats.  */

static void
send (struct bb_sharing *s, const struct bb_endpoint *to,
      struct bb_share_message *m)
{
  m->from = s->options.self.id;
  m->incarnation = s->options.incarnation;
  s->sink->send (s->context, to, m);
}

static uint32_t
age_ms (bb_usec since, bb_usec now)
{
  if (since == 0)
    return UINT32_MAX;
  return (uint32_t)MIN ((now - since) / BB_MSEC, UINT32_MAX - 1);
}

static uint32_t
own_flags (const struct bb_sharing *s, bb_usec now)
{
  uint32_t flags = 0;
  if (s->leaving)
    flags |= BB_SHARE_LEAVING;
  if (s->store_failed == 0 || now - s->store_failed > STORE_FAILED_TIME)
    flags |= BB_SHARE_STORE_OK;
  if (s->reads)
    flags |= BB_SHARE_READING;
  if (s->leads)
    flags |= BB_SHARE_LEADING;
  return flags;
}

static void
add_known (struct bb_sharing *s, struct bb_share_beat *b)
{
  uint32_t start
      = s->peer_count
            ? (uint32_t)g_rand_int_range (s->random, 0, (gint32)s->peer_count)
            : 0;
  for (uint32_t i = 0; i < s->peer_count && b->known_count < BB_SHARE_KNOWN;
       i++)
    {
      const struct peer *p = s->peers[(start + i) % s->peer_count];
      if (p->heard != 0)
        b->known[b->known_count++] = p->vm;
    }
}

/* Newest servers first: those that changed last are the ones to place on.  */
static void
add_loads (struct bb_sharing *s, struct bb_share_beat *b, bb_usec now)
{
  struct bb_link *head = bb_directory_servers (s->directory);
  for (struct bb_link *at = head->previous;
       at != head && b->load_count < BB_SHARE_LOADS; at = at->previous)
    {
      const struct bb_backend_server *server
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      const struct bb_server_load *load = &server->load;
      bool suspect = load->evidence.silent_since != 0
                     && bb_suspicion_suspects (&load->evidence, now);
      if (load->open <= 0 && load->busy <= 0 && !suspect)
        continue;
      b->loads[b->load_count++] = (struct bb_share_load){
        .mark = server->mark,
        .open = (uint16_t)CLAMP (load->open, 0, UINT16_MAX),
        .busy = (uint16_t)CLAMP (load->busy, 0, UINT16_MAX),
        .suspect = suspect,
      };
    }
}

static void
make_beat (struct bb_sharing *s, struct bb_share_message *m, bool near,
           bb_usec now)
{
  struct bb_share_beat *b = &m->beat;
  m->kind = BB_SHARE_BEAT;
  b->data_centre = s->options.self.data_centre;
  b->flags = own_flags (s, now);
  b->capacity = s->options.capacity;
  b->revision = s->revision;
  b->version = bb_directory_version (s->directory);
  b->verified_ms = age_ms (s->verified, now);
  b->known_count = b->load_count = 0;
  add_known (s, b);
  if (near)
    add_loads (s, b, now);
}

static void
greet (struct bb_sharing *s, const struct bb_endpoint *to, bb_usec now)
{
  struct bb_share_message m;
  make_beat (s, &m, false, now);
  m.beat.flags |= BB_SHARE_HELLO;
  send (s, to, &m);
}

static void
greet_seeds (struct bb_sharing *s, bb_usec now)
{
  if (bb_sharing_live (s, now) > 0 && now - s->greeted < RETRY_INTERVAL)
    return;
  s->greeted = now;
  for (size_t i = 0; i < s->seed_count; i++)
    if (s->seeds[i].address != s->options.self.endpoint.address)
      greet (s, &s->seeds[i], now);
}

static void
beat_far (struct bb_sharing *s, struct peer *p,
          const struct bb_share_message *beat, bb_usec now)
{
  struct bb_share_message m = *beat;
  m.beat.load_count = 0;
  send (s, &p->vm.endpoint, &m);
  p->sent = now;
}

/* One balancer of another data centre, or none.  */
static struct peer *
draw_far (struct bb_sharing *s)
{
  if (s->peer_count == 0)
    return NULL;
  uint32_t start
      = (uint32_t)g_rand_int_range (s->random, 0, (gint32)s->peer_count);
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct peer *p = s->peers[(start + i) % s->peer_count];
      if (!is_near (s, p))
        return p;
    }
  return NULL;
}

/* Leaders hear each other in each round.  */
static void
beat_leaders (struct bb_sharing *s, const struct bb_share_message *beat,
              bb_usec now)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct peer *p = s->peers[i];
      if (!is_near (s, p) && p->heard != 0 && p->flags & BB_SHARE_LEADING)
        beat_far (s, p, beat, now);
    }
}

static void
send_beats (struct bb_sharing *s, bb_usec now)
{
  struct bb_share_message m;
  make_beat (s, &m, true, now);
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct peer *p = s->peers[i];
      if (!is_near (s, p) || (p->heard == 0 && now - p->sent < RETRY_INTERVAL))
        continue;
      p->sent = now;
      send (s, &p->vm.endpoint, &m);
    }
  if (s->leads)
    beat_leaders (s, &m, now);
  if (now < s->far_due)
    return;
  s->far_due = now + (s->leads ? BB_SHARE_INTERVAL : FAR_INTERVAL);
  struct peer *far = draw_far (s);
  if (far)
    beat_far (s, far, &m, now);
}

/* Items.  */

struct packer
{
  struct bb_sharing *sharing;
  const struct bb_endpoint *to;
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
    send (k->sharing, k->to, &k->message);
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

static void
send_items (struct bb_sharing *s, const struct bb_endpoint *to, uint64_t from,
            bb_usec now)
{
  struct packer k = { .sharing = s, .to = to, .counting = true };
  struct bb_share_items *m = &k.message.items;
  k.message.kind = BB_SHARE_ITEMS;
  m->batch = ++s->batch_number;
  m->from = from;
  m->to = s->revision;
  m->version = bb_directory_version (s->directory);
  m->verified_ms = age_ms (s->verified, now);
  pack (&k, from, now);
  m->chunk_count = k.chunks;
  k.counting = false;
  if (k.chunks <= BB_SHARE_CHUNKS)
    pack (&k, from, now);
}

/* Tells what is newer than BEFORE: a leader those that follow it, a reader the
   other leaders too.  */
static void
tell (struct bb_sharing *s, uint64_t before, bb_usec now)
{
  if (!s->leads && !s->reads)
    return;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct peer *p = s->peers[i];
      bool follows = is_near (s, p) ? s->leads
                                    : s->reads && p->flags & BB_SHARE_LEADING;
      if (follows && is_live (p, now) && p->revision > 0
          && !(p->flags & BB_SHARE_READING))
        send_items (s, &p->vm.endpoint, MIN (before, p->revision), now);
    }
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

static void
take_items (struct bb_sharing *s, const struct bb_share_items *m, bb_usec now)
{
  for (uint32_t i = 0; i < m->server_count; i++)
    {
      bb_share_take_server (s->directory, &m->servers[i], BB_REASON_PEER,
                            m->to, (bb_usec)m->verified_ms * BB_MSEC, s->sink,
                            s->context, now);
    }
  for (uint32_t i = 0; i < m->route_count; i++)
    bb_directory_put_route (s->directory, &m->routes[i], now);
}

/* Returns whether the batch is complete.  */
static bool
collect (struct bb_sharing *s, uint32_t from, const struct bb_share_items *m)
{
  struct batch *b = &s->batch;
  if (b->from != from || b->number != m->batch)
    *b = (struct batch){ .from = from,
                         .number = m->batch,
                         .chunk_count = m->chunk_count };
  uint64_t bit = (uint64_t)1 << (m->chunk % 64);
  if (m->chunk_count != b->chunk_count || b->chunks[m->chunk / 64] & bit)
    return false;
  b->chunks[m->chunk / 64] |= bit;
  return ++b->received == b->chunk_count;
}

static void
set_verified (struct bb_sharing *s, uint32_t verified_ms, bb_usec now)
{
  if (verified_ms != UINT32_MAX)
    s->verified = MAX (s->verified, now - (bb_usec)verified_ms * BB_MSEC);
}

static void
receive_items (struct bb_sharing *s, uint32_t from,
               const struct bb_share_items *m, bb_usec now)
{
  if (m->from > s->revision)
    return;
  take_items (s, m, now);
  if (!collect (s, from, m))
    return;
  uint64_t version = bb_directory_version (s->directory);
  bb_directory_set_version (s->directory, m->version);
  if (m->version > version)
    send_event (s, BB_EVENT_VERSION, from, m->version, BB_REASON_PEER,
                (bb_usec)m->verified_ms * BB_MSEC);
  if (m->to < s->revision)
    return;
  uint64_t before = s->revision;
  s->revision = m->to;
  set_verified (s, m->verified_ms, now);
  if (s->revision > before)
    tell (s, before, now);
}

static void
want (struct bb_sharing *s, const struct peer *p, bb_usec now)
{
  if (now - s->wanted < WANT_INTERVAL)
    return;
  s->wanted = now;
  struct bb_share_message m = { .kind = BB_SHARE_WANT };
  m.want.revision = s->revision;
  send (s, &p->vm.endpoint, &m);
}

/* Whether P, or this balancer if P is NULL, comes before OTHER in the order
   of readers: those that the store answers first, then those with more
   processor time.  */
static bool
precedes (const struct bb_sharing *s, const struct peer *p,
          const struct peer *other, bb_usec now)
{
  uint32_t flags[2] = { p ? p->flags : own_flags (s, now),
                        other ? other->flags : own_flags (s, now) };
  uint32_t capacity[2] = { p ? p->capacity : s->options.capacity,
                           other ? other->capacity : s->options.capacity };
  uint32_t id[2] = { p ? p->vm.id : s->options.self.id,
                     other ? other->vm.id : s->options.self.id };
  bool ok[2] = { (flags[0] & BB_SHARE_STORE_OK) != 0,
                 (flags[1] & BB_SHARE_STORE_OK) != 0 };
  if (ok[0] != ok[1])
    return ok[0];
  if (capacity[0] != capacity[1])
    return capacity[0] > capacity[1];
  return id[0] < id[1];
}

/* Live balancers before this one: of its data centre, or the leaders of the
   others.  */
static uint32_t
rank (const struct bb_sharing *s, bool near, bb_usec now)
{
  uint32_t before = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct peer *p = s->peers[i];
      bool counts = is_near (s, p) == near && is_live (p, now)
                    && p->revision > 0
                    && (near || p->flags & BB_SHARE_LEADING);
      if (counts && precedes (s, p, NULL, now))
        before++;
    }
  return before;
}

/* The state that a beat tells of counts as current for this balancer too if it
   holds the same revision.  */
static void
follow (struct bb_sharing *s, const struct peer *p,
        const struct bb_share_beat *b, bb_usec now)
{
  if (b->revision == s->revision && b->revision > 0)
    set_verified (s, b->verified_ms, now);
  else if (b->revision > s->revision)
    want (s, p, now);
}

static void
receive_beat (struct bb_sharing *s, const struct bb_endpoint *from,
              const struct bb_share_message *m, bb_usec now)
{
  const struct bb_share_beat *b = &m->beat;
  struct bb_share_vm vm
      = { .id = m->from, .data_centre = b->data_centre, .endpoint = *from };
  struct peer *p = peer_get (s, &vm);
  if (!p)
    return;
  if (p->heard == 0)
    send_event (s, BB_EVENT_PEER_JOINED, vm.id, b->revision, BB_REASON_NONE,
                0);
  else
    count_loads (s, p, -1, now);
  p->vm = vm;
  p->incarnation = m->incarnation;
  p->heard = now;
  p->flags = b->flags;
  p->capacity = b->capacity;
  p->revision = b->revision;
  p->version = b->version;
  p->mentioned = now;
  p->load_count = b->load_count;
  memcpy (p->loads, b->loads, b->load_count * sizeof b->loads[0]);
  count_loads (s, p, 1, now);
  for (uint32_t i = 0; i < b->known_count; i++)
    {
      struct peer *known = peer_get (s, &b->known[i]);
      if (known && known->mentioned == 0)
        known->mentioned = now;
    }
  follow (s, p, b, now);
  if (b->flags & BB_SHARE_HELLO)
    {
      struct bb_share_message answer;
      make_beat (s, &answer, is_near (s, p), now);
      send (s, from, &answer);
    }
}

void
bb_sharing_receive (struct bb_sharing *s, const struct bb_endpoint *from,
                    const struct bb_share_message *m, bb_usec now)
{
  if (m->from == s->options.self.id)
    return;
  switch (m->kind)
    {
    case BB_SHARE_BEAT:
      receive_beat (s, from, m, now);
      break;
    case BB_SHARE_WANT:
      if (s->revision > m->want.revision)
        send_items (s, from, m->want.revision, now);
      break;
    case BB_SHARE_ITEMS:
      receive_items (s, m->from, &m->items, now);
      break;
    case BB_SHARE_KINDS:
      break;
    }
}

/* Reading.  */

static void
choose_role (struct bb_sharing *s, bb_usec now)
{
  uint32_t before = rank (s, true, now);
  bb_usec age = bb_sharing_age (s, now);
  bb_usec patience
      = BB_SHARE_OUTDATED + MIN (before * RANK_STEP, RANK_STEP_MAX);
  s->leads = before == 0 && !s->leaving;
  bool first = s->leads && rank (s, false, now) == 0;
  bool outdated = age > patience;
  bool reads = !s->leaving && (first || outdated);
  if (reads == s->reads)
    return;
  s->reads = reads;
  s->beat_due = now;
  send_event (s, BB_EVENT_READER, 0, reads,
              first      ? BB_REASON_FIRST
              : outdated ? BB_REASON_OUTDATED
                         : BB_REASON_RELIEVED,
              age);
}

void
bb_sharing_tick (struct bb_sharing *s, bb_usec now)
{
  sweep_peers (s, now);
  choose_role (s, now);
  if (now < s->beat_due)
    return;
  s->beat_due = now + BB_SHARE_INTERVAL;
  greet_seeds (s, now);
  send_beats (s, now);
}

void
bb_sharing_leave (struct bb_sharing *s, bb_usec now)
{
  s->leaving = true;
  choose_role (s, now);
  send_beats (s, now);
}

bool
bb_sharing_reads (const struct bb_sharing *s)
{
  return s->reads;
}

void
bb_sharing_current (struct bb_sharing *s, uint64_t revision, bb_usec asked,
                    bb_usec now)
{
  s->store_failed = 0;
  s->verified = MAX (s->verified, asked);
  if (revision <= s->revision)
    return;
  uint64_t before = s->revision;
  s->revision = revision;
  tell (s, before, now);
}

void
bb_sharing_store_failed (struct bb_sharing *s, bb_usec now)
{
  bool first = s->store_failed == 0;
  s->store_failed = now;
  if (first)
    s->beat_due = now;
}

uint64_t
bb_sharing_revision (const struct bb_sharing *s)
{
  return s->revision;
}

bb_usec
bb_sharing_age (const struct bb_sharing *s, bb_usec now)
{
  return s->verified ? now - s->verified : INT64_MAX / 2;
}
