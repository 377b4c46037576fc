/* Peers of this balancer and the membership view.  Peers come from the
   settings, the VM list and the member lists of other peers.  Heartbeats
   decide whether a peer is live; the view lists the balancers that hold
   entries, and each change of it starts the replication of entries.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <string.h>

struct bb_peer *
bb_peer_find (struct bb_engine *e, uint32_t id)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (e->peers[i].vm.id == id)
      return &e->peers[i];
  return NULL;
}

bool
bb_peer_is_local (const struct bb_engine *e, const struct bb_peer *p)
{
  return strcmp (p->vm.data_centre, e->options.self.data_centre) == 0;
}

bool
bb_peer_is_live (const struct bb_engine *e, const struct bb_peer *p)
{
  (void)e;
  return p->has_reported && !p->suspected;
}

static void
free_peer (struct bb_peer *p)
{
  g_free (p->bits);
  g_free (p->counts);
  memset (p, 0, sizeof *p);
}

static void
remove_peer (struct bb_engine *e, uint32_t i)
{
  free_peer (&e->peers[i]);
  e->peers[i] = e->peers[--e->peer_count];
  memset (&e->peers[e->peer_count], 0, sizeof *e->peers);
}

/* If the table is full, evicts the peer that has been silent for longest of
   those that are not live.  Returns false if all are live.  */
static bool
make_room (struct bb_engine *e)
{
  uint32_t oldest = BB_PEER_MAX;
  if (e->peer_count < BB_PEER_MAX)
    return true;
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (!bb_peer_is_live (e, &e->peers[i])
        && (oldest == BB_PEER_MAX
            || e->peers[i].last_received < e->peers[oldest].last_received))
      oldest = i;
  if (oldest == BB_PEER_MAX)
    return false;
  remove_peer (e, oldest);
  return true;
}

void
bb_peer_add (struct bb_engine *e, const struct bb_vm *vm, bool seed,
             bb_usec now)
{
  if (vm->id == e->options.self.id)
    return;
  struct bb_peer *p = bb_peer_find (e, vm->id);
  if (!p && !make_room (e))
    return;
  if (!p)
    {
      p = &e->peers[e->peer_count++];
      *p = (struct bb_peer){ .state = BB_PEER_JOINING, .last_received = now };
      e->heartbeat_pending = true;
    }
  p->vm = *vm;
  p->seed |= seed;
  bb_view_rebuild (e, now);
}

void
bb_engine_add_peer (struct bb_engine *e, const struct bb_vm *vm, bb_usec now)
{
  bb_peer_add (e, vm, true, now);
}

void
bb_peers_clear (struct bb_engine *e)
{
  while (e->peer_count)
    remove_peer (e, e->peer_count - 1);
}

static bool
in_network (const struct bb_network *n, uint32_t address)
{
  if (n->prefix == 0)
    return true;
  uint32_t mask = UINT32_MAX << (32 - n->prefix);
  return (address & mask) == (n->address & mask);
}

bool
bb_engine_admits_address (const struct bb_engine *e, uint32_t address)
{
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (e->peers[i].vm.control.address == address
        || e->peers[i].vm.data.address == address)
      return true;
  for (size_t i = 0; e->fleet && i < e->fleet->network_count; i++)
    if (in_network (&e->fleet->networks[i], address))
      return true;
  return false;
}

uint32_t
bb_members_digest (const struct bb_engine *e)
{
  uint32_t digest = e->options.self.id;
  for (uint32_t i = 0; i < e->peer_count; i++)
    digest ^= (uint32_t)bb_hash_score (e->peers[i].vm.id, 7);
  return digest ^ (uint32_t)bb_hash_score (e->options.self.id, 7)
         ^ e->options.self.id;
}

static void
add_view_member (struct bb_view *v, uint32_t id, enum bb_peer_state state,
                 uint8_t peer)
{
  if (state == BB_PEER_LEAVING || v->count == BB_PEER_MAX)
    return;
  v->ids[v->count] = id;
  v->joining[v->count] = state == BB_PEER_JOINING;
  v->peers[v->count++] = peer;
}

static int
view_index (const struct bb_view *v, uint32_t id)
{
  for (uint32_t i = 0; i < v->count; i++)
    if (v->ids[i] == id)
      return (int)i;
  return -1;
}

static bool
same_view (const struct bb_view *a, const struct bb_view *b)
{
  if (a->count != b->count)
    return false;
  for (uint32_t i = 0; i < a->count; i++)
    {
      int k = view_index (b, a->ids[i]);
      if (k < 0 || a->joining[i] != b->joining[k])
        return false;
    }
  return true;
}

/* Whether the orders of A, which are indices into it, are valid for B too.  */
static bool
same_indices (const struct bb_view *a, const struct bb_view *b)
{
  return a->count == b->count
         && memcmp (a->ids, b->ids, a->count * sizeof *a->ids) == 0;
}

/* Whether some member became active without having been a joining member: a
   network partition has healed, and each side may hold entries that the other
   does not.  */
static bool
has_healed_partition (const struct bb_view *old, const struct bb_view *new)
{
  for (uint32_t i = 0; i < new->count; i++)
    if (!new->joining[i] && view_index (old, new->ids[i]) < 0)
      return true;
  return false;
}

void
bb_view_rebuild (struct bb_engine *e, bb_usec now)
{
  struct bb_view v = { .count = 0 };
  add_view_member (&v, e->options.self.id, e->state, BB_SELF);
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_is_local (e, &e->peers[i]) && bb_peer_is_live (e, &e->peers[i])
        && e->peers[i].generation)
      add_view_member (&v, e->peers[i].vm.id, e->peers[i].state, (uint8_t)i);
  bool changed = !same_view (&v, &e->view);
  if (changed && has_healed_partition (&e->view, &v))
    e->partition_healed_at = now;
  if (changed || !same_indices (&v, &e->view))
    bb_order_fill (&v);
  else
    memcpy (v.orders, e->view.orders, sizeof v.orders);
  e->view = v;
  if (!changed)
    return;
  e->view_changed_at = now;
  e->entries_may_be_elsewhere = true;
  e->epoch++;
  e->views[e->epoch % BB_VIEW_HISTORY] = v;
  bb_replication_restart (e);
}

static void
remove_view_member (struct bb_view *v, uint32_t id)
{
  int i = view_index (v, id);
  if (i < 0)
    return;
  v->count--;
  v->ids[i] = v->ids[v->count];
  v->joining[i] = v->joining[v->count];
  v->peers[i] = v->peers[v->count];
  bb_order_remove_member (v, (uint8_t)i, (uint8_t)v->count);
}

/* Removes the balancer ID from the present and the earlier views: it was
   restarted, or joins again after a pause, and may lack the entries that it
   received before.  */
void
bb_view_remove_peer (struct bb_engine *e, uint32_t id, bb_usec now)
{
  for (int i = 0; i < BB_VIEW_HISTORY; i++)
    remove_view_member (&e->views[i], id);
  remove_view_member (&e->view, id);
  bb_order_fill (&e->view);
  bb_view_rebuild (e, now);
}

/* Whether another balancer may hold the entry of a flow that has none here:
   views may differ, or entries are still being replicated.  If a balancer
   fails before it has replicated an entry, the new owner has no entry until
   another replica has sent it.  */
static bool
may_entries_be_elsewhere (const struct bb_engine *e, bb_usec now)
{
  if (now - e->view_changed_at < BB_SETTLE_TIME)
    return true;
  if (!e->replication_done)
    return true;
  for (uint32_t i = 0; i < e->peer_count; i++)
    if (bb_peer_is_local (e, &e->peers[i]) && bb_peer_is_live (e, &e->peers[i])
        && !e->peers[i].replicated)
      return true;
  return false;
}

static void
set_peer_lost (struct bb_engine *e, struct bb_peer *p, bb_usec now)
{
  p->suspected = true;
  p->lost_at = now;
  p->replicated = false;
  if (bb_peer_is_local (e, p))
    bb_engine_emit_event (e, BB_EVENT_PEER_LOST, p->vm.id, 0, p->state);
}

/* Whether P may be removed.  A peer that left is removed once its bits are no
   longer valid, unless the settings name it; any other peer after
   BB_PEER_EXPIRY_TIME without a message, unless the VM list or the settings
   name it.  */
static bool
is_peer_expired (const struct bb_peer *p, bb_usec now)
{
  if (!p->has_reported)
    return !p->seed && !p->listed
           && now - p->last_received > BB_PEER_EXPIRY_TIME;
  if (!p->suspected)
    return false;
  if (p->state == BB_PEER_LEAVING)
    return now - p->lost_at > BB_LOST_PEER_BITS_TIME && !p->seed;
  return !p->listed && !p->seed && now - p->lost_at > BB_PEER_EXPIRY_TIME;
}

/* Whether P may still be running on the other side of a network partition.  A
   lost peer that was removed from the VM list is presumed dead.  */
static bool
is_missing (const struct bb_engine *e, const struct bb_peer *p, bb_usec now)
{
  return bb_peer_is_local (e, p) && p->has_reported && p->suspected
         && p->state == BB_PEER_ACTIVE && !p->delisted
         && now - p->lost_at < BB_MISSING_PEER_TIMEOUT;
}

void
bb_members_tick (struct bb_engine *e, bb_usec now)
{
  bool rebuild = false;
  e->has_missing_peer = false;
  for (uint32_t i = e->peer_count; i-- > 0;)
    {
      struct bb_peer *p = &e->peers[i];
      bb_usec limit = bb_peer_is_local (e, p) ? BB_SUSPECT_TIMEOUT
                                              : 20 * BB_SUSPECT_TIMEOUT;
      if (bb_peer_is_live (e, p) && now - p->last_received >= limit)
        {
          set_peer_lost (e, p, now);
          rebuild = true;
        }
      e->has_missing_peer |= is_missing (e, p, now);
      if (is_peer_expired (p, now))
        {
          remove_peer (e, i);
          rebuild = true; /* the view refers to peers by index */
        }
    }
  if (rebuild)
    bb_view_rebuild (e, now);
  e->entries_may_be_elsewhere = may_entries_be_elsewhere (e, now);
}
