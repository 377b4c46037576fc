/* Faults of the links between balancers, one every 0.3 to 2 s.  Link faults
   use a separate random number generator, so that the first recorded seeds
   still give the same schedule of the other faults.  */

#include "soak/soak.h"

static GRand *link_random;

static int
draw (int from, int to)
{
  return g_rand_int_range (link_random, from, to);
}

static struct soak_balancer *
pick_balancer (void)
{
  return &cluster.balancers[draw (0, (int)cluster.balancer_count)];
}

/* The balancer whose links are faulty.  Dropped datagrams do not set
   last_fault_end, since a balancer that still reaches the store must keep all
   its guarantees.  */
static const struct soak_balancer *faulty;

static bool
is_from_faulty (const struct soak_balancer *from,
                const struct soak_balancer *to)
{
  (void)to;
  return from == faulty;
}

static bool
is_to_faulty (const struct soak_balancer *from, const struct soak_balancer *to)
{
  (void)from;
  return to == faulty;
}

static bool
is_at_faulty (const struct soak_balancer *from, const struct soak_balancer *to)
{
  return from == faulty || to == faulty;
}

static bool
crosses_data_centres (const struct soak_balancer *from,
                      const struct soak_balancer *to)
{
  return from->data_centre != to->data_centre;
}

static void
drop_datagrams (void)
{
  static const soak_link_filter filters[]
      = { is_from_faulty, is_to_faulty, is_at_faulty, crosses_data_centres };
  faulty = pick_balancer ();
  soak_links_drop (filters[draw (0, G_N_ELEMENTS (filters))],
                   cluster.now + draw (300, 6000) * BB_MSEC);
}

static void
delay_datagrams (void)
{
  struct soak_balancer *b = pick_balancer ();
  bb_usec until = cluster.now + draw (300, 4000) * BB_MSEC;
  soak_links_delay (b->index, draw (20, 900) * BB_MSEC, until);
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    cluster.balancers[i].last_fault_end
        = MAX (cluster.balancers[i].last_fault_end, until);
}

static void
duplicate_datagrams (void)
{
  soak_links_duplicate (pick_balancer ()->index,
                        cluster.now + draw (300, 4000) * BB_MSEC);
}

static const struct
{
  const char *name;
  void (*inject) (void);
} faults[] = {
  { "cut_links", drop_datagrams },
  { "cut_links", drop_datagrams },
  { "slow_links", delay_datagrams },
  { "double_links", duplicate_datagrams },
};

void
soak_link_faults_tick (void)
{
  static bb_usec next;
  if (cluster.seed < SOAK_LINK_SEEDS)
    return;
  if (next == 0)
    {
      link_random = g_rand_new_with_seed (cluster.seed + 2);
      next = cluster.now + 5 * BB_SEC;
    }
  if (cluster.now < next || cluster.now > cluster.faults_end)
    return;
  next = cluster.now + draw (300, 2000) * BB_MSEC;
  int drawn = draw (0, G_N_ELEMENTS (faults));
  g_print ("%8.3f %s\n", (double)(cluster.now - cluster.started) / BB_SEC,
           faults[drawn].name);
  faults[drawn].inject ();
}
