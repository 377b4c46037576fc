/* Balancers of a data centre on the real decision code, in simulated time.
   Each program that includes this header has its own.  */

#ifndef BB_TESTS_POOL_FIXTURE_H
#define BB_TESTS_POOL_FIXTURE_H

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
  QUEUE = 4096,
  ROUTE_PORT = 443,
};

#define STEP (2 * BB_MSEC)
#define TICK (50 * BB_MSEC)

struct message
{
  bb_usec at;
  unsigned from, to;
  GByteArray *bytes;
};

static struct
{
  struct bb_marked *nodes[BALANCERS];
  bool is_up[BALANCERS];
  bool is_cut[BALANCERS]; /* its link is down */
  struct message queue[QUEUE];
  unsigned head, tail;
  uint32_t failing[FAILING]; /* cookies */
  GRand *random;
  bb_usec now;
  bb_usec delay; /* of messages */
  unsigned loss; /* of messages, in percent */
  uint16_t next_port;
  unsigned alarms[2]; /* of servers that are well, and that fail */
  void (*reset) (const struct bb_marked_packet *packet);
  /* Takes a copy of a probe of the flow with PORT.  */
  void (*copy) (unsigned balancer, uint16_t port);
  uint16_t probed[BALANCERS][BB_MARKED_PROBE_SLOTS + 1]; /* ports */
} pool;

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
      if (target >= BALANCERS
          || g_rand_int_range (pool.random, 0, 100) < (gint32)pool.loss)
        continue;
      ck_assert_uint_lt (pool.tail - pool.head, QUEUE);
      pool.queue[pool.tail++ % QUEUE]
          = (struct message){ pool.now + pool.delay, from, target,
                              bb_sync_encode (message) };
    }
}

static bool
is_failing (uint32_t cookie)
{
  for (int i = 0; i < FAILING; i++)
    if (pool.failing[i] == cookie)
      return true;
  return false;
}

static void
sink_event (void *context, const struct bb_event *event)
{
  const struct bb_marked *m = pool.nodes[GPOINTER_TO_UINT (context)];
  if (event->kind != BB_EVENT_SERVER_FAILING)
    return;
  struct bb_link *head
      = bb_directory_servers (bb_marked_directory ((struct bb_marked *)m));
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      const struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->key == event->server)
        pool.alarms[is_failing (s->cookie)]++;
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
  if (pool.reset && !pool.is_cut[GPOINTER_TO_UINT (context)])
    pool.reset (packet);
}

static void
sink_copy (void *context, unsigned slot)
{
  unsigned balancer = GPOINTER_TO_UINT (context);
  if (pool.copy && !pool.is_cut[balancer])
    pool.copy (balancer, pool.probed[balancer][slot]);
}

static const struct bb_marked_sink sink = {
  .send = sink_send,
  .event = sink_event,
  .server = sink_server,
  .reset = sink_reset,
  .copy = sink_copy,
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
  bb_marked_configure (m,
                       &(struct bb_configuration){ .version = 1,
                                                   .revision = SERVERS + 1,
                                                   .routes = &route,
                                                   .route_count = 1 },
                       0);
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
                      .incarnation = (uint64_t)pool.now,
                      .seed = index + 1 },
    .data_centre = "north",
    .flow_capacity = 1024,
    .idle_ms = 15000,
  };
  bb_marked_free (pool.nodes[index]);
  pool.nodes[index]
      = bb_marked_new (&options, &sink, GUINT_TO_POINTER (index), pool.now);
  pool.is_up[index] = true;
  bb_sync_set_seeds (bb_marked_get_sync (pool.nodes[index]), &seed, 1);
  put_state (pool.nodes[index]);
}

static void
setup (void)
{
  memset (&pool, 0, sizeof pool);
  pool.random = g_rand_new_with_seed (1);
  pool.now = BB_SEC;
  pool.delay = BB_MSEC;
  for (unsigned i = 0; i < BALANCERS; i++)
    start_balancer (i);
  for (unsigned i = 0; i < FAILING; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "s%u", i * 7);
      pool.failing[i] = bb_directory_find_server (
                            bb_marked_directory (pool.nodes[0]), name)
                            ->cookie;
    }
}

static void
teardown (void)
{
  for (; pool.head != pool.tail; pool.head++)
    g_byte_array_unref (pool.queue[pool.head % QUEUE].bytes);
  for (unsigned i = 0; i < BALANCERS; i++)
    bb_marked_free (pool.nodes[i]);
  g_rand_free (pool.random);
}

static void
deliver (void)
{
  for (;
       pool.head != pool.tail && pool.queue[pool.head % QUEUE].at <= pool.now;
       pool.head++)
    {
      struct message *m = &pool.queue[pool.head % QUEUE];
      struct bb_sync_message decoded;
      ck_assert (
          bb_sync_decode (m->bytes->data, m->bytes->len, &decoded, NULL));
      struct bb_endpoint from = endpoint_of (m->from);
      if (pool.is_up[m->to] && !pool.is_cut[m->to] && !pool.is_cut[m->from])
        bb_sync_receive (bb_marked_get_sync (pool.nodes[m->to]), &from,
                         &decoded, pool.now);
      g_byte_array_unref (m->bytes);
    }
}

/* Sends a packet of a caller to BALANCER.  */
static struct bb_marked_verdict
send_packet (unsigned balancer, uint16_t port, uint32_t cookie, uint8_t flags,
             uint32_t sequence, uint16_t payload, uint32_t acknowledgement)
{
  struct bb_marked_packet p = {
    .packet = { .source = 0x64400007,
                .source_port = port,
                .destination = 0xc6120001,
                .destination_port = ROUTE_PORT,
                .protocol = IPPROTO_TCP,
                .tcp_flags = flags,
                .sequence = sequence,
                .payload = payload,
                .acknowledgement = acknowledgement },
    .cookie = cookie,
  };
  struct bb_marked_verdict v;
  bb_marked_handle_packet (pool.nodes[balancer], &p, pool.now, &v);
  pool.probed[balancer][v.probe_slot] = port;
  return v;
}

static unsigned
draw_balancer (void)
{
  unsigned index;
  do
    index = (unsigned)g_rand_int_range (pool.random, 0, BALANCERS);
  while (!pool.is_up[index]);
  return index;
}

/* Calls PLAY, which plays the callers, in each step.  */
static void
run (bb_usec duration, void (*play) (void))
{
  for (bb_usec end = pool.now + duration; pool.now < end; pool.now += STEP)
    {
      deliver ();
      play ();
      for (unsigned i = 0; i < BALANCERS; i++)
        if (pool.is_up[i] && (pool.now / STEP + i) % (TICK / STEP) == 0)
          {
            bb_marked_confirm_revision (pool.nodes[i], SERVERS + 1, pool.now,
                                        pool.now);
            bb_marked_tick (pool.nodes[i], pool.now);
          }
    }
}
#endif
