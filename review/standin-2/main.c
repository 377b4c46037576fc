#include <arpa/inet.h>
#include <poll.h>
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "fleet.h"

int64_t now;
bool trouble;
unsigned balancer_count;
uint32_t base;
struct ports ports;

static FILE *record_file;
static unsigned broken_count;
static volatile sig_atomic_t is_stopped;
static struct timespec started;

static void
update_time (void)
{
  struct timespec t;
  clock_gettime (CLOCK_MONOTONIC, &t);
  now = (t.tv_sec - started.tv_sec) * 1000
        + (t.tv_nsec - started.tv_nsec) / 1000000;
}

uint32_t
address (unsigned host)
{
  return base + host;
}

const char *
text_of (uint32_t a, char text[16])
{
  snprintf (text, 16, "%u.%u.%u.%u", a >> 24, a >> 16 & 255, a >> 8 & 255,
            a & 255);
  return text;
}

static void
write_line (const char *prefix, const char *format, va_list list)
{
  fprintf (record_file, "%8.3f %s", (double)now / 1000, prefix);
  vfprintf (record_file, format, list);
  fputc ('\n', record_file);
}

void
record (const char *format, ...)
{
  va_list list;
  va_start (list, format);
  write_line ("", format, list);
  va_end (list);
}

void
broken (const char *rule, const char *format, ...)
{
  char prefix[40];
  va_list list;
  snprintf (prefix, sizeof prefix, "BROKEN %s: ", rule);
  va_start (list, format);
  write_line (prefix, format, list);
  va_end (list);
  broken_count++;
}

void
cannot_run (const char *why)
{
  fprintf (stderr, "cannot run: %s\n", why);
  if (record_file)
    record ("cannot run: %s", why);
  balancers_stop ();
  exit (2);
}

static void
on_signal (int number)
{
  (void)number;
  is_stopped = 1;
}

/* Whether PORT can be bound at all addresses.  */
static bool
is_free (uint16_t port, int type)
{
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (address (1)),
                           .sin_port = htons (port) };
  int fd = socket (AF_INET, type, 0);
  bool ok = bind (fd, (struct sockaddr *)&a, sizeof a) == 0;
  close (fd);
  return ok;
}

static bool
choose_ports (void)
{
  for (uint16_t at = 8160; at < 9160; at += 40)
    {
      ports = (struct ports){ .packets = at + 12,
                              .ready = at + 7,
                              .peer = at + 20,
                              .metrics = at + 35,
                              .store = at + 9,
                              .server = at + 30 };
      if (is_free (ports.packets, SOCK_DGRAM)
          && is_free (ports.peer, SOCK_DGRAM)
          && is_free (ports.server, SOCK_DGRAM)
          && is_free (ports.ready, SOCK_STREAM)
          && is_free (ports.metrics, SOCK_STREAM)
          && is_free (ports.store, SOCK_STREAM))
        return true;
    }
  return false;
}

static void
poll_once (void)
{
  static struct pollfd fds[1024];
  unsigned n = net_fds (fds);
  unsigned m = store_fds (fds + n);
  poll (fds, n + m, 5);
  update_time ();
  for (unsigned i = 0; i < n; i++)
    if (fds[i].revents)
      net_readable (fds[i].fd);
  for (unsigned i = n; i < n + m; i++)
    if (fds[i].revents)
      store_event (fds[i].fd, fds[i].revents);
}

int
main (int argc, char **argv)
{
  const struct scenario *s = argc == 5 ? scenario_find (argv[1]) : NULL;
  if (!s)
    {
      fprintf (stderr, "usage: fleet SCENARIO RECORD ROOT FOLDER\n");
      return 2;
    }
  const char *wish = getenv ("TROUBLE");
  trouble = !wish || strcmp (wish, "0") != 0;
  record_file = fopen (argv[2], "w");
  if (!record_file)
    return 2;
  signal (SIGPIPE, SIG_IGN);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  base = 127u << 24 | (64u + (unsigned)getpid () / 250 % 190) << 16
         | (1u + (unsigned)getpid () % 250) << 8;
  clock_gettime (CLOCK_MONOTONIC, &started);
  if (!choose_ports ())
    cannot_run ("no free ports");
  balancer_count = s->balancers;
  record ("scenario %s, %s", s->name,
          trouble ? "with the disruption" : "without the disruption");
  store_start ();
  s->prepare ();
  net_start ();
  balancers_start (argv[3], argv[4]);
  while (now < s->length)
    {
      poll_once ();
      if (is_stopped)
        cannot_run ("stopped by a signal");
      store_tick ();
      balancers_tick ();
      s->step ();
      net_tick ();
    }
  s->judge ();
  balancers_stop ();
  record ("%s", broken_count ? "the rule was broken" : "the rule held");
  fclose (record_file);
  return broken_count ? 1 : 0;
}
