/* Why callers open new flows: what they met here shortly before.  A caller is
   known by its address, so that callers behind one address are not told
   apart.  */

#ifndef BB_MARKED_FLOW_CAUSES_H
#define BB_MARKED_FLOW_CAUSES_H

#include "core/core.h"

enum bb_flow_cause
{
  BB_FLOW_CAUSE_NONE,         /* nothing that is known */
  BB_FLOW_CAUSE_COPY,         /* copy of a first packet, for another server */
  BB_FLOW_CAUSE_REFUSED,      /* after a refusal here */
  BB_FLOW_CAUSE_RESET,        /* after a reset of an open flow here */
  BB_FLOW_CAUSE_SHORT_ANSWER, /* after an error or a rejection by a server */
  BB_FLOW_CAUSES
};

const char *bb_flow_cause_name (enum bb_flow_cause cause);

enum
{
  BB_RECENT_CALLERS = 256, /* a power of two; a newer caller replaces one */
};

struct bb_recent_caller
{
  uint32_t address;
  bb_usec at; /* 0: not in use */
  enum bb_flow_cause cause;
};

struct bb_recent_callers
{
  struct bb_recent_caller entries[BB_RECENT_CALLERS];
};

/* Records that the caller at ADDRESS met CAUSE.  */
void bb_recent_callers_add (struct bb_recent_callers *r, uint32_t address,
                            enum bb_flow_cause cause, bb_usec now);

/* Returns why the caller at ADDRESS opens a flow now, and forgets it.  */
enum bb_flow_cause bb_recent_callers_take (struct bb_recent_callers *r,
                                           uint32_t address, bb_usec now);
#endif
