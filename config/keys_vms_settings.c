#include "config/schema.h"

static const struct bb_choice states[]
    = { { "live", BB_VM_LIVE }, { "leaving", BB_VM_LEAVING }, { NULL, 0 } };
static const struct bb_choice platforms[]
    = { { "http", BB_PLATFORM_HTTP },
        { "directory", BB_PLATFORM_DIRECTORY },
        { NULL, 0 } };
/* The name and addresses at the top level of the settings are rows of struct
   bb_vm, but are stored through a pointer to struct bb_settings.  */
_Static_assert(offsetof (struct bb_settings, self) == 0, "self comes first");

/* log_level is stored as text; these values are not used.  */
static const struct bb_choice levels[] = {
  { "error", 0 }, { "warn", 1 }, { "info", 2 }, { "debug", 3 }, { NULL, 0 }
};

/* Rows of a VM, with paths below PREFIX.  */
#define VM_ROWS(document, prefix, parent)                                     \
  { document,                                                                 \
    prefix "name",                                                            \
    BB_KEY_NAME,                                                              \
    "",                                                                       \
    0,                                                                        \
    0,                                                                        \
    NULL,                                                                     \
    "required",                                                               \
    "name of the VM, unique in the fleet",                                    \
    BB_KEY_FIELD (parent, name) },                                            \
      { document,                                                             \
        prefix "data_centre",                                                 \
        BB_KEY_NAME,                                                          \
        "",                                                                   \
        0,                                                                    \
        0,                                                                    \
        NULL,                                                                 \
        "required",                                                           \
        "data centre of the VM",                                              \
        BB_KEY_FIELD (parent, data_centre) },                                 \
      { document,                                                             \
        prefix "address",                                                     \
        BB_KEY_ADDRESS,                                                       \
        "",                                                                   \
        0,                                                                    \
        0,                                                                    \
        NULL,                                                                 \
        "required",                                                           \
        "address of the VM",                                                  \
        BB_KEY_FIELD (parent, data.address) },                                \
      { document,                                                             \
        prefix "data_port",                                                   \
        BB_KEY_INTEGER,                                                       \
        "",                                                                   \
        1,                                                                    \
        65535,                                                                \
        NULL,                                                                 \
        "6080",                                                               \
        "UDP port for GUE from the fabric and from peers",                    \
        BB_KEY_FIELD (parent, data.port) },                                   \
  {                                                                           \
    document, prefix "control_port", BB_KEY_INTEGER, "", 1, 65535, NULL,      \
        "6081", "TCP port for messages between balancers",                    \
        BB_KEY_FIELD (parent, control.port)                                   \
  }

const struct bb_key bb_keys_vms_settings[] = {
  { "vms", "version", BB_KEY_INTEGER, "", 1, INT64_MAX, NULL, "required",
    "raised with every change; a lower one is ignored",
    BB_KEY_FIELD (bb_vm_list, version) },
  { "vms", "vms", BB_KEY_LIST, "", 0, 0, NULL, "required", "the entry VMs", 0,
    0 },
  { "vms", "vms[]", BB_KEY_OBJECT, "", 0, 0, NULL, "", "one entry VM", 0, 0 },
  VM_ROWS ("vms", "vms[].", bb_vm),
  { "vms", "vms[].state", BB_KEY_CHOICE, "", 0, 0, states, "live",
    "leaving: about to be stopped", BB_KEY_FIELD (bb_vm, state) },
  { "vms", "servers", BB_KEY_LIST, "", 0, 0, NULL, "none",
    "states of backend VMs", 0, 0 },
  { "vms", "servers[]", BB_KEY_OBJECT, "", 0, 0, NULL, "", "one backend VM", 0,
    0 },
  { "vms", "servers[].service", BB_KEY_NAME, "", 0, 0, NULL, "required",
    "service of the server", BB_KEY_FIELD (bb_listed_server_keys, service) },
  { "vms", "servers[].name", BB_KEY_NAME, "", 0, 0, NULL, "required",
    "name of the server", BB_KEY_FIELD (bb_listed_server_keys, name) },
  { "vms", "servers[].state", BB_KEY_CHOICE, "", 0, 0, states, "live",
    "leaving: receives no new flows",
    BB_KEY_FIELD (bb_listed_server_keys, state) },
  VM_ROWS ("settings", "", bb_vm),
  { "settings", "metrics_port", BB_KEY_INTEGER, "", 0, 65535, NULL, "0",
    "TCP port of /metrics, /status and /events; 0: none",
    BB_KEY_FIELD (bb_settings, metrics.port) },
  { "settings", "platform", BB_KEY_OBJECT, "", 0, 0, NULL,
    "required without marked",
    "source from which the documents are read and watched", 0, 0 },
  { "settings", "platform.kind", BB_KEY_CHOICE, "", 0, 0, platforms,
    "required", "configuration service over HTTP, or files in a directory",
    BB_KEY_FIELD (bb_platform_keys, kind) },
  { "settings", "platform.address", BB_KEY_ADDRESS, "", 0, 0, NULL,
    "required with http", "address of the service",
    BB_KEY_FIELD (bb_platform_keys, endpoint.address) },
  { "settings", "platform.port", BB_KEY_INTEGER, "", 1, 65535, NULL,
    "required with http", "port of the service",
    BB_KEY_FIELD (bb_platform_keys, endpoint.port) },
  { "settings", "platform.path", BB_KEY_TEXT, "", 0, 0, NULL,
    "required with directory",
    "the directory, with base.json, overlay-DATA_CENTRE.json and vms.json",
    BB_KEY_FIELD (bb_platform_keys, path) },
  { "settings", "peers", BB_KEY_LIST, "", 0, 0, NULL, "none",
    "balancers to contact first; an entry with the own name is skipped", 0,
    0 },
  { "settings", "peers[]", BB_KEY_OBJECT, "", 0, 0, NULL, "", "one balancer",
    0, 0 },
  VM_ROWS ("settings", "peers[].", bb_vm),
  { "settings", "egress", BB_KEY_OBJECT, "", 0, 0, NULL, "none",
    "endpoint of the fabric that accepts resets for callers", 0, 0 },
  { "settings", "egress.address", BB_KEY_ADDRESS, "", 0, 0, NULL, "required",
    "its address", BB_KEY_FIELD (bb_endpoint, address) },
  { "settings", "egress.port", BB_KEY_INTEGER, "", 1, 65535, NULL, "required",
    "its UDP port for GUE", BB_KEY_FIELD (bb_endpoint, port) },
  { "settings", "flow_capacity", BB_KEY_INTEGER, "flows", 1024, 16777216, NULL,
    "524288", "entries of the flow table, 32 bytes each",
    BB_KEY_FIELD (bb_settings, flow_capacity) },
  { "settings", "push_bytes", BB_KEY_INTEGER, "bytes/s", 64, 1000000, NULL,
    "2048",
    "rate at which flow entries are replicated to peers after a change of "
    "membership",
    BB_KEY_FIELD (bb_settings, push_bytes) },
  { "settings", "quiet_ms", BB_KEY_INTEGER, "ms", 0, 600000, NULL, "2000",
    "time without packets from the fabric before a stop ends",
    BB_KEY_FIELD (bb_settings, quiet_ms) },
  { "settings", "leave_limit_ms", BB_KEY_INTEGER, "ms", 0, 3600000, NULL,
    "300000", "longest duration of a graceful stop",
    BB_KEY_FIELD (bb_settings, leave_limit_ms) },
  { "settings", "probe_interval_ms", BB_KEY_INTEGER, "ms", 50, 60000, NULL,
    "1000", "time between two health probes of one server",
    BB_KEY_FIELD (bb_settings, probe_interval_ms) },
  { "settings", "marked", BB_KEY_OBJECT, "", 0, 0, NULL,
    "required without platform",
    "transport whose packets carry a server cookie, in place of GUE", 0, 0 },
  { "settings", "marked.packets", BB_KEY_ENDPOINT, "", 0, 0, NULL, "required",
    "endpoint for packets of callers, over UDP",
    BB_KEY_FIELD (bb_marked_settings, packets) },
  { "settings", "marked.ready", BB_KEY_ENDPOINT, "", 0, 0, NULL, "required",
    "endpoint on which the fabric requests /ready",
    BB_KEY_FIELD (bb_marked_settings, ready) },
  { "settings", "marked.store", BB_KEY_ENDPOINT, "", 0, 0, NULL, "required",
    "store that lists servers and routes",
    BB_KEY_FIELD (bb_marked_settings, store) },
  { "settings", "marked.peer_port", BB_KEY_INTEGER, "", 1, 65535, NULL, "6082",
    "UDP port for messages between balancers",
    BB_KEY_FIELD (bb_marked_settings, peer_port) },
  { "settings", "marked.seeds", BB_KEY_LIST, "", 0, 0, NULL, "none",
    "balancers to contact first; only their addresses are used", 0, 0 },
  { "settings", "marked.seeds[]", BB_KEY_ENDPOINT, "", 0, 0, NULL, "",
    "one balancer", 0, 0 },
  { "settings", "marked.cpu_share", BB_KEY_DECIMAL, "cores", 1, 0, NULL, "1.0",
    "processor of the VM; balancers with more read the store first",
    BB_KEY_FIELD (bb_marked_settings, capacity) },
  { "settings", "marked.flow_capacity", BB_KEY_INTEGER, "flows", 64, 16777216,
    NULL, "65536", "flows that are tracked, 64 bytes each",
    BB_KEY_FIELD (bb_marked_settings, flow_capacity) },
  { "settings", "marked.idle_ms", BB_KEY_INTEGER, "ms", 100, 86400000, NULL,
    "15000", "a flow without a packet for this long counts as ended",
    BB_KEY_FIELD (bb_marked_settings, idle_ms) },
  { "settings", "marked.drain_ms", BB_KEY_INTEGER, "ms", 0, 3600000, NULL,
    "3000", "time for which packets are forwarded after SIGTERM",
    BB_KEY_FIELD (bb_marked_settings, drain_ms) },
  { "settings", "marked.cold_factor", BB_KEY_DECIMAL, "", 1, 0, NULL, "1.0",
    "a cold server gets at most its rate times this, and marked.cold_slack, "
    "requests in any second",
    BB_KEY_FIELD (bb_marked_settings, cold_factor) },
  { "settings", "marked.cold_slack", BB_KEY_DECIMAL, "requests", 0, 0, NULL,
    "0", "see marked.cold_factor",
    BB_KEY_FIELD (bb_marked_settings, cold_slack) },
  { "settings", "log_level", BB_KEY_CHOICE, "", 0, 0, levels, "info",
    "least severe level that is logged", 0, 0 },
};
const size_t bb_keys_vms_settings_count = G_N_ELEMENTS (bb_keys_vms_settings);
