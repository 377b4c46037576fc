#include "marked/state/directory_era.h"
#include "marked/sync/sync_private.h"

/* Whether P receives changes from this balancer.  */
static bool
is_follower (const struct bb_sync *s, const struct bb_sync_peer *p,
             bb_usec now)
{
  bool is_local = bb_sync_peer_is_local (s, p);
  if (is_local ? !s->is_leader : !s->is_reader || !(p->flags & BB_SYNC_LEADER))
    return false;
  return bb_sync_peer_is_live (p, now) && p->revision > 0
         && !(p->flags & BB_SYNC_READER);
}

/* What a follower needs to reach the state held.  */
enum need
{
  NEEDS_CHANGES, /* those of the last change of this state */
  NEEDS_MORE_CHANGES,
  NEEDS_WHOLE_STATE
};

static enum need
need_of (const struct bb_sync *s, const struct bb_sync_peer *p,
         uint64_t before)
{
  if (!bb_directory_has_changes_after (s->directory, p->revision)
      || (bb_directory_is_divergent (s->directory)
          && p->version < bb_directory_version (s->directory)))
    return NEEDS_WHOLE_STATE;
  return p->revision >= before ? NEEDS_CHANGES : NEEDS_MORE_CHANGES;
}

/* Sends the records after FROM to the followers with NEED, as one batch.  */
static void
send_to_followers (struct bb_sync *s, enum need need, uint64_t before,
                   uint64_t from, bb_usec now)
{
  size_t count = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_sync_peer *p = s->peers[i];
      if (is_follower (s, p, now) && need_of (s, p, before) == need)
        s->targets[count++] = p->vm.endpoint;
    }
  if (count > 0)
    bb_sync_send_records (s, s->targets, count, from, now);
}

void
bb_sync_publish_changes (struct bb_sync *s, uint64_t before, bb_usec now)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_sync_peer *p = s->peers[i];
      if (is_follower (s, p, now)
          && need_of (s, p, before) == NEEDS_MORE_CHANGES)
        bb_sync_send_records (s, &p->vm.endpoint, 1, p->revision, now);
    }
  send_to_followers (s, NEEDS_WHOLE_STATE, before, 0, now);
  send_to_followers (s, NEEDS_CHANGES, before, before, now);
}
