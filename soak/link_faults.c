/* Faults between balancers: one each 0.3 to 2 s.  They have random numbers of
   their own, so that the schedule of the other faults stays what it was when
   the first seeds were kept.  */

#include "soak/soak.h"

static GRand *dice;

static int
draw (int from, int to)
{
  return g_rand_int_range (dice, from, to);
}

static struct soak_balancer *
any_balancer (void)
{
  return &world.balancers[draw (0, (int)world.balancer_count)];
}

/* The balancer whose links to others are harmed.  A balancer that still
   reaches the store keeps all its promises, so that cuts are no excuse.  */
static const struct soak_balancer *harmed;

static bool
from_harmed (const struct soak_balancer *from, const struct soak_balancer *to)
{
  (void)to;
  return from == harmed;
}

static bool
to_harmed (const struct soak_balancer *from, const struct soak_balancer *to)
{
  (void)from;
  return to == harmed;
}

static bool
at_harmed (const struct soak_balancer *from, const struct soak_balancer *to)
{
  return from == harmed || to == harmed;
}

static bool
across_data_centres (const struct soak_balancer *from,
                     const struct soak_balancer *to)
{
  return from->data_centre != to->data_centre;
}

static void
cut_links (void)
{
  static const soak_link_pick picks[]
      = { from_harmed, to_harmed, at_harmed, across_data_centres };
  harmed = any_balancer ();
  soak_links_cut (picks[draw (0, G_N_ELEMENTS (picks))],
                  world.now + draw (300, 6000) * BB_MSEC);
}

static void
slow_links (void)
{
  struct soak_balancer *b = any_balancer ();
  bb_usec until = world.now + draw (300, 4000) * BB_MSEC;
  soak_links_slow (b->index, draw (20, 900) * BB_MSEC, until);
  for (unsigned i = 0; i < world.balancer_count; i++)
    world.balancers[i].trouble = MAX (world.balancers[i].trouble, until);
}

static void
double_links (void)
{
  soak_links_double (any_balancer ()->index,
                     world.now + draw (300, 4000) * BB_MSEC);
}

static const struct
{
  const char *name;
  void (*act) (void);
} kinds[] = {
  { "cut_links", cut_links },
  { "cut_links", cut_links },
  { "slow_links", slow_links },
  { "double_links", double_links },
};

void
soak_link_faults_tick (void)
{
  static bb_usec next;
  if (world.seed < SOAK_LINK_SEEDS)
    return;
  if (next == 0)
    {
      dice = g_rand_new_with_seed (world.seed + 2);
      next = world.now + 5 * BB_SEC;
    }
  if (world.now < next || world.now > world.faults_end)
    return;
  next = world.now + draw (300, 2000) * BB_MSEC;
  int drawn = draw (0, G_N_ELEMENTS (kinds));
  g_print ("%8.3f %s\n", (double)(world.now - world.started) / BB_SEC,
           kinds[drawn].name);
  kinds[drawn].act ();
}
