#include "bench/common.h"
#include "wire/wire.h"
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

bool
bench_print_measure (const struct bench_target *t, double value)
{
  bool met = t->op[0] == '>' ? value >= t->bound : value <= t->bound;
  printf ("measure %s %.4g %s target %s %g %s\n", t->name, value, t->unit,
          t->op, t->bound, met ? "pass" : "fail");
  return met;
}

static double
read_clock (clockid_t id)
{
  struct timespec ts;
  clock_gettime (id, &ts);
  return (double)ts.tv_sec + (double)ts.tv_nsec / 1e9;
}

double
bench_clock_wall (void)
{
  return read_clock (CLOCK_MONOTONIC);
}

double
bench_clock_thread (void)
{
  return read_clock (CLOCK_THREAD_CPUTIME_ID);
}

static int
compare_doubles (const void *a, const void *b)
{
  double x = *(const double *)a, y = *(const double *)b;
  return (x > y) - (x < y);
}

double
bench_median (double *values, size_t count)
{
  qsort (values, count, sizeof *values, compare_doubles);
  return (values[(count - 1) / 2] + values[count / 2]) / 2;
}

static void
put16 (uint8_t *p, uint32_t v)
{
  p[0] = (uint8_t)(v >> 8);
  p[1] = (uint8_t)v;
}

static void
put32 (uint8_t *p, uint32_t v)
{
  put16 (p, v >> 16);
  put16 (p + 2, v);
}

size_t
bench_write_packet (uint8_t *data, uint32_t flow,
                    const struct bb_endpoint *service,
                    const struct bb_handover *handover, uint8_t tcp_flags,
                    uint16_t payload)
{
  memset (data, 0, BENCH_PACKET_MAX);
  uint8_t *ip = data + bb_gue_encode (data, handover);
  uint8_t *tcp = ip + 20;
  ip[0] = 0x45;
  put16 (ip + 2, 40U + payload);
  ip[8] = 64;
  ip[9] = IPPROTO_TCP;
  put32 (ip + 12, 0x0a000000 + flow / 60000);
  put32 (ip + 16, service->address);
  put16 (tcp, 1024 + flow % 60000);
  put16 (tcp + 2, service->port);
  put32 (tcp + 4, flow);
  tcp[12] = 5 << 4;
  tcp[13] = tcp_flags;
  return (size_t)(tcp + 20 + payload - data);
}

static bool
is_prime (uint32_t n)
{
  for (uint32_t d = 2; d * d <= n; d++)
    if (n % d == 0)
      return false;
  return true;
}

uint32_t
bench_bucket_count (size_t count)
{
  uint32_t n = (uint32_t)MAX (2039, 128 * count);
  while (!is_prime (n))
    n++;
  return n;
}

static struct bb_server *
make_servers (const char *service, size_t service_number, size_t count)
{
  struct bb_server *servers = g_new0 (struct bb_server, count);
  for (size_t i = 0; i < count; i++)
    {
      struct bb_server *s = &servers[i];
      g_snprintf (s->name, sizeof s->name, "server-%zu", i);
      s->key = bb_server_key (service, s->name);
      s->gue.address = (uint32_t)(0x0b000000 + service_number * count + i);
      s->gue.port = 6080;
      s->weight = 100;
      s->slots = 2;
    }
  return servers;
}

struct bb_fleet *
bench_make_fleet (size_t services, size_t servers, enum bb_policy_kind policy)
{
  struct bb_fleet *f = g_new0 (struct bb_fleet, 1);
  f->base_version = 1;
  f->overlay_version = 1;
  f->hash_seed = 1;
  g_strlcpy (f->data_centre, "dc-1", sizeof f->data_centre);
  f->services = g_new0 (struct bb_service, services);
  f->service_count = services;
  for (size_t i = 0; i < services; i++)
    {
      struct bb_service *s = &f->services[i];
      g_snprintf (s->name, sizeof s->name, "service-%zu", i);
      s->key = bb_name_key (s->name);
      s->address.address = (uint32_t)(0xc0000200 + i);
      s->address.port = 443;
      s->protocol = IPPROTO_TCP;
      s->policy = policy;
      s->spill_permille
          = policy == BB_POLICY_EVEN ? BB_SPILL_PERMILLE_DEFAULT : 0;
      s->buckets = bench_bucket_count (servers);
      s->ramp_ms = 30000;
      s->idle_s = 86400;
      s->silent_ms = 8000;
      s->servers = make_servers (s->name, i, servers);
      s->server_count = servers;
    }
  return f;
}
