/* Reads documents from the configuration service with one long poll per
   document.  */

#include "runtime/fetch.h"
#include "runtime/platform.h"
#include "runtime/util.h"
#include <event2/event.h>

enum
{
  WAIT_S = 25, /* seconds; the service responds to a long poll after this time
                  at the latest */
  JITTER_PERCENT = 50,
  REQUEST_BURST = 6,              /* two for each document */
  BODY_MAX = 2 * BB_DOCUMENT_MAX, /* bytes; larger than the limit, so that an
                                     oversized document is reported as such and
                                     not as a failed request */
  REQUEST_RATE = 2 /* per second; 9 VMs stay below 1 % of the 2,000 requests
                      per second that the service handles */
};

#define TIMEOUT ((WAIT_S + 5) * BB_SEC)
#define RETRY_FIRST (200 * BB_MSEC)
#define RETRY_MAX (10 * BB_SEC)
/* A service that responds at once although it has nothing newer, or no
   document at all, does not support long polls.  It is polled at this
   interval.  */
#define POLL_INTERVAL (2 * BB_SEC)

struct http;

struct watch
{
  struct http *http;
  enum bb_document_kind kind;
  struct bb_fetch *fetch; /* NULL if no request is in progress */
  struct event *timer;    /* fires when the next request is due */
  bb_usec retry_delay;    /* last delay after a failure, 0 after a success */
  int wait_s; /* of the long poll; 0 for the first read, so that an absent
                 overlay does not delay the start */
  bb_usec requested_at;
  uint64_t requested_after; /* version sent in the last request */
  /* Version of a refused document.  It is sent in the next long poll, so that
     the service does not send the document again and again, and is then
     cleared, since a corrected document may have a lower version.  */
  uint64_t refused_version;
};

struct http
{
  struct bb_platform *platform;
  struct bb_endpoint endpoint;
  int64_t tokens; /* millionths of a request */
  bb_usec refilled;
  struct watch watches[BB_DOCUMENT_KINDS];
};

static void
schedule (struct watch *w, bb_usec delay)
{
  struct timeval tv = bb_clock_timeval (
      bb_clock_jitter (w->http->platform->random, delay, JITTER_PERCENT));
  event_add (w->timer, &tv);
}

/* Token bucket that bounds the load on the service during an outage and the
   recovery from it.  Returns the delay until a request may be sent, 0 if it
   may be sent now.  */
static bb_usec
take_token (struct http *h, bb_usec now)
{
  h->tokens = MIN (h->tokens + (now - h->refilled) * REQUEST_RATE,
                   REQUEST_BURST * BB_SEC);
  h->refilled = now;
  if (h->tokens < BB_SEC)
    return (BB_SEC - h->tokens) / REQUEST_RATE + BB_MSEC;
  h->tokens -= BB_SEC;
  return 0;
}

/* Returns the version announced by RESPONSE, 0 if there is none.  */
static uint64_t
announced_version (const struct bb_fetch_response *response)
{
  guint64 version = 0;
  if (response->header)
    g_ascii_string_to_unsigned (response->header, 10, 0, UINT64_MAX, &version,
                                NULL);
  return version;
}

static bb_usec
handle_document (struct watch *w, const struct bb_fetch_response *response)
{
  uint64_t version = announced_version (response);
  enum bb_offer offer = bb_platform_offer (w->http->platform, w->kind, version,
                                           response->body, response->length);
  bool is_newer
      = version > w->requested_after; /* than the version in the request */
  /* A peer may have delivered the document before the service did.  */
  if (offer == BB_OFFER_ACCEPTED || (offer == BB_OFFER_SAME && is_newer))
    return 0;
  w->refused_version = 0;
  if (offer != BB_OFFER_SAME && offer != BB_OFFER_OLDER)
    w->refused_version = version;
  return w->refused_version ? 0 : POLL_INTERVAL;
}

static bb_usec
next_retry_delay (struct watch *w)
{
  w->retry_delay
      = w->retry_delay ? MIN (2 * w->retry_delay, RETRY_MAX) : RETRY_FIRST;
  return w->retry_delay;
}

/* Returns the delay before the next request.  */
static bb_usec
handle_response (struct watch *w, const struct bb_fetch_response *response)
{
  struct bb_platform *platform = w->http->platform;
  bool is_answered = response->status == 200 || response->status == 304
                     || response->status == 404;
  bb_platform_record_read (platform, is_answered);
  if (!is_answered)
    return next_retry_delay (w);
  w->retry_delay = 0;
  if (response->status == 200)
    return handle_document (w, response);
  w->refused_version = 0;
  if (response->status == 404)
    platform->sink->absent (platform->context, w->kind);
  uint64_t version = announced_version (response);
  if (version != 0)
    platform->status.serves_older[w->kind]
        = version < platform->sink->version (platform->context, w->kind);
  bb_usec waited = bb_clock_boot () - w->requested_at;
  return waited < POLL_INTERVAL && w->wait_s != 0 ? POLL_INTERVAL : 0;
}

static void
on_response (void *context, const struct bb_fetch_response *response)
{
  struct watch *w = context;
  schedule (w, handle_response (w, response));
  if (w->retry_delay == 0)
    w->wait_s = WAIT_S;
  bb_fetch_free (w->fetch);
  w->fetch = NULL;
}

static void
format_path (char *path, size_t size, struct watch *w)
{
  static const char *const names[BB_DOCUMENT_KINDS] = {
    [BB_DOCUMENT_BASE] = "base",
    [BB_DOCUMENT_OVERLAY] = "overlay/",
    [BB_DOCUMENT_VMS] = "vms",
  };
  const struct bb_platform *platform = w->http->platform;
  uint64_t version = platform->sink->version (platform->context, w->kind);
  w->requested_after = MAX (version, w->refused_version);
  g_snprintf (path, size, "/v1/%s%s?after=%" G_GUINT64_FORMAT "&wait_s=%d",
              names[w->kind],
              w->kind == BB_DOCUMENT_OVERLAY ? platform->data_centre : "",
              w->requested_after, w->wait_s);
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  struct watch *w = context;
  char path[BB_NAME_MAX + 96];
  w->requested_at = bb_clock_boot ();
  bb_usec delay = take_token (w->http, w->requested_at);
  if (delay > 0)
    {
      struct timeval tv = bb_clock_timeval (delay);
      event_add (w->timer, &tv);
      return;
    }
  format_path (path, sizeof path, w);
  w->fetch = bb_fetch_new (w->http->platform->loop, &w->http->endpoint, path,
                           TIMEOUT, BODY_MAX, on_response, w);
  bb_fetch_keep_header (w->fetch, "Config-Version");
}

static void *
start (struct bb_platform *platform, GError **error)
{
  struct bb_endpoint endpoint;
  if (!bb_endpoint_parse (platform->location, &endpoint))
    {
      g_set_error (error, BB_ERROR, BB_ERROR_IO,
                   "platform: \"%s\": expected ADDRESS:PORT",
                   platform->location);
      return NULL;
    }
  struct http *h = g_new0 (struct http, 1);
  h->platform = platform;
  h->endpoint = endpoint;
  h->refilled = bb_clock_boot ();
  h->tokens = REQUEST_BURST * BB_SEC;
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    {
      struct watch *w = &h->watches[i];
      w->http = h;
      w->kind = (enum bb_document_kind)i;
      w->timer = event_new (platform->loop, -1, 0, on_timer, w);
      schedule (w, 0);
    }
  return h;
}

static void
stop (void *state)
{
  struct http *h = state;
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    {
      bb_fetch_free (h->watches[i].fetch);
      event_free (h->watches[i].timer);
    }
  g_free (h);
}

const struct bb_platform_ops bb_platform_http = {
  .name = "http",
  .start = start,
  .stop = stop,
};
