/* Entry point of the soak: options, the clock tick that drives all parts, and
   the summary.  */

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

struct soak_cluster cluster;

#define TICK (5 * BB_MSEC)

/* A tick that is later by this time is a fault.  */
#define STALL_MIN (250 * BB_MSEC)

/* Limit of the time by which stalls make a run longer.  */
#define STALLED_MAX (60 * BB_SEC)

/* Time without faults at the end of a run, to check that service recovers.  */
#define FAULT_FREE_TIME (SOAK_SETTLE_TIME + 4 * BB_SEC)

enum
{
  ANSWERED_PERCENT_MIN = 95, /* of the requests after the last fault */
};

static gint seed = 1, seconds = 30, balancers = 6, callers = 60, servers = 3;
static gchar *program = "build/bin/bluebellstand";
static gchar *plant;

static const GOptionEntry entries[] = {
  { "seed", 's', 0, G_OPTION_ARG_INT, &seed, "Seed of the schedule of faults",
    "N" },
  { "seconds", 't', 0, G_OPTION_ARG_INT, &seconds, "Duration in seconds",
    "N" },
  { "balancers", 'b', 0, G_OPTION_ARG_INT, &balancers, "Number of balancers",
    "N" },
  { "callers", 'c', 0, G_OPTION_ARG_INT, &callers, "Number of callers", "N" },
  { "servers", 'n', 0, G_OPTION_ARG_INT, &servers,
    "Servers per service and data centre", "N" },
  { "program", 'p', 0, G_OPTION_ARG_FILENAME, &program,
    "Program of the balancer under test", "FILE" },
  { "plant", 0, 0, G_OPTION_ARG_STRING, &plant,
    "Violate a guarantee on purpose: twice, service", "KIND" },
  G_OPTION_ENTRY_NULL,
};

void
soak_violation (const char *guarantee, const char *format, ...)
{
  va_list arguments;
  va_start (arguments, format);
  g_autofree char *text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  cluster.violations++;
  printf ("%8.3f BROKEN %s: %s\n",
          (double)(cluster.now - cluster.started) / BB_SEC, guarantee, text);
}

/* Records that this process stood still for STALLED.  It plays the store, the
   links, the servers and the callers, so that no balancer reached any of them.
   The run takes as much longer.  */
static void
record_stall (bb_usec stalled)
{
  printf ("%8.3f stall of %.3f s\n",
          (double)(cluster.now - cluster.started) / BB_SEC,
          (double)stalled / BB_SEC);
  static bb_usec total;
  bb_usec longer = MIN (stalled, STALLED_MAX - total);
  total += longer;
  cluster.end += longer;
  cluster.faults_end += longer;
  cluster.last_store_fault_end
      = MAX (cluster.last_store_fault_end, cluster.now);
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    cluster.balancers[i].last_fault_end
        = MAX (cluster.balancers[i].last_fault_end, cluster.now);
  for (unsigned i = 0; i < cluster.server_count; i++)
    cluster.servers[i].last_fault_end
        = MAX (cluster.servers[i].last_fault_end, cluster.now);
}

static void
on_tick (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  (void)context;
  bb_usec stalled = bb_clock_boot () - cluster.now;
  cluster.now += stalled;
  if (stalled >= STALL_MIN)
    record_stall (stalled);
  soak_faults_tick ();
  soak_link_faults_tick ();
  soak_servers_tick ();
  soak_balancers_tick ();
  soak_callers_tick ();
  soak_store_tick ();
  soak_links_tick ();
  if (cluster.now >= cluster.end)
    event_base_loopbreak (cluster.loop);
}

static void
start_servers (void)
{
  for (unsigned i = 0; i < SOAK_SERVICES; i++)
    for (unsigned j = 0; j < SOAK_DATA_CENTRES; j++)
      for (gint k = 0; k < servers; k++)
        soak_server_start (i, j, NULL);
}

static int lock = -1; /* lock file of the ports from cluster.port on */

/* Waits until no other soak uses the ports.  The ports are derived from the
   seed and must not change, because the placement of flows depends on them. */
static void
reserve_ports (void)
{
  g_autofree char *path
      = g_strdup_printf ("/tmp/bluebellstand-soak-%u.lock", cluster.port);
  lock = open (path, O_RDONLY | O_CLOEXEC);
  if (lock < 0)
    lock = open (path, O_RDONLY | O_CREAT | O_CLOEXEC, 0644);
  if (lock < 0)
    g_error ("cannot open %s: %s", path, g_strerror (errno));
  while (flock (lock, LOCK_EX) != 0)
    if (errno != EINTR)
      g_error ("cannot lock %s: %s", path, g_strerror (errno));
}

/* Closes all sockets before the lock, because the order in which a process
   closes its files at exit is not defined.  */
static void
release_ports (void)
{
  if (lock > STDERR_FILENO + 1)
    close_range (STDERR_FILENO + 1, (unsigned)lock - 1, 0);
  close_range ((unsigned)lock + 1, ~0U, 0);
  close (lock);
}

static void
init_cluster (void)
{
  cluster.loop = event_base_new ();
  cluster.random = g_rand_new_with_seed ((guint32)seed);
  cluster.seed = (uint32_t)seed;
  /* All ports are below the range of ephemeral ports.  */
  cluster.port = (uint16_t)(12000 + seed % 58 * 340);
  reserve_ports ();
  cluster.balancer_count = (unsigned)CLAMP (balancers, 1, SOAK_BALANCERS_MAX);
  cluster.caller_count = (unsigned)CLAMP (callers, 1, SOAK_CALLERS_MAX);
  cluster.program = program;
  cluster.plant = plant;
  cluster.directory = g_dir_make_tmp ("soak-XXXXXX", NULL);
  cluster.started = cluster.now = bb_clock_boot ();
  cluster.end = cluster.started + seconds * BB_SEC;
  cluster.faults_end = cluster.end - FAULT_FREE_TIME;
  cluster.last_store_fault_end = cluster.probe_changed = cluster.started;
}

static int
print_summary (void)
{
  uint64_t answered_percent
      = cluster.late_requests
            ? 100 * cluster.late_answers / cluster.late_requests
            : 100;
  if (answered_percent < ANSWERED_PERCENT_MIN)
    soak_violation ("service",
                    "%" PRIu64 " of %" PRIu64
                    " requests sent after the last fault were answered",
                    cluster.late_answers, cluster.late_requests);
  printf ("soak: seed=%d asked=%" PRIu64 " answered=%" PRIu64
          " after_faults=%" PRIu64 "/%" PRIu64 " broken=%" PRIu64 " logs=%s\n",
          seed, cluster.requests_sent, cluster.requests_answered,
          cluster.late_answers, cluster.late_requests, cluster.violations,
          cluster.directory);
  return cluster.violations ? EXIT_FAILURE : EXIT_SUCCESS;
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
  init_cluster ();
  soak_balancers_start ();
  soak_links_start ();
  soak_store_start ();
  soak_store_publish_routes ();
  start_servers ();
  soak_callers_start ();
  struct timeval tick = bb_clock_timeval (TICK);
  event_add (event_new (cluster.loop, -1, EV_PERSIST, on_tick, NULL), &tick);
  event_base_dispatch (cluster.loop);
  soak_balancers_stop ();
  int status = print_summary ();
  fflush (stdout);
  release_ports ();
  /* The cluster is not freed.  Without exit handlers, the leak check does not
     report it.  */
  _exit (status);
}
