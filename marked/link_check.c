#include "marked/balancer_private.h"

/* Servers that live answer somebody within this time if the own link works. */
#define HEARD_WITHIN (300 * BB_MSEC)

bb_usec
bb_marked_seen_until (const struct bb_marked *m, bb_usec now)
{
  return now - bb_path_delay_get (&m->path_delay, now);
}

static int
later_first (gconstpointer a, gconstpointer b)
{
  bb_usec x = *(const bb_usec *)a, y = *(const bb_usec *)b;
  return (x < y) - (x > y);
}

/* Collects when each listed server was last heard, latest first.  Returns how
   many are silent.  */
static unsigned
survey (struct bb_marked *m, struct bb_link *head, bb_usec now)
{
  unsigned silent = 0;
  g_array_set_size (m->heard, 0);
  for (struct bb_link *at = head->previous; at != head; at = at->previous)
    {
      const struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->record.state == BB_SERVER_GONE)
        continue;
      silent += bb_suspicion_silent (&s->load.evidence, now);
      if (s->load.evidence.alive != 0)
        g_array_append_val (m->heard, s->load.evidence.alive);
    }
  if (silent > 0)
    g_array_sort (m->heard, later_first);
  return silent;
}

/* Number of servers heard after SINCE.  */
static unsigned
heard_after (const GArray *heard, bb_usec since)
{
  guint low = 0, high = heard->len;
  while (low < high)
    {
      guint middle = (low + high) / 2;
      if (g_array_index (heard, bb_usec, middle) > since)
        low = middle + 1;
      else
        high = middle;
    }
  return low;
}

/* A silent server is judged by what was heard of the others since it fell
   silent: an older silence says nothing of a link that broke later.  */
static bool
judge (struct bb_marked *m, struct bb_backend_server *s, unsigned silent,
       bb_usec now)
{
  struct bb_evidence *e = &s->load.evidence;
  bool works = heard_after (m->heard, e->silent_since) >= silent
               && !bb_path_delay_unreliable (&m->path_delay, now);
  bb_suspicion_report_link (e, works, now);
  if (!e->declared && bb_suspicion_proven (e, bb_marked_seen_until (m, now)))
    {
      e->declared = true;
      bb_marked_note_ended (m, s);
    }
  return works || now - e->silent_since < HEARD_WITHIN;
}

void
bb_marked_check_link (struct bb_marked *m, bb_usec now)
{
  /* No server is silent.  */
  if (!m->isolated && now - m->repeated >= BB_SUSPECT_TIME)
    return;
  struct bb_link *head = bb_directory_servers (m->directory);
  unsigned silent = survey (m, head, now);
  bool isolated = false;
  for (struct bb_link *at = head->previous; silent > 0 && at != head;
       at = at->previous)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->record.state != BB_SERVER_GONE
          && bb_suspicion_silent (&s->load.evidence, now))
        isolated |= !judge (m, s, silent, now);
    }
  if (isolated == m->isolated)
    return;
  m->isolated = isolated;
  bb_marked_send_event (
      m, isolated ? BB_EVENT_LINK_SUSPECT : BB_EVENT_LINK_TRUSTED, NULL, 0,
      silent, BB_REASON_SERVER_SILENT, now);
}
