/* Parsed documents and the reporting of problems with file and line.

   json-c keeps no positions, so each document has a table of the lines of
   its keys.  Problems found after an overlay was merged into a base are
   reported at the line of the document that the value came from.  */

#ifndef BB_CONFIG_DOCUMENT_H
#define BB_CONFIG_DOCUMENT_H

#include "config/schema.h"

enum
{
  /* Levels of nesting; the deepest key is at level 5.  */
  BB_DOCUMENT_DEPTH_MAX = 8,
  /* Warnings are dropped once there are this many problems.  */
  BB_WARNINGS_MAX = 1000,
  /* Errors are dropped, too, once there are this many problems; at least one
     of the problems kept is an error.  */
  BB_PROBLEMS_MAX = 2000
};

struct bb_config_document
{
  char *name;
  json_object *root; /* a JSON object */
  GHashTable *lines; /* hash of a key's path to the line of the key */
  uint64_t version;  /* 0 if missing or invalid */
};

/* Appends a problem; its strings are copied.  Problems beyond BB_WARNINGS_MAX
   and BB_PROBLEMS_MAX are dropped, because a longer list is of no
   use to an operator.  */
void bb_problem_add (GPtrArray *problems, const struct bb_problem *problem,
                     const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Replaces comments by spaces, so that lines and offsets stay the same.  A
   comment that is not terminated is left for the parser to reject.  */
void bb_text_blank_comments (char *text, size_t length);

/* Returns the lines of all keys in TEXT, which must be valid JSON, and reports
   keys that occur twice in one object.  */
GHashTable *bb_key_lines_scan (const char *name, const char *text,
                               size_t length, GPtrArray *problems);

/* Returns the line of the key at PATH, or 0 if the document has no such
   key.  */
int bb_key_lines_lookup (GHashTable *lines, const char *path);

/* Appends /KEY to PATH, with ~ and / escaped as in RFC 6901.  A long key is
   truncated.  */
void bb_path_append_key (GString *path, const char *key);

/* Documents from which the configuration is merged: values in UPPER override
   those in LOWER.  UPPER may be NULL.  */
struct bb_config_layers
{
  const struct bb_config_document *upper;
  const struct bb_config_document *lower;
  GPtrArray *problems;
};

/* Report a problem at PATH, or at its nearest ancestor that is in one of the
   documents.  */
void bb_layers_add_error (const struct bb_config_layers *layers,
                          enum bb_error_kind kind, const char *path,
                          const char *format, ...) G_GNUC_PRINTF (4, 5);
void bb_layers_add_warning (const struct bb_config_layers *layers,
                            const char *path, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Reports unknown keys, wrong types and values out of range in all of
   DOCUMENT.  KIND is "base", "overlay", "vms" or "settings".  */
void bb_schema_check (const struct bb_config_document *document,
                      const char *kind, GPtrArray *problems);

/* Stores the keys of OBJECT directly below PATTERN into PARENT, and the
   defaults of keys that are missing.  Invalid values are skipped, because
   bb_schema_check reports them.  Reports required keys that are missing, below
   PATH.  */
void bb_schema_read (const struct bb_config_layers *layers, const char *kind,
                     const char *pattern, const char *path,
                     json_object *object, void *parent);

/* Returns member KEY of OBJECT if it has TYPE, else NULL.  */
json_object *bb_json_member (json_object *object, const char *key,
                             enum json_type type);
#endif
