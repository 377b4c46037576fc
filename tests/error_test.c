#include "core/core.h"
#include <check.h>
#include <stdlib.h>

/* Guards against an error kind that was added without its handling.  */
START_TEST (every_kind_has_a_handling)
{
  const struct bb_error_handling *a = bb_error_handling (_i);
  ck_assert_ptr_nonnull (a->name);
  ck_assert_int_gt (a->exit_status, 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("error");
  TCase *t = tcase_create ("answers");
  tcase_add_loop_test (t, every_kind_has_a_handling, 0, BB_ERROR_KINDS);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
