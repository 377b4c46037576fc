#include "marked/suspicion.h"

/* A caller repeats itself 200 ms after it was not answered, so that these
   times come on top of that.  */
#define SUSPECT_AFTER (150 * BB_MSEC)
#define DEAD_AFTER (400 * BB_MSEC)
#define DEAD_AFTER_FEW (900 * BB_MSEC)

/* A packet to a server and its answer to the caller, and the caller's next
   packet, with room for a request in its queue.  */
#define ANSWER_TIME (200 * BB_MSEC)

/* Time between two beats of a peer.  */
#define ANSWERS_TIME (300 * BB_MSEC)

enum
{
  SUSPECT_REPEATS = 2,
  DEAD_FLOWS = 3,
  DEAD_FLOWS_FEW = 2, /* for a server with few flows here */
  PROVEN_REPEATS = 2, /* one may be a packet that was lost */
};

bool
bb_suspicion_alive (struct bb_evidence *e, bb_usec now)
{
  bool suspect = bb_suspicion_suspects (e, now);
  *e = (struct bb_evidence){ .alive = now,
                             .alive_elsewhere = e->alive_elsewhere,
                             .silence = e->silence };
  return suspect;
}

static void
begin_silence (struct bb_evidence *e, bb_usec now)
{
  *e = (struct bb_evidence){ .alive = e->alive,
                             .alive_elsewhere = e->alive_elsewhere,
                             .suspected_until = e->suspected_until,
                             .silent_since = now,
                             .silence = e->silence + 1 };
}

bool
bb_suspicion_repeat (struct bb_evidence *e, uint32_t *counted, bb_usec now)
{
  bool suspect = bb_suspicion_suspects (e, now);
  if (!bb_suspicion_silent (e, now))
    begin_silence (e, now);
  e->repeated = now;
  e->repeats++;
  e->silent_flows += *counted != e->silence;
  *counted = e->silence;
  if (e->link_proven != 0)
    {
      e->repeats_since++;
      if (e->repeated_since == 0)
        e->repeated_since = now;
    }
  if (e->repeats < SUSPECT_REPEATS || now - e->silent_since < SUSPECT_AFTER)
    return false;
  e->suspect_until = now + BB_SUSPECT_TIME;
  return !suspect;
}

void
bb_suspicion_report_silent (struct bb_evidence *e, bb_usec until)
{
  /* What callers show here is newer than what a peer's beat tells.  */
  if (until - BB_SEC > e->alive)
    e->suspected_until = MAX (e->suspected_until, until);
}

void
bb_suspicion_report_alive (struct bb_evidence *e, bb_usec now)
{
  e->alive_elsewhere = now;
}

bool
bb_suspicion_answers (const struct bb_evidence *e, bb_usec now)
{
  return e->alive != 0 && now - e->alive < ANSWERS_TIME;
}

bool
bb_suspicion_suspects (const struct bb_evidence *e, bb_usec now)
{
  return e->suspect_until > now || e->suspected_until > now;
}

bool
bb_suspicion_tells (const struct bb_evidence *e, bb_usec now)
{
  return e->suspect_until > now;
}

bool
bb_suspicion_silent (const struct bb_evidence *e, bb_usec now)
{
  return e->silent_since != 0 && now - e->repeated < BB_SUSPECT_TIME;
}

bool
bb_suspicion_dead (const struct bb_evidence *e, bb_usec now)
{
  if (!bb_suspicion_silent (e, now) || !bb_suspicion_tells (e, now))
    return false;
  if (e->alive_elsewhere >= e->silent_since)
    return false;
  bb_usec silent = now - e->silent_since;
  return (e->silent_flows >= DEAD_FLOWS && silent >= DEAD_AFTER)
         || (e->silent_flows >= DEAD_FLOWS_FEW && silent >= DEAD_AFTER_FEW);
}

bool
bb_suspicion_proven (const struct bb_evidence *e, bb_usec now)
{
  return e->repeats_since >= PROVEN_REPEATS
         && now - e->repeated_since >= ANSWER_TIME
         && bb_suspicion_dead (e, now);
}

void
bb_suspicion_report_link (struct bb_evidence *e, bool works, bb_usec now)
{
  if (works && e->link_proven != 0)
    return;
  e->link_proven = works ? now : 0;
  e->repeated_since = 0;
  e->repeats_since = 0;
}
