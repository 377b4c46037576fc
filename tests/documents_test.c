#include "config/config.h"
#include "tests/suite.h"
#include <netinet/in.h>
#include <string.h>

/* The parser that a case is for.  */
enum reader
{
  VMS,
  SETTINGS
};

struct row
{
  enum reader reader;
  const char *text;
  enum bb_error_kind kind;
  bool is_warning;
  const char *path;
  const char *substring; /* of the problem's text */
};

#define VM(name, address)                                                     \
  "{\"name\": \"" name                                                        \
  "\", \"data_centre\": \"mde\", \"address\": \"" address "\"}"
#define SELF                                                                  \
  "\"name\": \"e1\", \"data_centre\": \"mde\", \"address\": \"10.1.0.1\""
#define EGRESS "\"egress\": {\"address\": \"10.1.0.9\", \"port\": 6080}"
#define FILES "\"platform\": {\"kind\": \"directory\", \"path\": \"/etc/bb\"}"
#define MARKED(keys)                                                          \
  "\"marked\": {\"packets\": \"10.1.0.1:1\", \"ready\": \"10.1.0.1:2\", "     \
  "\"store\": \"10.1.0.2:3\", " keys "}"

static const struct row rows[] = {
  { VMS, "{\"version\": 1}", BB_ERROR_MISSING_KEY, false, "/vms", "a list" },
  { VMS, "{\"version\": 1, \"vms\": [" VM ("a", "10.1.0.1") ", {}]}",
    BB_ERROR_MISSING_KEY, false, "/vms/1/name", "missing" },
  { VMS,
    "{\"version\": 1, \"vms\": [" VM ("a", "10.1.0.1") "," VM (
        "b", "10.1.0.1") "]}",
    BB_ERROR_CONFLICT, false, "/vms/1", "10.1.0.1:6080" },
  { VMS,
    "{\"version\": 1, \"vms\": [" VM ("vm98862", "10.1.0.1") "," VM (
        "vm143874", "10.1.0.2") "]}",
    BB_ERROR_CONFLICT, false, "/vms/1", "32-bit key" },
  { VMS,
    "{\"version\": 1, \"vms\": [], \"servers\": [{\"service\": \"s\", "
    "\"name\": \"x\", \"state\": \"dead\"}]}",
    BB_ERROR_RANGE, false, "/servers/0/state", "\"live\", \"leaving\"" },
  { SETTINGS, "{" SELF "," EGRESS "}", BB_ERROR_MISSING_KEY, false,
    "/platform", "missing" },
  { SETTINGS, "{" SELF "," EGRESS ", \"platform\": {\"kind\": \"http\"}}",
    BB_ERROR_MISSING_KEY, false, "/platform", "address and port" },
  { SETTINGS,
    "{" SELF "," EGRESS ", \"platform\": {\"kind\": \"directory\", \"path\": "
    "\"/x\", \"port\": 1}}",
    BB_ERROR_CONFLICT, false, "/platform", "not used" },
  { SETTINGS, "{" SELF "," EGRESS "," FILES ", \"log_level\": \"loud\"}",
    BB_ERROR_RANGE, false, "/log_level", "\"debug\"" },
  { SETTINGS,
    "{" SELF "," EGRESS "," FILES
    ", \"peers\": [" VM ("e2", "10.1.0.2") "," VM ("e2", "10.1.0.3") "]}",
    BB_ERROR_CONFLICT, false, "/peers/1", "expected it once" },
  { SETTINGS, "{" SELF "," MARKED ("\"cold_factor\": -1.5") "}",
    BB_ERROR_RANGE, false, "/marked/cold_factor", "0.001 to 1000" },
  { SETTINGS, "{" SELF "," MARKED ("\"cold_factor\": \"1.5\"") "}",
    BB_ERROR_TYPE, false, "/marked/cold_factor", "a number" },
  { SETTINGS, "{" SELF "," MARKED ("\"cold_slack\": -1") "}", BB_ERROR_RANGE,
    false, "/marked/cold_slack", "0 to 1000" },
  { SETTINGS, "{" SELF "," MARKED ("\"cold_slack\": 1001") "}", BB_ERROR_RANGE,
    false, "/marked/cold_slack", "0 to 1000" },
  { SETTINGS, "{" SELF "," FILES "}", BB_ERROR_RANGE, true, "/egress",
    "no reset" },
};

static bool
parses (enum reader reader, const char *text, GPtrArray *problems)
{
  const uint8_t *bytes = (const uint8_t *)text;
  size_t length = strlen (text);

  if (reader == VMS)
    {
      struct bb_vm_list *list
          = bb_config_parse_vms ("doc", bytes, length, problems);
      bool ok = list != NULL;
      bb_vm_list_free (list);
      return ok;
    }
  struct bb_settings *s = bb_settings_parse ("doc", bytes, length, problems);
  bool ok = s != NULL;
  bb_settings_free (s);
  return ok;
}

/* Guards against accepting a mistake in a VM list or in settings.  */
START_TEST (refuses_mistake)
{
  const struct row *row = &rows[_i];
  GPtrArray *problems = bb_problems_new ();

  ck_assert_int_eq (parses (row->reader, row->text, problems),
                    row->is_warning);
  ck_assert_uint_ge (problems->len, 1);
  const struct bb_problem *p = problems->pdata[0];
  ck_assert_int_eq (p->kind, row->kind);
  ck_assert_int_eq (p->is_warning, row->is_warning);
  ck_assert_str_eq (p->path, row->path);
  ck_assert_msg (strstr (p->text, row->substring) != NULL, "%s", p->text);
  g_ptr_array_unref (problems);
}
END_TEST

/* Guards against settings that are stored in the wrong field, and against a
   process that includes itself among its peers.  */
START_TEST (reads_settings)
{
  static const char text[]
      = "{" SELF "," EGRESS
        ", \"metrics_port\": 9100, \"peers\": [" VM ("e1", "10.1.0.1") "," VM (
            "e2", "10.1.0.2") "], \"platform\": "
                              "{\"kind\": \"http\", \"address\": "
                              "\"127.0.0.1\", \"port\": 80}}";
  GPtrArray *problems = bb_problems_new ();
  struct bb_settings *s = bb_settings_parse ("doc", (const uint8_t *)text,
                                             sizeof text - 1, problems);

  ck_assert_uint_eq (problems->len, 0);
  ck_assert_str_eq (s->self.name, "e1");
  ck_assert_uint_eq (s->self.id, bb_name_key ("e1"));
  ck_assert_uint_eq (s->self.control.address, 0x0a010001);
  ck_assert_uint_eq (s->self.control.port, 6081);
  ck_assert_uint_eq (s->metrics.port, 9100);
  ck_assert_str_eq (s->platform, "127.0.0.1:80");
  ck_assert_uint_eq (s->peer_count, 1);
  ck_assert_uint_eq (s->peers[0].data.address, 0x0a010002);
  ck_assert_uint_eq (s->egress.port, 6080);
  ck_assert_uint_eq (s->flow_capacity, 524288);
  ck_assert_str_eq (s->log_level, "info");
  bb_settings_free (s);
  g_ptr_array_unref (problems);
}
END_TEST

/* Guards against accepting a document larger than the platform's limit for
   values.  */
START_TEST (refuses_large_document)
{
  GPtrArray *problems = bb_problems_new ();
  size_t length = BB_DOCUMENT_MAX + 1;
  uint8_t *bytes = g_malloc (length);

  memset (bytes, ' ', length);
  ck_assert_ptr_null (bb_config_parse ("doc", bytes, length, problems));
  const struct bb_problem *p = problems->pdata[0];
  ck_assert_int_eq (p->kind, BB_ERROR_TOO_LARGE);
  g_free (bytes);
  g_ptr_array_unref (problems);
}
END_TEST

static struct bb_config_document *
parse_file (const char *path, GPtrArray *problems)
{
  char *text = NULL;
  gsize length = 0;

  ck_assert_msg (g_file_get_contents (path, &text, &length, NULL), "%s", path);
  struct bb_config_document *d
      = bb_config_parse (path, (const uint8_t *)text, length, problems);
  g_free (text);
  return d;
}

struct example
{
  const char *directory;
  const char *data_centre;
  const char *services[2];
  size_t servers[2];
  uint16_t slots;
  guint warnings; /* services with one server in this data centre */
};

static const struct example examples[] = {
  { "restrepo", "medellin", { "catalogue", "order-desk" }, { 1, 4 }, 2, 1 },
  { "restrepo", "rionegro", { "catalogue", "order-desk" }, { 1, 4 }, 2, 1 },
  { "restrepo", "itagui", { "catalogue", "order-desk" }, { 1, 3 }, 2, 1 },
  { "restrepo", "apartado", { "catalogue", "order-desk" }, { 1, 3 }, 2, 1 },
  { "umunyu", "kigali", { "ledger", "note-printer" }, { 5, 2 }, 3, 0 },
  { "umunyu", "muhanga", { "ledger", "note-printer" }, { 5, 1 }, 3, 1 },
  { "umunyu", "bugesera", { "ledger", "note-printer" }, { 4, 1 }, 3, 1 },
};

/* Guards against examples that the checker refuses, or warns about for a
   reason other than a single usable server, and against losing the limits that
   servers inherit from their service.  */
START_TEST (examples_are_valid)
{
  const struct example *e = &examples[_i];
  GPtrArray *problems = bb_problems_new ();
  char *base = g_strdup_printf ("examples/%s/base.json", e->directory);
  char *overlay = g_strdup_printf ("examples/%s/overlay-%s.json", e->directory,
                                   e->data_centre);
  struct bb_config_document *b = parse_file (base, problems);
  struct bb_config_document *o = parse_file (overlay, problems);
  struct bb_fleet *f = bb_config_merge (b, o, e->data_centre, problems);

  ck_assert_uint_eq (problems->len, e->warnings);
  for (guint i = 0; i < problems->len; i++)
    {
      const struct bb_problem *p = problems->pdata[i];
      ck_assert (p->is_warning && strstr (p->text, "one usable server"));
    }
  ck_assert_uint_eq (f->service_count, 2);
  for (size_t i = 0; i < 2; i++)
    {
      const struct bb_service *s = &f->services[i];
      ck_assert_str_eq (s->name, e->services[i]);
      ck_assert_uint_eq (s->server_count, e->servers[i]);
      ck_assert_uint_eq (s->servers[0].slots, e->slots);
      ck_assert_uint_eq (s->servers[0].connection_limit, 2000);
    }
  bb_fleet_free (f);
  bb_config_document_free (b);
  bb_config_document_free (o);
  g_free (base);
  g_free (overlay);
  g_ptr_array_unref (problems);
}
END_TEST

static const char *const directories[] = { "restrepo", "umunyu" };

/* Guards against example VM lists and settings that do not match their
   base.  */
START_TEST (example_vm_lists_match_base)
{
  GPtrArray *problems = bb_problems_new ();
  const char *const names[] = { "base.json", "vms.json", "settings.json" };
  char *texts[3];
  gsize lengths[3];

  for (int i = 0; i < 3; i++)
    {
      g_autofree char *path
          = g_build_filename ("examples", directories[_i], names[i], NULL);
      ck_assert (g_file_get_contents (path, &texts[i], &lengths[i], NULL));
    }
  struct bb_config_document *base = bb_config_parse (
      "base", (const uint8_t *)texts[0], lengths[0], problems);
  struct bb_vm_list *vms = bb_config_parse_vms (
      "vms", (const uint8_t *)texts[1], lengths[1], problems);
  struct bb_settings *s = bb_settings_parse (
      "settings", (const uint8_t *)texts[2], lengths[2], problems);
  ck_assert_ptr_nonnull (vms);
  ck_assert_ptr_nonnull (s);
  bb_config_check_vms (base, vms, problems);
  ck_assert_uint_eq (problems->len, 0);
  ck_assert_uint_ge (vms->vm_count, 6);
  ck_assert_uint_le (vms->vm_count, 9);
  ck_assert_uint_eq (vms->vms[0].id, s->self.id);
  ck_assert_uint_eq (vms->vms[0].data.address, s->self.data.address);
  bb_config_document_free (base);
  bb_vm_list_free (vms);
  bb_settings_free (s);
  for (int i = 0; i < 3; i++)
    g_free (texts[i]);
  g_ptr_array_unref (problems);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("documents");
  TCase *t = tcase_create ("parsers");
  tcase_add_loop_test (t, refuses_mistake, 0, G_N_ELEMENTS (rows));
  tcase_add_test (t, reads_settings);
  tcase_add_test (t, refuses_large_document);
  tcase_add_loop_test (t, examples_are_valid, 0, G_N_ELEMENTS (examples));
  tcase_add_loop_test (t, example_vm_lists_match_base, 0,
                       G_N_ELEMENTS (directories));
  suite_add_tcase (s, t);
  return run_suite (s);
}
