/* The parts of a process as they see each other.  */

#ifndef BB_RUNTIME_PROCESS_PRIVATE_H
#define BB_RUNTIME_PROCESS_PRIVATE_H

#include "config/config.h"
#include "core/engine.h"
#include "runtime/events.h"
#include "runtime/names.h"
#include "runtime/platform.h"
#include "runtime/process.h"
#include "runtime/util.h"
#include <event2/event.h>

struct bb_data;
struct bb_documents;
struct bb_http;
struct bb_log;
struct bb_peers;
struct bb_probes;

struct bb_process
{
  const struct bb_settings *settings;
  struct event_base *loop;
  GRand *random;
  struct bb_events *events;
  struct bb_names *names;
  struct bb_log *log;
  struct bb_engine *engine;
  struct bb_data *data;
  struct bb_peers *peers;
  struct bb_documents *documents;
  struct bb_platform *platform;
  struct bb_probes *probes;
  struct bb_http *http;
  struct event *timer;
  struct event *signals[2];
  bb_usec started;
  bb_usec last_tick;        /* last call of bb_engine_tick */
  bb_usec last_maintenance; /* last round of the work done once a second */
  bb_usec stop_requested;   /* 0: not leaving */
  bb_usec phase_since;      /* since the phase of the rebase changed */
  enum bb_phase phase;
};

/* Runs what is due at NOW.  Returns whether a pause was noticed; the data
   socket has then been emptied.  */
bool bb_process_tick (struct bb_process *p, bb_usec now);
#endif
