#include "runtime/status.h"
#include "runtime/documents.h"
#include "runtime/metrics.h"
#include "runtime/process_private.h"
#include <json-c/json.h>

static const char *const state_names[] = {
  [BB_PEER_JOINING] = "joining",
  [BB_PEER_ACTIVE] = "active",
  [BB_PEER_LEAVING] = "leaving",
};

static const char *const phase_names[] = {
  [BB_PHASE_SETTLED] = "settled",
  [BB_PHASE_PREPARE] = "prepare",
  [BB_PHASE_RESOLVE] = "resolve",
};

static void
add_string (struct json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key, json_object_new_string (value));
}

static void
add_number (struct json_object *object, const char *key, int64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 (value));
}

static void
add_bool (struct json_object *object, const char *key, bool value)
{
  json_object_object_add (object, key, json_object_new_boolean (value));
}

static struct json_object *
new_versions (const uint64_t versions[BB_DOCUMENT_KINDS])
{
  struct json_object *object = json_object_new_object ();
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    json_object_object_add (object,
                            bb_document_name ((enum bb_document_kind)i),
                            json_object_new_uint64 (versions[i]));
  return object;
}

static struct json_object *
new_peers (const struct bb_peer_status *peers, size_t count)
{
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < count; i++)
    {
      const struct bb_peer_status *peer = &peers[i];
      struct json_object *object = json_object_new_object ();
      struct json_object *versions = json_object_new_array ();
      for (int j = 0; j < BB_DOCUMENT_KINDS; j++)
        json_object_array_add (versions,
                               json_object_new_uint64 (peer->versions[j]));
      add_string (object, "vm", peer->vm.name);
      add_string (object, "data_centre", peer->vm.data_centre);
      add_string (object, "state", state_names[peer->state]);
      add_bool (object, "suspected", peer->suspected);
      add_number (object, "heard_age_us", peer->last_received_age);
      json_object_object_add (object, "versions", versions);
      json_object_array_add (list, object);
    }
  return list;
}

static struct json_object *
new_servers (const struct bb_server_status *servers, size_t count)
{
  struct json_object *list = json_object_new_array ();
  for (size_t i = 0; i < count; i++)
    {
      const struct bb_server_status *s = &servers[i];
      struct json_object *object = json_object_new_object ();
      add_string (object, "service", s->service_name);
      add_string (object, "server", s->server_name);
      add_bool (object, "listed", s->listed);
      add_bool (object, "in_base", s->in_default_set);
      add_bool (object, "healthy", s->healthy);
      add_bool (object, "draining", s->draining);
      add_bool (object, "bit", s->bit_set);
      add_bool (object, "bit_peer", s->bit_set_by_peer);
      add_number (object, "flows", s->flows);
      add_number (object, "load", s->load);
      add_number (object, "report_age_us", s->report_age);
      json_object_array_add (list, object);
    }
  return list;
}

static void
add_engine (struct json_object *object, const struct bb_engine_status *s)
{
  add_string (object, "state", state_names[s->state]);
  add_bool (object, "ready", s->ready);
  json_object_object_add (object, "versions", new_versions (s->versions));
  add_number (object, "version_age_us", s->version_age);
  add_number (object, "generation", s->generation);
  add_string (object, "phase", phase_names[s->phase]);
  add_number (object, "flows", s->flows);
  add_number (object, "flow_capacity", s->flow_capacity);
  add_number (object, "entries_unsynced", s->entries_unsynced);
}

struct json_object *
bb_status_new (struct bb_process *p, bb_usec now)
{
  struct bb_engine_status status;
  bb_engine_status (p->engine, now, &status);
  size_t server_max = bb_engine_servers (p->engine, now, NULL, 0);
  size_t peer_max = bb_engine_peers (p->engine, now, NULL, 0);
  struct bb_server_status *servers
      = g_new0 (struct bb_server_status, server_max + 1);
  struct bb_peer_status *peers = g_new0 (struct bb_peer_status, peer_max + 1);
  bb_engine_servers (p->engine, now, servers, server_max);
  bb_engine_peers (p->engine, now, peers, peer_max);

  struct json_object *object = json_object_new_object ();
  add_string (object, "vm", p->settings->self.name);
  add_string (object, "data_centre", p->settings->self.data_centre);
  add_engine (object, &status);
  json_object_object_add (object, "peers", new_peers (peers, peer_max));
  json_object_object_add (object, "servers",
                          new_servers (servers, server_max));
  json_object_object_add (object, "counters", bb_metrics_counters (p));
  json_object_object_add (object, "attention",
                          bb_attention_new (p, now, &status, servers,
                                            server_max, peers, peer_max));
  g_free (servers);
  g_free (peers);
  return object;
}
