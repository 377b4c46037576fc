#include "marked/state/server_quality.h"
#include "marked/sync/sync_private.h"

static bool
is_empty (const struct bb_answer_report *r)
{
  return !r->is_failing && r->counts.usual == 0 && r->counts.outliers == 0;
}

void
bb_sync_add_answers (struct bb_sync *s, struct bb_sync_heartbeat *b,
                     bb_usec now)
{
  b->answer_count = 0;
  for (uint32_t i = 0; i < b->load_count; i++)
    {
      struct bb_backend_server *server
          = bb_directory_find_by_cookie (s->directory, b->loads[i].cookie);
      b->answers[i] = (struct bb_answer_report){ 0 };
      if (server)
        b->answers[i]
            = bb_answer_quality_take_report (&server->load.quality, now);
      if (!is_empty (&b->answers[i]))
        b->answer_count = b->load_count;
    }
}

static void
send_change (struct bb_sync *s, const struct bb_backend_server *server,
             enum bb_quality_change change)
{
  if (change == BB_QUALITY_UNCHANGED)
    return;
  struct bb_event event = bb_server_quality_event (server, change);
  event.reason = BB_REASON_PEER;
  event.revision = s->revision;
  s->sink->event (s->context, &event);
}

static void
apply_report (struct bb_sync *s, uint32_t cookie,
              const struct bb_answer_report *report, bb_usec now)
{
  struct bb_backend_server *server
      = bb_directory_find_by_cookie (s->directory, cookie);
  if (!server)
    return;
  if (report->counts.usual > 0 || report->counts.outliers > 0)
    send_change (s, server,
                 bb_server_add_answers (server, &report->counts, now));
  if (report->is_failing)
    send_change (s, server, bb_server_add_peer_report (server, now));
}

void
bb_sync_apply_peer_answers (struct bb_sync *s, const struct bb_sync_peer *p,
                            const struct bb_sync_heartbeat *b, bb_usec now)
{
  uint32_t refused = 0;
  if (!bb_answer_report_is_distinct (b->answers, b->answer_count))
    return;
  for (uint32_t i = 0; i < b->answer_count; i++)
    if (bb_answer_counts_are_plausible (&b->answers[i].counts))
      apply_report (s, b->loads[i].cookie, &b->answers[i], now);
    else
      refused++;
  if (refused > 0)
    bb_sync_send_event (s, BB_EVENT_ENTRY_REFUSED, p->vm.id, refused,
                        BB_REASON_PEER, 0);
}
