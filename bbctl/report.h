/* What balancers did over a span of time, summed from their logs.  */

#ifndef BB_BBCTL_REPORT_H
#define BB_BBCTL_REPORT_H

#include "bbctl/timeline.h"

struct bb_ctl_interval
{
  uint64_t placed, refused, reset, suspected, started;
};

/* A configuration version, and when balancers put it in force.  */
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

/* Sums the events of T, which is sorted.  Lines that balancers left out count
   with the line that tells of them.  An interval is INTERVAL_US long, or more
   if there would be too many.  Returns NULL if there are no events.  */
struct bb_ctl_report *bb_ctl_report_new (const struct bb_ctl_timeline *t,
                                         int64_t interval_us);
void bb_ctl_report_free (struct bb_ctl_report *r);

/* Writes R as a picture.  Returns false and sets errno if PATH cannot be
   written.  */
bool bb_ctl_report_draw (const struct bb_ctl_report *r, const char *path);
#endif
