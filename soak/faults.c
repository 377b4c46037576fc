/* The schedule of faults: one each 0.1 to 1.2 s, of a kind and at a place that
   the seed draws, so that they overlap and repeat.  */

#include "soak/soak.h"
#include <signal.h>

static int
draw (int from, int to)
{
  return g_rand_int_range (world.random, from, to);
}

static struct soak_balancer *
any_balancer (void)
{
  return &world.balancers[draw (0, (int)world.balancer_count)];
}

static struct soak_server *
any_server (void)
{
  struct soak_server *s = &world.servers[draw (0, (int)world.server_count)];
  return s->fd >= 0 ? s : NULL;
}

static void
kill_one (void)
{
  soak_balancer_signal (any_balancer (), SIGKILL);
}

static void
stop_one (void)
{
  soak_balancer_signal (any_balancer (), SIGTERM);
}

static void
pause_one (void)
{
  struct soak_balancer *b = any_balancer ();
  soak_balancer_signal (b, SIGSTOP);
  b->resume_at = world.now + draw (300, 4000) * BB_MSEC;
}

static void
reload_one (void)
{
  soak_balancer_signal (any_balancer (), SIGHUP);
}

static void
kill_many (void)
{
  int chance = draw (30, 101);
  for (unsigned i = 0; i < world.balancer_count; i++)
    if (draw (0, 100) < chance)
      soak_balancer_signal (&world.balancers[i], SIGKILL);
}

static void
hurt_store (bool all)
{
  enum soak_store_mode mode = (enum soak_store_mode)draw (1, SOAK_STORE_MODES);
  bb_usec until = world.now + draw (300, 4000) * BB_MSEC;
  for (unsigned i = 0; i < world.balancer_count; i++)
    if (all || draw (0, 3) == 0)
      {
        world.balancers[i].store = mode;
        world.balancers[i].store_until = until;
        world.balancers[i].trouble = until;
      }
  if (all)
    world.store_trouble = MAX (world.store_trouble, until);
}

static void
store_refuses_some (void)
{
  hurt_store (false);
}

static void
store_is_away (void)
{
  hurt_store (true);
}

static void
forget (void)
{
  soak_store_drop_history ();
  world.store_trouble = MAX (world.store_trouble, world.now);
}

static void
cut_one (void)
{
  struct soak_balancer *b = any_balancer ();
  b->cut_until = world.now + draw (300, 3000) * BB_MSEC;
  b->trouble = b->cut_until;
  for (unsigned i = 0; i < world.server_count; i++)
    world.servers[i].trouble
        = MAX (world.servers[i].trouble, b->cut_until - SOAK_CALM);
}

/* A service keeps two servers in each data centre.  */
static bool
is_spare (const struct soak_server *s)
{
  unsigned count = 0;
  for (unsigned i = 0; i < world.server_count; i++)
    {
      const struct soak_server *o = &world.servers[i];
      count += o->fd >= 0 && !o->draining && o->service == s->service
               && o->data_centre == s->data_centre;
    }
  return count > 2;
}

static void
replace (void)
{
  struct soak_server *s = any_server ();
  if (!s || s->draining)
    return;
  soak_server_start (s->service, s->data_centre, NULL);
  soak_server_drain (s);
}

/* The address of a server that crashed goes to one of the other service.  */
static void
crash (void)
{
  struct soak_server *s = any_server ();
  if (!s || !is_spare (s))
    return;
  soak_server_crash (s);
  soak_server_start ((s->service + 1) % SOAK_SERVICES, s->data_centre, s);
}

static void
add (void)
{
  soak_server_start ((unsigned)draw (0, SOAK_SERVICES),
                     (unsigned)draw (0, SOAK_DATA_CENTRES), NULL);
}

static void
pause_server (void)
{
  struct soak_server *s = any_server ();
  if (s)
    s->trouble = world.now + draw (300, 1500) * BB_MSEC;
}

static void
configure (void)
{
  if (draw (0, 2) == 0)
    {
      world.probe_listed = !world.probe_listed;
      world.probe_changed = world.now;
    }
  soak_store_publish_routes ();
}

static const struct
{
  const char *name;
  int weight;
  void (*act) (void);
} kinds[] = {
  { "kill", 4, kill_one },
  { "stop", 4, stop_one },
  { "pause", 4, pause_one },
  { "reload", 2, reload_one },
  { "kill_many", 1, kill_many },
  { "store_refuses_some", 3, store_refuses_some },
  { "store_is_away", 2, store_is_away },
  { "forget", 1, forget },
  { "cut_one", 2, cut_one },
  { "replace", 4, replace },
  { "crash", 2, crash },
  { "add", 2, add },
  { "pause_server", 2, pause_server },
  { "configure", 5, configure },
};

void
soak_faults_tick (void)
{
  static bb_usec next;
  if (next == 0)
    next = world.now + 5 * BB_SEC;
  if (world.now < next || world.now > world.faults_end)
    return;
  next = world.now + draw (100, 1200) * BB_MSEC;
  int sum = 0;
  for (size_t i = 0; i < G_N_ELEMENTS (kinds); i++)
    sum += kinds[i].weight;
  int drawn = draw (0, sum);
  size_t i = 0;
  while (drawn >= kinds[i].weight)
    drawn -= kinds[i++].weight;
  g_print ("%8.3f %s\n", (double)(world.now - world.started) / BB_SEC,
           kinds[i].name);
  kinds[i].act ();
}
