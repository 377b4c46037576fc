/* Handles packets of one kind for bench/instructions.sh, which counts the
   instructions.  Usage: instructions KIND PACKETS, where KIND is the number of
   a row of the table below; "instructions list" prints the rows.  The work
   before the packets does not depend on PACKETS, which is at most FLOWS.  */

#include "bench/common_engine.h"
#include "wire/wire.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  PEERS = 8,    /* the site Restrepo has up to 9 balancers */
  SERVERS = 14, /* servers of the order desk */
  CAPACITY = 300000,
  FLOWS = 3000,
  PAYLOAD = 16,
};

/* The work for a packet depends on its bucket, on where the packet comes from,
   and on whether its flow was recorded.  The verdict on the SYN of the flow
   shows whether the flow was recorded.  */
struct kind
{
  const char *name;
  bool is_new_flow;
  bool tracked;
  bool has_handover; /* received from a peer, with FLAGS */
  uint8_t flags;
  enum bb_verdict_kind syn_verdict;
  uint8_t syn_flags; /* hand-over flags of the verdict on the SYN */
};

static const struct kind kinds[] = {
  { "untracked", .syn_verdict = BB_VERDICT_FORWARD },
  { "tracked_ingress", .tracked = true, .syn_verdict = BB_VERDICT_HAND_OVER },
  { "recorded_owner", .tracked = true, .has_handover = true,
    .syn_verdict = BB_VERDICT_HAND_OVER, .syn_flags = BB_HAND_RECORD },
  { "recorded_ingress_owner", .tracked = true,
    .syn_verdict = BB_VERDICT_HAND_OVER, .syn_flags = BB_HAND_RECORD },
  { "on_base_owner", .tracked = true, .has_handover = true,
    .syn_verdict = BB_VERDICT_FORWARD },
  { "on_base_ingress_owner", .tracked = true,
    .syn_verdict = BB_VERDICT_FORWARD },
  { "untracked", .is_new_flow = true, .syn_verdict = BB_VERDICT_FORWARD },
  { "tracked_ingress", .is_new_flow = true, .tracked = true,
    .syn_verdict = BB_VERDICT_HAND_OVER },
  { "recorded_owner", .is_new_flow = true, .tracked = true,
    .has_handover = true, .syn_verdict = BB_VERDICT_HAND_OVER,
    .syn_flags = BB_HAND_RECORD },
  { "recorded_ingress_owner", .is_new_flow = true, .tracked = true,
    .syn_verdict = BB_VERDICT_HAND_OVER, .syn_flags = BB_HAND_RECORD },
  { "recorded_replica", .is_new_flow = true, .tracked = true,
    .has_handover = true, .flags = BB_HAND_RECORD,
    .syn_verdict = BB_VERDICT_HAND_OVER, .syn_flags = BB_HAND_RECORD },
};

struct run
{
  const struct kind *kind;
  struct bb_fleet *fleet;
  struct bb_handover handover;
  uint32_t flows[FLOWS];
  uint8_t packets[FLOWS][BENCH_PACKET_MAX];
  size_t length;
};

/* Handles one datagram as the data path does, without the system calls.  */
static void
handle_packet (struct bench_engine *b, const uint8_t *data, size_t length,
               struct bb_verdict *v)
{
  struct bb_packet packet;
  struct bb_handover handover;
  size_t header;
  bool has_handover;
  uint8_t out[BB_GUE_HEADER + BB_GUE_HANDOVER];
  v->kind = BB_VERDICT_DROP;
  if (bb_gue_decode (data, length, &header, &has_handover, &handover)
      || bb_packet_parse (data + header, length - header, &packet))
    return;
  bb_engine_handle_packet (b->e, &packet, has_handover ? &handover : NULL,
                           b->now, v);
  bool hands_over = v->kind == BB_VERDICT_HAND_OVER;
  if (hands_over || v->kind == BB_VERDICT_FORWARD)
    bb_gue_encode (out, hands_over ? &v->handover : NULL);
}

static size_t
write_packet (const struct run *r, uint8_t *data, uint32_t flow, uint8_t flags)
{
  return bench_write_packet (data, flow, &r->fleet->services[0].address,
                             r->kind->has_handover ? &r->handover : NULL,
                             flags, flags & BB_TCP_SYN ? 0 : PAYLOAD);
}

static bool
is_tracked (struct bench_engine *b, const uint8_t *data, size_t length)
{
  struct bb_packet packet = { .source = 0 };
  struct bb_handover handover;
  struct bb_explanation x;
  size_t header;
  bool has_handover;
  if (bb_gue_decode (data, length, &header, &has_handover, &handover)
      || bb_packet_parse (data + header, length - header, &packet))
    return false;
  return bb_engine_explain (b->e, &packet, &x) && x.tracked;
}

/* Selects flows of the kind, with an engine that is used for nothing else.  */
static void
select_flows (struct run *r)
{
  struct bench_engine *b
      = bench_start_engine (r->fleet, PEERS, CAPACITY, BENCH_START);
  uint32_t selected = 0;
  for (uint32_t flow = 0; selected < FLOWS; flow++)
    {
      uint8_t data[BENCH_PACKET_MAX];
      struct bb_verdict v;
      size_t length = write_packet (r, data, flow, BB_TCP_SYN);
      handle_packet (b, data, length, &v);
      uint8_t flags = v.kind == BB_VERDICT_HAND_OVER ? v.handover.flags : 0;
      if (v.kind == r->kind->syn_verdict && flags == r->kind->syn_flags
          && is_tracked (b, data, length) == r->kind->tracked)
        r->flows[selected++] = flow;
    }
  bench_stop_engine (b);
}

static void
write_packets (struct run *r, uint8_t flags)
{
  for (uint32_t i = 0; i < FLOWS; i++)
    r->length = write_packet (r, r->packets[i], r->flows[i], flags);
}

/* Handles the first COUNT packets and returns the number of verdicts that
   differ from EXPECTED.  */
static uint32_t
handle_packets (struct run *r, struct bench_engine *b, uint32_t count,
                enum bb_verdict_kind expected)
{
  uint32_t wrong = 0;
  for (uint32_t i = 0; i < count; i++)
    {
      struct bb_verdict v;
      handle_packet (b, r->packets[i], r->length, &v);
      wrong += v.kind != expected;
    }
  return wrong;
}

static int
list_kinds (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    printf ("%zu %s %s\n", i, kinds[i].is_new_flow ? "new" : "established",
            kinds[i].name);
  return EXIT_SUCCESS;
}

static struct run *
make_run (const struct kind *kind)
{
  struct run *r = g_new0 (struct run, 1);
  r->kind = kind;
  r->fleet = bench_make_fleet (
      1, SERVERS, kind->tracked ? BB_POLICY_EVEN : BB_POLICY_TABLE);
  /* All buckets are load-aware, so that select_flows tries few flows.  */
  r->fleet->services[0].spill_permille = 1000;
  r->handover = (struct bb_handover){ .hops = 1,
                                      .flags = kind->flags,
                                      .visited = { 1 } };
  r->handover.server = r->fleet->services[0].servers[0].key;
  select_flows (r);
  write_packets (r, BB_TCP_SYN);
  return r;
}

/* Opens the flows.  An ACK completes each flow before the packets that are
   counted, which have the next sequence number.  Returns the verdict expected
   for those packets.  */
static enum bb_verdict_kind
establish_flows (struct run *r, struct bench_engine *b)
{
  handle_packets (r, b, FLOWS, r->kind->syn_verdict);
  write_packets (r, BB_TCP_ACK);
  handle_packets (r, b, FLOWS, r->kind->syn_verdict);
  for (uint32_t i = 0; i < FLOWS; i++)
    r->packets[i][r->length - PAYLOAD - 13]++;
  bool recorded = r->kind->syn_flags & BB_HAND_RECORD;
  return recorded ? BB_VERDICT_FORWARD : r->kind->syn_verdict;
}

int
main (int argc, char **argv)
{
  if (argc != 3)
    return list_kinds ();
  struct run *r
      = make_run (&kinds[strtoul (argv[1], NULL, 10) % G_N_ELEMENTS (kinds)]);
  struct bench_engine *b
      = bench_start_engine (r->fleet, PEERS, CAPACITY, BENCH_START);
  enum bb_verdict_kind expected = r->kind->syn_verdict;
  if (!r->kind->is_new_flow)
    expected = establish_flows (r, b);
  uint32_t count = MIN ((uint32_t)strtoul (argv[2], NULL, 10), FLOWS);
  uint32_t wrong = handle_packets (r, b, count, expected);
  bench_stop_engine (b);
  bb_fleet_free (r->fleet);
  g_free (r);
  if (wrong)
    fprintf (stderr, "%u of %u packets had an unexpected verdict\n", wrong,
             count);
  return wrong ? EXIT_FAILURE : EXIT_SUCCESS;
}
