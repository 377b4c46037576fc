/* Load that servers cannot run, in simulated time: callers with open flows,
   retries and time limits, balancers with the real decisions of marked/ and
   their heartbeats, and servers with slots and short queues.

   Balancers see packets of callers only, as on the users' platform: an answer
   shows when its caller acknowledges it.  A run is repeatable by its seed.
   Left out: lost and reordered packets of callers, the processor time of
   balancers, the store, and answers of more than one packet.  */

#ifndef BB_DRIVER_OVERLOAD_H
#define BB_DRIVER_OVERLOAD_H

#include "core/core.h"

enum
{
  BB_OVERLOAD_KINDS = 2, /* kinds of request of a day */
  BB_OVERLOAD_DATA_CENTRES_MAX = 4,
};

/* A kind of request.  Each has a route of its own to the only service.  */
struct bb_overload_kind
{
  const char *name;
  uint32_t priority; /* 0: the most urgent */
  int share;         /* percent of the requests */
  int work_ms;       /* mean time in a slot */
  int objective_ms;
  int limit_ms;     /* the caller gives up */
  bool opens_flows; /* a flow for each request; otherwise flows stay open */
  int worth;        /* of an answer within the objective */
};

struct bb_overload_day
{
  const char *name;
  struct bb_overload_kind kinds[BB_OVERLOAD_KINDS];
  int usual_load; /* percent of what the servers can run */
  int servers;
  int slots; /* of each server */
  int queue; /* of each server; more requests are rejected */
  int balancers;
  int callers;
  int slow_servers;    /* take four times as long while the peak lasts */
  bool hides_slots;    /* servers do not tell their slots */
  bb_usec peak;        /* how long the peak lasts */
  int data_centres;    /* 0: one; all have as many of everything */
  bool is_pressed;     /* only the first data centre has a peak */
  bool is_uneven;      /* a fourth of the balancers has most of the flows */
  int joining_servers; /* start with the peak, slow for the first seconds */
  /* Of messages between balancers, once these know each other.  */
  int report_delay_ms;
  int report_loss; /* percent */
};

/* What became of the requests of one kind that were first sent in the peak. */
struct bb_overload_count
{
  unsigned requests;
  unsigned in_time;
  unsigned late;
  unsigned failed;
};

struct bb_overload_result
{
  struct bb_overload_count kinds[BB_OVERLOAD_KINDS];
  unsigned refused;  /* resets of new flows */
  unsigned rejected; /* by full servers */
  unsigned attempts; /* of all requests */
  unsigned spilled;  /* new flows placed in another data centre */
  /* Parts of the requests of each data centre in time.  */
  double in_time[BB_OVERLOAD_DATA_CENTRES_MAX];
  double worth; /* earned of what was owed; late answers earn nothing */
};

extern const struct bb_overload_day bb_overload_days[];
extern const unsigned bb_overload_day_count;

/* Returns the day NAME, or NULL.  */
const struct bb_overload_day *bb_overload_find_day (const char *name);

/* Called for each new flow of the peak, AT the time since its start.  */
typedef void bb_overload_placed_func (void *context, bb_usec at,
                                      int caller_data_centre, int server);

/* Plays DAY with a peak of LOAD times the usual load.  */
struct bb_overload_result bb_overload_play (const struct bb_overload_day *day,
                                            double load, uint32_t seed);
struct bb_overload_result bb_overload_watch (const struct bb_overload_day *day,
                                             double load, uint32_t seed,
                                             bb_overload_placed_func *placed,
                                             void *context);
#endif
