/* HTTP GET client with limits on time and size.  Each request uses a
   connection of its own, so that a connection that has stalled does not affect
   later requests.  */

#ifndef BB_RUNTIME_FETCH_H
#define BB_RUNTIME_FETCH_H

#include "core/core.h"

struct event_base;
struct bb_fetch;

struct bb_fetch_response
{
  int status;       /* 0 if there was no response within the limits */
  uint64_t version; /* from the header Config-Version, 0 if absent */
  const uint8_t *body;
  size_t length;
};

/* Called exactly once, never from within bb_fetch_new.  The response is valid
   until the fetch is freed, which the callback may do.  */
typedef void (*bb_fetch_callback) (void *context,
                                   const struct bb_fetch_response *response);

/* Starts a request.  TIMEOUT covers connecting, sending and receiving.  A body
   of more than LIMIT bytes counts as no response.  */
struct bb_fetch *bb_fetch_new (struct event_base *loop,
                               const struct bb_endpoint *endpoint,
                               const char *path, bb_usec timeout, size_t limit,
                               bb_fetch_callback callback, void *context);

/* Frees FETCH and cancels the request if it is in progress.  */
void bb_fetch_free (struct bb_fetch *fetch);
#endif
