/* What the time of answers shows of the links of a balancer, so that queues
   and lost packets there are not taken for servers that are silent.  */

#ifndef BB_MARKED_PATH_DELAY_H
#define BB_MARKED_PATH_DELAY_H

#include "core/core.h"

/* How long it took lately until an answer showed here: from a first packet
   that was forwarded to the caller's next one, through both links and their
   queues, or the silence of a server that lived.  */
struct bb_path_delay
{
  bb_usec window_start;     /* of the window under way */
  bb_usec longest;          /* in it */
  bb_usec previous_longest; /* in the window previous_longest */
  /* Silences that servers survived_silences, in the same windows.  */
  uint32_t survived_silences;
  uint32_t previous_survived_silences;
};

/* An answer took TOOK, in microseconds, until it showed.  */
void bb_path_delay_add (struct bb_path_delay *d, bb_usec took, bb_usec now);

/* A server that lives was silent for TOOK.  */
void bb_path_delay_add_silence (struct bb_path_delay *d, bb_usec took,
                                bb_usec now);

/* Whether so many live servers were silent lately that silence shows nothing:
   a link of this balancer drops packets, or callers come faster than servers
   answer.  */
bool bb_path_delay_is_unreliable (const struct bb_path_delay *d, bb_usec now);

/* Longest of the last one to two windows; 0 without a recent one.  */
bb_usec bb_path_delay_longest (const struct bb_path_delay *d, bb_usec now);
#endif
