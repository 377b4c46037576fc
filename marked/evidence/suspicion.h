/* Failure detection of servers by the packets of callers.  A caller that
   acknowledges more data has been answered; one that retransmits the same
   bytes has not.

   A suspect server gets no new flows, which does little damage if the server
   is in fact alive.  If a server is declared dead, its flows are reset, so
   that callers can connect to other servers.  What a silence shows:

   - A retransmission: the packet was lost, or the request takes longer than
     the 200 ms for which callers wait.  A server acknowledges every second
     packet, so that it does not acknowledge a request of one packet at once.
   - A further retransmission: the same, and one packet or one acknowledgement
     was lost.
   - A copy of a first packet: a packet was lost, or the server holds as many
     flows as it can, and sends nothing to further ones.
   - A packet of a flow that the server was not seen to hold: a server that
     holds as many flows as it can sends nothing to others, which may be those
     that it held before it started again.  It answers the first packet of a
     flow only if it can accept it.
   - A probe without an acknowledgement (evidence/probes.h), of a flow that the
     server accepted or answered since it started: what no live server shows
     unless several packets of that flow are lost.

   So only probes show a death: those of two flows, more than were answered
   since, and no answer of the server at any balancer of the data centre, while
   the link of this balancer works.  */

#ifndef BB_MARKED_SUSPICION_H
#define BB_MARKED_SUSPICION_H

#include "marked/evidence/probes.h"

/* A silence of a server begins with a retransmission of a caller.  It ends
   with an answer, or after this time without retransmissions, and so does a
   suspicion.  The time is close to 1.6 s, the longest pause of a caller
   between retransmissions.  */
#define BB_SUSPICION_TIME (1500 * BB_MSEC)

enum
{
  /* Limit of the silent flows of one server that a balancer reports.  */
  BB_SILENCE_FLOWS_MAX = 100,
};

/* Silence of a server at one balancer: flows whose caller retransmitted a
   packet for the first time, and the link of the balancer has worked all the
   time since the packet itself.  */
struct bb_silence
{
  uint32_t flows; /* 0: none */
  bb_usec since;  /* first of these retransmissions */
  struct bb_probe_counts probes;
  /* The server answered late, but not long ago.  Older builds then wait before
     they take it to be dead.  */
  bool is_slow;
};

/* Retransmissions of one flow.  */
struct bb_flow_silence
{
  uint32_t id;     /* last silence of the server that counts it; 0: none */
  uint8_t repeats; /* in that silence, of the same data; at most UINT8_MAX */
  bool has_failed; /* a probe of it, in that silence */
};

/* Silences of a server at the peers, as in their last heartbeats.  */
struct bb_peer_silence
{
  uint32_t peers;
  uint32_t failed;      /* probes */
  bb_usec since;        /* of the longest one; 0: none */
  bb_usec first_failed; /* when the first of these was sent; 0: none */
  uint32_t answered;    /* probes, since the first one that failed */
};

/* A server that is declared dead gets no new flows for this time, unless it
   answers: without flows there are no retransmissions, and the registry
   removes its entry 3.6 s after its last heartbeat.  */
#define BB_DEAD_TIME (4 * BB_SEC)

/* Evidence on one server from the packets of callers.  */
struct bb_suspicion_evidence
{
  bb_usec last_answer;  /* last answer or acknowledgement seen here; 0: none */
  bb_usec silent_since; /* first retransmission of the silence; 0: none */
  bb_usec last_repeat;  /* last retransmission */
  uint32_t silence_id;  /* number of the current or last silence */
  uint32_t repeats;     /* retransmissions since silent_since */
  uint32_t silent_flows; /* flows with retransmissions since silent_since */
  struct bb_probes probes;
  bb_usec suspect_until;
  bb_usec last_peer_answer;  /* last report of an answer by a peer; 0: never */
  struct bb_silence silence; /* here; part of the silence above */
  struct bb_peer_silence peer_silence;
  bool is_slow; /* as in struct bb_silence */
  /* A silence is evidence against the server only while the link of this
     balancer works.  */
  bb_usec link_proven_since; /* time the link was seen to work; 0: not yet */
  /* First retransmission after link_proven_since; 0: none.  */
  bb_usec first_proven_repeat;
  uint32_t proven_repeats; /* retransmissions after link_proven_since */
  bool is_declared_dead;   /* dead, and its flows were reset */
};

/* Records that a caller was answered or that the server acknowledged data.
   Returns whether the server was suspect.  */
bool bb_suspicion_add_answer (struct bb_suspicion_evidence *e, bb_usec now);

/* Records a retransmission of an open flow, whose FLOW is updated, so that
   each flow is counted once per silence.  Returns whether the server has
   become suspect.  */
bool bb_suspicion_add_repeat (struct bb_suspicion_evidence *e,
                              struct bb_flow_silence *flow, bb_usec now);

/* Records a copy of the first packet of a flow, in the same way.  */
bool bb_suspicion_add_first_packet_copy (struct bb_suspicion_evidence *e,
                                         struct bb_flow_silence *flow,
                                         bb_usec now);

/* Records the report of a peer that the server answered recently.  */
void bb_suspicion_add_peer_answer (struct bb_suspicion_evidence *e,
                                   bb_usec now);

/* Whether the server answered at this balancer so recently that the answer is
   reported to peers.  */
bool bb_suspicion_is_answering (const struct bb_suspicion_evidence *e,
                                bb_usec now);

/* Whether the server gets no new flows.  */
bool bb_suspicion_is_suspect (const struct bb_suspicion_evidence *e,
                              bb_usec now);

/* Whether callers retransmitted recently without an answer.  */
bool bb_suspicion_is_silent (const struct bb_suspicion_evidence *e,
                             bb_usec now);

/* Whether the server sends nothing to several callers: it is dead, its
   requests take long, or it holds as many flows as it can.  The cause may also
   be the link of this balancer.  */
bool bb_suspicion_is_unresponsive (const struct bb_suspicion_evidence *e,
                                   bb_usec now);

/* Whether the evidence from callers and peers shows that the server is dead.
   The cause may still be the link of this balancer.  */
bool bb_suspicion_is_dead (const struct bb_suspicion_evidence *e, bb_usec now);

/* Whether the server is dead and the link of this balancer is not the cause:
   callers retransmitted after the link was seen to work, and there was time
   for an answer.  */
bool bb_suspicion_is_proven (const struct bb_suspicion_evidence *e,
                             bb_usec now);

/* Records a retransmission that counts in a struct bb_silence.  */
void bb_suspicion_add_silent_flow (struct bb_suspicion_evidence *e,
                                   bb_usec now);

/* Records that the probe of FLOW that was sent at SENT has failed.
   HAS_LINK_WORKED is whether the link of this balancer has worked whenever the
   caller sent the packet.  Returns whether this is the first such probe to
   report to the peers.  */
bool bb_suspicion_add_failed_probe (struct bb_suspicion_evidence *e,
                                    struct bb_flow_silence *flow, bb_usec sent,
                                    bool has_link_worked, bb_usec now);

/* Returns the silence to report to the peers.  */
struct bb_silence bb_suspicion_silence (const struct bb_suspicion_evidence *e,
                                        bb_usec now);

/* Add and remove the silence that a peer reported.  */
void bb_suspicion_add_peer_silence (struct bb_suspicion_evidence *e,
                                    const struct bb_silence *silence,
                                    bb_usec now);
void bb_suspicion_remove_peer_silence (struct bb_suspicion_evidence *e,
                                       const struct bb_silence *silence);

/* Evaluate the silences of the peers again, after some have ended: from none,
   first each one that is left is compared with the longest, and then its
   answered probes are added.  */
void bb_suspicion_begin_comparison (struct bb_suspicion_evidence *e);
void bb_suspicion_compare_silence (struct bb_suspicion_evidence *e,
                                   const struct bb_silence *silence);
void bb_suspicion_add_answered_probes (struct bb_suspicion_evidence *e,
                                       const struct bb_silence *silence,
                                       bb_usec now);

/* Whether the silences of several balancers together show that the server is
   dead.  Each of them found that its link works.  */
bool bb_suspicion_is_dead_for_peers (const struct bb_suspicion_evidence *e,
                                     bb_usec now);

/* Records that the server is dead.  */
void bb_suspicion_declare_dead (struct bb_suspicion_evidence *e, bb_usec now);

/* Records in the evidence on a silent server whether the link of this balancer
   works.  */
void bb_suspicion_set_link_state (struct bb_suspicion_evidence *e,
                                  bool is_link_working, bb_usec now);
#endif
