/* Balancers, their messages, and the faults that befall them.  */

#include "driver/private.h"
#include "wire/wire.h"

#include <string.h>

#define TICK_INTERVAL (50 * BB_MSEC)
#define FABRIC_LAG                                                            \
  (500 * BB_MSEC) /* until a dead one gets no more packets                    \
                   */
#define FAULT_DELAY (300 * BB_MSEC)

static void
receive (struct bb_driver *d, struct bb_driver_event *ev)
{
  struct bb_driver_node *n = &d->nodes[ev->node];
  bool cut = n->side != d->nodes[ev->server].side;
  if (n->engine && !cut && n->paused_until > d->now)
    {
      bb_driver_push_again (d, ev, n->paused_until);
      return;
    }
  gsize length;
  const uint8_t *bytes = g_bytes_get_data (ev->u.bytes, &length);
  struct bb_decoded_message m;
  GError *error = NULL;
  if (n->engine && !cut)
    {
      if (!bb_wire_decode (bytes, length, &m, &error))
        g_error ("message: %s", error->message);
      bb_engine_receive_message (n->engine, &m.message, d->now);
      bb_decoded_message_clear (&m);
    }
  g_bytes_unref (ev->u.bytes);
}

/* Messages between two nodes arrive in the order in which they were sent,
   unless a fault is due.  */
static void
deliver (struct bb_driver *d, int from, int to, GBytes *bytes)
{
  bb_usec at = d->now + d->o.latency + d->o.message_delay;
  at += bb_driver_random (d, 500);
  at = MAX (at, d->last_message[from][to]);
  if (bb_driver_chance (d, d->o.message_faults))
    at += bb_driver_random (d, FAULT_DELAY);
  else
    d->last_message[from][to] = at;
  struct bb_driver_event *ev
      = bb_driver_push (d, at - d->now, BB_DRIVER_MESSAGE);
  ev->node = (int16_t)to;
  ev->server = (int16_t)from;
  ev->u.bytes = g_bytes_ref (bytes);
}

/* Applies the planted faults.  */
static struct bb_message
planted (const struct bb_driver *d, const struct bb_message *m)
{
  struct bb_message t = *m;
  if (m->kind == BB_MESSAGE_HEARTBEAT && d->o.hide_bits)
    t.u.heartbeat.bit_count = 0;
  if (m->kind == BB_MESSAGE_HEARTBEAT && d->o.false_acks)
    t.u.heartbeat.acknowledged = UINT32_MAX;
  if (m->kind == BB_MESSAGE_ENTRIES && d->o.lose_entries)
    t.u.entries.entry_count = 0;
  return t;
}

static struct bb_driver *
driver_of (struct bb_driver_node *n, int *index)
{
  *index = (int)(n->vm.data.address & 0xff);
  return (struct bb_driver *)((char *)(n - *index)
                              - offsetof (struct bb_driver, nodes));
}

static void
sink_message (void *context, const struct bb_vm *to,
              const struct bb_message *message)
{
  int from, target = (int)(to->control.address & 0xff);
  struct bb_driver_node *n = context;
  struct bb_driver *d = driver_of (n, &from);
  struct bb_message m = planted (d, message);
  GByteArray *bytes = bb_wire_encode (&m);
  n->message_bytes += bytes->len;
  GBytes *shared = g_byte_array_free_to_bytes (bytes);
  if (!bb_driver_chance (d, d->o.message_faults))
    deliver (d, from, target, shared);
  if (bb_driver_chance (d, d->o.message_faults))
    deliver (d, from, target, shared);
  g_bytes_unref (shared);
}

static void
sink_event (void *context, const struct bb_event *event)
{
  int node;
  struct bb_driver *d = driver_of (context, &node);
  if (d->trace_events)
    g_printerr ("%.6f node %d %s peer %x server %x value %llu\n",
                (double)d->now / 1e6, node, bb_event_name (event->kind),
                event->peer, event->server, (unsigned long long)event->value);
}

static bool
sink_document (void *context, enum bb_document_kind kind, uint64_t version,
               const uint8_t *bytes, size_t length)
{
  int node;
  struct bb_driver *d = driver_of (context, &node);
  uint64_t inside = 0;
  if (length < sizeof inside)
    return false;
  memcpy (&inside, bytes, sizeof inside);
  g_assert (inside == version);
  if (kind == BB_DOCUMENT_OVERLAY)
    bb_engine_store_document (d->nodes[node].engine, kind, version, bytes,
                              length);
  else
    bb_driver_adopt (d, node, kind, version);
  return true;
}

static const struct bb_sink sink = { .message = sink_message,
                                     .event = sink_event,
                                     .document = sink_document };

static void
start_cycle (struct bb_driver *d, int node, enum bb_driver_kind kind,
             bb_usec interval)
{
  bb_usec delay = bb_driver_random (d, (uint32_t)interval);
  struct bb_driver_event *ev = bb_driver_push (d, delay, kind);
  ev->node = (int16_t)node;
  ev->run = d->nodes[node].runs;
}

static void
start (struct bb_driver *d, int node)
{
  struct bb_driver_node *n = &d->nodes[node];
  struct bb_engine_options o = { .self = n->vm,
                                 .incarnation = (uint64_t)d->now + 1000000000,
                                 .flow_capacity = d->o.flow_capacity,
                                 .push_bytes = d->o.push_bytes,
                                 .seed = d->o.seed + (uint64_t)node };
  n->engine = bb_engine_new (&o, &sink, n, d->now);
  n->runs++;
  n->in_fabric = true;
  n->started = d->now;
  n->first_packet = 0;
  n->paused_until = 0;
  memset (n->versions, 0, sizeof n->versions);
  start_cycle (d, node, BB_DRIVER_TICK, TICK_INTERVAL);
  start_cycle (d, node, BB_DRIVER_PROBE, BB_SEC);
}

void
bb_driver_join (struct bb_driver *d, int node)
{
  struct bb_driver_node *n = &d->nodes[node];
  if (n->engine)
    return;
  start (d, node);
  for (int i = 0; i < BB_DRIVER_NODES; i++)
    if (i != node && d->nodes[i].engine)
      bb_engine_add_peer (n->engine, &d->nodes[i].vm, d->now);
  if (!n->config)
    return;
  bb_driver_adopt (d, node, BB_DOCUMENT_BASE, d->fleet_count);
  bb_driver_adopt (d, node, BB_DOCUMENT_VMS, d->list_count);
}

void
bb_driver_kill (struct bb_driver *d, int node)
{
  struct bb_driver_node *n = &d->nodes[node];
  bb_engine_free (n->engine);
  n->engine = NULL;
  start_cycle (d, node, BB_DRIVER_REPORT, FABRIC_LAG);
}

void
bb_driver_leave (struct bb_driver *d, int node)
{
  if (!d->nodes[node].engine)
    return;
  bb_engine_leave (d->nodes[node].engine, d->now);
  start_cycle (d, node, BB_DRIVER_REPORT, FABRIC_LAG);
}

void
bb_driver_pause (struct bb_driver *d, int node, bb_usec time)
{
  d->nodes[node].paused_until = d->now + time;
  d->nodes[node].held = 0;
}

void
bb_driver_partition (struct bb_driver *d, uint32_t side)
{
  for (int i = 0; i < BB_DRIVER_NODES; i++)
    d->nodes[i].side = side >> i & 1;
}

static void
check_versions (struct bb_driver *d, struct bb_driver_node *n)
{
  struct bb_engine_status s;
  bb_engine_status (n->engine, d->now, &s);
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    {
      d->result.versions_back += s.versions[k] < n->versions[k];
      n->versions[k] = s.versions[k];
    }
}

static void
tick (struct bb_driver *d, struct bb_driver_event *ev)
{
  struct bb_driver_node *n = &d->nodes[ev->node];
  if (!n->engine || n->runs != ev->run)
    return;
  if (n->paused_until > d->now)
    {
      /* Before or after the packets that wait in the socket.  */
      bb_driver_push_again (d, ev, n->paused_until + bb_driver_random (d, 2));
      return;
    }
  if (bb_engine_tick (n->engine, d->now))
    n->discard = d->now;
  check_versions (d, n);
  if (bb_engine_has_left (n->engine, d->now) && !n->in_fabric)
    {
      bb_engine_free (n->engine);
      n->engine = NULL;
      return;
    }
  bb_driver_push_again (d, ev, d->now + TICK_INTERVAL);
}

static void
dispatch (struct bb_driver *d, struct bb_driver_event *ev)
{
  switch (ev->kind)
    {
    case BB_DRIVER_TICK:
      tick (d, ev);
      break;
    case BB_DRIVER_MESSAGE:
      receive (d, ev);
      break;
    case BB_DRIVER_PACKET:
      bb_driver_handle_packet (d, ev);
      break;
    case BB_DRIVER_ARRIVAL:
      bb_driver_handle_arrival (d, ev);
      break;
    case BB_DRIVER_FLOW:
      bb_driver_handle_flow (d, ev);
      break;
    case BB_DRIVER_START:
      bb_driver_handle_start (d);
      break;
    case BB_DRIVER_PROBE:
      bb_driver_handle_probe (d, ev);
      break;
    case BB_DRIVER_REPORT:
      if (d->nodes[ev->node].runs == ev->run)
        d->nodes[ev->node].in_fabric = false;
      break;
    default:
      if (d->nodes[ev->node].engine && d->nodes[ev->node].runs == ev->run)
        bb_driver_read_config (d, ev);
      break;
    }
}

void
bb_driver_run (struct bb_driver *d, bb_usec time)
{
  bb_usec until = d->now + time;
  struct bb_driver_event ev;
  while (bb_driver_pop (d, until, &ev))
    {
      d->now = ev.time;
      dispatch (d, &ev);
    }
  d->now = until;
}

struct bb_driver *
bb_driver_new (const struct bb_driver_options *options)
{
  struct bb_driver *d = g_new0 (struct bb_driver, 1);
  d->o = *options;
  d->random = g_rand_new_with_seed ((guint32)options->seed);
  d->queue = g_array_new (FALSE, FALSE, sizeof (struct bb_driver_event));
  d->flows = g_array_new (FALSE, TRUE, sizeof (struct bb_driver_flow));
  d->trace_flow = -1;
  for (uint32_t i = 0; i < BB_DRIVER_NODES; i++)
    {
      struct bb_vm *vm = &d->nodes[i].vm;
      g_snprintf (vm->name, sizeof vm->name, "vm%u", i);
      vm->id = bb_name_key (vm->name);
      g_strlcpy (vm->data_centre, "medellin", sizeof vm->data_centre);
      vm->data = (struct bb_endpoint){ 0x0a020000u + i, 6080 };
      vm->control = (struct bb_endpoint){ 0x0a020000u + i, 6090 };
      d->nodes[i].config = true;
    }
  bb_driver_platform_init (d);
  for (uint32_t i = 0; i < options->balancers; i++)
    bb_driver_join (d, (int)i);
  bb_driver_run (d, 10 * BB_SEC);
  bb_driver_set_rate (d, options->rate);
  return d;
}

void
bb_driver_free (struct bb_driver *d)
{
  struct bb_driver_event ev;
  while (bb_driver_pop (d, INT64_MAX, &ev))
    if (ev.kind == BB_DRIVER_MESSAGE)
      g_bytes_unref (ev.u.bytes);
  for (int i = 0; i < BB_DRIVER_NODES; i++)
    bb_engine_free (d->nodes[i].engine);
  for (uint32_t i = 1; i <= d->fleet_count; i++)
    bb_fleet_free (d->fleets[i]);
  for (uint32_t i = 1; i <= d->list_count; i++)
    bb_vm_list_free (d->lists[i]);
  g_array_free (d->queue, TRUE);
  g_array_free (d->flows, TRUE);
  g_rand_free (d->random);
  g_free (d);
}
