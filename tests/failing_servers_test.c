/* Balancers of a data centre that pool what they see of the answers of
   servers, on the real decision code.  The load is that of a service at a
   seventh of its slots: each balancer sees less than one answer a second of
   each server.  */

#include "marked/balancer.h"
#include "tests/suite.h"
#include "wire/sync.h"
#include <netinet/in.h>
#include <string.h>

enum
{
  BALANCERS = 16,
  SERVERS = 24,
  FAILING = 3,
  REQUESTS = 11 * SERVERS, /* a second */
  USUAL = 800,
  ERROR_LENGTH = 205,
  QUEUE = 4096,
  ROUTE_PORT = 443,
};

#define STEP (2 * BB_MSEC)
#define TICK (50 * BB_MSEC)
#define START (10 * BB_SEC)

struct message
{
  bb_usec at;
  unsigned from, to;
  GByteArray *bytes;
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
  struct bb_marked *nodes[BALANCERS];
  bool is_up[BALANCERS];
  struct message queue[QUEUE];
  unsigned head, tail;
  struct request requests[256];
  uint32_t failing[FAILING]; /* cookies */
  GRand *random;
  bb_usec now;
  bb_usec delay;   /* of messages */
  unsigned loss;   /* of messages, in percent */
  unsigned errors; /* of answers of failing servers, in percent */
  uint16_t next_port;
  unsigned error_count;
  unsigned alarms[2]; /* of servers that are well, and that fail */
} sim;

static struct bb_endpoint
endpoint_of (unsigned index)
{
  return (struct bb_endpoint){ 0x0a000001 + index, 7000 };
}

static void
sink_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_sync_message *message)
{
  unsigned from = GPOINTER_TO_UINT (context);
  for (size_t i = 0; i < count; i++)
    {
      unsigned target = to[i].address - 0x0a000001;
      if (g_rand_int_range (sim.random, 0, 100) < (gint32)sim.loss)
        continue;
      ck_assert_uint_lt (sim.tail - sim.head, QUEUE);
      sim.queue[sim.tail++ % QUEUE]
          = (struct message){ sim.now + sim.delay, from, target,
                              bb_sync_encode (message) };
    }
}

static bool
is_failing (uint32_t cookie)
{
  for (int i = 0; i < FAILING; i++)
    if (sim.failing[i] == cookie)
      return true;
  return false;
}

static void
sink_event (void *context, const struct bb_event *event)
{
  const struct bb_marked *m = sim.nodes[GPOINTER_TO_UINT (context)];
  if (event->kind != BB_EVENT_SERVER_FAILING)
    return;
  struct bb_link *head
      = bb_directory_servers (bb_marked_directory ((struct bb_marked *)m));
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      const struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->key == event->server)
        sim.alarms[is_failing (s->cookie)]++;
    }
}

static void
sink_server (void *context, const struct bb_backend_server *server)
{
  (void)context;
  (void)server;
}

static void
sink_reset (void *context, const struct bb_marked_packet *packet)
{
  (void)context;
  (void)packet;
}

static const struct bb_marked_sink sink = {
  .send = sink_send,
  .event = sink_event,
  .server = sink_server,
  .reset = sink_reset,
};

static void
put_state (struct bb_marked *m)
{
  for (unsigned i = 0; i < SERVERS; i++)
    {
      struct bb_server_record r = { .address = { 0x0b000000 + i, 8080 },
                                    .tag = i + 1,
                                    .state = BB_SERVER_READY,
                                    .slots = 2,
                                    .born_ms = 1,
                                    .created = i + 1,
                                    .revision = i + 1 };
      g_snprintf (r.name, sizeof r.name, "s%u", i);
      g_strlcpy (r.service, "desk", sizeof r.service);
      g_strlcpy (r.data_centre, "north", sizeof r.data_centre);
      bb_marked_put_server (m, &r, 0);
    }
  struct bb_route_record route = { .address = { 0xc6120001, ROUTE_PORT },
                                   .shares = { { bb_name_key ("desk"), 1 } },
                                   .share_count = 1,
                                   .revision = SERVERS + 1 };
  bb_marked_configure (m, 1, SERVERS + 1, &route, 1, 0);
  bb_marked_confirm_revision (m, SERVERS + 1, 0, 0);
}

static void
start_balancer (unsigned index)
{
  struct bb_endpoint seed = endpoint_of (index == 0);
  struct bb_marked_options options = {
    .sync_options = { .self = { .id = index + 1,
                                .data_centre = bb_name_key ("north"),
                                .endpoint = endpoint_of (index) },
                      .capacity = 1000,
                      .incarnation = (uint64_t)sim.now,
                      .seed = index + 1 },
    .data_centre = "north",
    .flow_capacity = 1024,
    .idle_ms = 15000,
  };
  bb_marked_free (sim.nodes[index]);
  sim.nodes[index]
      = bb_marked_new (&options, &sink, GUINT_TO_POINTER (index), sim.now);
  sim.is_up[index] = true;
  bb_sync_set_seeds (bb_marked_get_sync (sim.nodes[index]), &seed, 1);
  put_state (sim.nodes[index]);
}

static void
setup (void)
{
  memset (&sim, 0, sizeof sim);
  sim.random = g_rand_new_with_seed (1);
  sim.now = BB_SEC;
  sim.delay = BB_MSEC;
  for (unsigned i = 0; i < BALANCERS; i++)
    start_balancer (i);
  for (unsigned i = 0; i < FAILING; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "s%u", i * 7);
      sim.failing[i]
          = bb_directory_find_server (bb_marked_directory (sim.nodes[0]), name)
                ->cookie;
    }
}

static void
teardown (void)
{
  for (; sim.head != sim.tail; sim.head++)
    g_byte_array_unref (sim.queue[sim.head % QUEUE].bytes);
  for (unsigned i = 0; i < BALANCERS; i++)
    bb_marked_free (sim.nodes[i]);
  g_rand_free (sim.random);
}

static void
deliver (void)
{
  for (; sim.head != sim.tail && sim.queue[sim.head % QUEUE].at <= sim.now;
       sim.head++)
    {
      struct message *m = &sim.queue[sim.head % QUEUE];
      struct bb_sync_message decoded;
      ck_assert (
          bb_sync_decode (m->bytes->data, m->bytes->len, &decoded, NULL));
      struct bb_endpoint from = endpoint_of (m->from);
      if (sim.is_up[m->to])
        bb_sync_receive (bb_marked_get_sync (sim.nodes[m->to]), &from,
                         &decoded, sim.now);
      g_byte_array_unref (m->bytes);
    }
}

static struct bb_marked_verdict
send_packet (const struct request *r, uint8_t flags, uint32_t sequence,
             uint16_t payload, uint32_t acknowledgement)
{
  struct bb_marked_packet p = {
    .packet = { .source = 0x64400007,
                .source_port = r->port,
                .destination = 0xc6120001,
                .destination_port = ROUTE_PORT,
                .protocol = IPPROTO_TCP,
                .tcp_flags = flags,
                .sequence = sequence,
                .payload = payload,
                .acknowledgement = acknowledgement },
    .cookie = r->cookie,
  };
  struct bb_marked_verdict v;
  bb_marked_handle_packet (sim.nodes[r->balancer], &p, sim.now, &v);
  ck_assert_int_eq (v.kind, BB_MARKED_FORWARD);
  return v;
}

static void
begin_request (struct request *r)
{
  do
    r->balancer = (unsigned)g_rand_int_range (sim.random, 0, BALANCERS);
  while (!sim.is_up[r->balancer]);
  r->port = ++sim.next_port;
  r->cookie = 0;
  r->cookie = send_packet (r, BB_TCP_SYN, 100, 0, 0).cookie;
  send_packet (r, BB_TCP_ACK, 101, 50, 1);
  bool is_error
      = is_failing (r->cookie)
        && g_rand_int_range (sim.random, 0, 100) < (gint32)sim.errors;
  r->length = is_error ? ERROR_LENGTH : USUAL;
  r->due = sim.now + (is_error ? 2 : 20) * BB_MSEC;
  sim.error_count += is_error;
}

static void
play_callers (void)
{
  bool is_new = g_rand_double (sim.random) < (double)REQUESTS * STEP / BB_SEC;
  for (size_t i = 0; i < G_N_ELEMENTS (sim.requests); i++)
    {
      struct request *r = &sim.requests[i];
      if (r->due != 0 && r->due <= sim.now)
        {
          if (sim.is_up[r->balancer])
            send_packet (r, BB_TCP_ACK | BB_TCP_FIN, 151, 0, 1 + r->length);
          r->due = 0;
        }
      if (r->due == 0 && is_new)
        {
          is_new = false;
          begin_request (r);
        }
    }
}

static void
run (bb_usec duration)
{
  for (bb_usec end = sim.now + duration; sim.now < end; sim.now += STEP)
    {
      deliver ();
      play_callers ();
      for (unsigned i = 0; i < BALANCERS; i++)
        if (sim.is_up[i] && (sim.now / STEP + i) % (TICK / STEP) == 0)
          {
            bb_marked_confirm_revision (sim.nodes[i], SERVERS + 1, sim.now,
                                        sim.now);
            bb_marked_tick (sim.nodes[i], sim.now);
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
    for (int s = 0; s < FAILING && sim.is_up[i]; s++)
      known += bb_directory_find_by_cookie (bb_marked_directory (sim.nodes[i]),
                                            sim.failing[s])
                   ->load.quality.is_failing;
  return known;
}

static unsigned
count_live (void)
{
  unsigned live = 0;
  for (unsigned i = 0; i < BALANCERS; i++)
    live += sim.is_up[i];
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
  run (10 * BB_SEC);
  ck_assert_uint_eq (sim.alarms[0] + sim.alarms[1], 0);
  for (unsigned i = 0; i < loads[_i].lost_balancers; i++)
    sim.is_up[i * 2 + 1] = false;
  sim.loss = loads[_i].loss;
  sim.delay = loads[_i].delay;
  sim.errors = loads[_i].errors;
  run (1500 * BB_MSEC + loads[_i].delay);
  unsigned early = sim.error_count, known = count_known ();
  run (5 * BB_SEC);
  unsigned expected = REQUESTS * 5 * FAILING / SERVERS * sim.errors / 100;
  ck_assert_msg (known >= count_live () * FAILING * 9 / 10, "%s: %u",
                 loads[_i].description, known);
  ck_assert_uint_eq (sim.alarms[0], 0);
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
  run (10 * BB_SEC);
  sim.errors = 100;
  run (2 * BB_SEC);
  ck_assert_uint_eq (count_known (), count_live () * FAILING);
  for (unsigned i = 0; i < JOINING; i++)
    start_balancer (i * 4);
  run (600 * BB_MSEC);
  ck_assert_uint_ge (count_known (), (count_live () * FAILING * 9) / 10);
  sim.errors = 0;
  run (6 * BB_SEC);
  ck_assert_uint_eq (count_known (), 0);
  ck_assert_uint_eq (sim.alarms[0], 0);
}
END_TEST

/* Guards against servers that stay without flows after a fault.  */
START_TEST (servers_recover)
{
  run (10 * BB_SEC);
  sim.errors = 100;
  run (3 * BB_SEC);
  ck_assert_uint_gt (count_known (), 0);
  sim.errors = 0;
  run (4 * BB_SEC);
  ck_assert_uint_eq (count_known (), 0);
}
END_TEST

/* Guards against servers that are ejected because balancers, or their reports,
   are lost.  */
START_TEST (lost_balancers_cause_no_alarm)
{
  run (5 * BB_SEC);
  for (unsigned i = 0; i < BALANCERS / 2; i++)
    sim.is_up[i * 2 + 1] = false;
  sim.loss = 50;
  sim.delay = 300 * BB_MSEC;
  run (20 * BB_SEC);
  ck_assert_uint_eq (sim.alarms[0] + sim.alarms[1], 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("failing servers");
  TCase *c = tcase_create ("balancers");
  tcase_add_checked_fixture (c, setup, teardown);
  tcase_add_loop_test (c, failing_servers_are_found_together, 0,
                       G_N_ELEMENTS (loads));
  tcase_add_test (c, joining_balancer_adopts_failures);
  tcase_add_test (c, servers_recover);
  tcase_add_test (c, lost_balancers_cause_no_alarm);
  suite_add_tcase (s, c);
  return run_suite (s);
}
