/* Balancers of a data centre that pool what they see of the answers of
   servers, on the real decision code.  The load is that of a service at a
   seventh of its slots: each balancer sees less than one answer a second of
   each server.  */

#include "tests/pool_fixture.h"

enum
{
  REQUESTS = 11 * SERVERS, /* a second */
  USUAL = 800,
  ERROR_LENGTH = 205,
};

struct request
{
  bb_usec due; /* of the end of the answer; 0: not in use */
  unsigned balancer;
  uint16_t port;
  uint32_t cookie;
  uint32_t length;
};

static struct
{
  struct request requests[256];
  unsigned errors; /* of answers of failing servers, in percent */
  unsigned error_count;
} sim;

static void
setup_callers (void)
{
  setup ();
  memset (&sim, 0, sizeof sim);
}

static void
begin_request (struct request *r)
{
  r->balancer = draw_balancer ();
  r->port = ++pool.next_port;
  r->cookie
      = send_packet (r->balancer, r->port, 0, BB_TCP_SYN, 100, 0, 0).cookie;
  send_packet (r->balancer, r->port, r->cookie, BB_TCP_ACK, 101, 50, 1);
  bool is_error
      = is_failing (r->cookie)
        && g_rand_int_range (pool.random, 0, 100) < (gint32)sim.errors;
  r->length = is_error ? ERROR_LENGTH : USUAL;
  r->due = pool.now + (is_error ? 2 : 20) * BB_MSEC;
  sim.error_count += is_error;
}

static void
play_callers (void)
{
  bool is_new = g_rand_double (pool.random) < (double)REQUESTS * STEP / BB_SEC;
  for (size_t i = 0; i < G_N_ELEMENTS (sim.requests); i++)
    {
      struct request *r = &sim.requests[i];
      if (r->due != 0 && r->due <= pool.now)
        {
          if (pool.is_up[r->balancer])
            send_packet (r->balancer, r->port, r->cookie,
                         BB_TCP_ACK | BB_TCP_FIN, 151, 0, 1 + r->length);
          r->due = 0;
        }
      if (r->due == 0 && is_new)
        {
          is_new = false;
          begin_request (r);
        }
    }
}

/* Returns the number of pairs of a live balancer and a failing server of which
   the balancer knows that it fails.  */
static unsigned
count_known (void)
{
  unsigned known = 0;
  for (unsigned i = 0; i < BALANCERS; i++)
    for (int s = 0; s < FAILING && pool.is_up[i]; s++)
      known += bb_directory_find_by_cookie (
                   bb_marked_directory (pool.nodes[i]), pool.failing[s])
                   ->load.quality.is_failing;
  return known;
}

static unsigned
count_live (void)
{
  unsigned live = 0;
  for (unsigned i = 0; i < BALANCERS; i++)
    live += pool.is_up[i];
  return live;
}

/* Faults of the balancers and their messages while servers fail.  */
static const struct
{
  const char *description;
  unsigned errors, lost_balancers, loss;
  bb_usec delay;
} loads[] = {
  { "servers fail half of the requests", 48, 0, 0, BB_MSEC },
  { "servers fail all requests", 100, 0, 0, BB_MSEC },
  { "half of the balancers are lost", 100, BALANCERS / 2, 0, BB_MSEC },
  { "a third of the reports is lost", 100, 0, 33, BB_MSEC },
  { "reports come 500 ms late", 100, 0, 0, 500 * BB_MSEC },
};

/* Guards against errors until the fault ends: of requests that callers do not
   repeat, each is a failure.  Without evidence, 1 of 8 requests goes to the
   failing servers.  */
START_TEST (failing_servers_are_found_together)
{
  run (10 * BB_SEC, play_callers);
  ck_assert_uint_eq (pool.alarms[0] + pool.alarms[1], 0);
  for (unsigned i = 0; i < loads[_i].lost_balancers; i++)
    pool.is_up[i * 2 + 1] = false;
  pool.loss = loads[_i].loss;
  pool.delay = loads[_i].delay;
  sim.errors = loads[_i].errors;
  run (1500 * BB_MSEC + loads[_i].delay, play_callers);
  unsigned early = sim.error_count, known = count_known ();
  run (5 * BB_SEC, play_callers);
  unsigned expected = REQUESTS * 5 * FAILING / SERVERS * sim.errors / 100;
  ck_assert_msg (known >= count_live () * FAILING * 9 / 10, "%s: %u",
                 loads[_i].description, known);
  ck_assert_uint_eq (pool.alarms[0], 0);
  ck_assert_uint_lt (sim.error_count - early, expected / 4);
}
END_TEST

/* Guards against a balancer that starts during a fault and places its flows on
   the failing servers, which have the fewest, and against reports that
   balancers keep up among each other after the fault.  */
START_TEST (joining_balancer_adopts_failures)
{
  enum
  {
    JOINING = 4,
  };
  run (10 * BB_SEC, play_callers);
  sim.errors = 100;
  run (2 * BB_SEC, play_callers);
  ck_assert_uint_eq (count_known (), count_live () * FAILING);
  for (unsigned i = 0; i < JOINING; i++)
    start_balancer (i * 4);
  run (600 * BB_MSEC, play_callers);
  ck_assert_uint_ge (count_known (), (count_live () * FAILING * 9) / 10);
  sim.errors = 0;
  run (6 * BB_SEC, play_callers);
  ck_assert_uint_eq (count_known (), 0);
  ck_assert_uint_eq (pool.alarms[0], 0);
}
END_TEST

/* Guards against servers that stay without flows after a fault.  */
START_TEST (servers_recover)
{
  run (10 * BB_SEC, play_callers);
  sim.errors = 100;
  run (3 * BB_SEC, play_callers);
  ck_assert_uint_gt (count_known (), 0);
  sim.errors = 0;
  run (4 * BB_SEC, play_callers);
  ck_assert_uint_eq (count_known (), 0);
}
END_TEST

/* Guards against servers that are ejected because balancers, or their reports,
   are lost.  */
START_TEST (lost_balancers_cause_no_alarm)
{
  run (5 * BB_SEC, play_callers);
  for (unsigned i = 0; i < BALANCERS / 2; i++)
    pool.is_up[i * 2 + 1] = false;
  pool.loss = 50;
  pool.delay = 300 * BB_MSEC;
  run (20 * BB_SEC, play_callers);
  ck_assert_uint_eq (pool.alarms[0] + pool.alarms[1], 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("failing servers");
  TCase *c = tcase_create ("balancers");
  tcase_add_checked_fixture (c, setup_callers, teardown);
  tcase_add_loop_test (c, failing_servers_are_found_together, 0,
                       G_N_ELEMENTS (loads));
  tcase_add_test (c, joining_balancer_adopts_failures);
  tcase_add_test (c, servers_recover);
  tcase_add_test (c, lost_balancers_cause_no_alarm);
  suite_add_tcase (s, c);
  return run_suite (s);
}
