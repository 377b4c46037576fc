/* Admission control: decides whether a new flow is refused because its request
   would probably be answered later than the latency objective of its route.

   It protects a service from overload.  Most requests arrive on open flows,
   which cannot be refused here.  A request that a full server rejects comes
   back within milliseconds as a new flow.  If these flows are placed, every
   queue stays full and all answers are late.  If they are refused at once, the
   queues drain and the requests on open flows are answered in time.

   Of two routes of one service, a refusal costs the callers of the more urgent
   route more, so new flows of the less urgent route are refused earlier.  Each
   of them that stays open brings further requests, which cannot be refused.

   In the own data centre the pending requests of each server are known here.
   With the time that a request takes without waiting, they give the time to
   the answer before a queue has built up.  The load of other data centres is
   not known; there the time to recent answers decides.
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
  bb_usec last_refusal; /* of a flow that was not least urgent; 0: never */
};

/* Records a new flow on a route of PRIORITY.  Returns whether the flow has low
   priority: PRIORITY is the least urgent one in recent use, and a more urgent
   flow was refused recently.  Priorities between the most and the least urgent
   one do not count as low, since a route with few flows may be the most urgent
   one.  */
bool bb_priorities_add_flow (struct bb_priorities *u, uint32_t priority,
                             bb_usec now);

/* Records that a new flow of PRIORITY was refused for lack of capacity.  */
void bb_priorities_add_refusal (struct bb_priorities *u, uint32_t priority,
                                bb_usec now);

/* Pending requests of the servers of one service in the own data centre.  */
struct bb_concurrency
{
  double pending;       /* per slot; mean of the servers, smoothed */
  bb_usec updated;      /* time of the last load; 0: never */
  bb_usec service_time; /* mean time to an answer without a queue; 0: unknown
                         */
  uint32_t answers;     /* counted in service_time */
};

/* Pending requests per slot at which a server has no free slot.  */
#define BB_FULL_LOAD 1.0

/* Adds PENDING, the mean of pending requests per slot.  */
void bb_concurrency_add_load (struct bb_concurrency *c, double pending,
                              bb_usec now);

/* Adds TOOK, the time to an answer of a request that found a free slot.  */
void bb_concurrency_add_answer (struct bb_concurrency *c, bb_usec took);

/* Whether a request that is sent now would probably be answered too late for
   OBJECTIVE, the latency objective of its route (0 if it has none).  LEAST is
   the number of pending requests per slot of the server that has the fewest.
   False while a slot is free: the servers may be slow, or the requests of the
   route long.  If IS_LOW_PRIORITY, a lower limit applies, and the mean of all
   servers decides: single slots that become free are left to more urgent
   requests.  */
bool bb_concurrency_exceeds (const struct bb_concurrency *c, double least,
                             bb_usec objective, bool is_low_priority);

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
