/* A new version adds a route to a second service, whose name has the same hash
   of 32 bits as that of the first one.  */

#include "review/standin-3/world.h"
#include <string.h>

enum
{
  FLOWS = 20, /* of clients, half of them on each route */
  ORDERS = 8080,
  NOTES = 8443,
  PAUSE_MS = 100,
  WORK_MS = 10
};

static const char orders_service[] = "orders-p677";
static const char *notes_service; /* "notes-m682", without trouble another */
static struct flow *client_flows[FLOWS];
static double next_request[FLOWS];
static uint32_t host;
static unsigned runs, wrong_runs;
static bool has_notes;

static void
check_executed (struct server *s, uint64_t request)
{
  for (unsigned i = 0; i < FLOWS; i++)
    {
      const struct flow *f = client_flows[i];
      if (!f || f->request != request)
        continue;
      const char *service = f->port == ORDERS ? orders_service : notes_service;
      runs++;
      if (strcmp (s->service, service) == 0)
        return;
      wrong_runs++;
      note ("request %llu of service %s is run by server %s of %s",
            (unsigned long long)request, service, s->id, s->service);
      return;
    }
}

/* Each client opens a flow for each request.  */
static void
send_requests (void)
{
  double now = now_ms ();
  for (unsigned i = 0; i < FLOWS; i++)
    {
      struct flow *f = client_flows[i];
      bool is_note = i % 2;
      if (f && f->state == FLOW_OPEN && f->answered > 0)
        close_flow (f);
      else if (f && f->state == FLOW_OPEN && !f->request)
        send_request (f, WORK_MS);
      else if ((!f || f->state == FLOW_ENDED) && now >= next_request[i]
               && (!is_note || has_notes))
        {
          client_flows[i]
              = open_flow ("itagui", host, is_note ? NOTES : ORDERS);
          next_request[i] = now + PAUSE_MS;
        }
    }
}

static void
put_configuration (unsigned version)
{
  static const char route[]
      = "{\"name\":\"%s\",\"host\":\"%u.%u.%u.%u\",\"prefix\":\"/%d/\","
        "\"kind\":\"unsafe\",\"timeout-ms\":1500,\"target-latency-ms\":800,"
        "\"priority\":1,\"service\":\"%s\",\"attempts\":2}";
  static const char service[]
      = "{\"name\":\"%s\",\"health-path\":\"/health\",\"max-conns\":2000,"
        "\"protocol\":\"h1\",\"tls\":false}";
  char routes[2][400], services[2][200], text[2000];
  for (unsigned i = 0; i < 2; i++)
    {
      const char *name = i ? notes_service : orders_service;
      snprintf (routes[i], sizeof routes[i], route, i ? "r-2" : "r-1",
                host >> 24, host >> 16 & 255, host >> 8 & 255, host & 255,
                i ? NOTES : ORDERS, name);
      snprintf (services[i], sizeof services[i], service, name);
    }
  snprintf (text, sizeof text,
            "{\"version\":%u,\"routes\":[%s%s%s],\"services\":[%s,%s],"
            "\"limits\":{\"idle-timeout-ms\":15000}}",
            version, routes[0], version > 3 ? "," : "",
            version > 3 ? routes[1] : "", services[0], services[1]);
  store_config (text);
}

int
main (void)
{
  world_start ();
  host = loopback (0, 5, 1);
  notes_service = has_trouble ? "notes-m682" : "notes-m683";
  for (unsigned i = 0; i < 2; i++)
    add_balancer ("itagui");
  put_configuration (3);
  for (unsigned i = 0; i < 4; i++)
    start_server (add_server (i < 2 ? orders_service : notes_service, "itagui",
                              4, 2000));
  for (unsigned i = 0; i < 2; i++)
    {
      write_settings (&balancers[i]);
      start_balancer (&balancers[i]);
    }
  if (!run_until (all_ready, 10000))
    finish (2, "the balancers are not ready");
  on_executed = check_executed;
  on_tick = send_requests;
  run_for (5000);
  put_configuration (5);
  run_for (3000);
  has_notes = true;
  run_for (10000);
  if (runs == 0)
    finish (2, "no request ran");
  finish (wrong_runs ? 1 : 0,
          "ROUTE: %u of %u requests were run by a service to which no "
          "configuration sent them",
          wrong_runs, runs);
}
