/* Keys of the names of services and data centres, unique in a process.

   A hash of 32 bits, bb_name_key, is not: names with equal hashes are found in
   seconds, and among thousands of names by chance.  Between balancers a name
   is its hash and a digest, 128 bits of SHA-256.  Older builds know the hash
   only: what they send has the key of an unnamed hash, which stands for the
   name of that hash while there is only one, and for none otherwise.  */

#ifndef BB_CORE_KEYS_H
#define BB_CORE_KEYS_H

#include <stdbool.h>
#include <stdint.h>

struct bb_digest
{
  uint64_t words[2]; /* 0: not known */
};

/* Returns the key of NAME, which no other name has.  */
uint64_t bb_key (const char *name);

/* Returns the bb_name_key of the name of KEY.  */
uint32_t bb_key_hash (uint64_t key);

/* Returns the digest of the name of KEY; zeros if it is not known.  */
struct bb_digest bb_key_digest (uint64_t key);

enum
{
  BB_KEYS_RECEIVED_MAX = 1 << 17, /* names that only peers have sent */
};

/* Returns the key of a name that a peer sent as HASH and DIGEST, which is zero
   from older builds; 0 if HASH is.  If peers have sent too many names, it is
   that of the unnamed hash.  */
uint64_t bb_key_receive (uint32_t hash, const struct bb_digest *digest);
uint64_t bb_key_of_hash (uint32_t hash);

/* Whether several names are known that have the hash of KEY.  */
bool bb_key_is_shared (uint64_t key);

/* Returns the key that the only name of an unnamed hash has, and any other KEY
   as it is, also one that several names have.  */
uint64_t bb_key_resolve (uint64_t key);

/* Whether A and B are the same name, as far as it is known.  */
bool bb_key_is_same (uint64_t a, uint64_t b);
#endif
