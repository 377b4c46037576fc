/* Internals of a process on a marked transport, shared by
   runtime/marked_*.c.  */

#ifndef BB_RUNTIME_MARKED_PRIVATE_H
#define BB_RUNTIME_MARKED_PRIVATE_H

#include "core/histogram.h"
#include "runtime/events.h"
#include "runtime/log.h"
#include "runtime/marked.h"
#include "runtime/names.h"
#include "runtime/udp.h"
#include "runtime/util.h"
#include <event2/event.h>

struct evhttp;
struct evbuffer;

/* A packet of which copies are to be sent.  */
struct bb_kept_packet
{
  uint8_t *bytes;
  size_t length; /* with the headroom */
  struct bb_endpoint target;
};

struct bb_marked_process
{
  const struct bb_settings *settings;
  const char *settings_file; /* reloaded when it changes; NULL: never */
  const struct bb_transport *transport;
  const struct bb_store_ops *store_ops;
  struct event_base *loop;
  GRand *random;
  struct bb_events *events;
  struct bb_names *names;
  struct bb_log *log;
  struct bb_marked *marked;
  void *store_client;       /* state of the client, private to STORE_OPS */
  struct bb_endpoint store; /* address of the store that is read */
  struct bb_udp *packets;   /* packets of callers */
  struct bb_udp *peers;     /* messages of peers */
  struct evhttp *ready_server;
  struct evhttp *metrics_server;
  struct event *packets_readable;
  struct event *peers_readable;
  struct event *timer;
  struct event *signals[3];
  uint8_t *resets; /* buffer for the resets of one batch */
  unsigned reset_count;
  struct bb_kept_packet kept[BB_MARKED_PROBE_SLOTS];
  uint8_t *kept_bytes; /* of all of them */
  bb_usec started;
  bb_usec ready_since;    /* 0 until first ready */
  bb_usec stop_requested; /* 0 unless a stop is in progress */
  bb_usec last_packet;    /* time of the last packet of a caller */
  bb_usec tick_due;
  bb_usec settings_checked; /* last check of the settings file */
  int64_t settings_mtime;   /* last modification of the settings file,
                               microseconds */
  bool is_store_lost;
  uint64_t peer_faults; /* datagrams from peers that could not be decoded */
  struct bb_histogram loop_delay;
};

/* marked_process.c */
void bb_marked_add_event (struct bb_marked_process *p, enum bb_event_kind kind,
                          uint64_t value, enum bb_reason reason);

/* Starts the client of the store at the address in P.  A client that is
   already running is stopped first.  */
void bb_marked_start_store (struct bb_marked_process *p);

/* marked_settings.c: settings that can change while the process runs.  */
void bb_marked_set_seeds (struct bb_marked_process *p,
                          const struct bb_marked_settings *m);
void bb_marked_reload_settings (struct bb_marked_process *p);

/* Modification time of the settings file in microseconds, 0 if unknown.  */
int64_t bb_marked_settings_mtime (const struct bb_marked_process *p);
void bb_marked_check_settings_file (struct bb_marked_process *p, bb_usec now);

/* marked_http.c: readiness and metrics.  */
bool bb_marked_http_start (struct bb_marked_process *p, GError **error);
void bb_marked_http_stop (struct bb_marked_process *p);

/* Returns whether the fabric may send flows to this balancer.  */
bool bb_marked_process_is_ready (const struct bb_marked_process *p);

/* marked_metrics.c */
void bb_marked_write_metrics (struct bb_marked_process *p,
                              struct evbuffer *out);

/* marked_data.c: packets of callers and messages of peers.  */
bool bb_marked_data_start (struct bb_marked_process *p, GError **error);
void bb_marked_data_stop (struct bb_marked_process *p);
/* Sends a reset to the caller of PACKET immediately.  */
void bb_marked_send_reset (struct bb_marked_process *p,
                           const struct bb_marked_packet *packet);
/* Queues a copy of the packet kept in SLOT, from 1.  */
void bb_marked_queue_copy (struct bb_marked_process *p, unsigned slot);
void bb_marked_flush_copies (struct bb_marked_process *p);
void bb_marked_send_to_peers (struct bb_marked_process *p,
                              const struct bb_endpoint *to, size_t count,
                              const struct bb_sync_message *message);
#endif
