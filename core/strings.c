#include "core/core.h"

/* The names appear in metrics, logs and the time line; tools depend on
   them.  */

static const char *const drops[BB_DROP_KINDS] = {
  [BB_DROP_NONE] = "none",
  [BB_DROP_TRUNCATED] = "truncated",
  [BB_DROP_NOT_IPV4] = "not_ipv4",
  [BB_DROP_GUE_VERSION] = "gue_version",
  [BB_DROP_FRAGMENT] = "fragment",
  [BB_DROP_PROTOCOL] = "protocol",
  [BB_DROP_SYN_PAYLOAD] = "syn_payload",
  [BB_DROP_NO_SERVICE] = "no_service",
  [BB_DROP_NO_SERVER] = "no_server",
  [BB_DROP_HOPS] = "hops",
  [BB_DROP_NOT_PEER] = "not_peer",
  [BB_DROP_PAUSED] = "paused",
  [BB_DROP_UNCERTAIN] = "uncertain",
  [BB_DROP_TABLE_FULL] = "table_full",
  [BB_DROP_NOT_READY] = "not_ready",
};

static const char *const events[BB_EVENT_KINDS] = {
  [BB_EVENT_START] = "start",
  [BB_EVENT_READY] = "ready",
  [BB_EVENT_VERSION] = "version",
  [BB_EVENT_VERSION_REFUSED] = "version_refused",
  [BB_EVENT_VERSION_STALE] = "version_stale",
  [BB_EVENT_PEER_JOINED] = "peer_joined",
  [BB_EVENT_PEER_ACTIVE] = "peer_active",
  [BB_EVENT_PEER_LEAVING] = "peer_leaving",
  [BB_EVENT_PEER_LOST] = "peer_lost",
  [BB_EVENT_PEER_BACK] = "peer_back",
  [BB_EVENT_BIT_SET] = "bit_set",
  [BB_EVENT_BIT_ACTED] = "bit_acted",
  [BB_EVENT_BIT_CLEARED] = "bit_cleared",
  [BB_EVENT_SERVER_DOWN] = "server_down",
  [BB_EVENT_SERVER_UP] = "server_up",
  [BB_EVENT_SERVER_DRAIN] = "server_drain",
  [BB_EVENT_PANIC] = "panic",
  [BB_EVENT_PUSH_DONE] = "push_done",
  [BB_EVENT_REBASE] = "rebase",
  [BB_EVENT_BASE_CONFLICT] = "base_conflict",
  [BB_EVENT_PAUSE] = "pause",
  [BB_EVENT_REFUSED] = "refused",
  [BB_EVENT_SILENT_RESET] = "silent_reset",
  [BB_EVENT_LEAVING] = "leaving",
  [BB_EVENT_STOP] = "stop",
};

const char *
bb_drop_name (enum bb_drop kind)
{
  return (unsigned)kind < BB_DROP_KINDS ? drops[kind] : "unknown";
}

const char *
bb_event_name (enum bb_event_kind kind)
{
  return (unsigned)kind < BB_EVENT_KINDS ? events[kind] : "unknown";
}
