/* Parsed documents and where their keys stand.  */

#ifndef BB_CONFIG_DOCUMENT_H
#define BB_CONFIG_DOCUMENT_H

#include "config/schema.h"

enum
{
  BB_DOCUMENT_DEPTH_MAX = 8, /* nesting; the deepest key is at 5 */
  BB_WARNINGS_MAX = 1000,    /* problems after which warnings are left out */
  BB_PROBLEMS_MAX = 2000     /* after which faults are left out, too; at least
                                one of those before is a fault */
};

struct bb_config_document
{
  char *name;
  json_object *root; /* an object */
  GHashTable *lines; /* hash of the path of a key to its line */
  uint64_t version;  /* 0 if missing or wrong */
};

/* Appends a problem; its strings are copied.  Of a document with more faults
   than anyone reads, the rest is left out.  */
void bb_problem_add (GPtrArray *problems, const struct bb_problem *problem,
                     const char *format, ...) G_GNUC_PRINTF (3, 4);

/* Replaces comments by spaces, so that lines and offsets stay.  A comment
   without an end is left for the parser to refuse.  */
void bb_text_blank_comments (char *text, size_t length);

/* Returns the lines of all keys in TEXT, which must be valid JSON, and
   reports keys that occur twice in one object.  */
GHashTable *bb_key_lines_scan (const char *name, const char *text,
                               size_t length, GPtrArray *problems);

/* Line of the key at PATH, 0 if the document has no such key.  */
int bb_key_lines_lookup (GHashTable *lines, const char *path);

/* Appends /KEY to PATH, with ~ and / escaped as in RFC 6901; the end of a long
   key is left out.  */
void bb_path_append_key (GString *path, const char *key);

/* Where a value may come from: UPPER overrides LOWER; UPPER may be NULL.  */
struct bb_config_layers
{
  const struct bb_config_document *upper;
  const struct bb_config_document *lower;
  GPtrArray *problems;
};

/* Reports a problem at PATH, or at the nearest key above it that the
   documents have.  */
void bb_layers_add_error (const struct bb_config_layers *layers,
                          enum bb_error_kind kind, const char *path,
                          const char *format, ...) G_GNUC_PRINTF (4, 5);
void bb_layers_add_warning (const struct bb_config_layers *layers,
                            const char *path, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Reports unknown keys, wrong types and values out of range in all of
   DOCUMENT, which is of KIND "base", "overlay", "vms" or "settings".  */
void bb_schema_check (const struct bb_config_document *document,
                      const char *kind, GPtrArray *problems);

/* Stores the keys directly below PATTERN from OBJECT into PARENT, and defaults
   for those that are missing.  Wrong values are skipped, since
   bb_schema_check reports them.  Reports missing keys below PATH.  */
void bb_schema_read (const struct bb_config_layers *layers, const char *kind,
                     const char *pattern, const char *path,
                     json_object *object, void *parent);

/* Member KEY of OBJECT if it has TYPE, else NULL.  */
json_object *bb_json_member (json_object *object, const char *key,
                             enum json_type type);
#endif
