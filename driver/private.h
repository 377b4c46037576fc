/* State of the simulation and the functions that its source files share.  */

#ifndef BB_DRIVER_PRIVATE_H
#define BB_DRIVER_PRIVATE_H

#include "driver/driver.h"

#define BB_DRIVER_NO_FLOW UINT32_MAX /* flow of a stray packet */

enum bb_driver_event_kind
{
  BB_DRIVER_TICK,
  BB_DRIVER_MESSAGE,       /* from another balancer */
  BB_DRIVER_PACKET,        /* at a balancer */
  BB_DRIVER_SERVER_PACKET, /* at a backend server */
  BB_DRIVER_FLOW_TIMER,
  BB_DRIVER_NEW_FLOW, /* opens a flow and schedules the next event */
  BB_DRIVER_PROBE,
  BB_DRIVER_FABRIC_UPDATE, /* the fabric removes a stopped node */
  BB_DRIVER_CONFIG,
  BB_DRIVER_VM_LIST
};

struct bb_driver_event
{
  bb_usec time;
  uint64_t order;
  bb_usec sent; /* when it was scheduled */
  enum bb_driver_event_kind kind;
  int16_t node;
  int16_t server; /* index; of a message, the sending node */
  uint32_t epoch; /* of the node or the flow's timer when scheduled;
                     the event is ignored if the epoch has changed */
  uint32_t flow;
  uint32_t sequence; /* of the packet in its flow, 1: the SYN */
  uint8_t flags;
  bool has_handover; /* a packet from another balancer */
  uint64_t version;  /* of a document; 1 in a packet that was held by a
                        paused node */
  union
  {
    struct bb_handover handover;
    struct bb_probe_report report;
    GBytes *bytes;
  } u;
};

struct bb_driver
{
  struct bb_driver_options o;
  GRand *random;
  bb_usec now;
  uint64_t order; /* of the next event; breaks ties of time */
  GArray *queue;  /* binary heap of struct bb_driver_event */
  struct bb_driver_node nodes[BB_DRIVER_NODES];
  struct bb_driver_server servers[BB_DRIVER_SERVERS];
  int server_count;
  GArray *flows;
  struct bb_fleet *fleets[BB_DRIVER_VERSIONS]; /* by version, from 1 */
  struct bb_vm_list *lists[BB_DRIVER_VERSIONS];
  uint32_t fleet_count;
  uint32_t list_count;
  /* Arrival of the last message in order, by sender and receiver.  */
  bb_usec last_message[BB_DRIVER_NODES][BB_DRIVER_NODES];
  struct bb_driver_result result;
  bool starting; /* new flows are being opened */
  bool trace_events;
  int64_t trace_flow; /* -1: none */
};

/* queue.c */
struct bb_driver_event *bb_driver_schedule (struct bb_driver *d, bb_usec delay,
                                            enum bb_driver_event_kind kind);
void bb_driver_reschedule (struct bb_driver *d, struct bb_driver_event *ev,
                           bb_usec time);
bool bb_driver_next_event (struct bb_driver *d, bb_usec until,
                           struct bb_driver_event *ev);
double bb_driver_draw_exponential (struct bb_driver *d, double mean);
double bb_driver_draw_normal (struct bb_driver *d);
bool bb_driver_draw_chance (struct bb_driver *d, uint32_t ppm);

/* platform.c */
void bb_driver_platform_init (struct bb_driver *d);
void bb_driver_read_config (struct bb_driver *d, struct bb_driver_event *ev);
bool bb_driver_apply_version (struct bb_driver *d, int node,
                              enum bb_document_kind kind, uint64_t version);

/* traffic.c */
void bb_driver_handle_packet (struct bb_driver *d, struct bb_driver_event *ev);
void bb_driver_close_flow (struct bb_driver *d, struct bb_driver_flow *f,
                           enum bb_driver_flow_state state);
void bb_driver_acknowledge (struct bb_driver *d, uint32_t flow);
void bb_driver_break_flow (struct bb_driver *d, uint32_t flow);

/* servers.c */
void bb_driver_handle_server_packet (struct bb_driver *d,
                                     struct bb_driver_event *ev);
void bb_driver_handle_flow_timer (struct bb_driver *d,
                                  struct bb_driver_event *ev);
void bb_driver_handle_new_flow (struct bb_driver *d);
void bb_driver_handle_probe (struct bb_driver *d, struct bb_driver_event *ev);
#endif
