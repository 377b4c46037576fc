#include "runtime/http.h"
#include "runtime/http_listen.h"
#include "runtime/log.h"
#include "runtime/metrics.h"
#include "runtime/process_private.h"
#include "runtime/status.h"
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <json-c/json.h>
#include <string.h>

struct bb_http
{
  struct bb_process *process;
  struct evhttp *server;
};

static void
serve_metrics (struct bb_process *p, struct evhttp_request *request,
               struct evbuffer *out)
{
  (void)request;
  bb_metrics_write (p, bb_clock_boot (), out);
}

static void
serve_status (struct bb_process *p, struct evhttp_request *request,
              struct evbuffer *out)
{
  (void)request;
  struct json_object *status = bb_status_new (p, bb_clock_boot ());
  const char *text = json_object_to_json_string_ext (
      status, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_NOSLASHESCAPE);
  evbuffer_add_printf (out, "%s\n", text);
  json_object_put (status);
}

static uint64_t
query_number (const struct evhttp_request *request, const char *key)
{
  struct evkeyvalq query;
  guint64 number = 0;
  const char *text
      = evhttp_uri_get_query (evhttp_request_get_evhttp_uri (request));
  if (!text || evhttp_parse_query_str (text, &query) != 0)
    return 0;
  const char *value = evhttp_find_header (&query, key);
  if (value)
    g_ascii_string_to_unsigned (value, 10, 0, UINT64_MAX, &number, NULL);
  evhttp_clear_headers (&query);
  return number;
}

/* A value of AFTER above the newest seq was obtained before a restart of this
   process, so all events are returned.  */
static void
serve_events (struct bb_process *p, struct evhttp_request *request,
              struct evbuffer *out)
{
  uint64_t after = query_number (request, "after");
  if (after > bb_events_last_seq (p->events))
    after = 0;
  const struct bb_event_record *record;
  while ((record = bb_events_next (p->events, after)))
    {
      char *line = bb_log_format (p->log, record);
      evbuffer_add_printf (out, "%s\n", line);
      g_free (line);
      after = record->seq;
    }
}

static const struct
{
  const char *path;
  const char *type;
  void (*serve) (struct bb_process *p, struct evhttp_request *request,
                 struct evbuffer *out);
} routes[] = {
  { "/metrics", "text/plain; version=0.0.4; charset=utf-8", serve_metrics },
  { "/status", "application/json", serve_status },
  { "/events", "application/x-ndjson", serve_events },
};

static void
on_request (struct evhttp_request *request, void *context)
{
  struct bb_http *http = context;
  const char *path
      = evhttp_uri_get_path (evhttp_request_get_evhttp_uri (request));
  for (size_t i = 0; i < G_N_ELEMENTS (routes); i++)
    {
      if (!path || strcmp (path, routes[i].path) != 0)
        continue;
      struct evbuffer *out = evbuffer_new ();
      evhttp_add_header (evhttp_request_get_output_headers (request),
                         "Content-Type", routes[i].type);
      routes[i].serve (http->process, request, out);
      evhttp_send_reply (request, HTTP_OK, NULL, out);
      evbuffer_free (out);
      return;
    }
  evhttp_send_error (request, HTTP_NOTFOUND, NULL);
}

struct bb_http *
bb_http_new (struct bb_process *p, GError **error)
{
  struct evhttp *server
      = bb_http_listen (p->loop, &p->settings->metrics, "metrics", error);
  if (!server)
    return NULL;
  struct bb_http *http = g_new (struct bb_http, 1);
  *http = (struct bb_http){ p, server };
  evhttp_set_gencb (server, on_request, http);
  return http;
}

void
bb_http_free (struct bb_http *http)
{
  if (!http)
    return;
  evhttp_free (http->server);
  g_free (http);
}
