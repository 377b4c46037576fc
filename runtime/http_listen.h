/* Creates the listening sockets of the HTTP servers of a process.  */

#ifndef BB_RUNTIME_HTTP_LISTEN_H
#define BB_RUNTIME_HTTP_LISTEN_H

#include "core/core.h"

struct event_base;
struct evhttp;

/* Creates an HTTP server for short GET and HEAD requests at ENDPOINT; free it
   with evhttp_free.  If the address cannot be bound, returns NULL with
   BB_ERROR_IO set; the message names PURPOSE.  */
struct evhttp *bb_http_listen (struct event_base *loop,
                               const struct bb_endpoint *endpoint,
                               const char *purpose, GError **error);
#endif
