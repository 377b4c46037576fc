#include "marked/balancer.h"
#include "core/engine.h"
#include "marked/flows.h"
#include "marked/place.h"
#include <netinet/in.h>

/* Copies of a first packet come up to 600 ms after it; a little more covers
   what is queued.  */
enum
{
  COPY_TIME_MS = 2000,
  ANSWER_SMOOTHING = 8, /* weight of the past against one new answer */
};

#define SWEEP_INTERVAL BB_SEC

/* An entry that expired unannounced means three heartbeats of silence, 3.6 s;
   an answer that is younger contradicts it.  */
#define ANSWERED_LATELY (3 * BB_SEC)

enum
{
  ENDED_MAX = 64, /* servers that ended since the last tick */
};

struct bb_marked
{
  struct bb_marked_options options;
  const struct bb_marked_sink *sink;
  void *context;
  struct bb_directory *directory;
  struct bb_sharing *sharing;
  struct bb_marked_flows *flows;
  GRand *random;
  bb_usec swept;
  struct bb_backend_server *ended[ENDED_MAX];
  uint32_t ended_count;
  struct bb_marked_counters counters;
  struct bb_histogram answer_times;
  struct bb_histogram open_times;
};

static const struct bb_share_sink share_sink;

static void
send_event (struct bb_marked *m, enum bb_event_kind kind,
            const struct bb_backend_server *s, uint64_t flow, uint64_t value,
            enum bb_reason reason, bb_usec now)
{
  struct bb_event event = {
    .kind = kind,
    .server = s ? s->key : 0,
    .flow = flow,
    .value = value,
    .reason = reason,
    .revision = bb_sharing_revision (m->sharing),
    .age = bb_sharing_age (m->sharing, now),
  };
  m->sink->event (m->context, &event);
}

/* Counts per server.  */

static void
flow_ended (void *context, const struct bb_marked_flow *flow)
{
  struct bb_marked *m = context;
  struct bb_backend_server *s = bb_directory_marked (m->directory, flow->mark);
  if (!s)
    return;
  s->load.open = MAX (s->load.open - 1, 0);
  if (flow->asked_ms != 0 && flow->state == BB_FLOW_OPEN)
    s->load.busy = MAX (s->load.busy - 1, 0);
}

static void
server_alive (struct bb_marked *m, struct bb_backend_server *s, bb_usec now)
{
  uint32_t repeats = s->load.evidence.repeats;
  if (bb_suspicion_alive (&s->load.evidence, now))
    send_event (m, BB_EVENT_SERVER_TRUSTED, s, 0, repeats, BB_REASON_NONE,
                now);
}

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
    send_event (m, BB_EVENT_FLOW_RESET, s, 0, m->counters.resets - before,
                reason, now);
}

/* The flows of S are reset with the next tick; those that find no place in the
   list are reset one by one, when they send data.  */
static void
note_ended (struct bb_marked *m, struct bb_backend_server *s)
{
  for (uint32_t i = 0; i < m->ended_count; i++)
    if (m->ended[i] == s)
      return;
  if (m->ended_count < ENDED_MAX)
    m->ended[m->ended_count++] = s;
}

/* Whether S has ended for sure.  A server that announced its end has ended
   when it is not listed any more.  Of another one the registry may be wrong: a
   caller that was answered lately shows that it lives.  */
static bool
has_left (const struct bb_backend_server *s, bb_usec now)
{
  if (s->record.state != BB_SERVER_GONE)
    return bb_suspicion_dead (&s->load.evidence, now);
  bb_usec alive = s->load.evidence.alive;
  return s->drained ? alive < s->gone_since : now - alive > ANSWERED_LATELY;
}

static void
reset_ended (struct bb_marked *m, bb_usec now)
{
  for (uint32_t i = 0; i < m->ended_count; i++)
    {
      const struct bb_backend_server *s = m->ended[i];
      if (has_left (s, now))
        end_flows (m, s,
                   s->record.state == BB_SERVER_GONE ? BB_REASON_SERVER_GONE
                                                     : BB_REASON_SERVER_SILENT,
                   now);
    }
  m->ended_count = 0;
}

/* FLOW repeats itself.  */
static void
server_silent (struct bb_marked *m, struct bb_backend_server *s,
               struct bb_marked_flow *flow, bb_usec now)
{
  struct bb_evidence *e = &s->load.evidence;
  m->counters.repeats++;
  if (flow->repeats < UINT8_MAX)
    flow->repeats++;
  bool suspect = bb_suspicion_repeat (e, flow->repeats == 1, now);
  if (!e->declared && bb_suspicion_dead (e, now))
    {
      e->declared = true;
      note_ended (m, s);
    }
  if (!suspect)
    return;
  m->counters.suspects++;
  send_event (m, BB_EVENT_SERVER_SUSPECT, s, 0, s->load.evidence.repeats,
              BB_REASON_SERVER_SILENT, now);
}

/* Flows.  */

/* Bit that keeps a time of the millisecond clock apart from "none".  */
static uint32_t
stamp (bb_usec now)
{
  return (uint32_t)(now / BB_MSEC) | 1;
}

static bool
after (uint32_t a, uint32_t b)
{
  return (int32_t)(a - b) > 0;
}

static void
answer_seen (struct bb_marked *m, struct bb_marked_flow *f,
             struct bb_backend_server *s, uint32_t now_ms)
{
  bb_usec took = (bb_usec)(now_ms - f->asked_ms) * BB_MSEC;
  s->load.answer_time += (took - s->load.answer_time) / (ANSWER_SMOOTHING + 1);
  s->load.busy = MAX (s->load.busy - 1, 0);
  f->asked_ms = 0;
  m->counters.answers++;
  bb_histogram_add (&m->answer_times, took);
}

/* Learns from a packet of an open flow how its server does.  */
static void
observe (struct bb_marked *m, struct bb_marked_flow *f,
         struct bb_backend_server *s, const struct bb_packet *p, bb_usec now)
{
  uint32_t end = p->sequence + p->payload;
  uint32_t now_ms = stamp (now);
  if (after (p->acknowledgement, f->acknowledged))
    {
      f->acknowledged = p->acknowledgement;
      f->repeats = 0;
      server_alive (m, s, now);
      if (f->asked_ms != 0)
        answer_seen (m, f, s, now_ms);
    }
  if (p->payload == 0)
    return;
  if (after (end, f->sent))
    {
      f->sent = end;
      f->repeats = 0;
      if (f->asked_ms == 0)
        {
          f->asked_ms = now_ms;
          s->load.busy++;
        }
      return;
    }
  server_silent (m, s, f, now);
}

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
  send_event (m, BB_EVENT_FLOW_RESET, s, hash, 0, reason, now);
}

/* The server that the first packet of FLOW went to, if it can still take the
   flow.  */
static struct bb_backend_server *
placed_before (struct bb_marked *m, const struct bb_marked_flow *flow,
               bb_usec now)
{
  if (!flow || flow->state != BB_FLOW_OPENING
      || stamp (now) - flow->seen_ms > COPY_TIME_MS)
    return NULL;
  struct bb_backend_server *s = bb_directory_marked (m->directory, flow->mark);
  if (!s || s->record.state == BB_SERVER_GONE
      || bb_suspicion_dead (&s->load.evidence, now))
    return NULL;
  return s;
}

static void
refuse (struct bb_marked *m, uint64_t hash, enum bb_reason reason, bb_usec now,
        struct bb_marked_verdict *v)
{
  v->kind = BB_MARKED_RESET;
  m->counters.refused[reason]++;
  send_event (m, BB_EVENT_FLOW_REFUSED, NULL, hash, 0, reason, now);
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
  struct bb_marked_flow *f = bb_marked_flows_add (m->flows, hash, stamp (now));
  f->mark = s->mark;
  set_ends (f, p);
  f->asked_ms = stamp (now);
  f->sent = p->sequence + 1;
  s->load.open++;
  m->counters.placed++;
  if (!s->local)
    m->counters.placed_far++;
  send_event (m, BB_EVENT_FLOW_PLACED, s, hash,
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
      server_silent (m, s, f, now);
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
      f = bb_marked_flows_add (m->flows, hash, stamp (now));
      f->mark = s->mark;
      set_ends (f, p);
      f->state = BB_FLOW_OPEN;
      f->sent = p->sequence;
      f->acknowledged = p->acknowledgement;
      s->load.open++;
      return f;
    }
  bb_marked_flows_touch (m->flows, f, stamp (now));
  if (f->state == BB_FLOW_OPENING)
    {
      f->state = BB_FLOW_OPEN;
      f->acknowledged = p->acknowledgement;
      bb_histogram_add (&m->open_times,
                        (bb_usec)(stamp (now) - f->asked_ms) * BB_MSEC);
      f->asked_ms = 0;
      server_alive (m, s, now);
    }
  return f;
}

/* Whether the server of a flow that sends data cannot answer.  */
static bool
has_ended (const struct bb_marked_flow *f, const struct bb_backend_server *s,
           const struct bb_packet *p, bb_usec now)
{
  if (p->payload == 0)
    return false;
  return has_left (s, now)
         || (s->record.state == BB_SERVER_GONE && f->repeats > 0);
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
      send_event (m, BB_EVENT_MARK_UNKNOWN, NULL, hash, packet->mark,
                  BB_REASON_NONE, now);
      return;
    }
  if (!route || !bb_route_allows (route, s->service))
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
  observe (m, f, s, p, now);
  if (has_ended (f, s, p, now))
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

/* Knowledge.  */

void
bb_marked_put_server (struct bb_marked *m,
                      const struct bb_server_record *record, bb_usec now)
{
  bb_share_take_server (m->directory, record, BB_REASON_STORE,
                        record->revision, bb_sharing_age (m->sharing, now),
                        &share_sink, m, now);
}

void
bb_marked_current (struct bb_marked *m, uint64_t revision, bb_usec asked,
                   bb_usec now)
{
  bb_sharing_current (m->sharing, revision, asked, now);
}

void
bb_marked_configure (struct bb_marked *m, uint64_t version, uint64_t revision,
                     const struct bb_route_record *routes, size_t count,
                     bb_usec now)
{
  int changed = bb_directory_configure (m->directory, version, revision,
                                        routes, count, now);
  send_event (m, changed >= 0 ? BB_EVENT_VERSION : BB_EVENT_VERSION_STALE,
              NULL, 0, version, BB_REASON_STORE, now);
}

void
bb_marked_retain (struct bb_marked *m, const GHashTable *names,
                  uint64_t revision, bb_usec now)
{
  struct bb_link *head = bb_directory_servers (m->directory);
  struct bb_link *next;
  GPtrArray *missing = g_ptr_array_new ();
  for (struct bb_link *at = head->next; at != head; at = next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      next = at->next;
      if (s->gone_since == 0 && s->record.revision <= revision
          && !g_hash_table_contains ((GHashTable *)names, s->record.name))
        g_ptr_array_add (missing, s);
    }
  for (guint i = 0; i < missing->len; i++)
    {
      const struct bb_backend_server *s = missing->pdata[i];
      struct bb_server_record gone = { .state = BB_SERVER_GONE };
      g_strlcpy (gone.name, s->record.name, sizeof gone.name);
      gone.revision = MAX (revision, s->record.revision + 1);
      bb_marked_put_server (m, &gone, now);
    }
  g_ptr_array_unref (missing);
}

void
bb_marked_tick (struct bb_marked *m, bb_usec now)
{
  bb_sharing_tick (m->sharing, now);
  reset_ended (m, now);
  if (now - m->swept < SWEEP_INTERVAL)
    return;
  m->swept = now;
  bb_marked_flows_expire (m->flows, stamp (now), m->options.idle_ms);
  bb_directory_sweep (m->directory, now);
}

bool
bb_marked_ready (const struct bb_marked *m)
{
  return bb_directory_version (m->directory) > 0;
}

struct bb_sharing *
bb_marked_sharing (struct bb_marked *m)
{
  return m->sharing;
}

struct bb_directory *
bb_marked_directory (struct bb_marked *m)
{
  return m->directory;
}

const struct bb_marked_counters *
bb_marked_get_counters (const struct bb_marked *m)
{
  return &m->counters;
}

void
bb_marked_count_drop (struct bb_marked *m, enum bb_drop kind)
{
  m->counters.drops[kind]++;
}

const struct bb_histogram *
bb_marked_answer_times (const struct bb_marked *m)
{
  return &m->answer_times;
}

const struct bb_histogram *
bb_marked_open_times (const struct bb_marked *m)
{
  return &m->open_times;
}

uint32_t
bb_marked_flow_count (const struct bb_marked *m)
{
  return bb_marked_flows_count (m->flows);
}

/* What the sharing asks for.  */

static void
share_send (void *context, const struct bb_endpoint *to,
            const struct bb_share_message *message)
{
  const struct bb_marked *m = context;
  m->sink->send (m->context, to, message);
}

static void
share_event (void *context, const struct bb_event *event)
{
  const struct bb_marked *m = context;
  m->sink->event (m->context, event);
}

static void
share_server (void *context, struct bb_backend_server *s)
{
  struct bb_marked *m = context;
  if (s->record.state == BB_SERVER_GONE)
    note_ended (m, s);
  m->sink->server (m->context, s);
}

static const struct bb_share_sink share_sink = {
  .send = share_send,
  .event = share_event,
  .server = share_server,
};

struct bb_marked *
bb_marked_new (const struct bb_marked_options *options,
               const struct bb_marked_sink *sink, void *context, bb_usec now)
{
  struct bb_marked *m = g_new0 (struct bb_marked, 1);
  m->options = *options;
  m->sink = sink;
  m->context = context;
  m->directory = bb_directory_new (options->data_centre);
  m->sharing
      = bb_sharing_new (&options->share, m->directory, &share_sink, m, now);
  m->flows = bb_marked_flows_new (options->flow_capacity, flow_ended, m);
  m->random = g_rand_new_with_seed (options->share.seed);
  return m;
}

void
bb_marked_free (struct bb_marked *m)
{
  if (!m)
    return;
  bb_marked_flows_free (m->flows);
  bb_sharing_free (m->sharing);
  bb_directory_free (m->directory);
  g_rand_free (m->random);
  g_free (m);
}
