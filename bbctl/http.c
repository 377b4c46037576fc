#include "bbctl/bbctl.h"
#include <event2/buffer.h>
#include <event2/event.h>
#include <event2/http.h>

/* The largest /events response has 4,096 events of a few hundred bytes.  */
#define BODY_MAX (8 << 20)

struct fetch
{
  struct bb_ctl_response *response;
  struct evhttp_connection *connection;
};

static void
set_error (struct bb_ctl_response *a, const char *text)
{
  if (!a->error && !a->body)
    a->error = g_strdup (text);
}

/* Called by libevent before the completion callback of a failed request.  */
static void
on_request_error (enum evhttp_request_error error, void *context)
{
  struct fetch *f = context;

  set_error (f->response, error == EVREQ_HTTP_TIMEOUT
                              ? "no response within the timeout"
                          : error == EVREQ_HTTP_EOF ? "connection closed"
                                                    : "invalid HTTP response");
}

static void
on_response (struct evhttp_request *request, void *context)
{
  struct fetch *f = context;
  int code = request ? evhttp_request_get_response_code (request) : 0;

  if (code != 200)
    {
      g_autofree char *text
          = code ? g_strdup_printf ("HTTP status %d", code)
                 : g_strdup ("connection refused or unreachable");
      set_error (f->response, text);
      return;
    }
  struct evbuffer *input = evhttp_request_get_input_buffer (request);
  size_t length = evbuffer_get_length (input);
  f->response->body = g_malloc0 (length + 1);
  evbuffer_copyout (input, f->response->body, length);
}

static void
start_fetch (struct event_base *base, struct fetch *f, const char *path,
             int timeout_ms)
{
  struct bb_endpoint e;

  if (!bb_ctl_parse_endpoint (f->response->address, &e))
    {
      set_error (f->response, "expected ADDRESS:PORT with an IPv4 address");
      return;
    }
  g_auto (GStrv) parts = g_strsplit (f->response->address, ":", 2);
  struct timeval timeout = { timeout_ms / 1000, timeout_ms % 1000 * 1000 };
  f->connection = evhttp_connection_base_new (base, NULL, parts[0], e.port);
  evhttp_connection_set_timeout_tv (f->connection, &timeout);
  evhttp_connection_set_max_body_size (f->connection, BODY_MAX);
  struct evhttp_request *request = evhttp_request_new (on_response, f);
  evhttp_request_set_error_cb (request, on_request_error);
  evhttp_add_header (evhttp_request_get_output_headers (request), "Host",
                     f->response->address);
  /* If the connection stayed open, the event loop would run until its
     timeout.  */
  evhttp_add_header (evhttp_request_get_output_headers (request), "Connection",
                     "close");
  evhttp_make_request (f->connection, request, EVHTTP_REQ_GET, path);
}

struct bb_ctl_response *
bb_ctl_http_get (char **addresses, size_t count, const char *path,
                 int timeout_ms)
{
  struct bb_ctl_response *responses = g_new0 (struct bb_ctl_response, count);
  struct fetch *fetches = g_new0 (struct fetch, count);
  struct event_base *base = event_base_new ();

  for (size_t i = 0; i < count; i++)
    {
      responses[i].address = addresses[i];
      fetches[i].response = &responses[i];
      start_fetch (base, &fetches[i], path, timeout_ms);
    }
  event_base_dispatch (base);
  for (size_t i = 0; i < count; i++)
    {
      set_error (&responses[i], "no response");
      if (fetches[i].connection)
        evhttp_connection_free (fetches[i].connection);
    }
  event_base_free (base);
  g_free (fetches);
  return responses;
}

void
bb_ctl_responses_free (struct bb_ctl_response *responses, size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      g_free (responses[i].body);
      g_free (responses[i].error);
    }
  g_free (responses);
}
