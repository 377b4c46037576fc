/* State of the directory, for the files of this package.  */

#ifndef BB_MARKED_DIRECTORY_PRIVATE_H
#define BB_MARKED_DIRECTORY_PRIVATE_H

#include "marked/directory.h"

struct bb_directory
{
  char data_centre[BB_NAME_MAX];
  uint64_t version;
  uint64_t removals_since; /* all removals are known that are newer */
  bb_usec history_start;
  GHashTable *names;    /* to struct bb_backend_server, which it owns */
  GHashTable *cookies;  /* to struct bb_backend_server */
  GHashTable *services; /* to struct bb_server_group, which it owns */
  GHashTable *routes;   /* address and port to struct bb_route, owned */
  struct bb_link servers_by_revision;
  struct bb_link routes_by_revision;
  uint32_t expired_count; /* servers of state BB_SERVER_EXPIRED */
  bool servers_unsorted;
  bool routes_unsorted;
};

/* Lists by revision are sorted when they are asked for: a whole reading of the
   store comes in the order of the keys.  Appends LINK to the list of HEAD and
   notes in *UNSORTED whether that breaks the order; NEWEST is the revision of
   its last item.  */
void bb_directory_append (struct bb_link *head, struct bb_link *link,
                          uint64_t revision, uint64_t newest, bool *unsorted);
int bb_directory_compare_revisions (uint64_t a, uint64_t b);
void bb_directory_sort_list (struct bb_link *head, bool *unsorted,
                             GCompareFunc order);
#endif
