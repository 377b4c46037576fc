/* One case for each failure that the balancers must survive.  */

#include "driver/driver.h"
#include "tests/driver_cases.h"

#include <check.h>
#include <stdlib.h>

static const struct bb_driver_options standard = {
  .seed = 11,
  .balancers = 6,
  .servers = 14,
  .flow_capacity = 20000,
  .push_bytes = 4096,
  .policy = BB_POLICY_EVEN,
  .spill = 100,
  .idle_s = 86400,
  .silent_ms = 8000,
  .latency = 500,
  .rate = 100,
  .gap = 3 * BB_SEC,
  .life = 40 * BB_SEC,
};

struct bb_driver_options
driver_standard (uint64_t seed)
{
  struct bb_driver_options o = standard;
  o.seed = seed;
  return o;
}

/* What holds whatever happens.  */
void
driver_check (struct bb_driver *d, const char *name, uint64_t seed)
{
  const struct bb_driver_result *r = bb_driver_result (d);
  ck_assert_msg (!r->misrouted && !r->duplicated && !r->refused_run
                     && !r->resets_wrong && !r->versions_back,
                 "%s seed %lu: %lu misrouted, %lu duplicated, %lu refused "
                 "though run, %lu reset wrongly, %lu versions went back",
                 name, seed, r->misrouted, r->duplicated, r->refused_run,
                 r->resets_wrong, r->versions_back);
  ck_assert_msg (!r->broken, "%s seed %lu: %lu broken, first %lu at %.3f s",
                 name, seed, r->broken, r->first_broken,
                 (double)r->first_broken_at / 1e6);
  ck_assert_msg (r->opened, "%s seed %lu: no flow opened", name, seed);
}

START_TEST (driver_case)
{
  const struct driver_case *c = &driver_cases[_i];
  struct bb_driver_options o = standard;
  if (c->adjust)
    c->adjust (&o);
  struct bb_driver *d = bb_driver_new (&o);
  bb_driver_run (d, 5 * BB_SEC);
  c->run (d);
  bb_driver_run (d, 15 * BB_SEC);
  driver_check (d, c->name, o.seed);
  bb_driver_free (d);
}
END_TEST

/* The faults that the checks must find.  */

static uint64_t
broken_with (const struct bb_driver_options *o, void (*run) (struct bb_driver *))
{
  struct bb_driver *d = bb_driver_new (o);
  bb_driver_run (d, 5 * BB_SEC);
  run (d);
  bb_driver_run (d, 15 * BB_SEC);
  uint64_t broken = bb_driver_result (d)->broken;
  bb_driver_free (d);
  return broken;
}

static void
no_bits (struct bb_driver_options *o)
{
  o->hide_bits = true;
}

static void
no_entries (struct bb_driver_options *o)
{
  o->lose_entries = true;
}

static void
early_acks (struct bb_driver_options *o)
{
  o->false_acks = true;
  o->rate = 2000;
  o->latency = 20 * BB_MSEC;
}

static const struct
{
  const char *name;
  void (*adjust) (struct bb_driver_options *o);
  void (*run) (struct bb_driver *d);
} planted[] = {
  { "impairment bits ignored", no_bits, driver_one_sided_opinion },
  { "pushed entries lost", no_entries, driver_rolling_replacement },
  { "acknowledgements false", early_acks, driver_one_sided_opinion },
};

START_TEST (planted_fault)
{
  struct bb_driver_options o = standard;
  ck_assert_msg (!broken_with (&o, planted[_i].run), "%s: broken without it",
                 planted[_i].name);
  planted[_i].adjust (&o);
  ck_assert_msg (broken_with (&o, planted[_i].run) > 0, "%s: not found",
                 planted[_i].name);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("driver");
  TCase *t = tcase_create ("cases");
  tcase_add_loop_test (t, driver_case, 0, (int)driver_case_count);
  tcase_add_loop_test (t, planted_fault, 0, (int)G_N_ELEMENTS (planted));
  suite_add_tcase (s, t);
  suite_add_tcase (s, driver_random_cases ());
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
