/* The servers of a service that may get a new flow, and the best of each
   kind.  */

#ifndef BB_MARKED_CANDIDATES_H
#define BB_MARKED_CANDIDATES_H

#include "marked/placement/choice.h"

/* The server of lowest cost so far.  Servers of equal cost are equally likely
   to be chosen.  */
struct bb_candidate
{
  struct bb_backend_server *server;
  double cost;
  int tie_count;
};

/* The best server of each kind, and those to choose from.  */
struct bb_candidates
{
  struct bb_candidate local_dc;
  struct bb_candidate least_busy; /* local, with the lowest load per slot */
  struct bb_candidate remote_dc;
  struct bb_candidate suspect;
  struct bb_pool local; /* those that are not suspect */
  struct bb_pool remote;
  double local_pending;
  bool has_unknown_slots;  /* a local server does not tell its slots */
  bool has_evacuated;      /* servers of an evacuated data centre */
  bool is_local_evacuated; /* the own data centre is among them */
  bool passed_cold;        /* a cold server has no room */
  /* Local servers that get less than their share while they are cold.  */
  struct bb_candidate starting;
  double starting_slots;
  struct bb_backend_server *drawn; /* one of them, by its share, or NULL */
};

/* Slots of S; 1 if it does not tell.  */
double bb_candidate_slots (const struct bb_backend_server *s);

/* Pending requests per slot, as observed here and by the peers.  */
double bb_candidate_load (const struct bb_backend_server *s);

/* Makes S the best server of *P if its COST is lower than the best one's.  */
void bb_candidate_update (struct bb_candidate *p, struct bb_backend_server *s,
                          double cost, GRand *random);

/* Returns the candidates of GROUP.  They are valid until the next call for the
   same group.  */
struct bb_candidates
bb_candidates_find (struct bb_server_group *group,
                    const struct bb_placement_policy *policy, GRand *random,
                    bb_usec now);
#endif
