#include "runtime/probe.h"
#include "runtime/fetch.h"
#include "runtime/process_private.h"
#include <json-c/json.h>

enum
{
  BODY_MAX = 4096, /* bytes */
  JITTER_PERCENT = 20
};

#define PROBE_TIMEOUT (1 * BB_SEC)

struct probe
{
  struct bb_probes *probes;
  uint32_t server; /* key of the server */
  struct bb_endpoint endpoint;
  struct event *timer;
  struct bb_fetch *fetch; /* NULL if no probe is in progress */
};

struct bb_probes
{
  struct bb_process *process;
  GHashTable *table; /* server key to struct probe */
  struct bb_probe_counters counters;
};

static int64_t
get_number (struct json_object *object, const char *key, int64_t max,
            int64_t fallback)
{
  struct json_object *value;
  if (!json_object_object_get_ex (object, key, &value)
      || !json_object_is_type (value, json_type_int))
    return fallback;
  return CLAMP (json_object_get_int64 (value), 0, max);
}

static bool
get_bool (struct json_object *object, const char *key)
{
  struct json_object *value;
  return json_object_object_get_ex (object, key, &value)
         && json_object_is_type (value, json_type_boolean)
         && json_object_get_boolean (value);
}

struct bb_probe_report
bb_probe_parse_response (int status, const uint8_t *body, size_t length)
{
  struct bb_probe_report report
      = { .connections = -1, .uptime_ms = UINT32_MAX };
  if (status != 200 || length == 0 || length > BODY_MAX)
    return report;
  struct json_tokener *tokener = json_tokener_new_ex (8);
  struct json_object *object
      = json_tokener_parse_ex (tokener, (const char *)body, (int)length);
  if (object && json_object_is_type (object, json_type_object))
    {
      report.ok = get_bool (object, "ok");
      report.draining = get_bool (object, "draining");
      report.connections
          = (int32_t)get_number (object, "connections", INT32_MAX, -1);
      report.load = (uint32_t)get_number (object, "load", UINT32_MAX, 0);
      report.uptime_ms = (uint32_t)get_number (object, "uptime_ms",
                                               UINT32_MAX - 1, UINT32_MAX);
    }
  json_object_put (object);
  json_tokener_free (tokener);
  return report;
}

static void
schedule (struct probe *probe, bb_usec delay)
{
  struct timeval tv = bb_clock_timeval (delay);
  event_add (probe->timer, &tv);
}

static void
on_response (void *context, const struct bb_fetch_response *response)
{
  struct probe *probe = context;
  struct bb_process *p = probe->probes->process;
  struct bb_probe_report report = bb_probe_parse_response (
      response->status, response->body, response->length);
  probe->probes->counters.failed += !report.ok;
  bb_engine_receive_report (p->engine, probe->server, &report,
                            bb_clock_boot ());
  bb_fetch_free (probe->fetch);
  probe->fetch = NULL;
}

/* The interval is measured from request to request.  If a probe is still in
   progress, it is left running and the next one is due an interval later.  */
static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  struct probe *probe = context;
  struct bb_process *p = probe->probes->process;
  bb_usec interval = p->settings->probe_interval_ms * BB_MSEC;
  schedule (probe, bb_clock_jitter (p->random, interval, JITTER_PERCENT));
  if (probe->fetch)
    return;
  probe->probes->counters.sent++;
  probe->fetch = bb_fetch_new (p->loop, &probe->endpoint, "/health",
                               PROBE_TIMEOUT, BODY_MAX, on_response, probe);
}

static void
probe_free (void *data)
{
  struct probe *probe = data;
  event_free (probe->timer);
  bb_fetch_free (probe->fetch);
  g_free (probe);
}

struct bb_probes *
bb_probes_new (struct bb_process *p)
{
  struct bb_probes *probes = g_new0 (struct bb_probes, 1);
  probes->process = p;
  probes->table = g_hash_table_new_full (NULL, NULL, NULL, probe_free);
  return probes;
}

void
bb_probes_free (struct bb_probes *probes)
{
  if (!probes)
    return;
  g_hash_table_unref (probes->table);
  g_free (probes);
}

/* The first probe is sent at a random time within one interval, which spreads
   the probes of the servers.  */
static void
update_probe (struct bb_probes *probes, const struct bb_server *server)
{
  struct bb_process *p = probes->process;
  gpointer key = GUINT_TO_POINTER (server->key);
  struct probe *probe = g_hash_table_lookup (probes->table, key);
  if (server->health.port == 0)
    {
      g_hash_table_remove (probes->table, key);
      return;
    }
  if (!probe)
    {
      probe = g_new0 (struct probe, 1);
      probe->probes = probes;
      probe->server = server->key;
      probe->timer = event_new (p->loop, -1, 0, on_timer, probe);
      g_hash_table_insert (probes->table, key, probe);
      schedule (probe,
                bb_clock_jitter (
                    p->random, p->settings->probe_interval_ms * BB_MSEC, 100));
    }
  probe->endpoint = server->health;
}

void
bb_probes_set_fleet (struct bb_probes *probes, const struct bb_fleet *fleet)
{
  for (size_t i = 0; i < fleet->service_count; i++)
    for (size_t j = 0; j < fleet->services[i].server_count; j++)
      update_probe (probes, &fleet->services[i].servers[j]);
}

static gboolean
is_dropped (gpointer key, gpointer value, gpointer listed)
{
  (void)value;
  return !g_hash_table_contains (listed, key);
}

void
bb_probes_remove_dropped (struct bb_probes *probes, bb_usec now)
{
  struct bb_engine *engine = probes->process->engine;
  size_t max = bb_engine_servers (engine, now, NULL, 0);
  struct bb_server_status *servers = g_new0 (struct bb_server_status, max + 1);
  size_t count = bb_engine_servers (engine, now, servers, max);
  GHashTable *listed = g_hash_table_new (NULL, NULL);
  for (size_t i = 0; i < MIN (count, max); i++)
    g_hash_table_add (listed, GUINT_TO_POINTER (servers[i].server));
  g_hash_table_foreach_remove (probes->table, is_dropped, listed);
  g_hash_table_unref (listed);
  g_free (servers);
}

const struct bb_probe_counters *
bb_probes_get_counters (const struct bb_probes *probes)
{
  return &probes->counters;
}
