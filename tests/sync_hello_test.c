/* Number of messages by which balancers find each other.  */

#include "tests/sync_fixture.h"

enum
{
  LISTED = 3,   /* balancers of a data centre without a leader */
  REPLIES = 50, /* that arrive at once */
};

static void
setup (void)
{
  start_cluster (2, 1);
}

/* Guards against a storm of messages while a data centre has no leader: each
   reply lists its balancers, and each of them was contacted for each reply. */
START_TEST (replies_cause_few_messages)
{
  const struct node *n = &sim.nodes[0];
  struct bb_endpoint from = endpoint_of (1);
  struct bb_sync_message m = { .kind = BB_SYNC_HEARTBEAT,
                               .from = 300,
                               .incarnation = 1,
                               .heartbeat = { .data_centre = 9,
                                              .capacity = 100,
                                              .verified_ms = UINT32_MAX,
                                              .listed_peer_count = LISTED } };
  for (uint32_t i = 0; i < LISTED; i++)
    m.heartbeat.listed_peers[i]
        = (struct bb_sync_vm){ 301 + i, 9, endpoint_of (1) };
  bb_sync_tick (n->sync, sim.now);
  unsigned before = sim.tail;
  for (unsigned i = 0; i < REPLIES; i++)
    bb_sync_receive (n->sync, &from, &m, sim.now + i);
  ck_assert_uint_ge (sim.tail - before, 1);
  ck_assert_uint_le (sim.tail - before, LISTED);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sync hello");
  TCase *tc = tcase_create ("messages");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, replies_cause_few_messages);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
