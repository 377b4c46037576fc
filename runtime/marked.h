/* What a balancer on a marked transport needs of its platform.  */

#ifndef BB_RUNTIME_MARKED_H
#define BB_RUNTIME_MARKED_H

#include "config/config.h"
#include "marked/balancer.h"

struct event_base;

/* How packets of callers look.  */
struct bb_transport
{
  const char *name;
  size_t headroom;   /* bytes that ADDRESS writes before a packet */
  size_t packet_max; /* bytes */
  /* Returns BB_DROP_NONE, or the kind under which the packet is dropped.  */
  enum bb_drop (*decode) (const uint8_t *bytes, size_t length,
                          struct bb_marked_packet *packet);
  /* Writes the server and the mark of VERDICT into PACKET and the headroom
     before it.  */
  void (*address) (uint8_t *packet, const struct bb_marked_verdict *verdict);
  /* Writes a reset towards the caller of PACKET; returns its length, or 0 if
     PACKET must not be answered with one.  */
  size_t (*reset) (uint8_t *bytes, const struct bb_marked_packet *packet);
};

enum bb_store_outcome
{
  BB_STORE_OK,
  BB_STORE_TIMEOUT,      /* no answer */
  BB_STORE_REFUSED,      /* answered that it does not serve now */
  BB_STORE_UNREADABLE,   /* an answer that is none */
  BB_STORE_HISTORY_LOST, /* everything has to be read anew */
  BB_STORE_OUTCOMES
};

const char *bb_store_outcome_name (enum bb_store_outcome outcome);

struct bb_store_counters
{
  uint64_t calls[BB_STORE_OUTCOMES];
  uint64_t cancelled; /* readings of all that peers made needless */
  uint64_t entries_refused;
  uint64_t received_bytes;
};

/* What a source tells; called from the loop.  */
struct bb_store_sink
{
  /* Whether the source is to be read, and from which revision on; 0: all.  */
  bool (*needs_read) (void *context, uint64_t *revision);
  void (*server) (void *context, const struct bb_server_record *record);
  void (*configuration) (void *context, uint64_t version, uint64_t revision,
                         const struct bb_route_record *routes, size_t count);
  /* NAMES are all servers that are listed, as of REVISION.  */
  void (*listed) (void *context, GHashTable *names, uint64_t revision);
  /* All up to REVISION was told; it was current after ASKED.  */
  void (*current) (void *context, uint64_t revision, bb_usec requested_at);
  void (*call_failed) (void *context, enum bb_store_outcome outcome);
  /* An entry names no server, or a configuration cannot be used.  */
  void (*refused) (void *context, const char *key, uint64_t revision,
                   const GError *error);
};

struct bb_store_ops
{
  const char *name;
  void *(*start) (struct event_base *loop, const struct bb_endpoint *endpoint,
                  GRand *random, const struct bb_store_sink *sink,
                  void *context);
  /* Asks WANTED again; called often.  */
  void (*poll) (void *state, bb_usec now);
  const struct bb_store_counters *(*counters) (const void *state);
  void (*stop) (void *state);
};

struct bb_marked_process;

/* Binds the sockets of SETTINGS, which must outlive the process.  Returns
   NULL with BB_ERROR_IO set if that fails.  */
struct bb_marked_process *
bb_marked_process_new (const struct bb_settings *settings,
                       const struct bb_transport *transport,
                       const struct bb_store_ops *source, GError **error);
void bb_marked_process_free (struct bb_marked_process *p);

/* Runs until a stop has ended; SIGTERM and SIGINT start one, SIGHUP reads
   SETTINGS_FILE again.  Returns the exit status.  */
int bb_marked_process_run (struct bb_marked_process *p,
                           const char *settings_file);
#endif
