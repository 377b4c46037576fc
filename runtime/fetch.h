/* HTTP GET client with limits on time and size.  Each request uses a
   connection of its own, so that a connection that has stalled does not affect
   later requests.  */

#ifndef BB_RUNTIME_FETCH_H
#define BB_RUNTIME_FETCH_H

#include "core/core.h"

struct event_base;
struct bb_fetch;

/* Limit of the time in which a body arrives.  */
#define BB_FETCH_BODY_TIME (10 * BB_SEC)

struct bb_fetch_response
{
  int status;         /* 0 if there was no response within the limits */
  const char *header; /* text of the header that is kept, NULL if absent */
  const uint8_t *body;
  size_t length;
  bb_usec started_at; /* arrival of its first bytes, by bb_clock_boot */
  /* There was a response, but its body exceeds the limits.  */
  bool is_too_large;
};

/* Called exactly once, never from within bb_fetch_new.  The response is valid
   until the fetch is freed, which the callback may do.  */
typedef void (*bb_fetch_callback) (void *context,
                                   const struct bb_fetch_response *response);

/* Starts a request.  TIMEOUT covers connecting, sending and waiting for the
   body, and is renewed while the body arrives, up to BB_FETCH_BODY_TIME.  A
   body that takes longer or has more than LIMIT bytes counts as no response.
 */
struct bb_fetch *bb_fetch_new (struct event_base *loop,
                               const struct bb_endpoint *endpoint,
                               const char *path, bb_usec timeout, size_t limit,
                               bb_fetch_callback callback, void *context);

/* Keeps the text of header NAME of the response.  To be called before control
   returns to the event loop; NAME must outlive FETCH.  */
void bb_fetch_keep_header (struct bb_fetch *fetch, const char *name);

/* Frees FETCH and cancels the request if it is in progress.  */
void bb_fetch_free (struct bb_fetch *fetch);
#endif
