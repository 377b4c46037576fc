/* Runs the engines: starts and stops nodes, ticks them, and delivers their
   messages with delays, losses and partitions.  */

#include "driver/private.h"
#include "wire/wire.h"

#include <string.h>

#define NODE_TICK_INTERVAL (50 * BB_MSEC)
#define FABRIC_UPDATE_MAX                                                     \
  (500 * BB_MSEC) /* until the fabric removes a stopped node */
#define REORDER_DELAY_MAX (300 * BB_MSEC) /* of messages with a fault */

static void
receive_message (struct bb_driver *d, struct bb_driver_event *ev)
{
  struct bb_driver_node *n = &d->nodes[ev->node];
  bool is_partitioned = n->side != d->nodes[ev->server].side;
  if (n->engine && !is_partitioned && n->paused_until > d->now)
    {
      bb_driver_reschedule (d, ev, n->paused_until);
      return;
    }
  gsize length;
  const uint8_t *bytes = g_bytes_get_data (ev->u.bytes, &length);
  struct bb_decoded_message m;
  GError *error = NULL;
  if (n->engine && !is_partitioned)
    {
      if (!bb_wire_decode (bytes, length, &m, &error))
        g_error ("cannot decode a message: %s", error->message);
      bb_engine_receive_message (n->engine, &m.message, d->now);
      bb_decoded_message_clear (&m);
    }
  g_bytes_unref (ev->u.bytes);
}

/* Messages from one node to another arrive in the order of sending, except
   those that a fault delays.  */
static void
schedule_message (struct bb_driver *d, int from, int to, GBytes *bytes)
{
  bb_usec at = d->now + d->o.latency + d->o.message_delay;
  at += bb_driver_random (d, 500);
  at = MAX (at, d->last_message[from][to]);
  if (bb_driver_draw_chance (d, d->o.message_faults))
    at += bb_driver_random (d, REORDER_DELAY_MAX);
  else
    d->last_message[from][to] = at;
  struct bb_driver_event *ev
      = bb_driver_schedule (d, at - d->now, BB_DRIVER_MESSAGE);
  ev->node = (int16_t)to;
  ev->server = (int16_t)from;
  ev->u.bytes = g_bytes_ref (bytes);
}

/* Returns M changed by the planted faults.  */
static struct bb_message
apply_planted_faults (const struct bb_driver *d, const struct bb_message *m)
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
get_driver (struct bb_driver_node *n, int *index)
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
  struct bb_driver *d = get_driver (n, &from);
  struct bb_message m = apply_planted_faults (d, message);
  GByteArray *bytes = bb_wire_encode (&m);
  n->message_bytes += bytes->len;
  GBytes *shared = g_byte_array_free_to_bytes (bytes);
  if (!bb_driver_draw_chance (d, d->o.message_faults))
    schedule_message (d, from, target, shared);
  if (bb_driver_draw_chance (d, d->o.message_faults))
    schedule_message (d, from, target, shared);
  g_bytes_unref (shared);
}

static void
sink_event (void *context, const struct bb_event *event)
{
  int node;
  struct bb_driver *d = get_driver (context, &node);
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
  struct bb_driver *d = get_driver (context, &node);
  uint64_t stored_version = 0;
  if (length < sizeof stored_version)
    return false;
  memcpy (&stored_version, bytes, sizeof stored_version);
  g_assert (stored_version == version);
  if (kind == BB_DOCUMENT_OVERLAY)
    bb_engine_store_document (d->nodes[node].engine, kind, version, bytes,
                              length);
  else
    bb_driver_apply_version (d, node, kind, version);
  return true;
}

static const struct bb_sink sink = { .message = sink_message,
                                     .event = sink_event,
                                     .document = sink_document };

static void
schedule_for_node (struct bb_driver *d, int node,
                   enum bb_driver_event_kind kind, bb_usec interval)
{
  bb_usec delay = bb_driver_random (d, (uint32_t)interval);
  struct bb_driver_event *ev = bb_driver_schedule (d, delay, kind);
  ev->node = (int16_t)node;
  ev->epoch = d->nodes[node].start_count;
}

static void
start_engine (struct bb_driver *d, int node)
{
  struct bb_driver_node *n = &d->nodes[node];
  struct bb_engine_options o = { .self = n->vm,
                                 .incarnation = (uint64_t)d->now + 1000000000,
                                 .flow_capacity = d->o.flow_capacity,
                                 .push_bytes = d->o.push_bytes,
                                 .seed = d->o.seed + (uint64_t)node };
  n->engine = bb_engine_new (&o, &sink, n, d->now);
  n->start_count++;
  n->in_fabric = true;
  n->started = d->now;
  n->first_packet = 0;
  n->paused_until = 0;
  memset (n->versions, 0, sizeof n->versions);
  schedule_for_node (d, node, BB_DRIVER_TICK, NODE_TICK_INTERVAL);
  schedule_for_node (d, node, BB_DRIVER_PROBE, BB_SEC);
}

void
bb_driver_join_node (struct bb_driver *d, int node)
{
  struct bb_driver_node *n = &d->nodes[node];
  if (n->engine)
    return;
  start_engine (d, node);
  for (int i = 0; i < BB_DRIVER_NODES; i++)
    if (i != node && d->nodes[i].engine)
      bb_engine_add_peer (n->engine, &d->nodes[i].vm, d->now);
  if (!n->config)
    return;
  bb_driver_apply_version (d, node, BB_DOCUMENT_BASE, d->fleet_count);
  bb_driver_apply_version (d, node, BB_DOCUMENT_VMS, d->list_count);
}

void
bb_driver_kill_node (struct bb_driver *d, int node)
{
  struct bb_driver_node *n = &d->nodes[node];
  bb_engine_free (n->engine);
  n->engine = NULL;
  schedule_for_node (d, node, BB_DRIVER_FABRIC_UPDATE, FABRIC_UPDATE_MAX);
}

void
bb_driver_leave_node (struct bb_driver *d, int node)
{
  if (!d->nodes[node].engine)
    return;
  bb_engine_leave (d->nodes[node].engine, d->now);
  schedule_for_node (d, node, BB_DRIVER_FABRIC_UPDATE, FABRIC_UPDATE_MAX);
}

void
bb_driver_pause_node (struct bb_driver *d, int node, bb_usec time)
{
  d->nodes[node].paused_until = d->now + time;
  d->nodes[node].held_packets = 0;
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
      d->result.versions_reverted += s.versions[k] < n->versions[k];
      n->versions[k] = s.versions[k];
    }
}

static void
tick_node (struct bb_driver *d, struct bb_driver_event *ev)
{
  struct bb_driver_node *n = &d->nodes[ev->node];
  if (!n->engine || n->start_count != ev->epoch)
    return;
  if (n->paused_until > d->now)
    {
      /* The first tick after the pause may come before or after the packets
         held in the socket buffer.  */
      bb_driver_reschedule (d, ev, n->paused_until + bb_driver_random (d, 2));
      return;
    }
  if (bb_engine_tick (n->engine, d->now))
    n->discard_before = d->now;
  check_versions (d, n);
  if (bb_engine_has_left (n->engine, d->now) && !n->in_fabric)
    {
      bb_engine_free (n->engine);
      n->engine = NULL;
      return;
    }
  bb_driver_reschedule (d, ev, d->now + NODE_TICK_INTERVAL);
}

static void
dispatch (struct bb_driver *d, struct bb_driver_event *ev)
{
  switch (ev->kind)
    {
    case BB_DRIVER_TICK:
      tick_node (d, ev);
      break;
    case BB_DRIVER_MESSAGE:
      receive_message (d, ev);
      break;
    case BB_DRIVER_PACKET:
      bb_driver_handle_packet (d, ev);
      break;
    case BB_DRIVER_SERVER_PACKET:
      bb_driver_handle_server_packet (d, ev);
      break;
    case BB_DRIVER_FLOW_TIMER:
      bb_driver_handle_flow_timer (d, ev);
      break;
    case BB_DRIVER_NEW_FLOW:
      bb_driver_handle_new_flow (d);
      break;
    case BB_DRIVER_PROBE:
      bb_driver_handle_probe (d, ev);
      break;
    case BB_DRIVER_FABRIC_UPDATE:
      if (d->nodes[ev->node].start_count == ev->epoch)
        d->nodes[ev->node].in_fabric = false;
      break;
    default:
      if (d->nodes[ev->node].engine
          && d->nodes[ev->node].start_count == ev->epoch)
        bb_driver_read_config (d, ev);
      break;
    }
}

void
bb_driver_run (struct bb_driver *d, bb_usec time)
{
  bb_usec until = d->now + time;
  struct bb_driver_event ev;
  while (bb_driver_next_event (d, until, &ev))
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
    bb_driver_join_node (d, (int)i);
  bb_driver_run (d, 10 * BB_SEC);
  bb_driver_set_rate (d, options->rate);
  return d;
}

void
bb_driver_free (struct bb_driver *d)
{
  struct bb_driver_event ev;
  while (bb_driver_next_event (d, INT64_MAX, &ev))
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
