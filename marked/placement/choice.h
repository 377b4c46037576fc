/* Choice of one server among those that may get a new flow, by balancers that
   do not see each other's choices until the next report.

   If all of them choose the server of the least cost, that one gets all the
   flows of the time between two reports.  If each chooses any of the best K of
   N servers, none gets more than N/K times its share.  */

#ifndef BB_MARKED_CHOICE_H
#define BB_MARKED_CHOICE_H

#include "marked/state/directory.h"

/* How the servers of a service are compared.  */
struct bb_placement_policy
{
  const char *name;
  /* Expected load of SERVER with one more flow, for each slot.  */
  double (*cost) (const struct bb_backend_server *server, bb_usec now);
  /* Part of the new flows that SERVER can take, relative to the others; above
     0.  */
  double (*weight) (const struct bb_backend_server *server, bb_usec now);
};

/* Servers that may get a new flow.  Their order changes with each choice.  */
struct bb_pool
{
  struct bb_backend_server **servers;
  uint32_t count;
  double slots;      /* of all */
  double weight_max; /* of one */
};

/* Returns the part of the servers of POOL among which a new flow goes to a
   random one, from the demand that reports do not show.  0, the best server
   only, while the peers that may choose the same server fit into its slots;
   otherwise as many as give each of them one of these flows.  */
double bb_choice_part (const struct bb_pool *pool,
                       const struct bb_demand *demand);

/* Returns a random server of the PART of POOL that has the least cost, drawn
   by weight; NULL if the pool is empty.  Of a large pool a random sample is
   compared.  */
struct bb_backend_server *
bb_choose_server (struct bb_pool *pool, double part,
                  const struct bb_placement_policy *policy, GRand *random,
                  bb_usec now);
#endif
