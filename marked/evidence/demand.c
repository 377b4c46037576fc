#include "marked/evidence/demand.h"

#include <math.h>

/* Time constant of the rate: several heartbeats, and a fraction of a burst.
 */
#define RATE_SMOOTHING (1 * BB_SEC)

double
bb_demand_rate (const struct bb_demand *d, bb_usec now)
{
  double age = (double)(now - d->updated) / RATE_SMOOTHING;
  return d->updated ? d->rate * exp (-MAX (age, 0)) : 0;
}

void
bb_demand_add_flow (struct bb_demand *d, bb_usec now)
{
  d->rate = bb_demand_rate (d, now) + (double)BB_SEC / RATE_SMOOTHING;
  d->updated = now;
}

void
bb_demand_add_peer (struct bb_demand *d, double rate, bb_usec unseen)
{
  double flows = rate * (double)unseen / BB_SEC;
  d->peer_flows += flows;
  d->peer_placers += MIN (flows, 1);
}
