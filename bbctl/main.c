#include "bbctl/bbctl.h"
#include <stdio.h>
#include <string.h>

static const struct command
{
  const char *name;
  int (*run) (int argc, char **argv);
  const char *summary;
} commands[] = {
  { "check", bb_ctl_run_check, "check documents and warn of risks" },
  { "render", bb_ctl_run_render,
    "show the effective configuration of a data centre" },
  { "diff", bb_ctl_run_diff, "show the changes that a new base makes" },
  { "place", bb_ctl_run_place,
    "show on which server a flow is placed, and why" },
  { "keys", bb_ctl_run_keys, "print the reference of all keys" },
  { "status", bb_ctl_run_status, "show the state of running balancers" },
  { "timeline", bb_ctl_run_timeline, "merge the events of balancers" },
  { "report", bb_ctl_run_report, "summarise the events of balancers" },
  { "explain", bb_ctl_run_explain,
    "show the decisions on a flow and their reasons" },
};

static void
print_usage (FILE *out)
{
  fputs ("Usage: bbctl COMMAND [OPTION...] [ARGUMENT...]\n\nCommands:\n", out);
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    fprintf (out, "  %-10s %s\n", commands[i].name, commands[i].summary);
  fputs ("\nbbctl COMMAND --help lists the options of a command.\n\n"
         "Exit status: 0 success, 1 wrong usage; otherwise by the kind of "
         "the first error:\n",
         out);
  for (int k = 0; k < BB_ERROR_KINDS; k++)
    fprintf (out, "  %d  %s\n", bb_error_handling (k)->exit_status,
             bb_error_handling (k)->name);
}

int
main (int argc, char **argv)
{
  const char *name = argc > 1 ? argv[1] : "";

  if (!strcmp (name, "--help") || !strcmp (name, "help"))
    {
      print_usage (stdout);
      return 0;
    }
  for (size_t i = 0; i < G_N_ELEMENTS (commands); i++)
    if (!strcmp (commands[i].name, name))
      return commands[i].run (argc - 1, argv + 1);
  if (*name)
    fprintf (stderr, "bbctl: unknown command %s\n", name);
  print_usage (stderr);
  return BB_CTL_EXIT_USAGE;
}
