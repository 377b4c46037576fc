/* Weighted Maglev hashing (Eisenbud et al., NSDI 2016, section 3.4).  Builds a
   lookup table from the keys and weights of the servers.  */

#include "core/engine.h"
#include "core/hash.h"

struct permutation
{
  uint32_t key;
  uint16_t index; /* into the members */
  uint16_t weight;
  uint32_t next; /* table index to try next */
  uint32_t skip;
  uint32_t credit; /* accumulated weight that is not yet spent */
};

static int
compare_keys (const void *a, const void *b)
{
  const struct permutation *p = a, *q = b;
  return (p->key > q->key) - (p->key < q->key);
}

static struct permutation *
permutations (uint32_t size, const struct bb_maglev_member *m, size_t count)
{
  struct permutation *p = g_new0 (struct permutation, count);
  for (size_t i = 0; i < count; i++)
    p[i] = (struct permutation){
      .key = m[i].key,
      .index = (uint16_t)i,
      .weight = MAX (m[i].weight, 1),
      .next = (uint32_t)(bb_hash_score (1, m[i].key) % size),
      .skip = (uint32_t)(bb_hash_score (2, m[i].key) % (size - 1)) + 1,
    };
  qsort (p, count, sizeof *p, compare_keys);
  return p;
}

static void
assign_index (uint16_t *table, uint32_t size, struct permutation *p)
{
  while (table[p->next] != UINT16_MAX)
    p->next = (p->next + p->skip) % size;
  table[p->next] = p->index;
}

void
bb_maglev_fill (uint16_t *table, uint32_t size,
                const struct bb_maglev_member *members, size_t count)
{
  for (uint32_t i = 0; i < size; i++)
    table[i] = UINT16_MAX;
  if (!count || size < 3)
    return;
  struct permutation *p = permutations (size, members, count);
  uint32_t max_weight = 1;
  for (size_t i = 0; i < count; i++)
    max_weight = MAX (max_weight, p[i].weight);
  /* A member gets one index of the table each time its credit reaches the
     highest weight.  */
  for (uint32_t filled = 0; filled < size;)
    for (size_t i = 0; i < count && filled < size; i++)
      {
        p[i].credit += p[i].weight;
        if (p[i].credit < max_weight)
          continue;
        p[i].credit -= max_weight;
        assign_index (table, size, &p[i]);
        filled++;
      }
  g_free (p);
}
