/* Log on standard output, one JSON object per line.  Writing never blocks: if
   the reader is too slow, lines are lost and counted.  */

#ifndef BB_RUNTIME_LOG_H
#define BB_RUNTIME_LOG_H

#include "runtime/events.h"
#include "runtime/names.h"

struct bb_log;

enum bb_log_level
{
  BB_LOG_INFO, /* must be 0, the default level of events in log.c */
  BB_LOG_ERROR,
  BB_LOG_WARN,
  BB_LOG_DEBUG,
  BB_LOG_LEVELS
};

/* Messages less severe than LEVEL ("error", "warn", "info" or "debug") are not
   written.  VM and NAMES must outlive the log.  */
struct bb_log *bb_log_new (const struct bb_vm *vm,
                           const struct bb_names *names, const char *level);
void bb_log_free (struct bb_log *log);

/* Writes the events added since the previous call.  */
void bb_log_flush (struct bb_log *log, const struct bb_events *events);

/* Writes a line with the fields "event" and "text" immediately.  */
void bb_log_write_text (struct bb_log *log, enum bb_log_level level,
                        const char *event, const char *text);

/* Writes the entries of PROBLEMS, a list of struct bb_problem, up to a limit.
   Returns the text of the first one that is not a warning, to be freed with
   g_free, or NULL if there is none.  */
char *bb_log_write_problems (struct bb_log *log, const GPtrArray *problems);

/* Formats RECORD as a line without newline; free it with g_free.  */
char *bb_log_format (const struct bb_log *log,
                     const struct bb_event_record *record);

/* Number of lines lost because the reader of standard output was too slow.  */
uint64_t bb_log_lost_lines (const struct bb_log *log);
#endif
