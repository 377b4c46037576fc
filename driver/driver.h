/* Discrete-event simulation of a deployment.  Runs several engines in one
   process over simulated time and fakes everything around them: callers,
   backend servers, a fabric that sends each packet to a random balancer, the
   configuration service, and messages with latency, loss, duplication and
   partitions.  Counts the faults that callers and servers would observe.  The
   options, including the seed, determine a run completely.  */

#ifndef BB_DRIVER_DRIVER_H
#define BB_DRIVER_DRIVER_H

#include "core/engine.h"

enum
{
  BB_DRIVER_NODES = 24,
  BB_DRIVER_SERVERS = 32, /* maximum, all services */
  BB_DRIVER_VERSIONS = 64,
  BB_DRIVER_HELD_PACKETS_MAX
  = 200, /* socket buffer of a paused node, packets */
};

struct bb_driver_options
{
  uint64_t seed;
  uint32_t balancers;
  uint32_t servers; /* of the first service; the second has 4 */
  uint32_t flow_capacity;
  uint32_t push_bytes;
  enum bb_policy_kind policy;
  uint16_t spill_permille;
  uint32_t connection_limit;
  uint32_t idle_s;
  uint32_t silent_ms;
  bb_usec latency;         /* one way */
  bb_usec message_delay;   /* of messages, added to the latency */
  uint32_t loss;           /* of packets, per million */
  uint32_t duplicates;     /* of packets, per million */
  uint32_t message_faults; /* lost, duplicated or reordered, per million */
  double rate;             /* new flows per second, all services */
  bb_usec gap;             /* mean time between packets of a flow */
  bb_usec life;            /* mean lifetime of a flow; 0: unlimited */
  bool skewed;             /* log-normal flow loads instead of equal ones */
  uint32_t report_noise;   /* standard deviation, permille of the load */
  bool datagrams;          /* the second service is UDP */

  /* Planted faults, to show that the checks detect them.  */
  bool hide_bits;    /* remove the impairment bits from heartbeats */
  bool lose_entries; /* lose replicated entries but acknowledge them */
  bool false_acks;   /* acknowledge bits that were not received */
};

struct bb_driver_node
{
  struct bb_engine *engine; /* NULL: not running */
  struct bb_vm vm;
  bool in_fabric;         /* the fabric sends it packets */
  bool config;            /* reads from the configuration service */
  int side;               /* of the partition: 0 or 1 */
  bb_usec paused_until;   /* not paused if this is in the past */
  bb_usec discard_before; /* last tick that detected a pause; packets held
                             during that pause are discarded */
  uint32_t held_packets;  /* in the socket buffer while paused */
  uint32_t start_count;   /* processes so far, see the events' EPOCH */
  bb_usec started;
  bb_usec first_packet; /* time of the first packet forwarded; 0: none */
  uint64_t message_bytes;
  uint64_t versions[BB_DOCUMENT_KINDS];
  bb_usec version_at[BB_DRIVER_VERSIONS]; /* when applied */
};

enum bb_driver_report_fault
{
  BB_REPORT_CORRECT,
  BB_REPORT_ZERO_LOAD, /* reports a load and connections of 0 */
  BB_REPORT_MISSING,   /* sends no report */
  BB_REPORT_FAILED     /* probes fail although the server works */
};

struct bb_driver_server
{
  uint32_t key;
  int service;
  bool up;
  bool draining; /* its reports carry the drain flag */
  bool drained;  /* by configuration or VM list */
  enum bb_driver_report_fault report_fault;
  bb_usec started;
  bb_usec last_new; /* time of the last SYN that opened a flow */
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
  int server;           /* index of the server that holds the flow; -1: none */
  uint32_t sent;        /* packets, SYN included */
  uint32_t acked;       /* packets that the server answered */
  uint32_t attempts;    /* retransmissions of the last packet */
  uint32_t timer_epoch; /* timers of earlier epochs are ignored */
  float load;
  bb_usec end_time;
  bool answers_lost;  /* the server's answers never arrive */
  bool stops_sending; /* the caller sends nothing more */
};

struct bb_driver_result
{
  uint64_t started;           /* flows */
  uint64_t opened;            /* flows that a server accepted */
  uint64_t broken;            /* flows */
  uint64_t misrouted;         /* packets at a server of another service */
  uint64_t duplicated;        /* datagrams accepted by two servers */
  uint64_t refused;           /* flows, before a server received the SYN */
  uint64_t refused_after_syn; /* after a server received the SYN: a fault */
  uint64_t timed_out;    /* flows given up after 20 attempts; also broken */
  uint64_t resets;       /* of flows whose server does not answer */
  uint64_t resets_wrong; /* although the server answers */
  uint64_t lost_packets;
  uint64_t versions_reverted; /* times a node's document version decreased */
  uint64_t hops_max;          /* hand-overs of one packet */
  uint64_t first_failed_flow; /* broken or wrongly reset: number + 1 */
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

/* A joining balancer gets the addresses of the running balancers.  */
void bb_driver_join_node (struct bb_driver *d, int node);
void bb_driver_kill_node (struct bb_driver *d, int node);
void bb_driver_leave_node (struct bb_driver *d, int node);
void bb_driver_pause_node (struct bb_driver *d, int node, bb_usec time);
/* Separates the nodes whose bits are set in SIDE from the others; 0 ends the
   partition.  */
void bb_driver_partition (struct bb_driver *d, uint32_t side);

/* Opens COUNT flows within one second.  */
void bb_driver_open_flows (struct bb_driver *d, uint32_t count, int service);
/* Sets the rate of new flows per second.  */
void bb_driver_set_rate (struct bb_driver *d, double rate);
/* Sends one TCP packet with FLAGS that belongs to no flow.  */
void bb_driver_send_stray (struct bb_driver *d, uint8_t flags);
/* Opens a flow with the 5-tuple of FLOW and returns its number.  */
uint32_t bb_driver_reopen_flow (struct bb_driver *d, uint32_t flow);
/* Sends packet NUMBER of FLOW again; FLOW may have ended.  */
void bb_driver_resend_packet (struct bb_driver *d, uint32_t flow,
                              uint32_t number);
/* Ends the server and its flows, which are not counted as broken.  */
void bb_driver_kill_server (struct bb_driver *d, int server);

/* Publishes FLEET (or LIST) as the next version and takes ownership.  Each
   node whose CONFIG is true reads it after a random time up to SPREAD.  The
   copy functions return the newest version, to be changed and published.  */
struct bb_fleet *bb_driver_copy_fleet (struct bb_driver *d);
void bb_driver_publish_fleet (struct bb_driver *d, struct bb_fleet *fleet,
                              bb_usec spread);
struct bb_vm_list *bb_driver_copy_vm_list (struct bb_driver *d);
void bb_driver_publish_vm_list (struct bb_driver *d, struct bb_vm_list *list,
                                bb_usec spread);
/* Offers base version VERSION to NODE.  Returns whether it was accepted.  */
bool bb_driver_offer_version (struct bb_driver *d, int node, uint64_t version);
void bb_driver_drain_server (struct bb_driver *d, int server, bb_usec spread);

/* Maximum over mean of the load, or of the flows, over the servers of the
   first service that are up and neither draining nor drained.  */
double bb_driver_imbalance (const struct bb_driver *d, bool load);

/* Enables traces on standard error: of the events of all engines if EVENTS,
   and of the packets of FLOW (-1: no flow).  */
void bb_driver_trace (struct bb_driver *d, bool events, int64_t flow);
#endif
