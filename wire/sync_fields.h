/* Lengths of the groups of elements in sync messages, shared by
   wire/sync_encode.c and wire/sync_decode.c.

   A message is one flat msgpack array: [version, kind, from, incarnation,
   fields of the kind ...].  Later releases may append elements, which older
   receivers ignore.

   Revisions are sent without their era, which is one for all revisions of a
   message and an element of its own: older builds know no eras.  */

#ifndef BB_WIRE_SYNC_FIELDS_H
#define BB_WIRE_SYNC_FIELDS_H

#include "marked/state/directory.h"

enum
{
  VM_FIELDS = 4,
  LOAD_FIELDS = 5,
  DEMAND_FIELDS = 2,
  ROOM_FIELDS = 5,
  ANSWER_FIELDS = 3,
  SILENCE_FIELDS = 3,
  SILENCE_DETAIL_FIELDS = 4,
  SILENCE_PROBE_FIELDS = 3,
  SERVER_FIELDS = 13,
  SERVER_STATE_MAX = BB_SERVER_EXPIRED, /* that older builds accept */
  ROUTE_FIELDS = 5,
  EVACUATION_FIELDS = 3,
  SERVICE_LIMIT_FIELDS = 3,
  FULL_STATE_FIELDS = 2,
  DIGEST_FIELDS = 2,
};
#endif
