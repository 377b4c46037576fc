#include "marked/sync/sync_private.h"

/* Interval of heartbeats to peers that are silent.  */
#define RETRY_INTERVAL (2 * BB_SEC)

/* Interval of messages to the seeds while no peer is live.  The seeds may just
   be starting themselves.  */
#define JOIN_INTERVAL (100 * BB_MSEC)

enum
{
  NO_DATA_CENTRE = 0, /* matches no data centre: a heartbeat without loads */
  /* Number of peers listed in a heartbeat that a joining balancer contacts at
     once: the first one of its data centre and one more.  */
  JOIN_HELLOS = 2,
  LEADER_HELLOS = 4, /* hellos in each round to discover leaders */
};

/* Interval at which a balancer that is not a leader sends a heartbeat to a
   balancer of another data centre, so that balancers have peers in all data
   centres.  */
#define REMOTE_INTERVAL BB_SEC

/* Time between two requests for the same records; longer than any round trip.
 */
#define REQUEST_INTERVAL (150 * BB_MSEC)

/* Time after a failed call for which a balancer is last in the order of
   readers, so that the next one calls the store first.  */
#define STORE_FAILURE_HOLD (2 * BB_SEC)

void
bb_sync_send (struct bb_sync *s, const struct bb_endpoint *to, size_t count,
              struct bb_sync_message *m)
{
  m->from = s->options.self.id;
  m->incarnation = s->options.incarnation;
  s->sink->send (s->context, to, count, m);
}

uint32_t
bb_sync_age_ms (bb_usec since, bb_usec now)
{
  if (since == 0)
    return UINT32_MAX;
  return (uint32_t)MIN ((now - since) / BB_MSEC, UINT32_MAX - 1);
}

uint32_t
bb_sync_own_flags (const struct bb_sync *s, bb_usec now)
{
  uint32_t flags = 0;
  if (s->is_leaving)
    flags |= BB_SYNC_LEAVING;
  if (s->last_store_failure == 0
      || now - s->last_store_failure > STORE_FAILURE_HOLD)
    flags |= BB_SYNC_STORE_OK;
  if (s->is_reader)
    flags |= BB_SYNC_READER;
  if (s->is_leader)
    flags |= BB_SYNC_LEADER;
  if (s->owners.phase >= BB_SYNC_OWNER_ANNOUNCED && !s->is_leaving)
    flags |= BB_SYNC_OWNER;
  return flags;
}

static void
fill_heartbeat (struct bb_sync *s, struct bb_sync_message *m,
                uint64_t data_centre, uint32_t listed_max, bb_usec now)
{
  struct bb_sync_heartbeat *b = &m->heartbeat;
  m->kind = BB_SYNC_HEARTBEAT;
  b->data_centre = s->options.self.data_centre;
  b->flags = bb_sync_own_flags (s, now);
  b->capacity = s->options.capacity;
  b->revision = s->revision;
  b->version = bb_directory_version (s->directory);
  b->verified_ms = bb_sync_age_ms (s->last_verified, now);
  b->owners = s->owners.digest;
  b->owner_count = bb_sync_owner_count (s);
  b->listed_peer_count = b->load_count = b->demand_count = b->room_count = 0;
  b->answer_count = b->silence_count = 0;
  bb_sync_list_peers (s, b, data_centre, listed_max, now);
  if (bb_key_is_same (data_centre, s->options.self.data_centre))
    bb_sync_add_loads (s, b, now);
}

static void
send_hello (struct bb_sync *s, const struct bb_endpoint *to, bb_usec now)
{
  struct bb_sync_message m;
  fill_heartbeat (s, &m, NO_DATA_CENTRE, 0, now);
  m.heartbeat.flags |= BB_SYNC_HELLO;
  bb_sync_send (s, to, 1, &m);
}

void
bb_sync_contact_seeds (struct bb_sync *s, bb_usec now)
{
  bool is_alone = bb_sync_count_live_peers (s, now) == 0;
  if (now - s->last_seed_hello < (is_alone ? JOIN_INTERVAL : RETRY_INTERVAL))
    return;
  s->last_seed_hello = now;
  for (size_t i = 0; i < s->seed_count; i++)
    if (s->seeds[i].address != s->options.self.endpoint.address)
      send_hello (s, &s->seeds[i], now);
}

/* Whether no live leader of DATA_CENTRE is in the peer list.  */
static bool
has_no_leader (const struct bb_sync *s, uint64_t data_centre, bb_usec now)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    if (bb_key_is_same (s->peers[i]->vm.data_centre, data_centre)
        && bb_sync_peer_is_leader (s->peers[i], now))
      return false;
  return true;
}

/* Sends a hello to some balancers of data centres without a live leader in the
   peer list.  Their replies list the leader.  */
static void
discover_leaders (struct bb_sync *s, bb_usec now)
{
  if (s->peer_count == 0)
    return;
  uint32_t start
      = (uint32_t)g_rand_int_range (s->random, 0, (gint32)s->peer_count);
  unsigned hello_count = 0;
  for (uint32_t i = 0; i < s->peer_count && hello_count < LEADER_HELLOS; i++)
    {
      struct bb_sync_peer *p = s->peers[(start + i) % s->peer_count];
      if (bb_sync_peer_is_local (s, p) || p->last_sent == now
          || !has_no_leader (s, p->vm.data_centre, now))
        continue;
      p->last_sent = now;
      send_hello (s, &p->vm.endpoint, now);
      hello_count++;
    }
}

void
bb_sync_contact_remote_peers (struct bb_sync *s, bb_usec now)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct bb_sync_peer *p = s->peers[i];
      if (bb_sync_peer_is_local (s, p) || p->last_sent == now)
        continue;
      p->last_sent = now;
      send_hello (s, &p->vm.endpoint, now);
    }
}

/* Returns a random balancer of another data centre, or NULL.  */
static struct bb_sync_peer *
draw_remote_peer (struct bb_sync *s)
{
  if (s->peer_count == 0)
    return NULL;
  uint32_t start
      = (uint32_t)g_rand_int_range (s->random, 0, (gint32)s->peer_count);
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct bb_sync_peer *p = s->peers[(start + i) % s->peer_count];
      if (!bb_sync_peer_is_local (s, p))
        return p;
    }
  return NULL;
}

/* Selects the peers of the own data centre to which the current heartbeat is
   sent.  */
static size_t
select_local_targets (struct bb_sync *s, bb_usec now)
{
  size_t count = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct bb_sync_peer *p = s->peers[i];
      if (!bb_sync_peer_is_local (s, p)
          || (p->last_received == 0 && p->last_sent != 0
              && now - p->last_sent < RETRY_INTERVAL))
        continue;
      p->last_sent = now;
      s->targets[count++] = p->vm.endpoint;
    }
  return count;
}

/* Selects the peers of other data centres: a leader sends to all other leaders
   in each round, and one random peer is added from time to time.  */
static size_t
select_remote_targets (struct bb_sync *s, bb_usec now)
{
  size_t count = 0;
  for (uint32_t i = 0; s->is_leader && i < s->peer_count; i++)
    {
      struct bb_sync_peer *p = s->peers[i];
      if (bb_sync_peer_is_local (s, p) || p->last_received == 0
          || !(p->flags & BB_SYNC_LEADER))
        continue;
      p->last_sent = now;
      s->targets[count++] = p->vm.endpoint;
    }
  if (now < s->next_remote_heartbeat)
    return count;
  s->next_remote_heartbeat
      = now + (s->is_leader ? BB_SYNC_HEARTBEAT_INTERVAL : REMOTE_INTERVAL);
  if (s->is_leader)
    discover_leaders (s, now);
  struct bb_sync_peer *drawn = draw_remote_peer (s);
  if (!drawn || drawn->last_sent == now)
    return count;
  drawn->last_sent = now;
  s->targets[count++] = drawn->vm.endpoint;
  return count;
}

void
bb_sync_send_heartbeats (struct bb_sync *s, bb_usec now)
{
  struct bb_sync_message m;
  size_t count = select_local_targets (s, now);
  fill_heartbeat (s, &m, s->options.self.data_centre, BB_SYNC_LISTED_PEERS,
                  now);
  bb_sync_add_demands (s, &m.heartbeat, now);
  bb_sync_add_rooms (s, &m.heartbeat, true, now);
  bb_sync_add_answers (s, &m.heartbeat, now);
  bb_sync_add_silences (s, &m.heartbeat, now);
  if (count > 0)
    bb_sync_send (s, s->targets, count, &m);
  count = select_remote_targets (s, now);
  m.heartbeat.load_count = m.heartbeat.demand_count = 0;
  m.heartbeat.answer_count = m.heartbeat.silence_count = 0;
  bb_sync_add_rooms (s, &m.heartbeat, false, now);
  if (count > 0)
    bb_sync_send (s, s->targets, count, &m);
}

/* Requests the records after REVISION from P.  */
static void
request_records (struct bb_sync *s, const struct bb_sync_peer *p,
                 uint64_t revision, bb_usec now)
{
  if (now - s->last_request < REQUEST_INTERVAL)
    return;
  s->last_request = now;
  struct bb_sync_message m = { .kind = BB_SYNC_REQUEST };
  m.request.revision = revision;
  bb_sync_send (s, &p->vm.endpoint, 1, &m);
}

/* If the sender holds the same revision, its verification time applies to this
   balancer too.  If it holds a newer one, the records are requested.  A newer
   configuration with a state that is not newer is one that the store lost when
   it came back from an older copy.  */
static void
update_from_peer (struct bb_sync *s, const struct bb_sync_peer *p,
                  const struct bb_sync_heartbeat *b, bb_usec now)
{
  if (b->revision == s->revision && b->revision > 0)
    bb_sync_set_verified (s, b->verified_ms, now);
  if (b->revision > s->revision)
    request_records (s, p, s->needs_whole_state ? 0 : s->complete_revision,
                     now);
  else if (b->revision > 0 && b->version > bb_directory_version (s->directory))
    request_records (s, p, 0, now);
}

/* Adds VM, which is at INDEX in the peer list of a heartbeat.  A joining
   balancer contacts the first ones of its data centre at once.  A leader
   contacts those that may be the leader of a data centre of which it has no
   live leader.  Their replies list further ones, so without an interval the
   number of messages would grow with each reply while there is no leader.  */
static void
add_listed_peer (struct bb_sync *s, const struct bb_sync_vm *vm,
                 uint32_t index, bb_usec now)
{
  bool is_local
      = bb_key_is_same (vm->data_centre, s->options.self.data_centre);
  bool is_leader_candidate = s->is_leader && !is_local
                             && index < BB_SYNC_LISTED_LEADERS
                             && has_no_leader (s, vm->data_centre, now);
  struct bb_sync_peer *p = bb_sync_get_peer (s, vm, false);
  bool is_new = p && p->last_mentioned == 0;
  if (is_new)
    p->last_mentioned = now;
  if (is_new && is_local)
    s->owners.discovered = now;
  bool is_join_target
      = is_new && is_local && s->revision == 0 && index < JOIN_HELLOS;
  if (!is_join_target && !is_leader_candidate)
    return;
  bb_usec *last = p ? &p->last_sent : &s->last_unlisted_hello;
  if (*last != 0 && now - *last < JOIN_INTERVAL)
    return;
  *last = now;
  send_hello (s, &vm->endpoint, now);
}

/* Keeps what B reports of servers in place of the last report of P.  A hello
   has no report.  */
static void
keep_reports (struct bb_sync *s, struct bb_sync_peer *p,
              const struct bb_sync_heartbeat *b, bb_usec now)
{
  if (b->flags & BB_SYNC_HELLO)
    return;
  bb_sync_apply_peer_loads (s, p, -1, now);
  bb_sync_keep_loads (s, p, b);
  bb_sync_apply_peer_loads (s, p, 1, now);
  bb_sync_keep_demands (p, b);
  bb_sync_keep_rooms (s, p, b, now);
  bb_sync_apply_peer_answers (s, p, b, now);
  bb_sync_keep_silences (s, p, b, now);
}

void
bb_sync_receive_heartbeat (struct bb_sync *s, const struct bb_endpoint *from,
                           const struct bb_sync_message *m, bb_usec now)
{
  const struct bb_sync_heartbeat *b = &m->heartbeat;
  struct bb_sync_vm vm
      = { .id = m->from, .data_centre = b->data_centre, .endpoint = *from };
  struct bb_sync_peer *p = bb_sync_get_peer (s, &vm, true);
  if (!p)
    return;
  /* Balancers of other data centres that are not leaders are added and
     removed often, so they cause no event.  */
  if (p->last_received == 0 && bb_sync_peer_is_local (s, p))
    s->owners.discovered = now;
  if (p->last_received == 0
      && (bb_sync_peer_is_local (s, p) || b->flags & BB_SYNC_LEADER))
    bb_sync_send_event (s, BB_EVENT_PEER_JOINED, vm.id,
                        bb_revision_number (b->revision), BB_REASON_NONE, 0);
  if (bb_sync_peer_is_local (s, p)
      && (p->last_received == 0 || (b->flags & ~p->flags & BB_SYNC_LEAVING)))
    s->members_changed = now;
  if (p->incarnation != m->incarnation)
    bb_sync_forget_reports (s, p, now);
  p->vm = vm;
  p->incarnation = m->incarnation;
  p->last_received = now;
  p->flags = b->flags;
  p->was_leader = b->flags & BB_SYNC_LEADER;
  p->capacity = b->capacity;
  p->revision = b->revision;
  p->version = b->version;
  p->owners = b->owners;
  p->owner_count = b->owner_count;
  p->last_mentioned = now;
  if (bb_sync_peer_is_local (s, p))
    bb_sync_record_owner (s, p, b, now);
  keep_reports (s, p, b, now);
  for (uint32_t i = 0; i < b->listed_peer_count; i++)
    add_listed_peer (s, &b->listed_peers[i], i, now);
  update_from_peer (s, p, b, now);
  if (b->flags & BB_SYNC_HELLO)
    {
      struct bb_sync_message reply;
      fill_heartbeat (s, &reply, p->vm.data_centre, BB_SYNC_LISTED_PEERS_MAX,
                      now);
      bb_sync_send (s, from, 1, &reply);
    }
}
