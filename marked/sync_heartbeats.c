#include "marked/sync_private.h"
#include <string.h>

/* One beat in so many goes to peers that are silent.  */
#define RETRY_INTERVAL (2 * BB_SEC)

/* While nobody is heard: seeds may just be starting themselves.  */
#define JOIN_INTERVAL (100 * BB_MSEC)

enum
{
  NO_DATA_CENTRE = 0, /* no beat for a balancer of the own one */
  /* Of the balancers that a beat names, those that one that joins asks at
     once: the first of its data centre and one more.  */
  ASKED_AT_ONCE = 2,
  ASKED_FOR_LEADERS = 4, /* in each round */
};

/* A balancer that does not lead beats one of another data centre so often, so
   that the data centres know each other's balancers.  */
#define FAR_INTERVAL BB_SEC

/* Between two requests for the same items, longer than any round trip.  */
#define WANT_INTERVAL (150 * BB_MSEC)

/* A store that refused is asked again by the next in the order first.  */
#define STORE_FAILED_TIME (2 * BB_SEC)

void
bb_share_send (struct bb_sharing *s, const struct bb_endpoint *to,
               size_t count, struct bb_share_message *m)
{
  m->from = s->options.self.id;
  m->incarnation = s->options.incarnation;
  s->sink->send (s->context, to, count, m);
}

uint32_t
bb_share_age_ms (bb_usec since, bb_usec now)
{
  if (since == 0)
    return UINT32_MAX;
  return (uint32_t)MIN ((now - since) / BB_MSEC, UINT32_MAX - 1);
}

uint32_t
bb_share_own_flags (const struct bb_sharing *s, bb_usec now)
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

/* Newest servers first: those that changed last are the ones to place on.  */
static void
add_loads (struct bb_sharing *s, struct bb_share_beat *b, bb_usec now)
{
  struct bb_link *head = bb_directory_servers (s->directory);
  uint32_t max = bb_share_loads_max (b->known_count);
  for (struct bb_link *at = head->previous; at != head && b->load_count < max;
       at = at->previous)
    {
      const struct bb_backend_server *server
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      const struct bb_server_load *load = &server->load;
      bool suspect = bb_suspicion_tells (&load->evidence, now);
      if (load->open <= 0 && load->busy <= 0 && !suspect)
        continue;
      b->loads[b->load_count++] = (struct bb_share_load){
        .mark = server->mark,
        .open = (uint16_t)CLAMP (load->open, 0, UINT16_MAX),
        .busy = (uint16_t)CLAMP (load->busy, 0, UINT16_MAX),
        .suspect = suspect,
        .answers = bb_suspicion_answers (&load->evidence, now),
      };
    }
}

static void
make_beat (struct bb_sharing *s, struct bb_share_message *m,
           uint32_t data_centre, uint32_t known, bb_usec now)
{
  struct bb_share_beat *b = &m->beat;
  m->kind = BB_SHARE_BEAT;
  b->data_centre = s->options.self.data_centre;
  b->flags = bb_share_own_flags (s, now);
  b->capacity = s->options.capacity;
  b->revision = s->revision;
  b->version = bb_directory_version (s->directory);
  b->verified_ms = bb_share_age_ms (s->verified, now);
  b->known_count = b->load_count = 0;
  bb_share_add_known (s, b, data_centre, known, now);
  if (data_centre == s->options.self.data_centre)
    add_loads (s, b, now);
}

static void
contact (struct bb_sharing *s, const struct bb_endpoint *to, bb_usec now)
{
  struct bb_share_message m;
  make_beat (s, &m, NO_DATA_CENTRE, 0, now);
  m.beat.flags |= BB_SHARE_HELLO;
  bb_share_send (s, to, 1, &m);
}

void
bb_share_contact_seeds (struct bb_sharing *s, bb_usec now)
{
  bool alone = bb_sharing_live (s, now) == 0;
  if (now - s->contacted < (alone ? JOIN_INTERVAL : RETRY_INTERVAL))
    return;
  s->contacted = now;
  for (size_t i = 0; i < s->seed_count; i++)
    if (s->seeds[i].address != s->options.self.endpoint.address)
      contact (s, &s->seeds[i], now);
}

/* Whether the leader of DATA_CENTRE is not known.  */
static bool
is_leaderless (const struct bb_sharing *s, uint32_t data_centre, bb_usec now)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    if (s->peers[i]->vm.data_centre == data_centre
        && bb_share_is_leader (s->peers[i], now))
      return false;
  return true;
}

/* Asks some balancers of data centres whose leader is not known; their
   answers name it.  */
static void
look_for_leaders (struct bb_sharing *s, bb_usec now)
{
  if (s->peer_count == 0)
    return;
  uint32_t start
      = (uint32_t)g_rand_int_range (s->random, 0, (gint32)s->peer_count);
  unsigned asked = 0;
  for (uint32_t i = 0; i < s->peer_count && asked < ASKED_FOR_LEADERS; i++)
    {
      struct bb_share_peer *p = s->peers[(start + i) % s->peer_count];
      if (bb_share_is_near (s, p) || p->sent == now
          || !is_leaderless (s, p->vm.data_centre, now))
        continue;
      p->sent = now;
      contact (s, &p->vm.endpoint, now);
      asked++;
    }
}

void
bb_share_contact_far (struct bb_sharing *s, bb_usec now)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct bb_share_peer *p = s->peers[i];
      if (bb_share_is_near (s, p) || p->sent == now)
        continue;
      p->sent = now;
      contact (s, &p->vm.endpoint, now);
    }
}

/* One balancer of another data centre, or none.  */
static struct bb_share_peer *
draw_far (struct bb_sharing *s)
{
  if (s->peer_count == 0)
    return NULL;
  uint32_t start
      = (uint32_t)g_rand_int_range (s->random, 0, (gint32)s->peer_count);
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct bb_share_peer *p = s->peers[(start + i) % s->peer_count];
      if (!bb_share_is_near (s, p))
        return p;
    }
  return NULL;
}

/* The balancers of the own data centre that beats go to now.  */
static size_t
choose_near (struct bb_sharing *s, bb_usec now)
{
  size_t count = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct bb_share_peer *p = s->peers[i];
      if (!bb_share_is_near (s, p)
          || (p->heard == 0 && p->sent != 0 && now - p->sent < RETRY_INTERVAL))
        continue;
      p->sent = now;
      s->targets[count++] = p->vm.endpoint;
    }
  return count;
}

/* Those of the others: leaders hear each other in each round, and one more is
   drawn now and then.  */
static size_t
choose_far (struct bb_sharing *s, bb_usec now)
{
  size_t count = 0;
  for (uint32_t i = 0; s->leads && i < s->peer_count; i++)
    {
      struct bb_share_peer *p = s->peers[i];
      if (bb_share_is_near (s, p) || p->heard == 0
          || !(p->flags & BB_SHARE_LEADING))
        continue;
      p->sent = now;
      s->targets[count++] = p->vm.endpoint;
    }
  if (now < s->far_due)
    return count;
  s->far_due = now + (s->leads ? BB_SHARE_INTERVAL : FAR_INTERVAL);
  if (s->leads)
    look_for_leaders (s, now);
  struct bb_share_peer *drawn = draw_far (s);
  if (!drawn || drawn->sent == now)
    return count;
  drawn->sent = now;
  s->targets[count++] = drawn->vm.endpoint;
  return count;
}

void
bb_share_send_beats (struct bb_sharing *s, bb_usec now)
{
  struct bb_share_message m;
  size_t count = choose_near (s, now);
  make_beat (s, &m, s->options.self.data_centre, BB_SHARE_KNOWN, now);
  if (count > 0)
    bb_share_send (s, s->targets, count, &m);
  count = choose_far (s, now);
  m.beat.load_count = 0;
  if (count > 0)
    bb_share_send (s, s->targets, count, &m);
}

static void
want (struct bb_sharing *s, const struct bb_share_peer *p, bb_usec now)
{
  if (now - s->wanted < WANT_INTERVAL)
    return;
  s->wanted = now;
  struct bb_share_message m = { .kind = BB_SHARE_WANT };
  m.want.revision = s->revision;
  bb_share_send (s, &p->vm.endpoint, 1, &m);
}

/* The state that a beat tells of counts as current for this balancer too if it
   holds the same revision.  */
static void
follow (struct bb_sharing *s, const struct bb_share_peer *p,
        const struct bb_share_beat *b, bb_usec now)
{
  if (b->revision == s->revision && b->revision > 0)
    bb_share_set_verified (s, b->verified_ms, now);
  else if (b->revision > s->revision)
    want (s, p, now);
}

/* A balancer that another one names, as number INDEX.  One that joins asks the
   first ones of its data centre at once; a leader asks those that may lead a
   data centre whose leader it does not know.  */
static void
note_named (struct bb_sharing *s, const struct bb_share_vm *vm, uint32_t index,
            bb_usec now)
{
  bool near = vm->data_centre == s->options.self.data_centre;
  bool asks_leader = s->leads && !near && index < BB_SHARE_LEADERS_NAMED
                     && is_leaderless (s, vm->data_centre, now);
  struct bb_share_peer *p = bb_share_peer_get (s, vm, false);
  bool is_new = p && p->mentioned == 0;
  if (is_new)
    p->mentioned = now;
  bool asks_first
      = is_new && near && s->revision == 0 && index < ASKED_AT_ONCE;
  if (!asks_first && !asks_leader)
    return;
  if (p)
    p->sent = now;
  contact (s, &vm->endpoint, now);
}

void
bb_share_receive_beat (struct bb_sharing *s, const struct bb_endpoint *from,
                       const struct bb_share_message *m, bb_usec now)
{
  const struct bb_share_beat *b = &m->beat;
  struct bb_share_vm vm
      = { .id = m->from, .data_centre = b->data_centre, .endpoint = *from };
  struct bb_share_peer *p = bb_share_peer_get (s, &vm, true);
  if (!p)
    return;
  /* Balancers of other data centres that do not lead come and go.  */
  if (p->heard == 0
      && (bb_share_is_near (s, p) || b->flags & BB_SHARE_LEADING))
    bb_share_send_event (s, BB_EVENT_PEER_JOINED, vm.id, b->revision,
                         BB_REASON_NONE, 0);
  else
    bb_share_count_loads (s, p, -1, now);
  p->vm = vm;
  p->incarnation = m->incarnation;
  p->heard = now;
  p->flags = b->flags;
  p->led = b->flags & BB_SHARE_LEADING;
  p->capacity = b->capacity;
  p->revision = b->revision;
  p->version = b->version;
  p->mentioned = now;
  p->load_count = b->load_count;
  memcpy (p->loads, b->loads, b->load_count * sizeof b->loads[0]);
  bb_share_count_loads (s, p, 1, now);
  for (uint32_t i = 0; i < b->known_count; i++)
    note_named (s, &b->known[i], i, now);
  follow (s, p, b, now);
  if (b->flags & BB_SHARE_HELLO)
    {
      struct bb_share_message answer;
      make_beat (s, &answer, p->vm.data_centre, BB_SHARE_KNOWN_MAX, now);
      bb_share_send (s, from, 1, &answer);
    }
}
