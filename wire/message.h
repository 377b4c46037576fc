/* Definitions shared by the encoder and the decoder of peer messages.  */

#ifndef BB_WIRE_MESSAGE_H
#define BB_WIRE_MESSAGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

enum
{
  BB_WIRE_VM_FIELDS = 7,
  BB_WIRE_ENTRY_FIELDS = 3,
  BB_WIRE_MEMBER_FIELDS = 8,
};

/* Returns whether DATA is exactly one msgpack item whose announced sizes fit
   into LENGTH bytes.  msgpack allocates the elements of an array as soon as it
   reads the array header, so without this check five bytes could request 100
   GB.  */
bool bb_wire_sizes_fit (const uint8_t *data, size_t length);
#endif
