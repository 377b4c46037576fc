#include "driver/overload.h"
#include <string.h>

/* Readers of a feed keep flows open; bookings open a flow each and are worth
   more.  */
#define FEEDS_AND_BOOKINGS                                                    \
  .kinds = { { .name = "feed",                                                \
               .priority = 2,                                                 \
               .share = 78,                                                   \
               .work_ms = 30,                                                 \
               .objective_ms = 150,                                           \
               .limit_ms = 1000,                                              \
               .worth = 1 },                                                  \
             { .name = "booking",                                             \
               .priority = 1,                                                 \
               .share = 22,                                                   \
               .work_ms = 39,                                                 \
               .objective_ms = 200,                                           \
               .limit_ms = 1200,                                              \
               .opens_flows = true,                                           \
               .worth = 2 } },                                                \
  .usual_load = 43, .servers = 5, .slots = 2, .queue = 8, .balancers = 2,     \
  .callers = 38

/* A large deployment: each data centre has 38 balancers and 40 servers.  */
#define FEEDS_AND_ORDERS                                                      \
  .kinds = { { .name = "feed",                                                \
               .priority = 2,                                                 \
               .share = 78,                                                   \
               .work_ms = 47,                                                 \
               .objective_ms = 500,                                           \
               .limit_ms = 5000,                                              \
               .worth = 1 },                                                  \
             { .name = "order",                                               \
               .priority = 1,                                                 \
               .share = 22,                                                   \
               .work_ms = 61,                                                 \
               .objective_ms = 600,                                           \
               .limit_ms = 6000,                                              \
               .opens_flows = true,                                           \
               .worth = 2 } },                                                \
  .usual_load = 33, .servers = 120, .slots = 2, .queue = 8, .balancers = 114, \
  .callers = 300, .data_centres = 3

const struct bb_overload_day bb_overload_days[] = {
  { .name = "burst", FEEDS_AND_BOOKINGS, .peak = 6 * BB_SEC },
  { .name = "long", FEEDS_AND_BOOKINGS, .peak = 20 * BB_SEC },
  { .name = "short", FEEDS_AND_BOOKINGS, .peak = BB_SEC },
  { .name = "slow",
    FEEDS_AND_BOOKINGS,
    .peak = 6 * BB_SEC,
    .slow_servers = 1 },
  { .name = "slots-hidden",
    FEEDS_AND_BOOKINGS,
    .peak = 6 * BB_SEC,
    .hides_slots = true },
  { .name = "many", FEEDS_AND_ORDERS, .peak = 3 * BB_SEC },
  { .name = "many-join",
    FEEDS_AND_ORDERS,
    .peak = 3 * BB_SEC,
    .joining_servers = 3 },
  { .name = "many-late",
    FEEDS_AND_ORDERS,
    .peak = 3 * BB_SEC,
    .report_delay_ms = 1000 },
  { .name = "many-slow",
    FEEDS_AND_ORDERS,
    .peak = 3 * BB_SEC,
    .slow_servers = 20 },
  { .name = "pressed",
    FEEDS_AND_ORDERS,
    .peak = 6 * BB_SEC,
    .is_pressed = true },
};

const unsigned bb_overload_day_count = G_N_ELEMENTS (bb_overload_days);

const struct bb_overload_day *
bb_overload_find_day (const char *name)
{
  for (unsigned i = 0; i < bb_overload_day_count; i++)
    if (strcmp (bb_overload_days[i].name, name) == 0)
      return &bb_overload_days[i];
  return NULL;
}
