/* Wire formats: GUE headers of packets, TCP resets, and messages between
   balancers on the GUE transport.  Everything decoded here comes from the
   network and is checked before it is used.  */

#ifndef BB_WIRE_WIRE_H
#define BB_WIRE_WIRE_H

#include "core/core.h"

enum
{
  BB_GUE_HEADER = 4,     /* bytes without private data */
  BB_GUE_HANDOVER = 16,  /* bytes of private data that carry a hand-over */
  BB_GUE_PROTO_IPV4 = 4, /* "proto/ctype" of an IPv4 payload */
  BB_WIRE_VERSION = 1,   /* first element of every message */
  BB_WIRE_MESSAGE_MAX = 65536
};

/* Writes a header of GUE version 0 (draft-ietf-intarea-gue-09, section 3) to
   DATA, which has room for BB_GUE_HEADER + BB_GUE_HANDOVER bytes, and returns
   its length.  HANDOVER may be NULL.  */
size_t bb_gue_encode (uint8_t *data, const struct bb_handover *handover);

/* Decodes the header of a datagram.  Sets *HEADER to its length and
   *HAS_HANDOVER to whether it carries a hand-over, which is then stored in
   *HANDOVER.  Returns BB_DROP_NONE or the reason for dropping the
   datagram.  */
enum bb_drop bb_gue_decode (const uint8_t *data, size_t length, size_t *header,
                            bool *has_handover, struct bb_handover *handover);

/* Writes a TCP RST for the flow of PACKET as an IPv4 packet to DATA, which has
   room for 40 bytes, and returns 40.  If TO_CALLER is true, source and
   destination are swapped; otherwise the reset takes the direction of PACKET.
   Returns 0 and writes nothing if PACKET is not TCP, or if TO_CALLER is true
   and PACKET is itself a reset.  */
size_t bb_wire_encode_reset (uint8_t *data, const struct bb_packet *packet,
                             bool to_caller);

/* Encodes MESSAGE with msgpack; free the result with g_byte_array_unref.  */
GByteArray *bb_wire_encode (const struct bb_message *message);

/* A decoded message and the memory that holds its arrays.  */
struct bb_decoded_message
{
  struct bb_message message;
  void *arena; /* private */
};

/* Decodes LENGTH bytes.  Returns false with BB_ERROR_PROTOCOL or
   BB_ERROR_TOO_LARGE set if they are not a message of this protocol
   version.  */
bool bb_wire_decode (const uint8_t *data, size_t length,
                     struct bb_decoded_message *decoded, GError **error);
void bb_decoded_message_clear (struct bb_decoded_message *decoded);
#endif
