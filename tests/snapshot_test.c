/* Whole reads of the store: what a balancer that reads, and its peers, hold
   and report after them.  */

#include "marked/balancer.h"
#include "tests/suite.h"
#include <string.h>

static struct
{
  struct bb_marked *m;
  struct bb_sync_records sent[16]; /* records that the balancer sent */
  unsigned sent_count;
} t;

static const struct bb_endpoint requester = { 0x0a000002, 7000 };

static void
sink_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_sync_message *message)
{
  (void)context;
  (void)to;
  (void)count;
  if (message->kind != BB_SYNC_RECORDS)
    return;
  ck_assert_uint_lt (t.sent_count, G_N_ELEMENTS (t.sent));
  t.sent[t.sent_count++] = message->record_chunk;
}

static void
sink_event (void *context, const struct bb_event *event)
{
  (void)context;
  (void)event;
}

static void
sink_server (void *context, const struct bb_backend_server *server)
{
  (void)context;
  (void)server;
}

static const struct bb_marked_sink sink = {
  .send = sink_send,
  .event = sink_event,
  .server = sink_server,
};

static void
setup (void)
{
  struct bb_marked_options options = {
    .sync_options
    = { .self = { .id = 1, .data_centre = bb_name_key ("north") },
        .capacity = 1000,
        .seed = 1 },
    .data_centre = "north",
    .flow_capacity = 256,
    .idle_ms = 15000,
  };
  memset (&t, 0, sizeof t);
  t.m = bb_marked_new (&options, &sink, NULL, 0);
}

static void
teardown (void)
{
  bb_marked_free (t.m);
}

/* Reads a store without servers, whose configuration has one route.  */
static void
read_store (uint64_t revision, uint64_t version, bb_usec now)
{
  struct bb_route_record route = { .address = { 0xc6120001, 443 },
                                   .shares = { { bb_name_key ("desk"), 1 } },
                                   .share_count = 1,
                                   .revision = revision };
  struct bb_snapshot *s = bb_snapshot_new (now);
  s->revision = revision;
  bb_snapshot_set_configuration (
      s, &(struct bb_configuration){ .version = version,
                                     .revision = revision,
                                     .routes = &route,
                                     .route_count = 1 });
  bb_marked_adopt_snapshot (t.m, s, now);
  bb_snapshot_free (s);
}

static void
request_records (uint64_t revision, bb_usec now)
{
  struct bb_sync_message m = { .kind = BB_SYNC_REQUEST,
                               .from = 2,
                               .request = { .revision = revision } };
  t.sent_count = 0;
  bb_sync_receive (bb_marked_get_sync (t.m), &requester, &m, now);
}

/* Requests to a balancer that held revision 40, and after that read the whole
   store at revision 60.  */
static const struct
{
  const char *description;
  uint64_t revision; /* of the one that requests */
  bool is_whole;     /* the whole state is sent */
} requests[] = {
  { "the revision held before the read", 40, false },
  { "a revision that the read skipped", 41, true },
  { "the last revision that the read skipped", 59, true },
  { "a revision before the first read", 39, true },
  { "nothing", 0, true },
};

/* Guards against a route that stays in force at one balancer: it was added and
   dropped between two reads of another one, which therefore has no record of
   its removal.  */
START_TEST (read_records_what_it_skipped)
{
  read_store (40, 4, BB_SEC);
  read_store (60, 6, 2 * BB_SEC);
  request_records (requests[_i].revision, 2 * BB_SEC);
  ck_assert_uint_eq (t.sent_count, 1);
  ck_assert_msg ((t.sent[0].from == 0) == requests[_i].is_whole, "%s",
                 requests[_i].description);
}
END_TEST

/* Guards against a route in force that a peer refuses: it was dropped and
   added again between two reads of this balancer, and the peer recorded its
   removal.
 */
START_TEST (read_renews_its_routes)
{
  read_store (40, 4, BB_SEC);
  read_store (60, 6, 2 * BB_SEC);
  request_records (40, 2 * BB_SEC);
  ck_assert_uint_eq (t.sent_count, 1);
  ck_assert_uint_eq (t.sent[0].from, 40);
  ck_assert_uint_eq (t.sent[0].route_count, 1);
  ck_assert_uint_eq (t.sent[0].routes[0].revision, 60);
}
END_TEST

/* Guards against missing removals at a balancer that got the result of such a
   read from a peer, as changes or as a whole state.  */
START_TEST (peers_record_what_a_read_skipped)
{
  read_store (40, 4, BB_SEC);
  struct bb_sync_message m = {
    .kind = BB_SYNC_RECORDS,
    .from = 3,
    .incarnation = 1,
    .record_chunk = { .batch = 1,
                      .chunk_count = 1,
                      .from = _i ? 40 : 0,
                      .to = 60,
                      .removals_since = 60,
                      .version = 6 },
  };
  bb_sync_receive (bb_marked_get_sync (t.m), &requester, &m, 2 * BB_SEC);
  ck_assert_uint_eq (bb_sync_revision (bb_marked_get_sync (t.m)), 60);
  request_records (50, 2 * BB_SEC);
  ck_assert_uint_eq (t.sent_count, 1);
  ck_assert_uint_eq (t.sent[0].from, 0);
  request_records (40, 2 * BB_SEC);
  ck_assert_uint_eq (t.sent[0].from, 40);
}
END_TEST

/* Changes that a balancer at revision 50 receives.  */
static const struct
{
  const char *description;
  uint64_t from;
  uint64_t removals_since;
  bool is_used;
} changes[] = {
  { "changes from the revision held", 50, 60, true },
  { "changes from before it, with all removals", 40, 45, true },
  { "changes from before it, with removals from a later revision on", 40, 60,
    false },
};

/* Guards against a dropped route that stays in force: it was added and dropped
   while the sender skipped these revisions.  */
START_TEST (changes_must_have_all_removals)
{
  read_store (50, 4, BB_SEC);
  struct bb_sync_message m = {
    .kind = BB_SYNC_RECORDS,
    .from = 3,
    .incarnation = 1,
    .record_chunk = { .batch = 1,
                      .chunk_count = 1,
                      .from = changes[_i].from,
                      .to = 60,
                      .removals_since = changes[_i].removals_since,
                      .version = 6 },
  };
  bb_sync_receive (bb_marked_get_sync (t.m), &requester, &m, 2 * BB_SEC);
  ck_assert_msg ((bb_sync_revision (bb_marked_get_sync (t.m)) == 60)
                     == changes[_i].is_used,
                 "%s", changes[_i].description);
}
END_TEST

/* Guards against the same at the sender: a follower that is ahead of it before
   its read is sent the whole state.  */
START_TEST (follower_inside_a_gap_gets_the_whole_state)
{
  read_store (40, 4, BB_SEC);
  struct bb_sync_message m
      = { .kind = BB_SYNC_HEARTBEAT,
          .from = 2,
          .incarnation = 1,
          .heartbeat = { .data_centre = bb_name_key ("north"),
                         .capacity = 100,
                         .revision = 50,
                         .verified_ms = UINT32_MAX } };
  bb_sync_receive (bb_marked_get_sync (t.m), &requester, &m, BB_SEC);
  bb_marked_tick (t.m, BB_SEC);
  t.sent_count = 0;
  read_store (60, 6, BB_SEC + 100 * BB_MSEC);
  ck_assert_uint_eq (t.sent_count, 1);
  ck_assert_uint_eq (t.sent[0].from, 0);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("snapshot");
  TCase *tc = tcase_create ("whole reads");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, read_records_what_it_skipped, 0,
                       G_N_ELEMENTS (requests));
  tcase_add_test (tc, read_renews_its_routes);
  tcase_add_loop_test (tc, peers_record_what_a_read_skipped, 0, 2);
  tcase_add_loop_test (tc, changes_must_have_all_removals, 0,
                       G_N_ELEMENTS (changes));
  tcase_add_test (tc, follower_inside_a_gap_gets_the_whole_state);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
