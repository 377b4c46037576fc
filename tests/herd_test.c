/* New flows of a service at many balancers that do not see each other's
   choices until the next report, played with the decisions of marked/ in
   driver/overload.h.  */

#include "driver/overload.h"
#include "marked/placement/place.h"
#include "marked/placement/spill.h"
#include "tests/suite.h"
#include <math.h>

enum
{
  TIMEOUT_S = 240, /* as in scripts/check.sh */
  SERVERS = 40,
  WINDOW_MS = 500,
  WINDOWS = 6,
  SERVERS_MAX = 128,
  DATA_CENTRES = 3,
};

/* No server may get more than this multiple of its share of new flows.  */
#define SHARE_MAX 1.5

/* Probability with which chance alone may exceed the bound somewhere in one
   play.  */
#define CHANCE 0.001

/* New flows by window and server, and those of the first data centre by where
   they went.  */
struct counts
{
  int servers[WINDOWS][SERVERS_MAX];
  int kept[WINDOWS];
  int spilled[WINDOWS];
};

static void
count_flow (void *context, bb_usec at, int data_centre, int server)
{
  struct counts *c = context;
  bb_usec window = at / (WINDOW_MS * BB_MSEC);
  if (window >= WINDOWS)
    return;
  c->servers[window][server]++;
  if (data_centre != 0)
    return;
  if (server % DATA_CENTRES == 0)
    c->kept[window]++;
  else
    c->spilled[window]++;
}

/* Returns the least K so that a Poisson variable of MEAN is above K with a
   probability of at most P.  */
static int
poisson_quantile (double mean, double p)
{
  double term = exp (-mean), below = term;
  int k = 0;
  while (1 - below > p)
    {
      term *= mean / ++k;
      below += term;
    }
  return k;
}

/* Checks the counts of windows of LENGTH * WINDOW_MS against the bound: flows
   that go to a server at random with SHARE_MAX times its share are a Poisson
   variable, and each of the windows and servers may exceed its quantile with
   an equal part of CHANCE.  */
static void
check_windows (const struct counts *c, const char *description, int length)
{
  for (int w = 0; w + length <= WINDOWS; w += length)
    {
      int sums[SERVERS] = { 0 }, all = 0;
      for (int i = 0; i < length; i++)
        for (int s = 0; s < SERVERS; s++)
          {
            sums[s] += c->servers[w + i][s];
            all += c->servers[w + i][s];
          }
      int most = poisson_quantile (SHARE_MAX * all / SERVERS,
                                   CHANCE * length / (SERVERS * WINDOWS));
      ck_assert_int_gt (all, SERVERS / 2);
      for (int s = 0; s < SERVERS; s++)
        ck_assert_msg (
            sums[s] <= most,
            "%s: server %d got %d of %d new flows in %d ms, at most %d",
            description, s, sums[s], all, length * WINDOW_MS, most);
    }
}

/* Guards against balancers that all choose the server that looks best.  */
static const struct
{
  const char *description;
  int balancers;
  int report_delay_ms;
  int report_loss;
  int joining_servers;
  bool is_uneven;
} herds[] = {
  { "6 balancers, a new server", 6, 0, 0, 1, false },
  { "6 balancers, reports 1 s old, a new server", 6, 1000, 0, 1, false },
  { "6 balancers, reports 3 s old", 6, 3000, 0, 0, false },
  { "6 unequal balancers, a new server", 6, 0, 0, 1, true },
  { "70 balancers", 70, 0, 0, 0, false },
  { "70 balancers, a new server", 70, 0, 0, 1, false },
  { "70 balancers, reports 1 s old", 70, 1000, 0, 0, false },
  { "70 balancers, reports 3 s old, a new server", 70, 3000, 0, 1, false },
  { "70 balancers, half of the reports lost", 70, 0, 50, 0, false },
  { "115 balancers", 115, 0, 0, 0, false },
  { "115 balancers, new servers", 115, 0, 0, 3, false },
  { "115 balancers, reports 3 s old", 115, 3000, 0, 0, false },
  { "115 balancers, most reports lost", 115, 0, 80, 0, false },
  { "115 unequal balancers, a new server", 115, 0, 0, 1, true },
  { "300 balancers", 300, 0, 0, 0, false },
  { "300 balancers, reports 1 s old, a new server", 300, 1000, 0, 1, false },
  { "300 unequal balancers, half of the reports lost, a new server", 300, 0,
    50, 1, true },
};

START_TEST (no_server_gets_the_herd)
{
  struct bb_overload_day day = *bb_overload_find_day ("many");
  struct counts c = { 0 };
  day.data_centres = 1;
  day.servers = SERVERS;
  day.balancers = herds[_i].balancers;
  day.report_delay_ms = herds[_i].report_delay_ms;
  day.report_loss = herds[_i].report_loss;
  day.joining_servers = herds[_i].joining_servers;
  day.is_uneven = herds[_i].is_uneven;
  bb_overload_watch (&day, 1, 1, count_flow, &c);
  check_windows (&c, herds[_i].description, 1);
  check_windows (&c, herds[_i].description, 2);
}
END_TEST

/* Guards against full servers while others are idle.  */
START_TEST (idle_servers_take_what_others_would_reject)
{
  struct bb_overload_result r
      = bb_overload_play (bb_overload_find_day ("many-join"), 1, 1);
  ck_assert_uint_eq (r.rejected, 0);
  ck_assert_uint_eq (r.spilled, 0);
}
END_TEST

/* Guards against callers who pay for the load of their data centre while
   others have room, and against others who pay for it instead.  */
static const double pressures[] = { 2.5, 3.5, 4 };

START_TEST (pressed_data_centre_is_served_like_the_others)
{
  const struct bb_overload_day *day = bb_overload_find_day ("pressed");
  struct bb_overload_result r = bb_overload_play (day, pressures[_i], 1);
  for (int i = 1; i < DATA_CENTRES; i++)
    {
      ck_assert_double_ge (r.in_time[0], r.in_time[i] - 0.02);
      ck_assert_double_ge (r.in_time[i], 0.99);
    }
}
END_TEST

/* Guards against flows that go to and fro between data centres because each
   sees the other's load late: after the first second, the part that leaves in
   each window is within half of the mean, and what chance adds.  */
START_TEST (spill_does_not_oscillate)
{
  const struct bb_overload_day *day = bb_overload_find_day ("pressed");
  struct counts c = { 0 };
  double sum = 0;
  const int first = 1000 / WINDOW_MS;
  bb_overload_watch (day, pressures[_i], 1, count_flow, &c);
  for (int w = first; w < WINDOWS; w++)
    sum += c.spilled[w];
  double mean = sum / (WINDOWS - first);
  ck_assert_double_gt (mean, 0);
  int most = poisson_quantile (1.5 * mean, CHANCE / WINDOWS);
  int least = (int)(0.5 * mean - (most - 1.5 * mean));
  for (int w = first; w < WINDOWS; w++)
    {
      ck_assert_int_le (c.spilled[w], most);
      ck_assert_int_ge (c.spilled[w], least);
    }
}
END_TEST

/* Guards against a change of decisions where no herd can form.  The pool has
   servers of two slots.  */
static const struct
{
  const char *description;
  double rate; /* of each peer, flows per second */
  bb_usec unseen;
  int peers;
  bool is_best_only;
} parts[] = {
  { "alone", 0, 0, 0, true },
  { "two peers with many flows", 100, 300 * BB_MSEC, 2, true },
  { "two peers with old reports", 100, 900 * BB_MSEC, 2, true },
  { "37 peers with few flows", 0.1, 300 * BB_MSEC, 37, true },
  { "37 peers", 3, 300 * BB_MSEC, 37, false },
  { "299 peers", 0.4, 300 * BB_MSEC, 299, false },
  { "few flows, old reports", 0.1, 900 * BB_MSEC, 37, false },
};

START_TEST (few_balancers_choose_the_best_server)
{
  struct bb_demand demand = { 0 };
  struct bb_pool pool = { .count = SERVERS, .slots = 2 * SERVERS };
  for (int i = 0; i < parts[_i].peers; i++)
    bb_demand_add_peer (&demand, parts[_i].rate, parts[_i].unseen);
  double part = bb_choice_part (&pool, &demand);
  ck_assert_msg ((part <= 0) == parts[_i].is_best_only, "%s: %f",
                 parts[_i].description, part);
  ck_assert_double_le (part, 1 / SHARE_MAX);
  if (!parts[_i].is_best_only)
    ck_assert_double_ge (part,
                         MIN (1 / SHARE_MAX, demand.peer_flows / SERVERS));
}
END_TEST

/* Guards against a spill without need, to a data centre without room, or by a
   report that is old or wrong.  The other data centre has 40 slots.  */
static const struct
{
  const char *description;
  double load; /* of the own data centre */
  struct bb_room room;
  int sent_there; /* pending requests of own callers there */
  double least;   /* part of the flows that leaves */
  double most;
} spills[] = {
  { "normal load", 0.5, { 1, 4, 40, 10 * BB_SEC }, 0, 0, 0 },
  { "load begins to wait", 0.8, { 1, 4, 40, 10 * BB_SEC }, 0, 0.01, 0.25 },
  { "more load than slots", 1.3, { 1, 4, 40, 10 * BB_SEC }, 0, 1, 1 },
  { "no server here", INFINITY, { 1, 4, 40, 10 * BB_SEC }, 0, 1, 1 },
  { "the other one is as busy", 1.3, { 1, 52, 40, 10 * BB_SEC }, 0, 0, 0 },
  { "the other one is nearly as busy",
    0.9,
    { 1, 32, 40, 10 * BB_SEC },
    0,
    0,
    0 },
  { "own flows have filled the other one",
    1.3,
    { 1, 4, 40, 10 * BB_SEC },
    40,
    0,
    0 },
  { "an old report", 1.3, { 1, 4, 40, 7 * BB_SEC }, 0, 0, 0 },
  { "no slots", 1.3, { 1, 0, 0, 10 * BB_SEC }, 0, 0, 0 },
  { "more slots than listed, all of them busy",
    1.3,
    { 1, 40, 4000, 10 * BB_SEC },
    0,
    0,
    0 },
};

START_TEST (spill_follows_room)
{
  enum
  {
    FLOWS = 1000,
    LISTED = 20
  };
  struct bb_backend_server servers[LISTED] = { 0 };
  struct bb_backend_server *pointers[LISTED];
  struct bb_rooms rooms = { 0 };
  struct bb_pool other = { .servers = pointers, .count = LISTED };
  struct bb_spill_view view = {
    .load = spills[_i].load, .slots = 40, .other = &other, .now = 10 * BB_SEC
  };
  GRand *random = g_rand_new_with_seed (3);
  int left = 0;
  for (int i = 0; i < LISTED; i++)
    {
      servers[i].data_centre = 1;
      servers[i].record.slots = 2;
      pointers[i] = &servers[i];
    }
  servers[0].load.busy = spills[_i].sent_there;
  bb_rooms_put (&rooms, &spills[_i].room);
  for (int i = 0; i < FLOWS; i++)
    left += bb_spill_choose (&rooms, &view, random) == 1;
  ck_assert_msg (
      left >= spills[_i].least * FLOWS && left <= spills[_i].most * FLOWS,
      "%s: %d of %d flows leave", spills[_i].description, left, FLOWS);
  g_rand_free (random);
}
END_TEST

/* Guards against flows that go to the wrong one of many data centres, and
   against a choice that compares each server with each of them.  All have room
   but the first.  Their keys differ by a multiple of the size of a table.  */
START_TEST (spill_shares_by_room)
{
  enum
  {
    FLOWS = 3100,
    EACH = 300, /* servers of a data centre */
    ALL = BB_ROOMS_MAX * EACH,
    KEY_STEP = 1024,
  };
  struct bb_backend_server *servers = g_new0 (struct bb_backend_server, ALL);
  struct bb_backend_server **pointers
      = g_new0 (struct bb_backend_server *, ALL);
  struct bb_rooms rooms = { 0 };
  struct bb_pool other = { .servers = pointers, .count = ALL };
  struct bb_spill_view view
      = { .load = 1.3, .slots = 40, .other = &other, .now = 10 * BB_SEC };
  GRand *random = g_rand_new_with_seed (3);
  int placed[BB_ROOMS_MAX] = { 0 };
  for (uint32_t i = 0; i < ALL; i++)
    {
      servers[i].data_centre = (i / EACH + 1) * KEY_STEP;
      servers[i].record.slots = 2;
      pointers[i] = &servers[i];
    }
  servers[0].load.busy = 2 * EACH;
  for (uint32_t i = 0; i < BB_ROOMS_MAX; i++)
    bb_rooms_put (&rooms, &(struct bb_room){ (i + 1) * KEY_STEP, 4, 2 * EACH,
                                             10 * BB_SEC });
  for (int i = 0; i < FLOWS; i++)
    placed[bb_spill_choose (&rooms, &view, random) / KEY_STEP - 1]++;
  ck_assert_int_eq (placed[0], 0);
  for (uint32_t i = 1; i < BB_ROOMS_MAX; i++)
    ck_assert_msg (placed[i] >= 50 && placed[i] <= 150, "%d flows", placed[i]);
  g_rand_free (random);
  g_free (servers);
  g_free (pointers);
}
END_TEST

/* Adds the rows of HERDS from START up to END, without END.  The cases of a
   program run in parallel.  */
static void
add_herds (Suite *suite, TCase *tc, int start, int end)
{
  tcase_set_timeout (tc, TIMEOUT_S);
  tcase_add_loop_test (tc, no_server_gets_the_herd, start, end);
  suite_add_tcase (suite, tc);
}

int
main (void)
{
  Suite *suite = suite_create ("herds");
  const int rows = G_N_ELEMENTS (herds);
  add_herds (suite, tcase_create ("up to 70 balancers"), 0, rows - 8);
  add_herds (suite, tcase_create ("115 balancers"), rows - 8, rows - 5);
  add_herds (suite, tcase_create ("115 balancers, lost reports"), rows - 5,
             rows - 3);
  add_herds (suite, tcase_create ("300 balancers"), rows - 3, rows - 2);
  add_herds (suite, tcase_create ("300 balancers, late reports"), rows - 2,
             rows - 1);
  add_herds (suite, tcase_create ("300 unequal balancers"), rows - 1, rows);
  TCase *tc = tcase_create ("idle servers");
  tcase_set_timeout (tc, TIMEOUT_S);
  tcase_add_test (tc, idle_servers_take_what_others_would_reject);
  suite_add_tcase (suite, tc);
  tc = tcase_create ("spill");
  tcase_set_timeout (tc, TIMEOUT_S);
  tcase_add_loop_test (tc, pressed_data_centre_is_served_like_the_others, 0,
                       G_N_ELEMENTS (pressures));
  tcase_add_loop_test (tc, spill_does_not_oscillate, 0,
                       G_N_ELEMENTS (pressures));
  tcase_add_loop_test (tc, spill_follows_room, 0, G_N_ELEMENTS (spills));
  tcase_add_test (tc, spill_shares_by_room);
  suite_add_tcase (suite, tc);
  tc = tcase_create ("few balancers");
  tcase_add_loop_test (tc, few_balancers_choose_the_best_server, 0,
                       G_N_ELEMENTS (parts));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
