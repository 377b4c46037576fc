/* HTTP server for monitoring: serves /metrics, /status and /events on the
   metrics endpoint.  */

#ifndef BB_RUNTIME_HTTP_H
#define BB_RUNTIME_HTTP_H

#include "core/core.h"

struct bb_process;
struct bb_http;

/* Binds the metrics endpoint of the settings, whose port must not be 0.  */
struct bb_http *bb_http_new (struct bb_process *p, GError **error);
void bb_http_free (struct bb_http *http);
#endif
