#include "marked/balancer_private.h"

/* While the link of this balancer works, live servers answer some caller
   within this time.
 */
#define LIVE_ANSWER_TIME (300 * BB_MSEC)

bb_usec
bb_marked_observed_until (const struct bb_marked *m, bb_usec now)
{
  return now - bb_path_delay_longest (&m->path_delay, now);
}

static int
compare_later_first (gconstpointer a, gconstpointer b)
{
  bb_usec x = *(const bb_usec *)a, y = *(const bb_usec *)b;
  return (x < y) - (x > y);
}

/* Collects the time of the last answer of each listed server, latest first.
   Returns the number of silent servers.  */
static unsigned
collect_alive_times (struct bb_marked *m, struct bb_link *head, bb_usec now)
{
  unsigned silent = 0;
  g_array_set_size (m->alive_times, 0);
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->record.state == BB_SERVER_GONE)
        continue;
      silent += bb_suspicion_is_silent (&s->load.evidence, now);
      if (s->load.evidence.last_answer != 0)
        g_array_append_val (m->alive_times, s->load.evidence.last_answer);
    }
  if (silent > 0)
    g_array_sort (m->alive_times, compare_later_first);
  return silent;
}

/* Returns the number of servers with an answer after SINCE.  */
static unsigned
count_alive_after (const GArray *alive_times, bb_usec since)
{
  guint low = 0, high = alive_times->len;
  while (low < high)
    {
      guint middle = (low + high) / 2;
      if (g_array_index (alive_times, bb_usec, middle) > since)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* Declares S dead: its flows are reset.  */
static void
end_server (struct bb_marked *m, struct bb_backend_server *s, bb_usec now)
{
  struct bb_suspicion_evidence *e = &s->load.evidence;
  bb_marked_send_event (
      m, BB_EVENT_SERVER_DEAD, s, 0,
      bb_probes_count (&e->probes, e->silent_since, false, now).failed
          + e->peer_silence.failed,
      BB_REASON_SERVER_SILENT, now);
  bb_suspicion_declare_dead (e, now);
  bb_marked_add_ended_server (m, s);
}

/* Evaluates S, one of SILENT silent servers, by the number of servers that
   answered since S fell silent.  A silence that began before a link failed is
   no evidence of that failure.  Returns false if the link of this balancer is
   suspect.  */
static bool
check_server (struct bb_marked *m, struct bb_backend_server *s,
              unsigned silent, bb_usec now)
{
  struct bb_suspicion_evidence *e = &s->load.evidence;
  bool is_link_working
      = count_alive_after (m->alive_times, e->silent_since) >= silent
        && !bb_path_delay_is_unreliable (&m->path_delay, now);
  bb_suspicion_set_link_state (e, is_link_working, now);
  if (!e->is_declared_dead
      && bb_suspicion_is_proven (e, bb_marked_observed_until (m, now)))
    end_server (m, s, now);
  return is_link_working || now - e->silent_since < LIVE_ANSWER_TIME;
}

void
bb_marked_check_peer_silences (struct bb_marked *m, bb_usec now)
{
  if (bb_sync_peer_silences (m->sync) == 0 || m->is_isolated)
    return;
  struct bb_link *head = bb_directory_servers (m->directory);
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      struct bb_suspicion_evidence *e = &s->load.evidence;
      if (e->peer_silence.peers == 0 || e->is_declared_dead
          || s->record.state == BB_SERVER_GONE)
        continue;
      e->is_slow = bb_marked_server_is_slow (s);
      if (!bb_suspicion_is_dead_for_peers (e, now))
        continue;
      end_server (m, s, now);
    }
}

void
bb_marked_check_link (struct bb_marked *m, bb_usec now)
{
  /* Without a recent retransmission no server is silent.  */
  if (!m->is_isolated && now - m->last_repeat >= BB_SUSPICION_TIME)
    return;
  struct bb_link *head = bb_directory_servers (m->directory);
  unsigned silent = collect_alive_times (m, head, now);
  bool is_isolated = false;
  for (struct bb_link *at = head->previous; silent > 0 && at != head;
       at = at->previous)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->record.state != BB_SERVER_GONE
          && bb_suspicion_is_silent (&s->load.evidence, now))
        is_isolated |= !check_server (m, s, silent, now);
    }
  if (is_isolated == m->is_isolated)
    return;
  m->is_isolated = is_isolated;
  bb_marked_send_event (
      m, is_isolated ? BB_EVENT_LINK_SUSPECT : BB_EVENT_LINK_TRUSTED, NULL, 0,
      silent, BB_REASON_SERVER_SILENT, now);
}
