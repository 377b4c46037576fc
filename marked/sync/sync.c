#include "marked/sync/sync_private.h"
#include <string.h>

/* Time by which a follower delays becoming a reader, for each balancer before
   it in the order of readers, so that the heartbeat of the first new reader
   can reach the others before they become readers too.  */
#define TAKEOVER_STEP (120 * BB_MSEC)
#define TAKEOVER_STEP_MAX (480 * BB_MSEC)

/* Interval of calls to the store by readers other than the first one while
   calls fail.  If the store answers only a few of the balancers, one of them
   still reads it within the limit of 3 s.  */
#define STANDBY_CALL_INTERVAL (1500 * BB_MSEC)

/* Least time between two heartbeats when one is sent early.  */
#define HURRIED_INTERVAL (100 * BB_MSEC)

struct bb_sync *
bb_sync_new (const struct bb_sync_options *options,
             struct bb_directory *directory, const struct bb_sync_sink *sink,
             void *context, bb_usec now)
{
  struct bb_sync *s = g_new0 (struct bb_sync, 1);
  s->options = *options;
  s->directory = directory;
  s->sink = sink;
  s->context = context;
  s->random = g_rand_new_with_seed (options->seed);
  s->next_heartbeat = now;
  s->is_reader = true;
  s->owners.phase_since = s->owners.last_tick = now;
  return s;
}

void
bb_sync_free (struct bb_sync *s)
{
  if (!s)
    return;
  for (uint32_t i = 0; i < s->peer_count; i++)
    g_free (s->peers[i]);
  for (size_t i = 0; i < G_N_ELEMENTS (s->batches); i++)
    bb_sync_clear_batch (&s->batches[i]);
  g_rand_free (s->random);
  g_free (s);
}

void
bb_sync_set_seeds (struct bb_sync *s, const struct bb_endpoint *seeds,
                   size_t count)
{
  s->seed_count = MIN (count, G_N_ELEMENTS (s->seeds));
  memcpy (s->seeds, seeds, s->seed_count * sizeof seeds[0]);
  s->last_seed_hello = 0;
}

void
bb_sync_send_event (struct bb_sync *s, enum bb_event_kind kind, uint32_t peer,
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

/* Whether P comes before OTHER in the order of readers: first balancers
   without a recent failed call to the store, then those with more processor
   time, then those with the lower id or endpoint.  NULL stands for this
   balancer.  */
static bool
precedes (const struct bb_sync *s, const struct bb_sync_peer *p,
          const struct bb_sync_peer *other, bb_usec now)
{
  uint32_t flags[2] = { p ? p->flags : bb_sync_own_flags (s, now),
                        other ? other->flags : bb_sync_own_flags (s, now) };
  uint32_t capacity[2] = { p ? p->capacity : s->options.capacity,
                           other ? other->capacity : s->options.capacity };
  uint32_t id[2] = { p ? p->vm.id : s->options.self.id,
                     other ? other->vm.id : s->options.self.id };
  bool ok[2] = { (flags[0] & BB_SYNC_STORE_OK) != 0,
                 (flags[1] & BB_SYNC_STORE_OK) != 0 };
  if (ok[0] != ok[1])
    return ok[0];
  if (capacity[0] != capacity[1])
    return capacity[0] > capacity[1];
  if (id[0] != id[1])
    return id[0] < id[1];
  const struct bb_sync_vm *vm[2] = { p ? &p->vm : &s->options.self,
                                     other ? &other->vm : &s->options.self };
  return bb_endpoint_compare (&vm[0]->endpoint, &vm[1]->endpoint) < 0;
}

const struct bb_sync_peer *
bb_sync_first_peer (const struct bb_sync *s, uint64_t data_centre, bb_usec now)
{
  const struct bb_sync_peer *best = NULL;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_sync_peer *p = s->peers[i];
      if (bb_key_is_same (p->vm.data_centre, data_centre)
          && bb_sync_peer_is_live (p, now)
          && (!best || precedes (s, p, best, now)))
        best = p;
    }
  return best;
}

/* Returns the number of live balancers before this one in the order of
   readers: balancers of its data centre if IS_LOCAL, else leaders of other
   data centres.  */
static uint32_t
count_preceding (const struct bb_sync *s, bool is_local, bb_usec now)
{
  uint32_t before = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_sync_peer *p = s->peers[i];
      bool counts = bb_sync_peer_is_local (s, p) == is_local
                    && bb_sync_peer_is_live (p, now) && p->revision > 0
                    && (is_local || p->flags & BB_SYNC_LEADER);
      if (counts && precedes (s, p, NULL, now))
        before++;
    }
  return before;
}

/* Whether this balancer has to read from the store what a peer of an older
   build did not send.  It waits for a time in proportion to BEFORE, the number
   of balancers that precede it, so that they do not all call the store at
   once.  */
static bool
must_complete (const struct bb_sync *s, uint32_t before, bb_usec now)
{
  return !bb_sync_is_complete (s)
         && now - s->incomplete_since
                >= MIN (before * TAKEOVER_STEP, TAKEOVER_STEP_MAX);
}

static void
update_role (struct bb_sync *s, bb_usec now)
{
  uint32_t before = count_preceding (s, true, now);
  bb_usec age = bb_sync_state_age (s, now);
  bb_usec age_max = BB_SYNC_STATE_AGE_MAX
                    + MIN (before * TAKEOVER_STEP, TAKEOVER_STEP_MAX);
  bool was_leader = s->is_leader;
  s->is_leader = before == 0 && !s->is_leaving;
  if (s->is_leader && !was_leader)
    bb_sync_contact_remote_peers (s, now);
  bool is_first = s->is_leader && count_preceding (s, false, now) == 0;
  s->is_first = is_first;
  bool is_outdated = age > age_max || must_complete (s, before, now);
  bool is_reader = !s->is_leaving && (is_first || is_outdated);
  if (is_reader == s->is_reader)
    return;
  s->is_reader = is_reader;
  s->next_heartbeat = now;
  bb_sync_send_event (s, BB_EVENT_READER, 0, is_reader,
                      is_first      ? BB_REASON_FIRST
                      : is_outdated ? BB_REASON_OUTDATED
                                    : BB_REASON_RELIEVED,
                      age);
}

void
bb_sync_receive (struct bb_sync *s, const struct bb_endpoint *from,
                 const struct bb_sync_message *m, bb_usec now)
{
  const struct bb_sync_vm sender = { .id = m->from, .endpoint = *from };
  if (bb_sync_is_same_vm (&sender, &s->options.self))
    return;
  switch (m->kind)
    {
    case BB_SYNC_HEARTBEAT:
      bb_sync_receive_heartbeat (s, from, m, now);
      break;
    case BB_SYNC_REQUEST:
      if (s->revision > m->request.revision)
        bb_sync_send_records (s, from, 1, m->request.revision, now);
      break;
    case BB_SYNC_RECORDS:
      bb_sync_receive_records (s, m, now);
      break;
    case BB_SYNC_KINDS:
      break;
    }
}

void
bb_sync_tick (struct bb_sync *s, bb_usec now)
{
  bb_sync_expire_peers (s, now);
  bb_sync_expire_batches (s, now);
  bb_sync_sum_demands (s, now);
  bb_sync_compare_silences (s, now);
  bb_sync_update_owners (s, now);
  update_role (s, now);
  bb_sync_contact_seeds (s, now);
  if (now < s->next_heartbeat)
    return;
  s->next_heartbeat = now + BB_SYNC_HEARTBEAT_INTERVAL;
  bb_sync_send_heartbeats (s, now);
}

void
bb_sync_hurry_heartbeat (struct bb_sync *s, bb_usec now)
{
  bb_usec earliest
      = s->next_heartbeat - BB_SYNC_HEARTBEAT_INTERVAL + HURRIED_INTERVAL;
  s->next_heartbeat = MIN (s->next_heartbeat, MAX (earliest, now));
}

void
bb_sync_announce_leave (struct bb_sync *s, bb_usec now)
{
  s->is_leaving = true;
  s->members_changed = now;
  update_role (s, now);
  bb_sync_send_heartbeats (s, now);
}

bool
bb_sync_may_call_store (const struct bb_sync *s, bb_usec now)
{
  return s->is_reader
         && (s->is_first || s->last_store_failure == 0
             || now - s->last_store_failure >= STANDBY_CALL_INTERVAL);
}

bool
bb_sync_is_reader (const struct bb_sync *s)
{
  return s->is_reader;
}

void
bb_sync_check_state (struct bb_sync *s)
{
#ifdef BB_CHECK_INVARIANTS
  struct bb_link *head = bb_directory_routes (s->directory);
  for (struct bb_link *at = head->next; at != head; at = at->next)
    g_assert (BB_LINKED (at, struct bb_route, by_revision)->revision
              <= s->revision);
  g_assert (bb_directory_removals_since (s->directory) <= s->revision);
#else
  (void)s;
#endif
}

void
bb_sync_confirm_revision (struct bb_sync *s, uint64_t revision,
                          bb_usec requested, bb_usec now)
{
  s->last_store_failure = 0;
  if (bb_sync_is_newer_era (s->revision, revision))
    return;
  bb_sync_enter_era (s, revision, 0, BB_REASON_STORE, now);
  s->last_verified = MAX (s->last_verified, requested);
  if (revision >= s->revision)
    bb_sync_set_complete (s, revision, true, now);
  if (revision <= s->revision)
    return;
  uint64_t before = s->revision;
  s->revision = revision;
  bb_sync_check_state (s);
  bb_sync_publish_changes (s, before, now);
}

void
bb_sync_report_store_failure (struct bb_sync *s, bb_usec now)
{
  bool is_first_failure = s->last_store_failure == 0;
  s->last_store_failure = now;
  if (is_first_failure)
    s->next_heartbeat = now;
}

bool
bb_sync_has_store_failed (const struct bb_sync *s)
{
  return s->last_store_failure != 0;
}

uint64_t
bb_sync_unsent_batches (const struct bb_sync *s)
{
  return s->unsent_batches;
}

bb_usec
bb_sync_members_changed (const struct bb_sync *s)
{
  return s->members_changed;
}

uint64_t
bb_sync_revision (const struct bb_sync *s)
{
  return s->revision;
}

bb_usec
bb_sync_state_age (const struct bb_sync *s, bb_usec now)
{
  return s->last_verified ? now - s->last_verified : BB_AGE_UNKNOWN;
}
