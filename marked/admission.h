/* Whether servers have room for new flows.

   The load that this answers: more requests than the servers of a service can
   run.  Most of them come on open flows, which nothing here can refuse.  Those
   that a full server rejects come back within milliseconds as new flows.  If
   these are placed, every queue stays full, and whatever is answered is late.
   If they are refused at once, the queues drain, and the requests on open
   flows are answered in time.

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

/* An answer took TOOK.  */
void bb_answer_time_add (struct bb_answer_time *t, bb_usec took, bb_usec now);

/* Whether a request that is sent now is likely to be answered too late for
   OBJECTIVE, the latency that its route aims at; 0: none.  False if too little
   was seen lately.  */
bool bb_answer_time_exceeds (const struct bb_answer_time *t, bb_usec objective,
                             bb_usec now);
#endif
