/* Parses IPv4 packets with a TCP or UDP header.  A packet whose lengths do not
   fit each other or the buffer is dropped, so that nothing is read past its
   end.  */

#include "core/bytes.h"
#include "core/core.h"
#include <netinet/in.h>

enum
{
  IPV4_HEADER_MIN = 20,
  TCP_HEADER_MIN = 20,
  UDP_HEADER = 8,
  FRAGMENT_MASK = 0x3fff, /* flag "more fragments" and fragment offset */
};

static enum bb_drop
parse_tcp (const uint8_t *data, size_t length, struct bb_packet *packet)
{
  if (length < TCP_HEADER_MIN)
    return BB_DROP_TRUNCATED;
  size_t header = (size_t)(data[12] >> 4) * 4;
  if (header < TCP_HEADER_MIN || header > length)
    return BB_DROP_TRUNCATED;
  packet->sequence = bb_load32 (data + 4);
  packet->acknowledgement = bb_load32 (data + 8);
  packet->tcp_flags = data[13];
  packet->payload = (uint16_t)(length - header);
  if ((packet->tcp_flags & BB_TCP_SYN) && packet->payload > 0)
    return BB_DROP_SYN_PAYLOAD;
  return BB_DROP_NONE;
}

static enum bb_drop
parse_udp (const uint8_t *data, size_t length, struct bb_packet *packet)
{
  if (length < UDP_HEADER)
    return BB_DROP_TRUNCATED;
  size_t udp_length = bb_load16 (data + 4);
  if (udp_length < UDP_HEADER || udp_length > length)
    return BB_DROP_TRUNCATED;
  packet->sequence = 0;
  packet->acknowledgement = 0;
  packet->tcp_flags = 0;
  packet->payload = (uint16_t)(length - UDP_HEADER);
  return BB_DROP_NONE;
}

enum bb_drop
bb_packet_parse (const uint8_t *data, size_t length, struct bb_packet *packet)
{
  if (length < IPV4_HEADER_MIN)
    return length > 0 && data[0] >> 4 != 4 ? BB_DROP_NOT_IPV4
                                           : BB_DROP_TRUNCATED;
  if (data[0] >> 4 != 4)
    return BB_DROP_NOT_IPV4;
  size_t header = (size_t)(data[0] & 15) * 4;
  size_t total = bb_load16 (data + 2);
  if (header < IPV4_HEADER_MIN || header > total || total > length)
    return BB_DROP_TRUNCATED;
  if (bb_load16 (data + 6) & FRAGMENT_MASK)
    return BB_DROP_FRAGMENT;

  packet->protocol = data[9];
  packet->source = bb_load32 (data + 12);
  packet->destination = bb_load32 (data + 16);
  if (packet->protocol != IPPROTO_TCP && packet->protocol != IPPROTO_UDP)
    return BB_DROP_PROTOCOL;
  const uint8_t *transport = data + header;
  size_t rest = total - header;
  if (rest < 4)
    return BB_DROP_TRUNCATED;
  packet->source_port = bb_load16 (transport);
  packet->destination_port = bb_load16 (transport + 2);
  return packet->protocol == IPPROTO_TCP ? parse_tcp (transport, rest, packet)
                                         : parse_udp (transport, rest, packet);
}
