/* Detects silent flows, whose caller keeps repeating the same sequence number.
   Memory is fixed; nothing is allocated after creation.  */

#ifndef BB_CORE_SILENCE_H
#define BB_CORE_SILENCE_H

#include "core/core.h"

#define BB_SILENCE_MIN_OBSERVATIONS 4 /* of one sequence number */

struct bb_silence;

/* SLOTS is rounded up to a power of two.  */
struct bb_silence *bb_silence_new (uint32_t slots);
void bb_silence_free (struct bb_silence *s);

/* Called at the ingress for each TCP packet with payload, on the packet path.
   Returns whether the same SEQUENCE of the flow HASH was seen here at least
   200 ms ago.  A miss through eviction only delays detection.  */
bool bb_silence_observe (struct bb_silence *s, uint64_t hash,
                         uint32_t sequence, bb_usec now);

/* Called at the flow's owner for each packet that an ingress (itself or a
   peer) reported as a repetition.  Returns true, and restarts the count, once
   at least BB_SILENCE_MIN_OBSERVATIONS observations of SEQUENCE have spanned
   LIMIT (the service's silent_ms).  Another sequence number is progress of the
   flow and restarts the count.  LIMIT 0: never.  */
bool bb_silence_count_repeat (struct bb_silence *s, uint64_t hash,
                              uint32_t sequence, bb_usec limit, bb_usec now);

/* Restarts the count of the flow HASH, because a balancer and not the server
   left the last packet unanswered.  */
void bb_silence_reset_count (struct bb_silence *s, uint64_t hash);
#endif
