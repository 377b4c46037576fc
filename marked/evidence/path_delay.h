/* Delay of the path from this balancer to a server, on to the caller and back
   to this balancer.  With this delay, queues and lost packets at the links of
   the balancer are distinguished from silent servers.  */

#ifndef BB_MARKED_PATH_DELAY_H
#define BB_MARKED_PATH_DELAY_H

#include "core/core.h"

/* Recent times from a forwarded packet to the packet of the caller that shows
   the answer.  There are two kinds of samples: the time from the first packet
   of a flow to the caller's next packet, through both links and their queues,
   and the length of a silence of a server that proved to be alive.  */
struct bb_path_delay
{
  bb_usec window_start;     /* of the current window */
  bb_usec longest;          /* in the current window */
  bb_usec previous_longest; /* in the window before */
  /* Silences after which the server answered, in the same windows.  */
  uint32_t false_silences;
  uint32_t previous_false_silences;
};

/* Adds TOOK, the time in microseconds until an answer was observed.  */
void bb_path_delay_add (struct bb_path_delay *d, bb_usec took, bb_usec now);

/* Adds TOOK, the length of a silence of a server that is alive.  */
void bb_path_delay_add_silence (struct bb_path_delay *d, bb_usec took,
                                bb_usec now);

/* Whether so many live servers were silent recently that a silence is no
   evidence of a dead server: a link of this balancer drops packets, or new
   callers arrive faster than servers answer.  */
bool bb_path_delay_is_unreliable (const struct bb_path_delay *d, bb_usec now);

/* Returns the longest time of the last one to two windows; 0 without recent
   samples.  */
bb_usec bb_path_delay_longest (const struct bb_path_delay *d, bb_usec now);
#endif
