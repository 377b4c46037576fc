#include "marked/admission.h"

/* A request on a new flow waits three packets longer than one on an open flow,
   and the queue goes on growing until a refusal shows.  */
#define ROOM 0.6

/* The same for a request that yields: a quarter of the room is kept for those
   it yields to.  */
#define ROOM_YIELDING 0.45

/* Callers that keep flows open begin new ones seldom; while servers are full
   they come back within this time.  */
#define LATELY (5 * BB_SEC)

/* Routes yield while servers had no room for so long: a peak that passes in a
   fraction of it needs no order of callers.  */
#define NO_ROOM_TIME BB_SEC

/* Share of the answers that are quicker than the estimate.  Servers that are
   full reject at once, which is an answer too, up to two thirds of all in a
   burst of four times the usual load; the estimate must be that of the
   others.  It must not be that of the few servers that are slow or cold.  */
#define QUICKER 0.7

/* Without answers for so long nothing is known: longer than the time between
   two answers at a balancer with little traffic, shorter than a burst.  */
#define FRESH (500 * BB_MSEC)

enum
{
  ANSWERS_LEAST = 8, /* before the estimate counts */
  STEPS = 16,        /* of the estimate's own size; one for each answer */
};

#define LEAST_STEP BB_MSEC

void
bb_answer_time_add (struct bb_answer_time *t, bb_usec took, bb_usec now)
{
  if (t->answers == 0 || now - t->updated > FRESH)
    *t = (struct bb_answer_time){ .estimate = took };
  double step = (double)MAX (t->estimate / STEPS, LEAST_STEP);
  bb_usec up = (bb_usec)(step * QUICKER);
  bb_usec down = (bb_usec)(step * (1 - QUICKER));
  t->estimate += CLAMP (took - t->estimate, -down, up);
  t->updated = now;
  t->answers++;
}

static bool
is_recent (const struct bb_priority_seen *seen, bb_usec now)
{
  return seen->at != 0 && now - seen->at <= LATELY;
}

bool
bb_urgency_yields (struct bb_urgency *u, uint32_t priority, bb_usec now)
{
  struct bb_priority_seen seen = { .priority = priority, .at = now };
  if (!is_recent (&u->most, now) || priority <= u->most.priority)
    u->most = seen;
  if (!is_recent (&u->least, now) || priority >= u->least.priority)
    u->least = seen;
  return u->refused != 0 && now - u->refused <= NO_ROOM_TIME
         && priority > u->most.priority && priority == u->least.priority;
}

void
bb_urgency_refused (struct bb_urgency *u, bb_usec now)
{
  u->refused = now;
}

bool
bb_answer_time_is_known (const struct bb_answer_time *t, bb_usec now)
{
  return t->answers >= ANSWERS_LEAST && now - t->updated <= FRESH;
}

bool
bb_answer_time_exceeds (const struct bb_answer_time *t, bb_usec objective,
                        bool yields, bb_usec now)
{
  double room = yields ? ROOM_YIELDING : ROOM;
  return objective != 0 && bb_answer_time_is_known (t, now)
         && (double)t->estimate > room * (double)objective;
}
