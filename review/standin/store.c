/* The platform's store: items, revisions, paged reads and watches.  Each
   balancer has an address of its own to call, which tells who calls.  */

#include "scene.h"
#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#define ANSWER_TIME (4 * MS)

struct item
{
  char *key, *value; /* value: NULL if deleted */
  uint64_t revision, created;
};

struct call
{
  struct evhttp_request *request;
  struct node *node;
  uint64_t after;
  char *after_key;
  bool is_watch;
  usec due, until;
};

static GPtrArray *history; /* struct item, every write */
static GHashTable *items;  /* key to its last write, struct item */
static GPtrArray *calls;
static uint64_t revision = 100, oldest = 100, version = 1;
static struct node *last_caller;
unsigned store_page = 500;
static usec compacted; /* watches hear nothing until then; 0: not so */

static struct item *
put (const char *key, const char *text)
{
  struct item *before = g_hash_table_lookup (items, key);
  struct item *it = g_new0 (struct item, 1);
  it->key = g_strdup (key);
  it->value = g_strdup (text);
  it->revision = ++revision;
  it->created = before && before->value ? before->created : revision;
  g_ptr_array_add (history, it);
  g_hash_table_insert (items, it->key, it);
  return it;
}

void
store_write (const char *key, const char *text)
{
  put (key, text);
}

void
store_delete (const char *key)
{
  put (key, NULL);
  note ("store: %s is removed, revision %" PRIu64, key, revision);
}

const char *
store_read (const char *key)
{
  const struct item *it = g_hash_table_lookup (items, key);
  return it ? it->value : NULL;
}

void
store_drop_history (void)
{
  oldest = revision;
  last_store_impairment = now;
  note ("store: history up to revision %" PRIu64 " is discarded", oldest);
}

void
store_compact (usec time)
{
  compacted = now + time;
  last_store_impairment = now;
  note ("store: watches hear nothing for %.1f s", (double)time / (double)SEC);
}

struct node *
store_last_caller (void)
{
  return last_caller;
}

static void
append_route (GString *out, const struct route *r, bool first)
{
  g_string_append_printf (
      out,
      "%s{\"name\":\"%s\",\"host\":\"%u.%u.%u.%u\",\"prefix\":\"/%u/\","
      "\"kind\":\"%s\",\"timeout-ms\":1200,\"target-latency-ms\":200,"
      "\"priority\":1,\"service\":\"%s\",\"attempts\":2}",
      first ? "" : ",", r->name, r->host >> 24, r->host >> 16 & 255,
      r->host >> 8 & 255, r->host & 255, r->port, r->kind, r->service);
}

/* Writes the configuration with the routes that are listed.  */
void
store_publish (void)
{
  GString *out = g_string_new (NULL);
  bool first = true;
  version += 1 + (uint64_t)g_rand_int_range (chance, 0, 3);
  g_string_printf (out, "{\"version\":%" PRIu64 ",\"routes\":[", version);
  for (unsigned i = 0; i < route_count; i++)
    if (routes[i].listed)
      {
        append_route (out, &routes[i], first);
        first = false;
      }
  g_string_append (out, "],\"services\":[");
  for (int i = 0; i < 2; i++)
    g_string_append_printf (out,
                            "%s{\"name\":\"%s\",\"health-path\":\"/health\","
                            "\"max-conns\":2000,\"protocol\":\"h1\",\"tls\":"
                            "false}",
                            i ? "," : "", service_names[i]);
  g_string_append (
      out,
      "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":262144,"
      "\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
  put ("op/config", out->str);
  note ("operator: configuration %" PRIu64 ", revision %" PRIu64, version,
        revision);
  g_string_free (out, TRUE);
}

static void
append_item (GString *out, const struct item *it)
{
  if (out->str[out->len - 1] != '[')
    g_string_append_c (out, ',');
  g_string_append_printf (out, "{\"key\":\"%s\",\"revision\":%" PRIu64,
                          it->key, it->revision);
  if (!it->value)
    {
      g_string_append (out, ",\"deleted\":true}");
      return;
    }
  g_autofree char *text
      = g_base64_encode ((const guchar *)it->value, strlen (it->value));
  g_string_append_printf (
      out, ",\"created-at\":%" PRIu64 ",\"lease-id\":0,\"value\":\"%s\"}",
      it->created, text);
}

static void
reply (struct call *c, int status, GString *body)
{
  struct evbuffer *out = evbuffer_new ();
  if (body)
    {
      evbuffer_add (out, body->str, body->len);
      g_string_free (body, TRUE);
    }
  evhttp_connection_set_closecb (evhttp_request_get_connection (c->request),
                                 NULL, NULL);
  evhttp_send_reply (c->request, status, NULL, out);
  evbuffer_free (out);
}

static gint
compare_keys (gconstpointer a, gconstpointer b)
{
  return strcmp ((*(struct item *const *)a)->key,
                 (*(struct item *const *)b)->key);
}

static void
answer_range (struct call *c)
{
  GHashTableIter iter;
  gpointer value;
  GPtrArray *sorted = g_ptr_array_new ();
  g_hash_table_iter_init (&iter, items);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct item *it = value;
      if (it->value && (!c->after_key || strcmp (it->key, c->after_key) > 0))
        g_ptr_array_add (sorted, value);
    }
  g_ptr_array_sort (sorted, compare_keys);
  GString *out = g_string_new ("{\"items\":[");
  for (guint i = 0; i < sorted->len && i < store_page; i++)
    append_item (out, sorted->pdata[i]);
  g_string_append_printf (
      out, "],\"has-more\":%s,\"store-revision\":%" PRIu64 "}",
      sorted->len > store_page ? "true" : "false", revision);
  g_ptr_array_unref (sorted);
  note ("store: %s reads %s, revision %" PRIu64, c->node->name,
        c->after_key ? "on" : "all", revision);
  reply (c, 200, out);
}

/* Returns false if the call goes on waiting.  */
static bool
answer_watch (struct call *c)
{
  if (compacted != 0)
    return false;
  if (c->after < oldest)
    {
      note ("store: 410 to %s, which continues from %" PRIu64, c->node->name,
            c->after);
      reply (c, 410, NULL);
      return true;
    }
  if (revision == c->after && now < c->until)
    return false;
  GString *out = g_string_new ("{\"events\":[");
  for (guint i = 0; i < history->len; i++)
    if (((struct item *)history->pdata[i])->revision > c->after)
      append_item (out, history->pdata[i]);
  g_string_append_printf (out, "],\"store-revision\":%" PRIu64 "}", revision);
  reply (c, 200, out);
  return true;
}

static void
free_call (struct call *c)
{
  g_free (c->after_key);
  g_free (c);
}

static void
on_closed (struct evhttp_connection *connection, void *context)
{
  (void)connection;
  struct call *c = context;
  g_ptr_array_remove (calls, c);
  free_call (c);
}

static uint64_t
number_of (const struct evkeyvalq *pairs, const char *key)
{
  const char *value = evhttp_find_header (pairs, key);
  return value ? strtoull (value, NULL, 10) : 0;
}

static void
on_call (struct evhttp_request *request, void *context)
{
  struct evkeyvalq pairs;
  const struct evhttp_uri *uri = evhttp_request_get_evhttp_uri (request);
  const char *query = evhttp_uri_get_query (uri);
  struct call *c = g_new0 (struct call, 1);
  evhttp_parse_query_str (query ? query : "", &pairs);
  c->request = request;
  c->node = context;
  c->is_watch = strcmp (evhttp_uri_get_path (uri), "/api/kv-watch") == 0;
  c->after = number_of (&pairs, "after");
  if (!c->is_watch)
    c->after_key = g_strdup (evhttp_find_header (&pairs, "after"));
  c->due = now + ANSWER_TIME;
  c->until = now + (usec)number_of (&pairs, "wait-ms") * MS;
  evhttp_clear_headers (&pairs);
  c->node->store_called = now;
  last_caller = c->node;
  evhttp_connection_set_closecb (evhttp_request_get_connection (request),
                                 on_closed, c);
  g_ptr_array_add (calls, c);
}

void
store_tick (void)
{
  if (compacted != 0 && now >= compacted)
    {
      compacted = 0;
      store_drop_history ();
    }
  for (guint i = calls->len; i > 0; i--)
    {
      struct call *c = calls->pdata[i - 1];
      if (now < c->due)
        continue;
      if (!c->is_watch)
        answer_range (c);
      else if (!answer_watch (c))
        continue;
      g_ptr_array_remove (calls, c);
      free_call (c);
    }
}

void
store_prepare (void)
{
  history = g_ptr_array_new ();
  items = g_hash_table_new (g_str_hash, g_str_equal);
  calls = g_ptr_array_new ();
  for (unsigned i = 0; i < NODES; i++)
    {
      char address[32];
      struct evhttp *server = evhttp_new (loop);
      g_snprintf (address, sizeof address, "127.40.0.%u", 10 + i);
      if (evhttp_bind_socket (server, address, port_of (4)) != 0)
        exit (2);
      evhttp_set_gencb (server, on_call, &nodes[i]);
    }
}
