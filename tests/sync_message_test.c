#include "tests/suite.h"
#include "wire/sync.h"
#include <string.h>

static struct bb_sync_message
make_message (enum bb_sync_kind kind)
{
  struct bb_sync_message m = {
    .kind = kind,
    .from = 0xdeadbeef,
    .incarnation = 1784118115169311,
  };
  switch (kind)
    {
    case BB_SYNC_HEARTBEAT:
      m.heartbeat = (struct bb_sync_heartbeat){
        .data_centre = 7,
        .flags = BB_SYNC_STORE_OK | BB_SYNC_LEADER,
        .capacity = 55,
        .revision = UINT64_MAX,
        .version = 36,
        .verified_ms = UINT32_MAX,
        .owners = 0xfedcba98,
        .owner_count = 1024,
        .listed_peers = { { 1, 2, { 0x0a010001, 7720 } } },
        .listed_peer_count = 1,
        .loads = { { 0xffffffff, 65535, 3, false }, { 1, 0, 1, true } },
        .load_count = 2,
        .demands = { { 9, 2750 } },
        .demand_count = 1,
        .rooms = { { 7, 9, 31, 80, 250 }, { 8, 9, 0, 80, UINT32_MAX } },
        .room_count = 2,
        .answers = { { { 90, 10 }, false }, { { 0, 1 }, true } },
        .answer_count = 2,
        .silences = { { 1, 3, 250, true, 2, 4, 450 } },
        .silence_count = 1,
      };
      break;
    case BB_SYNC_REQUEST:
      m.request.revision = 17;
      break;
    default:
      m.record_chunk = (struct bb_sync_records){
        .batch = 5,
        .chunk = 1,
        .chunk_count = 2,
        .from = 0,
        .to = 90,
        .removals_since = 40,
        .route_history_ms = 9,
        .version = 36,
        .verified_ms = 12,
        .servers = { { .name = "i-7f3a91c2",
                       .service = "huvo11a",
                       .data_centre = "itagui",
                       .address = { 0x0a800009, 8080 },
                       .tag = 0x7f3a91c2,
                       .state = BB_SERVER_DRAINING,
                       .cold_ms = 100,
                       .gone_ms = 3,
                       .slots = 2,
                       .born_ms = 1784118115169,
                       .created = 4,
                       .revision = 88 } },
        .server_count = 1,
        .routes = { { .address = { 0xc6120001, 443 },
                      .shares = { { 1, 90 }, { 2, 10 } },
                      .share_count = 2,
                      .objective_ms = 150,
                      .priority = 2,
                      .former = { { 1, 0 }, { 2, 74000 }, { 3, 5 } },
                      .former_count = 3,
                      .revision = 89 },
                    { .address = { 0xc6120001, 444 }, .revision = 90 } },
        .route_count = 2,
        .evacuations = { { "itagui", true, 87 }, { "bello", false, 86 } },
        .has_evacuations = true,
        .evacuation_count = 2,
        .services = { { 1, 8500, 89 } },
        .service_count = 1,
      };
    }
  return m;
}

/* Guards against fields that are lost or swapped between two versions of the
   code: a decoded message must encode to the same bytes.  */
START_TEST (messages_round_trip)
{
  struct bb_sync_message m = make_message ((enum bb_sync_kind)_i), decoded;
  GByteArray *bytes = bb_sync_encode (&m);
  ck_assert (bb_sync_decode (bytes->data, bytes->len, &decoded, NULL));
  ck_assert_int_eq (decoded.kind, m.kind);
  ck_assert_uint_eq (decoded.from, m.from);
  ck_assert_uint_eq (decoded.incarnation, m.incarnation);
  if (m.kind == BB_SYNC_HEARTBEAT)
    {
      ck_assert_uint_eq (decoded.heartbeat.revision, m.heartbeat.revision);
      ck_assert_uint_eq (decoded.heartbeat.verified_ms,
                         m.heartbeat.verified_ms);
      ck_assert_uint_eq (decoded.heartbeat.owners, m.heartbeat.owners);
      ck_assert_uint_eq (decoded.heartbeat.owner_count,
                         m.heartbeat.owner_count);
      ck_assert_uint_eq (decoded.heartbeat.listed_peers[0].endpoint.port,
                         7720);
      ck_assert_uint_eq (decoded.heartbeat.loads[0].open,
                         m.heartbeat.loads[0].open);
      ck_assert_uint_eq (decoded.heartbeat.loads[0].busy,
                         m.heartbeat.loads[0].busy);
      ck_assert (!decoded.heartbeat.loads[0].is_answering);
      ck_assert (decoded.heartbeat.loads[1].is_answering);
      ck_assert_uint_eq (decoded.heartbeat.demands[0].rate, 2750);
      ck_assert_uint_eq (decoded.heartbeat.rooms[0].pending, 31);
      ck_assert_uint_eq (decoded.heartbeat.rooms[1].data_centre, 8);
      ck_assert_uint_eq (decoded.heartbeat.rooms[1].slots, 80);
      ck_assert_uint_eq (decoded.heartbeat.rooms[0].age_ms, 250);
      ck_assert_uint_eq (decoded.heartbeat.answers[0].counts.usual, 90);
      ck_assert_uint_eq (decoded.heartbeat.answers[1].counts.outliers, 1);
      ck_assert (!decoded.heartbeat.answers[0].is_failing);
      ck_assert (decoded.heartbeat.answers[1].is_failing);
      ck_assert_uint_eq (decoded.heartbeat.silences[0].load, 1);
      ck_assert_uint_eq (decoded.heartbeat.silences[0].flows, 3);
      ck_assert_uint_eq (decoded.heartbeat.silences[0].failed, 2);
      ck_assert_uint_eq (decoded.heartbeat.silences[0].answered, 4);
      ck_assert_uint_eq (decoded.heartbeat.silences[0].probed_ms, 450);
      ck_assert (decoded.heartbeat.silences[0].is_slow);
      ck_assert_uint_eq (decoded.heartbeat.silences[0].age_ms, 250);
    }
  if (m.kind == BB_SYNC_RECORDS)
    {
      ck_assert_str_eq (decoded.record_chunk.servers[0].name, "i-7f3a91c2");
      ck_assert_uint_eq (decoded.record_chunk.servers[0].gone_ms, 3);
      ck_assert_uint_eq (decoded.record_chunk.removals_since, 40);
      ck_assert_uint_eq (decoded.record_chunk.routes[0].shares[1].weight, 10);
      ck_assert_uint_eq (decoded.record_chunk.routes[0].objective_ms, 150);
      ck_assert_uint_eq (decoded.record_chunk.routes[0].priority, 2);
      ck_assert_uint_eq (decoded.record_chunk.routes[0].former[1].age_ms,
                         74000);
      ck_assert_uint_eq (decoded.record_chunk.routes[1].share_count, 0);
      ck_assert_str_eq (decoded.record_chunk.evacuations[1].data_centre,
                        "bello");
      ck_assert (decoded.record_chunk.evacuations[0].is_active);
      ck_assert_uint_eq (decoded.record_chunk.services[0].cold_rate, 8500);
    }
  GByteArray *again = bb_sync_encode (&decoded);
  ck_assert_uint_eq (again->len, bytes->len);
  ck_assert_mem_eq (again->data, bytes->data, bytes->len);
  g_byte_array_unref (again);
  g_byte_array_unref (bytes);
}
END_TEST

/* Guards against rejecting messages of earlier releases, which have fewer
   elements: no digests, no ages of former services, no service limits,
   evacuations and era, then no priorities, then no objectives.  The last
   elements of the message, from the end.  */
static const struct
{
  uint8_t bytes[5];
  size_t length;
} appended[] = {
  { { 0x94 }, 5 },       /* no digests of the two services */
  { { 0x90 }, 1 },       /* no ages of former services */
  { { 0x90 }, 1 },       /* no service limits */
  { { 0x90 }, 1 },       /* no evacuations */
  { { 0 }, 1 },          /* not divergent */
  { { 0x92, 1, 0 }, 3 }, /* full states */
  { { 0 }, 1 },          /* era */
  { { 0x92, 0, 0 }, 3 }, /* priorities */
  { { 0x92, 0, 0 }, 3 }, /* objectives */
};

START_TEST (records_of_older_versions_decode)
{
  struct bb_sync_message m = make_message (BB_SYNC_RECORDS), decoded;
  m.record_chunk.routes[0].objective_ms = 0;
  m.record_chunk.routes[0].priority = 0;
  m.record_chunk.routes[0].former_count = 0;
  m.record_chunk.evacuation_count = m.record_chunk.service_count = 0;
  GByteArray *bytes = bb_sync_encode (&m);
  /* The third byte holds the number of elements.  */
  ck_assert_uint_eq (bytes->data[0], 0xdc);
  size_t length = bytes->len;
  for (int i = 0; i <= _i; i++)
    {
      length -= appended[i].length;
      ck_assert_mem_eq (bytes->data + length, appended[i].bytes,
                        appended[i].length);
      bytes->data[2]--;
    }
  ck_assert (bb_sync_decode (bytes->data, length, &decoded, NULL));
  ck_assert_uint_eq (decoded.record_chunk.route_count, 2);
  ck_assert_uint_eq (decoded.record_chunk.routes[0].objective_ms, 0);
  ck_assert_uint_eq (decoded.record_chunk.routes[0].share_count, 2);
  ck_assert_uint_eq (decoded.record_chunk.to, 90);
  g_byte_array_unref (bytes);
}
END_TEST

/* The same of heartbeats: no digest of the data centre, probes, details of
   silences, silences, answers, rooms, demands, count and digest of owners,
   era.  */
enum
{
  APPENDED_TO_HEARTBEATS = 10,
  EMPTY_DIGEST = 3, /* bytes; the other elements have one each */
};

START_TEST (heartbeats_of_older_versions_decode)
{
  struct bb_sync_message m = make_message (BB_SYNC_HEARTBEAT), decoded;
  m.heartbeat.demand_count = m.heartbeat.room_count = 0;
  m.heartbeat.answer_count = m.heartbeat.silence_count = 0;
  m.heartbeat.owners = m.heartbeat.owner_count = 0;
  m.heartbeat.revision = 17;
  GByteArray *bytes = bb_sync_encode (&m);
  size_t length = bytes->len - (size_t)_i - EMPTY_DIGEST;
  ck_assert_uint_eq (bytes->data[0], 0xdc);
  bytes->data[2] -= (guint8)(_i + 1);
  ck_assert (bb_sync_decode (bytes->data, length, &decoded, NULL));
  ck_assert_uint_eq (decoded.heartbeat.load_count, 2);
  ck_assert_uint_eq (decoded.heartbeat.demand_count, 0);
  ck_assert_uint_eq (decoded.heartbeat.room_count, 0);
  ck_assert_uint_eq (decoded.heartbeat.answer_count, 0);
  ck_assert_uint_eq (decoded.heartbeat.silence_count, 0);
  ck_assert_uint_eq (decoded.heartbeat.revision, 17);
  g_byte_array_unref (bytes);
}
END_TEST

/* Guards against revisions that lose the era of the store.  */
START_TEST (eras_round_trip)
{
  const uint64_t number = 90, era = 3;
  struct bb_sync_message m = make_message (BB_SYNC_RECORDS), decoded;
  m.record_chunk.to = bb_revision_make (era, number);
  m.record_chunk.servers[0].revision = bb_revision_make (era, 88);
  GByteArray *bytes = bb_sync_encode (&m);
  ck_assert (bb_sync_decode (bytes->data, bytes->len, &decoded, NULL));
  ck_assert_uint_eq (decoded.record_chunk.to, m.record_chunk.to);
  ck_assert_uint_eq (decoded.record_chunk.from, 0);
  ck_assert_uint_eq (bb_revision_era (decoded.record_chunk.routes[0].revision),
                     era);
  ck_assert_uint_eq (decoded.record_chunk.servers[0].revision,
                     m.record_chunk.servers[0].revision);
  ck_assert_uint_lt (bb_revision_make (era - 1, number + 1),
                     m.record_chunk.to);
  g_byte_array_unref (bytes);
}
END_TEST

/* States that older builds do not know, and what these get in their place.  */
static const enum bb_server_state new_states[]
    = { BB_SERVER_WITHHELD, BB_SERVER_UNUSABLE };

/* Guards against a server without new flows that a peer uses, and against a
   state that older builds reject.  */
START_TEST (new_states_round_trip)
{
  struct bb_sync_message m = make_message (BB_SYNC_RECORDS), decoded;
  m.record_chunk.servers[0].state = new_states[_i];
  m.record_chunk.servers[0].hold_ms = 4200;
  m.record_chunk.is_divergent = true;
  m.record_chunk.has_evacuations = false;
  GByteArray *bytes = bb_sync_encode (&m);
  ck_assert (bb_sync_decode (bytes->data, bytes->len, &decoded, NULL));
  ck_assert_int_eq (decoded.record_chunk.servers[0].state, new_states[_i]);
  ck_assert_uint_eq (decoded.record_chunk.servers[0].hold_ms, 4200);
  ck_assert (decoded.record_chunk.is_divergent);
  /* Older builds read neither of the last two elements.  */
  bytes->data[2] -= 2;
  ck_assert (bb_sync_decode (bytes->data, bytes->len - 6, &decoded, NULL));
  ck_assert_int_eq (decoded.record_chunk.servers[0].state, BB_SERVER_DRAINING);
  g_byte_array_unref (bytes);
}
END_TEST

/* Guards against a fleet whose older balancers adopt no state while one of a
   later build has a server in a state that was added there.  */
START_TEST (states_of_later_builds_decode)
{
  enum
  {
    STATE_FROM_END = 5 /* before a time of 3 bytes and a flag */
  };
  struct bb_sync_message m = make_message (BB_SYNC_RECORDS), decoded;
  m.record_chunk.servers[0].state = BB_SERVER_WITHHELD;
  m.record_chunk.servers[0].hold_ms = 4200;
  m.record_chunk.has_evacuations = false;
  GByteArray *bytes = bb_sync_encode (&m);
  ck_assert_uint_eq (bytes->data[bytes->len - STATE_FROM_END],
                     BB_SERVER_WITHHELD);
  bytes->data[bytes->len - STATE_FROM_END] = BB_SERVER_STATES;
  ck_assert (bb_sync_decode (bytes->data, bytes->len, &decoded, NULL));
  ck_assert_int_eq (decoded.record_chunk.servers[0].state, BB_SERVER_DRAINING);
  g_byte_array_unref (bytes);
}
END_TEST

/* Guards against rejecting heartbeats of releases that do not report answers,
   and against counts that belong to other servers.  */
static const struct
{
  const char *description;
  uint32_t answer_count;
  uint32_t silent; /* index of the silent server */
  guint cut;       /* the last elements are missing */
  bool is_valid;
} reports[] = {
  { "one of each server", 2, 1, 0, true },
  { "none", 0, 1, 0, true },
  { "none, of an earlier release", 0, 1, 5, true },
  { "of fewer servers", 1, 1, 0, false },
  { "of more servers", 3, 1, 0, false },
  { "a silent server that is not listed", 2, 2, 0, false },
};

START_TEST (answers_belong_to_loads)
{
  struct bb_sync_message m = make_message (BB_SYNC_HEARTBEAT), decoded;
  m.heartbeat.answer_count = reports[_i].answer_count;
  m.heartbeat.silences[0].load = reports[_i].silent;
  m.heartbeat.silence_count = reports[_i].cut ? 0 : 1;
  GByteArray *bytes = bb_sync_encode (&m);
  /* An empty array is one byte.  */
  guint cut = reports[_i].cut ? reports[_i].cut - 1 + EMPTY_DIGEST : 0;
  g_byte_array_set_size (bytes, bytes->len - cut);
  ck_assert_uint_eq (bytes->data[0], 0xdc);
  bytes->data[2] -= (guint8)reports[_i].cut;
  GError *error = NULL;
  bool is_valid = bb_sync_decode (bytes->data, bytes->len, &decoded, &error);
  g_clear_error (&error);
  ck_assert_msg (is_valid == reports[_i].is_valid, "%s",
                 reports[_i].description);
  if (is_valid)
    ck_assert_uint_eq (decoded.heartbeat.answer_count,
                       m.heartbeat.answer_count);
  g_byte_array_unref (bytes);
}
END_TEST

/* Guards against datagrams larger than one frame, which a busy link would
   fragment.  */
START_TEST (messages_fit_a_frame)
{
  static const uint32_t listed_peers[]
      = { 0, BB_SYNC_LISTED_PEERS, 20, BB_SYNC_LISTED_PEERS_MAX };
  struct bb_sync_message m = make_message (BB_SYNC_HEARTBEAT);
  m.heartbeat.data_centre = bb_key ("north");
  m.heartbeat.listed_peer_count = listed_peers[_i];
  m.heartbeat.load_count = bb_sync_fitting_loads (listed_peers[_i]);
  ck_assert_uint_ge (m.heartbeat.load_count, 1);
  ck_assert_uint_le (m.heartbeat.load_count, BB_SYNC_LOADS_MAX);
  for (int i = 0; i < BB_SYNC_LOADS_MAX; i++)
    {
      m.heartbeat.loads[i]
          = (struct bb_sync_load){ UINT32_MAX, 300, 20, true };
      m.heartbeat.answers[i] = (struct bb_answer_report){
        { BB_ANSWER_REPORT_MAX, BB_ANSWER_REPORT_MAX }, true
      };
    }
  /* The reply to a joining balancer lists many peers, but no answers.  */
  m.heartbeat.answer_count
      = listed_peers[_i] <= BB_SYNC_LISTED_PEERS ? m.heartbeat.load_count : 0;
  m.heartbeat.silence_count
      = m.heartbeat.answer_count ? BB_SYNC_SILENCES_MAX : 0;
  for (uint32_t i = 0; i < BB_SYNC_SILENCES_MAX; i++)
    m.heartbeat.silences[i] = (struct bb_sync_silence){
      .load = i,
      .flows = BB_SILENCE_FLOWS_MAX,
      .failed = BB_PROBES_KEPT,
      .answered = BB_PROBES_KEPT,
      .probed_ms = 5000,
      .age_ms = 1500,
    };
  for (int i = 0; i < BB_SYNC_LISTED_PEERS_MAX; i++)
    m.heartbeat.listed_peers[i]
        = (struct bb_sync_vm){ UINT32_MAX, UINT32_MAX, { UINT32_MAX, 65535 } };
  bool is_reply = listed_peers[_i] > BB_SYNC_LISTED_PEERS;
  m.heartbeat.demand_count = is_reply ? 0 : BB_SYNC_DEMANDS_MAX;
  m.heartbeat.room_count = is_reply ? 0 : BB_SYNC_ROOMS_MAX;
  for (int i = 0; i < BB_SYNC_DEMANDS_MAX; i++)
    m.heartbeat.demands[i] = (struct bb_sync_demand){ UINT32_MAX, UINT32_MAX };
  for (int i = 0; i < BB_SYNC_ROOMS_MAX; i++)
    m.heartbeat.rooms[i]
        = (struct bb_sync_room){ UINT32_MAX, UINT32_MAX, 65535, 65535, 2000 };
  GByteArray *bytes = bb_sync_encode (&m);
  ck_assert_uint_le (bytes->len, BB_SYNC_DATAGRAM_BYTES);
  g_byte_array_unref (bytes);
}
END_TEST

/* Guards against reads beyond the end, and against accepting part of a message
   as a whole one.  */
START_TEST (truncated_messages_are_refused)
{
  struct bb_sync_message m = make_message ((enum bb_sync_kind)_i), decoded;
  GByteArray *bytes = bb_sync_encode (&m);
  for (guint length = 0; length < bytes->len; length++)
    {
      uint8_t *copy = g_memdup2 (bytes->data, length);
      GError *error = NULL;
      ck_assert (!bb_sync_decode (copy, length, &decoded, &error));
      ck_assert (g_error_matches (error, BB_ERROR, BB_ERROR_PROTOCOL));
      g_error_free (error);
      g_free (copy);
    }
  g_byte_array_unref (bytes);
}
END_TEST

enum
{
  MUTATIONS = 20000
};

/* Guards against bytes from an unknown sender that crash a balancer or exceed
   its limits.  */
START_TEST (changed_bytes_stay_in_bounds)
{
  GRand *random = g_rand_new_with_seed (3);
  for (int n = 0; n < MUTATIONS; n++)
    {
      struct bb_sync_message m
          = make_message ((enum bb_sync_kind) (n % BB_SYNC_KINDS)),
          decoded;
      GByteArray *bytes = bb_sync_encode (&m);
      for (int i = g_rand_int_range (random, 1, 5); i > 0; i--)
        bytes->data[g_rand_int_range (random, 0, (gint32)bytes->len)]
            = (guint8)g_rand_int_range (random, 0, 256);
      GError *error = NULL;
      if (!bb_sync_decode (bytes->data, bytes->len, &decoded, &error))
        g_error_free (error);
      else if (decoded.kind == BB_SYNC_HEARTBEAT)
        {
          ck_assert_uint_le (decoded.heartbeat.demand_count,
                             BB_SYNC_DEMANDS_MAX);
          ck_assert_uint_le (decoded.heartbeat.room_count, BB_SYNC_ROOMS_MAX);
        }
      else if (decoded.kind == BB_SYNC_RECORDS)
        {
          ck_assert_uint_le (decoded.record_chunk.server_count,
                             BB_SYNC_SERVERS_MAX);
          ck_assert_uint_le (decoded.record_chunk.route_count,
                             BB_SYNC_ROUTES_MAX);
          ck_assert_uint_lt (decoded.record_chunk.chunk,
                             decoded.record_chunk.chunk_count);
        }
      g_byte_array_unref (bytes);
    }
  g_rand_free (random);
}
END_TEST

/* Guards against datagrams of evacuations or limits of services that are
   larger than one frame.  */
START_TEST (operator_records_fit_a_frame)
{
  struct bb_sync_message m = { .kind = BB_SYNC_RECORDS,
                               .from = UINT32_MAX,
                               .incarnation = UINT64_MAX };
  struct bb_sync_records *r = &m.record_chunk;
  *r = (struct bb_sync_records){ .batch = UINT32_MAX,
                                 .chunk = BB_SYNC_CHUNKS_MAX - 1,
                                 .chunk_count = BB_SYNC_CHUNKS_MAX,
                                 .from = UINT64_MAX,
                                 .to = UINT64_MAX,
                                 .removals_since = UINT64_MAX,
                                 .route_history_ms = UINT32_MAX,
                                 .version = UINT64_MAX,
                                 .verified_ms = UINT32_MAX,
                                 .has_evacuations = true };
  r->evacuation_count = _i ? 0 : BB_SYNC_EVACUATIONS_MAX;
  r->service_count = _i ? BB_SYNC_SERVICES_SENT : 0;
  for (size_t i = 0; i < BB_SYNC_EVACUATIONS_MAX; i++)
    {
      memset (r->evacuations[i].data_centre, 'x', BB_NAME_MAX - 1);
      r->evacuations[i].is_active = true;
      r->evacuations[i].revision = UINT64_MAX;
    }
  for (size_t i = 0; i < BB_SYNC_SERVICES_SENT; i++)
    {
      g_autofree char *name = g_strdup_printf ("service-%zu", i);
      r->services[i] = (struct bb_service_record){ bb_key (name), UINT32_MAX,
                                                   UINT64_MAX };
    }
  GByteArray *bytes = bb_sync_encode (&m);
  ck_assert_uint_le (bytes->len, BB_SYNC_DATAGRAM_BYTES);
  g_byte_array_unref (bytes);
}
END_TEST

/* Guards against a receiver that takes the records of a balancer that lacks
   evacuations for a whole state of them.  */
START_TEST (missing_evacuations_are_told)
{
  struct bb_sync_message m = make_message (BB_SYNC_RECORDS), decoded;
  m.record_chunk.has_evacuations = _i;
  GByteArray *bytes = bb_sync_encode (&m);
  ck_assert (bb_sync_decode (bytes->data, bytes->len, &decoded, NULL));
  ck_assert_int_eq (decoded.record_chunk.has_evacuations, _i);
  ck_assert_uint_eq (decoded.record_chunk.evacuation_count, _i ? 2 : 0);
  ck_assert_uint_eq (decoded.record_chunk.route_count, 2);
  g_byte_array_unref (bytes);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sync messages");
  TCase *tc = tcase_create ("codec");
  tcase_add_loop_test (tc, messages_round_trip, 0, BB_SYNC_KINDS);
  tcase_add_loop_test (tc, records_of_older_versions_decode, 0,
                       G_N_ELEMENTS (appended));
  tcase_add_loop_test (tc, new_states_round_trip, 0,
                       G_N_ELEMENTS (new_states));
  tcase_add_loop_test (tc, heartbeats_of_older_versions_decode, 0,
                       APPENDED_TO_HEARTBEATS);
  tcase_add_test (tc, eras_round_trip);
  tcase_add_loop_test (tc, answers_belong_to_loads, 0, G_N_ELEMENTS (reports));
  tcase_add_loop_test (tc, messages_fit_a_frame, 0, 4);
  tcase_add_loop_test (tc, truncated_messages_are_refused, 0, BB_SYNC_KINDS);
  tcase_add_test (tc, changed_bytes_stay_in_bounds);
  tcase_add_loop_test (tc, operator_records_fit_a_frame, 0, 2);
  tcase_add_loop_test (tc, missing_evacuations_are_told, 0, 2);
  tcase_add_test (tc, states_of_later_builds_decode);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
