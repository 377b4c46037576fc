/* The scripts of the cases.  */

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "fleet.h"

enum
{
  TRAFFIC_MS = 10000, /* traffic starts this long after the machines */
  REQUEST_MS = 100,
};

static uint64_t version = 3;
static int64_t confirmed; /* time of the last confirmation */

/* Writes op/config with ROUTES, a list in JSON, and SERVICES.  The store's
   answer is the confirmation.  */
static void
put_config (const char *routes, const char *const *services, unsigned count)
{
  size_t size = strlen (routes) + 200 * (count + 2);
  char *text = malloc (size);
  version += 1 + version % 3;
  int n = snprintf (text, size,
                    "{\"version\":%llu,\"routes\":[%s],\"services\":[",
                    (unsigned long long)version, routes);
  for (unsigned i = 0; i < count; i++)
    n += snprintf (text + n, size - (size_t)n,
                   "%s{\"name\":\"%s\",\"health-path\":\"/health\","
                   "\"max-conns\":2000,\"protocol\":\"h1\",\"tls\":false}",
                   i ? "," : "", services[i]);
  snprintf (text + n, size - (size_t)n,
            "],\"limits\":{\"max-header-bytes\":16384,\"max-body-bytes\":"
            "262144,\"header-timeout-ms\":3000,\"idle-timeout-ms\":15000}}");
  store_put ("op/config", text);
  confirmed = now;
  record ("the store confirms version %llu, %zu bytes",
          (unsigned long long)version, strlen (text));
  free (text);
}

/* Returns a route at PORT; TARGET is its "service" or "traffic-split".  */
static char *
route (const char *name, unsigned port, const char *target)
{
  static char text[2000];
  char host[16];
  snprintf (text, sizeof text,
            "{\"name\":\"%s\",\"host\":\"%s\",\"prefix\":\"/%u/\",\"kind\":"
            "\"safe\",\"timeout-ms\":1500,\"target-latency-ms\":150,"
            "\"priority\":1,%s,\"attempts\":2}",
            name, text_of (address (240), host), port, target);
  return text;
}

static bool
is_due (int64_t *next, int64_t interval)
{
  if (now < *next)
    return false;
  *next = now + interval;
  return true;
}

static int64_t next_request = TRAFFIC_MS;
static unsigned step_number;

static void
count_results (int64_t from, int64_t to, unsigned counts[5])
{
  memset (counts, 0, 5 * sizeof counts[0]);
  for (unsigned i = 0; i < attempt_count; i++)
    if (attempts[i].sent >= from && attempts[i].sent < to)
      counts[attempts[i].result]++;
}

static void
record_results (const char *what, int64_t from, int64_t to)
{
  unsigned c[5];
  count_results (from, to, c);
  record ("%s: answered %u, reset by the system %u, reset by a server %u, "
          "no answer %u",
          what, c[ANSWERED], c[RESET], c[RESET_BY_SERVER], c[NO_ANSWER]);
}

/* A route whose service is changed again and again.  */

static const char *const moved[]
    = { "orders-r1", "orders-r2", "orders-r3", "orders-r4", "orders-r5",
        "orders-r6", "orders-r7", "orders-r8", "orders-r9" };
enum
{
  MOVES = 8,
  MOVES_FROM_MS = 12000,
  MOVES_GAP_MS = 1000,
};

static void
point_route_at (const char *service)
{
  char target[100];
  snprintf (target, sizeof target, "\"service\":\"%s\"", service);
  put_config (route ("r-orders", ROUTE_PORT, target), moved, 9);
  record ("route r-orders leads to %s", service);
}

static void
moves_prepare (void)
{
  for (unsigned i = 0; i < 9; i++)
    {
      server_add (moved[i], 2, 20);
      server_add (moved[i], 2, 20);
    }
  point_route_at (moved[0]);
}

static void
moves_step (void)
{
  if (step_number < MOVES && now >= MOVES_FROM_MS + step_number * MOVES_GAP_MS)
    {
      step_number++;
      /* Without the disruption the same number of versions, but only two
         services.  */
      point_route_at (moved[trouble ? step_number : step_number % 2]);
    }
  if (is_due (&next_request, REQUEST_MS))
    client_open (0, false);
}

static void
moves_judge (void)
{
  int64_t from = confirmed + CONFIG_MS;
  unsigned shown = 0, lost = 0;
  record_results ("before the first change", 0, MOVES_FROM_MS);
  for (int64_t t = from; t < now; t += 10000)
    {
      char text[60];
      snprintf (text, sizeof text, "sent from %.0f s on, 10 s",
                (double)t / 1000);
      record_results (text, t, t + 10000);
    }
  for (unsigned i = 0; i < attempt_count; i++)
    {
      const struct attempt *a = &attempts[i];
      if (a->sent < from || a->result == PENDING || a->result == ANSWERED)
        continue;
      if (shown++ < 5)
        broken ("CONFIG",
                "q-%u, sent %.1f s after version %llu, which leads "
                "its route to %s: %s",
                a->id, (double)(a->sent - confirmed) / 1000,
                (unsigned long long)version, moved[trouble ? 8 : 0],
                result_name (a->result));
      lost++;
    }
  record ("%u requests with a route in force were not served", lost);
}

/* A route that is split among five services.  */

enum
{
  SPLIT_AT_MS = 15000,
  LONG_FLOWS = 8,
};

static unsigned long_flows[LONG_FLOWS];
static int64_t next_long = TRAFFIC_MS + 500;
static bool was_open[LONG_FLOWS];

static void
split_route (const unsigned *weights, unsigned count)
{
  char target[600] = "\"traffic-split\":[";
  for (unsigned i = 0; i < count; i++)
    {
      size_t n = strlen (target);
      snprintf (target + n, sizeof target - n,
                "%s{\"service\":\"%s\",\"weight\":%u}", i ? "," : "", moved[i],
                weights[i]);
    }
  size_t end = strlen (target);
  snprintf (target + end, sizeof target - end, "]");
  put_config (route ("r-orders", ROUTE_PORT, target), moved, 5);
  record ("route r-orders is split among %u services", count);
}

static void
split_prepare (void)
{
  static const unsigned even[] = { 25, 25, 25, 25 };
  for (unsigned i = 0; i < 5; i++)
    {
      server_add (moved[i], 2, 20);
      server_add (moved[i], 2, 20);
    }
  split_route (even, 4);
}

static void
split_step (void)
{
  static const unsigned five[] = { 20, 20, 20, 20, 20 };
  static const unsigned four[] = { 40, 20, 20, 20 };
  if (step_number == 0 && now >= TRAFFIC_MS)
    {
      step_number++;
      for (unsigned i = 0; i < LONG_FLOWS; i++)
        long_flows[i] = client_open (0, true);
    }
  if (step_number == 1 && now >= SPLIT_AT_MS)
    {
      step_number++;
      for (unsigned i = 0; i < LONG_FLOWS; i++)
        was_open[i] = client_flow_is_open (long_flows[i]);
      split_route (trouble ? five : four, trouble ? 5 : 4);
    }
  if (step_number > 0 && is_due (&next_long, 1000))
    for (unsigned i = 0; i < LONG_FLOWS; i++)
      client_request (long_flows[i]);
  if (is_due (&next_request, REQUEST_MS))
    client_open (0, false);
}

static void
split_judge (void)
{
  unsigned shown = 0, lost = 0, cut = 0;
  int64_t from = confirmed + CONFIG_MS;
  record_results ("before the change", 0, confirmed);
  record_results ("3 s after the change and later", from, now);
  for (unsigned i = 0; i < LONG_FLOWS; i++)
    if (was_open[i] && !client_flow_is_open (long_flows[i]))
      {
        cut++;
        broken ("FLOW",
                "long flow %u, open at its server before version %llu, "
                "was reset",
                i, (unsigned long long)version);
      }
  for (unsigned i = 0; i < attempt_count; i++)
    {
      const struct attempt *a = &attempts[i];
      if (a->sent < from || a->result == PENDING || a->result == ANSWERED)
        continue;
      if (shown++ < 5)
        broken ("CONFIG",
                "q-%u, sent %.1f s after version %llu, which has its "
                "route: %s",
                a->id, (double)(a->sent - confirmed) / 1000,
                (unsigned long long)version, result_name (a->result));
      lost++;
    }
  record ("%u requests with a route in force were not served, %u of %d open "
          "flows were reset",
          lost, cut, LONG_FLOWS);
}

/* Changes of a large configuration while the data centre is cut off from
   the platform.  */

enum
{
  IDLE_ROUTES = 3400,
  CUT_AT_MS = 15000,
  CUT_MS = 5500,
  STORM_AT_MS = 15300,
  STORM_GAP_MS = 330,
  STORM_CHANGES = 12,
};

static char *idle_routes;
static int64_t healed = CUT_AT_MS + CUT_MS;

/* Every version adds one route, at the port after that of the last one.  */
static void
put_large_config (unsigned added)
{
  char *text = malloc (strlen (idle_routes) + 400 * (added + 2));
  char *to = text;
  for (unsigned i = 0; i <= added; i++)
    {
      char name[20];
      snprintf (name, sizeof name, "r-new%u", i);
      to += sprintf (
          to, "%s,",
          route (name, ROUTE_PORT + i, "\"service\":\"orders-r1\""));
    }
  sprintf (to, "%s", idle_routes);
  put_config (text, moved, 1);
  free (text);
}

static void
storm_prepare (void)
{
  char *to = idle_routes = malloc (IDLE_ROUTES * 400);
  server_add (moved[0], 2, 20);
  server_add (moved[0], 2, 20);
  for (unsigned i = 0; i < IDLE_ROUTES; i++)
    {
      char name[20];
      snprintf (name, sizeof name, "r-idle%u", i);
      to += sprintf (to, "%s%s", i ? "," : "",
                     route (name, 20000 + i, "\"service\":\"orders-r1\""));
    }
  put_large_config (0);
}

static void
storm_step (void)
{
  bool cut = trouble && now >= CUT_AT_MS && now < healed;
  if (cut != store_cut)
    {
      store_cut = cut;
      record ("the data centre is %s the platform",
              cut ? "cut off from" : "connected again with");
    }
  if (step_number < STORM_CHANGES
      && now >= STORM_AT_MS + step_number * STORM_GAP_MS)
    put_large_config (++step_number);
  if (is_due (&next_request, REQUEST_MS))
    {
      client_open (0, false);
      if (step_number == STORM_CHANGES)
        client_open (STORM_CHANGES, false);
    }
}

static void
storm_judge (void)
{
  unsigned shown = 0, lost = 0;
  int64_t from = confirmed + CONFIG_MS;
  if (trouble && from < healed + STABILITY_MS)
    from = healed + STABILITY_MS;
  for (unsigned i = 0; i < attempt_count; i++)
    {
      const struct attempt *a = &attempts[i];
      if (a->sent < from || a->route != STORM_CHANGES || a->result == PENDING
          || a->result == ANSWERED)
        continue;
      if (shown++ < 5)
        broken ("CONFIG",
                "q-%u, sent %.1f s after version %llu, which has its "
                "route, and %.1f s after the cut: %s",
                a->id, (double)(a->sent - confirmed) / 1000,
                (unsigned long long)version, (double)(a->sent - healed) / 1000,
                result_name (a->result));
      lost++;
    }
  record_results ("after the bounds", from, now);
  record ("%u requests with a route in force were refused or not answered",
          lost);
}

/* A burst of requests that take a second each.  */

enum
{
  DESK_SERVERS = 4,
  DESK_GAP_MS = 6,
  ORDER_WORK_MS = 1000,
  ORDER_SLOTS = 3,
  ORDER_LIMIT_MS = 6000,
  ORDER_GAP_MS = 4000, /* between two groups of orders */
  ORDERS_USUAL = 2,    /* in a group */
  ORDERS_BURST = 3,    /* x = 1.5 */
  BURST_MS = 3000,
  BURST_GAP_MS = 8000,
  BURST_FROM_MS = 14500,
  BURSTS = 4,
};

static int64_t next_order = TRAFFIC_MS + 1000;

static void
burst_prepare (void)
{
  static const char *const services[] = { "stock-desk", "order-desk" };
  char routes[4000];
  for (unsigned i = 0; i < DESK_SERVERS; i++)
    server_add (services[0], 2, 20);
  server_add (services[1], ORDER_SLOTS, ORDER_WORK_MS);
  client_set_limit (1, ORDER_LIMIT_MS);
  int n
      = sprintf (routes, "%s,",
                 route ("r-stock", ROUTE_PORT, "\"service\":\"stock-desk\""));
  char host[16];
  sprintf (routes + n,
           "{\"name\":\"r-order\",\"host\":\"%s\",\"prefix\":\"/%u/\","
           "\"kind\":\"unsafe\",\"timeout-ms\":%d,\"target-latency-ms\":"
           "3000,\"priority\":1,\"service\":\"order-desk\",\"attempts\":2}",
           text_of (address (240), host), ROUTE_PORT + 1U, ORDER_LIMIT_MS);
  put_config (routes, services, 2);
}

static bool
is_burst (void)
{
  int64_t t = now - BURST_FROM_MS;
  return trouble && t >= 0 && t < BURSTS * BURST_GAP_MS
         && t % BURST_GAP_MS < BURST_MS;
}

static void
burst_step (void)
{
  if (is_due (&next_request, DESK_GAP_MS))
    client_open (0, false);
  if (!is_due (&next_order, ORDER_GAP_MS))
    return;
  for (int i = 0; i < (is_burst () ? ORDERS_BURST : ORDERS_USUAL); i++)
    client_open (1, false);
}

static void
burst_judge (void)
{
  unsigned orders = 0, lost = 0;
  for (unsigned i = 0; i < attempt_count; i++)
    {
      const struct attempt *a = &attempts[i];
      if (a->route != 1 || a->result == PENDING)
        continue;
      orders++;
      if (a->result != RESET || a->runs == 0)
        continue;
      lost++;
      broken ("FLOW",
              "the flow of q-%u, open at its server, which lives and "
              "runs the request, was reset by the system after %.2f s",
              a->id, (double)(a->ended - a->sent) / 1000);
    }
  record ("%u orders, %u of them run and not answered", orders, lost);
}

/* A server holds as many flows as it can.  */

enum
{
  FEED_FLOWS = 20,
  FEED_BURST = 34, /* x = 1.7 */
  FEED_LIMIT = 24,
  FEED_GAP_MS = 7000, /* least time between two requests of a flow */
  FEED_GAP_MORE_MS = 4000,
  FEED_TRIES = 3,
  FEED_BURST_MS = 20000, /* start of the first burst */
  FEED_BURST_GAP_MS = 10000,
  FEED_BURST_LENGTH_MS = 3000,
  FEED_BURSTS = 4,
};

struct feed
{
  unsigned flow, tries;
  int64_t next; /* request, or try to open */
  bool is_started;
};

static struct feed feeds[FEED_BURST];
static unsigned resets; /* of flows of a burst that has ended */

static void
full_prepare (void)
{
  static const char *const services[] = { "stock-desk", "feed-desk" };
  char routes[6000];
  for (unsigned i = 0; i < DESK_SERVERS; i++)
    server_add (services[0], 2, 20);
  server_add (services[1], 3, 20);
  server_set_limit (DESK_SERVERS, FEED_LIMIT);
  int n
      = sprintf (routes, "%s,",
                 route ("r-stock", ROUTE_PORT, "\"service\":\"stock-desk\""));
  sprintf (routes + n, "%s",
           route ("r-feed", ROUTE_PORT + 1, "\"service\":\"feed-desk\""));
  put_config (routes, services, 2);
}

static void
note_reset (const struct feed *f)
{
  if (f->is_started && client_flow_was_reset (f->flow))
    resets++;
}

/* A client whose try failed makes the next one at once.  */
static void
step_feed (struct feed *f)
{
  if (!f->is_started
      || (!client_flow_is_open (f->flow) && !client_flow_is_opening (f->flow)
          && f->tries < FEED_TRIES))
    {
      note_reset (f);
      f->is_started = true;
      f->tries++;
      f->flow = client_open (1, true);
      f->next = now + rand () % (FEED_GAP_MS + FEED_GAP_MORE_MS);
    }
  else if (client_flow_is_open (f->flow) && now >= f->next)
    {
      client_request (f->flow);
      f->next = now + FEED_GAP_MS + rand () % FEED_GAP_MORE_MS;
    }
}

static void
full_step (void)
{
  int64_t t = now - FEED_BURST_MS;
  bool burst = trouble && t >= 0 && t < FEED_BURSTS * FEED_BURST_GAP_MS
               && t % FEED_BURST_GAP_MS < FEED_BURST_LENGTH_MS;
  if (is_due (&next_request, DESK_GAP_MS))
    client_open (0, false);
  for (unsigned i = 0; i < FEED_BURST; i++)
    {
      if (i < FEED_FLOWS && now >= TRAFFIC_MS + i * 300)
        step_feed (&feeds[i]);
      else if (i >= FEED_FLOWS && burst)
        step_feed (&feeds[i]);
      else if (i >= FEED_FLOWS && feeds[i].is_started)
        {
          note_reset (&feeds[i]);
          client_close (feeds[i].flow);
          feeds[i] = (struct feed){ 0 };
        }
    }
}

static void
full_judge (void)
{
  for (unsigned i = 0; i < FEED_BURST; i++)
    note_reset (&feeds[i]);
  if (resets > 0)
    broken ("FLOW",
            "%u flows, open at their server, which lives, were reset "
            "by the system",
            resets);
  record ("%u open flows were reset", resets);
}

static const struct scenario scenarios[] = {
  { "full", 3, 60000, full_prepare, full_step, full_judge },
  { "moves", 3, 100000, moves_prepare, moves_step, moves_judge },
  { "split", 3, 30000, split_prepare, split_step, split_judge },
  { "burst", 3, 46000, burst_prepare, burst_step, burst_judge },
  { "storm", 3, 45000, storm_prepare, storm_step, storm_judge },
};

const struct scenario *
scenario_find (const char *name)
{
  for (size_t i = 0; i < sizeof scenarios / sizeof scenarios[0]; i++)
    if (strcmp (scenarios[i].name, name) == 0)
      return &scenarios[i];
  return NULL;
}
