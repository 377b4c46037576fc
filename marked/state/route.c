#include "marked/state/route.h"
#include <stdlib.h>

/* Compares items that begin with the key of a service.  */
static int
compare_services (const void *a, const void *b)
{
  uint64_t x = *(const uint64_t *)a, y = *(const uint64_t *)b;
  return (x > y) - (x < y);
}

static bool
has_service (const void *list, uint32_t count, size_t item_size,
             uint64_t service)
{
  return count > 0
         && bsearch (&service, list, count, item_size, compare_services);
}

static bool
leads_to (const struct bb_route *route, uint64_t service)
{
  return has_service (route->shares, route->share_count, sizeof *route->shares,
                      service)
         || has_service (route->former, route->former_count,
                         sizeof *route->former, service);
}

bool
bb_route_allows_service (const struct bb_route *route, uint64_t service)
{
  uint64_t unnamed = bb_key_of_hash (bb_key_hash (service));
  return leads_to (route, service)
         || (leads_to (route, unnamed) && !bb_key_is_shared (service));
}

/* Records.  */

size_t
bb_route_record_count (const struct bb_route_record *records, size_t count)
{
  size_t n = 1;
  while (n < count && records[n].address.address == records->address.address
         && records[n].address.port == records->address.port)
    n++;
  return n;
}

static gint
compare_addresses (gconstpointer a, gconstpointer b)
{
  const struct bb_endpoint *x = &((const struct bb_route_record *)a)->address;
  const struct bb_endpoint *y = &((const struct bb_route_record *)b)->address;
  uint64_t m = (uint64_t)x->address << 16 | x->port;
  uint64_t n = (uint64_t)y->address << 16 | y->port;
  return (m > n) - (m < n);
}

void
bb_route_records_sort (GArray *records)
{
  g_array_sort (records, compare_addresses);
}

/* Adds the former service of INDEX to R.  The list begins with the services
   that the first record does not have: older builds read that one only.  */
static void
add_former (const struct bb_route *route, uint32_t index,
            struct bb_route_record *r, bb_usec now)
{
  uint32_t further
      = route->share_count - MIN (route->share_count, BB_ROUTE_SERVICES);
  struct bb_former_service *f = &r->former[r->former_count++];
  *f = (struct bb_former_service){ 0 };
  if (index < further)
    {
      f->service = route->shares[BB_ROUTE_SERVICES + index].service;
      return;
    }
  const struct bb_route_former *former = &route->former[index - further];
  f->service = former->service;
  f->age_ms = (uint32_t)((now - former->left) / BB_MSEC);
}

static uint32_t
divide_up (uint32_t count, uint32_t size)
{
  return (count + size - 1) / size;
}

uint32_t
bb_route_get_record (const struct bb_route *route, uint32_t index,
                     struct bb_route_record *r, bb_usec now)
{
  uint32_t first = index * BB_ROUTE_SERVICES;
  uint32_t further
      = route->share_count - MIN (route->share_count, BB_ROUTE_SERVICES);
  uint32_t former_count = further + route->former_count;
  *r = (struct bb_route_record){
    .address = route->address,
    .objective_ms = route->objective_ms,
    .priority = route->priority,
    .revision = route->revision,
  };
  for (uint32_t i = first;
       i < route->share_count && r->share_count < BB_ROUTE_SERVICES; i++)
    r->shares[r->share_count++] = route->shares[i];
  if (r->share_count == 0 && route->share_count > 0)
    r->shares[r->share_count++] = route->shares[0];
  for (uint32_t i = index * BB_ROUTE_FORMER;
       i < former_count && r->former_count < BB_ROUTE_FORMER; i++)
    add_former (route, i, r, now);
  uint32_t count = MAX (divide_up (route->share_count, BB_ROUTE_SERVICES),
                        divide_up (former_count, BB_ROUTE_FORMER));
  return MAX (count, 1);
}

/* Former services.  */

/* Removes those of LIST that are in the shares of ROUTE or left it longer ago
   than the retention, and of several entries of a service all but the latest.
   LIST is sorted.  */
static void
clean_former (GArray *list, const struct bb_route *route, bb_usec now)
{
  guint count = 0;
  for (guint i = 0; i < list->len; i++)
    {
      const struct bb_route_former f
          = g_array_index (list, struct bb_route_former, i);
      struct bb_route_former *last
          = count ? &g_array_index (list, struct bb_route_former, count - 1)
                  : NULL;
      if (now - f.left >= BB_DIRECTORY_RETENTION
          || has_service (route->shares, route->share_count,
                          sizeof *route->shares, f.service))
        continue;
      if (last && last->service == f.service)
        last->left = MAX (last->left, f.left);
      else
        g_array_index (list, struct bb_route_former, count++) = f;
    }
  g_array_set_size (list, count);
}

/* Sets the former services of ROUTE to LIST, which is freed.  */
static void
set_former (struct bb_route *route, GArray *list, bb_usec now)
{
  g_array_sort (list, compare_services);
  clean_former (list, route, now);
  g_free (route->former);
  route->former_count = list->len;
  route->former
      = (struct bb_route_former *)(void *)g_array_free (list, list->len == 0);
}

/* Returns what ROUTE was before its shares changed, and what the COUNT RECORDS
   say of that.  */
static GArray *
collect_former (const struct bb_route *route,
                const struct bb_route_record *records, size_t count,
                bb_usec now)
{
  GArray *list = g_array_new (FALSE, FALSE, sizeof (struct bb_route_former));
  if (route->former_count > 0)
    g_array_append_vals (list, route->former, route->former_count);
  for (uint32_t i = 0; i < route->share_count; i++)
    {
      struct bb_route_former f = { route->shares[i].service, now };
      g_array_append_val (list, f);
    }
  for (size_t i = 0; i < count; i++)
    for (uint32_t k = 0; k < records[i].former_count; k++)
      {
        const struct bb_former_service *from = &records[i].former[k];
        struct bb_route_former f
            = { from->service, now - from->age_ms * BB_MSEC };
        g_array_append_val (list, f);
      }
  return list;
}

void
bb_route_expire_former (struct bb_route *route, bb_usec now)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < route->former_count; i++)
    if (now - route->former[i].left < BB_DIRECTORY_RETENTION)
      route->former[count++] = route->former[i];
  route->former_count = count;
}

/* The shares of a route, by service, each service once.  */
struct shares
{
  struct bb_route_share *list; /* NULL: none */
  uint32_t count;
};

/* Collects the shares of the COUNT records of one route; the list is to be
   freed with g_free.  */
static struct shares
collect_shares (const struct bb_route_record *records, size_t count)
{
  struct shares all = { 0 }, unique = { 0 };
  for (size_t i = 0; i < count; i++)
    all.count += records[i].share_count;
  if (all.count == 0)
    return all;
  all.list = g_new (struct bb_route_share, all.count);
  uint32_t n = 0;
  for (size_t i = 0; i < count; i++)
    for (uint32_t k = 0; k < records[i].share_count; k++)
      all.list[n++] = records[i].shares[k];
  qsort (all.list, all.count, sizeof *all.list, compare_services);
  unique.list = all.list;
  for (uint32_t i = 0; i < all.count; i++)
    if (i == 0 || all.list[i].service != all.list[i - 1].service)
      unique.list[unique.count++] = all.list[i];
  return unique;
}

bool
bb_route_is_same (const struct bb_route *route,
                  const struct bb_route_record *records, size_t count)
{
  if (route->objective_ms != records->objective_ms
      || route->priority != records->priority)
    return false;
  struct shares shares = collect_shares (records, count);
  bool same = route->share_count == shares.count;
  for (uint32_t i = 0; same && i < shares.count; i++)
    same = route->shares[i].service == shares.list[i].service
           && route->shares[i].weight == shares.list[i].weight;
  g_free (shares.list);
  return same;
}

void
bb_route_set (struct bb_route *route, const struct bb_route_record *records,
              size_t count, bb_usec now)
{
  GArray *former = collect_former (route, records, count, now);
  struct shares shares = collect_shares (records, count);
  g_free (route->shares);
  route->shares = shares.list;
  route->share_count = shares.count;
  route->objective_ms = records->objective_ms;
  route->priority = records->priority;
  route->revision = records->revision;
  set_former (route, former, now);
}

void
bb_route_free (gpointer data)
{
  struct bb_route *route = data;
  g_free (route->shares);
  g_free (route->former);
  g_free (route);
}
