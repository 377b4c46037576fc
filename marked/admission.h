/* Whether servers have room for new flows.

   The load that this answers: more requests than the servers of a service can
   run.  Most of them come on open flows, which nothing here can refuse.  Those
   that a full server rejects come back within milliseconds as new flows.  If
   these are placed, every queue stays full, and whatever is answered is late.
   If they are refused at once, the queues drain, and the requests on open
   flows are answered in time.

   Of two routes of one service, callers of the more urgent one lose more by a
   refusal; the other one's new flows are refused earlier.

   Queues cannot be seen from the forward path, but the time to an answer can,
   at servers of other data centres too.  */

#ifndef BB_MARKED_ADMISSION_H
#define BB_MARKED_ADMISSION_H

#include "core/core.h"

/* Running estimate of the time that most answers take.  */
struct bb_answer_time
{
  bb_usec estimate;
  bb_usec updated;
  uint32_t answers; /* since it began */
};

/* A priority, 0 being the most urgent, and its last new flow.  */
struct bb_priority_seen
{
  uint32_t priority;
  bb_usec at; /* 0: never */
};

/* Priorities of the routes that new flows of a service came on lately.  */
struct bb_urgency
{
  struct bb_priority_seen most; /* urgent */
  struct bb_priority_seen least;
  bb_usec refused; /* last time that servers had no room; 0: never */
};

/* Notes a new flow on a route of PRIORITY.  Returns whether it yields: servers
   had no room lately, it is the least urgent of those that came lately, and
   another one is more urgent.
   Routes between the two do not yield, since a route with few flows may be the
   most urgent.  */
bool bb_urgency_yields (struct bb_urgency *u, uint32_t priority, bb_usec now);

/* A new flow was refused.  */
void bb_urgency_refused (struct bb_urgency *u, bb_usec now);

/* An answer took TOOK.  */
void bb_answer_time_add (struct bb_answer_time *t, bb_usec took, bb_usec now);

/* Whether enough was seen lately.  */
bool bb_answer_time_is_known (const struct bb_answer_time *t, bb_usec now);

/* Whether a request that is sent now is likely to be answered too late for
   OBJECTIVE, the latency that its route aims at; 0: none.  One that YIELDS is
   late sooner, so that more urgent ones find room.  False if too little was
   seen lately.  */
bool bb_answer_time_exceeds (const struct bb_answer_time *t, bb_usec objective,
                             bool yields, bb_usec now);
#endif
