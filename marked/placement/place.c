#include "marked/placement/place.h"
#include "marked/placement/candidates.h"
#include "marked/placement/spill.h"
#include <math.h>

/* Cost of a pending request relative to an open flow.  The request occupies a
   slot now; most of the open flows are idle.  */
#define BUSY_WEIGHT 8.0

/* A new flow goes to another data centre if the best local server has at least
   this number of requests per slot, running or queued, and the best remote
   server has less than half of that load.  Flows that stay local survive a
   network failure between data centres.  */
#define REMOTE_LOAD_MIN 2.0
#define REMOTE_LOAD_RATIO 0.5

static double
load_cost (const struct bb_backend_server *s, bb_usec now)
{
  const struct bb_server_load *l = &s->load;
  double flows = l->open + l->peer_open;
  double busy = l->busy + l->peer_busy;
  return (flows + BUSY_WEIGHT * busy + 1) / bb_candidate_slots (s)
         * bb_answer_quality_factor (&s->load.quality, now);
}

static double
load_weight (const struct bb_backend_server *s, bb_usec now)
{
  return bb_candidate_slots (s)
         / bb_answer_quality_factor (&s->load.quality, now);
}

const struct bb_placement_policy bb_placement_by_load = {
  .name = "load",
  .cost = load_cost,
  .weight = load_weight,
};

static bool
prefers_remote (const struct bb_backend_server *local,
                const struct bb_backend_server *remote)
{
  double here = bb_candidate_load (local);
  return here >= REMOTE_LOAD_MIN
         && bb_candidate_load (remote) < here * REMOTE_LOAD_RATIO;
}

/* Whether a new flow may go to the own data centre, because answers arrive in
   time there.  */
static bool
local_is_admitted (const struct bb_candidates *p,
                   const struct bb_server_group *group, bb_usec objective,
                   bool is_low_priority, bb_usec now)
{
  if (!p->local_dc.server)
    return false;
  if (p->has_unknown_slots)
    return !bb_answer_time_exceeds (&group->local_dc, objective,
                                    is_low_priority, now);
  return !bb_concurrency_exceeds (&group->concurrency, p->least_busy.cost,
                                  objective, is_low_priority);
}

/* Whether a new flow may go to another data centre, because answers arrive in
   time there.  For a flow of low priority there must be an estimate of the
   answer time, since the data centre may be unreachable, unless the own data
   centre is evacuated.  */
static bool
remote_is_admitted (const struct bb_candidates *p,
                    const struct bb_server_group *group, bb_usec objective,
                    bool is_low_priority, bb_usec now)
{
  return p->remote_dc.server
         && (!is_low_priority || p->is_local_evacuated
             || bb_answer_time_is_known (&group->remote_dc, now))
         && !bb_answer_time_exceeds (&group->remote_dc, objective,
                                     is_low_priority, now);
}

/* A new flow that is being placed.  */
struct placing
{
  struct bb_server_group *group;
  const struct bb_placement_policy *policy;
  GRand *random;
  bb_usec now;
  struct bb_candidates found;
};

/* Why a flow goes to another data centre.  */
static enum bb_reason
remote_reason (const struct bb_candidates *p)
{
  return p->is_local_evacuated ? BB_REASON_EVACUATED
                               : BB_REASON_OTHER_DATA_CENTRE;
}

/* Chooses from POOL, whose server of the least cost is LEAST.  */
static struct bb_placement
choose_from (struct placing *p, struct bb_pool *pool,
             struct bb_backend_server *least, enum bb_reason reason)
{
  struct bb_placement choice = { .server = least, .reason = reason };
  double part = bb_choice_part (pool, &p->group->demand);
  if (part <= 0)
    return choice;
  choice.choice = BB_CHOICE_RANDOM;
  choice.server = bb_choose_server (pool, part, p->policy, p->random, p->now);
  return choice;
}

/* Returns the servers of POOL that are in DATA_CENTRE, which are moved to its
   start, and their server of the least cost.  */
static struct bb_pool
select_data_centre (const struct placing *p, const struct bb_pool *pool,
                    uint64_t data_centre, struct bb_backend_server **least)
{
  struct bb_pool selected = { .servers = pool->servers };
  struct bb_candidate best = { 0 };
  for (uint32_t i = 0; i < pool->count; i++)
    {
      struct bb_backend_server *s = pool->servers[i];
      if (s->data_centre != data_centre)
        continue;
      pool->servers[i] = pool->servers[selected.count];
      pool->servers[selected.count++] = s;
      selected.slots += bb_candidate_slots (s);
      selected.weight_max
          = MAX (selected.weight_max, p->policy->weight (s, p->now));
      bb_candidate_update (&best, s, p->policy->cost (s, p->now), p->random);
    }
  *least = best.server;
  return selected;
}

/* Moves the flow to a data centre that reports room, if the own one is nearly
   busy.  Returns no server if the flow stays.  */
static struct bb_placement
choose_spill (struct placing *p)
{
  struct bb_placement none = { 0 };
  bool has_local = p->found.local.count > 0;
  struct bb_spill_view view
      = { .load = has_local ? p->group->concurrency.pending : INFINITY,
          .slots = p->found.local.slots,
          .other = &p->found.remote,
          .now = p->now };
  uint64_t data_centre = bb_spill_choose (&p->group->rooms, &view, p->random);
  struct bb_backend_server *least;
  if (data_centre == 0)
    return none;
  struct bb_pool pool
      = select_data_centre (p, &p->found.remote, data_centre, &least);
  if (pool.count == 0)
    return none;
  struct bb_placement choice
      = choose_from (p, &pool, least, remote_reason (&p->found));
  choice.is_spilled = true;
  return choice;
}

/* Chooses a server while new flows are admitted neither in the own data centre
   nor elsewhere.  */
static struct bb_placement
choose_when_busy (struct placing *p, const struct bb_route *route)
{
  /* Slow answers are no reason to refuse a flow while a slot is free: the
     servers may be slow, or the requests of the route long.  */
  if (p->found.has_unknown_slots && p->found.least_busy.cost < BB_FULL_LOAD)
    return (struct bb_placement){ .server = p->found.least_busy.server,
                                  .reason = BB_REASON_OWN_DATA_CENTRE };
  bb_priorities_add_refusal (&p->group->priorities, route->priority, p->now);
  return (struct bb_placement){ .reason = BB_REASON_ALL_BUSY };
}

static struct bb_placement
choose_server (struct placing *p, const struct bb_route *route)
{
  struct bb_candidates *found = &p->found;
  bb_usec objective = route->objective_ms * BB_MSEC;
  bool is_low_priority = bb_priorities_add_flow (&p->group->priorities,
                                                 route->priority, p->now);
  if (found->local.slots > 0)
    bb_concurrency_add_load (&p->group->concurrency,
                             found->local_pending / found->local.slots,
                             p->now);
  struct bb_backend_server *local = found->local_dc.server,
                           *remote = found->remote_dc.server;
  bool local_admitted = local_is_admitted (found, p->group, objective,
                                           is_low_priority, p->now);
  bool remote_admitted = remote_is_admitted (found, p->group, objective,
                                             is_low_priority, p->now);
  struct bb_placement spilled = choose_spill (p);
  if (spilled.server)
    return spilled;
  if ((local || remote) && !local_admitted && !remote_admitted)
    return choose_when_busy (p, route);
  if (local
      && !(remote_admitted
           && (!local_admitted || prefers_remote (local, remote))))
    return found->drawn
               ? (struct bb_placement){ .server = found->drawn,
                                        .reason = BB_REASON_OWN_DATA_CENTRE }
               : choose_from (p, &found->local, local,
                              BB_REASON_OWN_DATA_CENTRE);
  if (remote)
    return choose_from (p, &found->remote, remote, remote_reason (found));
  /* If all servers seem dead, one of them is used anyway.  The evidence may be
     wrong, and a failed flow costs the caller no more than a refusal.  */
  if (found->suspect.server)
    return (struct bb_placement){ .server = found->suspect.server,
                                  .reason = BB_REASON_SERVER_SILENT };
  return (struct bb_placement){ .reason = found->passed_cold ? BB_REASON_COLD
                                          : found->has_evacuated
                                              ? BB_REASON_EVACUATED
                                              : BB_REASON_NO_SERVER };
}

/* Returns the first service of R that has servers; for a route whose weights
   are all 0.  */
static uint64_t
first_service (const struct bb_directory *directory, const struct bb_route *r)
{
  for (uint32_t i = 0; i < r->share_count; i++)
    if (bb_directory_find_service (directory, r->shares[i].service))
      return r->shares[i].service;
  return r->shares[0].service;
}

static uint64_t
draw_service (const struct bb_directory *directory, const struct bb_route *r,
              GRand *random)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < r->share_count; i++)
    sum += r->shares[i].weight;
  if (sum == 0)
    return first_service (directory, r);
  uint64_t drawn_weight = (uint64_t)(g_rand_double (random) * (double)sum);
  for (uint32_t i = 0; i < r->share_count; i++)
    {
      if (drawn_weight < r->shares[i].weight)
        return r->shares[i].service;
      drawn_weight -= r->shares[i].weight;
    }
  return r->shares[r->share_count - 1].service;
}

struct bb_placement
bb_place_flow (const struct bb_directory *directory,
               const struct bb_route *route,
               const struct bb_placement_policy *policy, GRand *random,
               bb_usec now)
{
  struct bb_placement none = { .reason = BB_REASON_NO_SERVER };
  if (!route)
    none.reason = BB_REASON_NO_ROUTE;
  else if (route->share_count == 0)
    none.reason = BB_REASON_ROUTE_DROPPED;
  else
    {
      struct bb_server_group *group = bb_directory_find_service (
          directory, draw_service (directory, route, random));
      if (!group)
        return none;
      bb_demand_add_flow (&group->demand, now);
      struct placing placing
          = { .group = group,
              .policy = policy,
              .random = random,
              .now = now,
              .found = bb_candidates_find (group, policy, random, now) };
      struct bb_placement choice = choose_server (&placing, route);
      choice.passed_cold = placing.found.passed_cold;
      return choice;
    }
  return none;
}
