/* Revisions of the store.  The store numbers its changes.  When it returns
   from an older copy its era rises by one, and numbers are given out again.
   A revision holds both, the era in the upper bits, so that revisions compare
   by era first.  0 stands for no revision.  */

#ifndef BB_MARKED_REVISION_H
#define BB_MARKED_REVISION_H

#include <stdint.h>

enum
{
  BB_REVISION_NUMBER_BITS = 48,
};

#define BB_REVISION_NUMBER_MAX (((uint64_t)1 << BB_REVISION_NUMBER_BITS) - 1)
#define BB_REVISION_ERA_MAX (UINT64_MAX >> BB_REVISION_NUMBER_BITS)

/* Returns the revision of change NUMBER in ERA; 0 if NUMBER is 0.  */
static inline uint64_t
bb_revision_make (uint64_t era, uint64_t number)
{
  return number ? era << BB_REVISION_NUMBER_BITS | number : 0;
}

static inline uint64_t
bb_revision_era (uint64_t revision)
{
  return revision >> BB_REVISION_NUMBER_BITS;
}

static inline uint64_t
bb_revision_number (uint64_t revision)
{
  return revision & BB_REVISION_NUMBER_MAX;
}
#endif
