/* Servers that end, become silent or come back, and their flows.  */

#include "tests/marked_fixture.h"

/* Guards against idle flows that stay open after their server has ended: the
   next request, which may not be repeatable, would be lost.  */
START_TEST (idle_flows_end_with_their_server)
{
  struct bb_backend_server *a
      = put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "desk", 0);
  uint32_t cookie = open_flow (1000, BB_SEC);
  send_request (1000, cookie, 101, 1, BB_SEC + 10 * BB_MSEC);
  send_request (1000, cookie, 151, 500, BB_SEC + 50 * BB_MSEC);
  send_request (1000, cookie, 201, 900, BB_SEC + 90 * BB_MSEC);
  put_server ("a", "desk", "north", BB_SERVER_DRAINING, 2 * BB_SEC);
  /* A balancer that does not tick for a second counts as frozen.  */
  for (bb_usec now = 2 * BB_SEC; now < 6 * BB_SEC; now += 50 * BB_MSEC)
    bb_marked_tick (t.m, now);
  ck_assert_uint_eq (t.reset_count, 0);
  put_server ("a", "desk", "north", BB_SERVER_GONE, 6 * BB_SEC);
  ck_assert_int_eq (a->record.state, BB_SERVER_GONE);
  bb_marked_tick (t.m, 6 * BB_SEC);
  ck_assert_uint_eq (t.reset_count, 1);
  ck_assert_uint_eq (t.resets[0].packet.source, CALLER_ADDRESS);
  ck_assert_uint_eq (t.resets[0].packet.source_port, 1000);
  ck_assert_uint_eq (t.resets[0].packet.destination, ROUTE_ADDRESS);
  ck_assert_uint_eq (t.resets[0].packet.acknowledgement, 900);
  ck_assert_uint_eq (bb_marked_flow_count (t.m), 0);
}
END_TEST

/* Guards against idle flows that stay open because many servers end at the
   same time: a data centre that loses power.  */
START_TEST (flows_of_many_servers_end)
{
  enum
  {
    SERVERS = 200
  };
  char name[8];
  configure (1, ROUTE_PORT, "desk", 0);
  for (unsigned i = 0; i < SERVERS; i++)
    {
      g_snprintf (name, sizeof name, "s%u", i);
      uint32_t cookie
          = put_server (name, "desk", "north", BB_SERVER_READY, 0)->cookie;
      send_request ((uint16_t)(1000 + i), cookie, 101, 1, BB_SEC);
    }
  for (unsigned i = 0; i < SERVERS; i++)
    {
      g_snprintf (name, sizeof name, "s%u", i);
      put_server (name, "desk", "north", BB_SERVER_GONE, 5 * BB_SEC);
    }
  bb_marked_tick (t.m, 5 * BB_SEC);
  ck_assert_uint_eq (t.reset_count, SERVERS);
}
END_TEST

/* Guards against resets of flows to a live server whose entry expired while
   the store was unreachable.  */
START_TEST (answering_server_without_entry_keeps_its_flows)
{
  put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "desk", 0);
  uint32_t cookie = open_flow (1000, BB_SEC);
  send_request (1000, cookie, 101, 1, BB_SEC);
  put_server ("a", "desk", "north", BB_SERVER_GONE, 2 * BB_SEC);
  bb_marked_tick (t.m, 2 * BB_SEC);
  ck_assert_uint_eq (t.reset_count, 0);
  ck_assert_int_eq (send_request (1000, cookie, 151, 500, 2 * BB_SEC).kind,
                    BB_MARKED_FORWARD);
  /* No answer: the caller retransmits the same bytes.  */
  ck_assert_int_eq (send_request (1000, cookie, 151, 500, 2200 * BB_MSEC).kind,
                    BB_MARKED_RESET);
}
END_TEST

/* Guards against flows that hang at a silent server, and against resets on too
   little evidence.  The callers of FLOWS flows send a request at nearly the
   same time and retransmit after 200, 600 and 1,400 ms.  */
static const struct
{
  const char *description;
  unsigned flows;
  bool other_answers; /* one more flow is answered throughout */
  bool is_alone;      /* no other server answers here */
  bool resets;
} silences[] = {
  { "several callers without an answer", 4, false, false, true },
  { "two callers without an answer for longer", 2, false, false, true },
  { "one caller is not enough", 1, false, false, false },
  { "a server that answers other callers is alive", 4, true, false, false },
  { "without any answer the own link may be down", 4, false, true, false },
};

START_TEST (silent_server)
{
  const bb_usec times[] = { 0, 200 * BB_MSEC, 600 * BB_MSEC, 1400 * BB_MSEC };
  const unsigned flows = silences[_i].flows;
  put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  put_server ("b", "desk", "south", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "desk", 0);
  uint32_t cookie = 0;
  for (unsigned f = 0; f <= flows; f++)
    cookie = open_flow ((uint16_t)(1000 + f), BB_SEC);
  /* A server that answers shows that the balancer's own link works.  */
  uint32_t live = silences[_i].is_alone ? 0
                                        : put_server ("live", "desk", "north",
                                                      BB_SERVER_READY, BB_SEC)
                                              ->cookie;
  unsigned resets = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (times); i++)
    for (unsigned f = 0; f < flows; f++)
      {
        bb_usec now = 2 * BB_SEC + times[i] + f * 20 * BB_MSEC;
        uint32_t step = (uint32_t)(now / BB_MSEC);
        bb_marked_tick (t.m, now);
        if (live)
          send_request (3000, live, 101 + step, 1 + step, now);
        struct bb_marked_verdict v
            = send_request ((uint16_t)(1000 + f), cookie, 101, 1, now);
        resets += v.kind == BB_MARKED_RESET;
        if (silences[_i].other_answers)
          {
            send_request ((uint16_t)(1000 + flows), cookie, 101 + step,
                          1 + step, now);
          }
        bb_marked_tick (t.m, now);
      }
  resets += t.reset_count;
  ck_assert_msg ((resets > 0) == silences[_i].resets, "%u resets", resets);
}
END_TEST

/* Guards against a balancer that declares its servers dead although its own
   link is down: most of them are silent at the same time.  */
START_TEST (own_link_down_resets_nothing)
{
  const bb_usec times[] = { 0, 200 * BB_MSEC, 600 * BB_MSEC, 1400 * BB_MSEC };
  struct
  {
    uint16_t port;
    uint32_t cookie;
  } flows[12];
  uint32_t cookies[4];
  put_servers (4, cookies);
  configure (1, ROUTE_PORT, "desk", 0);
  for (unsigned f = 0; f < G_N_ELEMENTS (flows); f++)
    {
      flows[f].port = (uint16_t)(1000 + f);
      flows[f].cookie = open_flow (flows[f].port, BB_SEC);
    }
  for (size_t i = 0; i < G_N_ELEMENTS (times); i++)
    for (unsigned f = 0; f < G_N_ELEMENTS (flows); f++)
      {
        bb_usec now = 2 * BB_SEC + times[i] + f * 10 * BB_MSEC;
        bb_marked_tick (t.m, now);
        ck_assert_int_eq (
            send_request (flows[f].port, flows[f].cookie, 101, 1, now).kind,
            BB_MARKED_FORWARD);
      }
  ck_assert_uint_eq (t.reset_count, 0);
}
END_TEST

/* Guards against resets when the own link works again: some servers have
   answered, the answers of the others are still in transit.  */
START_TEST (end_of_isolation_resets_nothing)
{
  uint32_t cookies[3];
  put_servers (3, cookies);
  configure (1, ROUTE_PORT, "desk", 0);
  for (int i = 0; i < 9; i++)
    send_request ((uint16_t)(1000 + i), cookies[i % 3], 101, 1, BB_SEC);
  for (int round = 0; round < 8; round++)
    for (int i = 0; i < 9; i++)
      {
        bb_usec now = 2 * BB_SEC + round * 200 * BB_MSEC;
        send_request ((uint16_t)(1000 + i), cookies[i % 3], 101, 1, now);
        bb_marked_tick (t.m, now);
      }
  bb_usec back = 3700 * BB_MSEC;
  send_request (1000, cookies[0], 151, 900, back);
  send_request (1001, cookies[1], 151, 900, back);
  bb_marked_tick (t.m, back + BB_MSEC);
  for (int i = 2; i < 9; i += 3)
    ck_assert_int_eq (send_request ((uint16_t)(1000 + i), cookies[2], 101, 1,
                                    back + 5 * BB_MSEC)
                          .kind,
                      BB_MARKED_FORWARD);
  bb_marked_tick (t.m, back + 10 * BB_MSEC);
  ck_assert_uint_eq (t.reset_count, 0);
}
END_TEST

/* Guards against resets after a failure of the own link that is shorter than
   the retransmission intervals (soak seed 148).  The servers whose callers
   retransmitted first have answered; the callers of the last server retransmit
   for the first time since the failure.  */
START_TEST (end_of_a_short_cut_resets_nothing)
{
  uint32_t cookies[3];
  put_servers (3, cookies);
  configure (1, ROUTE_PORT, "desk", 0);
  for (int i = 0; i < 12; i++)
    send_request ((uint16_t)(1000 + i), cookies[i % 3], 101, 1,
                  2000 * BB_MSEC);
  for (int i = 0; i < 12; i++)
    send_request ((uint16_t)(1000 + i), cookies[i % 3], 101, 1,
                  2200 * BB_MSEC);
  bb_marked_tick (t.m, 2250 * BB_MSEC);
  for (uint16_t port = 1000; port < 1002; port++)
    send_request (port, cookies[port - 1000], 151, 900, 2430 * BB_MSEC);
  bb_marked_tick (t.m, 2450 * BB_MSEC);
  bb_marked_tick (t.m, 2580 * BB_MSEC);
  for (int i = 2; i < 12; i += 3)
    {
      bb_usec now = (2620 + i) * BB_MSEC;
      ck_assert_int_eq (
          send_request ((uint16_t)(1000 + i), cookies[2], 101, 1, now).kind,
          BB_MARKED_FORWARD);
      bb_marked_tick (t.m, now);
    }
  ck_assert_uint_eq (t.reset_count, 0);
}
END_TEST

/* Guards against resets when a server that crashed earlier and is still listed
   has been silent since before a failure of the own link.  Answers between the
   crash and the failure must not count as proof that the link works.  */
START_TEST (own_link_down_after_a_crash_resets_nothing)
{
  uint32_t cookies[5];
  put_servers (5, cookies);
  configure (1, ROUTE_PORT, "desk", 0);
  for (unsigned i = 0; i < 10; i++)
    send_request ((uint16_t)(1000 + i), cookies[i % 5], 101, 1, BB_SEC);
  send_request (1000, cookies[0], 101, 1, 1200 * BB_MSEC);
  for (unsigned i = 0; i < 10; i++)
    if (i % 5 != 0)
      send_request ((uint16_t)(1000 + i), cookies[i % 5], 151, 900,
                    1900 * BB_MSEC);
  /* Link fails at 2 s.  Only one server has many flows with pending data.  */
  for (uint16_t port = 1010; port < 1013; port++)
    send_request (port, cookies[1], 101, 1, 1990 * BB_MSEC);
  for (int round = 0; round < 9; round++)
    for (uint16_t port = 1010; port < 1013; port++)
      {
        bb_usec now = 2200 * BB_MSEC + round * 100 * BB_MSEC;
        bb_marked_tick (t.m, now);
        ck_assert_int_eq (send_request (port, cookies[1], 101, 1, now).kind,
                          BB_MARKED_FORWARD);
        bb_marked_tick (t.m, now);
      }
  ck_assert_uint_eq (t.reset_count, 0);
}
END_TEST

enum
{
  SILENT_FLOWS = 4,
};

/* Adds one retransmission of each of FLOWS, one each 50 ms, which ends the
   probe of the flow that was sent 400 ms before, and is the next one.  */
static void
add_repeats (struct bb_suspicion_evidence *e,
             struct bb_flow_silence flows[SILENT_FLOWS], bb_usec start)
{
  for (int i = 0; i < SILENT_FLOWS; i++)
    {
      bb_usec now = start + i * 50 * BB_MSEC;
      bb_suspicion_add_repeat (e, &flows[i], now);
      bb_suspicion_add_failed_probe (e, &flows[i], now - 400 * BB_MSEC, true,
                                     now);
      bb_probes_add (&e->probes, flows[i].repeats * 400 * BB_MSEC, now);
    }
}

/* Guards against resets of flows to a server that answers at other balancers,
   while the few flows seen here wait in its queue.  */
START_TEST (answers_elsewhere_prevent_death)
{
  struct bb_suspicion_evidence e = { 0 };
  bb_suspicion_add_answer (&e, BB_SEC);
  struct bb_flow_silence flows[SILENT_FLOWS] = { 0 };
  add_repeats (&e, flows, 2 * BB_SEC);
  ck_assert (bb_suspicion_is_unresponsive (&e, 2500 * BB_MSEC));
  ck_assert (!bb_suspicion_is_dead (&e, 2500 * BB_MSEC));
  add_repeats (&e, flows, 2400 * BB_MSEC);
  ck_assert (bb_suspicion_is_dead (&e, 3 * BB_SEC));
  bb_suspicion_add_peer_answer (&e, 2500 * BB_MSEC);
  ck_assert (bb_suspicion_is_suspect (&e, 3 * BB_SEC));
  ck_assert (!bb_suspicion_is_dead (&e, 3 * BB_SEC));
}
END_TEST

/* Guards against a suspicion that lasts for ever after a single observation.
 */
START_TEST (suspicion_ends_without_repetitions)
{
  struct bb_suspicion_evidence e = { 0 };
  struct bb_flow_silence flows[SILENT_FLOWS] = { 0 };
  add_repeats (&e, flows, 1700 * BB_MSEC);
  bb_suspicion_set_link_state (&e, true, 2 * BB_SEC);
  add_repeats (&e, flows, 2100 * BB_MSEC);
  ck_assert (bb_suspicion_is_suspect (&e, 2500 * BB_MSEC));
  ck_assert (bb_suspicion_is_proven (&e, 2500 * BB_MSEC));
  ck_assert (!bb_suspicion_is_suspect (&e, 6 * BB_SEC));
  ck_assert (!bb_suspicion_is_dead (&e, 6 * BB_SEC));
  /* Retransmissions of an earlier silence do not count for a new one.  */
  bb_suspicion_add_repeat (&e, &flows[0], 6 * BB_SEC);
  ck_assert (!bb_suspicion_is_dead (&e, 6 * BB_SEC));
}
END_TEST

/* Guards against a server that counts as dead for ever: if no packet is sent
   to it, no answer can show that it is reachable again.  */
START_TEST (dead_server_gets_new_attempts)
{
  uint32_t dead
      = put_server ("a", "desk", "north", BB_SERVER_READY, 0)->cookie;
  uint32_t live
      = put_server ("live", "desk", "north", BB_SERVER_READY, 0)->cookie;
  configure (1, ROUTE_PORT, "desk", 0);
  /* The server answered these flows.  */
  for (uint16_t port = 1000; port < 1004; port++)
    {
      send_request (port, dead, 51, 1, BB_SEC);
      send_request (port, dead, 101, 500, 1500 * BB_MSEC);
    }
  unsigned resets = 0;
  for (int step = 0; step < 12; step++)
    {
      bb_usec now = 2 * BB_SEC + step * 100 * BB_MSEC;
      send_request (3000, live, 101 + (uint32_t)step, 1 + (uint32_t)step, now);
      bb_marked_tick (t.m, now);
      for (uint16_t port = 1000; port < 1004; port++)
        resets += send_request (port, dead, 151, 500, now + 10 * BB_MSEC).kind
                  == BB_MARKED_RESET;
      bb_marked_tick (t.m, now + 20 * BB_MSEC);
    }
  ck_assert_uint_gt (resets + t.reset_count, 0);
  /* A flow that other balancers forwarded before.  */
  ck_assert_int_eq (send_request (1500, dead, 101, 1, 3200 * BB_MSEC).kind,
                    BB_MARKED_FORWARD);
  ck_assert_int_eq (send_request (1500, dead, 101, 1, 3400 * BB_MSEC).kind,
                    BB_MARKED_RESET);
}
END_TEST

/* Guards against copies of a packet after its flow was closed, which its
   server answers with a reset.  */
START_TEST (packet_that_closes_a_flow_is_no_probe)
{
  uint32_t cookie
      = put_server ("a", "desk", "north", BB_SERVER_READY, 0)->cookie;
  configure (1, ROUTE_PORT, "desk", 0);
  open_flow (1000, BB_SEC);
  open_flow (1001, BB_SEC);
  send_request (1000, cookie, 101, 1, 2 * BB_SEC);
  send_request (1000, cookie, 101, 1, 2200 * BB_MSEC);
  struct bb_marked_packet p
      = packet (1001, _i ? BB_TCP_ACK | BB_TCP_FIN : BB_TCP_ACK, 101, 50);
  p.cookie = cookie;
  struct bb_marked_verdict v = handle_packet (&p, 2300 * BB_MSEC);
  ck_assert_int_eq (v.kind, BB_MARKED_FORWARD);
  ck_assert_int_eq (v.probe_slot == 0, _i);
}
END_TEST

/* Guards against flows that are reset because a server that has started again,
   and is full at once, sends nothing to flows that it held before.  */
START_TEST (flows_of_a_former_life_prove_nothing)
{
  struct bb_backend_server *s
      = put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  uint32_t live
      = put_server ("live", "desk", "north", BB_SERVER_READY, 0)->cookie;
  configure (1, ROUTE_PORT, "desk", 0);
  for (uint16_t port = 1000; port < 1004; port++)
    {
      send_request (port, s->cookie, 51, 1, BB_SEC);
      send_request (port, s->cookie, 101, 500, 1500 * BB_MSEC);
    }
  struct bb_server_record again = s->record;
  again.born_ms += _i;
  again.revision = ++t.revision;
  bb_marked_put_server (t.m, &again, 1600 * BB_MSEC);
  unsigned resets = 0;
  for (int step = 0; step < 12; step++)
    {
      bb_usec now = 2 * BB_SEC + step * 100 * BB_MSEC;
      send_request (3000, live, 101 + (uint32_t)step, 1 + (uint32_t)step, now);
      bb_marked_tick (t.m, now);
      for (uint16_t port = 1000; port < 1004; port++)
        resets += send_request (port, s->cookie, 151, 500, now + 10 * BB_MSEC)
                      .kind
                  == BB_MARKED_RESET;
      bb_marked_tick (t.m, now + 20 * BB_MSEC);
    }
  /* Without a new start the same packets show that the server is dead.  */
  ck_assert_int_eq (resets + t.reset_count > 0, _i == 0);
}
END_TEST

/* Guards against new flows at a server that is silent but still listed.  */
START_TEST (suspect_server_gets_no_new_flow)
{
  put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "desk", 0);
  uint32_t cookie = open_flow (1000, BB_SEC);
  open_flow (1001, BB_SEC);
  put_server ("b", "desk", "north", BB_SERVER_READY, BB_SEC);
  for (int i = 0; i < 3; i++)
    for (uint16_t port = 1000; port < 1002; port++)
      send_request (port, cookie, 101, 1, 2 * BB_SEC + i * 200 * BB_MSEC);
  ck_assert_uint_eq (t.events[BB_EVENT_SERVER_SUSPECT], 1);
  for (uint16_t port = 2000; port < 2020; port++)
    {
      struct bb_marked_packet p = packet (port, BB_TCP_SYN, 100, 0);
      ck_assert_uint_eq (handle_packet (&p, 2500 * BB_MSEC).tag,
                         bb_name_key ("b"));
    }
}
END_TEST

/* Guards against treating a restarted server as the old incarnation.  The new
   one has none of the old flows, and may get a copy of a first packet.  */
START_TEST (restarted_server_starts_empty)
{
  struct bb_backend_server *a
      = put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "desk", 0);
  open_flow (1000, BB_SEC);
  ck_assert_int_eq (a->load.open, 1);
  struct bb_server_record r = a->record;
  r.born_ms = 2;
  r.revision = ++t.revision;
  bb_marked_put_server (t.m, &r, 2 * BB_SEC);
  ck_assert_int_eq (a->load.open, 0);
  ck_assert_uint_eq (t.events[BB_EVENT_SERVER_RESTARTED], 1);
}
END_TEST

/* Guards against servers that stay although a whole read of the store does not
   list them, and against the removal of servers that were added after the
   read.  */
START_TEST (whole_read_removes_unlisted_servers)
{
  struct bb_backend_server *a
      = put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  struct bb_backend_server *b
      = put_server ("b", "desk", "north", BB_SERVER_READY, 0);
  uint64_t read_revision = t.revision;
  struct bb_backend_server *c
      = put_server ("c", "desk", "north", BB_SERVER_READY, 0);
  struct bb_snapshot *read = bb_snapshot_new (BB_SEC);
  read->revision = read_revision;
  bb_snapshot_add_server (read, &a->record);
  bb_marked_adopt_snapshot (t.m, read, BB_SEC);
  bb_snapshot_free (read);
  ck_assert_int_eq (a->record.state, BB_SERVER_READY);
  ck_assert_int_eq (b->record.state, BB_SERVER_GONE);
  ck_assert_int_eq (c->record.state, BB_SERVER_READY);
}
END_TEST

/* Guards against removing live servers whose entries expire while the store is
   unreachable and return within 2 s after it, and against keeping others.  */
static const struct
{
  const char *description;
  bb_usec read_gap; /* time without a read of the store */
  enum bb_server_state before;
  bool failed; /* calls to the store failed */
  bool returns;
  bool is_gone_at_once; /* removed with its entry */
} expiries[] = {
  { "a live server stays in use", 5 * BB_SEC, BB_SERVER_READY, true, true,
    false },
  { "a server that does not come back is gone", 5 * BB_SEC, BB_SERVER_READY,
    true, false, false },
  { "a server that announced its end is gone at once", 5 * BB_SEC,
    BB_SERVER_DRAINING, true, false, true },
  { "state that is old without a failed call", 5 * BB_SEC, BB_SERVER_READY,
    false, false, true },
  { "an entry removed while the store is up is gone at once", BB_SEC / 2,
    BB_SERVER_READY, true, false, true },
};

START_TEST (expired_entry)
{
  put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "desk", 0);
  struct bb_backend_server *a
      = put_server ("a", "desk", "north", expiries[_i].before, BB_SEC);
  bb_marked_confirm_revision (t.m, t.revision, BB_SEC, BB_SEC);
  bb_usec back = BB_SEC + expiries[_i].read_gap;
  if (expiries[_i].failed)
    bb_sync_report_store_failure (bb_marked_get_sync (t.m), back - 1);
  put_server ("a", "desk", "north", BB_SERVER_GONE, back);
  bb_marked_confirm_revision (t.m, t.revision, back, back);
  ck_assert_int_eq (a->record.state == BB_SERVER_GONE,
                    expiries[_i].is_gone_at_once);
  bb_marked_tick (t.m, back + BB_SEC);
  if (expiries[_i].returns)
    put_server ("a", "desk", "north", BB_SERVER_READY, back + 1900 * BB_MSEC);
  for (int i = 0; i < 80; i++)
    bb_marked_tick (t.m, back + BB_SEC + i * 50 * BB_MSEC);
  ck_assert_int_eq (a->record.state == BB_SERVER_READY, expiries[_i].returns);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("ended");
  TCase *tc = tcase_create ("ended servers");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_test (tc, idle_flows_end_with_their_server);
  tcase_add_test (tc, flows_of_many_servers_end);
  tcase_add_test (tc, answering_server_without_entry_keeps_its_flows);
  tcase_add_loop_test (tc, silent_server, 0, G_N_ELEMENTS (silences));
  tcase_add_test (tc, own_link_down_resets_nothing);
  tcase_add_test (tc, end_of_isolation_resets_nothing);
  tcase_add_test (tc, end_of_a_short_cut_resets_nothing);
  tcase_add_test (tc, own_link_down_after_a_crash_resets_nothing);
  tcase_add_test (tc, answers_elsewhere_prevent_death);
  tcase_add_test (tc, suspicion_ends_without_repetitions);
  tcase_add_test (tc, dead_server_gets_new_attempts);
  tcase_add_loop_test (tc, flows_of_a_former_life_prove_nothing, 0, 2);
  tcase_add_loop_test (tc, packet_that_closes_a_flow_is_no_probe, 0, 2);
  tcase_add_test (tc, suspect_server_gets_no_new_flow);
  tcase_add_test (tc, restarted_server_starts_empty);
  tcase_add_test (tc, whole_read_removes_unlisted_servers);
  tcase_add_loop_test (tc, expired_entry, 0, G_N_ELEMENTS (expiries));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
