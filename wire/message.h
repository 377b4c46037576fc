/* Constants that the encoder and the decoder of peer messages share.  */

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

/* Whether DATA is one msgpack item whose announced sizes fit into LENGTH
   bytes.  msgpack allocates the elements of an array when it reads the header,
   so that without this check five bytes could ask for 100 GB.  */
bool bb_wire_sizes_fit (const uint8_t *data, size_t length);
#endif
