#include "marked/flows.h"

enum
{
  NONE = UINT32_MAX
};

struct bb_marked_flows
{
  bb_marked_flow_removed_func flow_removed;
  void *context;
  uint32_t capacity; /* a power of two */
  uint32_t count;
  uint32_t used_end;     /* entries from this index on were never used */
  uint32_t free;         /* index of the first entry of the free list */
  uint32_t oldest;       /* index of the flow that was idle for longest */
  uint32_t newest;       /* index of the flow with the latest seen_ms */
  uint32_t *chain_heads; /* index of the first entry of each hash chain */
  struct bb_marked_flow *entries;
};

struct bb_marked_flows *
bb_marked_flows_new (uint32_t capacity,
                     bb_marked_flow_removed_func flow_removed, void *context)
{
  struct bb_marked_flows *f = g_new0 (struct bb_marked_flows, 1);
  f->flow_removed = flow_removed;
  f->context = context;
  f->capacity = 1;
  while (f->capacity < capacity)
    f->capacity *= 2;
  f->free = f->oldest = f->newest = NONE;
  f->chain_heads = g_new (uint32_t, f->capacity);
  for (uint32_t i = 0; i < f->capacity; i++)
    f->chain_heads[i] = NONE;
  f->entries = g_new0 (struct bb_marked_flow, f->capacity);
  return f;
}

void
bb_marked_flows_free (struct bb_marked_flows *f)
{
  if (!f)
    return;
  g_free (f->chain_heads);
  g_free (f->entries);
  g_free (f);
}

static uint32_t *
chain_head_of (const struct bb_marked_flows *f, uint64_t hash)
{
  return &f->chain_heads[hash & (f->capacity - 1)];
}

static uint32_t
index_of (const struct bb_marked_flows *f, const struct bb_marked_flow *flow)
{
  return (uint32_t)(flow - f->entries);
}

struct bb_marked_flow *
bb_marked_flows_find (struct bb_marked_flows *f, uint64_t hash)
{
  for (uint32_t i = *chain_head_of (f, hash); i != NONE;
       i = f->entries[i].chain)
    if (f->entries[i].hash == hash)
      return &f->entries[i];
  return NULL;
}

static void
unlink_flow (struct bb_marked_flows *f, struct bb_marked_flow *flow)
{
  if (flow->older != NONE)
    f->entries[flow->older].newer = flow->newer;
  else
    f->oldest = flow->newer;
  if (flow->newer != NONE)
    f->entries[flow->newer].older = flow->older;
  else
    f->newest = flow->older;
}

static void
link_newest (struct bb_marked_flows *f, struct bb_marked_flow *flow)
{
  uint32_t index = index_of (f, flow);
  flow->older = f->newest;
  flow->newer = NONE;
  if (f->newest != NONE)
    f->entries[f->newest].newer = index;
  else
    f->oldest = index;
  f->newest = index;
}

void
bb_marked_flows_remove (struct bb_marked_flows *f, struct bb_marked_flow *flow)
{
  f->flow_removed (f->context, flow);
  uint32_t index = index_of (f, flow);
  uint32_t *at = chain_head_of (f, flow->hash);
  while (*at != index)
    at = &f->entries[*at].chain;
  *at = flow->chain;
  unlink_flow (f, flow);
  *flow = (struct bb_marked_flow){ .chain = f->free };
  f->free = index;
  f->count--;
}

struct bb_marked_flow *
bb_marked_flows_add (struct bb_marked_flows *f, uint64_t hash, uint32_t now_ms)
{
  if (f->count == f->capacity)
    bb_marked_flows_remove (f, &f->entries[f->oldest]);
  uint32_t index = f->free;
  if (index != NONE)
    f->free = f->entries[index].chain;
  else
    index = f->used_end++;
  struct bb_marked_flow *flow = &f->entries[index];
  uint32_t *head = chain_head_of (f, hash);
  *flow = (struct bb_marked_flow){
    .hash = hash,
    .seen_ms = now_ms,
    .chain = *head,
  };
  *head = index;
  link_newest (f, flow);
  f->count++;
  return flow;
}

void
bb_marked_flows_touch (struct bb_marked_flows *f, struct bb_marked_flow *flow,
                       uint32_t now_ms)
{
  flow->seen_ms = now_ms;
  if (f->newest == index_of (f, flow))
    return;
  unlink_flow (f, flow);
  link_newest (f, flow);
}

void
bb_marked_flows_expire (struct bb_marked_flows *f, uint32_t now_ms,
                        uint32_t idle_ms)
{
  while (f->oldest != NONE
         && now_ms - f->entries[f->oldest].seen_ms >= idle_ms)
    bb_marked_flows_remove (f, &f->entries[f->oldest]);
}

void
bb_marked_flows_foreach (struct bb_marked_flows *f, uint32_t cookie,
                         void (*each) (void *context,
                                       struct bb_marked_flow *flow),
                         void *context)
{
  uint32_t newer;
  for (uint32_t i = f->oldest; i != NONE; i = newer)
    {
      newer = f->entries[i].newer;
      if (f->entries[i].cookie == cookie)
        each (context, &f->entries[i]);
    }
}

uint32_t
bb_marked_flows_count (const struct bb_marked_flows *f)
{
  return f->count;
}
