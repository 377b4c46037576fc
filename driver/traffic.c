/* Callers with their retransmissions, the fabric, and the path of packets
   through the balancers.  */

#include "driver/private.h"

#include <math.h>
#include <netinet/in.h>

#define SYN_TIMEOUT (1000 * BB_MSEC)
#define DATA_TIMEOUT (300 * BB_MSEC)
#define DOUBLINGS_MAX 4
#define ATTEMPTS_MAX 20
/* Standard deviation of the logarithm of a flow's load.  With this value the
   policy "table" gives a max/mean of 1.12 at 20,000 flows.  */
#define LOAD_SIGMA 1.45

struct bb_driver_flow *
bb_driver_flow (struct bb_driver *d, uint32_t i)
{
  return &g_array_index (d->flows, struct bb_driver_flow, i);
}

/* Sets the timer of the flow and cancels the previous timer.  */
static void
schedule_flow (struct bb_driver *d, uint32_t i, bb_usec delay)
{
  struct bb_driver_event *ev
      = bb_driver_schedule (d, delay, BB_DRIVER_FLOW_TIMER);
  ev->flow = i;
  ev->epoch = ++bb_driver_flow (d, i)->timer_epoch;
}

/* Handles the server's answer to the flow's last packet.  The first packet
   after the SYN is sent when the answer arrives, later packets after a random
   pause.  */
void
bb_driver_acknowledge (struct bb_driver *d, uint32_t flow)
{
  struct bb_driver_flow *f = bb_driver_flow (d, flow);
  bb_usec delay = d->o.latency;
  f->acked = f->sent;
  if (f->sent > 1)
    delay += (bb_usec)bb_driver_draw_exponential (d, (double)d->o.gap);
  schedule_flow (d, flow, delay);
}

static uint32_t
add_flow (struct bb_driver *d, int service)
{
  uint32_t i = d->flows->len;
  const struct bb_service *s = &d->fleets[1]->services[service];
  struct bb_driver_flow f = {
    .packet = { .source = 0x0b000000u + i / 1000,
                .destination = s->address.address,
                .source_port = (uint16_t)(2000 + i % 1000),
                .destination_port = s->address.port,
                .protocol = s->protocol },
    .server = -1,
    .load
    = d->o.skewed ? (float)exp (LOAD_SIGMA * bb_driver_draw_normal (d)) : 1,
    .end_time
    = d->o.life
          ? d->now + (bb_usec)bb_driver_draw_exponential (d, (double)d->o.life)
          : INT64_MAX,
  };
  g_array_append_val (d->flows, f);
  d->result.started++;
  return i;
}

void
bb_driver_open_flows (struct bb_driver *d, uint32_t count, int service)
{
  while (count--)
    schedule_flow (d, add_flow (d, service), bb_driver_random (d, 1000000));
}

uint32_t
bb_driver_reopen_flow (struct bb_driver *d, uint32_t flow)
{
  uint32_t i = add_flow (d, 0);
  struct bb_driver_flow *f = bb_driver_flow (d, i);
  f->packet = bb_driver_flow (d, flow)->packet;
  schedule_flow (d, i, 0);
  return i;
}

void
bb_driver_handle_new_flow (struct bb_driver *d)
{
  if (d->o.rate <= 0)
    return;
  int service = bb_driver_random (d, 10) == 0;
  schedule_flow (d, add_flow (d, service), 0);
  bb_usec gap = (bb_usec)bb_driver_draw_exponential (d, 1e6 / d->o.rate);
  bb_driver_schedule (d, gap, BB_DRIVER_NEW_FLOW);
}

/* The fabric balances per packet: it sends each packet to a random balancer.
 */
static void
send_to_random_node (struct bb_driver *d, uint32_t flow, uint32_t number,
                     uint8_t flags)
{
  int targets[BB_DRIVER_NODES], n = 0;
  for (int i = 0; i < BB_DRIVER_NODES; i++)
    if (d->nodes[i].in_fabric)
      targets[n++] = i;
  if (!n)
    return;
  bb_usec delay = d->o.latency + bb_driver_random (d, 200);
  struct bb_driver_event *ev = bb_driver_schedule (d, delay, BB_DRIVER_PACKET);
  ev->node = (int16_t)targets[bb_driver_random (d, (uint32_t)n)];
  ev->flow = flow;
  ev->sequence = number;
  ev->flags = flags;
}

static void
send_with_loss (struct bb_driver *d, uint32_t flow, uint32_t number,
                uint8_t flags)
{
  if (bb_driver_draw_chance (d, d->o.loss))
    d->result.lost_packets++;
  else
    send_to_random_node (d, flow, number, flags);
  if (bb_driver_draw_chance (d, d->o.duplicates))
    send_to_random_node (d, flow, number, flags);
}

void
bb_driver_send_stray (struct bb_driver *d, uint8_t flags)
{
  send_to_random_node (d, BB_DRIVER_NO_FLOW, bb_driver_random (d, INT32_MAX),
                       flags);
}

static uint8_t
get_tcp_flags (const struct bb_driver *d, const struct bb_driver_flow *f,
               uint32_t number)
{
  if (f->packet.protocol != IPPROTO_TCP)
    return 0;
  if (number == 1)
    return BB_TCP_SYN;
  return f->end_time <= d->now ? BB_TCP_ACK | BB_TCP_FIN : BB_TCP_ACK;
}

void
bb_driver_resend_packet (struct bb_driver *d, uint32_t flow, uint32_t number)
{
  send_to_random_node (d, flow, number, number == 1 ? BB_TCP_SYN : BB_TCP_ACK);
}

void
bb_driver_close_flow (struct bb_driver *d, struct bb_driver_flow *f,
                      enum bb_driver_flow_state state)
{
  if (f->server >= 0)
    {
      d->servers[f->server].flows--;
      d->servers[f->server].load -= (double)f->load;
    }
  f->state = state;
}

static void
record_first_failure (struct bb_driver *d, uint32_t i)
{
  if (d->result.first_failed_flow)
    return;
  d->result.first_failed_flow = i + 1;
  d->result.first_failed_at = d->now;
}

void
bb_driver_break_flow (struct bb_driver *d, uint32_t i)
{
  bb_driver_close_flow (d, bb_driver_flow (d, i), BB_DRIVER_BROKEN);
  d->result.broken++;
  record_first_failure (d, i);
}

void
bb_driver_handle_flow_timer (struct bb_driver *d, struct bb_driver_event *ev)
{
  struct bb_driver_flow *f = bb_driver_flow (d, ev->flow);
  if (f->state > BB_DRIVER_OPEN || f->stops_sending
      || ev->epoch != f->timer_epoch)
    return;
  if (f->acked == f->sent)
    {
      f->sent++;
      f->attempts = 0;
    }
  else if (++f->attempts > ATTEMPTS_MAX)
    {
      d->result.timed_out++;
      bb_driver_break_flow (d, ev->flow);
      return;
    }
  send_with_loss (d, ev->flow, f->sent, get_tcp_flags (d, f, f->sent));
  bb_usec timeout = f->sent == 1 ? SYN_TIMEOUT : DATA_TIMEOUT;
  schedule_flow (d, ev->flow, timeout << MIN (f->attempts, DOUBLINGS_MAX));
}

static int
find_server (const struct bb_driver *d, uint32_t key)
{
  for (int i = 0; i < d->server_count; i++)
    if (d->servers[i].key == key)
      return i;
  return -1;
}

static struct bb_packet
make_packet (struct bb_driver *d, const struct bb_driver_event *ev)
{
  struct bb_packet p
      = { .source = 0x0c000000u + ev->sequence,
          .destination = d->fleets[1]->services[0].address.address,
          .destination_port = 80,
          .source_port = 999,
          .protocol = IPPROTO_TCP };
  if (ev->flow != BB_DRIVER_NO_FLOW)
    p = bb_driver_flow (d, ev->flow)->packet;
  p.tcp_flags = ev->flags;
  p.sequence = 1000 + ev->sequence * 100;
  p.payload = ev->flags & BB_TCP_SYN ? 0 : 100;
  return p;
}

static void
hand_over (struct bb_driver *d, const struct bb_driver_event *ev,
           const struct bb_verdict *v)
{
  int to = (int)(v->target.address & 0xff);
  d->result.hops_max = MAX (d->result.hops_max, v->handover.hops);
  if (d->nodes[to].side != d->nodes[ev->node].side
      || bb_driver_draw_chance (d, d->o.loss))
    return;
  bb_usec delay = d->o.latency + bb_driver_random (d, 200);
  struct bb_driver_event *next
      = bb_driver_schedule (d, delay, BB_DRIVER_PACKET);
  next->node = (int16_t)to;
  next->flow = ev->flow;
  next->sequence = ev->sequence;
  next->flags = ev->flags;
  next->has_handover = true;
  next->u.handover = v->handover;
}

static void
handle_reset (struct bb_driver *d, const struct bb_driver_event *ev,
              enum bb_verdict_kind kind)
{
  if (ev->flow == BB_DRIVER_NO_FLOW)
    return;
  struct bb_driver_flow *f = bb_driver_flow (d, ev->flow);
  if (f->state > BB_DRIVER_OPEN)
    return;
  if (kind == BB_VERDICT_RESET)
    {
      d->result.resets++;
      if (!f->answers_lost)
        {
          d->result.resets_wrong++;
          record_first_failure (d, ev->flow);
        }
      bb_driver_close_flow (d, f, BB_DRIVER_CLOSED);
    }
  else if (f->server < 0)
    {
      d->result.refused++;
      f->state = BB_DRIVER_REFUSED;
    }
  else
    {
      d->result.refused_after_syn++;
      bb_driver_break_flow (d, ev->flow);
    }
}

static void
trace_packet (struct bb_driver *d, const struct bb_driver_event *ev,
              const struct bb_verdict *v)
{
  if (d->trace_flow < 0 || ev->flow != (uint32_t)d->trace_flow)
    return;
  g_printerr ("%.6f packet %u flags %u at %d hops %d flags %d: %d drop %s "
              "server %d to %x\n",
              (double)d->now / 1e6, ev->sequence, ev->flags, ev->node,
              ev->has_handover ? ev->u.handover.hops : 0,
              ev->has_handover ? ev->u.handover.flags : 0, (int)v->kind,
              bb_drop_name (v->drop), find_server (d, v->server),
              v->target.address);
}

/* Holds the packet if its node is paused, as the socket buffer of a stopped
   process does.  */
static bool
hold_packet (struct bb_driver *d, struct bb_driver_event *ev)
{
  struct bb_driver_node *n = &d->nodes[ev->node];
  if (n->paused_until <= d->now)
    return false;
  if (n->held_packets++ < BB_DRIVER_HELD_PACKETS_MAX)
    {
      ev->version = 1;
      bb_driver_reschedule (d, ev, n->paused_until);
    }
  return true;
}

void
bb_driver_handle_packet (struct bb_driver *d, struct bb_driver_event *ev)
{
  struct bb_driver_node *n = &d->nodes[ev->node];
  if (!n->engine || hold_packet (d, ev))
    return;
  if (ev->version && n->discard_before >= n->paused_until)
    return;
  struct bb_packet p = make_packet (d, ev);
  struct bb_verdict v;
  bb_engine_handle_packet (
      n->engine, &p, ev->has_handover ? &ev->u.handover : NULL, d->now, &v);
  trace_packet (d, ev, &v);
  if (v.kind == BB_VERDICT_HAND_OVER)
    hand_over (d, ev, &v);
  if (v.kind == BB_VERDICT_REFUSE || v.kind == BB_VERDICT_RESET)
    handle_reset (d, ev, v.kind);
  if (v.kind != BB_VERDICT_FORWARD)
    return;
  if (!n->first_packet)
    n->first_packet = d->now;
  struct bb_driver_event *next
      = bb_driver_schedule (d, d->o.latency, BB_DRIVER_SERVER_PACKET);
  next->server = (int16_t)find_server (d, v.server);
  next->flow = ev->flow;
  next->sequence = ev->sequence;
  next->flags = ev->flags;
}
