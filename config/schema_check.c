/* Checks a whole document against the table of keys, and reads the keys of one
   object into a structure.  */

#include "config/document.h"
#include <string.h>

/* State of a traversal of one document.  PATTERN and PATH are extended for
   each member, and truncated to their old length afterwards.  */
struct walk
{
  const char *kind;
  struct bb_config_layers layers;
  GString *pattern;  /* such as services.NAME.port */
  GString *path;     /* such as /services/ledger/port */
  bool null_deletes; /* null deletes a key, as in overlays */
};

json_object *
bb_json_member (json_object *object, const char *key, enum json_type type)
{
  json_object *value = NULL;

  if (!json_object_is_type (object, json_type_object)
      || !json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, type))
    return NULL;
  return value;
}

static char *
join_keys (const char *kind, const char *pattern)
{
  GString *s = g_string_new ("");
  const struct bb_key *key;

  if (g_str_has_prefix (pattern, "services."))
    kind = "base";
  for (size_t i = 0; (key = bb_key_at (i)); i++)
    {
      const char *last = bb_key_child_name (key->path, pattern);
      if (last && !strcmp (key->document, kind))
        g_string_append_printf (s, "%s%s", s->len ? ", " : "", last);
    }
  return g_string_free (s, FALSE);
}

/* Returns the length of the part of TEXT that is displayed, at most 80 bytes,
   without splitting a UTF-8 character.  */
static int
displayed_length (const char *text)
{
  const char *end = text + strnlen (text, 80);

  while (end > text && (*end & 0xc0) == 0x80)
    end--;
  return (int)(end - text);
}

static void
report_value (struct walk *w, const struct bb_key *key, json_object *value,
              enum bb_error_kind kind)
{
  g_autofree char *expected = bb_key_describe_expected (key);
  const char *text = value ? json_object_to_json_string_ext (
                         value, JSON_C_TO_STRING_NOSLASHESCAPE)
                           : "null";

  bb_layers_add_error (&w->layers, kind, w->path->str, "%.*s; expected %s",
                       displayed_length (text), text, expected);
}

static void walk_value (struct walk *w, const struct bb_key *key,
                        json_object *value);

static void
walk_member (struct walk *w, const char *name, json_object *value,
             bool is_name)
{
  size_t pattern = w->pattern->len;
  size_t path = w->path->len;

  g_string_append_printf (w->pattern, "%s%s", pattern ? "." : "",
                          is_name ? "NAME" : name);
  bb_path_append_key (w->path, name);
  /* Capitals, '.' and '[' have a special meaning in patterns, so a key with
     one of them cannot be a fixed key.  */
  bool has_key_syntax
      = is_name
        || strspn (name, "abcdefghijklmnopqrstuvwxyz_") == strlen (name);
  const struct bb_key *key
      = has_key_syntax ? bb_key_lookup (w->kind, w->pattern->str) : NULL;

  if (is_name && !bb_name_is_valid (name))
    bb_layers_add_error (
        &w->layers, BB_ERROR_RANGE, w->path->str,
        "not a name; expected 1 to 63 letters, digits, '.', '-' "
        "and '_', first a letter or digit");
  if (key)
    walk_value (w, key, value);
  else
    {
      g_string_truncate (w->pattern, pattern);
      g_autofree char *allowed = join_keys (w->kind, w->pattern->str);
      bb_layers_add_error (&w->layers, BB_ERROR_UNKNOWN_KEY, w->path->str,
                           "unknown key; expected one of %s", allowed);
    }
  g_string_truncate (w->pattern, pattern);
  g_string_truncate (w->path, path);
}

static void
walk_list (struct walk *w, json_object *list)
{
  size_t pattern = w->pattern->len;
  size_t path = w->path->len;

  g_string_append (w->pattern, "[]");
  const struct bb_key *key = bb_key_lookup (w->kind, w->pattern->str);
  for (size_t i = 0; i < json_object_array_length (list); i++)
    {
      g_string_append_printf (w->path, "/%zu", i);
      walk_value (w, key, json_object_array_get_idx (list, i));
      g_string_truncate (w->path, path);
    }
  g_string_truncate (w->pattern, pattern);
}

static void
walk_value (struct walk *w, const struct bb_key *key, json_object *value)
{
  enum bb_error_kind kind;

  if (!value && w->null_deletes && g_str_has_prefix (key->path, "services"))
    return;
  if (!bb_key_check (key, value, &kind))
    report_value (w, key, value, kind);
  else if (key->type == BB_KEY_LIST)
    walk_list (w, value);
  else if (key->type == BB_KEY_OBJECT || key->type == BB_KEY_NAME_MAP)
    {
      json_object_object_foreach (value, name, member)
      {
        walk_member (w, name, member, key->type == BB_KEY_NAME_MAP);
      }
    }
}

void
bb_schema_check (const struct bb_config_document *document, const char *kind,
                 GPtrArray *problems)
{
  static const struct bb_key top = { .type = BB_KEY_OBJECT, .path = "" };
  struct walk w = { .kind = kind,
                    .layers = { NULL, document, problems },
                    .pattern = g_string_new (""),
                    .path = g_string_new (""),
                    .null_deletes = !strcmp (kind, "overlay") };

  walk_value (&w, &top, document->root);
  g_string_free (w.pattern, TRUE);
  g_string_free (w.path, TRUE);
}

/* Reports that KEY, whose last part is LAST, is missing from the object at
   PATH.  */
static void
report_missing (const struct bb_config_layers *layers,
                const struct bb_key *key, const char *path, const char *last)
{
  g_autofree char *expected = bb_key_describe_expected (key);
  g_autofree char *whole = g_strconcat (path, "/", last, NULL);

  bb_layers_add_error (layers, BB_ERROR_MISSING_KEY, whole,
                       "missing; expected %s", expected);
}

void
bb_schema_read (const struct bb_config_layers *layers, const char *kind,
                const char *pattern, const char *path, json_object *object,
                void *parent)
{
  const struct bb_key *key;
  enum bb_error_kind error;

  for (size_t i = 0; (key = bb_key_at (i)); i++)
    {
      const char *last = bb_key_child_name (key->path, pattern);
      json_object *value = NULL;
      if (!last || strcmp (key->document, kind) != 0)
        continue;
      bool is_present = json_object_object_get_ex (object, last, &value);
      if (is_present && bb_key_check (key, value, &error))
        bb_key_store (key, value, parent);
      else if (is_present || !bb_key_is_required (key))
        bb_key_store (key, NULL, parent);
      else
        report_missing (layers, key, path, last);
    }
}
