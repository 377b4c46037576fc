#include "bbctl/bbctl.h"

static gboolean json;
static char *data_centre;

static const GOptionEntry entries[]
    = { { "data-centre", 'd', 0, G_OPTION_ARG_STRING, &data_centre,
          "data centre, if no overlay names it", "NAME" },
        { "json", 0, 0, G_OPTION_ARG_NONE, &json,
          "print problems as JSON too; the settings always are", NULL },
        G_OPTION_ENTRY_NULL };

static const struct bb_ctl_options options = {
  .entries = entries,
  .usage = "BASE [OVERLAY]",
  .summary = "Prints the effective settings of one data centre as JSON, with "
             "all defaults.",
  .min_arguments = 1,
  .max_arguments = 2,
};

static void
add_text (json_object *o, const char *key, const char *text)
{
  json_object_object_add (o, key, json_object_new_string (text));
}

static void
add_number (json_object *o, const char *key, uint64_t n)
{
  json_object_object_add (o, key, json_object_new_uint64 (n));
}

static void
add_address (json_object *o, const char *key, struct bb_endpoint e)
{
  g_autofree char *text = bb_ctl_format_endpoint (e);

  *g_strrstr (text, ":") = '\0';
  add_text (o, key, text);
}

static json_object *
server_json (const struct bb_server *v)
{
  json_object *o = json_object_new_object ();

  add_address (o, "address", v->gue);
  add_number (o, "gue_port", v->gue.port);
  add_number (o, "health_port", v->health.port);
  add_number (o, "weight", v->weight);
  json_object_object_add (o, "drain", json_object_new_boolean (v->drain));
  add_number (o, "connection_limit", v->connection_limit);
  add_number (o, "slots", v->slots);
  return o;
}

static json_object *
service_json (const struct bb_service *s)
{
  json_object *o = json_object_new_object ();
  json_object *servers = json_object_new_object ();

  add_address (o, "address", s->address);
  add_number (o, "port", s->address.port);
  add_text (o, "protocol", bb_ctl_protocol_name (s->protocol));
  add_text (o, "policy", bb_ctl_policy_name (s->policy));
  add_number (o, "spill_permille", s->spill_permille);
  add_number (o, "ramp_ms", s->ramp_ms);
  add_number (o, "flow_idle_limit_s", s->idle_s);
  add_number (o, "silent_ms", s->silent_ms);
  add_number (o, "buckets", s->buckets);
  for (size_t i = 0; i < s->server_count; i++)
    json_object_object_add (servers, s->servers[i].name,
                            server_json (&s->servers[i]));
  json_object_object_add (o, "servers", servers);
  return o;
}

json_object *
bb_ctl_fleet_to_json (const struct bb_fleet *f)
{
  json_object *o = json_object_new_object ();
  json_object *networks = json_object_new_array ();
  json_object *services = json_object_new_object ();

  add_number (o, "base_version", f->base_version);
  add_number (o, "overlay_version", f->overlay_version);
  add_number (o, "hash_seed", f->hash_seed);
  add_text (o, "data_centre", f->data_centre);
  json_object_object_add (o, "evacuated",
                          json_object_new_boolean (f->is_evacuated));
  for (size_t i = 0; i < f->network_count; i++)
    {
      uint32_t a = f->networks[i].address;
      g_autofree char *text
          = g_strdup_printf ("%u.%u.%u.%u/%u", a >> 24, a >> 16 & 255,
                             a >> 8 & 255, a & 255, f->networks[i].prefix);
      json_object_array_add (networks, json_object_new_string (text));
    }
  json_object_object_add (o, "entry_networks", networks);
  for (size_t i = 0; i < f->service_count; i++)
    json_object_object_add (services, f->services[i].name,
                            service_json (&f->services[i]));
  json_object_object_add (o, "services", services);
  return o;
}

int
bb_ctl_run_render (int argc, char **argv)
{
  struct bb_ctl_documents d = { 0 };
  int status = BB_CTL_EXIT_USAGE;

  if (!bb_ctl_parse_options (&options, &argc, &argv))
    return status;
  GPtrArray *problems = bb_problems_new ();
  bool loaded = bb_ctl_documents_load (&d, argv[1], argv + 2, problems);
  const char *name
      = loaded ? bb_ctl_documents_choose_data_centre (&d, data_centre) : NULL;
  struct bb_fleet *f
      = name ? bb_ctl_documents_merge (&d, name, problems) : NULL;

  if (f)
    bb_ctl_print_json (bb_ctl_fleet_to_json (f));
  if (f || bb_problems_have_error (problems))
    status = bb_ctl_print_problems (problems, json && !f);
  bb_fleet_free (f);
  g_ptr_array_unref (problems);
  bb_ctl_documents_clear (&d);
  return status;
}
