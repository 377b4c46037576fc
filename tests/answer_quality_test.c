/* Servers that fail while they seem healthy: what the lengths of answers show,
   and how soon.  */

#include "marked/evidence/answer_quality.h"
#include "marked/state/server_quality.h"
#include "tests/suite.h"
#include <math.h>
#include <string.h>

enum
{
  SERVERS = 40,
  ERROR_LENGTH = 205,
  HEAD = 190, /* of each answer */
};

struct lengths
{
  unsigned median;
  double spread; /* standard deviation of the logarithm of the body */
};

/* About normally distributed, mean 0, deviation 1.  */
static double
draw_normal (GRand *random)
{
  double sum = -6;
  for (int i = 0; i < 12; i++)
    sum += g_rand_double (random);
  return sum;
}

static uint32_t
draw_length (const struct lengths *l, GRand *random)
{
  double body = (l->median - HEAD) * exp (l->spread * draw_normal (random));
  return HEAD + (uint32_t)body;
}

/* Guards against short answers that are taken for errors, and against errors
   that are not noticed on a route of short answers.  Of a part of the samples,
   in percent, the length is that of an error.  */
static const struct
{
  const char *description;
  struct lengths lengths;
  unsigned errors;
  uint32_t answer;
  bool is_outlier;
} answers[] = {
  { "error beside answers of equal length", { 838, 0 }, 0, 205, true },
  { "error beside spread answers", { 1190, 0.5 }, 0, 205, true },
  { "error on a route of short answers", { 275, 0 }, 0, 205, true },
  { "usual short answer", { 275, 0 }, 0, 265, false },
  { "half of a spread answer", { 1190, 0.5 }, 0, 600, false },
  { "other digits in a head", { 838, 0 }, 0, 820, false },
  { "error after a tenth of errors", { 838, 0 }, 10, 205, true },
  { "usual answer after a tenth of errors", { 838, 0 }, 10, 838, false },
  { "error after a third of errors", { 1190, 0.3 }, 33, 205, true },
  { "error of a service that fails as a whole", { 838, 0 }, 90, 205, false },
  { "answer longer than can be counted", { 100000, 0.3 }, 0, 70000, false },
};

START_TEST (outliers_are_told_from_usual_answers)
{
  for (unsigned seed = 1; seed <= 20; seed++)
    {
      GRand *random = g_rand_new_with_seed (seed);
      struct bb_answer_lengths l = { 0 };
      for (unsigned i = 0; i < 64; i++)
        {
          unsigned errors = answers[_i].errors;
          bool is_error = i * errors / 100 != (i + 1) * errors / 100;
          bb_answer_lengths_add (
              &l, is_error ? ERROR_LENGTH
                           : draw_length (&answers[_i].lengths, random));
        }
      ck_assert_msg ((answers[_i].answer < l.shortest_usual)
                         == answers[_i].is_outlier,
                     "%s: %u", answers[_i].description, l.shortest_usual);
      g_rand_free (random);
    }
}
END_TEST

/* Guards against evidence from a route whose lengths are not known yet.  */
START_TEST (few_answers_show_no_usual_length)
{
  struct bb_answer_lengths l = { 0 };
  for (int i = 0; i < 15; i++)
    bb_answer_lengths_add (&l, 800);
  ck_assert_uint_eq (l.shortest_usual, 0);
}
END_TEST

/* Servers of one service in one data centre; answers arrive at one balancer,
   or at several that report to it.  */
static struct
{
  struct bb_server_group group;
  struct bb_backend_server servers[SERVERS];
  GRand *random;
  bb_usec now;
} w;

static void
setup (void)
{
  memset (&w, 0, sizeof w);
  w.random = g_rand_new_with_seed (1);
  w.now = BB_SEC;
  bb_list_init (&w.group.servers);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct bb_backend_server *s = &w.servers[i];
      s->group = &w.group;
      s->is_local = true;
      s->record.state = BB_SERVER_READY;
      bb_list_append (&w.group.servers, &s->of_service);
    }
}

static void
teardown (void)
{
  g_rand_free (w.random);
}

/* Answers of all servers at RATE a second each, in reports of INTERVAL.  */
struct load
{
  double rate;
  bb_usec interval;
  double usual_share; /* of outliers at the other servers, in percent */
  double share;       /* at the first FAILING servers, in percent */
  unsigned failing;
};

static unsigned
count_failing (unsigned first, unsigned end)
{
  unsigned count = 0;
  for (unsigned i = first; i < end; i++)
    count += w.servers[i].load.quality.is_failing;
  return count;
}

/* Returns how often a server that does not fail was found failing.  */
static unsigned
run (const struct load *load, bb_usec duration)
{
  unsigned false_alarms = 0;
  for (bb_usec end = w.now + duration; w.now < end; w.now += load->interval)
    for (unsigned i = 0; i < SERVERS; i++)
      {
        double share = i < load->failing ? load->share : load->usual_share;
        struct bb_answer_counts counts = { 0 };
        double expected = load->rate * (double)load->interval / BB_SEC;
        for (int part = 0; part < 100; part++)
          if (g_rand_double (w.random) * 100 < expected)
            {
              if (g_rand_double (w.random) * 100 < share)
                counts.outliers++;
              else
                counts.usual++;
            }
        if (counts.usual + counts.outliers == 0)
          continue;
        false_alarms += bb_server_add_answers (&w.servers[i], &counts, w.now)
                            == BB_QUALITY_FAILING
                        && i >= load->failing;
      }
  return false_alarms;
}

/* Guards against failing servers that are found late or not at all.  The rates
   are those of a server at a seventh of its slots, at full load, and of a
   service that is used little.  */
static const struct
{
  const char *description;
  struct load load;
  bb_usec within;
} failures[] = {
  { "half of the requests of few servers",
    { 11, 300 * BB_MSEC, 0.5, 48, 6 },
    1500 * BB_MSEC },
  { "all requests of few servers",
    { 11, 300 * BB_MSEC, 0.5, 100, 6 },
    900 * BB_MSEC },
  { "half of the requests at full load",
    { 90, 300 * BB_MSEC, 0.5, 48, 6 },
    600 * BB_MSEC },
  { "all requests of a service used little",
    { 3, 300 * BB_MSEC, 0.5, 100, 3 },
    2500 * BB_MSEC },
  { "while a full service rejects a tenth",
    { 90, 300 * BB_MSEC, 10, 80, 6 },
    900 * BB_MSEC },
};

START_TEST (failing_servers_are_found)
{
  struct load load = failures[_i].load, calm = load;
  calm.failing = 0;
  run (&calm, 10 * BB_SEC);
  run (&load, failures[_i].within);
  ck_assert_msg (count_failing (0, load.failing) == load.failing,
                 "%s: %u found", failures[_i].description,
                 count_failing (0, load.failing));
  ck_assert_uint_eq (run (&load, 5 * BB_SEC), 0);
}
END_TEST

/* Guards against a server that loses its flows by chance, or because the
   service fails as a whole.  */
static const struct
{
  const char *description;
  struct load load;
} calm_loads[] = {
  { "no short answers", { 11, 300 * BB_MSEC, 0, 0, 0 } },
  { "short answers in one of 200", { 11, 300 * BB_MSEC, 0.5, 0, 0 } },
  { "short answers in one of 100, full load", { 90, 300 * BB_MSEC, 1, 0, 0 } },
  { "short answers in one of 10", { 90, 300 * BB_MSEC, 10, 0, 0 } },
  { "half of all answers", { 90, 300 * BB_MSEC, 50, 0, 0 } },
  { "all answers", { 90, 300 * BB_MSEC, 100, 0, 0 } },
  { "little load", { 0.5, 300 * BB_MSEC, 1, 0, 0 } },
};

START_TEST (servers_that_answer_alike_are_trusted)
{
  ck_assert_msg (run (&calm_loads[_i].load, 120 * BB_SEC) == 0, "%s",
                 calm_loads[_i].description);
  for (unsigned i = 0; i < SERVERS; i++)
    ck_assert_double_eq (
        bb_answer_quality_factor (&w.servers[i].load.quality, w.now), 1);
}
END_TEST

/* Guards against the loss of a service whose servers begin to fail in the same
   moment, and against the overload of the rest.  */
static const struct
{
  const char *description;
  unsigned failing;
  double share;
} outages[] = {
  { "all servers fail half of the requests", SERVERS, 48 },
  { "all servers fail all requests", SERVERS, 100 },
  { "most servers fail all requests", SERVERS * 3 / 4, 100 },
};

START_TEST (part_of_the_capacity_is_kept)
{
  struct load calm = { 11, 300 * BB_MSEC, 0.5, 0, 0 }, load = calm;
  load.failing = outages[_i].failing;
  load.share = outages[_i].share;
  run (&calm, 10 * BB_SEC);
  for (int i = 0; i < 40; i++)
    {
      run (&load, 300 * BB_MSEC);
      ck_assert_msg (count_failing (0, SERVERS) * 3 <= SERVERS, "%s",
                     outages[_i].description);
    }
  if (outages[_i].failing == SERVERS)
    ck_assert_uint_eq (count_failing (0, SERVERS), 0);
}
END_TEST

/* Guards against a server that stays without flows after its failure, and
   against one that gets all new flows at once.  */
static const struct
{
  const char *description;
  double rate; /* of answers after the failure */
  bb_usec within;
} recoveries[] = {
  { "requests on open flows", 8, 1800 * BB_MSEC },
  { "no requests", 0, 2300 * BB_MSEC },
};

START_TEST (recovered_server_is_trusted)
{
  struct load load = { 11, 100 * BB_MSEC, 0.5, 100, 1 };
  run (&load, 5 * BB_SEC);
  struct bb_backend_server *s = &w.servers[0];
  ck_assert (s->load.quality.is_failing);
  ck_assert_double_gt (bb_answer_quality_factor (&s->load.quality, w.now), 10);
  load.share = 0;
  load.rate = recoveries[_i].rate;
  bb_usec end = w.now + recoveries[_i].within;
  while (s->load.quality.is_failing && w.now < end)
    {
      run (&load, load.interval);
      bb_server_review_quality (s, w.now);
    }
  ck_assert_msg (!s->load.quality.is_failing, "%s",
                 recoveries[_i].description);
  double before = bb_answer_quality_factor (&s->load.quality, w.now);
  ck_assert_double_gt (before, 2);
  double after
      = bb_answer_quality_factor (&s->load.quality, w.now + 500 * BB_MSEC);
  ck_assert_double_lt (after, before);
  after = bb_answer_quality_factor (&s->load.quality, w.now + BB_SEC);
  ck_assert_double_eq (after, 1);
}
END_TEST

/* Guards against a small service that loses its only servers.  */
START_TEST (few_servers_are_kept)
{
  ck_assert (!bb_answer_quality_may_fail (0, 1));
  ck_assert (!bb_answer_quality_may_fail (0, 2));
  ck_assert (bb_answer_quality_may_fail (0, 3));
  ck_assert (!bb_answer_quality_may_fail (1, 3));
  ck_assert (bb_answer_quality_may_fail (1, 6));
}
END_TEST

/* Guards against a peer whose report ejects servers that are well.  */
static const struct
{
  const char *description;
  struct bb_answer_report report[4];
  bool is_distinct;
} reports[] = {
  { "nothing", { { { 0, 0 }, false } }, true },
  { "one failing server",
    { { { 3, 0 }, false }, { { 0, 2 }, true }, { { 4, 0 }, false } },
    true },
  { "only one server was asked", { { { 0, 3 }, false } }, true },
  { "all servers seem to fail",
    { { { 0, 2 }, true }, { { 1, 3 }, true }, { { 0, 2 }, true } },
    false },
  { "some of each",
    { { { 2, 1 }, false }, { { 3, 1 }, false }, { { 2, 2 }, false } },
    true },
};

START_TEST (report_that_blames_all_servers_is_ignored)
{
  ck_assert_msg (bb_answer_report_is_distinct (reports[_i].report, 4)
                     == reports[_i].is_distinct,
                 "%s", reports[_i].description);
}
END_TEST

/* Guards against counts of another time: of a balancer that was frozen, or
   absurd ones.  */
START_TEST (old_and_absurd_counts_are_not_used)
{
  struct bb_server_quality q = { 0 };
  struct bb_answer_counts one = { .usual = 2, .outliers = 1 };
  bb_answer_quality_note (&q, &one, BB_SEC);
  struct bb_answer_report report
      = bb_answer_quality_take_report (&q, BB_SEC + 300 * BB_MSEC);
  ck_assert_uint_eq (report.counts.usual, 2);
  ck_assert_uint_eq (report.counts.outliers, 1);
  ck_assert (!bb_answer_quality_has_report (&q));
  bb_answer_quality_note (&q, &one, 2 * BB_SEC);
  report = bb_answer_quality_take_report (&q, 7 * BB_SEC);
  ck_assert_uint_eq (report.counts.usual + report.counts.outliers, 0);
  for (int i = 0; i < 1000; i++)
    bb_answer_quality_note (&q, &one, 8 * BB_SEC);
  report = bb_answer_quality_take_report (&q, 8 * BB_SEC);
  ck_assert (bb_answer_counts_are_plausible (&report.counts));
  report.counts.outliers = BB_ANSWER_REPORT_MAX + 1;
  ck_assert (!bb_answer_counts_are_plausible (&report.counts));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("quality of answers");
  TCase *c = tcase_create ("lengths");
  tcase_add_loop_test (c, outliers_are_told_from_usual_answers, 0,
                       G_N_ELEMENTS (answers));
  tcase_add_test (c, few_answers_show_no_usual_length);
  suite_add_tcase (s, c);
  c = tcase_create ("servers");
  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_loop_test (c, failing_servers_are_found, 0,
                       G_N_ELEMENTS (failures));
  tcase_add_loop_test (c, servers_that_answer_alike_are_trusted, 0,
                       G_N_ELEMENTS (calm_loads));
  tcase_add_loop_test (c, part_of_the_capacity_is_kept, 0,
                       G_N_ELEMENTS (outages));
  tcase_add_loop_test (c, recovered_server_is_trusted, 0,
                       G_N_ELEMENTS (recoveries));
  suite_add_tcase (s, c);
  c = tcase_create ("bounds and reports");
  tcase_add_test (c, few_servers_are_kept);
  tcase_add_loop_test (c, report_that_blames_all_servers_is_ignored, 0,
                       G_N_ELEMENTS (reports));
  tcase_add_test (c, old_and_absurd_counts_are_not_used);
  suite_add_tcase (s, c);
  return run_suite (s);
}
