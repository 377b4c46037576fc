#define _GNU_SOURCE /* for recvmmsg and sendmmsg */
#include "bench/common_traffic.h"
#include "bench/common.h"
#include "wire/wire.h"
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  SOCKET_BUFFER = 4 << 20,
  DATAGRAM_MAX = 2048,
};

/* A batch of datagrams for recvmmsg and sendmmsg.  */
struct batch
{
  struct mmsghdr messages[TRAFFIC_BATCH];
  struct iovec vectors[TRAFFIC_BATCH];
  uint8_t bytes[TRAFFIC_BATCH][DATAGRAM_MAX];
};

static struct batch *
make_batch (void)
{
  struct batch *b = g_new0 (struct batch, 1);
  for (int i = 0; i < TRAFFIC_BATCH; i++)
    {
      b->vectors[i].iov_base = b->bytes[i];
      b->vectors[i].iov_len = DATAGRAM_MAX;
      b->messages[i].msg_hdr.msg_iov = &b->vectors[i];
      b->messages[i].msg_hdr.msg_iovlen = 1;
    }
  return b;
}

static void
set_batch_destination (struct batch *b, struct sockaddr_in *to)
{
  for (int i = 0; i < TRAFFIC_BATCH; i++)
    {
      b->messages[i].msg_hdr.msg_name = to;
      b->messages[i].msg_hdr.msg_namelen = to ? sizeof *to : 0;
    }
}

int
traffic_open_socket (struct sockaddr_in *address)
{
  int size = SOCKET_BUFFER;
  struct timeval wait = { .tv_usec = 1000L * TRAFFIC_WAIT_MS };
  socklen_t length = sizeof *address;
  *address = (struct sockaddr_in){ .sin_family = AF_INET };
  address->sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)address, sizeof *address)
      || getsockname (fd, (struct sockaddr *)address, &length)
      || setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &wait, sizeof wait))
    g_error ("cannot open a UDP socket on the loopback interface: %m");
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  setsockopt (fd, SOL_SOCKET, SO_SNDBUF, &size, sizeof size);
  return fd;
}

static void
write_flows (struct batch *b, uint32_t first,
             const struct bb_endpoint *service)
{
  for (uint32_t i = 0; i < TRAFFIC_BATCH; i++)
    b->vectors[i].iov_len
        = bench_write_packet (b->bytes[i], (first + i) % TRAFFIC_FLOWS,
                              service, NULL, BB_TCP_ACK, TRAFFIC_PAYLOAD);
}

/* Gives each packet a new sequence number, because a flow that repeats a
   sequence number counts as silent.  */
static void
set_sequence_numbers (struct batch *b, uint32_t number)
{
  for (int i = 0; i < TRAFFIC_BATCH; i++)
    memcpy (b->bytes[i] + BB_GUE_HEADER + 24, &number, sizeof number);
}

void *
traffic_run_generator (void *generator)
{
  struct traffic_generator *g = generator;
  enum
  {
    BATCHES = TRAFFIC_FLOWS / TRAFFIC_BATCH
  };
  struct batch *batches[BATCHES];
  for (uint32_t i = 0; i < BATCHES; i++)
    {
      batches[i] = make_batch ();
      write_flows (batches[i], i * TRAFFIC_BATCH, &g->service);
      set_batch_destination (batches[i], &g->to);
    }
  for (uint32_t i = 0; !g->should_stop; i++)
    {
      g->is_idle = !g->is_running;
      set_sequence_numbers (batches[i % BATCHES], i);
      if (!g->is_running)
        {
          g_usleep (1000);
          continue;
        }
      int n
          = sendmmsg (g->fd, batches[i % BATCHES]->messages, TRAFFIC_BATCH, 0);
      g->packets += (uint64_t)MAX (n, 0);
    }
  for (int i = 0; i < BATCHES; i++)
    g_free (batches[i]);
  return NULL;
}

void *
traffic_run_sink (void *sink)
{
  struct traffic_sink *s = sink;
  struct batch *b = make_batch ();
  while (!s->should_stop)
    {
      int n
          = recvmmsg (s->fd, b->messages, TRAFFIC_BATCH, MSG_WAITFORONE, NULL);
      if (n > 0)
        s->packets += (uint64_t)n;
    }
  g_free (b);
  return NULL;
}

void *
traffic_run_relay (void *relay)
{
  struct traffic_relay *r = relay;
  struct batch *b = make_batch ();
  while (!r->should_stop)
    {
      set_batch_destination (b, NULL);
      for (int i = 0; i < TRAFFIC_BATCH; i++)
        b->vectors[i].iov_len = DATAGRAM_MAX;
      int n
          = recvmmsg (r->fd, b->messages, TRAFFIC_BATCH, MSG_WAITFORONE, NULL);
      for (int i = 0; i < n; i++)
        b->vectors[i].iov_len = b->messages[i].msg_len;
      set_batch_destination (b, &r->to);
      for (int sent = 0, k = 0; sent < n; sent += k)
        if ((k = sendmmsg (r->fd, b->messages + sent, (unsigned)(n - sent), 0))
            <= 0)
          break;
    }
  g_free (b);
  return NULL;
}
