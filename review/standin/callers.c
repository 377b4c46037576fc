/* The callers.  A flow carries one request at a time.  */

#include "scene.h"
#include <inttypes.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#define COPY_1 (200 * MS)
#define COPY_2 (600 * MS)
#define OPEN_TIME (1400 * MS)
#define REQUEST_TIME (1500 * MS)
#define RETRY_MAX (1600 * MS)

enum
{
  REQUEST = 300,     /* bytes */
  REQUESTS_MAX = 13, /* on one long flow */
  PORTS = 50000,
};

struct host
{
  uint32_t address;
  unsigned zone;
  int fd;
  uint16_t last_port;
  struct flow *by_port[65536];
};

struct flow flows[FLOWS_MAX];
unsigned flow_count;
uint64_t requests_sent, requests_answered;
bool endless;
static struct host *hosts;
static uint64_t last_id;

static void
send_packet (struct flow *f, uint8_t flags, uint32_t seq, uint32_t ack,
             const void *data, uint16_t length)
{
  uint8_t bytes[HEADER + DATA_MAX];
  const struct host *h = &hosts[f->host];
  const struct route *r = &routes[f->route];
  struct packet p = { .src = h->address,
                      .dst = r->host,
                      .sport = f->port,
                      .dport = r->port,
                      .seq = seq,
                      .ack = ack,
                      .echo = f->echo,
                      .flags = flags,
                      .length = length,
                      .data = data };
  uint64_t hash
      = ((uint64_t)h->address << 32 | (uint64_t)f->port << 16 | r->port)
        * 0x9e3779b97f4a7c15ULL;
  const struct node *n
      = f->node >= 0 ? &nodes[f->node] : node_choose (h->zone, hash);
  if (!n)
    return;
  f->last_node = (int)n->index;
  send_datagram (h->fd, n->address, port_of (0), bytes,
                 packet_write (bytes, &p));
}

static void
rest (struct flow *f, usec pause)
{
  hosts[f->host].by_port[f->port] = NULL;
  f->state = IDLE;
  f->next = now + pause;
}

static void
open_flow (struct flow *f)
{
  struct host *h = &hosts[f->host];
  do
    h->last_port = (uint16_t)(h->last_port < PORTS ? h->last_port + 1 : 1024);
  while (h->by_port[h->last_port]);
  f->port = h->last_port;
  h->by_port[f->port] = f;
  f->state = OPENING;
  f->isn = g_rand_int (chance);
  f->seq = f->isn + 1;
  f->ack = f->echo = 0;
  f->copies = 0;
  f->left = (unsigned)g_rand_int_range (chance, 4, REQUESTS_MAX);
  f->server = NULL;
  f->started = now;
  f->next = now + COPY_1;
  send_packet (f, SYN, f->isn, 0, NULL, 0);
}

static void
send_request (struct flow *f)
{
  uint8_t data[REQUEST] = { 0 };
  memcpy (data, &f->id, sizeof f->id);
  g_snprintf ((char *)data + sizeof f->id, 64, "route %s",
              routes[f->route].name);
  send_packet (f, ACK, f->seq, f->ack, data, sizeof data);
}

static void
start_request (struct flow *f)
{
  f->id = ++last_id;
  f->state = WAITING;
  f->retry = 200 * MS;
  f->next = now + f->retry;
  f->deadline = now + REQUEST_TIME;
  requests_sent++;
  note ("sent %" PRIu64 " on route %s through %s", f->id,
        routes[f->route].name, nodes[f->last_node].name);
  send_request (f);
}

static void
close_flow (struct flow *f, usec pause)
{
  send_packet (f, FIN | ACK, f->seq, f->ack, NULL, 0);
  rest (f, pause);
}

static usec
draw_pause (const struct flow *f)
{
  return (usec)((double)f->pause * g_rand_double_range (chance, 0.6, 1.4));
}

static void
handle_open (struct flow *f, const struct packet *p, struct server *s)
{
  if (f->state != OPENING || p->ack != f->seq)
    return;
  f->state = OPEN;
  f->echo = p->echo;
  f->ack = p->seq + 1;
  f->server = s;
  f->opened = now;
  f->next = now;
  send_packet (f, ACK, f->seq, f->ack, NULL, 0);
  if (scene->opened)
    scene->opened (f);
}

static void
handle_answer (struct flow *f, const struct packet *p)
{
  uint64_t id;
  if ((f->state != OPEN && f->state != WAITING) || p->seq != f->ack)
    {
      if ((f->state == OPEN || f->state == WAITING) && p->length > 0)
        send_packet (f, ACK, f->seq, f->ack, NULL, 0);
      return;
    }
  f->echo = p->echo;
  if (p->length >= sizeof id)
    {
      memcpy (&id, p->data, sizeof id);
      f->ack += p->length;
      if (f->state == WAITING && id == f->id)
        {
          requests_answered++;
          f->seq += REQUEST;
          f->state = OPEN;
          f->next = f->kind == LONG ? now + draw_pause (f) : now;
          f->id = 0;
          note ("answered %" PRIu64, id);
        }
      send_packet (f, ACK, f->seq, f->ack, NULL, 0);
      if (f->kind != LONG || (!endless && --f->left == 0))
        close_flow (f, draw_pause (f));
    }
  else if (p->flags & FIN)
    close_flow (f, 10 * MS);
}

static void
handle_reset (struct flow *f, const struct packet *p, bool has_sum,
              const struct node *from)
{
  int64_t offset = (int32_t)(p->seq - f->ack);
  bool is_open = f->state == OPEN || f->state == WAITING;
  if (!has_sum && is_open && from)
    {
      note ("%s resets an open flow of %s", from->name,
            f->server ? f->server->id : "?");
      if (scene->reset)
        scene->reset (f, from, offset);
      if (offset > RESET_WINDOW || offset < -RESET_WINDOW)
        return;
    }
  else if (!has_sum && f->state == OPENING && from && scene->refused)
    scene->refused (f, from);
  rest (f, f->kind == LONG ? 20 * MS : draw_pause (f));
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  (void)what;
  struct host *h = context;
  uint8_t bytes[HEADER + DATA_MAX];
  struct sockaddr_in from = { 0 };
  socklen_t size = sizeof from;
  ssize_t length;
  while ((length = recvfrom (fd, bytes, sizeof bytes, MSG_DONTWAIT,
                             (struct sockaddr *)&from, &size))
         > 0)
    {
      struct packet p;
      bool has_sum;
      uint32_t address = ntohl (from.sin_addr.s_addr);
      size = sizeof from;
      if (!packet_read (bytes, (size_t)length, &p, &has_sum))
        continue;
      struct flow *f = h->by_port[p.dport];
      if (!f || p.sport != routes[f->route].port)
        continue;
      if (p.flags & RST)
        handle_reset (f, &p, has_sum, node_at (address));
      else if (p.flags & SYN)
        handle_open (f, &p, server_at (address));
      else
        handle_answer (f, &p);
    }
}

static void
tick_flow (struct flow *f)
{
  if (now < f->next)
    return;
  if (f->state == IDLE)
    {
      if (routes[f->route].listed || f->kind == PROBE)
        open_flow (f);
      else
        f->next = now + 100 * MS;
    }
  else if (f->state == OPENING)
    {
      if (f->copies == 2)
        {
          rest (f, draw_pause (f));
          return;
        }
      f->copies++;
      f->next = f->started + (f->copies == 1 ? COPY_2 : OPEN_TIME);
      send_packet (f, SYN, f->isn, f->copies, NULL, 0);
    }
  else if (f->state == OPEN)
    start_request (f);
  else if (now >= f->deadline)
    {
      note ("unanswered %" PRIu64, f->id);
      close_flow (f, 20 * MS);
    }
  else
    {
      f->retry = MIN (2 * f->retry, RETRY_MAX);
      f->next = now + f->retry;
      send_request (f);
    }
}

void
callers_tick (void)
{
  for (unsigned i = 0; i < flow_count; i++)
    tick_flow (&flows[i]);
}

struct flow *
flow_add (enum flow_kind kind, unsigned host, unsigned route, int node,
          usec pause)
{
  if (flow_count == FLOWS_MAX)
    exit (2);
  struct flow *f = &flows[flow_count++];
  *f = (struct flow){ .kind = kind,
                      .host = host % HOSTS,
                      .route = route,
                      .node = node,
                      .pause = pause };
  f->next = now + (usec)(g_rand_double (chance) * (double)pause);
  return f;
}

void
callers_prepare (void)
{
  hosts = g_new0 (struct host, HOSTS);
  for (unsigned i = 0; i < HOSTS; i++)
    {
      struct host *h = &hosts[i];
      h->zone = i % ZONES;
      h->address = 0x7f140000 + (h->zone << 8) + 10 + i;
      h->fd = open_socket (h->address, port_of (0));
      h->last_port = (uint16_t)(1024 + 4000 * i % PORTS);
      event_add (event_new (loop, h->fd, EV_READ | EV_PERSIST, on_readable, h),
                 NULL);
    }
}
