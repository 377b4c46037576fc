/* An engine with simulated peers, for measurements.

   Only the heartbeats of the peers are simulated: each peer repeats the
   engine's own last heartbeat, so that they report the state that the engine
   expects and the engine becomes active.  */

#ifndef BB_BENCH_COMMON_ENGINE_H
#define BB_BENCH_COMMON_ENGINE_H

#include "bench/common.h"

#define BENCH_START (1000 * BB_SEC)
#define BENCH_START_LIMIT (30 * BB_SEC)

struct bench_engine
{
  struct bb_engine *e;
  bb_usec now;
  uint32_t peer_count;
  uint32_t peer_ids[BB_PEER_MAX];
  /* Last heartbeat of the engine, which the peers repeat as their own.  */
  struct bb_heartbeat heartbeat;
  uint32_t *bits;  /* owned copy, to which HEARTBEAT points */
  int32_t *counts; /* owned copy, as BITS */
  /* Messages since the caller last cleared these counters, and their encoded
     size in bytes.  */
  uint64_t messages;
  uint64_t message_bytes;
};

/* Starts an engine with FLEET and PEERS live peers at the time START and runs
   it until it owns flows.  Exits if that takes longer than BENCH_START_LIMIT
   of simulated time.  */
struct bench_engine *bench_start_engine (const struct bb_fleet *fleet,
                                         uint32_t peers,
                                         uint32_t flow_capacity,
                                         bb_usec start);
void bench_stop_engine (struct bench_engine *b);

/* Runs COUNT ticks of 50 ms, with the heartbeats of the peers.  Returns the
   processor seconds that the engine's ticks took.  */
double bench_run_ticks (struct bench_engine *b, uint32_t count);
#endif
