/* Tests the packet format and the store entries against the examples in the
   users' documentation.  */

#include "platform/platform.h"
#include "tests/suite.h"
#include <string.h>

/* SYN from 100.64.0.7:40001 to 198.18.0.1:443, sequence number 0x11223344.  */
static const uint8_t syn[BB_PLATFORM_HEADER_SIZE] = {
  0x64, 0x40, 0x00, 0x07, 0x01, 0xbb, 0x9c, 0x41, 0xc6, 0x12, 0x00, 0x01,
  0x11, 0x22, 0x33, 0x44, 0x00, 0x00, 0x00, 0x00, 0xa1, 0xb2, 0xc3, 0xd5,
  0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x10, 0x00, 0x00, 0x00, 0x00, 0x00
};

static const uint8_t reset_of_syn[BB_PLATFORM_HEADER_SIZE] = {
  0xc6, 0x12, 0x00, 0x01, 0x9c, 0x41, 0x01, 0xbb, 0x64, 0x40, 0x00, 0x07,
  0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x00,
  0x00, 0x00, 0x00, 0x00, 0x00, 0x00, 0x08, 0x00, 0x00, 0x00, 0x00, 0x00
};

START_TEST (packet_example_is_decoded)
{
  struct bb_marked_packet m;
  uint8_t out[BB_PLATFORM_HEADER_SIZE];
  ck_assert_int_eq (bb_platform_transport.decode (syn, sizeof syn, &m),
                    BB_DROP_NONE);
  ck_assert_uint_eq (m.packet.source, 0x64400007);
  ck_assert_uint_eq (m.packet.source_port, 40001);
  ck_assert_uint_eq (m.packet.destination, 0xc6120001);
  ck_assert_uint_eq (m.packet.destination_port, 443);
  ck_assert_uint_eq (m.packet.sequence, 0x11223344);
  ck_assert_int_eq (m.packet.tcp_flags, BB_TCP_SYN);
  ck_assert_uint_eq (m.cookie, 0);
  ck_assert_uint_eq (bb_platform_transport.write_reset (out, &m), sizeof out);
  ck_assert_mem_eq (out, reset_of_syn, sizeof out);
}
END_TEST

/* Packets that neither callers nor servers send, or that must not be answered
   with a reset.  */
static const struct
{
  const char *guards;
  size_t length;
  enum bb_drop drop;
  uint8_t flags;
  uint8_t data_length; /* low byte of the length field */
  bool reset;
} malformed[] = {
  { "an empty datagram", 0, BB_DROP_TRUNCATED, 16, 0, false },
  { "a header without its last byte", 35, BB_DROP_TRUNCATED, 16, 0, false },
  { "less data than announced", 40, BB_DROP_SPOOFED, 32, 5, false },
  { "more data than announced", 40, BB_DROP_SPOOFED, 32, 3, false },
  { "a first packet with data", 40, BB_DROP_SPOOFED, 16, 4, false },
  { "a server's answer to a first packet", 36, BB_DROP_SPOOFED, 48, 0, false },
  { "a reset is not answered with a reset", 36, BB_DROP_NONE, 8, 0, false },
  { "data is answered with a reset", 40, BB_DROP_NONE, 32, 4, true },
};

START_TEST (malformed_packets_are_dropped)
{
  uint8_t bytes[64] = { 0 }, out[BB_PLATFORM_HEADER_SIZE];
  struct bb_marked_packet m;
  memcpy (bytes, syn, sizeof syn);
  bytes[30] = malformed[_i].flags;
  bytes[29] = malformed[_i].data_length;
  uint8_t *exact = g_memdup2 (bytes, malformed[_i].length);
  ck_assert_int_eq (
      bb_platform_transport.decode (exact, malformed[_i].length, &m),
      malformed[_i].drop);
  g_free (exact);
  if (malformed[_i].drop == BB_DROP_NONE)
    ck_assert_int_eq (bb_platform_transport.write_reset (out, &m) > 0,
                      malformed[_i].reset);
}
END_TEST

/* Guards against forwarding that changes any part of a packet except the
   cookie.  */
START_TEST (only_the_cookie_is_written)
{
  uint8_t bytes[BB_PLATFORM_TAG_SIZE + sizeof syn];
  const uint8_t tag[] = { 0, 0, 0, 0x77, 0xec, 0x6e, 0xa0, 0x82 };
  const uint8_t cookie[] = { 0xaa, 0xbb, 0xcc, 0xdd };
  struct bb_marked_verdict v = { .tag = 0x77ec6ea082, .cookie = 0xaabbccdd };
  memcpy (bytes + BB_PLATFORM_TAG_SIZE, syn, sizeof syn);
  bb_platform_transport.write_server (bytes + BB_PLATFORM_TAG_SIZE, &v);
  ck_assert_mem_eq (bytes, tag, sizeof tag);
  ck_assert_mem_eq (bytes + BB_PLATFORM_TAG_SIZE, syn, 24);
  ck_assert_mem_eq (bytes + BB_PLATFORM_TAG_SIZE + 24, cookie, sizeof cookie);
  ck_assert_mem_eq (bytes + BB_PLATFORM_TAG_SIZE + 28, syn + 28,
                    sizeof syn - 28);
}
END_TEST

#define ENTRY(extra)                                                          \
  "{\"service\":\"huvo11a\",\"address\":\"10.128.0.9:8080\",\"zone\":"        \
  "\"itagui\",\"version\":\"v1\",\"slots\":2,\"state\":\"ready\","            \
  "\"cold-left-ms\":0,\"seq-no\":4" extra "}"

static const struct
{
  const char *key;
  const char *value;
  bool usable;
  uint64_t tag;
} entries[] = {
  { "servers/i-7f3a91c2", ENTRY (""), true, 0x7f3a91c2 },
  { "servers/i-77ec6ea082", ENTRY (",\"born\":1784118115169"), true,
    0x77ec6ea082 },
  { "servers/i-01", ENTRY (",\"later\":[{}]"), true, 1 },
  { "servers/i-01", ENTRY (",\"cold-left-ms\":12.5"), true, 1 },
  { "servers/i-01", ENTRY (",\"slots\":\"two\",\"cold-left-ms\":-1"), false,
    0 },
  { "servers/i-01", ENTRY (",\"slots\":\"two\""), false, 0 },
  { "servers/i-01", ENTRY (",\"slots\":99999999999999999999"), false, 0 },
  { "servers/i-01", ENTRY (",\"cold-left-ms\":-1"), false, 0 },
  { "servers/i-01", ENTRY (",\"cold-left-ms\":1e999"), false, 0 },
  { "servers/i-01", ENTRY (",\"cold-left-ms\":\"0\""), false, 0 },
  { "servers/i-01", ENTRY (",\"seq-no\":null"), false, 0 },
  { "servers/i-01", ENTRY (",\"version\":1"), false, 0 },
  { "servers/i-01", ENTRY (",\"born\":\"1784118115169\""), false, 0 },
  { "servers/i-01", ENTRY (",\"born\":1784118115169.5"), false, 0 },
  { "servers/i-01", "", false, 0 },
  { "servers/i-01", "\xff\xfe{", false, 0 },
  { "servers/i-01", "[]", false, 0 },
  { "servers/i-01", "null", false, 0 },
  { "servers/i-01", "{\"service\":\"a\"}", false, 0 },
  { "servers/i-01", ENTRY (",\"state\":\"asleep\""), false, 0 },
  { "servers/i-01", ENTRY (",\"state\":7"), false, 0 },
  { "servers/i-01", ENTRY (",\"service\":[]"), false, 0 },
  { "servers/i-01", ENTRY (",\"address\":\"10.128.0.9\""), false, 0 },
  { "servers/i-01", ENTRY (",\"address\":\"host:80\""), false, 0 },
  { "servers/i-01", ENTRY (",\"zone\":\"\""), false, 0 },
  { "servers/", ENTRY (""), false, 0 },
  { "servers/no-digits-here", ENTRY (""), false, 0 },
};

/* Guards against accepting an entry of another writer that does not describe a
   server, and against one bad entry that stops the decoding of the others.  */
START_TEST (entry_is_decoded)
{
  struct bb_server_record r;
  GError *error = NULL;
  const char *value = entries[_i].value;
  bool usable = bb_platform_decode_server (
      entries[_i].key, (const uint8_t *)value, strlen (value), &r, &error);
  ck_assert_int_eq (usable, entries[_i].usable);
  if (!usable)
    {
      ck_assert (g_error_matches (error, BB_ERROR, BB_ERROR_PROTOCOL));
      g_error_free (error);
      return;
    }
  ck_assert_uint_eq (r.tag, entries[_i].tag);
  ck_assert_str_eq (r.service, "huvo11a");
  ck_assert_str_eq (r.data_centre, "itagui");
  ck_assert_uint_eq (r.address.port, 8080);
  ck_assert_int_eq (r.state, BB_SERVER_READY);
}
END_TEST

/* Lengths of names in an entry and in the route that leads to its service.
   A key has up to 200 bytes.  */
static const int name_lengths[] = { 2, 63, 64, 192 };

/* Guards against a server that is not used, or not found by its route, because
   its names are long.  */
START_TEST (long_names_fit)
{
  struct bb_server_record r, other;
  struct bb_configuration c;
  size_t unusable;
  g_autofree char *name = g_strnfill ((gsize)name_lengths[_i], 'a');
  g_autofree char *key = g_strconcat ("servers/", name, NULL);
  g_autofree char *entry = g_strdup_printf (
      "{\"service\":\"%s\",\"address\":\"10.128.0.9:8080\",\"zone\":\"%s\","
      "\"version\":\"1\",\"slots\":2,\"state\":\"ready\",\"cold-left-ms\":0,"
      "\"seq-no\":1}",
      name, name);
  g_autofree char *value = g_strdup_printf (
      "{\"version\":7,\"routes\":[{\"host\":\"198.18.0.1\",\"prefix\":"
      "\"/443/\",\"service\":\"%s\"}]}",
      name);
  key[strlen (key) - 2] = '-'; /* before the digits of the tag */
  ck_assert (bb_platform_decode_server (key, (const uint8_t *)entry,
                                        strlen (entry), &r, NULL));
  ck_assert_uint_eq (r.tag, 0xa);
  key[strlen (key) - 1] = 'b';
  ck_assert (bb_platform_decode_server (key, (const uint8_t *)entry,
                                        strlen (entry), &other, NULL));
  ck_assert_str_ne (r.name, other.name);
  ck_assert (bb_platform_decode_configuration (
      (const uint8_t *)value, strlen (value), &c, &unusable, NULL));
  ck_assert_uint_eq (c.routes[0].shares[0].service, bb_name_key (r.service));
  ck_assert_str_eq (r.service, r.data_centre);
  bb_platform_free_configuration (&c);
}
END_TEST

/* Guards against the use of an entry that lacks a field: it may come from
   another writer, and name a server of another service.  */
START_TEST (entry_without_a_field_is_refused)
{
  static const char *const fields[]
      = { "service", "address", "zone",         "version",
          "slots",   "state",   "cold-left-ms", "seq-no" };
  struct json_object *entry = json_tokener_parse (ENTRY (""));
  struct bb_server_record r;
  GError *error = NULL;
  json_object_object_del (entry, fields[_i]);
  const char *text = json_object_to_json_string (entry);
  ck_assert (!bb_platform_decode_server ("servers/i-01", (const uint8_t *)text,
                                         strlen (text), &r, &error));
  ck_assert_msg (g_str_has_prefix (error->message, fields[_i]), "%s: %s",
                 fields[_i], error->message);
  g_error_free (error);
  json_object_put (entry);
}
END_TEST

/* Entries that other operators saw end their programs.  %s is replaced by
   NESTING opening and, where it comes again, closing brackets.  */
enum
{
  NESTING = 100000,
};

static const struct
{
  const char *guards;
  const char *value;
  bool usable;
} odd_entries[] = {
  { "deep nesting", "%s", false },
  { "deep nesting in a field", "{\"service\":%s}", false },
  { "deep nesting in an unknown field", ENTRY (",\"later\":%s"), false },
  { "a port above the range", ENTRY (",\"address\":\"10.0.0.9:65536\""),
    false },
  { "port 0", ENTRY (",\"address\":\"10.0.0.9:0\""), false },
  { "a negative port", ENTRY (",\"address\":\"10.0.0.9:-1\""), false },
  { "a port that wraps to a valid one",
    ENTRY (",\"address\":\"10.0.0.9:4294975376\""), false },
  { "a port beyond 64 bits",
    ENTRY (",\"address\":\"10.0.0.9:99999999999999999999999\""), false },
  { "an address that is a number", ENTRY (",\"address\":1e999"), false },
  { "an address beyond its range", ENTRY (",\"address\":\"256.0.0.1:80\""),
    false },
};

static char *
nest (const char *value)
{
  g_autofree char *open = g_strnfill (NESTING, '[');
  g_autofree char *close = g_strnfill (NESTING, ']');
  g_autofree char *nested = g_strconcat (open, close, NULL);
  char **parts = g_strsplit (value, "%s", -1);
  char *text = g_strjoinv (nested, parts);
  g_strfreev (parts);
  return text;
}

START_TEST (odd_entry_is_refused)
{
  struct bb_server_record r;
  GError *error = NULL;
  g_autofree char *value = nest (odd_entries[_i].value);
  bool usable = bb_platform_decode_server (
      "servers/i-01", (const uint8_t *)value, strlen (value), &r, &error);
  ck_assert_msg (usable == odd_entries[_i].usable, "%s",
                 odd_entries[_i].guards);
  ck_assert (usable || g_error_matches (error, BB_ERROR, BB_ERROR_PROTOCOL));
  ck_assert_str_eq (r.name, "i-01");
  g_clear_error (&error);
}
END_TEST

/* Guards against bytes that json-c reads but that are no JSON: an entry in
   which another writer's bytes stand ended the drain of a server (review case
   14).  */
#define MINIMAL                                                               \
  "{\"service\":\"a\",\"address\":\"10.0.0.9:80\","                           \
  "\"zone\":\"z\",\"version\":\"v\",\"slots\":2,"                             \
  "\"state\":\"ready\",\"cold-left-ms\":0,\"seq-no\":1"

static const struct
{
  const char *description;
  const char *bytes;
  bool usable;
} texts[] = {
  { "an object", MINIMAL "}", true },
  { "space around it", " \t\r\n" MINIMAL " } \n", true },
  { "all kinds of values",
    MINIMAL ",\"x\":[-0.5e+3,0,1E2,true,false,null,{},[],"
            "\"\\\"\\\\\\/\\b\\f\\n\\r\\t\\u00e9\xc3\xa9\"]}",
    true },
  { "single quotes", MINIMAL ",'x':1}", false },
  { "a string in single quotes", MINIMAL ",\"x\":'1'}", false },
  { "no quotes", MINIMAL ",x:1}", false },
  { "a comment", MINIMAL "/* x */}", false },
  { "a comment after it", MINIMAL "} // x", false },
  { "another object after it", MINIMAL "}{}", false },
  { "a word after it", MINIMAL "}x", false },
  { "a brace after it", MINIMAL "}}", false },
  { "no end", MINIMAL, false },
  { "a comma at the end", MINIMAL ",}", false },
  { "two commas", MINIMAL ",,\"x\":1}", false },
  { "NaN", MINIMAL ",\"x\":NaN}", false },
  { "infinity", MINIMAL ",\"x\":-Infinity}", false },
  { "a leading zero", MINIMAL ",\"x\":01}", false },
  { "no digits after the point", MINIMAL ",\"x\":1.}", false },
  { "no digits before the point", MINIMAL ",\"x\":.5}", false },
  { "no exponent", MINIMAL ",\"x\":1e}", false },
  { "a sign alone", MINIMAL ",\"x\":-}", false },
  { "a plus sign", MINIMAL ",\"x\":+1}", false },
  { "a hexadecimal number", MINIMAL ",\"x\":0x1}", false },
  { "capital letters", MINIMAL ",\"x\":True}", false },
  { "an unknown escape", MINIMAL ",\"x\":\"\\x\"}", false },
  { "half an escape", MINIMAL ",\"x\":\"\\u00\"}", false },
  { "a control character", MINIMAL ",\"x\":\"\x01\"}", false },
  { "a line break in a string", MINIMAL ",\"x\":\"\n\"}", false },
  { "no UTF-8", MINIMAL ",\"x\":\"\xff\"}", false },
  { "an overlong character", MINIMAL ",\"x\":\"\xc0\x80\"}", false },
  { "an encoded surrogate", MINIMAL ",\"x\":\"\xed\xa0\x80\"}", false },
  { "a byte order mark", "\xef\xbb\xbf" MINIMAL "}", false },
  { "an array", "[]", false },
  { "a string", "\"x\"", false },
  { "nothing", "", false },
  { "space", "  ", false },
};

START_TEST (only_json_is_an_entry)
{
  struct bb_server_record r;
  GError *error = NULL;
  const char *bytes = texts[_i].bytes;
  bool usable = bb_platform_decode_server (
      "servers/i-01", (const uint8_t *)bytes, strlen (bytes), &r, &error);
  ck_assert_msg (usable == texts[_i].usable, "%s", texts[_i].description);
  ck_assert_int_eq (r.state, usable ? BB_SERVER_READY : BB_SERVER_UNUSABLE);
  g_clear_error (&error);
}
END_TEST

/* Configurations, with ' in place of ".  */
static const char two_routes[]
    = "{'version':7,'routes':["
      "{'host':'198.18.0.1','prefix':'/8080/','service':'a'},"
      "{'host':'198.18.0.1','prefix':'/8443/','target-latency-ms':150,"
      "'priority':2,"
      "'traffic-split':[{'service':'a','weight':90},"
      "{'service':'b','weight':10}]}]}";
static const char one_good_route[]
    = "{'version':7,'routes':["
      "{'host':'198.18.0.1','prefix':'/8080/','service':'a'},"
      "{'host':'198.18.0.1','prefix':'/8080/','service':'b'},"
      "{'host':'198.18.0.1','prefix':'8080','service':'b'},"
      "{'host':'198.18.0.1','prefix':'/http/','service':'b'},"
      "{'host':'here','prefix':'/80/','service':'b'},"
      "{'host':'198.18.0.1','prefix':'/81/','kind':'safe'},7]}";
static const char odd_objectives[]
    = "{'version':7,'routes':["
      "{'host':'198.18.0.1','prefix':'/8080/','service':'a',"
      "'target-latency-ms':-5,'priority':'high'},"
      "{'host':'198.18.0.1','prefix':'/8443/','target-latency-ms':150,"
      "'priority':2,"
      "'traffic-split':[{'service':'a','weight':90},"
      "{'service':'b','weight':10}]},"
      "{'host':'198.18.0.1','prefix':'/8081/','service':'a',"
      "'target-latency-ms':'soon'}]}";

static const struct
{
  const char *value;
  bool usable;
  size_t count;
  size_t unusable;
} configurations[] = {
  { two_routes, true, 2, 0 },
  { "{'version':7,'routes':[]}", true, 0, 0 },
  { one_good_route, true, 1, 6 },
  { odd_objectives, true, 3, 0 },
  { "{'routes':[]}", false, 0, 0 },
  { "{'version':0,'routes':[]}", false, 0, 0 },
  { "{'version':'7','routes':[]}", false, 0, 0 },
  { "{'version':7}", false, 0, 0 },
  { "{'version':7,'routes':{}}", false, 0, 0 },
  { "{'version':7,'routes':[", false, 0, 0 },
};

/* Guards against one bad route that prevents the rest of a configuration from
   taking effect.  */
START_TEST (configuration_is_decoded)
{
  struct bb_configuration c;
  size_t unusable;
  GError *error = NULL;
  g_autofree char *value
      = g_strdelimit (g_strdup (configurations[_i].value), "'", '"');
  bool usable = bb_platform_decode_configuration (
      (const uint8_t *)value, strlen (value), &c, &unusable, &error);
  ck_assert_int_eq (usable, configurations[_i].usable);
  g_clear_error (&error);
  if (usable)
    {
      ck_assert_uint_eq (c.version, 7);
      ck_assert_uint_eq (c.route_count, configurations[_i].count);
      ck_assert_uint_eq (unusable, configurations[_i].unusable);
    }
  if (c.route_count > 1)
    {
      ck_assert_uint_eq (c.routes[1].address.port, 8443);
      ck_assert_uint_eq (c.routes[1].shares[1].service, bb_name_key ("b"));
      ck_assert_uint_eq (c.routes[1].shares[0].weight, 90);
      ck_assert_uint_eq (c.routes[1].objective_ms, 150);
      ck_assert_uint_eq (c.routes[0].objective_ms, 0);
      ck_assert_uint_eq (c.routes[1].priority, 2);
      ck_assert_uint_eq (c.routes[0].priority, 0);
    }
  bb_platform_free_configuration (&c);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("adapter");
  TCase *tc = tcase_create ("packets");
  tcase_add_test (tc, packet_example_is_decoded);
  tcase_add_loop_test (tc, malformed_packets_are_dropped, 0,
                       G_N_ELEMENTS (malformed));
  tcase_add_test (tc, only_the_cookie_is_written);
  suite_add_tcase (suite, tc);
  tc = tcase_create ("store");
  tcase_add_loop_test (tc, entry_is_decoded, 0, G_N_ELEMENTS (entries));
  tcase_add_loop_test (tc, long_names_fit, 0, G_N_ELEMENTS (name_lengths));
  tcase_add_loop_test (tc, entry_without_a_field_is_refused, 0, 8);
  tcase_add_loop_test (tc, only_json_is_an_entry, 0, G_N_ELEMENTS (texts));
  tcase_add_loop_test (tc, odd_entry_is_refused, 0,
                       G_N_ELEMENTS (odd_entries));
  tcase_add_loop_test (tc, configuration_is_decoded, 0,
                       G_N_ELEMENTS (configurations));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
