/* Sockets of the HTTP servers of a process.  */

#ifndef BB_RUNTIME_HTTP_LISTEN_H
#define BB_RUNTIME_HTTP_LISTEN_H

#include "core/core.h"

struct event_base;
struct evhttp;

/* An HTTP server for short GET and HEAD requests at ENDPOINT, freed with
   evhttp_free.  Returns NULL with BB_ERROR_IO set, naming WHAT, if the
   address cannot be bound.  */
struct evhttp *bb_http_listen (struct event_base *loop,
                               const struct bb_endpoint *endpoint,
                               const char *purpose, GError **error);
#endif
