/* Demand for a service: the rate of new flows here, and the new flows of peers
   that no report shows yet.  */

#ifndef BB_MARKED_DEMAND_H
#define BB_MARKED_DEMAND_H

#include "core/core.h"

struct bb_demand
{
  double rate;     /* new flows per second here, smoothed, as of updated */
  bb_usec updated; /* 0: never */
  /* Sums over the live peers of the data centre, each for the time that its
     report does not cover.  */
  double peer_flows;   /* expected new flows */
  double peer_placers; /* peers that place a flow; a part if it is uncertain */
};

/* Records a new flow.  */
void bb_demand_add_flow (struct bb_demand *d, bb_usec now);

/* Returns the rate of new flows per second.  */
double bb_demand_rate (const struct bb_demand *d, bb_usec now);

/* Adds a peer that places RATE flows per second and whose last report covers
   all but the last UNSEEN.  */
void bb_demand_add_peer (struct bb_demand *d, double rate, bb_usec unseen);
#endif
