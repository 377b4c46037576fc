/* Balancers that share one reading of the store, over simulated time: messages
   take 1 ms, and a store that is watched has one change every 0.7 s.  */

#include "marked/sharing.h"
#include "tests/suite.h"
#include <string.h>

enum
{
  NODES = 9,
  DATA_CENTRES = 3,
  QUEUE = 65536,
};

#define STEP (5 * BB_MSEC)
#define DELAY BB_MSEC
#define CHANGE_INTERVAL (700 * BB_MSEC)
#define RUN_TIME (20 * BB_SEC)

/* Bound of the users' settings for a configuration.  */
#define BOUND (3 * BB_SEC)

struct node
{
  struct bb_directory *directory;
  struct bb_sharing *sharing;
  unsigned index;
  bool up;
  bool frozen;
  bool cut;        /* from the other data centres */
  bool refused;    /* by the store */
  bool silent;     /* its watch gets no answer, nor an error */
  bb_usec asked;   /* call under way; 0: none */
  uint64_t after;  /* revision that it goes on from */
  bb_usec pause;   /* after a failure */
  uint64_t known;  /* revision that was last checked */
  bb_usec trouble; /* last time that something was done to it */
};

struct message
{
  bb_usec at;
  unsigned from;
  unsigned to;
  struct bb_share_message content;
};

static struct
{
  struct node nodes[NODES];
  struct message *queue;
  unsigned head, tail;
  uint64_t revision;
  bb_usec changed[256]; /* when the store took each revision */
  bb_usec now;
  unsigned calls;
  unsigned loss; /* percent */
  GRand *random;
  uint64_t joined;
} w;

static struct bb_endpoint
endpoint_of (unsigned index)
{
  return (struct bb_endpoint){ 0x0a000001 + index, 7000 };
}

static void
send_one (const struct node *n, const struct bb_endpoint *to,
          const struct bb_share_message *message)
{
  unsigned target = to->address - 0x0a000001;
  if (target >= NODES
      || (unsigned)g_rand_int_range (w.random, 0, 100) < w.loss)
    return;
  struct message *m = &w.queue[w.tail++ % QUEUE];
  ck_assert_uint_lt (w.tail - w.head, QUEUE);
  *m = (struct message){ w.now + DELAY, n->index, target, *message };
}

static void
sink_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_share_message *message)
{
  for (size_t i = 0; i < count; i++)
    send_one (context, &to[i], message);
}

static void
sink_event (void *context, const struct bb_event *event)
{
  (void)context;
  w.joined += event->kind == BB_EVENT_PEER_JOINED;
}

static void
sink_server (void *context, struct bb_backend_server *server)
{
  (void)context;
  (void)server;
}

static const struct bb_share_sink sink
    = { sink_send, sink_event, sink_server };

static unsigned
data_centre_of (unsigned index)
{
  return index % DATA_CENTRES;
}

static void
start (unsigned index)
{
  struct node *n = &w.nodes[index];
  char name[16];
  g_snprintf (name, sizeof name, "dc-%u", data_centre_of (index));
  struct bb_share_options options = {
    .self = { .id = 100 + index,
              .data_centre = 1 + data_centre_of (index),
              .endpoint = endpoint_of (index) },
    .incarnation = (uint64_t)w.now,
    .capacity = 100,
    .seed = index,
  };
  /* Seeds: two that live in most cases, and one that never did.  */
  struct bb_endpoint seeds[]
      = { endpoint_of (0), endpoint_of (4), endpoint_of (NODES + 7) };
  memset (n, 0, sizeof *n);
  n->index = index;
  n->up = true;
  n->directory = bb_directory_new (name);
  n->sharing = bb_sharing_new (&options, n->directory, &sink, n, w.now);
  n->trouble = w.now;
  bb_sharing_seed (n->sharing, seeds, G_N_ELEMENTS (seeds));
}

static void
stop (unsigned index)
{
  struct node *n = &w.nodes[index];
  if (n->up)
    {
      bb_sharing_free (n->sharing);
      bb_directory_free (n->directory);
    }
  n->up = false;
  n->trouble = w.now;
}

static void
setup (void)
{
  memset (&w, 0, sizeof w);
  w.queue = g_new (struct message, QUEUE);
  w.random = g_rand_new_with_seed (7);
  w.now = BB_SEC;
  w.revision = 1;
  for (unsigned i = 0; i < NODES; i++)
    start (i);
}

static void
teardown (void)
{
  for (unsigned i = 0; i < NODES; i++)
    stop (i);
  g_rand_free (w.random);
  g_free (w.queue);
}

/* The store: revision R is a server of its own, so that a directory shows
   whether something was left out; each third one removes the server of the
   second one before it.  */
static bool
removes (uint64_t revision)
{
  return revision > 2 && revision % 3 == 0;
}

/* Whether the server of REVISION is listed at revision NOW.  */
static bool
is_listed (uint64_t revision, uint64_t now)
{
  return !removes (revision) && !(revision % 3 == 1 && revision + 2 <= now);
}

static void
take (struct node *n, uint64_t revision)
{
  struct bb_server_record r = { .service = "s",
                                .data_centre = "dc-0",
                                .address = { 1, 1 },
                                .state = BB_SERVER_READY,
                                .revision = revision,
                                .created = revision };
  struct bb_backend_server *server;
  if (removes (revision))
    r.state = BB_SERVER_GONE;
  g_snprintf (r.name, sizeof r.name, "i-%02x",
              (unsigned)(removes (revision) ? revision - 2 : revision));
  bb_directory_put (n->directory, &r, w.now, &server);
}

static void
fail_call (struct node *n)
{
  n->asked = 0;
  n->pause = w.now + 300 * BB_MSEC;
  bb_sharing_store_failed (n->sharing, w.now);
}

static void
read_store (struct node *n)
{
  if (n->asked == 0)
    {
      if (!bb_sharing_may_call (n->sharing, w.now) || w.now < n->pause)
        return;
      n->asked = w.now;
      n->after = bb_sharing_revision (n->sharing);
      w.calls++;
    }
  bb_usec waited = w.now - n->asked;
  if (n->silent)
    {
      if (waited >= BB_STORE_WAIT + BB_STORE_MARGIN)
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
  if (w.revision == n->after && waited < BB_STORE_WAIT)
    return;
  for (uint64_t r = n->after + 1; r <= w.revision; r++)
    if (n->after > 0 || is_listed (r, w.revision))
      take (n, r);
  if (n->after == 0)
    bb_directory_begin (n->directory, w.revision, w.now);
  bb_usec asked = n->asked;
  n->asked = 0;
  bb_directory_set_version (n->directory, w.revision);
  bb_sharing_current (n->sharing, w.revision, asked, w.now);
}

static bool
connected (const struct node *a, const struct node *b)
{
  bool near = data_centre_of (a->index) == data_centre_of (b->index);
  return b->up && (near || (!a->cut && !b->cut));
}

static void
deliver (void)
{
  while (w.head != w.tail && w.queue[w.head % QUEUE].at <= w.now)
    {
      const struct message *m = &w.queue[w.head++ % QUEUE];
      struct node *to = &w.nodes[m->to];
      struct bb_endpoint from = endpoint_of (m->from);
      if (connected (&w.nodes[m->from], to) && !to->frozen)
        bb_sharing_receive (to->sharing, &from, &m->content, w.now);
    }
}

/* The directory of N is that of the store at revision KNOWN.  */
static void
check_listed (const struct node *n, uint64_t known)
{
  char name[16];
  for (uint64_t r = 2; r <= known; r++)
    {
      if (removes (r))
        continue;
      g_snprintf (name, sizeof name, "i-%02x", (unsigned)r);
      const struct bb_backend_server *server
          = bb_directory_find (n->directory, name);
      bool listed = server && server->record.state == BB_SERVER_READY;
      ck_assert_msg (listed == is_listed (r, known),
                     "%.3f s: balancer %u at revision %u: %s is %slisted",
                     (double)w.now / BB_SEC, n->index, (unsigned)known, name,
                     listed ? "" : "not ");
    }
}

/* Each balancer that was left alone for the bound knows all changes that are
   older than it.  */
static void
check (const struct node *n)
{
  if (w.now - n->trouble < BOUND + BB_SEC)
    return;
  uint64_t known = bb_sharing_revision (n->sharing);
  if (known < w.revision)
    ck_assert_msg (w.now - w.changed[known + 1] <= BOUND,
                   "%.3f s: balancer %u knows %u, not %u of %.3f s",
                   (double)w.now / BB_SEC, n->index, (unsigned)known,
                   (unsigned)known + 1, (double)w.changed[known + 1] / BB_SEC);
  check_listed (n, known);
}

static void
run (bb_usec time)
{
  for (bb_usec end = w.now + time; w.now < end; w.now += STEP)
    {
      if (w.now % CHANGE_INTERVAL == 0)
        w.changed[++w.revision] = w.now;
      deliver ();
      for (unsigned i = 0; i < NODES; i++)
        {
          struct node *n = &w.nodes[i];
          if (!n->up || n->frozen)
            continue;
          read_store (n);
          if ((w.now / STEP + i) % 10 == 0)
            bb_sharing_tick (n->sharing, w.now);
          check (n);
        }
    }
}

static unsigned
readers (void)
{
  unsigned count = 0;
  for (unsigned i = 0; i < NODES; i++)
    count += w.nodes[i].up && bb_sharing_reads (w.nodes[i].sharing);
  return count;
}

static struct node *
reader (void)
{
  for (unsigned i = 0; i < NODES; i++)
    if (w.nodes[i].up && bb_sharing_reads (w.nodes[i].sharing))
      return &w.nodes[i];
  ck_abort_msg ("nobody reads");
  return NULL;
}

/* Troubles, each done to the fleet after it has settled.  */

static void
nothing (void)
{
}

static void
kill_reader (void)
{
  stop (reader ()->index);
}

static void
freeze_reader (void)
{
  struct node *n = reader ();
  n->frozen = true;
  n->trouble = w.now + RUN_TIME;
}

static void
silence_reader (void)
{
  reader ()->silent = true;
}

static void
refuse_reader (void)
{
  reader ()->refused = true;
}

static void
refuse_all_but_one (void)
{
  unsigned kept = (reader ()->index + 1) % NODES;
  for (unsigned i = 0; i < NODES; i++)
    w.nodes[i].refused = i != kept;
}

static void
cut_all (void)
{
  for (unsigned i = 0; i < NODES; i++)
    w.nodes[i].cut = true;
}

static void
cut_reader (void)
{
  unsigned lost = data_centre_of (reader ()->index);
  for (unsigned i = 0; i < NODES; i++)
    w.nodes[i].cut = data_centre_of (i) == lost;
}

static void
lose_messages (void)
{
  w.loss = 20;
}

static void
restart_all (void)
{
  for (unsigned i = 0; i < NODES; i++)
    {
      stop (i);
      start (i);
    }
}

static void
kill_seeds_and_restart_one (void)
{
  stop (0);
  stop (4);
  stop (7);
  run (BB_SEC);
  start (7);
}

static void
kill_two_readers (void)
{
  kill_reader ();
  run (1100 * BB_MSEC);
  kill_reader ();
}

/* Balancers that started after servers were removed tell those that could not
   read the store meanwhile.  */
static void
learn_from_joiners (void)
{
  for (unsigned i = 0; i < NODES; i++)
    {
      w.nodes[i].cut = true;
      w.nodes[i].refused = data_centre_of (i) != 0;
      w.nodes[i].trouble = w.now + RUN_TIME;
    }
  run (5 * CHANGE_INTERVAL);
  for (unsigned i = 0; i < NODES; i += DATA_CENTRES)
    {
      stop (i);
      start (i);
      w.nodes[i].cut = true;
    }
  run (300 * BB_MSEC);
  for (unsigned i = 0; i < NODES; i++)
    {
      w.nodes[i].cut = false;
      w.nodes[i].trouble = w.now;
    }
}

static const struct
{
  const char *guards;
  void (*act) (void);
  unsigned readers; /* afterwards, at most */
} troubles[] = {
  { "a calm fleet has one reader", nothing, 1 },
  { "a killed reader is replaced", kill_reader, 1 },
  { "a reader that stands still is replaced", freeze_reader, 2 },
  { "a reader whose connection went silent notices in time", silence_reader,
    2 },
  { "a reader that the store refuses is replaced", refuse_reader, 1 },
  { "one balancer that reaches the store serves all", refuse_all_but_one,
    NODES },
  { "each data centre that is cut off reads itself", cut_all, DATA_CENTRES },
  { "a reader that is cut off is replaced", cut_reader, 2 },
  { "lost messages are asked for again", lose_messages, 3 },
  { "a fleet that starts anew settles", restart_all, 1 },
  { "a balancer with stale seeds finds the rest", kill_seeds_and_restart_one,
    1 },
  { "two readers lost one after the other", kill_two_readers, 1 },
  { "what was removed is told by those who never knew it", learn_from_joiners,
    NODES },
};

START_TEST (trouble)
{
  run (5 * BB_SEC);
  ck_assert_uint_eq (readers (), 1);
  troubles[_i].act ();
  run (RUN_TIME);
  ck_assert_uint_ge (readers (), 1);
  ck_assert_uint_le (readers (), troubles[_i].readers);
}
END_TEST

/* Guards against what was removed and comes back: a balancer that has read the
   store is told an older state by one that asked earlier.  */
START_TEST (older_state_brings_nothing_back)
{
  struct node *n = &w.nodes[0];
  struct bb_endpoint from = endpoint_of (1);
  struct bb_share_message m = {
    .kind = BB_SHARE_ITEMS,
    .from = 101,
    .items = { .batch = 1,
               .chunk_count = _i ? 2 : 1,
               .to = 8,
               .version = 8,
               .servers = { { .name = "i-07",
                              .service = "s",
                              .data_centre = "dc-0",
                              .address = { 1, 1 },
                              .state = BB_SERVER_READY,
                              .revision = 7,
                              .created = 7 } },
               .server_count = 1,
               .routes = { { .address = { 1, 443 },
                             .shares = { { 1, 1 } },
                             .share_count = 1,
                             .revision = 4 } },
               .route_count = 1 },
  };
  take (n, 8);
  bb_directory_begin (n->directory, 9, w.now);
  bb_sharing_current (n->sharing, 9, w.now, w.now);
  bb_sharing_receive (n->sharing, &from, &m, w.now);
  ck_assert_ptr_null (bb_directory_find (n->directory, "i-07"));
  ck_assert_ptr_null (
      bb_directory_route (n->directory, &m.items.routes[0].address));
  ck_assert_uint_eq (bb_sharing_revision (n->sharing), 9);
}
END_TEST

/* Guards against calls to the store that grow with the fleet: one watch for
   each change, and one where nothing changes.  */
START_TEST (calls_do_not_grow_with_the_fleet)
{
  run (5 * BB_SEC);
  unsigned before = w.calls;
  run (RUN_TIME);
  ck_assert_uint_le (w.calls - before,
                     RUN_TIME / CHANGE_INTERVAL + RUN_TIME / BB_STORE_WAIT);
}
END_TEST

/* Guards against a fleet that floods a store which is down, and one that asks
   it again only late when it is back.  */
START_TEST (store_that_is_down_is_asked_seldom)
{
  run (5 * BB_SEC);
  for (unsigned i = 0; i < NODES; i++)
    {
      w.nodes[i].refused = true;
      w.nodes[i].trouble = w.now + RUN_TIME;
    }
  unsigned before = w.calls;
  run (6 * BB_SEC);
  /* The first one each 0.3 s, each other one once in 1.5 s.  */
  ck_assert_uint_le (w.calls - before, 20 + (NODES - 1) * 4 + NODES);
  for (unsigned i = 0; i < NODES; i++)
    {
      w.nodes[i].refused = false;
      w.nodes[i].trouble = w.now - BB_SEC;
    }
  run (RUN_TIME);
  ck_assert_uint_eq (readers (), 1);
}
END_TEST

/* Guards against knowledge that a balancer loses or takes twice when messages
   come twice and late.  */
START_TEST (messages_twice_and_late)
{
  run (3 * BB_SEC);
  unsigned end = w.tail;
  unsigned start_at = end > 400 ? end - 400 : 0;
  run (3 * BB_SEC);
  for (unsigned i = start_at; i < end; i++)
    {
      struct message late = w.queue[i % QUEUE];
      late.at = w.now;
      w.queue[w.tail++ % QUEUE] = late;
    }
  run (RUN_TIME);
  ck_assert_uint_le (readers (), 1);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("sharing");
  TCase *tc = tcase_create ("troubles");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_set_timeout (tc, 60);
  tcase_add_loop_test (tc, trouble, 0, G_N_ELEMENTS (troubles));
  tcase_add_loop_test (tc, older_state_brings_nothing_back, 0, 2);
  tcase_add_test (tc, calls_do_not_grow_with_the_fleet);
  tcase_add_test (tc, store_that_is_down_is_asked_seldom);
  tcase_add_test (tc, messages_twice_and_late);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
