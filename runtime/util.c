#include "runtime/util.h"
#include <arpa/inet.h>
#include <stdio.h>
#include <string.h>
#include <time.h>

static int64_t
read_clock (clockid_t id)
{
  struct timespec ts;
  clock_gettime (id, &ts);
  return (int64_t)ts.tv_sec * BB_SEC + ts.tv_nsec / 1000;
}

bb_usec
bb_clock_boot (void)
{
  return read_clock (CLOCK_BOOTTIME);
}

int64_t
bb_clock_wall (void)
{
  return read_clock (CLOCK_REALTIME);
}

struct timeval
bb_clock_timeval (bb_usec interval)
{
  return (struct timeval){ .tv_sec = interval / BB_SEC,
                           .tv_usec = interval % BB_SEC };
}

bb_usec
bb_clock_jitter (GRand *random, bb_usec interval, unsigned percent)
{
  double share = g_rand_double (random) * percent / 100;
  return interval - (bb_usec)((double)interval * share);
}

const char *
bb_address_to_text (char text[BB_ENDPOINT_TEXT_SIZE], uint32_t address)
{
  struct in_addr in = { .s_addr = htonl (address) };
  inet_ntop (AF_INET, &in, text, BB_ENDPOINT_TEXT_SIZE);
  return text;
}

const char *
bb_endpoint_to_text (char text[BB_ENDPOINT_TEXT_SIZE],
                     const struct bb_endpoint *endpoint)
{
  bb_address_to_text (text, endpoint->address);
  size_t used = strlen (text);
  g_snprintf (text + used, BB_ENDPOINT_TEXT_SIZE - used, ":%u",
              endpoint->port);
  return text;
}

bool
bb_endpoint_parse (const char *text, struct bb_endpoint *endpoint)
{
  char address[BB_ENDPOINT_TEXT_SIZE];
  const char *colon = strrchr (text, ':');
  if (!colon || (size_t)(colon - text) >= sizeof address)
    return false;
  memcpy (address, text, (size_t)(colon - text));
  address[colon - text] = 0;
  struct in_addr in;
  guint64 port;
  if (inet_pton (AF_INET, address, &in) != 1
      || !g_ascii_string_to_unsigned (colon + 1, 10, 1, UINT16_MAX, &port,
                                      NULL))
    return false;
  endpoint->address = ntohl (in.s_addr);
  endpoint->port = (uint16_t)port;
  return true;
}
