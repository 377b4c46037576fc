/* json-c keeps no positions and silently lets a later duplicate of a key
   replace the first.  The text is therefore scanned a second time, to record
   the line of each key and to report duplicate keys.  */

#include "config/document.h"
#include <string.h>
#include <xxhash.h>

struct scan
{
  const char *file_name;
  const char *p;
  const char *end;
  int line;
  GString *path;
  /* Hash of a key's path to the line of the key.  The paths themselves are not
     stored, since they could fill memory.  */
  GHashTable *lines;
  GPtrArray *problems;
};

static gpointer
hash_path (const char *path)
{
  /* The table stores the integer itself as the key, cast to a pointer.  */
  /* NOLINTNEXTLINE(performance-no-int-to-ptr) */
  return GSIZE_TO_POINTER (XXH3_64bits (path, strlen (path)));
}

int
bb_key_lines_lookup (GHashTable *lines, const char *path)
{
  return GPOINTER_TO_INT (g_hash_table_lookup (lines, hash_path (path)));
}

void
bb_path_append_key (GString *path, const char *key)
{
  const char *end = key + strnlen (key, BB_NAME_MAX);

  /* Keys of BB_NAME_MAX bytes or more are never valid and are truncated.  If a
     key of 500 KB were appended whole, it would be copied and hashed again for
     each key below it.  */
  if (*end)
    while (end > key && (*end & 0xc0) == 0x80)
      end--;
  g_string_append_c (path, '/');
  for (const char *p = key; p < end; p++)
    if (*p == '~')
      g_string_append (path, "~0");
    else if (*p == '/')
      g_string_append (path, "~1");
    else
      g_string_append_c (path, *p);
  if (*end)
    g_string_append (path, "...");
}

static void
skip_space (struct scan *s)
{
  for (; s->p < s->end && g_ascii_isspace (*s->p); s->p++)
    if (*s->p == '\n')
      s->line++;
}

/* Skips the string that starts at S->p.  Returns its length including the
   quotes.  */
static size_t
skip_string (struct scan *s)
{
  const char *start = s->p++;

  while (s->p < s->end && *s->p != '"')
    s->p += *s->p == '\\' ? 2 : 1;
  s->p++;
  if (s->p > s->end)
    s->p = s->end;
  return (size_t)(s->p - start);
}

static char *
read_key (struct scan *s)
{
  const char *start = s->p;
  size_t length = skip_string (s);

  if (length >= 2 && !memchr (start, '\\', length))
    return g_strndup (start + 1, length - 2);
  g_autofree char *quoted = g_strndup (start, length);
  json_object *o = json_tokener_parse (quoted);
  char *key = g_strdup (o ? json_object_get_string (o) : "");

  json_object_put (o);
  return key;
}

static void
record_key_line (struct scan *s)
{
  gpointer hash = hash_path (s->path->str);
  int first_line = GPOINTER_TO_INT (g_hash_table_lookup (s->lines, hash));
  struct bb_problem p = { .kind = BB_ERROR_CONFLICT,
                          .file = (char *)s->file_name,
                          .path = s->path->str,
                          .line = s->line };

  if (first_line)
    bb_problem_add (s->problems, &p,
                    "the key occurs twice, first on line %d; expected it once",
                    first_line);
  else
    /* NOLINTNEXTLINE(performance-no-int-to-ptr) */
    g_hash_table_insert (s->lines, hash, GINT_TO_POINTER (s->line));
}

static void scan_value (struct scan *s);

static void
scan_member (struct scan *s, bool in_object, size_t index)
{
  g_autofree char *key = NULL;
  size_t length = s->path->len;

  skip_space (s);
  key = in_object ? read_key (s) : g_strdup_printf ("%zu", index);
  bb_path_append_key (s->path, key);
  record_key_line (s);
  if (in_object)
    {
      skip_space (s);
      s->p++; /* colon */
    }
  scan_value (s);
  g_string_truncate (s->path, length);
}

static void
scan_members (struct scan *s, char close)
{
  size_t index = 0;

  s->p++;
  skip_space (s);
  while (s->p < s->end && *s->p != close)
    {
      scan_member (s, close == '}', index++);
      skip_space (s);
      if (s->p < s->end && *s->p == ',')
        s->p++;
      skip_space (s);
    }
  s->p++;
}

static void
scan_value (struct scan *s)
{
  skip_space (s);
  if (s->p >= s->end)
    return;
  if (*s->p == '{')
    scan_members (s, '}');
  else if (*s->p == '[')
    scan_members (s, ']');
  else if (*s->p == '"')
    skip_string (s);
  else
    while (s->p < s->end && !strchr (",]} \t\r\n", *s->p))
      s->p++;
}

GHashTable *
bb_key_lines_scan (const char *name, const char *text, size_t length,
                   GPtrArray *problems)
{
  struct scan s = { .file_name = name,
                    .p = text,
                    .end = text + length,
                    .line = 1,
                    .path = g_string_new (""),
                    .lines = g_hash_table_new (NULL, NULL),
                    .problems = problems };

  scan_value (&s);
  g_string_free (s.path, TRUE);
  return s.lines;
}
