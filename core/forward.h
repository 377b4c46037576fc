/* Context of one packet, shared by the files of the packet path.  */

#ifndef BB_CORE_FORWARD_H
#define BB_CORE_FORWARD_H

#include "core/engine_private.h"

#include <netinet/in.h>

struct bb_packet_context
{
  struct bb_engine *e;
  struct bb_service_state *s;
  const struct bb_packet *p;
  const struct bb_handover *h; /* NULL: from the fabric */
  struct bb_verdict *v;        /* to be filled */
  uint64_t hash;               /* of the flow */
  uint32_t bucket;
  bool table_searched; /* the flow table was searched here */
  bb_usec now;
};

static inline bool
bb_is_syn (const struct bb_packet *p)
{
  return (p->tcp_flags & (BB_TCP_SYN | BB_TCP_ACK)) == BB_TCP_SYN
         && p->protocol == IPPROTO_TCP;
}

static inline bool
bb_is_fin_or_rst (const struct bb_packet *p)
{
  return p->tcp_flags & (BB_TCP_FIN | BB_TCP_RST);
}

/* A datagram flow has no recognisable first packet, so any packet may open
   it.  */
static inline bool
bb_may_open_flow (const struct bb_packet *p)
{
  return bb_is_syn (p) || p->protocol == IPPROTO_UDP;
}

/* forward.c: the verdicts.  */
void bb_forward_drop (struct bb_packet_context *c, enum bb_drop kind);
void bb_forward_to_server (struct bb_packet_context *c, uint16_t slot);
/* Hands the packet over to MEMBER of the view.  */
void bb_forward_to_member (struct bb_packet_context *c, uint32_t member,
                           uint8_t flags, uint32_t server);
/* Passes the packet along the replicas; the last of them forwards it.  */
void bb_forward_along_replicas (struct bb_packet_context *c, uint16_t slot);

/* forward_miss.c: a flow without an entry.  */
uint16_t bb_forward_default_server (const struct bb_packet_context *c);
void bb_forward_without_entry (struct bb_packet_context *c);

/* forward_repetition.c: silent flows.  */
bool bb_forward_is_repetition (struct bb_packet_context *c);
/* Counts a repetition at the flow's owner.  Returns whether a verdict was
   given.  */
bool bb_forward_count_repetition (struct bb_packet_context *c);
#endif
