/* Broken, misrouted and duplicated flows under planned changes, crashes and
   pauses.  */

#include "bench/common_scenario.h"

enum
{
  PLANNED_FLOWS = 100000,
  CRASH_FLOWS = 50000,
};

static uint64_t misrouted, duplicated;

static double
finish (struct bb_driver *d, bb_usec time)
{
  bb_driver_run (d, time);
  const struct bb_driver_result *r = bb_driver_result (d);
  double broken = (double)(r->broken + r->resets_wrong);
  misrouted += r->misrouted;
  duplicated += r->duplicated;
  bb_driver_free (d);
  return broken;
}

static void
drains (struct bb_driver *d)
{
  for (int i = 0; i < 3; i++)
    {
      bb_scenario_set_drain (d, i, true, 2 * BB_SEC);
      bb_driver_open (d, 2000, 0);
      bb_driver_run (d, 10 * BB_SEC);
    }
  for (int i = 0; i < 3; i++)
    bb_scenario_set_drain (d, i, false, 2 * BB_SEC);
}

static void
replacement (struct bb_driver *d)
{
  bb_scenario_roll (d, 9, 10 * BB_SEC);
}

static void
both (struct bb_driver *d)
{
  bb_scenario_roll_drain (d, 9, 10 * BB_SEC);
}

static void
uneven (struct bb_driver *d)
{
  bb_driver_set_rate (d, 200);
  for (int i = 0; i < 6; i++)
    {
      bb_scenario_set_drain (d, i % 3, i < 3, 8 * BB_SEC);
      bb_driver_run (d, 5 * BB_SEC);
    }
  bb_scenario_remove (d, 5, 8 * BB_SEC);
  bb_driver_run (d, 10 * BB_SEC);
}

static void
planned (void)
{
  static const struct
  {
    const char *name;
    void (*run) (struct bb_driver *d);
  } cases[] = { { "broken_planned_drains", drains },
                { "broken_planned_replacement", replacement },
                { "broken_planned_both", both },
                { "broken_planned_uneven", uneven } };
  double sum = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      double broken = 0;
      for (int round = 0; round < bb_bench_rounds (1); round++)
        {
          struct bb_driver_options o = bb_bench_options (round);
          struct bb_driver *d = bb_bench_open (&o, PLANNED_FLOWS);
          cases[i].run (d);
          broken += finish (d, 20 * BB_SEC);
        }
      bb_bench_print (cases[i].name, broken, "flows", "=", 0);
      sum += broken;
    }
  bb_bench_print ("broken_planned", sum, "flows", "=", 0);
}

/* COUNT balancers crash at once while a server drains; returns the share of
   the open flows that broke.  */
static double
crash (int round, enum bb_policy_kind policy, int count)
{
  struct bb_driver_options o = bb_bench_options (round);
  o.policy = policy;
  struct bb_driver *d = bb_bench_open (&o, CRASH_FLOWS);
  bb_scenario_set_drain (d, 1, true, BB_SEC);
  bb_driver_run (d, 5 * BB_SEC);
  bb_driver_open (d, CRASH_FLOWS / 5, 0);
  bb_driver_run (d, 5 * BB_SEC);
  for (int i = 0; i < count; i++)
    bb_driver_kill (d, 2 + 3 * i);
  double open = CRASH_FLOWS * 1.2;
  return finish (d, 40 * BB_SEC) / open;
}

static void
crashes (void)
{
  static const char *const policies[] = { "table", "even" };
  for (int policy = 0; policy < BB_POLICIES; policy++)
    for (int count = 1; count <= 2; count++)
      {
        double share = 0;
        int rounds = bb_bench_rounds (3);
        for (int round = 0; round < rounds; round++)
          share += crash (round, (enum bb_policy_kind)policy, count) / rounds;
        char *name
            = g_strdup_printf ("broken_crash_%s_%s",
                               count == 1 ? "one" : "two", policies[policy]);
        bb_bench_print (name, share, "share",
                        count == 1 ? "=" : "<=", count == 1 ? 0 : 1e-4);
        g_free (name);
      }
}

static void
pauses (void)
{
  double broken = 0;
  for (int round = 0; round < bb_bench_rounds (5); round++)
    {
      struct bb_driver_options o = bb_bench_options (round);
      struct bb_driver *d = bb_bench_open (&o, 20000);
      bb_driver_pause (d, 4, 10 * BB_SEC);
      bb_driver_run (d, BB_SEC);
      bb_scenario_set_drain (d, 1, true, BB_SEC);
      bb_driver_set_rate (d, 500);
      broken += finish (d, 40 * BB_SEC);
    }
  bb_bench_print ("broken_pause", broken, "flows", "=", 0);
}

int
main (void)
{
  planned ();
  crashes ();
  pauses ();
  bb_bench_print ("misrouted", (double)misrouted, "packets", "=", 0);
  bb_bench_print ("duplicated", (double)duplicated, "packets", "=", 0);
  return 0;
}
