#include "tests/suite.h"
#include "wire/wire.h"
#include <string.h>

static const uint32_t bits[] = { 1, 0xffffffff, 77 };
static const int32_t counts[] = { 0, -3, INT32_MAX, INT32_MIN, 200 };
static const uint8_t bytes[] = "{\"version\": 3}";
static const struct bb_vm vms[] = {
  { .name = "entry-1",
    .data_centre = "north",
    .data = { 0x7f000001, 6080 },
    .control = { 0x7f000001, 6081 },
    .state = BB_VM_LEAVING },
  { .name = "entry-2", .data_centre = "north", .data = { 0xffffffff, 65535 } },
};
static const struct bb_entry entries[] = {
  { .hash = UINT64_MAX, .server = 9, .state = 3 },
  { .hash = 0, .server = UINT32_MAX, .state = 0 },
};
static const struct bb_default_set_member members[] = {
  { 1, 2, { 0x0a000001, 6080 }, 1000, 0, 4093, 7 },
  { 1, 3, { 0x0a000002, 6080 }, 0, 1, 4093, UINT64_MAX },
};

static const struct bb_message messages[] = {
  { .kind = BB_MESSAGE_HEARTBEAT,
    .from = 7,
    .u.heartbeat = { .incarnation = UINT64_MAX,
                     .state = BB_PEER_LEAVING,
                     .versions = { 1, 1ULL << 40, 0 },
                     .generation = 5,
                     .phase = BB_PHASE_RESOLVE,
                     .default_set_digest = 0xdeadbeef,
                     .bits_sequence = 12,
                     .bits = bits,
                     .bit_count = 3,
                     .acknowledged = 11,
                     .replicated = true,
                     .counts_digest = 99,
                     .counts = counts,
                     .count_count = 5,
                     .members_digest = 4 } },
  { .kind = BB_MESSAGE_HEARTBEAT, .from = 1 },
  { .kind = BB_MESSAGE_MEMBERS, .from = 2, .u.members = { vms, 2 } },
  { .kind = BB_MESSAGE_DOCUMENT_REQUEST,
    .from = 3,
    .u.document_request = { BB_DOCUMENT_VMS, 8, 16384 } },
  { .kind = BB_MESSAGE_DOCUMENT,
    .from = 4,
    .u.document = { BB_DOCUMENT_OVERLAY, 3, 10, 24, bytes, 14 } },
  { .kind = BB_MESSAGE_ENTRIES, .from = 5, .u.entries = { 17, entries, 2 } },
  { .kind = BB_MESSAGE_ENTRIES_ACK, .from = 6, .u.entries_ack = { 17 } },
  { .kind = BB_MESSAGE_DEFAULT_SET,
    .from = 8,
    .u.default_set = { .origin = 1ULL << 50,
                       .generation = 2,
                       .phase = BB_PHASE_PREPARE,
                       .digest = 6,
                       .members = members,
                       .member_count = 2 } },
};

/* Guards against a field that is encoded but not decoded, or decoded in
   another order: a decoded message must encode to the same bytes.  */
START_TEST (decoded_message_encodes_to_the_same_bytes)
{
  GByteArray *once = bb_wire_encode (&messages[_i]);
  struct bb_decoded_message decoded;
  ck_assert (bb_wire_decode (once->data, once->len, &decoded, NULL));
  GByteArray *again = bb_wire_encode (&decoded.message);
  ck_assert_uint_eq (once->len, again->len);
  ck_assert_mem_eq (once->data, again->data, once->len);
  ck_assert_uint_eq (decoded.message.from, messages[_i].from);
  bb_decoded_message_clear (&decoded);
  g_byte_array_unref (once);
  g_byte_array_unref (again);
}
END_TEST

/* Guards against reads beyond the end of a message truncated at any byte.  The
   copy has the exact size, so that the sanitizer detects such a read.  */
START_TEST (truncated_message_is_refused)
{
  GByteArray *whole = bb_wire_encode (&messages[_i]);
  for (guint length = 0; length < whole->len; length++)
    {
      uint8_t *truncated = g_memdup2 (whole->data, length);
      struct bb_decoded_message decoded;
      GError *error = NULL;
      ck_assert (!bb_wire_decode (truncated, length, &decoded, &error));
      ck_assert (g_error_matches (error, BB_ERROR, BB_ERROR_PROTOCOL));
      g_error_free (error);
      g_free (truncated);
    }
  g_byte_array_unref (whole);
}
END_TEST

/* Guards against crashes and leaks on bytes that an attacker changed.  A
   changed message may be accepted or refused; if it is accepted, it must be
   possible to encode it.  */
START_TEST (changed_bytes_are_handled)
{
  GRand *random = g_rand_new_with_seed (4711);
  GByteArray *whole = bb_wire_encode (&messages[_i]);
  for (int round = 0; round < 5000; round++)
    {
      uint8_t *copy = g_memdup2 (whole->data, whole->len);
      int changes = g_rand_int_range (random, 1, 4);
      for (int c = 0; c < changes; c++)
        copy[g_rand_int_range (random, 0, (int)whole->len)]
            = (uint8_t)g_rand_int (random);
      struct bb_decoded_message decoded;
      if (bb_wire_decode (copy, whole->len, &decoded, NULL))
        g_byte_array_unref (bb_wire_encode (&decoded.message));
      bb_decoded_message_clear (&decoded);
      g_free (copy);
    }
  g_byte_array_unref (whole);
  g_rand_free (random);
}
END_TEST

static const struct
{
  const char *guard;
  const char *data;
  size_t length;
  bool accepted;
} raw[] = {
  { "an empty message", "", 0, false },
  { "a message that is not an array", "\x01", 1, false },
  { "an empty array", "\x90", 1, false },
  { "another protocol version", "\x94\x02\x06\x01\x01", 5, false },
  { "a version that is not an integer", "\x94\xa1x\x06\x01\x01", 6, false },
  { "kind 0", "\x94\x01\x00\x01\x01", 5, false },
  { "an unknown kind", "\x94\x01\x63\x01\x01", 5, false },
  { "a sender of more than 32 bits", "\x94\x01\x06\xcf\0\0\0\1\0\0\0\0\x01",
    13, false },
  { "an acknowledgement of entries", "\x94\x01\x06\x01\x11", 5, true },
  { "a newer sender with more elements",
    "\x97\x01\x06\x01\x11\xa2zz\x91\x01\x81\x01\x02", 13, true },
  { "bytes after the message", "\x94\x01\x06\x01\x11\x00", 6, false },
  { "a negative batch", "\x94\x01\x06\x01\xff", 5, false },
  { "an array header of 4 G elements", "\xdd\xff\xff\xff\xff", 5, false },
  { "a map header of 4 G elements", "\xdf\xff\xff\xff\xff", 5, false },
  { "a nested array header of 4 G elements",
    "\x95\x01\x05\x01\x01\xdd\xff\xff\xff\xff", 10, false },
  { "a string longer than the message", "\x95\x01\xdb\xff\xff\xff\xff", 7,
    false },
  { "entry elements that are not a multiple of three",
    "\x95\x01\x05\x01\x01\x92\x01\x02", 8, false },
  { "a request for an unknown document", "\x96\x01\x03\x01\x03\x01\x00", 7,
    false },
  { "a chunk that ends after the document",
    "\x98\x01\x04\x01\x00\x01\x05\x06\xc4\x02zz", 12, false },
  { "a VM without a name", "\x94\x01\x02\x01\x91\x97\xa0\xa1x\1\1\1\1\0", 14,
    false },
  { "a VM name with a NUL", "\x94\x01\x02\x01\x91\x97\xa2x\0\xa1x\1\1\1\1\0",
    16, false },
};

/* Guards against accepting or refusing the input of a row wrongly.  */
START_TEST (raw_bytes_are_validated)
{
  uint8_t *copy = g_memdup2 (raw[_i].data, raw[_i].length);
  struct bb_decoded_message decoded;
  bool ok = bb_wire_decode (copy, raw[_i].length, &decoded, NULL);
  ck_assert_msg (ok == raw[_i].accepted, "%s", raw[_i].guard);
  bb_decoded_message_clear (&decoded);
  g_free (copy);
}
END_TEST

/* Guards against unbounded memory use: a message with more bytes, or more
   entries, than the limits.  */
START_TEST (oversized_message_is_refused)
{
  uint8_t *large = g_malloc0 (BB_WIRE_MESSAGE_MAX + 1);
  struct bb_decoded_message decoded;
  GError *error = NULL;
  ck_assert (
      !bb_wire_decode (large, BB_WIRE_MESSAGE_MAX + 1, &decoded, &error));
  ck_assert (g_error_matches (error, BB_ERROR, BB_ERROR_TOO_LARGE));
  g_error_free (error);
  struct bb_message m = { .kind = BB_MESSAGE_DOCUMENT };
  m.u.document = (struct bb_document){ .total = BB_DOCUMENT_MAX,
                                       .bytes = large,
                                       .length = BB_CHUNK_MAX + 1 };
  GByteArray *chunk = bb_wire_encode (&m);
  ck_assert (!bb_wire_decode (chunk->data, chunk->len, &decoded, NULL));
  struct bb_entry many[BB_ENTRIES_PER_MESSAGE + 1] = { 0 };
  m = (struct bb_message){ .kind = BB_MESSAGE_ENTRIES };
  m.u.entries.entries = many;
  m.u.entries.entry_count = BB_ENTRIES_PER_MESSAGE + 1;
  GByteArray *list = bb_wire_encode (&m);
  ck_assert (!bb_wire_decode (list->data, list->len, &decoded, NULL));
  g_byte_array_unref (chunk);
  g_byte_array_unref (list);
  g_free (large);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("message");
  TCase *t = tcase_create ("codec");
  int count = G_N_ELEMENTS (messages);
  tcase_add_loop_test (t, decoded_message_encodes_to_the_same_bytes, 0, count);
  tcase_add_loop_test (t, truncated_message_is_refused, 0, count);
  tcase_add_loop_test (t, changed_bytes_are_handled, 0, count);
  tcase_add_loop_test (t, raw_bytes_are_validated, 0, G_N_ELEMENTS (raw));
  tcase_add_test (t, oversized_message_is_refused);
  suite_add_tcase (s, t);
  return run_suite (s);
}
