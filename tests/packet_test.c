#include "core/core.h"
#include "tests/suite.h"
#include <netinet/in.h>
#include <string.h>

enum
{
  BUFFER = 128,
  FUZZ_SEED = 20261204,
  FUZZ_ROUNDS = 400000,
};

/* Shape of a packet; a field of 0 stands for the valid value.  */
struct shape
{
  const char *name;
  int version;
  int ihl;          /* words of the IP header */
  int protocol;     /* default TCP */
  int fragment;     /* flags and offset */
  int flags;        /* of TCP */
  int offset;       /* words of the TCP header */
  int payload;      /* bytes */
  int padding;      /* bytes after the packet in the buffer */
  int missing;      /* bytes at the end that the buffer lacks */
  int total_change; /* added to the IP total length */
  int udp_change;   /* added to the UDP length */
  enum bb_drop expected;
  int expected_payload;
};

static const struct shape shapes[] = {
  { "plain SYN", .flags = BB_TCP_SYN },
  { "data", .flags = BB_TCP_ACK, .payload = 9, .expected_payload = 9 },
  { "IP options", .ihl = 15, .payload = 9, .expected_payload = 9 },
  { "TCP options", .offset = 15, .payload = 9, .expected_payload = 9 },
  { "SYN with options", .flags = BB_TCP_SYN, .offset = 10 },
  /* Ethernet pads short frames; the padding is not payload.  */
  { "padded SYN", .flags = BB_TCP_SYN, .padding = 6 },
  { "padded data", .payload = 3, .padding = 6, .expected_payload = 3 },
  { "SYN with payload", .flags = BB_TCP_SYN, .payload = 1,
    .expected = BB_DROP_SYN_PAYLOAD },
  { "UDP", .protocol = IPPROTO_UDP, .payload = 5, .expected_payload = 5 },
  { "empty UDP", .protocol = IPPROTO_UDP },
  { "UDP longer than IP", .protocol = IPPROTO_UDP, .udp_change = 1,
    .expected = BB_DROP_TRUNCATED },
  { "UDP length under 8", .protocol = IPPROTO_UDP, .udp_change = -1,
    .expected = BB_DROP_TRUNCATED },
  { "first fragment", .fragment = 0x2000, .expected = BB_DROP_FRAGMENT },
  { "last fragment", .fragment = 1, .expected = BB_DROP_FRAGMENT },
  { "don't fragment", .fragment = 0x4000 },
  { "ICMP", .protocol = IPPROTO_ICMP, .expected = BB_DROP_PROTOCOL },
  { "IPv6", .version = 6, .expected = BB_DROP_NOT_IPV4 },
  { "short IPv6", .version = 6, .missing = 39, .expected = BB_DROP_NOT_IPV4 },
  { "empty", .missing = 40, .expected = BB_DROP_TRUNCATED },
  { "cut IP header", .missing = 21, .expected = BB_DROP_TRUNCATED },
  { "cut TCP header", .missing = 1, .expected = BB_DROP_TRUNCATED },
  { "cut payload", .payload = 9, .missing = 1, .expected = BB_DROP_TRUNCATED },
  { "IP header under 5 words", .ihl = 4, .expected = BB_DROP_TRUNCATED },
  { "total under IP header", .total_change = -21,
    .expected = BB_DROP_TRUNCATED },
  { "total without ports", .total_change = -17,
    .expected = BB_DROP_TRUNCATED },
  { "total cuts TCP", .total_change = -1, .expected = BB_DROP_TRUNCATED },
  { "TCP header under 5 words", .offset = 4, .expected = BB_DROP_TRUNCATED },
  { "TCP options missing", .offset = 6, .total_change = -1,
    .expected = BB_DROP_TRUNCATED },
};

static void
put16 (uint8_t *p, int v)
{
  p[0] = (uint8_t)(v >> 8);
  p[1] = (uint8_t)v;
}

/* Writes the packet of S to DATA and returns its length.  */
static size_t
build_packet (uint8_t *data, const struct shape *s)
{
  static const uint8_t ends[] = { 10, 0, 0, 1, 192, 0, 2, 200 };
  static const uint8_t head[]
      = { 0xab, 0xcd, 0x01, 0xbb, 0x80, 1, 2, 3, 0x90, 4, 5, 6 };
  int ihl = s->ihl ? s->ihl : 5;
  bool udp = s->protocol == IPPROTO_UDP;
  int transport = udp ? 8 : 4 * (s->offset ? s->offset : 5);
  int start = 4 * MAX (ihl, 5);
  int total = start + MAX (transport, udp ? 8 : 20) + s->payload;
  memset (data, 0, BUFFER);
  data[0] = (uint8_t)((s->version ? s->version : 4) << 4 | ihl);
  put16 (data + 2, total + s->total_change);
  put16 (data + 6, s->fragment);
  data[9] = (uint8_t)(s->protocol ? s->protocol : IPPROTO_TCP);
  memcpy (data + 12, ends, sizeof ends);
  memcpy (data + start, head, sizeof head);
  if (udp)
    put16 (data + start + 4, 8 + s->payload + s->udp_change);
  else
    {
      data[start + 12] = (uint8_t)(transport / 4 << 4);
      data[start + 13] = (uint8_t)s->flags;
    }
  return (size_t)(total + s->padding - s->missing);
}

/* Guards against wrong lengths, misplaced fields, and loads that need an
   alignment: each shape is parsed at every offset from 0 to 7.  */
START_TEST (shapes_are_parsed)
{
  const struct shape *s = &shapes[_i];
  uint8_t built[BUFFER];
  size_t length = build_packet (built, s);
  for (size_t shift = 0; shift < 8; shift++)
    {
      /* Allocated to the exact size, so that AddressSanitizer reports a read
         past the end.  */
      uint8_t *memory = g_malloc (length + shift + 1);
      uint8_t *data = memory + 1 + shift;
      memcpy (data, built, length);
      struct bb_packet p = { 0 };
      enum bb_drop got = bb_packet_parse (data, length, &p);
      ck_assert_msg (got == s->expected, "%s: got %s", s->name,
                     bb_drop_name (got));
      if (got == BB_DROP_NONE)
        {
          ck_assert_uint_eq (p.source, 0x0a000001);
          ck_assert_uint_eq (p.destination, 0xc00002c8);
          ck_assert_uint_eq (p.source_port, 0xabcd);
          ck_assert_uint_eq (p.destination_port, 443);
          ck_assert_int_eq (p.payload, s->expected_payload);
          ck_assert_int_eq (p.tcp_flags, s->flags);
          bool tcp = p.protocol == IPPROTO_TCP;
          ck_assert_uint_eq (p.sequence, tcp ? 0x80010203 : 0);
          ck_assert_uint_eq (p.acknowledgement, tcp ? 0x90040506 : 0);
        }
      g_free (memory);
    }
}
END_TEST

/* Guards against a read past the end and against a payload that exceeds the
   packet, for arbitrary bytes.  */
START_TEST (mutated_packets_stay_in_bounds)
{
  GRand *rand = g_rand_new_with_seed (FUZZ_SEED);
  for (int i = 0; i < FUZZ_ROUNDS; i++)
    {
      const struct shape *s
          = &shapes[g_rand_int_range (rand, 0, G_N_ELEMENTS (shapes))];
      uint8_t built[BUFFER];
      size_t length = build_packet (built, s);
      for (int n = g_rand_int_range (rand, 0, 5); n > 0; n--)
        built[g_rand_int_range (rand, 0, 64)] = (uint8_t)g_rand_int (rand);
      length = (size_t)g_rand_int_range (rand, 0, (int)length + 1);
      uint8_t *data = g_memdup2 (built, length);
      struct bb_packet p = { 0 };
      enum bb_drop got = bb_packet_parse (data, length, &p);
      ck_assert_int_lt (got, BB_DROP_KINDS);
      if (got == BB_DROP_NONE)
        ck_assert_uint_le (p.payload + 28U, length);
      g_free (data);
    }
  g_rand_free (rand);
}
END_TEST

/* Guards against a kind that was added without its name, and against two kinds
   with one name, which metrics would add up.  */
START_TEST (names_are_complete_and_distinct)
{
  GHashTable *seen = g_hash_table_new (g_str_hash, g_str_equal);
  for (int i = 0; i < BB_DROP_KINDS; i++)
    ck_assert (g_hash_table_add (seen, (void *)bb_drop_name (i)));
  g_hash_table_remove_all (seen);
  for (int i = 0; i < BB_EVENT_KINDS; i++)
    ck_assert (g_hash_table_add (seen, (void *)bb_event_name (i)));
  g_hash_table_destroy (seen);
  ck_assert_str_eq (bb_drop_name (BB_DROP_KINDS), "unknown");
  ck_assert_str_eq (bb_event_name (BB_EVENT_KINDS), "unknown");
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("packet");
  TCase *t = tcase_create ("parse");
  tcase_add_loop_test (t, shapes_are_parsed, 0, G_N_ELEMENTS (shapes));
  tcase_add_test (t, mutated_packets_stay_in_bounds);
  tcase_add_test (t, names_are_complete_and_distinct);
  suite_add_tcase (s, t);
  return run_suite (s);
}
