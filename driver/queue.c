/* Priority queue of events, a binary heap ordered by time and then by order
   of scheduling, and the random numbers of the simulation.  */

#include "driver/private.h"

#include <math.h>

#define EVENT_AT(i) (&g_array_index (d->queue, struct bb_driver_event, i))

static bool
event_precedes (const struct bb_driver_event *a,
                const struct bb_driver_event *b)
{
  return a->time < b->time || (a->time == b->time && a->order < b->order);
}

static void
swap_events (struct bb_driver *d, guint i, guint j)
{
  struct bb_driver_event t = *EVENT_AT (i);
  *EVENT_AT (i) = *EVENT_AT (j);
  *EVENT_AT (j) = t;
}

static guint
sift_up (struct bb_driver *d, guint i)
{
  while (i && event_precedes (EVENT_AT (i), EVENT_AT ((i - 1) / 2)))
    {
      swap_events (d, i, (i - 1) / 2);
      i = (i - 1) / 2;
    }
  return i;
}

static void
sift_down (struct bb_driver *d)
{
  for (guint i = 0, n = d->queue->len;;)
    {
      guint least = i;
      for (guint c = 2 * i + 1; c <= 2 * i + 2 && c < n; c++)
        if (event_precedes (EVENT_AT (c), EVENT_AT (least)))
          least = c;
      if (least == i)
        return;
      swap_events (d, i, least);
      i = least;
    }
}

/* The returned event is valid until the next event is scheduled.  */
struct bb_driver_event *
bb_driver_schedule (struct bb_driver *d, bb_usec delay,
                    enum bb_driver_event_kind kind)
{
  struct bb_driver_event ev = {
    .time = d->now + delay, .sent = d->now, .order = d->order++, .kind = kind
  };
  g_array_append_val (d->queue, ev);
  return EVENT_AT (sift_up (d, d->queue->len - 1));
}

void
bb_driver_reschedule (struct bb_driver *d, struct bb_driver_event *ev,
                      bb_usec time)
{
  ev->time = time;
  ev->order = d->order++;
  g_array_append_vals (d->queue, ev, 1);
  sift_up (d, d->queue->len - 1);
}

bool
bb_driver_next_event (struct bb_driver *d, bb_usec until,
                      struct bb_driver_event *ev)
{
  if (!d->queue->len || EVENT_AT (0)->time > until)
    return false;
  *ev = *EVENT_AT (0);
  swap_events (d, 0, d->queue->len - 1);
  g_array_set_size (d->queue, d->queue->len - 1);
  sift_down (d);
  return true;
}

uint32_t
bb_driver_random (struct bb_driver *d, uint32_t below)
{
  return below ? (uint32_t)g_rand_int_range (d->random, 0, (gint32)below) : 0;
}

double
bb_driver_draw_exponential (struct bb_driver *d, double mean)
{
  return -mean * log (1 - g_rand_double (d->random));
}

double
bb_driver_draw_normal (struct bb_driver *d)
{
  double r = sqrt (2 * bb_driver_draw_exponential (d, 1));
  return r * cos (2 * G_PI * g_rand_double (d->random));
}

bool
bb_driver_draw_chance (struct bb_driver *d, uint32_t ppm)
{
  return ppm && bb_driver_random (d, 1000000) < ppm;
}
