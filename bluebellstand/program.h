/* Interface between the main program and the transports that a balancer can
   run on.  */

#ifndef BB_BLUEBELLSTAND_PROGRAM_H
#define BB_BLUEBELLSTAND_PROGRAM_H

#include "config/config.h"

#define BB_VERSION_TEXT "0.2.0"

struct bb_program
{
  const char *name;
  bool (*is_selected) (const struct bb_settings *settings);
  /* Runs until a stop is complete and returns the exit status.  If it cannot
     start, sets ERROR to BB_ERROR_IO.  */
  int (*run) (const struct bb_settings *settings, const char *settings_file,
              GError **error);
};

extern const struct bb_program bb_program_gue;
extern const struct bb_program bb_program_marked;
#endif
