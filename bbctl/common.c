#include "bbctl/bbctl.h"
#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdio.h>

bool
bb_ctl_parse_options (const struct bb_ctl_options *options, int *argc,
                      char ***argv)
{
  GOptionContext *context = g_option_context_new (options->usage);
  GError *error = NULL;

  g_set_prgname ("bbctl");
  /* GLib takes ARGV[0] for the program name, which here is the command, and
     prints g_get_prgname in the usage line.  */
  g_autofree char *program = g_strdup_printf ("bbctl %s", (*argv)[0]);
  g_set_prgname (program);
  g_option_context_set_summary (context, options->summary);
  if (options->description)
    g_option_context_set_description (context, options->description);
  g_option_context_add_main_entries (context, options->entries, NULL);
  bool is_valid = g_option_context_parse (context, argc, argv, &error);
  int count = *argc - 1;
  if (!is_valid)
    fprintf (stderr, "%s: %s\n", program, error->message);
  else if (count < options->min_arguments
           || (options->max_arguments >= 0 && count > options->max_arguments))
    {
      g_autofree char *help = g_option_context_get_help (context, TRUE, NULL);
      fputs (help, stderr);
      is_valid = false;
    }
  g_clear_error (&error);
  g_option_context_free (context);
  return is_valid;
}

const char *
bb_ctl_protocol_name (uint8_t protocol)
{
  return protocol == IPPROTO_UDP ? "udp" : "tcp";
}

const char *
bb_ctl_policy_name (enum bb_policy_kind policy)
{
  return policy == BB_POLICY_EVEN ? "even" : "table";
}

char *
bb_ctl_format_endpoint (struct bb_endpoint e)
{
  return g_strdup_printf ("%u.%u.%u.%u:%u", e.address >> 24,
                          e.address >> 16 & 255, e.address >> 8 & 255,
                          e.address & 255, e.port);
}

bool
bb_ctl_parse_endpoint (const char *text, struct bb_endpoint *e)
{
  g_auto (GStrv) parts = g_strsplit (text, ":", 2);
  struct in_addr a;
  guint64 port;

  if (!parts[0] || !parts[1] || inet_pton (AF_INET, parts[0], &a) != 1
      || !g_ascii_string_to_unsigned (parts[1], 10, 1, 65535, &port, NULL))
    return false;
  e->address = ntohl (a.s_addr);
  e->port = (uint16_t)port;
  return true;
}

json_object *
bb_ctl_json_member (json_object *o, const char *key)
{
  json_object *value = NULL;

  if (json_object_is_type (o, json_type_object))
    json_object_object_get_ex (o, key, &value);
  return value;
}

const char *
bb_ctl_json_string (json_object *o, const char *key)
{
  json_object *value = bb_ctl_json_member (o, key);

  return value ? json_object_get_string (value) : "";
}

int64_t
bb_ctl_json_int64 (json_object *o, const char *key)
{
  return json_object_get_int64 (bb_ctl_json_member (o, key));
}

bool
bb_ctl_json_bool (json_object *o, const char *key)
{
  return json_object_get_boolean (bb_ctl_json_member (o, key));
}

void
bb_ctl_print_json (json_object *o)
{
  puts (json_object_to_json_string_ext (
      o, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED
             | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (o);
}
