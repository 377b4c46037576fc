/* The schedule of faults: one every 0.1 to 1.2 s, so that faults overlap.
   The seed determines the kind and target of each, so that a schedule can be
   repeated.  */

#include "soak/soak.h"
#include <signal.h>

static int
draw (int from, int to)
{
  return g_rand_int_range (cluster.random, from, to);
}

static struct soak_balancer *
pick_balancer (void)
{
  return &cluster.balancers[draw (0, (int)cluster.balancer_count)];
}

static struct soak_server *
pick_server (void)
{
  struct soak_server *s
      = &cluster.servers[draw (0, (int)cluster.server_count)];
  return s->fd >= 0 ? s : NULL;
}

static void
kill_balancer (void)
{
  soak_balancer_signal (pick_balancer (), SIGKILL);
}

static void
terminate_balancer (void)
{
  soak_balancer_signal (pick_balancer (), SIGTERM);
}

static void
pause_balancer (void)
{
  struct soak_balancer *b = pick_balancer ();
  soak_balancer_signal (b, SIGSTOP);
  b->resume_at = cluster.now + draw (300, 4000) * BB_MSEC;
}

static void
reload_balancer (void)
{
  soak_balancer_signal (pick_balancer (), SIGHUP);
}

static void
kill_balancers (void)
{
  int chance = draw (30, 101);
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    if (draw (0, 100) < chance)
      soak_balancer_signal (&cluster.balancers[i], SIGKILL);
}

static void
inject_store_fault (bool all)
{
  enum soak_store_mode mode = (enum soak_store_mode)draw (1, SOAK_STORE_MODES);
  bb_usec until = cluster.now + draw (300, 4000) * BB_MSEC;
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    if (all || draw (0, 3) == 0)
      {
        cluster.balancers[i].store = mode;
        cluster.balancers[i].store_until = until;
        cluster.balancers[i].last_fault_end = until;
      }
  if (all)
    cluster.last_store_fault_end = MAX (cluster.last_store_fault_end, until);
}

static void
fail_store_for_some (void)
{
  inject_store_fault (false);
}

static void
fail_store_for_all (void)
{
  inject_store_fault (true);
}

static void
drop_store_history (void)
{
  soak_store_drop_history ();
  cluster.last_store_fault_end
      = MAX (cluster.last_store_fault_end, cluster.now);
}

/* The store is away for a moment and comes back from an older copy.  */
static void
return_store (void)
{
  bb_usec until = cluster.now + draw (100, 1000) * BB_MSEC;
  soak_store_return ();
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    {
      struct soak_balancer *b = &cluster.balancers[i];
      b->store = SOAK_STORE_RESETS;
      b->store_until = b->last_fault_end = until;
    }
  cluster.last_store_fault_end
      = MAX (cluster.last_store_fault_end, cluster.now + 2 * BB_SEC);
}

static void
isolate_balancer (void)
{
  struct soak_balancer *b = pick_balancer ();
  b->isolated_until = cluster.now + draw (300, 3000) * BB_MSEC;
  b->last_fault_end = b->isolated_until;
  /* No server counts as stable before the isolation ends.  */
  for (unsigned i = 0; i < cluster.server_count; i++)
    cluster.servers[i].last_fault_end
        = MAX (cluster.servers[i].last_fault_end,
               b->isolated_until - SOAK_SETTLE_TIME);
}

/* Returns whether the service has at least two more servers in the data centre
   than S.  */
static bool
is_spare (const struct soak_server *s)
{
  unsigned count = 0;
  for (unsigned i = 0; i < cluster.server_count; i++)
    {
      const struct soak_server *o = &cluster.servers[i];
      count += o->fd >= 0 && !o->draining && o->service == s->service
               && o->data_centre == s->data_centre;
    }
  return count > 2;
}

static void
replace_server (void)
{
  struct soak_server *s = pick_server ();
  if (!s || s->draining)
    return;
  soak_server_start (s->service, s->data_centre, NULL);
  soak_server_drain (s);
}

/* Crashes a server and starts a server of the other service at its address. */
static void
crash_server (void)
{
  struct soak_server *s = pick_server ();
  if (!s || !is_spare (s))
    return;
  soak_server_crash (s);
  soak_server_start ((s->service + 1) % SOAK_SERVICES, s->data_centre, s);
}

static void
add_server (void)
{
  soak_server_start ((unsigned)draw (0, SOAK_SERVICES),
                     (unsigned)draw (0, SOAK_DATA_CENTRES), NULL);
}

static void
pause_server (void)
{
  struct soak_server *s = pick_server ();
  if (s)
    s->last_fault_end = cluster.now + draw (300, 1500) * BB_MSEC;
}

static void
change_configuration (void)
{
  if (draw (0, 2) == 0)
    {
      cluster.probe_listed = !cluster.probe_listed;
      cluster.probe_changed = cluster.now;
    }
  soak_store_publish_routes ();
}

static void
change_evacuation (void)
{
  bool is_over = cluster.evacuated_at != 0;
  if (!is_over)
    cluster.evacuated = (unsigned)draw (0, SOAK_DATA_CENTRES);
  cluster.evacuated_at = is_over ? 0 : cluster.now;
  soak_store_put_evacuation ();
}

static const struct
{
  const char *name;
  int weight;
  void (*inject) (void);
} faults[] = {
  { "kill", 4, kill_balancer },
  { "stop", 4, terminate_balancer },
  { "pause", 4, pause_balancer },
  { "reload", 2, reload_balancer },
  { "kill_many", 1, kill_balancers },
  { "store_refuses_some", 3, fail_store_for_some },
  { "store_is_away", 2, fail_store_for_all },
  { "forget", 1, drop_store_history },
  { "cut_one", 2, isolate_balancer },
  { "replace", 4, replace_server },
  { "crash", 2, crash_server },
  { "add", 2, add_server },
  { "pause_server", 2, pause_server },
  { "configure", 5, change_configuration },
  /* Not below SOAK_ERA_SEEDS and SOAK_EVACUATION_SEEDS, whose schedules they
     would change.  */
  { "return", 4, return_store },
  { "evacuate", 4, change_evacuation },
};

static size_t
count_kinds (void)
{
  return G_N_ELEMENTS (faults) - (cluster.seed < SOAK_ERA_SEEDS)
         - (cluster.seed < SOAK_EVACUATION_SEEDS);
}

void
soak_faults_tick (void)
{
  static bb_usec next;
  if (next == 0)
    next = cluster.now + 5 * BB_SEC;
  if (cluster.now < next || cluster.now > cluster.faults_end)
    return;
  next = cluster.now + draw (100, 1200) * BB_MSEC;
  int sum = 0;
  for (size_t i = 0; i < count_kinds (); i++)
    sum += faults[i].weight;
  int remaining_weight = draw (0, sum);
  size_t i = 0;
  while (remaining_weight >= faults[i].weight)
    remaining_weight -= faults[i++].weight;
  g_print ("%8.3f %s\n", (double)(cluster.now - cluster.started) / BB_SEC,
           faults[i].name);
  faults[i].inject ();
}
