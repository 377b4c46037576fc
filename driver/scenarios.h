/* Sequences of faults for tests and measurements.  */

#ifndef BB_DRIVER_SCENARIOS_H
#define BB_DRIVER_SCENARIOS_H

#include "driver/driver.h"

/* Options of a small deployment: 6 balancers, 14 backend servers.  */
struct bb_driver_options bb_scenario_options (uint64_t seed);

/* Describes the faults counted so far, or returns NULL if there are none.  No
   opened flow also counts as a fault.  The caller frees the text.  */
char *bb_scenario_describe_faults (const struct bb_driver *d);

/* Ten servers report a drain, one after the other for 3 s each.  The last
   balancer does not receive these reports.  */
void bb_scenario_report_drains_to_some (struct bb_driver *d);
/* Replaces balancers 0 to COUNT-1, one every STEP.  */
void bb_scenario_replace_in_turn (struct bb_driver *d, int count,
                                  bb_usec step);
/* Replaces balancers likewise and drains one server during the first half of
 * each step.  */
void bb_scenario_replace_and_drain (struct bb_driver *d, int count,
                                    bb_usec step);
/* STEPS random faults up to 4 s apart.  At most two balancers crash, or one
   is paused, within the time needed to restore the replicas.  */
void bb_scenario_inject_random (struct bb_driver *d, int steps);

/* Removes server INDEX of the first service from the configuration.  */
void bb_scenario_remove_server (struct bb_driver *d, int index,
                                bb_usec spread);
/* Sets the drain flag of server INDEX of the first service.  */
void bb_scenario_set_drain (struct bb_driver *d, int index, bool drain,
                            bb_usec spread);
#endif
