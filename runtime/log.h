/* The log: one JSON object a line on standard output.  */

#ifndef BB_RUNTIME_LOG_H
#define BB_RUNTIME_LOG_H

#include "runtime/events.h"
#include "runtime/names.h"

struct bb_log;

enum bb_log_level
{
  BB_LOG_INFO, /* 0, the level of events that the table does not list */
  BB_LOG_ERROR,
  BB_LOG_WARN,
  BB_LOG_DEBUG,
  BB_LOG_LEVELS
};

/* Lines above LEVEL, one of "error", "warn", "info" and "debug", are left
   out.  VM and NAMES must outlive the log.  */
struct bb_log *bb_log_new (const struct bb_vm *vm,
                           const struct bb_names *names, const char *level);
void bb_log_free (struct bb_log *log);

/* Writes the events that were added since the last call.  */
void bb_log_flush (struct bb_log *log, const struct bb_events *events);

/* Writes a line with the fields "event" and "text" at once.  */
void bb_log_write_text (struct bb_log *log, enum bb_log_level level,
                        const char *event, const char *text);

/* Writes the first of PROBLEMS, a list of struct bb_problem.  Returns the text
   of the first fatal one, freed with g_free, or NULL.  */
char *bb_log_write_problems (struct bb_log *log, const GPtrArray *problems);

/* The line of RECORD, without the newline; freed with g_free.  */
char *bb_log_format (const struct bb_log *log,
                     const struct bb_event_record *record);

/* Lines that were lost because the reader of standard output was too slow. */
uint64_t bb_log_lost_lines (const struct bb_log *log);
#endif
