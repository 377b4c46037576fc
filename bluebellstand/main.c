/* The balancer program.  Parses the command line, reads and checks the
   settings, and runs the transport that they select.  */

#include "bluebellstand/program.h"
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

/* A build for VMs that use only one transport omits the others, because
   loading their libraries takes most of the start-up time.  */
static const struct bb_program *const programs[] = {
#ifndef BB_WITHOUT_GUE
  &bb_program_gue,
#endif
  &bb_program_marked,
};

static gchar *settings_file;
static gboolean check_only;
static gboolean show_version;

static const GOptionEntry entries[] = {
  { "settings", 's', 0, G_OPTION_ARG_FILENAME, &settings_file,
    "Read the settings of this balancer from FILE", "FILE" },
  { "check", 'c', 0, G_OPTION_ARG_NONE, &check_only,
    "Check the settings and exit", NULL },
  { "version", 'v', 0, G_OPTION_ARG_NONE, &show_version,
    "Print the version and exit", NULL },
  G_OPTION_ENTRY_NULL,
};

static int
report_error (enum bb_error_kind kind, GError *error)
{
  fprintf (stderr, "bluebellstand: %s\n", error->message);
  g_error_free (error);
  return bb_error_handling (kind)->exit_status;
}

static void
print_problems (const GPtrArray *problems)
{
  for (guint i = 0; i < problems->len; i++)
    {
      const struct bb_problem *p = g_ptr_array_index (problems, i);
      fprintf (stderr, "%s:%d: %s: %s: %s\n", p->file ? p->file : "", p->line,
               p->is_warning ? "warning" : "error", p->path ? p->path : "",
               p->text);
    }
}

/* Returns the settings, or NULL with *STATUS set to the exit status.  */
static struct bb_settings *
read_settings (const char *file, int *status)
{
  gchar *bytes;
  gsize length;
  GError *error = NULL;
  if (!g_file_get_contents (file, &bytes, &length, &error))
    {
      *status = report_error (BB_ERROR_IO, error);
      return NULL;
    }
  GPtrArray *problems = bb_problems_new ();
  struct bb_settings *settings
      = bb_settings_parse (file, (const uint8_t *)bytes, length, problems);
  print_problems (problems);
  if (settings && bb_problems_have_error (problems))
    {
      bb_settings_free (settings);
      settings = NULL;
    }
  *status = bb_error_handling (BB_ERROR_SYNTAX)->exit_status;
  g_ptr_array_unref (problems);
  g_free (bytes);
  return settings;
}

/* Returns the transport that SETTINGS select, or NULL if this build does not
   include it.  */
static const struct bb_program *
select_program (const struct bb_settings *settings)
{
  for (size_t i = 0; i < G_N_ELEMENTS (programs); i++)
    if (programs[i]->is_selected (settings))
      return programs[i];
  return NULL;
}

static int
run (const struct bb_settings *settings)
{
  GError *error = NULL;
  const struct bb_program *program = select_program (settings);
  if (program)
    {
      int status = program->run (settings, settings_file, &error);
      return error ? report_error (BB_ERROR_IO, error) : status;
    }
  g_set_error (
      &error, BB_ERROR, BB_ERROR_NOT_FOUND,
      "%s: this build does not include the transport that the settings select",
      settings_file);
  return report_error (BB_ERROR_NOT_FOUND, error);
}

static bool
parse_options (int *argc, char ***argv, GError **error)
{
  GOptionContext *context = g_option_context_new ("- layer-4 load balancer");
  g_option_context_add_main_entries (context, entries, NULL);
  bool ok = g_option_context_parse (context, argc, argv, error);
  g_option_context_free (context);
  if (ok && !show_version && (!settings_file || *argc > 1))
    {
      g_set_error (error, BB_ERROR, BB_ERROR_MISSING_KEY,
                   "usage: bluebellstand --settings FILE [--check]");
      return false;
    }
  return ok;
}

int
main (int argc, char **argv)
{
  GError *error = NULL;
  int status;
  /* The settings may change, with a SIGHUP, before the event loop handles the
     signal.  Its default action would end the process, so the signal is
     ignored until then.  A change made before the settings are read below
     needs no reload.  */
  signal (SIGHUP, SIG_IGN);
  if (!parse_options (&argc, &argv, &error))
    return report_error (BB_ERROR_MISSING_KEY, error);
  if (show_version)
    {
      puts ("bluebellstand " BB_VERSION_TEXT);
      return EXIT_SUCCESS;
    }
  struct bb_settings *settings = read_settings (settings_file, &status);
  if (!settings)
    return status;
  status = check_only ? EXIT_SUCCESS : run (settings);
  bb_settings_free (settings);
  g_free (settings_file);
  return status;
}
