/* Servers that fall silent while callers have open flows, and faults of links
   that look like it.  Each balancer sees less than one request a second of
   each server.  */

#include "tests/pool_fixture.h"

enum
{
  REQUESTS = 11 * SERVERS, /* a second */
  FLOWS = 8 * SERVERS,
  ANSWER = 800,
};

/* Times of callers.  */
#define ANSWER_TIME (20 * BB_MSEC)
#define REQUEST_LIMIT (1500 * BB_MSEC)
static const bb_usec transmissions[]
    = { 0, 200 * BB_MSEC, 600 * BB_MSEC, 1400 * BB_MSEC, REQUEST_LIMIT };

struct flow
{
  unsigned balancer;
  uint16_t port; /* 0: not open */
  uint32_t cookie;
  uint32_t sequence;
  uint32_t acknowledged;
  bb_usec opens;      /* not before */
  bb_usec started;    /* of the pending request; 0: none */
  unsigned sent;      /* transmissions of it */
  bb_usec answer_due; /* 0: no transmission has reached the server */
};

static struct
{
  struct flow flows[FLOWS];
  bool are_silent;       /* the failing servers */
  bool all_silent;       /* all servers */
  bool is_outbound_lost; /* packets of cut balancers to servers only */
  unsigned failed;       /* requests without an answer within the limit */
  unsigned resets;       /* of flows of failing servers */
  unsigned live_resets;  /* of flows of other servers */
  unsigned misplaced;    /* new flows at silent servers */
} sim;

static bool
is_silent (uint32_t cookie)
{
  return sim.all_silent || (sim.are_silent && is_failing (cookie));
}

static void
close_flow (struct flow *f, bb_usec opens)
{
  *f = (struct flow){ .opens = opens };
}

static void
count_reset (struct flow *f)
{
  if (sim.are_silent && is_failing (f->cookie))
    sim.resets++;
  else
    sim.live_resets++;
  close_flow (f, pool.now);
}

static void
receive_reset (const struct bb_marked_packet *packet)
{
  for (unsigned i = 0; i < FLOWS; i++)
    if (sim.flows[i].port == packet->packet.source_port)
      count_reset (&sim.flows[i]);
}

/* Whether packets of callers reach BALANCER.  */
static bool
is_reachable (unsigned balancer)
{
  return !pool.is_cut[balancer] || sim.is_outbound_lost;
}

static void
open_flow (struct flow *f)
{
  f->balancer = draw_balancer ();
  if (pool.is_cut[f->balancer])
    return;
  f->port = ++pool.next_port;
  f->cookie
      = send_packet (f->balancer, f->port, 0, BB_TCP_SYN, 100, 0, 0).cookie;
  if (is_silent (f->cookie))
    {
      sim.misplaced++;
      close_flow (f, pool.now + 1400 * BB_MSEC);
      return;
    }
  f->sequence = 101;
  f->acknowledged = 1;
  send_packet (f->balancer, f->port, f->cookie, BB_TCP_ACK, 101, 0, 1);
}

static void
transmit (struct flow *f)
{
  f->sent++;
  if (!is_reachable (f->balancer))
    return;
  struct bb_marked_verdict v
      = send_packet (f->balancer, f->port, f->cookie, BB_TCP_ACK, f->sequence,
                     50, f->acknowledged);
  if (v.kind == BB_MARKED_RESET)
    count_reset (f);
  else if (!pool.is_cut[f->balancer] && !is_silent (f->cookie)
           && f->answer_due == 0)
    f->answer_due = pool.now + ANSWER_TIME;
}

static void
play_flow (struct flow *f)
{
  if (f->started == 0)
    return;
  if (f->answer_due != 0 && pool.now >= f->answer_due)
    {
      f->sequence += 50;
      f->acknowledged += ANSWER;
      f->started = f->answer_due = 0;
      if (is_reachable (f->balancer))
        send_packet (f->balancer, f->port, f->cookie, BB_TCP_ACK, f->sequence,
                     0, f->acknowledged);
    }
  else if (pool.now - f->started >= REQUEST_LIMIT)
    {
      sim.failed++;
      close_flow (f, pool.now);
    }
  else if (pool.now - f->started >= transmissions[f->sent])
    transmit (f);
}

static void
play_callers (void)
{
  bool is_new = g_rand_double (pool.random) < (double)REQUESTS * STEP / BB_SEC;
  unsigned start = (unsigned)g_rand_int_range (pool.random, 0, FLOWS);
  for (unsigned i = 0; i < FLOWS; i++)
    {
      struct flow *f = &sim.flows[(start + i) % FLOWS];
      if (f->port == 0 && pool.now >= f->opens)
        open_flow (f);
      play_flow (f);
      if (!is_new || f->port == 0 || f->started != 0)
        continue;
      is_new = false;
      f->started = pool.now;
      f->sent = 0;
      transmit (f);
    }
}

static void
setup_callers (void)
{
  setup ();
  memset (&sim, 0, sizeof sim);
  pool.reset = receive_reset;
  run (5 * BB_SEC, play_callers);
  ck_assert_uint_eq (sim.failed + sim.live_resets, 0);
}

/* Guards against requests that wait for a dead server until their callers give
   up: no balancer alone sees enough of them.  */
START_TEST (flows_of_silent_servers_are_reset)
{
  sim.are_silent = true;
  run (BB_SEC, play_callers);
  ck_assert_uint_ge (sim.resets, 1);
  run (2 * BB_SEC, play_callers);
  /* Without a reset, each request of 3 s to an open flow there fails.  */
  unsigned asked = REQUESTS * 3 * FAILING / SERVERS;
  ck_assert_msg (sim.failed < asked / 10, "%u of about %u requests failed",
                 sim.failed, asked);
  ck_assert_uint_eq (sim.live_resets, 0);
}
END_TEST

/* Guards against new flows at dead servers, which have the fewest: a flow that
   is opened there is late.  */
START_TEST (dead_servers_get_no_new_flows)
{
  sim.are_silent = true;
  run (1200 * BB_MSEC, play_callers);
  sim.misplaced = 0;
  run (2500 * BB_MSEC, play_callers);
  ck_assert_uint_le (sim.misplaced, FAILING);
}
END_TEST

/* Guards against resets of flows of live servers.  The links of some balancers
   are down for a while, or servers pause.  */
static const struct
{
  const char *description;
  unsigned cut; /* balancers */
  bool is_outbound_lost;
  bool all_silent;
  bb_usec duration;
} faults[] = {
  { "half of the links are down", BALANCERS / 2, false, false, 600 * BB_MSEC },
  { "half of the links lose packets to servers", BALANCERS / 2, true, false,
    600 * BB_MSEC },
  { "all links are down", BALANCERS, false, false, 600 * BB_MSEC },
  { "all links lose packets to servers", BALANCERS, true, false,
    600 * BB_MSEC },
  { "all links lose packets to servers for long", BALANCERS, true, false,
    1300 * BB_MSEC },
  { "all servers pause", 0, false, true, 450 * BB_MSEC },
  { "some servers pause", 0, false, false, 350 * BB_MSEC },
};

START_TEST (flows_of_live_servers_are_kept)
{
  for (unsigned i = 0; i < faults[_i].cut; i++)
    pool.is_cut[i] = true;
  sim.is_outbound_lost = faults[_i].is_outbound_lost;
  sim.all_silent = faults[_i].all_silent;
  sim.are_silent = faults[_i].cut == 0 && !faults[_i].all_silent;
  run (faults[_i].duration, play_callers);
  memset (pool.is_cut, 0, sizeof pool.is_cut);
  sim.are_silent = sim.all_silent = false;
  run (3 * BB_SEC, play_callers);
  ck_assert_msg (sim.live_resets + sim.resets == 0, "%s: %u resets",
                 faults[_i].description, sim.live_resets + sim.resets);
}
END_TEST

/* Guards against a balancer that reports all servers as silent, and against
   counts that cannot be true.  */
START_TEST (reports_of_one_balancer_reset_nothing)
{
  const struct bb_endpoint from = endpoint_of (BALANCERS);
  struct bb_sync_message m = {
    .kind = BB_SYNC_HEARTBEAT,
    .from = BALANCERS + 1,
    .incarnation = 1,
    .heartbeat = { .data_centre = bb_name_key ("north"),
                   .load_count = FAILING,
                   .silence_count = FAILING },
  };
  for (uint32_t i = 0; i < FAILING; i++)
    {
      m.heartbeat.loads[i].cookie = pool.failing[i];
      m.heartbeat.silences[i] = (struct bb_sync_silence){
        .load = i,
        .flows = i == 0 ? UINT32_MAX : 50,
        .failed = 8,
        .probed_ms = 900,
        .age_ms = 900,
      };
    }
  for (int round = 0; round < 10; round++)
    {
      for (unsigned n = 0; n < BALANCERS; n++)
        bb_sync_receive (bb_marked_get_sync (pool.nodes[n]), &from, &m,
                         pool.now);
      run (100 * BB_MSEC, play_callers);
    }
  ck_assert_uint_eq (sim.live_resets, 0);
}
END_TEST

/* Guards against a server that is declared dead by one balancer, by few
   callers, too early, in spite of an answer, or because its requests take
   long or it is full.  Times in milliseconds.  */
static const struct
{
  const char *description;
  unsigned peers, flows, own;  /* balancers, silent flows at each, own flows */
  unsigned failed, own_failed; /* probes, at each peer and here */
  int since, answer, peer_answer, now;
  bool is_dead;
} silences[] = {
  { "two peers and two flows each", 2, 2, 0, 1, 0, 2000, 1900, 1900, 2400,
    true },
  { "one peer and own flows", 1, 2, 1, 1, 1, 2000, 1900, 1900, 2400, true },
  { "one peer", 1, 9, 0, 8, 0, 2000, 1900, 1900, 2900, false },
  { "two flows", 2, 1, 0, 1, 0, 2000, 1900, 1900, 2900, true },
  { "too early", 2, 2, 0, 1, 0, 2000, 1900, 1900, 2390, false },
  { "own answer", 2, 2, 0, 1, 0, 2000, 2001, 1900, 2900, false },
  { "answer of a peer after the silence began", 2, 2, 0, 1, 0, 2000, 1900,
    2300, 2900, false },
  { "answer of a peer that may be older", 2, 2, 0, 1, 0, 2000, 1900, 2290,
    2400, false },
  { "answer of a peer that may be older, long ago", 2, 2, 0, 1, 0, 2000, 1900,
    2290, 2690, true },
  { "requests or first packets, each sent again", 2, 9, 9, 0, 0, 2000, 1900,
    1900, 2900, false },
  { "one probe failed at a peer", 1, 9, 9, 1, 0, 2000, 1900, 1900, 2900,
    false },
  { "one probe failed here", 2, 9, 9, 0, 1, 2000, 1900, 1900, 2900, false },
};

/* Adds a probe of a flow of its own that was sent at SENT and failed.  */
static void
add_failed_probe (struct bb_suspicion_evidence *e, bb_usec sent)
{
  struct bb_flow_silence flow = { 0 };
  bb_probes_add (&e->probes, 400 * BB_MSEC, sent);
  bb_suspicion_add_repeat (e, &flow, sent);
  bb_suspicion_add_failed_probe (e, &flow, sent, true, sent + 400 * BB_MSEC);
}

START_TEST (several_balancers_prove_a_death)
{
  struct bb_suspicion_evidence e = { 0 };
  const bb_usec since = silences[_i].since * BB_MSEC;
  const bb_usec now = silences[_i].now * BB_MSEC;
  bb_suspicion_add_answer (&e, silences[_i].answer * BB_MSEC);
  for (unsigned i = 0; i < silences[_i].own; i++)
    {
      struct bb_flow_silence flow = { 0 };
      bb_suspicion_add_repeat (&e, &flow, since);
      bb_suspicion_add_silent_flow (&e, since);
    }
  for (unsigned i = 0; i < silences[_i].own_failed; i++)
    add_failed_probe (&e, since);
  bb_suspicion_add_peer_answer (&e, silences[_i].peer_answer * BB_MSEC);
  const struct bb_silence silence
      = { .flows = silences[_i].flows,
          .probes = { .failed = silences[_i].failed, .since = since },
          .since = since };
  for (unsigned i = 0; i < silences[_i].peers; i++)
    bb_suspicion_add_peer_silence (&e, &silence, now);
  ck_assert_msg (bb_suspicion_is_dead_for_peers (&e, now)
                     == silences[_i].is_dead,
                 "%s", silences[_i].description);
  for (unsigned i = 0; i < silences[_i].peers; i++)
    bb_suspicion_remove_peer_silence (&e, &silence);
  ck_assert (!bb_suspicion_is_dead_for_peers (&e, now));
}
END_TEST

/* Guards against probes that are counted as answered before that can be known,
   after the server may have died, or not at all.  Times in milliseconds; 0: no
   such probe.  The caller retransmits 400 ms after a probe.  */
static const struct
{
  const char *description;
  int failed[2], pending[2];
  int since, now;
  bool is_report;
  unsigned failed_count, answered_count;
} probes[] = {
  { "none", { 0, 0 }, { 0, 0 }, 1000, 5000, false, 0, 0 },
  { "one that is not due", { 0, 0 }, { 1000, 0 }, 1000, 1340, false, 0, 0 },
  { "one that is due about now",
    { 0, 0 },
    { 1000, 0 },
    1000,
    1380,
    false,
    0,
    1 },
  { "the same in a report", { 0, 0 }, { 1000, 0 }, 1000, 1420, true, 0, 0 },
  { "one that is overdue", { 0, 0 }, { 1000, 0 }, 1000, 1460, true, 0, 1 },
  { "one of long ago", { 0, 0 }, { 1000, 0 }, 1000, 9000, false, 0, 0 },
  { "one that failed", { 1000, 0 }, { 0, 0 }, 1000, 1400, true, 1, 0 },
  { "one that failed in an earlier silence",
    { 1000, 0 },
    { 0, 0 },
    1800,
    1900,
    true,
    0,
    0 },
  { "two that failed, one sent with them was answered",
    { 1000, 1010 },
    { 990, 0 },
    1000,
    1440,
    true,
    2,
    1 },
  { "two that failed, one was answered before",
    { 1000, 1010 },
    { 900, 0 },
    1000,
    1440,
    true,
    2,
    0 },
  { "two that failed, one was answered after",
    { 1000, 1010 },
    { 1500, 0 },
    1000,
    1950,
    true,
    2,
    1 },
};

START_TEST (probes_are_counted)
{
  struct bb_probes p = { 0 };
  for (size_t i = 0; i < G_N_ELEMENTS (probes[_i].failed); i++)
    {
      if (probes[_i].pending[i] != 0)
        bb_probes_add (&p, 400 * BB_MSEC, probes[_i].pending[i] * BB_MSEC);
      if (probes[_i].failed[i] == 0)
        continue;
      bb_probes_add (&p, 400 * BB_MSEC, probes[_i].failed[i] * BB_MSEC);
      ck_assert (bb_probes_fail (&p, probes[_i].failed[i] * BB_MSEC, true));
    }
  struct bb_probe_counts counts
      = bb_probes_count (&p, probes[_i].since * BB_MSEC, probes[_i].is_report,
                         probes[_i].now * BB_MSEC);
  ck_assert_msg (counts.failed == probes[_i].failed_count
                     && counts.answered == probes[_i].answered_count,
                 "%s: %u failed, %u answered", probes[_i].description,
                 counts.failed, counts.answered);
}
END_TEST

/* Guards against a slow server that is declared dead because its answered
   probes at peers are not counted, and against one whose death is found late
   because those count that were answered before.  Times in milliseconds.  */
static const struct
{
  const char *description;
  int answered; /* by the server, a probe sent then; at a third peer */
  unsigned answered_count;
  bool is_dead;
} refutations[] = {
  { "after the first one that failed", 2100, 2, false },
  { "with it", 1970, 2, false },
  { "fewer than failed", 2100, 1, true },
  { "before it", 1900, 8, true },
};

START_TEST (answered_probes_of_peers_refute_a_death)
{
  struct bb_suspicion_evidence e = { 0 };
  const bb_usec since = 2000 * BB_MSEC, now = 2700 * BB_MSEC;
  const struct bb_silence silent = {
    .flows = 1, .since = since, .probes = { .failed = 1, .since = since }
  };
  const struct bb_silence answering
      = { .probes = { .answered = refutations[_i].answered_count,
                      .since = refutations[_i].answered * BB_MSEC },
          .is_slow = true };
  bb_suspicion_add_peer_silence (&e, &answering, now);
  bb_suspicion_add_peer_silence (&e, &silent, now);
  bb_suspicion_add_peer_silence (&e, &silent, now);
  /* As at each tick.  */
  bb_suspicion_begin_comparison (&e);
  bb_suspicion_compare_silence (&e, &answering);
  bb_suspicion_compare_silence (&e, &silent);
  bb_suspicion_add_answered_probes (&e, &answering, now);
  ck_assert_msg (bb_suspicion_is_dead_for_peers (&e, now)
                     == refutations[_i].is_dead,
                 "%s", refutations[_i].description);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("silent servers");
  TCase *c = tcase_create ("evidence");
  tcase_add_loop_test (c, several_balancers_prove_a_death, 0,
                       G_N_ELEMENTS (silences));
  tcase_add_loop_test (c, probes_are_counted, 0, G_N_ELEMENTS (probes));
  tcase_add_loop_test (c, answered_probes_of_peers_refute_a_death, 0,
                       G_N_ELEMENTS (refutations));
  suite_add_tcase (s, c);
  c = tcase_create ("balancers");
  tcase_add_checked_fixture (c, setup_callers, teardown);
  tcase_add_test (c, flows_of_silent_servers_are_reset);
  tcase_add_test (c, dead_servers_get_no_new_flows);
  tcase_add_loop_test (c, flows_of_live_servers_are_kept, 0,
                       G_N_ELEMENTS (faults));
  tcase_add_test (c, reports_of_one_balancer_reset_nothing);
  suite_add_tcase (s, c);
  return run_suite (s);
}
