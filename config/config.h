/* Configuration documents: parsing, validation and merging.

   The base and overlay documents give the effective configuration (struct
   bb_fleet) of one data centre; the vms document gives the list of VMs and
   the settings document the settings of one process.  Each document is
   checked in full and all problems are reported with file, line and key, so
   that a wrong document is refused before it reaches a balancer.  */

#ifndef BB_CONFIG_CONFIG_H
#define BB_CONFIG_CONFIG_H

#include "core/core.h"

/* An error or a warning found in a document.  */
struct bb_problem
{
  enum bb_error_kind kind;
  bool is_warning; /* valid, but risky unless monitored */
  char *file;      /* file or document name */
  char *path;      /* path of the key, such as /services/ledger/port */
  int line;        /* 0: unknown */
  char *text;      /* what is wrong and what was expected */
};

/* Returns an empty list of struct bb_problem; freed with
   g_ptr_array_unref.  */
GPtrArray *bb_problems_new (void);
bool bb_problems_have_error (const GPtrArray *problems);

/* A parsed document that is not merged yet.  */
struct bb_config_document;

/* Parses LENGTH bytes of JSON with comments.  NAME is the file name used in
   problems.  Returns NULL if BYTES cannot be parsed at all: too long, not
   text, or not a JSON object.  */
struct bb_config_document *bb_config_parse (const char *name,
                                            const uint8_t *bytes,
                                            size_t length,
                                            GPtrArray *problems);
void bb_config_document_free (struct bb_config_document *document);
uint64_t bb_config_document_version (const struct bb_config_document *d);

/* Returns the data centre that an overlay names, or NULL; owned by D.  */
const char *
bb_config_document_data_centre (const struct bb_config_document *d);

/* Returns the names of the data centres that a base declares; freed with
   g_strfreev.  */
char **bb_config_document_data_centres (const struct bb_config_document *d);

/* Returns the line of the key at PATH (as in struct bb_problem), or 0.  */
int bb_config_document_line (const struct bb_config_document *d,
                             const char *path);

/* Merges OVERLAY (may be NULL) into BASE as specified by RFC 7396, checks the
   result and returns the effective configuration of DATA_CENTRE, or NULL if
   PROBLEMS has an error.  Reports all problems, not only the first.  */
struct bb_fleet *bb_config_merge (const struct bb_config_document *base,
                                  const struct bb_config_document *overlay,
                                  const char *data_centre,
                                  GPtrArray *problems);

/* Parses the list of VMs.  Returns NULL if PROBLEMS has an error.  */
struct bb_vm_list *bb_config_parse_vms (const char *name, const uint8_t *bytes,
                                        size_t length, GPtrArray *problems);

/* Adds warnings about the VMs in LIST: a data centre of BASE with too few
   entry VMs, and VMs outside the entry networks or in a data centre that BASE
   does not declare.  */
void bb_config_check_vms (const struct bb_config_document *base,
                          const struct bb_vm_list *list, GPtrArray *problems);

/* Kind of source of the base, overlay and vms documents.  */
enum bb_platform_kind
{
  BB_PLATFORM_HTTP,
  BB_PLATFORM_DIRECTORY
};

/* Settings of a balancer on the marked transport, whose packets carry a server
   cookie.  */
struct bb_marked_settings
{
  /* UDP endpoint for packets of callers; port 0: the transport is not
     used.  */
  struct bb_endpoint packets;
  struct bb_endpoint ready;  /* on which the fabric requests /ready */
  struct bb_endpoint store;  /* store that lists servers and routes */
  uint16_t peer_port;        /* UDP port for messages between balancers */
  struct bb_endpoint *seeds; /* balancers; only the addresses are used */
  size_t seed_count;
  uint32_t capacity; /* of the VM's processor, in thousandths of a core */
  uint32_t flow_capacity;
  uint32_t idle_ms;
  uint32_t drain_ms; /* longest stop, during which packets are forwarded */
  /* Bound on the requests of a cold server in any second: its rate times
     cold_factor, and cold_slack, both in thousandths.  */
  uint32_t cold_factor;
  uint32_t cold_slack;
};

/* Settings of one balancer process.  */
struct bb_settings
{
  struct bb_vm self;
  struct bb_endpoint metrics; /* port 0: no metrics */
  enum bb_platform_kind platform_kind;
  char *platform;      /* directory, or "ADDRESS:PORT" of the service */
  struct bb_vm *peers; /* balancers to contact first */
  size_t peer_count;
  /* Destination of resets to callers; port 0: none.  */
  struct bb_endpoint egress;
  uint32_t flow_capacity;
  uint32_t push_bytes; /* flow entries replicated, bytes per second */
  /* Time without packets from the fabric before a stop ends.  */
  uint32_t quiet_ms;
  uint32_t leave_limit_ms; /* longest duration of a graceful stop */
  uint32_t probe_interval_ms;
  struct bb_marked_settings marked;
  char *log_level; /* error, warn, info or debug */
};

struct bb_settings *bb_settings_parse (const char *name, const uint8_t *bytes,
                                       size_t length, GPtrArray *problems);
void bb_settings_free (struct bb_settings *settings);

/* One configuration key, as the reference page documents it.  Built from the
   rows that the parsers use.  */
struct bb_key_doc
{
  const char *document; /* "base", "overlay", "vms" or "settings" */
  const char *path;     /* services.NAME.port; NAME stands for any name */
  const char *type;
  const char *unit; /* "" if none */
  const char *range;
  const char *default_text; /* default value, or "required" */
  const char *text;
};
const struct bb_key_doc *bb_config_list_keys (size_t *count);
#endif
