#include "standins/common/history_line.h"
#include <stdio.h>
#include <stdlib.h>

const char *
bb_line_string (const struct bb_line *l, const char *name)
{
  struct json_object *value;
  if (!json_object_object_get_ex (l->root, name, &value) || !value)
    return "";
  return json_object_get_string (value);
}

int64_t
bb_line_number (const struct bb_line *l, const char *name)
{
  struct json_object *value;
  if (!json_object_object_get_ex (l->root, name, &value))
    return 0;
  return json_object_get_int64 (value);
}

static void
parse_line (struct bb_line *l)
{
  l->root = json_tokener_parse (l->text);
  if (!l->root)
    return;
  l->event = bb_line_string (l, "event");
  l->time = bb_line_number (l, "time_us");
  json_object_object_get_ex (l->root, "versions", &l->versions);
  if (!json_object_is_type (l->versions, json_type_array))
    l->versions = NULL;
}

bool
bb_line_read_file (const char *path,
                   void (*handle) (const struct bb_line *l, void *context),
                   void *context)
{
  char *text = NULL;
  size_t size = 0;
  ssize_t n;
  FILE *file = fopen (path, "re");
  if (!file)
    return false;
  while ((n = getline (&text, &size, file)) > 0)
    {
      struct bb_line l = { .text = text };
      if (*text != '{')
        continue;
      parse_line (&l);
      if (l.root || text[n - 1] == '\n')
        handle (&l, context);
      json_object_put (l.root);
    }
  free (text);
  (void)fclose (file);
  return true;
}
