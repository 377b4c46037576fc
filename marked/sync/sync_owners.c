/* Owners: the balancers of a data centre among which its cold servers are
   divided by rendezvous hash.

   Two balancers that disagree on the list must not both own a server, so the
   list grows only by balancers that all others know, and shrinks only by those
   that own nothing any more:

   - An owner stays in the list for OWNER_RETENTION after its last heartbeat,
     and is removed before only if its own heartbeat says that it is no owner:
     it stops, or has started again.
   - A balancer that starts waits until it can have heard of all others and
     none has a longer list.  Then it announces itself, and owns servers once
     the lists of all others equal its own, with itself in it.  A list that has
     an owner that it cannot hear differs, so that a balancer that starts on
     one side of a cut does not own what the other side does.

   Lists are compared by a digest, 0 for an empty one.  */

#include "core/hash.h"
#include "marked/sync/sync_private.h"

/* Far above the time for which balancers of a data centre lose each other.
   While an owner is silent, its cold servers get no new flows.  */
#define OWNER_RETENTION (600 * BB_SEC)

/* A balancer that was frozen, or heard no other owner, for this time may have
   been removed by the others soon, and joins again.  */
#define OWNER_SILENCE_MAX (OWNER_RETENTION / 2)

/* Time after which a balancer that starts has heard of all others, if it has
   heard of no new one meanwhile: those that it hears of list others, which
   answer to its heartbeats, and some of these are lost.  */
#define JOIN_TIME (2 * BB_SYNC_PEER_TIMEOUT)

/* A balancer that others list, but that was not heard, is waited for this
   long. Silent balancers are contacted each 2 s.  */
#define UNHEARD_TIME (6 * BB_SEC)

/* A balancer that was not confirmed by all others in this time withdraws, so
   that others own its servers meanwhile.  */
#define CONFIRM_TIME (5 * BB_SEC)

static uint32_t
digest_of (uint32_t id)
{
  return (uint32_t)XXH3_64bits (&id, sizeof id);
}

static void
set_changed (struct bb_sync_owners *o, bb_usec now)
{
  o->generation++;
  o->changed = now;
}

static void
remove_owner (struct bb_sync_owners *o, uint32_t index, bb_usec now)
{
  o->digest ^= digest_of (o->list[index].id);
  o->list[index] = o->list[--o->count];
  set_changed (o, now);
}

static void
set_phase (struct bb_sync *s, enum bb_sync_owner_phase phase, bb_usec now)
{
  struct bb_sync_owners *o = &s->owners;
  bool was_announced = o->phase >= BB_SYNC_OWNER_ANNOUNCED;
  bool is_announced = phase >= BB_SYNC_OWNER_ANNOUNCED;
  if (was_announced != is_announced)
    {
      o->digest ^= digest_of (s->options.self.id);
      s->next_heartbeat = now;
    }
  o->phase = phase;
  o->phase_since = now;
  set_changed (o, now);
}

/* Whether P is a live balancer of the data centre with the id of this one, and
   owns the servers of that id.  */
static bool
owns_for_both (const struct bb_sync *s, const struct bb_sync_peer *p)
{
  const struct bb_sync_vm *self = &s->options.self;
  return p->vm.id == self->id && p->last_received != 0
         && bb_sync_peer_is_local (s, p)
         && bb_endpoint_compare (&p->vm.endpoint, &self->endpoint) < 0;
}

static bool
must_yield (const struct bb_sync *s)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    if (owns_for_both (s, s->peers[i]))
      return true;
  return false;
}

/* The list has an id once: a balancer that comes back under its name at
   another address takes its place there.  Another one with the same id, which
   is no owner, does not end it.  */
void
bb_sync_record_owner (struct bb_sync *s, const struct bb_sync_peer *p,
                      const struct bb_sync_heartbeat *b, bb_usec now)
{
  struct bb_sync_owners *o = &s->owners;
  uint32_t i = 0;
  while (i < o->count && o->list[i].id != p->vm.id)
    i++;
  if (p->vm.id == s->options.self.id && !owns_for_both (s, p))
    return;
  bool is_owner = b->flags & BB_SYNC_OWNER && !(b->flags & BB_SYNC_LEAVING);
  if (!is_owner)
    {
      if (i < o->count
          && bb_endpoint_compare (&o->list[i].endpoint, &p->vm.endpoint) == 0)
        remove_owner (o, i, now);
      return;
    }
  if (i == G_N_ELEMENTS (o->list))
    return;
  if (i == o->count)
    {
      o->list[o->count++] = (struct bb_sync_owner){ .id = p->vm.id };
      o->digest ^= digest_of (p->vm.id);
      set_changed (o, now);
    }
  o->list[i].endpoint = p->vm.endpoint;
  o->list[i].last_received = now;
  o->list[i].digest = b->owners;
}

static uint32_t
owner_count (const struct bb_sync_owners *o)
{
  return o->count + (o->phase >= BB_SYNC_OWNER_ANNOUNCED);
}

/* Whether P is a balancer of the data centre that knows owners, as of its last
   heartbeat.  Those that are none themselves count, too, and those that are
   silent: one that stops, or has withdrawn, may be the last to know of an
   owner on the other side of a cut.  */
static bool
knows_owners (const struct bb_sync *s, const struct bb_sync_peer *p)
{
  return bb_sync_peer_is_local (s, p) && p->owner_count > 0;
}

/* Whether P is only known from the lists of others so far.  */
static bool
is_awaited (const struct bb_sync *s, const struct bb_sync_peer *p, bb_usec now)
{
  return bb_sync_peer_is_local (s, p) && p->incarnation == 0
         && now - p->last_mentioned < UNHEARD_TIME;
}

/* Whether no other balancer is known to know more owners than this one.  */
static bool
has_heard_all (const struct bb_sync *s, bb_usec now)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_sync_peer *p = s->peers[i];
      if (is_awaited (s, p, now)
          || (knows_owners (s, p)
              && p->owner_count > owner_count (&s->owners)))
        return false;
    }
  return true;
}

/* Whether all owners are live, and they and all others that know owners have
   the list of this balancer.  */
static bool
is_confirmed (const struct bb_sync *s, bb_usec now)
{
  const struct bb_sync_owners *o = &s->owners;
  for (uint32_t i = 0; i < o->count; i++)
    if (now - o->list[i].last_received >= BB_SYNC_PEER_TIMEOUT
        || o->list[i].digest != o->digest)
      return false;
  for (uint32_t i = 0; i < s->peer_count; i++)
    if (knows_owners (s, s->peers[i]) && s->peers[i]->owners != o->digest)
      return false;
  return true;
}

/* Whether other balancers were reached, if there should be any.  */
static bool
is_in_touch (const struct bb_sync *s, bb_usec now)
{
  if (bb_sync_count_live_peers (s, now) > 0)
    return true;
  for (size_t i = 0; i < s->seed_count; i++)
    if (s->seeds[i].address != s->options.self.endpoint.address)
      return false;
  return true;
}

static void
expire_owners (struct bb_sync_owners *o, bb_usec now)
{
  for (uint32_t i = o->count; i > 0; i--)
    if (now - o->list[i - 1].last_received >= OWNER_RETENTION)
      remove_owner (o, i - 1, now);
}

/* Whether the others may have removed this balancer from their lists, or do so
   soon.  A freeze of FROZEN ended now.  */
static bool
may_be_removed (const struct bb_sync_owners *o, bb_usec frozen, bb_usec now)
{
  if (frozen >= OWNER_SILENCE_MAX)
    return true;
  for (uint32_t i = 0; i < o->count; i++)
    if (now - o->list[i].last_received < OWNER_SILENCE_MAX)
      return false;
  return o->count > 0;
}

static void
join (struct bb_sync *s, bb_usec now)
{
  struct bb_sync_owners *o = &s->owners;
  bool is_announced = o->phase >= BB_SYNC_OWNER_ANNOUNCED;
  o->count = 0;
  o->digest = is_announced ? digest_of (s->options.self.id) : 0;
  set_phase (s, BB_SYNC_OWNER_JOINING, now);
}

/* What the others sent during a freeze may still be to be read, so they were
   not silent.  What they confirmed before it may be out of date.  */
static void
skip_freeze (struct bb_sync *s, bb_usec frozen, bb_usec now)
{
  struct bb_sync_owners *o = &s->owners;
  for (uint32_t i = 0; i < o->count; i++)
    o->list[i].last_received = MIN (o->list[i].last_received + frozen, now);
  if (o->phase != BB_SYNC_OWNER_CONFIRMED)
    set_phase (s, BB_SYNC_OWNER_JOINING, now);
}

static void
update_phase (struct bb_sync *s, bb_usec now)
{
  struct bb_sync_owners *o = &s->owners;
  bb_usec elapsed = now - o->phase_since;
  bool has_joined = now - MAX (o->phase_since, o->discovered) >= JOIN_TIME;
  switch (o->phase)
    {
    case BB_SYNC_OWNER_JOINING:
      if (!is_in_touch (s, now))
        o->phase_since = now;
      else if (has_joined && o->is_enabled && !s->is_leaving && !must_yield (s)
               && has_heard_all (s, now))
        set_phase (s, BB_SYNC_OWNER_ANNOUNCED, now);
      break;
    case BB_SYNC_OWNER_ANNOUNCED:
      if (is_confirmed (s, now))
        set_phase (s, BB_SYNC_OWNER_CONFIRMED, now);
      else if (elapsed >= CONFIRM_TIME)
        set_phase (s, BB_SYNC_OWNER_JOINING, now);
      break;
    case BB_SYNC_OWNER_CONFIRMED:
      break;
    }
}

void
bb_sync_update_owners (struct bb_sync *s, bb_usec now)
{
  struct bb_sync_owners *o = &s->owners;
  bb_usec since_tick = now - o->last_tick;
  o->last_tick = now;
  if (o->phase >= BB_SYNC_OWNER_ANNOUNCED
      && (s->is_leaving || !o->is_enabled || must_yield (s)))
    set_phase (s, BB_SYNC_OWNER_JOINING, now);
  if (since_tick >= BB_SYNC_PEER_TIMEOUT)
    skip_freeze (s, since_tick, now);
  if (may_be_removed (o, since_tick, now))
    join (s, now);
  expire_owners (o, now);
  update_phase (s, now);
}

uint32_t
bb_sync_owner_count (const struct bb_sync *s)
{
  return owner_count (&s->owners);
}

void
bb_sync_enable_owner (struct bb_sync *s, bool is_enabled)
{
  s->owners.is_enabled = is_enabled;
}

bool
bb_sync_owns (const struct bb_sync *s, uint32_t server)
{
  const struct bb_sync_owners *o = &s->owners;
  if (o->phase != BB_SYNC_OWNER_CONFIRMED || s->is_leaving)
    return false;
  uint32_t self = s->options.self.id;
  uint64_t score = bb_hash_score (server, self);
  for (uint32_t i = 0; i < o->count; i++)
    {
      uint64_t other = bb_hash_score (server, o->list[i].id);
      if (other > score || (other == score && o->list[i].id > self))
        return false;
    }
  return true;
}

uint32_t
bb_sync_owners_generation (const struct bb_sync *s)
{
  return s->owners.generation;
}

bb_usec
bb_sync_owners_changed (const struct bb_sync *s)
{
  return s->owners.changed;
}
