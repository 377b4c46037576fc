#include "bbctl/bbctl.h"
#include "core/engine.h"
#include "core/hash.h"
#include <math.h>
#include <netinet/in.h>
#include <stdio.h>
#include <string.h>

static gboolean json;
static char *data_centre;
static char *protocol;

static const GOptionEntry entries[]
    = { { "data-centre", 'd', 0, G_OPTION_ARG_STRING, &data_centre,
          "data centre, if no overlay names it", "NAME" },
        { "protocol", 'p', 0, G_OPTION_ARG_STRING, &protocol, "tcp or udp",
          "NAME" },
        { "json", 0, 0, G_OPTION_ARG_NONE, &json, "print JSON", NULL },
        G_OPTION_ENTRY_NULL };

static const struct bb_ctl_options options = {
  .entries = entries,
  .usage = "SOURCE:PORT DESTINATION:PORT BASE [OVERLAY]",
  .summary = "Shows the bucket and the backend server of a new flow under a "
             "configuration, and why.",
  .description = "The result depends on the documents alone. Running "
                 "balancers also use health, load,\n"
                 "connection limits and the default set, which bbctl status "
                 "shows. An existing flow\n"
                 "stays on its server.\n\n"
                 "Exit status: 7 if no service has the destination.",
  .min_arguments = 3,
  .max_arguments = 4,
};

struct placement
{
  const struct bb_service *service;
  const struct bb_server *desired; /* server in the lookup table */
  const struct bb_server *server;  /* server expected to get the flow */
  uint64_t hash;
  uint32_t bucket;
  char *why;
};

/* Returns the server that the engine chooses if the server of the bucket is
   not eligible: the first in weighted rendezvous hashing over the servers that
   are not draining.  Returns NULL if all servers are draining.  */
static const struct bb_server *
choose_by_rendezvous (const struct bb_service *s, uint64_t hash)
{
  const struct bb_server *best = NULL;
  double best_score = -1;

  for (size_t i = 0; i < s->server_count; i++)
    {
      const struct bb_server *v = &s->servers[i];
      double u = (double)(bb_hash_score (hash, v->key) >> 11) * 0x1p-53;
      double score = -v->weight / log (u);
      if (v->drain || score <= best_score)
        continue;
      best = v;
      best_score = score;
    }
  return best;
}

static void
place_flow (const struct bb_fleet *f, const struct bb_packet *packet,
            struct placement *p)
{
  const struct bb_service *s = p->service;
  uint32_t *table = bb_ctl_desired_table (s, true);

  p->hash = bb_flow_hash (packet, f->hash_seed);
  p->bucket = bb_hash_bucket (p->hash, s->buckets);
  p->desired = bb_ctl_server_by_key (s, table[p->bucket]);
  p->server = p->desired;
  g_free (table);
  if (p->bucket < s->buckets * s->spill_permille / 1000)
    p->why = g_strdup_printf (
        "bucket %u is among the first %u permille, which policy even places "
        "on the least loaded server; %s is the choice without load reports",
        p->bucket, s->spill_permille, p->desired->name);
  else if (!p->desired->drain)
    p->why = g_strdup_printf ("the lookup table has %s for bucket %u",
                              p->desired->name, p->bucket);
  else if (!(p->server = choose_by_rendezvous (s, p->hash)))
    {
      p->server = p->desired;
      p->why
          = g_strdup ("all servers are draining, so the lookup table decides");
    }
  else
    p->why = g_strdup_printf (
        "the lookup table has %s for bucket %u, but it drains; of the other "
        "servers, %s is first in the rendezvous order of the flow",
        p->desired->name, p->bucket, p->server->name);
}

static const struct bb_service *
service_of_packet (const struct bb_fleet *f, const struct bb_packet *packet)
{
  for (size_t i = 0; i < f->service_count; i++)
    {
      const struct bb_service *s = &f->services[i];
      if (s->address.address == packet->destination
          && s->address.port == packet->destination_port
          && s->protocol == packet->protocol)
        return s;
    }
  return NULL;
}

static void
print_placement (const struct placement *p)
{
  g_autofree char *address = bb_ctl_format_endpoint (p->server->gue);

  if (!json)
    {
      printf ("service  %s\nhash     %016" G_GINT64_MODIFIER "x\n"
              "bucket   %u of %u\nserver   %s at %s\nwhy      %s\n",
              p->service->name, p->hash, p->bucket, p->service->buckets,
              p->server->name, address, p->why);
      return;
    }
  g_autofree char *hash
      = g_strdup_printf ("%016" G_GINT64_MODIFIER "x", p->hash);
  const char *const texts[][2]
      = { { "service", p->service->name }, { "flow", hash },
          { "head", p->desired->name },    { "server", p->server->name },
          { "address", address },          { "why", p->why } };
  json_object *o = json_object_new_object ();
  for (size_t i = 0; i < G_N_ELEMENTS (texts); i++)
    json_object_object_add (o, texts[i][0],
                            json_object_new_string (texts[i][1]));
  json_object_object_add (o, "bucket", json_object_new_int64 (p->bucket));
  json_object_object_add (o, "buckets",
                          json_object_new_int64 (p->service->buckets));
  bb_ctl_print_json (o);
}

static bool
parse_flow (char **argv, struct bb_packet *packet)
{
  struct bb_endpoint source;
  struct bb_endpoint destination;
  bool udp = !g_strcmp0 (protocol, "udp");

  if (!bb_ctl_parse_endpoint (argv[1], &source)
      || !bb_ctl_parse_endpoint (argv[2], &destination)
      || (protocol && !udp && strcmp (protocol, "tcp") != 0))
    {
      fputs ("bbctl place: expected ADDRESS:PORT twice, and protocol tcp or "
             "udp\n",
             stderr);
      return false;
    }
  *packet = (struct bb_packet){ .source = source.address,
                                .source_port = source.port,
                                .destination = destination.address,
                                .destination_port = destination.port,
                                .protocol = udp ? IPPROTO_UDP : IPPROTO_TCP };
  return true;
}

static int
print_placement_in (const struct bb_fleet *f, const struct bb_packet *packet,
                    const char *destination)
{
  struct placement p = { .service = service_of_packet (f, packet) };

  if (!p.service)
    {
      fprintf (stderr, "bbctl place: no service has %s/%s in %s\n",
               destination, bb_ctl_protocol_name (packet->protocol),
               f->data_centre);
      return bb_error_handling (BB_ERROR_NOT_FOUND)->exit_status;
    }
  place_flow (f, packet, &p);
  print_placement (&p);
  g_free (p.why);
  return 0;
}

int
bb_ctl_run_place (int argc, char **argv)
{
  struct bb_ctl_documents d = { 0 };
  struct bb_packet packet;
  int status = BB_CTL_EXIT_USAGE;

  if (!bb_ctl_parse_options (&options, &argc, &argv)
      || !parse_flow (argv, &packet))
    return status;
  GPtrArray *problems = bb_problems_new ();
  bool loaded = bb_ctl_documents_load (&d, argv[3], argv + 4, problems);
  const char *name
      = loaded ? bb_ctl_documents_choose_data_centre (&d, data_centre) : NULL;
  struct bb_fleet *f
      = name ? bb_ctl_documents_merge (&d, name, problems) : NULL;

  if (f)
    status = print_placement_in (f, &packet, argv[2]);
  else if (bb_problems_have_error (problems))
    status = bb_ctl_print_problems (problems, json);
  bb_fleet_free (f);
  g_ptr_array_unref (problems);
  bb_ctl_documents_clear (&d);
  return status;
}
