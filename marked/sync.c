#include "marked/sync_private.h"
#include <string.h>

/* Followers take over one after the other, so that the first one's beat can
   reach the rest.  */
#define RANK_STEP (120 * BB_MSEC)
#define RANK_STEP_MAX (480 * BB_MSEC)

/* Calls of those that are not first, while none was answered.  A store that
   serves only a few of them is found within a bound of 3 s.  */
#define SELDOM (1500 * BB_MSEC)

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
  for (size_t i = 0; i < G_N_ELEMENTS (s->batches); i++)
    bb_share_batch_clear (&s->batches[i]);
  g_rand_free (s->random);
  g_free (s);
}

void
bb_sharing_seed (struct bb_sharing *s, const struct bb_endpoint *seeds,
                 size_t count)
{
  s->seed_count = MIN (count, G_N_ELEMENTS (s->seeds));
  memcpy (s->seeds, seeds, s->seed_count * sizeof seeds[0]);
  s->contacted = 0;
}

void
bb_share_send_event (struct bb_sharing *s, enum bb_event_kind kind,
                     uint32_t peer, uint64_t value, enum bb_reason reason,
                     bb_usec age)
{
  struct bb_event event = { .kind = kind,
                            .peer = peer,
                            .value = value,
                            .reason = reason,
                            .revision = s->revision,
                            .age = age };
  s->sink->event (s->context, &event);
}

/* Whether P, or this balancer if P is NULL, comes before OTHER in the order
   of readers: those that the store answers first, then those with more
   processor time.  */
static bool
precedes (const struct bb_sharing *s, const struct bb_share_peer *p,
          const struct bb_share_peer *other, bb_usec now)
{
  uint32_t flags[2] = { p ? p->flags : bb_share_own_flags (s, now),
                        other ? other->flags : bb_share_own_flags (s, now) };
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

const struct bb_share_peer *
bb_share_best (const struct bb_sharing *s, uint32_t data_centre, bb_usec now)
{
  const struct bb_share_peer *best = NULL;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_share_peer *p = s->peers[i];
      if (p->vm.data_centre == data_centre && bb_share_is_live (p, now)
          && (!best || precedes (s, p, best, now)))
        best = p;
    }
  return best;
}

/* Live balancers before this one: of its data centre, or the leaders of the
   others.  */
static uint32_t
rank (const struct bb_sharing *s, bool near, bb_usec now)
{
  uint32_t before = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_share_peer *p = s->peers[i];
      bool counts = bb_share_is_near (s, p) == near
                    && bb_share_is_live (p, now) && p->revision > 0
                    && (near || p->flags & BB_SHARE_LEADING);
      if (counts && precedes (s, p, NULL, now))
        before++;
    }
  return before;
}

static void
choose_role (struct bb_sharing *s, bb_usec now)
{
  uint32_t before = rank (s, true, now);
  bb_usec age = bb_sharing_age (s, now);
  bb_usec patience
      = BB_SHARE_OUTDATED + MIN (before * RANK_STEP, RANK_STEP_MAX);
  bool led = s->leads;
  s->leads = before == 0 && !s->leaving;
  if (s->leads && !led)
    bb_share_contact_far (s, now);
  bool first = s->leads && rank (s, false, now) == 0;
  s->first = first;
  bool outdated = age > patience;
  bool reads = !s->leaving && (first || outdated);
  if (reads == s->reads)
    return;
  s->reads = reads;
  s->beat_due = now;
  bb_share_send_event (s, BB_EVENT_READER, 0, reads,
                       first      ? BB_REASON_FIRST
                       : outdated ? BB_REASON_OUTDATED
                                  : BB_REASON_RELIEVED,
                       age);
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
      bb_share_receive_beat (s, from, m, now);
      break;
    case BB_SHARE_WANT:
      if (s->revision > m->want.revision)
        bb_share_send_items (s, from, 1, m->want.revision, now);
      break;
    case BB_SHARE_ITEMS:
      bb_share_receive_items (s, m->from, &m->items, now);
      break;
    case BB_SHARE_KINDS:
      break;
    }
}

void
bb_sharing_tick (struct bb_sharing *s, bb_usec now)
{
  bb_share_sweep_peers (s, now);
  choose_role (s, now);
  bb_share_contact_seeds (s, now);
  if (now < s->beat_due)
    return;
  s->beat_due = now + BB_SHARE_INTERVAL;
  bb_share_send_beats (s, now);
}

void
bb_sharing_leave (struct bb_sharing *s, bb_usec now)
{
  s->leaving = true;
  choose_role (s, now);
  bb_share_send_beats (s, now);
}

bool
bb_sharing_may_call (const struct bb_sharing *s, bb_usec now)
{
  return s->reads
         && (s->first || s->store_failed == 0
             || now - s->store_failed >= SELDOM);
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
  bb_share_publish (s, before, now);
}

void
bb_sharing_store_failed (struct bb_sharing *s, bb_usec now)
{
  bool first = s->store_failed == 0;
  s->store_failed = now;
  if (first)
    s->beat_due = now;
}

bool
bb_sharing_store_lost (const struct bb_sharing *s)
{
  return s->store_failed != 0;
}

uint64_t
bb_sharing_revision (const struct bb_sharing *s)
{
  return s->revision;
}

bb_usec
bb_sharing_age (const struct bb_sharing *s, bb_usec now)
{
  return s->verified ? now - s->verified : BB_AGE_UNKNOWN;
}
