/* State of a group of balancers, as each reports it at /status.

   Compares the responses, because some faults are visible only in the
   differences: balancers with different configuration versions, with
   different default sets, or with different results of health checks.  */

#ifndef BB_BBCTL_STATUS_H
#define BB_BBCTL_STATUS_H

#include "bbctl/bbctl.h"

struct bb_ctl_balancer
{
  const char *address;
  json_object *status; /* NULL: no valid response */
  char *error;
};

struct bb_ctl_status
{
  struct bb_ctl_balancer *balancers;
  size_t count;
  GPtrArray *attention; /* char *, conditions that need attention */
};

/* Adds the conditions that balancers report, and those that follow from a
   comparison of balancers.  */
void bb_ctl_status_evaluate (struct bb_ctl_status *s);

/* Prints one screen with columns and colours.  */
void bb_ctl_status_print_screen (const struct bb_ctl_status *s);

/* Prints one line of key=value pairs per balancer, peer and server.  */
void bb_ctl_status_print_lines (const struct bb_ctl_status *s);

/* Reads the versions of base, overlay and VM list from an object or an
   array.  */
void bb_ctl_status_read_versions (json_object *o, int64_t versions[3]);
#endif
