/* Messages between balancers of a marked transport.  Each message is a single
   datagram, so that there are no connections that could hang.  Lost messages
   are requested again.  */

#ifndef BB_MARKED_SYNC_MESSAGES_H
#define BB_MARKED_SYNC_MESSAGES_H

#include "marked/state/directory.h"

enum
{
  /* Fits into one link-layer frame, with headers.  */
  BB_SYNC_DATAGRAM_BYTES = 1200,
  BB_SYNC_LISTED_PEERS = 6,      /* balancers listed in a heartbeat */
  BB_SYNC_LISTED_PEERS_MAX = 48, /* in the reply to a joining balancer */
  BB_SYNC_LOADS_MAX = 56,        /* servers whose load is in a heartbeat */
  BB_SYNC_DEMANDS_MAX = 4,       /* services whose demand is in a heartbeat */
  BB_SYNC_ROOMS_MAX = 6,         /* rooms in a heartbeat */
  BB_SYNC_SILENCES_MAX = 16,     /* silent servers in a heartbeat */
  BB_SYNC_SERVERS_MAX = 8,       /* servers in one datagram of records */
  BB_SYNC_ROUTES_MAX = 24,       /* records of routes in one datagram */
  BB_SYNC_EVACUATIONS_MAX = 12,  /* evacuations in one datagram of records */
  BB_SYNC_SERVICES_MAX = 48,     /* services in one datagram of records */
  BB_SYNC_SERVICES_SENT = 28,    /* of these, that fit with their digests */
  BB_SYNC_CHUNKS_MAX = 8192,     /* datagrams of one batch */
};

enum bb_sync_kind
{
  BB_SYNC_HEARTBEAT,
  BB_SYNC_REQUEST,
  BB_SYNC_RECORDS,
  BB_SYNC_KINDS
};

enum bb_sync_flag
{
  BB_SYNC_HELLO = 1,    /* reply with a heartbeat at once */
  BB_SYNC_LEAVING = 2,  /* stops soon */
  BB_SYNC_STORE_OK = 4, /* no recent call to the store failed */
  BB_SYNC_READER = 8,   /* watches the store itself */
  BB_SYNC_LEADER = 16,  /* first in the order of its data centre */
  BB_SYNC_OWNER = 32    /* may own cold servers of its data centre */
};

/* A balancer in the peer list of another one.  */
struct bb_sync_vm
{
  uint32_t id;
  uint64_t data_centre; /* bb_key; an unnamed hash if a peer lists it */
  struct bb_endpoint endpoint;
};

struct bb_sync_load
{
  uint32_t cookie;
  uint16_t open;
  uint16_t busy;
  bool is_answering; /* answered since the last heartbeat */
};

/* New flows of a service at the sender.  */
struct bb_sync_demand
{
  uint32_t service; /* bb_key_hash */
  uint32_t rate;    /* in 1,000 s */
};

/* Room of a service in a data centre, as reported by its leader.  */
struct bb_sync_room
{
  uint32_t data_centre; /* bb_key_hash */
  uint32_t service;
  uint32_t pending; /* as in struct bb_room */
  uint32_t slots;
  uint32_t age_ms;
};

/* A silence of a server at the sender.  */
struct bb_sync_silence
{
  uint32_t load; /* index of the server in the loads */
  uint32_t flows;
  uint32_t age_ms;
  bool is_slow;
  /* As in struct bb_probe_counts.  Older builds send no probes.  */
  uint32_t failed;
  uint32_t answered;
  uint32_t probed_ms; /* age of the probe of that time; 0: no probes */
};

struct bb_sync_heartbeat
{
  uint64_t data_centre; /* bb_key */
  uint32_t flags;
  uint32_t capacity;    /* of the VM, permille of a core */
  uint64_t revision;    /* of the directory of the sender */
  uint64_t version;     /* of the configuration in force */
  uint32_t verified_ms; /* age of the store call that confirmed revision */
  uint32_t owners;      /* digest of the owners of the own data centre */
  uint32_t owner_count;
  struct bb_sync_vm listed_peers[BB_SYNC_LISTED_PEERS_MAX];
  uint32_t listed_peer_count;
  struct bb_sync_load loads[BB_SYNC_LOADS_MAX];
  uint32_t load_count;
  /* In a heartbeat that lists at most BB_SYNC_LISTED_PEERS balancers.  */
  struct bb_sync_demand demands[BB_SYNC_DEMANDS_MAX];
  uint32_t demand_count;
  struct bb_sync_room rooms[BB_SYNC_ROOMS_MAX];
  uint32_t room_count;
  /* The answers of servers, one entry for each of loads.  */
  struct bb_answer_report answers[BB_SYNC_LOADS_MAX];
  uint32_t answer_count; /* 0: not reported */
  struct bb_sync_silence silences[BB_SYNC_SILENCES_MAX];
  uint32_t silence_count;
};

/* Number of loads that fit into a datagram with LISTED_PEER_COUNT balancers.
   Earlier releases send up to twelve more with BB_SYNC_LISTED_PEERS
   balancers.  */
static inline uint32_t
bb_sync_fitting_loads (uint32_t listed_peer_count)
{
  return MIN (BB_SYNC_LOADS_MAX, BB_SYNC_LOADS_MAX + BB_SYNC_LISTED_PEERS - 12
                                     - listed_peer_count);
}

/* Requests the records that changed after REVISION.  */
struct bb_sync_request
{
  uint64_t revision;
};

/* One datagram of a batch: records that changed after revision FROM, up to
   revision TO.  FROM 0: the whole state; all other records of the receiver are
   removed.  */
struct bb_sync_records
{
  uint32_t batch;
  uint32_t chunk; /* from 0 */
  uint32_t chunk_count;
  uint64_t from;
  uint64_t to;
  uint64_t removals_since;   /* sender records all removals after this one */
  uint32_t route_history_ms; /* time for which the sender has had all routes */
  uint64_t version;
  bool is_divergent; /* bb_directory_is_divergent of the sender */
  uint32_t verified_ms;
  struct bb_server_record servers[BB_SYNC_SERVERS_MAX];
  uint32_t server_count;
  struct bb_route_record routes[BB_SYNC_ROUTES_MAX];
  uint32_t route_count;
  struct bb_evacuation_record evacuations[BB_SYNC_EVACUATIONS_MAX];
  uint32_t evacuation_count;
  struct bb_service_record services[BB_SYNC_SERVICES_MAX];
  uint32_t service_count;
  /* False from an older build, which knows neither evacuations nor limits of
     services.  */
  bool has_evacuations;
};

struct bb_sync_message
{
  enum bb_sync_kind kind;
  uint32_t from; /* VM id */
  uint64_t incarnation;
  union
  {
    struct bb_sync_heartbeat heartbeat;
    struct bb_sync_request request;
    struct bb_sync_records record_chunk;
  };
};
#endif
