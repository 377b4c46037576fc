/* Uploads through a balancer whose own link is slow.  Callers have many
   packets in flight, most of which are queued, and retransmit what was not
   acknowledged.  */

#include "tests/marked_fixture.h"

enum
{
  PACKETS = 67,   /* 80,000 bytes */
  DATA = 1200,    /* bytes of a packet */
  IN_FLIGHT = 16, /* packets of a caller, as on the platform */
  FIRST_PORT = 1000,
  CALLERS_MAX = 40,
  QUEUE_MAX = 4096,
  ANSWER_MS = 5, /* from the last packet to the answer */
  REPEAT_MS = 200,
  REPEAT_MS_MAX = 1600,
  LENGTH_MS = 6000,
  TICK_MS = 50,
  OTHERS = 40, /* servers of another service, all of which answer */
  OTHERS_PORT = 2000,
};

struct sent
{
  int at;
  int timeout_ms;
  bool received;
};

struct caller
{
  uint32_t cookie;
  bool open;
  int start_ms;
  int next;         /* next packet to send for the first time */
  int acknowledged; /* packets acknowledged by the server */
  int answer_ms;    /* time of the answer; 0: not yet */
  bool done;
  bool reset;
  struct sent packets[PACKETS];
};

/* A packet in the queue of the balancer's link.  NUMBER is FIRST_PACKET,
   HANDSHAKE_END, the index of a data packet, or PACKETS for the
   acknowledgement of the answer.  */
struct waiting
{
  int caller;
  int number;
};

enum
{
  FIRST_PACKET = -2,
  HANDSHAKE_END = -1,
};

static struct
{
  struct caller callers[CALLERS_MAX];
  struct waiting queue[QUEUE_MAX];
  unsigned first, last;
  unsigned lost;
  unsigned room;
  uint32_t others[OTHERS];
} sim;

/* Slow links, with servers that are alive or die.  */
static const struct load
{
  const char *description;
  int callers;
  int spacing; /* ms between the first packets of callers */
  int link;    /* packets that the link carries in 10 ms */
  int room;    /* packets that its queue holds; 0: any number */
  int servers;
  int dies;       /* ms after which one server is dead; 0: never */
  bool resets;    /* whether flows are reset */
  int done_least; /* minimum of completed uploads */
} loads[] = {
  { "one caller through a fast link", 1, 0, 100, 0, 3, 0, false, 1 },
  { "few servers, all callers at once", 14, 0, 10, 0, 3, 0, false, 14 },
  { "many servers, all callers at once", 20, 0, 10, 0, 16, 0, false, 20 },
  { "one after the other through a slow link", 30, 60, 10, 0, 16, 0, false,
    20 },
  { "more than the link carries", 40, 20, 8, 0, 30, 0, false, 10 },
  { "a server that dies while callers upload", 24, 5, 40, 0, 3, 100, true, 8 },
  { "a link that drops packets", 20, 5, 4, 40, 10, 0, false, 5 },
  { "a link that drops most packets", 40, 5, 2, 10, 20, 0, false, 1 },
  { "a long queue before a link that drops packets", 40, 5, 4, 160, 20, 0,
    false, 5 },
};

static void
enqueue (int caller, int number)
{
  unsigned waiting = sim.last - sim.first;
  if (sim.room != 0 && waiting >= sim.room)
    return;
  if (waiting == QUEUE_MAX)
    {
      sim.lost++;
      return;
    }
  sim.queue[sim.last++ % QUEUE_MAX] = (struct waiting){ caller, number };
}

static void
caller_send (int i, int now)
{
  struct caller *c = &sim.callers[i];
  if (now < c->start_ms || c->done || c->reset)
    return;
  if (!c->open && (now - c->start_ms) % REPEAT_MS == 0)
    enqueue (i, c->cookie ? HANDSHAKE_END : FIRST_PACKET);
  if (!c->open || c->answer_ms)
    return;
  for (int n = c->acknowledged; n < c->next; n++)
    if (now - c->packets[n].at >= c->packets[n].timeout_ms)
      {
        c->packets[n].at = now;
        c->packets[n].timeout_ms
            = MIN (2 * c->packets[n].timeout_ms, REPEAT_MS_MAX);
        enqueue (i, n);
      }
  while (c->next < PACKETS && c->next - c->acknowledged < IN_FLIGHT)
    {
      c->packets[c->next]
          = (struct sent){ .at = now, .timeout_ms = REPEAT_MS };
      enqueue (i, c->next++);
    }
}

static void
server_receive (struct caller *c, int number, int now)
{
  c->packets[number].received = true;
  while (c->acknowledged < c->next && c->packets[c->acknowledged].received)
    c->acknowledged++;
  if (c->acknowledged == PACKETS)
    c->answer_ms = now + ANSWER_MS;
}

static bool
is_dead (const struct load *l, uint64_t tag, int now)
{
  return l->dies != 0 && now >= l->dies && tag == bb_name_key ("s0");
}

static void
deliver (const struct load *l, const struct waiting *w, int now)
{
  struct caller *c = &sim.callers[w->caller];
  uint16_t port = (uint16_t)(FIRST_PORT + w->caller);
  struct bb_marked_packet p = w->number == FIRST_PACKET
                                  ? packet (port, BB_TCP_SYN, 100, 0)
                                  : packet (port, BB_TCP_ACK, 101, 0);
  p.cookie = c->cookie;
  if (w->number >= 0)
    p.packet.sequence += (uint32_t)w->number * DATA;
  if (w->number == PACKETS)
    p.packet.acknowledgement = 301;
  else if (w->number >= 0)
    p.packet.payload = DATA;
  struct bb_marked_verdict v = handle_packet (&p, now * BB_MSEC);
  if (v.kind != BB_MARKED_FORWARD)
    {
      c->reset = true;
      return;
    }
  if (w->number == FIRST_PACKET)
    {
      c->cookie = v.cookie;
      enqueue (w->caller, HANDSHAKE_END);
    }
  else if (w->number == HANDSHAKE_END)
    c->open = true;
  else if (w->number < PACKETS && !is_dead (l, v.tag, now))
    server_receive (c, w->number, now);
}

/* Callers of other servers are answered throughout.  */
static void
answer_others (int now)
{
  for (unsigned i = 0; i < OTHERS; i++)
    send_request ((uint16_t)(OTHERS_PORT + i), sim.others[i],
                  101 + (uint32_t)now, 1 + (uint32_t)now, now * BB_MSEC);
}

static void
step (const struct load *l, int now)
{
  for (int i = 0; i < l->callers; i++)
    {
      struct caller *c = &sim.callers[i];
      caller_send (i, now);
      if (c->answer_ms == now && now != 0)
        {
          enqueue (i, PACKETS);
          c->done = true;
        }
    }
  int link_packets = (now + 1) * l->link / 10 - now * l->link / 10;
  for (; link_packets > 0 && sim.first != sim.last; link_packets--)
    deliver (l, &sim.queue[sim.first++ % QUEUE_MAX], now);
  if (now % TICK_MS != 0)
    return;
  answer_others (now);
  bb_marked_tick (t.m, now * BB_MSEC);
}

/* Guards against resets of uploads to live servers, and against uploads that
   hang at a dead server.  */
START_TEST (uploads)
{
  const struct load *l = &loads[_i];
  uint32_t cookies[32];
  memset (&sim, 0, sizeof sim);
  sim.room = (unsigned)l->room;
  put_servers ((unsigned)l->servers, cookies);
  configure (1, ROUTE_PORT, "desk", 0);
  for (unsigned i = 0; i < OTHERS; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "o%u", i);
      sim.others[i]
          = put_server (name, "notes", "north", BB_SERVER_READY, 0)->cookie;
    }
  for (int i = 0; i < l->callers; i++)
    sim.callers[i].start_ms = 1 + i * l->spacing;
  for (int now = 1; now <= LENGTH_MS; now++)
    step (l, now);
  int done = 0, resets = (int)t.reset_count;
  for (int i = 0; i < l->callers; i++)
    {
      done += sim.callers[i].done;
      resets += sim.callers[i].reset;
    }
  ck_assert_uint_eq (sim.lost, 0);
  ck_assert_msg ((resets > 0) == l->resets, "%s: %d resets", l->description,
                 resets);
  ck_assert_msg (done >= l->done_least, "%s: %d uploads completed",
                 l->description, done);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("upload");
  TCase *tc = tcase_create ("uploads");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, uploads, 0, G_N_ELEMENTS (loads));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
