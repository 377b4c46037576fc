/* The bound on the requests of cold servers in any second, over all balancers,
   while these disagree about who lives.  */

#include "tests/cold_fixture.h"

enum
{
  RANDOM_RUNS = 60
};

/* Checks the second that begins with each arrival.  */
static void
check_bound (const struct scenario *c)
{
  for (unsigned i = 0; i < sim.arrival_count; i++)
    {
      const struct arrival *first = &sim.arrivals[i];
      unsigned count = 0;
      for (unsigned k = 0; k < sim.arrival_count; k++)
        {
          bb_usec after = sim.arrivals[k].at - first->at;
          count += sim.arrivals[k].server == first->server && after >= 0
                   && after < BB_SEC;
        }
      ck_assert_msg (count <= kinds[sim.kind].bound,
                     "%s: s%u got %u new flows in the second from %.3f s",
                     c->description, first->server, count,
                     (double)first->at / BB_SEC);
    }
}

static const struct scenario scenarios[] = {
  { "calm: the servers get what they bear", .least_flows = 80 },
  { "messages are lost", .loss = 20, .least_flows = 80 },
  { "half of the balancers are killed and start again",
    .killed = { 10 * BB_SEC, 11 * BB_SEC }, .killed_mask = 0x15,
    .least_flows = 30 },
  { "half are killed for good: their servers wait",
    .killed = { 10 * BB_SEC, RUN_TIME }, .killed_mask = 0x15,
    .least_flows = 15 },
  { "two sides of a cut give out the same room",
    .cut = { 7 * BB_SEC, RUN_TIME }, .least_flows = 80 },
  { "one side of a cut starts again and does not know the other",
    .cut = { 7 * BB_SEC, RUN_TIME }, .killed = { 10 * BB_SEC, 11 * BB_SEC },
    .killed_mask = 0x05, .least_flows = 10 },
  { "a balancer starts on one side of a cut", .cut = { 5 * BB_SEC, RUN_TIME },
    .joining = { 0, 7 * BB_SEC }, .least_flows = 60 },
  { "all have just started and know nobody", .cold_from = BB_SEC,
    .least_flows = 30 },
  { "all start in the middle of the cold time",
    .killed = { 10 * BB_SEC, 10500 * BB_MSEC }, .killed_mask = 0x3f,
    .least_flows = 30 },
  { "the owner freezes shortly, with packets decided and packets waiting",
    .frozen = { 12 * BB_SEC, 12400 * BB_MSEC }, .least_flows = 70 },
  { "the owner freezes for long and wakes with a full socket buffer",
    .frozen = { 12 * BB_SEC, 16 * BB_SEC }, .least_flows = 50 },
  { "a balancer that starts takes servers over", .joining = { 0, 11 * BB_SEC },
    .least_flows = 60 },
  { "the owner stops", .leaves = 12 * BB_SEC, .least_flows = 60 },
  { "the last one on its side that knows of the other side stops",
    .cut = { 7 * BB_SEC, RUN_TIME }, .killed = { 10 * BB_SEC, 11 * BB_SEC },
    .killed_mask = 0x05, .joining = { 0, RUN_TIME }, .leaves = 11500 * BB_MSEC,
    .least_flows = 10 },
  { "a cut heals in the cold time", .cut = { 5 * BB_SEC, 12 * BB_SEC },
    .loss = 5, .killed = { 9 * BB_SEC, 10 * BB_SEC }, .killed_mask = 0x0a,
    .least_flows = 20 },
};

START_TEST (bound_holds)
{
  const struct scenario *c = &scenarios[_i / G_N_ELEMENTS (kinds)];
  run (c, (unsigned)_i % G_N_ELEMENTS (kinds));
  check_bound (c);
  unsigned borne
      = (unsigned)(SERVERS * kinds[sim.kind].rate * (COLD_TIME / BB_SEC)
                   * kinds[sim.kind].used / 100);
  ck_assert_msg (sim.arrival_count * 100 >= borne * c->least_flows,
                 "%s, %u/s: %u new flows, of %u that the servers bear",
                 c->description, kinds[sim.kind].rate, sim.arrival_count,
                 borne);
}
END_TEST

static struct trouble
draw_trouble (GRand *random)
{
  bb_usec from = g_rand_int_range (random, 60, 180) * 100 * BB_MSEC;
  return (struct trouble){
    from, from + g_rand_int_range (random, 1, 80) * 100 * BB_MSEC
  };
}

/* Several troubles at once.  Of each side of a cut, one balancer at least goes
   on and is awake: if all of a side start again, nothing there tells of the
   other side.  */
START_TEST (bound_holds_under_random_troubles)
{
  GRand *random = g_rand_new_with_seed ((guint32)_i);
  struct scenario c = {
    .description = "random troubles",
    .loss = (unsigned)g_rand_int_range (random, 0, 30),
    .cut = draw_trouble (random),
    .killed = draw_trouble (random),
    .killed_mask = (unsigned)g_rand_int_range (random, 0, 8),
  };
  if (g_rand_boolean (random))
    c.joining = (struct trouble){ 0, draw_trouble (random).from };
  if (g_rand_boolean (random))
    {
      c.frozen = draw_trouble (random);
      c.killed_mask &= 1;
    }
  if (g_rand_boolean (random))
    c.leaves = draw_trouble (random).from;
  g_rand_free (random);
  run (&c, (unsigned)_i % G_N_ELEMENTS (kinds));
  check_bound (&c);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("cold_start");
  TCase *c = tcase_create ("bound");
  tcase_add_loop_test (c, bound_holds, 0,
                       G_N_ELEMENTS (scenarios) * G_N_ELEMENTS (kinds));
  tcase_add_loop_test (c, bound_holds_under_random_troubles, 1,
                       1 + RANDOM_RUNS);
  suite_add_tcase (s, c);
  return run_suite (s);
}
