#include "config/fleet_check.h"

enum
{
  BUCKETS_PER_SERVER_MIN = 128, /* see design.md, section 3 */
  SILENT_MS_MIN_SAFE = 8000,    /* see design.md, "Silent flows" */
  /* A server is impaired from 95 % of its connection limit.  Below 20
     connections that threshold equals the limit, so the server would be full
     before any balancer reports it as impaired.  */
  CONNECTION_LIMIT_MIN_SAFE = 20,
  /* Of all slots of a service, those that an evacuation may take without a
     warning.  The servers elsewhere have callers of their own.  */
  EVACUATED_SLOTS_MAX_PERCENT = 50,
};

void
bb_unique_values_init (struct bb_unique_values *values)
{
  values->paths
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, g_free);
}

void
bb_unique_values_clear (struct bb_unique_values *values)
{
  g_hash_table_unref (values->paths);
}

const char *
bb_unique_values_add (struct bb_unique_values *values, const char *path,
                      const char *format, ...)
{
  va_list arguments;

  va_start (arguments, format);
  char *value = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  const char *earlier = g_hash_table_lookup (values->paths, value);
  if (earlier)
    g_free (value);
  else
    g_hash_table_insert (values->paths, value, g_strdup (path));
  return earlier;
}

char *
bb_endpoint_format (struct bb_endpoint a)
{
  return g_strdup_printf ("%u.%u.%u.%u:%u", a.address >> 24,
                          a.address >> 16 & 255, a.address >> 8 & 255,
                          a.address & 255, a.port);
}

static bool
is_prime (uint32_t n)
{
  for (uint32_t i = 2; i * i <= n; i++)
    if (n % i == 0)
      return false;
  return n > 1;
}

uint32_t
bb_prime_at_least (uint32_t n)
{
  while (!is_prime (n))
    n++;
  return n;
}

static void
check_buckets (const struct bb_config_layers *layers, const char *path,
               bool is_evacuated, const struct bb_service *s)
{
  g_autofree char *key = g_strconcat (path, "/buckets", NULL);
  uint32_t minimum = (uint32_t)s->server_count * BUCKETS_PER_SERVER_MIN;

  if (!is_prime (s->buckets))
    bb_layers_add_error (layers, BB_ERROR_RANGE, key,
                         "%u is not a prime; expected a prime, such as %u",
                         s->buckets,
                         bb_prime_at_least (MAX (s->buckets, minimum)));
  else if (s->buckets < minimum && is_evacuated)
    /* The number cannot be changed while balancers run.  */
    bb_layers_add_warning (
        layers, key,
        "%u is small for %zu servers while the data centre is evacuated; "
        "their shares are uneven below %u",
        s->buckets, s->server_count, minimum);
  else if (s->buckets < minimum)
    bb_layers_add_error (
        layers, BB_ERROR_RANGE, key,
        "%u is too small for %zu servers; expected a prime of "
        "at least %u, such as %u",
        s->buckets, s->server_count, minimum, bb_prime_at_least (minimum));
}

/* Warns if an evacuation leaves no server of S, or few slots, or has no server
   to drain.  */
static void
check_evacuation (const struct bb_config_layers *layers, const char *path,
                  const char *data_centre, const struct bb_service *s)
{
  g_autofree char *key = g_strconcat (path, "/servers", NULL);
  uint64_t left = 0;
  uint64_t drained = 0;

  for (size_t i = 0; i < s->server_count; i++)
    *(s->servers[i].drain ? &drained : &left) += s->servers[i].slots;
  if (left == 0)
    bb_layers_add_warning (
        layers, key,
        "data centre %s is evacuated and no other has a usable server, so the "
        "evacuated ones still get new flows",
        data_centre);
  else if (drained == 0)
    bb_layers_add_warning (
        layers, key,
        "data centre %s is evacuated, but no server names it as its "
        "data_centre: none is drained",
        data_centre);
  else if (drained * 100 > (left + drained) * EVACUATED_SLOTS_MAX_PERCENT)
    bb_layers_add_warning (
        layers, key,
        "data centre %s is evacuated, which leaves %" G_GUINT64_FORMAT
        " of %" G_GUINT64_FORMAT " slots",
        data_centre, left, left + drained);
}

/* Warns if all servers of S are draining, or all but one.  */
static void
check_usable_servers (const struct bb_config_layers *layers, const char *path,
                      const char *data_centre, const struct bb_service *s)
{
  g_autofree char *key = g_strconcat (path, "/servers", NULL);
  size_t usable = 0;

  for (size_t i = 0; i < s->server_count; i++)
    usable += !s->servers[i].drain;
  if (usable == 0)
    bb_layers_add_warning (
        layers, key,
        "all %zu servers in data centre %s are draining, so "
        "draining ones still get new flows",
        s->server_count, data_centre);
  else if (usable == 1)
    bb_layers_add_warning (layers, key,
                           "one usable server is left in data centre %s; its "
                           "failure stops the service",
                           data_centre);
}

/* Warns if the connection limit of a server is below its slots, leaves no
   margin, or is below 80 % of the server's share of flows by weight.  */
static void
check_server_limit (const struct bb_config_layers *layers, const char *path,
                    const struct bb_server *v, double limits, double weights)
{
  g_autofree char *key
      = g_strconcat (path, "/servers/", v->name, "/connection_limit", NULL);
  double share = limits * v->weight / weights;

  if (v->connection_limit < v->slots)
    bb_layers_add_warning (layers, key,
                           "%u connections cannot fill the server's %u slots",
                           v->connection_limit, v->slots);
  else if (v->connection_limit < CONNECTION_LIMIT_MIN_SAFE)
    bb_layers_add_warning (
        layers, key,
        "%u connections leave no margin: below %d, the server is full before "
        "balancers report it as impaired",
        v->connection_limit, CONNECTION_LIMIT_MIN_SAFE);
  else if (v->connection_limit < 0.8 * share)
    bb_layers_add_warning (
        layers, key,
        "%u connections are below the server's share by weight, %.0f of %.0f; "
        "it is full while other servers have free capacity",
        v->connection_limit, share, limits);
}

static void
check_connection_limits (const struct bb_config_layers *layers,
                         const char *path, const struct bb_service *s)
{
  double limits = 0;
  double weights = 0;
  bool all_limited = true;

  for (size_t i = 0; i < s->server_count; i++)
    {
      const struct bb_server *v = &s->servers[i];
      all_limited = all_limited && v->connection_limit > 0;
      if (!v->drain)
        {
          limits += v->connection_limit;
          weights += v->weight;
        }
    }
  for (size_t i = 0; i < s->server_count; i++)
    if (!s->servers[i].drain && s->servers[i].connection_limit)
      check_server_limit (layers, path, &s->servers[i],
                          all_limited ? limits : 0, weights);
}

void
bb_service_check (const struct bb_config_layers *layers, const char *path,
                  const char *data_centre, bool is_evacuated,
                  const struct bb_service *s)
{
  check_buckets (layers, path, is_evacuated, s);
  if (s->server_count == 0)
    {
      g_autofree char *key = g_strconcat (path, "/servers", NULL);
      bb_layers_add_error (
          layers, BB_ERROR_MISSING_KEY, key,
          "no server in data centre %s; expected at least one, "
          "or null for the service in the overlay",
          data_centre);
      return;
    }
  if (is_evacuated)
    check_evacuation (layers, path, data_centre, s);
  else
    check_usable_servers (layers, path, data_centre, s);
  check_connection_limits (layers, path, s);
  if (s->silent_ms && s->silent_ms < SILENT_MS_MIN_SAFE)
    {
      g_autofree char *key = g_strconcat (path, "/silent_ms", NULL);
      bb_layers_add_warning (layers, key,
                             "%u ms resets flows after a short loss of "
                             "packets; expected at least %d ms",
                             s->silent_ms, SILENT_MS_MIN_SAFE);
    }
}
