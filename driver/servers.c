/* Backend servers.  Like TCP endpoints, they hold the state of their flows and
   answer packets of other flows with a reset.  */

#include "driver/private.h"

#include <netinet/in.h>

#define PROBE_INTERVAL (1000 * BB_MSEC)
/* Load that a server with the mean load reports.  */
#define MEAN_LOAD_PERMILLE 500.0

static void
open_at_server (struct bb_driver *d, struct bb_driver_flow *f, int server)
{
  struct bb_driver_server *s = &d->servers[server];
  f->server = server;
  f->state = BB_DRIVER_OPEN;
  d->result.opened++;
  s->flows++;
  s->flows_max = MAX (s->flows_max, s->flows);
  s->load += (double)f->load;
  s->last_new = d->now;
}

void
bb_driver_handle_server_packet (struct bb_driver *d,
                                struct bb_driver_event *ev)
{
  struct bb_driver_server *s = &d->servers[ev->server];
  if (ev->flow == BB_DRIVER_NO_FLOW || !s->up)
    return;
  struct bb_driver_flow *f = bb_driver_flow (d, ev->flow);
  if (f->packet.destination
      != d->fleets[1]->services[s->service].address.address)
    d->result.misrouted++;
  if (f->state > BB_DRIVER_OPEN)
    return;
  if (f->server < 0 && ev->sequence == 1)
    open_at_server (d, f, ev->server);
  /* The caller has no answer from the first server yet, so that another
     server may open the flow without a fault.  */
  if (f->server != ev->server && ev->sequence == 1 && !f->acked)
    {
      bb_driver_close_flow (d, f, BB_DRIVER_OPENING);
      open_at_server (d, f, ev->server);
    }
  if (f->server != ev->server)
    {
      /* A SYN at another server has no effect, because the caller does not
         complete that handshake.  The server answers other packets with a
         reset, which breaks the flow.  */
      if (f->packet.protocol == IPPROTO_UDP && ev->sequence <= f->acked)
        d->result.duplicated++;
      if (ev->sequence > 1)
        bb_driver_break_flow (d, ev->flow);
      return;
    }
  if (f->answers_lost || ev->sequence != f->sent
      || bb_driver_draw_chance (d, d->o.loss))
    return;
  bb_driver_acknowledge (d, ev->flow);
  if (ev->flags & BB_TCP_FIN)
    bb_driver_close_flow (d, f, BB_DRIVER_CLOSED);
}

void
bb_driver_kill_server (struct bb_driver *d, int server)
{
  d->servers[server].up = false;
  for (uint32_t i = 0; i < d->flows->len; i++)
    {
      struct bb_driver_flow *f = bb_driver_flow (d, i);
      if (f->server == server && f->state == BB_DRIVER_OPEN)
        bb_driver_close_flow (d, f, BB_DRIVER_CLOSED);
    }
}

static double
mean_load (const struct bb_driver *d, int service)
{
  double sum = 0;
  int n = 0;
  for (int i = 0; i < d->server_count; i++)
    if (d->servers[i].service == service && d->servers[i].up)
      {
        sum += d->servers[i].load;
        n++;
      }
  return n && sum > 0 ? sum / n : 1;
}

static void
report_health (struct bb_driver *d, int node, const struct bb_driver_server *s)
{
  double noise = 1 + d->o.report_noise / 1000.0 * bb_driver_draw_normal (d);
  double load = s->load / mean_load (d, s->service) * MEAN_LOAD_PERMILLE;
  struct bb_probe_report r
      = { .ok = s->up && s->report_fault != BB_REPORT_FAILED,
          .draining = s->draining,
          .connections = s->flows,
          .load = (uint32_t)MAX (0, load * (d->o.report_noise ? noise : 1)),
          .uptime_ms = (uint32_t)((d->now - s->started) / BB_MSEC) };
  if (s->report_fault == BB_REPORT_ZERO_LOAD)
    r.load = 0, r.connections = 0;
  bb_engine_receive_report (d->nodes[node].engine, s->key, &r, d->now);
}

void
bb_driver_handle_probe (struct bb_driver *d, struct bb_driver_event *ev)
{
  struct bb_driver_node *n = &d->nodes[ev->node];
  if (!n->engine || n->start_count != ev->epoch)
    return;
  for (int i = 0; i < d->server_count && n->paused_until <= d->now; i++)
    if (d->servers[i].report_fault != BB_REPORT_MISSING)
      report_health (d, ev->node, &d->servers[i]);
  bb_driver_reschedule (d, ev, d->now + PROBE_INTERVAL);
}
