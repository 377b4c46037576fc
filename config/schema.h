/* Table of all configuration keys.

   Each row gives the path, type, range, default and description of a key.
   The same rows drive the check of documents, the reading into structures
   and the reference page, so these three cannot differ.  */

#ifndef BB_CONFIG_SCHEMA_H
#define BB_CONFIG_SCHEMA_H

#include "config/config.h"
#include <json-c/json.h>

enum bb_key_type
{
  BB_KEY_INTEGER,
  BB_KEY_BOOLEAN,
  BB_KEY_NAME,     /* char[BB_NAME_MAX] */
  BB_KEY_TEXT,     /* char *, allocated */
  BB_KEY_ADDRESS,  /* uint32_t, IPv4 */
  BB_KEY_NETWORK,  /* struct bb_network */
  BB_KEY_ENDPOINT, /* struct bb_endpoint, "ADDRESS:PORT" */
  BB_KEY_DECIMAL,  /* uint32_t, thousandths of the number */
  BB_KEY_CHOICE,
  BB_KEY_OBJECT,   /* object with fixed keys */
  BB_KEY_NAME_MAP, /* object whose keys are names */
  BB_KEY_LIST,
  BB_KEY_TYPE_COUNT
};

struct bb_choice
{
  const char *name; /* NULL: end of list */
  int value;
};

struct bb_key
{
  const char *document;
  const char *path; /* services.NAME.port, vms[].name */
  enum bb_key_type type;
  const char *unit;
  int64_t min; /* range of an integer; of a decimal in thousandths */
  int64_t max;
  const struct bb_choice *choices;
  const char *default_text; /* default value, or "required" */
  const char *text;
  size_t offset; /* of the field in the parent structure */
  size_t size;   /* of the field, in bytes; 0: not stored */
};

#define BB_KEY_FIELD(type, field)                                             \
  .offset = offsetof (struct type, field),                                    \
  .size = sizeof (((struct type *)0)->field)

/* Structures for the values of keys that are needed only during parsing.  */
struct bb_service_keys
{
  struct bb_service service;
  uint32_t connection_limit; /* for servers without this key */
  uint16_t slots;
};

struct bb_server_keys
{
  struct bb_server server;
  char data_centre[BB_NAME_MAX]; /* "": all data centres */
};

struct bb_listed_server_keys
{
  char service[BB_NAME_MAX];
  char name[BB_NAME_MAX];
  enum bb_vm_state state;
};

struct bb_platform_keys
{
  enum bb_platform_kind kind;
  struct bb_endpoint endpoint;
  char *path;
};

extern const struct bb_key bb_keys_base_overlay[];
extern const size_t bb_keys_base_overlay_count;
extern const struct bb_key bb_keys_vms_settings[];
extern const size_t bb_keys_vms_settings_count;

/* Returns row I over all tables, or NULL after the last row.  */
const struct bb_key *bb_key_at (size_t i);

/* Returns the row of DOCUMENT with PATH, or NULL.  Below "services", an
   overlay uses the rows of the base.  */
const struct bb_key *bb_key_lookup (const char *document, const char *path);

/* Returns the last part of PATH if PATH is directly below PARENT ("": top
   level), else NULL.  */
const char *bb_key_child_name (const char *path, const char *parent);

bool bb_key_is_required (const struct bb_key *key);
bool bb_name_is_valid (const char *name);

/* Returns a description of the values that KEY accepts, such as "an integer
   from 1 to 1000"; freed by the caller.  */
char *bb_key_describe_expected (const struct bb_key *key);

/* Returns whether VALUE is valid for KEY, without checking members or elements
   of VALUE.  Sets *KIND if not.  */
bool bb_key_check (const struct bb_key *key, json_object *value,
                   enum bb_error_kind *kind);

/* Stores VALUE, which must have passed bb_key_check, in the field of PARENT.
   If VALUE is NULL, stores the default of the row if that is a choice, a
   boolean or an integer.  */
void bb_key_store (const struct bb_key *key, json_object *value, void *parent);
#endif
