/* Chooses the backend server of a new flow.  */

#ifndef BB_MARKED_PLACE_H
#define BB_MARKED_PLACE_H

#include "marked/directory.h"

/* How the servers of a service are compared.  */
struct bb_placement_policy
{
  const char *name;
  /* Expected load of SERVER with one more flow; less is better.  */
  double (*cost) (const struct bb_backend_server *server, bb_usec now);
};

extern const struct bb_placement_policy bb_placement_by_load;

struct bb_placement
{
  struct bb_backend_server *server; /* NULL: refuse */
  enum bb_reason reason;
};

/* Chooses among the servers that ROUTE leads to.  */
struct bb_placement bb_place_flow (const struct bb_directory *directory,
                                   const struct bb_route *route,
                                   const struct bb_placement_policy *policy,
                                   GRand *random, bb_usec now);
#endif
