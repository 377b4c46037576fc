/* Sends HTTP health probes to the backend servers and reports the results to
   the engine.  A server that does not answer in time, or answers with anything
   but a valid report, has failed the probe.  */

#ifndef BB_RUNTIME_PROBE_H
#define BB_RUNTIME_PROBE_H

#include "core/engine.h"

struct bb_process;
struct bb_probes;

struct bb_probe_counters
{
  uint64_t sent;
  uint64_t failed;
};

struct bb_probes *bb_probes_new (struct bb_process *p);
void bb_probes_free (struct bb_probes *probes);

/* Probes the servers of FLEET from now on.  Servers of earlier fleets are
   still probed until bb_probes_remove_dropped removes those that the engine no
   longer has.  */
void bb_probes_set_fleet (struct bb_probes *probes,
                          const struct bb_fleet *fleet);
void bb_probes_remove_dropped (struct bb_probes *probes, bb_usec now);

/* Decodes the response of a health endpoint.  Anything but a valid report is a
   failed probe.  */
struct bb_probe_report
bb_probe_parse_response (int status, const uint8_t *body, size_t length);
const struct bb_probe_counters *
bb_probes_get_counters (const struct bb_probes *probes);
#endif
