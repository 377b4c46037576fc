/* Balancers that share one reader of the store, in simulated time.  A message
   takes 1 ms, and the store has a change every 0.7 s.  Each program that
   includes this header has its own.  */

#ifndef BB_TESTS_SYNC_FIXTURE_H
#define BB_TESTS_SYNC_FIXTURE_H

#include "marked/sync/sync.h"
#include "tests/suite.h"
#include "wire/sync.h"
#include <string.h>

enum
{
  NODES_MAX = 600,
  QUEUE = 1 << 18,
  TICK_STEPS = 10,    /* a balancer ticks every 50 ms */
  CHECKED_ALWAYS = 9, /* balancers; larger fleets are checked at ticks only */
};

#define STEP (5 * BB_MSEC)
#define DELAY BB_MSEC
#define CHANGE_INTERVAL (700 * BB_MSEC)
#define RUN_TIME (20 * BB_SEC)

/* Time limit of the users' settings until a configuration is in force.  */
#define BOUND (3 * BB_SEC)

struct node
{
  struct bb_directory *directory;
  struct bb_sync *sync;
  unsigned index;
  bool is_up;
  bool frozen;
  bool cut;               /* from the other data centres */
  bool refused;           /* by the store */
  bool silent;            /* its watch gets neither an answer nor an error */
  bb_usec call_started;   /* of the pending call; 0: none */
  uint64_t after;         /* revision the call continues from; 0: whole read */
  bb_usec pause;          /* no calls before this time, after a failure */
  uint64_t held_revision; /* last checked revision; never set */
  bb_usec last_fault;     /* last time that a fault was injected */
};

/* Delivered messages stay in the queue until their slot is reused, so that
   they can be delivered again.  */
struct message
{
  bb_usec at;
  unsigned from;
  unsigned to;
  GByteArray *bytes;
};

static struct
{
  struct node nodes[NODES_MAX];
  unsigned count;
  unsigned data_centres;
  uint64_t messages; /* delivered */
  uint64_t bytes;
  struct message *queue;
  unsigned head, tail;
  uint64_t revision;
  bb_usec changed[256]; /* time of each revision of the store */
  bb_usec now;
  unsigned calls;
  unsigned loss; /* percent */
  GRand *random;
  uint64_t joined;
  /* Delivers further changes after a revision to a balancer that reads.  */
  void (*deliver) (struct node *n, uint64_t after);
} sim;

static struct bb_endpoint
endpoint_of (unsigned index)
{
  return (struct bb_endpoint){ 0x0a000001 + index, 7000 };
}

static void
release_message (struct message *m)
{
  if (m->bytes)
    g_byte_array_unref (m->bytes);
  m->bytes = NULL;
}

static void
send_one (const struct node *n, const struct bb_endpoint *to,
          GByteArray *bytes)
{
  unsigned target = to->address - 0x0a000001;
  if (target >= sim.count
      || (unsigned)g_rand_int_range (sim.random, 0, 100) < sim.loss)
    return;
  struct message *m = &sim.queue[sim.tail++ % QUEUE];
  ck_assert_uint_lt (sim.tail - sim.head, QUEUE);
  release_message (m);
  *m = (struct message){ sim.now + DELAY, n->index, target,
                         g_byte_array_ref (bytes) };
}

static void
sink_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_sync_message *message)
{
  GByteArray *bytes = bb_sync_encode (message);
  for (size_t i = 0; i < count; i++)
    send_one (context, &to[i], bytes);
  g_byte_array_unref (bytes);
}

static void
sink_event (void *context, const struct bb_event *event)
{
  (void)context;
  sim.joined += event->kind == BB_EVENT_PEER_JOINED;
}

static void
sink_server (void *context, struct bb_backend_server *server)
{
  (void)context;
  (void)server;
}

static const struct bb_sync_sink sink = { sink_send, sink_event, sink_server };

static unsigned
data_centre_of (unsigned index)
{
  return index % sim.data_centres;
}

static void
start_node (unsigned index)
{
  struct node *n = &sim.nodes[index];
  char name[16];
  g_snprintf (name, sizeof name, "dc-%u", data_centre_of (index));
  struct bb_sync_options options = {
    .self = { .id = 100 + index,
              .data_centre = 1 + data_centre_of (index),
              .endpoint = endpoint_of (index) },
    .incarnation = (uint64_t)sim.now,
    .capacity = 100,
    .seed = index,
  };
  /* Two seeds that are up in most cases, and one that never was.  */
  struct bb_endpoint seeds[]
      = { endpoint_of (0), endpoint_of (4), endpoint_of (sim.count + 7) };
  memset (n, 0, sizeof *n);
  n->index = index;
  n->is_up = true;
  n->directory = bb_directory_new (name);
  n->sync = bb_sync_new (&options, n->directory, &sink, n, sim.now);
  n->last_fault = sim.now;
  bb_sync_set_seeds (n->sync, seeds, G_N_ELEMENTS (seeds));
}

static void
stop_node (unsigned index)
{
  struct node *n = &sim.nodes[index];
  if (n->is_up)
    {
      bb_sync_free (n->sync);
      bb_directory_free (n->directory);
    }
  n->is_up = false;
  n->last_fault = sim.now;
}

static void
start_cluster (unsigned count, unsigned data_centres)
{
  memset (&sim, 0, sizeof sim);
  sim.count = count;
  sim.data_centres = data_centres;
  sim.queue = g_new0 (struct message, QUEUE);
  sim.random = g_rand_new_with_seed (7);
  sim.now = BB_SEC;
  sim.revision = 1;
  for (unsigned i = 0; i < count; i++)
    start_node (i);
}

static void
teardown (void)
{
  for (unsigned i = 0; i < sim.count; i++)
    stop_node (i);
  for (unsigned i = 0; i < QUEUE; i++)
    release_message (&sim.queue[i]);
  g_rand_free (sim.random);
  g_free (sim.queue);
}

/* The store: each revision adds a server of its own, so that a missing record
   shows in a directory.  Each third revision removes the server of the second
   revision before it instead.  */
static bool
is_removal (uint64_t revision)
{
  return revision > 2 && revision % 3 == 0;
}

/* Whether the server of REVISION is listed at revision NOW.  */
static bool
is_listed (uint64_t revision, uint64_t now)
{
  return !is_removal (revision) && !(revision % 3 == 1 && revision + 2 <= now);
}

static void
apply_revision (struct node *n, uint64_t revision)
{
  struct bb_server_record r = { .service = "s",
                                .data_centre = "dc-0",
                                .address = { 1, 1 },
                                .state = BB_SERVER_READY,
                                .revision = revision,
                                .created = revision };
  struct bb_backend_server *server;
  if (is_removal (revision))
    r.state = BB_SERVER_GONE;
  g_snprintf (r.name, sizeof r.name, "i-%02x",
              (unsigned)(is_removal (revision) ? revision - 2 : revision));
  bb_directory_put (n->directory, &r, sim.now, &server);
}

static void
fail_call (struct node *n)
{
  n->call_started = 0;
  n->pause = sim.now + 300 * BB_MSEC;
  bb_sync_report_store_failure (n->sync, sim.now);
}

static void
read_store (struct node *n)
{
  if (n->call_started == 0)
    {
      if (!bb_sync_may_call_store (n->sync, sim.now) || sim.now < n->pause)
        return;
      n->call_started = sim.now;
      n->after = bb_sync_revision (n->sync);
      sim.calls++;
    }
  /* A whole read is abandoned if a peer made it unnecessary.  */
  if (n->after == 0 && !bb_sync_may_call_store (n->sync, sim.now))
    {
      n->call_started = 0;
      return;
    }
  bb_usec waited = sim.now - n->call_started;
  if (n->silent)
    {
      if (waited >= BB_STORE_WATCH_TIME + BB_STORE_WATCH_MARGIN)
        fail_call (n);
      return;
    }
  if (waited < 5 * BB_MSEC)
    return;
  if (n->refused)
    {
      fail_call (n);
      return;
    }
  if (sim.revision == n->after && waited < BB_STORE_WATCH_TIME)
    return;
  for (uint64_t r = n->after + 1; r <= sim.revision; r++)
    if (n->after > 0 || is_listed (r, sim.revision))
      apply_revision (n, r);
  if (sim.deliver)
    sim.deliver (n, n->after);
  if (n->after == 0)
    bb_directory_start_history (n->directory, sim.revision, sim.now);
  bb_usec call_started = n->call_started;
  n->call_started = 0;
  bb_directory_set_version (n->directory, sim.revision);
  bb_sync_confirm_revision (n->sync, sim.revision, call_started, sim.now);
}

static bool
connected (const struct node *a, const struct node *b)
{
  bool is_local = data_centre_of (a->index) == data_centre_of (b->index);
  return b->is_up && (is_local || (!a->cut && !b->cut));
}

static void
receive_message (const struct message *m)
{
  struct node *to = &sim.nodes[m->to];
  struct bb_endpoint from = endpoint_of (m->from);
  struct bb_sync_message content;
  if (!connected (&sim.nodes[m->from], to) || to->frozen)
    return;
  sim.messages++;
  sim.bytes += m->bytes->len;
  ck_assert (bb_sync_decode (m->bytes->data, m->bytes->len, &content, NULL));
  bb_sync_receive (to->sync, &from, &content, sim.now);
}

static void
deliver_messages (void)
{
  while (sim.head != sim.tail && sim.queue[sim.head % QUEUE].at <= sim.now)
    receive_message (&sim.queue[sim.head++ % QUEUE]);
}

/* Checks that the directory of N equals the store at HELD_REVISION.  */
static void
check_listed (const struct node *n, uint64_t held_revision)
{
  char name[16];
  for (uint64_t r = 2; r <= held_revision; r++)
    {
      if (is_removal (r))
        continue;
      g_snprintf (name, sizeof name, "i-%02x", (unsigned)r);
      const struct bb_backend_server *server
          = bb_directory_find_server (n->directory, name);
      bool is_present = server && server->record.state == BB_SERVER_READY;
      ck_assert_msg (is_present == is_listed (r, held_revision),
                     "%.3f s: balancer %u at revision %u: %s is %slisted",
                     (double)sim.now / BB_SEC, n->index,
                     (unsigned)held_revision, name, is_present ? "" : "not ");
    }
}

/* Checks that a balancer without a fault within the time limit holds all
   changes that are older than the limit.  */
static void
check_node (const struct node *n)
{
  if (sim.now - n->last_fault < BOUND + BB_SEC)
    return;
  uint64_t held_revision = bb_sync_revision (n->sync);
  if (held_revision < sim.revision)
    ck_assert_msg (sim.now - sim.changed[held_revision + 1] <= BOUND,
                   "%.3f s: balancer %u holds revision %u, not %u of %.3f s",
                   (double)sim.now / BB_SEC, n->index, (unsigned)held_revision,
                   (unsigned)held_revision + 1,
                   (double)sim.changed[held_revision + 1] / BB_SEC);
  check_listed (n, held_revision);
}

static inline void
run_for (bb_usec time)
{
  for (bb_usec end = sim.now + time; sim.now < end; sim.now += STEP)
    {
      if (sim.now % CHANGE_INTERVAL == 0)
        sim.changed[++sim.revision] = sim.now;
      deliver_messages ();
      for (unsigned i = 0; i < sim.count; i++)
        {
          struct node *n = &sim.nodes[i];
          if (!n->is_up || n->frozen)
            continue;
          read_store (n);
          bool ticks = (sim.now / STEP + i) % TICK_STEPS == 0;
          if (ticks)
            bb_sync_tick (n->sync, sim.now);
          if (ticks || sim.count <= CHECKED_ALWAYS)
            check_node (n);
        }
    }
}

static inline unsigned
readers (void)
{
  unsigned count = 0;
  for (unsigned i = 0; i < sim.count; i++)
    count += sim.nodes[i].is_up && bb_sync_is_reader (sim.nodes[i].sync);
  return count;
}

static inline struct node *
find_reader (void)
{
  for (unsigned i = 0; i < sim.count; i++)
    if (sim.nodes[i].is_up && bb_sync_is_reader (sim.nodes[i].sync))
      return &sim.nodes[i];
  ck_abort_msg ("no balancer reads the store");
  return NULL;
}
#endif
