#include "marked/placement/spill.h"

/* Pending requests per slot above which flows leave the data centre, and at
   which all of them may.  If requests arrive at random at servers of two
   slots, they wait a third of their own time at the lower one.  */
#define SPILL_LOAD_MIN 0.7
#define SPILL_LOAD_FULL 1.2

/* Difference of load, below which flows stay.  Differences of the reports'
   age are less.  */
#define SPILL_GAP_MIN 0.2

enum
{
  TABLE_SIZE = 2 * BB_ROOMS_MAX,
};

/* What is known of a data centre that has reported its room.  */
struct place
{
  const struct bb_room *room;
  double pending;
  double listed; /* slots of its servers */
};

/* Returns the place of DATA_CENTRE in TABLE, by linear probing, or the free
   one where it belongs.  */
static struct place *
find_place (struct place *table, uint64_t data_centre)
{
  uint32_t i = (uint32_t)(data_centre % TABLE_SIZE);
  while (table[i].room && table[i].room->data_centre != data_centre)
    i = (i + 1) % TABLE_SIZE;
  return &table[i];
}

/* Fills TABLE in one pass over the servers.  The report of a data centre has
   the requests of its own callers only; those of this data centre are added.
 */
static void
find_places (struct place *table, const struct bb_rooms *rooms,
             const struct bb_spill_view *view)
{
  for (size_t i = 0; i < BB_ROOMS_MAX; i++)
    {
      const struct bb_room *room = &rooms->items[i];
      if (bb_room_is_known (room, view->now))
        *find_place (table, room->data_centre)
            = (struct place){ .room = room, .pending = room->pending };
    }
  for (uint32_t i = 0; i < view->other->count; i++)
    {
      const struct bb_backend_server *s = view->other->servers[i];
      struct place *p = find_place (table, s->data_centre);
      p->pending += s->load.busy + s->load.peer_busy;
      p->listed += s->record.slots;
    }
}

/* Returns the slots of P that are free, 0 if its load is not clearly below
   that of the own data centre.  It cannot have more slots than its servers are
   listed with.  */
static double
free_slots (const struct place *p, const struct bb_spill_view *view)
{
  if (!p->room)
    return 0;
  double slots = MIN (p->room->slots, p->listed);
  double most = slots * MIN (view->load - SPILL_GAP_MIN, 1);
  return p->pending < most ? slots - p->pending : 0;
}

uint64_t
bb_spill_choose (const struct bb_rooms *rooms,
                 const struct bb_spill_view *view, GRand *random)
{
  if (view->load <= SPILL_LOAD_MIN || view->other->count == 0)
    return 0;
  struct place table[TABLE_SIZE] = { 0 };
  double room_free[TABLE_SIZE], sum = 0;
  find_places (table, rooms, view);
  for (size_t i = 0; i < TABLE_SIZE; i++)
    sum += room_free[i] = free_slots (&table[i], view);
  if (sum <= 0)
    return 0;
  double ramp = CLAMP ((view->load - SPILL_LOAD_MIN)
                           / (SPILL_LOAD_FULL - SPILL_LOAD_MIN),
                       0, 1);
  double own_free = view->slots * MAX (1 - view->load, 0);
  double drawn = g_rand_double (random) * (sum + own_free) / ramp;
  for (size_t i = 0; i < TABLE_SIZE; i++)
    {
      if (drawn < room_free[i])
        return table[i].room->data_centre;
      drawn -= room_free[i];
    }
  return 0;
}
