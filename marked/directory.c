#include "core/hash.h"
#include "marked/directory_private.h"
#include <string.h>

const char *
bb_server_state_name (enum bb_server_state state)
{
  static const char *const names[BB_SERVER_STATES] = {
    [BB_SERVER_READY] = "ready",
    [BB_SERVER_DRAINING] = "draining",
    [BB_SERVER_GONE] = "gone",
    [BB_SERVER_LAPSED] = "lapsed",
  };
  return (unsigned)state < BB_SERVER_STATES ? names[state] : "unknown";
}

struct bb_directory *
bb_directory_new (const char *data_centre)
{
  struct bb_directory *d = g_new0 (struct bb_directory, 1);
  g_strlcpy (d->data_centre, data_centre, sizeof d->data_centre);
  d->names = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  d->marks = g_hash_table_new (NULL, NULL);
  d->services = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  d->routes = g_hash_table_new_full (NULL, NULL, NULL, g_free);
  bb_list_init (&d->servers_by_revision);
  bb_list_init (&d->routes_by_revision);
  return d;
}

void
bb_directory_free (struct bb_directory *d)
{
  if (!d)
    return;
  g_hash_table_unref (d->marks);
  g_hash_table_unref (d->services);
  g_hash_table_unref (d->routes);
  g_hash_table_unref (d->names);
  g_free (d);
}

static uint64_t
server_revision (const struct bb_link *link)
{
  return BB_LINKED (link, struct bb_backend_server, by_revision)
      ->record.revision;
}

static void
place_server (struct bb_directory *d, struct bb_backend_server *s)
{
  struct bb_link *head = &d->servers_by_revision;
  uint64_t newest
      = bb_list_empty (head) ? 0 : server_revision (head->previous);
  bb_directory_place (head, &s->by_revision, s->record.revision, newest,
                      &d->servers_unsorted);
}

static gint
compare_servers (gconstpointer a, gconstpointer b)
{
  return bb_directory_compare (server_revision (*(struct bb_link *const *)a),
                               server_revision (*(struct bb_link *const *)b));
}

/* Servers.  */

/* The mark is a hash of the name, equal on all balancers.  Where two servers
   hash alike, the one that was listed first keeps the mark and the other one
   takes the next try; 0 is the mark of a packet that carries none.  */
uint32_t
bb_mark_try (const char *name, unsigned try)
{
  uint32_t mark = (uint32_t)XXH3_64bits_withSeed (name, strlen (name), try);
  return mark ? mark : 1;
}

static bool
older (const struct bb_backend_server *a, const struct bb_backend_server *b)
{
  if (a->record.created != b->record.created)
    return a->record.created < b->record.created;
  return strcmp (a->record.name, b->record.name) < 0;
}

static void
assign_mark (struct bb_directory *d, struct bb_backend_server *s)
{
  struct bb_backend_server *moved = s;
  for (unsigned try = 0; try < BB_MARK_TRIES && moved; try++)
    {
      uint32_t mark = bb_mark_try (moved->record.name, try);
      struct bb_backend_server *holder = bb_directory_marked (d, mark);
      if (holder == moved)
        return;
      if (holder && older (holder, moved))
        continue;
      moved->mark = mark;
      g_hash_table_insert (d->marks, GUINT_TO_POINTER (mark), moved);
      moved = holder;
      try = 0;
      if (moved)
        moved->mark = 0;
    }
}

static void
release_mark (struct bb_directory *d, struct bb_backend_server *s)
{
  if (s->mark != 0 && bb_directory_marked (d, s->mark) == s)
    g_hash_table_remove (d->marks, GUINT_TO_POINTER (s->mark));
}

struct bb_server_group *
bb_directory_service (const struct bb_directory *d, uint32_t service)
{
  return g_hash_table_lookup (d->services, GUINT_TO_POINTER (service));
}

static struct bb_server_group *
service_get (struct bb_directory *d, uint32_t service, const char *name)
{
  struct bb_server_group *group = bb_directory_service (d, service);
  if (group)
    return group;
  group = g_new0 (struct bb_server_group, 1);
  group->service = service;
  g_strlcpy (group->name, name, sizeof group->name);
  bb_list_init (&group->servers);
  g_hash_table_insert (d->services, GUINT_TO_POINTER (service), group);
  return group;
}

void
bb_directory_each_service (const struct bb_directory *d,
                           void (*each) (void *context,
                                         const struct bb_server_group *group),
                           void *context)
{
  GHashTableIter iter;
  gpointer group;
  g_hash_table_iter_init (&iter, d->services);
  while (g_hash_table_iter_next (&iter, NULL, &group))
    each (context, group);
}

/* Whether RECORD tells of a removal, which names the server only.  */
static bool
unlisted (const struct bb_server_record *record)
{
  return record->state == BB_SERVER_GONE || record->state == BB_SERVER_LAPSED;
}

/* Takes over what RECORD says, and what follows from it.  */
static void
store (struct bb_directory *d, struct bb_backend_server *s,
       const struct bb_server_record *record, bb_usec now)
{
  uint64_t created = s->record.created;
  d->lapsed -= s->record.state == BB_SERVER_LAPSED;
  d->lapsed += record->state == BB_SERVER_LAPSED;
  s->record = *record;
  if (created != 0 && (record->created == 0 || created < record->created))
    s->record.created = created;
  s->key = bb_server_key (record->service, record->name);
  s->service = bb_name_key (record->service);
  s->local = strcmp (record->data_centre, d->data_centre) == 0;
  s->cold_until = record->cold_ms ? now + record->cold_ms * BB_MSEC : 0;
  if (record->state == BB_SERVER_DRAINING)
    s->drained = true;
  else if (record->state == BB_SERVER_READY)
    s->drained = false;
  bb_list_remove (&s->of_service);
  s->gone_since
      = unlisted (record) ? MAX (now - record->gone_ms * BB_MSEC, 1) : 0;
  if (record->state != BB_SERVER_GONE)
    {
      s->group = service_get (d, s->service, s->record.service);
      bb_list_append (&s->group->servers, &s->of_service);
    }
  place_server (d, s);
}

static bool
equal (const struct bb_server_record *a, const struct bb_server_record *b)
{
  return a->state == b->state && a->address.address == b->address.address
         && a->address.port == b->address.port && a->slots == b->slots
         && a->born_ms == b->born_ms && (a->cold_ms > 0) == (b->cold_ms > 0)
         && strcmp (a->service, b->service) == 0
         && strcmp (a->data_centre, b->data_centre) == 0;
}

static enum bb_view_change
change (struct bb_directory *d, struct bb_backend_server *s,
        const struct bb_server_record *record, bb_usec now)
{
  if (record->revision <= s->record.revision)
    return BB_VIEW_STALE;
  bool same = equal (&s->record, record);
  bool was_gone = s->record.state == BB_SERVER_GONE;
  bool restarted = !unlisted (record) && record->born_ms != 0
                   && s->record.born_ms != 0
                   && record->born_ms != s->record.born_ms;
  struct bb_server_record kept = *record;
  if (unlisted (record))
    {
      kept = s->record;
      kept.state = was_gone ? BB_SERVER_GONE : record->state;
      kept.revision = record->revision;
      kept.gone_ms = record->gone_ms;
    }
  bb_usec gone_since = s->gone_since;
  store (d, s, &kept, now);
  if (was_gone && kept.state == BB_SERVER_GONE)
    s->gone_since = gone_since;
  if (restarted)
    s->load = (struct bb_server_load){ 0 };
  if (kept.state == BB_SERVER_GONE)
    return was_gone ? BB_VIEW_SAME : BB_VIEW_GONE;
  if (restarted)
    return BB_VIEW_RESTARTED;
  if (was_gone)
    return BB_VIEW_ADDED;
  return same ? BB_VIEW_SAME : BB_VIEW_CHANGED;
}

enum bb_view_change
bb_directory_put (struct bb_directory *d,
                  const struct bb_server_record *record, bb_usec now,
                  struct bb_backend_server **server)
{
  struct bb_backend_server *s = bb_directory_find (d, record->name);
  *server = s;
  if (s)
    return change (d, s, record, now);
  if (unlisted (record) && record->address.port == 0)
    return BB_VIEW_SAME;
  s = g_new0 (struct bb_backend_server, 1);
  bb_list_init (&s->by_revision);
  bb_list_init (&s->of_service);
  s->listed = now;
  store (d, s, record, now);
  g_hash_table_insert (d->names, s->record.name, s);
  assign_mark (d, s);
  *server = s;
  return record->state == BB_SERVER_GONE ? BB_VIEW_SAME : BB_VIEW_ADDED;
}

struct bb_backend_server *
bb_directory_marked (const struct bb_directory *d, uint32_t mark)
{
  return g_hash_table_lookup (d->marks, GUINT_TO_POINTER (mark));
}

struct bb_backend_server *
bb_directory_find (const struct bb_directory *d, const char *name)
{
  return g_hash_table_lookup (d->names, name);
}

struct bb_link *
bb_directory_servers (struct bb_directory *d)
{
  bb_directory_sort (&d->servers_by_revision, &d->servers_unsorted,
                     compare_servers);
  return &d->servers_by_revision;
}

void
bb_directory_begin (struct bb_directory *d, uint64_t revision, bb_usec begun)
{
  d->begun = begun;
  d->since = MAX (d->since, revision);
}

bb_usec
bb_directory_begun (const struct bb_directory *d)
{
  return d->begun;
}

uint64_t
bb_directory_since (const struct bb_directory *d)
{
  return d->since;
}

/* Ageing.  */

static gboolean
server_expired (gpointer name, gpointer value, gpointer context)
{
  (void)name;
  struct bb_backend_server *s = value;
  void **arguments = context;
  const bb_usec *now = arguments[1];
  if (s->gone_since == 0 || *now - s->gone_since < BB_VIEW_RETENTION)
    return FALSE;
  struct bb_directory *d = arguments[0];
  d->since = MAX (d->since, s->record.revision);
  release_mark (d, s);
  bb_list_remove (&s->by_revision);
  return TRUE;
}

static gboolean
route_expired (gpointer key, gpointer value, gpointer context)
{
  (void)key;
  struct bb_route *route = value;
  void **arguments = context;
  struct bb_directory *d = arguments[0];
  const bb_usec *now = arguments[1];
  if (route->dropped == 0 || *now - route->dropped < BB_VIEW_RETENTION)
    return FALSE;
  d->since = MAX (d->since, route->record.revision);
  bb_list_remove (&route->by_revision);
  return TRUE;
}

static bool
lapse_ended (const struct bb_backend_server *s, bb_usec now)
{
  return s->record.state == BB_SERVER_LAPSED
         && now - s->gone_since >= BB_LAPSE_TIME;
}

void
bb_directory_end_lapses (struct bb_directory *d, bb_usec now,
                         void (*gone) (void *context,
                                       struct bb_backend_server *server),
                         void *context)
{
  struct bb_link *head = &d->servers_by_revision;
  for (struct bb_link *at = head->next; d->lapsed > 0 && at != head;
       at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (!lapse_ended (s, now))
        continue;
      s->record.state = BB_SERVER_GONE;
      d->lapsed--;
      bb_list_remove (&s->of_service);
      gone (context, s);
    }
}

void
bb_directory_sweep (struct bb_directory *d, bb_usec now)
{
  void *context[] = { d, &now };
  g_hash_table_foreach_remove (d->names, server_expired, context);
  g_hash_table_foreach_remove (d->routes, route_expired, context);
}
