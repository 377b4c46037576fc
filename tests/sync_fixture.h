/* Balancers that share one reading of the store, over simulated time: messages
   take 1 ms, and a store that is watched has one change every 0.7 s.  Each
   program that includes this has its own.  */

#ifndef BB_TESTS_SYNC_FIXTURE_H
#define BB_TESTS_SYNC_FIXTURE_H

#include "marked/sync.h"
#include "tests/suite.h"
#include "wire/sync.h"
#include <string.h>

enum
{
  NODES_MAX = 600,
  QUEUE = 1 << 18,
  TICK_STEPS = 10,    /* a balancer ticks every 50 ms */
  CHECKED_ALWAYS = 9, /* balancers; larger fleets are checked at ticks */
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

/* Messages that were delivered stay in the queue until their place is needed,
   so that they can come again.  */
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
forget (struct message *m)
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
  if (target >= w.count
      || (unsigned)g_rand_int_range (w.random, 0, 100) < w.loss)
    return;
  struct message *m = &w.queue[w.tail++ % QUEUE];
  ck_assert_uint_lt (w.tail - w.head, QUEUE);
  forget (m);
  *m = (struct message){ w.now + DELAY, n->index, target,
                         g_byte_array_ref (bytes) };
}

static void
sink_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_share_message *message)
{
  GByteArray *bytes = bb_share_encode (message);
  for (size_t i = 0; i < count; i++)
    send_one (context, &to[i], bytes);
  g_byte_array_unref (bytes);
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
  return index % w.data_centres;
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
      = { endpoint_of (0), endpoint_of (4), endpoint_of (w.count + 7) };
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
begin (unsigned count, unsigned data_centres)
{
  memset (&w, 0, sizeof w);
  w.count = count;
  w.data_centres = data_centres;
  w.queue = g_new0 (struct message, QUEUE);
  w.random = g_rand_new_with_seed (7);
  w.now = BB_SEC;
  w.revision = 1;
  for (unsigned i = 0; i < count; i++)
    start (i);
}

static void
teardown (void)
{
  for (unsigned i = 0; i < w.count; i++)
    stop (i);
  for (unsigned i = 0; i < QUEUE; i++)
    forget (&w.queue[i]);
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
  /* A reading of all is given up when a peer made it needless.  */
  if (n->after == 0 && !bb_sharing_may_call (n->sharing, w.now))
    {
      n->asked = 0;
      return;
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
receive (const struct message *m)
{
  struct node *to = &w.nodes[m->to];
  struct bb_endpoint from = endpoint_of (m->from);
  struct bb_share_message content;
  if (!connected (&w.nodes[m->from], to) || to->frozen)
    return;
  w.messages++;
  w.bytes += m->bytes->len;
  ck_assert (bb_share_decode (m->bytes->data, m->bytes->len, &content, NULL));
  bb_sharing_receive (to->sharing, &from, &content, w.now);
}

static void
deliver (void)
{
  while (w.head != w.tail && w.queue[w.head % QUEUE].at <= w.now)
    receive (&w.queue[w.head++ % QUEUE]);
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
      for (unsigned i = 0; i < w.count; i++)
        {
          struct node *n = &w.nodes[i];
          if (!n->up || n->frozen)
            continue;
          read_store (n);
          bool ticks = (w.now / STEP + i) % TICK_STEPS == 0;
          if (ticks)
            bb_sharing_tick (n->sharing, w.now);
          if (ticks || w.count <= CHECKED_ALWAYS)
            check (n);
        }
    }
}

static unsigned
readers (void)
{
  unsigned count = 0;
  for (unsigned i = 0; i < w.count; i++)
    count += w.nodes[i].up && bb_sharing_reads (w.nodes[i].sharing);
  return count;
}

static struct node *
reader (void)
{
  for (unsigned i = 0; i < w.count; i++)
    if (w.nodes[i].up && bb_sharing_reads (w.nodes[i].sharing))
      return &w.nodes[i];
  ck_abort_msg ("nobody reads");
  return NULL;
}
#endif
