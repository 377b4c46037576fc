/* Open flows of each server: own counts, the peers' and the servers'.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <stdlib.h>

static int
compare (const void *a, const void *b, void *slots)
{
  const struct bb_slot *s = slots;
  uint32_t x = s[*(const uint16_t *)a].key, y = s[*(const uint16_t *)b].key;
  return (x > y) - (x < y);
}

/* Counts travel without keys, in the order of the listed servers' keys; the
   digest tells whether both sides mean the same servers.  */
void
bb_counts_order (struct bb_engine *e)
{
  g_free (e->counted);
  e->counted = g_new0 (uint16_t, e->slot_count + 1);
  e->counted_count = 0;
  for (uint32_t i = 0; i < e->slot_count; i++)
    if (e->slots[i].listed)
      e->counted[e->counted_count++] = (uint16_t)i;
  g_qsort_with_data (e->counted, (int)e->counted_count, sizeof *e->counted,
                     compare, e->slots);
  uint32_t digest = 1;
  for (uint32_t i = 0; i < e->counted_count; i++)
    digest = (uint32_t)bb_hash_score (digest, e->slots[e->counted[i]].key);
  e->counts_digest = digest;
}

static void
add_peer (struct bb_engine *e, const struct bb_peer *p)
{
  if (p->counts_digest != e->counts_digest
      || p->count_count != e->counted_count || !bb_peer_local (e, p))
    return;
  for (size_t i = 0; i < p->count_count; i++)
    e->slots[e->counted[i]].peers_open += p->counts[i];
}

/* A fresh report replaces what the balancers counted up to then, since counts
   drift: retransmitted SYNs are counted twice and a server's RST is not
   seen.  */
static void
estimate (struct bb_slot *t, bb_usec now)
{
  int64_t sum = t->own_open + t->peers_open;
  if (bb_health_fresh (&t->health, now) && t->health.connections >= 0)
    t->open = t->health.connections + sum - t->sum_at_report;
  else
    t->open = sum;
  t->open = MAX (t->open, 0);
}

/* A report far below the others may be false and would draw a herd.  When the
   balancers themselves count more open flows, their count is used.  */
static void
raise_low (struct bb_engine *e, struct bb_service_state *s)
{
  int64_t sum = 0;
  for (uint32_t i = 0; i < s->slot_count; i++)
    sum += e->slots[s->slots[i]].open;
  int64_t least = s->slot_count ? sum / s->slot_count / 2 : 0;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[s->slots[i]];
      int64_t counted = t->own_open + t->peers_open;
      if (t->open < least && counted > t->open)
        t->open = counted;
    }
}

void
bb_counts_merge (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    e->slots[i].peers_open = 0;
  for (uint32_t i = 0; i < e->peer_count; i++)
    add_peer (e, &e->peers[i]);
  for (uint32_t i = 0; i < e->slot_count; i++)
    estimate (&e->slots[i], now);
  for (uint32_t i = 0; i < e->service_count; i++)
    if (e->services[i].listed)
      raise_low (e, &e->services[i]);
}
