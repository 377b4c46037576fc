/* Directory of the backend servers and routes that a balancer holds.  Each
   record has the revision of the store at which it last changed, so that
   balancers can send each other only what is newer than a revision.

   Removed servers are kept for BB_DIRECTORY_RETENTION, because callers may
   still send packets of flows with their cookie.  */

#ifndef BB_MARKED_DIRECTORY_H
#define BB_MARKED_DIRECTORY_H

#include "core/histogram.h"
#include "marked/evidence/admission.h"
#include "marked/evidence/answer_quality.h"
#include "marked/evidence/demand.h"
#include "marked/evidence/suspicion.h"
#include "marked/state/list.h"
#include "marked/state/revision.h"
#include "marked/state/room.h"
#include "marked/state/route.h"

enum
{
  BB_COOKIE_ATTEMPTS = 64, /* cookies tried if the hashes of servers collide */
  BB_COOKIE_ALIASES = 4,   /* of these, that other balancers may have chosen */
};

/* Entries that expired while the store was unreachable, or that it lacks since
   it came back from an older copy, are registered again within about 2 s of
   its return if their servers are alive.  So is what the operator wrote.  */
#define BB_EXPIRY_GRACE_TIME (2300 * BB_MSEC)

/* A server that says that it is cold for longer is taken to be cold for this
   time: they are for some seconds.  */
#define BB_COLD_TIME_MAX (600 * BB_SEC)

enum bb_server_state
{
  BB_SERVER_READY,
  BB_SERVER_DRAINING,
  BB_SERVER_GONE,
  /* Expired in a store outage, or not listed by a store that came back from an
     older copy: used for BB_EXPIRY_GRACE_TIME.  Logs call it lapsed.  */
  BB_SERVER_EXPIRED,
  /* Its entry does not describe a server: it gets no new flows, and keeps the
     open ones, until a usable entry replaces that one or it is removed.  */
  BB_SERVER_UNUSABLE,
  /* Listed by a store that came back from an older copy, but removed before:
     it gets no new flows for BB_LISTING_HOLD_TIME.  */
  BB_SERVER_WITHHELD,
  BB_SERVER_STATES
};

const char *bb_server_state_name (enum bb_server_state state);

/* A backend server as listed in the registry.  */
struct bb_server_record
{
  char name[BB_NAME_MAX];
  char service[BB_NAME_MAX];
  char data_centre[BB_NAME_MAX];
  struct bb_endpoint address;
  uint64_t tag; /* the server accepts packets with this tag */
  enum bb_server_state state;
  uint32_t cold_ms; /* remaining time during which the server is slow */
  uint32_t gone_ms; /* time since its removal or expiry */
  uint32_t hold_ms; /* remaining time of BB_SERVER_WITHHELD */
  uint16_t slots;   /* requests that run at once; 0: unknown */
  int64_t born_ms;  /* wall-clock time of its start; 0: unknown */
  uint64_t created; /* revision at which the name was first listed */
  uint64_t revision;
};

/* Load of a server, from the forwarding path and from the peers.  */
struct bb_server_load
{
  int32_t open;      /* open flows that were placed or seen here */
  int32_t busy;      /* requests seen here without an answer yet */
  int32_t peer_open; /* the same two values, as reported by the peers */
  int32_t peer_busy;
  struct bb_suspicion_evidence evidence;
  bb_usec answer_time; /* smoothed time to the start of an answer */
  double slow_share;   /* of the last answers, slower than callers wait */
  struct bb_server_quality quality;
};

/* What limits the new flows of a server while it is cold; see
   marked/placement/cold_start.h.  */
struct bb_cold_state
{
  bool is_owned;       /* this balancer places its new flows */
  uint32_t generation; /* of the owners, when is_owned was decided */
  bb_usec since;       /* start of the cold time, as seen here */
  bb_usec checked;     /* last tick that evaluated the server */
  bb_usec filled;      /* time as of which tokens is right; not yet: later */
  double tokens;       /* new flows that may be placed now */
  double rate;         /* new tokens in a second */
  double depth;        /* most tokens that are kept */
};

/* The servers of one service and their answer times as observed here.  */
struct bb_server_group
{
  uint64_t service;       /* bb_key */
  struct bb_link servers; /* servers that are not gone, linked by of_service */
  struct bb_concurrency concurrency; /* of the own data centre */
  struct bb_answer_time local_dc;    /* servers of the own data centre */
  struct bb_answer_time remote_dc;
  struct bb_histogram answer_times; /* local and remote */
  struct bb_priorities priorities;
  struct bb_service_quality quality;
  struct bb_demand demand;
  struct bb_rooms rooms; /* in other data centres */
  /* Room for all servers of the list, for the placement of a flow.  */
  struct bb_backend_server **pool;
  uint32_t pool_capacity;
  uint32_t server_count; /* at least the length of the list */
  uint32_t cold_rate;    /* of its struct bb_service_record */
  char name[BB_NAME_MAX];
};

struct bb_backend_server
{
  struct bb_server_record record;
  uint32_t key;     /* bb_server_key of service and name, for logs */
  uint64_t service; /* bb_key */
  struct bb_server_group *group; /* NULL: only its removal was ever received */
  uint32_t cookie;
  bool has_announced_end; /* was draining before it was removed */
  bool is_in_ended_list;  /* of the balancer, until its next tick */
  uint32_t life;          /* number of its starts, as seen here, from 1 */
  uint64_t data_centre;   /* bb_key */
  bool is_local;          /* in the data centre of this balancer */
  bool is_evacuated;      /* its data centre gets no new flows */
  bb_usec first_listed;   /* first time it was listed here */
  bb_usec gone_since;     /* 0: listed; else time of removal or expiry */
  bb_usec cold_until;
  bb_usec withheld_until; /* 0: not BB_SERVER_WITHHELD */
  struct bb_cold_state cold;
  struct bb_server_load load;
  struct bb_link by_revision;
  struct bb_link by_cold;
  struct bb_link of_service;
};

/* Whether S may get new flows, as far as the store says.  One that expired
   while it was draining is still draining.  */
static inline bool
bb_server_accepts_flows (const struct bb_backend_server *s)
{
  return s->record.state == BB_SERVER_READY
         || (s->record.state == BB_SERVER_EXPIRED && !s->has_announced_end);
}

/* Request of the operator that the servers of a data centre get no new
   flows.  */
struct bb_evacuation_record
{
  char data_centre[BB_NAME_MAX];
  bool is_active; /* false: taken back */
  uint64_t revision;
};

/* What the configuration says of a service.  */
struct bb_service_record
{
  uint64_t service; /* as in struct bb_route_share */
  /* New requests in 1,000 s that a server bears while it is cold; 0: no limit
     is known.  */
  uint32_t cold_rate;
  uint64_t revision;
};

struct bb_evacuation
{
  struct bb_evacuation_record record;
  bb_usec ended; /* 0: active */
  /* Time at which it ends unless it is written again, since a store that came
     back from an older copy does not list it; 0: it is listed.  */
  bb_usec held_until;
  struct bb_link by_revision;
};

struct bb_service_limit
{
  struct bb_service_record record;
  bb_usec dropped; /* 0: in force */
  struct bb_link by_revision;
};

/* What a configuration holds.  The records have its revision.  */
struct bb_configuration
{
  uint64_t version;
  uint64_t revision;
  struct bb_route_record *routes; /* those of one route follow each other */
  size_t route_count;             /* of records */
  struct bb_service_record *services; /* those that have a limit */
  size_t service_count;
};

enum bb_directory_change
{
  BB_DIRECTORY_UNCHANGED,
  BB_DIRECTORY_STALE, /* older than the record held; ignored */
  BB_DIRECTORY_ADDED,
  BB_DIRECTORY_CHANGED,
  BB_DIRECTORY_RESTARTED, /* same name, but a new process without flows */
  BB_DIRECTORY_GONE
};

struct bb_directory;

struct bb_directory *bb_directory_new (const char *data_centre);
void bb_directory_free (struct bb_directory *d);

/* Applies RECORD and sets *SERVER to the server.  A record that names another
   service than the one held, to which no route leads or has led, is an
   unusable entry: another writer's.  A record of state
   BB_SERVER_GONE is also kept if the server was not held before, since packets
   with its cookie may arrive.  A removal or an unusable entry needs no data
   but the name; of a server that was not held before, the name and the
   revision are kept, so that peers get the change.  */
enum bb_directory_change
bb_directory_put (struct bb_directory *d,
                  const struct bb_server_record *record, bb_usec now,
                  struct bb_backend_server **server);

/* Applies the COUNT records of one route.  */
enum bb_directory_change
bb_directory_put_route (struct bb_directory *d,
                        const struct bb_route_record *records, size_t count,
                        bb_usec now);

/* Puts the routes and limits of C in force and drops those that are not among
   them.  Returns the number of routes changed, or -1 if this version or a
   newer one is in force.  */
int bb_directory_configure (struct bb_directory *d,
                            const struct bb_configuration *c, bb_usec now);

/* Gives the routes and limits of C, the configuration in force, its
   revision.  */
void bb_directory_renew_configuration (struct bb_directory *d,
                                       const struct bb_configuration *c,
                                       bb_usec now);

/* Drops the routes in force that are not in LISTED, a set of
   bb_directory_route_key, unless they are newer than REVISION.  Returns the
   number of routes dropped.  */
int bb_directory_drop_unlisted_routes (struct bb_directory *d,
                                       GHashTable *listed, uint64_t revision,
                                       bb_usec now);
gpointer bb_directory_route_key (const struct bb_endpoint *address);

/* Applies the limits of one service.  */
enum bb_directory_change
bb_directory_put_service (struct bb_directory *d,
                          const struct bb_service_record *record, bb_usec now);

/* Drops the limits in force of services that are not in LISTED, a set of
   bb_directory_service_key, unless they are newer than REVISION.  */
void bb_directory_drop_unlisted_services (struct bb_directory *d,
                                          GHashTable *listed,
                                          uint64_t revision, bb_usec now);

/* Applies the record of one evacuation.  Returns BB_DIRECTORY_ADDED if it
   becomes active and BB_DIRECTORY_GONE if it ends.  The end of an evacuation
   that was not held is kept, so that peers get the change.  */
enum bb_directory_change
bb_directory_put_evacuation (struct bb_directory *d,
                             const struct bb_evacuation_record *record,
                             bb_usec now);
bool bb_directory_is_evacuated (const struct bb_directory *d,
                                const char *data_centre);
uint32_t bb_directory_count_evacuations (const struct bb_directory *d);

/* Ends the evacuations whose time to be written again has passed, and calls
   ENDED for each of them.  Their revisions stay, so that a later request
   replaces them.  */
void bb_directory_end_held_evacuations (
    struct bb_directory *d, bb_usec now,
    void (*ended) (void *context, const struct bb_evacuation_record *record),
    void *context);

/* Records that the directory was empty and now holds the whole state of
   REVISION, without a record of earlier removals or of configurations before
   HISTORY_START.  */
void bb_directory_start_history (struct bb_directory *d, uint64_t revision,
                                 bb_usec history_start);

/* Records that the directory went from revision START to END without the
   changes in between, and without the configurations before HISTORY_START.  A
   record that was added and removed in between was never held here.  */
void bb_directory_add_gap (struct bb_directory *d, uint64_t start,
                           uint64_t end, bb_usec history_start);

/* Returns the time at which the recorded history of configurations begins.
   The history may have begun at another balancer and been continued here.  For
   BB_DIRECTORY_RETENTION after it there may be flows of earlier
   configurations, which are not recorded here.  */
bb_usec bb_directory_history_start (const struct bb_directory *d);

/* Revision after which all removals are recorded.  */
uint64_t bb_directory_removals_since (const struct bb_directory *d);

/* Whether the changes after REVISION, as recorded here, lead from the state of
   REVISION to the one held.  */
bool bb_directory_has_changes_after (const struct bb_directory *d,
                                     uint64_t revision);

/* Configuration version in force; 0: none.  bb_directory_set_version never
   lowers the version.  */
uint64_t bb_directory_version (const struct bb_directory *d);
void bb_directory_set_version (struct bb_directory *d, uint64_t version);

struct bb_route *bb_directory_find_route (const struct bb_directory *d,
                                          const struct bb_endpoint *address);

/* Returns the cookie that the server NAME gets at ATTEMPT, counted from 0.  */
uint32_t bb_server_cookie (const char *name, unsigned attempt);

/* Find a server by cookie and by name.  NULL if there is none.  A cookie that
   no server has here is that of the only server of which it is an alias.  */
struct bb_backend_server *
bb_directory_find_by_cookie (const struct bb_directory *d, uint32_t cookie);
struct bb_backend_server *
bb_directory_find_server (const struct bb_directory *d, const char *name);

/* Whether S may get new flows: the store says so, and its data centre is not
   evacuated.  It may still be silent.  */
bool bb_server_is_eligible (const struct bb_backend_server *s);

/* Returns the servers of SERVICE, or NULL if it never had any.  An unnamed
   hash stands for the only known service that has it.  */
struct bb_server_group *
bb_directory_find_service (const struct bb_directory *d, uint64_t service);

gpointer bb_directory_service_key (uint64_t service);

void bb_directory_foreach_service (
    const struct bb_directory *d,
    void (*each) (void *context, struct bb_server_group *group),
    void *context);

/* List heads of all servers, routes, evacuations and limits of services, with
   those that have ended, oldest revision first, linked by by_revision.  */
struct bb_link *bb_directory_servers (struct bb_directory *d);
struct bb_link *bb_directory_routes (struct bb_directory *d);
struct bb_link *bb_directory_evacuations (struct bb_directory *d);
struct bb_link *bb_directory_service_limits (struct bb_directory *d);

/* List head of the servers that were cold when their record was applied,
   linked by by_cold.  Whoever finds one that is not cold any more removes it.
 */
struct bb_link *bb_directory_cold_servers (struct bb_directory *d);

/* Sets expired servers whose grace period has ended to gone and calls GONE for
   each of them.  */
void bb_directory_remove_expired (
    struct bb_directory *d, bb_usec now,
    void (*gone) (void *context, struct bb_backend_server *server),
    void *context);

/* Removes servers, routes, evacuations and limits that have been gone for
   longer than the retention.  */
void bb_directory_sweep (struct bb_directory *d, bb_usec now);
#endif
