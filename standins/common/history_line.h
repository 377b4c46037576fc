/* Lines of history files and event logs.  */

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

/* Calls TAKE for each line that begins as an object.  Others are a balancer's
   other output and are skipped, and so is a last line without its end, which
   a killed process may leave.  Returns false if the file cannot be read.  */
bool bb_line_read_file (const char *path,
                        void (*handle) (const struct bb_line *l,
                                        void *context),
                        void *context);
#endif
