/* A fleet of balancers whose store comes back from an older copy.  */

#include "tests/era_fixture.h"

#define READ_TIME (10 * BB_MSEC)
#define BOUND (3 * BB_SEC)

static void
stop_node (unsigned index)
{
  bb_marked_free (g_steal_pointer (&w.nodes[index].m));
}

/* A fleet with a store that changes its configuration every 0.7 s.  */

static void
configure_store (void)
{
  w.version++;
  w.configured = ++w.number;
}

static void
read_whole_store (struct node *n)
{
  struct bb_route_record routes[64];
  struct bb_snapshot *s = bb_snapshot_new (n->called);
  struct bb_configuration c
      = { .version = w.version,
          .revision = bb_revision_make (w.era, w.configured),
          .routes = routes };
  s->revision = bb_revision_make (w.era, w.number);
  c.route_count = list_routes (w.version, c.revision, routes);
  bb_snapshot_set_configuration (s, &c);
  n->reads++;
  bb_marked_adopt_snapshot (n->m, s, w.now);
  bb_snapshot_free (s);
}

static void
call_store (struct node *n)
{
  struct bb_route_record routes[64];
  struct bb_configuration c = { .version = w.version, .routes = routes };
  struct bb_sync *sync = bb_marked_get_sync (n->m);
  uint64_t held = bb_sync_revision (sync);
  uint64_t revision = bb_revision_make (w.era, w.number);
  if (!bb_sync_may_call_store (sync, w.now))
    n->called = 0;
  else if (n->called == 0)
    n->called = w.now;
  if (n->called == 0 || w.now - n->called < READ_TIME)
    return;
  if (n->is_cut)
    bb_sync_report_store_failure (sync, w.now);
  else if (held == 0 || bb_revision_era (held) != w.era)
    read_whole_store (n);
  else if (held == revision && w.now - n->called < BB_STORE_WATCH_TIME)
    return;
  else
    {
      c.revision = revision;
      c.route_count = list_routes (w.version, revision, routes);
      if (held < bb_revision_make (w.era, w.configured))
        bb_marked_configure (n->m, &c, w.now);
      bb_marked_confirm_revision (n->m, revision, n->called, w.now);
    }
  n->called = 0;
}

static void
run_for (bb_usec time)
{
  for (bb_usec end = w.now + time; w.now < end; w.now += STEP)
    {
      deliver_messages ();
      for (unsigned i = 0; i < NODES; i++)
        {
          struct node *n = &w.nodes[i];
          if (!n->m)
            continue;
          call_store (n);
          if ((w.now / STEP + i) % TICK_STEPS == 0)
            bb_marked_tick (n->m, w.now);
        }
    }
}

static void
check_version_everywhere (uint64_t version)
{
  for (unsigned i = 0; i < NODES; i++)
    {
      ck_assert_msg (has_routes_of (i, version),
                     "balancer %u holds version %u, not %u", i,
                     (unsigned)bb_directory_version (directory_of (i)),
                     (unsigned)version);
      ck_assert_uint_eq (bb_revision_era (bb_sync_revision (sync_of (i))),
                         w.era);
    }
}

static void
start_fleet (void)
{
  w.number = 20;
  w.version = 5;
  w.configured = 20;
  for (unsigned i = 0; i < NODES; i++)
    start_node (i);
  run_for (2 * BB_SEC);
  check_version_everywhere (5);
}

static unsigned
count_reads (void)
{
  unsigned reads = 0;
  for (unsigned i = 0; i < NODES; i++)
    reads += w.nodes[i].reads;
  return reads;
}

/* The store comes back without its last two configurations.  */
static void
return_store (void)
{
  w.era++;
  w.number -= 2;
  w.version -= 2;
  w.configured = w.number;
}

/* Guards against routes that a balancer does not know 3 s after they were
   added, after one return of the store or two in a row, and against a whole
   read by each balancer.  */
START_TEST (routes_are_known_after_returns)
{
  start_fleet ();
  for (int i = 0; i < 3; i++)
    {
      configure_store ();
      run_for (700 * BB_MSEC);
    }
  check_version_everywhere (8);
  for (int i = 0; i <= _i; i++)
    {
      unsigned reads = count_reads ();
      w.batches = 0;
      w.bytes = 0;
      return_store ();
      run_for (500 * BB_MSEC);
      check_version_everywhere (8);
      ck_assert_uint_eq (count_reads (), reads + 1);
      /* The reader sends to its data centre and to the other leader; that one
         to its own.  */
      ck_assert_uint_le (w.batches, 4);
      g_print ("return: 1 read, %u batches, %u bytes in 0.5 s\n", w.batches,
               (unsigned)w.bytes);
      run_for (BB_SEC);
    }
  /* The operator writes again what was lost, and more.  */
  w.version = 7;
  for (int i = 0; i < 3; i++)
    {
      configure_store ();
      run_for (400 * BB_MSEC);
    }
  run_for (BOUND - 400 * BB_MSEC);
  check_version_everywhere (10);
}
END_TEST

/* Guards against a balancer that joins after the return and keeps the
   configuration of the copy, although it reads the store itself.  */
START_TEST (joining_balancer_gets_the_newest_configuration)
{
  start_fleet ();
  configure_store ();
  run_for (BB_SEC);
  return_store ();
  run_for (BB_SEC);
  unsigned joiner = _i ? 0 : 5; /* the reader, or another one */
  stop_node (joiner);
  run_for (300 * BB_MSEC);
  start_node (joiner);
  run_for (BOUND);
  check_version_everywhere (6);
}
END_TEST

/* Guards against followers that wait for heartbeats to get a configuration
   that their leader takes over, or that get its version without the routes. */
START_TEST (kept_configuration_is_passed_on_at_once)
{
  start_node (0);
  start_node (2);
  start_node (4);
  read_store (4, 1, 40, 7, NULL);
  for (unsigned i = 0; i < 4; i += 2)
    {
      read_store (i, 1, 38, 5, NULL);
      read_store (i, 2, COPY, 5, NULL);
    }
  for (int i = 0; i < 100; i++)
    {
      w.now += STEP;
      deliver_messages ();
      if (i % TICK_STEPS == 0)
        bb_marked_tick (w.nodes[i / TICK_STEPS % 2 * 2].m, w.now);
    }
  pass_state (4, 0);
  ck_assert (has_routes_of (0, 7));
  w.now += BB_MSEC;
  deliver_messages ();
  ck_assert (has_routes_of (2, 7));
}
END_TEST

/* Guards against a data centre that stays in the old era because its leader
   missed the return, or because nothing reaches the reader.  */
START_TEST (balancers_that_missed_the_return_follow)
{
  start_fleet ();
  for (unsigned i = 0; i < NODES; i++)
    w.nodes[i].is_cut = i != (unsigned)_i;
  return_store ();
  w.is_silent = true;
  run_for (4 * BB_SEC);
  w.is_silent = false;
  run_for (BOUND);
  configure_store ();
  configure_store ();
  configure_store ();
  run_for (BOUND);
  check_version_everywhere (6);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("era fleet");
  TCase *tc = tcase_create ("returns of the store");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, routes_are_known_after_returns, 0, 2);
  tcase_add_loop_test (tc, joining_balancer_gets_the_newest_configuration, 0,
                       2);
  tcase_add_test (tc, kept_configuration_is_passed_on_at_once);
  tcase_add_loop_test (tc, balancers_that_missed_the_return_follow, 0, 2);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
