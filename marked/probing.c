#include "marked/balancer_private.h"

enum
{
  /* Copies of a probe, and of these in each tick: all are sent before the
     caller retransmits again, 200 ms after the probe or later.  A server
     acknowledges three of the packets, and two if two are lost.  */
  PROBE_COPIES = 6,
  PROBE_COPIES_EACH = 2,
};

/* A caller retransmits this time after a packet without an answer; the
   interval doubles up to the longest one.  */
#define FIRST_INTERVAL (200 * BB_MSEC)
#define LONGEST_INTERVAL (1600 * BB_MSEC)

static void
free_slot (struct bb_marked *m, unsigned slot)
{
  m->probes[slot - 1] = (struct bb_pending_probe){ 0 };
  m->pending_probes--;
}

static unsigned
find_free_slot (const struct bb_marked *m)
{
  for (unsigned i = 0; i < BB_MARKED_PROBE_SLOTS; i++)
    if (m->probes[i].copies_left == 0)
      return i + 1;
  return 0;
}

/* Time until the caller of F retransmits again.  */
static bb_usec
next_interval (const struct bb_marked_flow *f, bb_usec now)
{
  bb_usec elapsed = (bb_usec)(bb_marked_time_ms (now) - f->data_ms) * BB_MSEC;
  return MIN (elapsed + FIRST_INTERVAL, LONGEST_INTERVAL);
}

/* Whether S may be dead.  A packet to a silent server is a probe at once;
   another one if it is retransmitted without an answer of S since.  */
static bool
is_doubtful (const struct bb_backend_server *s, const struct bb_marked_flow *f,
             bb_usec now)
{
  const struct bb_suspicion_evidence *e = &s->load.evidence;
  if (f->repeats > 0)
    return e->last_answer < bb_marked_time_of (f->data_ms, now);
  return bb_suspicion_is_silent (e, now) || e->peer_silence.peers > 0;
}

unsigned
bb_marked_start_probe (struct bb_marked *m, struct bb_backend_server *s,
                       struct bb_marked_flow *f, bb_usec now)
{
  struct bb_suspicion_evidence *e = &s->load.evidence;
  if (f->state != BB_FLOW_OPEN || f->held_life != s->life
      || !is_doubtful (s, f, now) || !bb_probes_may_add (&e->probes, now))
    return 0;
  unsigned slot = find_free_slot (m);
  if (slot == 0)
    return 0;
  m->probes[slot - 1]
      = (struct bb_pending_probe){ .flow = f->hash,
                                   .copies_left = PROBE_COPIES };
  m->pending_probes++;
  m->counters.probes++;
  bb_probes_add (&e->probes, next_interval (f, now), now);
  f->probed = now;
  f->probe_slot = (uint8_t)slot;
  return slot;
}

void
bb_marked_withdraw_probe (struct bb_marked *m, struct bb_marked_flow *f)
{
  if (f->probe_slot != 0)
    free_slot (m, f->probe_slot);
  if (f->probed != 0)
    {
      struct bb_backend_server *s
          = bb_directory_find_by_cookie (m->directory, f->cookie);
      if (s)
        bb_probes_withdraw (&s->load.evidence.probes, f->probed);
    }
  f->probe_slot = 0;
  f->probed = 0;
}

void
bb_marked_send_probe_copies (struct bb_marked *m)
{
  for (unsigned i = 0; m->pending_probes > 0 && i < BB_MARKED_PROBE_SLOTS; i++)
    {
      struct bb_pending_probe *p = &m->probes[i];
      if (p->copies_left == 0)
        continue;
      struct bb_marked_flow *f = bb_marked_flows_find (m->flows, p->flow);
      if (!f || f->probe_slot != i + 1)
        {
          free_slot (m, i + 1);
          continue;
        }
      for (int n = 0; n < PROBE_COPIES_EACH; n++)
        m->sink->copy (m->context, i + 1);
      p->copies_left -= PROBE_COPIES_EACH;
      if (p->copies_left > 0)
        continue;
      f->probe_slot = 0;
      free_slot (m, i + 1);
    }
}
