#include "standins/common.h"
#include <string.h>
#include <sys/socket.h>

enum
{
  IPV4_HEADER = 20,
  TCP_HEADER = 20
};

ssize_t
bb_standin_receive_packet (int fd, uint8_t *buffer, uint8_t **inner,
                           struct bb_endpoint *from)
{
  struct sockaddr_in source = { 0 };
  socklen_t size = sizeof source;
  struct bb_handover handover;
  size_t header;
  bool handed;
  ssize_t n = recvfrom (fd, buffer, BB_STANDIN_DATAGRAM_MAX, 0,
                        (struct sockaddr *)&source, &size);
  if (n < 0)
    return -1;
  from->address = ntohl (source.sin_addr.s_addr);
  from->port = ntohs (source.sin_port);
  if (bb_gue_decode (buffer, (size_t)n, &header, &handed, &handover)
      != BB_DROP_NONE)
    return 0;
  *inner = buffer + header;
  return n - (ssize_t)header;
}

void
bb_standin_send_packet (int fd, struct bb_endpoint to, const uint8_t *packet,
                        size_t length)
{
  uint8_t header[BB_GUE_HEADER + BB_GUE_HANDOVER];
  struct sockaddr_in address = bb_standin_socket_address (to);
  struct iovec parts[2] = { { header, bb_gue_encode (header, NULL) },
                            { (void *)packet, length } };
  struct msghdr message = { .msg_name = &address,
                            .msg_namelen = sizeof address,
                            .msg_iov = parts,
                            .msg_iovlen = 2 };
  /* A datagram that cannot be sent counts as lost by the network.  */
  (void)sendmsg (fd, &message, 0);
}

static uint16_t
get16 (const uint8_t *data)
{
  return (uint16_t)(data[0] << 8 | data[1]);
}

static uint32_t
get32 (const uint8_t *data)
{
  return (uint32_t)get16 (data) << 16 | get16 (data + 2);
}

static void
put16 (uint8_t *data, uint32_t value)
{
  data[0] = (uint8_t)(value >> 8);
  data[1] = (uint8_t)value;
}

static void
put32 (uint8_t *data, uint32_t value)
{
  put16 (data, value >> 16);
  put16 (data + 2, value);
}

/* Returns the Internet checksum (RFC 1071) of LENGTH bytes, with the initial
   value SUM.  */
static uint16_t
checksum (const uint8_t *data, size_t length, uint32_t sum)
{
  for (size_t i = 0; i < length; i++)
    sum += i % 2 ? data[i] : (uint32_t)data[i] << 8;
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)~sum;
}

bool
bb_standin_parse_segment (const uint8_t *packet, size_t length,
                          struct bb_segment *s)
{
  if (length < IPV4_HEADER + TCP_HEADER || packet[0] != 0x45
      || packet[9] != IPPROTO_TCP || get16 (packet + 2) != length)
    return false;
  const uint8_t *tcp = packet + IPV4_HEADER;
  size_t bytes = length - IPV4_HEADER;
  size_t header = (size_t)(tcp[12] >> 4) * 4;
  uint32_t pseudo = IPPROTO_TCP + (uint32_t)bytes;
  if (header < TCP_HEADER || header > bytes
      || checksum (packet, IPV4_HEADER, 0) != 0
      || checksum (packet + 12, 8 + bytes, pseudo) != 0)
    return false;
  *s = (struct bb_segment){
    .source = { get32 (packet + 12), get16 (tcp) },
    .destination = { get32 (packet + 16), get16 (tcp + 2) },
    .sequence = get32 (tcp + 4),
    .acknowledgement = get32 (tcp + 8),
    .flags = tcp[13],
    .payload = tcp + header,
    .length = bytes - header,
  };
  return true;
}

void
bb_standin_send_segment (int fd, struct bb_endpoint to,
                         const struct bb_segment *s)
{
  uint8_t packet[BB_STANDIN_DATAGRAM_MAX] = { 0x45 };
  uint8_t *tcp = packet + IPV4_HEADER;
  size_t bytes = TCP_HEADER + s->length;
  put16 (packet + 2, (uint32_t)(IPV4_HEADER + bytes));
  packet[6] = 0x40; /* don't fragment */
  packet[8] = 64;   /* time to live */
  packet[9] = IPPROTO_TCP;
  put32 (packet + 12, s->source.address);
  put32 (packet + 16, s->destination.address);
  put16 (packet + 10, checksum (packet, IPV4_HEADER, 0));
  put16 (tcp, s->source.port);
  put16 (tcp + 2, s->destination.port);
  put32 (tcp + 4, s->sequence);
  put32 (tcp + 8, s->acknowledgement);
  tcp[12] = TCP_HEADER / 4 << 4;
  tcp[13] = s->flags;
  put16 (tcp + 14, 65535); /* window */
  if (s->length)
    memcpy (tcp + TCP_HEADER, s->payload, s->length);
  uint32_t pseudo = IPPROTO_TCP + (uint32_t)bytes;
  put16 (tcp + 16, checksum (packet + 12, 8 + bytes, pseudo));
  bb_standin_send_packet (fd, to, packet, IPV4_HEADER + bytes);
}

bool
bb_standin_sequence_precedes (uint32_t a, uint32_t b)
{
  return (int32_t)(a - b) < 0;
}
