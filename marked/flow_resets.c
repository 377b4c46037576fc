#include "marked/balancer_private.h"
#include <netinet/in.h>

/* An entry that expires without announcement means that the server missed
   three heartbeats, 3.6 s.  An answer within this time shows that the server
   is alive.  */
#define RECENT_ANSWER_TIME (3 * BB_SEC)

/* Time by which the fabric follows a change of the balancers: it polls each
   one twice a second and acts on the second miss.  */
#define ROTATION_TIME (2 * BB_SEC)

/* Whether F has certainly stayed at this balancer since its last packet. After
   a change of the balancers, or while this one was frozen, the fabric may have
   moved it, and its caller may have received more since.  */
static bool
has_stayed (const struct bb_marked *m, const struct bb_marked_flow *f)
{
  bb_usec changed
      = MAX (bb_sync_members_changed (m->sync), m->last_freeze_end);
  return changed == 0
         || bb_marked_time_of (f->seen_ms, m->last_tick)
                > changed + ROTATION_TIME;
}

/* Whether the caller of F retransmitted recently to the server, which has
   ended, and so has received nothing more.  */
static bool
is_waiting (const struct bb_marked *m, const struct bb_marked_flow *f)
{
  return f->repeats > 0
         && bb_marked_time_ms (m->last_tick) - f->seen_ms
                < BB_SUSPICION_TIME / BB_MSEC;
}

/* Resets one flow of a server that has ended.  A caller with an idle flow
   opens a new one for its next request, so that no request is lost.  The reset
   of a flow that has moved would have an old sequence number; the balancer
   that has the flow now resets it.  A caller that retransmits to the server
   has received nothing since.  */
static void
reset_flow (void *context, struct bb_marked_flow *f)
{
  struct bb_marked *m = context;
  if (f->state != BB_FLOW_OPEN || !(has_stayed (m, f) || is_waiting (m, f)))
    return;
  struct bb_marked_packet packet = {
    .packet = { .source = f->caller.address,
                .source_port = f->caller.port,
                .destination = f->service.address,
                .destination_port = f->service.port,
                .protocol = IPPROTO_TCP,
                .tcp_flags = BB_TCP_ACK,
                .sequence = f->sent,
                .acknowledgement = f->acknowledged },
    .cookie = f->cookie,
  };
  m->counters.resets++;
  m->sink->reset (m->context, &packet);
  bb_recent_callers_add (&m->recent_callers, f->caller.address,
                         BB_FLOW_CAUSE_RESET, m->last_tick);
  bb_marked_flows_remove (m->flows, f);
}

static void
reset_flows_of (struct bb_marked *m, const struct bb_backend_server *s,
                enum bb_reason reason, bb_usec now)
{
  uint64_t before = m->counters.resets;
  bb_marked_flows_foreach (m->flows, s->cookie, reset_flow, m);
  if (m->counters.resets > before)
    bb_marked_send_event (m, BB_EVENT_FLOW_RESET, s, 0,
                          m->counters.resets - before, reason, now);
}

void
bb_marked_add_ended_server (struct bb_marked *m, struct bb_backend_server *s)
{
  if (s->is_in_ended_list)
    return;
  s->is_in_ended_list = true;
  g_ptr_array_add (m->ended_servers, s);
}

bool
bb_marked_server_has_ended (const struct bb_marked *m,
                            const struct bb_backend_server *s, bb_usec now)
{
  const struct bb_suspicion_evidence *e = &s->load.evidence;
  bb_usec until = bb_marked_observed_until (m, now);
  if (s->record.state != BB_SERVER_GONE)
    return bb_suspicion_is_proven (e, until)
           || (!m->is_isolated && bb_suspicion_is_dead_for_peers (e, now));
  bb_usec last_answer = e->last_answer;
  return s->has_announced_end ? last_answer < s->gone_since
                              : now - last_answer > RECENT_ANSWER_TIME;
}

void
bb_marked_reset_ended_flows (struct bb_marked *m, bb_usec now)
{
  for (guint i = 0; i < m->ended_servers->len; i++)
    {
      struct bb_backend_server *s = m->ended_servers->pdata[i];
      s->is_in_ended_list = false;
      if (bb_marked_server_has_ended (m, s, now))
        reset_flows_of (m, s,
                        s->record.state == BB_SERVER_GONE
                            ? BB_REASON_SERVER_GONE
                            : BB_REASON_SERVER_SILENT,
                        now);
    }
  g_ptr_array_set_size (m->ended_servers, 0);
}
