#include "config/schema.h"
#include <string.h>

static const char *const type_names[BB_KEY_TYPE_COUNT] = {
  [BB_KEY_INTEGER] = "integer",
  [BB_KEY_BOOLEAN] = "boolean",
  [BB_KEY_NAME] = "name",
  [BB_KEY_TEXT] = "string",
  [BB_KEY_ADDRESS] = "IPv4 address",
  [BB_KEY_NETWORK] = "IPv4 network",
  [BB_KEY_ENDPOINT] = "ADDRESS:PORT",
  [BB_KEY_DECIMAL] = "number",
  [BB_KEY_CHOICE] = "choice",
  [BB_KEY_OBJECT] = "object",
  [BB_KEY_NAME_MAP] = "object of names",
  [BB_KEY_LIST] = "list",
};

static char *
format_range (const struct bb_key *key)
{
  if (key->type == BB_KEY_INTEGER && key->max == INT64_MAX)
    return g_strdup_printf ("from %" G_GINT64_FORMAT, key->min);
  if (key->type == BB_KEY_INTEGER)
    return g_strdup_printf ("%" G_GINT64_FORMAT " to %" G_GINT64_FORMAT,
                            key->min, key->max);
  if (key->type != BB_KEY_CHOICE)
    return g_strdup ("");
  GString *s = g_string_new ("");
  for (const struct bb_choice *c = key->choices; c->name; c++)
    g_string_append_printf (s, "%s%s", s->len ? ", " : "", c->name);
  return g_string_free (s, FALSE);
}

const struct bb_key_doc *
bb_config_list_keys (size_t *count)
{
  /* Built on first use and kept for the life of the process.  */
  static struct bb_key_doc *rows;
  static size_t row_count;
  const struct bb_key *key;

  if (!rows)
    {
      rows = g_new0 (struct bb_key_doc,
                     bb_keys_base_overlay_count + bb_keys_vms_settings_count);
      for (; (key = bb_key_at (row_count)); row_count++)
        rows[row_count] = (struct bb_key_doc){
          .document = key->document,
          .path = key->path,
          .type = type_names[key->type],
          .unit = key->unit,
          .range = format_range (key),
          .default_text = key->default_text,
          .text = key->text,
        };
    }
  *count = row_count;
  return rows;
}
