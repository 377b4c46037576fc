/* Three requests that take 1 s each reach a server together.  The network
   loses the first datagrams of two of them.  */

#include "review/standin-3/world.h"
#include <string.h>

enum
{
  FLOWS = 40, /* at the server, most of them idle */
  BURST = 3,  /* requests that are sent together */
  LOST = 2,   /* of these, first datagrams */
  OTHER_FLOWS = 12,
  WORK_MS = 1000,
  ORDERS = 8080,
  SHEETS = 8443
};

static struct server *desk;
static struct flow *open_flows[FLOWS], *others[OTHER_FLOWS];
static unsigned to_lose;
static double next_other;
static unsigned turn;

static bool
lose_request (struct server *s, const uint8_t *packet, size_t length)
{
  if (s != desk || length == HEADER || to_lose == 0)
    return false;
  to_lose--;
  note ("network: the request of port %u is lost, once", load16 (packet + 6));
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
            "\"max-conns\":2000,\"protocol\":\"h1\",\"tls\":false},"
            "{\"name\":\"catalogue\",\"health-path\":\"/health\","
            "\"max-conns\":2000,\"protocol\":\"h1\",\"tls\":false}],"
            "\"limits\":{\"idle-timeout-ms\":15000}}",
            routes[0], routes[1]);
  store_config (text);
}

int
main (void)
{
  world_start ();
  uint32_t host = loopback (0, 5, 1);
  /* Like the site's smallest data centre: one balancer.  */
  add_balancer ("bello");
  add_balancer ("itagui");
  put_configuration (host);
  desk = add_server ("order-desk", "bello", BURST, 2000);
  start_server (desk);
  for (unsigned i = 0; i < 3; i++)
    start_server (add_server ("catalogue", "bello", 2, 2000));
  for (unsigned i = 0; i < 2; i++)
    {
      write_settings (&balancers[i]);
      start_balancer (&balancers[i]);
    }
  if (!run_until (all_ready, 10000))
    finish (2, "the balancers are not ready");
  run_for (1500);
  for (unsigned i = 0; i < OTHER_FLOWS; i++)
    others[i] = open_flow ("bello", host, SHEETS);
  on_tick = send_others;
  for (unsigned i = 0; i < FLOWS; i++)
    {
      open_flows[i] = open_flow ("bello", host, ORDERS);
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
  note ("server %s holds %u flows", desk->id, count_flows (desk));
  lose_datagram = lose_request;
  if (has_trouble)
    to_lose = LOST;
  for (unsigned i = 0; i < BURST; i++)
    send_request (open_flows[i], WORK_MS);
  run_for (4000);
  unsigned resets = 0, unanswered = 0;
  for (unsigned i = 0; i < FLOWS; i++)
    resets += open_flows[i]->end == END_SYSTEM_RESET;
  for (unsigned i = 0; i < BURST; i++)
    unanswered += open_flows[i]->answered < 2;
  finish (resets ? 1 : 0,
          "FLOW: %u of the %u open flows of a live server were reset; %u of "
          "the %u requests were not answered",
          resets, FLOWS, unanswered, BURST);
}
