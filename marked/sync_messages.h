/* Messages between balancers of a marked transport.  They travel as single
   datagrams, so that no connection between balancers can go silent: what is
   lost is asked for again.  */

#ifndef BB_MARKED_SYNC_MESSAGES_H
#define BB_MARKED_SYNC_MESSAGES_H

#include "marked/directory.h"

enum
{
  BB_SHARE_DATAGRAM = 1200, /* bytes; one link-layer frame with headers */
  BB_SHARE_KNOWN = 6,       /* balancers that one beat names */
  BB_SHARE_KNOWN_MAX = 48,  /* that the answer to one that joins names */
  BB_SHARE_LOADS = 64,      /* servers whose load one beat tells */
  BB_SHARE_SERVERS = 8,     /* servers in one datagram of items */
  BB_SHARE_ROUTES = 24,     /* routes in one datagram of items */
  BB_SHARE_CHUNKS = 512,    /* datagrams of one batch */
};

enum bb_share_kind
{
  BB_SHARE_BEAT,
  BB_SHARE_WANT,
  BB_SHARE_ITEMS,
  BB_SHARE_KINDS
};

enum bb_share_flag
{
  BB_SHARE_HELLO = 1,    /* answer with a beat at once */
  BB_SHARE_LEAVING = 2,  /* stops soon */
  BB_SHARE_STORE_OK = 4, /* its last call to the store was answered */
  BB_SHARE_READING = 8,  /* watches the store itself */
  BB_SHARE_LEADING = 16  /* first of its data centre */
};

/* One balancer as another one names it.  */
struct bb_share_vm
{
  uint32_t id;
  uint32_t data_centre; /* bb_name_key */
  struct bb_endpoint endpoint;
};

struct bb_share_load
{
  uint32_t mark;
  uint16_t open;
  uint16_t busy;
  bool suspect;
  bool answers; /* it answered since the last beat */
};

struct bb_share_beat
{
  uint32_t data_centre;
  uint32_t flags;
  uint32_t capacity;    /* of the VM, permille of a core */
  uint64_t revision;    /* of the sender's directory */
  uint64_t version;     /* of the configuration in force */
  uint32_t verified_ms; /* age of the call that showed it to be current */
  struct bb_share_vm known[BB_SHARE_KNOWN_MAX];
  uint32_t known_count;
  struct bb_share_load loads[BB_SHARE_LOADS];
  uint32_t load_count;
};

/* Loads that fit into one datagram beside KNOWN_COUNT balancers.  */
static inline uint32_t
bb_share_loads_max (uint32_t known_count)
{
  return MIN (BB_SHARE_LOADS, BB_SHARE_LOADS + BB_SHARE_KNOWN - known_count);
}

/* Asks for what changed after REVISION.  */
struct bb_share_want
{
  uint64_t revision;
};

/* One datagram of what changed after FROM up to TO.  FROM 0: all that there
   is, so that what the receiver has besides is gone.  */
struct bb_share_items
{
  uint32_t batch;
  uint32_t chunk; /* from 0 */
  uint32_t chunk_count;
  uint64_t from;
  uint64_t to;
  uint64_t since;    /* the sender knows all newer removals */
  uint32_t known_ms; /* for how long it has known all routes */
  uint64_t version;
  uint32_t verified_ms;
  struct bb_server_record servers[BB_SHARE_SERVERS];
  uint32_t server_count;
  struct bb_route_record routes[BB_SHARE_ROUTES];
  uint32_t route_count;
};

struct bb_share_message
{
  enum bb_share_kind kind;
  uint32_t from; /* VM id */
  uint64_t incarnation;
  union
  {
    struct bb_share_beat beat;
    struct bb_share_want want;
    struct bb_share_items items;
  };
};
#endif
