/* bbctl, the operator's command-line tool.

   Each command parses its own options, writes its result to standard output
   and messages to standard error, and returns the exit status of the
   program.  Commands work on configuration documents, on event logs, or on
   the HTTP ports of running balancers.  */

#ifndef BB_BBCTL_BBCTL_H
#define BB_BBCTL_BBCTL_H

#include "config/config.h"
#include <json-c/json.h>

enum
{
  BB_CTL_EXIT_USAGE = 1 /* exit status for invalid options or arguments */
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

/* Options and help texts of one command.  */
struct bb_ctl_options
{
  const GOptionEntry *entries;
  const char *usage;       /* the arguments */
  const char *summary;     /* what the command does */
  const char *description; /* printed after the options */
  int min_arguments;       /* number of arguments required */
  int max_arguments;       /* -1: no limit */
};

/* Parses the options and removes them from ARGV.  Returns false after a
   message if the options or the number of arguments are invalid.  */
bool bb_ctl_parse_options (const struct bb_ctl_options *options, int *argc,
                           char ***argv);

/* Reads the file at PATH.  Adds a problem and returns false on failure.  */
bool bb_ctl_read_file (const char *path, GPtrArray *problems, char **bytes,
                       size_t *length);
struct bb_config_document *bb_ctl_load_document (const char *path,
                                                 GPtrArray *problems);

/* Prints problems, each once, to standard error, or with JSON as an object to
   standard output.  Returns the exit status: that of the first error, or 0 if
   there are only warnings.  */
int bb_ctl_print_problems (const GPtrArray *problems, bool json);
json_object *bb_ctl_problems_to_json (const GPtrArray *problems);
int bb_ctl_problems_exit_status (const GPtrArray *problems);

/* A base and the overlays that belong to it.  */
struct bb_ctl_documents
{
  struct bb_config_document *base;
  GPtrArray *overlays; /* struct bb_config_document */
  char **data_centres; /* declared by the base */
};

/* Loads the base and the overlays at PATHS, which may be NULL.  Returns false
   if one of them cannot be parsed.  */
bool bb_ctl_documents_load (struct bb_ctl_documents *documents,
                            const char *base, char **paths,
                            GPtrArray *problems);
void bb_ctl_documents_clear (struct bb_ctl_documents *documents);

/* Returns the effective configuration of DATA_CENTRE, or NULL after adding
   problems.  */
struct bb_fleet *bb_ctl_documents_merge (const struct bb_ctl_documents *d,
                                         const char *data_centre,
                                         GPtrArray *problems);

/* Returns REQUESTED if set, else the data centre of the only overlay or the
   only one that the base declares.  Returns NULL after a message if none of
   these determines the data centre.  */
const char *
bb_ctl_documents_choose_data_centre (const struct bb_ctl_documents *d,
                                     const char *requested);

json_object *bb_ctl_fleet_to_json (const struct bb_fleet *fleet);
const char *bb_ctl_protocol_name (uint8_t protocol);
const char *bb_ctl_policy_name (enum bb_policy_kind policy);

/* Returns the key of the desired server of each bucket of S; freed by the
   caller.  Unless INCLUDE_DRAINING, buckets of draining servers have key 0,
   because their new flows are placed on other servers.  */
uint32_t *bb_ctl_desired_table (const struct bb_service *s,
                                bool include_draining);
const struct bb_server *bb_ctl_server_by_key (const struct bb_service *s,
                                              uint32_t key);

/* Returns "a.b.c.d:port"; freed by the caller.  */
char *bb_ctl_format_endpoint (struct bb_endpoint e);
bool bb_ctl_parse_endpoint (const char *text, struct bb_endpoint *e);

/* Result of one GET request.  */
struct bb_ctl_response
{
  const char *address; /* ADDRESS:PORT, as given */
  char *body;          /* NULL unless the status was 200 */
  char *error;         /* cause, if BODY is NULL */
};

/* Sends GET PATH to all addresses in parallel, with TIMEOUT_MS for each.
   Returns one response per address, freed by bb_ctl_responses_free.  */
struct bb_ctl_response *bb_ctl_http_get (char **addresses, size_t count,
                                         const char *path, int timeout_ms);
void bb_ctl_responses_free (struct bb_ctl_response *responses, size_t count);

/* Return member KEY of the JSON object O; "", 0, false or NULL if the member
   is missing.  */
const char *bb_ctl_json_string (json_object *o, const char *key);
int64_t bb_ctl_json_int64 (json_object *o, const char *key);
bool bb_ctl_json_bool (json_object *o, const char *key);
json_object *bb_ctl_json_member (json_object *o, const char *key);

/* Prints O on standard output and frees it.  */
void bb_ctl_print_json (json_object *o);
#endif
