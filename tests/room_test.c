/* Reports of demand and of the room in other data centres.  */

#include "marked/sync/sync.h"
#include "tests/suite.h"

enum
{
  SELF = 1,
  PEER = 2,
};

static struct
{
  struct bb_directory *directory;
  struct bb_sync *sync;
  struct bb_server_group *group;
  struct bb_sync_heartbeat sent; /* last one with loads or rooms */
} t;

static void
keep_sent (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_sync_message *message)
{
  (void)context;
  (void)to;
  (void)count;
  if (message->kind == BB_SYNC_HEARTBEAT)
    t.sent = message->heartbeat;
}

static void
ignore_event (void *context, const struct bb_event *event)
{
  (void)context;
  (void)event;
}

static void
ignore_server (void *context, struct bb_backend_server *server)
{
  (void)context;
  (void)server;
}

static const struct bb_sync_sink sink
    = { .send = keep_sent, .event = ignore_event, .server = ignore_server };

static void
add_server (const char *name, const char *data_centre, int busy)
{
  struct bb_server_record r = { .service = "desk",
                                .address = { 0x0a000001, 8080 },
                                .slots = 2,
                                .revision = 1,
                                .created = 1 };
  struct bb_backend_server *s;
  g_strlcpy (r.name, name, sizeof r.name);
  g_strlcpy (r.data_centre, data_centre, sizeof r.data_centre);
  bb_directory_put (t.directory, &r, 0, &s);
  s->load.busy = s->load.open = busy;
}

static void
setup (void)
{
  struct bb_sync_options options
      = { .self = { SELF, bb_name_key ("north"), { SELF, 7000 } },
          .incarnation = 1,
          .capacity = 1000,
          .seed = 1 };
  t.directory = bb_directory_new ("north");
  t.sync = bb_sync_new (&options, t.directory, &sink, NULL, BB_SEC);
  add_server ("n-1", "north", 3);
  add_server ("n-2", "north", 0);
  add_server ("s-1", "south", 1);
  t.group = bb_directory_find_service (t.directory, bb_name_key ("desk"));
}

static void
teardown (void)
{
  bb_sync_free (t.sync);
  bb_directory_free (t.directory);
}

static struct bb_backend_server *
first_server (void)
{
  return bb_directory_find_server (t.directory, "n-1");
}

static void
receive (const char *data_centre, uint32_t flags, uint32_t rate,
         const struct bb_sync_room *room, bb_usec now)
{
  struct bb_sync_message m
      = { .kind = BB_SYNC_HEARTBEAT, .from = PEER, .incarnation = 1 };
  struct bb_endpoint from = { PEER, 7000 };
  m.heartbeat = (struct bb_sync_heartbeat){
    .data_centre = bb_name_key (data_centre),
    .flags = flags,
    .capacity = 500,
    .demands = { { bb_name_key ("desk"), rate } },
    .demand_count = 1,
    .loads = { { .cookie = first_server ()->cookie, .open = 7 } },
    .load_count = 1,
  };
  if (room)
    m.heartbeat.rooms[m.heartbeat.room_count++] = *room;
  bb_sync_receive (t.sync, &from, &m, now);
}

/* Guards against reports of those that cannot know, of the own data centre, of
   services that are not listed, and against old ones that replace newer ones.
   A report of 10 pending requests in "south" is held, 0.5 s old.  */
static const struct
{
  const char *description;
  const char *sender; /* data centre */
  uint32_t flags;
  const char *data_centre;
  const char *service;
  uint32_t age_ms;
  bool is_kept;
} reports[] = {
  { "its leader", "south", BB_SYNC_LEADER, "south", "desk", 0, true },
  { "the own leader passes it on", "north", BB_SYNC_LEADER, "south", "desk",
    300, true },
  { "not a leader", "south", 0, "south", "desk", 0, false },
  { "the leader of a third data centre", "east", BB_SYNC_LEADER, "south",
    "desk", 0, false },
  { "an older report", "north", BB_SYNC_LEADER, "south", "desk", 900, false },
  { "an unknown age", "north", BB_SYNC_LEADER, "south", "desk", UINT32_MAX,
    false },
  { "the own data centre", "south", BB_SYNC_LEADER, "north", "desk", 0,
    false },
  { "an unknown service", "south", BB_SYNC_LEADER, "south", "other", 0,
    false },
};

START_TEST (reports_are_kept_from_those_who_know)
{
  const bb_usec now = 10 * BB_SEC;
  struct bb_sync_room room
      = { bb_name_key ("south"), bb_name_key ("desk"), 10, 80, 0 };
  receive ("south", BB_SYNC_LEADER, 0, &room, now - 500 * BB_MSEC);
  room = (struct bb_sync_room){ bb_name_key (reports[_i].data_centre),
                                bb_name_key (reports[_i].service), 77, 80,
                                reports[_i].age_ms };
  receive (reports[_i].sender, reports[_i].flags, 0, &room, now);
  const struct bb_room *held = &t.group->rooms.items[0];
  ck_assert (bb_room_is_known (held, now));
  ck_assert_uint_eq (held->data_centre, bb_name_key ("south"));
  ck_assert_msg (held->pending == (reports[_i].is_kept ? 77 : 10), "%s",
                 reports[_i].description);
  ck_assert_uint_eq (t.group->rooms.items[1].updated, 0);
  ck_assert (!bb_room_is_known (held, now + BB_ROOM_AGE_MAX + 1));
}
END_TEST

/* Guards against rooms that no one reports: a leader tells other leaders of
   its own servers, and its data centre of the others'.  */
START_TEST (leaders_report_rooms)
{
  struct bb_sync_room room
      = { bb_name_key ("south"), bb_name_key ("desk"), 10, 80, 100 };
  receive ("south", BB_SYNC_LEADER, 0, &room, 2 * BB_SEC);
  bb_sync_tick (t.sync, 2 * BB_SEC);
  ck_assert_uint_eq (t.sent.data_centre, bb_name_key ("north"));
  ck_assert_uint_eq (t.sent.room_count, 1);
  ck_assert_uint_eq (t.sent.rooms[0].data_centre, bb_name_key ("north"));
  ck_assert_uint_eq (t.sent.rooms[0].pending, 3);
  ck_assert_uint_eq (t.sent.rooms[0].slots, 4);
  ck_assert_uint_eq (t.sent.demand_count, 0);
  teardown ();
  setup ();
  receive ("south", BB_SYNC_LEADER, 0, &room, 2 * BB_SEC);
  receive ("north", 0, 0, NULL, 2 * BB_SEC);
  t.sent = (struct bb_sync_heartbeat){ 0 };
  bb_demand_add_flow (&t.group->demand, 2 * BB_SEC);
  bb_sync_tick (t.sync, 2 * BB_SEC);
  ck_assert_uint_eq (t.sent.room_count, 1);
  ck_assert_uint_eq (t.sent.rooms[0].data_centre, bb_name_key ("south"));
  ck_assert_uint_eq (t.sent.rooms[0].pending, 10);
  ck_assert_uint_eq (t.sent.rooms[0].age_ms, 100);
  ck_assert_uint_eq (t.sent.demands[0].rate, 1000);
}
END_TEST

/* Guards against demand of balancers that are gone or elsewhere.  The peer
   places 10 flows per second.  */
static const struct
{
  const char *description;
  const char *data_centre;
  bb_usec silent;
  double least; /* flows that no report shows */
  double most;
} demands[] = {
  { "a fresh report", "north", 0, 3, 3 },
  { "two lost reports", "north", 900 * BB_MSEC, 9, 9 },
  { "a peer that is lost", "north", 1100 * BB_MSEC, 0, 0 },
  { "another data centre", "south", 0, 0, 0 },
};

START_TEST (demand_is_of_live_peers)
{
  bb_usec now = 2 * BB_SEC;
  receive (demands[_i].data_centre, 0, 10000, NULL, now);
  bb_sync_tick (t.sync, now + demands[_i].silent);
  double flows = t.group->demand.peer_flows;
  ck_assert_msg (flows >= demands[_i].least - 0.01
                     && flows <= demands[_i].most + 0.01,
                 "%s: %f flows", demands[_i].description, flows);
}
END_TEST

/* Guards against a hello, which has no reports, that removes those of the last
   heartbeat, and against those of a balancer that has started again.
   Balancers send a hello to the seeds every two seconds.  */
START_TEST (hello_keeps_reports)
{
  bb_usec now = 2 * BB_SEC;
  struct bb_sync_message hello
      = { .kind = BB_SYNC_HEARTBEAT,
          .from = PEER,
          .incarnation = 1 + (uint64_t)_i,
          .heartbeat
          = { .data_centre = bb_name_key ("north"), .flags = BB_SYNC_HELLO } };
  const struct bb_endpoint from = { PEER, 7000 };
  receive ("north", 0, 10000, NULL, now);
  ck_assert_int_eq (first_server ()->load.peer_open, 7);
  bb_sync_receive (t.sync, &from, &hello, now + 50 * BB_MSEC);
  bb_sync_tick (t.sync, now + 100 * BB_MSEC);
  ck_assert_double_eq_tol (t.group->demand.peer_flows, _i ? 0 : 3, 0.01);
  ck_assert_int_eq (first_server ()->load.peer_open, _i ? 0 : 7);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("rooms");
  TCase *tc = tcase_create ("reports");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, reports_are_kept_from_those_who_know, 0,
                       G_N_ELEMENTS (reports));
  tcase_add_test (tc, leaders_report_rooms);
  tcase_add_loop_test (tc, demand_is_of_live_peers, 0, G_N_ELEMENTS (demands));
  tcase_add_loop_test (tc, hello_keeps_reports, 0, 2);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
