#include "scene.h"
#include <string.h>

static void
put (uint8_t *to, uint64_t value, int bytes)
{
  for (int i = bytes - 1; i >= 0; i--, value >>= 8)
    to[i] = (uint8_t)value;
}

static uint32_t
get (const uint8_t *from, int bytes)
{
  uint32_t value = 0;
  for (int i = 0; i < bytes; i++)
    value = value << 8 | from[i];
  return value;
}

/* A keyed sum over all but the sum itself, the echo and the padding.  */
static uint32_t
checksum (const uint8_t *bytes, size_t length)
{
  uint64_t sum = 0x9ae16a3b2f90404fULL;
  for (size_t i = 0; i < length; i++)
    if (i < 20 || (i >= 28 && i < 31) || i >= HEADER)
      sum = (sum ^ bytes[i]) * 0x100000001b3ULL;
  uint32_t folded = (uint32_t)(sum ^ sum >> 32);
  return folded ? folded : 1;
}

size_t
packet_write (uint8_t *bytes, const struct packet *p)
{
  memset (bytes, 0, HEADER);
  put (bytes, p->src, 4);
  put (bytes + 4, p->dport, 2);
  put (bytes + 6, p->sport, 2);
  put (bytes + 8, p->dst, 4);
  put (bytes + 12, p->seq, 4);
  put (bytes + 16, p->ack, 4);
  put (bytes + 24, p->echo, 4);
  put (bytes + 28, p->length, 2);
  bytes[30] = p->flags;
  if (p->length > 0)
    memcpy (bytes + HEADER, p->data, p->length);
  put (bytes + 20, checksum (bytes, HEADER + (size_t)p->length), 4);
  return HEADER + (size_t)p->length;
}

/* Decodes a packet.  Returns false if it is malformed or its sum is wrong.  A
   reset without a sum comes from a balancer.  */
bool
packet_read (const uint8_t *bytes, size_t length, struct packet *p,
             bool *has_sum)
{
  if (length < HEADER)
    return false;
  *p = (struct packet){ .src = get (bytes, 4),
                        .dport = (uint16_t)get (bytes + 4, 2),
                        .sport = (uint16_t)get (bytes + 6, 2),
                        .dst = get (bytes + 8, 4),
                        .seq = get (bytes + 12, 4),
                        .ack = get (bytes + 16, 4),
                        .echo = get (bytes + 24, 4),
                        .length = (uint16_t)get (bytes + 28, 2),
                        .flags = bytes[30],
                        .data = bytes + HEADER };
  uint32_t sum = get (bytes + 20, 4);
  *has_sum = sum != 0;
  if (p->length != length - HEADER)
    return false;
  if (sum == 0)
    return p->flags == RST && p->length == 0;
  return sum == checksum (bytes, length);
}
