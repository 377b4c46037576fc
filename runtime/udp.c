#define _GNU_SOURCE /* recvmmsg, sendmmsg */
#include "runtime/udp.h"
#include "runtime/util.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

struct bb_udp
{
  int fd;
  size_t headroom;
  size_t packet_max;
  unsigned queued_count;
  struct bb_udp_counters counters;
  struct mmsghdr in[BB_UDP_BATCH_SIZE];
  struct iovec in_iov[BB_UDP_BATCH_SIZE];
  struct sockaddr_in from[BB_UDP_BATCH_SIZE];
  struct mmsghdr out[BB_UDP_QUEUE_SIZE];
  struct iovec out_iov[BB_UDP_QUEUE_SIZE];
  struct sockaddr_in to[BB_UDP_QUEUE_SIZE];
  uint8_t *buffers;
};

static int
open_socket (const struct bb_endpoint *endpoint, int buffer, GError **error)
{
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_addr.s_addr = htonl (endpoint->address),
    .sin_port = htons (endpoint->port),
  };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd >= 0)
    {
      setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &buffer, sizeof buffer);
      setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &buffer, sizeof buffer);
      if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0)
        return fd;
    }
  char text[BB_ENDPOINT_TEXT_SIZE];
  g_set_error (error, BB_ERROR, BB_ERROR_IO, "data: UDP %s: %s",
               bb_endpoint_to_text (text, endpoint), g_strerror (errno));
  if (fd >= 0)
    close (fd);
  return -1;
}

static void
init_vectors (struct bb_udp *b)
{
  size_t stride = b->headroom + b->packet_max;
  for (size_t i = 0; i < BB_UDP_BATCH_SIZE; i++)
    {
      b->in_iov[i] = (struct iovec){ b->buffers + i * stride + b->headroom,
                                     b->packet_max };
      b->in[i].msg_hdr.msg_iov = &b->in_iov[i];
      b->in[i].msg_hdr.msg_iovlen = 1;
      b->in[i].msg_hdr.msg_name = &b->from[i];
    }
  for (size_t i = 0; i < BB_UDP_QUEUE_SIZE; i++)
    {
      b->to[i].sin_family = AF_INET;
      b->out[i].msg_hdr.msg_iov = &b->out_iov[i];
      b->out[i].msg_hdr.msg_iovlen = 1;
      b->out[i].msg_hdr.msg_name = &b->to[i];
      b->out[i].msg_hdr.msg_namelen = sizeof b->to[i];
    }
}

struct bb_udp *
bb_udp_new (const struct bb_endpoint *endpoint, int buffer, size_t headroom,
            size_t packet_max, GError **error)
{
  int fd = open_socket (endpoint, buffer, error);
  if (fd < 0)
    return NULL;
  struct bb_udp *b = g_new0 (struct bb_udp, 1);
  b->fd = fd;
  b->headroom = headroom;
  b->packet_max = packet_max;
  b->buffers = g_malloc (BB_UDP_BATCH_SIZE * (headroom + packet_max));
  init_vectors (b);
  return b;
}

void
bb_udp_free (struct bb_udp *b)
{
  if (!b)
    return;
  close (b->fd);
  g_free (b->buffers);
  g_free (b);
}

int
bb_udp_fd (const struct bb_udp *b)
{
  return b->fd;
}

int
bb_udp_receive (struct bb_udp *b)
{
  for (int i = 0; i < BB_UDP_BATCH_SIZE; i++)
    b->in[i].msg_hdr.msg_namelen = sizeof b->from[i];
  return recvmmsg (b->fd, b->in, BB_UDP_BATCH_SIZE, MSG_DONTWAIT, NULL);
}

uint8_t *
bb_udp_get_datagram (struct bb_udp *b, unsigned i, size_t *length,
                     struct bb_endpoint *from)
{
  bool is_truncated = b->in[i].msg_hdr.msg_flags & MSG_TRUNC;
  *length = is_truncated ? 0 : b->in[i].msg_len;
  *from = (struct bb_endpoint){ ntohl (b->from[i].sin_addr.s_addr),
                                ntohs (b->from[i].sin_port) };
  return b->in_iov[i].iov_base;
}

void
bb_udp_queue (struct bb_udp *b, uint8_t *bytes, size_t length,
              const struct bb_endpoint *target)
{
  if (b->queued_count == BB_UDP_QUEUE_SIZE)
    bb_udp_flush (b);
  unsigned i = b->queued_count++;
  b->out_iov[i] = (struct iovec){ bytes, length };
  b->to[i].sin_addr.s_addr = htonl (target->address);
  b->to[i].sin_port = htons (target->port);
}

/* A packet that the socket refuses is dropped and the rest is sent: callers
   retransmit, and waiting would delay all other flows.  */
void
bb_udp_flush (struct bb_udp *b)
{
  unsigned done = 0;
  while (done < b->queued_count)
    {
      int sent = sendmmsg (b->fd, b->out + done, b->queued_count - done,
                           MSG_DONTWAIT);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent <= 0)
        {
          b->counters.send_drops++;
          done++;
          continue;
        }
      for (int i = 0; i < sent; i++)
        b->counters.sent_bytes += b->out[done + (unsigned)i].msg_len;
      b->counters.sent_packets += (unsigned)sent;
      done += (unsigned)sent;
    }
  b->queued_count = 0;
}

const struct bb_udp_counters *
bb_udp_get_counters (const struct bb_udp *b)
{
  return &b->counters;
}
