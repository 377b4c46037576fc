/* Accessors for tests and measurements.  */

#include "driver/private.h"

bb_usec
bb_driver_now (const struct bb_driver *d)
{
  return d->now;
}

struct bb_driver_node *
bb_driver_node (struct bb_driver *d, int i)
{
  return &d->nodes[i];
}

struct bb_driver_server *
bb_driver_server (struct bb_driver *d, int i)
{
  return &d->servers[i];
}

uint32_t
bb_driver_flow_count (const struct bb_driver *d)
{
  return d->flows->len;
}

const struct bb_driver_result *
bb_driver_result (const struct bb_driver *d)
{
  return &d->result;
}

void
bb_driver_set_rate (struct bb_driver *d, double rate)
{
  bool idle = d->o.rate <= 0 || !d->starting;
  d->o.rate = rate;
  d->starting = rate > 0;
  if (idle && rate > 0)
    bb_driver_schedule (d, 0, BB_DRIVER_NEW_FLOW);
}

double
bb_driver_imbalance (const struct bb_driver *d, bool load)
{
  double sum = 0, max = 0;
  int n = 0;
  for (int i = 0; i < d->server_count; i++)
    {
      const struct bb_driver_server *s = &d->servers[i];
      if (s->service != 0 || !s->up || s->draining || s->drained)
        continue;
      double x = load ? s->load : s->flows;
      sum += x;
      max = MAX (max, x);
      n++;
    }
  return sum > 0 ? max * n / sum : 0;
}

void
bb_driver_trace (struct bb_driver *d, bool events, int64_t flow)
{
  d->trace_events = events;
  d->trace_flow = flow;
}
