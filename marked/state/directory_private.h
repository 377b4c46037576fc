/* State of the directory, private to marked/.  */

#ifndef BB_MARKED_DIRECTORY_PRIVATE_H
#define BB_MARKED_DIRECTORY_PRIVATE_H

#include "marked/state/directory.h"

struct bb_directory
{
  char data_centre[BB_NAME_MAX];
  uint64_t version;
  bool is_divergent;       /* the configuration is not that of the revision */
  uint64_t removals_since; /* all removals after this revision are recorded, */
  uint64_t gap_start;      /* but for what was added after this revision */
  uint64_t gap_end;        /* and removed up to this one */
  bb_usec history_start;
  GHashTable *names;       /* name to struct bb_backend_server, owned */
  GHashTable *cookies;     /* cookie to struct bb_backend_server */
  GHashTable *aliases;     /* the same; NULL: of several servers */
  GHashTable *services;    /* service to struct bb_server_group, owned */
  GHashTable *routes;      /* address and port to struct bb_route, owned */
  GHashTable *evacuations; /* name to struct bb_evacuation, owned */
  GHashTable *limits;      /* service to struct bb_service_limit, owned */
  struct bb_link servers_by_revision;
  struct bb_link routes_by_revision;
  struct bb_link evacuations_by_revision;
  struct bb_link limits_by_revision;
  struct bb_link cold_servers;
  uint32_t expired_count;  /* servers of state BB_SERVER_EXPIRED */
  uint32_t withheld_count; /* servers of state BB_SERVER_WITHHELD */
  bool servers_unsorted;
  bool routes_unsorted;
  bool evacuations_unsorted;
  bool limits_unsorted;
};

/* directory_cookies.c: cookies of servers, unique in a directory.  */
void bb_directory_assign_cookie (struct bb_directory *d,
                                 struct bb_backend_server *s);
void bb_directory_release_cookie (struct bb_directory *d,
                                  struct bb_backend_server *s);

/* directory_routes.c  */
/* Whether a route leads to SERVICE, or did so within the retention.  */
bool bb_directory_has_route_to (const struct bb_directory *d,
                                uint64_t service);

/* server_group.c  */
/* Returns the group of SERVICE, which is called NAME.  Adds it if needed.  */
struct bb_server_group *bb_server_group_get (struct bb_directory *d,
                                             uint64_t service,
                                             const char *name);
/* Returns the limits of SERVICE, or NULL.  */
const struct bb_service_limit *
bb_directory_find_limit (const struct bb_directory *d, uint64_t service);
void bb_server_group_free (gpointer data);
void bb_server_group_add (struct bb_server_group *group,
                          struct bb_backend_server *s);

/* The lists by revision are sorted only when they are read, since a whole read
   of the store returns records in the order of their keys.  Appends LINK, an
   item of REVISION, to the list HEAD.  Sets *UNSORTED if REVISION is lower
   than NEWEST, the revision of the last item in the list.  */
void bb_directory_append (struct bb_link *head, struct bb_link *link,
                          uint64_t revision, uint64_t newest, bool *unsorted);
int bb_directory_compare_revisions (uint64_t a, uint64_t b);
void bb_directory_sort_list (struct bb_link *head, bool *unsorted,
                             GCompareFunc order);

/* Create the tables, freed by bb_directory_free.  */
void bb_directory_init_evacuations (struct bb_directory *d);
void bb_directory_init_limits (struct bb_directory *d);

/* Puts the limits of services in C in force and drops all others.  */
void bb_directory_configure_limits (struct bb_directory *d,
                                    const struct bb_configuration *c,
                                    bb_usec now);

/* Remove the evacuations and limits that ended longer ago than the retention.
 */
void bb_directory_sweep_evacuations (struct bb_directory *d, bb_usec now);
void bb_directory_sweep_limits (struct bb_directory *d, bb_usec now);
#endif
