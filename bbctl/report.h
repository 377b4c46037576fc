/* Summary of the events of balancers over a span of time.

   From a sorted time line: flows placed, refused and reset in each interval,
   by reason and by server, and the times at which configuration versions came
   into force.  */

#ifndef BB_BBCTL_REPORT_H
#define BB_BBCTL_REPORT_H

#include "bbctl/timeline.h"

struct bb_ctl_interval
{
  uint64_t placed, refused, reset, suspected, started;
};

/* A configuration version, and when balancers put it into force.  */
struct bb_ctl_adoption
{
  int64_t version;
  int64_t first_us, last_us;
  unsigned balancers;
};

struct bb_ctl_report
{
  int64_t from_us, to_us, interval_us;
  GArray *intervals;   /* struct bb_ctl_interval */
  GArray *adoptions;   /* struct bb_ctl_adoption, in order of time */
  GHashTable *causes;  /* "event reason" to a count, GUINT_TO_POINTER */
  GHashTable *servers; /* "service server" to flows placed */
};

/* Sums the events of T, which must be sorted.  Lines that a balancer
   suppressed are counted with the line that reports their number.  Intervals
   are INTERVAL_US long, or longer if there would be too many.  Returns NULL if
   there are no events.  */
struct bb_ctl_report *bb_ctl_report_new (const struct bb_ctl_timeline *t,
                                         int64_t interval_us);
void bb_ctl_report_free (struct bb_ctl_report *r);

/* Writes R as an SVG image.  Returns false and sets errno if PATH cannot be
   written.  */
bool bb_ctl_report_draw (const struct bb_ctl_report *r, const char *path);
#endif
