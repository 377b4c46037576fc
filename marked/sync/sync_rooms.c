#include "marked/sync/sync_private.h"

/* Rate in the messages, in 1,000 s.  */
#define RATE_SCALE 1000.0

struct filling
{
  struct bb_sync *sync;
  struct bb_sync_heartbeat *heartbeat;
  uint32_t room_count; /* rooms so far, also those that do not fit */
  bb_usec now;
};

/* Services and data centres of messages about load are hashes.  Those that
   share one with another are not reported, so that their load is not that of
   another.  Placement goes without, as for services beyond the maximum.  */

/* Adds the demand of GROUP.  If there are too many services, the highest rates
   are kept.  */
static void
add_demand (void *context, struct bb_server_group *group)
{
  const struct filling *f = context;
  struct bb_sync_heartbeat *b = f->heartbeat;
  double rate = bb_demand_rate (&group->demand, f->now) * RATE_SCALE;
  struct bb_sync_demand demand = { bb_key_hash (group->service),
                                   (uint32_t)CLAMP (rate, 0, UINT32_MAX) };
  if (demand.rate == 0 || bb_key_is_shared (group->service))
    return;
  if (b->demand_count < BB_SYNC_DEMANDS_MAX)
    {
      b->demands[b->demand_count++] = demand;
      return;
    }
  struct bb_sync_demand *least = &b->demands[0];
  for (uint32_t i = 1; i < b->demand_count; i++)
    if (b->demands[i].rate < least->rate)
      least = &b->demands[i];
  if (demand.rate > least->rate)
    *least = demand;
}

void
bb_sync_add_demands (struct bb_sync *s, struct bb_sync_heartbeat *b,
                     bb_usec now)
{
  struct filling f = { .sync = s, .heartbeat = b, .now = now };
  bb_directory_foreach_service (s->directory, add_demand, &f);
}

/* If there are too many rooms, each is equally likely to be kept.  */
static void
add_room (struct filling *f, const struct bb_sync_room *room)
{
  struct bb_sync_heartbeat *b = f->heartbeat;
  uint32_t index = f->room_count++;
  if (index < BB_SYNC_ROOMS_MAX)
    b->room_count++;
  else
    index = (uint32_t)g_rand_int_range (f->sync->random, 0,
                                        (gint32)f->room_count);
  if (index < BB_SYNC_ROOMS_MAX)
    b->rooms[index] = *room;
}

/* Adds the room of GROUP in the own data centre, if its servers tell their
   slots.  */
static void
add_own_room (void *context, struct bb_server_group *group)
{
  struct filling *f = context;
  uint64_t own = f->sync->options.self.data_centre;
  struct bb_sync_room room = { .data_centre = bb_key_hash (own),
                               .service = bb_key_hash (group->service) };
  if (bb_key_is_shared (own) || bb_key_is_shared (group->service))
    return;
  const struct bb_link *head = &group->servers;
  for (const struct bb_link *at = head->next; at != head; at = at->next)
    {
      const struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, of_service);
      if (!s->is_local || !bb_server_is_eligible (s)
          || bb_suspicion_is_suspect (&s->load.evidence, f->now))
        continue;
      room.pending += (uint32_t)MAX (s->load.busy + s->load.peer_busy, 0);
      room.slots += s->record.slots;
    }
  add_room (f, &room);
}

static void
add_other_rooms (void *context, struct bb_server_group *group)
{
  struct filling *f = context;
  for (size_t i = 0; i < BB_ROOMS_MAX; i++)
    {
      const struct bb_room *held = &group->rooms.items[i];
      if (bb_room_is_known (held, f->now)
          && !bb_key_is_shared (held->data_centre)
          && !bb_key_is_shared (group->service))
        add_room (f, &(struct bb_sync_room){
                         .data_centre = bb_key_hash (held->data_centre),
                         .service = bb_key_hash (group->service),
                         .pending = held->pending,
                         .slots = held->slots,
                         .age_ms = bb_sync_age_ms (held->updated, f->now) });
    }
}

void
bb_sync_add_rooms (struct bb_sync *s, struct bb_sync_heartbeat *b,
                   bool is_local, bb_usec now)
{
  struct filling f = { .sync = s, .heartbeat = b, .now = now };
  b->room_count = 0;
  if (!s->is_leader)
    return;
  bb_directory_foreach_service (s->directory,
                                is_local ? add_other_rooms : add_own_room, &f);
}

void
bb_sync_keep_demands (struct bb_sync_peer *p,
                      const struct bb_sync_heartbeat *b)
{
  p->demand_count = b->demand_count;
  for (uint32_t i = 0; i < b->demand_count; i++)
    p->demands[i] = b->demands[i];
}

/* A leader reports the room of its own data centre.  Within a data centre the
   leader passes the reports of the others on.  */
void
bb_sync_keep_rooms (struct bb_sync *s, const struct bb_sync_peer *p,
                    const struct bb_sync_heartbeat *b, bb_usec now)
{
  bool is_local = bb_sync_peer_is_local (s, p);
  if (!(b->flags & BB_SYNC_LEADER))
    return;
  for (uint32_t i = 0; i < b->room_count; i++)
    {
      const struct bb_sync_room *r = &b->rooms[i];
      struct bb_server_group *group = bb_directory_find_service (
          s->directory, bb_key_of_hash (r->service));
      uint64_t data_centre = bb_key_resolve (bb_key_of_hash (r->data_centre));
      bool is_own_report = bb_key_is_same (data_centre, p->vm.data_centre);
      if (!group || is_own_report == is_local || bb_key_is_shared (data_centre)
          || data_centre == s->options.self.data_centre)
        continue;
      struct bb_room room = { .data_centre = data_centre,
                              .pending = r->pending,
                              .slots = r->slots,
                              .updated = now - r->age_ms * BB_MSEC };
      bb_rooms_put (&group->rooms, &room);
    }
}

static void
clear_demand (void *context, struct bb_server_group *group)
{
  (void)context;
  group->demand.peer_flows = group->demand.peer_placers = 0;
}

/* A peer that was lost within its retention time may still place flows, but
   its load is not counted either.  */
void
bb_sync_sum_demands (struct bb_sync *s, bb_usec now)
{
  bb_directory_foreach_service (s->directory, clear_demand, NULL);
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_sync_peer *p = s->peers[i];
      bb_usec unseen
          = MAX (BB_SYNC_HEARTBEAT_INTERVAL, now - p->last_received);
      if (!bb_sync_peer_is_local (s, p))
        continue;
      for (uint32_t n = 0; n < p->demand_count; n++)
        {
          struct bb_server_group *group = bb_directory_find_service (
              s->directory, bb_key_of_hash (p->demands[n].service));
          if (group)
            bb_demand_add_peer (&group->demand,
                                p->demands[n].rate / RATE_SCALE, unseen);
        }
    }
}
