/* Guards against checks that cannot fail.  With each fault that is planted in
   the driver, flows must be counted as broken; without it, none.  */

#include "driver/scenarios.h"

#include <check.h>
#include <stdlib.h>

static void
hide_bits (struct bb_driver_options *o)
{
  o->hide_bits = true;
}

static void
lose_entries (struct bb_driver_options *o)
{
  o->lose_entries = true;
}

static void
false_acks (struct bb_driver_options *o)
{
  o->false_acks = true;
}

static void
replace_all (struct bb_driver *d)
{
  bb_scenario_replace_in_turn (d, 6, 5 * BB_SEC);
}

static const struct
{
  const char *name;
  void (*plant) (struct bb_driver_options *o);
  void (*run) (struct bb_driver *d);
  double rate;
  bb_usec gap;
  bb_usec message_delay;
} planted[] = {
  { "impairment bits ignored", hide_bits, bb_scenario_report_drains_to_some,
    40, 300 * BB_MSEC, 0 },
  { "replicated entries lost", lose_entries, replace_all, 100, 10 * BB_SEC,
    0 },
  { "false acknowledgements", false_acks, bb_scenario_report_drains_to_some,
    500, 300 * BB_MSEC, 400 * BB_MSEC },
};

static uint64_t
count_broken_flows (const struct bb_driver_options *o,
                    void (*run) (struct bb_driver *d))
{
  struct bb_driver *d = bb_driver_new (o);
  bb_driver_run (d, 5 * BB_SEC);
  run (d);
  bb_driver_run (d, 15 * BB_SEC);
  uint64_t n = bb_driver_result (d)->broken;
  bb_driver_free (d);
  return n;
}

START_TEST (planted_fault)
{
  struct bb_driver_options o = bb_scenario_options (11);
  o.rate = planted[_i].rate;
  o.gap = planted[_i].gap;
  o.message_delay = planted[_i].message_delay;
  o.life = o.rate > 100 ? 5 * BB_SEC : 40 * BB_SEC;
  ck_assert_uint_eq (count_broken_flows (&o, planted[_i].run), 0);
  planted[_i].plant (&o);
  ck_assert_msg (count_broken_flows (&o, planted[_i].run) > 0,
                 "%s: no broken flow detected", planted[_i].name);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("planted");
  TCase *t = tcase_create ("faults");
  tcase_add_loop_test (t, planted_fault, 0, (int)G_N_ELEMENTS (planted));
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
