/* One line for each measured quantity.  */

#ifndef BB_BENCH_COMMON_SCENARIO_H
#define BB_BENCH_COMMON_SCENARIO_H

#include "driver/scenarios.h"

/* The numbers of the environment variables SEED and ROUNDS.  */
uint64_t bb_bench_seed (void);
int bb_bench_rounds (int standard);

/* Prints "measure NAME VALUE UNIT target OP BOUND pass|fail seed N".  OP is
   "=", "<=" or ">=".  */
void bb_bench_print (const char *name, double value, const char *unit,
                     const char *op, double bound);

/* 9 balancers, 14 backend servers, long flows.  */
struct bb_driver_options bb_bench_options (int round);

/* A driver with FLOWS open flows of the first service.  */
struct bb_driver *bb_bench_open (const struct bb_driver_options *o,
                                 uint32_t flows);
#endif
