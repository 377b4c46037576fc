#include "marked/place.h"

/* A request under way holds a slot; an open flow only may ask for one.  */
#define BUSY_WEIGHT 1.0

/* Requests of a cold server take 1.6 times as long (the platform's server
   model); what is placed on it meanwhile lasts longer than the cold time.  */
#define COLD_FACTOR 1.3

/* A server of another data centre must be this much better: answers that
   cross data centres are priced, and a cut takes such flows away.  */
#define REMOTE_FACTOR 1.6
#define REMOTE_MARGIN 2.0

static double
load_cost (const struct bb_backend_server *s, bb_usec now)
{
  const struct bb_server_load *l = &s->load;
  double flows = l->open + l->peer_open;
  double busy = l->busy + l->peer_busy;
  double slots = s->record.slots ? s->record.slots : 1;
  double cost = (flows + BUSY_WEIGHT * busy + 1) / slots;
  if (s->cold_until > now)
    cost *= COLD_FACTOR;
  if (!s->local)
    cost = cost * REMOTE_FACTOR + REMOTE_MARGIN;
  return cost;
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

static struct bb_choice
choose (const struct bb_link *servers, const struct bb_placing *placing,
        GRand *random, bb_usec now)
{
  struct pick trusted = { 0 }, suspect = { 0 };
  for (const struct bb_link *at = servers->next; at != servers; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, of_service);
      if (s->record.state != BB_SERVER_READY)
        continue;
      bool silent = s->load.suspect_until > now;
      consider (silent ? &suspect : &trusted, s, placing->cost (s, now),
                random);
    }
  /* While all look dead one of them is used: the view may be wrong, and a
     flow that fails costs the caller no more than a refusal.  */
  struct bb_backend_server *server
      = trusted.server ? trusted.server : suspect.server;
  if (!server)
    return (struct bb_choice){ NULL, BB_REASON_NO_SERVER };
  return (struct bb_choice){ server, server->local
                                         ? BB_REASON_OWN_DATA_CENTRE
                                         : BB_REASON_OTHER_DATA_CENTRE };
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
      const struct bb_link *servers = bb_directory_service (
          directory, draw_service (&route->record, random));
      if (servers)
        return choose (servers, placing, random, now);
    }
  return none;
}
