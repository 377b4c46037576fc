/* Reader of history files of the stand-ins and event logs of balancers.  */

#ifndef BB_STANDINS_COMMON_HISTORY_LINE_H
#define BB_STANDINS_COMMON_HISTORY_LINE_H

#include "core/core.h"
#include <json-c/json.h>

struct bb_line
{
  struct json_object *root; /* NULL: the line is not JSON */
  const char *text;
  const char *event;
  bb_usec time;
  struct json_object *versions; /* array in a balancer's event, or NULL */
};

const char *bb_line_string (const struct bb_line *l, const char *name);
int64_t bb_line_number (const struct bb_line *l, const char *name);

/* Calls HANDLE for each line that starts with a brace.  Other lines, such
   as other output of a balancer, are skipped.  A last line without newline
   that does not parse is skipped, too, because a killed process may leave an
   incomplete line.  Returns false if the file cannot be opened.  */
bool bb_line_read_file (const char *path,
                        void (*handle) (const struct bb_line *l,
                                        void *context),
                        void *context);
#endif
