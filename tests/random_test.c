/* Random sequences of faults, drawn from fixed seeds.  No flow may break.  */

#include "driver/scenarios.h"

#include <check.h>
#include <stdlib.h>

enum
{
  SEEDS = 25, /* of one case; scripts/check.sh runs cases in parallel */
  STEPS = 20,
};

/* Seeds that failed in the past; the commits that fixed them hold the
   traces.  */
static const uint64_t regression_seeds[]
    = { 38,   42,   87,   166,  174,  176,  180,  261,  270,  288,  338,  345,
        348,  364,  390,  393,  399,  404,  422,  504,  1020, 1024, 1032, 1046,
        1062, 1082, 1119, 1128, 1152, 1181, 1190, 1194, 1249, 1281, 1294, 1404,
        1410, 1528, 1557, 1622, 1650, 1842, 3376, 3507, 4404, 5222, 5492 };

enum
{
  REGRESSION_SEED_COUNT
  = (int)(sizeof regression_seeds / sizeof *regression_seeds),
};

static void
check_seed (uint64_t seed)
{
  struct bb_driver_options o = bb_scenario_options (seed);
  o.policy = seed % 2 ? BB_POLICY_TABLE : BB_POLICY_EVEN;
  if (seed % 3 == 0)
    {
      o.loss = o.duplicates = 10000;
      o.message_faults = 20000;
    }
  struct bb_driver *d = bb_driver_new (&o);
  bb_driver_run (d, 5 * BB_SEC);
  bb_scenario_inject_random (d, STEPS);
  bb_driver_run (d, 15 * BB_SEC);
  char *faults = bb_scenario_describe_faults (d);
  ck_assert_msg (!faults, "%s", faults);
  bb_driver_free (d);
}

START_TEST (random_seed) { check_seed ((uint64_t)_i); }
END_TEST

START_TEST (kept_seed) { check_seed (regression_seeds[_i]); }
END_TEST

/* Seeds that still fail; see KNOWN-RED.txt.  */
START_TEST (open_seed) { check_seed (4244); }
END_TEST

static void
add_seeds (Suite *s, TCase *t, int first)
{
  tcase_add_loop_test (t, random_seed, first, first + SEEDS);
  suite_add_tcase (s, t);
}

static void
add_regression_seeds (Suite *s, TCase *t, int first, int end)
{
  tcase_add_loop_test (t, kept_seed, first, end);
  suite_add_tcase (s, t);
}

int
main (void)
{
  Suite *s = suite_create ("random");
  add_seeds (s, tcase_create ("seeds 1 to 25"), 1);
  add_seeds (s, tcase_create ("seeds 26 to 50"), 26);
  add_seeds (s, tcase_create ("seeds 51 to 75"), 51);
  add_seeds (s, tcase_create ("seeds 76 to 100"), 76);
  TCase *open = tcase_create ("open seeds");
  tcase_add_test (open, open_seed);
  suite_add_tcase (s, open);
  add_regression_seeds (s, tcase_create ("kept seeds, first half"), 0,
                        REGRESSION_SEED_COUNT / 2);
  add_regression_seeds (s, tcase_create ("kept seeds, second half"),
                        REGRESSION_SEED_COUNT / 2, REGRESSION_SEED_COUNT);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
