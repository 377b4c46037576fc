/* State of the balancer, private to marked/.  */

#ifndef BB_MARKED_BALANCER_PRIVATE_H
#define BB_MARKED_BALANCER_PRIVATE_H

#include "marked/balancer.h"
#include "marked/evidence/path_delay.h"
#include "marked/flows.h"

enum
{
  SHORT_ANSWERS_MAX = 128,
};

/* A probe (evidence/probes.h) of which copies are still to be sent.  */
struct bb_pending_probe
{
  uint64_t flow;        /* hash */
  unsigned copies_left; /* 0: free */
};

/* A short answer of which more may follow.  */
struct bb_short_answer
{
  uint64_t flow; /* hash */
  uint32_t answer_start;
  uint32_t due_ms;
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
  struct bb_recent_callers recent_callers;
  bb_usec last_sweep;
  bb_usec last_tick;
  bb_usec last_freeze_end;   /* 0: never frozen */
  bb_usec removal_grace_end; /* expired entries may come back before this */
  bb_usec last_repeat;       /* last retransmission by any caller */
  bb_usec last_answer;       /* last answer of any server */
  bb_usec answered_since;    /* no longer gap between answers since then */
  bb_usec answered_sent;     /* arrival of the newest packet answered since */
  /* Most servers are silent: the link of this balancer may have failed.  */
  bool is_isolated;
  struct bb_path_delay path_delay;
  /* Times of the last answers of servers, bb_usec.  Valid for one tick.  */
  GArray *alive_times;
  GPtrArray *ended_servers; /* since the last tick */
  /* A ring; the counts run on.  */
  struct bb_short_answer short_answers[SHORT_ANSWERS_MAX];
  uint32_t short_answers_begin, short_answers_end;
  struct bb_pending_probe probes[BB_MARKED_PROBE_SLOTS];
  unsigned pending_probes;
  uint32_t owned_cold_servers;
  struct bb_marked_counters counters;
  struct bb_histogram answer_times;
  struct bb_histogram open_times;
};

/* balancer_state.c  */
void bb_marked_send_event (struct bb_marked *m, enum bb_event_kind kind,
                           const struct bb_backend_server *s, uint64_t flow,
                           uint64_t value, enum bb_reason reason, bb_usec now);

/* Time in milliseconds for the flow table.  Never 0, which stands for "none".
 */
uint32_t bb_marked_time_ms (bb_usec now);

/* Returns the time of AT_MS, a time of the flow table that is less than 49
   days before NOW.  */
bb_usec bb_marked_time_of (uint32_t at_ms, bb_usec now);

/* cold_servers.c: which cold servers this balancer owns.  */
/* Decides whether this balancer owns the cold servers of its data centre, as
   of this tick.  */
void bb_marked_check_cold_servers (struct bb_marked *m, bb_usec now);
/* Takes part in the division of cold servers if a service limits them.  */
void bb_marked_enable_cold_owner (struct bb_marked *m);

/* observe.c: evidence on servers from the packets of callers.  */
/* Subtracts a removed FLOW from the load of its server.  */
void bb_marked_uncount_flow (void *context, const struct bb_marked_flow *flow);
/* Records that the caller of FLOW closed it.  The entry stays in the table:
   packets that arrive after the last one must not count as a new flow.  */
void bb_marked_close_flow (struct bb_marked *m, struct bb_marked_flow *flow);
/* Records that the caller of FLOW was answered.  */
void bb_marked_record_answer (struct bb_marked *m, struct bb_backend_server *s,
                              const struct bb_marked_flow *flow, bb_usec now);

/* Records that the pending packet of FLOW reached its server, unless it is not
   known which of its transmissions did.  */
void bb_marked_record_delivery (struct bb_marked *m,
                                const struct bb_marked_flow *flow,
                                bb_usec now);

/* Records that the caller of FLOW retransmitted a packet.  */
void bb_marked_record_repeat (struct bb_marked *m, struct bb_backend_server *s,
                              struct bb_marked_flow *flow, bb_usec now);

/* Whether the last answers of S came later than callers wait before they
   retransmit.  */
bool bb_marked_server_is_slow (const struct bb_backend_server *s);

/* Evaluates a packet of an open flow of ROUTE as evidence on its server.
   Returns whether the server is to acknowledge it: it has data, new or
   retransmitted.  */
bool bb_marked_observe_packet (struct bb_marked *m, struct bb_route *route,
                               struct bb_marked_flow *f,
                               struct bb_backend_server *s,
                               const struct bb_packet *p, bb_usec now);

/* probing.c: packets that are sent several times.  */
/* Time in which the copies of a probe are sent, three ticks.  */
#define BB_MARKED_PROBE_TIME (150 * BB_MSEC)
/* Makes the packet of F that was just received a probe if that may show
   whether S is dead.  Returns the slot for the packet, 0 if it is none.  */
unsigned bb_marked_start_probe (struct bb_marked *m,
                                struct bb_backend_server *s,
                                struct bb_marked_flow *f, bb_usec now);
/* Ends the probe of F, whose caller has sent something else.  */
void bb_marked_withdraw_probe (struct bb_marked *m, struct bb_marked_flow *f);
void bb_marked_send_probe_copies (struct bb_marked *m);

/* answers.c: the lengths of answers as evidence on servers.  */
/* Records that the caller of F sent a request.  */
void bb_marked_begin_answer (struct bb_marked *m, struct bb_route *route,
                             struct bb_marked_flow *f,
                             struct bb_backend_server *s, bb_usec now);
/* Records that the caller of F received more of the answer.  */
void bb_marked_continue_answer (struct bb_marked *m,
                                const struct bb_route *route,
                                struct bb_marked_flow *f,
                                struct bb_backend_server *s, bb_usec now);
/* Records that the caller of F received the whole answer.  */
void bb_marked_end_answer (struct bb_marked *m, struct bb_route *route,
                           struct bb_marked_flow *f,
                           struct bb_backend_server *s, bb_usec now);
/* Counts short answers of which no more followed.  */
void bb_marked_count_short_answers (struct bb_marked *m, bb_usec now);
/* Trusts failing servers that answer again or got no requests for long.  */
void bb_marked_review_failing_servers (struct bb_marked *m, bb_usec now);

/* flow_resets.c: resets the flows of servers that have ended.  */

/* Marks the flows of S to be reset by the next tick.  */
void bb_marked_add_ended_server (struct bb_marked *m,
                                 struct bb_backend_server *s);

/* Whether S has certainly ended.  A listed server has ended if it is proven
   to be dead.  A removed server that announced its end has ended unless it
   answered after the removal.  For any other removed server the registry may
   be wrong: a recent answer to a caller proves that the server is alive.  */
bool bb_marked_server_has_ended (const struct bb_marked *m,
                                 const struct bb_backend_server *s,
                                 bb_usec now);

void bb_marked_reset_ended_flows (struct bb_marked *m, bb_usec now);

/* link_check.c: distinguishes silent servers from a failure of this balancer's
   link.  Adds servers that are certainly dead to the list of ended servers.
 */
void bb_marked_check_link (struct bb_marked *m, bb_usec now);

/* Adds the servers that are dead by the silences of several balancers.  */
void bb_marked_check_peer_silences (struct bb_marked *m, bb_usec now);

/* Returns the time up to which all answers have been observed here.  Packets
   that callers sent after later answers may still be queued at a link, so
   servers are evaluated as of this time.  */
bb_usec bb_marked_observed_until (const struct bb_marked *m, bb_usec now);
#endif
