/* Keys of the operator in the store: evacuations, and the limits of services
   in a configuration.  */

#include "platform/items.h"
#include "platform/platform.h"
#include "tests/suite.h"
#include <string.h>

/* Services of a configuration, with ' in place of ".  */
static const struct
{
  const char *guards;
  const char *services; /* NULL: the member is missing */
  size_t count;         /* that have limits */
  size_t unusable;
  uint32_t cold_rate; /* of service a */
} service_lists[] = {
  { "no services", NULL, 0, 0, 0 },
  { "an empty list", "[]", 0, 0, 0 },
  { "a fraction", "[{'name':'a','cold-per-s':33.3}]", 1, 0, 33300 },
  { "an integer", "[{'name':'a','cold-per-s':40}]", 1, 0, 40000 },
  { "no limit", "[{'name':'a'}]", 0, 0, 0 },
  { "a limit of 0", "[{'name':'a','cold-per-s':0.0}]", 0, 0, 0 },
  { "other members", "[{'name':'a','cold-per-s':2,'slots':{}}]", 1, 0, 2000 },
  { "a negative limit", "[{'name':'a','cold-per-s':-1.5}]", 0, 1, 0 },
  { "a limit that is no number", "[{'name':'a','cold-per-s':'9'}]", 0, 1, 0 },
  { "a limit of null", "[{'name':'a','cold-per-s':null}]", 0, 1, 0 },
  { "a limit that is too large", "[{'name':'a','cold-per-s':1e300}]", 0, 1,
    0 },
  { "infinity", "[{'name':'a','cold-per-s':1e999}]", 0, 1, 0 },
  { "a bad one that affects the next",
    "[{'name':7},{'name':''},{'cold-per-s':1},7,null,"
    "{'name':'a','cold-per-s':5}]",
    1, 5, 5000 },
  { "a long name, which is shortened",
    "[{'name':'a','cold-per-s':5},{'name':'"
    "0123456789012345678901234567890123456789012345678901234567890123"
    "','cold-per-s':5}]",
    2, 0, 5000 },
  { "long names that differ at the end",
    "[{'name':'a','cold-per-s':5},{'name':'"
    "0123456789012345678901234567890123456789012345678901234567890123"
    "','cold-per-s':5},{'name':'"
    "0123456789012345678901234567890123456789012345678901234567890124"
    "','cold-per-s':5}]",
    3, 0, 5000 },
  { "a service that is listed twice",
    "[{'name':'a','cold-per-s':5},{'name':'a','cold-per-s':6}]", 1, 1, 5000 },
  { "no list", "{'a':{'cold-per-s':5}}", 0, 1, 0 },
  { "nesting", "[[[[[{'name':'a','cold-per-s':5}]]]]]", 0, 1, 0 },
};

/* Guards against a bad limit that prevents the routes of a configuration, or
   other limits, from taking effect.  */
START_TEST (services_are_decoded)
{
  struct bb_configuration c;
  size_t unusable;
  const char *services = service_lists[_i].services;
  g_autofree char *value = g_strdup_printf (
      "{'version':7,'routes':["
      "{'host':'198.18.0.1','prefix':'/8080/','service':'a'}]%s%s}",
      services ? ",'services':" : "", services ? services : "");
  g_strdelimit (value, "'", '"');
  ck_assert_msg (bb_platform_decode_configuration ((const uint8_t *)value,
                                                   strlen (value), &c,
                                                   &unusable, NULL),
                 "%s", service_lists[_i].guards);
  ck_assert_uint_eq (c.route_count, 1);
  ck_assert_msg (c.service_count == service_lists[_i].count, "%s",
                 service_lists[_i].guards);
  ck_assert_msg (unusable == service_lists[_i].unusable, "%s",
                 service_lists[_i].guards);
  if (c.service_count > 0)
    {
      ck_assert_uint_eq (c.services[0].service, bb_name_key ("a"));
      ck_assert_uint_eq (c.services[0].cold_rate, service_lists[_i].cold_rate);
    }
  bb_platform_free_configuration (&c);
}
END_TEST

/* Keys of evacuations and their values.  */
#define NAME_63                                                               \
  "012345678901234567890123456789012345678901234567890123456789012"

/* The beginning of NAME_63 "3" and its hash.  */
#define SHORT_NAME                                                            \
  "012345678901234567890123456789~9674d9e078535b7cec43284387a6ee39"

static const struct
{
  const char *guards;
  const char *key;
  const char *value;
  bool usable;
  const char *data_centre; /* empty: none is evacuated */
} evacuations[] = {
  { "the example", "op/evacuate/north", "{}", true, "north" },
  { "white space", "op/evacuate/north", " {\n} ", true, "north" },
  { "the longest name", "op/evacuate/" NAME_63, "{}", true, NAME_63 },
  { "a long name, which is shortened", "op/evacuate/" NAME_63 "3", "{}", true,
    SHORT_NAME },
  { "no name", "op/evacuate/", "{}", false, "" },
  { "a name with a slash", "op/evacuate/a/b", "{}", true, "a/b" },
  { "no body", "op/evacuate/north", "", false, "north" },
  { "a body with members", "op/evacuate/north", "{\"until\":5}", false,
    "north" },
  { "a list", "op/evacuate/north", "[]", false, "north" },
  { "false", "op/evacuate/north", "false", false, "north" },
  { "half a body", "op/evacuate/north", "{", false, "north" },
};

/* Guards against an evacuation that is ignored for its body, and against one
   without a name.  */
START_TEST (evacuation_is_decoded)
{
  struct bb_evacuation_record r;
  GError *error = NULL;
  const char *value = evacuations[_i].value;
  ck_assert (bb_platform_key_is_evacuation (evacuations[_i].key));
  bool usable = bb_platform_decode_evacuation (
      evacuations[_i].key, (const uint8_t *)value, strlen (value), &r, &error);
  ck_assert_msg (usable == evacuations[_i].usable, "%s",
                 evacuations[_i].guards);
  ck_assert (usable || g_error_matches (error, BB_ERROR, BB_ERROR_PROTOCOL));
  ck_assert_str_eq (r.data_centre, evacuations[_i].data_centre);
  ck_assert (r.is_active);
  g_clear_error (&error);
}
END_TEST

START_TEST (other_keys_are_no_evacuations)
{
  ck_assert (!bb_platform_key_is_evacuation ("op/evacuate"));
  ck_assert (!bb_platform_key_is_evacuation ("op/evacuated/north"));
  ck_assert (!bb_platform_key_is_evacuation ("op/config"));
  ck_assert (!bb_platform_key_is_evacuation ("servers/op/evacuate/north"));
}
END_TEST

/* Items as the store lists them.  The values are {}, {"a":1} and nothing.  */
static const struct
{
  const char *guards;
  const char *item;
  unsigned refused;
  unsigned begun, ended;
  uint64_t revision; /* of the record that is delivered */
} items[] = {
  { "an evacuation", "{'key':'op/evacuate/north','value':'e30=','revision':9}",
    0, 1, 0, 9 },
  { "one that is taken back",
    "{'key':'op/evacuate/north','deleted':true,'revision':9}", 0, 0, 1, 9 },
  { "another body, which is refused but in force",
    "{'key':'op/evacuate/north','value':'eyJhIjoxfQ==','revision':9}", 1, 1, 0,
    9 },
  { "no body", "{'key':'op/evacuate/north','revision':9}", 1, 1, 0, 9 },
  { "no name", "{'key':'op/evacuate/','value':'e30=','revision':9}", 1, 0, 0,
    0 },
  { "no name, taken back", "{'key':'op/evacuate/','deleted':true}", 0, 0, 0,
    0 },
  { "a long name, which is shortened",
    "{'key':'op/evacuate/" NAME_63 "3','value':'e30=','revision':9}", 0, 1, 0,
    9 },
  { "no revision", "{'key':'op/evacuate/north','value':'e30='}", 1, 0, 0, 0 },
  { "another key of the operator",
    "{'key':'op/evacuated','value':'e30=','revision':9}", 0, 0, 0, 0 },
};

static struct
{
  unsigned refused;
  unsigned begun, ended;
  uint64_t revision;
} seen;

static void
sink_evacuation (void *context, const struct bb_evacuation_record *r)
{
  (void)context;
  ck_assert (strcmp (r->data_centre, "north") == 0
             || strcmp (r->data_centre, SHORT_NAME) == 0);
  seen.begun += r->is_active;
  seen.ended += !r->is_active;
  seen.revision = r->revision;
}

static void
sink_refused (void *context, const char *key, uint64_t revision,
              const GError *error)
{
  (void)context;
  (void)key;
  (void)revision;
  ck_assert (g_error_matches (error, BB_ERROR, BB_ERROR_PROTOCOL));
  seen.refused++;
}

/* Guards against an unusable item that is ignored without a log line, and
   against one that ends an evacuation.  */
START_TEST (items_are_delivered)
{
  static const struct bb_store_sink sink
      = { .evacuation = sink_evacuation, .refused = sink_refused };
  uint64_t refused = 0;
  const struct bb_items reader = { .sink = &sink, .refused = &refused };
  g_autofree char *text = g_strdup (items[_i].item);
  struct json_object *item
      = json_tokener_parse (g_strdelimit (text, "'", '"'));
  memset (&seen, 0, sizeof seen);
  bb_items_apply (&reader, NULL, item);
  ck_assert_msg (seen.refused == items[_i].refused, "%s", items[_i].guards);
  ck_assert_uint_eq (seen.refused, refused);
  ck_assert_msg (seen.begun == items[_i].begun, "%s", items[_i].guards);
  ck_assert_msg (seen.ended == items[_i].ended, "%s", items[_i].guards);
  ck_assert_uint_eq (seen.revision, items[_i].revision);
  json_object_put (item);
}
END_TEST

/* Guards against a part of a whole read that takes effect on its own.  */
START_TEST (items_of_a_read_are_collected)
{
  static const struct bb_store_sink sink
      = { .evacuation = sink_evacuation, .refused = sink_refused };
  uint64_t refused = 0;
  const struct bb_items reader = { .sink = &sink, .refused = &refused };
  struct bb_snapshot *s = bb_snapshot_new (0);
  struct json_object *item = json_tokener_parse (
      "{\"key\":\"op/evacuate/north\",\"value\":\"e30=\","
      "\"revision\":9}");
  memset (&seen, 0, sizeof seen);
  bb_items_apply (&reader, s, item);
  ck_assert_uint_eq (seen.begun, 0);
  ck_assert_uint_eq (s->evacuations->len, 1);
  ck_assert (g_hash_table_contains (s->evacuated, "north"));
  json_object_put (item);
  bb_snapshot_free (s);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("adapter, operator");
  TCase *tc = tcase_create ("store");
  tcase_add_loop_test (tc, services_are_decoded, 0,
                       G_N_ELEMENTS (service_lists));
  tcase_add_loop_test (tc, evacuation_is_decoded, 0,
                       G_N_ELEMENTS (evacuations));
  tcase_add_test (tc, other_keys_are_no_evacuations);
  tcase_add_loop_test (tc, items_are_delivered, 0, G_N_ELEMENTS (items));
  tcase_add_test (tc, items_of_a_read_are_collected);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
