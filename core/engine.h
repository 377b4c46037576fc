/* One balancer's decisions.  See docs/design.md, sections 3 and 4.  */

#ifndef BB_CORE_ENGINE_H
#define BB_CORE_ENGINE_H

#include "core/core.h"

struct bb_engine;

/* Where the engine's actions go.  The functions are called from within the
   engine's own functions and must not call the engine back, except that
   DOCUMENT may call bb_engine_set_fleet and bb_engine_set_vm_list.  */
struct bb_sink
{
  /* Sends MESSAGE to the balancer at CONTROL.  */
  void (*message) (void *context, const struct bb_vm *to,
                   const struct bb_message *message);
  void (*event) (void *context, const struct bb_event *event);
  /* A document of KIND and VERSION has arrived from a peer.  Returns whether
     it was valid; an accepted one is put in force by the callee.  */
  bool (*document) (void *context, enum bb_document_kind kind,
                    uint64_t version, const uint8_t *bytes, size_t length);
};

struct bb_engine_options
{
  struct bb_vm self;
  uint64_t incarnation;   /* start time, wall clock microseconds */
  uint32_t flow_capacity; /* entries of the flow table */
  uint32_t push_bytes;    /* paced push of entries, bytes per second */
  uint64_t seed;          /* of everything random: jitter, peer choice */
};

/* What a probe of a backend server returned.  */
struct bb_probe_report
{
  bool ok;             /* the endpoint answered and said it is well */
  bool draining;       /* the server says that it is leaving */
  int32_t connections; /* open connections, -1: not reported */
  uint32_t load;       /* permille of its capacity */
  uint32_t uptime_ms;  /* since the server started; UINT32_MAX: unknown */
};

struct bb_counters
{
  uint64_t packets;   /* from the fabric */
  uint64_t handed_in; /* from other balancers */
  uint64_t forwarded; /* to backend servers */
  uint64_t handed_out;
  uint64_t refused;
  uint64_t resets;
  uint64_t placed_non_default; /* new flows */
  uint64_t entry_hits;         /* packets whose flow had an entry */
  uint64_t entry_misses;       /* packets in tracked buckets without entry */
  uint64_t evicted;
  uint64_t drops[BB_DROP_KINDS];
};

/* Status of the engine, for metrics and the operator's tool.  */
struct bb_engine_status
{
  enum bb_peer_state state;
  bool ready;
  uint64_t versions[BB_DOCUMENT_KINDS];
  bb_usec version_age; /* since the versions in force changed */
  uint32_t generation;
  enum bb_phase phase;
  uint32_t flows; /* entries */
  uint32_t flow_capacity;
  uint32_t peers_live;
  uint32_t peers_lost; /* known, not heard from */
  uint32_t entries_unsynced;
};

struct bb_server_status
{
  uint32_t service; /* keys */
  uint32_t server;
  char service_name[BB_NAME_MAX];
  char server_name[BB_NAME_MAX];
  struct bb_endpoint gue;
  bool listed; /* in the configuration in force */
  bool in_default_set;
  bool healthy; /* as believed here */
  bool draining;
  bool bit_set;         /* impairment bit_set set here */
  bool bit_set_by_peer; /* set by some peer */
  int64_t flows;        /* estimated open flows, all balancers */
  uint32_t load;        /* last report, permille */
  bb_usec report_age;
};

struct bb_peer_status
{
  struct bb_vm vm;
  enum bb_peer_state state;
  bool suspected;
  bb_usec last_received_age;
  uint64_t versions[BB_DOCUMENT_KINDS];
};

/* Returns a new engine that knows only itself; freed by bb_engine_free.  */
struct bb_engine *bb_engine_new (const struct bb_engine_options *options,
                                 const struct bb_sink *sink, void *context,
                                 bb_usec now);
void bb_engine_free (struct bb_engine *e);

/* Puts FLEET in force; copies what it needs.  DOCUMENTS holds the raw
   default_server and overlay, which peers may ask for; copied.  A lower
   version than the one in force is ignored and returns false.  */
bool bb_engine_set_fleet (struct bb_engine *e, const struct bb_fleet *fleet,
                          bb_usec now);
bool bb_engine_set_vm_list (struct bb_engine *e, const struct bb_vm_list *list,
                            bb_usec now);

/* Keeps the raw bytes of an accepted document for peers that ask.  */
void bb_engine_store_document (struct bb_engine *e, enum bb_document_kind kind,
                               uint64_t version, const uint8_t *bytes,
                               size_t length);

/* Adds a balancer known from the settings or the list.  */
void bb_engine_add_peer (struct bb_engine *e, const struct bb_vm *vm,
                         bb_usec now);

/* Whether ADDRESS may belong to a balancer of ours: seeds, list, networks.  */
bool bb_engine_admits_address (const struct bb_engine *e, uint32_t address);

void bb_engine_receive_report (struct bb_engine *e, uint32_t server,
                               const struct bb_probe_report *report,
                               bb_usec now);
void bb_engine_receive_message (struct bb_engine *e,
                                const struct bb_message *m, bb_usec now);

/* Runs what is due.  To be called every 50 ms.  Returns whether the process
   had been paused, in which case buffered packets are to be discarded.  */
bool bb_engine_tick (struct bb_engine *e, bb_usec now);

/* Decides on one packet.  HANDOVER is NULL for packets from the fabric.
   Allocates nothing.  */
void bb_engine_handle_packet (struct bb_engine *e,
                              const struct bb_packet *packet,
                              const struct bb_handover *handover, bb_usec now,
                              struct bb_verdict *verdict);

/* Starts to leave; announced to the peers when no other balancer is joining or
   leaving, until then the balancer goes on as before.  bb_engine_has_left is
   true once nothing is held that peers do not hold too, or no peer is left. */
void bb_engine_leave (struct bb_engine *e, bb_usec now);
bool bb_engine_has_left (const struct bb_engine *e, bb_usec now);

const struct bb_counters *bb_engine_counters (const struct bb_engine *e);
void bb_engine_status (const struct bb_engine *e, bb_usec now,
                       struct bb_engine_status *status);

/* Fill up to MAX elements and return how many there are in all.  */
size_t bb_engine_servers (const struct bb_engine *e, bb_usec now,
                          struct bb_server_status *servers, size_t max);
size_t bb_engine_peers (const struct bb_engine *e, bb_usec now,
                        struct bb_peer_status *peers, size_t max);

/* Where PACKET's flow would be placed, without recording it, for "place".
   BUCKET, BASE and HEAD are set; server keys.  Returns false if no service
   has the destination.  */
struct bb_explanation
{
  uint32_t service;
  uint32_t bucket;
  uint32_t default_server;
  uint32_t desired_server;
  bool tracked;
};
bool bb_engine_explain (const struct bb_engine *e,
                        const struct bb_packet *packet,
                        struct bb_explanation *explanation);

/* Maglev lookup table.  Deterministic in the keys and weights, whatever the
   order of the members.  */
struct bb_maglev_member
{
  uint32_t key;
  uint16_t weight; /* at least 1 */
};
/* Fills TABLE[0..SIZE-1] with indices into MEMBERS.  SIZE is a prime.  */
void bb_maglev_fill (uint16_t *table, uint32_t size,
                     const struct bb_maglev_member *members, size_t count);

/* Hash of the flow that PACKET belongs to, equal on all balancers.  */
uint64_t bb_flow_hash (const struct bb_packet *packet, uint64_t seed);
#endif
