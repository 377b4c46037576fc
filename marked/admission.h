/* Admission control: decides whether a new flow is refused because its request
   would probably be answered later than the latency objective of its route.

   It protects a service from overload.  Most requests arrive on open flows,
   which cannot be refused here.  A request that a full server rejects comes
   back within milliseconds as a new flow.  If these flows are placed, every
   queue stays full and all answers are late.  If they are refused at once, the
   queues drain and the requests on open flows are answered in time.

   Of two routes of one service, a refusal costs the callers of the more urgent
   route more, so new flows of the less urgent route are refused earlier.

   The queues of servers are not visible in the forwarding path, which
   measures the time to an answer instead.  This time also covers servers in
   other data centres.
 */

#ifndef BB_MARKED_ADMISSION_H
#define BB_MARKED_ADMISSION_H

#include "core/core.h"

/* Running estimate of the time to an answer, a high quantile of all answers.
 */
struct bb_answer_time
{
  bb_usec estimate;
  bb_usec updated;
  uint32_t answers; /* answers since the estimate was started */
};

/* A priority, 0 being the most urgent, and the time of its last new flow.  */
struct bb_priority_seen
{
  uint32_t priority;
  bb_usec last_seen; /* 0: never */
};

/* Priorities of the routes on which recent new flows of a service arrived.  */
struct bb_priorities
{
  struct bb_priority_seen most_urgent;
  struct bb_priority_seen least_urgent;
  bb_usec last_refusal; /* last refusal for lack of capacity; 0: never */
};

/* Records a new flow on a route of PRIORITY.  Returns whether the flow has low
   priority: a flow was refused recently, PRIORITY is the least urgent one in
   recent use, and a more urgent one is in use.  Priorities between these two
   do not count as low, since a route with few flows may be the most urgent
   one.  */
bool bb_priorities_add_flow (struct bb_priorities *u, uint32_t priority,
                             bb_usec now);

/* Records that a new flow was refused.  */
void bb_priorities_add_refusal (struct bb_priorities *u, bb_usec now);

/* Adds TOOK, the time to an answer, to the estimate.  */
void bb_answer_time_add (struct bb_answer_time *t, bb_usec took, bb_usec now);

/* Whether there are enough recent answers for an estimate.  */
bool bb_answer_time_is_known (const struct bb_answer_time *t, bb_usec now);

/* Whether a request that is sent now would probably be answered too late for
   OBJECTIVE, the latency objective of its route (0 if it has none).  A lower
   limit applies if IS_LOW_PRIORITY, which leaves capacity to more urgent
   routes.  False if there are too few recent answers.  */
bool bb_answer_time_exceeds (const struct bb_answer_time *t, bb_usec objective,
                             bool is_low_priority, bb_usec now);
#endif
