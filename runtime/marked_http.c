/* HTTP servers of a marked transport: /ready, by which the fabric decides
   whether to send flows to this balancer, and /metrics and /events for
   monitoring.  */

#include "runtime/http_listen.h"
#include "runtime/marked_private.h"
#include <event2/buffer.h>
#include <event2/http.h>

bool
bb_marked_process_is_ready (const struct bb_marked_process *p)
{
  return p->stop_requested == 0 && bb_marked_is_ready (p->marked);
}

static void
on_ready (struct evhttp_request *request, void *context)
{
  const struct bb_marked_process *p = context;
  bool ready = bb_marked_process_is_ready (p);
  evhttp_send_reply (request, ready ? HTTP_OK : HTTP_SERVUNAVAIL, NULL, NULL);
}

static void
on_metrics (struct evhttp_request *request, void *context)
{
  struct evbuffer *out = evbuffer_new ();
  evhttp_add_header (evhttp_request_get_output_headers (request),
                     "Content-Type",
                     "text/plain; version=0.0.4; charset=utf-8");
  bb_marked_write_metrics (context, out);
  evhttp_send_reply (request, HTTP_OK, NULL, out);
  evbuffer_free (out);
}

static void
on_events (struct evhttp_request *request, void *context)
{
  const struct bb_marked_process *p = context;
  const struct bb_event_record *record;
  struct evbuffer *out = evbuffer_new ();
  uint64_t after = 0;
  while ((record = bb_events_next (p->events, after)))
    {
      char *line = bb_log_format (p->log, record);
      evbuffer_add_printf (out, "%s\n", line);
      g_free (line);
      after = record->seq;
    }
  evhttp_send_reply (request, HTTP_OK, NULL, out);
  evbuffer_free (out);
}

bool
bb_marked_http_start (struct bb_marked_process *p, GError **error)
{
  p->ready_server
      = bb_http_listen (p->loop, &p->settings->marked.ready, "ready", error);
  if (!p->ready_server)
    return false;
  evhttp_set_cb (p->ready_server, "/ready", on_ready, p);
  if (p->settings->metrics.port == 0)
    return true;
  p->metrics_server
      = bb_http_listen (p->loop, &p->settings->metrics, "metrics", error);
  if (!p->metrics_server)
    return false;
  evhttp_set_cb (p->metrics_server, "/metrics", on_metrics, p);
  evhttp_set_cb (p->metrics_server, "/events", on_events, p);
  return true;
}

void
bb_marked_http_stop (struct bb_marked_process *p)
{
  if (p->ready_server)
    evhttp_free (p->ready_server);
  if (p->metrics_server)
    evhttp_free (p->metrics_server);
}
