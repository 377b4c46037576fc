/* Measures the imbalance of flows and load over the backend servers for each
   policy.  */

#include "bench/common_scenario.h"

enum
{
  FLOWS = 20000,
  SAMPLES = 10,
};

struct site
{
  const char *name;
  uint32_t balancers;
  bb_usec latency;
};

static const struct site sites[]
    = { { "restrepo", 6, 500 }, { "umunyu", 9, 1000 } };

/* Returns the mean of max/mean over several samples of a steady state.  */
static double
measure_imbalance (const struct site *u, enum bb_policy_kind policy,
                   bool by_load, int round)
{
  struct bb_driver_options o = bench_scenario_options (round);
  double sum = 0;
  o.balancers = u->balancers;
  o.latency = u->latency;
  o.policy = policy;
  o.connection_limit = 2000;
  o.skewed = by_load;
  o.life = 60 * BB_SEC;
  o.gap = 10 * BB_SEC;
  /* A flow ends with the first packet after its life.  A tenth of the flows go
     to the second service.  */
  o.rate = FLOWS / 70.0 / 0.9;
  struct bb_driver *d = bb_driver_new (&o);
  bb_driver_run (d, 240 * BB_SEC);
  for (int i = 0; i < SAMPLES; i++)
    {
      bb_driver_run (d, 10 * BB_SEC);
      sum += bb_driver_imbalance (d, by_load);
    }
  bb_driver_free (d);
  return sum / SAMPLES;
}

static void
print_imbalance (const struct site *u, const char *name,
                 enum bb_policy_kind policy, bool by_load, double bound)
{
  int rounds = bench_get_rounds (3);
  double sum = 0;
  for (int round = 0; round < rounds; round++)
    sum += measure_imbalance (u, policy, by_load, round);
  char *full = g_strdup_printf ("imbalance_%s_%s", name, u->name);
  bench_print_seeded_measure (full, sum / rounds, "max/mean", "<=", bound);
  g_free (full);
}

int
main (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (sites); i++)
    {
      print_imbalance (&sites[i], "flows_even", BB_POLICY_EVEN, false, 1.01);
      print_imbalance (&sites[i], "flows_table", BB_POLICY_TABLE, false, 1.05);
      print_imbalance (&sites[i], "load_even", BB_POLICY_EVEN, true, 1.08);
    }
  return 0;
}
