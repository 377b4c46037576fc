#include "driver/scenarios.h"
#include "driver/private.h"

/* Time allowed for restoring the replicas of all entries after crashes or a
   pause.  Until then no other balancer crashes, leaves or is paused.  */
#define REPAIR_TIME_MAX (12 * BB_SEC)

struct bb_driver_options
bb_scenario_options (uint64_t seed)
{
  return (struct bb_driver_options){
    .seed = seed,
    .balancers = 6,
    .servers = 14,
    .flow_capacity = 20000,
    .push_bytes = 4096,
    .policy = BB_POLICY_EVEN,
    .spill_permille = BB_SPILL_PERMILLE_DEFAULT,
    .idle_s = 86400,
    .silent_ms = 8000,
    .latency = 500,
    .rate = 100,
    .gap = 3 * BB_SEC,
    .life = 40 * BB_SEC,
  };
}

char *
bb_scenario_describe_faults (const struct bb_driver *d)
{
  const struct bb_driver_result *r = bb_driver_result (d);
  if (!r->misrouted && !r->duplicated && !r->refused_after_syn
      && !r->resets_wrong && !r->versions_reverted && !r->broken && r->opened)
    return NULL;
  return g_strdup_printf (
      "seed %lu: %lu opened, %lu broken (%lu timed out), first %lu at %.3f s, "
      "%lu misrouted, %lu duplicated, %lu refused after their SYN, %lu reset "
      "wrongly, %lu versions reverted",
      d->o.seed, r->opened, r->broken, r->timed_out, r->first_failed_flow,
      (double)r->first_failed_at / 1e6, r->misrouted, r->duplicated,
      r->refused_after_syn, r->resets_wrong, r->versions_reverted);
}

void
bb_scenario_set_drain (struct bb_driver *d, int index, bool drain,
                       bb_usec spread)
{
  struct bb_fleet *f = bb_driver_copy_fleet (d);
  struct bb_service *s = &f->services[0];
  for (size_t i = 0; i < s->server_count; i++)
    if (s->servers[i].key == d->servers[index].key)
      s->servers[i].drain = drain;
  d->servers[index].drained = drain;
  bb_driver_publish_fleet (d, f, spread);
}

void
bb_scenario_remove_server (struct bb_driver *d, int index, bb_usec spread)
{
  struct bb_fleet *f = bb_driver_copy_fleet (d);
  struct bb_service *s = &f->services[0];
  size_t n = 0;
  for (size_t i = 0; i < s->server_count; i++)
    if (s->servers[i].key != d->servers[index].key)
      s->servers[n++] = s->servers[i];
  s->server_count = n;
  d->servers[index].drained = true;
  bb_driver_publish_fleet (d, f, spread);
}

static void
report_to_all_but_last (struct bb_driver *d, uint32_t key, bool draining)
{
  struct bb_probe_report r
      = { .ok = true, .draining = draining, .uptime_ms = UINT32_MAX };
  for (uint32_t i = 0; i + 1 < d->o.balancers; i++)
    bb_engine_receive_report (d->nodes[i].engine, key, &r, d->now);
}

/* The last balancer receives no report of the drain.  Only the impairment bits
   of the other balancers prevent it from placing new flows at the draining
   server.  */
void
bb_scenario_report_drains_to_some (struct bb_driver *d)
{
  for (int server = 0; server < 10; server++)
    for (int i = 0; i < 60; i++)
      {
        report_to_all_but_last (d, d->servers[server].key, true);
        bb_driver_run (d, 50 * BB_MSEC);
      }
}

static void
replace_node (struct bb_driver *d, int old)
{
  int new = (int)d->o.balancers;
  while (new < BB_DRIVER_NODES - 1 && d->nodes[new].engine)
    new ++;
  bb_driver_join_node (d, new);
  bb_driver_leave_node (d, old);
}

void
bb_scenario_replace_in_turn (struct bb_driver *d, int count, bb_usec step)
{
  for (int i = 0; i < count; i++)
    {
      replace_node (d, i);
      bb_driver_run (d, step);
    }
}

void
bb_scenario_replace_and_drain (struct bb_driver *d, int count, bb_usec step)
{
  for (int i = 0; i < count; i++)
    {
      bb_scenario_set_drain (d, i % 14, true, 2 * BB_SEC);
      replace_node (d, i);
      bb_driver_run (d, step / 2);
      bb_scenario_set_drain (d, i % 14, false, 2 * BB_SEC);
      bb_driver_run (d, step - step / 2);
    }
}

static int
pick_node (struct bb_driver *d, bool running)
{
  for (int attempts = 0; attempts < 100; attempts++)
    {
      int i = (int)bb_driver_random (d, BB_DRIVER_NODES);
      if ((d->nodes[i].engine != NULL) == running
          && (running || !d->nodes[i].in_fabric))
        return i;
    }
  return -1;
}

static uint32_t
count_running_nodes (const struct bb_driver *d)
{
  uint32_t n = 0;
  for (int i = 0; i < BB_DRIVER_NODES; i++)
    n += d->nodes[i].engine != NULL;
  return n;
}

static void
crash_nodes (struct bb_driver *d, bb_usec *repair_end)
{
  int n = 1 + (int)bb_driver_random (d, 2);
  if (d->now < *repair_end || count_running_nodes (d) < 6)
    return;
  *repair_end = d->now + REPAIR_TIME_MAX;
  while (n--)
    {
      int i = pick_node (d, true);
      if (i >= 0)
        bb_driver_kill_node (d, i);
    }
}

static void
set_random_drain (struct bb_driver *d)
{
  int s = (int)bb_driver_random (d, d->o.servers);
  bool drain = !d->servers[s].drained && bb_driver_random (d, 2);
  if (d->fleet_count < BB_DRIVER_VERSIONS - 2)
    bb_scenario_set_drain (d, s, drain, 2 * BB_SEC);
}

static void
inject_random_fault (struct bb_driver *d, bb_usec *repair_end)
{
  int i = pick_node (d, true);
  switch (bb_driver_random (d, 6))
    {
    case 0:
      crash_nodes (d, repair_end);
      break;
    case 1:
      if (count_running_nodes (d) > 4 && d->now > *repair_end)
        bb_driver_leave_node (d, i);
      break;
    case 2:
      if (d->now > *repair_end && count_running_nodes (d) > 4)
        {
          bb_usec time = bb_driver_random (d, 10000) * BB_MSEC;
          bb_driver_pause_node (d, i, time);
          *repair_end = d->now + time + REPAIR_TIME_MAX;
        }
      break;
    case 3:
      if (count_running_nodes (d) < 9)
        bb_driver_join_node (d, pick_node (d, false));
      break;
    default:
      set_random_drain (d);
      break;
    }
}

void
bb_scenario_inject_random (struct bb_driver *d, int steps)
{
  bb_usec repair_end = 0;
  while (steps--)
    {
      inject_random_fault (d, &repair_end);
      bb_driver_run (d, bb_driver_random (d, 4000) * BB_MSEC);
    }
}
