/* Encodes and decodes GUE headers and TCP resets.  Headers come from the
   network: one with an unknown version, flag or payload type is rejected.  */

#include "core/bytes.h"
#include "wire/wire.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>

enum
{
  GUE_CONTROL = 0x20,
  GUE_LENGTH_MASK = 0x1f, /* bits of the header length, in 32-bit words */
  GUE_VERSION_SHIFT = 6,
  IPV4_HEADER = 20,
  TCP_HEADER = 20
};

size_t
bb_gue_encode (uint8_t *data, const struct bb_handover *handover)
{
  data[0] = handover ? BB_GUE_HANDOVER / 4 : 0;
  data[1] = BB_GUE_PROTO_IPV4;
  bb_store16 (data + 2, 0);
  if (!handover)
    return BB_GUE_HEADER;
  uint8_t *p = data + BB_GUE_HEADER;
  p[0] = handover->hops;
  p[1] = handover->flags;
  bb_store16 (p + 2, 0);
  bb_store32 (p + 4, handover->server);
  for (int i = 0; i < BB_HOPS_MAX; i++)
    bb_store16 (p + 8 + 2 * i, handover->visited[i]);
  return BB_GUE_HEADER + BB_GUE_HANDOVER;
}

static void
decode_handover (const uint8_t *p, struct bb_handover *handover)
{
  handover->hops = p[0];
  handover->flags = p[1];
  handover->server = bb_load32 (p + 4);
  for (int i = 0; i < BB_HOPS_MAX; i++)
    handover->visited[i] = bb_load16 (p + 8 + 2 * i);
}

/* Section 3.2 of the draft requires that packets with unknown flags are
   dropped, and this decoder supports no flags.  Private data whose length
   differs from that of a hand-over is in a foreign format and is skipped.  */
enum bb_drop
bb_gue_decode (const uint8_t *data, size_t length, size_t *header,
               bool *has_handover, struct bb_handover *handover)
{
  *header = 0;
  *has_handover = false;
  if (length < BB_GUE_HEADER)
    return BB_DROP_TRUNCATED;
  if (bb_load32 (data) == BB_GUE_PROTO_IPV4 << 16)
    {
      /* Common case: the fabric sends neither private data nor flags.  */
      *header = BB_GUE_HEADER;
      return BB_DROP_NONE;
    }
  if (data[0] >> GUE_VERSION_SHIFT != 0)
    return BB_DROP_GUE_VERSION;
  if (data[0] & GUE_CONTROL || bb_load16 (data + 2) != 0)
    return BB_DROP_PROTOCOL;
  if (data[1] != BB_GUE_PROTO_IPV4)
    return BB_DROP_NOT_IPV4;
  size_t private = 4 * (size_t)(data[0] & GUE_LENGTH_MASK);
  if (length < BB_GUE_HEADER + private)
    return BB_DROP_TRUNCATED;
  *header = BB_GUE_HEADER + private;
  if (private == BB_GUE_HANDOVER)
    {
      *has_handover = true;
      decode_handover (data + BB_GUE_HEADER, handover);
    }
  return BB_DROP_NONE;
}

static uint32_t
sum16 (const uint8_t *data, size_t length, uint32_t sum)
{
  for (size_t i = 0; i + 1 < length; i += 2)
    sum += bb_load16 (data + i);
  return sum;
}

static uint16_t
checksum (uint32_t sum)
{
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)~sum;
}

static void
write_checksums (uint8_t *ip)
{
  uint8_t *tcp = ip + IPV4_HEADER;
  bb_store16 (ip + 10, checksum (sum16 (ip, IPV4_HEADER, 0)));
  uint32_t pseudo = sum16 (ip + 12, 8, IPPROTO_TCP + TCP_HEADER);
  bb_store16 (tcp + 16, checksum (sum16 (tcp, TCP_HEADER, pseudo)));
}

/* Writes sequence numbers and flags that the receiver accepts.  Towards the
   caller they follow RFC 9293, section 3.10.7.1.  Towards the server they are
   those with which the caller would abort the connection, at the first octet
   of PACKET, which is a retransmission.  */
static void
write_reset_numbers (uint8_t *tcp, const struct bb_packet *packet,
                     bool to_caller)
{
  bool has_ack = packet->tcp_flags & BB_TCP_ACK;
  uint32_t sequence = packet->sequence;
  uint32_t acknowledgement = has_ack ? packet->acknowledgement : 0;
  uint8_t flags = has_ack ? BB_TCP_RST | BB_TCP_ACK : BB_TCP_RST;
  if (to_caller && has_ack)
    {
      sequence = packet->acknowledgement;
      acknowledgement = 0;
      flags = BB_TCP_RST;
    }
  else if (to_caller)
    {
      acknowledgement = packet->sequence + packet->payload
                        + !!(packet->tcp_flags & BB_TCP_SYN)
                        + !!(packet->tcp_flags & BB_TCP_FIN);
      sequence = 0;
      flags = BB_TCP_RST | BB_TCP_ACK;
    }
  bb_store32 (tcp + 4, sequence);
  bb_store32 (tcp + 8, acknowledgement);
  tcp[13] = flags;
}

size_t
bb_wire_encode_reset (uint8_t *data, const struct bb_packet *packet,
                      bool to_caller)
{
  if (packet->protocol != IPPROTO_TCP
      || (to_caller && packet->tcp_flags & BB_TCP_RST))
    return 0;
  uint8_t *tcp = data + IPV4_HEADER;
  memset (data, 0, IPV4_HEADER + TCP_HEADER);
  data[0] = 0x45; /* IP version 4, header of 5 words */
  bb_store16 (data + 2, IPV4_HEADER + TCP_HEADER);
  data[6] = 0x40; /* do not fragment */
  data[8] = 64;   /* time to live, hops */
  data[9] = IPPROTO_TCP;
  bb_store32 (data + 12, to_caller ? packet->destination : packet->source);
  bb_store32 (data + 16, to_caller ? packet->source : packet->destination);
  bb_store16 (tcp, to_caller ? packet->destination_port : packet->source_port);
  bb_store16 (tcp + 2,
              to_caller ? packet->source_port : packet->destination_port);
  tcp[12] = TCP_HEADER / 4 << 4;
  write_reset_numbers (tcp, packet, to_caller);
  write_checksums (data);
  return IPV4_HEADER + TCP_HEADER;
}
