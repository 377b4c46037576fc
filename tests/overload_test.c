/* Peaks above the capacity of the servers, played with the decisions of
   marked/ in driver/overload.h.  */

#include "driver/overload.h"
#include "tests/suite.h"

enum
{
  SEEDS = 8,
};

/* Sums over several seeds.  */
struct sums
{
  double worth;
  double in_time[BB_OVERLOAD_KINDS]; /* parts of the requests of each kind */
  unsigned refused;
};

static struct sums
play (const char *day, double load)
{
  struct sums s = { 0 };
  for (uint32_t seed = 1; seed <= SEEDS; seed++)
    {
      struct bb_overload_result r
          = bb_overload_play (bb_overload_find_day (day), load, seed);
      s.worth += r.worth;
      s.refused += r.refused;
      for (int i = 0; i < BB_OVERLOAD_KINDS; i++)
        s.in_time[i] += (double)r.kinds[i].in_time / r.kinds[i].requests;
    }
  return s;
}

START_TEST (seeds_repeat)
{
  const struct bb_overload_day *day = bb_overload_find_day ("burst");
  struct bb_overload_result a = bb_overload_play (day, 3, 7);
  struct bb_overload_result b = bb_overload_play (day, 3, 7);
  ck_assert_uint_eq (a.attempts, b.attempts);
  ck_assert_uint_eq (a.refused, b.refused);
  ck_assert_uint_eq (a.rejected, b.rejected);
  ck_assert_ptr_null (bb_overload_find_day ("no such day"));
  for (int i = 0; i < BB_OVERLOAD_KINDS; i++)
    {
      const struct bb_overload_count *c = &a.kinds[i];
      ck_assert_uint_eq (c->in_time, b.kinds[i].in_time);
      ck_assert_uint_eq (c->in_time + c->late + c->failed, c->requests);
    }
}
END_TEST

/* Guards against refusals below the capacity of the servers.  */
static const double light_loads[] = { 0.5, 1, 1.5 };

START_TEST (light_loads_are_served)
{
  struct sums s = play ("burst", light_loads[_i]);
  ck_assert_msg (s.worth >= 0.99 * SEEDS, "load %.1f: %.3f of the worth",
                 light_loads[_i], s.worth / SEEDS);
}
END_TEST

/* Guards against a queue that is noticed only when its answers are late.
   Where the servers hide their slots, the time to recent answers decides.  */
static const struct
{
  const char *description;
  double load;
} peaks[] = {
  { "a peak just above the capacity", 2.5 },
  { "a peak of three times the usual load", 3 },
  { "a peak of three and a half times the usual load", 3.5 },
  { "a peak of five times the usual load", 5 },
};

START_TEST (queues_are_seen_before_answers)
{
  struct sums by_queues = play ("burst", peaks[_i].load);
  struct sums by_answers = play ("slots-hidden", peaks[_i].load);
  ck_assert_msg (by_queues.worth > by_answers.worth,
                 "%s: %.3f of the worth by pending requests, %.3f by answers",
                 peaks[_i].description, by_queues.worth / SEEDS,
                 by_answers.worth / SEEDS);
}
END_TEST

/* Guards against a collapse: what is served in time at five times the usual
   load is not less than at 1.2 times.  */
START_TEST (goodput_does_not_collapse)
{
  double light = 1.2 * play ("burst", 1.2).worth;
  double heavy = 5 * play ("burst", 5).worth;
  ck_assert_msg (heavy >= light, "worth of %.2f at 5, %.2f at 1.2",
                 heavy / SEEDS, light / SEEDS);
}
END_TEST

/* Guards against requests on open flows, which cannot be refused, that take
   the servers from more urgent ones.  */
START_TEST (urgent_kind_is_served_no_worse)
{
  struct sums s = play ("burst", peaks[_i].load);
  ck_assert_msg (s.in_time[1] >= s.in_time[0],
                 "%s: %.2f of the urgent requests in time, %.2f of the others",
                 peaks[_i].description, s.in_time[1] / SEEDS,
                 s.in_time[0] / SEEDS);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("overload");
  TCase *tc = tcase_create ("peaks");
  tcase_add_test (tc, seeds_repeat);
  tcase_add_loop_test (tc, light_loads_are_served, 0,
                       G_N_ELEMENTS (light_loads));
  tcase_add_loop_test (tc, queues_are_seen_before_answers, 0,
                       G_N_ELEMENTS (peaks));
  tcase_add_test (tc, goodput_does_not_collapse);
  tcase_add_loop_test (tc, urgent_kind_is_served_no_worse, 0,
                       G_N_ELEMENTS (peaks));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
