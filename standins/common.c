#include "standins/common.h"
#include <arpa/inet.h>
#include <errno.h>
#include <event2/http.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>

enum
{
  SOCKET_BUFFER = 8 << 20
};

bb_usec
bb_standin_now (void)
{
  struct timespec t;
  clock_gettime (CLOCK_REALTIME, &t);
  return t.tv_sec * BB_SEC + t.tv_nsec / 1000;
}

void
bb_standin_parse_options (int argc, char **argv, const GOptionEntry *entries)
{
  GError *error = NULL;
  GOptionContext *context = g_option_context_new (NULL);
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error) || argc > 1)
    {
      g_printerr ("%s: %s\n", argv[0],
                  error ? error->message : "unexpected argument");
      exit (2);
    }
  g_option_context_free (context);
}

unsigned
bb_standin_parse_name (const char *text, const char *const *names,
                       unsigned count)
{
  if (!text)
    return 0;
  for (unsigned i = 0; i < count; i++)
    if (!strcmp (text, names[i]))
      return i;
  g_printerr ("\"%s\" is not one of the names allowed here\n", text);
  exit (2);
}

struct bb_endpoint
bb_standin_parse_endpoint (const char *text)
{
  struct in_addr address;
  const char *colon = text ? strrchr (text, ':') : NULL;
  char *host = colon ? g_strndup (text, (gsize)(colon - text)) : NULL;
  guint64 port = 0;
  if (!host || inet_pton (AF_INET, host, &address) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 0, 65535, &port, NULL))
    {
      g_printerr ("\"%s\" is not ADDRESS:PORT\n", text ? text : "");
      exit (2);
    }
  g_free (host);
  return (struct bb_endpoint){ ntohl (address.s_addr), (uint16_t)port };
}

const char *
bb_standin_format_endpoint (char *text, struct bb_endpoint endpoint)
{
  uint32_t a = endpoint.address;
  g_snprintf (text, 24, "%u.%u.%u.%u:%u", a >> 24, a >> 16 & 255, a >> 8 & 255,
              a & 255, endpoint.port);
  return text;
}

bool
bb_standin_endpoints_equal (struct bb_endpoint a, struct bb_endpoint b)
{
  return a.address == b.address && a.port == b.port;
}

struct sockaddr_in
bb_standin_socket_address (struct bb_endpoint endpoint)
{
  return (struct sockaddr_in){ .sin_family = AF_INET,
                               .sin_port = htons (endpoint.port),
                               .sin_addr.s_addr = htonl (endpoint.address) };
}

int
bb_standin_open_udp (struct bb_endpoint endpoint)
{
  struct sockaddr_in address = bb_standin_socket_address (endpoint);
  int size = SOCKET_BUFFER;
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  char text[24];
  if (fd < 0 || bind (fd, (struct sockaddr *)&address, sizeof address) != 0)
    {
      g_printerr ("cannot bind UDP %s: %s\n",
                  bb_standin_format_endpoint (text, endpoint),
                  g_strerror (errno));
      exit (1);
    }
  if (setsockopt (fd, SOL_SOCKET, SO_RCVBUFFORCE, &size, sizeof size) != 0)
    setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  return fd;
}

struct watch
{
  bb_standin_callback call;
  void *context;
};

static void
run_watch (evutil_socket_t fd, short what, void *context)
{
  const struct watch *w = context;
  (void)fd;
  (void)what;
  w->call (w->context);
}

/* The watch is never freed.  */
static void
add_watch (struct event_base *base, int fd, short what,
           const struct timeval *interval, bb_standin_callback call,
           void *context)
{
  struct watch *w = g_new (struct watch, 1);
  *w = (struct watch){ call, context };
  struct event *event
      = event_new (base, fd, (short)(what | EV_PERSIST), run_watch, w);
  if (!event || event_add (event, interval) != 0)
    {
      g_printerr (
          "cannot watch a socket, signal or timer: event_add failed\n");
      exit (1);
    }
}

void
bb_standin_watch_socket (struct event_base *base, int fd,
                         bb_standin_callback call, void *context)
{
  add_watch (base, fd, EV_READ, NULL, call, context);
}

void
bb_standin_watch_signal (struct event_base *base, int number,
                         bb_standin_callback call, void *context)
{
  add_watch (base, number, EV_SIGNAL, NULL, call, context);
}

void
bb_standin_watch_timer (struct event_base *base, int ms,
                        bb_standin_callback call, void *context)
{
  struct timeval interval = { ms / 1000, ms % 1000 * 1000 };
  add_watch (base, -1, 0, &interval, call, context);
}

struct evhttp *
bb_standin_open_http (struct event_base *base, struct bb_endpoint endpoint,
                      void (*call) (struct evhttp_request *, void *),
                      void *context)
{
  struct evhttp *http = evhttp_new (base);
  char text[24];
  bb_standin_format_endpoint (text, endpoint);
  *strchr (text, ':') = 0;
  evhttp_set_gencb (http, call, context);
  if (evhttp_bind_socket (http, text, endpoint.port) != 0)
    {
      g_printerr ("cannot bind TCP %s:%u\n", text, endpoint.port);
      exit (1);
    }
  return http;
}

FILE *
bb_standin_open_history (const char *path)
{
  FILE *history = path ? fopen (path, "ae") : NULL;
  if (!history)
    {
      g_printerr ("cannot open the history file \"%s\": %s\n",
                  path ? path : "", g_strerror (errno));
      exit (1);
    }
  /* Line buffering: a process that is killed loses no complete line.  */
  setvbuf (history, NULL, _IOLBF, BUFSIZ);
  return history;
}

void
bb_standin_write_event (FILE *history, const char *event, const char *format,
                        ...)
{
  va_list arguments;
  va_start (arguments, format);
  char *members = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  fprintf (history,
           "{\"event\":\"%s\",\"time_us\":%" G_GINT64_FORMAT "%s%s}\n", event,
           (gint64)bb_standin_now (), *members ? "," : "", members);
  g_free (members);
}
