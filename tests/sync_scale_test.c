/* Fleets of several sizes that share one reader of the store.  The messages
   that a balancer receives and the calls to the store must not grow with the
   fleet, and the state must be as recent as in a small fleet.  */

#include "tests/sync_fixture.h"
#include <stdio.h>

#define SETTLE_TIME (4 * BB_SEC)
#define MEASURE_TIME (3 * BB_SEC)

enum
{
  FLEET_6,
  FLEET_60,
  FLEET_300,
  FLEET_600,
  CASE_TIMEOUT_S = 240,
};

static const struct fleet
{
  const char *description;
  unsigned balancers;
  unsigned data_centres;
} fleets[] = {
  [FLEET_6] = { "6 balancers", 6, 3 },
  [FLEET_60] = { "60 balancers", 60, 3 },
  [FLEET_300] = { "300 balancers", 300, 6 },
  [FLEET_600] = { "600 balancers", 600, 6 },
};

static void
restart_all (void)
{
  for (unsigned i = 0; i < sim.count; i++)
    {
      stop_node (i);
      start_node (i);
    }
}

static void
kill_half (void)
{
  for (unsigned i = 0; i < sim.count; i += 2)
    stop_node (i);
}

static void
kill_reader_and_next (void)
{
  stop_node (find_reader ()->index);
  run_for (1100 * BB_MSEC);
  stop_node (find_reader ()->index);
}

static void
cut_a_data_centre (void)
{
  for (unsigned i = 0; i < sim.count; i++)
    sim.nodes[i].cut = data_centre_of (i) == 0;
}

static void
inject_nothing (void)
{
}

enum
{
  HALF_STOPPED = 2,
};

static const struct
{
  const char *description;
  void (*inject) (void);
  unsigned readers;
} faults[] = {
  { "no fault", inject_nothing, 1 },
  { "all restart at once", restart_all, 1 },
  [HALF_STOPPED] = { "half of the balancers die", kill_half, 1 },
  { "two readers die one after the other", kill_reader_and_next, 1 },
  { "a data centre is isolated", cut_a_data_centre, 2 },
};

/* Guards against a large fleet that keeps several readers, and against
   balancers that fall behind.  run_for checks the state of each balancer.  */
static void
check_settles (const struct fleet *f, size_t fault)
{
  start_cluster (f->balancers, f->data_centres);
  run_for (SETTLE_TIME);
  faults[fault].inject ();
  run_for (2 * SETTLE_TIME);
  ck_assert_msg (readers () >= 1 && readers () <= faults[fault].readers,
                 "%s, %s: %u readers", f->description,
                 faults[fault].description, readers ());
  teardown ();
}

START_TEST (small_fleets_settle)
{
  check_settles (&fleets[_i / (int)G_N_ELEMENTS (faults)],
                 (size_t)_i % G_N_ELEMENTS (faults));
}
END_TEST

START_TEST (large_fleet_settles)
{
  check_settles (&fleets[FLEET_300], (size_t)_i);
}
END_TEST

START_TEST (largest_fleet_settles)
{
  check_settles (&fleets[FLEET_600], HALF_STOPPED);
}
END_TEST

/* Prints the traffic that a balancer receives.  Guards against calls to the
   store that grow with the fleet.  */
START_TEST (traffic)
{
  const struct fleet *f = &fleets[_i];
  start_cluster (f->balancers, f->data_centres);
  run_for (SETTLE_TIME);
  sim.messages = sim.bytes = 0;
  unsigned calls = sim.calls;
  run_for (MEASURE_TIME);
  double seconds = (double)MEASURE_TIME / BB_SEC;
  printf ("%u balancers: %.0f messages/s, %.0f bytes/s each, %.1f calls/s\n",
          f->balancers, (double)sim.messages / seconds / f->balancers,
          (double)sim.bytes / seconds / f->balancers,
          (sim.calls - calls) / seconds);
  ck_assert_uint_le (sim.calls - calls,
                     MEASURE_TIME / CHANGE_INTERVAL
                         + MEASURE_TIME / BB_STORE_WATCH_TIME + 1);
  teardown ();
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sync scale");
  TCase *tc = tcase_create ("small fleets");
  tcase_set_timeout (tc, CASE_TIMEOUT_S);
  tcase_add_loop_test (tc, small_fleets_settle, 0,
                       FLEET_300 * G_N_ELEMENTS (faults));
  suite_add_tcase (suite, tc);
  tc = tcase_create ("a large fleet");
  tcase_set_timeout (tc, CASE_TIMEOUT_S);
  tcase_add_loop_test (tc, large_fleet_settles, 0, G_N_ELEMENTS (faults));
  suite_add_tcase (suite, tc);
  tc = tcase_create ("the largest fleet");
  tcase_set_timeout (tc, CASE_TIMEOUT_S);
  tcase_add_test (tc, largest_fleet_settles);
  suite_add_tcase (suite, tc);
  tc = tcase_create ("traffic");
  tcase_set_timeout (tc, CASE_TIMEOUT_S);
  tcase_add_loop_test (tc, traffic, 0, G_N_ELEMENTS (fleets));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
