/* Silences of a server at several peers that begin and end at other times.  */

#include "marked/sync/sync.h"
#include "tests/suite.h"

enum
{
  PEERS = 3,
  REPORT_MS = 100, /* between two reports of a peer */
  START_MS = 2000,
};

static struct bb_sync_heartbeat sent; /* the last one */

static void
keep_heartbeat (void *context, const struct bb_endpoint *to, size_t count,
                const struct bb_sync_message *message)
{
  (void)context;
  (void)to;
  (void)count;
  if (message->kind == BB_SYNC_HEARTBEAT)
    sent = message->heartbeat;
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

static const struct bb_sync_sink sink = { .send = keep_heartbeat,
                                          .event = ignore_event,
                                          .server = ignore_server };

/* What a peer sees of the server, in milliseconds.  */
struct peer
{
  int silent_from, silent_to; /* of two flows */
  int answer;                 /* 0: none */
};

static void
send_report (struct bb_sync *sync, uint32_t id, const struct peer *p,
             uint32_t cookie, int at)
{
  struct bb_endpoint from = { id, 7000 };
  struct bb_sync_message m
      = { .kind = BB_SYNC_HEARTBEAT,
          .from = id,
          .incarnation = 1,
          .heartbeat = { .data_centre = bb_name_key ("north"),
                         .loads = { { .cookie = cookie } },
                         .load_count = 1 } };
  struct bb_sync_heartbeat *b = &m.heartbeat;
  b->loads[0].is_answering = p->answer != 0 && at == p->answer;
  if (at >= p->silent_from && at < p->silent_to)
    b->silences[b->silence_count++] = (struct bb_sync_silence){
      .flows = 2,
      .failed = 1,
      .probed_ms = (uint32_t)(at - p->silent_from),
      .age_ms = (uint32_t)(at - p->silent_from),
    };
  bb_sync_receive (sync, &from, &m, at * BB_MSEC);
}

/* Guards against the start of a silence that ended, which hides the silences
   after an answer, or makes those that have just begun look long.  */
static const struct
{
  const char *description;
  struct peer peers[PEERS];
  int at;
  bool is_dead;
} cases[] = {
  { "silences after an answer",
    { { 2000, 3500, 2600 }, { 3000, 9000, 0 }, { 3000, 9000, 0 } },
    3900,
    true },
  { "silences that have just begun",
    { { 2000, 3500, 0 }, { 3400, 9000, 0 }, { 3400, 9000, 0 } },
    3700,
    false },
  { "the same, later",
    { { 2000, 3500, 0 }, { 3400, 9000, 0 }, { 3400, 9000, 0 } },
    3900,
    true },
};

static struct bb_sync *
start_balancer (struct bb_directory *d)
{
  struct bb_sync_options options
      = { .self = { 1, bb_name_key ("north"), { 1, 7000 } },
          .incarnation = 1,
          .capacity = 1000,
          .seed = 1 };
  return bb_sync_new (&options, d, &sink, NULL, BB_SEC);
}

static struct bb_backend_server *
put_server (struct bb_directory *d, unsigned number)
{
  struct bb_backend_server *s;
  struct bb_server_record r = { .service = "desk",
                                .data_centre = "north",
                                .address = { 0x0a000001, 8080 },
                                .slots = 2,
                                .revision = number,
                                .created = number };
  g_snprintf (r.name, sizeof r.name, "n-%u", number);
  bb_directory_put (d, &r, 0, &s);
  return s;
}

START_TEST (silences_that_ended_do_not_count)
{
  struct bb_directory *d = bb_directory_new ("north");
  struct bb_sync *sync = start_balancer (d);
  const struct bb_backend_server *s = put_server (d, 1);
  for (int at = START_MS; at <= cases[_i].at; at += REPORT_MS)
    {
      for (uint32_t i = 0; i < PEERS; i++)
        send_report (sync, 2 + i, &cases[_i].peers[i], s->cookie, at);
      bb_sync_tick (sync, at * BB_MSEC);
    }
  ck_assert_msg (bb_suspicion_is_dead_for_peers (&s->load.evidence,
                                                 cases[_i].at * BB_MSEC)
                     == cases[_i].is_dead,
                 "%s", cases[_i].description);
  bb_sync_free (sync);
  bb_directory_free (d);
}
END_TEST

/* Guards against silences, and answers that refute those of peers, that no
   peer learns of because more servers have a load than a heartbeat lists.  */
static const struct
{
  const char *description;
  bool is_silent, peer_is_silent, has_answered;
  bool is_first;
} reports[] = {
  { "a silence", true, false, false, true },
  { "an answer in spite of the silence at a peer", false, true, true, true },
  { "a silence at a peer, without an answer here", false, true, false, false },
  { "neither", false, false, false, false },
};

START_TEST (silent_servers_are_listed_first)
{
  enum
  {
    LOADED = 200
  };
  const bb_usec now = START_MS * BB_MSEC;
  const struct peer silent = { START_MS - REPORT_MS, START_MS + 1, 0 };
  const struct peer calm = { 0, 0, 0 };
  struct bb_directory *d = bb_directory_new ("north");
  struct bb_sync *sync = start_balancer (d);
  struct bb_backend_server *oldest = put_server (d, 1);
  oldest->load.open = 1;
  for (unsigned i = 2; i <= LOADED; i++)
    put_server (d, i)->load.open = 1;
  if (reports[_i].has_answered)
    bb_suspicion_add_answer (&oldest->load.evidence, now);
  if (reports[_i].is_silent)
    {
      struct bb_flow_silence flow = { 0 };
      bb_suspicion_add_repeat (&oldest->load.evidence, &flow, now);
      bb_suspicion_add_silent_flow (&oldest->load.evidence, now);
      bb_sync_note_silence (sync, oldest->cookie);
    }
  send_report (sync, 2, reports[_i].peer_is_silent ? &silent : &calm,
               oldest->cookie, START_MS);
  bb_sync_tick (sync, now);
  bool is_first
      = sent.load_count > 0 && sent.loads[0].cookie == oldest->cookie;
  ck_assert_msg (is_first == reports[_i].is_first, "%s",
                 reports[_i].description);
  ck_assert_uint_eq (sent.silence_count, reports[_i].is_silent);
  for (uint32_t i = 1; i < sent.load_count; i++)
    ck_assert_uint_ne (sent.loads[i].cookie, oldest->cookie);
  bb_sync_free (sync);
  bb_directory_free (d);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("silence reports");
  TCase *tc = tcase_create ("peers");
  tcase_add_loop_test (tc, silences_that_ended_do_not_count, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (tc, silent_servers_are_listed_first, 0,
                       G_N_ELEMENTS (reports));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
