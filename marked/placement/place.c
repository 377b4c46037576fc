#include "marked/placement/place.h"
#include "marked/placement/cold_start.h"

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
slots_of (const struct bb_backend_server *s)
{
  return s->record.slots ? s->record.slots : 1;
}

/* Pending requests per slot, as observed here and by the peers.  */
static double
load_per_slot (const struct bb_backend_server *s)
{
  return (s->load.busy + s->load.peer_busy) / slots_of (s);
}

static double
load_cost (const struct bb_backend_server *s)
{
  const struct bb_server_load *l = &s->load;
  double flows = l->open + l->peer_open;
  double busy = l->busy + l->peer_busy;
  return (flows + BUSY_WEIGHT * busy + 1) / slots_of (s);
}

const struct bb_placement_policy bb_placement_by_load = {
  .name = "load",
  .cost = load_cost,
};

/* The server of lowest cost so far.  Servers of equal cost are equally likely
   to be chosen.  */
struct candidate
{
  struct bb_backend_server *server;
  double cost;
  int tie_count;
};

static void
update_candidate (struct candidate *p, struct bb_backend_server *s,
                  double cost, GRand *random)
{
  if (p->server && cost > p->cost)
    return;
  if (p->server && cost >= p->cost)
    {
      p->tie_count++;
      if (g_rand_int_range (random, 0, p->tie_count) != 0)
        return;
    }
  else
    p->tie_count = 1;
  p->server = s;
  p->cost = cost;
}

/* The best server of each kind.  */
struct candidates
{
  struct candidate local_dc;
  struct candidate least_busy; /* local, with the lowest load per slot */
  struct candidate remote_dc;
  struct candidate suspect;
  double local_pending; /* of the local servers that are not suspect */
  double local_slots;
  bool has_unknown_slots; /* a local server does not tell its slots */
  bool passed_cold;       /* a cold server has no room */
  /* Local servers that get less than their share while they are cold.  */
  struct candidate starting;
  double starting_slots;
};

static void
add_local_load (struct candidates *p, const struct bb_backend_server *s)
{
  p->local_pending += s->load.busy + s->load.peer_busy;
  p->local_slots += slots_of (s);
  p->has_unknown_slots |= s->record.slots == 0;
}

static struct candidates
find_candidates (const struct bb_link *servers,
                 const struct bb_placement_policy *policy, GRand *random,
                 bb_usec now)
{
  struct candidates candidates = { 0 };
  for (const struct bb_link *at = servers->next; at != servers; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, of_service);
      struct candidate *candidate
          = s->is_local ? &candidates.local_dc : &candidates.remote_dc;
      if (s->record.state != BB_SERVER_READY
          && s->record.state != BB_SERVER_EXPIRED)
        continue;
      if (!bb_cold_start_admits (s, now))
        {
          candidates.passed_cold = true;
          continue;
        }
      if (bb_suspicion_is_suspect (&s->load.evidence, now))
        candidate = &candidates.suspect;
      else if (s->is_local && bb_cold_start_weight (s, now) < 1)
        {
          candidate = &candidates.starting;
          candidates.starting_slots += slots_of (s);
        }
      else if (s->is_local)
        {
          add_local_load (&candidates, s);
          update_candidate (&candidates.least_busy, s, load_per_slot (s),
                            random);
        }
      update_candidate (candidate, s, policy->cost (s), random);
    }
  return candidates;
}

/* Lets a server that gets less than its share while it is cold take the place
   of the local candidate: one drawn by its share, or the best one if there is
   no other candidate.  */
static void
add_starting_server (struct candidates *p, const struct bb_link *servers,
                     GRand *random, bb_usec now)
{
  if (!p->starting.server)
    return;
  if (!p->local_dc.server)
    {
      p->local_dc = p->least_busy = p->starting;
      p->least_busy.cost = load_per_slot (p->starting.server);
      return;
    }
  struct bb_backend_server *drawn = bb_cold_start_draw (
      servers, p->local_slots + p->starting_slots, random, now);
  if (drawn)
    p->local_dc.server = drawn;
}

static bool
prefers_remote (const struct bb_backend_server *local,
                const struct bb_backend_server *remote)
{
  double here = load_per_slot (local);
  return here >= REMOTE_LOAD_MIN
         && load_per_slot (remote) < here * REMOTE_LOAD_RATIO;
}

/* Whether a new flow may go to the own data centre, because answers arrive in
   time there.  */
static bool
local_is_admitted (const struct candidates *p,
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
   answer time, since the data centre may be unreachable.  */
static bool
remote_is_admitted (const struct candidates *p,
                    const struct bb_server_group *group, bb_usec objective,
                    bool is_low_priority, bb_usec now)
{
  return p->remote_dc.server
         && (!is_low_priority
             || bb_answer_time_is_known (&group->remote_dc, now))
         && !bb_answer_time_exceeds (&group->remote_dc, objective,
                                     is_low_priority, now);
}

static struct bb_placement
choose (struct bb_backend_server *s, enum bb_reason reason)
{
  return (struct bb_placement){ .server = s, .reason = reason };
}

static struct bb_placement
choose_candidate (const struct candidates *p, struct bb_server_group *group,
                  const struct bb_route_record *route, bool is_low_priority,
                  bb_usec now)
{
  bb_usec objective = route->objective_ms * BB_MSEC;
  struct bb_backend_server *local = p->local_dc.server,
                           *remote = p->remote_dc.server;
  bool local_admitted
      = local_is_admitted (p, group, objective, is_low_priority, now);
  bool remote_admitted
      = remote_is_admitted (p, group, objective, is_low_priority, now);
  if ((local || remote) && !local_admitted && !remote_admitted)
    {
      /* Slow answers are no reason to refuse a flow while a slot is free: the
         servers may be slow, or the requests of the route long.  */
      if (p->has_unknown_slots && p->least_busy.cost < BB_FULL_LOAD)
        return choose (p->least_busy.server, BB_REASON_OWN_DATA_CENTRE);
      bb_priorities_add_refusal (&group->priorities, route->priority, now);
      return choose (NULL, BB_REASON_ALL_BUSY);
    }
  if (local
      && !(remote_admitted
           && (!local_admitted || prefers_remote (local, remote))))
    return choose (local, BB_REASON_OWN_DATA_CENTRE);
  if (remote)
    return choose (remote, BB_REASON_OTHER_DATA_CENTRE);
  /* If all servers seem dead, one of them is used anyway.  The evidence may be
     wrong, and a failed flow costs the caller no more than a refusal.  */
  if (p->suspect.server)
    return choose (p->suspect.server, BB_REASON_SERVER_SILENT);
  return choose (NULL, p->passed_cold ? BB_REASON_COLD : BB_REASON_NO_SERVER);
}

static struct bb_placement
choose_server (struct bb_server_group *group,
               const struct bb_placement_policy *policy,
               const struct bb_route_record *route, GRand *random, bb_usec now)
{
  bool is_low_priority
      = bb_priorities_add_flow (&group->priorities, route->priority, now);
  struct candidates p = find_candidates (&group->servers, policy, random, now);
  add_starting_server (&p, &group->servers, random, now);
  if (p.local_slots > 0)
    bb_concurrency_add_load (&group->concurrency,
                             p.local_pending / p.local_slots, now);
  struct bb_placement choice
      = choose_candidate (&p, group, route, is_low_priority, now);
  choice.passed_cold = p.passed_cold;
  return choice;
}

static uint32_t
draw_service (const struct bb_route_record *r, GRand *random)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < r->share_count; i++)
    sum += r->shares[i].weight;
  if (sum == 0)
    return r->shares[0].service;
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
  else if (route->record.share_count == 0)
    none.reason = BB_REASON_ROUTE_DROPPED;
  else
    {
      struct bb_server_group *group = bb_directory_find_service (
          directory, draw_service (&route->record, random));
      if (group)
        return choose_server (group, policy, &route->record, random, now);
    }
  return none;
}
