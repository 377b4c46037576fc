#include "marked/evidence/path_delay.h"

/* Length of a window.  A queue at a link lasts longer than the time between
   the first packets of two flows at a balancer with little traffic.  */
#define PATH_WINDOW BB_SEC

enum
{
  /* Up to this number of silences in one to two windows is normal: one server
     may be slow, and a packet to another one may be lost twice.  */
  FALSE_SILENCES_MAX = 3,
};

void
bb_path_delay_add (struct bb_path_delay *d, bb_usec took, bb_usec now)
{
  if (now - d->window_start >= PATH_WINDOW)
    *d = (struct bb_path_delay){
      .window_start = now,
      .previous_longest
      = now - d->window_start < 2 * PATH_WINDOW ? d->longest : 0,
      .previous_false_silences
      = now - d->window_start < 2 * PATH_WINDOW ? d->false_silences : 0,
    };
  d->longest = MAX (d->longest, took);
}

void
bb_path_delay_add_silence (struct bb_path_delay *d, bb_usec took, bb_usec now)
{
  bb_path_delay_add (d, took, now);
  d->false_silences++;
}

bool
bb_path_delay_is_unreliable (const struct bb_path_delay *d, bb_usec now)
{
  bb_usec age = now - d->window_start;
  if (age >= 2 * PATH_WINDOW)
    return false;
  uint32_t count = age >= PATH_WINDOW
                       ? d->false_silences
                       : d->false_silences + d->previous_false_silences;
  return count > FALSE_SILENCES_MAX;
}

bb_usec
bb_path_delay_longest (const struct bb_path_delay *d, bb_usec now)
{
  bb_usec age = now - d->window_start;
  if (age >= 2 * PATH_WINDOW)
    return 0;
  return age >= PATH_WINDOW ? d->longest
                            : MAX (d->longest, d->previous_longest);
}
