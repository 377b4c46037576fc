#include "bluebellstand/program.h"
#include "runtime/process.h"

static bool
is_selected (const struct bb_settings *settings)
{
  return settings->marked.packets.port == 0;
}

static int
run (const struct bb_settings *settings, const char *settings_file,
     GError **error)
{
  (void)settings_file;
  struct bb_process *p = bb_process_new (settings, error);
  if (!p)
    return 1;
  int status = bb_process_run (p);
  bb_process_free (p);
  return status;
}

const struct bb_program bb_program_gue = { "gue", is_selected, run };
