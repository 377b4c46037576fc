/* A whole read of the store.  Its pages are collected apart from the directory
   and take effect together (bb_marked_adopt_snapshot), so that no balancer
   holds or sends a part of a read.  */

#ifndef BB_MARKED_SNAPSHOT_H
#define BB_MARKED_SNAPSHOT_H

#include "marked/state/directory.h"

struct bb_snapshot
{
  /* Of the first page.  Records of later pages may be newer.  */
  uint64_t revision;
  bb_usec requested_at;
  GArray *servers;       /* struct bb_server_record */
  GHashTable *names;     /* of all servers that are listed */
  uint64_t version;      /* of the configuration; 0: none was read */
  uint64_t configured;   /* revision of the configuration */
  GArray *routes;        /* struct bb_route_record */
  GArray *services;      /* struct bb_service_record */
  GArray *evacuations;   /* struct bb_evacuation_record */
  GHashTable *evacuated; /* data centres of the evacuations */
};

/* Returns an empty snapshot, whose first page is requested at REQUESTED_AT.
   To be freed with bb_snapshot_free.  */
struct bb_snapshot *bb_snapshot_new (bb_usec requested_at);
void bb_snapshot_free (struct bb_snapshot *s);

void bb_snapshot_add_server (struct bb_snapshot *s,
                             const struct bb_server_record *record);
void bb_snapshot_set_configuration (struct bb_snapshot *s,
                                    const struct bb_configuration *c);
void bb_snapshot_add_evacuation (struct bb_snapshot *s,
                                 const struct bb_evacuation_record *record);

/* Returns the configuration that was read, whose records S owns.  Its version
   is 0 if none was read.  */
struct bb_configuration
bb_snapshot_get_configuration (const struct bb_snapshot *s);
#endif
