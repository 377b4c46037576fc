#include "marked/placement/spill.h"

/* Pending requests per slot above which flows leave the data centre, and at
   which all of them may.  If requests arrive at random at servers of two
   slots, they wait a third of their own time at the lower one.  */
#define SPILL_LOAD_MIN 0.7
#define SPILL_LOAD_FULL 1.2

/* Difference of load, below which flows stay.  Differences of the reports'
   age are less.  */
#define SPILL_GAP_MIN 0.2

/* Returns the slots of ROOM that are free, 0 if its load is not clearly below
   that of the own data centre.  Its report has the requests of its own callers
   only; those of this data centre are added.  It cannot have more slots than
   its servers are listed with.  */
static double
free_slots (const struct bb_room *room, const struct bb_spill_view *view)
{
  double pending = room->pending, listed = 0;
  if (!bb_room_is_known (room, view->now))
    return 0;
  for (uint32_t i = 0; i < view->other->count; i++)
    {
      const struct bb_backend_server *s = view->other->servers[i];
      if (s->data_centre != room->data_centre)
        continue;
      pending += s->load.busy + s->load.peer_busy;
      listed += s->record.slots;
    }
  double slots = MIN (room->slots, listed);
  double most = slots * MIN (view->load - SPILL_GAP_MIN, 1);
  return pending < most ? slots - pending : 0;
}

uint32_t
bb_spill_choose (const struct bb_rooms *rooms,
                 const struct bb_spill_view *view, GRand *random)
{
  double room_free[BB_ROOMS_MAX], sum = 0;
  if (view->load <= SPILL_LOAD_MIN || view->other->count == 0)
    return 0;
  for (size_t i = 0; i < BB_ROOMS_MAX; i++)
    sum += room_free[i] = free_slots (&rooms->items[i], view);
  if (sum <= 0)
    return 0;
  double ramp = CLAMP ((view->load - SPILL_LOAD_MIN)
                           / (SPILL_LOAD_FULL - SPILL_LOAD_MIN),
                       0, 1);
  double own_free = view->slots * MAX (1 - view->load, 0);
  double drawn = g_rand_double (random) * (sum + own_free) / ramp;
  for (size_t i = 0; i < BB_ROOMS_MAX; i++)
    {
      if (drawn < room_free[i])
        return rooms->items[i].data_centre;
      drawn -= room_free[i];
    }
  return 0;
}
