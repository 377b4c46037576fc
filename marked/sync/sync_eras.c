#include "marked/state/directory_era.h"
#include "marked/sync/sync_private.h"

bool
bb_sync_is_newer_era (uint64_t a, uint64_t b)
{
  return bb_revision_era (a) > bb_revision_era (b);
}

void
bb_sync_enter_era (struct bb_sync *s, uint64_t revision, uint32_t peer,
                   enum bb_reason reason, bb_usec now)
{
  if (s->revision == 0 || !bb_sync_is_newer_era (revision, s->revision))
    return;
  bb_sync_send_event (s, BB_EVENT_STORE_ERA, peer, bb_revision_era (revision),
                      reason, bb_sync_state_age (s, now));
  bb_directory_enter_era (s->directory, revision, now);
  /* Calls that confirmed the old state say nothing of this one.  */
  s->last_verified = 0;
}

/* Whether the configuration of M orders after the one held although its state
   does not.  In one era a state that is not newer has no newer configuration,
   unless the sender kept one that the store lost.  */
static bool
has_newer_configuration (const struct bb_sync *s,
                         const struct bb_sync_records *m)
{
  uint64_t version = bb_directory_version (s->directory);
  return m->from == 0 && m->version > version
         && (bb_sync_is_newer_era (s->revision, m->to) || m->is_divergent
             || bb_directory_is_divergent (s->directory));
}

/* Puts the configuration VERSION in B in force, at REVISION.  A batch of an
   older build has no limits of services.  */
static void
replace_configuration (struct bb_sync *s, const struct bb_sync_batch *b,
                       uint64_t version, uint64_t revision, bb_usec now)
{
  struct bb_configuration c = bb_sync_get_configuration (b, version, revision);
  bb_directory_replace_routes (s->directory, &c, now);
  if (!b->lacks_evacuations)
    bb_directory_replace_limits (s->directory, &c, now);
}

void
bb_sync_adopt_configuration (struct bb_sync *s, const struct bb_sync_batch *b,
                             const struct bb_sync_records *m, bb_usec now)
{
  if (!has_newer_configuration (s, m))
    return;
  replace_configuration (s, b, m->version, s->revision, now);
  bb_directory_restart_history (s->directory, s->revision, now);
  bb_directory_set_divergent (s->directory, true);
  s->needs_whole_state = false;
  bb_sync_send_event (s, BB_EVENT_VERSION, b->from, m->version, BB_REASON_PEER,
                      (bb_usec)m->verified_ms * BB_MSEC);
  bb_sync_check_state (s);
  bb_sync_publish_changes (s, s->revision, now);
}

bool
bb_sync_knows_changes (const struct bb_sync *s,
                       const struct bb_sync_records *m)
{
  return m->from == 0 || m->version <= bb_directory_version (s->directory)
         || (!m->is_divergent && !bb_directory_is_divergent (s->directory));
}

/* A record that is not newer than the directory, and that it lacks, was
   removed in the meantime.  */
static void
apply_routes (struct bb_sync *s, const struct bb_sync_batch *b, bb_usec now)
{
  size_t count;
  for (guint i = 0; i < b->records->len; i += (guint)count)
    {
      const struct bb_route_record *r
          = &g_array_index (b->records, struct bb_route_record, i);
      count = bb_route_record_count (r, b->records->len - i);
      if (r->revision > s->revision)
        bb_directory_put_route (s->directory, r, count, now);
    }
}

bool
bb_sync_apply_configuration (struct bb_sync *s, const struct bb_sync_batch *b,
                             const struct bb_sync_records *m, bb_usec now)
{
  struct bb_directory *d = s->directory;
  uint64_t version = bb_directory_version (d);
  bool was_divergent = bb_directory_is_divergent (d);
  if (m->version < version)
    {
      bb_directory_keep_configuration (d, m->to);
      return false;
    }
  /* Routes that are missing here may be older than the revision held if either
     side kept them from an older era, or did so before.  */
  if (m->from == 0 && s->revision > 0
      && (m->version > version || was_divergent))
    replace_configuration (s, b, m->version, m->to, now);
  else
    {
      bb_sync_apply_limits (s, b, m, now);
      apply_routes (s, b, now);
    }
  if (m->from == 0)
    bb_directory_drop_unlisted_routes (d, b->routes, m->to, now);
  bb_directory_set_version (d, m->version);
  bb_directory_set_divergent (d, m->is_divergent
                                     && (m->from == 0 || was_divergent));
  if (m->version > version)
    bb_sync_send_event (s, BB_EVENT_VERSION, b->from, m->version,
                        BB_REASON_PEER, (bb_usec)m->verified_ms * BB_MSEC);
  return bb_directory_is_divergent (d) == was_divergent || s->revision == 0;
}
