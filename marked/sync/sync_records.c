#include "marked/state/directory_era.h"
#include "marked/sync/sync_private.h"

void
bb_sync_apply_server (struct bb_directory *directory,
                      const struct bb_server_record *record,
                      enum bb_reason from, uint64_t revision, bb_usec age,
                      const struct bb_sync_sink *sink, void *context,
                      bb_usec now)
{
  static const enum bb_event_kind kinds[] = {
    [BB_DIRECTORY_ADDED] = BB_EVENT_SERVER_ADDED,
    [BB_DIRECTORY_CHANGED] = BB_EVENT_SERVER_CHANGED,
    [BB_DIRECTORY_RESTARTED] = BB_EVENT_SERVER_RESTARTED,
    [BB_DIRECTORY_GONE] = BB_EVENT_SERVER_GONE,
  };
  struct bb_backend_server *server;
  enum bb_directory_change change
      = bb_directory_put (directory, record, now, &server);
  if (!server || change == BB_DIRECTORY_UNCHANGED
      || change == BB_DIRECTORY_STALE)
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

/* Applies R, received with M.  In an era of which a state is held, what is
   newer than that was written since the store came back: a server that another
   balancer withholds, because it entered the era later, is ready.  */
static void
apply_server (struct bb_sync *s, struct bb_server_record *r,
              const struct bb_sync_records *m, bb_usec now)
{
  if (r->state == BB_SERVER_WITHHELD && s->revision > 0
      && !bb_sync_is_newer_era (r->revision, s->revision))
    r->state = BB_SERVER_READY;
  bb_sync_apply_server (s->directory, r, BB_REASON_PEER, m->to,
                        (bb_usec)m->verified_ms * BB_MSEC, s->sink, s->context,
                        now);
}

static void
apply_servers (struct bb_sync *s, const struct bb_sync_batch *b,
               const struct bb_sync_records *m, bb_usec now)
{
  for (guint i = 0; i < b->servers->len; i++)
    {
      struct bb_server_record *r
          = &g_array_index (b->servers, struct bb_server_record, i);
      if (bb_sync_is_newer (s, r->revision) || r->state == BB_SERVER_GONE)
        apply_server (s, r, m, now);
    }
}

/* Returns the new state of a server of RECORD that the state of REVISION does
   not list.  STATE is that of one that was ready.  A store that came back from
   an older copy may lack the entry of a server that is alive, which is then
   written again.  */
static enum bb_server_state
state_without_entry (const struct bb_server_record *record,
                     enum bb_server_state state, uint64_t revision)
{
  if (bb_sync_is_newer_era (revision, record->revision)
      && (record->state == BB_SERVER_READY
          || record->state == BB_SERVER_DRAINING
          || record->state == BB_SERVER_EXPIRED))
    return BB_SERVER_EXPIRED;
  return record->state == BB_SERVER_READY ? state : BB_SERVER_GONE;
}

/* Whether the removal of S, which the state of REVISION does not list, is to
   be recorded again.  In a store with eras another balancer of the same
   revision may hold S, if it did not know of a removal that an older copy
   lacked.  A server that lapsed when the store came back gets the whole grace
   time again if it comes back once more.  */
static bool
must_renew_removal (const struct bb_backend_server *s, uint64_t revision)
{
  if (s->record.state == BB_SERVER_EXPIRED)
    return bb_sync_is_newer_era (revision, s->record.revision);
  return s->record.state == BB_SERVER_GONE && s->record.revision < revision
         && bb_revision_era (revision) > 0;
}

void
bb_sync_remove_unlisted (struct bb_directory *directory, GHashTable *names,
                         enum bb_server_state state, uint64_t revision,
                         enum bb_reason from, bb_usec age,
                         const struct bb_sync_sink *sink, void *context,
                         bb_usec now)
{
  struct bb_link *head = bb_directory_servers (directory);
  GPtrArray *missing = g_ptr_array_new ();
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if ((s->gone_since == 0 || must_renew_removal (s, revision))
          && s->record.revision <= revision
          && !g_hash_table_contains (names, s->record.name))
        g_ptr_array_add (missing, s);
    }
  for (guint i = 0; i < missing->len; i++)
    {
      const struct bb_backend_server *s = missing->pdata[i];
      struct bb_server_record gone
          = { .state = state_without_entry (&s->record, state, revision) };
      g_strlcpy (gone.name, s->record.name, sizeof gone.name);
      gone.revision = MAX (revision, s->record.revision + 1);
      bb_sync_apply_server (directory, &gone, from, revision, age, sink,
                            context, now);
    }
  g_ptr_array_unref (missing);
}

/* Takes over from which revision on the sender of M has all removals.  */
static void
record_history (struct bb_sync *s, const struct bb_sync_records *m,
                bb_usec now)
{
  bb_usec start = now - (bb_usec)m->route_history_ms * BB_MSEC;
  if (s->revision == 0)
    bb_directory_start_history (s->directory, m->removals_since, start);
  else if (m->removals_since > s->revision)
    bb_directory_add_gap (s->directory, s->revision, m->removals_since, start);
}

void
bb_sync_set_verified (struct bb_sync *s, uint32_t verified_ms, bb_usec now)
{
  if (verified_ms != UINT32_MAX)
    s->last_verified
        = MAX (s->last_verified, now - (bb_usec)verified_ms * BB_MSEC);
}

/* Whether B has a configuration that is newer than its revision.  Older builds
   send one while they read the store: with the revision of a peer's state they
   have the routes, but not the record of those that were removed.  */
static bool
is_contradictory (const struct bb_sync_batch *b,
                  const struct bb_sync_records *m)
{
  for (guint i = 0; i < b->records->len; i++)
    if (g_array_index (b->records, struct bb_route_record, i).revision > m->to)
      return true;
  return false;
}

/* Whether M may lack the removal of a record that is held here: its changes
   start before the revision held, which is inside a gap of the sender.  */
static bool
may_lack_removals (const struct bb_sync *s, const struct bb_sync_records *m)
{
  return m->from > 0 && m->from < s->revision
         && m->removals_since > s->revision;
}

static void
refuse_batch (struct bb_sync *s, const struct bb_sync_batch *b,
              const struct bb_sync_records *m, enum bb_reason reason)
{
  bb_sync_send_event (s, BB_EVENT_STATE_REFUSED, b->from, m->version, reason,
                      (bb_usec)m->verified_ms * BB_MSEC);
}

/* Whether B can be applied to the state held.  A batch that is older is
   ignored as a whole: its version must not be reported without its routes.  */
static bool
is_usable (struct bb_sync *s, const struct bb_sync_batch *b,
           const struct bb_sync_records *m, bb_usec now)
{
  if (is_contradictory (b, m))
    {
      refuse_batch (s, b, m, BB_REASON_CONTRADICTORY);
      return false;
    }
  if (m->to < s->revision)
    {
      bb_sync_adopt_configuration (s, b, m, now);
      return false;
    }
  if (may_lack_removals (s, m))
    {
      /* The same changes would be requested, and refused, again.  */
      s->needs_whole_state |= !bb_sync_is_complete (s);
      return false;
    }
  if (!bb_sync_knows_changes (s, m))
    {
      s->needs_whole_state = true;
      refuse_batch (s, b, m, BB_REASON_UNKNOWN_CONFIGURATION);
      return false;
    }
  return true;
}

/* Applies the complete batch B, whose last datagram is M.  */
static void
apply_batch (struct bb_sync *s, const struct bb_sync_batch *b,
             const struct bb_sync_records *m, bb_usec now)
{
  if (!is_usable (s, b, m, now))
    return;
  bb_sync_apply_evacuations (s, b, m, now);
  apply_servers (s, b, m, now);
  bool has_history = bb_sync_apply_configuration (s, b, m, now);
  if (m->from == 0)
    bb_sync_remove_unlisted (s->directory, b->names, BB_SERVER_GONE, m->to,
                             BB_REASON_PEER, (bb_usec)m->verified_ms * BB_MSEC,
                             s->sink, s->context, now);
  uint64_t before = s->revision;
  if (before > 0 && bb_sync_is_newer_era (m->to, before))
    bb_sync_enter_era (s, m->to, b->from, BB_REASON_PEER, now);
  else if (has_history)
    record_history (s, m, now);
  else
    bb_directory_restart_history (s->directory, m->to, now);
  s->revision = m->to;
  bool is_complete
      = s->complete_revision >= m->to
        || (!b->lacks_evacuations && m->from <= s->complete_revision);
  bb_sync_set_complete (s, m->to, is_complete, now);
  if (m->from == 0)
    {
      s->needs_whole_state = false;
      bb_sync_send_event (s, BB_EVENT_STATE_ADOPTED, b->from, m->version,
                          BB_REASON_PEER, (bb_usec)m->verified_ms * BB_MSEC);
    }
  bb_sync_set_verified (s, m->verified_ms, now);
  bb_sync_check_state (s);
  if (s->revision > before)
    bb_sync_publish_changes (s, before, now);
}

/* Whether M is of no use for the state held.  */
static bool
is_outdated (const struct bb_sync *s, const struct bb_sync_records *m)
{
  if (m->from > s->revision)
    return true;
  return bb_sync_is_newer_era (s->revision, m->to)
         && (m->from > 0 || m->version <= bb_directory_version (s->directory));
}

void
bb_sync_receive_records (struct bb_sync *s,
                         const struct bb_sync_message *message, bb_usec now)
{
  const struct bb_sync_records *m = &message->record_chunk;
  if (is_outdated (s, m))
    return;
  struct bb_sync_batch *b = bb_sync_collect_chunk (s, message, now);
  if (!b)
    return;
  apply_batch (s, b, m, now);
  bb_sync_clear_batch (b);
}
