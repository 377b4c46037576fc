#include "core/histogram.h"

/* The buckets are narrowest around the latency objectives of the services.  */
const bb_usec bb_histogram_bounds_ms[BB_HISTOGRAM_BOUNDS]
    = { 1, 2, 5, 10, 20, 50, 100, 150, 200, 300, 500, 1000, 2000, 5000 };

void
bb_histogram_add (struct bb_histogram *h, bb_usec value)
{
  size_t i = 0;
  while (i < BB_HISTOGRAM_BOUNDS
         && value > bb_histogram_bounds_ms[i] * BB_MSEC)
    i++;
  h->counts[i]++;
  h->sum += value;
}
