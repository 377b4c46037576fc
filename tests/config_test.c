#include "config/config.h"
#include "tests/suite.h"
#include <string.h>

static const char valid_base[]
    = "{ // base\n"
      "  \"version\": 7, \"hash_seed\": 5,\n"
      "  \"data_centres\": {\"mde\": {\"entry_networks\": "
      "[\"10.1.0.0/16\"]},\n"
      "                   \"rio\": {}},\n"
      "  \"services\": {\n"
      "    \"orders\": {\"address\": \"10.9.0.1\", \"port\": 443, /* tls */\n"
      "      \"policy\": \"even\", \"connection_limit\": 2000, \"slots\": 2,\n"
      "      \"servers\": {\n"
      "        \"o1\": {\"address\": \"10.2.0.1\", \"gue_port\": 6080},\n"
      "        \"o2\": {\"address\": \"10.2.0.2\", \"gue_port\": 6080,\n"
      "               \"weight\": 200, \"connection_limit\": 4000},\n"
      "        \"o3\": {\"address\": \"10.2.0.3\", \"gue_port\": 6080,\n"
      "               \"data_centre\": \"rio\"}}},\n"
      "    \"stock\": {\"address\": \"10.9.0.1\", \"port\": 80, \n"
      "      \"servers\": {\n"
      "        \"s1\": {\"address\": \"10.2.0.1\", \"gue_port\": 6080},\n"
      "        \"s2\": {\"address\": \"10.2.0.2\", \"gue_port\": 6080}}}}}\n";

static const char valid_overlay[]
    = "{\"version\": 3, \"data_centre\": \"mde\",\n"
      " \"services\": {\"orders\": {\n"
      "   \"servers\": {\n"
      "     \"o2\": {\"drain\": false}}}}}\n";

/* Returns TEXT with the first OLD replaced by NEW.  If OLD is NULL, returns
   NEW, or TEXT if NEW is NULL, too.  */
static char *
replace_first (const char *text, const char *old, const char *new)
{
  if (!old)
    return g_strdup (new ? new : text);
  const char *at = strstr (text, old);
  ck_assert_msg (at != NULL, "no %s in the text", old);
  return g_strdup_printf ("%.*s%s%s", (int)(at - text), text, new,
                          at + strlen (old));
}

static struct bb_config_document *
parse (const char *name, const char *text, GPtrArray *problems)
{
  return bb_config_parse (name, (const uint8_t *)text, strlen (text),
                          problems);
}

static struct bb_fleet *
merge (const char *base, const char *overlay, GPtrArray *problems)
{
  struct bb_config_document *b = parse ("base", base, problems);
  struct bb_config_document *o = parse ("overlay", overlay, problems);
  struct bb_fleet *f = b && o ? bb_config_merge (b, o, "mde", problems) : NULL;

  bb_config_document_free (b);
  bb_config_document_free (o);
  return f;
}

/* Fails unless PROBLEMS has EXPECTED, with a text that contains
   EXPECTED->text.  */
static void
assert_problem (const GPtrArray *problems, const struct bb_problem *expected)
{
  GString *seen = g_string_new ("");

  for (guint i = 0; i < problems->len; i++)
    {
      const struct bb_problem *p = problems->pdata[i];
      bool same
          = p->kind == expected->kind && p->is_warning == expected->is_warning
            && p->line == expected->line && !strcmp (p->path, expected->path)
            && !strcmp (p->file, expected->file)
            && strstr (p->text, expected->text);
      if (same)
        {
          g_string_free (seen, TRUE);
          return;
        }
      g_string_append_printf (seen, "\n%s:%d: %s: %s (%d)", p->file, p->line,
                              p->path, p->text, p->kind);
    }
  ck_abort_msg ("no %s:%d: %s: %s (%d) in:%s", expected->file, expected->line,
                expected->path, expected->text, expected->kind, seen->str);
}

/* A mistake: OLD, in the valid document, is replaced by NEW.  EXPECTED is the
   problem that must be reported.  */
struct mistake
{
  const char *old;
  const char *new;
  struct bb_problem expected;
};

#define FAULT(kind, path, line, text)                                         \
  {                                                                           \
    BB_ERROR_##kind, false, "base", path, line, text                          \
  }
#define O_FAULT(kind, path, line, text)                                       \
  {                                                                           \
    BB_ERROR_##kind, false, "overlay", path, line, text                       \
  }
#define WARN(path, line, text)                                                \
  {                                                                           \
    BB_ERROR_RANGE, true, "base", path, line, text                            \
  }
#define O_WARN(path, line, text)                                              \
  {                                                                           \
    BB_ERROR_RANGE, true, "overlay", path, line, text                         \
  }

static const struct mistake base_mistakes[] = {
  { "\"port\": 443", "\"prot\": 443",
    FAULT (UNKNOWN_KEY, "/services/orders/prot", 6,
           "expected one of address") },
  { "\"port\": 443", "\"prot\": 443",
    FAULT (MISSING_KEY, "/services/orders/port", 6, "1 to 65535") },
  { "443", "\"443\"",
    FAULT (TYPE, "/services/orders/port", 6, "from 1 to 65535") },
  { "443", "70000", FAULT (RANGE, "/services/orders/port", 6, "70000") },
  { "443", "443.0", FAULT (TYPE, "/services/orders/port", 6, "443.0") },
  { "443", "99999999999999999999",
    FAULT (RANGE, "/services/orders/port", 6, "65535") },
  { "\"even\"", "\"fair\"",
    FAULT (RANGE, "/services/orders/policy", 7, "\"table\", \"even\"") },
  { "10.9.0.1", "10.9.1",
    FAULT (RANGE, "/services/orders/address", 6, "IPv4 address") },
  { "10.9.0.1", "239.9.0.1",
    FAULT (RANGE, "/services/orders/address", 6, "unicast") },
  { "10.1.0.0/16", "10.1.0.1/16",
    FAULT (RANGE, "/data_centres/mde/entry_networks/0", 3, "host bits") },
  { "\"o1\"", "\"o 1\"",
    FAULT (RANGE, "/services/orders/servers/o 1", 9, "not a name") },
  { "\"weight\": 200", "\"weight\": 0",
    FAULT (RANGE, "/services/orders/servers/o2/weight", 11, "1 to 1000") },
  { "\"weight\": 200", "\"weight\": 1001",
    FAULT (RANGE, "/services/orders/servers/o2/weight", 11, "1 to 1000") },
  { "\"weight\": 200", "\"weight\": null",
    FAULT (TYPE, "/services/orders/servers/o2/weight", 11, "null") },
  { "\"o2\": {", "\"o1\": {",
    FAULT (CONFLICT, "/services/orders/servers/o1", 10, "twice") },
  { "\"o2\": {", "\"\\u006f1\": {",
    FAULT (CONFLICT, "/services/orders/servers/o1", 10, "first on line 9") },
  { "\"port\": 80", "\"port\": 443",
    FAULT (CONFLICT, "/services/stock/address", 14,
           "10.9.0.1:443/tcp is taken by /services/orders") },
  { "10.2.0.2", "10.2.0.1",
    FAULT (CONFLICT, "/services/orders/servers/o2/address", 10,
           "10.2.0.1:6080") },
  { "\"o2\": {",
    "\"o6464\": {\"address\": \"10.2.1.1\", \"gue_port\": 1},"
    "\"o19500\": {\"address\": \"10.2.1.2\", \"gue_port\": 1}, \"o2\": {",
    FAULT (CONFLICT, "/services/orders/servers/o19500", 10, "32-bit key") },
  { "\"data_centre\": \"rio\"", "\"data_centre\": \"bog\"",
    FAULT (CONFLICT, "/services/orders/servers/o3/data_centre", 13,
           "mde, rio") },
  { "\"port\": 80", "\"port\": 80, \"buckets\": 4095",
    FAULT (RANGE, "/services/stock/buckets", 14, "such as 4099") },
  { "\"version\": 7, ", "", FAULT (MISSING_KEY, "/version", 0, "an integer") },
  { "\"version\": 7", "\"version\": 0", FAULT (RANGE, "/version", 2, "at") },
  { "s2\": {\"address\": \"10.2.0.2\", \"gue_port\": 6080}}}}}\n",
    "s2\": {\"address\": \"10.2", FAULT (SYNTAX, "/", 17, "text ends") },
  { "443", "0443", FAULT (SYNTAX, "/", 6, "") },
  { "443", "NaN", FAULT (TYPE, "/services/orders/port", 6, "NaN") },
  { "443, /* tls */", "443, /* tls", FAULT (SYNTAX, "/", 6, "") },
  { "6080}}}}}\n", "6080}}}}}\n{}",
    FAULT (SYNTAX, "/", 18, "unexpected character") },
  { "\"even\"", "'even'", FAULT (SYNTAX, "/", 7, "") },
  { "\"even\"", "\"\xff\"", FAULT (SYNTAX, "/", 7, "") },
  { "\"even\"", "[[[[[[[[1]]]]]]]]", FAULT (SYNTAX, "/", 7, "8 levels") },
  { NULL, "[]", FAULT (SYNTAX, "/", 1, "expected an object") },
  { NULL, "", FAULT (SYNTAX, "/", 1, "text ends") },
  /* Legal, but risky: warnings.  */
  { "\"gue_port\": 6080},\n        \"o2\"",
    "\"gue_port\": 6080, \"drain\": true},\n        \"o2\"",
    O_WARN ("/services/orders/servers", 3, "one usable server") },
  { "\"connection_limit\": 4000", "\"slots\": 3000",
    WARN ("/services/orders/servers/o2/connection_limit", 10, "cannot fill") },
  { "\"connection_limit\": 4000", "\"connection_limit\": 10",
    WARN ("/services/orders/servers/o2/connection_limit", 11, "margin") },
  { "\"connection_limit\": 4000", "\"connection_limit\": 500",
    WARN ("/services/orders/servers/o2/connection_limit", 11, "by weight") },
  { "\"port\": 80", "\"port\": 80, \"spill_permille\": 5",
    WARN ("/services/stock/spill_permille", 14, "no effect") },
  { "\"port\": 80", "\"port\": 80, \"silent_ms\": 500",
    WARN ("/services/stock/silent_ms", 14, "short loss") },
};

static const struct mistake overlay_mistakes[] = {
  { "\"mde\"", "\"bog\"",
    O_FAULT (CONFLICT, "/data_centre", 1, "expected mde") },
  { "\"o2\"", "\"o7\"",
    O_FAULT (MISSING_KEY, "/services/orders/servers/o7/gue_port", 4,
             "missing") },
  { "\"version\": 3, ", "",
    O_FAULT (MISSING_KEY, "/version", 0, "an integer") },
  { "\"version\"", "\"hash_seed\": 1, \"version\"",
    O_FAULT (UNKNOWN_KEY, "/hash_seed", 1, "version, data_centre, services") },
  { "\"drain\": false", "\"drian\": false",
    O_FAULT (UNKNOWN_KEY, "/services/orders/servers/o2/drian", 4, "weight") },
  { "{\"drain\": false}", "null, \"o1\": null",
    O_FAULT (MISSING_KEY, "/services/orders/servers", 3, "no server in") },
  { "\"orders\": {", "\"stock\": null, \"orders\": null, \"x\": {",
    O_FAULT (MISSING_KEY, "/services/x/address", 2, "IPv4") },
  { "\"drain\": false", "\"address\": null",
    O_FAULT (MISSING_KEY, "/services/orders/servers/o2/address", 4, "IPv4") },
  { "\"o2\"", "\"o9\": null, \"o2\"",
    O_WARN ("/services/orders/servers/o9", 4, "deletes nothing") },
  { "{\"drain\": false}", "{\"drain\": true}, \"o1\": {\"drain\": true}",
    O_WARN ("/services/orders/servers", 3, "all 2 servers") },
  { "\"version\"", "\"evacuated\": 1, \"version\"",
    O_FAULT (TYPE, "/evacuated", 1, "true or false") },
  { "\"version\"", "\"evacuated\": null, \"version\"",
    O_FAULT (TYPE, "/evacuated", 1, "true or false") },
  { "\"version\"", "\"evacuate\": true, \"version\"",
    O_FAULT (UNKNOWN_KEY, "/evacuate", 1, "evacuated") },
  { "\"version\"", "\"evacuated\": true, \"version\"",
    O_WARN ("/services/orders/servers", 3, "none is drained") },
};

static void
check_mistake (const struct mistake *m, const char *base, const char *overlay)
{
  GPtrArray *problems = bb_problems_new ();
  struct bb_fleet *f = merge (base, overlay, problems);

  assert_problem (problems, &m->expected);
  ck_assert_int_eq (f == NULL, !m->expected.is_warning);
  bb_fleet_free (f);
  g_ptr_array_unref (problems);
}

/* Guards against a mistake in the base that is accepted, or reported at the
   wrong place.  */
START_TEST (refuses_base_mistake)
{
  const struct mistake *m = &base_mistakes[_i];
  char *base = replace_first (valid_base, m->old, m->new);

  check_mistake (m, base, valid_overlay);
  g_free (base);
}
END_TEST

/* Guards against a mistake in an overlay that is accepted, or reported at the
   wrong place.  */
START_TEST (refuses_overlay_mistake)
{
  const struct mistake *m = &overlay_mistakes[_i];
  char *overlay = replace_first (valid_overlay, m->old, m->new);

  check_mistake (m, valid_base, overlay);
  g_free (overlay);
}
END_TEST

/* Guards against accepting a document that was truncated in transfer, and
   against reading beyond its end.  */
START_TEST (refuses_truncated)
{
  for (size_t length = 0; length < strlen (valid_base) - 2; length++)
    {
      GPtrArray *problems = bb_problems_new ();
      g_autofree char *text = g_strndup (valid_base, length);
      ck_assert_ptr_null (merge (text, valid_overlay, problems));
      ck_assert (bb_problems_have_error (problems));
      g_ptr_array_unref (problems);
    }
}
END_TEST

/* Guards against a crash on a damaged document, and against refusing one
   without reporting an error.  */
START_TEST (survives_damage)
{
  GRand *random = g_rand_new_with_seed ((guint32)_i);

  for (int round = 0; round < 200; round++)
    {
      GPtrArray *problems = bb_problems_new ();
      g_autofree char *text = g_strdup (valid_base);
      gint32 length = (gint32)strlen (text);
      for (int i = 0; i < 3; i++)
        text[g_rand_int_range (random, 0, length)]
            = "{}[]\",:/*\\n0-\xc3 "[g_rand_int_range (random, 0, 15)];
      struct bb_fleet *f = merge (text, valid_overlay, problems);
      ck_assert_int_eq (f == NULL, bb_problems_have_error (problems));
      bb_fleet_free (f);
      g_ptr_array_unref (problems);
    }
  g_rand_free (random);
}
END_TEST

/* Guards against a list of problems that grows without limit, and against
   warnings that fill the list so that no error fits.  */
START_TEST (bounds_problems)
{
  GPtrArray *problems = bb_problems_new ();
  GString *new = g_string_new ("");

  for (int i = 0; i < 5000; i++)
    g_string_append_printf (new,
                            "\"s%d\": {\"address\": \"10.8.%d.%d\", "
                            "\"port\": 1, \"silent_ms\": 1, "
                            "\"servers\": {\"x\": {\"address\": "
                            "\"10.7.0.1\", \"gue_port\": 1}}},",
                            i, i / 250, i % 250 + 1);
  g_string_append (new, "\"stock\": {\"prot\": 1,");
  char *base = replace_first (valid_base, "\"stock\": {", new->str);
  ck_assert_ptr_null (merge (base, valid_overlay, problems));
  ck_assert (bb_problems_have_error (problems));
  ck_assert_uint_le (problems->len, 2000);
  g_free (base);
  g_string_free (new, TRUE);
  g_ptr_array_unref (problems);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("config");
  TCase *t = tcase_create ("documents");
  tcase_add_loop_test (t, refuses_base_mistake, 0,
                       G_N_ELEMENTS (base_mistakes));
  tcase_add_loop_test (t, refuses_overlay_mistake, 0,
                       G_N_ELEMENTS (overlay_mistakes));
  tcase_add_test (t, refuses_truncated);
  tcase_add_loop_test (t, survives_damage, 0, 10);
  tcase_add_test (t, bounds_problems);
  suite_add_tcase (s, t);
  return run_suite (s);
}
