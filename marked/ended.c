#include "marked/balancer_private.h"
#include <netinet/in.h>

/* An entry that expired unannounced means three heartbeats of silence, 3.6 s;
   an answer that is younger contradicts it.  */
#define ANSWERED_LATELY (3 * BB_SEC)

/* Resets one flow of a server that has ended.  A caller whose flow is idle
   then opens a new one for its next request, so that no request is lost.  */
static void
end_flow (void *context, struct bb_marked_flow *f)
{
  struct bb_marked *m = context;
  if (f->state != BB_FLOW_OPEN)
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
    .mark = f->mark,
  };
  m->counters.resets++;
  m->sink->reset (m->context, &packet);
  bb_marked_flows_remove (m->flows, f);
}

static void
end_flows (struct bb_marked *m, const struct bb_backend_server *s,
           enum bb_reason reason, bb_usec now)
{
  uint64_t before = m->counters.resets;
  bb_marked_flows_each (m->flows, s->mark, end_flow, m);
  if (m->counters.resets > before)
    bb_marked_send_event (m, BB_EVENT_FLOW_RESET, s, 0,
                          m->counters.resets - before, reason, now);
}

void
bb_marked_note_ended (struct bb_marked *m, struct bb_backend_server *s)
{
  for (uint32_t i = 0; i < m->ended_count; i++)
    if (m->ended[i] == s)
      return;
  if (m->ended_count < ENDED_MAX)
    m->ended[m->ended_count++] = s;
}

bool
bb_marked_has_left (const struct bb_marked *m,
                    const struct bb_backend_server *s, bb_usec now)
{
  if (s->record.state != BB_SERVER_GONE)
    return !m->isolated && bb_suspicion_dead (&s->load.evidence, now);
  bb_usec alive = s->load.evidence.alive;
  return s->drained ? alive < s->gone_since : now - alive > ANSWERED_LATELY;
}

/* Servers that live answer somebody within this time after another one fell
   silent; no server counts as dead earlier.  */
#define HEARD_WITHIN (300 * BB_MSEC)

/* Earliest silence of a server that is listed; 0: none is silent.  */
static bb_usec
first_silence (struct bb_link *head)
{
  bb_usec first = 0;
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      bb_usec since = s->load.evidence.silent_since;
      if (s->record.state != BB_SERVER_GONE && since != 0
          && (first == 0 || since < first))
        first = since;
    }
  return first;
}

/* What callers showed while the own link was down says nothing of servers.  */
static void
begin_evidence_anew (struct bb_link *head, bb_usec now)
{
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      struct bb_evidence *e
          = &BB_LINKED (at, struct bb_backend_server, by_revision)
                 ->load.evidence;
      if (e->silent_since == 0)
        continue;
      e->silent_since = now;
      e->silent_flows = e->repeats = 0;
      e->declared = false;
    }
}

void
bb_marked_check_link (struct bb_marked *m, bb_usec now)
{
  struct bb_link *head = bb_directory_servers (m->directory);
  bb_usec since = first_silence (head);
  unsigned heard = 0, silent = 0;
  bool was_isolated = m->isolated;
  m->isolated = false;
  if (since == 0)
    return;
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->record.state == BB_SERVER_GONE)
        continue;
      silent += s->load.evidence.silent_since != 0;
      heard += s->load.evidence.alive > since;
    }
  m->isolated = now - since >= HEARD_WITHIN && silent > heard;
  if (was_isolated && !m->isolated)
    begin_evidence_anew (head, now);
}

void
bb_marked_reset_ended (struct bb_marked *m, bb_usec now)
{
  for (uint32_t i = 0; i < m->ended_count; i++)
    {
      const struct bb_backend_server *s = m->ended[i];
      if (bb_marked_has_left (m, s, now))
        end_flows (m, s,
                   s->record.state == BB_SERVER_GONE ? BB_REASON_SERVER_GONE
                                                     : BB_REASON_SERVER_SILENT,
                   now);
    }
  m->ended_count = 0;
}
