/* Evacuations and limits of services when the store comes back from an older
   copy.  */

#include "tests/era_fixture.h"

static void
begin_evacuation (unsigned index, uint64_t era, uint64_t number)
{
  const struct bb_evacuation_record r
      = { .data_centre = "dc-0",
          .is_active = true,
          .revision = bb_revision_make (era, number) };
  bb_marked_put_evacuation (w.nodes[index].m, &r, w.now);
  bb_marked_confirm_revision (w.nodes[index].m, r.revision, w.now, w.now);
}

static void
pass_time (bb_usec time)
{
  w.now += time;
  bb_marked_tick (w.nodes[0].m, w.now);
}

/* Guards against new flows to an evacuated data centre: the request was lost
   with the first return and is written again only after a second one.  */
START_TEST (evacuation_is_held_from_the_last_return)
{
  start_node (0);
  read_store (0, 1, 10, 3, NULL);
  begin_evacuation (0, 1, 20);
  read_store (0, 2, COPY, 3, NULL);
  pass_time (1500 * BB_MSEC);
  read_store (0, 3, COPY, 3, NULL);
  pass_time (1500 * BB_MSEC);
  ck_assert (bb_directory_is_evacuated (directory_of (0), "dc-0"));
  pass_time (BB_EXPIRY_GRACE_TIME);
  ck_assert (!bb_directory_is_evacuated (directory_of (0), "dc-0"));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("era operator");
  TCase *tc = tcase_create ("what the operator wrote");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, evacuation_is_held_from_the_last_return);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
