#include "core/hash.h"
#include "core/engine.h"

/* Addresses and ports are hashed in host byte order, which all balancers
   share: the supported machines are little endian.  */
uint64_t
bb_flow_hash (const struct bb_packet *p, uint64_t seed)
{
  const struct
  {
    uint32_t source;
    uint32_t destination;
    uint32_t ports;
    uint32_t protocol;
  } key = {
    .source = p->source,
    .destination = p->destination,
    .ports = (uint32_t)p->source_port << 16 | p->destination_port,
    .protocol = p->protocol,
  };
  uint64_t h = XXH3_64bits_withSeed (&key, sizeof key, seed);
  return h ? h : 1; /* 0 marks a free position of the flow table */
}
