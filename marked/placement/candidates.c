#include "marked/placement/candidates.h"
#include "marked/placement/cold_start.h"

double
bb_candidate_slots (const struct bb_backend_server *s)
{
  return s->record.slots ? s->record.slots : 1;
}

double
bb_candidate_load (const struct bb_backend_server *s)
{
  return (s->load.busy + s->load.peer_busy) / bb_candidate_slots (s);
}

void
bb_candidate_update (struct bb_candidate *p, struct bb_backend_server *s,
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

/* Whether S gets less than its share of new flows while it is cold.  */
static bool
is_starting (const struct bb_backend_server *s, bb_usec now)
{
  return s->is_local && bb_cold_start_weight (s, now) < 1;
}

static void
add_local_load (struct bb_candidates *p, const struct bb_backend_server *s)
{
  p->local_pending += s->load.busy + s->load.peer_busy;
  p->has_unknown_slots |= s->record.slots == 0;
}

static bool
skip_evacuated (struct bb_candidates *p, const struct bb_backend_server *s)
{
  p->has_evacuated |= s->is_evacuated;
  p->is_local_evacuated |= s->is_evacuated && s->is_local;
  return s->is_evacuated;
}

/* The pool of the group has the local servers at its start and the others at
   its end.  */
static void
add_to_pool (struct bb_candidates *p, struct bb_server_group *group,
             const struct bb_placement_policy *policy,
             struct bb_backend_server *s, bb_usec now)
{
  struct bb_pool *pool = s->is_local ? &p->local : &p->remote;
  if (s->is_local)
    pool->servers = group->pool;
  else
    pool->servers = group->pool + group->pool_capacity - pool->count - 1;
  pool->servers[s->is_local ? pool->count : 0] = s;
  pool->count++;
  pool->slots += bb_candidate_slots (s);
  pool->weight_max = MAX (pool->weight_max, policy->weight (s, now));
}

static struct bb_candidates
find_candidates (struct bb_server_group *group,
                 const struct bb_placement_policy *policy, GRand *random,
                 bb_usec now)
{
  struct bb_candidates candidates = { 0 };
  const struct bb_link *servers = &group->servers;
  for (const struct bb_link *at = servers->next; at != servers; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, of_service);
      struct bb_candidate *candidate
          = s->is_local ? &candidates.local_dc : &candidates.remote_dc;
      if (!bb_server_accepts_flows (s) || skip_evacuated (&candidates, s))
        continue;
      if (!bb_cold_start_admits (s, now))
        {
          candidates.passed_cold = true;
          continue;
        }
      if (bb_suspicion_is_suspect (&s->load.evidence, now))
        candidate = &candidates.suspect;
      else if (is_starting (s, now))
        {
          candidate = &candidates.starting;
          candidates.starting_slots += bb_candidate_slots (s);
        }
      else
        add_to_pool (&candidates, group, policy, s, now);
      if (candidate == &candidates.local_dc)
        {
          add_local_load (&candidates, s);
          bb_candidate_update (&candidates.least_busy, s,
                               bb_candidate_load (s), random);
        }
      bb_candidate_update (candidate, s, policy->cost (s, now), random);
    }
  return candidates;
}

/* Adds the starting servers to the local pool, which is empty.  */
static void
use_starting_servers (struct bb_candidates *p, struct bb_server_group *group,
                      const struct bb_placement_policy *policy, bb_usec now)
{
  const struct bb_link *servers = &group->servers;
  p->local_dc = p->least_busy = p->starting;
  p->least_busy.cost = bb_candidate_load (p->starting.server);
  for (const struct bb_link *at = servers->next; at != servers; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, of_service);
      if (!is_starting (s, now) || !bb_server_is_eligible (s)
          || bb_suspicion_is_suspect (&s->load.evidence, now))
        continue;
      add_to_pool (p, group, policy, s, now);
      add_local_load (p, s);
    }
}

struct bb_candidates
bb_candidates_find (struct bb_server_group *group,
                    const struct bb_placement_policy *policy, GRand *random,
                    bb_usec now)
{
  struct bb_candidates found = find_candidates (group, policy, random, now);
  if (found.starting.server && !found.local_dc.server)
    use_starting_servers (&found, group, policy, now);
  else if (found.starting.server)
    found.drawn = bb_cold_start_draw (&group->servers,
                                      found.local.slots + found.starting_slots,
                                      random, now);
  return found;
}
