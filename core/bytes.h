/* Loads and stores numbers in network byte order at any alignment: the private
   data of GUE is 4 or 20 bytes long, so that nothing in a packet is certain to
   be aligned.  */

#ifndef BB_CORE_BYTES_H
#define BB_CORE_BYTES_H

#include <netinet/in.h>
#include <stdint.h>
#include <string.h>

static inline uint16_t
bb_load16 (const uint8_t *p)
{
  uint16_t v;
  memcpy (&v, p, sizeof v);
  return ntohs (v);
}

static inline uint32_t
bb_load32 (const uint8_t *p)
{
  uint32_t v;
  memcpy (&v, p, sizeof v);
  return ntohl (v);
}

static inline void
bb_store16 (uint8_t *p, uint16_t value)
{
  uint16_t v = htons (value);
  memcpy (p, &v, sizeof v);
}

static inline void
bb_store32 (uint8_t *p, uint32_t value)
{
  uint32_t v = htonl (value);
  memcpy (p, &v, sizeof v);
}
#endif
