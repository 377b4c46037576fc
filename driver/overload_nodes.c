#include "driver/overload_private.h"
#include <netinet/in.h>

enum
{
  FLOW_CAPACITY = 1 << 14,
  IDLE_MS = 15000,
};

static struct bb_endpoint
node_endpoint (unsigned index)
{
  return (struct bb_endpoint){ 0x0a000001 + index, 7000 };
}

static void
deliver_message (void *context, const struct bb_endpoint *to, size_t count,
                 const struct bb_sync_message *message)
{
  const struct marked_node *n = context;
  struct world *w = n->world;
  struct bb_endpoint from = node_endpoint (n->index);
  for (size_t i = 0; i < count; i++)
    {
      unsigned target = to[i].address - node_endpoint (0).address;
      if (target < (unsigned)w->day->balancers && target != n->index)
        bb_sync_receive (bb_marked_get_sync (w->nodes[target].marked), &from,
                         message, w->now);
    }
}

static void
ignore_event (void *context, const struct bb_event *event)
{
  (void)context;
  (void)event;
}

static void
ignore_server (void *context, const struct bb_backend_server *server)
{
  (void)context;
  (void)server;
}

static void
ignore_reset (void *context, const struct bb_marked_packet *packet)
{
  (void)context;
  (void)packet;
}

static const struct bb_marked_sink node_sink = {
  .send = deliver_message,
  .event = ignore_event,
  .server = ignore_server,
  .reset = ignore_reset,
};

static void
put_servers (struct world *w, struct bb_marked *m)
{
  for (unsigned i = 0; i < (unsigned)w->day->servers; i++)
    {
      struct bb_server_record r = { .service = "desk",
                                    .data_centre = "north",
                                    .address = { 0x0a010000 + i, 8080 },
                                    .tag = i + 1,
                                    .slots = (uint16_t)w->day->slots,
                                    .born_ms = 1,
                                    .created = i + 1,
                                    .revision = i + 1 };
      if (w->day->hides_slots)
        r.slots = 0;
      g_snprintf (r.name, sizeof r.name, "s-%u", i);
      bb_marked_put_server (m, &r, w->now);
    }
}

static void
configure (const struct world *w, struct bb_marked *m)
{
  struct bb_route_record routes[BB_OVERLOAD_KINDS];
  for (int i = 0; i < BB_OVERLOAD_KINDS; i++)
    {
      const struct bb_overload_kind *k = &w->day->kinds[i];
      routes[i] = (struct bb_route_record){
        .address = { 0xc6120001, (uint16_t)(443 + i) },
        .shares = { { bb_name_key ("desk"), 1 } },
        .share_count = 1,
        .objective_ms = (uint32_t)k->objective_ms,
        .priority = k->priority,
        .revision = 100,
      };
    }
  const struct bb_configuration c = { .version = 1,
                                      .revision = 100,
                                      .routes = routes,
                                      .route_count = BB_OVERLOAD_KINDS };
  bb_marked_configure (m, &c, w->now);
}

void
bb_overload_start_node (struct world *w, unsigned index, uint32_t seed)
{
  struct marked_node *n = &w->nodes[index];
  struct bb_marked_options options = {
    .sync_options = { .self = { .id = index + 1,
                                .data_centre = bb_name_key ("north"),
                                .endpoint = node_endpoint (index) },
                      .incarnation = 1,
                      .capacity = 1000,
                      .seed = seed + index },
    .data_centre = "north",
    .flow_capacity = FLOW_CAPACITY,
    .idle_ms = IDLE_MS,
  };
  *n = (struct marked_node){ .world = w, .index = index };
  n->marked = bb_marked_new (&options, &node_sink, n, w->now);
  struct bb_endpoint seeds[] = { node_endpoint (0), node_endpoint (1) };
  bb_sync_set_seeds (bb_marked_get_sync (n->marked), seeds,
                     G_N_ELEMENTS (seeds));
  put_servers (w, n->marked);
  configure (w, n->marked);
  bb_marked_confirm_revision (n->marked, 100, w->now, w->now);
}

struct bb_marked_verdict
bb_overload_send_packet (const struct world *w, const struct flow *f,
                         uint8_t flags, uint16_t payload)
{
  struct bb_marked_packet p = {
    .packet = { .source = 0x64400001 + (uint32_t)f->caller,
                .source_port = f->port,
                .destination = 0xc6120001,
                .destination_port = (uint16_t)(443 + f->kind),
                .protocol = IPPROTO_TCP,
                .tcp_flags = flags,
                .sequence = f->sequence,
                .payload = payload,
                .acknowledgement = f->acknowledgement },
    .cookie = f->cookie,
  };
  struct bb_marked_verdict v;
  bb_marked_handle_packet (f->node->marked, &p, w->now, &v);
  return v;
}
