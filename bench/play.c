/* Plays a day of driver/overload.h at loads from half to five times the usual
   one, and prints what became of the requests of the peak.  */

#include "driver/overload.h"
#include <stdio.h>
#include <stdlib.h>

static const double loads[] = { 0.5, 1, 1.5, 2, 2.5, 3, 3.5, 4, 5 };

static void
print_percentages (const struct bb_overload_count *c)
{
  double all = c->requests ? c->requests : 1;
  printf (" %8.1f %6.1f %6.1f", 100 * c->in_time / all, 100 * c->late / all,
          100 * c->failed / all);
}

int
main (int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "burst";
  const struct bb_overload_day *day = bb_overload_find_day (name);
  char *end = "";
  unsigned long seed = argc > 2 ? strtoul (argv[2], &end, 10) : 1;
  if (!day || *end != '\0' || argc > 3)
    {
      fprintf (stderr, "usage: play [DAY [SEED]]; days:");
      for (unsigned i = 0; i < bb_overload_day_count; i++)
        fprintf (stderr, " %s", bb_overload_days[i].name);
      fprintf (stderr, "\n");
      return 2;
    }
  printf ("# day %s, seed %lu; percentages of requests\n", day->name, seed);
  printf ("# %4s %7s", "load", "worth");
  for (int i = 0; i < BB_OVERLOAD_KINDS; i++)
    printf (" %8s %6s %6s", day->kinds[i].name, "late", "failed");
  printf (" %9s %8s %8s\n", "attempts", "rejected", "spilled");
  for (size_t i = 0; i < G_N_ELEMENTS (loads); i++)
    {
      struct bb_overload_result r
          = bb_overload_play (day, loads[i], (uint32_t)seed);
      printf ("%6.1f %7.3f", loads[i], r.worth);
      for (int k = 0; k < BB_OVERLOAD_KINDS; k++)
        print_percentages (&r.kinds[k]);
      printf (" %9u %8u %8u\n", r.attempts, r.rejected, r.spilled);
    }
  return 0;
}
