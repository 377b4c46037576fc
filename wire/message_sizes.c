/* Checks the sizes that a msgpack message announces before msgpack allocates
   memory for them.  */

#include "wire/message.h"

/* Returns the number of bytes that the item at DATA takes, without the
   elements of an array or map, or 0 if it is truncated or of an extension
   type.  *ELEMENTS is set to the number of elements that an array or map
   header announces.  */
static size_t
item_size (const uint8_t *data, size_t left, uint64_t *elements)
{
  /* Bytes of the fixed part of an item, by its first byte minus 0xc0.  */
  static const uint8_t fixed[32] = {
    [0x00] = 1, [0x02] = 1, [0x03] = 1, [0x0a] = 5, [0x0b] = 9, [0x0c] = 2,
    [0x0d] = 3, [0x0e] = 5, [0x0f] = 9, [0x10] = 2, [0x11] = 3, [0x12] = 5,
    [0x13] = 9, [0x04] = 2, [0x05] = 3, [0x06] = 5, [0x19] = 2, [0x1a] = 3,
    [0x1b] = 5, [0x1c] = 3, [0x1d] = 5, [0x1e] = 3, [0x1f] = 5,
  };
  uint8_t type = data[0];
  *elements = 0;
  if (type < 0x80 || type >= 0xe0)
    return 1;
  if (type < 0xa0)
    {
      *elements = (uint64_t)(type & 0x0f) << (type < 0x90);
      return 1;
    }
  if (type < 0xc0)
    return 1 + (size_t)(type & 0x1f);
  size_t size = fixed[type - 0xc0];
  if (size == 0 || size > left)
    return 0;
  uint64_t count = 0;
  for (size_t i = 1; i < size; i++)
    count = count << 8 | data[i];
  if (type == 0xdc || type == 0xdd)
    *elements = count;
  else if (type == 0xde || type == 0xdf)
    *elements = 2 * count;
  else if ((type >= 0xc4 && type <= 0xc6) || (type >= 0xd9 && type <= 0xdb))
    size += count;
  return size;
}

bool
bb_wire_sizes_fit (const uint8_t *data, size_t length)
{
  uint64_t pending = 1;
  size_t at = 0;
  while (pending > 0)
    {
      uint64_t elements;
      if (at >= length || pending > length - at)
        return false;
      size_t size = item_size (data + at, length - at, &elements);
      if (size == 0 || size > length - at)
        return false;
      at += size;
      pending += elements - 1;
    }
  return at == length;
}
