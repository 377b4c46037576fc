/* Writes the metrics page of a marked transport from one table of counters and
   gauges.  */

#include "runtime/marked_private.h"
#include <event2/buffer.h>
#include <inttypes.h>
#include <string.h>

enum source
{
  COUNTERS,
  PACKETS,
  STORE,
  GAUGES,
  SOURCES
};

struct gauges
{
  uint64_t ready;
  uint64_t uptime;
  uint64_t version;
  uint64_t revision; /* number of the revision, in its era */
  uint64_t era;
  uint64_t state_age;
  uint64_t reads_store;
  uint64_t peers_live;
  uint64_t flows;
  uint64_t evacuations;
  uint64_t peer_faults;
  uint64_t states_unsent;
  uint64_t events_suppressed;
  uint64_t log_lost;
  uint64_t cold_owned;
};

struct metric
{
  const char *name;
  const char *unit; /* if "seconds", the value is in microseconds */
  const char *help;
  bool is_gauge;
  enum source source;
  size_t offset;
};

#define OFFSET(type, field) offsetof (struct type, field)
#define CALLS_OFFSET(outcome)                                                 \
  OFFSET (bb_store_counters, calls) + (outcome) * sizeof (uint64_t)

static const struct metric metrics[] = {
  { "ready", "", "1 if the fabric may send flows.", true, GAUGES,
    OFFSET (gauges, ready) },
  { "uptime", "seconds", "Time since the start.", true, GAUGES,
    OFFSET (gauges, uptime) },
  { "configuration_version", "", "Configuration in force.", true, GAUGES,
    OFFSET (gauges, version) },
  { "store_revision", "", "Revision of the store that is known.", true, GAUGES,
    OFFSET (gauges, revision) },
  { "store_era", "", "Era of the store that is known.", true, GAUGES,
    OFFSET (gauges, era) },
  { "knowledge_age", "seconds", "Time since the knowledge was current.", true,
    GAUGES, OFFSET (gauges, state_age) },
  { "reads_store", "", "1 if this balancer reads the store itself.", true,
    GAUGES, OFFSET (gauges, reads_store) },
  { "peers_live", "", "Balancers heard of lately.", true, GAUGES,
    OFFSET (gauges, peers_live) },
  { "flows", "", "Flows observed.", true, GAUGES, OFFSET (gauges, flows) },
  { "evacuations", "", "Data centres whose servers get no new flows.", true,
    GAUGES, OFFSET (gauges, evacuations) },
  { "packets_forwarded", "", "Packets sent to servers.", false, COUNTERS,
    OFFSET (bb_marked_counters, forwarded) },
  { "flows_placed", "", "New flows.", false, COUNTERS,
    OFFSET (bb_marked_counters, placed) },
  { "flows_placed_far", "", "New flows in other data centres.", false,
    COUNTERS, OFFSET (bb_marked_counters, placed_remote) },
  { "flows_placed_evacuated", "",
    "New flows in other data centres because the own one is evacuated.", false,
    COUNTERS, OFFSET (bb_marked_counters, placed_evacuated) },
  { "flows_placed_random", "",
    "New flows whose server is a random one of the best.", false, COUNTERS,
    OFFSET (bb_marked_counters, placed_random) },
  { "flows_placed_spilled", "",
    "New flows moved to data centres that report room.", false, COUNTERS,
    OFFSET (bb_marked_counters, placed_spilled) },
  { "cold_servers_owned", "",
    "Cold servers whose new flows this balancer places.", true, GAUGES,
    OFFSET (gauges, cold_owned) },
  { "flows_held_off_cold", "",
    "New flows for which a cold server had no room left.", false, COUNTERS,
    OFFSET (bb_marked_counters, cold_passed_over) },
  { "first_packet_copies", "", "Copies of first packets.", false, COUNTERS,
    OFFSET (bb_marked_counters, syn_copies) },
  { "resets", "", "Open flows that were reset.", false, COUNTERS,
    OFFSET (bb_marked_counters, resets) },
  { "server_suspicions", "", "Servers found silent.", false, COUNTERS,
    OFFSET (bb_marked_counters, suspicions) },
  { "answers", "", "Answers of which a caller acknowledged the start.", false,
    COUNTERS, OFFSET (bb_marked_counters, answers) },
  { "caller_repeats", "", "Packets that callers sent again.", false, COUNTERS,
    OFFSET (bb_marked_counters, repeats) },
  { "caller_repeats_unacknowledged", "",
    "Open flows that repeated a packet twice.", false, COUNTERS,
    OFFSET (bb_marked_counters, unacknowledged) },
  { "server_probes", "", "Packets sent several times to a silent server.",
    false, COUNTERS, OFFSET (bb_marked_counters, probes) },
  { "server_probes_failed", "",
    "Of these, packets that the caller sent again all the same.", false,
    COUNTERS, OFFSET (bb_marked_counters, probes_failed) },
  { "data_sent_packets", "", "Datagrams written to the data socket.", false,
    PACKETS, OFFSET (bb_udp_counters, sent_packets) },
  { "data_sent", "bytes", "Bytes written to the data socket.", false, PACKETS,
    OFFSET (bb_udp_counters, sent_bytes) },
  { "data_send_drops", "", "Datagrams that the data socket refused.", false,
    PACKETS, OFFSET (bb_udp_counters, send_drops) },
  { "store_calls_ok", "", "Calls that the store answered.", false, STORE,
    CALLS_OFFSET (BB_STORE_OK) },
  { "store_calls_timeout", "", "Calls without an answer.", false, STORE,
    CALLS_OFFSET (BB_STORE_TIMEOUT) },
  { "store_calls_refused", "", "Calls that the store refused.", false, STORE,
    CALLS_OFFSET (BB_STORE_REFUSED) },
  { "store_calls_unreadable", "", "Answers that are none.", false, STORE,
    CALLS_OFFSET (BB_STORE_UNREADABLE) },
  { "store_calls_too_large", "", "Answers beyond the limits of size or time.",
    false, STORE, CALLS_OFFSET (BB_STORE_TOO_LARGE) },
  { "store_history_lost", "", "Watches that had to start anew.", false, STORE,
    CALLS_OFFSET (BB_STORE_HISTORY_LOST) },
  { "store_era_changes", "", "Answers of another era than the call.", false,
    STORE, CALLS_OFFSET (BB_STORE_ERA_CHANGED) },
  { "store_eras_refused", "", "Answers whose era fell or cannot be read.",
    false, STORE, CALLS_OFFSET (BB_STORE_ERA_REFUSED) },
  { "store_reads_cancelled", "", "Readings of all that peers made needless.",
    false, STORE, OFFSET (bb_store_counters, cancelled) },
  { "store_entries_refused", "", "Entries that cannot be used.", false, STORE,
    OFFSET (bb_store_counters, entries_refused) },
  { "store_eras_unreadable", "", "Answers whose unreadable era was ignored.",
    false, STORE, OFFSET (bb_store_counters, eras_unreadable) },
  { "store_received", "bytes", "Bytes that the store sent.", false, STORE,
    OFFSET (bb_store_counters, received_bytes) },
  { "states_unsent", "", "States that exceed what a batch to peers may hold.",
    false, GAUGES, OFFSET (gauges, states_unsent) },
  { "peer_faults", "", "Datagrams of peers that are no messages.", false,
    GAUGES, OFFSET (gauges, peer_faults) },
  { "events_suppressed", "", "Events over the rate limit.", false, GAUGES,
    OFFSET (gauges, events_suppressed) },
  { "log_lines_lost", "", "Lines that standard output did not take.", false,
    GAUGES, OFFSET (gauges, log_lost) },
};

static void
fill_gauges (struct bb_marked_process *p, bb_usec now, struct gauges *g)
{
  struct bb_sync *sync = bb_marked_get_sync (p->marked);
  *g = (struct gauges){
    .ready = bb_marked_process_is_ready (p),
    .uptime = (uint64_t)(now - p->started),
    .version = bb_directory_version (bb_marked_directory (p->marked)),
    .revision = bb_revision_number (bb_sync_revision (sync)),
    .era = bb_revision_era (bb_sync_revision (sync)),
    .state_age = (uint64_t)bb_sync_state_age (sync, now),
    .reads_store = bb_sync_is_reader (sync),
    .peers_live = bb_sync_count_live_peers (sync, now),
    .flows = bb_marked_flow_count (p->marked),
    .evacuations
    = bb_directory_count_evacuations (bb_marked_directory (p->marked)),
    .peer_faults = p->peer_faults,
    .states_unsent = bb_sync_unsent_batches (sync),
    .events_suppressed = bb_events_suppressed_count (p->events),
    .log_lost = bb_log_lost_lines (p->log),
    .cold_owned = bb_marked_count_owned_cold_servers (p->marked),
  };
}

static void
write_metric (struct evbuffer *out, const struct metric *m, uint64_t value)
{
  char name[80];
  g_snprintf (name, sizeof name, "%s%s%s%s", m->name, *m->unit ? "_" : "",
              m->unit, m->is_gauge ? "" : "_total");
  evbuffer_add_printf (out,
                       "# HELP bluebellstand_%s %s\n"
                       "# TYPE bluebellstand_%s %s\n",
                       name, m->help, name, m->is_gauge ? "gauge" : "counter");
  if (strcmp (m->unit, "seconds") == 0)
    evbuffer_add_printf (out, "bluebellstand_%s %.6f\n", name,
                         (double)value / BB_SEC);
  else
    evbuffer_add_printf (out, "bluebellstand_%s %" PRIu64 "\n", name, value);
}

/* LABELS is empty or ends in a comma.  */
static void
write_buckets (const struct bb_histogram *h, const char *name,
               const char *labels, struct evbuffer *out)
{
  uint64_t total = 0;
  for (size_t i = 0; i < BB_HISTOGRAM_BOUNDS; i++)
    {
      total += h->counts[i];
      evbuffer_add_printf (
          out, "bluebellstand_%s_bucket{%sle=\"%g\"} %" PRIu64 "\n", name,
          labels, (double)bb_histogram_bounds_ms[i] / 1000, total);
    }
  total += h->counts[BB_HISTOGRAM_BOUNDS];
  evbuffer_add_printf (out,
                       "bluebellstand_%s_bucket{%sle=\"+Inf\"} %" PRIu64 "\n"
                       "bluebellstand_%s_sum{%s} %.6f\n"
                       "bluebellstand_%s_count{%s} %" PRIu64 "\n",
                       name, labels, total, name, labels,
                       (double)h->sum / BB_SEC, name, labels, total);
}

static void
write_header (const char *name, const char *type, const char *help,
              struct evbuffer *out)
{
  evbuffer_add_printf (out,
                       "# HELP bluebellstand_%s %s\n"
                       "# TYPE bluebellstand_%s %s\n",
                       name, help, name, type);
}

static void
write_histogram (const struct bb_histogram *h, const char *name,
                 const char *help, struct evbuffer *out)
{
  write_header (name, "histogram", help, out);
  write_buckets (h, name, "", out);
}

/* Writes one histogram per service.  One per server would be 15 lines for each
   of the 54,000 servers that exist over two years.  */
static void
write_service (void *context, struct bb_server_group *group)
{
  g_autofree char *labels = g_strdup_printf ("service=\"%s\",", group->name);
  write_buckets (&group->answer_times, "service_answer_time_seconds", labels,
                 context);
}

static void
write_estimate (void *context, struct bb_server_group *group)
{
  const struct bb_answer_time *times[]
      = { &group->local_dc, &group->remote_dc };
  static const char *const places[] = { "near", "far" };
  for (size_t i = 0; i < G_N_ELEMENTS (times); i++)
    evbuffer_add_printf (
        context,
        "bluebellstand_service_answer_estimate_seconds{service=\"%s\","
        "place=\"%s\"} %.6f\n",
        group->name, places[i], (double)times[i]->estimate / BB_SEC);
}

static void
write_answers (void *context, struct bb_server_group *group)
{
  const struct bb_answer_counts *total = &group->quality.total;
  const uint32_t counts[] = { total->usual, total->outliers };
  static const char *const lengths[] = { "usual", "short" };
  for (size_t i = 0; i < G_N_ELEMENTS (counts); i++)
    evbuffer_add_printf (context,
                         "bluebellstand_service_answers_total{service=\"%s\","
                         "length=\"%s\"} %" PRIu32 "\n",
                         group->name, lengths[i], counts[i]);
}

static void
write_failures (void *context, struct bb_server_group *group)
{
  evbuffer_add_printf (
      context,
      "bluebellstand_service_failing_servers_total{service=\"%s\"} %" PRIu32
      "\n",
      group->name, group->quality.failures);
}

static void
write_reasons (const struct bb_marked_counters *c, struct evbuffer *out)
{
  write_header ("dropped_packets_total", "counter",
                "Packets dropped, by reason.", out);
  for (int i = BB_DROP_NONE + 1; i < BB_DROP_KINDS; i++)
    evbuffer_add_printf (
        out,
        "bluebellstand_dropped_packets_total{reason=\"%s\"} %" PRIu64 "\n",
        bb_drop_name ((enum bb_drop)i), c->drops[i]);
  write_header ("flows_placed_for_total", "counter",
                "New flows, by what their callers met shortly before.", out);
  for (int i = 0; i < BB_FLOW_CAUSES; i++)
    evbuffer_add_printf (
        out,
        "bluebellstand_flows_placed_for_total{cause=\"%s\"} %" PRIu64 "\n",
        bb_flow_cause_name ((enum bb_flow_cause)i), c->placed_for[i]);
  write_header ("flows_refused_total", "counter",
                "New flows refused, by reason.", out);
  for (int i = BB_REASON_NONE + 1; i < BB_REASONS; i++)
    if (c->refused[i] > 0)
      evbuffer_add_printf (
          out,
          "bluebellstand_flows_refused_total{reason=\"%s\"} %" PRIu64 "\n",
          bb_reason_name ((enum bb_reason)i), c->refused[i]);
}

static int64_t
server_flows (const struct bb_backend_server *s)
{
  return s->load.open;
}

static int64_t
server_requests (const struct bb_backend_server *s)
{
  return s->load.busy;
}

static int64_t
server_answer_time (const struct bb_backend_server *s)
{
  return s->load.answer_time;
}

static int64_t
server_state (const struct bb_backend_server *s)
{
  return s->record.state;
}

static const struct
{
  const char *name;
  const char *help;
  int64_t (*value) (const struct bb_backend_server *s);
} server_table[] = {
  { "server_flows", "Open flows seen here.", server_flows },
  { "server_requests", "Requests under way seen here.", server_requests },
  { "server_answer_microseconds", "Smoothed time to the start of an answer.",
    server_answer_time },
  { "server_state",
    "0 ready, 1 draining, 2 gone, 3 lapsed, 4 unusable, 5 withheld.",
    server_state },
};

static void
write_servers (struct bb_marked_process *p, struct evbuffer *out)
{
  struct bb_link *head
      = bb_directory_servers (bb_marked_directory (p->marked));
  for (size_t i = 0; i < G_N_ELEMENTS (server_table); i++)
    {
      const char *name = server_table[i].name;
      write_header (name, "gauge", server_table[i].help, out);
      for (struct bb_link *at = head->next; at != head; at = at->next)
        {
          const struct bb_backend_server *s
              = BB_LINKED (at, struct bb_backend_server, by_revision);
          evbuffer_add_printf (
              out,
              "bluebellstand_%s{service=\"%s\",server=\"%s\"} %" PRId64 "\n",
              name, s->record.service, s->record.name,
              server_table[i].value (s));
        }
    }
}

void
bb_marked_write_metrics (struct bb_marked_process *p, struct evbuffer *out)
{
  struct gauges gauges;
  const struct bb_marked_counters *counters
      = bb_marked_get_counters (p->marked);
  fill_gauges (p, bb_clock_boot (), &gauges);
  const char *sources[SOURCES] = {
    [COUNTERS] = (const char *)counters,
    [PACKETS] = (const char *)bb_udp_get_counters (p->packets),
    [STORE] = (const char *)p->store_ops->counters (p->store_client),
    [GAUGES] = (const char *)&gauges,
  };
  for (size_t i = 0; i < G_N_ELEMENTS (metrics); i++)
    {
      uint64_t value;
      memcpy (&value, sources[metrics[i].source] + metrics[i].offset,
              sizeof value);
      write_metric (out, &metrics[i], value);
    }
  write_reasons (counters, out);
  write_histogram (&p->loop_delay, "loop_delay_seconds",
                   "Lateness of the timer of the loop.", out);
  write_histogram (bb_marked_answer_times (p->marked), "answer_time_seconds",
                   "Time from a request to the start of its answer.", out);
  write_histogram (bb_marked_open_times (p->marked), "open_time_seconds",
                   "Time from a first packet to the caller's next.", out);
  write_header ("service_answer_time_seconds", "histogram",
                "Time from a request to the start of its answer.", out);
  bb_directory_foreach_service (bb_marked_directory (p->marked), write_service,
                                out);
  write_header ("service_answer_estimate_seconds", "gauge",
                "Time that most answers take; new flows are refused by it.",
                out);
  bb_directory_foreach_service (bb_marked_directory (p->marked),
                                write_estimate, out);
  write_header ("service_answers_total", "counter",
                "Answers by length, as seen by all near balancers.", out);
  bb_directory_foreach_service (bb_marked_directory (p->marked), write_answers,
                                out);
  write_header ("service_failing_servers_total", "counter",
                "Servers found failing by their short answers.", out);
  bb_directory_foreach_service (bb_marked_directory (p->marked),
                                write_failures, out);
  write_servers (p, out);
}
