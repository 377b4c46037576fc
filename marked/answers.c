#include "marked/balancer_private.h"
#include "marked/state/server_quality.h"

/* Time without more data after which a short answer is complete.  A sender
   retransmits a lost packet after 200 ms, and the caller acknowledges it up to
   40 ms later.  */
enum
{
  SETTLING_TIME_MS = 300,
};

static void
send_quality_event (struct bb_marked *m, const struct bb_backend_server *s,
                    enum bb_quality_change change, bb_usec now)
{
  if (change == BB_QUALITY_UNCHANGED)
    return;
  struct bb_event event = bb_server_quality_event (s, change);
  bb_marked_send_event (m, event.kind, s, 0, event.value, BB_REASON_NONE, now);
}

static uint32_t
answer_length (const struct bb_marked_flow *f)
{
  return f->acknowledged - f->answer_start;
}

/* Counts the answer of F, of which LENGTH bytes arrived, as evidence on S.  */
static void
count_answer (struct bb_marked *m, const struct bb_route *route,
              struct bb_marked_flow *f, struct bb_backend_server *s,
              bb_usec now)
{
  bool is_outlier = answer_length (f) < route->answers.shortest_usual;
  struct bb_answer_counts counts
      = { .usual = !is_outlier, .outliers = is_outlier };
  f->answer_state = BB_ANSWER_COUNTED;
  if (is_outlier)
    bb_recent_callers_add (&m->recent_callers, f->caller.address,
                           BB_FLOW_CAUSE_SHORT_ANSWER, now);
  bb_answer_quality_note (&s->load.quality, &counts, now);
  send_quality_event (m, s, bb_server_add_answers (s, &counts, now), now);
}

void
bb_marked_end_answer (struct bb_marked *m, struct bb_route *route,
                      struct bb_marked_flow *f, struct bb_backend_server *s,
                      bb_usec now)
{
  if (f->answer_state != BB_ANSWER_NONE && answer_length (f) > 0)
    {
      if (f->answer_state != BB_ANSWER_COUNTED
          && route->answers.shortest_usual != 0)
        count_answer (m, route, f, s, now);
      bb_answer_lengths_add (&route->answers, answer_length (f));
    }
  f->answer_state = BB_ANSWER_NONE;
}

void
bb_marked_begin_answer (struct bb_marked *m, struct bb_route *route,
                        struct bb_marked_flow *f, struct bb_backend_server *s,
                        bb_usec now)
{
  bb_marked_end_answer (m, route, f, s, now);
  f->answer_start = f->acknowledged;
  f->answer_state = BB_ANSWER_AWAITED;
}

/* If the ring is full, the answer is counted at the next request of the flow.
 */
static void
add_short_answer (struct bb_marked *m, struct bb_marked_flow *f, bb_usec now)
{
  if (m->short_answers_end - m->short_answers_begin == SHORT_ANSWERS_MAX)
    return;
  f->answer_state = BB_ANSWER_SETTLING;
  m->short_answers[m->short_answers_end++ % SHORT_ANSWERS_MAX]
      = (struct bb_short_answer){
          .flow = f->hash,
          .answer_start = f->answer_start,
          .due_ms = bb_marked_time_ms (now) + SETTLING_TIME_MS,
        };
}

void
bb_marked_continue_answer (struct bb_marked *m, const struct bb_route *route,
                           struct bb_marked_flow *f,
                           struct bb_backend_server *s, bb_usec now)
{
  if ((f->answer_state != BB_ANSWER_AWAITED
       && f->answer_state != BB_ANSWER_SETTLING)
      || route->answers.shortest_usual == 0)
    return;
  if (answer_length (f) >= route->answers.shortest_usual)
    count_answer (m, route, f, s, now);
  else if (f->answer_state == BB_ANSWER_AWAITED)
    add_short_answer (m, f, now);
}

static void
count_short_answer (struct bb_marked *m, const struct bb_short_answer *a,
                    bb_usec now)
{
  struct bb_marked_flow *f = bb_marked_flows_find (m->flows, a->flow);
  if (!f || f->answer_state != BB_ANSWER_SETTLING
      || f->answer_start != a->answer_start)
    return;
  const struct bb_route *route
      = bb_directory_find_route (m->directory, &f->service);
  struct bb_backend_server *s
      = bb_directory_find_by_cookie (m->directory, f->cookie);
  if (route && s)
    count_answer (m, route, f, s, now);
}

void
bb_marked_count_short_answers (struct bb_marked *m, bb_usec now)
{
  for (; m->short_answers_begin != m->short_answers_end;
       m->short_answers_begin++)
    {
      const struct bb_short_answer *a
          = &m->short_answers[m->short_answers_begin % SHORT_ANSWERS_MAX];
      if ((int32_t)(bb_marked_time_ms (now) - a->due_ms) < 0)
        return;
      count_short_answer (m, a, now);
    }
}

void
bb_marked_review_failing_servers (struct bb_marked *m, bb_usec now)
{
  struct bb_link *head = bb_directory_servers (m->directory);
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      send_quality_event (m, s, bb_server_review_quality (s, now), now);
    }
}
