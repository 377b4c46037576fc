#include "marked/placement/cold_start.h"
#include <math.h>

/* Tokens are kept for this time, so that new flows that arrive together need
   not be refused.  */
#define BURST_TIME (100 * BB_MSEC)

/* Longest interval between two ticks without a freeze.  Packets that were
   decided before a freeze may be sent after it.  */
#define TICK_INTERVAL_MAX BB_COLD_DELAY_MAX

/* Weight of a server at the start of its cold time.  */
#define WEIGHT_MIN 0.1

static double
seconds (bb_usec t)
{
  return (double)t / BB_SEC;
}

static bool
is_cold (const struct bb_backend_server *s, bb_usec now)
{
  return s->cold_until > now;
}

bool
bb_cold_start_is_limited (const struct bb_backend_server *s, bb_usec now)
{
  return is_cold (s, now) && s->group && s->group->cold_rate > 0;
}

/* Sets rate and depth such that a span of one second and the longest delay has
   less than one request more than the bound, which is at least one request: a
   server that bears less than one a second gets single requests.  */
static void
set_bucket (struct bb_backend_server *s, const struct bb_cold_limits *limits)
{
  struct bb_cold_state *c = &s->cold;
  double rate = s->group->cold_rate / 1000.0;
  double factor = limits->factor ? limits->factor / 1000.0 : 1;
  double bound = MAX (floor (rate * factor + limits->slack / 1000.0), 1);
  double span = seconds (BB_SEC + BB_COLD_DELAY_MAX);
  c->depth = CLAMP (rate * seconds (BURST_TIME), 1, bound);
  c->rate = MIN (rate, (bound + 0.99 - c->depth) / span);
}

static double
tokens_at (const struct bb_cold_state *c, bb_usec now)
{
  double added = c->rate * seconds (MAX (now - c->filled, 0));
  return MIN (c->tokens + added, c->depth);
}

bool
bb_cold_start_refresh (struct bb_backend_server *s,
                       const struct bb_cold_limits *limits, bool is_owned,
                       bb_usec since, bb_usec now)
{
  struct bb_cold_state *c = &s->cold;
  bool was_owned = c->is_owned;
  bool was_frozen = now - c->checked > TICK_INTERVAL_MAX;
  c->is_owned = is_owned;
  c->checked = now;
  if (!is_owned)
    return was_owned;
  if (!was_owned)
    c->filled = MAX (since + BB_COLD_HANDOVER_TIME, now);
  else if (was_frozen)
    c->filled = MAX (c->filled, now);
  if (!was_owned || was_frozen)
    c->tokens = 0;
  set_bucket (s, limits);
  return !was_owned;
}

bool
bb_cold_start_admits (const struct bb_backend_server *s, bb_usec now)
{
  const struct bb_cold_state *c = &s->cold;
  if (!bb_cold_start_is_limited (s, now))
    return true;
  return c->is_owned && now - c->checked <= TICK_INTERVAL_MAX
         && tokens_at (c, now) >= 1;
}

bool
bb_cold_start_take (struct bb_backend_server *s, bb_usec now)
{
  struct bb_cold_state *c = &s->cold;
  if (!bb_cold_start_is_limited (s, now))
    return false;
  /* The debt is limited to the requests of one second: those before do not
     count any more.  */
  c->tokens = MAX (tokens_at (c, now) - 1, -c->rate);
  c->filled = MAX (c->filled, now);
  return true;
}

double
bb_cold_start_weight (const struct bb_backend_server *s, bb_usec now)
{
  if (!is_cold (s, now) || bb_cold_start_is_limited (s, now))
    return 1;
  double passed = (double)(now - s->cold.since)
                  / (double)(s->cold_until - s->cold.since);
  return CLAMP (passed, WEIGHT_MIN, 1);
}

struct bb_backend_server *
bb_cold_start_draw (const struct bb_link *servers, double slots, GRand *random,
                    bb_usec now)
{
  double drawn = g_rand_double (random) * slots;
  for (const struct bb_link *at = servers->next; at != servers; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, of_service);
      double weight = bb_cold_start_weight (s, now);
      if (weight >= 1 || !s->is_local || !bb_server_is_eligible (s)
          || bb_suspicion_is_suspect (&s->load.evidence, now))
        continue;
      drawn -= weight * MAX (s->record.slots, 1)
               / bb_answer_quality_factor (&s->load.quality, now);
      if (drawn < 0)
        return s;
    }
  return NULL;
}
