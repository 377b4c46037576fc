/* Placement: chooses the backend server of a new flow by the load and the
   answer times of the servers of its route.  It refuses the flow if the answer
   would be late.  */

#ifndef BB_MARKED_PLACE_H
#define BB_MARKED_PLACE_H

#include "marked/placement/choice.h"

extern const struct bb_placement_policy bb_placement_by_load;

/* How a server was chosen.  */
enum bb_choice_kind
{
  BB_CHOICE_LEAST,  /* the least cost */
  BB_CHOICE_RANDOM, /* one of the best */
  BB_CHOICE_KINDS
};

struct bb_placement
{
  struct bb_backend_server *server; /* NULL: refuse the flow */
  enum bb_reason reason;
  enum bb_choice_kind choice;
  bool is_spilled;  /* to another data centre, by its report of room */
  bool passed_cold; /* a cold server had no room for the flow */
};

/* Chooses among the servers of the services of ROUTE.  */
struct bb_placement bb_place_flow (const struct bb_directory *directory,
                                   const struct bb_route *route,
                                   const struct bb_placement_policy *policy,
                                   GRand *random, bb_usec now);
#endif
