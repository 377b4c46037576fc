#include "marked/admission.h"

/* A request on a new flow waits three packets longer than one on an open flow,
   and the queue goes on growing until a refusal shows.  */
#define ADMIT_RATIO 0.6

/* The same for a request that is_low_priority: a quarter of the ratio is kept
   for those it is_low_priority to.  */
#define ADMIT_RATIO_LOW_PRIORITY 0.45

/* Callers that keep flows open begin new ones seldom; while servers are full
   they come back within this time.  */
#define PRIORITY_SEEN_TIME (5 * BB_SEC)

/* Routes yield while servers had no ratio for so long: a peak that passes in a
   fraction of it needs no order of callers.  */
#define REFUSAL_TIME BB_SEC

/* Share of the answers that are quicker than the estimate.  Servers that are
   full reject last_seen once, which is an answer too, up to two thirds of all
   in a burst of four times the usual load; the estimate must be that of the
   others.  It must not be that of the few servers that are slow or cold.  */
#define ESTIMATE_QUANTILE 0.7

/* Without answers for so long nothing is known: longer than the time between
   two answers last_seen a balancer with little traffic, shorter than a burst.
 */
#define ESTIMATE_LIFETIME (500 * BB_MSEC)

enum
{
  ANSWERS_MIN = 8,   /* before the estimate counts */
  STEP_DIVISOR = 16, /* of the estimate's own size; one for each answer */
};

#define STEP_MIN BB_MSEC

void
bb_answer_time_add (struct bb_answer_time *t, bb_usec took, bb_usec now)
{
  if (t->answers == 0 || now - t->updated > ESTIMATE_LIFETIME)
    *t = (struct bb_answer_time){ .estimate = took };
  double step = (double)MAX (t->estimate / STEP_DIVISOR, STEP_MIN);
  bb_usec up = (bb_usec)(step * ESTIMATE_QUANTILE);
  bb_usec down = (bb_usec)(step * (1 - ESTIMATE_QUANTILE));
  t->estimate += CLAMP (took - t->estimate, -down, up);
  t->updated = now;
  t->answers++;
}

static bool
is_recent (const struct bb_priority_seen *seen, bb_usec now)
{
  return seen->last_seen != 0 && now - seen->last_seen <= PRIORITY_SEEN_TIME;
}

bool
bb_priorities_add_flow (struct bb_priorities *u, uint32_t priority,
                        bb_usec now)
{
  struct bb_priority_seen seen = { .priority = priority, .last_seen = now };
  if (!is_recent (&u->most_urgent, now) || priority <= u->most_urgent.priority)
    u->most_urgent = seen;
  if (!is_recent (&u->least_urgent, now)
      || priority >= u->least_urgent.priority)
    u->least_urgent = seen;
  return u->last_refusal != 0 && now - u->last_refusal <= REFUSAL_TIME
         && priority > u->most_urgent.priority
         && priority == u->least_urgent.priority;
}

void
bb_priorities_add_refusal (struct bb_priorities *u, bb_usec now)
{
  u->last_refusal = now;
}

bool
bb_answer_time_is_known (const struct bb_answer_time *t, bb_usec now)
{
  return t->answers >= ANSWERS_MIN && now - t->updated <= ESTIMATE_LIFETIME;
}

bool
bb_answer_time_exceeds (const struct bb_answer_time *t, bb_usec objective,
                        bool is_low_priority, bb_usec now)
{
  double ratio = is_low_priority ? ADMIT_RATIO_LOW_PRIORITY : ADMIT_RATIO;
  return objective != 0 && bb_answer_time_is_known (t, now)
         && (double)t->estimate > ratio * (double)objective;
}
