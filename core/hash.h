/* Hashes that must be equal on all balancers.  */

#ifndef BB_CORE_HASH_H
#define BB_CORE_HASH_H

#define XXH_INLINE_ALL
#include <stdint.h>
#include <string.h>
#include <xxhash.h>

/* Rendezvous score of the member ID for HASH.  */
static inline uint64_t
bb_hash_score (uint64_t hash, uint32_t id)
{
  uint8_t bytes[sizeof hash];
  memcpy (bytes, &hash, sizeof bytes);
  return XXH3_64bits_withSeed (bytes, sizeof bytes, id);
}

/* Bucket of HASH among COUNT.  */
static inline uint32_t
bb_hash_bucket (uint64_t hash, uint32_t count)
{
  return (uint32_t)(((hash >> 32) * count) >> 32);
}
#endif
