/* Room of the servers of one service in the other data centres, as reported by
   their leaders.  */

#ifndef BB_MARKED_ROOM_H
#define BB_MARKED_ROOM_H

#include "core/core.h"

enum
{
  BB_ROOMS_MAX = 32, /* data centres held of one service */
};

/* A report that is older says nothing about the load.  */
#define BB_ROOM_AGE_MAX (2 * BB_SEC)

struct bb_room
{
  uint64_t data_centre; /* bb_key */
  uint32_t pending;     /* requests of the callers of that data centre */
  uint32_t slots;       /* of the servers that take new flows */
  bb_usec updated;      /* when it was measured; 0: not in use */
};

struct bb_rooms
{
  struct bb_room items[BB_ROOMS_MAX];
};

/* Keeps ROOM unless a newer report of its data centre is held.  If there are
   too many data centres, the oldest report is replaced.  */
void bb_rooms_put (struct bb_rooms *rooms, const struct bb_room *room);

/* Whether ROOM is a recent report.  */
bool bb_room_is_known (const struct bb_room *room, bb_usec now);
#endif
