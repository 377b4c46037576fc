#include "marked/flow_causes.h"

/* Callers repeat a request within this time or not at all.  */
#define CAUSE_TIME BB_SEC

/* Multiplier of Fibonacci hashing.  */
#define HASH_MULTIPLIER 2654435769u

const char *
bb_flow_cause_name (enum bb_flow_cause cause)
{
  static const char *const names[BB_FLOW_CAUSES] = {
    [BB_FLOW_CAUSE_NONE] = "first",
    [BB_FLOW_CAUSE_COPY] = "copy",
    [BB_FLOW_CAUSE_REFUSED] = "refused",
    [BB_FLOW_CAUSE_RESET] = "reset",
    [BB_FLOW_CAUSE_SHORT_ANSWER] = "short_answer",
  };
  return (unsigned)cause < BB_FLOW_CAUSES ? names[cause] : "unknown";
}

static struct bb_recent_caller *
entry_of (struct bb_recent_callers *r, uint32_t address)
{
  return &r->entries[(address * HASH_MULTIPLIER >> 16) % BB_RECENT_CALLERS];
}

void
bb_recent_callers_add (struct bb_recent_callers *r, uint32_t address,
                       enum bb_flow_cause cause, bb_usec now)
{
  *entry_of (r, address) = (struct bb_recent_caller){ address, now, cause };
}

enum bb_flow_cause
bb_recent_callers_take (struct bb_recent_callers *r, uint32_t address,
                        bb_usec now)
{
  struct bb_recent_caller *e = entry_of (r, address);
  if (e->at == 0 || e->address != address)
    return BB_FLOW_CAUSE_NONE;
  enum bb_flow_cause cause
      = now - e->at < CAUSE_TIME ? e->cause : BB_FLOW_CAUSE_NONE;
  *e = (struct bb_recent_caller){ 0 };
  return cause;
}
