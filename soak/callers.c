/* Callers.  Each opens a flow, sends some requests, closes it and opens
   another.  In addition each balancer has one caller that opens flows to the
   route that is added and removed, to check the configuration in force.  */

#include "soak/soak.h"
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

enum caller_state
{
  IDLE,
  OPENING,
  OPEN,
  WAITING
};

struct caller
{
  unsigned index, data_centre, service;
  struct bb_endpoint address; /* source of the current flow */
  int fd;
  enum caller_state state;
  unsigned balancer; /* balancer to probe, of a probing caller */
  uint32_t sequence, acknowledged, cookie;
  unsigned syn_copies, requests_left;
  bool is_probe;
  bool at_most_once; /* the request must not be executed twice */
  bb_usec next;      /* time of the next action */
  bb_usec deadline;  /* of the flow's opening or the request */
  bb_usec retry_interval, started;
  uint64_t id; /* of the last request */
};

static struct caller callers[SOAK_CALLERS_MAX + SOAK_BALANCERS_MAX];
static unsigned caller_count;

/* Separate from cluster.random, so that requests do not change the schedule of
   faults.  */
static GRand *caller_random;

static uint64_t last_id; /* of the requests of all callers */

#define FIRST_RETRY_INTERVAL (200 * BB_MSEC)
#define OPEN_TIMEOUT (1400 * BB_MSEC)
#define REQUEST_TIMEOUT (1500 * BB_MSEC)
#define SLOW_REQUEST_TIMEOUT (6 * BB_SEC)

static uint16_t
service_port (const struct caller *c)
{
  return (uint16_t)(c->is_probe ? SOAK_PROBE_PORT
                                : SOAK_FIRST_PORT + c->service);
}

static void
send_packet (struct caller *c, uint8_t flags, uint32_t acknowledgement,
             const void *data, uint16_t length)
{
  uint8_t bytes[SOAK_PACKET_MAX];
  struct bb_packet p = { .source = c->address.address,
                         .source_port = c->address.port,
                         .destination = 0xc6120001,
                         .destination_port = service_port (c),
                         .tcp_flags = flags,
                         .sequence = c->sequence,
                         .acknowledgement = acknowledgement,
                         .payload = length };
  uint64_t hash
      = ((uint64_t)p.source << 32 | p.source_port) * 0x9e3779b97f4a7c15;
  const struct soak_balancer *b
      = c->is_probe ? &cluster.balancers[c->balancer]
                    : soak_choose_balancer (c->data_centre, hash);
  if (b)
    soak_send_datagram (c->fd, &b->packets, bytes,
                        soak_encode_packet (bytes, &p, c->cookie, data));
}

static void
open_flow (struct caller *c)
{
  c->state = OPENING;
  c->started = cluster.now;
  c->address.port++;
  if (c->address.port < 1024)
    c->address.port = 1024;
  c->sequence = g_rand_int (caller_random);
  c->cookie = 0;
  c->syn_copies = 0;
  c->requests_left = (unsigned)g_rand_int_range (caller_random, 1, 30);
  c->next = cluster.now + FIRST_RETRY_INTERVAL;
  c->deadline = cluster.now + OPEN_TIMEOUT;
  send_packet (c, BB_TCP_SYN, 0, NULL, 0);
}

/* Makes the caller open another flow after PAUSE.  */
static void
become_idle (struct caller *c, bb_usec pause)
{
  c->state = IDLE;
  c->next = cluster.now + pause;
}

static void
send_request (struct caller *c)
{
  struct
  {
    uint64_t id;
    uint32_t service, at_most_once;
  } data = { c->id, c->service, c->at_most_once };
  if (cluster.plant && strcmp (cluster.plant, "service") == 0
      && c->id % 200 == 0)
    data.service = (c->service + 1) % SOAK_SERVICES;
  send_packet (c, BB_TCP_ACK, c->acknowledged, &data, sizeof data);
}

static void
start_request (struct caller *c)
{
  c->id = ++last_id;
  c->at_most_once = g_rand_int_range (caller_random, 0, 3) == 0;
  c->state = WAITING;
  c->retry_interval = FIRST_RETRY_INTERVAL;
  c->next = cluster.now + c->retry_interval;
  c->deadline = cluster.now
                + (soak_service_is_slow (c->service) ? SLOW_REQUEST_TIMEOUT
                                                     : REQUEST_TIMEOUT);
  c->started = cluster.now;
  cluster.requests_sent++;
  cluster.late_requests += cluster.now > cluster.faults_end + SOAK_SETTLE_TIME;
  send_request (c);
}

/* Compares the result of a probe with the routes in the store.  */
static void
check_probe (const struct caller *c, bool opened)
{
  const struct soak_balancer *b = &cluster.balancers[c->balancer];
  if (!soak_balancer_is_stable (b)
      || cluster.now - cluster.last_store_fault_end < SOAK_SETTLE_TIME
      || c->started - cluster.probe_changed < SOAK_CONFIG_BOUND)
    return;
  if (opened != cluster.probe_listed)
    soak_violation ("configuration",
                    "balancer %u %s a flow %.1f s after the route was %s",
                    b->index, opened ? "takes" : "refuses",
                    (double)(c->started - cluster.probe_changed) / BB_SEC,
                    cluster.probe_listed ? "added" : "dropped");
}

/* Handles a reset sent by a balancer, which has no checksum, unlike a reset
   sent by a server.  */
static void
handle_balancer_reset (struct caller *c)
{
  const struct soak_server *s = NULL;
  for (unsigned i = 0; i < cluster.server_count; i++)
    if (bb_server_cookie (cluster.servers[i].id, 0) == c->cookie)
      s = &cluster.servers[i];
  if ((c->state == OPEN || c->state == WAITING) && s
      && soak_server_is_stable (s)
      && cluster.now - cluster.last_store_fault_end > SOAK_SETTLE_TIME)
    soak_violation ("flow",
                    "caller %u: flow reset although its server %s is up",
                    c->index, s->id);
}

static void
handle_answer (struct caller *c, const struct bb_marked_packet *m,
               const uint8_t *data)
{
  uint64_t answer[2];
  /* An acknowledged request is not sent again.  */
  if (m->packet.payload == 0 && c->state == WAITING
      && m->packet.acknowledgement == c->sequence + SOAK_REQUEST_SIZE)
    c->next = c->deadline;
  if (m->packet.payload != sizeof answer)
    return;
  memcpy (answer, data, sizeof answer);
  if (c->state != WAITING || answer[0] != c->id)
    {
      if (answer[0] > last_id)
        soak_violation (
            "answer",
            "caller %u received an answer to request %" G_GUINT64_FORMAT
            ", which was not sent",
            c->index, answer[0]);
      return;
    }
  c->sequence += SOAK_REQUEST_SIZE;
  c->acknowledged = m->packet.sequence + m->packet.payload;
  c->state = OPEN;
  cluster.requests_answered++;
  cluster.late_answers += c->started > cluster.faults_end + SOAK_SETTLE_TIME;
  c->next = cluster.now
            + (bb_usec)g_rand_int_range (caller_random, 20, 200) * BB_MSEC;
  send_packet (c, BB_TCP_ACK, c->acknowledged, NULL, 0);
}

static void
handle_packet (struct caller *c, const uint8_t *bytes, size_t length)
{
  struct bb_marked_packet m;
  const struct bb_packet *p = &m.packet;
  uint32_t checksum = length < SOAK_HEADER_SIZE
                          ? 0
                          : (uint32_t)bytes[20] << 24
                                | (uint32_t)bytes[21] << 16
                                | (uint32_t)bytes[22] << 8 | bytes[23];
  enum bb_drop drop = bb_platform_transport.decode (bytes, length, &m);
  /* The decoder rejects SYN-ACKs, which balancers never receive.  */
  bool is_syn_ack = p->tcp_flags & BB_TCP_SYN && p->tcp_flags & BB_TCP_ACK;
  if (drop != BB_DROP_NONE && !is_syn_ack)
    {
      soak_violation ("packet", "caller %u received a malformed packet",
                      c->index);
      return;
    }
  if (p->destination_port != c->address.port || c->state == IDLE)
    return;
  if (p->tcp_flags & BB_TCP_RST)
    {
      if (checksum == 0)
        handle_balancer_reset (c);
      if (c->is_probe)
        check_probe (c, false);
      become_idle (c, 50 * BB_MSEC);
      return;
    }
  if (checksum != soak_checksum (bytes, length))
    soak_violation ("packet",
                    "caller %u received a packet with a wrong checksum",
                    c->index);
  c->cookie = m.cookie;
  if (is_syn_ack && c->state == OPENING)
    {
      if (c->is_probe)
        check_probe (c, true);
      c->state = OPEN;
      c->sequence++;
      c->acknowledged = p->sequence + 1;
      c->next = cluster.now;
      send_packet (c, BB_TCP_ACK, c->acknowledged, NULL, 0);
    }
  else if (!is_syn_ack)
    handle_answer (c, &m, bytes + SOAK_HEADER_SIZE);
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  (void)what;
  uint8_t bytes[SOAK_PACKET_MAX];
  ssize_t length;
  while ((length = recv (fd, bytes, sizeof bytes, 0)) > 0)
    handle_packet (context, bytes, (size_t)length);
}

static void
tick_caller (struct caller *c)
{
  if (cluster.now < c->next)
    return;
  if ((c->state == OPENING || c->state == WAITING)
      && cluster.now >= c->deadline)
    become_idle (c, 20 * BB_MSEC);
  else if (c->state == IDLE)
    open_flow (c);
  else if (c->state == OPENING)
    {
      c->syn_copies++;
      c->next
          = c->started + (c->syn_copies == 1 ? 600 * BB_MSEC : OPEN_TIMEOUT);
      if (c->syn_copies <= 2)
        send_packet (c, BB_TCP_SYN, c->syn_copies, NULL, 0);
    }
  else if (c->state == WAITING)
    {
      c->retry_interval *= 2;
      c->next = cluster.now + c->retry_interval;
      send_request (c);
    }
  else if (c->requests_left == 0 || c->is_probe)
    {
      send_packet (c, BB_TCP_ACK | BB_TCP_FIN, c->acknowledged, NULL, 0);
      become_idle (c, c->is_probe ? 400 * BB_MSEC : 10 * BB_MSEC);
    }
  else
    {
      c->requests_left--;
      start_request (c);
    }
}

void
soak_callers_tick (void)
{
  for (unsigned i = 0; i < caller_count; i++)
    tick_caller (&callers[i]);
}

void
soak_callers_start (void)
{
  caller_random = g_rand_new_with_seed (cluster.seed + 1);
  caller_count = cluster.caller_count + cluster.balancer_count;
  for (unsigned i = 0; i < caller_count; i++)
    {
      struct caller *c = &callers[i];
      c->index = i;
      c->is_probe = i >= cluster.caller_count;
      c->balancer = i - cluster.caller_count;
      c->data_centre = i % SOAK_DATA_CENTRES;
      c->service = c->is_probe ? 0 : i % SOAK_SERVICES;
      c->address = (struct bb_endpoint){ 0x7f0b0000 + 10 + i, cluster.port };
      c->fd = soak_open_socket (&c->address);
      c->address.port = (uint16_t)(2000 + i);
      c->next = cluster.now + 2 * BB_SEC
                + (bb_usec)g_rand_int_range (caller_random, 0, 500) * BB_MSEC;
      event_add (event_new (cluster.loop, c->fd, EV_READ | EV_PERSIST,
                            on_readable, c),
                 NULL);
    }
}
