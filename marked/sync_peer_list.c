#include "marked/sync_private.h"

/* To whom balancers are named.  */
struct asker
{
  uint32_t data_centre;
  const struct bb_share_peer *best; /* the first live one there, or NULL */
};

/* What makes a balancer worth naming.  */
typedef bool (*named) (const struct bb_sharing *s,
                       const struct bb_share_peer *p, const struct asker *a,
                       bb_usec now);

/* All that join ask the same one first, so that it knows them all at once.  */
static bool
is_best (const struct bb_sharing *s, const struct bb_share_peer *p,
         const struct asker *a, bb_usec now)
{
  (void)s;
  (void)now;
  return p == a->best;
}

/* A leader tells its data centre of the other leaders, so that whoever takes
   its place knows them; to another one it is told by those that follow it.  */
static bool
leads_another (const struct bb_sharing *s, const struct bb_share_peer *p,
               const struct asker *a, bb_usec now)
{
  return p->vm.data_centre != a->data_centre && bb_share_is_leader (p, now)
         && (s->leads || bb_share_is_near (s, p));
}

static bool
is_of_it (const struct bb_sharing *s, const struct bb_share_peer *p,
          const struct asker *a, bb_usec now)
{
  (void)s;
  (void)now;
  return p->vm.data_centre == a->data_centre && p->heard != 0 && p != a->best;
}

static bool
is_other (const struct bb_sharing *s, const struct bb_share_peer *p,
          const struct asker *a, bb_usec now)
{
  return p->vm.data_centre != a->data_centre && p->heard != 0
         && !leads_another (s, p, a, now);
}

static const struct
{
  named is_named;
  uint32_t up_to; /* places in use after it */
} namings[] = {
  { is_best, 1 },
  { leads_another, BB_SHARE_LEADERS_NAMED },
  { is_of_it, BB_SHARE_KNOWN_MAX },
  { is_other, BB_SHARE_KNOWN },
};

void
bb_share_add_known (struct bb_sharing *s, struct bb_share_beat *b,
                    uint32_t data_centre, uint32_t count, bb_usec now)
{
  if (s->peer_count == 0 || count == 0)
    return;
  struct asker a = { data_centre, bb_share_best (s, data_centre, now) };
  uint32_t start
      = (uint32_t)g_rand_int_range (s->random, 0, (gint32)s->peer_count);
  for (size_t n = 0; n < G_N_ELEMENTS (namings); n++)
    {
      uint32_t up_to = MIN (namings[n].up_to, count);
      for (uint32_t i = 0; i < s->peer_count && b->known_count < up_to; i++)
        {
          const struct bb_share_peer *p
              = s->peers[(start + i) % s->peer_count];
          if (namings[n].is_named (s, p, &a, now))
            b->known[b->known_count++] = p->vm;
        }
    }
}
