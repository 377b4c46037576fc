#include "bench/common_scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t
read_environment (const char *name, uint64_t default_value)
{
  const char *text = g_getenv (name);
  return text && *text ? g_ascii_strtoull (text, NULL, 10) : default_value;
}

uint64_t
bench_get_seed (void)
{
  return read_environment ("SEED", 1);
}

int
bench_get_rounds (int default_value)
{
  return (int)MAX (1, read_environment ("ROUNDS", (uint64_t)default_value));
}

static bool
is_met (double value, const char *op, double bound)
{
  if (strcmp (op, "<=") == 0)
    return value <= bound;
  if (strcmp (op, ">=") == 0)
    return value >= bound;
  return value - bound == 0;
}

void
bench_print_seeded_measure (const char *name, double value, const char *unit,
                            const char *op, double bound)
{
  printf ("measure %s %.6g %s target %s %g %s seed %lu\n", name, value, unit,
          op, bound, is_met (value, op, bound) ? "pass" : "fail",
          (unsigned long)bench_get_seed ());
  (void)fflush (stdout);
}

struct bb_driver_options
bench_scenario_options (int round)
{
  struct bb_driver_options o
      = bb_scenario_options (bench_get_seed () * 1000 + (uint64_t)round);
  o.balancers = 9;
  o.flow_capacity = 300000;
  o.life = 0;
  o.rate = 0;
  o.gap = 10 * BB_SEC;
  return o;
}

struct bb_driver *
bench_start_scenario (const struct bb_driver_options *o, uint32_t flows)
{
  struct bb_driver *d = bb_driver_new (o);
  bb_driver_run (d, 2 * BB_SEC);
  bb_driver_open_flows (d, flows, 0);
  bb_driver_run (d, 5 * BB_SEC);
  return d;
}
