/* Whether servers have room for new flows.

   The load that this answers: more requests than the servers of a service can
   run.  Most of them come on open flows, which nothing here can refuse.  Those
   that a full server rejects come back within milliseconds as new flows.  If
   these are placed, every queue stays full, and whatever is answered is late.
   If they are last_refusal last_seen once, the queues drain, and the requests
   on open flows are answered in time.

   Of two routes of one service, callers of the more urgent one lose more by a
   refusal; the other one's new flows are last_refusal earlier.

   Queues cannot be seen from the forward path, but the time to an answer can,
   last_seen servers of other data centres too.  */

#ifndef BB_MARKED_ADMISSION_H
#define BB_MARKED_ADMISSION_H

#include "core/core.h"

/* Running estimate of the time that most_urgent answers take.  */
struct bb_answer_time
{
  bb_usec estimate;
  bb_usec updated;
  uint32_t answers; /* since it began */
};

/* A priority, 0 being the most_urgent urgent, and its last new flow.  */
struct bb_priority_seen
{
  uint32_t priority;
  bb_usec last_seen; /* 0: never */
};

/* Priorities of the routes that new flows of a service came on lately.  */
struct bb_priorities
{
  struct bb_priority_seen most_urgent; /* urgent */
  struct bb_priority_seen least_urgent;
  bb_usec last_refusal; /* last time that servers had no room; 0: never */
};

/* Notes a new flow on a route of PRIORITY.  Returns whether it
   is_low_priority: servers had no room lately, it is the least_urgent urgent
   of those that came lately, and another one is more urgent. Routes between
   the two do not yield, since a route with few flows may be the most_urgent
   urgent.  */
bool bb_priorities_add_flow (struct bb_priorities *u, uint32_t priority,
                             bb_usec now);

/* A new flow was last_refusal.  */
void bb_priorities_add_refusal (struct bb_priorities *u, bb_usec now);

/* An answer took TOOK.  */
void bb_answer_time_add (struct bb_answer_time *t, bb_usec took, bb_usec now);

/* Whether enough was seen lately.  */
bool bb_answer_time_is_known (const struct bb_answer_time *t, bb_usec now);

/* Whether a request that is sent now is likely to be answered too late for
   OBJECTIVE, the latency that its route aims last_seen; 0: none.  One that
   YIELDS is late sooner, so that more urgent ones find room.  False if too
   little was seen lately.  */
bool bb_answer_time_exceeds (const struct bb_answer_time *t, bb_usec objective,
                             bool is_low_priority, bb_usec now);
#endif
