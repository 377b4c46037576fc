#include "marked/state/directory_era.h"
#include "marked/state/directory_private.h"

static uint32_t
time_ms (bb_usec time)
{
  return (uint32_t)(MAX (time, 0) / BB_MSEC);
}

/* Returns the record of HELD with the revision of RECORD.  */
static struct bb_server_record
renew (const struct bb_backend_server *held,
       const struct bb_server_record *record, bb_usec now)
{
  struct bb_server_record r = held->record;
  r.revision = record->revision;
  r.cold_ms = time_ms (held->cold_until - now);
  r.gone_ms = held->gone_since ? time_ms (now - held->gone_since) : 0;
  r.hold_ms = time_ms (held->withheld_until - now);
  return r;
}

/* Whether a server that gave no new incarnation may have ended although RECORD
   lists it as ready.  */
static bool
may_have_ended (const struct bb_backend_server *held)
{
  enum bb_server_state state = held->record.state;
  return state == BB_SERVER_GONE || state == BB_SERVER_WITHHELD
         || state == BB_SERVER_DRAINING;
}

static bool
is_in_use (const struct bb_backend_server *held)
{
  return held->record.state == BB_SERVER_READY
         || held->record.state == BB_SERVER_DRAINING
         || held->record.state == BB_SERVER_EXPIRED;
}

struct bb_server_record
bb_directory_reconcile (const struct bb_backend_server *held,
                        const struct bb_server_record *record, bb_usec now)
{
  struct bb_server_record r = *record;
  bool is_known = record->born_ms != 0 && held->record.born_ms != 0;
  bool is_earlier = is_known && record->born_ms < held->record.born_ms;
  bool is_ready = record->state == BB_SERVER_READY
                  || record->state == BB_SERVER_WITHHELD;
  if (is_earlier && (is_ready || record->state == BB_SERVER_DRAINING))
    return renew (held, record, now);
  if (is_earlier && record->state == BB_SERVER_GONE && is_in_use (held))
    {
      r.state = BB_SERVER_EXPIRED;
      r.gone_ms = 0;
    }
  if (!is_ready || (is_known && record->born_ms > held->record.born_ms))
    return r;
  if (is_known && held->has_announced_end)
    r.state = held->record.state == BB_SERVER_GONE ? BB_SERVER_GONE
                                                   : BB_SERVER_DRAINING;
  else if (record->state == BB_SERVER_READY && may_have_ended (held))
    {
      r.state = BB_SERVER_WITHHELD;
      r.hold_ms = time_ms (BB_LISTING_HOLD_TIME);
    }
  return r;
}

/* Returns the revision, in the era of ADOPTED, of a record that was changed at
   REVISION.  The store has not given out a number above that of ADOPTED when
   the record was kept, so that any later change replaces the record.  */
static uint64_t
restamp (uint64_t revision, uint64_t adopted)
{
  uint64_t number
      = MIN (bb_revision_number (revision), bb_revision_number (adopted));
  uint64_t era = bb_revision_era (adopted);
  return bb_revision_era (revision) < era
             ? bb_revision_make (era, MAX (number, 1))
             : revision;
}

static void
restamp_servers (struct bb_directory *d, uint64_t adopted)
{
  struct bb_link *head = &d->servers_by_revision;
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      s->record.revision = restamp (s->record.revision, adopted);
    }
  d->servers_unsorted = true;
}

static void
restamp_routes (struct bb_directory *d, uint64_t adopted)
{
  struct bb_link *head = &d->routes_by_revision;
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      struct bb_route *route = BB_LINKED (at, struct bb_route, by_revision);
      route->revision = MIN (restamp (route->revision, adopted), adopted);
    }
  d->routes_unsorted = true;
}

static void
restamp_evacuations (struct bb_directory *d, uint64_t adopted)
{
  struct bb_link *head = &d->evacuations_by_revision;
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      struct bb_evacuation_record *r
          = &BB_LINKED (at, struct bb_evacuation, by_revision)->record;
      r->revision = restamp (r->revision, adopted);
    }
  d->evacuations_unsorted = true;
}

static void
restamp_limits (struct bb_directory *d, uint64_t adopted)
{
  struct bb_link *head = &d->limits_by_revision;
  for (struct bb_link *at = head->next; at != head; at = at->next)
    {
      struct bb_service_record *r
          = &BB_LINKED (at, struct bb_service_limit, by_revision)->record;
      r->revision = MIN (restamp (r->revision, adopted), adopted);
    }
  d->limits_unsorted = true;
}

void
bb_directory_enter_era (struct bb_directory *d, uint64_t revision,
                        bb_usec history_start)
{
  restamp_servers (d, revision);
  restamp_routes (d, revision);
  restamp_evacuations (d, revision);
  restamp_limits (d, revision);
  bb_directory_restart_history (d, revision, history_start);
}

void
bb_directory_restart_history (struct bb_directory *d, uint64_t revision,
                              bb_usec history_start)
{
  d->removals_since = revision;
  d->gap_start = d->gap_end = 0;
  d->history_start = MAX (d->history_start, history_start);
}

bool
bb_directory_is_divergent (const struct bb_directory *d)
{
  return d->is_divergent;
}

void
bb_directory_set_divergent (struct bb_directory *d, bool is_divergent)
{
  d->is_divergent = is_divergent;
}

void
bb_directory_keep_configuration (struct bb_directory *d, uint64_t revision)
{
  restamp_routes (d, revision);
  restamp_limits (d, revision);
  d->is_divergent = true;
}

void
bb_directory_replace_routes (struct bb_directory *d,
                             const struct bb_configuration *c, bb_usec now)
{
  struct bb_link *head = &d->routes_by_revision;
  for (struct bb_link *at = head->next; at != head; at = at->next)
    BB_LINKED (at, struct bb_route, by_revision)->revision = c->revision - 1;
  GHashTable *listed = g_hash_table_new (NULL, NULL);
  size_t count;
  for (size_t i = 0; i < c->route_count; i += count)
    {
      struct bb_route_record *r = &c->routes[i];
      count = bb_route_record_count (r, c->route_count - i);
      r->revision = c->revision;
      bb_directory_put_route (d, r, count, now);
      if (r->share_count > 0)
        g_hash_table_add (listed, bb_directory_route_key (&r->address));
    }
  bb_directory_drop_unlisted_routes (d, listed, c->revision, now);
  g_hash_table_unref (listed);
  d->routes_unsorted = true;
  bb_directory_set_version (d, c->version);
}

void
bb_directory_replace_limits (struct bb_directory *d,
                             const struct bb_configuration *c, bb_usec now)
{
  struct bb_link *head = &d->limits_by_revision;
  for (struct bb_link *at = head->next; at != head; at = at->next)
    BB_LINKED (at, struct bb_service_limit, by_revision)->record.revision
        = c->revision - 1;
  GHashTable *listed = g_hash_table_new (NULL, NULL);
  for (size_t i = 0; i < c->service_count; i++)
    {
      struct bb_service_record r = c->services[i];
      r.revision = c->revision;
      bb_directory_put_service (d, &r, now);
      if (r.cold_rate > 0)
        g_hash_table_add (
            listed, bb_directory_service_key (bb_key_resolve (r.service)));
    }
  bb_directory_drop_unlisted_services (d, listed, c->revision, now);
  g_hash_table_unref (listed);
  d->limits_unsorted = true;
}

void
bb_directory_release_withheld (struct bb_directory *d, bb_usec now,
                               void (*ready) (void *context,
                                              struct bb_backend_server *s),
                               void *context)
{
  struct bb_link *head = &d->servers_by_revision;
  for (struct bb_link *at = head->next; d->withheld_count > 0 && at != head;
       at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s->record.state != BB_SERVER_WITHHELD || now < s->withheld_until)
        continue;
      s->record.state = BB_SERVER_READY;
      s->withheld_until = 0;
      d->withheld_count--;
      ready (context, s);
    }
}
