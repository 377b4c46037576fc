#include "runtime/data.h"
#include "runtime/process_private.h"
#include "runtime/udp.h"
#include "wire/wire.h"
#include <string.h>

enum
{
  PACKET_MAX = 9216, /* bytes; a jumbo frame */
  /* Bytes; the new outer header may be longer than the received one.  */
  HEADROOM = 32,
  RESET_MAX = 64,              /* bytes of one reset */
  BATCHES_PER_EVENT = 16,      /* bounds the time until timers run */
  DISCARD_BATCHES_MAX = 65536, /* more than any receive buffer holds */
  SOCKET_BUFFER = 4 << 20,     /* bytes; the kernel may grant less */
};

struct bb_data
{
  struct bb_process *process;
  struct bb_udp *udp;
  struct event *readable;
  bb_usec last_fabric_packet;
  unsigned reset_count;
  uint8_t resets[BB_UDP_QUEUE_SIZE][RESET_MAX];
  struct bb_data_counters counters;
};

/* Queues the INNER packet with a new outer header, which is written into the
   bytes before INNER.  */
static void
queue_packet (struct bb_data *d, uint8_t *inner, size_t length,
              const struct bb_handover *handover,
              const struct bb_endpoint *target)
{
  size_t header = BB_GUE_HEADER + (handover ? BB_GUE_HANDOVER : 0);
  bb_gue_encode (inner - header, handover);
  bb_udp_queue (d->udp, inner - header, header + length, target);
}

static void
queue_reset (struct bb_data *d, const struct bb_packet *packet, bool to_caller,
             const struct bb_endpoint *target)
{
  if (target->port == 0)
    {
      d->counters.reset_drops++;
      return;
    }
  uint8_t *bytes = d->resets[d->reset_count];
  size_t header = bb_gue_encode (bytes, NULL);
  size_t length = bb_wire_encode_reset (bytes + header, packet, to_caller);
  if (length == 0)
    return;
  d->reset_count++;
  bb_udp_queue (d->udp, bytes, header + length, target);
}

static void
apply_verdict (struct bb_data *d, const struct bb_verdict *verdict,
               const struct bb_packet *packet, uint8_t *inner, size_t length)
{
  const struct bb_endpoint *egress = &d->process->settings->egress;
  switch (verdict->kind)
    {
    case BB_VERDICT_FORWARD:
      queue_packet (d, inner, length, NULL, &verdict->target);
      break;
    case BB_VERDICT_HAND_OVER:
      queue_packet (d, inner, length, &verdict->handover, &verdict->target);
      break;
    case BB_VERDICT_REFUSE:
      queue_reset (d, packet, true, egress);
      break;
    case BB_VERDICT_RESET:
      queue_reset (d, packet, true, egress);
      queue_reset (d, packet, false, &verdict->target);
      break;
    case BB_VERDICT_DROP:
      break;
    }
}

static void
handle_packet (struct bb_data *d, unsigned i, bb_usec now)
{
  struct bb_engine *engine = d->process->engine;
  struct bb_endpoint from;
  size_t length, header = 0;
  uint8_t *bytes = bb_udp_get_datagram (d->udp, i, &length, &from);
  struct bb_handover handover;
  struct bb_packet packet;
  bool has_handover = false;
  enum bb_drop drop = BB_DROP_TRUNCATED;

  d->counters.received_bytes += length;
  if (length > 0)
    drop = bb_gue_decode (bytes, length, &header, &has_handover, &handover);
  if (drop == BB_DROP_NONE && has_handover
      && !bb_engine_admits_address (engine, from.address))
    drop = BB_DROP_NOT_PEER;
  if (drop == BB_DROP_NONE)
    drop = bb_packet_parse (bytes + header, length - header, &packet);
  if (drop != BB_DROP_NONE)
    {
      d->counters.drops[drop]++;
      return;
    }
  if (!has_handover)
    d->last_fabric_packet = now;
  struct bb_verdict verdict;
  bb_engine_handle_packet (engine, &packet, has_handover ? &handover : NULL,
                           now, &verdict);
  apply_verdict (d, &verdict, &packet, bytes + header, length - header);
}

static void
flush (struct bb_data *d)
{
  bb_udp_flush (d->udp);
  const struct bb_udp_counters *sent = bb_udp_get_counters (d->udp);
  d->counters.sent_packets = sent->sent_packets;
  d->counters.sent_bytes = sent->sent_bytes;
  d->counters.send_drops = sent->send_drops;
  d->reset_count = 0;
}

/* Runs the tick if it is late, and returns whether the tick detected a pause
   of the process.  After a pause the loop may deliver packets before the tick
   timer fires, and without this check the packets would be handled with
   outdated state.  */
static bool
detect_pause (struct bb_data *d, bb_usec now)
{
  return now - d->process->last_tick > BB_PAUSE_LIMIT
         && bb_process_tick (d->process, now);
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  struct bb_data *d = context;
  for (int round = 0; round < BATCHES_PER_EVENT; round++)
    {
      bb_usec now = bb_clock_boot ();
      if (detect_pause (d, now))
        return;
      int count = bb_udp_receive (d->udp);
      if (count <= 0)
        return;
      d->counters.batches++;
      d->counters.received_packets += (unsigned)count;
      for (int i = 0; i < count; i++)
        handle_packet (d, (unsigned)i, now);
      flush (d);
      if (count < BB_UDP_BATCH_SIZE)
        return;
    }
}

void
bb_data_discard_received (struct bb_data *d)
{
  for (int i = 0; i < DISCARD_BATCHES_MAX; i++)
    {
      int count = bb_udp_receive (d->udp);
      if (count <= 0)
        return;
      d->counters.discarded += (unsigned)count;
    }
}

struct bb_data *
bb_data_new (struct bb_process *p, GError **error)
{
  struct bb_udp *udp = bb_udp_new (&p->settings->self.data, SOCKET_BUFFER,
                                   HEADROOM, PACKET_MAX, error);
  if (!udp)
    return NULL;
  struct bb_data *d = g_new0 (struct bb_data, 1);
  d->process = p;
  d->udp = udp;
  d->readable = event_new (p->loop, bb_udp_fd (udp), EV_READ | EV_PERSIST,
                           on_readable, d);
  event_add (d->readable, NULL);
  return d;
}

void
bb_data_free (struct bb_data *d)
{
  if (!d)
    return;
  event_free (d->readable);
  bb_udp_free (d->udp);
  g_free (d);
}

bb_usec
bb_data_last_fabric_packet (const struct bb_data *d)
{
  return d->last_fabric_packet;
}

const struct bb_data_counters *
bb_data_get_counters (const struct bb_data *d)
{
  return &d->counters;
}
