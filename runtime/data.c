#define _GNU_SOURCE /* recvmmsg, sendmmsg */
#include "runtime/data.h"
#include "runtime/private.h"
#include "wire/wire.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BATCH = 64,
  PACKET_MAX = 9216, /* a jumbo frame */
  HEADROOM = 32,     /* the new outer header may be longer than the old one */
  OUT_MAX = 2 * BATCH, /* a verdict sends two packets at most */
  RESET_MAX = 64,
  ROUNDS_MAX = 16,         /* batches before timers get a turn */
  DISCARD_MAX = 65536,     /* batches; more than any receive buffer holds */
  SOCKET_BUFFER = 4 << 20, /* bytes; the kernel may grant less */
};

struct bb_data
{
  struct bb_process *process;
  int fd;
  struct event *readable;
  bb_usec last_packet;
  unsigned out_count;
  unsigned reset_count;
  struct mmsghdr in[BATCH];
  struct iovec in_iov[BATCH];
  struct sockaddr_in from[BATCH];
  struct mmsghdr out[OUT_MAX];
  struct iovec out_iov[OUT_MAX];
  struct sockaddr_in to[OUT_MAX];
  uint8_t resets[OUT_MAX][RESET_MAX];
  struct bb_data_counters counters;
  uint8_t buffers[BATCH][HEADROOM + PACKET_MAX];
};

static void
queue (struct bb_data *d, uint8_t *bytes, size_t length,
       const struct bb_endpoint *target)
{
  unsigned i = d->out_count++;
  d->out_iov[i] = (struct iovec){ bytes, length };
  d->to[i].sin_addr.s_addr = htonl (target->address);
  d->to[i].sin_port = htons (target->port);
}

/* Queues the INNER packet behind a new outer header, which is written into
   the bytes before it.  */
static void
queue_packet (struct bb_data *d, uint8_t *inner, size_t length,
              const struct bb_handover *handover,
              const struct bb_endpoint *target)
{
  size_t header = BB_GUE_HEADER + (handover ? BB_GUE_HANDOVER : 0);
  bb_gue_encode (inner - header, handover);
  queue (d, inner - header, header + length, target);
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
  queue (d, bytes, header + length, target);
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
    case BB_VERDICT_HAND:
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
  uint8_t *bytes = d->buffers[i] + HEADROOM;
  size_t length = d->in[i].msg_len, header = 0;
  struct bb_handover handover;
  struct bb_packet packet;
  bool handed = false;
  enum bb_drop drop = BB_DROP_TRUNCATED;

  d->counters.received_bytes += length;
  if (!(d->in[i].msg_hdr.msg_flags & MSG_TRUNC))
    drop = bb_gue_decode (bytes, length, &header, &handed, &handover);
  if (drop == BB_DROP_NONE && handed
      && !bb_engine_admits (engine, ntohl (d->from[i].sin_addr.s_addr)))
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
  bb_engine_packet (engine, &packet, handed ? &handover : NULL, now, &verdict);
  act (d, &verdict, &packet, bytes + header, length - header);
}

/* A packet that the socket refuses is dropped and the rest is sent: callers
   retransmit, and waiting would delay all other flows.  */
static void
flush (struct bb_data *d)
{
  unsigned done = 0;
  while (done < d->out_count)
    {
      int sent
          = sendmmsg (d->fd, d->out + done, d->out_count - done, MSG_DONTWAIT);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        {
          d->counters.send_drops++;
          done++;
          continue;
        }
      for (int i = 0; i < sent; i++)
        d->counters.sent_bytes += d->out[done + (unsigned)i].msg_len;
      d->counters.sent_packets += (unsigned)sent;
      done += (unsigned)sent;
    }
  d->out_count = 0;
  d->reset_count = 0;
}

static int
receive (struct bb_data *d)
{
  for (int i = 0; i < BATCH; i++)
    d->in[i].msg_hdr.msg_namelen = sizeof d->from[i];
  return recvmmsg (d->fd, d->in, BATCH, MSG_DONTWAIT, NULL);
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
      int count = receive (d);
      if (count <= 0)
        return;
      d->counters.batches++;
      d->counters.received_packets += (unsigned)count;
      for (int i = 0; i < count; i++)
        handle (d, (unsigned)i, now);
      flush (d);
      if (count < BATCH)
        return;
    }
}

void
bb_data_discard (struct bb_data *d)
{
  for (int i = 0; i < DISCARD_MAX; i++)
    {
      int count = receive (d);
      if (count <= 0)
        return;
      d->counters.discarded += (unsigned)count;
    }
}

static int
open_socket (const struct bb_endpoint *endpoint, GError **error)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_addr.s_addr = htonl (endpoint->address),
    .sin_port = htons (endpoint->port),
  };
  int size = SOCKET_BUFFER;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
      setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
      if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
        return fd;
    }
  char text[BB_ENDPOINT_TEXT];
  g_set_error (error, BB_ERROR, BB_ERROR_IO, "data: UDP %s: %s",
               bb_endpoint_text (text, endpoint), g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

static void
link_vectors (struct bb_data *d)
{
  for (int i = 0; i < BATCH; i++)
    {
      d->in_iov[i] = (struct iovec){ d->buffers[i] + HEADROOM, PACKET_MAX };
      d->in[i].msg_hdr.msg_iov = &d->in_iov[i];
      d->in[i].msg_hdr.msg_iovlen = 1;
      d->in[i].msg_hdr.msg_name = &d->from[i];
    }
  for (int i = 0; i < OUT_MAX; i++)
    {
      d->to[i].sin_family = AF_INET;
      d->out[i].msg_hdr.msg_iov = &d->out_iov[i];
      d->out[i].msg_hdr.msg_iovlen = 1;
      d->out[i].msg_hdr.msg_name = &d->to[i];
      d->out[i].msg_hdr.msg_namelen = sizeof d->to[i];
    }
}

struct bb_data *
bb_data_new (struct bb_process *p, GError **error)
{
  int fd = open_socket (&p->settings->self.data, error);
  if (fd < 0)
    return NULL;
  struct bb_data *d = g_new0 (struct bb_data, 1);
  d->process = p;
  d->fd = fd;
  link_vectors (d);
  d->readable = event_new (p->loop, fd, EV_READ | EV_PERSIST, on_readable, d);
  event_add (d->readable, NULL);
  return d;
}

void
bb_data_free (struct bb_data *d)
{
  if (!d)
    return;
  event_free (d->readable);
  close (d->fd);
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
