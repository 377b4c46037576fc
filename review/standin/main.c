/* Plays one scene: main NAME RECORD.  Exits with 1 if the rule was broken, 0
   if it held and 2 if the scene could not be played.  TROUBLE=0 in the
   environment leaves out the disruptions.  */

#include "scene.h"
#include <inttypes.h>
#include <netinet/in.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  PORTS_USED = 6,
  BUFFER = 1 << 20,
  BROKEN_PRINTED = 10,
};

struct event_base *loop;
GRand *chance;
usec now;
bool trouble = true;
usec last_store_impairment;
struct server servers[SERVERS_MAX];
unsigned server_count;
struct route routes[ROUTES_MAX];
unsigned route_count;
const struct scene *scene;
static FILE *record;
static usec started;
static unsigned broken_count;
static uint16_t base_port;

static usec
read_clock (void)
{
  return g_get_monotonic_time ();
}

double
seconds (void)
{
  return (double)(now - started) / (double)SEC;
}

static void
write_line (const char *prefix, const char *format, va_list arguments)
{
  fprintf (record, "%8.3f %s", seconds (), prefix);
  vfprintf (record, format, arguments);
  fputc ('\n', record);
}

void
note (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  write_line ("", format, arguments);
  va_end (arguments);
}

void
broken (const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  write_line ("BROKEN ", format, arguments);
  va_end (arguments);
  if (++broken_count > BROKEN_PRINTED)
    return;
  va_start (arguments, format);
  printf ("%8.3f ", seconds ());
  vprintf (format, arguments);
  putchar ('\n');
  va_end (arguments);
}

uint16_t
port_of (unsigned purpose)
{
  return (uint16_t)(base_port + purpose);
}

int
open_socket (uint32_t address, uint16_t port)
{
  const int size = BUFFER;
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr.s_addr = htonl (address) };
  int fd = socket (AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
  if (fd < 0 || bind (fd, (struct sockaddr *)&a, sizeof a) != 0)
    {
      nodes_stop ();
      exit (2);
    }
  return fd;
}

void
send_datagram (int fd, uint32_t address, uint16_t port, const void *bytes,
               size_t length)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_port = htons (port),
                           .sin_addr.s_addr = htonl (address) };
  if (sendto (fd, bytes, length, MSG_DONTWAIT, (struct sockaddr *)&a, sizeof a)
      < 0)
    note ("a datagram was not sent");
}

/* Whether nothing on this machine uses PORT.  */
static bool
is_free (uint16_t port)
{
  const int types[] = { SOCK_DGRAM, SOCK_STREAM };
  struct sockaddr_in a = { .sin_family = AF_INET, .sin_port = htons (port) };
  for (int i = 0; i < 2; i++)
    {
      int fd = socket (AF_INET, types[i] | SOCK_CLOEXEC, 0);
      bool ok = fd >= 0 && bind (fd, (struct sockaddr *)&a, sizeof a) == 0;
      if (fd >= 0)
        close (fd);
      if (!ok)
        return false;
    }
  return true;
}

static void
choose_ports (void)
{
  for (int tries = 0; tries < 200; tries++)
    {
      unsigned count = 0;
      base_port = (uint16_t)(12000 + (getpid () * 7 + tries * 8) % 18000);
      while (count < PORTS_USED && is_free (port_of (count)))
        count++;
      if (count == PORTS_USED)
        return;
    }
  exit (2);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  now = read_clock ();
  store_tick ();
  nodes_tick ();
  servers_tick ();
  scene->step (seconds ());
  callers_tick ();
  if (seconds () >= scene->length)
    event_base_loopbreak (loop);
}

static void
on_signal (evutil_socket_t number, short what, void *context)
{
  (void)number;
  (void)what;
  (void)context;
  nodes_stop ();
  exit (2);
}

static void
play (void)
{
  struct timeval tick = { 0, 500 };
  store_prepare ();
  nodes_prepare ();
  callers_prepare ();
  scene->prepare ();
  store_publish ();
  event_add (event_new (loop, -1, EV_PERSIST, on_tick, NULL), &tick);
  event_add (evsignal_new (loop, SIGTERM, on_signal, NULL), NULL);
  event_add (evsignal_new (loop, SIGINT, on_signal, NULL), NULL);
  event_base_dispatch (loop);
  nodes_stop ();
}

static int
report (void)
{
  bool is_served = requests_answered * 2 > requests_sent && requests_sent > 50;
  note ("sent %" PRIu64 ", answered %" PRIu64 ", run %" PRIu64
        ", %s broken %u times",
        requests_sent, requests_answered, requests_run, scene->rule,
        broken_count);
  printf ("%s: sent %" PRIu64 ", answered %" PRIu64 ", run %" PRIu64
          ", %s broken %u times%s\n",
          scene->name, requests_sent, requests_answered, requests_run,
          scene->rule, broken_count, trouble ? "" : ", without disruption");
  if (!is_served)
    return 2;
  return broken_count > 0 ? 1 : 0;
}

int
main (int argc, char **argv)
{
  const char *setting = getenv ("TROUBLE");
  trouble = !setting || strcmp (setting, "0") != 0;
  for (const struct scene *s = scenes; argc == 3 && s->name; s++)
    if (strcmp (s->name, argv[1]) == 0)
      scene = s;
  record = scene ? fopen (argv[2], "w") : NULL;
  if (!record)
    return 2;
  setvbuf (stdout, NULL, _IOLBF, 0);
  signal (SIGPIPE, SIG_IGN);
  choose_ports ();
  loop = event_base_new ();
  chance = g_rand_new_with_seed (25);
  started = now = read_clock ();
  play ();
  int status = report ();
  fclose (record);
  return status;
}
