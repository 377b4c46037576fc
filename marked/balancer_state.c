#include "marked/balancer_private.h"

#define SWEEP_INTERVAL BB_SEC

/* Knowledge that is older, after a call that failed, means that the store was
   away: a watch, its margin and the beats in between are shorter.  */
#define STORE_AWAY BB_SHARE_OUTDATED

static const struct bb_share_sink share_sink;

void
bb_marked_send_event (struct bb_marked *m, enum bb_event_kind kind,
                      const struct bb_backend_server *s, uint64_t flow,
                      uint64_t value, enum bb_reason reason, bb_usec now)
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

uint32_t
bb_marked_stamp (bb_usec now)
{
  return (uint32_t)(now / BB_MSEC) | 1;
}

/* Knowledge.  */

/* What a removal that the store tells of means for a server that was ready.
   The first reading after the store was away begins the time in which entries
   may come back.  */
static enum bb_server_state
removal_state (struct bb_marked *m, bb_usec now)
{
  if (bb_sharing_revision (m->sharing) > 0
      && bb_sharing_store_lost (m->sharing)
      && bb_sharing_age (m->sharing, now) > STORE_AWAY)
    m->lapse_until = now + BB_LAPSE_TIME;
  return now < m->lapse_until ? BB_SERVER_LAPSED : BB_SERVER_GONE;
}

void
bb_marked_put_server (struct bb_marked *m, const struct bb_server_record *told,
                      bb_usec now)
{
  struct bb_server_record changed = *told;
  const struct bb_server_record *record = &changed;
  const struct bb_backend_server *s
      = bb_directory_find (m->directory, told->name);
  if (told->state == BB_SERVER_GONE && s && s->record.state == BB_SERVER_READY)
    changed.state = removal_state (m, now);
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
  bb_marked_send_event (
      m, changed >= 0 ? BB_EVENT_VERSION : BB_EVENT_VERSION_STALE, NULL, 0,
      version, BB_REASON_STORE, now);
}

void
bb_marked_retain (struct bb_marked *m, GHashTable *names, uint64_t revision,
                  bb_usec now)
{
  if (bb_sharing_revision (m->sharing) == 0)
    bb_directory_begin (m->directory, revision, now);
  bb_share_retain (m->directory, names, removal_state (m, now), revision,
                   BB_REASON_STORE, bb_sharing_age (m->sharing, now),
                   &share_sink, m, now);
}

/* A server whose entry did not come back.  */
static void
lapse_ended (void *context, struct bb_backend_server *s)
{
  struct bb_marked *m = context;
  bb_marked_note_ended (m, s);
  bb_marked_send_event (m, BB_EVENT_SERVER_GONE, s, 0, s->record.state,
                        BB_REASON_OUTDATED, s->gone_since + BB_LAPSE_TIME);
}

void
bb_marked_tick (struct bb_marked *m, bb_usec now)
{
  bb_sharing_tick (m->sharing, now);
  bb_directory_end_lapses (m->directory, now, lapse_ended, m);
  bb_marked_check_link (m, now);
  bb_marked_reset_ended (m, now);
  if (now - m->swept < SWEEP_INTERVAL)
    return;
  m->swept = now;
  bb_marked_flows_expire (m->flows, bb_marked_stamp (now), m->options.idle_ms);
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
share_send (void *context, const struct bb_endpoint *to, size_t count,
            const struct bb_share_message *message)
{
  const struct bb_marked *m = context;
  m->sink->send (m->context, to, count, message);
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
    bb_marked_note_ended (m, s);
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
  m->flows
      = bb_marked_flows_new (options->flow_capacity, bb_marked_forget_flow, m);
  m->heard = g_array_new (FALSE, FALSE, sizeof (bb_usec));
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
  g_array_free (m->heard, TRUE);
  g_rand_free (m->random);
  g_free (m);
}
