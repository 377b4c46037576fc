/* The decision engine of one balancer.  Its inputs are configurations,
   messages of peers, probe results, packets and the time.  See docs/design.md,
   sections 3 and 4.  */

#ifndef BB_CORE_ENGINE_H
#define BB_CORE_ENGINE_H

#include "core/core.h"

struct bb_engine;

/* Output of the engine.  The functions are called from within functions of the
   engine and must not call the engine, except that DOCUMENT may call
   bb_engine_set_fleet and bb_engine_set_vm_list.  */
struct bb_sink
{
  /* Sends MESSAGE to the control endpoint of TO.  */
  void (*message) (void *context, const struct bb_vm *to,
                   const struct bb_message *message);
  void (*event) (void *context, const struct bb_event *event);
  /* Offers a document of KIND and VERSION that was received from a peer.
     Returns whether it is valid; the callee puts a valid one in force.  */
  bool (*document) (void *context, enum bb_document_kind kind,
                    uint64_t version, const uint8_t *bytes, size_t length);
};

struct bb_engine_options
{
  struct bb_vm self;
  uint64_t incarnation;   /* start time, wall clock microseconds */
  uint32_t flow_capacity; /* entries of the flow table */
  uint32_t push_bytes;    /* limit of replication, bytes per second */
  uint64_t seed;          /* of all random choices: jitter, peer choice */
};

/* Result of a probe of a backend server.  */
struct bb_probe_report
{
  bool ok;             /* the endpoint answered that the server is healthy */
  bool draining;       /* the server reports that it is leaving */
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
  uint64_t entry_misses; /* packets in tracked buckets without an entry */
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
  uint32_t peers_lost; /* suspected, and not leaving */
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
  bool healthy; /* according to the probes of this balancer */
  bool draining;
  bool bit_set;         /* impairment bit set here */
  bool bit_set_by_peer; /* impairment bit set by some peer */
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

/* Returns a new engine without peers; freed by bb_engine_free.  */
struct bb_engine *bb_engine_new (const struct bb_engine_options *options,
                                 const struct bb_sink *sink, void *context,
                                 bb_usec now);
void bb_engine_free (struct bb_engine *e);

/* Puts FLEET in force; copies what it needs.  Returns false and ignores FLEET
   unless its base or overlay version is higher than the one in force and
   neither is lower.  */
bool bb_engine_set_fleet (struct bb_engine *e, const struct bb_fleet *fleet,
                          bb_usec now);
bool bb_engine_set_vm_list (struct bb_engine *e, const struct bb_vm_list *list,
                            bb_usec now);

/* Stores a copy of the raw bytes of an accepted document, base, overlay or VM
   list, which peers may request.  Ignores a document whose version is lower
   than the stored one or whose LENGTH is above BB_DOCUMENT_MAX.  */
void bb_engine_store_document (struct bb_engine *e, enum bb_document_kind kind,
                               uint64_t version, const uint8_t *bytes,
                               size_t length);

/* Adds a balancer named in the settings.  If the table of peers is full, it
   replaces a peer that is not live; if all are live, it is ignored, and so is
   the id of this balancer.  */
void bb_engine_add_peer (struct bb_engine *e, const struct bb_vm *vm,
                         bb_usec now);

/* Whether ADDRESS may belong to a balancer: it is the address of a peer or
   lies in one of the configured networks.  */
bool bb_engine_admits_address (const struct bb_engine *e, uint32_t address);

void bb_engine_receive_report (struct bb_engine *e, uint32_t server,
                               const struct bb_probe_report *report,
                               bb_usec now);
void bb_engine_receive_message (struct bb_engine *e,
                                const struct bb_message *m, bb_usec now);

/* Runs the work that is due; to be called every 50 ms.  Returns whether the
   process had been paused, in which case buffered packets are to be
   discarded.  */
bool bb_engine_tick (struct bb_engine *e, bb_usec now);

/* Decides on one packet.  HANDOVER is NULL for packets from the fabric.
   Allocates no memory.  */
void bb_engine_handle_packet (struct bb_engine *e,
                              const struct bb_packet *packet,
                              const struct bb_handover *handover, bb_usec now,
                              struct bb_verdict *verdict);

/* Requests that this balancer leave.  The peers are notified when no other
   balancer is joining or leaving; until then the balancer keeps its state.
   bb_engine_has_left returns true once the peers hold all entries of this
   balancer, or if it has no peers.  */
void bb_engine_leave (struct bb_engine *e, bb_usec now);
bool bb_engine_has_left (const struct bb_engine *e, bb_usec now);

const struct bb_counters *bb_engine_counters (const struct bb_engine *e);
void bb_engine_status (const struct bb_engine *e, bb_usec now,
                       struct bb_engine_status *status);

/* Fill in at most MAX elements and return the total number of elements.  */
size_t bb_engine_servers (const struct bb_engine *e, bb_usec now,
                          struct bb_server_status *servers, size_t max);
size_t bb_engine_peers (const struct bb_engine *e, bb_usec now,
                        struct bb_peer_status *peers, size_t max);

/* Looks up the service and the bucket of PACKET and the keys of the default
   and the desired server of this bucket, for the command "place"; records
   nothing.  Returns false if no service has the destination.  */
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

/* Maglev lookup table.  It depends on the keys and weights only, not on the
   order of the members.  */
struct bb_maglev_member
{
  uint32_t key;
  uint16_t weight; /* at least 1 */
};
/* Fills TABLE[0..SIZE-1] with indices into MEMBERS.  SIZE is a prime.  */
void bb_maglev_fill (uint16_t *table, uint32_t size,
                     const struct bb_maglev_member *members, size_t count);

/* Hash of PACKET's flow, equal on all balancers.  */
uint64_t bb_flow_hash (const struct bb_packet *packet, uint64_t seed);
#endif
