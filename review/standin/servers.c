/* The servers.  A flow runs one request at a time.  A request is one packet
   with its id and its route, the answer one packet with the id and the
   server.  */

#include "scene.h"
#include <arpa/inet.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#define SERVICE_TIME (15 * MS)
#define RETRY_MAX (1600 * MS)

enum
{
  ANSWER = 1000, /* bytes */
  RETRIES = 8,
};

struct held
{
  uint32_t caller, service;
  uint16_t sport, dport;
  bool open, pending, unacknowledged;
  uint32_t seq, expected, echo, answer_seq;
  uint64_t id;
  usec due, retry;
  unsigned tries;
};

uint64_t requests_run;

static uint64_t
key_of (const struct packet *p)
{
  return (uint64_t)p->src << 32 | (uint64_t)p->sport << 16 | p->dport;
}

struct server *
server_at (uint32_t address)
{
  for (unsigned i = 0; i < server_count; i++)
    if (servers[i].address == address)
      return &servers[i];
  return NULL;
}

static void
send_packet (const struct server *s, const struct held *h, uint8_t flags,
             uint32_t seq, const void *data, uint16_t length)
{
  uint8_t bytes[HEADER + DATA_MAX];
  struct packet p = { .src = h->service,
                      .dst = h->caller,
                      .sport = h->dport,
                      .dport = h->sport,
                      .seq = seq,
                      .ack = h->expected,
                      .echo = h->echo,
                      .flags = flags,
                      .length = length,
                      .data = data };
  send_datagram (s->fd, h->caller, port_of (0), bytes,
                 packet_write (bytes, &p));
}

static void
send_answer (const struct server *s, struct held *h)
{
  uint8_t data[ANSWER] = { 0 };
  memcpy (data, &h->id, sizeof h->id);
  send_packet (s, h, ACK, h->answer_seq, data, sizeof data);
}

static void
run_request (struct server *s, struct held *h, const struct packet *p)
{
  uint64_t id;
  memcpy (&id, p->data, sizeof id);
  h->id = id;
  h->pending = true;
  h->due = now + SERVICE_TIME;
  h->expected += p->length;
  requests_run++;
  const struct route *r = NULL;
  for (unsigned i = 0; i < route_count; i++)
    if (routes[i].host == p->dst && routes[i].port == p->dport)
      r = &routes[i];
  note ("run %" PRIu64 " of route %s at %s (%s)", id, r ? r->name : "?", s->id,
        s->service);
  if (r && scene->executed)
    scene->executed (s, r, id);
}

static void
handle_packet (struct server *s, const struct packet *p)
{
  uint64_t key = key_of (p);
  struct held *h = g_hash_table_lookup (s->flows, &key);
  if (p->flags & SYN)
    {
      if (!h)
        {
          uint64_t *copy = g_new (uint64_t, 1);
          *copy = key;
          h = g_new0 (struct held, 1);
          *h = (struct held){ .caller = p->src,
                              .service = p->dst,
                              .sport = p->sport,
                              .dport = p->dport,
                              .seq = g_rand_int (chance),
                              .expected = p->seq + 1 };
          g_hash_table_insert (s->flows, copy, h);
        }
      h->echo = p->echo;
      send_packet (s, h, SYN | ACK, h->seq, NULL, 0);
      return;
    }
  if (!h || (!h->open && p->ack != h->seq + 1))
    {
      struct held unknown = { .caller = p->src,
                              .service = p->dst,
                              .sport = p->sport,
                              .dport = p->dport,
                              .echo = p->echo };
      if (!(p->flags & RST))
        send_packet (s, &unknown, RST, p->ack, NULL, 0);
      return;
    }
  h->echo = p->echo;
  if (!h->open)
    {
      h->open = true;
      h->seq++;
    }
  if (h->unacknowledged && p->ack == h->seq)
    h->unacknowledged = false;
  if (p->flags & (FIN | RST))
    {
      if (p->flags & FIN)
        send_packet (s, h, FIN | ACK, h->seq, NULL, 0);
      g_hash_table_remove (s->flows, &key);
      return;
    }
  if (p->length >= sizeof (uint64_t) && p->seq == h->expected)
    run_request (s, h, p);
  else if (p->length > 0 && !h->pending && h->unacknowledged)
    send_answer (s, h);
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  (void)what;
  struct server *s = context;
  uint8_t bytes[8 + HEADER + DATA_MAX];
  ssize_t length;
  while ((length = recv (fd, bytes, sizeof bytes, MSG_DONTWAIT)) > 0)
    {
      struct packet p;
      bool has_sum;
      uint64_t tag = 0;
      for (int i = 0; i < 8; i++)
        tag = tag << 8 | bytes[i];
      if (length > 8
          && packet_read (bytes + 8, (size_t)length - 8, &p, &has_sum)
          && has_sum && (tag == 0 || tag == s->tag))
        handle_packet (s, &p);
    }
}

static char *
entry_of (const struct server *s)
{
  return g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"%u.%u.%u.%u:%u\",\"zone\":\"zone-%"
      "u\","
      "\"version\":\"v1\",\"slots\":3,\"state\":\"%s\",\"cold-left-ms\":0,"
      "\"seq-no\":%u,\"born\":%" PRId64 "}",
      s->service, s->address >> 24, s->address >> 16 & 255,
      s->address >> 8 & 255, s->address & 255, port_of (5), s->zone,
      s->state == READY ? "ready" : "draining", s->beats, s->born_ms);
}

/* Whether the entry in the store differs from TEXT in more than its number. */
static bool
differs (const char *stored, const char *text)
{
  const char *a = stored ? strstr (stored, "\"seq-no\"") : NULL;
  const char *b = strstr (text, "\"seq-no\"");
  return !a || !b || a - stored != b - text
         || strncmp (stored, text, (size_t)(b - text)) != 0;
}

static void
write_entry (struct server *s)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", s->id);
  s->beats++;
  g_autofree char *text = entry_of (s);
  if (differs (store_read (key), text))
    store_write (key, text);
  s->next_beat = now + HEARTBEAT;
}

struct server *
server_start (const char *service, unsigned zone)
{
  if (server_count == SERVERS_MAX)
    exit (2);
  struct server *s = &servers[server_count];
  s->index = server_count++;
  s->zone = zone;
  s->service = service;
  s->tag = (uint64_t)g_rand_int (chance) << 8 | (s->index + 1);
  g_snprintf (s->id, sizeof s->id, "i-%010" PRIx64, s->tag);
  s->address = 0x7f1e0000 + (zone << 8) + 10 + s->index;
  s->fd = open_socket (s->address, port_of (5));
  s->flows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, g_free, g_free);
  s->born_ms = g_get_real_time () / 1000;
  s->readable = event_new (loop, s->fd, EV_READ | EV_PERSIST, on_readable, s);
  event_add (s->readable, NULL);
  write_entry (s);
  s->next_beat -= (usec)(s->index % 12) * (HEARTBEAT / 12);
  note ("server %s of %s starts in zone-%u", s->id, service, zone);
  return s;
}

/* Reports draining.  The server ends a second after drain-ms.  */
void
server_drain (struct server *s)
{
  s->state = DRAINING;
  s->drained = now;
  s->exit_at = now + DRAIN_BOUND + SEC;
  write_entry (s);
  note ("server %s reports draining", s->id);
}

static void
end_server (struct server *s)
{
  s->state = LEFT;
  s->exit_at = 0;
  event_free (s->readable);
  close (s->fd);
  s->fd = -1;
}

/* Ends the server without notice.  Its entry expires after three heartbeats.
 */
void
server_crash (struct server *s)
{
  end_server (s);
  s->expire_at = now + 3 * HEARTBEAT;
  note ("server %s crashes", s->id);
}

static void
remove_entry (struct server *s)
{
  g_autofree char *key = g_strdup_printf ("servers/%s", s->id);
  s->expire_at = 0;
  store_delete (key);
}

static void
tick_flow (struct server *s, struct held *h)
{
  if (h->pending && now >= h->due)
    {
      h->pending = false;
      h->unacknowledged = true;
      h->answer_seq = h->seq;
      h->seq += ANSWER;
      h->tries = 0;
      h->retry = now + 200 * MS;
      send_answer (s, h);
      if (s->state == DRAINING)
        send_packet (s, h, FIN | ACK, h->seq, NULL, 0);
    }
  else if (h->unacknowledged && now >= h->retry && h->tries < RETRIES)
    {
      h->tries++;
      h->retry = now + MIN ((usec)(200 * MS) << h->tries, RETRY_MAX);
      send_answer (s, h);
    }
}

void
servers_tick (void)
{
  for (unsigned i = 0; i < server_count; i++)
    {
      struct server *s = &servers[i];
      GHashTableIter iter;
      gpointer h;
      if (s->expire_at != 0 && now >= s->expire_at)
        remove_entry (s);
      if (s->state == LEFT)
        continue;
      g_hash_table_iter_init (&iter, s->flows);
      while (g_hash_table_iter_next (&iter, NULL, &h))
        tick_flow (s, h);
      if (now >= s->next_beat)
        write_entry (s);
      if (s->exit_at != 0 && now >= s->exit_at)
        {
          end_server (s);
          remove_entry (s);
        }
    }
}
