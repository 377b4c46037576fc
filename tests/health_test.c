#include "core/health.h"
#include "tests/suite.h"
#include <string.h>

#define START (1000 * BB_SEC)

/* One probe a second: '+' good, '-' failed, 'd' good and draining, 'D' failed
   and draining.  STATES gives the state after each: 'u' up, 'd' down.  */
struct history
{
  const char *name;
  const char *probes;
  const char *states;
  bool draining; /* at the end */
};

static const struct history histories[] = {
  { "two failures are tolerated", "--+--+", "uuuuuu", false },
  { "three failures in a row", "---", "uud", false },
  { "one good probe is not enough", "---+-++", "uuddddu", false },
  { "recovers after two", "---++", "uuddu", false },
  /* The first hold time is 1 s, the third 4 s.  */
  { "hold doubles", "---++---++---++++", "uudduuudduuuddddu", false },
  { "drain announced", "d", "u", true },
  { "drain kept through failures", "d---", "uuud", true },
  { "drain with an error status", "D", "u", true },
  { "drain ended by a good report", "dd+", "uuu", false },
};

static enum bb_health_change
probe (struct bb_health *h, char what, bb_usec now)
{
  struct bb_probe_report r = { .ok = what == '+' || what == 'd',
                               .draining = what == 'd' || what == 'D',
                               .connections = 7,
                               .load = 500,
                               .uptime_ms = UINT32_MAX };
  return bb_health_apply_report (h, &r, now);
}

/* Guards against hysteresis that is off by one, and against changes that are
   reported twice or not at all.  */
START_TEST (probes_give_states)
{
  const struct history *c = &histories[_i];
  struct bb_health h;
  bb_health_init (&h, START);
  ck_assert_uint_eq (strlen (c->probes), strlen (c->states));
  for (size_t i = 0; c->probes[i]; i++)
    {
      bool was = h.up;
      enum bb_health_change change
          = probe (&h, c->probes[i], START + (bb_usec)i * BB_SEC);
      ck_assert_msg (h.up == (c->states[i] == 'u'), "%s: probe %zu", c->name,
                     i);
      ck_assert_int_eq (change, was == h.up ? BB_HEALTH_SAME
                                : h.up      ? BB_HEALTH_WENT_UP
                                            : BB_HEALTH_WENT_DOWN);
    }
  ck_assert_int_eq (h.draining, c->draining);
}
END_TEST

/* Guards against a hold time that grows without bound, and against one that
   stays long after the server has been healthy for a while.  */
START_TEST (hold_is_bounded_and_expires)
{
  struct bb_health h;
  bb_usec now = START;
  bb_health_init (&h, now);
  for (int flap = 0; flap < 12; flap++)
    {
      while (h.up)
        probe (&h, '-', now += BB_SEC);
      while (!h.up)
        probe (&h, '+', now += BB_SEC);
    }
  ck_assert_int_eq (h.hold_time, BB_HEALTH_HOLD_MAX);
  now += BB_HEALTH_HOLD_MAX;
  while (h.up)
    probe (&h, '-', now += BB_SEC);
  ck_assert_int_eq (h.hold_time, BB_SEC);
}
END_TEST

struct ramp
{
  uint32_t uptime_ms; /* at START */
  uint32_t ramp_ms;
  bb_usec later;
  uint32_t expected;
};

static const struct ramp ramps[] = {
  { UINT32_MAX, 30000, 0, 1000 },
  { 0, 30000, 0, 0 },
  { 0, 0, 0, 1000 },
  { 0, 30000, 15 * BB_SEC, 500 },
  { 10000, 30000, 5 * BB_SEC, 500 },
  { 29999, 30000, 0, 999 },
  { 30000, 30000, 0, 1000 },
  /* The server started when the balancer's own clock stood at 0.  */
  { 1000000, 30000, 0, 1000 },
  { UINT32_MAX - 1, UINT32_MAX, 0, 999 },
};

/* Guards against a cold server that gets its full share, and against a warm
   one that gets too little.  */
START_TEST (share_grows_linearly)
{
  const struct ramp *c = &ramps[_i];
  struct bb_health h;
  bb_health_init (&h, START);
  struct bb_probe_report r = { .ok = true, .uptime_ms = c->uptime_ms };
  bb_health_apply_report (&h, &r, START);
  ck_assert_uint_eq (bb_health_ramp (&h, c->ramp_ms, START + c->later),
                     c->expected);
}
END_TEST

/* Guards against load that is used after BB_REPORT_MAX_AGE, or after failed
   probes, which carry no report.  */
START_TEST (reports_age)
{
  struct bb_health h;
  bb_health_init (&h, START);
  ck_assert (!bb_health_is_fresh (&h, START));
  probe (&h, '+', START);
  ck_assert_int_eq (h.connections, 7);
  ck_assert (bb_health_is_fresh (&h, START + BB_REPORT_MAX_AGE - 1));
  probe (&h, '-', START + BB_REPORT_MAX_AGE);
  ck_assert (!bb_health_is_fresh (&h, START + BB_REPORT_MAX_AGE));
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("health");
  TCase *t = tcase_create ("belief");
  tcase_add_loop_test (t, probes_give_states, 0, G_N_ELEMENTS (histories));
  tcase_add_test (t, hold_is_bounded_and_expires);
  tcase_add_loop_test (t, share_grows_linearly, 0, G_N_ELEMENTS (ramps));
  tcase_add_test (t, reports_age);
  suite_add_tcase (s, t);
  return run_suite (s);
}
