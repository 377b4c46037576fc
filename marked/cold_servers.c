#include "marked/balancer_private.h"

/* Whether this balancer owns S, by the owners known.  They change rarely.  */
static bool
is_owner_of (const struct bb_marked *m, struct bb_backend_server *s)
{
  uint32_t generation = bb_sync_owners_generation (m->sync);
  if (s->cold.generation == generation)
    return s->cold.is_owned;
  s->cold.generation = generation;
  return bb_sync_owns (m->sync, s->key);
}

static void
send_owner_event (struct bb_marked *m, const struct bb_backend_server *s,
                  bb_usec now)
{
  bb_marked_send_event (m, BB_EVENT_COLD_OWNER, s, 0, s->cold.is_owned,
                        BB_REASON_NONE, now);
}

static void
end_cold_time (struct bb_marked *m, struct bb_backend_server *s, bb_usec now)
{
  if (s->cold.is_owned)
    bb_marked_send_event (m, BB_EVENT_COLD_END, s, 0,
                          (uint64_t)(now - s->cold.since), BB_REASON_NONE,
                          now);
  s->cold.is_owned = false;
  s->cold.generation = 0;
  bb_list_remove (&s->by_cold);
}

void
bb_marked_check_cold_servers (struct bb_marked *m, bb_usec now)
{
  const struct bb_link *head = bb_directory_cold_servers (m->directory);
  struct bb_link *next;
  m->owned_cold_servers = 0;
  for (struct bb_link *at = head->next; at != head; at = next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_cold);
      next = at->next;
      if (s->cold_until <= now || s->record.state == BB_SERVER_GONE)
        {
          end_cold_time (m, s, now);
          continue;
        }
      if (!bb_cold_start_is_limited (s, now) || !s->is_local)
        continue;
      bool is_owned = is_owner_of (m, s);
      if (bb_cold_start_refresh (s, &m->options.cold_limits, is_owned,
                                 bb_sync_owners_changed (m->sync), now))
        send_owner_event (m, s, now);
      m->owned_cold_servers += is_owned;
    }
}

static void
find_cold_rate (void *context, struct bb_server_group *group)
{
  bool *has_rate = context;
  *has_rate |= group->cold_rate > 0;
}

void
bb_marked_enable_cold_owner (struct bb_marked *m)
{
  bool has_rate = false;
  bb_directory_foreach_service (m->directory, find_cold_rate, &has_rate);
  bb_sync_enable_owner (m->sync, has_rate);
}

uint32_t
bb_marked_count_owned_cold_servers (const struct bb_marked *m)
{
  return m->owned_cold_servers;
}
