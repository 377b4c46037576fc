#include "review/standin-3/private.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

const char *
text_of (uint32_t address)
{
  static char text[4][16];
  static unsigned next;
  char *t = text[next++ % 4];
  snprintf (t, 16, "%u.%u.%u.%u", address >> 24, address >> 16 & 255,
            address >> 8 & 255, address & 255);
  return t;
}

struct sockaddr_in
socket_address (uint32_t address, uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr.s_addr = htonl (address) };
  return a;
}

int
open_socket (int type, uint32_t address, uint16_t port)
{
  const int one = 1, size = 1 << 20;
  struct sockaddr_in a = socket_address (address, port);
  int fd = socket (AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (type == SOCK_STREAM)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  else
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0
      || (type == SOCK_STREAM && listen (fd, 128) != 0))
    {
      if (fd >= 0)
        close (fd);
      return -1;
    }
  return fd;
}

uint32_t
load32 (const uint8_t *p)
{
  return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8
         | p[3];
}

uint16_t
load16 (const uint8_t *p)
{
  return (uint16_t)(p[0] << 8 | p[1]);
}

void
store32 (uint8_t *p, uint32_t v)
{
  for (int i = 0; i < 4; i++)
    p[i] = (uint8_t)(v >> (24 - 8 * i));
}

static void
store16 (uint8_t *p, uint16_t v)
{
  p[0] = (uint8_t)(v >> 8);
  p[1] = (uint8_t)v;
}

uint32_t
sum_of (const uint8_t *p, size_t length)
{
  uint32_t h = 0x9e3779b9;
  for (size_t i = 0; i < length; i++)
    if (i < 20 || (i >= 28 && i < 31) || i >= HEADER)
      h = (h ^ p[i]) * 16777619u;
  return h ? h : 1;
}

size_t
encode (uint8_t *b, const struct packet *p, const void *data)
{
  memset (b, 0, HEADER);
  store32 (b, p->source);
  store16 (b + 4, p->dport);
  store16 (b + 6, p->sport);
  store32 (b + 8, p->destination);
  store32 (b + 12, p->sequence);
  store32 (b + 16, p->acknowledgement);
  store32 (b + 24, p->echo);
  store16 (b + 28, p->length);
  b[30] = p->flags;
  if (p->length)
    memcpy (b + HEADER, data, p->length);
  store32 (b + 20, sum_of (b, HEADER + p->length));
  return HEADER + p->length;
}

struct packet
decode (const uint8_t *b)
{
  return (struct packet){ .source = load32 (b),
                          .dport = load16 (b + 4),
                          .sport = load16 (b + 6),
                          .destination = load32 (b + 8),
                          .sequence = load32 (b + 12),
                          .acknowledgement = load32 (b + 16),
                          .echo = load32 (b + 24),
                          .length = load16 (b + 28),
                          .flags = b[30] };
}

void
send_datagram (int fd, uint32_t address, uint16_t port, const uint8_t *bytes,
               size_t length)
{
  struct sockaddr_in to = socket_address (address, port);
  (void)!sendto (fd, bytes, length, 0, (struct sockaddr *)&to, sizeof to);
}
