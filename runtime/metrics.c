#include "runtime/metrics.h"
#include "runtime/data.h"
#include "runtime/log.h"
#include "runtime/peers.h"
#include "runtime/probe.h"
#include "runtime/process_private.h"
#include <event2/buffer.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

/* Values that are computed for each scrape.  */
struct gauges
{
  uint64_t ready;
  uint64_t state;
  uint64_t versions[BB_DOCUMENT_KINDS];
  uint64_t version_age;
  uint64_t uptime;
  uint64_t generation;
  uint64_t phase;
  uint64_t flows;
  uint64_t flow_capacity;
  uint64_t peers_live;
  uint64_t peers_lost;
  uint64_t unsynced;
  uint64_t platform_down; /* microseconds */
  uint64_t events_suppressed;
  uint64_t log_lost;
};

enum source
{
  ENGINE,
  DATA,
  PEERS,
  PLATFORM,
  PROBES,
  GAUGES,
  SOURCES
};

struct metric
{
  const char *name;
  const char *unit; /* "" if none; "seconds": value in microseconds */
  const char *help;
  bool is_gauge;
  enum source source;
  size_t offset; /* of the uint64_t within the source, bytes */
};

#define OFFSET(type, member) offsetof (struct type, member)

static const struct metric metrics[] = {
  { "fabric_packets", "", "Packets that came from the fabric.", false, ENGINE,
    OFFSET (bb_counters, packets) },
  { "handed_in_packets", "", "Packets that other balancers handed over.",
    false, ENGINE, OFFSET (bb_counters, handed_in) },
  { "forwarded_packets", "", "Packets sent to backend servers.", false, ENGINE,
    OFFSET (bb_counters, forwarded) },
  { "handed_out_packets", "", "Packets handed over to other balancers.", false,
    ENGINE, OFFSET (bb_counters, handed_out) },
  { "refused_flows", "", "New flows refused with a reset.", false, ENGINE,
    OFFSET (bb_counters, refused) },
  { "silent_resets", "", "Silent flows that were reset.", false, ENGINE,
    OFFSET (bb_counters, resets) },
  { "placed_off_base_flows", "", "New flows placed off their base server.",
    false, ENGINE, OFFSET (bb_counters, placed_non_default) },
  { "entry_hits", "", "Packets whose flow had an entry.", false, ENGINE,
    OFFSET (bb_counters, entry_hits) },
  { "entry_misses", "", "Packets in tracked buckets without an entry.", false,
    ENGINE, OFFSET (bb_counters, entry_misses) },
  { "evicted_entries", "", "Entries evicted from the flow table.", false,
    ENGINE, OFFSET (bb_counters, evicted) },
  { "data_received_packets", "", "Datagrams read from the data socket.", false,
    DATA, OFFSET (bb_data_counters, received_packets) },
  { "data_received", "bytes", "Bytes read from the data socket.", false, DATA,
    OFFSET (bb_data_counters, received_bytes) },
  { "data_sent_packets", "", "Datagrams written to the data socket.", false,
    DATA, OFFSET (bb_data_counters, sent_packets) },
  { "data_sent", "bytes", "Bytes written to the data socket.", false, DATA,
    OFFSET (bb_data_counters, sent_bytes) },
  { "data_batches", "", "Batches read from the data socket.", false, DATA,
    OFFSET (bb_data_counters, batches) },
  { "data_send_drops", "", "Datagrams that the data socket refused.", false,
    DATA, OFFSET (bb_data_counters, send_drops) },
  { "data_paused_drops", "", "Datagrams discarded after a pause.", false, DATA,
    OFFSET (bb_data_counters, discarded) },
  { "reset_drops", "", "Resets not sent because no egress is set.", false,
    DATA, OFFSET (bb_data_counters, reset_drops) },
  { "control_received_messages", "", "Messages from peers.", false, PEERS,
    OFFSET (bb_peers_counters, received_messages) },
  { "control_received", "bytes", "Bytes of messages from peers.", false, PEERS,
    OFFSET (bb_peers_counters, received_bytes) },
  { "control_sent_messages", "", "Messages to peers.", false, PEERS,
    OFFSET (bb_peers_counters, sent_messages) },
  { "control_sent", "bytes", "Bytes of messages to peers.", false, PEERS,
    OFFSET (bb_peers_counters, sent_bytes) },
  { "control_send_drops", "", "Messages without a connection or queue space.",
    false, PEERS, OFFSET (bb_peers_counters, send_drops) },
  { "control_refused_sources", "", "Messages from foreign addresses.", false,
    PEERS, OFFSET (bb_peers_counters, refused_sources) },
  { "control_undecodable_messages", "", "Messages that were not understood.",
    false, PEERS, OFFSET (bb_peers_counters, undecodable) },
  { "control_paused_drops", "", "Messages discarded after a pause.", false,
    PEERS, OFFSET (bb_peers_counters, discarded) },
  { "platform_reads", "", "Reads of the platform.", false, PLATFORM,
    OFFSET (bb_platform_status, reads) },
  { "platform_failures", "", "Reads of the platform that failed.", false,
    PLATFORM, OFFSET (bb_platform_status, failures) },
  { "platform_received", "bytes", "Bytes of documents read.", false, PLATFORM,
    OFFSET (bb_platform_status, received_bytes) },
  { "probes", "", "Health probes sent.", false, PROBES,
    OFFSET (bb_probe_counters, sent) },
  { "probe_failures", "", "Health probes that failed.", false, PROBES,
    OFFSET (bb_probe_counters, failed) },
  { "events_suppressed", "", "Events left out by the rate limit.", false,
    GAUGES, OFFSET (gauges, events_suppressed) },
  { "log_lost_lines", "", "Log lines that standard error did not take.", false,
    GAUGES, OFFSET (gauges, log_lost) },
  { "ready", "", "1 if the balancer serves with a configuration.", true,
    GAUGES, OFFSET (gauges, ready) },
  { "state", "", "0 joining, 1 active, 2 leaving.", true, GAUGES,
    OFFSET (gauges, state) },
  { "base_version", "", "Version of the base document in force.", true, GAUGES,
    OFFSET (gauges, versions[BB_DOCUMENT_BASE]) },
  { "overlay_version", "", "Version of the overlay in force.", true, GAUGES,
    OFFSET (gauges, versions[BB_DOCUMENT_OVERLAY]) },
  { "vms_version", "", "Version of the list of VMs in force.", true, GAUGES,
    OFFSET (gauges, versions[BB_DOCUMENT_VMS]) },
  { "version_age", "seconds", "Time since the versions in force changed.",
    true, GAUGES, OFFSET (gauges, version_age) },
  { "uptime", "seconds", "Time since the process started.", true, GAUGES,
    OFFSET (gauges, uptime) },
  { "base_generation", "", "Generation of the base set.", true, GAUGES,
    OFFSET (gauges, generation) },
  { "rebase_phase", "", "0 settled, 1 prepare, 2 resolve.", true, GAUGES,
    OFFSET (gauges, phase) },
  { "flow_entries", "", "Entries of the flow table.", true, GAUGES,
    OFFSET (gauges, flows) },
  { "flow_capacity_entries", "", "Entries that the flow table can hold.", true,
    GAUGES, OFFSET (gauges, flow_capacity) },
  { "unsynced_entries", "", "Entries that replicas may lack.", true, GAUGES,
    OFFSET (gauges, unsynced) },
  { "peers_live", "", "Peers that are heard from.", true, GAUGES,
    OFFSET (gauges, peers_live) },
  { "peers_lost", "", "Peers that are known and not heard from.", true, GAUGES,
    OFFSET (gauges, peers_lost) },
  { "platform_unreachable", "seconds",
    "Time since the platform last answered.", true, GAUGES,
    OFFSET (gauges, platform_down) },
};

static void
fill_gauges (struct bb_process *p, bb_usec now, struct gauges *g)
{
  struct bb_engine_status s;
  bb_engine_status (p->engine, now, &s);
  bb_usec failed_since = p->platform->status.failed_since;
  *g = (struct gauges){
    .ready = s.ready,
    .state = s.state,
    .version_age = (uint64_t)s.version_age,
    .uptime = (uint64_t)(now - p->started),
    .generation = s.generation,
    .phase = s.phase,
    .flows = s.flows,
    .flow_capacity = s.flow_capacity,
    .peers_live = s.peers_live,
    .peers_lost = s.peers_lost,
    .unsynced = s.entries_unsynced,
    .platform_down = failed_since ? (uint64_t)(now - failed_since) : 0,
    .events_suppressed = bb_events_suppressed_count (p->events),
    .log_lost = bb_log_lost_lines (p->log),
  };
  memcpy (g->versions, s.versions, sizeof g->versions);
}

static void
get_sources (struct bb_process *p, const struct gauges *gauges,
             const char *sources[SOURCES])
{
  sources[ENGINE] = (const char *)bb_engine_counters (p->engine);
  sources[DATA] = (const char *)bb_data_get_counters (p->data);
  sources[PEERS] = (const char *)bb_peers_get_counters (p->peers);
  sources[PLATFORM] = (const char *)&p->platform->status;
  sources[PROBES] = (const char *)bb_probes_get_counters (p->probes);
  sources[GAUGES] = (const char *)gauges;
}

static uint64_t
read_value (const struct metric *m, const char *const sources[SOURCES])
{
  uint64_t value;
  memcpy (&value, sources[m->source] + m->offset, sizeof value);
  return value;
}

static void
write_header (struct evbuffer *out, const char *name, const char *help,
              bool is_gauge)
{
  evbuffer_add_printf (out, "# HELP bluebellstand_%s %s\n", name, help);
  evbuffer_add_printf (out, "# TYPE bluebellstand_%s %s\n", name,
                       is_gauge ? "gauge" : "counter");
}

static void
write_metric (struct evbuffer *out, const struct metric *m, uint64_t value)
{
  char name[80];
  g_snprintf (name, sizeof name, "%s%s%s%s", m->name, *m->unit ? "_" : "",
              m->unit, m->is_gauge ? "" : "_total");
  write_header (out, name, m->help, m->is_gauge);
  if (strcmp (m->unit, "seconds") == 0)
    evbuffer_add_printf (out, "bluebellstand_%s %.6f\n", name,
                         (double)value / BB_SEC);
  else
    evbuffer_add_printf (out, "bluebellstand_%s %" PRIu64 "\n", name, value);
}

static uint64_t
count_drops (const struct bb_process *p, int kind)
{
  return bb_engine_counters (p->engine)->drops[kind]
         + bb_data_get_counters (p->data)->drops[kind];
}

static void
write_drops (struct bb_process *p, struct evbuffer *out)
{
  write_header (out, "dropped_packets_total", "Packets dropped, by reason.",
                false);
  for (int i = BB_DROP_NONE + 1; i < BB_DROP_KINDS; i++)
    evbuffer_add_printf (
        out,
        "bluebellstand_dropped_packets_total{reason=\"%s\"} %" PRIu64 "\n",
        bb_drop_name ((enum bb_drop)i), count_drops (p, i));
}

static int64_t
server_flows (const struct bb_server_status *s)
{
  return s->flows;
}

static int64_t
server_load (const struct bb_server_status *s)
{
  return s->load;
}

static int64_t
server_healthy (const struct bb_server_status *s)
{
  return s->healthy;
}

static int64_t
server_draining (const struct bb_server_status *s)
{
  return s->draining;
}

static int64_t
server_impaired (const struct bb_server_status *s)
{
  return s->bit_set || s->bit_set_by_peer;
}

static const struct
{
  const char *name;
  const char *help;
  int64_t (*value) (const struct bb_server_status *s);
} server_table[] = {
  { "server_flows", "Open flows, as estimated.", server_flows },
  { "server_load_permille", "Load that the server reported.", server_load },
  { "server_healthy", "1 if believed to be healthy.", server_healthy },
  { "server_draining", "1 if believed to be draining.", server_draining },
  { "server_impaired", "1 if an impairment bit is set.", server_impaired },
};

static void
write_servers (struct bb_process *p, bb_usec now, struct evbuffer *out)
{
  size_t max = bb_engine_servers (p->engine, now, NULL, 0);
  struct bb_server_status *servers = g_new0 (struct bb_server_status, max + 1);
  size_t count = MIN (bb_engine_servers (p->engine, now, servers, max), max);
  for (size_t i = 0; i < G_N_ELEMENTS (server_table); i++)
    {
      write_header (out, server_table[i].name, server_table[i].help, true);
      for (size_t j = 0; j < count; j++)
        evbuffer_add_printf (
            out,
            "bluebellstand_%s{service=\"%s\",server=\"%s\"} %" PRId64 "\n",
            server_table[i].name, servers[j].service_name,
            servers[j].server_name, server_table[i].value (&servers[j]));
    }
  g_free (servers);
}

void
bb_metrics_write (struct bb_process *p, bb_usec now, struct evbuffer *out)
{
  struct gauges gauges;
  const char *sources[SOURCES];
  fill_gauges (p, now, &gauges);
  get_sources (p, &gauges, sources);
  for (size_t i = 0; i < G_N_ELEMENTS (metrics); i++)
    write_metric (out, &metrics[i], read_value (&metrics[i], sources));
  write_drops (p, out);
  write_servers (p, now, out);
}

struct json_object *
bb_metrics_counters (struct bb_process *p)
{
  struct gauges gauges;
  const char *sources[SOURCES];
  struct json_object *object = json_object_new_object ();
  fill_gauges (p, bb_clock_boot (), &gauges);
  get_sources (p, &gauges, sources);
  for (size_t i = 0; i < G_N_ELEMENTS (metrics); i++)
    {
      const struct metric *m = &metrics[i];
      char name[80];
      if (m->is_gauge)
        continue;
      g_snprintf (name, sizeof name, "%s%s%s", m->name, *m->unit ? "_" : "",
                  m->unit);
      json_object_object_add (
          object, name, json_object_new_uint64 (read_value (m, sources)));
    }
  struct json_object *drops = json_object_new_object ();
  for (int i = BB_DROP_NONE + 1; i < BB_DROP_KINDS; i++)
    json_object_object_add (drops, bb_drop_name ((enum bb_drop)i),
                            json_object_new_uint64 (count_drops (p, i)));
  json_object_object_add (object, "drops", drops);
  return object;
}
