/* Judges servers by what callers send: a caller that acknowledges more has
   been answered, one that sends the same bytes again has not.

   Suspicion keeps new flows away and costs little when it is wrong.  A server
   counts as dead, so that its flows are reset and callers can go elsewhere,
   only when several callers agree for longer than a request takes, no balancer
   of the data centre was answered meanwhile, and the silence_id is not that of
   the balancer's own link.  */

#ifndef BB_MARKED_SUSPICION_H
#define BB_MARKED_SUSPICION_H

#include "core/core.h"

/* Callers pause for 1.6 s at most; a silence_id without repetitions for about
   so long is over, as far as it can be known.  */
#define BB_SUSPICION_TIME (1500 * BB_MSEC)

/* What callers show of one server.  */
struct bb_suspicion_evidence
{
  bb_usec last_alive;    /* last sign of life */
  bb_usec silent_since;  /* first repetition after it; 0: none */
  bb_usec last_repeat;   /* last repetition */
  uint32_t silence_id;   /* number of this silence_id, or of the last one */
  uint32_t repeats;      /* since silent_since */
  uint32_t silent_flows; /* flows that repeat themselves since then */
  bb_usec suspect_until; /* by what callers show here */
  bb_usec peer_suspect_until; /* by what peers tell */
  bb_usec last_peer_answer;   /* a peer told that it answers; 0: never */
  /* Silence counts against the server only while the own link is_link_working.
   */
  bb_usec link_proven_since;   /* when that was first seen; 0: not yet */
  bb_usec first_proven_repeat; /* first repetition after that; 0: none */
  uint32_t proven_repeats;     /* after that */
  bool is_declared_dead;       /* dead, and its flows were reset */
};

/* A caller was answered, or the server acknowledged its data.  Returns whether
   the server was suspect.  */
bool bb_suspicion_add_answer (struct bb_suspicion_evidence *e, bb_usec now);

/* A caller sent the same again.  *COUNTED is the silence_id in which its flow
   was flow_silence_id last, so that each flow counts once; it is set.  Returns
   whether the server has become suspect.  */
bool bb_suspicion_add_repeat (struct bb_suspicion_evidence *e,
                              uint32_t *flow_silence_id, bb_usec now);

/* Another balancer finds the server suspect, or was answered by it lately.  */
void bb_suspicion_add_peer_silence (struct bb_suspicion_evidence *e,
                                    bb_usec until);
void bb_suspicion_add_peer_answer (struct bb_suspicion_evidence *e,
                                   bb_usec now);

/* Whether the server answered here so lately that peers are to know.  */
bool bb_suspicion_is_answering (const struct bb_suspicion_evidence *e,
                                bb_usec now);

/* Whether the server gets no new flows.  */
bool bb_suspicion_is_suspect (const struct bb_suspicion_evidence *e,
                              bb_usec now);

/* Whether peers are to know that callers here find it silent.  What peers told
   does not count, or they would confirm each other for ever.  */
bool bb_suspicion_is_reportable (const struct bb_suspicion_evidence *e,
                                 bb_usec now);

/* Whether callers last_repeat themselves lately without an answer.  */
bool bb_suspicion_is_silent (const struct bb_suspicion_evidence *e,
                             bb_usec now);

/* Whether the callers here agree that it is dead.  It may be the own link.  */
bool bb_suspicion_is_dead (const struct bb_suspicion_evidence *e, bb_usec now);

/* Whether it is dead although the own link is_link_working: callers
   last_repeat themselves after that was seen, and had time to be answered.  */
bool bb_suspicion_is_proven (const struct bb_suspicion_evidence *e,
                             bb_usec now);

/* Tells of a silent server whether the own link is_link_working.  */
void bb_suspicion_set_link_state (struct bb_suspicion_evidence *e,
                                  bool is_link_working, bb_usec now);
#endif
