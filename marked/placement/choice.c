#include "marked/placement/choice.h"

#include <math.h>

/* No server gets more than this multiple of its share because it looks least
   loaded.  */
#define WIDTH_MIN 1.5

enum
{
  DRAWS_MAX = 16, /* for one server; the last one is taken in any case */
};

double
bb_choice_width (const struct bb_pool *pool, const struct bb_demand *demand)
{
  double count = pool->count;
  double slots = count > 0 ? pool->slots / count : 0;
  if (demand->peer_placers <= slots)
    return count;
  return CLAMP (count / demand->peer_flows, MIN (WIDTH_MIN, count), count);
}

/* Returns the index of a random server from START on, drawn by weight.  */
static uint32_t
draw_index (const struct bb_pool *pool, uint32_t start,
            const struct bb_placement_policy *policy, GRand *random)
{
  uint32_t index = start;
  for (int i = 0; i < DRAWS_MAX; i++)
    {
      index = (uint32_t)g_rand_int_range (random, (gint32)start,
                                          (gint32)pool->count);
      double weight = policy->weight (pool->servers[index]);
      if (weight >= pool->weight_max
          || g_rand_double (random) * pool->weight_max < weight)
        break;
    }
  return index;
}

struct bb_backend_server *
bb_choose_server (struct bb_pool *pool, double width,
                  const struct bb_placement_policy *policy, GRand *random)
{
  struct bb_backend_server *best = NULL;
  double least = INFINITY;
  double whole = floor (width);
  uint32_t drawn = (uint32_t)whole;
  if (g_rand_double (random) < width - whole)
    drawn++;
  drawn = MIN (drawn, pool->count);
  for (uint32_t i = 0; i < drawn; i++)
    {
      /* All are compared in a random order, so that servers of equal cost are
         equally likely.  */
      uint32_t index = drawn < pool->count
                           ? draw_index (pool, i, policy, random)
                           : (uint32_t)g_rand_int_range (random, (gint32)i,
                                                         (gint32)pool->count);
      struct bb_backend_server *s = pool->servers[index];
      pool->servers[index] = pool->servers[i];
      pool->servers[i] = s;
      double cost = policy->cost (s);
      if (cost < least)
        {
          best = s;
          least = cost;
        }
    }
  return best;
}
