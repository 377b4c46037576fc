/* Name, action and exit status of each kind of error.  */

#include "core/core.h"

GQuark
bb_error_quark (void)
{
  return g_quark_from_static_string ("bb-error-quark");
}

static const struct bb_error_handling error_handlings[BB_ERROR_KINDS] = {
  [BB_ERROR_SYNTAX] = { "syntax", BB_ACTION_KEEP_VERSION, 2 },
  [BB_ERROR_TYPE] = { "type", BB_ACTION_KEEP_VERSION, 2 },
  [BB_ERROR_RANGE] = { "range", BB_ACTION_KEEP_VERSION, 2 },
  [BB_ERROR_UNKNOWN_KEY] = { "unknown_key", BB_ACTION_KEEP_VERSION, 2 },
  [BB_ERROR_MISSING_KEY] = { "missing_key", BB_ACTION_KEEP_VERSION, 2 },
  [BB_ERROR_CONFLICT] = { "conflict", BB_ACTION_KEEP_VERSION, 2 },
  [BB_ERROR_TOO_LARGE] = { "too_large", BB_ACTION_KEEP_VERSION, 2 },
  [BB_ERROR_STALE_VERSION] = { "stale_version", BB_ACTION_KEEP_VERSION, 3 },
  [BB_ERROR_VERSION_CONFLICT]
  = { "version_conflict", BB_ACTION_KEEP_VERSION, 3 },
  [BB_ERROR_IO] = { "io", BB_ACTION_EXIT, 4 },
  [BB_ERROR_PROTOCOL] = { "protocol", BB_ACTION_DROP, 5 },
  [BB_ERROR_TIMEOUT] = { "timeout", BB_ACTION_RETRY, 6 },
  [BB_ERROR_NOT_FOUND] = { "not_found", BB_ACTION_RETRY, 7 },
};

const struct bb_error_handling *
bb_error_handling (enum bb_error_kind kind)
{
  return &error_handlings[kind];
}
