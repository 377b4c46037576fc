#include "marked/state/room.h"

void
bb_rooms_put (struct bb_rooms *rooms, const struct bb_room *room)
{
  struct bb_room *held = &rooms->items[0];
  for (size_t i = 0; i < G_N_ELEMENTS (rooms->items); i++)
    {
      struct bb_room *item = &rooms->items[i];
      if (item->updated && item->data_centre == room->data_centre)
        {
          held = item;
          break;
        }
      if (item->updated < held->updated)
        held = item;
    }
  if (room->updated > held->updated)
    *held = *room;
}

bool
bb_room_is_known (const struct bb_room *room, bb_usec now)
{
  return room->updated != 0 && now - room->updated <= BB_ROOM_AGE_MAX;
}
