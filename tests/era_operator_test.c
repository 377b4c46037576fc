/* Evacuations and limits of services when the store comes back from an older
   copy.  */

#include "tests/era_fixture.h"

static void
begin_evacuation (unsigned index, uint64_t era, uint64_t number)
{
  const struct bb_evacuation_record r
      = { .data_centre = "dc-0",
          .is_active = true,
          .revision = bb_revision_make (era, number) };
  bb_marked_put_evacuation (w.nodes[index].m, &r, w.now);
  bb_marked_confirm_revision (w.nodes[index].m, r.revision, w.now, w.now);
}

static void
pass_time (bb_usec time)
{
  w.now += time;
  bb_marked_tick (w.nodes[0].m, w.now);
}

/* Guards against new flows to an evacuated data centre: the request was lost
   with the first return and is written again only after a second one.  */
START_TEST (evacuation_is_held_from_the_last_return)
{
  start_node (0);
  read_store (0, 1, 10, 3, NULL);
  begin_evacuation (0, 1, 20);
  read_store (0, 2, COPY, 3, NULL);
  pass_time (1500 * BB_MSEC);
  read_store (0, 3, COPY, 3, NULL);
  pass_time (1500 * BB_MSEC);
  ck_assert (bb_directory_is_evacuated (directory_of (0), "dc-0"));
  pass_time (BB_EXPIRY_GRACE_TIME);
  ck_assert (!bb_directory_is_evacuated (directory_of (0), "dc-0"));
}
END_TEST

/* Guards against a limit above the revision that is reported: a later change
   of it would be ignored.  */
START_TEST (limits_that_are_kept_are_not_newer_than_the_state)
{
  struct bb_service_record limit
      = { .service = bb_name_key ("desk"), .cold_rate = 1000, .revision = 70 };
  struct bb_endpoint from = endpoint_of (2);
  struct bb_sync_message m = { .kind = BB_SYNC_RECORDS,
                               .from = 102,
                               .incarnation = 1,
                               .record_chunk = { .batch = 1,
                                                 .chunk_count = 1,
                                                 .to = 60,
                                                 .version = 5,
                                                 .has_evacuations = true } };
  start_node (0);
  bb_directory_configure (directory_of (0),
                          &(struct bb_configuration){ .version = 7,
                                                      .revision = 70,
                                                      .services = &limit,
                                                      .service_count = 1 },
                          w.now);
  bb_sync_receive (sync_of (0), &from, &m, w.now);
  ck_assert_uint_eq (bb_sync_revision (sync_of (0)), 60);
  const struct bb_link *head = bb_directory_service_limits (directory_of (0));
  ck_assert (head->next != head);
  ck_assert_uint_le (
      BB_LINKED (head->next, struct bb_service_limit, by_revision)
          ->record.revision,
      60);
}
END_TEST

/* Guards against a balancer that requests the same changes again and again
   while the store is away.  It got changes without evacuations, so it requests
   those from before them; the sender's lack removals since.  */
START_TEST (changes_that_lack_removals_lead_to_a_whole_state)
{
  enum
  {
    COMPLETE = 10,
    HELD = 20,
    NEWEST = 40
  };
  struct bb_endpoint from = endpoint_of (2);
  struct bb_sync_message m = { .kind = BB_SYNC_RECORDS,
                               .from = 102,
                               .incarnation = 1,
                               .record_chunk = { .batch = 1,
                                                 .chunk_count = 1,
                                                 .from = COMPLETE,
                                                 .to = HELD,
                                                 .version = 3 } };
  struct bb_sync_message heartbeat
      = { .kind = BB_SYNC_HEARTBEAT,
          .from = 102,
          .incarnation = 1,
          .heartbeat
          = { .data_centre = 1, .revision = NEWEST, .version = 3 } };
  start_node (0);
  read_store (0, 0, COMPLETE, 3, NULL);
  bb_sync_receive (sync_of (0), &from, &m, w.now);
  ck_assert_uint_eq (bb_sync_complete_revision (sync_of (0)), COMPLETE);
  m.record_chunk.batch++;
  m.record_chunk.to = NEWEST;
  m.record_chunk.removals_since = NEWEST - 5;
  m.record_chunk.has_evacuations = true;
  bb_sync_receive (sync_of (0), &from, &m, w.now);
  ck_assert_uint_eq (bb_sync_revision (sync_of (0)), HELD);
  bb_sync_receive (sync_of (0), &from, &heartbeat, w.now);
  ck_assert_uint_eq (w.requests, 1);
  ck_assert_uint_eq (w.requested, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("era operator");
  TCase *tc = tcase_create ("what the operator wrote");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, evacuation_is_held_from_the_last_return);
  tcase_add_test (tc, limits_that_are_kept_are_not_newer_than_the_state);
  tcase_add_test (tc, changes_that_lack_removals_lead_to_a_whole_state);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
