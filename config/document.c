#include "config/document.h"
#include <string.h>

static void
free_problem (gpointer data)
{
  struct bb_problem *p = data;

  g_free (p->file);
  g_free (p->path);
  g_free (p->text);
  g_free (p);
}

GPtrArray *
bb_problems_new (void)
{
  return g_ptr_array_new_with_free_func (free_problem);
}

bool
bb_problems_have_error (const GPtrArray *problems)
{
  for (guint i = 0; i < problems->len; i++)
    if (!((const struct bb_problem *)problems->pdata[i])->is_warning)
      return true;
  return false;
}

static void
append_problem (GPtrArray *problems, const struct bb_problem *problem,
                char *text)
{
  if (problems->len >= BB_PROBLEMS_MAX
      || (problem->is_warning && problems->len >= BB_WARNINGS_MAX))
    {
      g_free (text);
      return;
    }
  struct bb_problem *p = g_memdup2 (problem, sizeof *problem);
  p->file = g_strdup (problem->file);
  p->path = g_strdup (problem->path && *problem->path ? problem->path : "/");
  p->text = text;
  g_ptr_array_add (problems, p);
}

void
bb_problem_add (GPtrArray *problems, const struct bb_problem *problem,
                const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  append_problem (problems, problem, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

/* Sets the file and line of PROBLEM and returns true if DOCUMENT has the key
   PATH.  */
static bool
set_location_in_document (const struct bb_config_document *document,
                          const char *path, struct bb_problem *problem)
{
  int line = document ? bb_key_lines_lookup (document->lines, path) : 0;

  if (line == 0)
    return false;
  problem->file = document->name;
  problem->line = line;
  return true;
}

/* Sets the file and line of PROBLEM to those of PATH, or of its nearest
   ancestor.  A key that is in both documents takes its value from the upper
   one, so its line there is used.  If PATH is in neither and both have the
   same ancestor, the lower document is used, because the missing key has to
   be declared there.  */
static void
set_problem_location (const struct bb_config_layers *layers, const char *path,
                      struct bb_problem *problem)
{
  g_autofree char *ancestor = g_strdup (path);
  char *slash;

  problem->file = layers->lower->name;
  if (set_location_in_document (layers->upper, path, problem))
    return;
  while (!set_location_in_document (layers->lower, ancestor, problem)
         && !set_location_in_document (layers->upper, ancestor, problem)
         && (slash = strrchr (ancestor, '/')))
    *slash = '\0';
}

void
bb_layers_add_error (const struct bb_config_layers *layers,
                     enum bb_error_kind kind, const char *path,
                     const char *format, ...)
{
  struct bb_problem p = { .kind = kind, .path = (char *)path };
  va_list arguments;

  set_problem_location (layers, path, &p);
  va_start (arguments, format);
  append_problem (layers->problems, &p, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

void
bb_layers_add_warning (const struct bb_config_layers *layers, const char *path,
                       const char *format, ...)
{
  struct bb_problem p
      = { .kind = BB_ERROR_RANGE, .is_warning = true, .path = (char *)path };
  va_list arguments;

  set_problem_location (layers, path, &p);
  va_start (arguments, format);
  append_problem (layers->problems, &p, g_strdup_vprintf (format, arguments));
  va_end (arguments);
}

/* Returns the end of the comment that starts at P, or NULL if the comment is
   not terminated.  */
static char *
comment_end (char *p, char *end)
{
  char *comment_stop;

  if (p[1] == '/')
    {
      comment_stop = memchr (p, '\n', (size_t)(end - p));
      return comment_stop ? comment_stop : end;
    }
  comment_stop = g_strstr_len (p + 2, end - (p + 2), "*/");
  return comment_stop ? comment_stop + 2 : NULL;
}

void
bb_text_blank_comments (char *text, size_t length)
{
  char *end = text + length;
  bool quoted = false;

  for (char *p = text; p < end; p++)
    if (quoted && *p == '\\')
      p++;
    else if (*p == '"')
      quoted = !quoted;
    else if (!quoted && *p == '/' && p + 1 < end
             && (p[1] == '/' || p[1] == '*'))
      {
        char *comment_stop = comment_end (p, end);
        if (!comment_stop)
          return;
        for (; p < comment_stop; p++)
          if (*p != '\n')
            *p = ' ';
        p--;
      }
}

static int
line_of_offset (const char *text, size_t offset)
{
  int line = 1;

  for (size_t i = 0; i < offset; i++)
    line += text[i] == '\n';
  return line;
}

static const char *
describe_error (enum json_tokener_error error)
{
  if (error == json_tokener_continue || error == json_tokener_error_parse_eof)
    return "document truncated: the text ends before the object is complete";
  if (error == json_tokener_error_depth)
    return "nested too deep; expected at most 8 levels";
  return json_tokener_error_desc (error);
}

/* Parses TEXT, in which comments are already blanked, and reports syntax
   errors found by json-c.  */
static json_object *
parse_text (const char *name, const char *text, size_t length,
            GPtrArray *problems)
{
  /* json-c accepts comments only in non-strict mode, which also accepts single
     quotes and NaN.  Comments are therefore blanked before, and the parser
     runs in strict mode.  */
  struct json_tokener *tokener = json_tokener_new_ex (BB_DOCUMENT_DEPTH_MAX);
  struct bb_problem p = { .kind = BB_ERROR_SYNTAX, .file = (char *)name };

  json_tokener_set_flags (tokener,
                          JSON_TOKENER_STRICT | JSON_TOKENER_VALIDATE_UTF8);
  json_object *root = json_tokener_parse_ex (tokener, text, (int)length);
  enum json_tokener_error error = json_tokener_get_error (tokener);
  size_t end = json_tokener_get_parse_end (tokener);

  json_tokener_free (tokener);
  p.line = line_of_offset (text, MIN (end, length));
  while (end < length && g_ascii_isspace (text[end]))
    end++;
  if (error != json_tokener_success)
    bb_problem_add (problems, &p, "%s", describe_error (error));
  else if (end < length)
    bb_problem_add (problems, &p,
                    "text after the end of the document; expected one object");
  else if (!json_object_is_type (root, json_type_object))
    bb_problem_add (problems, &p, "expected an object, as {\"version\": 1}");
  else
    return root;
  json_object_put (root);
  return NULL;
}

static bool
check_document_bytes (const char *name, const uint8_t *bytes, size_t length,
                      GPtrArray *problems)
{
  struct bb_problem p
      = { .kind = BB_ERROR_TOO_LARGE, .file = (char *)name, .path = NULL };

  if (length > BB_DOCUMENT_MAX)
    bb_problem_add (problems, &p, "%zu bytes; expected at most %d", length,
                    BB_DOCUMENT_MAX);
  else if (length && memchr (bytes, '\0', length))
    {
      p.kind = BB_ERROR_SYNTAX;
      bb_problem_add (problems, &p, "contains a NUL byte; expected text");
    }
  else
    return true;
  return false;
}

struct bb_config_document *
bb_config_parse (const char *name, const uint8_t *bytes, size_t length,
                 GPtrArray *problems)
{
  if (!check_document_bytes (name, bytes, length, problems))
    return NULL;

  g_autofree char *text = g_strndup ((const char *)bytes, length);
  bb_text_blank_comments (text, length);
  json_object *root = parse_text (name, text, length, problems);
  if (!root)
    return NULL;

  struct bb_config_document *d = g_new0 (struct bb_config_document, 1);
  d->name = g_strdup (name);
  d->root = root;
  d->lines = bb_key_lines_scan (name, text, length, problems);
  json_object *version = bb_json_member (root, "version", json_type_int);
  int64_t n = version ? json_object_get_int64 (version) : 0;
  d->version = n > 0 ? (uint64_t)n : 0;
  return d;
}

void
bb_config_document_free (struct bb_config_document *document)
{
  if (!document)
    return;
  g_free (document->name);
  json_object_put (document->root);
  g_hash_table_unref (document->lines);
  g_free (document);
}

uint64_t
bb_config_document_version (const struct bb_config_document *d)
{
  return d->version;
}

const char *
bb_config_document_data_centre (const struct bb_config_document *d)
{
  json_object *o = bb_json_member (d->root, "data_centre", json_type_string);

  return o ? json_object_get_string (o) : NULL;
}

char **
bb_config_document_data_centres (const struct bb_config_document *d)
{
  json_object *all
      = bb_json_member (d->root, "data_centres", json_type_object);
  GPtrArray *names = g_ptr_array_new ();

  if (all)
    {
      json_object_object_foreach (all, name, value)
      {
        (void)value;
        g_ptr_array_add (names, g_strdup (name));
      }
    }
  g_ptr_array_add (names, NULL);
  return (char **)g_ptr_array_free (names, FALSE);
}

int
bb_config_document_line (const struct bb_config_document *d, const char *path)
{
  return bb_key_lines_lookup (d->lines, path);
}
