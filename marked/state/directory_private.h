/* State of the directory, private to marked/.  */

#ifndef BB_MARKED_DIRECTORY_PRIVATE_H
#define BB_MARKED_DIRECTORY_PRIVATE_H

#include "marked/state/directory.h"

struct bb_directory
{
  char data_centre[BB_NAME_MAX];
  uint64_t version;
  uint64_t removals_since; /* all removals after this revision are recorded, */
  uint64_t gap_start;      /* but for what was added after this revision */
  uint64_t gap_end;        /* and removed up to this one */
  bb_usec history_start;
  GHashTable *names;    /* name to struct bb_backend_server, owned */
  GHashTable *cookies;  /* cookie to struct bb_backend_server */
  GHashTable *services; /* service to struct bb_server_group, owned */
  GHashTable *routes;   /* address and port to struct bb_route, owned */
  struct bb_link servers_by_revision;
  struct bb_link routes_by_revision;
  struct bb_link cold_servers;
  uint32_t expired_count; /* servers of state BB_SERVER_EXPIRED */
  bool servers_unsorted;
  bool routes_unsorted;
};

/* The lists by revision are sorted only when they are read, since a whole read
   of the store returns records in the order of their keys.  Appends LINK, an
   item of REVISION, to the list HEAD.  Sets *UNSORTED if REVISION is lower
   than NEWEST, the revision of the last item in the list.  */
void bb_directory_append (struct bb_link *head, struct bb_link *link,
                          uint64_t revision, uint64_t newest, bool *unsorted);
int bb_directory_compare_revisions (uint64_t a, uint64_t b);
void bb_directory_sort_list (struct bb_link *head, bool *unsorted,
                             GCompareFunc order);
#endif
