/* Configuration documents: parse, check, merge.  */

#ifndef BB_CONFIG_CONFIG_H
#define BB_CONFIG_CONFIG_H

#include "core/core.h"

/* One fault or is_warning found in a document.  */
struct bb_problem
{
  enum bb_error_kind kind;
  bool is_warning; /* legal, but risky with nobody watching */
  char *file;      /* or the name of the document */
  char *path;      /* of the key, as /services/ledger/port */
  int line;        /* 0: unknown */
  char *text;      /* what is wrong and what was expected */
};

/* A list of struct bb_problem; freed with g_ptr_array_unref.  */
GPtrArray *bb_problems_new (void);
bool bb_problems_have_error (const GPtrArray *problems);

/* A document before it is merged.  */
struct bb_config_document;

/* Parses the JSON with comments of LENGTH bytes.  NAME is used in problems.
   Returns NULL if it cannot be parsed at all.  */
struct bb_config_document *bb_config_parse (const char *name,
                                            const uint8_t *bytes,
                                            size_t length,
                                            GPtrArray *problems);
void bb_config_document_free (struct bb_config_document *document);
uint64_t bb_config_document_version (const struct bb_config_document *d);

/* The data centre that an overlay names, or NULL; owned by D.  */
const char *
bb_config_document_data_centre (const struct bb_config_document *d);

/* Names of the data centres that a base declares; freed with g_strfreev.  */
char **bb_config_document_data_centres (const struct bb_config_document *d);

/* Line of the key at PATH, as in struct bb_problem, or 0.  */
int bb_config_document_line (const struct bb_config_document *d,
                             const char *path);

/* Merges OVERLAY (may be NULL) into BASE as RFC 7396 does, checks the result
   and returns the effective configuration of DATA_CENTRE, or NULL when
   PROBLEMS has a fatal one.  All problems are reported, not only the first. */
struct bb_fleet *bb_config_merge (const struct bb_config_document *base,
                                  const struct bb_config_document *overlay,
                                  const char *data_centre,
                                  GPtrArray *problems);

/* Reads the list of VMs.  */
struct bb_vm_list *bb_config_parse_vms (const char *name, const uint8_t *bytes,
                                        size_t length, GPtrArray *problems);

/* Warns of what LIST says about the data centres of BASE: too few entry VMs,
   VMs outside the entry networks or in a data centre that is not declared.  */
void bb_config_check_vms (const struct bb_config_document *base,
                          const struct bb_vm_list *list, GPtrArray *problems);

/* Settings of one balancer process.  */
enum bb_platform_kind
{
  BB_PLATFORM_HTTP,
  BB_PLATFORM_DIRECTORY
};

/* Settings of a balancer on a transport whose packets carry a mark.  */
struct bb_marked_settings
{
  struct bb_endpoint packets; /* port 0: not on such a transport */
  struct bb_endpoint ready;   /* where the fabric asks for readiness */
  struct bb_endpoint store;   /* that lists servers and routes */
  uint16_t peer_port;         /* UDP, of messages between balancers */
  struct bb_endpoint *seeds;  /* whose addresses are those of balancers */
  size_t seed_count;
  uint32_t capacity; /* of the VM's processor, thousandths of a core */
  uint32_t flow_capacity;
  uint32_t idle_ms;
  uint32_t drain_ms; /* longest stop */
};

struct bb_settings
{
  struct bb_vm self;
  struct bb_endpoint metrics; /* port 0: none */
  enum bb_platform_kind platform_kind;
  char *platform;      /* directory, or "ADDRESS:PORT" of the service */
  struct bb_vm *peers; /* seeds */
  size_t peer_count;
  struct bb_endpoint egress; /* where resets to callers go; port 0: none */
  uint32_t flow_capacity;
  uint32_t push_bytes;     /* per second */
  uint32_t quiet_ms;       /* without packets before a stop ends */
  uint32_t leave_limit_ms; /* bound of a graceful stop */
  uint32_t probe_interval_ms;
  struct bb_marked_settings marked;
  char *log_level; /* error, warn, info or debug */
};

struct bb_settings *bb_settings_parse (const char *name, const uint8_t *bytes,
                                       size_t length, GPtrArray *problems);
void bb_settings_free (struct bb_settings *settings);

/* Rows of the tables that the parsers use, for the reference page.  */
struct bb_key_doc
{
  const char *document; /* "base", "overlay", "vms" or "settings" */
  const char *path;     /* with NAME for names, as services.NAME.port */
  const char *type;
  const char *unit; /* "" if none */
  const char *range;
  const char *default_text; /* default, or "required" */
  const char *text;
};
const struct bb_key_doc *bb_config_list_keys (size_t *count);
#endif
