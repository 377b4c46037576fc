#include "world.h"
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

enum
{
  CLIENTS_MAX = 16,
  STORE_CALLS_MAX = 64,
  PAGE_ITEMS = 500,
  TIME_LIMIT_S = 115,
  SYN_LIMIT_MS = 1400,
  DELAYED_ACK_MS = 40,
  FIRST_WAIT_MS = 200,
  WAIT_MAX_MS = 1600,
  ANSWER_SENDS_MAX = 8,
  RESET_WINDOW = 76800,
  POLL_MS = 500,
  OPENING_MS = 3000,
  KEEP_MS = 3000 /* ended flows, for late packets */
};

struct balancer balancers[BALANCERS_MAX];
unsigned balancer_count;
struct server servers[SERVERS_MAX];
unsigned server_count;
struct flow flows[FLOWS_MAX];
unsigned flow_count;
uint16_t packets_port;
bool has_trouble;
FILE *record;
uint32_t sender;
bool (*lose_datagram) (struct server *, const uint8_t *, size_t);
void (*on_executed) (struct server *, uint64_t);
void (*on_opening) (struct server *, uint32_t, uint16_t);
void (*on_server_packet) (struct server *, const uint8_t *, size_t);
void (*on_tick) (void);

static uint16_t ready_port, peer_port, metrics_port, store_port, server_port;
static unsigned net;
static char directory[128];
static double started;
static uint16_t next_sport = 20000;

/* Time, record, end.  */

double
now_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  return t.tv_sec * 1e3 + t.tv_nsec / 1e6 - started;
}

void
note (const char *format, ...)
{
  va_list args;
  va_start (args, format);
  fprintf (record, "%9.1f ", now_ms ());
  vfprintf (record, format, args);
  fputc ('\n', record);
  fflush (record);
  va_end (args);
}

static void
end_processes (void)
{
  for (unsigned i = 0; i < balancer_count; i++)
    if (balancers[i].pid > 0)
      {
        kill (balancers[i].pid, SIGKILL);
        waitpid (balancers[i].pid, NULL, 0);
        balancers[i].pid = 0;
      }
}

void
finish (int status, const char *format, ...)
{
  va_list args;
  char text[512];
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  end_processes ();
  note ("%s: %s", status == 0 ? "held" : status == 1 ? "BROKEN" : "no run",
        text);
  printf ("%s: %s\n",
          status == 0 ? "held" : status == 1 ? "BROKEN" : "no run", text);
  exit (status);
}

static void
on_alarm (int number)
{
  (void)number;
  end_processes ();
  _exit (2);
}

uint32_t
loopback (unsigned a, unsigned b, unsigned c)
{
  return 127u << 24 | (a + net) << 16 | b << 8 | c;
}

static const char *
text_of (uint32_t address)
{
  static char text[4][16];
  static unsigned next;
  char *t = text[next++ % 4];
  snprintf (t, 16, "%u.%u.%u.%u", address >> 24, address >> 16 & 255,
            address >> 8 & 255, address & 255);
  return t;
}

static struct sockaddr_in
socket_address (uint32_t address, uint16_t port)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr.s_addr = htonl (address) };
  return a;
}

static int
open_socket (int type, uint32_t address, uint16_t port)
{
  const int one = 1, size = 1 << 20;
  struct sockaddr_in a = socket_address (address, port);
  int fd = socket (AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (type == SOCK_STREAM)
    setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  else
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0
      || (type == SOCK_STREAM && listen (fd, 128) != 0))
    {
      if (fd >= 0)
        close (fd);
      return -1;
    }
  return fd;
}

/* Packets.  */

uint32_t
load32 (const uint8_t *p)
{
  return (uint32_t)p[0] << 24 | (uint32_t)p[1] << 16 | (uint32_t)p[2] << 8
         | p[3];
}

uint16_t
load16 (const uint8_t *p)
{
  return (uint16_t)(p[0] << 8 | p[1]);
}

static void
store32 (uint8_t *p, uint32_t v)
{
  for (int i = 0; i < 4; i++)
    p[i] = (uint8_t)(v >> (24 - 8 * i));
}

static void
store16 (uint8_t *p, uint16_t v)
{
  p[0] = (uint8_t)(v >> 8);
  p[1] = (uint8_t)v;
}

/* The keyed sum: over all fields but sum, echo, pad, and the data.  Never 0.
 */
static uint32_t
sum_of (const uint8_t *p, size_t length)
{
  uint32_t h = 0x9e3779b9;
  for (size_t i = 0; i < length; i++)
    if (i < 20 || (i >= 28 && i < 31) || i >= HEADER)
      h = (h ^ p[i]) * 16777619u;
  return h ? h : 1;
}

struct packet
{
  uint32_t source, destination, sequence, acknowledgement, echo;
  uint16_t sport, dport, length;
  uint8_t flags;
};

static size_t
encode (uint8_t *b, const struct packet *p, const void *data)
{
  memset (b, 0, HEADER);
  store32 (b, p->source);
  store16 (b + 4, p->dport);
  store16 (b + 6, p->sport);
  store32 (b + 8, p->destination);
  store32 (b + 12, p->sequence);
  store32 (b + 16, p->acknowledgement);
  store32 (b + 24, p->echo);
  store16 (b + 28, p->length);
  b[30] = p->flags;
  if (p->length)
    memcpy (b + HEADER, data, p->length);
  store32 (b + 20, sum_of (b, HEADER + p->length));
  return HEADER + p->length;
}

static struct packet
decode (const uint8_t *b)
{
  return (struct packet){ .source = load32 (b),
                          .dport = load16 (b + 4),
                          .sport = load16 (b + 6),
                          .destination = load32 (b + 8),
                          .sequence = load32 (b + 12),
                          .acknowledgement = load32 (b + 16),
                          .echo = load32 (b + 24),
                          .length = load16 (b + 28),
                          .flags = b[30] };
}

static void
send_datagram (int fd, uint32_t address, uint16_t port, const uint8_t *bytes,
               size_t length)
{
  struct sockaddr_in to = socket_address (address, port);
  (void)!sendto (fd, bytes, length, 0, (struct sockaddr *)&to, sizeof to);
}

/* Store.  */

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
  int fd; /* -1: free */
  char in[4096];
  size_t length;
  bool is_watch;
  uint64_t after;
  double until;
};

static struct item items[ITEMS_MAX], copy_items[ITEMS_MAX];
static unsigned item_count, copy_count;
static struct change changes[EVENTS_MAX];
static unsigned change_count, copy_changes;
static uint64_t revision = 100, copy_revision;
uint64_t store_oldest = 100, store_era;
bool store_is_silent;
static int store_fd;
static struct call calls[STORE_CALLS_MAX];

uint64_t
store_revision (void)
{
  return revision;
}

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

void
store_save_copy (void)
{
  memcpy (copy_items, items, sizeof items);
  copy_count = item_count;
  copy_changes = change_count;
  copy_revision = revision;
}

void
store_return (void)
{
  memcpy (items, copy_items, sizeof items);
  item_count = copy_count;
  change_count = copy_changes;
  revision = copy_revision;
  store_era++;
  for (unsigned i = 0; i < STORE_CALLS_MAX; i++)
    if (calls[i].fd >= 0)
      {
        close (calls[i].fd);
        calls[i].fd = -1;
      }
  note ("store: returned from a copy at revision %llu, era %llu",
        (unsigned long long)revision, (unsigned long long)store_era);
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
  add_text (&out, "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
                  "Content-Length: %zu\r\nConnection: close\r\n",
            status, body->length);
  if (store_era)
    add_text (&out, "Store-Era: %llu\r\n", (unsigned long long)store_era);
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
  if (c->after < store_oldest || c->after > revision)
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
  if (!strstr (c->in, "\r\n\r\n") || c->is_watch || store_is_silent)
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

/* Balancers.  */

struct balancer *
add_balancer (const char *zone)
{
  struct balancer *b = &balancers[balancer_count];
  b->index = balancer_count++;
  b->zone = zone;
  b->address = loopback (0, 1, b->index + 1);
  b->poll_fd = -1;
  snprintf (b->settings, sizeof b->settings, "%s/balancer-%u.json", directory,
            b->index);
  return b;
}

/* What the template of the deploy file gives for a small deployment.  */
void
write_settings (struct balancer *b)
{
  char temporary[300];
  snprintf (temporary, sizeof temporary, "%s.new", b->settings);
  FILE *f = fopen (temporary, "w");
  if (!f)
    finish (2, "no settings file");
  fprintf (f,
           "{\n \"name\": \"front-%s-%u\",\n \"data_centre\": \"%s\",\n"
           " \"address\": \"%s\",\n \"metrics_port\": %u,\n \"marked\": {\n"
           "  \"packets\": \"%s:%u\",\n  \"ready\": \"%s:%u\",\n"
           "  \"store\": \"%s:%u\",\n  \"peer_port\": %u,\n  \"seeds\": [",
           b->zone, b->index, b->zone, text_of (b->address), metrics_port,
           text_of (b->address), packets_port, text_of (b->address),
           ready_port, text_of (loopback (0, 4, 1)), store_port, peer_port);
  for (unsigned i = 0; i < balancer_count && i < 3; i++)
    fprintf (f, "%s\"%s:%u\"", i ? "," : "", text_of (balancers[i].address),
             peer_port);
  fprintf (f, "],\n  \"cpu_share\": 0.25,\n  \"flow_capacity\": 16384\n }\n}\n");
  fclose (f);
  if (rename (temporary, b->settings) != 0)
    finish (2, "no settings file");
}

void
start_balancer (struct balancer *b)
{
  char log[300];
  snprintf (log, sizeof log, "%s/balancer-%u.log", directory, b->index);
  note ("start of balancer %u (%s)", b->index, text_of (b->address));
  pid_t pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl ("target/bin/bluebellstand", "target/bin/bluebellstand",
             "--settings", b->settings, (char *)NULL);
      _exit (127);
    }
  b->pid = pid;
  b->is_ready = false;
  b->misses = 0;
  b->poll_due = 0;
}

void
signal_balancer (struct balancer *b, int number)
{
  note ("signal %d to balancer %u", number, b->index);
  if (b->pid > 0)
    kill (b->pid, number);
}

bool
all_ready (void)
{
  for (unsigned i = 0; i < balancer_count; i++)
    if (!balancers[i].is_ready)
      return false;
  return true;
}

static void
end_poll (struct balancer *b, bool ok)
{
  if (b->poll_fd >= 0)
    close (b->poll_fd);
  b->poll_fd = -1;
  b->misses = ok ? 0 : b->misses + 1;
  if (ok != b->is_ready && (ok || b->misses >= 2))
    {
      b->is_ready = ok;
      note ("routers: balancer %u is %s rotation", b->index,
            ok ? "in" : "out of");
    }
}

static void
tick_balancer (struct balancer *b)
{
  int status;
  if (b->pid > 0 && waitpid (b->pid, &status, WNOHANG) == b->pid)
    {
      note ("balancer %u ended, status %d signal %d", b->index,
            WIFEXITED (status) ? WEXITSTATUS (status) : -1,
            WIFSIGNALED (status) ? WTERMSIG (status) : 0);
      b->pid = 0;
    }
  double now = now_ms ();
  if (b->poll_fd >= 0)
    {
      char in[256];
      ssize_t n = recv (b->poll_fd, in, sizeof in - 1, MSG_DONTWAIT);
      if (n > 0)
        {
          in[n] = 0;
          end_poll (b, strncmp (in, "HTTP/1.1 200", 12) == 0);
        }
      else if (n == 0 || (errno != EAGAIN && errno != ENOTCONN)
               || now >= b->poll_end)
        end_poll (b, false);
    }
  else if (now >= b->poll_due)
    {
      struct sockaddr_in to = socket_address (b->address, ready_port);
      char out[256];
      b->poll_due = now + POLL_MS;
      b->poll_end = now + POLL_MS - 20;
      b->poll_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      /* A listener on a loopback address accepts at once.  */
      if (connect (b->poll_fd, (struct sockaddr *)&to, sizeof to) != 0)
        {
          end_poll (b, false);
          return;
        }
      int n = snprintf (out, sizeof out,
                        "GET /ready HTTP/1.1\r\nHost: %s:%u\r\n"
                        "Connection: close\r\n\r\n",
                        text_of (b->address), ready_port);
      (void)!send (b->poll_fd, out, (size_t)n, MSG_NOSIGNAL);
    }
}

/* Servers.  */

/* A flow as its server holds it.  */
struct held
{
  struct server *server; /* NULL: free */
  uint32_t client, host;
  uint16_t sport, port;
  bool is_open;
  double since;
  uint32_t sequence, expected, echo;
  unsigned unacknowledged;
  uint64_t request; /* waiting or at work */
  bool is_at_work;
  unsigned work_ms;
  double queued, due;
  uint8_t answer[REQUEST_BYTES];
  bool has_answer; /* not acknowledged yet */
  double answer_due, answer_wait;
  unsigned answer_sends;
};

static struct held held[FLOWS_MAX];

struct server *
find_server (uint64_t tag)
{
  for (unsigned i = 0; i < server_count; i++)
    if (servers[i].tag == tag)
      return &servers[i];
  return NULL;
}

unsigned
count_flows (const struct server *s)
{
  unsigned n = 0;
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    n += held[i].server == s && held[i].is_open;
  return n;
}

static struct held *
find_held (struct server *s, uint32_t client, uint16_t sport)
{
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    if (held[i].server == s && held[i].client == client
        && held[i].sport == sport)
      return &held[i];
  return NULL;
}

static void
forget (struct held *h)
{
  if (h->server)
    h->server->connections--;
  h->server = NULL;
}

static int64_t
unix_ms (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return (int64_t)t.tv_sec * 1000 + t.tv_nsec / 1000000;
}

void
put_entry (struct server *s)
{
  char key[64], text[512];
  snprintf (key, sizeof key, "servers/%s", s->id);
  snprintf (text, sizeof text,
            "{\"service\":\"%s\",\"address\":\"%s:%u\",\"zone\":\"%s\","
            "\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\","
            "\"cold-left-ms\":0,\"seq-no\":1,\"born\":%lld}",
            s->service, text_of (s->address), s->port, s->zone, s->slots,
            s->is_draining ? "draining" : "ready", (long long)s->born_ms);
  store_put (key, text);
  s->is_listed = true;
}

struct server *
add_server (const char *service, const char *zone, unsigned slots,
            unsigned max_conns)
{
  struct server *s = &servers[server_count];
  s->tag = 0x7f3a0000u + 0x101 * ++server_count;
  snprintf (s->id, sizeof s->id, "i-%08llx", (unsigned long long)s->tag);
  snprintf (s->service, sizeof s->service, "%s", service);
  s->zone = zone;
  s->address = loopback (0, 2, server_count);
  s->port = server_port;
  s->slots = slots;
  s->max_conns = max_conns;
  s->fd = -1;
  return s;
}

void
start_server (struct server *s)
{
  s->fd = open_socket (SOCK_DGRAM, s->address, s->port);
  if (s->fd < 0)
    finish (2, "no socket for a server");
  s->born_ms = unix_ms ();
  s->is_draining = false;
  s->connections = 0;
  s->heartbeats = true;
  s->next_heartbeat = now_ms () + HEARTBEAT_MS;
  put_entry (s);
}

void
stop_server (struct server *s)
{
  note ("server %s stops", s->id);
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    if (held[i].server == s)
      held[i].server = NULL;
  close (s->fd);
  s->fd = -1;
  s->heartbeats = false;
}

void
drain_server (struct server *s)
{
  s->is_draining = true;
  put_entry (s);
}

void
end_server (struct server *s)
{
  char key[64];
  stop_server (s);
  snprintf (key, sizeof key, "servers/%s", s->id);
  store_delete (key);
}

static void
send_to_client (struct held *h, uint8_t flags, uint32_t sequence,
                const void *data, uint16_t length)
{
  uint8_t bytes[HEADER + DATA_MAX];
  struct packet p = { .source = h->host,
                      .sport = h->port,
                      .destination = h->client,
                      .dport = h->sport,
                      .sequence = sequence,
                      .acknowledgement = h->expected,
                      .echo = h->echo,
                      .length = length,
                      .flags = flags };
  h->unacknowledged = 0;
  send_datagram (h->server->fd, h->client, packets_port, bytes,
                 encode (bytes, &p, data));
}

static void
send_reset (struct server *s, const struct packet *p)
{
  uint8_t bytes[HEADER];
  struct packet r = { .source = p->destination,
                      .sport = p->dport,
                      .destination = p->source,
                      .dport = p->sport,
                      .sequence = p->acknowledgement,
                      .echo = p->echo,
                      .flags = RST };
  note ("server %s resets a flow that it does not hold, port %u", s->id,
        p->sport);
  send_datagram (s->fd, p->source, packets_port, bytes,
                 encode (bytes, &r, NULL));
}

static void
take_opening (struct server *s, const struct packet *p)
{
  struct held *h = find_held (s, p->source, p->sport);
  if (!h)
    {
      if (s->connections >= s->max_conns)
        return; /* full: sends nothing */
      for (unsigned i = 0; i < FLOWS_MAX && !h; i++)
        if (!held[i].server)
          h = &held[i];
      if (!h)
        return;
      memset (h, 0, sizeof *h);
      h->server = s;
      h->client = p->source;
      h->sport = p->sport;
      h->host = p->destination;
      h->port = p->dport;
      h->since = now_ms ();
      h->sequence = (uint32_t)random () * 2u + 1u;
      h->expected = p->sequence + 1;
      s->connections++;
      if (on_opening)
        on_opening (s, p->source, p->sport);
    }
  h->echo = p->echo;
  send_to_client (h, SYN | ACK, h->sequence - 1, NULL, 0);
}

static void
take_data (struct server *s, struct held *h, const struct packet *p,
           const uint8_t *data)
{
  h->unacknowledged++;
  if (p->sequence == h->expected && p->length == REQUEST_BYTES && !h->request)
    {
      h->expected += p->length;
      h->request = (uint64_t)load32 (data) << 32 | load32 (data + 4);
      h->work_ms = load32 (data + 8);
      h->queued = now_ms ();
      h->is_at_work = false;
    }
  if (h->unacknowledged >= 2)
    send_to_client (h, ACK, h->sequence, NULL, 0);
  (void)s;
}

static void
take_packet (struct server *s, const uint8_t *bytes, size_t length)
{
  uint64_t tag = (uint64_t)load32 (bytes) << 32 | load32 (bytes + 4);
  const uint8_t *b = bytes + 8;
  struct packet p = decode (b);
  if (tag != 0 && tag != s->tag)
    return;
  if (load32 (b + 20) != sum_of (b, length - 8))
    finish (1, "UNASKED: server %s got a packet with a wrong sum", s->id);
  if (lose_datagram && lose_datagram (s, b, length - 8))
    return;
  if (on_server_packet)
    on_server_packet (s, b, length - 8);
  if (p.flags & SYN)
    {
      take_opening (s, &p);
      return;
    }
  struct held *h = find_held (s, p.source, p.sport);
  if (p.flags & RST)
    {
      if (h)
        forget (h);
      return;
    }
  if (!h || (!h->is_open && p.acknowledgement != h->sequence))
    {
      send_reset (s, &p);
      return;
    }
  h->is_open = true;
  h->echo = p.echo;
  if (h->has_answer
      && (int32_t)(p.acknowledgement - h->sequence) >= 0)
    h->has_answer = false;
  if (p.length)
    take_data (s, h, &p, b + HEADER);
  if (p.flags & FIN)
    {
      send_to_client (h, FIN | ACK, h->sequence, NULL, 0);
      forget (h);
    }
}

static void
read_server (struct server *s)
{
  uint8_t bytes[2048];
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  ssize_t n;
  while (s->fd >= 0
         && (n = recvfrom (s->fd, bytes, sizeof bytes, 0,
                           (struct sockaddr *)&from, &size))
                > 0)
    {
      sender = ntohl (from.sin_addr.s_addr);
      if (n >= 8 + HEADER)
        take_packet (s, bytes, (size_t)n);
    }
}

static void
end_work (struct held *h)
{
  memset (h->answer, 0, sizeof h->answer);
  store32 (h->answer, (uint32_t)(h->request >> 32));
  store32 (h->answer + 4, (uint32_t)h->request);
  h->request = 0;
  h->is_at_work = false;
  h->has_answer = true;
  h->answer_sends = 1;
  h->answer_wait = FIRST_WAIT_MS;
  h->answer_due = now_ms () + h->answer_wait;
  h->sequence += REQUEST_BYTES;
  send_to_client (h, h->server->is_draining ? ACK | FIN : ACK,
                  h->sequence - REQUEST_BYTES, h->answer, REQUEST_BYTES);
}

static void
begin_work (struct server *s)
{
  unsigned at_work = 0;
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    at_work += held[i].server == s && held[i].is_at_work;
  while (at_work < s->slots)
    {
      struct held *first = NULL;
      for (unsigned i = 0; i < FLOWS_MAX; i++)
        if (held[i].server == s && held[i].request && !held[i].is_at_work
            && (!first || held[i].queued < first->queued))
          first = &held[i];
      if (!first)
        return;
      first->is_at_work = true;
      first->due = now_ms () + first->work_ms;
      s->executed++;
      note ("server %s runs request %llu of port %u", s->id,
            (unsigned long long)first->request, first->sport);
      if (on_executed)
        on_executed (s, first->request);
      at_work++;
    }
}

static void
tick_servers (void)
{
  double now = now_ms ();
  for (unsigned i = 0; i < FLOWS_MAX; i++)
    {
      struct held *h = &held[i];
      if (!h->server)
        continue;
      if (!h->is_open && now - h->since > OPENING_MS)
        forget (h);
      else if (h->is_at_work && now >= h->due)
        end_work (h);
      else if (h->has_answer && now >= h->answer_due)
        {
          if (++h->answer_sends > ANSWER_SENDS_MAX)
            {
              h->has_answer = false;
              continue;
            }
          h->answer_wait = h->answer_wait * 2 < WAIT_MAX_MS
                               ? h->answer_wait * 2
                               : WAIT_MAX_MS;
          h->answer_due = now + h->answer_wait;
          send_to_client (h, ACK, h->sequence - REQUEST_BYTES, h->answer,
                          REQUEST_BYTES);
        }
    }
  for (unsigned i = 0; i < server_count; i++)
    {
      struct server *s = &servers[i];
      if (s->fd < 0)
        continue;
      begin_work (s);
      if (s->heartbeats && now >= s->next_heartbeat)
        {
          /* Only the sequence number changes, which is not a change.  */
          s->next_heartbeat = now + HEARTBEAT_MS;
          if (!s->is_listed && !store_is_silent)
            put_entry (s);
        }
    }
}

/* Clients.  */

static struct
{
  uint32_t address;
  int fd;
} clients[CLIENTS_MAX];
static uint64_t next_request = 1;

static const struct balancer *
route_packet (const struct flow *f)
{
  const struct balancer *best = NULL;
  uint32_t best_score = 0;
  if (f->balancer >= 0)
    return &balancers[f->balancer];
  for (unsigned i = 0; i < balancer_count; i++)
    {
      const struct balancer *b = &balancers[i];
      if (strcmp (b->zone, f->zone) != 0 || !b->is_ready)
        continue;
      uint32_t h = f->client * 2654435761u ^ f->sport * 40503u
                   ^ f->host * 2246822519u ^ f->port * 3266489917u
                   ^ (i + 1) * 668265263u;
      h ^= h >> 15;
      h *= 2246822519u;
      h ^= h >> 13;
      if (!best || h > best_score)
        {
          best = b;
          best_score = h;
        }
    }
  return best;
}

static int
client_fd (uint32_t address)
{
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    if (clients[i].address == address)
      return clients[i].fd;
  return -1;
}

static void
send_packet (struct flow *f, uint8_t flags, uint32_t sequence,
             const void *data, uint16_t length)
{
  uint8_t bytes[HEADER + DATA_MAX];
  const struct balancer *b = route_packet (f);
  struct packet p = { .source = f->client,
                      .sport = f->sport,
                      .destination = f->host,
                      .dport = f->port,
                      .sequence = sequence,
                      .acknowledgement
                      = flags & SYN ? f->syns : f->acknowledgement,
                      .echo = f->echo,
                      .length = length,
                      .flags = flags };
  if (!(flags & SYN))
    f->ack_due = 0;
  if (b)
    send_datagram (client_fd (f->client), b->address, packets_port, bytes,
                   encode (bytes, &p, data));
}

struct flow *
open_flow (const char *zone, uint32_t host, uint16_t port)
{
  struct flow *f = NULL;
  for (unsigned i = 0; i < flow_count && !f; i++)
    if (flows[i].state == FLOW_ENDED && now_ms () - flows[i].ended > KEEP_MS)
      f = &flows[i];
  if (!f && flow_count == FLOWS_MAX)
    finish (2, "too many flows");
  if (!f)
    f = &flows[flow_count++];
  memset (f, 0, sizeof *f);
  f->state = FLOW_SYN_SENT;
  f->client = clients[next_sport % CLIENTS_MAX].address;
  f->sport = next_sport++;
  f->host = host;
  f->port = port;
  f->zone = zone;
  f->balancer = -1;
  f->started = now_ms ();
  f->due = f->started + FIRST_WAIT_MS;
  f->sequence = (uint32_t)random ();
  send_packet (f, SYN, f->sequence, NULL, 0);
  f->syns = 1;
  return f;
}

static void
end_flow (struct flow *f, enum flow_end end)
{
  f->state = FLOW_ENDED;
  f->end = end;
  f->ended = now_ms ();
}

void
send_request (struct flow *f, unsigned work_ms)
{
  memset (f->data, 0, sizeof f->data);
  f->request = next_request++;
  store32 (f->data, (uint32_t)(f->request >> 32));
  store32 (f->data + 4, (uint32_t)f->request);
  store32 (f->data + 8, work_ms);
  note ("client: request %llu on port %u, work %u ms",
        (unsigned long long)f->request, f->sport, work_ms);
  f->sent_at = now_ms ();
  f->wait = FIRST_WAIT_MS;
  f->due = f->sent_at + f->wait;
  f->sends = 1;
  send_packet (f, ACK, f->sequence, f->data, REQUEST_BYTES);
}

void
close_flow (struct flow *f)
{
  if (f->state == FLOW_OPEN)
    send_packet (f, ACK | FIN, f->sequence, NULL, 0);
  end_flow (f, END_CLOSED);
}

static struct flow *
find_flow (const struct packet *p)
{
  for (unsigned i = flow_count; i-- > 0;)
    if (flows[i].client == p->destination && flows[i].sport == p->dport)
      return &flows[i];
  return NULL;
}

static void
take_reset (struct flow *f, const struct packet *p, bool is_system)
{
  int32_t distance = (int32_t)(p->sequence - f->acknowledgement);
  if (f->state == FLOW_OPEN
      && (distance > RESET_WINDOW || distance < -RESET_WINDOW))
    {
      note ("client: a reset of port %u is out of its window", f->sport);
      return;
    }
  note ("client: %s reset of port %u (%s, server %s%s)",
        is_system ? "the system's" : "a server's", f->sport,
        f->state == FLOW_OPEN ? "open" : "not open",
        f->server ? f->server->id : "none",
        f->request ? ", a request is in progress" : "");
  end_flow (f, is_system ? END_SYSTEM_RESET : END_SERVER_RESET);
}

static struct server *
server_at (uint32_t address, uint16_t port)
{
  for (unsigned i = 0; i < server_count; i++)
    if (servers[i].address == address && servers[i].port == port
        && servers[i].fd >= 0)
      return &servers[i];
  return NULL;
}

static void
take_from_server (struct flow *f, const struct packet *p, const uint8_t *data,
                  struct server *s)
{
  if (f->state == FLOW_SYN_SENT)
    {
      if (!(p->flags & SYN) || p->acknowledgement != f->sequence + 1)
        return;
      f->sequence++;
      f->acknowledgement = p->sequence + 1;
      f->echo = p->echo;
      f->state = FLOW_OPEN;
      f->opened = f->last_answer = now_ms ();
      f->server = s;
      f->due = 0;
      send_packet (f, ACK, f->sequence, NULL, 0);
      return;
    }
  if (p->flags & SYN || s != f->server)
    return;
  f->echo = p->echo;
  bool is_acknowledged
      = f->request
        && (int32_t)(p->acknowledgement - f->sequence) >= REQUEST_BYTES;
  if (is_acknowledged)
    f->due = 0; /* no further copy */
  if (p->length == 0)
    return;
  if (p->sequence == f->acknowledgement)
    {
      uint64_t id = (uint64_t)load32 (data) << 32 | load32 (data + 4);
      f->acknowledgement += p->length;
      if (id != f->request)
        finish (1, "MIXED: port %u got another answer", f->sport);
      note ("client: request %llu of port %u is answered",
            (unsigned long long)f->request, f->sport);
      f->request = 0;
      f->sequence += REQUEST_BYTES;
      f->answered++;
      f->last_answer = now_ms ();
      f->ack_due = f->last_answer + DELAYED_ACK_MS;
    }
  else
    send_packet (f, ACK, f->sequence, NULL, 0);
  if (p->flags & FIN)
    close_flow (f);
}

static void
read_client (int fd)
{
  uint8_t b[2048];
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  ssize_t n;
  while ((n = recvfrom (fd, b, sizeof b, 0, (struct sockaddr *)&from, &size))
         > 0)
    {
      if (n < HEADER)
        continue;
      sender = ntohl (from.sin_addr.s_addr);
      struct packet p = decode (b);
      uint32_t sum = load32 (b + 20);
      struct flow *f = find_flow (&p);
      bool is_system = p.flags == RST && sum == 0 && p.length == 0;
      if (!is_system && sum != sum_of (b, (size_t)n))
        finish (1, "MIXED: a client got a packet with a wrong sum");
      if (!f || f->state == FLOW_ENDED || f->state == FLOW_FREE
          || p.source != f->host || p.sport != f->port)
        continue;
      if (p.flags & RST)
        take_reset (f, &p, is_system);
      else
        take_from_server (f, &p, b + HEADER,
                          server_at (ntohl (from.sin_addr.s_addr),
                                     ntohs (from.sin_port)));
    }
}

static void
tick_flow (struct flow *f, double now)
{
  if (f->state == FLOW_SYN_SENT)
    {
      if (now - f->started >= SYN_LIMIT_MS)
        end_flow (f, END_NO_ANSWER);
      else if (f->syns < 3 && now >= f->due)
        {
          send_packet (f, SYN, f->sequence, NULL, 0);
          f->syns++;
          f->due = f->started + 600;
        }
      return;
    }
  if (f->state != FLOW_OPEN)
    return;
  if (f->request && f->due != 0 && now >= f->due)
    {
      f->wait = f->wait * 2 < WAIT_MAX_MS ? f->wait * 2 : WAIT_MAX_MS;
      f->due = now + f->wait;
      f->sends++;
      send_packet (f, ACK, f->sequence, f->data, REQUEST_BYTES);
    }
  else if (f->ack_due != 0 && now >= f->ack_due)
    send_packet (f, ACK, f->sequence, NULL, 0);
}

/* World.  */

static void
choose_ports (void)
{
  uint16_t *const ports[] = { &packets_port, &ready_port,  &peer_port,
                              &metrics_port, &store_port, &server_port };
  for (unsigned i = 0; i < sizeof ports / sizeof ports[0]; i++)
    for (unsigned attempt = 0;; attempt++)
      {
        uint16_t port = (uint16_t)(20000 + random () % 12000);
        int udp = open_socket (SOCK_DGRAM, INADDR_LOOPBACK, port);
        int tcp = open_socket (SOCK_STREAM, INADDR_LOOPBACK, port);
        if (udp >= 0)
          close (udp);
        if (tcp >= 0)
          close (tcp);
        *ports[i] = port;
        bool is_new = true;
        for (unsigned k = 0; k < i; k++)
          is_new &= *ports[k] != port;
        if (udp >= 0 && tcp >= 0 && is_new)
          break;
        if (attempt > 1000)
          finish (2, "no free port");
      }
}

void
world_start (void)
{
  const char *trouble = getenv ("TROUBLE"), *out = getenv ("RECORD"),
             *dir = getenv ("WORK");
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  started = t.tv_sec * 1e3 + t.tv_nsec / 1e6;
  has_trouble = !trouble || strcmp (trouble, "0") != 0;
  record = fopen (out ? out : "record.txt", "w");
  if (!record)
    {
      fprintf (stderr, "no record\n");
      exit (2);
    }
  snprintf (directory, sizeof directory, "%s", dir ? dir : ".");
  srandom ((unsigned)getpid () * 2654435761u ^ (unsigned)t.tv_nsec);
  net = 16 + (unsigned)random () % 200;
  signal (SIGPIPE, SIG_IGN);
  signal (SIGALRM, on_alarm);
  signal (SIGTERM, on_alarm);
  signal (SIGINT, on_alarm);
  alarm (TIME_LIMIT_S);
  choose_ports ();
  for (unsigned i = 0; i < STORE_CALLS_MAX; i++)
    calls[i].fd = -1;
  store_fd = open_socket (SOCK_STREAM, loopback (0, 4, 1), store_port);
  if (store_fd < 0)
    finish (2, "no socket for the store");
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    {
      clients[i].address = loopback (0, 3, i + 1);
      clients[i].fd
          = open_socket (SOCK_DGRAM, clients[i].address, packets_port);
      if (clients[i].fd < 0)
        finish (2, "no socket for a client");
    }
}

static void
turn (void)
{
  struct pollfd p[1 + STORE_CALLS_MAX + CLIENTS_MAX + SERVERS_MAX];
  nfds_t n = 0;
  p[n++] = (struct pollfd){ .fd = store_fd, .events = POLLIN };
  for (unsigned i = 0; i < STORE_CALLS_MAX; i++)
    p[n++] = (struct pollfd){ .fd = calls[i].fd, .events = POLLIN };
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    p[n++] = (struct pollfd){ .fd = clients[i].fd, .events = POLLIN };
  for (unsigned i = 0; i < server_count; i++)
    p[n++] = (struct pollfd){ .fd = servers[i].fd, .events = POLLIN };
  poll (p, n, 1);
  accept_calls ();
  for (unsigned i = 0; i < STORE_CALLS_MAX; i++)
    if (calls[i].fd >= 0)
      read_call (&calls[i]);
  for (unsigned i = 0; i < STORE_CALLS_MAX; i++)
    if (calls[i].fd >= 0 && calls[i].is_watch && !store_is_silent)
      answer_watch (&calls[i]);
  for (unsigned i = 0; i < server_count; i++)
    if (servers[i].fd >= 0)
      read_server (&servers[i]);
  tick_servers ();
  for (unsigned i = 0; i < CLIENTS_MAX; i++)
    read_client (clients[i].fd);
  double now = now_ms ();
  for (unsigned i = 0; i < flow_count; i++)
    tick_flow (&flows[i], now);
  for (unsigned i = 0; i < balancer_count; i++)
    tick_balancer (&balancers[i]);
  if (on_tick)
    on_tick ();
}

void
run_for (double ms)
{
  for (double end = now_ms () + ms; now_ms () < end;)
    turn ();
}

bool
run_until (bool (*condition) (void), double ms)
{
  for (double end = now_ms () + ms; now_ms () < end;)
    {
      if (condition ())
        return true;
      turn ();
    }
  return condition ();
}
