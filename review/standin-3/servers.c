#include "review/standin-3/private.h"
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  ANSWER_SENDS_MAX = 8,
  OPENING_MS = 3000 /* until a flow that does not open is forgotten */
};

struct server servers[SERVERS_MAX];
unsigned server_count;
bool (*lose_datagram) (struct server *, const uint8_t *, size_t);
void (*on_executed) (struct server *, uint64_t);
void (*on_opening) (struct server *, uint32_t, uint16_t);

/* A flow as its server holds it.  */
struct held
{
  struct server *server; /* NULL: free */
  double since;
  uint64_t request; /* waiting or at work */
  double queued, due;
  double answer_due, answer_wait;
  uint32_t client, host;
  uint32_t sequence, expected, echo;
  unsigned unacknowledged;
  unsigned work_ms;
  unsigned answer_sends;
  uint16_t sport, port;
  bool is_open, is_at_work;
  bool has_answer; /* not acknowledged yet */
  uint8_t answer[REQUEST_BYTES];
};

static struct held held[FLOWS_MAX];

unsigned
count_flows (const struct server *s)
{
  unsigned n = 0;
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    n += held[i].server == s && held[i].is_open;
  return n;
}

static struct held *
find_held (struct server *s, uint32_t client, uint16_t sport)
{
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    if (held[i].server == s && held[i].client == client
        && held[i].sport == sport)
      return &held[i];
  return NULL;
}

static void
forget (struct held *h)
{
  if (h->server)
    h->server->connections--;
  h->server = NULL;
}

static int64_t
unix_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
put_entry (struct server *s)
{
  char key[64], text[512];
  snprintf (key, sizeof key, "servers/%s", s->id);
  snprintf (text, sizeof text,
            "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\","
            "\"cold-left-ms\":0,\"seq-no\":1,\"born\":%lld}",
            s->service, text_of (s->address), s->port, s->zone, s->slots,
            s->is_draining ? "draining" : "ready", (long long)s->born_ms);
  store_put (key, text);
  s->is_listed = true;
}

struct server *
add_server (const char *service, const char *zone, unsigned slots,
            unsigned max_conns)
{
  struct server *s = &servers[server_count];
  s->tag = 0x7f3a0000u + 0x101 * ++server_count;
  snprintf (s->id, sizeof s->id, "i-%08llx", (unsigned long long)s->tag);
  snprintf (s->service, sizeof s->service, "%s", service);
  s->zone = zone;
  s->address = loopback (0, 2, server_count);
  s->port = server_port;
  s->slots = slots;
  s->max_conns = max_conns;
  s->fd = -1;
  return s;
}

void
start_server (struct server *s)
{
  s->fd = open_socket (SOCK_DGRAM, s->address, s->port);
  if (s->fd < 0)
    finish (2, "no socket for a server");
  s->born_ms = unix_ms ();
  s->is_draining = false;
  s->connections = 0;
  s->heartbeats = true;
  s->next_heartbeat = now_ms () + HEARTBEAT_MS;
  put_entry (s);
}

void
stop_server (struct server *s)
{
  note ("server %s stops", s->id);
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    if (held[i].server == s)
      held[i].server = NULL;
  close (s->fd);
  s->fd = -1;
  s->heartbeats = false;
}

void
drain_server (struct server *s)
{
  s->is_draining = true;
  put_entry (s);
}

void
end_server (struct server *s)
{
  char key[64];
  stop_server (s);
  snprintf (key, sizeof key, "servers/%s", s->id);
  store_delete (key);
}

static void
send_to_client (struct held *h, uint8_t flags, uint32_t sequence,
                const void *data, uint16_t length)
{
  uint8_t bytes[HEADER + DATA_MAX];
  struct packet p = { .source = h->host,
                      .sport = h->port,
                      .destination = h->client,
                      .dport = h->sport,
                      .sequence = sequence,
                      .acknowledgement = h->expected,
                      .echo = h->echo,
                      .length = length,
                      .flags = flags };
  h->unacknowledged = 0;
  send_datagram (h->server->fd, h->client, packets_port, bytes,
                 encode (bytes, &p, data));
}

static void
send_reset (struct server *s, const struct packet *p)
{
  uint8_t bytes[HEADER];
  struct packet r = { .source = p->destination,
                      .sport = p->dport,
                      .destination = p->source,
                      .dport = p->sport,
                      .sequence = p->acknowledgement,
                      .echo = p->echo,
                      .flags = RST };
  note ("server %s resets a flow that it does not hold, port %u", s->id,
        p->sport);
  send_datagram (s->fd, p->source, packets_port, bytes,
                 encode (bytes, &r, NULL));
}

static void
take_opening (struct server *s, const struct packet *p)
{
  struct held *h = find_held (s, p->source, p->sport);
  if (!h)
    {
      if (s->connections >= s->max_conns)
        return; /* full: sends nothing */
      for (unsigned i = 0; i < FLOWS_MAX && !h; i++)
        if (!held[i].server)
          h = &held[i];
      if (!h)
        return;
      memset (h, 0, sizeof *h);
      h->server = s;
      h->client = p->source;
      h->sport = p->sport;
      h->host = p->destination;
      h->port = p->dport;
      h->since = now_ms ();
      h->sequence = (uint32_t)random () * 2u + 1u;
      h->expected = p->sequence + 1;
      s->connections++;
      if (on_opening)
        on_opening (s, p->source, p->sport);
    }
  h->echo = p->echo;
  send_to_client (h, SYN | ACK, h->sequence - 1, NULL, 0);
}

static void
take_data (struct server *s, struct held *h, const struct packet *p,
           const uint8_t *data)
{
  h->unacknowledged++;
  if (p->sequence == h->expected && p->length == REQUEST_BYTES && !h->request)
    {
      h->expected += p->length;
      h->request = (uint64_t)load32 (data) << 32 | load32 (data + 4);
      h->work_ms = load32 (data + 8);
      h->queued = now_ms ();
      h->is_at_work = false;
    }
  if (h->unacknowledged >= 2)
    send_to_client (h, ACK, h->sequence, NULL, 0);
  (void)s;
}

static void
take_packet (struct server *s, const uint8_t *bytes, size_t length)
{
  uint64_t tag = (uint64_t)load32 (bytes) << 32 | load32 (bytes + 4);
  const uint8_t *b = bytes + 8;
  struct packet p = decode (b);
  if (tag != 0 && tag != s->tag)
    return;
  if (load32 (b + 20) != sum_of (b, length - 8))
    finish (1, "UNASKED: server %s got a packet with a wrong sum", s->id);
  if (lose_datagram && lose_datagram (s, b, length - 8))
    return;
  if (p.flags & SYN)
    {
      take_opening (s, &p);
      return;
    }
  struct held *h = find_held (s, p.source, p.sport);
  if (p.flags & RST)
    {
      if (h)
        forget (h);
      return;
    }
  if (!h || (!h->is_open && p.acknowledgement != h->sequence))
    {
      send_reset (s, &p);
      return;
    }
  h->is_open = true;
  h->echo = p.echo;
  if (h->has_answer && (int32_t)(p.acknowledgement - h->sequence) >= 0)
    h->has_answer = false;
  if (p.length)
    take_data (s, h, &p, b + HEADER);
  if (p.flags & FIN)
    {
      send_to_client (h, FIN | ACK, h->sequence, NULL, 0);
      forget (h);
    }
}

static void
read_server (struct server *s)
{
  uint8_t bytes[2048];
  ssize_t n;
  while (s->fd >= 0 && (n = recv (s->fd, bytes, sizeof bytes, 0)) > 0)
    if (n >= 8 + HEADER)
      take_packet (s, bytes, (size_t)n);
}

static void
end_work (struct held *h)
{
  memset (h->answer, 0, sizeof h->answer);
  store32 (h->answer, (uint32_t)(h->request >> 32));
  store32 (h->answer + 4, (uint32_t)h->request);
  h->request = 0;
  h->is_at_work = false;
  h->has_answer = true;
  h->answer_sends = 1;
  h->answer_wait = FIRST_WAIT_MS;
  h->answer_due = now_ms () + h->answer_wait;
  h->sequence += REQUEST_BYTES;
  send_to_client (h, h->server->is_draining ? ACK | FIN : ACK,
                  h->sequence - REQUEST_BYTES, h->answer, REQUEST_BYTES);
}

static void
begin_work (struct server *s)
{
  unsigned at_work = 0;
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    at_work += held[i].server == s && held[i].is_at_work;
  while (at_work < s->slots)
    {
      struct held *first = NULL;
      for (unsigned i = 0; i < FLOWS_MAX; i++)
        if (held[i].server == s && held[i].request && !held[i].is_at_work
            && (!first || held[i].queued < first->queued))
          first = &held[i];
      if (!first)
        return;
      first->is_at_work = true;
      first->due = now_ms () + first->work_ms;
      s->executed++;
      note ("server %s runs request %llu of port %u", s->id,
            (unsigned long long)first->request, first->sport);
      if (on_executed)
        on_executed (s, first->request);
      at_work++;
    }
}

static void
tick_servers (void)
{
  double now = now_ms ();
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    {
      struct held *h = &held[i];
      if (!h->server)
        continue;
      if (!h->is_open && now - h->since > OPENING_MS)
        forget (h);
      else if (h->is_at_work && now >= h->due)
        end_work (h);
      else if (h->has_answer && now >= h->answer_due)
        {
          if (++h->answer_sends > ANSWER_SENDS_MAX)
            {
              h->has_answer = false;
              continue;
            }
          h->answer_wait = h->answer_wait * 2 < WAIT_MAX_MS
                               ? h->answer_wait * 2
                               : WAIT_MAX_MS;
          h->answer_due = now + h->answer_wait;
          send_to_client (h, ACK, h->sequence - REQUEST_BYTES, h->answer,
                          REQUEST_BYTES);
        }
    }
  for (unsigned i = 0; i < server_count; i++)
    {
      struct server *s = &servers[i];
      if (s->fd < 0)
        continue;
      begin_work (s);
      if (s->heartbeats && now >= s->next_heartbeat)
        {
          /* Only the sequence number changes, which is not a change.  */
          s->next_heartbeat = now + HEARTBEAT_MS;
          if (!s->is_listed)
            put_entry (s);
        }
    }
}

nfds_t
servers_add_fds (struct pollfd *p)
{
  for (unsigned i = 0; i < server_count; i++)
    p[i] = (struct pollfd){ .fd = servers[i].fd, .events = POLLIN };
  return server_count;
}

void
servers_turn (void)
{
  for (unsigned i = 0; i < server_count; i++)
    if (servers[i].fd >= 0)
      read_server (&servers[i]);
  tick_servers ();
}
