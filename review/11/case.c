/* A server holds as many flows as it can, and sends nothing to further ones.
   One of its flows has a request that takes 600 ms, whose first datagram the
   network loses.  */

#include "review/standin-3/world.h"
#include <string.h>

enum
{
  FLOWS = 100, /* that the server holds, "max-conns" */
  NEW_FLOWS = 4,
  OTHER_FLOWS = 12,
  WORK_MS = 600,
  ORDERS = 8080,
  SHEETS = 8443
};

static struct server *full;
static struct flow *open_flows[FLOWS], *new_flows[NEW_FLOWS],
    *others[OTHER_FLOWS];
static uint16_t lossy_port; /* of the flow whose next request is lost */
static double next_other;
static unsigned turn;

static bool
lose_request (struct server *s, const uint8_t *packet, size_t length)
{
  if (s != full || length == HEADER || load16 (packet + 6) != lossy_port)
    return false;
  note ("network: the request of port %u is lost, once", lossy_port);
  lossy_port = 0;
  return true;
}

/* Requests to the other service, so that answers arrive all the time.  */
static void
send_others (void)
{
  if (now_ms () < next_other)
    return;
  next_other = now_ms () + 60;
  for (unsigned i = 0; i < 3; i++)
    {
      struct flow *f = others[turn++ % OTHER_FLOWS];
      if (f && f->state == FLOW_OPEN && !f->request)
        send_request (f, 5);
    }
}

static void
put_configuration (uint32_t host)
{
  static const char route[]
      = "{\"name\":\"%s\",\"host\":\"%u.%u.%u.%u\",\"prefix\":\"/%d/\","
        "\"kind\":\"unsafe\",\"timeout-ms\":1500,\"target-latency-ms\":800,"
        "\"priority\":1,\"service\":\"%s\",\"attempts\":2}";
  char routes[2][400], text[2000];
  for (unsigned i = 0; i < 2; i++)
    snprintf (routes[i], sizeof routes[i], route, i ? "r-2" : "r-1",
              host >> 24, host >> 16 & 255, host >> 8 & 255, host & 255,
              i ? SHEETS : ORDERS, i ? "catalogue" : "order-desk");
  snprintf (text, sizeof text,
            "{\"version\":3,\"routes\":[%s,%s],\"services\":["
            "{\"name\":\"order-desk\",\"health-path\":\"/health\","
            "\"max-conns\":%d,\"protocol\":\"h1\",\"tls\":false},"
            "{\"name\":\"catalogue\",\"health-path\":\"/health\","
            "\"max-conns\":2000,\"protocol\":\"h1\",\"tls\":false}],"
            "\"limits\":{\"idle-timeout-ms\":15000}}",
            routes[0], routes[1], FLOWS);
  store_config (text);
}

int
main (void)
{
  world_start ();
  uint32_t host = loopback (0, 5, 1);
  for (unsigned i = 0; i < 2; i++)
    add_balancer ("itagui");
  put_configuration (host);
  full = add_server ("order-desk", "itagui", 2, FLOWS);
  start_server (full);
  for (unsigned i = 0; i < 3; i++)
    start_server (add_server ("catalogue", "itagui", 2, 2000));
  for (unsigned i = 0; i < 2; i++)
    {
      write_settings (&balancers[i]);
      start_balancer (&balancers[i]);
    }
  if (!run_until (all_ready, 10000))
    finish (2, "the balancers are not ready");
  run_for (1500);
  for (unsigned i = 0; i < OTHER_FLOWS; i++)
    others[i] = open_flow ("itagui", host, SHEETS);
  on_tick = send_others;
  for (unsigned i = 0; i < FLOWS; i++)
    {
      open_flows[i] = open_flow ("itagui", host, ORDERS);
      run_for (10);
    }
  run_for (500);
  for (unsigned i = 0; i < FLOWS; i++)
    {
      if (open_flows[i]->state != FLOW_OPEN)
        finish (2, "a flow did not open");
      send_request (open_flows[i], 5);
      run_for (15);
    }
  /* Nothing was impaired for longer than stability-window-ms by now.  */
  run_for (3000);
  note ("server %s holds %u flows of %u", full->id, count_flows (full), FLOWS);
  lose_datagram = lose_request;
  if (has_trouble)
    lossy_port = open_flows[0]->sport;
  send_request (open_flows[0], WORK_MS);
  for (unsigned i = 0; i < NEW_FLOWS; i++)
    new_flows[i] = open_flow ("itagui", host, ORDERS);
  run_for (4000);
  unsigned resets = 0;
  for (unsigned i = 0; i < FLOWS; i++)
    resets += open_flows[i]->end == END_SYSTEM_RESET;
  note ("the slow request is %s; server %s holds %u flows",
        open_flows[0]->answered > 1 ? "answered" : "not answered", full->id,
        count_flows (full));
  finish (resets ? 1 : 0,
          "FLOW: %u of the %u open flows of a live server were reset", resets,
          FLOWS);
}
