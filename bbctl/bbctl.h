/* The operator's tool.  Each command parses its own options, writes to
   standard output and returns the exit status.  */

#ifndef BB_BBCTL_BBCTL_H
#define BB_BBCTL_BBCTL_H

#include "config/config.h"
#include <json-c/json.h>

enum
{
  BB_CTL_EXIT_USAGE = 1 /* exit status of wrong options or arguments */
};

int bb_ctl_run_check (int argc, char **argv);
int bb_ctl_run_render (int argc, char **argv);
int bb_ctl_run_diff (int argc, char **argv);
int bb_ctl_run_place (int argc, char **argv);
int bb_ctl_run_keys (int argc, char **argv);
int bb_ctl_run_status (int argc, char **argv);
int bb_ctl_run_timeline (int argc, char **argv);
int bb_ctl_run_explain (int argc, char **argv);
int bb_ctl_run_report (int argc, char **argv);

/* Options of one command.  */
struct bb_ctl_options
{
  const GOptionEntry *entries;
  const char *usage;       /* the arguments */
  const char *summary;     /* what the command does */
  const char *description; /* shown after the options */
  int min_arguments;       /* arguments */
  int max_arguments;       /* -1: any number */
};

/* Parses and removes the options.  Returns false after a message if the
   command is used wrongly.  */
bool bb_ctl_parse_options (const struct bb_ctl_options *options, int *argc,
                           char ***argv);

/* Reads the file at PATH; adds a problem and returns false on failure.  */
bool bb_ctl_read_file (const char *path, GPtrArray *problems, char **bytes,
                       size_t *length);
struct bb_config_document *bb_ctl_load_document (const char *path,
                                                 GPtrArray *problems);

/* Writes problems, each once, to standard error, or with JSON as an object to
   standard output.  Returns the exit status: that of the first problem that
   is no warning, or 0.  */
int bb_ctl_print_problems (const GPtrArray *problems, bool json);
json_object *bb_ctl_problems_to_json (const GPtrArray *problems);
int bb_ctl_problems_exit_status (const GPtrArray *problems);

/* A base and the overlays that belong to it.  */
struct bb_ctl_documents
{
  struct bb_config_document *base;
  GPtrArray *overlays; /* struct bb_config_document */
  char **data_centres; /* of the base */
};

/* Loads them; returns false if one cannot be parsed.  PATHS may be NULL.  */
bool bb_ctl_documents_load (struct bb_ctl_documents *documents,
                            const char *base, char **paths,
                            GPtrArray *problems);
void bb_ctl_documents_clear (struct bb_ctl_documents *documents);

/* Effective configuration of DATA_CENTRE, or NULL with problems.  */
struct bb_fleet *bb_ctl_documents_merge (const struct bb_ctl_documents *d,
                                         const char *data_centre,
                                         GPtrArray *problems);

/* The only data centre there is to choose, or NULL after a message.  */
const char *
bb_ctl_documents_choose_data_centre (const struct bb_ctl_documents *d,
                                     const char *requested);

json_object *bb_ctl_fleet_to_json (const struct bb_fleet *fleet);
const char *bb_ctl_protocol_name (uint8_t protocol);
const char *bb_ctl_policy_name (enum bb_policy_kind policy);

/* Server of each bucket of S: keys, freed by the caller.  With DRAINED false,
   buckets of draining servers have 0, since their new flows go elsewhere.  */
uint32_t *bb_ctl_desired_table (const struct bb_service *s,
                                bool include_draining);
const struct bb_server *bb_ctl_server_by_key (const struct bb_service *s,
                                              uint32_t key);

/* "a.b.c.d:port"; freed by the caller.  */
char *bb_ctl_format_endpoint (struct bb_endpoint e);
bool bb_ctl_parse_endpoint (const char *text, struct bb_endpoint *e);

/* One GET.  */
struct bb_ctl_response
{
  const char *address; /* ADDRESS:PORT, as given */
  char *body;          /* NULL if there was no answer with status 200 */
  char *error;         /* then what happened */
};

/* Gets PATH from all addresses at once; each may take TIMEOUT_MS.  Returns
   one answer per address, freed by bb_ctl_responses_free.  */
struct bb_ctl_response *bb_ctl_http_get (char **addresses, size_t count,
                                         const char *path, int timeout_ms);
void bb_ctl_responses_free (struct bb_ctl_response *responses, size_t count);

/* Members of a JSON object; "" and 0 if missing.  */
const char *bb_ctl_json_string (json_object *o, const char *key);
int64_t bb_ctl_json_int64 (json_object *o, const char *key);
bool bb_ctl_json_bool (json_object *o, const char *key);
json_object *bb_ctl_json_member (json_object *o, const char *key);

/* Prints O on standard output and frees it.  */
void bb_ctl_print_json (json_object *o);
#endif
