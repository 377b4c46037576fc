/* Types of the balancer and its decision logic.  Nothing in this package
   performs I/O: the time is passed in as an argument, and messages leave
   through struct bb_sink.  Equal inputs give equal outputs.

   Addresses and ports are in host byte order.  Times are microseconds of the
   boot-time clock.  */

#ifndef BB_CORE_CORE_H
#define BB_CORE_CORE_H

#include <glib.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

typedef int64_t bb_usec;

enum
{
  BB_NAME_MAX = 64, /* bytes of a name, with the final NUL */
  BB_PEER_MAX = 64, /* balancers that one engine exchanges state with */
  BB_REPLICAS = 3,  /* balancers that hold an entry of a tracked flow */
  BB_HOPS_MAX = 4,  /* hand-overs of one packet between balancers */
  BB_BUCKETS_DEFAULT = 4093,
  /* At 100 permille too few flows are placed by load to offset the churn of
     the other flows: the imbalance of flows stays at 1.016.  */
  BB_SPILL_PERMILLE_DEFAULT = 200,
  BB_BUCKETS_MAX = 1048573,
  BB_ENTRIES_PER_MESSAGE = 50,
  BB_DOCUMENT_MAX = 1 << 20, /* bytes of one configuration document */
  BB_CHUNK_MAX = 16384,      /* bytes of a document in one message */
};

/* Age of state that was never received.  */
#define BB_AGE_UNKNOWN (INT64_MAX / 2)

#define BB_MSEC ((bb_usec)1000)
#define BB_SEC (1000 * BB_MSEC)

#define BB_HEARTBEAT_INTERVAL (500 * BB_MSEC)
#define BB_SUSPECT_TIMEOUT (1500 * BB_MSEC)
/* After this time a balancer no longer waits for missing acknowledgements.  */
#define BB_ACKNOWLEDGE_TIMEOUT (1500 * BB_MSEC)
/* A longer gap between two ticks is a pause of the process.  */
#define BB_PAUSE_LIMIT (1000 * BB_MSEC)
/* The views of the balancers may differ for this long after a change.  */
#define BB_SETTLE_TIME (3 * BB_SEC)
#define BB_TRACKED_HOLD_TIME (10 * BB_SEC)

/* Errors.  bb_error_handling returns the name, the action and the exit status
   of each kind; no other kinds occur.  */

enum bb_error_kind
{
  BB_ERROR_SYNTAX,
  BB_ERROR_TYPE,
  BB_ERROR_RANGE,
  BB_ERROR_UNKNOWN_KEY,
  BB_ERROR_MISSING_KEY,
  BB_ERROR_CONFLICT,
  BB_ERROR_TOO_LARGE,
  BB_ERROR_STALE_VERSION,
  BB_ERROR_VERSION_CONFLICT,
  BB_ERROR_IO,
  BB_ERROR_PROTOCOL,
  BB_ERROR_TIMEOUT,
  BB_ERROR_NOT_FOUND,
  BB_ERROR_KINDS
};

enum bb_error_action
{
  BB_ACTION_KEEP_VERSION, /* refuse the document; the version in force stays */
  BB_ACTION_RETRY,        /* try again after a delay */
  BB_ACTION_DROP,         /* count and drop the message */
  BB_ACTION_EXIT          /* the process cannot start */
};

/* Name, action and exit status of an error kind.  */
struct bb_error_handling
{
  const char *name;
  enum bb_error_action action;
  int exit_status; /* of a command that ends with this error */
};

#define BB_ERROR (bb_error_quark ())
GQuark bb_error_quark (void);

/* Returns the table row of KIND; never NULL.  */
const struct bb_error_handling *bb_error_handling (enum bb_error_kind kind);

/* The effective configuration of one data centre.  */

struct bb_endpoint
{
  uint32_t address;
  uint16_t port;
};

/* Orders endpoints by address, then by port: negative, 0 or positive.  */
static inline int
bb_endpoint_compare (const struct bb_endpoint *a, const struct bb_endpoint *b)
{
  if (a->address != b->address)
    return a->address < b->address ? -1 : 1;
  return (int)a->port - (int)b->port;
}

struct bb_server
{
  char name[BB_NAME_MAX];
  uint32_t key; /* bb_server_key of the service and server names */
  struct bb_endpoint gue;
  struct bb_endpoint health; /* port 0: not probed */
  uint16_t weight;           /* 1 to 1000 */
  bool drain;
  uint32_t connection_limit; /* open connections; 0: none */
  uint16_t slots;            /* requests that the server runs at once */
};

enum bb_policy_kind
{
  BB_POLICY_TABLE,
  BB_POLICY_EVEN,
  BB_POLICIES
};

struct bb_service
{
  char name[BB_NAME_MAX];
  uint32_t key;
  struct bb_endpoint address; /* address that callers connect to */
  uint8_t protocol;           /* IPPROTO_TCP or IPPROTO_UDP */
  enum bb_policy_kind policy;
  uint16_t spill_permille; /* buckets placed by load under "even" */
  uint32_t buckets;        /* prime; fixed once in force */
  uint32_t ramp_ms; /* time in which the share of a starting server grows */
  uint32_t idle_s;  /* a flow without a packet for this long has ended */
  /* A flow is reset when its caller has repeated one sequence number for this
     long; 0: never.  */
  uint32_t silent_ms;
  struct bb_server *servers;
  size_t server_count;
};

struct bb_network
{
  uint32_t address;
  uint8_t prefix; /* bits, 0 to 32 */
};

struct bb_fleet
{
  uint64_t base_version;
  uint64_t overlay_version;
  uint64_t hash_seed;
  char data_centre[BB_NAME_MAX];
  bool is_evacuated; /* its own servers drain; those elsewhere are used */
  struct bb_network *networks; /* where entry VMs may have addresses */
  size_t network_count;
  struct bb_service *services;
  size_t service_count;
};

/* Frees FLEET and all it owns; NULL is allowed.  */
void bb_fleet_free (struct bb_fleet *fleet);

/* Returns a copy owned by the caller.  */
struct bb_fleet *bb_fleet_copy (const struct bb_fleet *fleet);

/* Keys of names, equal on all balancers.  */
uint32_t bb_name_key (const char *name);
uint32_t bb_server_key (const char *service, const char *server);

/* The published list of VMs.  It may lag behind the set of running VMs.  */

enum bb_vm_state
{
  BB_VM_LIVE,
  BB_VM_LEAVING
};

struct bb_vm
{
  char name[BB_NAME_MAX];
  uint32_t id; /* bb_name_key of name */
  char data_centre[BB_NAME_MAX];
  struct bb_endpoint data;    /* GUE from the fabric and from peers */
  struct bb_endpoint control; /* ZeroMQ */
  enum bb_vm_state state;
};

struct bb_listed_server
{
  uint32_t key;
  enum bb_vm_state state;
};

struct bb_vm_list
{
  uint64_t version;
  struct bb_vm *vms;
  size_t vm_count;
  struct bb_listed_server *servers;
  size_t server_count;
};

void bb_vm_list_free (struct bb_vm_list *list);

/* Packets.  */

enum bb_drop
{
  BB_DROP_NONE,
  BB_DROP_TRUNCATED,
  BB_DROP_NOT_IPV4,
  BB_DROP_GUE_VERSION,
  BB_DROP_FRAGMENT,
  BB_DROP_PROTOCOL,
  BB_DROP_SYN_PAYLOAD,
  BB_DROP_NO_SERVICE,
  BB_DROP_NO_SERVER,
  BB_DROP_HOPS,
  BB_DROP_NOT_PEER,
  BB_DROP_PAUSED,
  BB_DROP_UNCERTAIN, /* partition: the other side may hold the flow */
  BB_DROP_TABLE_FULL,
  BB_DROP_NOT_READY,
  BB_DROP_MARK_UNKNOWN,
  BB_DROP_OTHER_SERVICE,
  BB_DROP_SPOOFED, /* lengths or flags that no real endpoint sends */
  BB_DROP_KINDS
};

const char *bb_drop_name (enum bb_drop kind);

enum
{
  BB_TCP_FIN = 1,
  BB_TCP_SYN = 2,
  BB_TCP_RST = 4,
  BB_TCP_ACK = 16
};

struct bb_packet
{
  uint32_t source;
  uint32_t destination;
  uint16_t source_port;
  uint16_t destination_port;
  uint8_t protocol;
  uint8_t tcp_flags;
  uint16_t payload; /* bytes after the transport header */
  uint32_t sequence;
  uint32_t acknowledgement;
};

/* Parses the IPv4 packet of LENGTH bytes at DATA.  Returns BB_DROP_NONE, or
   the reason to drop the packet.  */
enum bb_drop bb_packet_parse (const uint8_t *data, size_t length,
                              struct bb_packet *packet);

/* Data sent along with a packet that is handed over.  */

enum
{
  BB_HAND_RECORD = 1, /* record the flow with SERVER and pass the packet on */
  BB_HAND_FINAL = 2,  /* no replica has an entry; do not query others again */
  BB_HAND_REPEAT = 4  /* the sender has seen this sequence number before */
};

struct bb_handover
{
  uint8_t hops;
  uint8_t flags;
  uint32_t server;               /* key, with BB_HAND_RECORD */
  uint16_t visited[BB_HOPS_MAX]; /* low 16 bits of the VM ids, 0: unused */
};

enum bb_verdict_kind
{
  BB_VERDICT_FORWARD,   /* to the server at TARGET */
  BB_VERDICT_HAND_OVER, /* to the balancer at TARGET, with HANDOVER */
  BB_VERDICT_REFUSE,    /* reset towards the caller; nothing was forwarded */
  BB_VERDICT_RESET,     /* silent flow: reset towards caller and TARGET */
  BB_VERDICT_DROP       /* counted under DROP */
};

struct bb_verdict
{
  enum bb_verdict_kind kind;
  enum bb_drop drop;
  struct bb_endpoint target;
  uint32_t server;  /* key, of FORWARD and RESET */
  uint32_t service; /* key, 0 if unknown */
  struct bb_handover handover;
};

/* Events of the time line.  */

enum bb_event_kind
{
  BB_EVENT_START,
  BB_EVENT_READY,
  BB_EVENT_VERSION,
  BB_EVENT_VERSION_REFUSED,
  BB_EVENT_VERSION_STALE,
  BB_EVENT_PEER_JOINED,
  BB_EVENT_PEER_ACTIVE,
  BB_EVENT_PEER_LEAVING,
  BB_EVENT_PEER_LOST,
  BB_EVENT_PEER_BACK,
  BB_EVENT_BIT_SET,
  BB_EVENT_BIT_ACTED,
  BB_EVENT_BIT_CLEARED,
  BB_EVENT_SERVER_DOWN,
  BB_EVENT_SERVER_UP,
  BB_EVENT_SERVER_DRAIN,
  BB_EVENT_PANIC,
  BB_EVENT_PUSH_DONE,
  BB_EVENT_REBASE,
  BB_EVENT_BASE_CONFLICT,
  BB_EVENT_PAUSE,
  BB_EVENT_REFUSED,
  BB_EVENT_SILENT_RESET,
  BB_EVENT_LEAVING,
  BB_EVENT_STOP,
  /* of the marked transport */
  BB_EVENT_SERVER_ADDED,
  BB_EVENT_SERVER_CHANGED,
  BB_EVENT_SERVER_RESTARTED,
  BB_EVENT_SERVER_GONE,
  BB_EVENT_SERVER_SUSPECT,
  BB_EVENT_SERVER_TRUSTED,
  BB_EVENT_ENTRY_REFUSED,
  BB_EVENT_FLOW_PLACED,
  BB_EVENT_FLOW_REFUSED,
  BB_EVENT_FLOW_RESET,
  BB_EVENT_MARK_UNKNOWN,
  BB_EVENT_STORE_LOST,
  BB_EVENT_STORE_BACK,
  BB_EVENT_READER,
  BB_EVENT_RELOAD,
  BB_EVENT_LINK_SUSPECT, /* most servers are silent at once */
  BB_EVENT_LINK_TRUSTED,
  BB_EVENT_STATE_ADOPTED,    /* the whole state of the store or of a peer */
  BB_EVENT_STATE_REFUSED,    /* records of a peer that contradict each other */
  BB_EVENT_EVACUATION,       /* of a data centre; value: 1 begins, 0 ends */
  BB_EVENT_STORE_ERA,        /* value: the new era; revision: of the old one */
  BB_EVENT_SERVER_FAILING,   /* its answers are short; value: how many */
  BB_EVENT_SERVER_RECOVERED, /* value: answers as usual since then */
  BB_EVENT_COLD_OWNER,   /* places the new flows of a cold server, or not */
  BB_EVENT_STATE_UNSENT, /* exceeds a batch; value: datagrams it takes */
  BB_EVENT_WATCH_ENDED,  /* the store is read as a whole; value: revision */
  BB_EVENT_SERVER_DEAD,  /* its flows are reset; value: unacknowledged ones */
  BB_EVENT_COLD_END,     /* a server that was owned is not cold any more */
  BB_EVENT_KINDS
};

/* Reason of an event of the marked transport.  */
enum bb_reason
{
  BB_REASON_NONE,
  BB_REASON_OWN_DATA_CENTRE, /* placed in the own data centre */
  BB_REASON_OTHER_DATA_CENTRE,
  BB_REASON_AGAIN, /* a copy of the first packet, placed as before */
  BB_REASON_NO_ROUTE,
  BB_REASON_ROUTE_DROPPED,
  BB_REASON_NO_SERVER,
  BB_REASON_ALL_BUSY,
  BB_REASON_SERVER_GONE,
  BB_REASON_SERVER_SILENT,
  BB_REASON_OTHER_SERVICE,
  BB_REASON_STORE,
  BB_REASON_PEER,
  BB_REASON_FIRST,    /* first in the readers' order */
  BB_REASON_OUTDATED, /* no new state was received for too long */
  BB_REASON_RELIEVED, /* another balancer reads the store */
  BB_REASON_TIMEOUT,
  BB_REASON_REFUSED,
  BB_REASON_CLOSED,
  BB_REASON_HISTORY_LOST,
  BB_REASON_UNREADABLE,
  BB_REASON_TOO_LARGE, /* beyond a limit of size or time */
  BB_REASON_CONTRADICTORY,
  BB_REASON_EVACUATED,             /* the servers' data centre is evacuated */
  BB_REASON_ERA_CHANGED,           /* the store came back from an older copy */
  BB_REASON_ERA_FELL,              /* an era below the one held */
  BB_REASON_ERA_MISSING,           /* no era although one is held */
  BB_REASON_ERA_UNREADABLE,        /* an era that is no number, or too high */
  BB_REASON_UNKNOWN_CONFIGURATION, /* changes to another configuration */
  BB_REASON_COLD, /* all servers are cold and have no room left */
  BB_REASONS
};

const char *bb_reason_name (enum bb_reason reason);

const char *bb_event_name (enum bb_event_kind kind);

struct bb_event
{
  enum bb_event_kind kind;
  uint32_t peer;        /* VM id, 0: none */
  uint32_t server;      /* key, 0: none */
  uint32_t data_centre; /* key, 0: none */
  uint64_t flow;        /* hash, 0: none */
  uint64_t value;       /* by kind: a version, a count or microseconds */
  enum bb_reason reason;
  uint64_t revision; /* of the state that the decision used, 0: none */
  bb_usec age;       /* of that state; 0: not given */
};
#include "core/messages.h"
#endif
