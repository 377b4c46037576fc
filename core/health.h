/* Health and load of one backend server, from the probes of this balancer.  */

#ifndef BB_CORE_HEALTH_H
#define BB_CORE_HEALTH_H

#include "core/engine.h"

#define BB_HEALTH_DOWN_AFTER 3 /* failed probes in a row */
#define BB_HEALTH_UP_AFTER 2   /* good probes in a row */
#define BB_HEALTH_HOLD_MAX (60 * BB_SEC)
#define BB_REPORT_MAX_AGE (3 * BB_SEC) /* older ones are not used for load */

struct bb_health
{
  bool up;
  bool draining;     /* reported by the server */
  uint8_t failures;  /* in a row */
  uint8_t successes; /* in a row */
  bb_usec hold_time; /* shortest time down; doubles with each flap */
  bb_usec down_until;
  bb_usec up_since;
  bb_usec server_started_at; /* start of the server process, 0: unknown */
  bb_usec last_report;       /* time of the last good report, 0: none */
  int32_t connections;       /* of the last good report, -1: not reported */
  uint32_t load;             /* permille */
};

enum bb_health_change
{
  BB_HEALTH_SAME,
  BB_HEALTH_WENT_DOWN,
  BB_HEALTH_WENT_UP
};

/* A server that was never probed counts as up.  */
void bb_health_init (struct bb_health *h, bb_usec now);

enum bb_health_change
bb_health_apply_report (struct bb_health *h,
                        const struct bb_probe_report *report, bb_usec now);

/* Returns the permille of its flows that a server may get now.  The share
   grows linearly for RAMP_MS after the start of the server and is 1000 if the
   start is unknown.  */
uint32_t bb_health_ramp (const struct bb_health *h, uint32_t ramp_ms,
                         bb_usec now);

/* Whether the last report is recent enough to be used for load.  */
bool bb_health_is_fresh (const struct bb_health *h, bb_usec now);
#endif
