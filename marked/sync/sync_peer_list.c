#include "marked/sync/sync_private.h"

/* Recipient of a peer list.  */
struct recipient
{
  uint64_t data_centre;
  const struct bb_sync_peer *first; /* first live peer there, or NULL */
};

/* Whether a peer belongs to a group of the list.  */
typedef bool (*peer_filter) (const struct bb_sync *s,
                             const struct bb_sync_peer *p,
                             const struct recipient *recipient, bb_usec now);

/* The first live peer of the recipient's data centre.  All joining balancers
   contact this peer first, so that its peer list has all of them at once.  */
static bool
is_first (const struct bb_sync *s, const struct bb_sync_peer *p,
          const struct recipient *recipient, bb_usec now)
{
  (void)s;
  (void)now;
  return p == recipient->first;
}

/* A leader lists the leaders of other data centres to its own data centre, so
   that the next leader already has them in its peer list.  To other data
   centres, a leader is listed by its followers.  */
static bool
is_leader_elsewhere (const struct bb_sync *s, const struct bb_sync_peer *p,
                     const struct recipient *recipient, bb_usec now)
{
  return !bb_key_is_same (p->vm.data_centre, recipient->data_centre)
         && bb_sync_peer_is_leader (p, now)
         && (s->is_leader || bb_sync_peer_is_local (s, p));
}

static bool
is_in_data_centre (const struct bb_sync *s, const struct bb_sync_peer *p,
                   const struct recipient *recipient, bb_usec now)
{
  (void)s;
  (void)now;
  return bb_key_is_same (p->vm.data_centre, recipient->data_centre)
         && p->last_received != 0 && p != recipient->first;
}

static bool
is_remaining (const struct bb_sync *s, const struct bb_sync_peer *p,
              const struct recipient *recipient, bb_usec now)
{
  return !bb_key_is_same (p->vm.data_centre, recipient->data_centre)
         && p->last_received != 0
         && !is_leader_elsewhere (s, p, recipient, now);
}

static const struct
{
  peer_filter matches;
  uint32_t limit; /* total length of the list after this group */
} selections[] = {
  { is_first, 1 },
  { is_leader_elsewhere, BB_SYNC_LISTED_LEADERS },
  { is_in_data_centre, BB_SYNC_LISTED_PEERS_MAX },
  { is_remaining, BB_SYNC_LISTED_PEERS },
};

void
bb_sync_list_peers (struct bb_sync *s, struct bb_sync_heartbeat *b,
                    uint64_t data_centre, uint32_t count, bb_usec now)
{
  if (s->peer_count == 0 || count == 0)
    return;
  struct recipient recipient
      = { data_centre, bb_sync_first_peer (s, data_centre, now) };
  uint32_t start
      = (uint32_t)g_rand_int_range (s->random, 0, (gint32)s->peer_count);
  for (size_t n = 0; n < G_N_ELEMENTS (selections); n++)
    {
      uint32_t limit = MIN (selections[n].limit, count);
      for (uint32_t i = 0; i < s->peer_count && b->listed_peer_count < limit;
           i++)
        {
          const struct bb_sync_peer *p = s->peers[(start + i) % s->peer_count];
          if (selections[n].matches (s, p, &recipient, now))
            b->listed_peers[b->listed_peer_count++] = p->vm;
        }
    }
}
