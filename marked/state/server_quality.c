#include "marked/state/server_quality.h"

static bool
gets_new_flows (const struct bb_backend_server *s)
{
  return s->record.state == BB_SERVER_READY
         || s->record.state == BB_SERVER_EXPIRED;
}

/* The bound holds in each data centre: flows stay in their own one.  */
static bool
may_fail (const struct bb_backend_server *s)
{
  uint32_t servers = 0, failing = 0;
  const struct bb_link *head = &s->group->servers;
  for (const struct bb_link *at = head->next; at != head; at = at->next)
    {
      const struct bb_backend_server *other
          = BB_LINKED (at, struct bb_backend_server, of_service);
      if (other->data_centre != s->data_centre || !gets_new_flows (other))
        continue;
      servers++;
      failing += other->load.quality.is_failing;
    }
  return bb_answer_quality_may_fail (failing, servers);
}

enum bb_quality_change
bb_server_review_quality (struct bb_backend_server *s, bb_usec now)
{
  struct bb_server_quality *q = &s->load.quality;
  if (!q->is_failing
      || !bb_answer_quality_looks_recovered (q, &s->group->quality, now))
    return BB_QUALITY_UNCHANGED;
  bb_answer_quality_end_failure (q, now);
  return BB_QUALITY_RECOVERED;
}

enum bb_quality_change
bb_server_add_answers (struct bb_backend_server *s,
                       const struct bb_answer_counts *counts, bb_usec now)
{
  struct bb_server_quality *q = &s->load.quality;
  if (!s->group)
    return BB_QUALITY_UNCHANGED;
  bb_answer_quality_add (q, &s->group->quality, counts, now);
  if (q->is_failing)
    return bb_server_review_quality (s, now);
  if (counts->outliers == 0 || !bb_answer_quality_looks_failing (q)
      || !may_fail (s))
    return BB_QUALITY_UNCHANGED;
  bb_answer_quality_begin_failure (q, &s->group->quality, now);
  return BB_QUALITY_FAILING;
}

enum bb_quality_change
bb_server_add_peer_report (struct bb_backend_server *s, bb_usec now)
{
  struct bb_server_quality *q = &s->load.quality;
  if (!s->group || !bb_answer_quality_add_peer_report (q, now)
      || !may_fail (s))
    return BB_QUALITY_UNCHANGED;
  bb_answer_quality_begin_failure (q, &s->group->quality, now);
  q->is_adopted = true;
  q->last_outlier = now;
  return BB_QUALITY_FAILING;
}

struct bb_event
bb_server_quality_event (const struct bb_backend_server *s,
                         enum bb_quality_change change)
{
  const struct bb_server_quality *q = &s->load.quality;
  bool is_failing = change == BB_QUALITY_FAILING;
  return (struct bb_event){
    .kind = is_failing ? BB_EVENT_SERVER_FAILING : BB_EVENT_SERVER_RECOVERED,
    .server = s->key,
    .value
    = is_failing ? (uint64_t)(q->recent.outliers + 0.5) : q->usual_in_a_row,
  };
}
