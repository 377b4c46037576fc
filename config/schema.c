#include "config/schema.h"
#include <arpa/inet.h>
#include <string.h>

const struct bb_key *
bb_key_at (size_t i)
{
  if (i < bb_keys_base_overlay_count)
    return &bb_keys_base_overlay[i];
  i -= bb_keys_base_overlay_count;
  return i < bb_keys_vms_settings_count ? &bb_keys_vms_settings[i] : NULL;
}

const struct bb_key *
bb_key_lookup (const char *document, const char *path)
{
  const struct bb_key *key;

  if (g_str_has_prefix (path, "services."))
    document = "base";
  for (size_t i = 0; (key = bb_key_at (i)); i++)
    if (!strcmp (key->path, path) && !strcmp (key->document, document))
      return key;
  return NULL;
}

const char *
bb_key_child_name (const char *path, const char *parent)
{
  size_t length = strlen (parent);

  if (length)
    {
      if (strncmp (path, parent, length) != 0 || path[length] != '.')
        return NULL;
      path += length + 1;
    }
  return strpbrk (path, ".[") ? NULL : path;
}

bool
bb_key_is_required (const struct bb_key *key)
{
  return !strcmp (key->default_text, "required");
}

bool
bb_name_is_valid (const char *name)
{
  size_t length = strlen (name);

  if (length == 0 || length >= BB_NAME_MAX || !g_ascii_isalnum (name[0]))
    return false;
  for (const char *p = name; *p; p++)
    if (!g_ascii_isalnum (*p) && !strchr (".-_", *p))
      return false;
  return true;
}

static char *
join_choices (const struct bb_choice *choices)
{
  GString *s = g_string_new ("one of ");

  for (const struct bb_choice *c = choices; c->name; c++)
    g_string_append_printf (s, "%s\"%s\"", c == choices ? "" : ", ", c->name);
  return g_string_free (s, FALSE);
}

char *
bb_key_describe_expected (const struct bb_key *key)
{
  static const char *const texts[BB_KEY_TYPE_COUNT] = {
    [BB_KEY_BOOLEAN] = "true or false",
    [BB_KEY_NAME]
    = "a name: 1-63 letters, digits, '.', '-', '_'; first a letter or digit",
    [BB_KEY_TEXT] = "a string that is not empty",
    [BB_KEY_ADDRESS] = "a unicast IPv4 address such as \"10.1.2.3\"",
    [BB_KEY_NETWORK]
    = "an IPv4 network such as \"10.1.2.0/24\" without host bits",
    [BB_KEY_ENDPOINT] = "an address and port such as \"10.1.2.3:80\"",
    [BB_KEY_DECIMAL] = "a number from 0.001 to 1000",
    [BB_KEY_OBJECT] = "an object",
    [BB_KEY_NAME_MAP] = "an object whose keys are names",
    [BB_KEY_LIST] = "a list",
  };

  if (key->type == BB_KEY_CHOICE)
    return join_choices (key->choices);
  if (key->type == BB_KEY_DECIMAL && key->min == 0)
    return g_strdup ("a number from 0 to 1000");
  if (key->type != BB_KEY_INTEGER)
    return g_strdup (texts[key->type]);
  if (key->max == INT64_MAX)
    return g_strdup_printf ("an integer of at least %" G_GINT64_FORMAT,
                            key->min);
  return g_strdup_printf ("an integer from %" G_GINT64_FORMAT
                          " to %" G_GINT64_FORMAT,
                          key->min, key->max);
}

static bool
parse_address (const char *text, uint32_t *address)
{
  struct in_addr a;

  if (inet_pton (AF_INET, text, &a) != 1)
    return false;
  *address = ntohl (a.s_addr);
  return *address >> 24 != 0 && *address >> 24 < 224;
}

static bool
parse_network (const char *text, struct bb_network *network)
{
  g_autofree char *copy = g_strdup (text);
  char *slash = strchr (copy, '/');
  struct in_addr a;
  guint64 prefix;

  if (!slash)
    return false;
  *slash = '\0';
  if (inet_pton (AF_INET, copy, &a) != 1
      || !g_ascii_string_to_unsigned (slash + 1, 10, 0, 32, &prefix, NULL))
    return false;
  network->address = ntohl (a.s_addr);
  network->prefix = (uint8_t)prefix;
  return prefix == 32 || (network->address & (UINT32_MAX >> prefix)) == 0;
}

static bool
parse_endpoint (const char *text, struct bb_endpoint *endpoint)
{
  g_autofree char *copy = g_strdup (text);
  char *colon = strrchr (copy, ':');
  guint64 port;

  if (!colon
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &port,
                                      NULL))
    return false;
  *colon = '\0';
  endpoint->port = (uint16_t)port;
  return parse_address (copy, &endpoint->address);
}

static const struct bb_choice *
find_choice (const struct bb_key *key, const char *name)
{
  for (const struct bb_choice *c = key->choices; c->name; c++)
    if (!strcmp (c->name, name))
      return c;
  return NULL;
}

static bool
is_string_in_range (const struct bb_key *key, const char *s)
{
  struct bb_network network;
  struct bb_endpoint endpoint;
  uint32_t address;

  switch (key->type)
    {
    case BB_KEY_NAME:
      return bb_name_is_valid (s);
    case BB_KEY_ENDPOINT:
      return parse_endpoint (s, &endpoint);
    case BB_KEY_ADDRESS:
      return parse_address (s, &address);
    case BB_KEY_NETWORK:
      return parse_network (s, &network);
    case BB_KEY_CHOICE:
      return find_choice (key, s) != NULL;
    default:
      return *s != '\0';
    }
}

static bool
is_integer_in_range (const struct bb_key *key, json_object *value)
{
  int64_t n = json_object_get_int64 (value);

  /* json-c returns INT64_MAX for larger numbers.  */
  if (json_object_get_uint64 (value) > INT64_MAX)
    return false;
  return n >= key->min && n <= key->max;
}

/* Accepts integers as well as decimal numbers.  */
static bool
is_decimal_in_range (const struct bb_key *key, json_object *value)
{
  double n = json_object_get_double (value);

  return n * 1000 >= (double)key->min && n <= 1000;
}

bool
bb_key_check (const struct bb_key *key, json_object *value,
              enum bb_error_kind *kind)
{
  static const enum json_type types[BB_KEY_TYPE_COUNT] = {
    [BB_KEY_INTEGER] = json_type_int,     [BB_KEY_BOOLEAN] = json_type_boolean,
    [BB_KEY_NAME] = json_type_string,     [BB_KEY_TEXT] = json_type_string,
    [BB_KEY_ADDRESS] = json_type_string,  [BB_KEY_NETWORK] = json_type_string,
    [BB_KEY_ENDPOINT] = json_type_string, [BB_KEY_DECIMAL] = json_type_double,
    [BB_KEY_CHOICE] = json_type_string,   [BB_KEY_OBJECT] = json_type_object,
    [BB_KEY_NAME_MAP] = json_type_object, [BB_KEY_LIST] = json_type_array,
  };

  *kind = BB_ERROR_TYPE;
  if (key->type == BB_KEY_DECIMAL
      && json_object_is_type (value, json_type_int))
    {
      *kind = BB_ERROR_RANGE;
      return is_decimal_in_range (key, value);
    }
  if (!json_object_is_type (value, types[key->type]))
    return false;
  *kind = BB_ERROR_RANGE;
  if (types[key->type] == json_type_string)
    {
      const char *s = json_object_get_string (value);
      /* A string with \u0000 would be truncated at that character.  */
      return strlen (s) == (size_t)json_object_get_string_len (value)
             && is_string_in_range (key, s);
    }
  if (key->type == BB_KEY_DECIMAL)
    return is_decimal_in_range (key, value);
  return key->type != BB_KEY_INTEGER || is_integer_in_range (key, value);
}

/* Which bytes of N hold its low-order part depends on the byte order, so N is
   converted to the size of the field before it is copied.  */
static void
store_number (void *field, size_t size, int64_t n)
{
  uint8_t n8 = (uint8_t)n;
  uint16_t n16 = (uint16_t)n;
  uint32_t n32 = (uint32_t)n;

  switch (size)
    {
    case 1:
      memcpy (field, &n8, 1);
      break;
    case 2:
      memcpy (field, &n16, 2);
      break;
    case 4:
      memcpy (field, &n32, 4);
      break;
    default:
      memcpy (field, &n, 8);
      break;
    }
}

static void
store_string (const struct bb_key *key, const char *s, void *field)
{
  uint32_t address = 0;

  switch (key->type)
    {
    case BB_KEY_NAME:
      g_strlcpy (field, s, BB_NAME_MAX);
      break;
    case BB_KEY_TEXT:
      g_free (*(char **)field);
      *(char **)field = g_strdup (s);
      break;
    case BB_KEY_ADDRESS:
      parse_address (s, &address);
      memcpy (field, &address, sizeof address);
      break;
    case BB_KEY_NETWORK:
      parse_network (s, field);
      break;
    case BB_KEY_ENDPOINT:
      parse_endpoint (s, field);
      break;
    case BB_KEY_CHOICE:
      store_number (field, key->size, find_choice (key, s)->value);
      break;
    default:
      break;
    }
}

static void
store_default (const struct bb_key *key, void *field)
{
  int64_t n;

  if (key->type == BB_KEY_CHOICE && find_choice (key, key->default_text))
    store_string (key, key->default_text, field);
  else if (key->type == BB_KEY_BOOLEAN)
    store_number (field, key->size, !strcmp (key->default_text, "true"));
  else if (key->type == BB_KEY_INTEGER
           && g_ascii_string_to_signed (key->default_text, 10, key->min,
                                        key->max, &n, NULL))
    store_number (field, key->size, n);
}

void
bb_key_store (const struct bb_key *key, json_object *value, void *parent)
{
  void *field = (char *)parent + key->offset;

  if (key->size == 0)
    return;
  if (!value)
    store_default (key, field);
  else if (key->type == BB_KEY_BOOLEAN)
    store_number (field, key->size, json_object_get_boolean (value));
  else if (key->type == BB_KEY_INTEGER)
    store_number (field, key->size, json_object_get_int64 (value));
  else if (key->type == BB_KEY_DECIMAL)
    store_number (field, key->size,
                  (int64_t)(json_object_get_double (value) * 1000 + 0.5));
  else
    store_string (key, json_object_get_string (value), field);
}
