/* Counts broken, misrouted and duplicated flows under planned changes, crashes
   and pauses of balancers.  */

#include "bench/common_scenario.h"

enum
{
  PLANNED_FLOWS = 100000,
  CRASH_FLOWS = 50000,
};

static uint64_t misrouted, duplicated;

static double
finish_and_count_broken (struct bb_driver *d, bb_usec time)
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
run_drains (struct bb_driver *d)
{
  for (int i = 0; i < 3; i++)
    {
      bb_scenario_set_drain (d, i, true, 2 * BB_SEC);
      bb_driver_open_flows (d, 2000, 0);
      bb_driver_run (d, 10 * BB_SEC);
    }
  for (int i = 0; i < 3; i++)
    bb_scenario_set_drain (d, i, false, 2 * BB_SEC);
}

static void
run_replacements (struct bb_driver *d)
{
  bb_scenario_replace_in_turn (d, 9, 10 * BB_SEC);
}

static void
run_replacements_and_drains (struct bb_driver *d)
{
  bb_scenario_replace_and_drain (d, 9, 10 * BB_SEC);
}

static void
run_uneven_drains (struct bb_driver *d)
{
  bb_driver_set_rate (d, 200);
  for (int i = 0; i < 6; i++)
    {
      bb_scenario_set_drain (d, i % 3, i < 3, 8 * BB_SEC);
      bb_driver_run (d, 5 * BB_SEC);
    }
  bb_scenario_remove_server (d, 5, 8 * BB_SEC);
  bb_driver_run (d, 10 * BB_SEC);
}

static void
measure_planned_changes (void)
{
  static const struct
  {
    const char *name;
    void (*run) (struct bb_driver *d);
  } cases[] = { { "broken_planned_drains", run_drains },
                { "broken_planned_replacement", run_replacements },
                { "broken_planned_both", run_replacements_and_drains },
                { "broken_planned_uneven", run_uneven_drains } };
  double sum = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (cases); i++)
    {
      double broken = 0;
      for (int round = 0; round < bench_get_rounds (1); round++)
        {
          struct bb_driver_options o = bench_scenario_options (round);
          struct bb_driver *d = bench_start_scenario (&o, PLANNED_FLOWS);
          cases[i].run (d);
          broken += finish_and_count_broken (d, 20 * BB_SEC);
        }
      bench_print_seeded_measure (cases[i].name, broken, "flows", "=", 0);
      sum += broken;
    }
  bench_print_seeded_measure ("broken_planned", sum, "flows", "=", 0);
}

/* Crashes COUNT balancers at once while a server drains.  Returns the share of
   the open flows that broke.  */
static double
run_crash (int round, enum bb_policy_kind policy, int count)
{
  struct bb_driver_options o = bench_scenario_options (round);
  o.policy = policy;
  struct bb_driver *d = bench_start_scenario (&o, CRASH_FLOWS);
  bb_scenario_set_drain (d, 1, true, BB_SEC);
  bb_driver_run (d, 5 * BB_SEC);
  bb_driver_open_flows (d, CRASH_FLOWS / 5, 0);
  bb_driver_run (d, 5 * BB_SEC);
  for (int i = 0; i < count; i++)
    bb_driver_kill_node (d, 2 + 3 * i);
  double open = CRASH_FLOWS * 1.2;
  return finish_and_count_broken (d, 40 * BB_SEC) / open;
}

static void
measure_crashes (void)
{
  static const char *const policies[] = { "table", "even" };
  for (int policy = 0; policy < BB_POLICIES; policy++)
    for (int count = 1; count <= 2; count++)
      {
        double share = 0;
        int rounds = bench_get_rounds (3);
        for (int round = 0; round < rounds; round++)
          share += run_crash (round, (enum bb_policy_kind)policy, count)
                   / rounds;
        char *name
            = g_strdup_printf ("broken_crash_%s_%s",
                               count == 1 ? "one" : "two", policies[policy]);
        bench_print_seeded_measure (
            name, share, "share",
            count == 1 ? "=" : "<=", count == 1 ? 0 : 1e-4);
        g_free (name);
      }
}

static void
measure_pauses (void)
{
  double broken = 0;
  for (int round = 0; round < bench_get_rounds (5); round++)
    {
      struct bb_driver_options o = bench_scenario_options (round);
      struct bb_driver *d = bench_start_scenario (&o, 20000);
      bb_driver_pause_node (d, 4, 10 * BB_SEC);
      bb_driver_run (d, BB_SEC);
      bb_scenario_set_drain (d, 1, true, BB_SEC);
      bb_driver_set_rate (d, 500);
      broken += finish_and_count_broken (d, 40 * BB_SEC);
    }
  bench_print_seeded_measure ("broken_pause", broken, "flows", "=", 0);
}

int
main (void)
{
  measure_planned_changes ();
  measure_crashes ();
  measure_pauses ();
  bench_print_seeded_measure ("misrouted", (double)misrouted, "packets", "=",
                              0);
  bench_print_seeded_measure ("duplicated", (double)duplicated, "packets", "=",
                              0);
  return 0;
}
