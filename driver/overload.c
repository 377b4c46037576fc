#include "driver/overload_private.h"

enum
{
  TICK_MS = 50,
};

#define WARM_TIME (3 * BB_SEC)
#define COLD_TIME (2 * BB_SEC)  /* of a server that joins */
#define DRAIN_TIME (3 * BB_SEC) /* after the peak */

void
bb_overload_schedule (struct world *w, int delay_ms, bb_overload_func *happen,
                      struct flow *f, struct request *q)
{
  unsigned at = (unsigned)(w->now / BB_MSEC) + (unsigned)MAX (delay_ms, 1);
  struct event event = { happen, f, q };
  if (at >= w->length_ms)
    return;
  if (!w->events[at])
    w->events[at] = g_array_new (FALSE, FALSE, sizeof event);
  g_array_append_val (w->events[at], event);
}

bb_usec
bb_overload_peak_start (void)
{
  return WARM_TIME;
}

bool
bb_overload_is_peak (const struct world *w)
{
  return w->now >= WARM_TIME && w->now < WARM_TIME + w->day->peak;
}

int
bb_overload_data_centre (const struct world *w, unsigned index)
{
  return (int)(index % (unsigned)MAX (w->day->data_centres, 1));
}

static void
add_request (struct world *w, int data_centre)
{
  struct request *q = g_new0 (struct request, 1);
  q->kind = g_rand_int_range (w->random, 0, 100) >= w->day->kinds[0].share;
  q->data_centre = data_centre;
  q->caller = g_rand_int_range (w->random, 0, w->day->callers)
              + data_centre * w->day->callers;
  q->first = w->now;
  q->is_counted = bb_overload_is_peak (w);
  w->result.kinds[q->kind].requests += q->is_counted;
  w->requests_of[data_centre] += q->is_counted;
  g_ptr_array_add (w->requests, q);
  bb_overload_start_attempt (w, NULL, q);
}

/* Requests in a millisecond at the usual load in one data centre.  */
static double
usual_rate (const struct bb_overload_day *day)
{
  double work = 0;
  for (int i = 0; i < BB_OVERLOAD_KINDS; i++)
    work += day->kinds[i].share / 100.0 * day->kinds[i].work_ms;
  return day->usual_load / 100.0 * day->servers * day->slots / work
         / MAX (day->data_centres, 1);
}

static void
add_requests (struct world *w, int data_centre, double rate)
{
  int arrivals = (int)rate;
  arrivals += g_rand_double (w->random) < rate - arrivals;
  while (arrivals-- > 0)
    add_request (w, data_centre);
}

static void
run_servers (struct world *w)
{
  for (int i = 0; i < w->day->servers; i++)
    {
      struct server *s = &w->servers[i];
      bool is_cold = s->joined && w->now - s->joined < COLD_TIME;
      s->is_slow
          = is_cold || (i < w->day->slow_servers && bb_overload_is_peak (w));
      bb_overload_run_server (w, s);
    }
}

static void
step (struct world *w, double load)
{
  unsigned at = (unsigned)(w->now / BB_MSEC);
  GArray *events = w->events[at];
  if (w->now == WARM_TIME)
    bb_overload_join_servers (w);
  bb_overload_deliver_reports (w);
  for (guint i = 0; events && i < events->len; i++)
    {
      struct event e = g_array_index (events, struct event, i);
      e.happen (w, e.flow, e.request);
    }
  run_servers (w);
  for (int i = 0; at % TICK_MS == 0 && i < w->day->balancers; i++)
    {
      bb_marked_confirm_revision (w->nodes[i].marked, 100, w->now, w->now);
      bb_marked_tick (w->nodes[i].marked, w->now);
    }
  for (int i = 0; i < MAX (w->day->data_centres, 1); i++)
    {
      bool has_peak
          = bb_overload_is_peak (w) && (i == 0 || !w->day->is_pressed);
      add_requests (w, i, usual_rate (w->day) * (has_peak ? load : 1));
    }
}

static double
earned_worth (const struct world *w)
{
  double earned = 0, owed = 0;
  for (int i = 0; i < BB_OVERLOAD_KINDS; i++)
    {
      const struct bb_overload_count *c = &w->result.kinds[i];
      earned += (double)c->in_time * w->day->kinds[i].worth;
      owed += (double)c->requests * w->day->kinds[i].worth;
    }
  return owed > 0 ? earned / owed : 1;
}

static void
free_world (struct world *w)
{
  for (int i = 0; i < w->day->balancers; i++)
    bb_marked_free (w->nodes[i].marked);
  for (int i = 0; i < w->day->servers; i++)
    {
      g_free (w->servers[i].running);
      g_free (w->servers[i].due);
    }
  for (unsigned i = 0; i < w->length_ms; i++)
    if (w->events[i])
      g_array_unref (w->events[i]);
  g_free (w->events);
  bb_overload_free_reports (w);
  g_ptr_array_unref (w->flows);
  g_ptr_array_unref (w->requests);
  g_rand_free (w->random);
}

struct bb_overload_result
bb_overload_play (const struct bb_overload_day *day, double load,
                  uint32_t seed)
{
  return bb_overload_watch (day, load, seed, NULL, NULL);
}

struct bb_overload_result
bb_overload_watch (const struct bb_overload_day *day, double load,
                   uint32_t seed, bb_overload_placed_func *placed,
                   void *context)
{
  struct world w = { .day = day, .placed = placed, .context = context };
  bb_usec length = WARM_TIME + day->peak + DRAIN_TIME;
  g_return_val_if_fail (day->balancers <= BB_OVERLOAD_BALANCERS_MAX
                            && day->servers <= BB_OVERLOAD_SERVERS_MAX
                            && day->queue < BB_OVERLOAD_QUEUE_MAX,
                        w.result);
  w.length_ms = (unsigned)(length / BB_MSEC);
  w.events = g_new0 (GArray *, w.length_ms);
  w.reports = g_new0 (GArray *, w.length_ms);
  w.flows = g_ptr_array_new_with_free_func (g_free);
  w.requests = g_ptr_array_new_with_free_func (g_free);
  w.random = g_rand_new_with_seed (seed);
  w.now = BB_MSEC;
  for (int i = 0; i < day->servers; i++)
    {
      w.servers[i].running = g_new0 (struct flow *, (gsize)day->slots);
      w.servers[i].due = g_new0 (bb_usec, (gsize)day->slots);
    }
  for (unsigned i = 0; i < (unsigned)day->balancers; i++)
    bb_overload_start_node (&w, i, seed);
  for (; w.now < length; w.now += BB_MSEC)
    step (&w, load);
  w.result.worth = earned_worth (&w);
  for (int i = 0; i < MAX (day->data_centres, 1); i++)
    w.result.in_time[i] /= MAX (w.requests_of[i], 1);
  free_world (&w);
  return w.result;
}
