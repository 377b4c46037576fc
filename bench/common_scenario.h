/* Functions shared by the measurements that run the driver.

   These functions read SEED and ROUNDS, start a simulated cluster and print
   one line for each measured quantity.  */

#ifndef BB_BENCH_COMMON_SCENARIO_H
#define BB_BENCH_COMMON_SCENARIO_H

#include "driver/scenarios.h"

/* Return the numbers in the environment variables SEED, 1 by default, and
   ROUNDS.  */
uint64_t bench_get_seed (void);
int bench_get_rounds (int default_value);

/* Prints "measure NAME VALUE UNIT target OP BOUND pass|fail seed N".  OP is
   "=", "<=" or ">=".  */
void bench_print_seeded_measure (const char *name, double value,
                                 const char *unit, const char *op,
                                 double bound);

/* Returns options for 9 balancers, 14 backend servers and long flows.  */
struct bb_driver_options bench_scenario_options (int round);

/* Returns a driver with FLOWS open flows of the first service.  */
struct bb_driver *bench_start_scenario (const struct bb_driver_options *o,
                                        uint32_t flows);
#endif
