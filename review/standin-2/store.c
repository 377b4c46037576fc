/* The platform's metadata store: kv-range and kv-watch.  */

#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fleet.h"

enum
{
  ITEMS_MAX = 64,
  EVENTS_MAX = 512,
  CONNECTIONS_MAX = 128,
  PAGE_ITEMS = 500,
  PAGE_BYTES = 1 << 20,
};

struct item
{
  char *key, *value; /* value in base64 */
  uint64_t revision, created;
};

/* One change, kept for the history.  */
struct change
{
  char *json;
  uint64_t revision;
  int64_t at;
};

struct connection
{
  size_t in_length;
  char *out;
  size_t out_length, out_sent;
  uint64_t after; /* of a watch */
  int64_t until;
  int fd;          /* -1: not in use */
  bool is_waiting; /* a watch */
  char in[4096];
};

bool store_cut;

static struct item items[ITEMS_MAX];
static unsigned item_count;
static struct change changes[EVENTS_MAX];
static unsigned first_change, change_count;
static struct connection connections[CONNECTIONS_MAX];
static uint64_t revision = 100, oldest = 100;
static int listener;

void
store_start (void)
{
  int one = 1;
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (address (250)),
                           .sin_port = htons (ports.store) };
  for (unsigned i = 0; i < CONNECTIONS_MAX; i++)
    connections[i].fd = -1;
  listener = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (listener, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (listener, (struct sockaddr *)&a, sizeof a) != 0
      || listen (listener, 64) != 0)
    cannot_run ("the store's port is not free");
}

static char *
encode (const char *text)
{
  static const char digits[]
      = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  size_t n = strlen (text);
  char *out = malloc (4 * (n / 3 + 1) + 1), *to = out;
  for (size_t i = 0; i < n; i += 3)
    {
      uint32_t v = 0;
      for (size_t k = 0; k < 3; k++)
        v = v << 8 | (i + k < n ? (uint8_t)text[i + k] : 0);
      *to++ = digits[v >> 18];
      *to++ = digits[v >> 12 & 63];
      *to++ = i + 1 < n ? digits[v >> 6 & 63] : '=';
      *to++ = i + 2 < n ? digits[v & 63] : '=';
    }
  *to = 0;
  return out;
}

static char *
item_json (const struct item *it)
{
  char *text = NULL;
  if (asprintf (&text,
                "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%llu,"
                "\"created-at\":%llu,\"lease-id\":0}",
                it->key, it->value, (unsigned long long)it->revision,
                (unsigned long long)it->created)
      < 0)
    abort ();
  return text;
}

static int
compare_items (const void *a, const void *b)
{
  return strcmp (((const struct item *)a)->key, ((const struct item *)b)->key);
}

void
store_put (const char *key, const char *value)
{
  struct item *it = NULL;
  if (strlen (value) > 1048576)
    cannot_run ("a value is larger than value-bytes");
  for (unsigned i = 0; i < item_count; i++)
    if (strcmp (items[i].key, key) == 0)
      it = &items[i];
  if (!it)
    {
      it = &items[item_count++];
      *it = (struct item){ .key = strdup (key), .created = revision + 1 };
    }
  free (it->value);
  it->value = encode (value);
  it->revision = ++revision;
  struct change *c = &changes[change_count++];
  *c = (struct change){ item_json (it), revision, now };
  qsort (items, item_count, sizeof items[0], compare_items);
}

static void
close_connection (struct connection *c)
{
  close (c->fd);
  free (c->out);
  *c = (struct connection){ .fd = -1 };
}

static void
flush_out (struct connection *c)
{
  while (c->out && c->out_sent < c->out_length)
    {
      ssize_t n = send (c->fd, c->out + c->out_sent,
                        c->out_length - c->out_sent, MSG_NOSIGNAL);
      if (n <= 0)
        {
          if (errno != EAGAIN)
            close_connection (c);
          return;
        }
      c->out_sent += (size_t)n;
    }
  if (c->out)
    close_connection (c);
}

static void
reply (struct connection *c, const char *status, char *body)
{
  int n = asprintf (&c->out,
                    "HTTP/1.1 %s\r\nContent-Type: application/json\r\n"
                    "Content-Length: %zu\r\nConnection: close\r\n\r\n%s",
                    status, strlen (body), body);
  if (n < 0)
    abort ();
  free (body);
  c->out_length = (size_t)n;
  c->is_waiting = false;
  flush_out (c);
}

/* Joins COUNT texts into {"NAME":[...],REST}.  */
static char *
join (const char *name, char **texts, unsigned count, const char *rest)
{
  size_t n = strlen (name) + strlen (rest) + 16;
  for (unsigned i = 0; i < count; i++)
    n += strlen (texts[i]) + 1;
  char *out = malloc (n);
  char *to = out + sprintf (out, "{\"%s\":[", name);
  for (unsigned i = 0; i < count; i++)
    to += sprintf (to, "%s%s", i ? "," : "", texts[i]);
  sprintf (to, "],%s}", rest);
  return out;
}

static void
reply_range (struct connection *c, const char *after)
{
  char *texts[ITEMS_MAX], rest[80];
  unsigned count = 0;
  size_t bytes = 0;
  bool more = false;
  for (unsigned i = 0; i < item_count; i++)
    {
      if (strcmp (items[i].key, after) <= 0)
        continue;
      more = count > 0
             && (count == PAGE_ITEMS
                 || bytes + strlen (items[i].value) > PAGE_BYTES * 4 / 3);
      if (more)
        break;
      texts[count++] = item_json (&items[i]);
      bytes += strlen (items[i].value);
    }
  snprintf (rest, sizeof rest, "\"has-more\":%s,\"store-revision\":%llu",
            more ? "true" : "false", (unsigned long long)revision);
  char *body = join ("items", texts, count, rest);
  for (unsigned i = 0; i < count; i++)
    free (texts[i]);
  reply (c, "200 OK", body);
}

static void
reply_watch (struct connection *c)
{
  char *texts[EVENTS_MAX], rest[80];
  unsigned count = 0;
  for (unsigned i = first_change; i < change_count; i++)
    if (changes[i].revision > c->after)
      texts[count++] = changes[i].json;
  if (count == 0 && now < c->until)
    return;
  snprintf (rest, sizeof rest, "\"store-revision\":%llu",
            (unsigned long long)revision);
  char *body = join ("events", texts, count, rest);
  if (strlen (body) > 1 << 20)
    record ("store: a watch after %llu is answered with %u events, %zu bytes",
            (unsigned long long)c->after, count, strlen (body));
  reply (c, "200 OK", body);
}

static void
unescape (char *text)
{
  char *to = text;
  for (; *text; text++, to++)
    {
      unsigned v;
      *to = *text;
      if (*text == '%' && sscanf (text + 1, "%2x", &v) == 1)
        {
          *to = (char)v;
          text += 2;
        }
    }
  *to = 0;
}

static void
handle_request (struct connection *c)
{
  char key[256] = "";
  const char *after = strstr (c->in, "after=");
  if (strncmp (c->in, "GET /api/kv-range", 17) == 0)
    {
      if (after)
        sscanf (after + 6, "%255[^& \r\n]", key);
      unescape (key);
      reply_range (c, key);
    }
  else if (strncmp (c->in, "GET /api/kv-watch", 17) == 0)
    {
      const char *wait = strstr (c->in, "wait-ms=");
      c->after = after ? strtoull (after + 6, NULL, 10) : 0;
      c->until = now + (wait ? atoi (wait + 8) : 0);
      c->is_waiting = true;
      if (c->after < oldest)
        {
          record ("store: a watch after %llu gets 410",
                  (unsigned long long)c->after);
          reply (c, "410 Gone", strdup ("{}"));
        }
      else
        reply_watch (c);
    }
  else
    reply (c, "404 Not Found", strdup ("{}"));
}

unsigned
store_fds (struct pollfd *fds)
{
  unsigned n = 0;
  fds[n++] = (struct pollfd){ listener, POLLIN, 0 };
  for (unsigned i = 0; i < CONNECTIONS_MAX; i++)
    if (connections[i].fd >= 0)
      fds[n++] = (struct pollfd){
        connections[i].fd, connections[i].out ? POLLIN | POLLOUT : POLLIN, 0
      };
  return n;
}

static void
accept_all (void)
{
  int fd;
  while ((fd = accept4 (listener, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC))
         >= 0)
    {
      unsigned i = 0;
      while (i < CONNECTIONS_MAX && connections[i].fd >= 0)
        i++;
      if (i == CONNECTIONS_MAX)
        close (fd);
      else
        connections[i] = (struct connection){ .fd = fd };
    }
}

/* While the balancers are cut off, nothing is read and nothing is sent.  */
void
store_event (int fd, short revents)
{
  if (fd == listener)
    {
      accept_all ();
      return;
    }
  struct connection *c = connections;
  while (c < connections + CONNECTIONS_MAX && c->fd != fd)
    c++;
  if (c == connections + CONNECTIONS_MAX || store_cut)
    return;
  if (c->out && revents & POLLOUT)
    {
      flush_out (c);
      return;
    }
  ssize_t n
      = recv (fd, c->in + c->in_length, sizeof c->in - 1 - c->in_length, 0);
  if (n <= 0)
    {
      close_connection (c);
      return;
    }
  c->in_length += (size_t)n;
  c->in[c->in_length] = 0;
  if (!c->out && !c->is_waiting && strstr (c->in, "\r\n\r\n"))
    handle_request (c);
}

void
store_tick (void)
{
  while (first_change < change_count
         && now - changes[first_change].at > HISTORY_MS)
    {
      oldest = changes[first_change].revision;
      free (changes[first_change++].json);
    }
  for (unsigned i = 0; i < CONNECTIONS_MAX && !store_cut; i++)
    if (connections[i].fd >= 0 && connections[i].is_waiting)
      reply_watch (&connections[i]);
}
