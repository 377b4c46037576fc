/* Choice of one server among those that may get a new flow, by balancers that
   do not see each other's choices until the next report.

   If all of them choose the server of the least cost, that one gets all the
   flows of the time between two reports.  If each chooses the least cost among
   D random servers, no server gets more than D times its share.  */

#ifndef BB_MARKED_CHOICE_H
#define BB_MARKED_CHOICE_H

#include "marked/state/directory.h"

/* How the servers of a service are compared.  */
struct bb_placement_policy
{
  const char *name;
  /* Expected load of SERVER with one more flow, for each slot.  */
  double (*cost) (const struct bb_backend_server *server);
  /* Part of the new flows that SERVER can take, relative to the others; above
     0.  */
  double (*weight) (const struct bb_backend_server *server);
};

/* Servers that may get a new flow.  Their order changes with each choice.  */
struct bb_pool
{
  struct bb_backend_server **servers;
  uint32_t count;
  double slots;      /* of all */
  double weight_max; /* of one */
};

/* Returns D for a pool, from the demand that reports do not show: as many as
   the pool has while the peers that may choose the same server fit into its
   slots; otherwise as many as let one of their flows reach the server that
   looks best.  */
double bb_choice_width (const struct bb_pool *pool,
                        const struct bb_demand *demand);

/* Returns the server of the least cost among WIDTH random ones, drawn by
   weight; NULL if the pool is empty.  A fraction of WIDTH is the probability
   of one more.  */
struct bb_backend_server *
bb_choose_server (struct bb_pool *pool, double width,
                  const struct bb_placement_policy *policy, GRand *random);
#endif
