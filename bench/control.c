/* Measures the control plane: the time until a drain, a version or a join
   takes effect, the bytes of messages, and the memory of a flow.  */

#include "bench/common_scenario.h"
#include "core/flows.h"

static double
to_seconds (bb_usec time)
{
  return (double)time / BB_SEC;
}

static void
measure_drain (void)
{
  double worst = 0;
  for (int round = 0; round < bench_get_rounds (10); round++)
    {
      struct bb_driver_options o = bench_scenario_options (round);
      o.rate = 2000;
      o.life = 20 * BB_SEC;
      struct bb_driver *d = bb_driver_new (&o);
      bb_driver_run (d, 5 * BB_SEC);
      bb_usec drain_set = bb_driver_now (d);
      bb_scenario_set_drain (d, 3, true, 500 * BB_MSEC);
      bb_driver_run (d, 10 * BB_SEC);
      bb_usec last = bb_driver_server (d, 3)->last_new;
      worst = MAX (worst, to_seconds (last - drain_set));
      bb_driver_free (d);
    }
  bench_print_seeded_measure ("drain_last_new", worst, "s", "<=", 3);
}

/* Measures the time from a version coming into force on balancer 0 until the
   version is in force on all balancers.  Only balancer 0 reads the
   configuration service.  */
static void
measure_version (void)
{
  double worst = 0;
  for (int round = 0; round < bench_get_rounds (10); round++)
    {
      struct bb_driver_options o = bench_scenario_options (round);
      struct bb_driver *d = bb_driver_new (&o);
      bb_driver_open_flows (d, 100, 0);
      bb_driver_run (d, (5 + round % 3) * BB_SEC);
      for (int i = 1; i < 9; i++)
        bb_driver_node (d, i)->config = false;
      bb_scenario_set_drain (d, 3, true, 0);
      bb_driver_run (d, 10 * BB_SEC);
      bb_usec first = bb_driver_node (d, 0)->version_at[2];
      for (int i = 1; i < 9; i++)
        {
          bb_usec at = bb_driver_node (d, i)->version_at[2];
          worst = MAX (worst, at ? to_seconds (at - first) : 10);
        }
      bb_driver_free (d);
    }
  bench_print_seeded_measure ("config_in_force", worst, "s", "<=", 2);
}

static void
measure_join (void)
{
  double worst = 0;
  for (int round = 0; round < bench_get_rounds (10); round++)
    {
      struct bb_driver_options o = bench_scenario_options (round);
      o.rate = 500;
      struct bb_driver *d = bb_driver_new (&o);
      bb_driver_run (d, 5 * BB_SEC);
      for (int i = 0; i < BB_DRIVER_NODES; i++)
        bb_driver_node (d, i)->config = false;
      if (round % 2)
        bb_driver_kill_node (d, 5);
      bb_driver_join_node (d, 12);
      bb_driver_run (d, 10 * BB_SEC);
      const struct bb_driver_node *n = bb_driver_node (d, 12);
      double time
          = n->first_packet ? to_seconds (n->first_packet - n->started) : 10;
      worst = MAX (worst, time);
      bb_driver_free (d);
    }
  bench_print_seeded_measure ("join_ready", worst, "s", "<=", 2);
}

/* Measures the message bytes per second of the balancer that sends most, with
   2,000 new flows per second on each of 9 balancers and a drain.  */
static void
measure_control_bytes (void)
{
  struct bb_driver_options o = bench_scenario_options (0);
  uint64_t before[9];
  double worst = 0;
  o.rate = 18000;
  o.life = 5 * BB_SEC;
  o.gap = 3 * BB_SEC;
  struct bb_driver *d = bb_driver_new (&o);
  bb_driver_run (d, 5 * BB_SEC);
  for (int i = 0; i < 9; i++)
    before[i] = bb_driver_node (d, i)->message_bytes;
  bb_scenario_set_drain (d, 3, true, 500 * BB_MSEC);
  bb_driver_run (d, 10 * BB_SEC);
  for (int i = 0; i < 9; i++)
    {
      uint64_t bytes = bb_driver_node (d, i)->message_bytes - before[i];
      worst = MAX (worst, (double)bytes / 10);
    }
  bb_driver_free (d);
  bench_print_seeded_measure ("control_bytes", worst, "B/s", "<=", 4096);
}

static void
measure_flow_memory (void)
{
  struct bb_flows t;
  bb_flows_init (&t, 300000);
  double bytes = (double)t.size * sizeof *t.flows / 300000;
  bb_flows_clear (&t);
  bench_print_seeded_measure ("flow_bytes", bytes, "B", "<=", 32);
}

int
main (void)
{
  measure_drain ();
  measure_control_bytes ();
  measure_flow_memory ();
  measure_version ();
  measure_join ();
  return 0;
}
