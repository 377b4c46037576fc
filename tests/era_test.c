/* Configurations and messages of balancers whose store comes back from an
   older copy.  */

#include "tests/era_fixture.h"

/* Configurations of two balancers: the first one enters the new era from the
   store, the second one gets the state of the first, and of the second, the
   first.  */
static const struct
{
  const char *guards;
  uint64_t reader, copy, peer; /* versions; 0: holds nothing */
} versions[] = {
  { "the copy replaces a newer configuration", 7, 5, 7 },
  { "the configuration of the copy is not taken", 5, 5, 5 },
  { "the reader's state replaces a newer configuration", 5, 5, 7 },
  { "a joining reader keeps the configuration of the copy", 0, 5, 7 },
  { "a joining balancer gets the configuration of the copy", 7, 5, 0 },
  { "an older configuration of the old era is taken", 5, 7, 3 },
};

START_TEST (configuration_never_goes_back)
{
  uint64_t newest
      = MAX (MAX (versions[_i].reader, versions[_i].copy), versions[_i].peer);
  start_node (0);
  start_node (2);
  if (versions[_i].reader)
    read_store (0, 1, 40, versions[_i].reader, NULL);
  if (versions[_i].peer)
    read_store (2, 1, 40, versions[_i].peer, NULL);
  read_store (0, 2, COPY, versions[_i].copy, NULL);
  ck_assert (has_routes_of (0, MAX (versions[_i].reader, versions[_i].copy)));
  uint64_t revision = bb_sync_revision (sync_of (0));
  pass_state (2, 0);
  ck_assert_uint_eq (bb_sync_revision (sync_of (0)), revision);
  pass_state (0, 2);
  pass_state (2, 0);
  ck_assert_msg (has_routes_of (0, newest), "%s", versions[_i].guards);
  ck_assert_msg (has_routes_of (2, newest), "%s", versions[_i].guards);
  ck_assert_uint_eq (bb_sync_revision (sync_of (2)), revision);
}
END_TEST

/* Configurations that the store shows to a balancer that kept version 7.  */
static const struct
{
  const char *guards;
  uint64_t version;
  bool is_divergent; /* after that */
} written[] = {
  { "whole states for ever after the configuration was written again", 7,
    false },
  { "the same after a newer one was written", 8, false },
  { "changes that lack the routes of the version kept", 6, true },
};

START_TEST (written_configuration_ends_the_divergence)
{
  struct bb_route_record routes[64];
  uint64_t revision = bb_revision_make (2, COPY + 1);
  start_node (0);
  start_node (2);
  read_store (0, 1, 40, 7, NULL);
  read_store (0, 2, COPY, 5, NULL);
  pass_state (0, 2);
  ck_assert (w.sent.is_divergent);
  struct bb_configuration c
      = { .version = written[_i].version,
          .revision = revision,
          .routes = routes,
          .route_count = list_routes (written[_i].version, revision, routes) };
  bb_marked_configure (w.nodes[0].m, &c, w.now);
  bb_marked_confirm_revision (w.nodes[0].m, revision, w.now, w.now);
  ck_assert (has_routes_of (0, MAX (written[_i].version, 7)));
  struct bb_endpoint requester = endpoint_of (2);
  struct bb_sync_message m
      = { .kind = BB_SYNC_REQUEST,
          .from = 102,
          .request = { .revision = bb_revision_make (2, COPY) } };
  bb_sync_receive (sync_of (0), &requester, &m, w.now);
  ck_assert_msg (w.sent.is_divergent == written[_i].is_divergent, "%s",
                 written[_i].guards);
  if (!written[_i].is_divergent)
    ck_assert_uint_eq (w.sent.from, 0);
}
END_TEST

/* Changes of a peer whose configuration is, or is not, that of the store.  */
static const struct
{
  const char *guards;
  uint64_t version;  /* of the changes */
  bool is_divergent; /* the sender */
  bool keeps;        /* the receiver kept version 7 */
  bool is_used;
} changes[] = {
  { "changes that are refused", 9, false, false, true },
  { "a version without the routes that the sender kept", 9, true, false,
    false },
  { "routes of the version kept and of the store's", 9, false, true, false },
  { "servers that are refused because of the configuration", 5, false, true,
    true },
};

START_TEST (changes_start_from_the_configuration_held)
{
  start_node (0);
  read_store (0, 1, 40, changes[_i].keeps ? 7 : 5, NULL);
  read_store (0, 2, COPY, 5, NULL);
  struct bb_endpoint from = endpoint_of (2);
  struct bb_sync_message m = {
    .kind = BB_SYNC_RECORDS,
    .from = 102,
    .incarnation = 1,
    .record_chunk
    = { .batch = 1,
        .chunk_count = 1,
        .from = bb_revision_make (2, COPY),
        .to = bb_revision_make (2, COPY + 1),
        .removals_since = bb_revision_make (2, COPY),
        .version = changes[_i].version,
        .is_divergent = changes[_i].is_divergent,
        .servers = { server (BB_SERVER_READY, 100, 2, COPY + 1) },
        .server_count = 1 },
  };
  bb_sync_receive (sync_of (0), &from, &m, w.now);
  ck_assert_msg ((state_at (0) == BB_SERVER_READY) == changes[_i].is_used,
                 "%s", changes[_i].guards);
  ck_assert_uint_eq (bb_revision_number (bb_sync_revision (sync_of (0))),
                     changes[_i].is_used ? COPY + 1 : COPY);
  if (changes[_i].keeps)
    ck_assert (has_routes_of (0, 7));
}
END_TEST

/* Batches that are under way while node 0 goes from era 1 to era 2.  */
static const struct
{
  const char *guards;
  uint64_t era;      /* of the batch */
  bool is_completed; /* after node 0 has entered era 2 from the store */
} batches[] = {
  { "records of the old era in a directory of the new one", 1, true },
  { "records of the new era in a directory of the old one", 2, false },
};

START_TEST (batch_is_of_the_era_held)
{
  start_node (0);
  read_store (0, 1, 40, 5, NULL);
  struct bb_endpoint from = endpoint_of (2);
  struct bb_sync_message m = {
    .kind = BB_SYNC_RECORDS,
    .from = 102,
    .incarnation = 1,
    .record_chunk
    = { .batch = 1,
        .chunk_count = 2,
        .to = bb_revision_make (batches[_i].era, 50),
        .version = 5,
        .servers = { server (BB_SERVER_READY, 100, batches[_i].era, 45) },
        .server_count = 1 },
  };
  bb_sync_receive (sync_of (0), &from, &m, w.now);
  if (batches[_i].is_completed)
    {
      read_store (0, 2, COPY, 5, NULL);
      m.record_chunk.chunk = 1;
      bb_sync_receive (sync_of (0), &from, &m, w.now);
    }
  ck_assert_msg (state_at (0) == BB_SERVER_STATES, "%s", batches[_i].guards);
}
END_TEST

/* Guards against a state of an older era that is said to be fresh, and against
   events of a watch that began in it.  */
START_TEST (late_answers_of_the_old_era_are_ignored)
{
  start_node (0);
  read_store (0, 1, 40, 5, NULL);
  w.now += BB_SEC;
  read_store (0, 2, COPY, 5, NULL);
  bb_usec now = w.now += BB_SEC;
  change_server (0, server (BB_SERVER_READY, 100, 1, 41));
  read_store (0, 1, 45, 9, NULL);
  ck_assert_int_eq (state_at (0), BB_SERVER_STATES);
  ck_assert (has_routes_of (0, 5));
  ck_assert_uint_eq (bb_sync_revision (sync_of (0)),
                     bb_revision_make (2, COPY));
  ck_assert_int_eq (bb_sync_state_age (sync_of (0), now), BB_SEC);
}
END_TEST

/* Guards against a state of the new era that is said to be as fresh as the old
   one was.  */
START_TEST (age_is_that_of_the_new_state)
{
  start_node (0);
  start_node (2);
  read_store (2, 2, COPY, 5, NULL);
  w.now += 1500 * BB_MSEC;
  read_store (0, 1, 40, 5, NULL);
  pass_state (2, 0);
  ck_assert_int_ge (bb_sync_state_age (sync_of (0), w.now), 1500 * BB_MSEC);
}
END_TEST

/* Guards against a version without the routes that its sender had kept since
   an older era, until the store showed a newer configuration.  */
START_TEST (whole_state_replaces_the_configuration)
{
  struct bb_route_record routes[64];
  uint64_t revision = bb_revision_make (2, COPY + 2);
  start_node (0);
  start_node (2);
  read_store (0, 1, 40, 7, NULL);
  read_store (0, 2, COPY, 5, NULL);
  read_store (2, 2, COPY, 5, NULL);
  change_server (2, server (BB_SERVER_READY, 100, 2, COPY + 1));
  struct bb_configuration c
      = { .version = 8, .revision = revision, .routes = routes };
  c.route_count = list_routes (8, revision, routes);
  bb_marked_configure (w.nodes[0].m, &c, w.now);
  bb_marked_confirm_revision (w.nodes[0].m, revision, w.now, w.now);
  pass_state (0, 2);
  ck_assert (has_routes_of (2, 8));
}
END_TEST

/* Guards against whole states instead of changes after a whole read, because
   of a gap in the old era.  */
START_TEST (gaps_of_the_old_era_are_forgotten)
{
  static const uint64_t reads[][2]
      = { { 1, 20 }, { 1, 40 }, { 2, COPY }, { 2, COPY + 3 } };
  uint64_t revision = bb_revision_make (2, COPY);
  start_node (0);
  for (size_t i = 0; i < G_N_ELEMENTS (reads); i++)
    read_store (0, reads[i][0], reads[i][1], 5, NULL);
  struct bb_endpoint requester = endpoint_of (2);
  struct bb_sync_message m = { .kind = BB_SYNC_REQUEST,
                               .from = 102,
                               .request = { .revision = revision } };
  bb_sync_receive (sync_of (0), &requester, &m, w.now);
  ck_assert_uint_eq (w.sent.from, revision);
}
END_TEST

/* Heartbeats to a balancer at (2, COPY) with version 5.  */
static const struct
{
  const char *guards;
  uint64_t era, number, version;
  bool was_refused; /* changes of the sender, before */
  unsigned requests;
  uint64_t requested; /* number; 0: the whole state */
} heartbeats[] = {
  { "a configuration that the store lost", 2, COPY, 7, false, 1, 0 },
  { "the same, of a balancer in the old era", 1, 40, 7, false, 1, 0 },
  { "requests without a cause", 2, COPY, 5, false, 0, 0 },
  { "the state of the old era", 1, 40, 5, false, 0, 0 },
  { "whole states instead of changes", 2, COPY + 1, 5, false, 1, COPY },
  { "changes that are refused again and again", 2, COPY + 1, 9, true, 1, 0 },
};

START_TEST (heartbeat_leads_to_a_request)
{
  start_node (0);
  read_store (0, 2, COPY, 5, NULL);
  struct bb_endpoint from = endpoint_of (2);
  struct bb_sync_message changes_of = {
    .kind = BB_SYNC_RECORDS,
    .from = 102,
    .incarnation = 1,
    .record_chunk = { .batch = 1,
                      .chunk_count = 1,
                      .from = bb_revision_make (2, COPY),
                      .to = bb_revision_make (2, COPY + 1),
                      .version = 9,
                      .is_divergent = true },
  };
  if (heartbeats[_i].was_refused)
    bb_sync_receive (sync_of (0), &from, &changes_of, w.now);
  struct bb_sync_message m = {
    .kind = BB_SYNC_HEARTBEAT,
    .from = 102,
    .incarnation = 1,
    .heartbeat = { .data_centre = 1,
                   .revision = bb_revision_make (heartbeats[_i].era,
                                                 heartbeats[_i].number),
                   .version = heartbeats[_i].version },
  };
  bb_sync_receive (sync_of (0), &from, &m, w.now);
  ck_assert_msg (w.requests == heartbeats[_i].requests, "%s",
                 heartbeats[_i].guards);
  ck_assert_msg (bb_revision_number (w.requested) == heartbeats[_i].requested,
                 "%s", heartbeats[_i].guards);
}
END_TEST

/* Guards against hellos without bound while a data centre has no leader: each
   balancer of it that replies lists further ones.  */
START_TEST (hellos_to_candidates_are_bounded)
{
  enum
  {
    REPLIES = 100,
    BOUND_OF_ROUND = 32
  };
  start_node (0);
  bb_marked_tick (w.nodes[0].m, w.now);
  struct bb_endpoint from = endpoint_of (1);
  struct bb_sync_message m
      = { .kind = BB_SYNC_HEARTBEAT,
          .from = 101,
          .incarnation = 1,
          .heartbeat = { .data_centre = 2,
                         .listed_peer_count = 2,
                         .listed_peers = { { 103, 2, { 3, 7000 } },
                                           { 105, 2, { 5, 7000 } } } } };
  w.is_silent = true;
  w.hellos = 0;
  for (int i = 0; i < REPLIES; i++)
    bb_sync_receive (sync_of (0), &from, &m, w.now);
  ck_assert_uint_gt (w.hellos, 0);
  ck_assert_uint_le (w.hellos, BOUND_OF_ROUND);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("era");
  TCase *tc = tcase_create ("configurations and messages");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, written_configuration_ends_the_divergence, 0,
                       G_N_ELEMENTS (written));
  tcase_add_loop_test (tc, configuration_never_goes_back, 0,
                       G_N_ELEMENTS (versions));
  tcase_add_loop_test (tc, changes_start_from_the_configuration_held, 0,
                       G_N_ELEMENTS (changes));
  tcase_add_loop_test (tc, batch_is_of_the_era_held, 0,
                       G_N_ELEMENTS (batches));
  tcase_add_test (tc, late_answers_of_the_old_era_are_ignored);
  tcase_add_test (tc, age_is_that_of_the_new_state);
  tcase_add_test (tc, gaps_of_the_old_era_are_forgotten);
  tcase_add_test (tc, whole_state_replaces_the_configuration);
  tcase_add_loop_test (tc, heartbeat_leads_to_a_request, 0,
                       G_N_ELEMENTS (heartbeats));
  tcase_add_test (tc, hellos_to_candidates_are_bounded);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
