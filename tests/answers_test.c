/* What the packets of callers show of the lengths of answers.  */

#include "marked/state/server_quality.h"
#include "tests/marked_fixture.h"

enum
{
  USUAL = 800,
  ERROR_LENGTH = 205,
  TRAINING = 32,
  SERVERS = 6,
};

static uint16_t next_port;

static const struct bb_answer_counts *
count_answers (void)
{
  return &bb_directory_find_service (bb_marked_directory (t.m),
                                     bb_name_key ("desk"))
              ->quality.total;
}

static void
send_packet (uint16_t port, uint32_t cookie, uint8_t flags, uint32_t sequence,
             uint32_t acknowledgement, bb_usec now)
{
  struct bb_marked_packet p = packet (port, flags, sequence, 0);
  p.cookie = cookie;
  p.packet.acknowledgement = acknowledgement;
  ck_assert_int_eq (handle_packet (&p, now).kind, BB_MARKED_FORWARD);
}

/* A flow of one request, whose answer has LENGTH bytes.  Returns the cookie of
   its server.  */
static uint32_t
ask (uint32_t length, bb_usec now)
{
  uint16_t port = ++next_port;
  uint32_t cookie = open_flow (port, now);
  send_request (port, cookie, 101, 1, now + 5 * BB_MSEC);
  send_packet (port, cookie, BB_TCP_ACK | BB_TCP_FIN, 151, 1 + length,
               now + 20 * BB_MSEC);
  return cookie;
}

static void
setup_service (void)
{
  uint32_t cookies[SERVERS];
  setup ();
  next_port = 1000;
  put_servers (SERVERS, cookies);
  configure (1, ROUTE_PORT, "desk", 0);
  for (int i = 0; i < TRAINING; i++)
    ask (USUAL, (i + 1) * 50 * BB_MSEC);
}

#define AT(MS) (10 * BB_SEC + (MS)*BB_MSEC)

/* Packets of a caller from its request on, and what they show.  */
enum packet_kind
{
  END,
  ACKNOWLEDGE,
  REQUEST, /* the next one, with an acknowledgement */
  REPEAT,  /* of the request */
  FIN,
  RST
};

struct step
{
  enum packet_kind kind;
  uint32_t length; /* of the answers so far */
  bb_usec at;      /* milliseconds after the request */
};

/* Guards against answers that are counted in part or twice, and against
   packets that are taken for the end of an answer.  */
static const struct
{
  const char *description;
  struct step steps[6];
  uint32_t usual, outliers;
} exchanges[] = {
  { "usual answer", { { FIN, USUAL, 20 } }, 1, 0 },
  { "error", { { FIN, ERROR_LENGTH, 20 } }, 0, 1 },
  { "usual answer, acknowledged at once",
    { { ACKNOWLEDGE, USUAL, 20 }, { FIN, USUAL, 30 } },
    1,
    0 },
  { "error on a flow that stays open",
    { { ACKNOWLEDGE, ERROR_LENGTH, 60 } },
    0,
    1 },
  { "usual answer in pieces",
    { { ACKNOWLEDGE, 200, 20 }, { ACKNOWLEDGE, 400, 30 }, { FIN, USUAL, 40 } },
    1,
    0 },
  { "usual answer whose second packet is lost",
    { { ACKNOWLEDGE, 200, 60 }, { ACKNOWLEDGE, USUAL, 290 } },
    1,
    0 },
  { "usual answer, acknowledged by the next request",
    { { REQUEST, USUAL, 20 }, { FIN, 2 * USUAL, 40 } },
    2,
    0 },
  { "error, acknowledged by the next request",
    { { REQUEST, ERROR_LENGTH, 20 }, { FIN, ERROR_LENGTH + USUAL, 40 } },
    1,
    1 },
  { "error, then a pause and a usual answer",
    { { ACKNOWLEDGE, ERROR_LENGTH, 60 },
      { REQUEST, ERROR_LENGTH, 3000 },
      { ACKNOWLEDGE, ERROR_LENGTH + USUAL, 3020 } },
    1,
    1 },
  { "request that is repeated",
    { { REPEAT, 0, 200 }, { FIN, USUAL, 220 } },
    1,
    0 },
  { "no answer", { { FIN, 0, 1500 } }, 0, 0 },
  { "answer that the caller breaks off", { { RST, 200, 20 } }, 0, 0 },
  { "end of a flow without a request",
    { { ACKNOWLEDGE, USUAL, 20 }, { FIN, USUAL + 1, 12000 } },
    1,
    0 },
};

static void
play_step (const struct step *s, uint16_t port, uint32_t cookie,
           uint32_t *sequence)
{
  bb_usec now = AT (s->at);
  switch (s->kind)
    {
    case ACKNOWLEDGE:
      send_packet (port, cookie, BB_TCP_ACK, *sequence, 1 + s->length, now);
      break;
    case REQUEST:
      send_request (port, cookie, *sequence, 1 + s->length, now);
      *sequence += 50;
      break;
    case REPEAT:
      send_request (port, cookie, *sequence - 50, 1 + s->length, now);
      break;
    case FIN:
    case RST:
      send_packet (port, cookie,
                   s->kind == FIN ? BB_TCP_ACK | BB_TCP_FIN : BB_TCP_RST,
                   *sequence, 1 + s->length, now);
      break;
    case END:
      break;
    }
}

START_TEST (answer_is_counted_once)
{
  setup_service ();
  struct bb_answer_counts before = *count_answers ();
  uint16_t port = ++next_port;
  uint32_t cookie = open_flow (port, AT (-5)), sequence = 151;
  send_request (port, cookie, 101, 1, AT (0));
  bb_usec ticked = 0;
  for (const struct step *s = exchanges[_i].steps; s->kind != END; s++)
    {
      for (; ticked < s->at; ticked += 50)
        bb_marked_tick (t.m, AT (ticked));
      play_step (s, port, cookie, &sequence);
    }
  for (bb_usec end = ticked + 1000; ticked < end; ticked += 50)
    bb_marked_tick (t.m, AT (ticked));
  ck_assert_msg (count_answers ()->usual - before.usual == exchanges[_i].usual
                     && count_answers ()->outliers - before.outliers
                            == exchanges[_i].outliers,
                 "%s: %u usual, %u outliers", exchanges[_i].description,
                 count_answers ()->usual - before.usual,
                 count_answers ()->outliers - before.outliers);
  teardown ();
}
END_TEST

/* Guards against new flows at a server whose answers are all errors, and
   against the loss of a server whose answers are like the others'.  */
START_TEST (failing_server_gets_few_new_flows)
{
  setup_service ();
  struct bb_backend_server *failing
      = bb_directory_find_server (bb_marked_directory (t.m), "s0");
  int errors = 0;
  for (int i = 0; i < 300; i++)
    {
      bb_usec now = AT (i * 10);
      /* The length is that of the server's answer, which the test knows only
         after the flow is placed.  */
      uint16_t port = ++next_port;
      uint32_t cookie = open_flow (port, now);
      bool is_error = cookie == failing->cookie;
      send_request (port, cookie, 101, 1, now + 5 * BB_MSEC);
      send_packet (port, cookie, BB_TCP_ACK | BB_TCP_FIN, 151,
                   1 + (is_error ? ERROR_LENGTH : USUAL), now + 8 * BB_MSEC);
      errors += is_error;
      if (i % 5 == 0)
        bb_marked_tick (t.m, now);
    }
  ck_assert_uint_ge (t.events[BB_EVENT_SERVER_FAILING], 1);
  ck_assert_int_lt (errors, 300 / SERVERS / 4);
  for (int i = 1; i < SERVERS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "s%d", i);
      ck_assert (!bb_directory_find_server (bb_marked_directory (t.m), name)
                      ->load.quality.is_failing);
    }
  teardown ();
}
END_TEST

/* Guards against a peer with absurd or one-sided reports that ejects servers.
 */
static const struct
{
  const char *description;
  struct bb_answer_counts report[SERVERS];
  unsigned failing, refused;
} reports[] = {
  { "one failing server", { { 0, 4 }, { 4, 0 }, { 4, 0 } }, 1, 0 },
  { "more answers than a server can give", { { 0, 101 }, { 4, 0 } }, 0, 1 },
  { "absurd counts of all servers",
    { { UINT32_MAX, UINT32_MAX }, { UINT32_MAX, 0 }, { 0, UINT32_MAX } },
    0,
    1 },
  { "all servers seem to fail", { { 0, 4 }, { 0, 4 }, { 0, 4 } }, 0, 0 },
};

START_TEST (reports_of_peers_are_checked)
{
  setup_service ();
  const struct bb_endpoint from = { 0x0a000102, 7000 };
  struct bb_sync_message m = {
    .kind = BB_SYNC_HEARTBEAT,
    .from = 2,
    .heartbeat = { .data_centre = bb_name_key ("north"),
                   .load_count = SERVERS,
                   .answer_count = SERVERS },
  };
  struct bb_backend_server *servers[SERVERS];
  for (int i = 0; i < SERVERS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "s%d", i);
      servers[i] = bb_directory_find_server (bb_marked_directory (t.m), name);
      m.heartbeat.loads[i].cookie = servers[i]->cookie;
      m.heartbeat.answers[i].counts = reports[_i].report[i];
    }
  for (int i = 0; i < 2 * TRAINING; i++)
    ask (USUAL, AT (i * 5));
  bb_sync_receive (bb_marked_get_sync (t.m), &from, &m, AT (400));
  unsigned failing = 0;
  for (int i = 0; i < SERVERS; i++)
    failing += servers[i]->load.quality.is_failing;
  ck_assert_msg (failing == reports[_i].failing, "%s: %u failing",
                 reports[_i].description, failing);
  ck_assert_uint_ge (t.events[BB_EVENT_ENTRY_REFUSED], reports[_i].refused);
  teardown ();
}
END_TEST

/* Guards against new flows that are counted for a cause that is not theirs.
 */
static const struct
{
  const char *description;
  uint32_t length; /* of the answer before */
  bb_usec after;
  enum bb_flow_cause cause;
} causes[] = {
  { "usual answer", USUAL, 100 * BB_MSEC, BB_FLOW_CAUSE_NONE },
  { "error", ERROR_LENGTH, 100 * BB_MSEC, BB_FLOW_CAUSE_SHORT_ANSWER },
  { "error long ago", ERROR_LENGTH, 2 * BB_SEC, BB_FLOW_CAUSE_NONE },
};

START_TEST (new_flows_are_counted_by_cause)
{
  setup_service ();
  ask (causes[_i].length, AT (0));
  uint64_t before = bb_marked_get_counters (t.m)->placed_for[causes[_i].cause];
  for (int i = 0; i < 2; i++)
    open_flow (++next_port, AT (20) + causes[_i].after);
  uint64_t count
      = bb_marked_get_counters (t.m)->placed_for[causes[_i].cause] - before;
  ck_assert_msg (count == (causes[_i].cause == BB_FLOW_CAUSE_NONE ? 2 : 1),
                 "%s", causes[_i].description);
  teardown ();
}
END_TEST

/* Guards against a failing server whose evidence outlives its process.  */
START_TEST (restarted_server_is_trusted)
{
  setup_service ();
  struct bb_backend_server *s
      = bb_directory_find_server (bb_marked_directory (t.m), "s0");
  bb_answer_quality_begin_failure (&s->load.quality, &s->group->quality,
                                   AT (0));
  struct bb_server_record r = s->record;
  r.born_ms++;
  r.revision = ++t.revision;
  bb_marked_put_server (t.m, &r, AT (10));
  ck_assert (!s->load.quality.is_failing);
  teardown ();
}
END_TEST

/* Guards against a data centre that loses all of its servers because the
   servers of others are counted with it.  */
START_TEST (part_of_each_data_centre_is_kept)
{
  enum
  {
    SOUTH = 3,
    EAST = 6
  };
  const struct bb_answer_counts usual = { .usual = 100 },
                                errors = { .outliers = 10 };
  struct bb_backend_server *south[SOUTH], *east[EAST];
  unsigned failing = 0;
  char name[8];
  setup ();
  for (unsigned i = 0; i < EAST; i++)
    {
      g_snprintf (name, sizeof name, "e%u", i);
      east[i] = put_server (name, "desk", "east", BB_SERVER_READY, 0);
      bb_server_add_answers (east[i], &usual, BB_SEC);
    }
  for (unsigned i = 0; i < SOUTH; i++)
    {
      g_snprintf (name, sizeof name, "s%u", i);
      south[i] = put_server (name, "desk", "south", BB_SERVER_READY, 0);
    }
  for (unsigned i = 0; i < SOUTH; i++)
    failing += bb_server_add_answers (south[i], &errors, BB_SEC)
               == BB_QUALITY_FAILING;
  ck_assert_uint_eq (failing, 1);
  teardown ();
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("answers");
  TCase *c = tcase_create ("packets");
  tcase_add_loop_test (c, answer_is_counted_once, 0, G_N_ELEMENTS (exchanges));
  tcase_add_test (c, failing_server_gets_few_new_flows);
  tcase_add_loop_test (c, reports_of_peers_are_checked, 0,
                       G_N_ELEMENTS (reports));
  tcase_add_loop_test (c, new_flows_are_counted_by_cause, 0,
                       G_N_ELEMENTS (causes));
  tcase_add_test (c, restarted_server_is_trusted);
  tcase_add_test (c, part_of_each_data_centre_is_kept);
  suite_add_tcase (s, c);
  return run_suite (s);
}
