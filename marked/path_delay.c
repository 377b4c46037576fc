#include "marked/path_delay.h"

/* A queue at a link lasts for longer than the pause between two first packets
   of a balancer with little traffic.  */
#define PATH_WINDOW BB_SEC

enum
{
  /* One server that is slow, and one whose packet was lost twice, are usual.
   */
  OUTLIVED_USUAL = 3,
};

void
bb_path_delay_add (struct bb_path_delay *d, bb_usec took, bb_usec now)
{
  if (now - d->begun >= PATH_WINDOW)
    *d = (struct bb_path_delay){
      .begun = now,
      .before = now - d->begun < 2 * PATH_WINDOW ? d->longest : 0,
      .outlived_before = now - d->begun < 2 * PATH_WINDOW ? d->outlived : 0,
    };
  d->longest = MAX (d->longest, took);
}

void
bb_path_delay_outlived (struct bb_path_delay *d, bb_usec took, bb_usec now)
{
  bb_path_delay_add (d, took, now);
  d->outlived++;
}

bool
bb_path_delay_unreliable (const struct bb_path_delay *d, bb_usec now)
{
  bb_usec age = now - d->begun;
  if (age >= 2 * PATH_WINDOW)
    return false;
  uint32_t count
      = age >= PATH_WINDOW ? d->outlived : d->outlived + d->outlived_before;
  return count > OUTLIVED_USUAL;
}

bb_usec
bb_path_delay_get (const struct bb_path_delay *d, bb_usec now)
{
  bb_usec age = now - d->begun;
  if (age >= 2 * PATH_WINDOW)
    return 0;
  return age >= PATH_WINDOW ? d->longest : MAX (d->longest, d->before);
}
