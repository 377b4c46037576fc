/* UDP sockets and the encoding of packets in the platform's format.  */

#include "soak/soak.h"
#include <arpa/inet.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>
#include <xxhash.h>

int
soak_open_socket (const struct bb_endpoint *e)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (e->address),
                           .sin_port = htons (e->port) };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0)
    g_error ("cannot bind UDP port %u: %s", e->port, g_strerror (errno));
  return fd;
}

void
soak_send_datagram (int fd, const struct bb_endpoint *to, const uint8_t *bytes,
                    size_t length)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (to->address),
                           .sin_port = htons (to->port) };
  /* A datagram that cannot be sent counts as lost by the network.  */
  (void)sendto (fd, bytes, length, 0, (struct sockaddr *)&a, sizeof a);
}

/* The checksum covers all but itself, the cookie and the padding, and is never
   0.  */
uint32_t
soak_checksum (const uint8_t *packet, size_t length)
{
  uint8_t copy[SOAK_PACKET_MAX] = { 0 };
  memcpy (copy, packet, MIN (length, sizeof copy));
  memset (copy + 20, 0, 8);
  memset (copy + 31, 0, 5);
  uint32_t sum = (uint32_t)XXH3_64bits (copy, MIN (length, sizeof copy));
  return sum ? sum : 1;
}

static void
write_big_endian (uint8_t *at, uint64_t value, size_t size)
{
  for (size_t i = 0; i < size; i++)
    at[i] = (uint8_t)(value >> 8 * (size - 1 - i));
}

size_t
soak_encode_packet (uint8_t *bytes, const struct bb_packet *p, uint32_t cookie,
                    const void *data)
{
  size_t length = SOAK_HEADER_SIZE + p->payload;
  memset (bytes, 0, SOAK_HEADER_SIZE);
  write_big_endian (bytes, p->source, 4);
  write_big_endian (bytes + 4, p->destination_port, 2);
  write_big_endian (bytes + 6, p->source_port, 2);
  write_big_endian (bytes + 8, p->destination, 4);
  write_big_endian (bytes + 12, p->sequence, 4);
  write_big_endian (bytes + 16, p->acknowledgement, 4);
  write_big_endian (bytes + 24, cookie, 4);
  write_big_endian (bytes + 28, p->payload, 2);
  bytes[30] = (uint8_t)((p->tcp_flags & BB_TCP_SYN ? 16 : 0)
                        | (p->tcp_flags & BB_TCP_ACK ? 32 : 0)
                        | (p->tcp_flags & BB_TCP_FIN ? 2 : 0)
                        | (p->tcp_flags & BB_TCP_RST ? 8 : 0));
  if (p->payload)
    memcpy (bytes + SOAK_HEADER_SIZE, data, p->payload);
  write_big_endian (bytes + 20, soak_checksum (bytes, length), 4);
  return length;
}
