/* Builds the JSON document that /status serves.  */

#ifndef BB_RUNTIME_STATUS_H
#define BB_RUNTIME_STATUS_H

#include "core/engine.h"

struct bb_process;
struct json_object;

/* Returns the status as a JSON object owned by the caller.  */
struct json_object *bb_status_new (struct bb_process *p, bb_usec now);

/* Returns the conditions that need an operator's attention as a JSON array of
   strings, empty if there are none.  */
struct json_object *bb_attention_new (struct bb_process *p, bb_usec now,
                                      const struct bb_engine_status *status,
                                      const struct bb_server_status *servers,
                                      size_t server_count,
                                      const struct bb_peer_status *peers,
                                      size_t peer_count);
#endif
