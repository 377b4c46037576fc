/* Builds the list of conditions that an operator should look into, from the
   state of the engine, the documents, the platform and the peers.  The
   thresholds keep short, self-healing disturbances out of the list.  */

#include "runtime/documents.h"
#include "runtime/process_private.h"
#include "runtime/status.h"
#include <inttypes.h>
#include <json-c/json.h>
#include <string.h>

#define REBALANCE_SLOW (60 * BB_SEC)
/* A single failed request is not reported.  */
#define PLATFORM_OUTAGE_MIN (5 * BB_SEC)
#define TABLE_FULL_PERCENT 90

static void add_note (struct json_object *list, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

static void
add_note (struct json_object *list, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  json_object_array_add (list, json_object_new_string (text));
  g_free (text);
}

static void
add_platform_notes (struct json_object *list, const struct bb_process *p,
                    bb_usec now)
{
  const struct bb_platform_status *status = &p->platform->status;
  bb_usec outage = status->failed_since ? now - status->failed_since : 0;
  if (outage > PLATFORM_OUTAGE_MIN)
    add_note (list, "platform unreachable for %" PRId64 " s", outage / BB_SEC);
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    {
      enum bb_document_kind kind = (enum bb_document_kind)i;
      const char *refusal = bb_documents_refusal_text (p->documents, kind);
      if (status->serves_older[i])
        add_note (list,
                  "platform serves a %s older than version %" PRIu64
                  " in force",
                  bb_document_name (kind),
                  bb_documents_version (p->documents, kind));
      if (refusal)
        add_note (list, "document refused: %s", refusal);
    }
  if (bb_documents_is_base_waiting (p->documents))
    add_note (list, "base held back until the overlay of %s arrives",
              p->settings->self.data_centre);
}

/* Reports a service with one usable server or none.  SERVERS need not be
   ordered by service: a service is reported at its first listed server, FIRST,
   and skipped at the others.  */
static void
add_service_note (struct json_object *list,
                  const struct bb_server_status *servers, size_t count,
                  size_t first)
{
  size_t listed = 0, usable = 0;
  for (size_t i = 0; i < count; i++)
    {
      const struct bb_server_status *s = &servers[i];
      if (s->service != servers[first].service || !s->listed)
        continue;
      if (i < first)
        return;
      listed++;
      usable += s->healthy && !s->draining;
    }
  if (listed > 1 && usable == 1)
    add_note (list, "service %s: one usable server left of %zu",
              servers[first].service_name, listed);
  else if (listed > 0 && usable == 0)
    add_note (list, "service %s: no usable server of %zu",
              servers[first].service_name, listed);
}

static void
add_lost_peer_note (struct json_object *list,
                    const struct bb_peer_status *peer, bb_usec uptime)
{
  if (peer->last_received_age > uptime)
    add_note (list, "no message from peer %s since the start", peer->vm.name);
  else
    add_note (list, "peer %s lost, last message %" PRId64 " s ago",
              peer->vm.name, peer->last_received_age / BB_SEC);
}

/* Only peers of this data centre are reported.  Messages from other data
   centres arrive only by chance, so their absence is not a fault.  */
static void
add_peer_notes (struct json_object *list, const struct bb_process *p,
                bb_usec now, const struct bb_peer_status *peers, size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (peers[i].suspected && peers[i].state != BB_PEER_LEAVING
        && strcmp (peers[i].vm.data_centre, p->settings->self.data_centre)
               == 0)
      add_lost_peer_note (list, &peers[i], now - p->started);
}

static void
add_engine_notes (struct json_object *list, const struct bb_process *p,
                  bb_usec now, const struct bb_engine_status *s)
{
  bb_usec in_phase = now - p->phase_since;
  if (!s->ready)
    add_note (list, "not ready: no configuration in force, or still joining");
  if (s->phase != BB_PHASE_SETTLED && in_phase > REBALANCE_SLOW)
    add_note (list,
              "rebalance to the generation after %" PRIu32
              " not complete after %" PRId64 " s; peers lost: %" PRIu32,
              s->generation, in_phase / BB_SEC, s->peers_lost);
  if (s->flow_capacity > 0
      && (uint64_t)s->flows * 100
             > (uint64_t)s->flow_capacity * TABLE_FULL_PERCENT)
    add_note (list,
              "flow table nearly full: %" PRIu32 " of %" PRIu32
              " entries in use",
              s->flows, s->flow_capacity);
}

struct json_object *
bb_attention_new (struct bb_process *p, bb_usec now,
                  const struct bb_engine_status *status,
                  const struct bb_server_status *servers, size_t server_count,
                  const struct bb_peer_status *peers, size_t peer_count)
{
  struct json_object *list = json_object_new_array ();
  add_platform_notes (list, p, now);
  for (size_t i = 0; i < server_count; i++)
    if (servers[i].listed)
      add_service_note (list, servers, server_count, i);
  add_peer_notes (list, p, now, peers, peer_count);
  add_engine_notes (list, p, now, status);
  return list;
}
