/* Packets, servers and clients, as PROTOCOL.md describes them.  */

#include <arpa/inet.h>
#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet.h"

enum
{
  FLOWS_MAX = 4096,      /* at one server */
  IDLE_CLOSE_MS = 12000, /* a server closes a flow without packets */
  LIMIT_MS = 1500,       /* time limit of a request, unless set otherwise */
  ROUTES_MAX = 64,
  OPEN_MS = 1400,
  FIRST_SPORT = 20000,
};

/* The key of the checksum, which balancers do not know.  */
static const uint32_t key = 0x5bd1e995;

struct server_flow
{
  uint32_t src;
  uint16_t sport;
  bool used, open, ended;
  uint32_t seq, expected; /* next byte to send, next byte to receive */
  uint32_t answer_at;
  uint16_t answer_length;
  char answer[400];
  bool is_queued, is_running;
  int64_t done_at;    /* of a running request */
  int64_t seen_at;    /* last packet of the client */
  struct packet last; /* to answer to, with the last echo */
};

struct server
{
  char id[32], service[64];
  uint64_t tag;
  int fd;
  unsigned slots, running, queued, held, flows_max; /* 0: no limit */
  int64_t work;
  struct server_flow *flows;
};

static struct server servers[SERVERS_MAX];
static unsigned count;

struct client_flow
{
  int64_t opened_at, sent_at;
  unsigned route;
  enum
  {
    CLOSED,
    OPENING,
    OPEN
  } state;
  uint32_t seq, ack, echo; /* next byte to send, next byte expected */
  unsigned copies, repeats;
  int attempt; /* pending, -1: none */
  uint32_t request_at;
  uint16_t sport;
  uint16_t request_length;
  bool is_long, is_acknowledged, was_open, was_reset;
  char request[400];
};

static int64_t limits[ROUTES_MAX]; /* 0: LIMIT_MS */
static struct client_flow flows[ATTEMPTS_MAX];
static unsigned flow_count;
struct attempt attempts[ATTEMPTS_MAX];
unsigned attempt_count;
static int client_fd = -1;

const char *
result_name (enum result r)
{
  static const char *const names[]
      = { "pending", "answered", "reset by the system", "reset by a server",
          "no answer" };
  return names[r];
}

/* Packets.  */

static void
put (uint8_t *at, uint32_t v, int size)
{
  for (int i = 0; i < size; i++)
    at[i] = (uint8_t)(v >> 8 * (size - 1 - i));
}

static uint32_t
get (const uint8_t *at, int size)
{
  uint32_t v = 0;
  for (int i = 0; i < size; i++)
    v = v << 8 | at[i];
  return v;
}

/* Covers all but the sum, the echo, the padding and BOUNCED.  */
static uint32_t
checksum (const uint8_t *bytes, size_t length)
{
  uint32_t h = 2166136261u ^ key;
  for (size_t i = 0; i < length; i++)
    if (i < 20 || (i >= 28 && i < 31) || i >= HEADER)
      h = (h ^ (i == 30 ? bytes[i] & 127 : bytes[i])) * 16777619u;
  return h ? h : 1;
}

static size_t
encode (uint8_t *bytes, const struct packet *p, const void *data)
{
  memset (bytes, 0, HEADER);
  put (bytes, p->src, 4);
  put (bytes + 4, p->dport, 2);
  put (bytes + 6, p->sport, 2);
  put (bytes + 8, p->dst, 4);
  put (bytes + 12, p->seq, 4);
  put (bytes + 16, p->ack, 4);
  put (bytes + 24, p->echo, 4);
  put (bytes + 28, p->len, 2);
  bytes[30] = p->flags;
  if (p->len)
    memcpy (bytes + HEADER, data, p->len);
  put (bytes + 20, checksum (bytes, HEADER + p->len), 4);
  return HEADER + p->len;
}

static void
decode (const uint8_t *bytes, struct packet *p)
{
  *p = (struct packet){ .src = get (bytes, 4),
                        .dport = (uint16_t)get (bytes + 4, 2),
                        .sport = (uint16_t)get (bytes + 6, 2),
                        .dst = get (bytes + 8, 4),
                        .seq = get (bytes + 12, 4),
                        .ack = get (bytes + 16, 4),
                        .echo = get (bytes + 24, 4),
                        .len = (uint16_t)get (bytes + 28, 2),
                        .flags = bytes[30] & 127 };
}

static int
open_udp (uint32_t a, uint16_t port)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (a),
                            .sin_port = htons (port) };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (bind (fd, (struct sockaddr *)&to, sizeof to) != 0)
    cannot_run ("a UDP port is not free");
  return fd;
}

static void
send_to (int fd, uint32_t a, uint16_t port, const uint8_t *bytes, size_t n)
{
  struct sockaddr_in to = { .sin_family = AF_INET,
                            .sin_addr.s_addr = htonl (a),
                            .sin_port = htons (port) };
  sendto (fd, bytes, n, 0, (struct sockaddr *)&to, sizeof to);
}

/* Servers.  */

unsigned
server_count (void)
{
  return count;
}

const char *
server_service (int s)
{
  return s < 0 ? "none" : servers[s].service;
}

void
server_add (const char *service, unsigned slots, unsigned work_ms)
{
  struct server *s = &servers[count];
  char text[16], name[64], value[400];
  s->tag = 0x7f3a9100u + count * 0x1357u + 1;
  snprintf (s->id, sizeof s->id, "i-%08llx", (unsigned long long)s->tag);
  snprintf (s->service, sizeof s->service, "%s", service);
  s->slots = slots;
  s->work = work_ms;
  s->flows = calloc (FLOWS_MAX, sizeof s->flows[0]);
  s->fd = open_udp (address (100 + count), ports.server);
  snprintf (name, sizeof name, "servers/%s", s->id);
  snprintf (value, sizeof value,
            "{\"service\":\"%s\",\"address\":\"%s:%d\",\"zone\":\"itagui\","
            "\"version\":\"v1\",\"slots\":%u,\"state\":\"ready\","
            "\"cold-left-ms\":0,\"seq-no\":1,\"born\":%lld}",
            service, text_of (address (100 + count), text), ports.server,
            slots, 1796600000000LL + count);
  store_put (name, value);
  count++;
}

void
server_set_limit (unsigned server, unsigned flows_max)
{
  servers[server].flows_max = flows_max;
}

static struct server_flow *
find_flow (struct server *s, const struct packet *p, bool add)
{
  for (unsigned i = 0, at = p->sport % FLOWS_MAX; i < FLOWS_MAX;
       i++, at = (at + 1) % FLOWS_MAX)
    {
      struct server_flow *f = &s->flows[at];
      if (f->used && f->src == p->src && f->sport == p->sport)
        return f;
      if (f->used)
        continue;
      if (!add)
        return NULL;
      *f = (struct server_flow){ .used = true,
                                 .src = p->src,
                                 .sport = p->sport,
                                 .seq = (uint32_t)rand () * 2654435761u };
      return f;
    }
  cannot_run ("too many flows");
  return NULL;
}

static void
answer (struct server *s, const struct packet *p, uint8_t flags, uint32_t seq,
        uint32_t ack, const void *data, uint16_t length)
{
  uint8_t bytes[HEADER + DATA_MAX];
  struct packet out = { .src = p->dst,
                        .dst = p->src,
                        .sport = p->dport,
                        .dport = p->sport,
                        .seq = seq,
                        .ack = ack,
                        .echo = p->echo,
                        .len = length,
                        .flags = flags };
  send_to (s->fd, p->src, ports.packets, bytes, encode (bytes, &out, data));
}

/* DATA may be the buffer of the answer.  */
static void
run_request (struct server *s, struct server_flow *f, const char *data)
{
  unsigned id;
  const char *at = strstr (data, "Bluebellstand-Request-Id: q-");
  if (!at || sscanf (at + 28, "%u", &id) != 1 || id >= attempt_count)
    {
      broken ("UNASKED", "%s ran a request that nobody sent", s->id);
      return;
    }
  struct attempt *a = &attempts[id];
  a->server = (int)(s - servers);
  if (++a->runs > 1)
    broken ("UNASKED", "q-%u ran again at %s", id, s->id);
  record ("q-%u runs at %s of %s", id, s->id, s->service);
  f->answer_length = (uint16_t)snprintf (
      f->answer, sizeof f->answer,
      "HTTP/1.1 200 OK\r\nBluebellstand-Server-Stamp: %s\r\n"
      "Content-Length: %zu\r\n\r\n%s q-%u",
      s->id, strlen (s->service) + 3 + (size_t)snprintf (NULL, 0, "%u", id),
      s->service, id);
}

static void
send_answer (struct server *s, struct server_flow *f)
{
  answer (s, &f->last, ACK, f->answer_at, f->expected, f->answer,
          f->answer_length);
}

/* Starts the requests that wait while a slot is free, and answers those that
   are done.  */
static void
close_idle_flows (struct server *s)
{
  for (unsigned i = 0; i < FLOWS_MAX && s->held > 0; i++)
    {
      struct server_flow *f = &s->flows[i];
      if (f->used && !f->ended && now - f->seen_at >= IDLE_CLOSE_MS)
        {
          f->ended = true;
          s->held--;
        }
    }
}

static void
server_tick (struct server *s)
{
  if (s->flows_max)
    close_idle_flows (s);
  for (unsigned i = 0; i < FLOWS_MAX && s->running + s->queued > 0; i++)
    {
      struct server_flow *f = &s->flows[i];
      if (f->is_running && now >= f->done_at)
        {
          f->is_running = false;
          s->running--;
          f->answer_at = f->seq;
          f->seq += f->answer_length;
          if (!f->ended)
            send_answer (s, f);
        }
    }
  for (unsigned i = 0; i < FLOWS_MAX && s->queued > 0 && s->running < s->slots;
       i++)
    {
      struct server_flow *f = &s->flows[i];
      if (!f->is_queued)
        continue;
      f->is_queued = false;
      s->queued--;
      if (f->ended)
        continue;
      s->running++;
      f->is_running = true;
      f->done_at = now + s->work;
      run_request (s, f, f->answer);
    }
}

static void
server_packet (struct server *s, const uint8_t *bytes, size_t length)
{
  struct packet p;
  uint64_t tag = 0;
  char data[DATA_MAX + 1];
  if (length < 8 + HEADER)
    return;
  for (int i = 0; i < 8; i++)
    tag = tag << 8 | bytes[i];
  if (tag != 0 && tag != s->tag)
    return; /* it is not the intended server */
  bytes += 8, length -= 8;
  decode (bytes, &p);
  if (get (bytes + 20, 4) != checksum (bytes, length))
    broken ("UNASKED", "%s got a packet that its sender did not write", s->id);
  struct server_flow *f = find_flow (s, &p, false);
  if (f)
    f->seen_at = now;
  if (p.flags & SYN)
    {
      if (!f && s->flows_max && s->held >= s->flows_max)
        {
          record ("%s is full and sends nothing to flow %u", s->id, p.sport);
          return;
        }
      if (!f)
        {
          f = find_flow (s, &p, true);
          f->seen_at = now;
          s->held++;
        }
      f->expected = p.seq + 1;
      answer (s, &p, SYN | ACK, f->seq, f->expected, NULL, 0);
      return;
    }
  if (!f || (!f->open && p.ack != f->seq + 1))
    {
      if (!(p.flags & RST))
        answer (s, &p, RST, p.ack, 0, NULL, 0);
      return;
    }
  if (!f->open)
    f->open = true, f->seq++;
  if (p.flags & (RST | FIN))
    {
      s->held -= !f->ended;
      f->ended = true;
    }
  if (p.flags & FIN)
    {
      answer (s, &p, FIN | ACK, f->seq, p.seq + 1, NULL, 0);
      return;
    }
  if (p.len == 0)
    return;
  memcpy (data, bytes + HEADER, p.len);
  data[p.len] = 0;
  f->last = p;
  if (p.seq == f->expected && !f->is_queued && !f->is_running)
    {
      f->expected += p.len;
      f->is_queued = true;
      s->queued++;
      snprintf (f->answer, sizeof f->answer, "%.399s", data);
      server_tick (s);
    }
  else if (f->is_queued || f->is_running)
    answer (s, &p, ACK, f->seq, f->expected, NULL, 0); /* a repetition */
  else
    send_answer (s, f);
}

/* Clients.  */

static void
client_send (struct client_flow *f, uint8_t flags, uint32_t seq, uint32_t ack,
             const void *data, uint16_t length)
{
  uint8_t bytes[HEADER + DATA_MAX];
  struct packet p = { .src = address (200),
                      .sport = f->sport,
                      .dst = address (240),
                      .dport = (uint16_t)(ROUTE_PORT + f->route),
                      .seq = seq,
                      .ack = ack,
                      .echo = flags & SYN ? 0 : f->echo,
                      .len = length,
                      .flags = flags };
  send_to (client_fd, balancer_address (balancer_choose (f->sport)),
           ports.packets, bytes, encode (bytes, &p, data));
}

static void
finish (struct client_flow *f, enum result r)
{
  if (f->attempt < 0)
    return;
  struct attempt *a = &attempts[f->attempt];
  a->result = r;
  a->ended = now;
  f->attempt = -1;
  record ("q-%u %s%s%s", a->id, result_name (r), a->said[0] ? ": " : "",
          a->said);
}

static void
send_request (struct client_flow *f)
{
  f->sent_at = now;
  client_send (f, ACK, f->request_at, f->ack, f->request, f->request_length);
}

static void
begin_request (struct client_flow *f)
{
  if (attempt_count == ATTEMPTS_MAX)
    cannot_run ("too many requests");
  struct attempt *a = &attempts[attempt_count];
  *a = (struct attempt){
    .id = attempt_count, .route = f->route, .sent = now, .server = -1
  };
  f->attempt = (int)attempt_count++;
  f->repeats = 0;
  f->is_acknowledged = false;
  f->request_length
      = (uint16_t)snprintf (f->request, sizeof f->request,
                            "GET /item HTTP/1.1\r\nHost: orders\r\n"
                            "Bluebellstand-Request-Id: q-%u\r\n\r\n",
                            a->id);
  record ("q-%u sent on %s flow %u to route %u", a->id,
          f->is_long ? "long" : "its own", f->sport, f->route);
}

unsigned
client_open (unsigned route, bool long_flow)
{
  struct client_flow *f = &flows[flow_count];
  *f = (struct client_flow){ .sport = (uint16_t)(FIRST_SPORT + flow_count),
                             .route = route,
                             .state = OPENING,
                             .is_long = long_flow,
                             .seq = (uint32_t)rand () * 2246822519u,
                             .opened_at = now };
  begin_request (f);
  client_send (f, SYN, f->seq, 0, NULL, 0);
  f->seq++;
  return flow_count++;
}

bool
client_flow_is_open (unsigned flow)
{
  return flows[flow].state == OPEN;
}

void
client_request (unsigned flow)
{
  struct client_flow *f = &flows[flow];
  if (f->state != OPEN || f->attempt >= 0)
    return;
  begin_request (f);
  f->request_at = f->seq;
  f->seq += f->request_length;
  send_request (f);
}

void
client_close (unsigned flow)
{
  struct client_flow *f = &flows[flow];
  if (f->state == OPEN)
    client_send (f, FIN | ACK, f->seq, f->ack, NULL, 0);
  f->state = CLOSED;
}

bool
client_flow_is_opening (unsigned flow)
{
  return flows[flow].state == OPENING;
}

bool
client_flow_was_reset (unsigned flow)
{
  return flows[flow].was_reset;
}

static void
client_packet (const uint8_t *bytes, size_t length)
{
  struct packet p;
  char data[DATA_MAX + 1];
  if (length < HEADER)
    return;
  decode (bytes, &p);
  unsigned i = (unsigned)p.dport - FIRST_SPORT;
  if (p.dport < FIRST_SPORT || i >= flow_count)
    return;
  struct client_flow *f = &flows[i];
  bool is_system_reset = p.flags & RST && get (bytes + 20, 4) == 0;
  if (!is_system_reset && get (bytes + 20, 4) != checksum (bytes, length))
    broken ("MIXED", "a client got a packet that its sender did not write");
  if (f->state == CLOSED)
    return;
  if (p.flags & RST)
    {
      if (f->state == OPEN && f->attempt < 0)
        record ("long flow %u %s while idle", f->sport,
                result_name (is_system_reset ? RESET : RESET_BY_SERVER));
      finish (f, is_system_reset ? RESET : RESET_BY_SERVER);
      f->was_reset = is_system_reset && f->was_open;
      f->state = CLOSED;
      return;
    }
  if (p.flags & SYN)
    {
      if (f->state != OPENING || p.ack != f->seq)
        return;
      f->echo = p.echo;
      f->state = OPEN;
      f->was_open = true;
      f->ack = p.seq + 1;
      f->request_at = f->seq;
      f->seq += f->request_length;
      send_request (f);
      return;
    }
  f->echo = p.echo;
  if (p.ack == f->seq)
    f->is_acknowledged = true;
  if (p.len == 0 || p.seq != f->ack || f->attempt < 0)
    return;
  memcpy (data, bytes + HEADER, p.len);
  data[p.len] = 0;
  f->ack += p.len;
  struct attempt *a = &attempts[f->attempt];
  const char *body = strstr (data, "\r\n\r\n");
  unsigned id = 0;
  if (!body || !strstr (data, "Bluebellstand-Server-Stamp: ")
      || sscanf (body + 4, "%63s q-%u", a->said, &id) != 2 || id != a->id)
    broken ("MIXED", "q-%u got a foreign answer", a->id);
  finish (f, ANSWERED);
  if (f->is_long)
    {
      client_send (f, ACK, f->seq, f->ack, NULL, 0);
      return;
    }
  client_send (f, FIN | ACK, f->seq, f->ack, NULL, 0);
  f->state = CLOSED;
}

static void
tick_flow (struct client_flow *f)
{
  static const int64_t copies[] = { 200, 600 };
  static const int64_t repeats[] = { 200, 400, 800, 1600 };
  if (f->state == OPENING)
    {
      if (f->copies < 2 && now - f->opened_at >= copies[f->copies])
        client_send (f, SYN, f->seq - 1, ++f->copies, NULL, 0);
      if (now - f->opened_at >= OPEN_MS)
        {
          finish (f, NO_ANSWER);
          f->state = CLOSED;
        }
      return;
    }
  if (f->attempt < 0)
    return;
  int64_t limit = limits[f->route] ? limits[f->route] : LIMIT_MS;
  if (now - attempts[f->attempt].sent >= limit)
    {
      finish (f, NO_ANSWER);
      client_send (f, RST, f->seq, f->ack, NULL, 0);
      f->state = CLOSED;
      return;
    }
  if (!f->is_acknowledged
      && now - f->sent_at >= repeats[f->repeats < 3 ? f->repeats : 3])
    {
      f->repeats++;
      send_request (f);
    }
}

void
client_set_limit (unsigned route, int64_t limit)
{
  limits[route] = limit;
}

void
net_tick (void)
{
  static unsigned first;
  for (unsigned i = 0; i < count; i++)
    server_tick (&servers[i]);
  while (first < flow_count && flows[first].state == CLOSED)
    first++;
  for (unsigned i = first; i < flow_count; i++)
    if (flows[i].state != CLOSED)
      tick_flow (&flows[i]);
}

void
net_start (void)
{
  client_fd = open_udp (address (200), ports.packets);
}

unsigned
net_fds (struct pollfd *fds)
{
  unsigned n = 0;
  fds[n++] = (struct pollfd){ client_fd, POLLIN, 0 };
  for (unsigned i = 0; i < count; i++)
    fds[n++] = (struct pollfd){ servers[i].fd, POLLIN, 0 };
  return n;
}

void
net_readable (int fd)
{
  uint8_t bytes[2048];
  ssize_t n;
  while ((n = recv (fd, bytes, sizeof bytes, 0)) > 0)
    {
      if (fd == client_fd)
        client_packet (bytes, (size_t)n);
      for (unsigned i = 0; i < count && fd != client_fd; i++)
        if (servers[i].fd == fd)
          server_packet (&servers[i], bytes, (size_t)n);
    }
}
