#include "marked/balancer_private.h"

enum
{
  ANSWER_SMOOTHING = 8, /* weight of the old average; a new answer has 1 */
  SLOW_SHARE_SMOOTHING = 4,
  /* Maximum of unacknowledged bytes of a caller: 16 packets of 1,200 bytes
     (flows of the platform).  */
  IN_FLIGHT_BYTES_MAX = 16 * 1200,
  /* Callers retransmit after 200 ms.  Older data that follows newer data
     sooner was overtaken on the way.  */
  RETRANSMISSION_MS = 150,
};

void
bb_marked_uncount_flow (void *context, const struct bb_marked_flow *flow)
{
  struct bb_marked *m = context;
  struct bb_backend_server *s
      = bb_directory_find_by_cookie (m->directory, flow->cookie);
  if (!s || flow->state == BB_FLOW_CLOSED)
    return;
  s->load.open = MAX (s->load.open - 1, 0);
  if (flow->request_sent_ms != 0 && flow->state == BB_FLOW_OPEN)
    s->load.busy = MAX (s->load.busy - 1, 0);
}

void
bb_marked_close_flow (struct bb_marked *m, struct bb_marked_flow *flow)
{
  bb_marked_uncount_flow (m, flow);
  bb_marked_withdraw_probe (m, flow);
  flow->state = BB_FLOW_CLOSED;
  flow->answer_state = BB_ANSWER_NONE;
  flow->request_sent_ms = 0;
}

static bool
is_after (uint32_t a, uint32_t b)
{
  return (int32_t)(a - b) > 0;
}

/* A caller retransmits a request that is not acknowledged or answered by then.
 */
#define RETRANSMISSION_TIME (200 * BB_MSEC)

/* A server is slow if this share of its last answers took longer than that.  A
   single slow answer counts until the next fast one.  */
#define SLOW_SHARE 0.2

/* Time without any answer after which the link of this balancer may have been
   down.  */
#define ANSWER_GAP (150 * BB_MSEC)

void
bb_marked_record_answer (struct bb_marked *m, struct bb_backend_server *s,
                         const struct bb_marked_flow *flow, bb_usec now)
{
  const struct bb_suspicion_evidence *e = &s->load.evidence;
  uint32_t repeats = e->repeats;
  if (now - m->last_answer > ANSWER_GAP)
    m->answered_since = now;
  m->last_answer = now;
  /* A flow that was counted in this silence is answered now, so the server was
     alive all the time and packets or answers were delayed.  A request that
     was retransmitted once may just have taken long.  */
  if (bb_suspicion_is_silent (e, now) && flow->silence.id == e->silence_id
      && flow->silence.repeats != 1)
    bb_path_delay_add_silence (&m->path_delay, now - e->silent_since, now);
  if (bb_suspicion_add_answer (&s->load.evidence, now))
    bb_marked_send_event (m, BB_EVENT_SERVER_TRUSTED, s, 0, repeats,
                          BB_REASON_NONE, now);
}

/* Whether the link of this balancer has worked all the time since the first
   packet of the pending request of FLOW: servers have answered throughout, and
   an answer would have been observed by now.  */
static bool
has_link_worked (const struct bb_marked *m, const struct bb_marked_flow *flow,
                 bb_usec now)
{
  bb_usec waited
      = (bb_usec)(bb_marked_time_ms (now) - flow->request_sent_ms) * BB_MSEC;
  return flow->request_sent_ms != 0 && now - waited >= m->answered_since
         && now - m->last_answer <= ANSWER_GAP
         && bb_path_delay_longest (&m->path_delay, now) < waited
         && !bb_path_delay_is_unreliable (&m->path_delay, now);
}

/* Whether the link of this balancer works as far as answers show it.  */
static bool
is_link_working (const struct bb_marked *m, bb_usec now)
{
  return now - m->last_answer <= ANSWER_GAP
         && !bb_path_delay_is_unreliable (&m->path_delay, now);
}

void
bb_marked_record_delivery (struct bb_marked *m,
                           const struct bb_marked_flow *flow, bb_usec now)
{
  if (flow->repeats == 0 && flow->request_sent_ms != 0)
    m->answered_sent = MAX (m->answered_sent,
                            bb_marked_time_of (flow->request_sent_ms, now));
}

/* Records that the last packet of FLOW, an open one, was not acknowledged
   either.  The link has worked each time that the caller sent the packet if
   there were answers until then, and to a packet that was sent after it.  The
   peers learn of the first probe that failed soon: together with theirs it may
   show that the server is dead.  */
static void
record_unacknowledged (struct bb_marked *m, struct bb_backend_server *s,
                       struct bb_marked_flow *flow, bb_usec now)
{
  struct bb_suspicion_evidence *e = &s->load.evidence;
  bb_usec previous = bb_marked_time_of (flow->sent_ms, now);
  bool has_worked
      = flow->has_link_worked && m->answered_sent > previous
        && !bb_path_delay_is_unreliable (&m->path_delay, now)
        && bb_path_delay_longest (&m->path_delay, now) < now - previous;
  flow->has_link_worked = has_worked && is_link_working (m, now);
  m->counters.unacknowledged += flow->silence.repeats == 2;
  /* An acknowledgement of the last copy must have had the time to arrive.  */
  bool had_time
      = now - flow->probed
        > BB_MARKED_PROBE_TIME + bb_path_delay_longest (&m->path_delay, now);
  if (flow->probe_slot != 0 || !had_time)
    bb_marked_withdraw_probe (m, flow);
  if (flow->probed == 0)
    return;
  m->counters.probes_failed++;
  bool is_first = bb_suspicion_add_failed_probe (
      e, &flow->silence, flow->probed, has_worked, now);
  flow->probed = 0;
  if (is_first)
    bb_sync_hurry_heartbeat (m->sync, now);
}

bool
bb_marked_server_is_slow (const struct bb_backend_server *s)
{
  return s->load.slow_share >= SLOW_SHARE;
}

void
bb_marked_record_repeat (struct bb_marked *m, struct bb_backend_server *s,
                         struct bb_marked_flow *flow, bb_usec now)
{
  struct bb_suspicion_evidence *e = &s->load.evidence;
  bool is_open = flow->state == BB_FLOW_OPEN;
  e->is_slow = bb_marked_server_is_slow (s);
  m->counters.repeats++;
  m->last_repeat = now;
  if (flow->repeats < UINT8_MAX)
    flow->repeats++;
  bool became_suspect
      = is_open ? bb_suspicion_add_repeat (e, &flow->silence, now)
                : bb_suspicion_add_first_packet_copy (e, &flow->silence, now);
  if (flow->repeats == 1 && has_link_worked (m, flow, now))
    bb_suspicion_add_silent_flow (e, now);
  if (flow->repeats == 1)
    bb_sync_note_silence (m->sync, s->cookie);
  if (is_open)
    record_unacknowledged (m, s, flow, now);
  flow->sent_ms = bb_marked_time_ms (now);
  if (!became_suspect)
    return;
  m->counters.suspicions++;
  bb_marked_send_event (m, BB_EVENT_SERVER_SUSPECT, s, 0,
                        s->load.evidence.repeats, BB_REASON_SERVER_SILENT,
                        now);
}

static void
record_answer_time (struct bb_marked *m, struct bb_marked_flow *f,
                    struct bb_backend_server *s, bb_usec now)
{
  uint32_t now_ms = bb_marked_time_ms (now);
  bb_usec took = (bb_usec)(now_ms - f->request_sent_ms) * BB_MSEC;
  s->load.slow_share += ((took >= RETRANSMISSION_TIME) - s->load.slow_share)
                        / SLOW_SHARE_SMOOTHING;
  s->load.answer_time += (took - s->load.answer_time) / (ANSWER_SMOOTHING + 1);
  if (s->group)
    {
      bb_answer_time_add (
          s->is_local ? &s->group->local_dc : &s->group->remote_dc, took, now);
      bb_histogram_add (&s->group->answer_times, took);
      if (s->is_local && !f->was_queued)
        bb_concurrency_add_answer (&s->group->concurrency, took);
    }
  s->load.busy = MAX (s->load.busy - 1, 0);
  f->request_sent_ms = 0;
  m->counters.answers++;
  bb_histogram_add (&m->answer_times, took);
}

/* Records new data of the caller of F up to END.  Acknowledgements go directly
   from the server to the caller and are not observed here.  Data beyond the
   in-flight limit shows that the caller received an acknowledgement.  */
static void
record_data (struct bb_marked *m, struct bb_route *route,
             struct bb_marked_flow *f, struct bb_backend_server *s,
             uint32_t end, bb_usec now)
{
  bb_marked_withdraw_probe (m, f);
  f->sent = end;
  f->sent_ms = f->data_ms = bb_marked_time_ms (now);
  f->repeats = f->silence.repeats = 0;
  f->has_link_worked = is_link_working (m, now);
  if (f->request_sent_ms == 0)
    {
      /* The first request of a flow was counted with its first packet.  */
      if (!f->is_counted_cold)
        bb_cold_start_take (s, now);
      f->is_counted_cold = false;
      f->request_sent_ms = bb_marked_time_ms (now);
      f->was_queued = s->load.busy + s->load.peer_busy >= s->record.slots;
      s->load.busy++;
      bb_marked_begin_answer (m, route, f, s, now);
    }
  if (!is_after (end - IN_FLIGHT_BYTES_MAX, f->confirmed))
    return;
  f->confirmed = end - IN_FLIGHT_BYTES_MAX;
  f->held_life = s->life;
  bb_marked_record_answer (m, s, f, now);
}

bool
bb_marked_observe_packet (struct bb_marked *m, struct bb_route *route,
                          struct bb_marked_flow *f,
                          struct bb_backend_server *s,
                          const struct bb_packet *p, bb_usec now)
{
  uint32_t end = p->sequence + p->payload;
  if (is_after (p->acknowledgement, f->acknowledged))
    {
      bb_marked_withdraw_probe (m, f);
      f->held_life = s->life;
      f->acknowledged = p->acknowledgement;
      f->confirmed = f->sent;
      bb_marked_record_delivery (m, f, now);
      f->repeats = 0;
      bb_marked_record_answer (m, s, f, now);
      if (f->request_sent_ms != 0)
        record_answer_time (m, f, s, now);
      bb_marked_continue_answer (m, route, f, s, now);
    }
  if (p->payload == 0)
    return false;
  if (is_after (end, f->sent))
    {
      record_data (m, route, f, s, end, now);
      return true;
    }
  if (!is_after (end, f->confirmed)
      || bb_marked_time_ms (now) - f->sent_ms < RETRANSMISSION_MS)
    return false;
  if (is_after (p->sequence, f->repeated))
    {
      /* What precedes the missing data was acknowledged.  */
      f->silence.repeats = 0;
      bb_marked_withdraw_probe (m, f);
    }
  f->repeated = p->sequence;
  bb_marked_record_repeat (m, s, f, now);
  return true;
}
