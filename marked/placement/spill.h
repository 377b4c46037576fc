/* Spill: moves a part of the new flows of a data centre whose servers are
   nearly busy to data centres that have room, by the reports of their
   leaders.  */

#ifndef BB_MARKED_SPILL_H
#define BB_MARKED_SPILL_H

#include "marked/placement/choice.h"

/* Servers of one service as seen by the balancers of a data centre.  */
struct bb_spill_view
{
  /* Pending requests per slot here, smoothed; INFINITY if there is no server.
   */
  double load;
  double slots;                /* here */
  const struct bb_pool *other; /* servers of other data centres */
  bb_usec now;
};

/* Returns the data centre that a new flow goes to; 0: the own one.  Above the
   load at which requests begin to wait, the part of the flows that leave grows
   with the load, up to the part that the other data centres have of the free
   slots.  Each of them gets flows by its free slots.  */
uint64_t bb_spill_choose (const struct bb_rooms *rooms,
                          const struct bb_spill_view *view, GRand *random);
#endif
