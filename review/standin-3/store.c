#define _GNU_SOURCE /* accept4 */
#include "review/standin-3/private.h"
#include <errno.h>
#include <fcntl.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

enum
{
  FIRST_REVISION = 100,
  PAGE_ITEMS = 500
};

struct item
{
  char key[208];
  char *text; /* NULL: deleted */
  uint64_t revision, created;
};

struct change
{
  char key[208];
  char *text;
  uint64_t revision, created;
};

struct call
{
  size_t length;
  uint64_t after;
  double until;
  int fd; /* -1: free */
  bool is_watch;
  char in[4096];
};

static struct item items[ITEMS_MAX];
static unsigned item_count;
static struct change changes[EVENTS_MAX];
static unsigned change_count;
static uint64_t revision = FIRST_REVISION;
static int store_fd;
static struct call calls[STORE_CALLS_MAX];

static struct item *
find_item (const char *key)
{
  for (unsigned i = 0; i < item_count; i++)
    if (strcmp (items[i].key, key) == 0)
      return &items[i];
  return NULL;
}

static void
set_item (const char *key, const char *text)
{
  struct item *it = find_item (key);
  if (!it)
    {
      if (!text || item_count == ITEMS_MAX)
        return;
      /* Items are kept in the order of their keys.  */
      unsigned at = 0;
      while (at < item_count && strcmp (items[at].key, key) < 0)
        at++;
      memmove (&items[at + 1], &items[at],
               (item_count - at) * sizeof items[0]);
      item_count++;
      it = &items[at];
      memset (it, 0, sizeof *it);
      snprintf (it->key, sizeof it->key, "%s", key);
    }
  else if (!text && !it->text)
    return;
  revision++;
  if (text && !it->text)
    it->created = revision;
  it->text = text ? strdup (text) : NULL;
  it->revision = revision;
  struct change *c = &changes[change_count++ % EVENTS_MAX];
  memset (c, 0, sizeof *c);
  snprintf (c->key, sizeof c->key, "%s", key);
  c->text = it->text;
  c->revision = revision;
  c->created = it->created;
}

void
store_put (const char *key, const char *text)
{
  set_item (key, text);
  note ("store: %s at revision %llu: %.160s", key,
        (unsigned long long)revision, text);
}

void
store_delete (const char *key)
{
  set_item (key, NULL);
  note ("store: %s removed at revision %llu", key,
        (unsigned long long)revision);
}

void
store_config (const char *json)
{
  store_put ("op/config", json);
}

struct buffer
{
  char *bytes;
  size_t length, size;
};

static void
add_text (struct buffer *b, const char *format, ...)
{
  va_list args;
  for (;;)
    {
      va_start (args, format);
      int n = vsnprintf (b->bytes + b->length, b->size - b->length, format,
                         args);
      va_end (args);
      if ((size_t)n < b->size - b->length)
        {
          b->length += (size_t)n;
          return;
        }
      b->size = b->size * 2 + (size_t)n + 1024;
      b->bytes = realloc (b->bytes, b->size);
    }
}

static void
add_base64 (struct buffer *b, const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t n = strlen (text);
  char *out = malloc (n * 2 + 8), *o = out;
  for (size_t i = 0; i < n; i += 3)
    {
      uint32_t v = (uint32_t)(uint8_t)text[i] << 16;
      if (i + 1 < n)
        v |= (uint32_t)(uint8_t)text[i + 1] << 8;
      if (i + 2 < n)
        v |= (uint8_t)text[i + 2];
      *o++ = digits[v >> 18];
      *o++ = digits[v >> 12 & 63];
      *o++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
      *o++ = i + 2 < n ? digits[v & 63] : '=';
    }
  *o = 0;
  add_text (b, "%s", out);
  free (out);
}

static void
add_item (struct buffer *b, bool is_first, const char *key, const char *text,
          uint64_t at, uint64_t created)
{
  add_text (b, "%s{\"key\":\"%s\",\"revision\":%llu", is_first ? "" : ",", key,
            (unsigned long long)at);
  if (text)
    {
      add_text (b, ",\"created-at\":%llu,\"lease-id\":0,\"value\":\"",
                (unsigned long long)created);
      add_base64 (b, text);
      add_text (b, "\"}");
    }
  else
    add_text (b, ",\"deleted\":true}");
}

static void
end_call (struct call *c)
{
  close (c->fd);
  c->fd = -1;
}

static void
respond (struct call *c, int status, struct buffer *body)
{
  struct buffer out = { 0 };
  add_text (&out,
            "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
            "Content-Length: %zu\r\nConnection: close\r\n",
            status, body->length);
  add_text (&out, "\r\n");
  int flags = fcntl (c->fd, F_GETFL);
  fcntl (c->fd, F_SETFL, flags & ~O_NONBLOCK);
  struct timeval tv = { 1, 0 };
  setsockopt (c->fd, SOL_SOCKET, SO_SNDTIMEO, &tv, sizeof tv);
  (void)!send (c->fd, out.bytes, out.length, MSG_NOSIGNAL);
  for (size_t done = 0; done < body->length;)
    {
      ssize_t n = send (c->fd, body->bytes + done, body->length - done,
                        MSG_NOSIGNAL);
      if (n <= 0)
        break;
      done += (size_t)n;
    }
  shutdown (c->fd, SHUT_WR);
  free (out.bytes);
  free (body->bytes);
  end_call (c);
}

static char *
query_value (const char *in, const char *name, char *out, size_t size)
{
  char key[64];
  snprintf (key, sizeof key, "%s=", name);
  const char *end = strchr (in, '\r');
  const char *line = strchr (in, '?');
  out[0] = 0;
  for (const char *p = line; p && p < end; p = strpbrk (p + 1, "&"))
    if (strncmp (p + 1, key, strlen (key)) == 0)
      {
        size_t n = 0;
        for (p += 1 + strlen (key); *p && !strchr ("& \r", *p) && n + 1 < size;
             p++)
          if (*p == '%')
            {
              char hex[3] = { p[1], p[2], 0 };
              out[n++] = (char)strtol (hex, NULL, 16);
              p += 2;
            }
          else
            out[n++] = *p;
        out[n] = 0;
        break;
      }
  return out;
}

static void
answer_range (struct call *c)
{
  struct buffer b = { 0 };
  char after[256], prefix[256];
  query_value (c->in, "after", after, sizeof after);
  query_value (c->in, "prefix", prefix, sizeof prefix);
  unsigned n = 0;
  bool more = false;
  add_text (&b, "{\"items\":[");
  for (unsigned i = 0; i < item_count && !more; i++)
    if (items[i].text && strcmp (items[i].key, after) > 0
        && strncmp (items[i].key, prefix, strlen (prefix)) == 0)
      {
        if (n == PAGE_ITEMS)
          more = true;
        else
          add_item (&b, n++ == 0, items[i].key, items[i].text,
                    items[i].revision, items[i].created);
      }
  add_text (&b, "],\"has-more\":%s,\"store-revision\":%llu}",
            more ? "true" : "false", (unsigned long long)revision);
  respond (c, 200, &b);
}

/* Answers the watch C if there are changes, or if its time is over.  */
static void
answer_watch (struct call *c)
{
  struct buffer b = { 0 };
  if (c->after < FIRST_REVISION || c->after > revision)
    {
      add_text (&b, "{}");
      respond (c, 410, &b);
      return;
    }
  if (c->after == revision && now_ms () < c->until)
    return;
  unsigned n = 0;
  add_text (&b, "{\"events\":[");
  for (unsigned i = change_count > EVENTS_MAX ? change_count - EVENTS_MAX : 0;
       i < change_count; i++)
    {
      const struct change *e = &changes[i % EVENTS_MAX];
      if (e->revision > c->after)
        add_item (&b, n++ == 0, e->key, e->text, e->revision, e->created);
    }
  add_text (&b, "],\"store-revision\":%llu}", (unsigned long long)revision);
  respond (c, 200, &b);
}

static void
read_call (struct call *c)
{
  char text[64];
  ssize_t n = recv (c->fd, c->in + c->length, sizeof c->in - 1 - c->length, 0);
  if (n < 0 && errno == EAGAIN)
    return;
  if (n <= 0)
    {
      end_call (c);
      return;
    }
  c->length += (size_t)n;
  c->in[c->length] = 0;
  if (!strstr (c->in, "\r\n\r\n") || c->is_watch)
    return;
  if (strncmp (c->in, "GET /api/kv-range?", 18) == 0)
    answer_range (c);
  else if (strncmp (c->in, "GET /api/kv-watch?", 18) == 0)
    {
      c->is_watch = true;
      c->after = strtoull (query_value (c->in, "after", text, sizeof text),
                           NULL, 10);
      c->until = now_ms ()
                 + atoi (query_value (c->in, "wait-ms", text, sizeof text));
      answer_watch (c);
    }
  else
    {
      struct buffer b = { 0 };
      add_text (&b, "{}");
      respond (c, 404, &b);
    }
}

static void
accept_calls (void)
{
  int fd;
  while ((fd = accept4 (store_fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      struct call *c = NULL;
      for (unsigned i = 0; i < STORE_CALLS_MAX && !c; i++)
        if (calls[i].fd < 0)
          c = &calls[i];
      if (!c)
        {
          close (fd);
          continue;
        }
      memset (c, 0, sizeof *c);
      c->fd = fd;
    }
}

void
store_start (void)
{
  for (unsigned i = 0; i < STORE_CALLS_MAX; i++)
    calls[i].fd = -1;
  store_fd = open_socket (SOCK_STREAM, loopback (0, 4, 1), store_port);
  if (store_fd < 0)
    finish (2, "no socket for the store");
}

nfds_t
store_add_fds (struct pollfd *p)
{
  nfds_t n = 0;
  p[n++] = (struct pollfd){ .fd = store_fd, .events = POLLIN };
  for (unsigned i = 0; i < STORE_CALLS_MAX; i++)
    p[n++] = (struct pollfd){ .fd = calls[i].fd, .events = POLLIN };
  return n;
}

void
store_turn (void)
{
  accept_calls ();
  for (unsigned i = 0; i < STORE_CALLS_MAX; i++)
    if (calls[i].fd >= 0)
      read_call (&calls[i]);
  for (unsigned i = 0; i < STORE_CALLS_MAX; i++)
    if (calls[i].fd >= 0 && calls[i].is_watch)
      answer_watch (&calls[i]);
}
