/* Delay of the path from this balancer to a server, to the caller and back.
   It keeps queues and lost packets at the balancer's own links from being
   taken for silent servers.  */

#ifndef BB_MARKED_PATH_DELAY_H
#define BB_MARKED_PATH_DELAY_H

#include "core/core.h"

/* Recent times from a forwarded packet to the packet of the caller that shows
   the answer.  Samples are the time from a first packet to the caller's next
   one, through both links and their queues, and the length of silences of
   servers that turned out to be alive.  */
struct bb_path_delay
{
  bb_usec window_start;     /* of the current window */
  bb_usec longest;          /* in the current window */
  bb_usec previous_longest; /* in the window before */
  /* Silences after which the server answered, in the same windows.  */
  uint32_t survived_silences;
  uint32_t previous_survived_silences;
};

/* Adds a time of TOOK, in microseconds, until an answer was observed.  */
void bb_path_delay_add (struct bb_path_delay *d, bb_usec took, bb_usec now);

/* Adds a silence of TOOK of a server that is alive.  */
void bb_path_delay_add_silence (struct bb_path_delay *d, bb_usec took,
                                bb_usec now);

/* Whether so many live servers were silent recently that silence proves
   nothing: a link of this balancer drops packets, or new callers arrive faster
   than servers answer.  */
bool bb_path_delay_is_unreliable (const struct bb_path_delay *d, bb_usec now);

/* Returns the longest time of the last one to two windows; 0 without recent
   samples.  */
bb_usec bb_path_delay_longest (const struct bb_path_delay *d, bb_usec now);
#endif
