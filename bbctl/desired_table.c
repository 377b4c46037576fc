#include "bbctl/bbctl.h"
#include "core/engine.h"

uint32_t *
bb_ctl_desired_table (const struct bb_service *s, bool include_draining)
{
  struct bb_maglev_member *members
      = g_new0 (struct bb_maglev_member, s->server_count);
  uint16_t *table = g_new0 (uint16_t, s->buckets);
  uint32_t *keys = g_new0 (uint32_t, s->buckets);

  for (size_t i = 0; i < s->server_count; i++)
    members[i] = (struct bb_maglev_member){ .key = s->servers[i].key,
                                            .weight = s->servers[i].weight };
  bb_maglev_fill (table, s->buckets, members, s->server_count);
  for (uint32_t b = 0; b < s->buckets; b++)
    {
      const struct bb_server *v = &s->servers[table[b]];
      keys[b] = v->drain && !include_draining ? 0 : v->key;
    }
  g_free (members);
  g_free (table);
  return keys;
}

const struct bb_server *
bb_ctl_server_by_key (const struct bb_service *s, uint32_t key)
{
  for (size_t i = 0; i < s->server_count; i++)
    if (s->servers[i].key == key)
      return &s->servers[i];
  return NULL;
}
