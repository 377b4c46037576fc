/* State of the balancer, for the files of this package.  */

#ifndef BB_MARKED_BALANCER_PRIVATE_H
#define BB_MARKED_BALANCER_PRIVATE_H

#include "marked/balancer.h"
#include "marked/flows.h"
#include "marked/path_delay.h"

enum
{
  ENDED_SERVERS_MAX = 64, /* servers that ended_servers since the last tick */
};

struct bb_marked
{
  struct bb_marked_options options;
  const struct bb_marked_sink *sink;
  void *context;
  struct bb_directory *directory;
  struct bb_sync *sync;
  struct bb_marked_flows *flows;
  GRand *random;
  bb_usec last_sweep;
  bb_usec removal_grace_end; /* entries that expired may come back before */
  bb_usec last_repeat;       /* last repetition of any caller */
  bool is_isolated; /* most servers are silent: the own link may be down */
  struct bb_path_delay path_delay;
  GArray
      *alive_times; /* bb_usec; when servers were alive_times, for one tick */
  struct bb_backend_server *ended_servers[ENDED_SERVERS_MAX];
  uint32_t ended_count;
  struct bb_marked_counters counters;
  struct bb_histogram answer_times;
  struct bb_histogram open_times;
};

/* knowledge.c */
void bb_marked_send_event (struct bb_marked *m, enum bb_event_kind kind,
                           const struct bb_backend_server *s, uint64_t flow,
                           uint64_t value, enum bb_reason reason, bb_usec now);

/* Milliseconds of the flow table; never 0, which stands for "none".  */
uint32_t bb_marked_time_ms (bb_usec now);

/* observe.c: what packets show of servers.  */
void bb_marked_uncount_flow (void *context, const struct bb_marked_flow *flow);
/* FLOW was answered.  */
void bb_marked_record_answer (struct bb_marked *m, struct bb_backend_server *s,
                              const struct bb_marked_flow *flow, bb_usec now);

/* FLOW repeats itself.  */
void bb_marked_record_repeat (struct bb_marked *m, struct bb_backend_server *s,
                              struct bb_marked_flow *flow, bb_usec now);

/* Learns from a packet of an open flow how its server does.  */
void bb_marked_observe_packet (struct bb_marked *m, struct bb_marked_flow *f,
                               struct bb_backend_server *s,
                               const struct bb_packet *p, bb_usec now);

/* ended_servers.c: flows of servers that have ended_servers.  */

/* The flows of S are reset with the next tick; those that find no place in the
   list are reset one by one, when they send data.  */
void bb_marked_add_ended_server (struct bb_marked *m,
                                 struct bb_backend_server *s);

/* Whether S has ended_servers for sure.  A server that announced its end has
   ended_servers when it is not listed any more.  Of another one the registry
   may be wrong: a caller that was answered lately shows that it lives.  */
bool bb_marked_server_has_ended (const struct bb_marked *m,
                                 const struct bb_backend_server *s,
                                 bb_usec now);

void bb_marked_reset_ended_flows (struct bb_marked *m, bb_usec now);

/* link.c: tells the silence of servers from that of the own link.  Notes the
   servers that are dead for sure.  */
void bb_marked_check_link (struct bb_marked *m, bb_usec now);

/* The time until which answers have shown here: what callers send after they
   were answered may still wait at a link.  Servers are judged as of then.  */
bb_usec bb_marked_observed_until (const struct bb_marked *m, bb_usec now);
#endif
