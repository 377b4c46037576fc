#include "core/core.h"

/* Names in metrics, logs and the time line.  They must not change, because
   tools match them.  */

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
  [BB_DROP_MARK_UNKNOWN] = "mark_unknown",
  [BB_DROP_OTHER_SERVICE] = "other_service",
  [BB_DROP_SPOOFED] = "spoofed",
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
  [BB_EVENT_SERVER_ADDED] = "server_added",
  [BB_EVENT_SERVER_CHANGED] = "server_changed",
  [BB_EVENT_SERVER_RESTARTED] = "server_restarted",
  [BB_EVENT_SERVER_GONE] = "server_gone",
  [BB_EVENT_SERVER_SUSPECT] = "server_suspect",
  [BB_EVENT_SERVER_TRUSTED] = "server_trusted",
  [BB_EVENT_ENTRY_REFUSED] = "entry_refused",
  [BB_EVENT_FLOW_PLACED] = "flow_placed",
  [BB_EVENT_FLOW_REFUSED] = "flow_refused",
  [BB_EVENT_FLOW_RESET] = "flow_reset",
  [BB_EVENT_MARK_UNKNOWN] = "mark_unknown",
  [BB_EVENT_STORE_LOST] = "store_lost",
  [BB_EVENT_STORE_BACK] = "store_back",
  [BB_EVENT_READER] = "reader",
  [BB_EVENT_RELOAD] = "reload",
  [BB_EVENT_LINK_SUSPECT] = "link_suspect",
  [BB_EVENT_LINK_TRUSTED] = "link_trusted",
  [BB_EVENT_STATE_ADOPTED] = "state_adopted",
  [BB_EVENT_STATE_REFUSED] = "state_refused",
  [BB_EVENT_EVACUATION] = "evacuation",
  [BB_EVENT_STORE_ERA] = "store_era",
  [BB_EVENT_SERVER_FAILING] = "server_failing",
  [BB_EVENT_SERVER_RECOVERED] = "server_recovered",
  [BB_EVENT_COLD_OWNER] = "cold_owner",
  [BB_EVENT_COLD_END] = "cold_end",
  [BB_EVENT_STATE_UNSENT] = "state_unsent",
  [BB_EVENT_SERVER_DEAD] = "server_dead",
  [BB_EVENT_WATCH_ENDED] = "watch_ended",
};

static const char *const reasons[BB_REASONS] = {
  [BB_REASON_NONE] = "none",
  [BB_REASON_OWN_DATA_CENTRE] = "own_data_centre",
  [BB_REASON_OTHER_DATA_CENTRE] = "other_data_centre",
  [BB_REASON_AGAIN] = "again",
  [BB_REASON_NO_ROUTE] = "no_route",
  [BB_REASON_ROUTE_DROPPED] = "route_dropped",
  [BB_REASON_NO_SERVER] = "no_server",
  [BB_REASON_ALL_BUSY] = "all_busy",
  [BB_REASON_SERVER_GONE] = "server_gone",
  [BB_REASON_SERVER_SILENT] = "server_silent",
  [BB_REASON_OTHER_SERVICE] = "other_service",
  [BB_REASON_STORE] = "store",
  [BB_REASON_PEER] = "peer",
  [BB_REASON_FIRST] = "first",
  [BB_REASON_OUTDATED] = "outdated",
  [BB_REASON_RELIEVED] = "relieved",
  [BB_REASON_TIMEOUT] = "timeout",
  [BB_REASON_REFUSED] = "refused",
  [BB_REASON_CLOSED] = "closed",
  [BB_REASON_HISTORY_LOST] = "history_lost",
  [BB_REASON_UNREADABLE] = "unreadable",
  [BB_REASON_TOO_LARGE] = "too_large",
  [BB_REASON_CONTRADICTORY] = "contradictory",
  [BB_REASON_EVACUATED] = "evacuated",
  [BB_REASON_ERA_CHANGED] = "era_changed",
  [BB_REASON_ERA_FELL] = "era_fell",
  [BB_REASON_ERA_MISSING] = "era_missing",
  [BB_REASON_ERA_UNREADABLE] = "era_unreadable",
  [BB_REASON_UNKNOWN_CONFIGURATION] = "unknown_configuration",
  [BB_REASON_COLD] = "cold",
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

const char *
bb_reason_name (enum bb_reason reason)
{
  return (unsigned)reason < BB_REASONS ? reasons[reason] : "unknown";
}
