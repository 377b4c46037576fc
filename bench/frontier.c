/* Compares the share of tracked flows with broken flows and imbalance for
   several values of spill_permille.  Prints a table: the share of load-aware
   buckets, the share of flows with an entry, the share of open flows broken by
   three crashes at once, the imbalance of flows and of load with exact
   reports, and that of load with 10 % noise in the reports.  */

#include "bench/common_scenario.h"

#include <stdio.h>

enum
{
  FLOWS = 20000,
  SAMPLES = 5,
};

static const uint16_t spills[] = { 0, 25, 50, 100, 200, 400, 700, 1000 };

struct row
{
  double tracked;
  double broken; /* share of open flows, by three crashes */
  double flow_imbalance;
  double load_imbalance;
  double load_with_noise; /* imbalance of load with noisy reports */
};

static struct bb_driver_options
make_options (uint16_t spill_permille, int round)
{
  struct bb_driver_options o = bench_scenario_options (round);
  o.policy = BB_POLICY_EVEN;
  o.spill_permille = spill_permille;
  o.skewed = true;
  o.life = 60 * BB_SEC;
  o.gap = 10 * BB_SEC;
  o.rate = FLOWS / 70.0 / 0.9;
  return o;
}

static double
measure_tracked_share (struct bb_driver *d)
{
  double sum = 0;
  for (int i = 0; i < 9; i++)
    {
      struct bb_engine_status s;
      bb_engine_status (bb_driver_node (d, i)->engine, bb_driver_now (d), &s);
      sum += s.flows;
    }
  return sum / BB_REPLICAS / FLOWS;
}

static void
measure_steady_state (uint16_t spill_permille, int round, struct row *row)
{
  struct bb_driver_options o = make_options (spill_permille, round);
  struct bb_driver *d = bb_driver_new (&o);
  bb_driver_run (d, 200 * BB_SEC);
  for (int i = 0; i < SAMPLES; i++)
    {
      bb_driver_run (d, 15 * BB_SEC);
      row->flow_imbalance += bb_driver_imbalance (d, false) / SAMPLES;
      row->load_imbalance += bb_driver_imbalance (d, true) / SAMPLES;
    }
  row->tracked += measure_tracked_share (d);
  uint64_t before = bb_driver_result (d)->broken;
  for (int i = 0; i < 3; i++)
    bb_driver_kill_node (d, 3 * i);
  bb_driver_run (d, 40 * BB_SEC);
  row->broken += (double)(bb_driver_result (d)->broken - before) / FLOWS;
  bb_driver_free (d);
}

static double
load_with_noise (uint16_t spill_permille, int round)
{
  struct bb_driver_options o = make_options (spill_permille, round);
  double sum = 0;
  o.report_noise = 100;
  struct bb_driver *d = bb_driver_new (&o);
  bb_driver_run (d, 200 * BB_SEC);
  for (int i = 0; i < SAMPLES; i++)
    {
      bb_driver_run (d, 15 * BB_SEC);
      sum += bb_driver_imbalance (d, true) / SAMPLES;
    }
  bb_driver_free (d);
  return sum;
}

int
main (void)
{
  int rounds = bench_get_rounds (2);
  printf ("# spill tracked broken flows load noisy\n");
  for (size_t i = 0; i < G_N_ELEMENTS (spills); i++)
    {
      struct row r = { 0 };
      for (int round = 0; round < rounds; round++)
        {
          measure_steady_state (spills[i], round, &r);
          r.load_with_noise += load_with_noise (spills[i], round);
        }
      printf ("%.3f %.4f %.5f %.3f %.3f %.3f\n", spills[i] / 1000.0,
              r.tracked / rounds, r.broken / rounds, r.flow_imbalance / rounds,
              r.load_imbalance / rounds, r.load_with_noise / rounds);
      (void)fflush (stdout);
    }
  return 0;
}
