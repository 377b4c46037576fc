/* An overlay that evacuates its data centre: which servers its balancers use
   and which of these drain, and what is reported.  */

#include "config/config.h"
#include "tests/suite.h"
#include <string.h>

#define BASE(servers)                                                         \
  "{\"version\": 1, \"data_centres\": {\"mde\": {}, \"rio\": {}}, "           \
  "\"services\": {\"orders\": {\"address\": \"10.9.0.1\", \"port\": 443, "    \
  "\"buckets\": 2039, \"servers\": {" servers "}}}}"
#define SERVER(name, last, more)                                              \
  "\"" name "\": {\"address\": \"10.2.0." last "\", \"gue_port\": 6080" more  \
  "}"
#define OWN ", \"data_centre\": \"mde\""
#define OTHER ", \"data_centre\": \"rio\""
#define OVERLAY(more) "{\"version\": 1, \"data_centre\": \"mde\"" more "}"
#define EVACUATED ", \"evacuated\": true"

static const struct
{
  const char *description;
  const char *base;
  const char *overlay;
  const char *servers; /* in use; those that drain have a minus sign */
  const char *warning; /* NULL: none */
} cases[] = {
  { "without an evacuation only its own servers are used",
    BASE (SERVER ("a", "1", OWN) "," SERVER ("b", "2", OWN) "," SERVER (
        "c", "3", OTHER)),
    OVERLAY (""), "a b ", NULL },
  { "an evacuation that is taken back changes nothing",
    BASE (SERVER ("a", "1", OWN) "," SERVER ("b", "2", OWN) "," SERVER (
        "c", "3", OTHER)),
    OVERLAY (", \"evacuated\": false"), "a b ", NULL },
  { "its own servers drain, those elsewhere are used",
    BASE (SERVER ("a", "1", OWN) "," SERVER ("b", "2", OTHER) "," SERVER (
        "c", "3", OTHER)),
    OVERLAY (EVACUATED), "-a b c ", NULL },
  { "a server of every data centre stays in use",
    BASE (SERVER ("a", "1", OWN) "," SERVER ("b", "2", "")),
    OVERLAY (EVACUATED), "-a b ", NULL },
  { "a server that only the overlay declares drains",
    BASE (SERVER ("b", "2", "") "," SERVER ("c", "3", "")),
    OVERLAY (EVACUATED ", \"services\": {\"orders\": {\"servers\": {" SERVER (
        "a", "1", "") "}}}"),
    "-a b c ", NULL },
  { "a server elsewhere that drains goes on draining",
    BASE (SERVER ("a", "1", OWN) "," SERVER (
        "b", "2", OTHER ", \"drain\": true") "," SERVER ("c", "3", OTHER)),
    OVERLAY (EVACUATED), "-a -b c ", "leaves 1 of 3 slots" },
  { "the overlay cannot keep one of its servers in use",
    BASE (SERVER ("a", "1", OWN) "," SERVER ("b", "2", OTHER)),
    OVERLAY (EVACUATED ", \"services\": {\"orders\": {\"servers\": {\"a\": "
                       "{\"drain\": false}}}}"),
    "-a b ", NULL },
  { "nothing is left elsewhere",
    BASE (SERVER ("a", "1", OWN) "," SERVER ("b", "2", OWN)),
    OVERLAY (EVACUATED), "-a -b ", "no other has a usable server" },
  { "little room is left elsewhere",
    BASE (SERVER ("a", "1", OWN ", \"slots\": 5") "," SERVER (
        "b", "2", OTHER ", \"slots\": 4")),
    OVERLAY (EVACUATED), "-a b ", "leaves 4 of 9 slots" },
  { "no server is known to be there",
    BASE (SERVER ("a", "1", "") "," SERVER ("b", "2", "")),
    OVERLAY (EVACUATED), "a b ", "none is drained" },
};

/* Guards against new flows to an evacuated data centre, and against a service
   that the evacuation stops without a word.  */
START_TEST (servers_of_overlay)
{
  GPtrArray *problems = bb_problems_new ();
  GString *seen = g_string_new ("");
  struct bb_config_document *base
      = bb_config_parse ("base", (const uint8_t *)cases[_i].base,
                         strlen (cases[_i].base), problems);
  struct bb_config_document *overlay
      = bb_config_parse ("overlay", (const uint8_t *)cases[_i].overlay,
                         strlen (cases[_i].overlay), problems);
  struct bb_fleet *f = bb_config_merge (base, overlay, "mde", problems);

  ck_assert_ptr_nonnull (f);
  for (size_t i = 0; i < f->services[0].server_count; i++)
    g_string_append_printf (seen, "%s%s ",
                            f->services[0].servers[i].drain ? "-" : "",
                            f->services[0].servers[i].name);
  ck_assert_str_eq (seen->str, cases[_i].servers);
  ck_assert_uint_eq (problems->len, cases[_i].warning != NULL);
  if (cases[_i].warning)
    {
      const struct bb_problem *p = problems->pdata[0];
      ck_assert (p->is_warning);
      ck_assert_ptr_nonnull (strstr (p->text, cases[_i].warning));
    }
  bb_fleet_free (f);
  bb_config_document_free (base);
  bb_config_document_free (overlay);
  g_string_free (seen, TRUE);
  g_ptr_array_unref (problems);
}
END_TEST

/* Guards against an evacuation that is refused because the servers elsewhere
   need more buckets than the number in force, which cannot be changed.  */
START_TEST (few_buckets_are_a_warning)
{
  GPtrArray *problems = bb_problems_new ();
  GString *servers = g_string_new (SERVER ("own", "1", OWN));
  for (unsigned i = 2; i < 20; i++)
    g_string_append_printf (servers,
                            ", \"s%u\": {\"address\": \"10.2.0.%u\", "
                            "\"gue_port\": 6080" OTHER "}",
                            i, i);
  g_autofree char *text = g_strdup_printf (BASE ("%s"), servers->str);
  const char *evacuated = OVERLAY (EVACUATED);
  struct bb_config_document *base = bb_config_parse (
      "base", (const uint8_t *)text, strlen (text), problems);
  struct bb_config_document *overlay = bb_config_parse (
      "overlay", (const uint8_t *)evacuated, strlen (evacuated), problems);
  struct bb_fleet *f = bb_config_merge (base, overlay, "mde", problems);

  ck_assert_ptr_nonnull (f);
  ck_assert_uint_eq (problems->len, 1);
  ck_assert_str_eq (((struct bb_problem *)problems->pdata[0])->path,
                    "/services/orders/buckets");
  bb_fleet_free (f);
  bb_config_document_free (base);
  bb_config_document_free (overlay);
  g_string_free (servers, TRUE);
  g_ptr_array_unref (problems);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("evacuation");
  TCase *t = tcase_create ("overlay");
  tcase_add_loop_test (t, servers_of_overlay, 0, G_N_ELEMENTS (cases));
  tcase_add_test (t, few_buckets_are_a_warning);
  suite_add_tcase (s, t);
  return run_suite (s);
}
