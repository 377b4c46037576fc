#include "review/standin-3/private.h"
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  SYN_LIMIT_MS = 1400,
  DELAYED_ACK_MS = 40,
  RESET_WINDOW = 76800, /* of the sequence number of a reset */
  KEEP_MS = 3000        /* ended flows, for late packets */
};

struct flow flows[FLOWS_MAX];
unsigned flow_count;
static uint16_t next_sport = 20000;

static struct
{
  uint32_t address;
  int fd;
} clients[CLIENTS_MAX];
static uint64_t next_request = 1;

static const struct balancer *
route_packet (const struct flow *f)
{
  const struct balancer *best = NULL;
  uint32_t best_score = 0;
  if (f->balancer >= 0)
    return &balancers[f->balancer];
  for (unsigned i = 0; i < balancer_count; i++)
    {
      const struct balancer *b = &balancers[i];
      if (strcmp (b->zone, f->zone) != 0 || !b->is_ready)
        continue;
      uint32_t h = f->client * 2654435761u ^ f->sport * 40503u
                   ^ f->host * 2246822519u ^ f->port * 3266489917u
                   ^ (i + 1) * 668265263u;
      h ^= h >> 15;
      h *= 2246822519u;
      h ^= h >> 13;
      if (!best || h > best_score)
        {
          best = b;
          best_score = h;
        }
    }
  return best;
}

static int
client_fd (uint32_t address)
{
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    if (clients[i].address == address)
      return clients[i].fd;
  return -1;
}

static void
send_packet (struct flow *f, uint8_t flags, uint32_t sequence,
             const void *data, uint16_t length)
{
  uint8_t bytes[HEADER + DATA_MAX];
  const struct balancer *b = route_packet (f);
  struct packet p
      = { .source = f->client,
          .sport = f->sport,
          .destination = f->host,
          .dport = f->port,
          .sequence = sequence,
          .acknowledgement = flags & SYN ? f->syns : f->acknowledgement,
          .echo = f->echo,
          .length = length,
          .flags = flags };
  if (!(flags & SYN))
    f->ack_due = 0;
  if (b)
    send_datagram (client_fd (f->client), b->address, packets_port, bytes,
                   encode (bytes, &p, data));
}

struct flow *
open_flow (const char *zone, uint32_t host, uint16_t port)
{
  struct flow *f = NULL;
  for (unsigned i = 0; i < flow_count && !f; i++)
    if (flows[i].state == FLOW_ENDED && now_ms () - flows[i].ended > KEEP_MS)
      f = &flows[i];
  if (!f && flow_count == FLOWS_MAX)
    finish (2, "too many flows");
  if (!f)
    f = &flows[flow_count++];
  memset (f, 0, sizeof *f);
  f->state = FLOW_SYN_SENT;
  f->client = clients[next_sport % CLIENTS_MAX].address;
  f->sport = next_sport++;
  f->host = host;
  f->port = port;
  f->zone = zone;
  f->balancer = -1;
  f->started = now_ms ();
  f->due = f->started + FIRST_WAIT_MS;
  f->sequence = (uint32_t)random ();
  send_packet (f, SYN, f->sequence, NULL, 0);
  f->syns = 1;
  return f;
}

static void
end_flow (struct flow *f, enum flow_end end)
{
  f->state = FLOW_ENDED;
  f->end = end;
  f->ended = now_ms ();
}

void
send_request (struct flow *f, unsigned work_ms)
{
  memset (f->data, 0, sizeof f->data);
  f->request = next_request++;
  store32 (f->data, (uint32_t)(f->request >> 32));
  store32 (f->data + 4, (uint32_t)f->request);
  store32 (f->data + 8, work_ms);
  note ("client: request %llu on port %u, work %u ms",
        (unsigned long long)f->request, f->sport, work_ms);
  f->sent_at = now_ms ();
  f->wait = FIRST_WAIT_MS;
  f->due = f->sent_at + f->wait;
  f->sends = 1;
  send_packet (f, ACK, f->sequence, f->data, REQUEST_BYTES);
}

void
close_flow (struct flow *f)
{
  if (f->state == FLOW_OPEN)
    send_packet (f, ACK | FIN, f->sequence, NULL, 0);
  end_flow (f, END_CLOSED);
}

static struct flow *
find_flow (const struct packet *p)
{
  for (unsigned i = flow_count; i-- > 0;)
    if (flows[i].client == p->destination && flows[i].sport == p->dport)
      return &flows[i];
  return NULL;
}

static void
take_reset (struct flow *f, const struct packet *p, bool is_system)
{
  int32_t distance = (int32_t)(p->sequence - f->acknowledgement);
  if (f->state == FLOW_OPEN
      && (distance > RESET_WINDOW || distance < -RESET_WINDOW))
    {
      note ("client: a reset of port %u is out of its window", f->sport);
      return;
    }
  note ("client: %s reset of port %u (%s, server %s%s)",
        is_system ? "the system's" : "a server's", f->sport,
        f->state == FLOW_OPEN ? "open" : "not open",
        f->server ? f->server->id : "none",
        f->request ? ", a request is in progress" : "");
  end_flow (f, is_system ? END_SYSTEM_RESET : END_SERVER_RESET);
}

static struct server *
server_at (uint32_t address, uint16_t port)
{
  for (unsigned i = 0; i < server_count; i++)
    if (servers[i].address == address && servers[i].port == port
        && servers[i].fd >= 0)
      return &servers[i];
  return NULL;
}

static void
take_from_server (struct flow *f, const struct packet *p, const uint8_t *data,
                  struct server *s)
{
  if (f->state == FLOW_SYN_SENT)
    {
      if (!(p->flags & SYN) || p->acknowledgement != f->sequence + 1)
        return;
      f->sequence++;
      f->acknowledgement = p->sequence + 1;
      f->echo = p->echo;
      f->state = FLOW_OPEN;
      f->opened = f->last_answer = now_ms ();
      f->server = s;
      f->due = 0;
      send_packet (f, ACK, f->sequence, NULL, 0);
      return;
    }
  if (p->flags & SYN || s != f->server)
    return;
  f->echo = p->echo;
  bool is_acknowledged
      = f->request
        && (int32_t)(p->acknowledgement - f->sequence) >= REQUEST_BYTES;
  if (is_acknowledged)
    f->due = 0; /* no further copy */
  if (p->length == 0)
    return;
  if (p->sequence == f->acknowledgement)
    {
      uint64_t id = (uint64_t)load32 (data) << 32 | load32 (data + 4);
      f->acknowledgement += p->length;
      if (id != f->request)
        finish (1, "MIXED: port %u got another answer", f->sport);
      note ("client: request %llu of port %u is answered",
            (unsigned long long)f->request, f->sport);
      f->request = 0;
      f->sequence += REQUEST_BYTES;
      f->answered++;
      f->last_answer = now_ms ();
      f->ack_due = f->last_answer + DELAYED_ACK_MS;
    }
  else
    send_packet (f, ACK, f->sequence, NULL, 0);
  if (p->flags & FIN)
    close_flow (f);
}

static void
read_client (int fd)
{
  uint8_t b[2048];
  struct sockaddr_in from = { 0 };
  socklen_t size = sizeof from;
  ssize_t n;
  while ((n = recvfrom (fd, b, sizeof b, 0, (struct sockaddr *)&from, &size))
         > 0)
    {
      if (n < HEADER)
        continue;
      struct packet p = decode (b);
      uint32_t sum = load32 (b + 20);
      struct flow *f = find_flow (&p);
      bool is_system = p.flags == RST && sum == 0 && p.length == 0;
      if (!is_system && sum != sum_of (b, (size_t)n))
        finish (1, "MIXED: a client got a packet with a wrong sum");
      if (!f || f->state == FLOW_ENDED || f->state == FLOW_FREE
          || p.source != f->host || p.sport != f->port)
        continue;
      if (p.flags & RST)
        take_reset (f, &p, is_system);
      else
        take_from_server (
            f, &p, b + HEADER,
            server_at (ntohl (from.sin_addr.s_addr), ntohs (from.sin_port)));
    }
}

static void
tick_flow (struct flow *f, double now)
{
  if (f->state == FLOW_SYN_SENT)
    {
      if (now - f->started >= SYN_LIMIT_MS)
        end_flow (f, END_NO_ANSWER);
      else if (f->syns < 3 && now >= f->due)
        {
          send_packet (f, SYN, f->sequence, NULL, 0);
          f->syns++;
          f->due = f->started + 600;
        }
      return;
    }
  if (f->state != FLOW_OPEN)
    return;
  if (f->request && f->due != 0 && now >= f->due)
    {
      f->wait = f->wait * 2 < WAIT_MAX_MS ? f->wait * 2 : WAIT_MAX_MS;
      f->due = now + f->wait;
      f->sends++;
      send_packet (f, ACK, f->sequence, f->data, REQUEST_BYTES);
    }
  else if (f->ack_due != 0 && now >= f->ack_due)
    send_packet (f, ACK, f->sequence, NULL, 0);
}

void
clients_start (void)
{
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    {
      clients[i].address = loopback (0, 3, i + 1);
      clients[i].fd
          = open_socket (SOCK_DGRAM, clients[i].address, packets_port);
      if (clients[i].fd < 0)
        finish (2, "no socket for a client");
    }
}

nfds_t
clients_add_fds (struct pollfd *p)
{
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    p[i] = (struct pollfd){ .fd = clients[i].fd, .events = POLLIN };
  return CLIENTS_MAX;
}

void
clients_turn (void)
{
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    read_client (clients[i].fd);
  double now = now_ms ();
  for (unsigned i = 0; i < flow_count; i++)
    tick_flow (&flows[i], now);
}
