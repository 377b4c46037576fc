/* One HTTP GET with a bound on time and size.  */

#ifndef BB_RUNTIME_FETCH_H
#define BB_RUNTIME_FETCH_H

#include "core/core.h"

struct event_base;
struct bb_fetch;

struct bb_fetch_response
{
  int status;       /* 0: no response within the bounds */
  uint64_t version; /* of the header Config-Version, 0: none */
  const uint8_t *body;
  size_t length;
};

/* Called once, never from within bb_fetch_new.  It may free the fetch.  The
   response is valid until then.  */
typedef void (*bb_fetch_callback) (void *context,
                                   const struct bb_fetch_response *response);

/* Starts a request on a connection of its own.  TIMEOUT covers all of it, and
   a body above LIMIT bytes is no response.  */
struct bb_fetch *bb_fetch_new (struct event_base *loop,
                               const struct bb_endpoint *endpoint,
                               const char *path, bb_usec timeout, size_t limit,
                               bb_fetch_callback callback, void *context);

/* Cancels the request if it is under way.  */
void bb_fetch_free (struct bb_fetch *fetch);
#endif
