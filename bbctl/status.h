/* State of a fleet as its balancers report it.  */

#ifndef BB_BBCTL_STATUS_H
#define BB_BBCTL_STATUS_H

#include "bbctl/bbctl.h"

struct bb_ctl_balancer
{
  const char *address;
  json_object *status; /* NULL: no valid answer */
  char *error;
};

struct bb_ctl_status
{
  struct bb_ctl_balancer *balancers;
  size_t count;
  GPtrArray *attention; /* char *, what a person should know */
};

/* Adds what the balancers report, and what only a comparison shows.  */
void bb_ctl_status_evaluate (struct bb_ctl_status *s);

/* One screen with columns and colour.  */
void bb_ctl_status_print_screen (const struct bb_ctl_status *s);

/* One line of key=value pairs per balancer, peer and server.  */
void bb_ctl_status_print_lines (const struct bb_ctl_status *s);

/* Base, overlay and VM list version, from an object or an array.  */
void bb_ctl_status_read_versions (json_object *o, int64_t versions[3]);
#endif
