/* World of driver/overload.h, private to driver/overload*.c.  */

#ifndef BB_DRIVER_OVERLOAD_PRIVATE_H
#define BB_DRIVER_OVERLOAD_PRIVATE_H

#include "driver/overload.h"
#include "marked/balancer.h"

enum
{
  BB_OVERLOAD_BALANCERS_MAX = 300,
  BB_OVERLOAD_SERVERS_MAX = 128,
  BB_OVERLOAD_QUEUE_MAX = 32,
  BB_OVERLOAD_NETWORK_MS = 1, /* one way, between a caller and the rest */
};

struct world;
struct flow;

struct request
{
  int data_centre;
  int kind;
  int caller;
  int attempts;
  bb_usec first;
  bool is_counted; /* first sent in the peak */
  bool is_over;
};

struct flow
{
  int kind;
  int caller;
  struct marked_node *node;
  struct server *server;
  uint32_t cookie;
  uint16_t port;
  uint32_t sequence;
  uint32_t acknowledgement;
  bool is_idle;
  struct request *request;
};

struct server
{
  struct flow *waiting[BB_OVERLOAD_QUEUE_MAX];
  struct flow **running; /* one for each slot; NULL: free */
  bb_usec *due;
  int waiting_count;
  bool is_slow;
  bb_usec joined; /* 0: before the peak */
};

struct marked_node
{
  struct world *world;
  struct bb_marked *marked;
  unsigned index;
};

typedef void bb_overload_func (struct world *w, struct flow *f,
                               struct request *q);

/* Something that happens to a flow, or a new attempt of a request.  */
struct event
{
  bb_overload_func *happen;
  struct flow *flow;
  struct request *request;
};

/* A message between balancers that is under way.  */
struct report
{
  struct bb_sync_message *message; /* shared by its recipients */
  unsigned from;
  unsigned to;
};

struct world
{
  const struct bb_overload_day *day;
  struct bb_overload_result result;
  struct marked_node nodes[BB_OVERLOAD_BALANCERS_MAX];
  struct server servers[BB_OVERLOAD_SERVERS_MAX];
  GPtrArray *flows;
  GPtrArray *requests;
  GArray **events;  /* of each millisecond */
  GArray **reports; /* of each millisecond */
  unsigned length_ms;
  GRand *random;
  unsigned requests_of[BB_OVERLOAD_DATA_CENTRES_MAX]; /* of the peak */
  bb_overload_placed_func *placed;
  void *context;
  bb_usec now;
};

/* Calls HAPPEN after DELAY_MS, in the next millisecond at the earliest.  */
void bb_overload_schedule (struct world *w, int delay_ms,
                           bb_overload_func *happen, struct flow *f,
                           struct request *q);

/* overload.c  */
bool bb_overload_is_peak (const struct world *w);
bb_usec bb_overload_peak_start (void);

/* Returns the data centre of the balancer or server with INDEX.  */
int bb_overload_data_centre (const struct world *w, unsigned index);

/* overload_nodes.c: the balancers.  */
/* Returns a balancer of DATA_CENTRE, as the routers choose it.  */
struct marked_node *bb_overload_draw_node (struct world *w, int data_centre);

/* Lists the servers that join with the peak.  */
void bb_overload_join_servers (struct world *w);

/* overload_reports.c: messages between balancers.  */
struct bb_endpoint bb_overload_node_endpoint (unsigned index);
void bb_overload_send_report (void *context, const struct bb_endpoint *to,
                              size_t count,
                              const struct bb_sync_message *message);
void bb_overload_deliver_reports (struct world *w);
void bb_overload_free_reports (struct world *w);

void bb_overload_start_node (struct world *w, unsigned index, uint32_t seed);

/* Passes a packet of F to its balancer.  */
struct bb_marked_verdict bb_overload_send_packet (const struct world *w,
                                                  const struct flow *f,
                                                  uint8_t flags,
                                                  uint16_t payload);

/* overload_servers.c  */
/* Queues the request of F at its server, or rejects it if the queue is full.
 */
bb_overload_func bb_overload_reach_server;

/* Ends the requests of S that are done and starts the next ones.  */
void bb_overload_run_server (struct world *w, struct server *s);

/* overload_callers.c  */
bb_overload_func bb_overload_start_attempt;
bb_overload_func bb_overload_receive_answer;

/* The server answers that the request has not run.  */
bb_overload_func bb_overload_receive_rejection;
#endif
