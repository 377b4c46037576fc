#include "runtime/data.h"
#include "runtime/process_private.h"
#include "runtime/udp.h"
#include "wire/wire.h"
#include <string.h>

enum
{
  PACKET_MAX = 9216, /* a jumbo frame */
  HEADROOM = 32,     /* the new outer header may be longer than the old one */
  RESET_MAX = 64,
  ROUNDS_MAX = 16,         /* batches before timers get a turn */
  DISCARD_MAX = 65536,     /* batches; more than any receive buffer holds */
  SOCKET_BUFFER = 4 << 20, /* bytes; the kernel may grant less */
};

struct bb_data
{
  struct bb_process *process;
  struct bb_batch *batch;
  struct event *readable;
  bb_usec last_packet;
  unsigned reset_count;
  uint8_t resets[BB_BATCH_OUT][RESET_MAX];
  struct bb_data_counters counters;
};

/* Queues the INNER packet behind a new outer header, which is written into
   the bytes before it.  */
static void
queue_packet (struct bb_data *d, uint8_t *inner, size_t length,
              const struct bb_handover *handover,
              const struct bb_endpoint *target)
{
  size_t header = BB_GUE_HEADER + (handover ? BB_GUE_HANDOVER : 0);
  bb_gue_encode (inner - header, handover);
  bb_batch_queue (d->batch, inner - header, header + length, target);
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
  size_t length = bb_wire_reset (bytes + header, packet, to_caller);
  if (length == 0)
    return;
  d->reset_count++;
  bb_batch_queue (d->batch, bytes, header + length, target);
}

static void
act (struct bb_data *d, const struct bb_verdict *verdict,
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
handle (struct bb_data *d, unsigned i, bb_usec now)
{
  struct bb_engine *engine = d->process->engine;
  struct bb_endpoint from;
  size_t length, header = 0;
  uint8_t *bytes = bb_batch_packet (d->batch, i, &length, &from);
  struct bb_handover handover;
  struct bb_packet packet;
  bool handed = false;
  enum bb_drop drop = BB_DROP_TRUNCATED;

  d->counters.received_bytes += length;
  if (length > 0)
    drop = bb_gue_decode (bytes, length, &header, &handed, &handover);
  if (drop == BB_DROP_NONE && handed
      && !bb_engine_admits_address (engine, from.address))
    drop = BB_DROP_NOT_PEER;
  if (drop == BB_DROP_NONE)
    drop = bb_packet_parse (bytes + header, length - header, &packet);
  if (drop != BB_DROP_NONE)
    {
      d->counters.drops[drop]++;
      return;
    }
  if (!handed)
    d->last_packet = now;
  struct bb_verdict verdict;
  bb_engine_handle_packet (engine, &packet, handed ? &handover : NULL, now,
                           &verdict);
  act (d, &verdict, &packet, bytes + header, length - header);
}

static void
flush (struct bb_data *d)
{
  bb_batch_flush (d->batch);
  const struct bb_batch_counters *sent = bb_batch_get_counters (d->batch);
  d->counters.sent_packets = sent->sent_packets;
  d->counters.sent_bytes = sent->sent_bytes;
  d->counters.send_drops = sent->send_drops;
  d->reset_count = 0;
}

/* After a pause, packets may be handled before the timer of the tick, so the
   tick's lateness is checked here too.  */
static bool
paused (struct bb_data *d, bb_usec now)
{
  return now - d->process->ticked > BB_PAUSE_LIMIT
         && bb_process_tick (d->process, now);
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  struct bb_data *d = context;
  for (int round = 0; round < ROUNDS_MAX; round++)
    {
      bb_usec now = bb_clock_boot ();
      if (paused (d, now))
        return;
      int count = bb_batch_receive (d->batch);
      if (count <= 0)
        return;
      d->counters.batches++;
      d->counters.received_packets += (unsigned)count;
      for (int i = 0; i < count; i++)
        handle (d, (unsigned)i, now);
      flush (d);
      if (count < BB_BATCH_SIZE)
        return;
    }
}

void
bb_data_discard (struct bb_data *d)
{
  for (int i = 0; i < DISCARD_MAX; i++)
    {
      int count = bb_batch_receive (d->batch);
      if (count <= 0)
        return;
      d->counters.discarded += (unsigned)count;
    }
}

struct bb_data *
bb_data_new (struct bb_process *p, GError **error)
{
  struct bb_batch *batch = bb_batch_new (
      &p->settings->self.data, SOCKET_BUFFER, HEADROOM, PACKET_MAX, error);
  if (!batch)
    return NULL;
  struct bb_data *d = g_new0 (struct bb_data, 1);
  d->process = p;
  d->batch = batch;
  d->readable = event_new (p->loop, bb_batch_fd (batch), EV_READ | EV_PERSIST,
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
  bb_batch_free (d->batch);
  g_free (d);
}

bb_usec
bb_data_last_packet (const struct bb_data *d)
{
  return d->last_packet;
}

const struct bb_data_counters *
bb_data_get_counters (const struct bb_data *d)
{
  return &d->counters;
}
