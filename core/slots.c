/* Tables of the servers and services of this process.  A server keeps its
   slot, the index into the table, when the configuration no longer lists it,
   since flow entries refer to servers by slot.  */

#include "core/engine_private.h"
#include "core/hash.h"

#include <string.h>

struct bb_slot *
bb_slot_find (struct bb_engine *e, uint32_t key)
{
  gpointer index;
  if (!g_hash_table_lookup_extended (e->slot_index, GUINT_TO_POINTER (key),
                                     NULL, &index))
    return NULL;
  return &e->slots[GPOINTER_TO_UINT (index)];
}

uint16_t
bb_slot_index (const struct bb_engine *e, const struct bb_slot *s)
{
  return (uint16_t)(s - e->slots);
}

static struct bb_slot *
next_slot (struct bb_engine *e)
{
  if (!e->slots || e->slot_count == e->slot_capacity)
    {
      e->slot_capacity = MAX (2 * e->slot_capacity, 16);
      e->slots = g_renew (struct bb_slot, e->slots, e->slot_capacity);
    }
  return &e->slots[e->slot_count++];
}

struct bb_slot *
bb_slot_find_or_add (struct bb_engine *e, uint32_t service_key, uint32_t key,
                     bb_usec now)
{
  struct bb_slot *s = bb_slot_find (e, key);
  if (s)
    return s;
  struct bb_service_state *v = bb_service_find_or_add (e, service_key);
  if (!v || e->slot_count == BB_SLOT_MAX)
    return NULL;
  s = next_slot (e);
  *s = (struct bb_slot){
    .key = key,
    .service_key = service_key,
    .service = (uint16_t)(v - e->services),
    .weight = 1,
    .unlisted_since = now,
    .share = BB_SHARE_FULL,
  };
  g_hash_table_insert (e->slot_index, GUINT_TO_POINTER (key),
                       GUINT_TO_POINTER (e->slot_count - 1));
  bb_health_init (&s->health, now);
  return s;
}

struct bb_service_state *
bb_service_find (struct bb_engine *e, uint32_t key)
{
  for (uint32_t i = 0; i < e->service_count; i++)
    if (e->services[i].conf.key == key)
      return &e->services[i];
  return NULL;
}

struct bb_service_state *
bb_service_find_or_add (struct bb_engine *e, uint32_t key)
{
  struct bb_service_state *s = bb_service_find (e, key);
  if (s)
    return s;
  if (e->service_count == BB_SERVICE_MAX)
    return NULL;
  if (!e->services)
    e->services = g_new0 (struct bb_service_state, BB_SERVICE_MAX);
  s = &e->services[e->service_count++];
  s->conf.key = key;
  return s;
}

static uint64_t
address_key (struct bb_endpoint address, uint8_t protocol)
{
  return (uint64_t)address.address << 24 | (uint64_t)address.port << 8
         | protocol;
}

static struct bb_service_address *
address_entry (struct bb_engine *e, uint64_t key)
{
  /* Multiplicative hashing suffices on the path of each packet, since
     operators choose the addresses and callers do not.  */
  uint32_t i = (uint32_t)((key * 0x9e3779b97f4a7c15U) >> 32);
  i %= (uint32_t)G_N_ELEMENTS (e->addresses);
  while (e->addresses[i].key != key && e->addresses[i].used)
    i = (i + 1) % (uint32_t)G_N_ELEMENTS (e->addresses);
  return &e->addresses[i];
}

void
bb_addresses_rebuild (struct bb_engine *e)
{
  memset (e->addresses, 0, sizeof e->addresses);
  for (uint32_t i = 0; i < e->service_count; i++)
    {
      const struct bb_service_state *s = &e->services[i];
      if (!s->listed)
        continue;
      uint64_t key = address_key (s->conf.address, s->conf.protocol);
      *address_entry (e, key) = (struct bb_service_address){
        .key = key, .service = (uint16_t)i, .used = true
      };
    }
}

struct bb_service_state *
bb_service_by_destination (struct bb_engine *e, const struct bb_packet *p)
{
  struct bb_endpoint address
      = { .address = p->destination, .port = p->destination_port };
  const struct bb_service_address *a
      = address_entry (e, address_key (address, p->protocol));
  return a->used ? &e->services[a->service] : NULL;
}
