/* Refusals of new flows under the loads at which they count, replayed without
   I/O: servers with slots and queues, open flows that bring requests whatever
   is decided, and rejected requests that come back as new flows.  */

#include "marked/place.h"
#include "tests/suite.h"
#include <string.h>

enum
{
  SERVERS = 14, /* as the ledger of Umunyu has, in one data centre */
  SLOTS = 3,
  QUEUE = 12,
  TRIES = 3, /* of one request */
  WORK_MS = 43,
  OBJECTIVE_MS = 200,
  TRAVEL_MS = 8,      /* packets of a request and its answer */
  OPENING_MS = 8,     /* packets that open a flow */
  LIMIT_MS = 1200,    /* a caller waits no longer */
  LENGTH_MS = 8000,   /* of a replay */
  WARM_MS = 1000,     /* requests of this time are not counted */
  PENDING_MAX = 4096, /* requests that wait to be tried again */
};

struct request
{
  bb_usec first, sent, due;
  int tries;
};

struct station
{
  struct bb_backend_server *server;
  struct request waiting[QUEUE], running[SLOTS];
  int waits, runs;
};

static struct
{
  struct bb_directory *directory;
  struct bb_route *route;
  GRand *random;
  struct station stations[SERVERS];
  struct request pending[PENDING_MAX];
  int pending_count;
  unsigned asked, in_time, refused, placed;
} t;

static void
setup (void)
{
  memset (&t, 0, sizeof t);
  t.directory = bb_directory_new ("north");
  t.random = g_rand_new_with_seed (3);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct bb_server_record r = { .service = "ledger",
                                    .data_centre = "north",
                                    .address = { 0x0a000001 + i, 8080 },
                                    .slots = SLOTS,
                                    .created = i + 1,
                                    .revision = i + 1 };
      g_snprintf (r.name, sizeof r.name, "s-%u", i);
      bb_directory_put (t.directory, &r, 0, &t.stations[i].server);
    }
}

static void
teardown (void)
{
  bb_directory_free (t.directory);
  g_rand_free (t.random);
}

static void
configure (uint32_t objective_ms)
{
  struct bb_route_record r = { .address = { 0xc6120001, 443 },
                               .shares = { { bb_name_key ("ledger"), 1 } },
                               .share_count = 1,
                               .objective_ms = objective_ms,
                               .revision = 100 };
  bb_directory_configure (t.directory, 1, 100, &r, 1, 0);
  t.route = bb_directory_route (t.directory, &r.address);
}

static void
answered (struct station *s, const struct request *q, bb_usec now)
{
  s->server->load.busy--;
  bb_answer_time_add (&s->server->group->near,
                      now - q->sent + TRAVEL_MS * BB_MSEC, now);
}

static void
again (const struct request *q, bb_usec now)
{
  if (q->tries + 1 >= TRIES || t.pending_count == PENDING_MAX)
    return;
  struct request *next = &t.pending[t.pending_count++];
  *next = *q;
  next->tries++;
  next->due = now + TRAVEL_MS * BB_MSEC;
}

/* A request reaches a server, which rejects it if its queue is full.  */
static void
arrive (struct station *s, struct request q, bb_usec now)
{
  q.sent = now;
  s->server->load.busy++;
  if (s->waits == QUEUE)
    {
      answered (s, &q, now);
      again (&q, now);
    }
  else
    s->waiting[s->waits++] = q;
}

static void
try_again (struct request q, bb_usec now)
{
  struct bb_choice c
      = bb_place_flow (t.directory, t.route, &bb_placing_load, t.random, now);
  if (!c.server)
    {
      ck_assert_int_eq (c.reason, BB_REASON_ALL_BUSY);
      t.refused++;
      again (&q, now);
      return;
    }
  t.placed++;
  for (int i = 0; i < SERVERS; i++)
    if (t.stations[i].server == c.server)
      arrive (&t.stations[i], q, now);
}

/* SLOWER times the usual work for one request.  */
static void
run (struct station *s, int slower, bb_usec now)
{
  for (int i = 0; i < s->runs; i++)
    if (s->running[i].due <= now)
      {
        const struct request q = s->running[i];
        bb_usec took = now - q.first + TRAVEL_MS * BB_MSEC
                       + (q.tries ? OPENING_MS * BB_MSEC : 0);
        answered (s, &q, now);
        t.in_time
            += q.first >= WARM_MS * BB_MSEC && took <= OBJECTIVE_MS * BB_MSEC;
        s->running[i--] = s->running[--s->runs];
      }
  while (s->runs < SLOTS && s->waits > 0)
    {
      struct request q = s->waiting[0];
      memmove (s->waiting, s->waiting + 1, (size_t)--s->waits * sizeof q);
      q.due = now
              + slower * WORK_MS * BB_MSEC
                    * g_rand_int_range (t.random, 50, 151) / 100;
      s->running[s->runs++] = q;
    }
}

/* Requests on open flows: LOAD percent of what the servers can run.  SLOW of
   them take five times as long.  Returns the percentage of requests that were
   answered within the objective.  */
static unsigned
replay (int load, int slow)
{
  double chance = load / 100.0 * SERVERS * SLOTS / WORK_MS;
  for (bb_usec now = 0; now < LENGTH_MS * BB_MSEC; now += BB_MSEC)
    {
      int arrivals = (int)chance;
      arrivals += g_rand_double (t.random) < chance - arrivals;
      while (arrivals-- > 0)
        {
          struct request q = { .first = now };
          int at = g_rand_int_range (t.random, 0, SERVERS);
          t.asked += now >= WARM_MS * BB_MSEC;
          arrive (&t.stations[at], q, now);
        }
      for (int i = 0; i < t.pending_count; i++)
        if (t.pending[i].due <= now)
          {
            struct request q = t.pending[i];
            t.pending[i--] = t.pending[--t.pending_count];
            if (now - q.first < LIMIT_MS * BB_MSEC)
              try_again (q, now);
          }
      for (int i = 0; i < SERVERS; i++)
        run (&t.stations[i], i < slow ? 5 : 1, now);
    }
  return 100 * t.in_time / t.asked;
}

/* Guards against queues that stay full with requests that come back: more are
   answered in time if these are refused.  */
static const struct
{
  const char *guards;
  int load;   /* percent of what the servers can run */
  int better; /* percentage points more in time with an objective */
} bursts[] = {
  { "a load just above what can be run", 106, 5 },
  { "a burst of three times the usual load", 115, 5 },
  { "a burst of four times the usual load", 150, 5 },
};

START_TEST (burst)
{
  configure (0);
  unsigned before = replay (bursts[_i].load, 0);
  ck_assert_uint_eq (t.refused, 0);
  teardown ();
  setup ();
  configure (OBJECTIVE_MS);
  unsigned after = replay (bursts[_i].load, 0);
  ck_assert_uint_gt (t.refused, 0);
  ck_assert_msg (after >= before + (unsigned)bursts[_i].better,
                 "%s: %u %% in time with refusals, %u %% without",
                 bursts[_i].guards, after, before);
}
END_TEST

/* Guards against refusals while servers have room.  */
static const struct
{
  const char *guards;
  int load, slow;
  uint32_t objective_ms;
} calm[] = {
  { "an ordinary load", 35, 0, OBJECTIVE_MS },
  { "a high load", 75, 0, OBJECTIVE_MS },
  { "some servers are slow", 35, 3, OBJECTIVE_MS },
  { "an objective that full queues meet", 130, 0, 1000 },
  { "an objective that no answer meets, with free slots", 35, 0, 20 },
};

START_TEST (room)
{
  configure (calm[_i].objective_ms);
  replay (calm[_i].load, calm[_i].slow);
  ck_assert_msg (t.refused == 0, "%s: %u refused", calm[_i].guards, t.refused);
}
END_TEST

/* Guards against an estimate that outlives what it was made from.  */
static const struct
{
  const char *guards;
  bb_usec took, later;
  int answers;
  bool exceeds;
} estimates[] = {
  { "nothing is known", 0, 0, 0, false },
  { "a few answers are no evidence", 300 * BB_MSEC, 0, 4, false },
  { "slow answers are", 300 * BB_MSEC, 0, 20, true },
  { "quick ones are not", 30 * BB_MSEC, 0, 20, false },
  { "old answers are no evidence", 300 * BB_MSEC, BB_SEC, 20, false },
};

START_TEST (estimate)
{
  struct bb_answer_time e = { 0 };
  bb_usec now = BB_SEC;
  for (int i = 0; i < estimates[_i].answers; i++)
    bb_answer_time_add (&e, estimates[_i].took, now += 10 * BB_MSEC);
  now += estimates[_i].later;
  ck_assert_msg (bb_answer_time_exceeds (&e, OBJECTIVE_MS * BB_MSEC, now)
                     == estimates[_i].exceeds,
                 "%s", estimates[_i].guards);
  ck_assert (!bb_answer_time_exceeds (&e, 0, now));
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("admission");
  TCase *tc = tcase_create ("refusals");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, burst, 0, G_N_ELEMENTS (bursts));
  tcase_add_loop_test (tc, room, 0, G_N_ELEMENTS (calm));
  tcase_add_loop_test (tc, estimate, 0, G_N_ELEMENTS (estimates));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
