/* Puts events of several balancers into one order.

   Wall clocks differ between VMs.  If a balancer records peer_leaving at an
   earlier time than the peer records leaving, the clock of the balancer is
   behind.  Its events are then shifted to later times, by as much as needed
   for the effect not to precede the cause.  */

#include "bbctl/timeline.h"
#include <string.h>

/* The peers of a balancer that leaves receive the report within one or two
   heartbeats.  A leaving and a peer_leaving event that are this far apart or
   more are therefore unrelated.  */
#define PAIR_WINDOW_US ((int64_t)10 * 1000 * 1000)

/* A leaving event of one VM and the matching peer_leaving event of another.
   Each time is by the clock of the VM that recorded the event, so OBSERVED_US
   can be earlier than LEFT_US.  */
struct leave_pair
{
  const char *leaving_vm;
  const char *observer_vm;
  int64_t left_us;     /* time of the leaving event */
  int64_t observed_us; /* time of the peer_leaving event */
};

/* Returns the correction of the clock of VM, added as 0 if there is none
   yet.  */
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

/* Returns the event in CAUSES that was recorded by the peer named in E and is
   nearest to E in time, or NULL if none is within PAIR_WINDOW_US.  */
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

/* Increases the clock corrections, up to LIMIT_US each, until no peer_leaving
   event precedes the matching leaving event.  A shift passes each VM at most
   once, and each VM has at least one run, so the number of runs bounds the
   rounds.  */
static void
correct_clocks (struct bb_ctl_timeline *t, int64_t limit_us)
{
  GArray *pairs = pair_leaves (t);
  bool any_shifted = true;

  for (guint round = 0; any_shifted && round <= t->runs->len; round++)
    {
      any_shifted = false;
      for (guint i = 0; i < pairs->len; i++)
        {
          const struct leave_pair *v
              = &g_array_index (pairs, struct leave_pair, i);
          int64_t *correction = get_correction (t, v->observer_vm);
          int64_t minimum = v->left_us + *get_correction (t, v->leaving_vm)
                            - v->observed_us;
          int64_t next = MIN (MAX (*correction, minimum), limit_us);
          any_shifted = any_shifted || next > *correction;
          *correction = MAX (*correction, next);
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
compare_corrected_times (gconstpointer a, gconstpointer b)
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
add_run_events (struct bb_ctl_timeline *t, struct bb_ctl_process_run *run)
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
    add_run_events (t, t->runs->pdata[i]);
  g_ptr_array_sort (t->sorted, compare_corrected_times);
}
