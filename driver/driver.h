/* Drives several engines over simulated time, with fakes at their interfaces:
   callers, backend servers, a fabric that sprays packets, documents and
   messages with latency, loss, duplication and partitions.  Deterministic in
   the seed.  */

#ifndef BB_DRIVER_DRIVER_H
#define BB_DRIVER_DRIVER_H

#include "core/engine.h"

enum
{
  BB_DRIVER_NODES = 24,
  BB_DRIVER_SERVERS = 32, /* of all services */
  BB_DRIVER_VERSIONS = 64,
  BB_DRIVER_HELD_PACKETS_MAX
  = 200, /* packets that a paused node's socket keeps */
};

struct bb_driver_options
{
  uint64_t seed;
  uint32_t balancers;
  uint32_t servers; /* of the first service; the second one has 4 */
  uint32_t flow_capacity;
  uint32_t push_bytes;
  enum bb_policy_kind policy;
  uint16_t spill_permille; /* permille */
  uint32_t connection_limit;
  uint32_t idle_s;
  uint32_t silent_ms;
  bb_usec latency;         /* one way */
  bb_usec message_delay;   /* of messages, besides the latency */
  uint32_t loss;           /* of packets, parts per million */
  uint32_t duplicates;     /* of packets, parts per million */
  uint32_t message_faults; /* lost, repeated or overtaken, per million */
  double rate;             /* new flows per second, all services */
  bb_usec gap;             /* mean time between packets of a flow */
  bb_usec life;            /* mean life of a flow; 0: for ever */
  bool skewed;             /* flow loads are very unequal */
  uint32_t report_noise;   /* permille of the reported load */
  bool datagrams;          /* the second service is UDP */

  /* Planted faults, to show that the checks find them.  */
  bool hide_bits;    /* heartbeats carry no impairment bits */
  bool lose_entries; /* replicated entries are lost but acknowledged */
  bool false_acks;   /* peers acknowledge bits that they did not get */
};

struct bb_driver_node
{
  struct bb_engine *engine; /* NULL: not running */
  struct bb_vm vm;
  bool in_fabric;         /* gets packets from the fabric */
  bool config;            /* reads the configuration service */
  int side;               /* of a partition */
  bb_usec paused_until;   /* 0: runs */
  bb_usec discard_before; /* packets that arrived before are discarded */
  uint32_t held_packets;  /* packets kept while paused */
  uint32_t start_count;   /* makes events of earlier processes void */
  bb_usec started;
  bb_usec first_packet; /* forwarded to a server, 0: none */
  uint64_t message_bytes;
  uint64_t versions[BB_DOCUMENT_KINDS];
  bb_usec version_at[BB_DRIVER_VERSIONS]; /* when each came into force */
};

enum bb_driver_report_fault
{
  BB_REPORT_CORRECT,
  BB_REPORT_ZERO_LOAD, /* load and connections of 0 */
  BB_REPORT_MISSING,   /* no report at all */
  BB_REPORT_FAILED     /* probes fail although the server works */
};

struct bb_driver_server
{
  uint32_t key;
  int service;
  bool up;
  bool draining; /* says so in its reports */
  bool drained;  /* by configuration or list */
  enum bb_driver_report_fault report_fault;
  bb_usec started;
  bb_usec last_new; /* last SYN that opened a flow */
  int32_t flows;
  int32_t flows_max;
  double load;
};

enum bb_driver_flow_state
{
  BB_DRIVER_OPENING,
  BB_DRIVER_OPEN,
  BB_DRIVER_CLOSED,
  BB_DRIVER_REFUSED,
  BB_DRIVER_BROKEN
};

struct bb_driver_flow
{
  struct bb_packet packet;
  enum bb_driver_flow_state state;
  int server;           /* that knows the flow, -1: none */
  uint32_t sent;        /* packets, the SYN included */
  uint32_t acked;       /* packets that the server got */
  uint32_t attempts;    /* of the packet under way */
  uint32_t timer_epoch; /* number of the last one set */
  float load;
  bb_usec end_time;
  bool answers_lost;  /* the server's answers are lost for good */
  bool stops_sending; /* sends nothing more */
};

struct bb_driver_result
{
  uint64_t started;
  uint64_t opened;
  uint64_t broken;
  uint64_t misrouted;
  uint64_t duplicated;        /* data accepted by two servers */
  uint64_t refused;           /* before anything reached a server */
  uint64_t refused_after_syn; /* although a server had the SYN: a fault */
  uint64_t timed_out; /* flows given up after many tries; also broken */
  uint64_t resets;    /* of silent flows */
  uint64_t resets_wrong;
  uint64_t lost_packets;      /* packets */
  uint64_t versions_reverted; /* a node's version went down */
  uint64_t hops_max;          /* of one packet */
  uint64_t first_failed_flow; /* flow number + 1, or wrongly reset */
  bb_usec first_failed_at;
};

struct bb_driver;

struct bb_driver *bb_driver_new (const struct bb_driver_options *options);
void bb_driver_free (struct bb_driver *d);
void bb_driver_run (struct bb_driver *d, bb_usec time);
bb_usec bb_driver_now (const struct bb_driver *d);
uint32_t bb_driver_random (struct bb_driver *d, uint32_t below);

struct bb_driver_node *bb_driver_node (struct bb_driver *d, int i);
struct bb_driver_server *bb_driver_server (struct bb_driver *d, int i);
struct bb_driver_flow *bb_driver_flow (struct bb_driver *d, uint32_t i);
uint32_t bb_driver_flow_count (const struct bb_driver *d);
const struct bb_driver_result *bb_driver_result (const struct bb_driver *d);

/* Balancers.  A new one knows the addresses of those that run.  */
void bb_driver_join_node (struct bb_driver *d, int node);
void bb_driver_kill_node (struct bb_driver *d, int node);
void bb_driver_leave_node (struct bb_driver *d, int node);
void bb_driver_pause_node (struct bb_driver *d, int node, bb_usec time);
/* Puts the nodes of the bit set SIDE on the other side; 0 heals.  */
void bb_driver_partition (struct bb_driver *d, uint32_t side);

/* Opens COUNT flows at once, or changes the rate of new ones.  */
void bb_driver_open_flows (struct bb_driver *d, uint32_t count, int service);
void bb_driver_set_rate (struct bb_driver *d, double rate);
/* Sends one packet with FLAGS that belongs to no flow.  */
void bb_driver_send_stray (struct bb_driver *d, uint8_t flags);
/* Opens a flow with the 5-tuple of FLOW and returns its number.  */
uint32_t bb_driver_reopen_flow (struct bb_driver *d, uint32_t flow);
/* Sends again the packet NUMBER of FLOW, which may have ended.  */
void bb_driver_resend_packet (struct bb_driver *d, uint32_t flow,
                              uint32_t number);
/* The server dies and its flows with it, which are not counted as broken.  */
void bb_driver_kill_server (struct bb_driver *d, int server);

/* Publishes FLEET (or LIST) as the next version, owned by the driver; each
   node reads it within SPREAD, unless its CONFIG is false.  */
struct bb_fleet *bb_driver_copy_fleet (struct bb_driver *d);
void bb_driver_publish_fleet (struct bb_driver *d, struct bb_fleet *fleet,
                              bb_usec spread);
struct bb_vm_list *bb_driver_copy_vm_list (struct bb_driver *d);
void bb_driver_publish_vm_list (struct bb_driver *d, struct bb_vm_list *list,
                                bb_usec spread);
/* Offers an older version to NODE.  Returns whether it was accepted.  */
bool bb_driver_offer_version (struct bb_driver *d, int node, uint64_t version);
void bb_driver_drain_server (struct bb_driver *d, int server, bb_usec spread);

/* max/mean over the first service's servers that are up and stay.  */
double bb_driver_imbalance (const struct bb_driver *d, bool load);

/* Prints the events of all engines and the path of FLOW to standard error. */
void bb_driver_trace (struct bb_driver *d, bool events, int64_t flow);
#endif
