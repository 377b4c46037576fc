/* Balancer process on the GUE transport: event loop, timers, signals and all
   input and output around the engine.  */

#ifndef BB_RUNTIME_PROCESS_H
#define BB_RUNTIME_PROCESS_H

#include "config/config.h"

struct bb_process;

/* Binds the sockets given in SETTINGS, which must outlive the process, and
   starts the balancer.  Returns NULL with BB_ERROR_IO set if that fails.  */
struct bb_process *bb_process_new (const struct bb_settings *settings,
                                   GError **error);
void bb_process_free (struct bb_process *p);

/* Runs until a graceful stop is complete; SIGTERM and SIGINT start one.
   Returns the exit status.  */
int bb_process_run (struct bb_process *p);

/* Starts a graceful stop.  */
void bb_process_request_stop (struct bb_process *p);
#endif
