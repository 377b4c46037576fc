#include "marked/evidence/suspicion.h"

/* A caller retransmits 200 ms after a packet without an answer.  These times
   are counted from the first retransmission.  */
#define SUSPECT_AFTER (150 * BB_MSEC)
#define UNRESPONSIVE_AFTER (400 * BB_MSEC)
#define UNRESPONSIVE_AFTER_FEW (900 * BB_MSEC)

/* Time after the last report of an answer by a peer until the silences show
   that there is no further one.  */
#define PEER_ANSWER_TIME (400 * BB_MSEC)

/* Time from a packet to a server until the packet that the caller sends after
   the answer, including the time of a request in the queue of the server.  */
#define ANSWER_ROUND_TRIP (200 * BB_MSEC)

/* Interval of the heartbeats of a peer.  */
#define PEER_HEARTBEAT_INTERVAL (300 * BB_MSEC)

enum
{
  SUSPECT_REPEATS = 2,
  UNRESPONSIVE_FLOWS = 3,
  UNRESPONSIVE_FLOWS_FEW = 2, /* for servers with few flows here */
  DEAD_PROBES = 2,            /* of different flows */
  PROVEN_REPEATS = 2,         /* a single one may be due to a lost packet */
  DEAD_BALANCERS = 2,         /* whose silences together are enough */
};

/* Whether the probes show that the server is dead.  Both of a live one fail
   only if several packets of each of two flows were lost.  */
static bool
proves_death (uint32_t failed, uint32_t answered)
{
  return failed >= DEAD_PROBES && failed > answered;
}

bool
bb_suspicion_add_answer (struct bb_suspicion_evidence *e, bb_usec now)
{
  bool was_suspect = bb_suspicion_is_suspect (e, now);
  *e = (struct bb_suspicion_evidence){ .last_answer = now,
                                       .last_peer_answer = e->last_peer_answer,
                                       .peer_silence = e->peer_silence,
                                       .silence_id = e->silence_id };
  return was_suspect;
}

static void
begin_silence (struct bb_suspicion_evidence *e, bb_usec now)
{
  *e = (struct bb_suspicion_evidence){ .last_answer = e->last_answer,
                                       .last_peer_answer = e->last_peer_answer,
                                       .peer_silence = e->peer_silence,
                                       .is_slow = e->is_slow,
                                       .probes = e->probes,
                                       .suspect_until = e->suspect_until,
                                       .silent_since = now,
                                       .silence_id = e->silence_id + 1 };
}

static bool
add_repeat (struct bb_suspicion_evidence *e, struct bb_flow_silence *flow,
            bb_usec now)
{
  bool was_suspect = bb_suspicion_is_suspect (e, now);
  if (!bb_suspicion_is_silent (e, now))
    begin_silence (e, now);
  e->last_repeat = now;
  e->repeats++;
  if (flow->id != e->silence_id)
    {
      e->silent_flows++;
      *flow = (struct bb_flow_silence){ .id = e->silence_id };
    }
  if (e->link_proven_since != 0)
    {
      e->proven_repeats++;
      if (e->first_proven_repeat == 0)
        e->first_proven_repeat = now;
    }
  if (e->repeats < SUSPECT_REPEATS || now - e->silent_since < SUSPECT_AFTER)
    return false;
  e->suspect_until = MAX (e->suspect_until, now + BB_SUSPICION_TIME);
  return !was_suspect;
}

bool
bb_suspicion_add_first_packet_copy (struct bb_suspicion_evidence *e,
                                    struct bb_flow_silence *flow, bb_usec now)
{
  return add_repeat (e, flow, now);
}

bool
bb_suspicion_add_repeat (struct bb_suspicion_evidence *e,
                         struct bb_flow_silence *flow, bb_usec now)
{
  bool became_suspect = add_repeat (e, flow, now);
  if (flow->repeats < UINT8_MAX)
    flow->repeats++;
  return became_suspect;
}

/* A flow counts once in a silence: the caller, not the server, may be the one
   that receives nothing.  */
bool
bb_suspicion_add_failed_probe (struct bb_suspicion_evidence *e,
                               struct bb_flow_silence *flow, bb_usec sent,
                               bool has_link_worked, bb_usec now)
{
  bool is_proven = e->link_proven_since != 0 && e->link_proven_since <= sent;
  if (flow->has_failed || !(has_link_worked || is_proven))
    {
      bb_probes_withdraw (&e->probes, sent);
      return false;
    }
  if (!bb_probes_fail (&e->probes, sent, has_link_worked))
    return false;
  flow->has_failed = true;
  if (!has_link_worked)
    return false;
  uint32_t failed
      = bb_probes_count (&e->probes, e->silent_since, true, now).failed;
  if (e->silence.flows < failed)
    bb_suspicion_add_silent_flow (e, now);
  return failed == 1;
}

void
bb_suspicion_add_peer_answer (struct bb_suspicion_evidence *e, bb_usec now)
{
  e->last_peer_answer = now;
}

bool
bb_suspicion_is_answering (const struct bb_suspicion_evidence *e, bb_usec now)
{
  return e->last_answer != 0 && now - e->last_answer < PEER_HEARTBEAT_INTERVAL;
}

bool
bb_suspicion_is_suspect (const struct bb_suspicion_evidence *e, bb_usec now)
{
  return e->suspect_until > now;
}

bool
bb_suspicion_is_silent (const struct bb_suspicion_evidence *e, bb_usec now)
{
  return e->silent_since != 0 && now - e->last_repeat < BB_SUSPICION_TIME;
}

bool
bb_suspicion_is_unresponsive (const struct bb_suspicion_evidence *e,
                              bb_usec now)
{
  if (!bb_suspicion_is_silent (e, now) || !bb_suspicion_is_suspect (e, now))
    return false;
  if (e->last_peer_answer >= e->silent_since)
    return false;
  bb_usec silent_for = now - e->silent_since;
  return (e->silent_flows >= UNRESPONSIVE_FLOWS
          && silent_for >= UNRESPONSIVE_AFTER)
         || (e->silent_flows >= UNRESPONSIVE_FLOWS_FEW
             && silent_for >= UNRESPONSIVE_AFTER_FEW);
}

bool
bb_suspicion_is_dead (const struct bb_suspicion_evidence *e, bb_usec now)
{
  if (!bb_suspicion_is_silent (e, now) || !bb_suspicion_is_suspect (e, now)
      || e->last_peer_answer >= e->silent_since)
    return false;
  struct bb_probe_counts own
      = bb_probes_count (&e->probes, e->silent_since, false, now);
  return proves_death (own.failed, own.answered + e->peer_silence.answered);
}

bool
bb_suspicion_is_proven (const struct bb_suspicion_evidence *e, bb_usec now)
{
  return e->proven_repeats >= PROVEN_REPEATS
         && now - e->first_proven_repeat >= ANSWER_ROUND_TRIP
         && bb_suspicion_is_dead (e, now);
}

void
bb_suspicion_add_silent_flow (struct bb_suspicion_evidence *e, bb_usec now)
{
  if (e->silence.flows == 0)
    e->silence.since = now;
  e->silence.flows++;
}

struct bb_silence
bb_suspicion_silence (const struct bb_suspicion_evidence *e, bb_usec now)
{
  struct bb_silence s = { 0 };
  bool is_silent = bb_suspicion_is_silent (e, now);
  if (is_silent)
    s = e->silence;
  s.probes = bb_probes_count (&e->probes, is_silent ? e->silent_since : now,
                              true, now);
  s.is_slow = e->is_slow;
  return s;
}

/* Whether the server answered at some balancer after SINCE.  A peer reports
   answers of the time since its last heartbeat.  */
static bool
has_answered_since (const struct bb_suspicion_evidence *e, bb_usec since)
{
  return e->last_answer >= since
         || e->last_peer_answer - PEER_HEARTBEAT_INTERVAL >= since;
}

static bb_usec
earlier (bb_usec a, bb_usec b)
{
  return b == 0 || (a != 0 && a < b) ? a : b;
}

void
bb_suspicion_begin_comparison (struct bb_suspicion_evidence *e)
{
  struct bb_peer_silence *p = &e->peer_silence;
  p->since = p->first_failed = 0;
  p->answered = 0;
}

void
bb_suspicion_compare_silence (struct bb_suspicion_evidence *e,
                              const struct bb_silence *silence)
{
  struct bb_peer_silence *p = &e->peer_silence;
  if (silence->flows > 0)
    p->since = earlier (p->since, silence->since);
  if (silence->probes.failed > 0)
    p->first_failed = earlier (p->first_failed, silence->probes.since);
}

/* Returns when the first probe that failed here or at a peer was sent; 0: none
   did.  */
static bb_usec
first_failed (const struct bb_suspicion_evidence *e, bb_usec now)
{
  struct bb_probe_counts own = bb_suspicion_silence (e, now).probes;
  return earlier (e->peer_silence.first_failed, own.failed ? own.since : 0);
}

/* Returns the probes of COUNTS that were answered and not sent before FIRST,
   the first one of all balancers that failed.  */
static uint32_t
answered_since (const struct bb_probe_counts *counts, bb_usec first)
{
  bool is_since
      = counts->failed > 0 || counts->since >= first - BB_PROBES_SPREAD;
  return is_since ? counts->answered : 0;
}

void
bb_suspicion_add_answered_probes (struct bb_suspicion_evidence *e,
                                  const struct bb_silence *silence,
                                  bb_usec now)
{
  e->peer_silence.answered
      += answered_since (&silence->probes, first_failed (e, now));
}

void
bb_suspicion_add_peer_silence (struct bb_suspicion_evidence *e,
                               const struct bb_silence *silence, bb_usec now)
{
  struct bb_peer_silence *p = &e->peer_silence;
  bb_suspicion_compare_silence (e, silence);
  p->peers += silence->flows > 0;
  p->failed += silence->probes.failed;
  bb_suspicion_add_answered_probes (e, silence, now);
  if (p->peers >= DEAD_BALANCERS && !has_answered_since (e, p->since))
    e->suspect_until = MAX (e->suspect_until, now + BB_SUSPICION_TIME);
}

void
bb_suspicion_remove_peer_silence (struct bb_suspicion_evidence *e,
                                  const struct bb_silence *silence)
{
  struct bb_peer_silence *p = &e->peer_silence;
  p->failed -= MIN (silence->probes.failed, p->failed);
  p->answered -= MIN (silence->probes.answered, p->answered);
  p->peers -= MIN (silence->flows > 0, p->peers);
  if (p->peers == 0)
    p->since = p->first_failed = 0;
}

bool
bb_suspicion_is_dead_for_peers (const struct bb_suspicion_evidence *e,
                                bb_usec now)
{
  const struct bb_peer_silence *p = &e->peer_silence;
  if (p->peers == 0)
    return false;
  struct bb_silence own = bb_suspicion_silence (e, now);
  uint32_t answered
      = p->answered + answered_since (&own.probes, first_failed (e, now));
  if (p->peers + (own.flows > 0) < DEAD_BALANCERS
      || !proves_death (p->failed + own.probes.failed, answered))
    return false;
  bb_usec since = own.flows > 0 ? earlier (p->since, own.since) : p->since;
  return !has_answered_since (e, since)
         && now - MAX (since, e->last_peer_answer) >= PEER_ANSWER_TIME;
}

void
bb_suspicion_declare_dead (struct bb_suspicion_evidence *e, bb_usec now)
{
  e->is_declared_dead = true;
  e->suspect_until = now + BB_DEAD_TIME;
}

void
bb_suspicion_set_link_state (struct bb_suspicion_evidence *e,
                             bool is_link_working, bb_usec now)
{
  if (is_link_working && e->link_proven_since != 0)
    return;
  e->link_proven_since = is_link_working ? now : 0;
  e->first_proven_repeat = 0;
  e->proven_repeats = 0;
}
