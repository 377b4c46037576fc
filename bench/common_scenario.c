#include "bench/common_scenario.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t
from_environment (const char *name, uint64_t standard)
{
  const char *text = g_getenv (name);
  return text && *text ? g_ascii_strtoull (text, NULL, 10) : standard;
}

uint64_t
bb_bench_seed (void)
{
  return from_environment ("SEED", 1);
}

int
bb_bench_rounds (int standard)
{
  return (int)MAX (1, from_environment ("ROUNDS", (uint64_t)standard));
}

static bool
meets (double value, const char *op, double bound)
{
  if (strcmp (op, "<=") == 0)
    return value <= bound;
  if (strcmp (op, ">=") == 0)
    return value >= bound;
  return value - bound == 0;
}

void
bb_bench_print (const char *name, double value, const char *unit,
                const char *op, double bound)
{
  printf ("measure %s %.6g %s target %s %g %s seed %lu\n", name, value, unit,
          op, bound, meets (value, op, bound) ? "pass" : "fail",
          (unsigned long)bb_bench_seed ());
  (void)fflush (stdout);
}

struct bb_driver_options
bb_bench_options (int round)
{
  struct bb_driver_options o
      = bb_scenario_options (bb_bench_seed () * 1000 + (uint64_t)round);
  o.balancers = 9;
  o.flow_capacity = 300000;
  o.life = 0;
  o.rate = 0;
  o.gap = 10 * BB_SEC;
  return o;
}

struct bb_driver *
bb_bench_open (const struct bb_driver_options *o, uint32_t flows)
{
  struct bb_driver *d = bb_driver_new (o);
  bb_driver_run (d, 2 * BB_SEC);
  bb_driver_open (d, flows, 0);
  bb_driver_run (d, 5 * BB_SEC);
  return d;
}
