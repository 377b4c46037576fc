/* Cold start: limits the new flows of a server that is slow for some time
   after its start.

   Where the configuration says how many requests a cold server bears, only its
   owner (marked/sync/sync_owners.c) places new flows on it, by a token bucket.
   The bucket keeps the requests of any second below the bound, also if packets
   are delayed by up to BB_COLD_DELAY_MAX.  Where it says nothing, the server's
   share of new flows grows with time.  */

#ifndef BB_MARKED_COLD_START_H
#define BB_MARKED_COLD_START_H

#include "marked/state/directory.h"

/* Difference of the delays of two requests, from the decision here to their
   arrival, that the bucket allows for.  */
#define BB_COLD_DELAY_MAX (250 * BB_MSEC)

/* A new owner places nothing for this time, so that no second has flows of two
   owners.  */
#define BB_COLD_HANDOVER_TIME (BB_SEC + BB_COLD_DELAY_MAX)

/* Bound on the requests of a cold server in any second: its rate times a
   factor, and some more.  Both in thousandths; a factor of 0 stands for 1.  */
struct bb_cold_limits
{
  uint32_t factor;
  uint32_t slack;
};

/* Whether S is cold and its service has a rate for cold servers.  */
bool bb_cold_start_is_limited (const struct bb_backend_server *s, bb_usec now);

/* Evaluates a cold server at a tick.  IS_OWNED: this balancer owns S by the
   owners known, which are the same since SINCE.  Returns whether the ownership
   changed.  After an interval between ticks that shows a freeze, the bucket
   starts empty.  */
bool bb_cold_start_refresh (struct bb_backend_server *s,
                            const struct bb_cold_limits *limits, bool is_owned,
                            bb_usec since, bb_usec now);

/* Whether a new flow may be placed on S.  True for a server that is not cold,
   or whose service has no rate.  */
bool bb_cold_start_admits (const struct bb_backend_server *s, bb_usec now);

/* Counts a new flow that was placed on S, or a further request on an open
   flow.  Further requests are not refused; they delay the next new flow.
   Returns whether S is limited.  */
bool bb_cold_start_take (struct bb_backend_server *s, bb_usec now);

/* Part of its share of new flows that S should get: 1 if it is not cold, or is
   limited by a rate.  */
double bb_cold_start_weight (const struct bb_backend_server *s, bb_usec now);

/* Returns the server in SERVERS whose share of a new flow the next draw of
   RANDOM hits, among the local ones with a weight below 1, or NULL.  The share
   of a failing server is divided by its cost factor.  SLOTS is the number of
   slots of all local servers.  */
struct bb_backend_server *bb_cold_start_draw (const struct bb_link *servers,
                                              double slots, GRand *random,
                                              bb_usec now);
#endif
