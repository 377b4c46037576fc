#include "core/engine.h"
#include "marked/balancer_private.h"
#include "marked/place.h"

/* Copies of a first packet come up to 600 ms after it; a little more covers
   what is queued.  */
enum
{
  COPY_TIME_MS = 2000,
};

/* Flows.  */

static void
forward (struct bb_marked *m, const struct bb_backend_server *s,
         struct bb_marked_verdict *v)
{
  v->kind = BB_MARKED_FORWARD;
  v->target = s->record.address;
  v->tag = s->record.tag;
  v->mark = s->mark;
  m->counters.forwarded++;
}

static void
drop (struct bb_marked *m, enum bb_drop kind, struct bb_marked_verdict *v)
{
  v->kind = BB_MARKED_DROP;
  v->drop = kind;
  m->counters.drops[kind]++;
}

static void
reset (struct bb_marked *m, uint64_t hash, const struct bb_backend_server *s,
       enum bb_reason reason, bb_usec now, struct bb_marked_verdict *v)
{
  v->kind = BB_MARKED_RESET;
  m->counters.resets++;
  bb_marked_send_event (m, BB_EVENT_FLOW_RESET, s, hash, 0, reason, now);
}

/* The server that the first packet of FLOW went to, if it can still take the
   flow.  */
static struct bb_backend_server *
placed_before (struct bb_marked *m, const struct bb_marked_flow *flow,
               bb_usec now)
{
  if (!flow || flow->state != BB_FLOW_OPENING
      || bb_marked_stamp (now) - flow->seen_ms > COPY_TIME_MS)
    return NULL;
  struct bb_backend_server *s = bb_directory_marked (m->directory, flow->mark);
  if (!s || s->record.state == BB_SERVER_GONE
      || bb_suspicion_dead (&s->load.evidence, bb_marked_seen_until (m, now)))
    return NULL;
  return s;
}

static void
refuse (struct bb_marked *m, uint64_t hash, enum bb_reason reason, bb_usec now,
        struct bb_marked_verdict *v)
{
  v->kind = BB_MARKED_RESET;
  m->counters.refused[reason]++;
  bb_marked_send_event (m, BB_EVENT_FLOW_REFUSED, NULL, hash, 0, reason, now);
}

static void
set_ends (struct bb_marked_flow *f, const struct bb_packet *p)
{
  f->caller = (struct bb_endpoint){ p->source, p->source_port };
  f->service = (struct bb_endpoint){ p->destination, p->destination_port };
}

static void
place (struct bb_marked *m, const struct bb_route *route, uint64_t hash,
       const struct bb_packet *p, bb_usec now, struct bb_marked_verdict *v)
{
  struct bb_choice choice
      = bb_place_flow (m->directory, route, &bb_placing_load, m->random, now);
  struct bb_backend_server *s = choice.server;
  if (!s)
    {
      refuse (m, hash, choice.reason, now, v);
      return;
    }
  struct bb_marked_flow *f
      = bb_marked_flows_add (m->flows, hash, bb_marked_stamp (now));
  f->mark = s->mark;
  set_ends (f, p);
  f->asked_ms = bb_marked_stamp (now);
  f->sent = f->confirmed = p->sequence + 1;
  s->load.open++;
  m->counters.placed++;
  if (!s->local)
    m->counters.placed_far++;
  bb_marked_send_event (m, BB_EVENT_FLOW_PLACED, s, hash,
                        (uint64_t)s->load.open + (uint64_t)s->load.peer_open,
                        choice.reason, now);
  forward (m, s, v);
}

/* The first packet of a flow, or a copy of it.  */
static void
open_flow (struct bb_marked *m, const struct bb_route *route, uint64_t hash,
           const struct bb_packet *p, bb_usec now, struct bb_marked_verdict *v)
{
  struct bb_marked_flow *f = bb_marked_flows_find (m->flows, hash);
  struct bb_backend_server *s = placed_before (m, f, now);
  if (s)
    {
      m->counters.copies++;
      bb_marked_server_silent (m, s, f, now);
      forward (m, s, v);
      return;
    }
  if (f)
    bb_marked_flows_remove (m->flows, f);
  place (m, route, hash, p, now, v);
}

/* The flow of HASH, which is added if it came from another balancer.  */
static struct bb_marked_flow *
flow_of (struct bb_marked *m, uint64_t hash, struct bb_backend_server *s,
         const struct bb_packet *p, bb_usec now)
{
  struct bb_marked_flow *f = bb_marked_flows_find (m->flows, hash);
  if (f && f->mark != s->mark)
    {
      bb_marked_flows_remove (m->flows, f);
      f = NULL;
    }
  if (!f)
    {
      f = bb_marked_flows_add (m->flows, hash, bb_marked_stamp (now));
      f->mark = s->mark;
      set_ends (f, p);
      f->state = BB_FLOW_OPEN;
      f->sent = f->confirmed = p->sequence;
      f->acknowledged = p->acknowledgement;
      s->load.open++;
      return f;
    }
  bb_marked_flows_touch (m->flows, f, bb_marked_stamp (now));
  if (f->state == BB_FLOW_OPENING)
    {
      bb_usec took = (bb_usec)(bb_marked_stamp (now) - f->asked_ms) * BB_MSEC;
      f->state = BB_FLOW_OPEN;
      f->acknowledged = p->acknowledgement;
      bb_histogram_add (&m->open_times, took);
      bb_path_delay_add (&m->path_delay, took, now);
      f->asked_ms = 0;
      bb_marked_server_alive (m, s, f, now);
    }
  return f;
}

/* Whether the server of a flow that sends data cannot answer.  One that is
   listed is always given the chance: otherwise a server that was cut off would
   stay dead, since nobody could be answered.  */
static bool
has_ended (const struct bb_marked *m, const struct bb_marked_flow *f,
           const struct bb_backend_server *s, const struct bb_packet *p,
           bb_usec now)
{
  if (p->payload == 0)
    return false;
  bool repeats = f->repeats > 0;
  bool left = bb_marked_has_left (m, s, now);
  return s->record.state == BB_SERVER_GONE ? left || repeats : left && repeats;
}

/* Whether a flow of ROUTE may be at S.  Which services the route led to before
   this balancer began to know is not known, so that for a flow's lifetime the
   mark, which only balancers write, is believed.  */
static bool
may_lead (const struct bb_marked *m, const struct bb_route *route,
          const struct bb_backend_server *s, bb_usec now)
{
  return bb_route_allows (route, s->service)
         || now - bb_directory_begun (m->directory) < BB_VIEW_RETENTION;
}

static void
continue_flow (struct bb_marked *m, const struct bb_route *route,
               uint64_t hash, const struct bb_marked_packet *packet,
               bb_usec now, struct bb_marked_verdict *v)
{
  const struct bb_packet *p = &packet->packet;
  struct bb_backend_server *s
      = packet->mark ? bb_directory_marked (m->directory, packet->mark) : NULL;
  if (!s)
    {
      drop (m, BB_DROP_MARK_UNKNOWN, v);
      bb_marked_send_event (m, BB_EVENT_MARK_UNKNOWN, NULL, hash, packet->mark,
                            BB_REASON_NONE, now);
      return;
    }
  if (!route || !may_lead (m, route, s, now))
    {
      drop (m, BB_DROP_OTHER_SERVICE, v);
      return;
    }
  struct bb_marked_flow *f = flow_of (m, hash, s, p, now);
  if (route->record.share_count == 0 && f->asked_ms == 0 && p->payload > 0)
    {
      reset (m, hash, s, BB_REASON_ROUTE_DROPPED, now, v);
      return;
    }
  bb_marked_observe (m, f, s, p, now);
  if (has_ended (m, f, s, p, now))
    {
      reset (m, hash, s,
             s->record.state == BB_SERVER_GONE ? BB_REASON_SERVER_GONE
                                               : BB_REASON_SERVER_SILENT,
             now, v);
      return;
    }
  if (p->tcp_flags & (BB_TCP_FIN | BB_TCP_RST))
    bb_marked_flows_remove (m->flows, f);
  forward (m, s, v);
}

void
bb_marked_packet_in (struct bb_marked *m,
                     const struct bb_marked_packet *packet, bb_usec now,
                     struct bb_marked_verdict *v)
{
  const struct bb_packet *p = &packet->packet;
  const struct bb_endpoint address = { p->destination, p->destination_port };
  *v = (struct bb_marked_verdict){ 0 };
  if (!bb_marked_ready (m))
    {
      drop (m, BB_DROP_NOT_READY, v);
      return;
    }
  const struct bb_route *route = bb_directory_route (m->directory, &address);
  uint64_t hash = bb_flow_hash (p, 0);
  if (p->tcp_flags & BB_TCP_SYN)
    open_flow (m, route, hash, p, now, v);
  else
    continue_flow (m, route, hash, packet, now, v);
}
