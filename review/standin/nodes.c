/* The balancers as processes, the fabric that polls them and chooses one for
   each packet, and the links between them, which can lose datagrams.  */

#include "scene.h"
#include <errno.h>
#include <event2/http.h>
#include <fcntl.h>
#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_INTERVAL (500 * MS)
#define RESTART_DELAY (500 * MS)

enum
{
  MISSES = 2,
  DATAGRAM_MAX = 9000,
};

/* One way between zones.  */
#define ZONE_DELAY (1400)

struct delayed
{
  usec due;
  unsigned from;
  uint32_t to;
  size_t length;
  uint8_t bytes[];
};

/* One datagram of records that a balancer sends another one.  */
struct records
{
  uint64_t protocol, kind, sender, incarnation, number, chunk, count, from, to;
};

struct node nodes[NODES];
static GQueue delayed = G_QUEUE_INIT;
bool stale_seeds;
static int links[NODES];
static char *directory;
static const char *const program = "target/bin/bluebellstand";

static uint32_t
link_address (unsigned index)
{
  return 0x7f320000 + 10 + index;
}

struct node *
node_at (uint32_t address)
{
  for (unsigned i = 0; i < NODES; i++)
    if (nodes[i].address == address)
      return &nodes[i];
  return NULL;
}

bool
node_in_touch (const struct node *n)
{
  return n->pid != 0 && !n->frozen && !n->stopping
         && now - n->last_impairment > STABILITY
         && now - last_store_impairment > STABILITY;
}

/* Chooses by rendezvous hashing among the balancers in rotation.  */
struct node *
node_choose (unsigned zone, uint64_t hash)
{
  unsigned all = 0, up = 0, up_anywhere = 0;
  struct node *best = NULL;
  uint64_t best_score = 0;
  for (unsigned i = 0; i < NODES; i++)
    {
      bool in_rotation = nodes[i].misses < MISSES;
      up_anywhere += in_rotation;
      all += nodes[i].zone == zone;
      up += nodes[i].zone == zone && in_rotation;
    }
  for (unsigned i = 0; i < NODES; i++)
    {
      struct node *n = &nodes[i];
      bool in_rotation = n->misses < MISSES;
      bool usable = up > 0 ? n->zone == zone && (in_rotation || up * 2 < all)
                    : up_anywhere > 0 ? in_rotation
                                      : n->zone == zone;
      uint64_t score = (hash ^ (i + 1)) * 0xbf58476d1ce4e5b9ULL;
      score ^= score >> 29;
      score *= 0x94d049bb133111ebULL;
      if (usable && (!best || score > best_score))
        {
          best = n;
          best_score = score;
        }
    }
  return best;
}

/* Settings as deploy/settings.json renders them.  */
static char *
write_settings (const struct node *n)
{
  char *path = g_strdup_printf ("%s/%s.json", directory, n->name);
  g_autofree char *address
      = g_strdup_printf ("127.10.%u.%u", n->zone, 10 + n->index);
  const char *seeds
      = stale_seeds ? "\"127.50.0.11:9\",\"127.50.9.1:9\",\"127.50.9.2:9\""
                    : "\"127.50.0.10:9\",\"127.50.0.11:9\",\"127.50.0.12:9\"";
  g_autofree char *text = g_strdup_printf (
      "{\n  \"name\": \"%s\",\n  \"data_centre\": \"zone-%u\",\n"
      "  \"address\": \"%s\",\n  \"metrics_port\": %u,\n  \"marked\": {\n"
      "    \"packets\": \"%s:%u\",\n    \"ready\": \"%s:%u\",\n"
      "    \"store\": \"127.40.0.%u:%u\",\n    \"peer_port\": %u,\n"
      "    \"seeds\": [%s],\n    \"cpu_share\": 0.25,\n"
      "    \"flow_capacity\": 16384\n  }\n}\n",
      n->name, n->zone, address, port_of (3), address, port_of (0), address,
      port_of (1), 10 + n->index, port_of (4), port_of (2), seeds);
  g_file_set_contents (path, text, -1, NULL);
  return path;
}

static void
start_node (struct node *n)
{
  g_autofree char *settings = write_settings (n);
  g_autofree char *log = g_strdup_printf ("%s/%s.log", directory, n->name);
  pid_t parent = getpid ();
  pid_t pid = fork ();
  if (pid == 0)
    {
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      if (getppid () != parent)
        _exit (127);
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (program, program, "--settings", settings, (char *)NULL);
      _exit (127);
    }
  if (pid < 0)
    exit (2);
  n->pid = pid;
  n->start_at = 0;
  n->stopping = n->frozen = false;
  n->last_impairment = now;
  note ("process of %s starts", n->name);
}

void
node_signal (struct node *n, int number)
{
  if (n->pid == 0)
    return;
  kill (n->pid, number);
  n->last_impairment = now;
  n->frozen = number == SIGSTOP || (n->frozen && number != SIGCONT);
  n->stopping = n->stopping || number == SIGTERM;
  note ("%s gets %s", n->name, strsignal (number));
}

static void
reap (struct node *n)
{
  int status;
  if (n->pid == 0 || waitpid (n->pid, &status, WNOHANG) != n->pid)
    return;
  if (WIFEXITED (status) && WEXITSTATUS (status) == 127)
    {
      note ("%s cannot be started", program);
      nodes_stop ();
      exit (2);
    }
  note ("process of %s ends, status %x", n->name, (unsigned)status);
  n->pid = 0;
  n->frozen = false;
  n->last_impairment = now;
  n->start_at = now + RESTART_DELAY;
}

static void
on_polled (struct evhttp_request *request, void *context)
{
  struct node *n = context;
  bool ok = request && evhttp_request_get_response_code (request) == 200;
  n->misses = ok ? 0 : n->misses + 1;
  n->polling = false;
}

static void
poll_node (struct node *n)
{
  if (n->polling || now - n->polled < POLL_INTERVAL)
    return;
  char address[32];
  struct timeval tv = { 0, 500000 };
  n->polled = now;
  n->polling = true;
  g_snprintf (address, sizeof address, "127.10.%u.%u", n->zone, 10 + n->index);
  struct evhttp_connection *c
      = evhttp_connection_base_new (loop, NULL, address, port_of (1));
  evhttp_connection_set_timeout_tv (c, &tv);
  evhttp_connection_free_on_completion (c);
  struct evhttp_request *r = evhttp_request_new (on_polled, n);
  evhttp_add_header (evhttp_request_get_output_headers (r), "Host", address);
  evhttp_add_header (evhttp_request_get_output_headers (r), "Connection",
                     "close");
  if (evhttp_make_request (c, r, EVHTTP_REQ_GET, "/ready") != 0)
    {
      n->polling = false;
      n->misses++;
    }
}

/* Reads an unsigned msgpack integer.  */
static uint64_t
read_number (const uint8_t **at, const uint8_t *end)
{
  static const int sizes[] = { 1, 2, 4, 8 };
  uint64_t value = 0;
  if (*at >= end)
    return 0;
  uint8_t first = *(*at)++;
  if (first < 0xcc || first > 0xcf)
    return first;
  for (int i = 0; i < sizes[first - 0xcc] && *at < end; i++)
    value = value << 8 | *(*at)++;
  return value;
}

/* Whether a datagram holds records of the store, by the protocol between the
   balancers (wire/sync.c).  */
static bool
read_records (const uint8_t *bytes, size_t length, struct records *r)
{
  static const uint8_t prefix[] = { 0xdc, 0, 17 };
  const uint8_t *at = bytes + sizeof prefix, *end = bytes + length;
  if (length < sizeof prefix || memcmp (bytes, prefix, sizeof prefix) != 0)
    return false;
  uint64_t *const fields[]
      = { &r->protocol, &r->kind,  &r->sender, &r->incarnation, &r->number,
          &r->chunk,    &r->count, &r->from,   &r->to };
  for (size_t i = 0; i < G_N_ELEMENTS (fields); i++)
    *fields[i] = read_number (&at, end);
  return true;
}

static void
forward (const struct node *from, const struct node *to, const uint8_t *bytes,
         size_t length)
{
  if (from->zone == to->zone)
    {
      send_datagram (links[from->index], to->address, port_of (2), bytes,
                     length);
      return;
    }
  struct delayed *d = g_malloc (sizeof *d + length);
  *d = (struct delayed){ .due = g_get_monotonic_time () + ZONE_DELAY,
                         .from = from->index,
                         .to = to->address,
                         .length = length };
  memcpy (d->bytes, bytes, length);
  g_queue_push_tail (&delayed, d);
}

static void
send_delayed (void)
{
  struct delayed *d;
  while ((d = g_queue_peek_head (&delayed))
         && d->due <= g_get_monotonic_time ())
    {
      send_datagram (links[d->from], d->to, port_of (2), d->bytes, d->length);
      g_free (g_queue_pop_head (&delayed));
    }
}

/* Forwards a datagram from one balancer to another, or loses it.  */
static void
on_link (evutil_socket_t fd, short what, void *context)
{
  (void)what;
  struct node *to = context;
  uint8_t bytes[DATAGRAM_MAX];
  struct sockaddr_in from = { 0 };
  socklen_t size = sizeof from;
  ssize_t length;
  while ((length = recvfrom (fd, bytes, sizeof bytes, MSG_DONTWAIT,
                             (struct sockaddr *)&from, &size))
         > 0)
    {
      struct node *sender = node_at (ntohl (from.sin_addr.s_addr));
      bool lost = false;
      struct records r;
      if (sender && read_records (bytes, (size_t)length, &r) && r.count > 1)
        {
          lost = to->loses && r.from == 0 && r.chunk + 1 == r.count;
          note ("batch %" PRIu64 " of %s to %s, part %" PRIu64 " of %" PRIu64
                ", revisions %" PRIu64 " to %" PRIu64 "%s",
                r.number, sender->name, to->name, r.chunk + 1, r.count, r.from,
                r.to, lost ? ", lost" : "");
        }
      if (lost)
        {
          to->loses = false;
          to->last_impairment = sender->last_impairment = now;
        }
      if (sender && !lost)
        forward (sender, to, bytes, (size_t)length);
      size = sizeof from;
    }
}

void
nodes_tick (void)
{
  send_delayed ();
  for (unsigned i = 0; i < NODES; i++)
    {
      struct node *n = &nodes[i];
      reap (n);
      if (n->pid == 0 && n->start_at != 0 && now >= n->start_at)
        start_node (n);
      poll_node (n);
    }
}

void
nodes_prepare (void)
{
  directory = g_dir_make_tmp ("review-XXXXXX", NULL);
  if (!directory)
    exit (2);
  for (unsigned i = 0; i < NODES; i++)
    {
      struct node *n = &nodes[i];
      n->index = i;
      n->zone = i % ZONES;
      n->address = 0x7f0a0000 + (n->zone << 8) + 10 + i;
      n->misses = MISSES;
      n->start_at = now;
      g_snprintf (n->name, sizeof n->name, "front-zone-%u-%u", n->zone,
                  i / ZONES + 1);
      links[i] = open_socket (link_address (i), port_of (2));
      event_add (event_new (loop, links[i], EV_READ | EV_PERSIST, on_link, n),
                 NULL);
    }
}

/* Ends the processes and removes their settings and logs.  */
void
nodes_stop (void)
{
  for (unsigned i = 0; i < NODES; i++)
    {
      struct node *n = &nodes[i];
      if (n->pid != 0)
        {
          kill (n->pid, SIGKILL);
          while (waitpid (n->pid, NULL, 0) < 0 && errno == EINTR)
            ;
          n->pid = 0;
        }
    }
  if (!directory || getenv ("KEEP"))
    return;
  for (unsigned i = 0; i < NODES; i++)
    {
      g_autofree char *settings
          = g_strdup_printf ("%s/%s.json", directory, nodes[i].name);
      g_autofree char *log
          = g_strdup_printf ("%s/%s.log", directory, nodes[i].name);
      unlink (settings);
      unlink (log);
    }
  rmdir (directory);
}
