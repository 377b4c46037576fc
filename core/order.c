/* Rendezvous order of the balancers for a flow.  */

#include "core/hash.h"
#include "core/private.h"

int
bb_order_owner (const struct bb_view *v, uint64_t hash)
{
  int owner = -1;
  uint64_t top = 0;
  for (uint32_t i = 0; i < v->count; i++)
    {
      if (v->joining[i])
        continue;
      uint64_t score = bb_hash_score (hash, v->ids[i]);
      if (owner >= 0 && score <= top)
        continue;
      owner = (int)i;
      top = score;
    }
  return owner;
}

/* Index of the best member whose score is below LIMIT, or -1; *SCORE is set
   to its score.  */
static int
next_below (const struct bb_view *v, uint64_t hash, uint64_t limit,
            uint64_t *score)
{
  int best = -1;
  for (uint32_t i = 0; i < v->count; i++)
    {
      uint64_t s = bb_hash_score (hash, v->ids[i]);
      if (s >= limit || (best >= 0 && s <= *score))
        continue;
      best = (int)i;
      *score = s;
    }
  return best;
}

void
bb_order_replicas (const struct bb_view *v, uint64_t hash,
                   struct bb_order *order)
{
  uint64_t limit = UINT64_MAX, score = 0;
  uint32_t active = 0;
  order->count = 0;
  while (active < BB_REPLICAS && order->count < BB_HOPS_MAX)
    {
      int i = next_below (v, hash, limit, &score);
      if (i < 0)
        return;
      order->members[order->count++] = (uint8_t)i;
      active += !v->joining[i];
      limit = score;
    }
}
