/* Names whose hashes of 32 bits are equal, searched for here in a moment: two
   services, data centres, balancers or servers stay two.  */

#include "marked/sync/sync_private.h"
#include "runtime/names.h"
#include "tests/marked_fixture.h"
#include "wire/sync.h"

enum
{
  NAME_SIZE = 24,
  SECOND_PORT = 444,
  FLOWS = 40,
  /* Bytes of the digests of one service at the end of a message.  */
  DIGEST_BYTES = 1 + 2 * 9,
};

/* After this time a balancer does not accept any cookie any more.  */
#define LATER (2 * BB_DIRECTORY_RETENTION)

static struct
{
  char names[2][NAME_SIZE];
  struct bb_directory *directory;
  struct bb_sync *sync;
  struct bb_sync_heartbeat sent;
} c;

static uint32_t
first_cookie (const char *name)
{
  return bb_server_cookie (name, 0);
}

/* Finds two names of which HASH is equal.  */
static void
find_names (uint32_t (*hash) (const char *name))
{
  GHashTable *seen = g_hash_table_new (NULL, NULL);
  for (guint i = 1;; i++)
    {
      g_snprintf (c.names[1], NAME_SIZE, "desk-%u", i);
      gpointer key = GUINT_TO_POINTER (hash (c.names[1]));
      guint other = GPOINTER_TO_UINT (g_hash_table_lookup (seen, key));
      g_snprintf (c.names[0], NAME_SIZE, "desk-%u", other);
      if (other != 0)
        break;
      g_hash_table_insert (seen, key, GUINT_TO_POINTER (i));
    }
  g_hash_table_unref (seen);
}

static void
setup_names (void)
{
  setup ();
  find_names (bb_name_key);
}

static uint64_t
key_of (unsigned index)
{
  return bb_key (c.names[index]);
}

START_TEST (keys_of_colliding_names_differ)
{
  uint64_t a = key_of (0), b = key_of (1);
  struct bb_digest digest = bb_key_digest (b);
  ck_assert_uint_ne (a, b);
  ck_assert_uint_eq (bb_key_hash (a), bb_key_hash (b));
  ck_assert_uint_eq (bb_key_receive (bb_key_hash (b), &digest), b);
  ck_assert (bb_key_is_shared (a) && bb_key_is_shared (b));
  ck_assert (!bb_key_is_same (a, b));
  /* An older build may mean either.  */
  uint64_t unnamed = bb_key_of_hash (bb_key_hash (a));
  ck_assert (!bb_key_is_same (unnamed, a) && !bb_key_is_same (unnamed, b));
  unnamed = bb_key_of_hash (bb_name_key ("alone"));
  ck_assert (bb_key_is_same (unnamed, bb_key ("alone")));
}
END_TEST

/* Guards against datagrams from anyone that fill the memory with names.  */
START_TEST (names_of_peers_are_bounded)
{
  struct bb_digest digest = { { 1, 0 } };
  for (uint32_t i = 1; i <= BB_KEYS_RECEIVED_MAX; i++)
    {
      digest.words[1] = i;
      ck_assert_uint_eq (bb_key_receive (i, &digest), i);
    }
  digest.words[0]++;
  ck_assert_uint_eq (bb_key_receive (1, &digest), bb_key_of_hash (1));
  /* Names of the own store are not among them.  */
  ck_assert (bb_key_is_same (bb_key ("alone"), bb_key ("alone")));
  ck_assert (!bb_key_is_same (bb_key ("alone"), bb_key ("other")));
}
END_TEST

/* Two services, with a route and a server each.  */
static void
put_both (void)
{
  put_server ("a", c.names[0], "north", BB_SERVER_READY, 0);
  put_server ("b", c.names[1], "north", BB_SERVER_READY, 0);
  struct bb_route_record routes[2];
  for (unsigned i = 0; i < 2; i++)
    routes[i] = (struct bb_route_record){
      .address = { ROUTE_ADDRESS, i ? SECOND_PORT : ROUTE_PORT },
      .shares = { { key_of (i), 1 } },
      .share_count = 1,
      .revision = t.revision + 1,
    };
  t.revision++;
  bb_marked_configure (t.m,
                       &(struct bb_configuration){ .version = 1,
                                                   .revision = t.revision,
                                                   .routes = routes,
                                                   .route_count = 2 },
                       0);
}

static struct bb_backend_server *
server (const char *name)
{
  return bb_directory_find_server (bb_marked_directory (t.m), name);
}

/* Guards against requests that the other service runs (review case 15).  */
START_TEST (services_get_their_own_flows)
{
  put_both ();
  for (unsigned i = 0; i < FLOWS; i++)
    {
      struct bb_marked_packet p
          = packet ((uint16_t)(1000 + i), BB_TCP_SYN, 100, 0);
      const char *own = i % 2 ? "b" : "a";
      p.packet.destination_port = i % 2 ? SECOND_PORT : ROUTE_PORT;
      ck_assert_uint_eq (handle_packet (&p, LATER).tag,
                         server (own)->record.tag);
    }
  ck_assert_int_eq (
      send_request (2000, server ("a")->cookie, 101, 1, LATER).kind,
      BB_MARKED_FORWARD);
  ck_assert_int_eq (
      send_request (2001, server ("b")->cookie, 101, 1, LATER).kind,
      BB_MARKED_DROP);
}
END_TEST

/* What a balancer sends of a route, and of the limits of a service.  */
static struct bb_sync_message
records_of (uint64_t service)
{
  return (struct bb_sync_message){
    .kind = BB_SYNC_RECORDS,
    .from = 2,
    .incarnation = 1,
    .record_chunk = { .chunk_count = 1,
                      .to = 9,
                      .version = 1,
                      .routes = { { .address = { ROUTE_ADDRESS, ROUTE_PORT },
                                    .shares = { { service, 1 } },
                                    .share_count = 1,
                                    .revision = 9 } },
                      .route_count = 1,
                      .has_evacuations = true },
  };
}

/* Guards against names that merge on their way to a peer, and against older
   builds, which send no digests, being refused or trusted with them.  */
static const struct
{
  const char *description;
  bool is_alone; /* no other service has the hash */
  bool is_older; /* the sender */
  bool is_placed;
} senders[] = {
  { "a service", true, false, true },
  { "one of two", false, false, true },
  { "a service, from an older build", true, true, true },
  { "one of two, from an older build", false, true, false },
};

START_TEST (routes_of_peers_lead_to_their_services)
{
  const char *name = senders[_i].is_alone ? "alone" : c.names[1];
  put_server ("a", senders[_i].is_alone ? "other" : c.names[0], "north",
              BB_SERVER_READY, 0);
  put_server ("b", name, "north", BB_SERVER_READY, 0);
  struct bb_sync_message m = records_of (bb_key (name)), decoded;
  m.record_chunk.servers[m.record_chunk.server_count++] = server ("a")->record;
  m.record_chunk.servers[m.record_chunk.server_count++] = server ("b")->record;
  GByteArray *bytes = bb_sync_encode (&m);
  if (senders[_i].is_older)
    {
      ck_assert_uint_eq (bytes->data[0], 0xdc);
      bytes->data[2]--;
      g_byte_array_set_size (bytes, bytes->len - DIGEST_BYTES);
    }
  ck_assert (bb_sync_decode (bytes->data, bytes->len, &decoded, NULL));
  g_byte_array_unref (bytes);
  const struct bb_endpoint from = { 2, 7000 };
  bb_sync_receive (bb_marked_get_sync (t.m), &from, &decoded, BB_SEC);
  struct bb_marked_packet p = packet (1000, BB_TCP_SYN, 100, 0);
  struct bb_marked_verdict v = handle_packet (&p, BB_SEC);
  ck_assert_msg (senders[_i].is_placed ? v.tag == server ("b")->record.tag
                                       : v.kind == BB_MARKED_RESET,
                 "%s", senders[_i].description);
  ck_assert_int_eq (
      send_request (2000, server ("b")->cookie, 101, 1, LATER).kind,
      senders[_i].is_placed ? BB_MARKED_FORWARD : BB_MARKED_DROP);
}
END_TEST

/* Guards against a cold server that has the limit of another service.  */
START_TEST (limits_are_those_of_the_service)
{
  struct bb_directory *d = bb_marked_directory (t.m);
  put_both ();
  bb_directory_put_service (
      d, &(struct bb_service_record){ key_of (0), 1000, 70 }, 0);
  ck_assert_uint_eq (bb_directory_find_service (d, key_of (0))->cold_rate,
                     1000);
  ck_assert_uint_eq (bb_directory_find_service (d, key_of (1))->cold_rate, 0);
}
END_TEST

/* Guards against a cold server that loses its limit in a fleet with older
   builds, which send the hash of its service only.  */
START_TEST (limits_from_older_builds_keep_their_service)
{
  struct bb_directory *d = bb_marked_directory (t.m);
  uint64_t named = bb_key ("alone");
  put_server ("a", "alone", "north", BB_SERVER_READY, 0);
  bb_directory_put_service (d, &(struct bb_service_record){ named, 1000, 70 },
                            0);
  const struct bb_service_record older
      = { bb_key_of_hash (bb_key_hash (named)), 1000, 75 };
  bb_directory_put_service (d, &older, 0);
  GHashTable *listed = g_hash_table_new (NULL, NULL);
  g_hash_table_add (listed, bb_directory_service_key (named));
  bb_directory_drop_unlisted_services (d, listed, 80, 0);
  g_hash_table_unref (listed);
  ck_assert_uint_eq (bb_directory_find_service (d, named)->cold_rate, 1000);
}
END_TEST

/* Synchronization.  */

static void
keep_heartbeat (void *context, const struct bb_endpoint *to, size_t count,
                const struct bb_sync_message *message)
{
  (void)context;
  (void)to;
  (void)count;
  if (message->kind == BB_SYNC_HEARTBEAT)
    c.sent = message->heartbeat;
}

static void
ignore_server (void *context, struct bb_backend_server *s)
{
  (void)context;
  (void)s;
}

static const struct bb_sync_sink sync_sink
    = { .send = keep_heartbeat, .event = sink_event, .server = ignore_server };

static void
setup_sync (void)
{
  memset (&c, 0, sizeof c);
  find_names (bb_name_key);
  c.directory = bb_directory_new (c.names[0]);
  struct bb_sync_options options = { .self = { 1, key_of (0), { 1, 7000 } },
                                     .incarnation = 1,
                                     .capacity = 1000,
                                     .seed = 1 };
  c.sync = bb_sync_new (&options, c.directory, &sync_sink, NULL, BB_SEC);
}

static void
teardown_sync (void)
{
  bb_sync_free (c.sync);
  bb_directory_free (c.directory);
}

static struct bb_sync_message
heartbeat_of (uint32_t id, uint64_t data_centre)
{
  return (struct bb_sync_message){ .kind = BB_SYNC_HEARTBEAT,
                                   .from = id,
                                   .incarnation = 1,
                                   .heartbeat
                                   = { .data_centre = data_centre } };
}

/* Receives M from ADDRESS, as it comes over the network.  */
static void
receive (const struct bb_sync_message *m, uint32_t address)
{
  struct bb_sync_message decoded;
  const struct bb_endpoint from = { address, 7000 };
  GByteArray *bytes = bb_sync_encode (m);
  ck_assert (bb_sync_decode (bytes->data, bytes->len, &decoded, NULL));
  g_byte_array_unref (bytes);
  bb_sync_receive (c.sync, &from, &decoded, BB_SEC);
}

/* Guards against balancers of another data centre that are taken for those of
   the own one.  */
START_TEST (data_centres_stay_apart)
{
  for (unsigned i = 0; i < 2; i++)
    {
      struct bb_sync_message m = heartbeat_of (2 + i, key_of (i));
      receive (&m, 2 + i);
    }
  ck_assert_uint_eq (c.sync->peer_count, 2);
  for (unsigned i = 0; i < 2; i++)
    ck_assert (bb_sync_peer_is_local (c.sync, c.sync->peers[i])
               == (c.sync->peers[i]->vm.id == 2));
  ck_assert_uint_eq (bb_sync_first_peer (c.sync, key_of (1), BB_SEC)->vm.id,
                     3);
}
END_TEST

/* Guards against balancers of one id that take each other's place, or drop
   each other's messages, and against cold servers that both own.  */
START_TEST (balancers_of_one_id_stay_apart)
{
  const uint32_t ids[] = { 1, 7, 7 };
  for (uint32_t i = 0; i < G_N_ELEMENTS (ids); i++)
    {
      struct bb_sync_message m = heartbeat_of (ids[i], key_of (0));
      m.heartbeat.flags = BB_SYNC_OWNER;
      receive (&m, 2 + i);
    }
  ck_assert_uint_eq (bb_sync_count_live_peers (c.sync, BB_SEC), 3);
  /* The id of each stands for both, which own its servers once.  */
  ck_assert_uint_eq (c.sync->owners.count, 1);
  for (uint32_t i = 0; i < c.sync->peer_count; i++)
    ck_assert_uint_eq (c.sync->peers[i]->vm.endpoint.address, 2 + i);
}
END_TEST

/* Guards against the demand for one service that counts for another.  */
START_TEST (demands_of_shared_hashes_are_ignored)
{
  for (unsigned i = 0; i < 2; i++)
    {
      struct bb_backend_server *s;
      struct bb_server_record r = { .address = { 0x0a000001 + i, 8080 },
                                    .slots = 2,
                                    .created = i + 1,
                                    .revision = i + 1 };
      g_snprintf (r.name, sizeof r.name, "i-%u", i);
      g_strlcpy (r.service, c.names[i], sizeof r.service);
      g_strlcpy (r.data_centre, c.names[0], sizeof r.data_centre);
      bb_directory_put (c.directory, &r, 0, &s);
      bb_demand_add_flow (&s->group->demand, BB_SEC);
    }
  struct bb_sync_message m = heartbeat_of (2, key_of (0));
  m.heartbeat.demands[0]
      = (struct bb_sync_demand){ bb_key_hash (key_of (0)), 5000 };
  m.heartbeat.demand_count = 1;
  receive (&m, 2);
  bb_sync_tick (c.sync, BB_SEC + BB_MSEC);
  for (unsigned i = 0; i < 2; i++)
    ck_assert_double_eq (
        bb_directory_find_service (c.directory, key_of (i))->demand.peer_flows,
        0);
  ck_assert_uint_eq (c.sent.demand_count, 0);
  ck_assert_uint_eq (c.sent.room_count, 0);
}
END_TEST

/* Cookies.  */

static struct bb_backend_server *
put (struct bb_directory *d, const char *name, enum bb_server_state state,
     uint64_t revision)
{
  struct bb_backend_server *s;
  struct bb_server_record r = { .service = "desk",
                                .data_centre = "north",
                                .address = { 0x0a000001, 8080 },
                                .state = state,
                                .slots = 2,
                                .created = revision,
                                .revision = revision };
  g_strlcpy (r.name, name, sizeof r.name);
  bb_directory_put (d, &r, 0, &s);
  return s;
}

/* Guards against flows that break when they move to a balancer that has chosen
   another cookie for their server, since it never held a former server whose
   cookie collides.  */
START_TEST (cookies_of_other_balancers_are_known)
{
  find_names (first_cookie);
  struct bb_directory *held = bb_directory_new ("north"),
                      *joined = bb_directory_new ("north");
  put (held, c.names[0], BB_SERVER_READY, 1);
  const struct bb_backend_server *here
      = put (held, c.names[1], BB_SERVER_READY, 2);
  ck_assert_uint_ne (here->cookie, first_cookie (c.names[1]));
  ck_assert_ptr_ne (
      bb_directory_find_by_cookie (held, first_cookie (c.names[1])), here);
  put (held, c.names[0], BB_SERVER_GONE, 3);
  bb_directory_sweep (held, LATER);
  const struct bb_backend_server *there
      = put (joined, c.names[1], BB_SERVER_READY, 2);
  ck_assert_ptr_eq (bb_directory_find_by_cookie (held, there->cookie), here);
  ck_assert_ptr_eq (bb_directory_find_by_cookie (joined, here->cookie), there);
  bb_directory_free (held);
  bb_directory_free (joined);
}
END_TEST

/* Guards against log lines that name the wrong server or data centre.  */
START_TEST (logs_show_both_names)
{
  const char *service;
  struct bb_names *names = bb_names_new ();
  find_names (bb_name_key);
  for (unsigned i = 0; i < 4; i++)
    bb_names_add_data_centre (names, c.names[i % 2]);
  g_autofree char *both = g_strdup_printf ("%s or %s", c.names[0], c.names[1]);
  ck_assert_str_eq (
      bb_names_lookup (names, bb_name_key (c.names[0]), &service), both);
  bb_names_free (names);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("colliding names");
  TCase *tc = tcase_create ("services");
  tcase_add_checked_fixture (tc, setup_names, teardown);
  tcase_add_test (tc, keys_of_colliding_names_differ);
  tcase_add_test (tc, names_of_peers_are_bounded);
  tcase_add_test (tc, services_get_their_own_flows);
  tcase_add_loop_test (tc, routes_of_peers_lead_to_their_services, 0,
                       G_N_ELEMENTS (senders));
  tcase_add_test (tc, limits_are_those_of_the_service);
  tcase_add_test (tc, limits_from_older_builds_keep_their_service);
  suite_add_tcase (suite, tc);
  tc = tcase_create ("balancers");
  tcase_add_checked_fixture (tc, setup_sync, teardown_sync);
  tcase_add_test (tc, data_centres_stay_apart);
  tcase_add_test (tc, balancers_of_one_id_stay_apart);
  tcase_add_test (tc, demands_of_shared_hashes_are_ignored);
  suite_add_tcase (suite, tc);
  tc = tcase_create ("servers");
  tcase_add_test (tc, cookies_of_other_balancers_are_known);
  tcase_add_test (tc, logs_show_both_names);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
