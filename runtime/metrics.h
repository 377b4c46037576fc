/* Exports the counters and gauges of a process under their public names.  */

#ifndef BB_RUNTIME_METRICS_H
#define BB_RUNTIME_METRICS_H

#include "core/engine.h"

struct bb_process;
struct evbuffer;
struct json_object;

/* Writes all metrics in the Prometheus text exposition format 0.0.4.  */
void bb_metrics_write (struct bb_process *p, bb_usec now,
                       struct evbuffer *out);

/* Returns the counters as a JSON object owned by the caller.  */
struct json_object *bb_metrics_counters (struct bb_process *p);
#endif
