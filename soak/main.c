#define _GNU_SOURCE /* close_range */
#include "runtime/util.h"
#include "soak/soak.h"
#include <errno.h>
#include <fcntl.h>
#include <inttypes.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/file.h>
#include <unistd.h>

struct soak_world world;

#define TICK (5 * BB_MSEC)

/* Without faults at the end, so that what is served then can be judged.  */
#define TAIL (SOAK_CALM + 4 * BB_SEC)

enum
{
  LEAST_SERVED = 95, /* percent of the requests after the last fault */
};

static gint seed = 1, seconds = 30, balancers = 6, callers = 60, servers = 3;
static gchar *program = "build/bin/bluebellstand";
static gchar *plant;

static const GOptionEntry entries[] = {
  { "seed", 's', 0, G_OPTION_ARG_INT, &seed, "Schedule of the faults", "N" },
  { "seconds", 't', 0, G_OPTION_ARG_INT, &seconds, "Length", "N" },
  { "balancers", 'b', 0, G_OPTION_ARG_INT, &balancers, "Processes", "N" },
  { "callers", 'c', 0, G_OPTION_ARG_INT, &callers, "Callers", "N" },
  { "servers", 'n', 0, G_OPTION_ARG_INT, &servers,
    "Servers of a service in a data centre", "N" },
  { "program", 'p', 0, G_OPTION_ARG_FILENAME, &program,
    "The balancer under test", "FILE" },
  { "plant", 0, 0, G_OPTION_ARG_STRING, &plant,
    "Break a promise on purpose: twice, service", "KIND" },
  G_OPTION_ENTRY_NULL,
};

void
soak_violation (const char *promise, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  world.violations++;
  printf ("%8.3f BROKEN %s: %s\n",
          (double)(world.now - world.started) / BB_SEC, promise, text);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  world.now = bb_clock_boot ();
  soak_faults_tick ();
  soak_link_faults_tick ();
  soak_servers_tick ();
  soak_balancers_tick ();
  soak_callers_tick ();
  soak_store_tick ();
  soak_links_tick ();
  if (world.now >= world.end)
    event_base_loopbreak (world.loop);
}

static void
start_servers (void)
{
  for (unsigned i = 0; i < SOAK_SERVICES; i++)
    for (unsigned j = 0; j < SOAK_DATA_CENTRES; j++)
      for (gint k = 0; k < servers; k++)
        soak_server_start (i, j, NULL);
}

static int lock = -1; /* of the ports from world.port on */

/* Waits until no other soak uses the ports.  They follow from the seed, and
   other ones would change where flows are placed.  */
static void
reserve_ports (void)
{
  g_autofree char *path
      = g_strdup_printf ("/tmp/bluebellstand-soak-%u.lock", world.port);
  lock = open (path, O_RDONLY | O_CLOEXEC);
  if (lock < 0)
    lock = open (path, O_RDONLY | O_CREAT | O_CLOEXEC, 0644);
  if (lock < 0)
    g_error ("cannot open %s: %s", path, g_strerror (errno));
  while (flock (lock, LOCK_EX) != 0)
    if (errno != EINTR)
      g_error ("cannot lock %s: %s", path, g_strerror (errno));
}

/* Closes all sockets before the lock: the order at exit is not defined.  */
static void
release_ports (void)
{
  if (lock > STDERR_FILENO + 1)
    close_range (STDERR_FILENO + 1, (unsigned)lock - 1, 0);
  close_range ((unsigned)lock + 1, ~0U, 0);
  close (lock);
}

static void
prepare (void)
{
  world.loop = event_base_new ();
  world.random = g_rand_new_with_seed ((guint32)seed);
  world.seed = (uint32_t)seed;
  /* Below the ports that the kernel gives to outgoing connections.  */
  world.port = (uint16_t)(12000 + seed % 58 * 340);
  reserve_ports ();
  world.balancer_count = (unsigned)CLAMP (balancers, 1, SOAK_BALANCERS_MAX);
  world.caller_count = (unsigned)CLAMP (callers, 1, SOAK_CALLERS_MAX);
  world.program = program;
  world.plant = plant;
  world.directory = g_dir_make_tmp ("soak-XXXXXX", NULL);
  world.started = world.now = bb_clock_boot ();
  world.end = world.started + seconds * BB_SEC;
  world.faults_end = world.end - TAIL;
  world.store_trouble = world.probe_changed = world.started;
}

static int
report (void)
{
  uint64_t share
      = world.late_asked ? 100 * world.late_answered / world.late_asked : 100;
  if (share < LEAST_SERVED)
    soak_violation ("service",
                    "after the last fault %" PRIu64 " of %" PRIu64
                    " requests are answered",
                    world.late_answered, world.late_asked);
  printf ("soak: seed=%d asked=%" PRIu64 " answered=%" PRIu64
          " after_faults=%" PRIu64 "/%" PRIu64 " broken=%" PRIu64 " logs=%s\n",
          seed, world.asked, world.answered, world.late_answered,
          world.late_asked, world.violations, world.directory);
  return world.violations ? EXIT_FAILURE : EXIT_SUCCESS;
}

int
main (int argc, char **argv)
{
  GError *error = NULL;
  GOptionContext *context = g_option_context_new ("- soak of balancers");
  g_option_context_add_main_entries (context, entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "soak: %s\n", error->message);
      return EXIT_FAILURE;
    }
  signal (SIGPIPE, SIG_IGN);
  setvbuf (stdout, NULL, _IOLBF, 0);
  prepare ();
  soak_balancers_start ();
  soak_links_start ();
  soak_store_start ();
  soak_store_publish_routes ();
  start_servers ();
  soak_callers_start ();
  struct timeval tick = bb_clock_timeval (TICK);
  event_add (event_new (world.loop, -1, EV_PERSIST, on_tick, NULL), &tick);
  event_base_dispatch (world.loop);
  soak_balancers_stop ();
  int status = report ();
  fflush (stdout);
  release_ports ();
  /* The world lives to the end; a search for leaks in it finds only that.  */
  _exit (status);
}
