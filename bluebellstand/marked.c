#include "bluebellstand/program.h"
#include "platform/platform.h"

static bool
is_selected (const struct bb_settings *settings)
{
  return settings->marked.packets.port != 0;
}

static int
run (const struct bb_settings *settings, const char *settings_file,
     GError **error)
{
  struct bb_marked_process *p = bb_marked_process_new (
      settings, &bb_platform_transport, &bb_platform_store, error);
  if (!p)
    return 1;
  int status = bb_marked_process_run (p, settings_file);
  bb_marked_process_free (p);
  return status;
}

const struct bb_program bb_program_marked = { "marked", is_selected, run };
