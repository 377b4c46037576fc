/* Placement: chooses the backend server of a new flow by the load and the
   answer times of the servers of its route.  It refuses the flow if the answer
   would be late.  */

#ifndef BB_MARKED_PLACE_H
#define BB_MARKED_PLACE_H

#include "marked/state/directory.h"

/* How the servers of a service are compared.  */
struct bb_placement_policy
{
  const char *name;
  /* Expected load of SERVER with one more flow.  The server of the lowest cost
   * is chosen.  */
  double (*cost) (const struct bb_backend_server *server);
};

extern const struct bb_placement_policy bb_placement_by_load;

struct bb_placement
{
  struct bb_backend_server *server; /* NULL: refuse the flow */
  enum bb_reason reason;
  bool passed_cold; /* a cold server had no room for the flow */
};

/* Chooses among the servers of the services of ROUTE.  */
struct bb_placement bb_place_flow (const struct bb_directory *directory,
                                   const struct bb_route *route,
                                   const struct bb_placement_policy *policy,
                                   GRand *random, bb_usec now);
#endif
