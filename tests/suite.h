/* Runs one suite of tests and returns the exit status of its program.  */

#ifndef BB_TESTS_SUITE_H
#define BB_TESTS_SUITE_H

#include <check.h>
#include <stdlib.h>

static inline int
run_suite (Suite *suite)
{
  SRunner *runner = srunner_create (suite);
  srunner_run_all (runner, CK_ENV);
  int failed = srunner_ntests_failed (runner);
  srunner_free (runner);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
#endif
