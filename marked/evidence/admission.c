#include "marked/evidence/admission.h"

#include <math.h>

/* Part of the latency objective that the expected time to an answer may reach.
   A request on a new flow takes three packets more than one on an open flow,
   and single requests take a multiple of the mean time.  */
#define ADMIT_RATIO 0.6

/* The same part for requests of low priority: a quarter of the limit is
   reserved for more urgent requests.  */
#define ADMIT_RATIO_LOW_PRIORITY 0.45

/* Time for which a priority counts as in use.  Callers that keep flows open
   rarely open new ones.  While servers are full, they open new flows again
   within this time.  */
#define PRIORITY_SEEN_TIME (5 * BB_SEC)

/* Time after the refusal of a more urgent flow during which routes of low
   priority are refused earlier.  */
#define REFUSAL_TIME (300 * BB_MSEC)

/* Time constant of the mean of pending requests: several times the service
   time of a request, and a fraction of a short burst.  */
#define PENDING_SMOOTHING (200 * BB_MSEC)

/* Fraction of the answers that are faster than the estimate.  Full servers
   reject requests at once, which also counts as an answer: up to two thirds of
   all answers in a burst of four times the usual load.  The estimate must
   represent the other answers, but not those of the few servers that are slow
   or cold.  */
#define ESTIMATE_QUANTILE 0.7

/* The estimate is invalid after this time without answers.  It is longer than
   the time between two answers at a balancer with little traffic and shorter
   than a burst.  */
#define ESTIMATE_LIFETIME (500 * BB_MSEC)

enum
{
  ANSWERS_MIN = 8,             /* answers needed before the estimate is used */
  STEP_DIVISOR = 16,           /* one step per answer: 1/16 of the estimate */
  SERVICE_TIME_SMOOTHING = 32, /* weight of the old mean; an answer has 1 */
  /* A single answer counts as at most this multiple of the mean.  All answers
     that are pending while this VM is frozen take as long as the freeze.  */
  SERVICE_TIME_OUTLIER = 3,
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
bb_priorities_add_refusal (struct bb_priorities *u, uint32_t priority,
                           bb_usec now)
{
  if (priority < u->least_urgent.priority)
    u->last_refusal = now;
}

void
bb_concurrency_add_load (struct bb_concurrency *c, double pending, bb_usec now)
{
  double age = (double)(now - c->updated) / PENDING_SMOOTHING;
  c->pending += (pending - c->pending) * (1 - exp (-age));
  c->updated = now;
}

void
bb_concurrency_add_answer (struct bb_concurrency *c, bb_usec took)
{
  took = MAX (took, BB_MSEC);
  if (c->answers < ANSWERS_MIN)
    {
      c->service_time = c->answers ? MIN (c->service_time, took) : took;
      c->answers++;
      return;
    }
  bb_usec counted = MIN (took, SERVICE_TIME_OUTLIER * c->service_time);
  c->service_time
      += (counted - c->service_time) / (SERVICE_TIME_SMOOTHING + 1);
}

bool
bb_concurrency_exceeds (const struct bb_concurrency *c, double least,
                        bb_usec objective, bool is_low_priority)
{
  double pending = is_low_priority ? MAX (least, c->pending) : least;
  double ratio = is_low_priority ? ADMIT_RATIO_LOW_PRIORITY : ADMIT_RATIO;
  double expected = (double)c->service_time * (pending + 1);
  return objective != 0 && pending >= BB_FULL_LOAD
         && expected > ratio * (double)objective;
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
