#include "marked/evidence/probes.h"

/* Age at which an answered probe says nothing about the server any more.  */
#define ANSWERED_AGE_MAX (2 * BB_SEC)

static bb_usec
due (const struct bb_probe *p)
{
  return p->sent + p->wait_ms * BB_MSEC;
}

bool
bb_probes_may_add (const struct bb_probes *p, bb_usec now)
{
  unsigned pending = 0;
  for (size_t i = 0; i < BB_PROBES_KEPT; i++)
    pending
        += p->items[i].outcome == BB_PROBE_PENDING && due (&p->items[i]) > now;
  return pending < BB_PROBES_PENDING_MAX;
}

/* Returns an item that is not in use, or the oldest one.  */
static struct bb_probe *
find_free (struct bb_probes *p)
{
  struct bb_probe *oldest = &p->items[0];
  for (size_t i = 0; i < BB_PROBES_KEPT; i++)
    {
      struct bb_probe *probe = &p->items[i];
      if (probe->outcome == BB_PROBE_NONE)
        return probe;
      if (probe->sent < oldest->sent)
        oldest = probe;
    }
  return oldest;
}

void
bb_probes_add (struct bb_probes *p, bb_usec wait, bb_usec now)
{
  *find_free (p) = (struct bb_probe){ .sent = now,
                                      .wait_ms = (uint32_t)(wait / BB_MSEC),
                                      .outcome = BB_PROBE_PENDING };
}

static struct bb_probe *
find_pending (struct bb_probes *p, bb_usec sent)
{
  for (size_t i = 0; i < BB_PROBES_KEPT; i++)
    if (p->items[i].outcome == BB_PROBE_PENDING && p->items[i].sent == sent)
      return &p->items[i];
  return NULL;
}

bool
bb_probes_fail (struct bb_probes *p, bb_usec sent, bool has_link_worked)
{
  struct bb_probe *probe = find_pending (p, sent);
  if (probe)
    probe->outcome
        = has_link_worked ? BB_PROBE_FAILED_ON_LINK : BB_PROBE_FAILED;
  return probe;
}

void
bb_probes_withdraw (struct bb_probes *p, bb_usec sent)
{
  struct bb_probe *probe = find_pending (p, sent);
  if (probe)
    probe->outcome = BB_PROBE_NONE;
}

static bool
has_failed (const struct bb_probe *p, bb_usec since, bool is_report)
{
  return (p->outcome == BB_PROBE_FAILED_ON_LINK
          || (p->outcome == BB_PROBE_FAILED && !is_report))
         && due (p) + BB_PROBES_SPREAD >= since;
}

static bool
is_answered (const struct bb_probe *p, bool is_report, bb_usec now)
{
  bb_usec known = due (p) + (is_report ? 1 : -1) * BB_PROBES_SPREAD;
  return p->outcome == BB_PROBE_PENDING && now >= known;
}

struct bb_probe_counts
bb_probes_count (const struct bb_probes *p, bb_usec since, bool is_report,
                 bb_usec now)
{
  struct bb_probe_counts counts = { 0 };
  for (size_t i = 0; i < BB_PROBES_KEPT; i++)
    {
      const struct bb_probe *probe = &p->items[i];
      if (!has_failed (probe, since, is_report))
        continue;
      counts.failed++;
      if (counts.since == 0 || probe->sent < counts.since)
        counts.since = probe->sent;
    }
  bb_usec from = counts.failed ? counts.since - BB_PROBES_SPREAD
                               : now - ANSWERED_AGE_MAX;
  for (size_t i = 0; i < BB_PROBES_KEPT; i++)
    {
      const struct bb_probe *probe = &p->items[i];
      if (probe->sent < from || !is_answered (probe, is_report, now))
        continue;
      counts.answered++;
      if (counts.failed == 0)
        counts.since = MAX (counts.since, probe->sent);
    }
  return counts;
}
