/* Balancers of one data centre with cold servers and callers that want more
   than these bear, in simulated time.  Messages take up to 40 ms.  */

#ifndef BB_TESTS_COLD_FIXTURE_H
#define BB_TESTS_COLD_FIXTURE_H

#include "marked/balancer.h"
#include "tests/suite.h"
#include "wire/sync.h"
#include <netinet/in.h>
#include <string.h>

enum
{
  NODES = 6,
  SERVERS = 4,
  QUEUE = 1 << 15,
  WAITING_MAX = 4096, /* first packets in the socket buffer of a balancer */
  ARRIVALS_MAX = 1 << 14,
  FLOWS_EACH_STEP = 2 /* new flows at each balancer */
};

#define STEP (5 * BB_MSEC)
#define TICK (50 * BB_MSEC)
#define COLD_FROM (8 * BB_SEC)
#define COLD_TIME (12 * BB_SEC)
#define RUN_TIME (COLD_FROM + COLD_TIME)

/* Rates of cold servers.  Without slack, two owners exceed the bound at once;
   at a low rate, the packets of one moment count for much.  There a fifth of
   the rate is left for packets that are late.  */
static const struct
{
  unsigned rate; /* requests that a cold server bears in a second */
  struct bb_cold_limits limits;
  unsigned bound; /* on the requests of any second */
  unsigned used;  /* percent of the rate that an owner may place */
} kinds[] = {
  { 10, { 1500, 5000 }, 20, 100 },
  { 100, { 1000, 0 }, 100, 70 },
  { 3, { 0, 0 }, 3, 70 },
};

/* A span of time in which something is wrong, from FROM to END.  */
struct trouble
{
  bb_usec from;
  bb_usec end;
};

struct scenario
{
  const char *description;
  unsigned loss;          /* percent of the messages */
  struct trouble cut;     /* between balancers of odd and even index */
  struct trouble killed;  /* the balancers of killed_mask are away */
  unsigned killed_mask;   /* bit i: balancer i */
  struct trouble frozen;  /* the owner of the first server */
  struct trouble joining; /* the last balancer starts at its end */
  bb_usec leaves;         /* the owner of the first server stops */
  bb_usec cold_from;      /* 0: COLD_FROM */
  unsigned least_flows;   /* in percent of what the servers bear */
};

struct node
{
  struct bb_marked *m;
  unsigned index;
  bool is_frozen;
  uint16_t waiting[WAITING_MAX]; /* callers' ports */
  unsigned waiting_count;
};

struct message
{
  bb_usec at;
  unsigned from;
  unsigned to;
  GByteArray *bytes;
};

struct arrival
{
  bb_usec decided;
  bb_usec at;
  unsigned node;
  unsigned server;
};

static struct
{
  struct node nodes[NODES];
  struct message queue[QUEUE];
  struct arrival arrivals[ARRIVALS_MAX];
  unsigned arrival_count;
  unsigned queue_count;
  uint16_t port;
  bb_usec now;
  bb_usec cold_from;
  unsigned owner; /* of the first server, when the trouble began */
  GRand *random;
  const struct scenario *scenario;
  unsigned kind; /* index in kinds */
} sim;

static inline bool
is_within (const struct trouble *t)
{
  return sim.now >= t->from && sim.now < t->end;
}

static inline bool
is_cut (unsigned a, unsigned b)
{
  return is_within (&sim.scenario->cut) && a % 2 != b % 2;
}

static inline void
sink_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_sync_message *message)
{
  const struct node *n = context;
  for (size_t i = 0; i < count; i++)
    {
      unsigned target = to[i].address - 0x0a000001;
      if (target >= NODES || is_cut (n->index, target)
          || (unsigned)g_rand_int_range (sim.random, 0, 100)
                 < sim.scenario->loss)
        continue;
      ck_assert_uint_lt (sim.queue_count, QUEUE);
      sim.queue[sim.queue_count++] = (struct message){
        .at = sim.now + g_rand_int_range (sim.random, 1, 40) * BB_MSEC,
        .from = n->index,
        .to = target,
        .bytes = bb_sync_encode (message),
      };
    }
}

static inline void
sink_event (void *context, const struct bb_event *event)
{
  (void)context;
  (void)event;
}

static inline void
sink_server (void *context, const struct bb_backend_server *server)
{
  (void)context;
  (void)server;
}

static inline void
sink_reset (void *context, const struct bb_marked_packet *packet)
{
  (void)context;
  (void)packet;
}

static void
sink_copy (void *context, unsigned slot)
{
  (void)context;
  (void)slot;
}

static const struct bb_marked_sink sink = {
  .send = sink_send,
  .event = sink_event,
  .server = sink_server,
  .reset = sink_reset,
  .copy = sink_copy,
};

static inline void
put_cold_servers (struct node *n)
{
  bb_usec left = sim.cold_from + COLD_TIME - sim.now;
  for (unsigned i = 0; i < SERVERS && left > 0; i++)
    {
      struct bb_server_record r = {
        .service = "desk",
        .data_centre = "north",
        .address = { 0x0a800001 + i, 8080 },
        .tag = i,
        .state = BB_SERVER_READY,
        .cold_ms = (uint32_t)(left / BB_MSEC),
        .slots = 2,
        .born_ms = 1,
        .created = 10 + i,
        .revision = 10 + i,
      };
      g_snprintf (r.name, sizeof r.name, "s%u", i);
      bb_marked_put_server (n->m, &r, sim.now);
    }
  struct bb_server_group *group = bb_directory_find_service (
      bb_marked_directory (n->m), bb_name_key ("desk"));
  if (group)
    group->cold_rate = kinds[sim.kind].rate * 1000;
}

/* The rate of the service is known from the configuration, before the first
   server is cold.  */
static inline void
configure (struct node *n)
{
  struct bb_route_record route = {
    .address = { 0xc6120001, 443 },
    .shares = { { bb_name_key ("desk"), 1 } },
    .share_count = 1,
    .revision = 2,
  };
  struct bb_server_record r = {
    .name = "leaving",
    .service = "desk",
    .data_centre = "north",
    .address = { 0x0a800099, 8080 },
    .state = BB_SERVER_DRAINING,
    .slots = 2,
    .created = 1,
    .revision = 1,
  };
  bb_marked_put_server (n->m, &r, sim.now);
  struct bb_service_record limit = { .service = bb_name_key ("desk"),
                                     .cold_rate = kinds[sim.kind].rate * 1000,
                                     .revision = 2 };
  struct bb_configuration c = { .version = 1,
                                .revision = 2,
                                .routes = &route,
                                .route_count = 1,
                                .services = &limit,
                                .service_count = limit.cold_rate > 0 };
  bb_marked_configure (n->m, &c, sim.now);
  bb_marked_confirm_revision (n->m, 100, sim.now, sim.now);
}

static inline void
start_node (unsigned index)
{
  struct node *n = &sim.nodes[index];
  struct bb_marked_options options = {
    .sync_options = { .self = { .id = 100 + index,
                                .data_centre = bb_name_key ("north"),
                                .endpoint = { 0x0a000001 + index, 7000 } },
                      .incarnation = (uint64_t)sim.now + 1,
                      .capacity = 100,
                      .seed = index },
    .data_centre = "north",
    .flow_capacity = 4096,
    .idle_ms = 15000,
    .cold_limits = kinds[sim.kind].limits,
  };
  struct bb_endpoint seeds[]
      = { { 0x0a000001, 7000 }, { 0x0a000002, 7000 }, { 0x0a000099, 7000 } };
  *n = (struct node){ .index = index };
  n->m = bb_marked_new (&options, &sink, n, sim.now);
  bb_sync_set_seeds (bb_marked_get_sync (n->m), seeds, G_N_ELEMENTS (seeds));
  configure (n);
  if (sim.now >= sim.cold_from)
    put_cold_servers (n);
}

static inline void
stop_node (unsigned index)
{
  struct node *n = &sim.nodes[index];
  bb_marked_free (n->m);
  n->m = NULL;
  n->waiting_count = 0;
}

static inline void
open_flow (struct node *n, uint16_t port)
{
  struct bb_marked_packet p = {
    .packet = { .source = 0x64400001 + n->index,
                .source_port = port,
                .destination = 0xc6120001,
                .destination_port = 443,
                .protocol = IPPROTO_TCP,
                .tcp_flags = BB_TCP_SYN,
                .sequence = 100 },
  };
  struct bb_marked_verdict v;
  bb_marked_handle_packet (n->m, &p, sim.now, &v);
  if (v.kind != BB_MARKED_FORWARD)
    return;
  ck_assert_uint_lt (sim.arrival_count, ARRIVALS_MAX);
  sim.arrivals[sim.arrival_count++] = (struct arrival){
    .decided = sim.now,
    .at = sim.now + g_rand_int_range (sim.random, 1, 10) * BB_MSEC,
    .node = n->index,
    .server = (unsigned)v.tag,
  };
}

/* Delivers what has arrived.  What arrives at a frozen balancer waits.  */
static inline void
deliver_messages (void)
{
  unsigned kept = 0;
  for (unsigned i = 0; i < sim.queue_count; i++)
    {
      struct message m = sim.queue[i];
      struct node *to = &sim.nodes[m.to];
      if (m.at > sim.now || (to->m && to->is_frozen))
        {
          sim.queue[kept++] = m;
          continue;
        }
      struct bb_endpoint from = { 0x0a000001 + m.from, 7000 };
      struct bb_sync_message content;
      ck_assert (bb_sync_decode (m.bytes->data, m.bytes->len, &content, NULL));
      if (to->m)
        bb_sync_receive (bb_marked_get_sync (to->m), &from, &content, sim.now);
      g_byte_array_unref (m.bytes);
    }
  sim.queue_count = kept;
}

static inline void
receive_flows (struct node *n)
{
  for (unsigned i = 0; i < FLOWS_EACH_STEP; i++)
    if (n->waiting_count < WAITING_MAX)
      n->waiting[n->waiting_count++] = ++sim.port;
  if (n->is_frozen)
    return;
  for (unsigned i = 0; i < n->waiting_count; i++)
    open_flow (n, n->waiting[i]);
  n->waiting_count = 0;
}

/* Finds the owner of the first server.  Random troubles may leave none.  */
static inline bool
find_owner (void)
{
  bool is_found = false;
  for (unsigned i = 0; i < NODES; i++)
    {
      if (!sim.nodes[i].m
          || !bb_sync_owns (bb_marked_get_sync (sim.nodes[i].m),
                            bb_server_key ("desk", "s0")))
        continue;
      ck_assert_msg (!is_found, "two owners");
      sim.owner = i;
      is_found = true;
    }
  return is_found;
}

/* Freezes the owner.  The packets that it decided on last leave it when it
   wakes.  */
static inline void
freeze_owner (const struct trouble *frozen)
{
  if (!find_owner ())
    return;
  sim.nodes[sim.owner].is_frozen = true;
  for (unsigned i = 0; i < sim.arrival_count; i++)
    if (sim.arrivals[i].node == sim.owner
        && sim.now - sim.arrivals[i].decided <= STEP)
      sim.arrivals[i].at = frozen->end;
}

static inline void
apply_scenario (const struct scenario *c)
{
  for (unsigned i = 0; i < NODES; i++)
    {
      bool is_away = (c->killed_mask >> i & 1 && is_within (&c->killed))
                     || (i == NODES - 1 && is_within (&c->joining));
      if (is_away && sim.nodes[i].m)
        stop_node (i);
      else if (!is_away && !sim.nodes[i].m)
        start_node (i);
    }
  if (c->frozen.end && sim.now == c->frozen.from)
    freeze_owner (&c->frozen);
  if (c->frozen.end && sim.now == c->frozen.end)
    sim.nodes[sim.owner].is_frozen = false;
  if (c->leaves && sim.now == c->leaves && find_owner ())
    bb_sync_announce_leave (bb_marked_get_sync (sim.nodes[sim.owner].m),
                            sim.now);
}

static inline void
run (const struct scenario *c, unsigned kind)
{
  memset (&sim, 0, sizeof sim);
  sim.kind = kind;
  sim.scenario = c;
  sim.cold_from = c->cold_from ? c->cold_from : COLD_FROM;
  sim.random = g_rand_new_with_seed (11);
  for (sim.now = BB_SEC; sim.now < sim.cold_from + COLD_TIME; sim.now += STEP)
    {
      apply_scenario (c);
      deliver_messages ();
      for (unsigned i = 0; i < NODES; i++)
        {
          struct node *n = &sim.nodes[i];
          if (!n->m)
            continue;
          if (sim.now == sim.cold_from)
            put_cold_servers (n);
          receive_flows (n);
          if (!n->is_frozen && (sim.now / STEP + i) % (TICK / STEP) == 0)
            bb_marked_tick (n->m, sim.now);
        }
    }
  for (unsigned i = 0; i < NODES; i++)
    if (sim.nodes[i].m)
      stop_node (i);
  for (unsigned i = 0; i < sim.queue_count; i++)
    g_byte_array_unref (sim.queue[i].bytes);
  g_rand_free (sim.random);
}
#endif
