#include "marked/sync/sync_private.h"

/* Balancers of other data centres that are not leaders send heartbeats rarely.
 */
#define REMOTE_PEER_TIMEOUT (20 * BB_SEC)

/* A peer that has been silent for longer is removed.  A VM that was
   unreachable for a shorter time is still contacted.  */
#define PEER_RETENTION (30 * BB_SEC)

bool
bb_sync_peer_is_live (const struct bb_sync_peer *p, bb_usec now)
{
  return p->last_received != 0 && now - p->last_received < BB_SYNC_PEER_TIMEOUT
         && !(p->flags & BB_SYNC_LEAVING);
}

bool
bb_sync_peer_is_local (const struct bb_sync *s, const struct bb_sync_peer *p)
{
  return bb_key_is_same (p->vm.data_centre, s->options.self.data_centre);
}

bool
bb_sync_peer_is_leader (const struct bb_sync_peer *p, bb_usec now)
{
  return p->flags & BB_SYNC_LEADER && bb_sync_peer_is_live (p, now);
}

bool
bb_sync_is_same_vm (const struct bb_sync_vm *a, const struct bb_sync_vm *b)
{
  return a->id == b->id && a->endpoint.address == b->endpoint.address
         && a->endpoint.port == b->endpoint.port;
}

static struct bb_sync_peer *
find_peer (struct bb_sync *s, const struct bb_sync_vm *vm)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    if (bb_sync_is_same_vm (&s->peers[i]->vm, vm))
      return s->peers[i];
  return NULL;
}

/* Returns the number of peers of DATA_CENTRE and sets *SILENT to the index of
   the peer that was silent for longest.  A leader is selected only if all of
   these peers are leaders.  */
static uint32_t
count_peers_of (const struct bb_sync *s, uint64_t data_centre,
                uint32_t *silent)
{
  uint32_t count = 0;
  const struct bb_sync_peer *candidate = NULL;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_sync_peer *p = s->peers[i];
      if (!bb_key_is_same (p->vm.data_centre, data_centre))
        continue;
      count++;
      bool is_leader = p->flags & BB_SYNC_LEADER;
      bool candidate_leads = candidate && candidate->flags & BB_SYNC_LEADER;
      if (candidate
          && (is_leader != candidate_leads
                  ? is_leader
                  : p->last_received >= candidate->last_received))
        continue;
      candidate = p;
      *silent = i;
    }
  return count;
}

/* Returns whether one more peer of DATA_CENTRE can be added.  If the limit of
   another data centre is reached, a sender (IS_SENDER) replaces the peer that
   was silent for longest.  */
static bool
make_room (struct bb_sync *s, uint64_t data_centre, bool is_sender)
{
  uint32_t silent = UINT32_MAX;
  if (!bb_key_is_same (data_centre, s->options.self.data_centre)
      && count_peers_of (s, data_centre, &silent) >= BB_SYNC_REMOTE_PEERS_MAX)
    {
      if (!is_sender)
        return false;
      bb_sync_apply_peer_loads (s, s->peers[silent], -1, 0);
      bb_sync_drop_silences (s, s->peers[silent]);
      g_free (s->peers[silent]);
      s->peers[silent] = s->peers[--s->peer_count];
    }
  return s->peer_count < BB_SYNC_PEERS_MAX;
}

struct bb_sync_peer *
bb_sync_get_peer (struct bb_sync *s, const struct bb_sync_vm *vm,
                  bool is_sender)
{
  struct bb_sync_peer *p = find_peer (s, vm);
  if (p || bb_sync_is_same_vm (vm, &s->options.self)
      || !make_room (s, vm->data_centre, is_sender))
    return p;
  p = g_new0 (struct bb_sync_peer, 1);
  p->vm = *vm;
  s->peers[s->peer_count++] = p;
  return p;
}

void
bb_sync_apply_peer_loads (struct bb_sync *s, const struct bb_sync_peer *p,
                          int sign, bb_usec now)
{
  for (uint32_t i = 0; i < p->load_count; i++)
    {
      const struct bb_sync_load *load = &p->loads[i];
      struct bb_backend_server *server
          = bb_directory_find_by_cookie (s->directory, load->cookie);
      if (!server)
        continue;
      server->load.peer_open
          = MAX (server->load.peer_open + sign * load->open, 0);
      server->load.peer_busy
          = MAX (server->load.peer_busy + sign * load->busy, 0);
      if (sign > 0 && load->is_answering)
        bb_suspicion_add_peer_answer (&server->load.evidence, now);
    }
}

void
bb_sync_forget_reports (struct bb_sync *s, struct bb_sync_peer *p, bb_usec now)
{
  bb_sync_apply_peer_loads (s, p, -1, now);
  p->load_count = p->demand_count = 0;
  bb_sync_drop_silences (s, p);
}

static void
mark_peer_lost (struct bb_sync *s, struct bb_sync_peer *p, bb_usec now)
{
  if (bb_sync_peer_is_local (s, p))
    s->members_changed = now;
  if (bb_sync_peer_is_local (s, p) || p->was_leader)
    bb_sync_send_event (s, BB_EVENT_PEER_LOST, p->vm.id, 0, BB_REASON_TIMEOUT,
                        now - p->last_received);
  p->was_leader = false;
  bb_sync_forget_reports (s, p, now);
  p->flags = 0;
  p->last_received = 0;
  p->last_sent = now;
}

void
bb_sync_expire_peers (struct bb_sync *s, bb_usec now)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct bb_sync_peer *p = s->peers[i];
      bb_usec silent = p->last_received ? now - p->last_received : 0;
      if (silent >= BB_SYNC_PEER_TIMEOUT)
        p->flags &= ~(uint32_t)BB_SYNC_LEADER;
      if (silent >= (bb_sync_peer_is_local (s, p) ? BB_SYNC_PEER_TIMEOUT
                                                  : REMOTE_PEER_TIMEOUT))
        mark_peer_lost (s, p, now);
      if (p->last_received == 0 && p->last_mentioned != 0
          && now - p->last_mentioned > PEER_RETENTION)
        g_free (p);
      else
        s->peers[kept++] = p;
    }
  s->peer_count = kept;
}

uint32_t
bb_sync_count_live_peers (const struct bb_sync *s, bb_usec now)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    count += bb_sync_peer_is_live (s->peers[i], now);
  return count;
}
