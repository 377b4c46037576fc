#include "core/silence.h"
#include "tests/suite.h"
#include <string.h>

#define START (1000 * BB_SEC)
#define LIMIT (8 * BB_SEC)

enum
{
  SLOTS = 1024,
  BUSY_FLOWS_SEED = 7,
};

/* Times are milliseconds after START.  */
struct observation_case
{
  const char *name;
  struct
  {
    int at;
    uint32_t sequence;
    bool expected;
  } steps[8];
};

static const struct observation_case observation_cases[] = {
  { "repetition after the timeout",
    { { 0, 1, false }, { 200, 1, true }, { 600, 1, true } } },
  { "copies made by the fabric",
    { { 0, 1, false }, { 1, 1, false }, { 199, 1, false } } },
  { "a copy of a repetition counts once",
    { { 0, 1, false }, { 300, 1, true }, { 301, 1, false } } },
  { "progress", { { 0, 1, false }, { 300, 2, false }, { 600, 3, false } } },
  { "progress, then a repetition",
    { { 0, 1, false }, { 300, 2, false }, { 600, 2, true } } },
  { "sequence number 0",
    { { 0, 0, false }, { 100, 0, false }, { 200, 0, true } } },
};

/* Guards against counting packets that the fabric duplicated as
   retransmissions.  */
START_TEST (repetitions_are_detected)
{
  const struct observation_case *c = &observation_cases[_i];
  struct bb_silence *s = bb_silence_new (SLOTS);
  for (size_t i = 0; i == 0 || c->steps[i].at > 0; i++)
    ck_assert_msg (bb_silence_observe (s, 42, c->steps[i].sequence,
                                       START + c->steps[i].at * BB_MSEC)
                       == c->steps[i].expected,
                   "%s: step %zu", c->name, i);
  bb_silence_free (s);
}
END_TEST

struct count_case
{
  const char *name;
  bb_usec limit;
  int seconds[10]; /* of the observations, ends with -1 */
  uint32_t sequences[10];
  bool expected; /* after the last observation; earlier ones never reset */
};

static const struct count_case count_cases[] = {
  { "4 observations in 8 s", LIMIT, { 0, 1, 3, 8, -1 }, { 0 }, true },
  { "4 observations in 7 s", LIMIT, { 0, 1, 3, 7, -1 }, { 0 }, false },
  { "3 observations in 60 s", LIMIT, { 0, 20, 60, -1 }, { 0 }, false },
  { "more observations than needed",
    LIMIT,
    { 0, 1, 2, 3, 4, 5, 9, -1 },
    { 0 },
    true },
  { "progress restarts the count",
    LIMIT,
    { 0, 1, 3, 8, -1 },
    { 1, 1, 2, 2 },
    false },
  { "the count restarts after a reset",
    LIMIT,
    { 0, 1, 3, 8, 9, 10, -1 },
    { 1, 1, 1, 2, 2, 2 },
    false },
  { "a stall of an hour ago", LIMIT, { 0, 1, 3, 3600, -1 }, { 0 }, false },
  { "turned off", 0, { 0, 1, 3, 8, -1 }, { 0 }, false },
};

/* Guards against a reset of a flow that progresses or has stalled for a short
   time only: such a reset breaks the flow.  */
START_TEST (counts_reach_the_limit)
{
  const struct count_case *c = &count_cases[_i];
  struct bb_silence *s = bb_silence_new (SLOTS);
  for (size_t i = 0; c->seconds[i] >= 0; i++)
    {
      bool last = c->seconds[i + 1] < 0;
      ck_assert_msg (bb_silence_count_repeat (s, 42, c->sequences[i], c->limit,
                                              START + c->seconds[i] * BB_SEC)
                         == (last && c->expected),
                     "%s: observation %zu", c->name, i);
    }
  bb_silence_free (s);
}
END_TEST

/* Guards against busy flows that displace a silent one, and against a count
   that is added to another flow: four times as many busy flows as slots send
   between the repetitions.  */
START_TEST (silent_flow_is_detected_among_busy_flows)
{
  struct bb_silence *s = bb_silence_new (SLOTS);
  GRand *rand = g_rand_new_with_seed (BUSY_FLOWS_SEED);
  uint64_t silent = 0x123456789abcdef0;
  int repeats = 0;
  uint32_t sequence = 0;
  for (int round = 0; round < 40; round++)
    {
      bb_usec now = START + round * BB_SEC;
      /* The first repetition comes before the busy flows: RTO 200 ms.  */
      repeats += bb_silence_observe (s, silent, 1, now);
      repeats += bb_silence_observe (s, silent, 1, now + 200 * BB_MSEC);
      for (int i = 0; i < 4 * SLOTS; i++)
        {
          uint64_t hash = (uint64_t)g_rand_int (rand) << 32
                          | (uint64_t)g_rand_int (rand);
          ck_assert (
              !bb_silence_observe (s, hash, sequence++, now + 300 * BB_MSEC));
        }
    }
  ck_assert_int_eq (repeats, 79);
  g_rand_free (rand);
  bb_silence_free (s);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("silence");
  TCase *t = tcase_create ("detection");
  tcase_add_loop_test (t, repetitions_are_detected, 0,
                       G_N_ELEMENTS (observation_cases));
  tcase_add_loop_test (t, counts_reach_the_limit, 0,
                       G_N_ELEMENTS (count_cases));
  tcase_add_test (t, silent_flow_is_detected_among_busy_flows);
  suite_add_tcase (s, t);
  return run_suite (s);
}
