/* Events of several processes on one time line.  */

#ifndef BB_BBCTL_TIMELINE_H
#define BB_BBCTL_TIMELINE_H

#include "bbctl/bbctl.h"

struct bb_ctl_process_run;

struct bb_ctl_event
{
  json_object *line; /* as it was read */
  struct bb_ctl_process_run *run;
  int64_t missing_before; /* events of the run lost just before this one */
  int64_t seq;
  int64_t time_us;  /* wall clock of the process */
  int64_t place_us; /* corrected, never before the run's previous event */
};

/* Events of one process, from its start to its end.  */
struct bb_ctl_process_run
{
  char *vm;
  guint index;       /* of creation; a later run of a source is greater */
  GPtrArray *events; /* struct bb_ctl_event, by seq */
};

struct bb_ctl_timeline
{
  GPtrArray *runs;          /* struct bb_ctl_process_run */
  GHashTable *run_by_event; /* VM, seq and clock of an event to its run */
  GHashTable *corrections;  /* VM to a GArray of one int64_t, microseconds */
  GPtrArray *sorted;        /* struct bb_ctl_event, all, after sorting */
  size_t skipped_lines;     /* lines that are no events */
};

struct bb_ctl_timeline *bb_ctl_timeline_new (void);
void bb_ctl_timeline_free (struct bb_ctl_timeline *t);

/* Adds the lines of TEXT, one source.  Events that another source has too are
   added once.  */
void bb_ctl_timeline_add_lines (struct bb_ctl_timeline *t, const char *text);

/* Adds the events of SOURCE: ADDRESS:PORT of a balancer, a file, or - for
   standard input.  Returns the exit status, after a message if it is not 0. */
int bb_ctl_timeline_read_source (struct bb_ctl_timeline *t, char *source);

/* Reads SOURCES, up to a NULL, and sorts.  Tells on standard error how many
   lines are no events.  *STATUS is the exit status of the first source that
   cannot be read, or 0; the others are used.  */
struct bb_ctl_timeline *
bb_ctl_timeline_load_sources (char **sources, int64_t limit_us, int *status);

/* Corrects clocks by at most LIMIT_US per VM and puts all events in sorted. */
void bb_ctl_timeline_sort (struct bb_ctl_timeline *t, int64_t limit_us);
int64_t bb_ctl_timeline_get_correction (const struct bb_ctl_timeline *t,
                                        const char *vm);

/* Writes EVENTS (struct bb_ctl_event) as a picture, one lane per VM.  Returns
   false and sets errno if PATH cannot be written.  */
bool bb_ctl_timeline_draw (const GPtrArray *events, const char *path);
#endif
