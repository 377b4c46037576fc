/* Puts events of several balancers into one order.

   Wall clocks differ between VMs.  A balancer that records peer_leaving
   before the peer records leaving has a clock that is behind, and its events
   are shifted by as much as needed, so that no effect precedes its cause.  */

#include "bbctl/timeline.h"
#include <string.h>

/* A peer receives the report of a leave within one or two heartbeats; events
   further apart than this belong to different leaves.  */
#define PAIR_WINDOW_US ((int64_t)10 * 1000 * 1000)

/* VM TO recorded at TO_US that FROM leaves, and FROM recorded its leave at
   FROM_US.  Each time is by the clock of that VM, so TO_US can be earlier.  */
struct leave_pair
{
  const char *from;
  const char *to;
  int64_t from_us;
  int64_t to_us;
};

static int64_t *
get_correction (const struct bb_ctl_timeline *t, const char *vm)
{
  GArray *a = g_hash_table_lookup (t->corrections, vm);
  int64_t zero = 0;

  if (!a)
    {
      a = g_array_new (FALSE, TRUE, sizeof (int64_t));
      g_array_append_val (a, zero);
      g_hash_table_insert (t->corrections, g_strdup (vm), a);
    }
  return &g_array_index (a, int64_t, 0);
}

int64_t
bb_ctl_timeline_get_correction (const struct bb_ctl_timeline *t,
                                const char *vm)
{
  return *get_correction (t, vm);
}

static GPtrArray *
select_events (const struct bb_ctl_timeline *t, const char *name)
{
  GPtrArray *selected = g_ptr_array_new ();

  for (guint r = 0; r < t->runs->len; r++)
    {
      const struct bb_ctl_process_run *run = t->runs->pdata[r];
      for (guint i = 0; i < run->events->len; i++)
        {
          struct bb_ctl_event *e = run->events->pdata[i];
          if (!strcmp (bb_ctl_json_string (e->line, "event"), name))
            g_ptr_array_add (selected, e);
        }
    }
  return selected;
}

/* Returns the leave, of the peer that E names, nearest to E in time, or
   NULL.  */
static const struct bb_ctl_event *
nearest_leave (const GPtrArray *causes, const struct bb_ctl_event *e)
{
  const char *peer = bb_ctl_json_string (e->line, "peer");
  const struct bb_ctl_event *best = NULL;
  int64_t nearest = PAIR_WINDOW_US;

  for (guint i = 0; i < causes->len; i++)
    {
      const struct bb_ctl_event *c = causes->pdata[i];
      int64_t gap = ABS (c->time_us - e->time_us);
      if (strcmp (c->run->vm, peer) != 0 || gap >= nearest)
        continue;
      nearest = gap;
      best = c;
    }
  return best;
}

static GArray *
pair_leaves (const struct bb_ctl_timeline *t)
{
  GArray *pairs = g_array_new (FALSE, FALSE, sizeof (struct leave_pair));
  GPtrArray *causes = select_events (t, "leaving");
  GPtrArray *effects = select_events (t, "peer_leaving");

  for (guint i = 0; i < effects->len; i++)
    {
      const struct bb_ctl_event *e = effects->pdata[i];
      const struct bb_ctl_event *c = nearest_leave (causes, e);
      if (!c)
        continue;
      struct leave_pair v = { c->run->vm, e->run->vm, c->time_us, e->time_us };
      g_array_append_val (pairs, v);
    }
  g_ptr_array_unref (causes);
  g_ptr_array_unref (effects);
  return pairs;
}

/* Shifts the clock of each VM that recorded a leave before it happened to a
   later time, until no receipt precedes its cause or the limit is reached.  A
   shift passes each VM at most once, so the number of VMs bounds the
   rounds.  */
static void
correct_clocks (struct bb_ctl_timeline *t, int64_t limit_us)
{
  GArray *pairs = pair_leaves (t);
  bool any_moved = true;

  for (guint round = 0; any_moved && round <= t->runs->len; round++)
    {
      any_moved = false;
      for (guint i = 0; i < pairs->len; i++)
        {
          const struct leave_pair *v
              = &g_array_index (pairs, struct leave_pair, i);
          int64_t *to = get_correction (t, v->to);
          int64_t minimum
              = v->from_us + *get_correction (t, v->from) - v->to_us;
          int64_t next = MIN (MAX (*to, minimum), limit_us);
          any_moved = any_moved || next > *to;
          *to = MAX (*to, next);
        }
    }
  g_array_unref (pairs);
}

static int
compare_seq (gconstpointer a, gconstpointer b)
{
  const struct bb_ctl_event *x = *(struct bb_ctl_event *const *)a;
  const struct bb_ctl_event *y = *(struct bb_ctl_event *const *)b;

  return (x->seq > y->seq) - (x->seq < y->seq);
}

static int
compare_place (gconstpointer a, gconstpointer b)
{
  const struct bb_ctl_event *x = *(struct bb_ctl_event *const *)a;
  const struct bb_ctl_event *y = *(struct bb_ctl_event *const *)b;
  int by_vm = strcmp (x->run->vm, y->run->vm);

  if (x->place_us != y->place_us)
    return x->place_us < y->place_us ? -1 : 1;
  if (x->run == y->run)
    return compare_seq (a, b);
  if (by_vm)
    return by_vm;
  return x->run->index < y->run->index ? -1 : 1;
}

static void
place_run_events (struct bb_ctl_timeline *t, struct bb_ctl_process_run *run)
{
  int64_t shift = *get_correction (t, run->vm);
  int64_t last = INT64_MIN;
  int64_t seq = -1;

  g_ptr_array_sort (run->events, compare_seq);
  for (guint i = 0; i < run->events->len; i++)
    {
      struct bb_ctl_event *e = run->events->pdata[i];
      /* Keeps the order of seq even if the wall clock was set back.  */
      e->place_us = MAX (e->time_us + shift, last);
      last = e->place_us;
      e->missing_before = seq < 0 ? 0 : e->seq - seq - 1;
      seq = e->seq;
      g_ptr_array_add (t->sorted, e);
    }
}

void
bb_ctl_timeline_sort (struct bb_ctl_timeline *t, int64_t limit_us)
{
  correct_clocks (t, limit_us);
  for (guint i = 0; i < t->runs->len; i++)
    place_run_events (t, t->runs->pdata[i]);
  g_ptr_array_sort (t->sorted, compare_place);
}
