/* Time line of the events of several balancers.

   Merges events from log files and from /events of running balancers.  Each
   source has the events of one or more processes, and sources may overlap.
   Events of one process stay in the order of their sequence numbers; clocks
   that contradict the order of cause and effect are corrected.  */

#ifndef BB_BBCTL_TIMELINE_H
#define BB_BBCTL_TIMELINE_H

#include "bbctl/bbctl.h"

struct bb_ctl_process_run;

struct bb_ctl_event
{
  json_object *line; /* as read */
  struct bb_ctl_process_run *run;
  /* Events of the run that were lost just before this one.  */
  int64_t missing_before;
  int64_t seq;
  int64_t time_us;  /* wall clock of the process */
  int64_t place_us; /* corrected time; never before the run's previous event */
};

/* Events of one process, from its start to its end.  */
struct bb_ctl_process_run
{
  char *vm;
  /* Order of creation; a later run of a source has a greater index.  */
  guint index;
  GPtrArray *events; /* struct bb_ctl_event, by seq */
};

struct bb_ctl_timeline
{
  GPtrArray *runs; /* struct bb_ctl_process_run */
  /* Maps the VM, seq and clocks of an event, or the text of an event without
     seq, to the run of the event.  */
  GHashTable *run_by_event;
  /* Maps a VM to a GArray of one int64_t: the correction, in
     microseconds.  */
  GHashTable *corrections;
  /* Events of all runs (struct bb_ctl_event), in order after sorting.  */
  GPtrArray *sorted;
  size_t skipped_lines; /* number of lines that are not events */
};

struct bb_ctl_timeline *bb_ctl_timeline_new (void);
void bb_ctl_timeline_free (struct bb_ctl_timeline *t);

/* Adds the lines of TEXT, which is one source.  Events that another source
   has, too, are added once.  */
void bb_ctl_timeline_add_lines (struct bb_ctl_timeline *t, const char *text);

/* Adds the events of SOURCE: ADDRESS:PORT of a balancer, a file, or - for
   standard input.  Returns the exit status, after a message if it is not
   0.  */
int bb_ctl_timeline_read_source (struct bb_ctl_timeline *t, char *source);

/* Reads SOURCES, which end with NULL, and sorts the events.  Prints the number
   of lines that are not events on standard error.  *STATUS is the exit status
   of the first source that cannot be read, or 0; the other sources are
   used.  */
struct bb_ctl_timeline *
bb_ctl_timeline_load_sources (char **sources, int64_t limit_us, int *status);

/* Corrects the clock of each VM by at most LIMIT_US and sorts all events.  */
void bb_ctl_timeline_sort (struct bb_ctl_timeline *t, int64_t limit_us);
int64_t bb_ctl_timeline_get_correction (const struct bb_ctl_timeline *t,
                                        const char *vm);

/* Writes EVENTS (struct bb_ctl_event) as an SVG image with one lane per VM.
   Returns false and sets errno if PATH cannot be written.  */
bool bb_ctl_timeline_draw (const GPtrArray *events, const char *path);
#endif
