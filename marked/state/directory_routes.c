#include "marked/state/directory_private.h"

static uint64_t
route_revision (const struct bb_link *link)
{
  return BB_LINKED (link, struct bb_route, by_revision)->revision;
}

static void
append_route (struct bb_directory *d, struct bb_route *route)
{
  struct bb_link *head = &d->routes_by_revision;
  uint64_t newest = bb_list_empty (head) ? 0 : route_revision (head->previous);
  bb_directory_append (head, &route->by_revision, route->revision, newest,
                       &d->routes_unsorted);
}

static gint
compare_routes (gconstpointer a, gconstpointer b)
{
  return bb_directory_compare_revisions (
      route_revision (*(struct bb_link *const *)a),
      route_revision (*(struct bb_link *const *)b));
}

gpointer
bb_directory_route_key (const struct bb_endpoint *e)
{
  return GSIZE_TO_POINTER ((gsize)e->address << 16 | e->port);
}

struct bb_route *
bb_directory_find_route (const struct bb_directory *d,
                         const struct bb_endpoint *address)
{
  return g_hash_table_lookup (d->routes, bb_directory_route_key (address));
}

bool
bb_directory_has_route_to (const struct bb_directory *d, uint64_t service)
{
  const struct bb_link *head = &d->routes_by_revision;
  for (const struct bb_link *at = head->next; at != head; at = at->next)
    if (bb_route_allows_service (BB_LINKED (at, struct bb_route, by_revision),
                                 service))
      return true;
  return false;
}

static struct bb_route *
get_route (struct bb_directory *d, const struct bb_endpoint *address)
{
  struct bb_route *route = bb_directory_find_route (d, address);
  if (route)
    return route;
  route = g_new0 (struct bb_route, 1);
  route->address = *address;
  bb_list_init (&route->by_revision);
  g_hash_table_insert (d->routes, bb_directory_route_key (address), route);
  return route;
}

enum bb_directory_change
bb_directory_put_route (struct bb_directory *d,
                        const struct bb_route_record *records, size_t count,
                        bb_usec now)
{
  struct bb_route *route = get_route (d, &records->address);
  if (records->revision <= route->revision)
    return BB_DIRECTORY_STALE;
  bool was_known = route->revision != 0;
  bool same = was_known && bb_route_is_same (route, records, count);
  bb_route_set (route, records, count, now);
  if (!same)
    route->dropped = route->share_count ? 0 : now;
  append_route (d, route);
  if (same)
    return BB_DIRECTORY_UNCHANGED;
  if (route->share_count == 0)
    return BB_DIRECTORY_GONE;
  return was_known ? BB_DIRECTORY_CHANGED : BB_DIRECTORY_ADDED;
}

int
bb_directory_drop_unlisted_routes (struct bb_directory *d, GHashTable *listed,
                                   uint64_t revision, bb_usec now)
{
  int changed = 0;
  struct bb_link *next;
  for (struct bb_link *at = d->routes_by_revision.next;
       at != &d->routes_by_revision; at = next)
    {
      struct bb_route *route = BB_LINKED (at, struct bb_route, by_revision);
      next = at->next;
      struct bb_route_record gone
          = { .address = route->address, .revision = revision };
      if (route->share_count != 0
          && !g_hash_table_contains (listed,
                                     bb_directory_route_key (&gone.address))
          && bb_directory_put_route (d, &gone, 1, now) == BB_DIRECTORY_GONE)
        changed++;
    }
  return changed;
}

static int
configure_routes (struct bb_directory *d, const struct bb_configuration *c,
                  bb_usec now)
{
  GHashTable *listed = g_hash_table_new (NULL, NULL);
  for (size_t i = 0; i < c->route_count; i++)
    g_hash_table_add (listed, bb_directory_route_key (&c->routes[i].address));
  int changed
      = bb_directory_drop_unlisted_routes (d, listed, c->revision, now);
  g_hash_table_unref (listed);
  size_t count;
  for (size_t i = 0; i < c->route_count; i += count)
    {
      const struct bb_route_record *r = &c->routes[i];
      const struct bb_route *route = bb_directory_find_route (d, &r->address);
      count = bb_route_record_count (r, c->route_count - i);
      if (route && bb_route_is_same (route, r, count))
        continue;
      if (bb_directory_put_route (d, r, count, now) != BB_DIRECTORY_STALE)
        changed++;
    }
  return changed;
}

int
bb_directory_configure (struct bb_directory *d,
                        const struct bb_configuration *c, bb_usec now)
{
  if (c->version < d->version)
    return -1;
  /* A peer of an older build may have sent this version without its limits. */
  bb_directory_configure_limits (d, c, now);
  if (c->version == d->version)
    return -1;
  d->version = c->version;
  return configure_routes (d, c, now);
}

void
bb_directory_renew_configuration (struct bb_directory *d,
                                  const struct bb_configuration *c,
                                  bb_usec now)
{
  size_t count;
  for (size_t i = 0; i < c->route_count; i += count)
    {
      count = bb_route_record_count (&c->routes[i], c->route_count - i);
      bb_directory_put_route (d, &c->routes[i], count, now);
    }
  for (size_t i = 0; i < c->service_count; i++)
    bb_directory_put_service (d, &c->services[i], now);
}

uint64_t
bb_directory_version (const struct bb_directory *d)
{
  return d->version;
}

void
bb_directory_set_version (struct bb_directory *d, uint64_t version)
{
  d->version = MAX (d->version, version);
}

struct bb_link *
bb_directory_routes (struct bb_directory *d)
{
  bb_directory_sort_list (&d->routes_by_revision, &d->routes_unsorted,
                          compare_routes);
  return &d->routes_by_revision;
}
