/* Estimates the open flows of each server from the counts of this balancer and
   its peers and from the reports of the servers.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <stdlib.h>

static int
compare_keys (const void *a, const void *b, void *slots)
{
  const struct bb_slot *s = slots;
  uint32_t x = s[*(const uint16_t *)a].key, y = s[*(const uint16_t *)b].key;
  return (x > y) - (x < y);
}

/* Counts are sent without keys, in the order of the keys of the listed
   servers.  The digest shows whether both sides count the same servers.  */
void
bb_counts_set_order (struct bb_engine *e)
{
  g_free (e->counted_slots);
  e->counted_slots = g_new0 (uint16_t, e->slot_count + 1);
  e->counted_slot_count = 0;
  for (uint32_t i = 0; i < e->slot_count; i++)
    if (e->slots[i].listed)
      e->counted_slots[e->counted_slot_count++] = (uint16_t)i;
  g_qsort_with_data (e->counted_slots, (int)e->counted_slot_count,
                     sizeof *e->counted_slots, compare_keys, e->slots);
  uint32_t digest = 1;
  for (uint32_t i = 0; i < e->counted_slot_count; i++)
    digest
        = (uint32_t)bb_hash_score (digest, e->slots[e->counted_slots[i]].key);
  e->counts_digest = digest;
}

static void
add_peer_counts (struct bb_engine *e, const struct bb_peer *p)
{
  if (p->counts_digest != e->counts_digest
      || p->count_count != e->counted_slot_count || !bb_peer_is_local (e, p))
    return;
  for (size_t i = 0; i < p->count_count; i++)
    e->slots[e->counted_slots[i]].peers_open_flows += p->counts[i];
}

/* A fresh report replaces what the balancers counted before it, since counts
   drift: a retransmitted SYN is counted twice and the RST of a server is not
   seen.  */
static void
estimate_open_flows (struct bb_slot *t, bb_usec now)
{
  int64_t sum = t->own_open_flows + t->peers_open_flows;
  if (bb_health_is_fresh (&t->health, now) && t->health.connections >= 0)
    t->open_flows = t->health.connections + sum - t->open_flows_at_report;
  else
    t->open_flows = sum;
  t->open_flows = MAX (t->open_flows, 0);
}

/* A report far below the others may be false and would attract too many new
   flows at once.  If the counts of the balancers are higher, they are used
   instead.  */
static void
raise_low_estimates (struct bb_engine *e, struct bb_service_state *s)
{
  int64_t sum = 0;
  for (uint32_t i = 0; i < s->slot_count; i++)
    sum += e->slots[s->slots[i]].open_flows;
  int64_t least = s->slot_count ? sum / s->slot_count / 2 : 0;
  for (uint32_t i = 0; i < s->slot_count; i++)
    {
      struct bb_slot *t = &e->slots[s->slots[i]];
      int64_t counted = t->own_open_flows + t->peers_open_flows;
      if (t->open_flows < least && counted > t->open_flows)
        t->open_flows = counted;
    }
}

void
bb_counts_merge (struct bb_engine *e, bb_usec now)
{
  for (uint32_t i = 0; i < e->slot_count; i++)
    e->slots[i].peers_open_flows = 0;
  for (uint32_t i = 0; i < e->peer_count; i++)
    add_peer_counts (e, &e->peers[i]);
  for (uint32_t i = 0; i < e->slot_count; i++)
    estimate_open_flows (&e->slots[i], now);
  for (uint32_t i = 0; i < e->service_count; i++)
    if (e->services[i].listed)
      raise_low_estimates (e, &e->services[i]);
}
