/* Configuration service.  Serves the documents of a directory over HTTP with
   long polling.  The file "mode" in the directory injects faults: with the
   content "refuse" all requests are answered with status 503, and with
   "older" the documents of the subdirectory "older" are served,
   regardless of the version that the reader has.  */

#include "standins/common.h"
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

enum
{
  POLL_INTERVAL_MS = 20,
  POLL_WAIT_MAX_S = 300
};

static struct
{
  char *listen, *directory;
} options;

static const GOptionEntry entries[]
    = { BB_STANDIN_STRING ("listen", options.listen),
        BB_STANDIN_STRING ("directory", options.directory),
        { 0 } };

/* A long poll that waits for a version newer than AFTER.  */
struct waiter
{
  struct evhttp_request *request;
  char *document; /* name of its file */
  uint64_t after;
  bb_usec wait_until;
};

static GPtrArray *waiters; /* of struct waiter */

static bool
is_in_mode (const char *mode)
{
  char *path = g_build_filename (options.directory, "mode", NULL);
  char *text = NULL;
  g_file_get_contents (path, &text, NULL, NULL);
  bool equal = text && !strcmp (g_strstrip (text), mode);
  g_free (text);
  g_free (path);
  return equal;
}

/* Returns the contents of DOCUMENT, freed with g_free, or NULL.  */
static char *
read_document (const char *document, uint64_t *version)
{
  char *path = g_build_filename (
      options.directory, is_in_mode ("older") ? "older" : ".", document, NULL);
  char *text = NULL;
  g_file_get_contents (path, &text, NULL, NULL);
  g_free (path);
  struct json_object *root = text ? json_tokener_parse (text) : NULL;
  struct json_object *number;
  *version = root && json_object_object_get_ex (root, "version", &number)
                 ? json_object_get_uint64 (number)
                 : 0;
  json_object_put (root);
  return text;
}

/* Answers W if there is a newer version, the waiting time is over or requests
   are refused.  Returns whether it was answered.  */
static bool
answer_waiter (const struct waiter *w)
{
  uint64_t version;
  if (is_in_mode ("refuse"))
    {
      evhttp_send_error (w->request, HTTP_SERVUNAVAIL, "unavailable");
      return true;
    }
  char *text = read_document (w->document, &version);
  if (!text && bb_standin_now () < w->wait_until)
    return false;
  bool newer = text && (version > w->after || is_in_mode ("older"));
  if (!newer && bb_standin_now () < w->wait_until)
    {
      g_free (text);
      return false;
    }
  char number[24];
  struct evkeyvalq *headers = evhttp_request_get_output_headers (w->request);
  g_snprintf (number, sizeof number, "%" G_GUINT64_FORMAT, version);
  evhttp_add_header (headers, "Config-Version", number);
  if (newer)
    {
      struct evbuffer *body = evbuffer_new ();
      evbuffer_add (body, text, strlen (text));
      evhttp_add_header (headers, "Content-Type", "application/json");
      evhttp_send_reply (w->request, HTTP_OK, "OK", body);
      evbuffer_free (body);
    }
  else if (text)
    evhttp_send_reply (w->request, HTTP_NOTMODIFIED, "Not Modified", NULL);
  else
    evhttp_send_error (w->request, HTTP_NOTFOUND, "no such document");
  g_free (text);
  return true;
}

static void
answer_waiters (void *context)
{
  (void)context;
  for (guint i = waiters->len; i-- > 0;)
    if (answer_waiter (waiters->pdata[i]))
      g_ptr_array_remove_index_fast (waiters, i);
}

static void
free_waiter (void *data)
{
  struct waiter *w = data;
  g_free (w->document);
  g_free (w);
}

/* Drops the waiting requests of a connection that the reader has closed.  */
static void
remove_waiters (struct evhttp_connection *connection, void *context)
{
  (void)context;
  for (guint i = waiters->len; i-- > 0;)
    {
      const struct waiter *w = waiters->pdata[i];
      if (evhttp_request_get_connection (w->request) == connection)
        g_ptr_array_remove_index_fast (waiters, i);
    }
}

/* Returns the file name of the document at PATH, or NULL.  */
static char *
document_name (const char *path)
{
  if (!strcmp (path, "/v1/base") || !strcmp (path, "/v1/vms"))
    return g_strdup_printf ("%s.json", path + strlen ("/v1/"));
  const char *centre = path + strlen ("/v1/overlay/");
  if (!g_str_has_prefix (path, "/v1/overlay/") || !*centre
      || strpbrk (centre, "/."))
    return NULL;
  return g_strdup_printf ("overlay-%s.json", centre);
}

static uint64_t
query_number (const struct evkeyvalq *query, const char *name)
{
  const char *text = evhttp_find_header (query, name);
  return text ? g_ascii_strtoull (text, NULL, 10) : 0;
}

static void
handle_request (struct evhttp_request *request, void *context)
{
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *text = evhttp_uri_get_query (uri);
  struct evkeyvalq query = { 0 };
  char *document = document_name (evhttp_uri_get_path (uri));
  (void)context;
  if (!document || evhttp_request_get_command (request) != EVHTTP_REQ_GET)
    {
      evhttp_send_error (request, HTTP_NOTFOUND, "no such document");
      g_free (document);
      return;
    }
  evhttp_parse_query_str (text ? text : "", &query);
  struct waiter *w = g_new (struct waiter, 1);
  uint64_t wait_s = MIN (query_number (&query, "wait_s"), POLL_WAIT_MAX_S);
  *w = (struct waiter){ request, document, query_number (&query, "after"),
                        bb_standin_now () + (bb_usec)wait_s * BB_SEC };
  evhttp_clear_headers (&query);
  if (answer_waiter (w))
    {
      free_waiter (w);
      return;
    }
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 remove_waiters, NULL);
  g_ptr_array_add (waiters, w);
}

int
main (int argc, char **argv)
{
  bb_standin_parse_options (argc, argv, entries);
  struct event_base *base = event_base_new ();
  waiters = g_ptr_array_new_with_free_func (free_waiter);
  struct evhttp *http = bb_standin_open_http (
      base, bb_standin_parse_endpoint (options.listen), handle_request, NULL);
  evhttp_set_timeout (http, 2 * POLL_WAIT_MAX_S);
  bb_standin_watch_timer (base, POLL_INTERVAL_MS, answer_waiters, NULL);
  event_base_dispatch (base);
  return 0;
}
