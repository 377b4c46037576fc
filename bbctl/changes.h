/* Differences between two effective configurations of one data centre.

   Compares services and servers by name, and computes the share of new flows
   that the new configuration would place on another server.  */

#ifndef BB_BBCTL_CHANGES_H
#define BB_BBCTL_CHANGES_H

#include "bbctl/bbctl.h"

struct bb_ctl_change
{
  char *change_kind; /* server_added, weight, ... */
  char service[BB_NAME_MAX];
  char server[BB_NAME_MAX]; /* "": the change is to the service */
  char *text;
  /* The change can break established flows, or callers are no longer
     served.  */
  bool is_disruptive;
};

/* Share of a service's new flows that are placed on another server.  */
struct bb_ctl_moved_share
{
  char service[BB_NAME_MAX];
  double share; /* 0 to 1 */
};

struct bb_ctl_changes
{
  GPtrArray *changes;   /* struct bb_ctl_change */
  GArray *moved_shares; /* struct bb_ctl_moved_share */
};

struct bb_ctl_changes *bb_ctl_changes_compute (const struct bb_fleet *old,
                                               const struct bb_fleet *new);
void bb_ctl_changes_free (struct bb_ctl_changes *changes);
#endif
