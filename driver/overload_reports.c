#include "driver/overload_private.h"

/* Time by which all balancers know each other.  After it the delay of messages
   grows as fast as the time, up to that of the day, so that they arrive at
   half of the rate and no peer seems lost.  */
#define SETTLE_TIME BB_SEC

struct bb_endpoint
bb_overload_node_endpoint (unsigned index)
{
  return (struct bb_endpoint){ 0x0a000001 + index, 7000 };
}

static void
deliver (struct world *w, unsigned from, unsigned to,
         const struct bb_sync_message *message)
{
  struct bb_endpoint sender = bb_overload_node_endpoint (from);
  bb_sync_receive (bb_marked_get_sync (w->nodes[to].marked), &sender, message,
                   w->now);
}

static bool
is_lost (struct world *w)
{
  return w->day->report_loss > 0 && w->now > SETTLE_TIME
         && g_rand_int_range (w->random, 0, 100) < w->day->report_loss;
}

static void
schedule (struct world *w, const struct report *report)
{
  bb_usec delay
      = CLAMP (w->now - SETTLE_TIME, 0, w->day->report_delay_ms * BB_MSEC);
  unsigned at = (unsigned)((w->now + delay) / BB_MSEC);
  if (at >= w->length_ms)
    return;
  if (!w->reports[at])
    w->reports[at] = g_array_new (FALSE, FALSE, sizeof *report);
  g_atomic_rc_box_acquire (report->message);
  g_array_append_val (w->reports[at], *report);
}

void
bb_overload_send_report (void *context, const struct bb_endpoint *to,
                         size_t count, const struct bb_sync_message *message)
{
  const struct marked_node *n = context;
  struct world *w = n->world;
  struct report r = { .from = n->index };
  if (w->day->report_delay_ms > 0)
    r.message
        = (struct bb_sync_message *)(g_atomic_rc_box_dup)(sizeof *message,
                                                          message);
  for (size_t i = 0; i < count; i++)
    {
      r.to = to[i].address - bb_overload_node_endpoint (0).address;
      if (r.to >= (unsigned)w->day->balancers || r.to == n->index
          || is_lost (w))
        continue;
      if (r.message && w->now > SETTLE_TIME)
        schedule (w, &r);
      else
        deliver (w, r.from, r.to, message);
    }
  if (r.message)
    g_atomic_rc_box_release (r.message);
}

void
bb_overload_deliver_reports (struct world *w)
{
  GArray *reports = w->reports[w->now / BB_MSEC];
  for (guint i = 0; reports && i < reports->len; i++)
    {
      const struct report *r = &g_array_index (reports, struct report, i);
      deliver (w, r->from, r->to, r->message);
      g_atomic_rc_box_release (r->message);
    }
  if (reports)
    g_array_set_size (reports, 0);
}

void
bb_overload_free_reports (struct world *w)
{
  for (unsigned i = 0; i < w->length_ms; i++)
    {
      GArray *reports = w->reports[i];
      for (guint n = 0; reports && n < reports->len; n++)
        g_atomic_rc_box_release (
            g_array_index (reports, struct report, n).message);
      if (reports)
        g_array_unref (reports);
    }
  g_free (w->reports);
}
