/* One line for each measured quantity.  */

#ifndef BB_BENCH_COMMON_SCENARIO_H
#define BB_BENCH_COMMON_SCENARIO_H

#include "driver/scenarios.h"

/* The numbers of the environment variables SEED and ROUNDS.  */
uint64_t bench_get_seed (void);
int bench_get_rounds (int default_value);

/* Prints "measure NAME VALUE UNIT target OP BOUND pass|fail seed N".  OP is
   "=", "<=" or ">=".  */
void bench_print_seeded_measure (const char *name, double value,
                                 const char *unit, const char *op,
                                 double bound);

/* 9 balancers, 14 backend servers, long flows.  */
struct bb_driver_options bench_scenario_options (int round);

/* A driver with FLOWS open flows of the first service.  */
struct bb_driver *bench_start_scenario (const struct bb_driver_options *o,
                                        uint32_t flows);
#endif
