#include "wire/wire.h"
#include <arpa/inet.h>
#include <check.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

static const struct bb_handover sample = {
  .hops = 2,
  .flags = BB_HAND_RECORD | BB_HAND_REPEAT,
  .server = 0x89abcdef,
  .visited = { 0x1234, 0xfedc, 0, 0xffff },
};

/* Guards against a plain header that is not the four octets that a kernel's
   GUE receive port expects.  */
START_TEST (plain_header_is_four_octets)
{
  uint8_t data[64];
  const uint8_t expected[] = { 0, 4, 0, 0 };
  ck_assert_uint_eq (bb_gue_encode (data, NULL), sizeof expected);
  ck_assert_mem_eq (data, expected, sizeof expected);
}
END_TEST

/* Guards against host byte order in the private data, which balancers of
   different builds exchange.  */
START_TEST (handover_has_fixed_octets)
{
  uint8_t data[64];
  const uint8_t expected[]
      = { 4,    4,    0,    0,    2,    5,    0, 0, 0x89, 0xab,
          0xcd, 0xef, 0x12, 0x34, 0xfe, 0xdc, 0, 0, 0xff, 0xff };
  ck_assert_uint_eq (bb_gue_encode (data, &sample), sizeof expected);
  ck_assert_mem_eq (data, expected, sizeof expected);
}
END_TEST

/* Guards against a hand-over that loses a field in encoding or decoding.  */
START_TEST (handover_survives_the_round_trip)
{
  uint8_t data[64];
  struct bb_handover decoded;
  size_t header;
  bool handed;
  size_t length = bb_gue_encode (data, &sample);
  ck_assert_int_eq (bb_gue_decode (data, length, &header, &handed, &decoded),
                    BB_DROP_NONE);
  ck_assert (handed);
  ck_assert_uint_eq (header, length);
  ck_assert_int_eq (decoded.hops, sample.hops);
  ck_assert_int_eq (decoded.flags, sample.flags);
  ck_assert_uint_eq (decoded.server, sample.server);
  ck_assert_mem_eq (decoded.visited, sample.visited, sizeof decoded.visited);
}
END_TEST

/* Guards against accepting a header that is truncated, of another version, or
   has flags or a payload type that the decoder does not know.  */
static const struct
{
  uint8_t first, protocol, flags_high, flags_low;
  uint8_t length;
  uint8_t drop; /* enum bb_drop */
  uint8_t header;
  bool handed;
} headers[] = {
  { 0, 4, 0, 0, 0, BB_DROP_TRUNCATED, 0, false },
  { 0, 4, 0, 0, 3, BB_DROP_TRUNCATED, 0, false },
  { 0, 4, 0, 0, 4, BB_DROP_NONE, 4, false },
  { 0, 4, 0, 0, 44, BB_DROP_NONE, 4, false },
  { 4, 4, 0, 0, 19, BB_DROP_TRUNCATED, 0, false },
  { 4, 4, 0, 0, 20, BB_DROP_NONE, 20, true },
  { 1, 4, 0, 0, 7, BB_DROP_TRUNCATED, 0, false },
  { 1, 4, 0, 0, 44, BB_DROP_NONE, 8, false },
  { 3, 4, 0, 0, 44, BB_DROP_NONE, 16, false },
  { 5, 4, 0, 0, 44, BB_DROP_NONE, 24, false },
  { 31, 4, 0, 0, 127, BB_DROP_TRUNCATED, 0, false },
  { 31, 4, 0, 0, 128, BB_DROP_NONE, 128, false },
  { 0x40, 4, 0, 0, 44, BB_DROP_GUE_VERSION, 0, false },
  { 0x45, 4, 0, 0, 44, BB_DROP_GUE_VERSION, 0, false },
  { 0x80, 4, 0, 0, 44, BB_DROP_GUE_VERSION, 0, false },
  { 0xc0, 4, 0, 0, 44, BB_DROP_GUE_VERSION, 0, false },
  { 0x20, 4, 0, 0, 44, BB_DROP_PROTOCOL, 0, false },
  { 0, 4, 0x80, 0, 44, BB_DROP_PROTOCOL, 0, false },
  { 0, 4, 0, 1, 44, BB_DROP_PROTOCOL, 0, false },
  { 0, 41, 0, 0, 44, BB_DROP_NOT_IPV4, 0, false },
  { 0, 0, 0, 0, 44, BB_DROP_NOT_IPV4, 0, false },
  { 0, 6, 0, 0, 44, BB_DROP_NOT_IPV4, 0, false },
};

START_TEST (headers_are_validated)
{
  /* Allocated at the exact length of the datagram, so that the sanitizer
     detects a read past its end.  */
  const uint8_t full[128] = { headers[_i].first, headers[_i].protocol,
                              headers[_i].flags_high, headers[_i].flags_low };
  uint8_t *data = g_memdup2 (full, headers[_i].length);
  struct bb_handover decoded;
  size_t header;
  bool handed;
  ck_assert_int_eq (
      bb_gue_decode (data, headers[_i].length, &header, &handed, &decoded),
      headers[_i].drop);
  ck_assert_uint_eq (header, headers[_i].header);
  ck_assert_int_eq (handed, headers[_i].handed);
  g_free (data);
}
END_TEST

static uint32_t
read32 (const uint8_t *data)
{
  return (uint32_t)data[0] << 24 | data[1] << 16 | data[2] << 8 | data[3];
}

static uint16_t
folded_sum (const uint8_t *data, size_t length, uint32_t sum)
{
  for (size_t i = 0; i < length; i += 2)
    sum += (uint32_t)(data[i] << 8 | data[i + 1]);
  while (sum >> 16)
    sum = (sum & 0xffff) + (sum >> 16);
  return (uint16_t)sum;
}

/* Guards against a reset that its receiver ignores because of its sequence
   numbers.  Towards the caller they follow RFC 9293, section 3.10.7.1; towards
   the server they are the caller's own.  */
static const struct
{
  uint8_t flags;
  uint32_t sequence, acknowledgement;
  uint16_t payload;
  bool to_caller;
  uint8_t reset_flags;
  uint32_t reset_sequence, reset_acknowledgement;
} resets[] = {
  { BB_TCP_SYN, 1000, 0, 0, true, BB_TCP_RST | BB_TCP_ACK, 0, 1001 },
  { BB_TCP_SYN, 1000, 77, 0, true, BB_TCP_RST | BB_TCP_ACK, 0, 1001 },
  { BB_TCP_SYN, 0xffffffff, 0, 0, true, BB_TCP_RST | BB_TCP_ACK, 0, 0 },
  { BB_TCP_SYN, 1000, 0, 10, true, BB_TCP_RST | BB_TCP_ACK, 0, 1011 },
  { BB_TCP_FIN, 1000, 0, 10, true, BB_TCP_RST | BB_TCP_ACK, 0, 1011 },
  { 0, 1000, 0, 10, true, BB_TCP_RST | BB_TCP_ACK, 0, 1010 },
  { BB_TCP_ACK, 1000, 5000, 100, true, BB_TCP_RST, 5000, 0 },
  { BB_TCP_ACK | BB_TCP_FIN, 1000, 5000, 0, true, BB_TCP_RST, 5000, 0 },
  { BB_TCP_ACK, 1000, 5000, 100, false, BB_TCP_RST | BB_TCP_ACK, 1000, 5000 },
  { BB_TCP_SYN, 1000, 0, 0, false, BB_TCP_RST, 1000, 0 },
};

START_TEST (resets_are_accepted)
{
  struct bb_packet packet = { .source = 0xc6120105,
                              .destination = 0xcb007107,
                              .source_port = 40001,
                              .destination_port = 443,
                              .protocol = IPPROTO_TCP,
                              .tcp_flags = resets[_i].flags,
                              .payload = resets[_i].payload,
                              .sequence = resets[_i].sequence,
                              .acknowledgement = resets[_i].acknowledgement };
  uint8_t d[40];
  bool back = resets[_i].to_caller;
  ck_assert_uint_eq (bb_wire_encode_reset (d, &packet, back), 40);
  ck_assert_int_eq (d[0], 0x45);
  ck_assert_int_eq (d[2] << 8 | d[3], 40);
  ck_assert_int_eq (d[9], IPPROTO_TCP);
  ck_assert_uint_eq (read32 (d + 12), back ? 0xcb007107 : 0xc6120105);
  ck_assert_uint_eq (read32 (d + 16), back ? 0xc6120105 : 0xcb007107);
  ck_assert_int_eq (d[20] << 8 | d[21], back ? 443 : 40001);
  ck_assert_int_eq (d[22] << 8 | d[23], back ? 40001 : 443);
  ck_assert_uint_eq (read32 (d + 24), resets[_i].reset_sequence);
  ck_assert_uint_eq (read32 (d + 28), resets[_i].reset_acknowledgement);
  ck_assert_int_eq (d[32], 0x50);
  ck_assert_int_eq (d[33], resets[_i].reset_flags);
  /* Including a correct checksum, the sum is all ones.  */
  ck_assert_uint_eq (folded_sum (d, 20, 0), 0xffff);
  ck_assert_uint_eq (folded_sum (d + 12, 28, IPPROTO_TCP + 20), 0xffff);
}
END_TEST

/* Guards against two ends that answer each other's resets endlessly.  */
START_TEST (no_reset_answers_a_reset_or_a_datagram)
{
  struct bb_packet packet
      = { .protocol = IPPROTO_TCP, .tcp_flags = BB_TCP_RST | BB_TCP_ACK };
  uint8_t d[40];
  ck_assert_uint_eq (bb_wire_encode_reset (d, &packet, true), 0);
  packet = (struct bb_packet){ .protocol = IPPROTO_UDP };
  ck_assert_uint_eq (bb_wire_encode_reset (d, &packet, true), 0);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("gue");
  TCase *t = tcase_create ("headers");
  tcase_add_test (t, plain_header_is_four_octets);
  tcase_add_test (t, handover_has_fixed_octets);
  tcase_add_test (t, handover_survives_the_round_trip);
  tcase_add_loop_test (t, headers_are_validated, 0, G_N_ELEMENTS (headers));
  tcase_add_loop_test (t, resets_are_accepted, 0, G_N_ELEMENTS (resets));
  tcase_add_test (t, no_reset_answers_a_reset_or_a_datagram);
  suite_add_tcase (s, t);
  SRunner *r = srunner_create (s);
  srunner_run_all (r, CK_ENV);
  int failed = srunner_ntests_failed (r);
  srunner_free (r);
  return failed ? EXIT_FAILURE : EXIT_SUCCESS;
}
