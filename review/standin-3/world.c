#include "review/standin-3/private.h"
#include <signal.h>
#include <stdarg.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

enum
{
  TIME_LIMIT_S = 115
};

uint16_t packets_port;
bool has_trouble;
FILE *record;
void (*on_tick) (void);
uint16_t ready_port, peer_port, metrics_port, store_port, server_port;
char directory[128];
static unsigned net; /* second octet of all addresses */
static double started;
static volatile sig_atomic_t must_end; /* by a signal or the time limit */

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

void
finish (int status, const char *format, ...)
{
  va_list args;
  char text[512];
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  balancers_end ();
  note ("%s: %s",
        status == 0   ? "held"
        : status == 1 ? "BROKEN"
                      : "no run",
        text);
  printf ("%s: %s\n",
          status == 0   ? "held"
          : status == 1 ? "BROKEN"
                        : "no run",
          text);
  exit (status);
}

static void
on_signal (int number)
{
  (void)number;
  must_end = 1;
}

uint32_t
loopback (unsigned a, unsigned b, unsigned c)
{
  return 127u << 24 | (a + net) << 16 | b << 8 | c;
}

static void
choose_ports (void)
{
  uint16_t *const ports[] = { &packets_port, &ready_port, &peer_port,
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
  signal (SIGALRM, on_signal);
  signal (SIGTERM, on_signal);
  signal (SIGINT, on_signal);
  alarm (TIME_LIMIT_S);
  choose_ports ();
  store_start ();
  clients_start ();
}

static void
turn (void)
{
  struct pollfd p[1 + STORE_CALLS_MAX + CLIENTS_MAX + SERVERS_MAX];
  nfds_t n = store_add_fds (p);
  n += clients_add_fds (p + n);
  n += servers_add_fds (p + n);
  poll (p, n, 1);
  if (must_end)
    finish (2, "ended by a signal or the time limit");
  store_turn ();
  servers_turn ();
  clients_turn ();
  balancers_turn ();
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
