#include "marked/placement/choice.h"

#include <math.h>

/* No server gets more than this multiple of its share because it looks least
   loaded.  */
#define SHARE_MAX 1.5

enum
{
  SAMPLE_MAX = 64, /* servers that are compared */
  DRAWS_MAX = 16,  /* by weight; the last one is taken in any case */
};

double
bb_choice_part (const struct bb_pool *pool, const struct bb_demand *demand)
{
  double count = pool->count;
  double slots = count > 0 ? pool->slots / count : 0;
  if (count == 0 || demand->peer_placers <= slots)
    return 0;
  return MIN (demand->peer_flows / count, 1 / SHARE_MAX);
}

/* A server of the sample.  */
struct sampled
{
  struct bb_backend_server *server;
  double cost;
};

/* Moves random servers to the start of the pool and puts them into SAMPLE,
   least cost first.  Servers of equal cost are in random order.  */
static uint32_t
draw_sample (struct bb_pool *pool, const struct bb_placement_policy *policy,
             GRand *random, bb_usec now, struct sampled *sample)
{
  uint32_t count = MIN (pool->count, SAMPLE_MAX);
  for (uint32_t i = 0; i < count; i++)
    {
      uint32_t index = (uint32_t)g_rand_int_range (random, (gint32)i,
                                                   (gint32)pool->count);
      struct bb_backend_server *s = pool->servers[index];
      pool->servers[index] = pool->servers[i];
      pool->servers[i] = s;
      double cost = policy->cost (s, now);
      uint32_t place = i;
      for (; place > 0 && sample[place - 1].cost > cost; place--)
        sample[place] = sample[place - 1];
      sample[place] = (struct sampled){ s, cost };
    }
  return count;
}

struct bb_backend_server *
bb_choose_server (struct bb_pool *pool, double part,
                  const struct bb_placement_policy *policy, GRand *random,
                  bb_usec now)
{
  struct sampled sample[SAMPLE_MAX];
  uint32_t count = draw_sample (pool, policy, random, now, sample);
  struct bb_backend_server *s = NULL;
  double best = part * count;
  uint32_t choices = (uint32_t)best;
  if (g_rand_double (random) < best - floor (best))
    choices++;
  choices = CLAMP (choices, 1, MAX (count, 1));
  for (int i = 0; count > 0 && i < DRAWS_MAX; i++)
    {
      s = sample[g_rand_int_range (random, 0, (gint32)choices)].server;
      double weight = policy->weight (s, now);
      if (weight >= pool->weight_max
          || g_rand_double (random) * pool->weight_max < weight)
        break;
    }
  return s;
}
