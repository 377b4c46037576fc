#include "marked/admission.h"

/* A request on a new flow waits three packets longer than one on an open flow,
   and the queue goes on growing until a refusal shows.  */
#define ROOM 0.6

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

bool
bb_answer_time_exceeds (const struct bb_answer_time *t, bb_usec objective,
                        bb_usec now)
{
  return objective != 0 && t->answers >= ANSWERS_LEAST
         && now - t->updated <= FRESH
         && (double)t->estimate > ROOM * (double)objective;
}
