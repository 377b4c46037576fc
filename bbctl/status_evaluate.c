#include "bbctl/status.h"
#include <string.h>

/* Accepted versions reach all balancers within 2 s (design.md, "Targets"), so
   a difference that lasts longer is reported.  */
#define VERSION_SPREAD_US 2000000

static void add_attention (struct bb_ctl_status *s, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* Adds a line unless the same line was added already: several balancers often
   report the same condition.  */
static void
add_attention (struct bb_ctl_status *s, const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  if (g_ptr_array_find_with_equal_func (s->attention, text, g_str_equal, NULL))
    g_free (text);
  else
    g_ptr_array_add (s->attention, text);
}

void
bb_ctl_status_read_versions (json_object *o, int64_t versions[3])
{
  static const char *const names[3] = { "base", "overlay", "vms" };

  for (size_t i = 0; i < 3; i++)
    versions[i]
        = json_object_is_type (o, json_type_array)
              ? json_object_get_int64 (json_object_array_get_idx (o, i))
              : bb_ctl_json_int64 (o, names[i]);
}

/* Adds the conditions that balancer B reports itself.  */
static void
add_balancer_attention (struct bb_ctl_status *s,
                        const struct bb_ctl_balancer *b)
{
  json_object *own = bb_ctl_json_member (b->status, "attention");
  size_t n = json_object_is_type (own, json_type_array)
                 ? json_object_array_length (own)
                 : 0;

  for (size_t i = 0; i < n; i++)
    add_attention (
        s, "%s: %s", bb_ctl_json_string (b->status, "vm"),
        json_object_get_string (json_object_array_get_idx (own, i)));
}

static bool
have_same_data_centre (json_object *a, json_object *b)
{
  return !strcmp (bb_ctl_json_string (a, "data_centre"),
                  bb_ctl_json_string (b, "data_centre"));
}

/* Compares A with B.  Overlays and default sets differ between data
   centres.  */
static void
compare_balancers (struct bb_ctl_status *s, json_object *a, json_object *b)
{
  static const char *const names[3] = { "base", "VM list", "overlay" };
  static const size_t places[3] = { 0, 2, 1 };
  int64_t x[3];
  int64_t y[3];
  int64_t age = MIN (bb_ctl_json_int64 (a, "version_age_us"),
                     bb_ctl_json_int64 (b, "version_age_us"));
  bool is_same_data_centre = have_same_data_centre (a, b);

  bb_ctl_status_read_versions (bb_ctl_json_member (a, "versions"), x);
  bb_ctl_status_read_versions (bb_ctl_json_member (b, "versions"), y);
  for (size_t i = 0; i < (is_same_data_centre ? 3 : 2); i++)
    if (x[places[i]] != y[places[i]] && age > VERSION_SPREAD_US)
      add_attention (s,
                     "%s has %s version %" G_GINT64_FORMAT
                     " and %s has %" G_GINT64_FORMAT ", for %.0f s",
                     bb_ctl_json_string (a, "vm"), names[i], x[places[i]],
                     bb_ctl_json_string (b, "vm"), y[places[i]],
                     (double)age / 1e6);
  if (is_same_data_centre
      && bb_ctl_json_int64 (a, "generation")
             != bb_ctl_json_int64 (b, "generation")
      && !strcmp (bb_ctl_json_string (a, "phase"),
                  bb_ctl_json_string (b, "phase")))
    add_attention (s,
                   "%s and %s have different generations of the default set",
                   bb_ctl_json_string (a, "vm"), bb_ctl_json_string (b, "vm"));
}

/* Records for each server whether some balancers report it as healthy (1) and
   some as unhealthy (2).  */
static void
collect_server_health (json_object *status, GHashTable *health_by_server)
{
  json_object *servers = bb_ctl_json_member (status, "servers");
  size_t n = json_object_is_type (servers, json_type_array)
                 ? json_object_array_length (servers)
                 : 0;

  for (size_t i = 0; i < n; i++)
    {
      json_object *v = json_object_array_get_idx (servers, i);
      char *name = g_strdup_printf ("%s/%s", bb_ctl_json_string (v, "service"),
                                    bb_ctl_json_string (v, "server"));
      guint health = bb_ctl_json_bool (v, "healthy") ? 1 : 2;
      guint all_health
          = GPOINTER_TO_UINT (g_hash_table_lookup (health_by_server, name))
            | health;
      /* NOLINTNEXTLINE(performance-no-int-to-ptr) */
      g_hash_table_insert (health_by_server, name,
                           GUINT_TO_POINTER (all_health));
    }
}

/* Returns the balancer to compare number I with: the first one of the same
   data centre, or else the first one that responded.  */
static const struct bb_ctl_balancer *
choose_reference (const struct bb_ctl_status *s, size_t i)
{
  const struct bb_ctl_balancer *any = NULL;

  for (size_t j = 0; j < i; j++)
    {
      const struct bb_ctl_balancer *b = &s->balancers[j];
      if (b->status
          && have_same_data_centre (b->status, s->balancers[i].status))
        return b;
      if (b->status && !any)
        any = b;
    }
  return any;
}

void
bb_ctl_status_evaluate (struct bb_ctl_status *s)
{
  GHashTable *health_by_server
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  GHashTableIter iter;
  gpointer name;
  gpointer all_health;

  for (size_t i = 0; i < s->count; i++)
    {
      const struct bb_ctl_balancer *b = &s->balancers[i];
      if (!b->status)
        {
          add_attention (s, "%s does not respond: %s", b->address, b->error);
          continue;
        }
      add_balancer_attention (s, b);
      collect_server_health (b->status, health_by_server);
      const struct bb_ctl_balancer *other = choose_reference (s, i);
      if (other)
        compare_balancers (s, other->status, b->status);
    }
  g_hash_table_iter_init (&iter, health_by_server);
  while (g_hash_table_iter_next (&iter, &name, &all_health))
    if (GPOINTER_TO_UINT (all_health) == 3)
      add_attention (s, "balancers disagree on whether %s is healthy",
                     (char *)name);
    else if (GPOINTER_TO_UINT (all_health) == 2)
      add_attention (s, "%s is unhealthy", (char *)name);
  g_hash_table_unref (health_by_server);
}
