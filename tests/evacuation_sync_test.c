/* Evacuations among several balancers: when each of them knows of one that the
   store shows, under faults.  */

#include "tests/sync_fixture.h"

enum
{
  FLEET = 9,
  FLEET_DATA_CENTRES = 3,
  VICTIM = 5, /* the balancer that faults concern */
};

/* Time limit from what the store shows to the last balancer in touch.  */
#define EVACUATION_BOUND BB_SEC

#define DATA_CENTRE "dc-1"

/* Revisions at which the evacuation last began and ended in the store.  */
static uint64_t begun, ended;

static void
put (const struct node *n, bool is_active, uint64_t revision)
{
  const struct bb_evacuation_record r = { .data_centre = DATA_CENTRE,
                                          .is_active = is_active,
                                          .revision = revision };
  bb_directory_put_evacuation (n->directory, &r, sim.now);
}

static void
deliver (struct node *n, uint64_t after)
{
  if (begun > after && (after > 0 || ended < begun))
    put (n, true, begun);
  if (ended > after && after > 0)
    put (n, false, ended);
}

static void
setup (void)
{
  start_cluster (FLEET, FLEET_DATA_CENTRES);
  sim.deliver = deliver;
  begun = ended = 0;
  run_for (2 * BB_SEC);
}

static void
begin_evacuation (void)
{
  begun = ++sim.revision;
  sim.changed[begun] = sim.now;
}

static void
end_evacuation (void)
{
  ended = ++sim.revision;
  sim.changed[ended] = sim.now;
}

static bool
is_evacuated (const struct node *n)
{
  return bb_directory_is_evacuated (n->directory, DATA_CENTRE);
}

/* Runs for TIME.  A balancer that holds a configuration must always know of
   the evacuation: it places flows.  */
static void
run_evacuated (bb_usec time)
{
  for (bb_usec end = sim.now + time; sim.now < end;)
    {
      run_for (STEP);
      for (unsigned i = 0; i < FLEET; i++)
        {
          const struct node *n = &sim.nodes[i];
          if (n->is_up && bb_directory_version (n->directory) > 0)
            ck_assert_msg (is_evacuated (n), "%.3f s: balancer %u",
                           (double)sim.now / BB_SEC, i);
        }
    }
}

static void
begin_and_spread (void)
{
  begin_evacuation ();
  run_for (EVACUATION_BOUND);
}

static void
restart (unsigned index)
{
  stop_node (index);
  start_node (index);
}

static void
set_refused (bool refused)
{
  for (unsigned i = 0; i < FLEET; i++)
    {
      sim.nodes[i].refused = refused;
      sim.nodes[i].last_fault = sim.now + (refused ? RUN_TIME : 0);
    }
}

/* Faults.  */

static void
kill_the_reader_that_knows (void)
{
  struct node *reader = find_reader ();
  begin_evacuation ();
  while (!is_evacuated (reader))
    run_for (STEP);
  stop_node (reader->index);
}

static void
restart_all (void)
{
  begin_and_spread ();
  for (unsigned i = 0; i < FLEET; i++)
    restart (i);
  run_evacuated (BOUND);
}

static void
join (void)
{
  stop_node (VICTIM);
  begin_and_spread ();
  start_node (VICTIM);
  run_evacuated (BOUND);
}

static void
join_without_store (void)
{
  begin_and_spread ();
  set_refused (true);
  run_evacuated (2 * BB_SEC);
  restart (VICTIM);
  set_refused (true);
  run_evacuated (BOUND);
  ck_assert_uint_gt (bb_directory_version (sim.nodes[VICTIM].directory), 0);
}

static void
store_silent (void)
{
  begin_and_spread ();
  for (unsigned i = 0; i < FLEET; i++)
    {
      sim.nodes[i].silent = true;
      sim.nodes[i].last_fault = sim.now + RUN_TIME;
    }
  run_evacuated (10 * BB_SEC);
}

static void
freeze (void)
{
  sim.nodes[VICTIM].frozen = true;
  begin_evacuation ();
  run_for (3 * BB_SEC);
  sim.nodes[VICTIM].frozen = false;
  sim.nodes[VICTIM].last_fault = sim.now;
}

static void
freeze_while_taken_back (void)
{
  begin_and_spread ();
  sim.nodes[VICTIM].frozen = true;
  end_evacuation ();
  run_for (3 * BB_SEC);
  sim.nodes[VICTIM].frozen = false;
  sim.nodes[VICTIM].last_fault = sim.now;
}

static void
freeze_while_written_again (void)
{
  begin_and_spread ();
  sim.nodes[VICTIM].frozen = true;
  end_evacuation ();
  run_for (100 * BB_MSEC);
  begin_evacuation ();
  run_for (3 * BB_SEC);
  sim.nodes[VICTIM].frozen = false;
  sim.nodes[VICTIM].last_fault = sim.now;
}

/* A data centre that reaches neither the store nor the others.  */
static void
cut_data_centre (void)
{
  for (unsigned i = VICTIM % FLEET_DATA_CENTRES; i < FLEET;
       i += FLEET_DATA_CENTRES)
    {
      sim.nodes[i].cut = sim.nodes[i].refused = true;
      sim.nodes[i].last_fault = sim.now + RUN_TIME;
    }
  begin_evacuation ();
  run_for (4 * BB_SEC);
  set_refused (false);
  for (unsigned i = 0; i < FLEET; i++)
    sim.nodes[i].cut = false;
}

static void
take_back_within_a_heartbeat (void)
{
  begin_evacuation ();
  run_for (2 * STEP);
  end_evacuation ();
}

static void
write_again (void)
{
  begin_and_spread ();
  end_evacuation ();
  run_for (2 * STEP);
  begin_evacuation ();
}

static void
lose_messages (void)
{
  sim.loss = 20;
  begin_evacuation ();
}

static const struct
{
  const char *description;
  void (*fault) (void);
  bb_usec within; /* until all balancers that are up agree */
  bool is_evacuated;
} cases[] = {
  { "no fault", begin_evacuation, EVACUATION_BOUND, true },
  { "the only balancer that read it dies", kill_the_reader_that_knows, BOUND,
    true },
  { "all restart", restart_all, 0, true },
  { "one joins", join, 0, true },
  { "one joins while the store is away", join_without_store, 0, true },
  { "the store is silent", store_silent, 0, true },
  { "one is frozen", freeze, EVACUATION_BOUND, true },
  { "one is frozen while it is taken back", freeze_while_taken_back,
    EVACUATION_BOUND, false },
  { "one is frozen while it is taken back and written again",
    freeze_while_written_again, EVACUATION_BOUND, true },
  { "a data centre is cut off", cut_data_centre, BOUND, true },
  { "it is taken back within a heartbeat", take_back_within_a_heartbeat,
    EVACUATION_BOUND, false },
  { "it is written again", write_again, EVACUATION_BOUND, true },
  { "messages are lost", lose_messages, BOUND, true },
};

START_TEST (all_balancers_know_in_time)
{
  cases[_i].fault ();
  run_for (cases[_i].within);
  for (unsigned i = 0; i < FLEET; i++)
    ck_assert_msg (!sim.nodes[i].is_up
                       || is_evacuated (&sim.nodes[i])
                              == cases[_i].is_evacuated,
                   "%s: balancer %u", cases[_i].description, i);
}
END_TEST

/* Records that balancer 0, which has read everything up to REVISION_HELD,
   receives, and the revisions that it then reports.  */
#define REVISION_HELD 40

static const struct
{
  const char *guards;
  uint64_t from, to;
  bool has_evacuations;
  uint64_t revision, complete;
} batches[] = {
  { "changes that are taken for complete ones", 40, 50, false, 50, 40 },
  { "a whole state that is taken for a complete one", 0, 50, false, 50, 40 },
  { "a store that is read for nothing", 0, 40, false, 40, 40 },
  { "complete changes that are not believed", 40, 50, true, 50, 50 },
};

START_TEST (older_builds_send_no_evacuations)
{
  const struct node *n = &sim.nodes[0];
  struct bb_endpoint from = endpoint_of (1);
  struct bb_sync_message m
      = { .kind = BB_SYNC_RECORDS,
          .from = 101,
          .incarnation = 1,
          .record_chunk = { .batch = 1,
                            .chunk_count = 1,
                            .from = batches[_i].from,
                            .to = batches[_i].to,
                            .has_evacuations = batches[_i].has_evacuations,
                            .version = 1 } };
  begun = 30;
  put (n, true, begun);
  bb_sync_confirm_revision (n->sync, REVISION_HELD, sim.now, sim.now);
  bb_sync_receive (n->sync, &from, &m, sim.now);
  ck_assert_msg (bb_sync_revision (n->sync) == batches[_i].revision
                     && bb_sync_complete_revision (n->sync)
                            == batches[_i].complete,
                 "%s", batches[_i].guards);
  ck_assert (is_evacuated (n));
  bb_sync_tick (n->sync, sim.now + BB_SEC);
  ck_assert_msg (batches[_i].revision == batches[_i].complete
                     || bb_sync_is_reader (n->sync),
                 "%s", batches[_i].guards);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("evacuation, several balancers");
  TCase *tc = tcase_create ("faults");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, all_balancers_know_in_time, 0,
                       G_N_ELEMENTS (cases));
  suite_add_tcase (suite, tc);
  tc = tcase_create ("older builds");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, older_builds_send_no_evacuations, 0,
                       G_N_ELEMENTS (batches));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
