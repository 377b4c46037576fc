/* Latency histograms with fixed buckets, so that those of several processes
   can be summed.  */

#ifndef BB_CORE_HISTOGRAM_H
#define BB_CORE_HISTOGRAM_H

#include "core/core.h"

enum
{
  BB_HISTOGRAM_BOUNDS = 14
};

/* Upper bounds of the buckets, in milliseconds; one more bucket has no
   bound.  */
extern const bb_usec bb_histogram_bounds_ms[BB_HISTOGRAM_BOUNDS];

struct bb_histogram
{
  uint64_t counts[BB_HISTOGRAM_BOUNDS + 1];
  bb_usec sum;
};

void bb_histogram_add (struct bb_histogram *h, bb_usec value);
#endif
