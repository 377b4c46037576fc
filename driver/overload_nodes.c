#include "driver/overload_private.h"
#include <netinet/in.h>

enum
{
  FLOW_CAPACITY = 1 << 14,
  IDLE_MS = 15000,
  /* One balancer of four has three times the callers of the others together.
   */
  UNEVEN_PERIOD = 4,
  UNEVEN_SHARE = 9,
};

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

/* No packet is lost here, so that a further one changes nothing.  */
static void
ignore_copy (void *context, unsigned slot)
{
  (void)context;
  (void)slot;
}

static const struct bb_marked_sink node_sink = {
  .send = bb_overload_send_report,
  .event = ignore_event,
  .server = ignore_server,
  .reset = ignore_reset,
  .copy = ignore_copy,
};

static const char *const data_centres[BB_OVERLOAD_DATA_CENTRES_MAX]
    = { "north", "south", "east", "west" };

static void
put_server (const struct world *w, struct bb_marked *m, unsigned i)
{
  struct bb_server_record r = { .service = "desk",
                                .address = { 0x0a010000 + i, 8080 },
                                .tag = i + 1,
                                .slots = (uint16_t)w->day->slots,
                                .born_ms = 1,
                                .created = i + 1,
                                .revision = i + 1 };
  if (w->day->hides_slots)
    r.slots = 0;
  g_strlcpy (r.data_centre, data_centres[bb_overload_data_centre (w, i)],
             sizeof r.data_centre);
  g_snprintf (r.name, sizeof r.name, "s-%u", i);
  bb_marked_put_server (m, &r, w->now);
}

static void
put_servers (struct world *w, struct bb_marked *m)
{
  for (int i = 0; i < w->day->servers - w->day->joining_servers; i++)
    put_server (w, m, (unsigned)i);
}

void
bb_overload_join_servers (struct world *w)
{
  for (int i = w->day->servers - w->day->joining_servers; i < w->day->servers;
       i++)
    {
      w->servers[i].joined = w->now;
      for (int n = 0; n < w->day->balancers; n++)
        put_server (w, w->nodes[n].marked, (unsigned)i);
    }
}

/* Callers that the routers send to a balancer, relative to others.  */
static int
node_share (const struct world *w, int index)
{
  int rank = index / MAX (w->day->data_centres, 1);
  return w->day->is_uneven && rank % UNEVEN_PERIOD == 0 ? UNEVEN_SHARE : 1;
}

struct marked_node *
bb_overload_draw_node (struct world *w, int data_centre)
{
  int sum = 0, index;
  for (int i = 0; i < w->day->balancers; i++)
    if (bb_overload_data_centre (w, (unsigned)i) == data_centre)
      sum += node_share (w, i);
  int drawn = g_rand_int_range (w->random, 0, sum);
  for (index = 0;; index++)
    if (bb_overload_data_centre (w, (unsigned)index) == data_centre
        && (drawn -= node_share (w, index)) < 0)
      return &w->nodes[index];
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
  const char *data_centre = data_centres[bb_overload_data_centre (w, index)];
  struct marked_node *n = &w->nodes[index];
  struct bb_marked_options options = {
    .sync_options
    = { .self = { .id = index + 1,
                  .data_centre = bb_name_key (data_centre),
                  .endpoint = bb_overload_node_endpoint (index) },
        .incarnation = 1,
        .capacity = 1000,
        .seed = seed + index },
    .data_centre = data_centre,
    .flow_capacity = FLOW_CAPACITY,
    .idle_ms = IDLE_MS,
  };
  *n = (struct marked_node){ .world = w, .index = index };
  n->marked = bb_marked_new (&options, &node_sink, n, w->now);
  struct bb_endpoint seeds[]
      = { bb_overload_node_endpoint (0), bb_overload_node_endpoint (1) };
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
