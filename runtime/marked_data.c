/* Sockets of a marked transport: packets from callers, which are forwarded,
   reset or dropped, and messages from other balancers.  */

#include "runtime/marked_private.h"
#include "wire/sync.h"
#include <string.h>

enum
{
  RESET_MAX = 64,          /* bytes of one reset */
  BATCHES_PER_EVENT = 4,   /* bounds the time until timers run */
  PACKET_BUFFER = 1 << 20, /* bytes; holds a burst of about 1,000 packets */
  /* Bytes; holds the whole directory of a cluster of 9 VMs, which a peer sends
     in one burst.  */
  PEER_BUFFER = 256 << 10,
  PEER_DATAGRAM_MAX = 8192, /* bytes; names may be long */
};

static void
queue_reset (struct bb_marked_process *p,
             const struct bb_marked_packet *packet)
{
  uint8_t *bytes = p->resets + (size_t)p->reset_count * RESET_MAX;
  size_t length = p->transport->write_reset (bytes, packet);
  if (length == 0)
    return;
  /* Callers receive packets at the port number at which this balancer receives
     packets from them.  */
  struct bb_endpoint caller
      = { packet->packet.source, p->settings->marked.packets.port };
  p->reset_count++;
  bb_udp_queue (p->packets, bytes, length, &caller);
}

void
bb_marked_send_reset (struct bb_marked_process *p,
                      const struct bb_marked_packet *packet)
{
  p->reset_count = 0;
  queue_reset (p, packet);
  bb_udp_flush (p->packets);
}

static size_t
datagram_max (const struct bb_transport *t)
{
  return t->headroom + t->packet_max;
}

static void
keep_packet (struct bb_marked_process *p, unsigned slot, const uint8_t *bytes,
             size_t length, const struct bb_endpoint *target)
{
  struct bb_kept_packet *kept = &p->kept[slot - 1];
  kept->bytes = p->kept_bytes + (slot - 1) * datagram_max (p->transport);
  kept->length = length;
  kept->target = *target;
  memcpy (kept->bytes, bytes, length);
}

void
bb_marked_queue_copy (struct bb_marked_process *p, unsigned slot)
{
  const struct bb_kept_packet *kept = &p->kept[slot - 1];
  bb_udp_queue (p->packets, kept->bytes, kept->length, &kept->target);
}

void
bb_marked_flush_copies (struct bb_marked_process *p)
{
  bb_udp_flush (p->packets);
}

static void
handle_packet (struct bb_marked_process *p, unsigned i, bb_usec now)
{
  struct bb_marked_packet packet;
  struct bb_marked_verdict v;
  struct bb_endpoint from;
  size_t length;
  uint8_t *bytes = bb_udp_get_datagram (p->packets, i, &length, &from);
  enum bb_drop drop = p->transport->decode (bytes, length, &packet);
  if (drop != BB_DROP_NONE)
    {
      bb_marked_count_drop (p->marked, drop);
      return;
    }
  bb_marked_handle_packet (p->marked, &packet, now, &v);
  switch (v.kind)
    {
    case BB_MARKED_FORWARD:
      p->transport->write_server (bytes, &v);
      bytes -= p->transport->headroom;
      length += p->transport->headroom;
      bb_udp_queue (p->packets, bytes, length, &v.target);
      if (v.probe_slot != 0)
        keep_packet (p, v.probe_slot, bytes, length, &v.target);
      break;
    case BB_MARKED_RESET:
      queue_reset (p, &packet);
      break;
    case BB_MARKED_DROP:
      break;
    }
}

static void
on_packets (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  struct bb_marked_process *p = context;
  for (int round = 0; round < BATCHES_PER_EVENT; round++)
    {
      bb_usec now = bb_clock_boot ();
      int count = bb_udp_receive (p->packets);
      if (count <= 0)
        return;
      p->last_packet = now;
      p->reset_count = 0;
      for (int i = 0; i < count; i++)
        handle_packet (p, (unsigned)i, now);
      bb_udp_flush (p->packets);
      if (count < BB_UDP_BATCH_SIZE)
        return;
    }
}

static void
handle_message (struct bb_marked_process *p, unsigned i)
{
  struct bb_sync_message message;
  struct bb_endpoint from;
  size_t length;
  GError *error = NULL;
  const uint8_t *bytes = bb_udp_get_datagram (p->peers, i, &length, &from);
  if (bb_sync_decode (bytes, length, &message, &error))
    {
      bb_sync_receive (bb_marked_get_sync (p->marked), &from, &message,
                       bb_clock_boot ());
      return;
    }
  if (p->peer_faults++ == 0)
    bb_log_write_text (p->log, BB_LOG_WARN, "peer_message", error->message);
  g_error_free (error);
}

static void
on_peers (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  struct bb_marked_process *p = context;
  int count = bb_udp_receive (p->peers);
  for (int i = 0; i < count; i++)
    handle_message (p, (unsigned)i);
}

void
bb_marked_send_to_peers (struct bb_marked_process *p,
                         const struct bb_endpoint *to, size_t count,
                         const struct bb_sync_message *message)
{
  GByteArray *bytes = bb_sync_encode (message);
  for (size_t i = 0; i < count; i++)
    bb_udp_queue (p->peers, bytes->data, bytes->len, &to[i]);
  bb_udp_flush (p->peers);
  g_byte_array_unref (bytes);
}

bool
bb_marked_data_start (struct bb_marked_process *p, GError **error)
{
  const struct bb_marked_settings *m = &p->settings->marked;
  struct bb_endpoint peers = { m->packets.address, m->peer_port };
  p->packets = bb_udp_new (&m->packets, PACKET_BUFFER, p->transport->headroom,
                           p->transport->packet_max, error);
  if (!p->packets)
    return false;
  p->peers = bb_udp_new (&peers, PEER_BUFFER, 0, PEER_DATAGRAM_MAX, error);
  if (!p->peers)
    return false;
  p->resets = g_malloc ((size_t)BB_UDP_QUEUE_SIZE * RESET_MAX);
  p->kept_bytes
      = g_malloc (BB_MARKED_PROBE_SLOTS * datagram_max (p->transport));
  p->packets_readable = event_new (p->loop, bb_udp_fd (p->packets),
                                   EV_READ | EV_PERSIST, on_packets, p);
  p->peers_readable = event_new (p->loop, bb_udp_fd (p->peers),
                                 EV_READ | EV_PERSIST, on_peers, p);
  event_add (p->packets_readable, NULL);
  event_add (p->peers_readable, NULL);
  return true;
}

void
bb_marked_data_stop (struct bb_marked_process *p)
{
  if (p->packets_readable)
    event_free (p->packets_readable);
  if (p->peers_readable)
    event_free (p->peers_readable);
  bb_udp_free (p->packets);
  bb_udp_free (p->peers);
  g_free (p->resets);
  g_free (p->kept_bytes);
}
