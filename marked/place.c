#include "marked/place.h"

/* A request under way holds a slot; an open flow only may ask for one.  */
#define BUSY_WEIGHT 1.0

/* Requests of a cold server take 1.6 times as long (the platform's server
   model); what is placed on it meanwhile lasts longer than the cold time.  */
#define COLD_FACTOR 1.3

/* A new flow leaves its data centre when each slot there has so many requests
   under way or waiting, and some server elsewhere has less than half of that.
   Flows that stay outlive a cut between data centres.  */
#define SPILL_PRESSURE 2.0
#define SPILL_RATIO 0.5

/* Requests for each slot from which on a server has no free slot.  */
#define FULL_PRESSURE 1.0

static double
slots_of (const struct bb_backend_server *s)
{
  return s->record.slots ? s->record.slots : 1;
}

/* Requests under way for each slot, as far as they are seen here.  */
static double
pressure (const struct bb_backend_server *s)
{
  return (s->load.busy + s->load.peer_busy) / slots_of (s);
}

static double
load_cost (const struct bb_backend_server *s, bb_usec now)
{
  const struct bb_server_load *l = &s->load;
  double flows = l->open + l->peer_open;
  double busy = l->busy + l->peer_busy;
  double cost = (flows + BUSY_WEIGHT * busy + 1) / slots_of (s);
  return s->cold_until > now ? cost * COLD_FACTOR : cost;
}

const struct bb_placing bb_placing_load = {
  .name = "load",
  .cost = load_cost,
};

/* Of equals, each is as likely.  */
struct pick
{
  struct bb_backend_server *server;
  double cost;
  int equals;
};

static void
consider (struct pick *p, struct bb_backend_server *s, double cost,
          GRand *random)
{
  if (p->server && cost > p->cost)
    return;
  if (p->server && cost >= p->cost)
    {
      p->equals++;
      if (g_rand_int_range (random, 0, p->equals) != 0)
        return;
    }
  else
    p->equals = 1;
  p->server = s;
  p->cost = cost;
}

/* The best server of each kind.  */
struct picks
{
  struct pick near;
  struct pick freest; /* near by, of least pressure */
  struct pick far;
  struct pick suspect;
};

static struct picks
survey (const struct bb_link *servers, const struct bb_placing *placing,
        GRand *random, bb_usec now)
{
  struct picks picks = { 0 };
  for (const struct bb_link *at = servers->next; at != servers; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, of_service);
      struct pick *pick = s->local ? &picks.near : &picks.far;
      if (s->record.state != BB_SERVER_READY
          && s->record.state != BB_SERVER_LAPSED)
        continue;
      if (bb_suspicion_suspects (&s->load.evidence, now))
        pick = &picks.suspect;
      else if (s->local)
        consider (&picks.freest, s, pressure (s), random);
      consider (pick, s, placing->cost (s, now), random);
    }
  return picks;
}

static bool
spills (const struct bb_backend_server *near,
        const struct bb_backend_server *far)
{
  double here = pressure (near);
  return here >= SPILL_PRESSURE && pressure (far) < here * SPILL_RATIO;
}

/* Where a new flow may go, and whether answers come in time there.  For one
   that yields, servers of other data centres count only if they are known to
   answer in time: they may be cut off.  */
static bool
near_has_room (const struct picks *p, const struct bb_server_group *group,
               bb_usec objective, bool yields, bb_usec now)
{
  return p->near.server
         && !bb_answer_time_exceeds (&group->near, objective, yields, now);
}

static bool
far_has_room (const struct picks *p, const struct bb_server_group *group,
              bb_usec objective, bool yields, bb_usec now)
{
  return p->far.server
         && (!yields || bb_answer_time_is_known (&group->far, now))
         && !bb_answer_time_exceeds (&group->far, objective, yields, now);
}

static struct bb_choice
choose (struct bb_server_group *group, const struct bb_placing *placing,
        const struct bb_route_record *route, GRand *random, bb_usec now)
{
  bb_usec objective = route->objective_ms * BB_MSEC;
  bool yields = bb_urgency_yields (&group->urgency, route->priority, now);
  struct picks p = survey (&group->servers, placing, random, now);
  struct bb_backend_server *near = p.near.server, *far = p.far.server;
  bool near_room = near_has_room (&p, group, objective, yields, now);
  bool far_room = far_has_room (&p, group, objective, yields, now);
  /* Answers that take long are no reason to refuse while a slot is free:
     servers may be slow, and requests of the route long.  */
  if ((near || far) && !near_room && !far_room)
    {
      if (p.freest.server && p.freest.cost < FULL_PRESSURE)
        return (struct bb_choice){ p.freest.server,
                                   BB_REASON_OWN_DATA_CENTRE };
      bb_urgency_refused (&group->urgency, now);
      return (struct bb_choice){ NULL, BB_REASON_ALL_BUSY };
    }
  if (near && !(far_room && (!near_room || spills (near, far))))
    return (struct bb_choice){ near, BB_REASON_OWN_DATA_CENTRE };
  if (far)
    return (struct bb_choice){ far, BB_REASON_OTHER_DATA_CENTRE };
  /* While all look dead one of them is used: the view may be wrong, and a
     flow that fails costs the caller no more than a refusal.  */
  return (struct bb_choice){ p.suspect.server, p.suspect.server
                                                   ? BB_REASON_SERVER_SILENT
                                                   : BB_REASON_NO_SERVER };
}

static uint32_t
draw_service (const struct bb_route_record *r, GRand *random)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < r->share_count; i++)
    sum += r->shares[i].weight;
  if (sum == 0)
    return r->shares[0].service;
  uint64_t drawn = (uint64_t)(g_rand_double (random) * (double)sum);
  for (uint32_t i = 0; i < r->share_count; i++)
    {
      if (drawn < r->shares[i].weight)
        return r->shares[i].service;
      drawn -= r->shares[i].weight;
    }
  return r->shares[r->share_count - 1].service;
}

struct bb_choice
bb_place_flow (const struct bb_directory *directory,
               const struct bb_route *route, const struct bb_placing *placing,
               GRand *random, bb_usec now)
{
  struct bb_choice none = { NULL, BB_REASON_NO_SERVER };
  if (!route)
    none.reason = BB_REASON_NO_ROUTE;
  else if (route->record.share_count == 0)
    none.reason = BB_REASON_ROUTE_DROPPED;
  else
    {
      struct bb_server_group *group = bb_directory_service (
          directory, draw_service (&route->record, random));
      if (group)
        return choose (group, placing, &route->record, random, now);
    }
  return none;
}
