/* Backend servers.  A flow executes one request at a time.  Records which
   requests were executed, to detect requests executed twice or at a server
   of another service.  */

#include "soak/soak.h"
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

/* Payload of a request.  */
struct soak_request
{
  uint64_t id;
  uint32_t service;
  uint32_t at_most_once; /* must not be executed twice */
};

struct soak_flow
{
  bool open;
  uint32_t sequence;          /* of the next byte that the server sends */
  uint32_t expected;          /* of the caller's next byte */
  uint32_t last_answer_start; /* of the last answer, to resend it */
  uint64_t last_answered_id;  /* id of the last request answered */
  /* A request that is being executed.  */
  bb_usec answer_due; /* 0: none */
  struct bb_marked_packet request;
  uint64_t request_id;
};

/* Time that a request to the slow service takes.  */
#define SLOW_WORK BB_SEC

static GHashTable *executed_ids; /* of requests with AT_MOST_ONCE */

struct soak_server *
soak_find_server (uint64_t tag)
{
  for (unsigned i = 0; i < cluster.server_count; i++)
    if (cluster.servers[i].tag == tag)
      return &cluster.servers[i];
  return NULL;
}

bool
soak_server_is_stable (const struct soak_server *s)
{
  return s->fd >= 0 && !s->draining
         && cluster.now - s->last_fault_end > SOAK_SETTLE_TIME;
}

bool
soak_service_is_slow (unsigned service)
{
  return cluster.seed >= SOAK_SLOW_SEEDS && service == SOAK_SLOW_SERVICE;
}

static void
send_packet (struct soak_server *s, const struct bb_packet *p, uint32_t cookie,
             uint8_t flags, uint32_t sequence, uint32_t acknowledged,
             const void *data, uint16_t length)
{
  uint8_t bytes[SOAK_PACKET_MAX];
  struct bb_packet out = { .source = p->destination,
                           .source_port = p->destination_port,
                           .destination = p->source,
                           .destination_port = p->source_port,
                           .tcp_flags = flags,
                           .sequence = sequence,
                           .acknowledgement = acknowledged,
                           .payload = length };
  struct bb_endpoint to = { p->source, cluster.port };
  soak_send_datagram (s->fd, &to, bytes,
                      soak_encode_packet (bytes, &out, cookie, data));
}

static void
execute_request (struct soak_server *s, const struct soak_request *r)
{
  if (r->service != s->service)
    soak_violation ("service",
                    "request %" G_GUINT64_FORMAT
                    " of service %u executed at %s of service %u",
                    r->id, r->service, s->id, s->service);
  if (!r->at_most_once)
    return;
  if (!g_hash_table_add (executed_ids, GSIZE_TO_POINTER (r->id)))
    soak_violation ("once",
                    "request %" G_GUINT64_FORMAT " executed again at %s",
                    r->id, s->id);
}

static void
send_answer (struct soak_server *s, struct soak_flow *f,
             const struct bb_packet *p, uint32_t cookie, uint64_t id)
{
  uint64_t data[2] = { id, s->tag };
  send_packet (s, p, cookie, BB_TCP_ACK, f->last_answer_start, f->expected,
               data, sizeof data);
}

static void
end_request (struct soak_server *s, struct soak_flow *f)
{
  f->answer_due = 0;
  f->last_answer_start = f->sequence;
  f->sequence += 2 * sizeof (uint64_t);
  f->last_answered_id = f->request_id;
  send_answer (s, f, &f->request.packet, f->request.cookie, f->request_id);
}

static void
handle_data (struct soak_server *s, struct soak_flow *f,
             const struct bb_marked_packet *m, const uint8_t *data)
{
  const struct bb_packet *p = &m->packet;
  struct soak_request r;
  if (p->payload != sizeof r)
    return;
  memcpy (&r, data, sizeof r);
  if (p->sequence == f->expected)
    {
      execute_request (s, &r);
      f->expected += p->payload;
      f->request = *m;
      f->request_id = r.id;
      f->answer_due = cluster.now + SLOW_WORK;
      if (!soak_service_is_slow (s->service))
        end_request (s, f);
    }
  else if (f->answer_due != 0)
    send_packet (s, p, m->cookie, BB_TCP_ACK, f->sequence, f->expected, NULL,
                 0);
  else if (r.id == f->last_answered_id)
    send_answer (s, f, p, m->cookie, r.id);
}

static void
handle_syn (struct soak_server *s, gpointer key,
            const struct bb_marked_packet *m, const struct soak_balancer *b)
{
  struct soak_flow *f = g_hash_table_lookup (s->flows, key);
  if (s->draining && b && soak_balancer_is_stable (b)
      && cluster.now - cluster.last_store_fault_end > SOAK_SETTLE_TIME
      && cluster.now - s->drained_at > SOAK_DRAIN_BOUND)
    soak_violation ("drain", "%s received a new flow %.1f s after it drained",
                    s->id, (double)(cluster.now - s->drained_at) / BB_SEC);
  if (cluster.evacuated_at != 0 && cluster.evacuated == s->data_centre && b
      && soak_balancer_is_stable (b)
      && cluster.now - cluster.last_store_fault_end > SOAK_SETTLE_TIME
      && cluster.now - cluster.evacuated_at > SOAK_EVACUATION_BOUND)
    soak_violation (
        "evacuation", "%s received a new flow %.1f s after its evacuation",
        s->id, (double)(cluster.now - cluster.evacuated_at) / BB_SEC);
  if (!f)
    {
      f = g_new0 (struct soak_flow, 1);
      f->sequence = (uint32_t)cluster.now * 2654435761U;
      f->expected = m->packet.sequence + 1;
      g_hash_table_insert (s->flows, key, f);
    }
  send_packet (s, &m->packet, m->cookie, BB_TCP_SYN | BB_TCP_ACK, f->sequence,
               f->expected, NULL, 0);
}

static void
handle_packet (struct soak_server *s, const uint8_t *bytes, size_t length,
               const struct soak_balancer *b)
{
  struct bb_marked_packet m;
  const uint8_t *packet = bytes + BB_PLATFORM_TAG_SIZE;
  uint64_t tag = 0;
  if (length < BB_PLATFORM_TAG_SIZE
      || bb_platform_transport.decode (packet, length - BB_PLATFORM_TAG_SIZE,
                                       &m)
             != BB_DROP_NONE)
    {
      soak_violation ("packet", "%s received a malformed packet of %zu bytes",
                      s->id, length);
      return;
    }
  uint32_t checksum = (uint32_t)packet[20] << 24 | (uint32_t)packet[21] << 16
                      | (uint32_t)packet[22] << 8 | packet[23];
  if (checksum != soak_checksum (packet, length - BB_PLATFORM_TAG_SIZE))
    soak_violation ("packet", "%s received a packet with a wrong checksum",
                    s->id);
  for (int i = 0; i < BB_PLATFORM_TAG_SIZE; i++)
    tag = tag << 8 | bytes[i];
  if (tag != s->tag)
    return; /* sent to an earlier server at this address */
  gpointer key
      = GSIZE_TO_POINTER ((gsize)m.packet.source << 16 | m.packet.source_port);
  struct soak_flow *f = g_hash_table_lookup (s->flows, key);
  if (m.packet.tcp_flags & BB_TCP_SYN)
    handle_syn (s, key, &m, b);
  else if (!f || (!f->open && m.packet.acknowledgement != f->sequence + 1))
    send_packet (s, &m.packet, m.cookie, BB_TCP_RST, m.packet.acknowledgement,
                 0, NULL, 0);
  else if (m.packet.tcp_flags & BB_TCP_FIN)
    g_hash_table_remove (s->flows, key);
  else
    {
      if (!f->open)
        f->sequence++;
      f->open = true;
      if (m.packet.payload)
        handle_data (s, f, &m, packet + SOAK_HEADER_SIZE);
    }
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  (void)what;
  struct soak_server *s = context;
  uint8_t bytes[SOAK_PACKET_MAX];
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  ssize_t length;
  while ((length = recvfrom (fd, bytes, sizeof bytes, 0,
                             (struct sockaddr *)&from, &size))
         > 0)
    {
      const struct soak_balancer *b
          = soak_find_balancer (ntohl (from.sin_addr.s_addr));
      if (cluster.now < s->last_fault_end
          || (b && cluster.now < b->isolated_until))
        continue;
      handle_packet (s, bytes, (size_t)length, b);
      if (cluster.plant && strcmp (cluster.plant, "twice") == 0
          && cluster.now % 50 == 0)
        execute_request (s, &(struct soak_request){ 1, s->service, 1 });
      if (s->fd < 0)
        return;
    }
}

struct soak_server *
soak_server_start (unsigned service, unsigned data_centre,
                   const struct soak_server *reuse)
{
  if (cluster.server_count == SOAK_SERVERS_MAX)
    return NULL;
  unsigned index = cluster.server_count++;
  struct soak_server *s = &cluster.servers[index];
  if (!executed_ids)
    executed_ids = g_hash_table_new (NULL, NULL);
  s->service = service;
  s->data_centre = data_centre;
  s->tag = (uint64_t)cluster.seed << 16 | (index + 1);
  g_snprintf (s->id, sizeof s->id, "i-%010" G_GINT64_MODIFIER "x", s->tag);
  s->address
      = reuse ? reuse->address
              : (struct bb_endpoint){ 0x7f0c0000 + 10 + index, cluster.port };
  s->born_ms = g_get_real_time () / 1000;
  s->last_fault_end = cluster.now - SOAK_SETTLE_TIME;
  s->flows = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  s->fd = soak_open_socket (&s->address);
  s->readable
      = event_new (cluster.loop, s->fd, EV_READ | EV_PERSIST, on_readable, s);
  event_add (s->readable, NULL);
  soak_store_put_server (s);
  return s;
}

static void
stop_server (struct soak_server *s)
{
  if (s->fd < 0)
    return;
  event_free (s->readable);
  close (s->fd);
  s->fd = -1;
  g_hash_table_remove_all (s->flows);
}

void
soak_server_drain (struct soak_server *s)
{
  if (s->fd < 0 || s->draining)
    return;
  s->draining = true;
  s->drained_at = cluster.now;
  s->exit_at = cluster.now + 5 * BB_SEC
               + (bb_usec)g_rand_int_range (cluster.random, 0, 3000) * BB_MSEC;
  soak_store_put_server (s);
}

void
soak_server_crash (struct soak_server *s)
{
  stop_server (s);
  s->expire_at = cluster.now + SOAK_EXPIRY;
}

static void
end_due_requests (struct soak_server *s)
{
  GHashTableIter iter;
  gpointer value;
  g_hash_table_iter_init (&iter, s->flows);
  while (s->fd >= 0 && cluster.now >= s->last_fault_end
         && g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct soak_flow *f = value;
      if (f->answer_due != 0 && cluster.now >= f->answer_due)
        end_request (s, f);
    }
}

void
soak_servers_tick (void)
{
  for (unsigned i = 0; i < cluster.server_count; i++)
    {
      struct soak_server *s = &cluster.servers[i];
      if (soak_service_is_slow (s->service))
        end_due_requests (s);
      if (s->exit_at != 0 && cluster.now >= s->exit_at)
        {
          s->exit_at = 0;
          stop_server (s);
          soak_store_remove_server (s);
        }
      if (s->expire_at != 0 && cluster.now >= s->expire_at)
        {
          s->expire_at = 0;
          if (s->listed)
            soak_store_remove_server (s);
        }
    }
}
