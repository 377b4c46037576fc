#define _GNU_SOURCE /* processor affinity */

/* Packets per second of the data path (for now a second relay) over those of a
   plain recvmmsg/sendmmsg relay.  The two take turns in one run, because other
   load on the machine changes from one second to the next.  */

#include "bench/common.h"
#include "bench/common_traffic.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  ROUNDS = 61,
  WARM_MS = 20,
  ROUND_MS = 100,
};

struct bench
{
  struct traffic_generator generator;
  struct traffic_sink sink;
  struct traffic_relay relay;
  struct traffic_relay datapath;
  struct sockaddr_in relay_address;
  struct sockaddr_in datapath_address;
  struct sockaddr_in sink_address;
};

/* Starts RUN on the processor number PLACE of those that the process may use.
   Left to the scheduler, two equal relays differed by up to 7 %.  */
static pthread_t
start_thread (void *(*run) (void *), void *argument, int place)
{
  cpu_set_t allowed, one;
  pthread_attr_t attributes;
  pthread_t thread;
  sched_getaffinity (0, sizeof allowed, &allowed);
  place %= CPU_COUNT (&allowed);
  int cpu = 0;
  while (!CPU_ISSET (cpu, &allowed) || place-- > 0)
    cpu++;
  CPU_ZERO (&one);
  CPU_SET (cpu, &one);
  pthread_attr_init (&attributes);
  pthread_attr_setaffinity_np (&attributes, sizeof one, &one);
  if (pthread_create (&thread, &attributes, run, argument))
    g_error ("cannot start a thread");
  pthread_attr_destroy (&attributes);
  return thread;
}

static double
measure_rate (struct bench *b, const struct sockaddr_in *through)
{
  while (!b->generator.idle)
    g_usleep (1000);
  b->generator.to = *through;
  b->generator.running = true;
  g_usleep (1000L * WARM_MS);
  uint64_t packets = b->sink.packets;
  double start = bench_clock_wall ();
  g_usleep (1000L * ROUND_MS);
  packets = b->sink.packets - packets;
  double seconds = bench_clock_wall () - start;
  b->generator.running = false;
  /* What still waits in the receive buffers must not count for the other.  */
  g_usleep (1000L * WARM_MS);
  return (double)packets / seconds;
}

int
main (void)
{
  struct bench *b = g_new0 (struct bench, 1);
  struct sockaddr_in unused;
  b->generator.fd = traffic_open_socket (&unused);
  b->sink.fd = traffic_open_socket (&b->sink_address);
  b->relay.fd = traffic_open_socket (&b->relay_address);
  b->datapath.fd = traffic_open_socket (&b->datapath_address);
  b->relay.to = b->datapath.to = b->sink_address;
  b->generator.service = (struct bb_endpoint){ 0xc0000200, 443 };
  pthread_t threads[4];
  threads[0] = start_thread (traffic_run_sink, &b->sink, 6);
  threads[1] = start_thread (traffic_run_relay, &b->relay, 2);
  threads[2] = start_thread (traffic_run_relay, &b->datapath, 2);
  threads[3] = start_thread (traffic_run_generator, &b->generator, 4);
  double ratios[ROUNDS], plain[ROUNDS], real[ROUNDS];
  for (int i = 0; i < ROUNDS; i++)
    {
      plain[i] = measure_rate (b, &b->relay_address);
      real[i] = measure_rate (b, &b->datapath_address);
      ratios[i] = real[i] / plain[i];
    }
  printf ("relay %.0f packets/s, data path %.0f packets/s\n",
          bench_find_median (plain, ROUNDS), bench_find_median (real, ROUNDS));
  static const struct bench_target target
      = { "relay_self_ratio", "ratio", ">=", 0.9 };
  bool met = bench_print_measure (&target, bench_find_median (ratios, ROUNDS));
  b->generator.stop = b->sink.stop = b->relay.stop = b->datapath.stop = true;
  for (int i = 0; i < 4; i++)
    pthread_join (threads[i], NULL);
  g_free (b);
  return met ? EXIT_SUCCESS : EXIT_FAILURE;
}
