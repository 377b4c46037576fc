/* Rendezvous order of the balancers for a flow: the owner of the flow and the
   replicas of its entry.

   The order is that of the flow's partition and is computed once per view:
   scoring all members for each packet took 310 instructions with 9
   balancers.  */

#include "core/engine_private.h"
#include "core/hash.h"

/* The bits of HASH that select the partition must not select anything else.
   The bucket comes from the top bits; the position in the flow table and the
   choice of a load-aware bucket come from the low 32.  If the flows of an
   owner shared such bits, they would fill only a part of its table, or be
   placed on only a part of the servers.  */
static uint32_t
partition_of (uint64_t hash)
{
  return (uint32_t)(hash >> 32) % BB_PARTITIONS;
}

const struct bb_order *
bb_order_replicas (const struct bb_view *v, uint64_t hash)
{
  return &v->orders[partition_of (hash)];
}

int
bb_order_owner (const struct bb_view *v, uint64_t hash)
{
  uint8_t owner = v->orders[partition_of (hash)].owner;
  return owner == BB_NO_OWNER ? -1 : owner;
}

/* Index of the member with the highest score below LIMIT, or -1; stores that
   score in *SCORE.  */
static int
next_below (const struct bb_view *v, const uint64_t *scores, uint64_t limit,
            uint64_t *score)
{
  int best = -1;
  for (uint32_t i = 0; i < v->count; i++)
    {
      if (scores[i] >= limit || (best >= 0 && scores[i] <= *score))
        continue;
      best = (int)i;
      *score = scores[i];
    }
  return best;
}

static void
fill_order (const struct bb_view *v, uint64_t number, struct bb_order *order)
{
  uint64_t scores[BB_PEER_MAX], limit = UINT64_MAX, score = 0;
  uint32_t active = 0;
  for (uint32_t i = 0; i < v->count; i++)
    scores[i] = bb_hash_score (number, v->ids[i]);
  *order = (struct bb_order){ .owner = BB_NO_OWNER };
  int i;
  while ((i = next_below (v, scores, limit, &score)) >= 0)
    {
      limit = score;
      if (active < BB_REPLICAS && order->count < BB_HOPS_MAX)
        order->members[order->count++] = (uint8_t)i;
      if (v->joining[i])
        continue;
      active++;
      if (order->owner == BB_NO_OWNER)
        order->owner = (uint8_t)i;
      if (active == BB_REPLICAS)
        return;
    }
}

void
bb_order_fill (struct bb_view *v)
{
  for (uint32_t p = 0; p < BB_PARTITIONS; p++)
    fill_order (v, p, &v->orders[p]);
}

void
bb_order_remove_member (struct bb_view *v, uint8_t member, uint8_t last)
{
  for (uint32_t p = 0; p < BB_PARTITIONS; p++)
    {
      struct bb_order *o = &v->orders[p];
      uint8_t kept = 0;
      for (uint8_t i = 0; i < o->count; i++)
        if (o->members[i] != member)
          o->members[kept++] = o->members[i] == last ? member : o->members[i];
      o->count = kept;
    }
}
