#include "runtime/log.h"
#include "config/config.h"
#include "marked/state/revision.h"
#include "runtime/util.h"
#include <inttypes.h>
#include <json-c/json.h>
#include <limits.h>
#include <log4c.h>
#include <poll.h>
#include <string.h>
#include <unistd.h>

enum
{
  PROBLEMS_MAX = 20, /* reported of one document; "bbctl check" prints all */
  TEXT_MAX = 1024    /* bytes; keeps a line shorter than PIPE_BUF */
};

struct bb_log
{
  const struct bb_vm *vm;
  const struct bb_names *names;
  log4c_category_t *category;
  log4c_appender_t *appender;
  uint64_t last_written; /* seq of the last event written */
  uint64_t lost_lines;
  unsigned buffered_lines; /* number of lines in BUFFER */
  size_t buffered_bytes;
  char buffer[PIPE_BUF];
};

static const struct
{
  const char *name;
  int priority;
} levels[BB_LOG_LEVELS] = {
  [BB_LOG_ERROR] = { "error", LOG4C_PRIORITY_ERROR },
  [BB_LOG_WARN] = { "warn", LOG4C_PRIORITY_WARN },
  [BB_LOG_INFO] = { "info", LOG4C_PRIORITY_INFO },
  [BB_LOG_DEBUG] = { "debug", LOG4C_PRIORITY_DEBUG },
};

static const enum bb_log_level event_levels[BB_EVENT_KINDS] = {
  [BB_EVENT_VERSION_REFUSED] = BB_LOG_ERROR,
  [BB_EVENT_BASE_CONFLICT] = BB_LOG_ERROR,
  [BB_EVENT_VERSION_STALE] = BB_LOG_WARN,
  [BB_EVENT_PEER_LOST] = BB_LOG_WARN,
  [BB_EVENT_SERVER_DOWN] = BB_LOG_WARN,
  [BB_EVENT_PANIC] = BB_LOG_WARN,
  [BB_EVENT_PAUSE] = BB_LOG_WARN,
  [BB_EVENT_REFUSED] = BB_LOG_WARN,
  [BB_EVENT_SILENT_RESET] = BB_LOG_WARN,
  [BB_EVENT_BIT_SET] = BB_LOG_DEBUG,
  [BB_EVENT_BIT_ACTED] = BB_LOG_DEBUG,
  [BB_EVENT_BIT_CLEARED] = BB_LOG_DEBUG,
  [BB_EVENT_SERVER_SUSPECT] = BB_LOG_WARN,
  [BB_EVENT_STATE_UNSENT] = BB_LOG_ERROR,
  [BB_EVENT_SERVER_DEAD] = BB_LOG_WARN,
  [BB_EVENT_WATCH_ENDED] = BB_LOG_WARN,
  [BB_EVENT_SERVER_FAILING] = BB_LOG_WARN,
  [BB_EVENT_LINK_SUSPECT] = BB_LOG_WARN,
  [BB_EVENT_ENTRY_REFUSED] = BB_LOG_ERROR,
  [BB_EVENT_STATE_REFUSED] = BB_LOG_WARN,
  [BB_EVENT_FLOW_REFUSED] = BB_LOG_WARN,
  [BB_EVENT_FLOW_RESET] = BB_LOG_WARN,
  [BB_EVENT_MARK_UNKNOWN] = BB_LOG_WARN,
  [BB_EVENT_STORE_LOST] = BB_LOG_WARN,
  [BB_EVENT_STORE_ERA] = BB_LOG_WARN,
};

static const char *
format_line (const log4c_layout_t *layout, const log4c_logging_event_t *event)
{
  (void)layout;
  return event->evt_msg;
}

/* Writes the buffer without blocking, so that a stalled log reader cannot stop
   the balancer; lines that standard output does not accept at once are lost
   and counted.  A pipe that polls as writable accepts PIPE_BUF bytes.  */
static void
write_buffer (struct bb_log *log)
{
  struct pollfd pfd = { .fd = STDOUT_FILENO, .events = POLLOUT };
  if (log->buffered_bytes == 0)
    return;
  if (poll (&pfd, 1, 0) != 1 || !(pfd.revents & POLLOUT)
      || write (STDOUT_FILENO, log->buffer, log->buffered_bytes) < 0)
    log->lost_lines += log->buffered_lines;
  log->buffered_bytes = 0;
  log->buffered_lines = 0;
}

static int
append_line (log4c_appender_t *appender, const log4c_logging_event_t *event)
{
  struct bb_log *log = log4c_appender_get_udata (appender);
  size_t length = strlen (event->evt_rendered_msg);
  if (length > sizeof log->buffer)
    {
      log->lost_lines++;
      return 0;
    }
  if (length > sizeof log->buffer - log->buffered_bytes)
    write_buffer (log);
  memcpy (log->buffer + log->buffered_bytes, event->evt_rendered_msg, length);
  log->buffered_bytes += length;
  log->buffered_lines++;
  return 0;
}

static const log4c_layout_type_t layout_type = {
  .name = "json_lines",
  .format = format_line,
};

static const log4c_appender_type_t appender_type = {
  .name = "standard_output",
  .append = append_line,
};

/* log4c_init is not called because it would read a log4crc file from the
   working directory, which is not among the checked settings.  */
struct bb_log *
bb_log_new (const struct bb_vm *vm, const struct bb_names *names,
            const char *level)
{
  struct bb_log *log = g_new0 (struct bb_log, 1);
  log->vm = vm;
  log->names = names;
  int priority = LOG4C_PRIORITY_INFO;
  for (int i = 0; i < BB_LOG_LEVELS; i++)
    if (level && strcmp (level, levels[i].name) == 0)
      priority = levels[i].priority;
  log4c_layout_type_set (&layout_type);
  log4c_appender_type_set (&appender_type);
  log4c_layout_t *layout = log4c_layout_get ("bluebellstand");
  log4c_layout_set_type (layout, &layout_type);
  log->appender = log4c_appender_get ("bluebellstand");
  log4c_appender_set_type (log->appender, &appender_type);
  log4c_appender_set_layout (log->appender, layout);
  log4c_appender_set_udata (log->appender, log);
  log->category = log4c_category_get ("bluebellstand");
  log4c_category_set_appender (log->category, log->appender);
  log4c_category_set_additivity (log->category, 0);
  log4c_category_set_priority (log->category, priority);
  return log;
}

void
bb_log_free (struct bb_log *log)
{
  if (!log)
    return;
  log4c_fini ();
  g_free (log);
}

static void
add_string (struct json_object *object, const char *key, const char *value)
{
  json_object_object_add (object, key,
                          value ? json_object_new_string (value) : NULL);
}

static void
add_number (struct json_object *object, const char *key, uint64_t value)
{
  json_object_object_add (object, key, json_object_new_uint64 (value));
}

static struct json_object *
create_object (const struct bb_log *log, int64_t time_us, bb_usec mono_us,
               enum bb_log_level level, const char *event)
{
  struct json_object *line = json_object_new_object ();
  json_object_object_add (line, "time_us", json_object_new_int64 (time_us));
  json_object_object_add (line, "mono_us", json_object_new_int64 (mono_us));
  add_string (line, "vm", log->vm->name);
  add_string (line, "data_centre", log->vm->data_centre);
  add_string (line, "level", levels[level].name);
  add_string (line, "event", event);
  return line;
}

/* Frees LINE.  */
static char *
object_to_text (struct json_object *line)
{
  char *text = g_strdup (json_object_to_json_string_ext (
      line, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (line);
  return text;
}

/* Key 0 means none.  A key without a known name is written in hexadecimal.  */
static void
add_key (const struct bb_log *log, struct json_object *line, const char *field,
         uint32_t key, const char **service)
{
  char text[16];
  const char *name = key ? bb_names_lookup (log->names, key, service) : NULL;
  if (key && !name)
    {
      g_snprintf (text, sizeof text, "%08" PRIx32, key);
      name = text;
    }
  add_string (line, field, name);
}

char *
bb_log_format (const struct bb_log *log, const struct bb_event_record *record)
{
  const struct bb_event *event = &record->event;
  const char *service = NULL, *unused = NULL;
  char flow[20];
  struct json_object *line
      = create_object (log, record->time_us, record->mono_us,
                       event_levels[event->kind], bb_event_name (event->kind));
  add_number (line, "seq", record->seq);
  struct json_object *versions = json_object_new_array ();
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    json_object_array_add (versions,
                           json_object_new_uint64 (record->versions[i]));
  json_object_object_add (line, "versions", versions);
  add_key (log, line, "peer", event->peer, &unused);
  add_key (log, line, "server", event->server, &service);
  add_string (line, "service", service);
  if (event->data_centre)
    add_key (log, line, "target_data_centre", event->data_centre, &unused);
  g_snprintf (flow, sizeof flow, "%016" PRIx64, event->flow);
  add_string (line, "flow", event->flow ? flow : NULL);
  add_number (line, "value", event->value);
  if (event->reason)
    add_string (line, "reason", bb_reason_name (event->reason));
  if (event->revision)
    add_number (line, "revision", bb_revision_number (event->revision));
  if (bb_revision_era (event->revision))
    add_number (line, "era", bb_revision_era (event->revision));
  if (event->age > 0 && event->age < BB_AGE_UNKNOWN)
    json_object_object_add (line, "age_us",
                            json_object_new_int64 (event->age));
  if (record->suppressed)
    add_number (line, "suppressed", record->suppressed);
  return object_to_text (line);
}

static void
write_line (struct bb_log *log, enum bb_log_level level, const char *text)
{
  log4c_category_log (log->category, levels[level].priority, "%s\n", text);
}

void
bb_log_flush (struct bb_log *log, const struct bb_events *events)
{
  const struct bb_event_record *record;
  while ((record = bb_events_next (events, log->last_written)))
    {
      enum bb_log_level level = event_levels[record->event.kind];
      log->last_written = record->seq;
      if (!log4c_category_is_priority_enabled (log->category,
                                               levels[level].priority))
        continue;
      char *text = bb_log_format (log, record);
      write_line (log, level, text);
      g_free (text);
    }
  write_buffer (log);
}

void
bb_log_write_text (struct bb_log *log, enum bb_log_level level,
                   const char *event, const char *text)
{
  struct json_object *line
      = create_object (log, bb_clock_wall (), bb_clock_boot (), level, event);
  char *truncated = g_utf8_make_valid (text, (gssize)strnlen (text, TEXT_MAX));
  add_string (line, "text", truncated);
  g_free (truncated);
  char *out = object_to_text (line);
  write_line (log, level, out);
  write_buffer (log);
  g_free (out);
}

char *
bb_log_write_problems (struct bb_log *log, const GPtrArray *problems)
{
  char *first = NULL;
  for (guint i = 0; i < problems->len && (i < PROBLEMS_MAX || !first); i++)
    {
      const struct bb_problem *p = g_ptr_array_index (problems, i);
      char *text = g_strdup_printf ("%s:%d: %s: %s", p->file ? p->file : "",
                                    p->line, p->path ? p->path : "", p->text);
      if (i < PROBLEMS_MAX)
        bb_log_write_text (log, p->is_warning ? BB_LOG_WARN : BB_LOG_ERROR,
                           "document_problem", text);
      if (!first && !p->is_warning)
        first = g_steal_pointer (&text);
      g_free (text);
    }
  return first;
}

uint64_t
bb_log_lost_lines (const struct bb_log *log)
{
  return log->lost_lines;
}
