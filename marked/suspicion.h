/* Failure detection of servers by the packets of callers.  A caller that
   acknowledges more data has been answered; one that retransmits the same
   bytes has not.

   A suspect server gets no new flows, which costs little if the suspicion is
   wrong.  A server is declared dead, so that its flows are reset and callers
   can go elsewhere, only if several callers agree for longer than a request
   takes, no balancer of the data centre had an answer from it in that time,
   and the balancer's own link is not the cause.  */

#ifndef BB_MARKED_SUSPICION_H
#define BB_MARKED_SUSPICION_H

#include "core/core.h"

/* Callers pause between retransmissions for 1.6 s at most.  A silence without
   retransmissions for about this time counts as over.  */
#define BB_SUSPICION_TIME (1500 * BB_MSEC)

/* Evidence on one server from the packets of callers.  */
struct bb_suspicion_evidence
{
  bb_usec last_alive;         /* last answer or acknowledgement */
  bb_usec silent_since;       /* first retransmission after it; 0: none */
  bb_usec last_repeat;        /* last retransmission */
  uint32_t silence_id;        /* number of the current or last silence */
  uint32_t repeats;           /* retransmissions since silent_since */
  uint32_t silent_flows;      /* flows with retransmissions since then */
  bb_usec suspect_until;      /* by the evidence here */
  bb_usec peer_suspect_until; /* by reports of peers */
  bb_usec last_peer_answer; /* last report of an answer by a peer; 0: never */
  /* A silence is evidence against the server only while the own link works. */
  bb_usec link_proven_since;   /* when it was first seen to work; 0: not yet */
  bb_usec first_proven_repeat; /* first retransmission after that; 0: none */
  uint32_t proven_repeats;     /* retransmissions after that */
  bool is_declared_dead;       /* dead, and its flows were reset */
};

/* Records that a caller was answered or that the server acknowledged data.
   Returns whether the server was suspect.  */
bool bb_suspicion_add_answer (struct bb_suspicion_evidence *e, bb_usec now);

/* Records a retransmission.  *FLOW_SILENCE_ID is the silence in which the flow
   was last counted, so that a flow counts once in each; it is updated.
   Returns whether the server has become suspect.  */
bool bb_suspicion_add_repeat (struct bb_suspicion_evidence *e,
                              uint32_t *flow_silence_id, bb_usec now);

/* Record the report of a peer: the server is suspect there, or it answered
   there recently.  */
void bb_suspicion_add_peer_silence (struct bb_suspicion_evidence *e,
                                    bb_usec until);
void bb_suspicion_add_peer_answer (struct bb_suspicion_evidence *e,
                                   bb_usec now);

/* Whether the server answered here so recently that it is reported to peers.
 */
bool bb_suspicion_is_answering (const struct bb_suspicion_evidence *e,
                                bb_usec now);

/* Whether the server gets no new flows.  */
bool bb_suspicion_is_suspect (const struct bb_suspicion_evidence *e,
                              bb_usec now);

/* Whether to report the server to peers as suspect.  Reports of peers do not
   count, or balancers would confirm each other for ever.  */
bool bb_suspicion_is_reportable (const struct bb_suspicion_evidence *e,
                                 bb_usec now);

/* Whether callers retransmitted recently without an answer.  */
bool bb_suspicion_is_silent (const struct bb_suspicion_evidence *e,
                             bb_usec now);

/* Whether the callers here agree that the server is dead.  The cause may still
   be the own link.  */
bool bb_suspicion_is_dead (const struct bb_suspicion_evidence *e, bb_usec now);

/* Whether the server is dead and the own link is not the cause: callers
   retransmitted after the link was seen to work, and there was time for an
   answer.  */
bool bb_suspicion_is_proven (const struct bb_suspicion_evidence *e,
                             bb_usec now);

/* Sets whether the own link works, for the evidence on a silent server.  */
void bb_suspicion_set_link_state (struct bb_suspicion_evidence *e,
                                  bool is_link_working, bb_usec now);
#endif
