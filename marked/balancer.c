#include "core/engine.h"
#include "marked/balancer_private.h"
#include "marked/placement/place.h"

/* Callers send copies of a first packet up to 600 ms after it.  The rest of
   the time covers packets in queues.  */
enum
{
  SYN_COPY_TIME_MS = 2000,
};

static void
forward_packet (struct bb_marked *m, const struct bb_backend_server *s,
                struct bb_marked_verdict *v)
{
  v->kind = BB_MARKED_FORWARD;
  v->target = s->record.address;
  v->tag = s->record.tag;
  v->cookie = s->cookie;
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
reset_flow (struct bb_marked *m, const struct bb_marked_flow *f,
            const struct bb_backend_server *s, enum bb_reason reason,
            bb_usec now, struct bb_marked_verdict *v)
{
  v->kind = BB_MARKED_RESET;
  m->counters.resets++;
  bb_recent_callers_add (&m->recent_callers, f->caller.address,
                         BB_FLOW_CAUSE_RESET, now);
  bb_marked_send_event (m, BB_EVENT_FLOW_RESET, s, f->hash, 0, reason, now);
}

/* Returns the server to which the first packet of FLOW was forwarded, or NULL
   if that server cannot take the flow any more.  */
static struct bb_backend_server *
find_placed_server (struct bb_marked *m, const struct bb_marked_flow *flow,
                    bb_usec now)
{
  if (!flow || flow->state != BB_FLOW_OPENING
      || bb_marked_time_ms (now) - flow->seen_ms > SYN_COPY_TIME_MS)
    return NULL;
  struct bb_backend_server *s
      = bb_directory_find_by_cookie (m->directory, flow->cookie);
  if (!s || s->record.state == BB_SERVER_GONE
      || bb_suspicion_is_unresponsive (&s->load.evidence,
                                       bb_marked_observed_until (m, now))
      || bb_marked_server_has_ended (m, s, now))
    return NULL;
  return s;
}

static void
refuse_flow (struct bb_marked *m, uint64_t hash, enum bb_reason reason,
             bb_usec now, struct bb_marked_verdict *v)
{
  v->kind = BB_MARKED_RESET;
  m->counters.refused[reason]++;
  bb_marked_send_event (m, BB_EVENT_FLOW_REFUSED, NULL, hash, 0, reason, now);
}

static void
set_flow_endpoints (struct bb_marked_flow *f, const struct bb_packet *p)
{
  f->caller = (struct bb_endpoint){ p->source, p->source_port };
  f->service = (struct bb_endpoint){ p->destination, p->destination_port };
}

static void
place_flow (struct bb_marked *m, const struct bb_route *route, uint64_t hash,
            const struct bb_packet *p, enum bb_flow_cause cause, bb_usec now,
            struct bb_marked_verdict *v)
{
  struct bb_placement choice = bb_place_flow (
      m->directory, route, &bb_placement_by_load, m->random, now);
  struct bb_backend_server *s = choice.server;
  m->counters.cold_passed_over += choice.passed_cold;
  if (!s)
    {
      refuse_flow (m, hash, choice.reason, now, v);
      bb_recent_callers_add (&m->recent_callers, p->source,
                             BB_FLOW_CAUSE_REFUSED, now);
      return;
    }
  struct bb_marked_flow *f
      = bb_marked_flows_add (m->flows, hash, bb_marked_time_ms (now));
  f->cookie = s->cookie;
  set_flow_endpoints (f, p);
  f->request_sent_ms = bb_marked_time_ms (now);
  f->sent = f->confirmed = p->sequence + 1;
  f->is_counted_cold = bb_cold_start_take (s, now);
  s->load.open++;
  m->counters.placed++;
  m->counters.placed_for[cause]++;
  m->counters.placed_remote += !s->is_local;
  m->counters.placed_evacuated += choice.reason == BB_REASON_EVACUATED;
  m->counters.placed_random += choice.choice == BB_CHOICE_RANDOM;
  m->counters.placed_spilled += choice.is_spilled;
  bb_marked_send_event (m, BB_EVENT_FLOW_PLACED, s, hash,
                        (uint64_t)s->load.open + (uint64_t)s->load.peer_open,
                        choice.reason, now);
  forward_packet (m, s, v);
}

/* Handles the first packet of a flow or a copy of it.  */
static void
open_flow (struct bb_marked *m, const struct bb_route *route, uint64_t hash,
           const struct bb_packet *p, bb_usec now, struct bb_marked_verdict *v)
{
  struct bb_marked_flow *f = bb_marked_flows_find (m->flows, hash);
  struct bb_backend_server *s = find_placed_server (m, f, now);
  if (s)
    {
      m->counters.syn_copies++;
      bb_marked_record_repeat (m, s, f, now);
      forward_packet (m, s, v);
      return;
    }
  enum bb_flow_cause cause
      = bb_recent_callers_take (&m->recent_callers, p->source, now);
  if (f)
    {
      if (f->state == BB_FLOW_OPENING)
        cause = BB_FLOW_CAUSE_COPY;
      bb_marked_flows_remove (m->flows, f);
    }
  place_flow (m, route, hash, p, cause, now, v);
}

/* Returns the flow of HASH.  Adds it if it was opened at another balancer.  */
static struct bb_marked_flow *
get_flow (struct bb_marked *m, uint64_t hash, struct bb_backend_server *s,
          const struct bb_packet *p, bb_usec now)
{
  struct bb_marked_flow *f = bb_marked_flows_find (m->flows, hash);
  if (f && f->cookie != s->cookie)
    {
      bb_marked_flows_remove (m->flows, f);
      f = NULL;
    }
  if (!f)
    {
      f = bb_marked_flows_add (m->flows, hash, bb_marked_time_ms (now));
      f->cookie = s->cookie;
      set_flow_endpoints (f, p);
      f->state = BB_FLOW_OPEN;
      f->sent = f->confirmed = p->sequence;
      f->acknowledged = p->acknowledgement;
      s->load.open++;
      return f;
    }
  bb_marked_flows_touch (m->flows, f, bb_marked_time_ms (now));
  if (f->state == BB_FLOW_OPENING)
    {
      bb_usec took
          = (bb_usec)(bb_marked_time_ms (now) - f->request_sent_ms) * BB_MSEC;
      f->state = BB_FLOW_OPEN;
      f->held_life = s->life;
      f->acknowledged = p->acknowledgement;
      bb_histogram_add (&m->open_times, took);
      bb_path_delay_add (&m->path_delay, took, now);
      bb_marked_record_delivery (m, f, now);
      f->request_sent_ms = 0;
      bb_marked_record_answer (m, s, f, now);
    }
  return f;
}

/* Whether to reset a flow that sends data because its server cannot answer.
   The first transmission is always forwarded to a listed server: without
   packets, a server that was unreachable for some time could never answer, and
   would be considered dead for ever.  */
static bool
must_reset_flow (const struct bb_marked *m, const struct bb_marked_flow *f,
                 const struct bb_backend_server *s, const struct bb_packet *p,
                 bb_usec now)
{
  if (p->payload == 0)
    return false;
  bool is_repeated = f->repeats > 0;
  bool has_ended = bb_marked_server_has_ended (m, s, now);
  return s->record.state == BB_SERVER_GONE ? has_ended || is_repeated
                                           : has_ended && is_repeated;
}

/* Whether a flow of ROUTE may belong to S.  The directory does not record
   the services that the route had before its history began.  For the lifetime
   of a flow after that start, any cookie is accepted, since only balancers
   write cookies.  */
static bool
may_forward_to (const struct bb_marked *m, const struct bb_route *route,
                const struct bb_backend_server *s, bb_usec now)
{
  return bb_route_allows_service (route, s->service)
         || now - bb_directory_history_start (m->directory)
                < BB_DIRECTORY_RETENTION;
}

/* Closes F if its caller does.  An answer that a caller breaks off by an RST
   has no length.  */
static void
observe_end (struct bb_marked *m, struct bb_route *route,
             struct bb_marked_flow *f, struct bb_backend_server *s,
             const struct bb_packet *p, bb_usec now)
{
  if (p->tcp_flags & BB_TCP_FIN)
    bb_marked_end_answer (m, route, f, s, now);
  if (p->tcp_flags & (BB_TCP_FIN | BB_TCP_RST))
    bb_marked_close_flow (m, f);
}

static void
continue_flow (struct bb_marked *m, struct bb_route *route, uint64_t hash,
               const struct bb_marked_packet *packet, bb_usec now,
               struct bb_marked_verdict *v)
{
  const struct bb_packet *p = &packet->packet;
  struct bb_backend_server *s
      = packet->cookie
            ? bb_directory_find_by_cookie (m->directory, packet->cookie)
            : NULL;
  if (!s)
    {
      drop (m, BB_DROP_MARK_UNKNOWN, v);
      bb_marked_send_event (m, BB_EVENT_MARK_UNKNOWN, NULL, hash,
                            packet->cookie, BB_REASON_NONE, now);
      return;
    }
  if (!route || !may_forward_to (m, route, s, now))
    {
      drop (m, BB_DROP_OTHER_SERVICE, v);
      return;
    }
  struct bb_marked_flow *f = get_flow (m, hash, s, p, now);
  if (f->state == BB_FLOW_CLOSED)
    {
      forward_packet (m, s, v);
      return;
    }
  if (route->share_count == 0 && f->request_sent_ms == 0 && p->payload > 0)
    {
      reset_flow (m, f, s, BB_REASON_ROUTE_DROPPED, now, v);
      return;
    }
  bool has_data = bb_marked_observe_packet (m, route, f, s, p, now);
  if (must_reset_flow (m, f, s, p, now))
    {
      reset_flow (m, f, s,
                  s->record.state == BB_SERVER_GONE ? BB_REASON_SERVER_GONE
                                                    : BB_REASON_SERVER_SILENT,
                  now, v);
      return;
    }
  observe_end (m, route, f, s, p, now);
  forward_packet (m, s, v);
  if (has_data)
    v->probe_slot = bb_marked_start_probe (m, s, f, now);
}

void
bb_marked_handle_packet (struct bb_marked *m,
                         const struct bb_marked_packet *packet, bb_usec now,
                         struct bb_marked_verdict *v)
{
  const struct bb_packet *p = &packet->packet;
  const struct bb_endpoint address = { p->destination, p->destination_port };
  *v = (struct bb_marked_verdict){ 0 };
  if (!bb_marked_is_ready (m))
    {
      drop (m, BB_DROP_NOT_READY, v);
      return;
    }
  struct bb_route *route = bb_directory_find_route (m->directory, &address);
  uint64_t hash = bb_flow_hash (p, 0);
  if (p->tcp_flags & BB_TCP_SYN)
    open_flow (m, route, hash, p, now, v);
  else
    continue_flow (m, route, hash, packet, now, v);
}
