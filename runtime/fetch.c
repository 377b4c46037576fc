#include "runtime/fetch.h"
#include "runtime/util.h"
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

/* Limit for the TCP handshake.  On a path that drops packets the request would
   otherwise wait for its full time-out, although a new connection may
   succeed.  */
#define CONNECT_TIMEOUT BB_SEC

enum
{
  KEEPALIVE_IDLE_S = 2,
  KEEPALIVE_INTERVAL_S = 1,
  KEEPALIVE_COUNT = 3
};

struct bb_fetch
{
  struct evhttp_connection *connection;
  struct event *timer; /* time-out; also activated to deliver a response */
  bb_usec timeout;
  bb_usec timeout_left; /* rest of the time-out, after CONNECT_TIMEOUT */
  bool has_progressed;  /* part of the body arrived since the timer was set */
  bool is_finished;     /* a response was received, or the request failed */
  struct evbuffer *body;
  const char *header_name; /* NULL: none is kept */
  char *header;
  struct bb_fetch_response response;
  bb_fetch_callback callback;
  void *context;
};

static void
add_body (struct bb_fetch *fetch, struct evhttp_request *request)
{
  if (fetch->response.started_at == 0)
    fetch->response.started_at = bb_clock_boot ();
  evbuffer_add_buffer (fetch->body, evhttp_request_get_input_buffer (request));
}

static void
on_body_part (struct evhttp_request *request, void *context)
{
  struct bb_fetch *fetch = context;
  fetch->has_progressed = true;
  add_body (fetch, request);
}

static void
on_error (enum evhttp_request_error error, void *context)
{
  struct bb_fetch *fetch = context;
  fetch->response.is_too_large = error == EVREQ_HTTP_DATA_TOO_LONG;
}

/* evhttp still uses the connection after the callback of a request has
   returned, so the connection cannot be freed here.  The response is stored
   and delivered from the timer.  */
static void
on_response (struct evhttp_request *request, void *context)
{
  struct bb_fetch *fetch = context;
  if (request && evhttp_request_get_response_code (request) != 0)
    {
      if (fetch->header_name)
        fetch->header = g_strdup (evhttp_find_header (
            evhttp_request_get_input_headers (request), fetch->header_name));
      add_body (fetch, request);
      fetch->response.status = evhttp_request_get_response_code (request);
      fetch->response.header = fetch->header;
    }
  fetch->is_finished = true;
  event_active (fetch->timer, EV_TIMEOUT, 0);
}

/* Turns on TCP keepalives, which detect a path that fails during the request.
   Returns false if the connection is not established.  */
static bool
enable_keepalive (const struct bb_fetch *fetch)
{
  static const int options[][3] = {
    { SOL_SOCKET, SO_KEEPALIVE, 1 },
    { IPPROTO_TCP, TCP_KEEPIDLE, KEEPALIVE_IDLE_S },
    { IPPROTO_TCP, TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S },
    { IPPROTO_TCP, TCP_KEEPCNT, KEEPALIVE_COUNT },
  };
  struct sockaddr_in peer;
  socklen_t size = sizeof peer;
  int fd = bufferevent_getfd (
      evhttp_connection_get_bufferevent (fetch->connection));
  if (fd < 0 || getpeername (fd, (struct sockaddr *)&peer, &size) != 0)
    return false;
  for (size_t i = 0; i < G_N_ELEMENTS (options); i++)
    setsockopt (fd, options[i][0], options[i][1], &options[i][2],
                sizeof options[i][2]);
  return true;
}

/* Sets the timer again if the request still has time.  */
static bool
renew_timer (struct bb_fetch *fetch)
{
  bb_usec left = fetch->timeout_left;
  bb_usec age = bb_clock_boot () - fetch->response.started_at;
  if (fetch->is_finished)
    return false;
  if (fetch->has_progressed)
    left = MIN (fetch->timeout, BB_FETCH_BODY_TIME - age);
  if (left <= 0)
    {
      fetch->response.is_too_large = fetch->has_progressed;
      return false;
    }
  if (fetch->timeout_left > 0 && !enable_keepalive (fetch))
    return false;
  struct timeval tv = bb_clock_timeval (left);
  fetch->timeout_left = 0;
  fetch->has_progressed = false;
  event_add (fetch->timer, &tv);
  return true;
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  struct bb_fetch *fetch = context;
  if (renew_timer (fetch))
    return;
  fetch->response.length = evbuffer_get_length (fetch->body);
  fetch->response.body = evbuffer_pullup (fetch->body, -1);
  evhttp_connection_free (fetch->connection);
  fetch->connection = NULL;
  fetch->callback (fetch->context, &fetch->response);
}

static bool
send_request (struct bb_fetch *fetch, const char *host, const char *path)
{
  struct evhttp_request *request = evhttp_request_new (on_response, fetch);
  evhttp_request_set_chunked_cb (request, on_body_part);
  evhttp_request_set_error_cb (request, on_error);
  struct evkeyvalq *headers = evhttp_request_get_output_headers (request);
  evhttp_add_header (headers, "Host", host);
  evhttp_add_header (headers, "Connection", "close");
  return evhttp_make_request (fetch->connection, request, EVHTTP_REQ_GET, path)
         == 0;
}

struct bb_fetch *
bb_fetch_new (struct event_base *loop, const struct bb_endpoint *endpoint,
              const char *path, bb_usec timeout, size_t limit,
              bb_fetch_callback callback, void *context)
{
  char address[BB_ENDPOINT_TEXT_SIZE], host[BB_ENDPOINT_TEXT_SIZE];
  struct timeval tv = bb_clock_timeval (timeout);
  struct timeval first = bb_clock_timeval (MIN (timeout, CONNECT_TIMEOUT));
  struct bb_fetch *fetch = g_new0 (struct bb_fetch, 1);
  fetch->callback = callback;
  fetch->context = context;
  fetch->timeout = timeout;
  fetch->timeout_left = timeout - MIN (timeout, CONNECT_TIMEOUT);
  fetch->body = evbuffer_new ();
  fetch->timer = event_new (loop, -1, 0, on_timer, fetch);
  event_add (fetch->timer, &first);
  bb_address_to_text (address, endpoint->address);
  fetch->connection
      = evhttp_connection_base_new (loop, NULL, address, endpoint->port);
  evhttp_connection_set_timeout_tv (fetch->connection, &tv);
  evhttp_connection_set_max_headers_size (fetch->connection, 8192);
  evhttp_connection_set_max_body_size (fetch->connection, (ev_ssize_t)limit);
  if (!send_request (fetch, bb_endpoint_to_text (host, endpoint), path))
    on_response (NULL, fetch);
  return fetch;
}

void
bb_fetch_keep_header (struct bb_fetch *fetch, const char *name)
{
  fetch->header_name = name;
}

void
bb_fetch_free (struct bb_fetch *fetch)
{
  if (!fetch)
    return;
  event_free (fetch->timer);
  if (fetch->connection)
    evhttp_connection_free (fetch->connection);
  evbuffer_free (fetch->body);
  g_free (fetch->header);
  g_free (fetch);
}
