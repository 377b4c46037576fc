#include "core/hash.h"
#include "marked/state/directory_era.h"
#include "marked/state/directory_private.h"
#include <string.h>

const char *
bb_server_state_name (enum bb_server_state state)
{
  static const char *const names[BB_SERVER_STATES] = {
    [BB_SERVER_READY] = "ready",       [BB_SERVER_DRAINING] = "draining",
    [BB_SERVER_GONE] = "gone",         [BB_SERVER_EXPIRED] = "lapsed",
    [BB_SERVER_UNUSABLE] = "unusable", [BB_SERVER_WITHHELD] = "withheld",
  };
  return (unsigned)state < BB_SERVER_STATES ? names[state] : "unknown";
}

struct bb_directory *
bb_directory_new (const char *data_centre)
{
  struct bb_directory *d = g_new0 (struct bb_directory, 1);
  g_strlcpy (d->data_centre, data_centre, sizeof d->data_centre);
  d->names = g_hash_table_new_full (g_str_hash, g_str_equal, NULL, g_free);
  d->cookies = g_hash_table_new (NULL, NULL);
  d->aliases = g_hash_table_new (NULL, NULL);
  d->services = g_hash_table_new_full (NULL, NULL, NULL, bb_server_group_free);
  d->routes = g_hash_table_new_full (NULL, NULL, NULL, bb_route_free);
  bb_list_init (&d->servers_by_revision);
  bb_list_init (&d->routes_by_revision);
  bb_directory_init_evacuations (d);
  bb_directory_init_limits (d);
  bb_list_init (&d->cold_servers);
  return d;
}

void
bb_directory_free (struct bb_directory *d)
{
  if (!d)
    return;
  g_hash_table_unref (d->cookies);
  g_hash_table_unref (d->aliases);
  g_hash_table_unref (d->services);
  g_hash_table_unref (d->routes);
  g_hash_table_unref (d->evacuations);
  g_hash_table_unref (d->limits);
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
append_server (struct bb_directory *d, struct bb_backend_server *s)
{
  struct bb_link *head = &d->servers_by_revision;
  uint64_t newest
      = bb_list_empty (head) ? 0 : server_revision (head->previous);
  bb_directory_append (head, &s->by_revision, s->record.revision, newest,
                       &d->servers_unsorted);
}

static gint
compare_servers (gconstpointer a, gconstpointer b)
{
  return bb_directory_compare_revisions (
      server_revision (*(struct bb_link *const *)a),
      server_revision (*(struct bb_link *const *)b));
}

/* Servers.  */

static bool
is_removal (const struct bb_server_record *record)
{
  return record->state == BB_SERVER_GONE || record->state == BB_SERVER_EXPIRED;
}

/* Whether RECORD changes the state of a server and may lack all other data but
   the name.  */
static bool
changes_state_only (const struct bb_server_record *record)
{
  return is_removal (record) || record->state == BB_SERVER_UNUSABLE;
}

/* Whether only the name of a server is known.  */
static bool
is_placeholder (const struct bb_server_record *record)
{
  return record->address.port == 0;
}

static void
set_cold_time (struct bb_directory *d, struct bb_backend_server *s,
               const struct bb_server_record *record, bb_usec now)
{
  bool was_cold = s->cold_until > now;
  bb_usec left = MIN (record->cold_ms * BB_MSEC, BB_COLD_TIME_MAX);
  s->cold_until = left ? now + left : 0;
  if (left && !was_cold)
    s->cold.since = now;
  bb_list_remove (&s->by_cold);
  if (left)
    bb_list_append (&d->cold_servers, &s->by_cold);
}

/* Copies RECORD into S and updates what depends on it.  */
static void
apply_record (struct bb_directory *d, struct bb_backend_server *s,
              const struct bb_server_record *record, bb_usec now)
{
  uint64_t created = s->record.created;
  d->expired_count -= s->record.state == BB_SERVER_EXPIRED;
  d->expired_count += record->state == BB_SERVER_EXPIRED;
  d->withheld_count -= s->record.state == BB_SERVER_WITHHELD;
  d->withheld_count += record->state == BB_SERVER_WITHHELD;
  s->record = *record;
  if (created != 0 && (record->created == 0 || created < record->created))
    s->record.created = created;
  s->key = bb_server_key (record->service, record->name);
  s->service = bb_key (record->service);
  s->data_centre = bb_key (record->data_centre);
  s->is_local = strcmp (record->data_centre, d->data_centre) == 0;
  s->is_evacuated = bb_directory_is_evacuated (d, record->data_centre);
  s->withheld_until = record->state == BB_SERVER_WITHHELD
                          ? now + record->hold_ms * BB_MSEC
                          : 0;
  if (record->state == BB_SERVER_DRAINING)
    s->has_announced_end = true;
  else if (record->state == BB_SERVER_READY
           || record->state == BB_SERVER_WITHHELD)
    s->has_announced_end = false;
  bb_list_remove (&s->of_service);
  s->gone_since
      = is_removal (record) ? MAX (now - record->gone_ms * BB_MSEC, 1) : 0;
  if (record->state != BB_SERVER_GONE && !is_placeholder (record))
    {
      s->group = bb_server_group_get (d, s->service, s->record.service);
      bb_server_group_add (s->group, s);
    }
  append_server (d, s);
}

static bool
is_same_record (const struct bb_server_record *a,
                const struct bb_server_record *b)
{
  return a->state == b->state && a->address.address == b->address.address
         && a->address.port == b->address.port && a->slots == b->slots
         && a->born_ms == b->born_ms && (a->cold_ms > 0) == (b->cold_ms > 0)
         && strcmp (a->service, b->service) == 0
         && strcmp (a->data_centre, b->data_centre) == 0;
}

/* Returns HELD with the state of RECORD.  */
static struct bb_server_record
change_state (const struct bb_server_record *held,
              const struct bb_server_record *record)
{
  struct bb_server_record changed = *held;
  bool stays_gone = held->state == BB_SERVER_GONE && is_removal (record);
  changed.state = stays_gone ? BB_SERVER_GONE : record->state;
  changed.revision = record->revision;
  changed.gone_ms = record->gone_ms;
  return changed;
}

static enum bb_directory_change
update_server (struct bb_directory *d, struct bb_backend_server *s,
               const struct bb_server_record *record, bb_usec now)
{
  bool same = is_same_record (&s->record, record);
  bool was_gone = s->record.state == BB_SERVER_GONE;
  bool restarted = !changes_state_only (record) && record->born_ms != 0
                   && s->record.born_ms != 0
                   && record->born_ms != s->record.born_ms;
  struct bb_server_record kept = *record;
  if (changes_state_only (record))
    kept = change_state (&s->record, record);
  bb_usec gone_since = s->gone_since;
  apply_record (d, s, &kept, now);
  if (!changes_state_only (record))
    set_cold_time (d, s, record, now);
  if (was_gone && kept.state == BB_SERVER_GONE)
    s->gone_since = gone_since;
  if (restarted)
    {
      s->load = (struct bb_server_load){ 0 };
      s->life++;
      s->cold.since = now;
    }
  if (is_placeholder (&kept))
    return BB_DIRECTORY_UNCHANGED;
  if (kept.state == BB_SERVER_GONE)
    return was_gone ? BB_DIRECTORY_UNCHANGED : BB_DIRECTORY_GONE;
  if (restarted)
    return BB_DIRECTORY_RESTARTED;
  if (was_gone)
    return BB_DIRECTORY_ADDED;
  return same ? BB_DIRECTORY_UNCHANGED : BB_DIRECTORY_CHANGED;
}

/* Whether RECORD gives S another service, which no configuration names as far
   as the routes show.  A new server of such a service is held as it is: a
   later configuration may lead to it.  */
static bool
names_unknown_service (const struct bb_directory *d,
                       const struct bb_backend_server *s,
                       const struct bb_server_record *record)
{
  return !changes_state_only (record) && !is_placeholder (&s->record)
         && strcmp (record->service, s->record.service) != 0
         && !bb_directory_has_route_to (d, bb_key (record->service));
}

static struct bb_backend_server *
add_name (struct bb_directory *d, const char *name)
{
  struct bb_backend_server *s = g_new0 (struct bb_backend_server, 1);
  bb_list_init (&s->by_revision);
  bb_list_init (&s->of_service);
  bb_list_init (&s->by_cold);
  s->life = 1;
  g_strlcpy (s->record.name, name, sizeof s->record.name);
  g_hash_table_insert (d->names, s->record.name, s);
  return s;
}

enum bb_directory_change
bb_directory_put (struct bb_directory *d,
                  const struct bb_server_record *record, bb_usec now,
                  struct bb_backend_server **server)
{
  struct bb_backend_server *s = bb_directory_find_server (d, record->name);
  bool is_new
      = !s || (is_placeholder (&s->record) && !is_placeholder (record));
  *server = s;
  if (s && record->revision <= s->record.revision)
    return BB_DIRECTORY_STALE;
  struct bb_server_record reconciled;
  if (s
      && bb_revision_era (record->revision)
             > bb_revision_era (s->record.revision))
    {
      reconciled = bb_directory_reconcile (s, record, now);
      record = &reconciled;
    }
  struct bb_server_record unusable;
  if (s && names_unknown_service (d, s, record))
    {
      unusable = *record;
      unusable.state = BB_SERVER_UNUSABLE;
      record = &unusable;
    }
  if (!is_new)
    return update_server (d, s, record, now);
  if (!s)
    s = add_name (d, record->name);
  s->first_listed = now;
  apply_record (d, s, record, now);
  set_cold_time (d, s, record, now);
  if (!is_placeholder (record))
    bb_directory_assign_cookie (d, s);
  *server = s;
  return record->state == BB_SERVER_GONE || is_placeholder (record)
             ? BB_DIRECTORY_UNCHANGED
             : BB_DIRECTORY_ADDED;
}

struct bb_backend_server *
bb_directory_find_server (const struct bb_directory *d, const char *name)
{
  return g_hash_table_lookup (d->names, name);
}

struct bb_link *
bb_directory_servers (struct bb_directory *d)
{
  bb_directory_sort_list (&d->servers_by_revision, &d->servers_unsorted,
                          compare_servers);
  return &d->servers_by_revision;
}

struct bb_link *
bb_directory_cold_servers (struct bb_directory *d)
{
  return &d->cold_servers;
}

void
bb_directory_start_history (struct bb_directory *d, uint64_t revision,
                            bb_usec history_start)
{
  d->history_start = history_start;
  d->removals_since = MAX (d->removals_since, revision);
}

void
bb_directory_add_gap (struct bb_directory *d, uint64_t start, uint64_t end,
                      bb_usec history_start)
{
  d->gap_start = d->gap_end ? MIN (d->gap_start, start) : start;
  d->gap_end = MAX (d->gap_end, end);
  d->history_start = MAX (d->history_start, history_start);
}

bb_usec
bb_directory_history_start (const struct bb_directory *d)
{
  return d->history_start;
}

uint64_t
bb_directory_removals_since (const struct bb_directory *d)
{
  return MAX (d->removals_since, d->gap_end);
}

bool
bb_directory_has_changes_after (const struct bb_directory *d,
                                uint64_t revision)
{
  return revision >= d->removals_since
         && (revision <= d->gap_start || revision >= d->gap_end);
}

/* Expiry.  */

static gboolean
expire_server (gpointer name, gpointer value, gpointer context)
{
  (void)name;
  struct bb_backend_server *s = value;
  void **arguments = context;
  const bb_usec *now = arguments[1];
  if (s->gone_since == 0 || *now - s->gone_since < BB_DIRECTORY_RETENTION)
    return FALSE;
  struct bb_directory *d = arguments[0];
  d->removals_since = MAX (d->removals_since, s->record.revision);
  bb_directory_release_cookie (d, s);
  bb_list_remove (&s->by_revision);
  bb_list_remove (&s->by_cold);
  return TRUE;
}

static gboolean
expire_route (gpointer key, gpointer value, gpointer context)
{
  (void)key;
  struct bb_route *route = value;
  void **arguments = context;
  struct bb_directory *d = arguments[0];
  const bb_usec *now = arguments[1];
  bb_route_expire_former (route, *now);
  if (route->dropped == 0 || *now - route->dropped < BB_DIRECTORY_RETENTION)
    return FALSE;
  d->removals_since = MAX (d->removals_since, route->revision);
  bb_list_remove (&route->by_revision);
  return TRUE;
}

static bool
is_grace_over (const struct bb_backend_server *s, bb_usec now)
{
  return s->record.state == BB_SERVER_EXPIRED
         && now - s->gone_since >= BB_EXPIRY_GRACE_TIME;
}

void
bb_directory_remove_expired (struct bb_directory *d, bb_usec now,
                             void (*gone) (void *context,
                                           struct bb_backend_server *server),
                             void *context)
{
  struct bb_link *head = &d->servers_by_revision;
  for (struct bb_link *at = head->next; d->expired_count > 0 && at != head;
       at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (!is_grace_over (s, now))
        continue;
      s->record.state = BB_SERVER_GONE;
      d->expired_count--;
      bb_list_remove (&s->of_service);
      gone (context, s);
    }
}

void
bb_directory_sweep (struct bb_directory *d, bb_usec now)
{
  void *context[] = { d, &now };
  g_hash_table_foreach_remove (d->names, expire_server, context);
  g_hash_table_foreach_remove (d->routes, expire_route, context);
  bb_directory_sweep_evacuations (d, now);
  bb_directory_sweep_limits (d, now);
}
