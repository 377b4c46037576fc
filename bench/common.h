/* Functions shared by the measuring programs: result lines, packets, clocks
   and a configuration.

   A result line has the measured value and its target, so that scripts can
   compare runs.  */

#ifndef BB_BENCH_COMMON_H
#define BB_BENCH_COMMON_H

#include "core/engine.h"

struct bench_target
{
  const char *name;
  const char *unit;
  const char *op; /* ">=" or "<=" */
  double bound;
};

/* Prints "measure NAME VALUE UNIT target OP BOUND pass|fail" and returns
   whether VALUE met the bound.  */
bool bench_print_measure (const struct bench_target *target, double value);

/* Return seconds of the monotonic clock, and of the processor time of the
   thread.  */
double bench_clock_wall (void);
double bench_clock_thread (void);

/* Returns the median of VALUES, which it sorts.  COUNT is at least 1.  */
double bench_median (double *values, size_t count);

enum
{
  BENCH_PACKET_MAX = 128,
};

/* Writes a GUE packet that holds an IPv4/TCP packet of flow number FLOW to
   SERVICE with PAYLOAD bytes, and returns its length.  HANDOVER may be NULL.
   DATA has room for BENCH_PACKET_MAX bytes.  */
size_t bench_write_packet (uint8_t *data, uint32_t flow,
                           const struct bb_endpoint *service,
                           const struct bb_handover *handover,
                           uint8_t tcp_flags, uint16_t payload);

/* Returns a configuration of SERVICES services with SERVERS backend servers
   each, without health checks.  Freed with bb_fleet_free.  */
struct bb_fleet *bench_make_fleet (size_t services, size_t servers,
                                   enum bb_policy_kind policy);

/* Returns the smallest prime that the design allows as the number of buckets
   for COUNT servers.  */
uint32_t bench_bucket_count (size_t count);
#endif
