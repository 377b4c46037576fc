/* Health of one backend server, from its probes.  A server changes state only
   after several equal probes and stays down for a growing time, so that one
   lost probe or a flapping server does not move flows.  */

#include "core/health.h"

/* Shortest time down after a first failure.  It doubles when the server fails
   again within BB_HEALTH_HOLD_MAX of its recovery.  */
#define HOLD_MIN (1 * BB_SEC)

void
bb_health_init (struct bb_health *h, bb_usec now)
{
  *h = (struct bb_health){ .up = true, .up_since = now, .connections = -1 };
}

static void
set_down (struct bb_health *h, bb_usec now)
{
  bool flapped = h->hold_time > 0 && now - h->up_since < BB_HEALTH_HOLD_MAX;
  h->hold_time
      = flapped ? MIN (2 * h->hold_time, BB_HEALTH_HOLD_MAX) : HOLD_MIN;
  h->down_until = now + h->hold_time;
  h->up = false;
}

static void
store_report (struct bb_health *h, const struct bb_probe_report *report,
              bb_usec now)
{
  h->last_report = now;
  h->connections = report->connections;
  h->load = report->load;
  if (report->uptime_ms == UINT32_MAX)
    return;
  h->server_started_at = now - report->uptime_ms * BB_MSEC;
  if (h->server_started_at == 0)
    h->server_started_at = -1; /* 0 means that the start is unknown */
}

enum bb_health_change
bb_health_apply_report (struct bb_health *h,
                        const struct bb_probe_report *report, bb_usec now)
{
  if (!report->ok)
    {
      /* A draining server may already answer its probes with an error.  Only a
         good report can end the drain.  */
      h->draining |= report->draining;
      h->successes = 0;
      h->failures = MIN (h->failures + 1, UINT8_MAX);
      if (!h->up || h->failures < BB_HEALTH_DOWN_AFTER)
        return BB_HEALTH_SAME;
      set_down (h, now);
      return BB_HEALTH_WENT_DOWN;
    }
  store_report (h, report, now);
  h->draining = report->draining;
  h->failures = 0;
  h->successes = MIN (h->successes + 1, UINT8_MAX);
  if (h->up || h->successes < BB_HEALTH_UP_AFTER || now < h->down_until)
    return BB_HEALTH_SAME;
  h->up = true;
  h->up_since = now;
  return BB_HEALTH_WENT_UP;
}

uint32_t
bb_health_ramp (const struct bb_health *h, uint32_t ramp_ms, bb_usec now)
{
  if (h->server_started_at == 0 || ramp_ms == 0)
    return 1000;
  bb_usec running = now - h->server_started_at;
  if (running <= 0)
    return 0;
  if (running >= ramp_ms * BB_MSEC)
    return 1000;
  return (uint32_t)(running / ramp_ms);
}

bool
bb_health_is_fresh (const struct bb_health *h, bb_usec now)
{
  return h->last_report != 0 && now - h->last_report < BB_REPORT_MAX_AGE;
}
