/* Internals of the GUE process, shared by its modules in runtime/.  */

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
  bb_usec last_tick;        /* time of the last bb_engine_tick */
  bb_usec last_maintenance; /* last maintenance, done once a second */
  bb_usec stop_requested;   /* 0 if no stop was requested */
  bb_usec phase_since; /* time of the last change of the rebalance phase */
  enum bb_phase phase;
};

/* Runs the work that is due at NOW.  Returns whether a pause of the process
   was detected.  If so, packets that waited in the data socket were
   discarded.  */
bool bb_process_tick (struct bb_process *p, bb_usec now);
#endif
