/* What admission control knows: estimates of answer times, pending requests
   and priorities in use.  */

#include "marked/evidence/admission.h"
#include "tests/suite.h"

enum
{
  OBJECTIVE_MS = 200,
};

/* Guards against use of an estimate from too few or too old answers.  */
static const struct
{
  const char *description;
  bb_usec took, later;
  int answers;
  bool exceeds;
} estimates[] = {
  { "no answers", 0, 0, 0, false },
  { "too few answers", 300 * BB_MSEC, 0, 4, false },
  { "enough slow answers", 300 * BB_MSEC, 0, 20, true },
  { "enough fast answers", 30 * BB_MSEC, 0, 20, false },
  { "answers that are too old", 300 * BB_MSEC, BB_SEC, 20, false },
};

START_TEST (estimate_needs_recent_answers)
{
  struct bb_answer_time e = { 0 };
  bb_usec now = BB_SEC;
  for (int i = 0; i < estimates[_i].answers; i++)
    bb_answer_time_add (&e, estimates[_i].took, now += 10 * BB_MSEC);
  now += estimates[_i].later;
  ck_assert_msg (
      bb_answer_time_exceeds (&e, OBJECTIVE_MS * BB_MSEC, false, now)
          == estimates[_i].exceeds,
      "%s", estimates[_i].description);
  ck_assert (!bb_answer_time_exceeds (&e, 0, false, now));
}
END_TEST

/* Guards against refusals without need, and against a queue that is noticed
   only when its answers are late.  */
static const struct
{
  const char *description;
  double mean, least; /* pending requests per slot */
  bb_usec service_time, objective;
  bool is_low_priority, exceeds;
} queues[] = {
  { "a free slot", 5, 0.5, 40 * BB_MSEC, 200 * BB_MSEC, false, false },
  { "a free slot of full servers at low priority", 5, 0.5, 40 * BB_MSEC,
    200 * BB_MSEC, true, true },
  { "free slots on average at low priority", 0.8, 0.5, 80 * BB_MSEC,
    200 * BB_MSEC, true, false },
  { "a slow service with a free slot", 0.5, 0.5, BB_SEC, 200 * BB_MSEC, false,
    false },
  { "no objective", 5, 5, 40 * BB_MSEC, 0, false, false },
  { "no answer yet", 5, 5, 0, 200 * BB_MSEC, false, false },
  { "a short queue", 1.5, 1.5, 40 * BB_MSEC, 200 * BB_MSEC, false, false },
  { "a short queue at low priority", 1.5, 1.5, 40 * BB_MSEC, 200 * BB_MSEC,
    true, true },
  { "a short queue at one of many full servers, low priority", 4, 1.1,
    40 * BB_MSEC, 200 * BB_MSEC, true, true },
  { "a short queue at one of many full servers", 4, 1.1, 40 * BB_MSEC,
    200 * BB_MSEC, false, false },
  { "a long queue", 3, 3, 40 * BB_MSEC, 200 * BB_MSEC, false, true },
  { "a long queue and a long objective", 3, 3, 40 * BB_MSEC, 500 * BB_MSEC,
    true, false },
};

START_TEST (expected_time_follows_the_queue)
{
  struct bb_concurrency c = { 0 };
  bb_concurrency_add_load (&c, 0, BB_SEC);
  bb_concurrency_add_load (&c, queues[_i].mean, 10 * BB_SEC);
  if (queues[_i].service_time != 0)
    bb_concurrency_add_answer (&c, queues[_i].service_time);
  ck_assert_msg (bb_concurrency_exceeds (&c, queues[_i].least,
                                         queues[_i].objective,
                                         queues[_i].is_low_priority)
                     == queues[_i].exceeds,
                 "%s", queues[_i].description);
}
END_TEST

/* Guards against refusals after this VM was frozen: the answers that were
   pending seem to have taken as long as the freeze.  */
static const struct
{
  const char *description;
  int before, frozen, after; /* answers of 40 ms, of 10 s, and of 40 ms */
} freezes[] = {
  { "a freeze before any answer", 0, 4, 20 },
  { "a freeze with few requests pending", 50, 4, 0 },
  { "a freeze with many requests pending", 50, 14, 40 },
};

START_TEST (freezes_close_no_service)
{
  struct bb_concurrency c = { 0 };
  for (int i = 0; i < freezes[_i].before; i++)
    bb_concurrency_add_answer (&c, 40 * BB_MSEC);
  for (int i = 0; i < freezes[_i].frozen; i++)
    bb_concurrency_add_answer (&c, 10 * BB_SEC);
  for (int i = 0; i < freezes[_i].after; i++)
    bb_concurrency_add_answer (&c, 40 * BB_MSEC);
  ck_assert_msg (
      !bb_concurrency_exceeds (&c, 1, OBJECTIVE_MS * BB_MSEC, false),
      "%s: a service time of %ld us", freezes[_i].description,
      (long)c.service_time);
}
END_TEST

/* Guards against a route that still has low priority after the more urgent
   routes are no longer used.  */
static const struct
{
  const char *description;
  bb_usec pause; /* since the previous step */
  uint32_t priority;
  bool is_low_priority;
} urgencies[] = {
  { "the only priority in use", 0, 2, false },
  { "the same priority", 100 * BB_MSEC, 2, false },
  { "a more urgent priority", 100 * BB_MSEC, 1, false },
  { "the least urgent priority", 100 * BB_MSEC, 2, true },
  { "the most urgent priority", 100 * BB_MSEC, 0, false },
  { "a priority between the two", 100 * BB_MSEC, 1, false },
  { "the least urgent priority again", 4 * BB_SEC, 2, true },
  { "the least urgent priority, the others unused", 2 * BB_SEC, 2, false },
};

START_TEST (priorities_expire)
{
  struct bb_priorities u = { 0 };
  bb_usec now = BB_SEC;
  ck_assert (!bb_priorities_add_flow (&u, 1, now));
  ck_assert_msg (!bb_priorities_add_flow (&u, 2, now),
                 "low priority without a refusal");
  bb_priorities_add_refusal (&u, 2, now);
  ck_assert_msg (!bb_priorities_add_flow (&u, 2, now),
                 "low priority after a refusal of the least urgent route");
  u = (struct bb_priorities){ 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (urgencies); i++)
    {
      now += urgencies[i].pause;
      bb_priorities_add_refusal (&u, 0, now);
      ck_assert_msg (bb_priorities_add_flow (&u, urgencies[i].priority, now)
                         == urgencies[i].is_low_priority,
                     "%s", urgencies[i].description);
    }
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admission estimates");
  TCase *tc = tcase_create ("estimates");
  tcase_add_loop_test (tc, estimate_needs_recent_answers, 0,
                       G_N_ELEMENTS (estimates));
  tcase_add_loop_test (tc, expected_time_follows_the_queue, 0,
                       G_N_ELEMENTS (queues));
  tcase_add_loop_test (tc, freezes_close_no_service, 0,
                       G_N_ELEMENTS (freezes));
  tcase_add_test (tc, priorities_expire);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
