#include "marked/evidence/answer_quality.h"
#include <math.h>
#include <string.h>

enum
{
  SAMPLES_MIN = 16,     /* needed to know the usual lengths */
  SAMPLES_INTERVAL = 8, /* answers between two evaluations of the lengths */
  SPREAD_MULTIPLE = 6,  /* of the upper half of the usual lengths */
  LENGTH_TOLERANCE = 8, /* an answer may be 1/8 shorter than the median */
  OUTLIER_PART = 3, /* less than 1/3 of the median is no usual answer at all */
  RECOVERED_AFTER = 8,     /* usual answers in a row */
  FAILING_PART = 3,        /* at most 1/3 of the servers are failing */
  FAILING_SERVERS_MIN = 3, /* a service of fewer has none */
};

/* Time in which the weight of an answer falls to 1/e.  */
#define RECENT_TIME (2 * BB_SEC)

/* A usual server gives this evidence by chance once in e^10 = 22,000 answers
   at most; two outliers in a row do not give it.  */
#define EVIDENCE_MIN 10.0

/* Time in which the weight of evidence falls to 1/e.  A service with 3 answers
   a second of a server gives 15 in this time.  */
#define EVIDENCE_TIME (5 * BB_SEC)

/* A failing server is expected to fail this share of its requests, and far
   more than the others.  Above the largest share, failing servers cannot be
   distinguished.  */
#define FAILING_SHARE 0.3
#define FAILING_SHARE_RATIO 2.0
#define FAILING_SHARE_MAX 0.9

/* Share of outliers of the other servers that is assumed at least, and the
   number of answers that count in its favour.  With fewer recent answers of
   the other servers, nothing is concluded.  */
#define OTHERS_ANSWERS_MIN 20.0
#define USUAL_SHARE_MIN 0.01
#define USUAL_SHARE_ANSWERS 10.0
#define USUAL_SHARE_MAX 0.99

/* A failing server with no outlier for this time gets flows again: it
   recovered, or nobody asks it.  */
#define RETRY_AFTER (2 * BB_SEC)

/* Evidence that is kept in the second case: one more outlier is enough.  */
#define EVIDENCE_AT_RETRY (0.7 * EVIDENCE_MIN)

#define FAILING_COST_FACTOR 16.0
#define RECOVERY_TIME BB_SEC

/* Less than the interval of heartbeats, so that a peer is counted once.  */
#define PEER_REPORT_TIME (200 * BB_MSEC)

/* A balancer that was frozen for longer has old counts to report.  */
#define REPORT_TIME_MAX BB_SEC

enum
{
  REPORT_SERVERS_MIN = 3, /* with outliers, to compare them */
  PEER_REPORTS_MIN = 3,
};

static void
sort (uint16_t *values, uint32_t count)
{
  for (uint32_t i = 1; i < count; i++)
    {
      uint16_t value = values[i];
      uint32_t at = i;
      for (; at > 0 && values[at - 1] > value; at--)
        values[at] = values[at - 1];
      values[at] = value;
    }
}

/* The median and the upper quartile are used, which errors of less than half
   of the answers do not change much.  */
static uint16_t
find_shortest_usual (const struct bb_answer_lengths *l)
{
  uint16_t sorted[BB_ANSWER_SAMPLES];
  memcpy (sorted, l->samples, l->count * sizeof sorted[0]);
  sort (sorted, l->count);
  int median = sorted[l->count / 2];
  int spread = sorted[l->count * 3 / 4] - median;
  int tolerance = MAX (SPREAD_MULTIPLE * spread, median / LENGTH_TOLERANCE);
  return (uint16_t)MAX (median / OUTLIER_PART, median - tolerance);
}

void
bb_answer_lengths_add (struct bb_answer_lengths *l, uint32_t bytes)
{
  l->samples[l->next] = (uint16_t)MIN (bytes, UINT16_MAX);
  l->next = (l->next + 1) % BB_ANSWER_SAMPLES;
  l->count = (uint8_t)MIN (l->count + 1, BB_ANSWER_SAMPLES);
  if (l->count >= SAMPLES_MIN && l->next % SAMPLES_INTERVAL == 0)
    l->shortest_usual = find_shortest_usual (l);
}

static void
age (struct bb_recent_answers *r, bb_usec now)
{
  if (now <= r->updated)
    return;
  double weight = exp (-(double)(now - r->updated) / RECENT_TIME);
  r->usual *= weight;
  r->outliers *= weight;
  r->updated = now;
}

static void
add_counts (struct bb_recent_answers *r, const struct bb_answer_counts *counts,
            bb_usec now)
{
  age (r, now);
  r->usual += counts->usual;
  r->outliers += counts->outliers;
}

/* Returns the recent answers of the other servers that are not failing.  */
static struct bb_recent_answers
answers_of_others (const struct bb_server_quality *q,
                   const struct bb_service_quality *g)
{
  struct bb_recent_answers r = g->recent;
  if (!q->is_failing)
    {
      r.outliers = MAX (r.outliers - q->recent.outliers, 0);
      r.usual = MAX (r.usual - q->recent.usual, 0);
    }
  return r;
}

static double
outlier_share (const struct bb_recent_answers *r)
{
  double share = (r->outliers + USUAL_SHARE_MIN * USUAL_SHARE_ANSWERS)
                 / (r->outliers + r->usual + USUAL_SHARE_ANSWERS);
  return CLAMP (share, USUAL_SHARE_MIN, USUAL_SHARE_MAX);
}

/* A cumulative sum test: the evidence grows with outliers and falls to 0 with
   usual answers, so that those before a failure do not delay its detection.
 */
static void
add_evidence (struct bb_server_quality *q, const struct bb_service_quality *g,
              const struct bb_answer_counts *counts)
{
  struct bb_recent_answers r = answers_of_others (q, g);
  double others = outlier_share (&r);
  double failing = MAX (FAILING_SHARE, FAILING_SHARE_RATIO * others);
  if (failing > FAILING_SHARE_MAX || r.usual + r.outliers < OTHERS_ANSWERS_MIN)
    return;
  q->evidence += counts->outliers * log (failing / others)
                 + counts->usual * log ((1 - failing) / (1 - others));
  q->evidence = MAX (q->evidence, 0);
}

void
bb_answer_quality_add (struct bb_server_quality *q,
                       struct bb_service_quality *g,
                       const struct bb_answer_counts *counts, bb_usec now)
{
  if (now > q->recent.updated)
    q->evidence *= exp (-(double)(now - q->recent.updated) / EVIDENCE_TIME);
  add_counts (&q->recent, counts, now);
  age (&g->recent, now);
  if (!q->is_failing)
    add_counts (&g->recent, counts, now);
  g->total.usual += counts->usual;
  g->total.outliers += counts->outliers;
  add_evidence (q, g, counts);
  if (q->is_adopted && bb_answer_quality_looks_failing (q))
    q->is_adopted = false;
  if (counts->outliers > 0)
    {
      q->last_outlier = now;
      q->usual_in_a_row = 0;
    }
  else
    q->usual_in_a_row += counts->usual;
}

bool
bb_answer_quality_looks_failing (const struct bb_server_quality *q)
{
  return q->evidence >= EVIDENCE_MIN;
}

/* Whether the other servers fail so often that Q is not much worse.  */
static bool
is_like_others (const struct bb_server_quality *q,
                const struct bb_service_quality *g)
{
  struct bb_recent_answers r = answers_of_others (q, g);
  double others = outlier_share (&r);
  return others * FAILING_SHARE_RATIO > FAILING_SHARE
         && outlier_share (&q->recent) < others * FAILING_SHARE_RATIO;
}

bool
bb_answer_quality_looks_recovered (const struct bb_server_quality *q,
                                   const struct bb_service_quality *g,
                                   bb_usec now)
{
  return q->usual_in_a_row >= RECOVERED_AFTER
         || now - q->last_outlier >= RETRY_AFTER || is_like_others (q, g);
}

void
bb_answer_quality_begin_failure (struct bb_server_quality *q,
                                 struct bb_service_quality *g, bb_usec now)
{
  age (&q->recent, now);
  age (&g->recent, now);
  g->recent.usual = MAX (g->recent.usual - q->recent.usual, 0);
  g->recent.outliers = MAX (g->recent.outliers - q->recent.outliers, 0);
  g->failures++;
  q->is_failing = true;
  q->usual_in_a_row = 0;
}

void
bb_answer_quality_end_failure (struct bb_server_quality *q, bb_usec now)
{
  q->recent = (struct bb_recent_answers){ .updated = now };
  q->evidence = q->usual_in_a_row >= RECOVERED_AFTER ? 0 : EVIDENCE_AT_RETRY;
  q->is_failing = q->is_adopted = false;
  q->recovered = now;
}

bool
bb_answer_quality_add_peer_report (struct bb_server_quality *q, bb_usec now)
{
  if (now - q->reports_since >= PEER_REPORT_TIME)
    {
      q->reports_since = now;
      q->peer_reports = 0;
    }
  if (q->peer_reports < PEER_REPORTS_MIN)
    q->peer_reports++;
  if (q->peer_reports < PEER_REPORTS_MIN)
    return false;
  if (q->is_adopted)
    q->last_outlier = now;
  return !q->is_failing
         && (q->recovered == 0 || now - q->recovered >= RETRY_AFTER);
}

bool
bb_answer_quality_may_fail (uint32_t failing, uint32_t servers)
{
  return servers >= FAILING_SERVERS_MIN
         && (failing + 1) * FAILING_PART <= servers;
}

double
bb_answer_quality_factor (const struct bb_server_quality *q, bb_usec now)
{
  if (q->is_failing)
    return FAILING_COST_FACTOR;
  if (q->recovered == 0 || now - q->recovered >= RECOVERY_TIME)
    return 1;
  double remaining = 1 - (double)(now - q->recovered) / RECOVERY_TIME;
  return 1 + (FAILING_COST_FACTOR - 1) * remaining;
}

bool
bb_answer_counts_are_plausible (const struct bb_answer_counts *counts)
{
  return counts->usual <= BB_ANSWER_REPORT_MAX
         && counts->outliers <= BB_ANSWER_REPORT_MAX;
}

void
bb_answer_quality_note (struct bb_server_quality *q,
                        const struct bb_answer_counts *counts, bb_usec now)
{
  struct bb_answer_counts *u = &q->unreported;
  if (u->usual + u->outliers == 0)
    q->unreported_since = now;
  u->usual = MIN (u->usual + counts->usual, BB_ANSWER_REPORT_MAX);
  u->outliers = MIN (u->outliers + counts->outliers, BB_ANSWER_REPORT_MAX);
}

bool
bb_answer_quality_has_report (const struct bb_server_quality *q)
{
  return q->unreported.usual + q->unreported.outliers > 0
         || (q->is_failing && !q->is_adopted);
}

struct bb_answer_report
bb_answer_quality_take_report (struct bb_server_quality *q, bb_usec now)
{
  const struct bb_answer_counts none = { 0 };
  struct bb_answer_report report
      = { .counts = q->unreported,
          .is_failing = q->is_failing && !q->is_adopted };
  q->unreported = none;
  if (now - q->unreported_since > REPORT_TIME_MAX)
    report.counts = none;
  return report;
}

bool
bb_answer_report_is_distinct (const struct bb_answer_report *report,
                              uint32_t servers)
{
  uint64_t usual = 0, outliers = 0, failing = 0;
  for (uint32_t i = 0; i < servers; i++)
    {
      usual += report[i].counts.usual;
      outliers += report[i].counts.outliers;
      failing += report[i].counts.outliers > 0;
    }
  return failing < REPORT_SERVERS_MIN || outliers <= usual;
}
