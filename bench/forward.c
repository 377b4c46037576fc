#define _GNU_SOURCE /* for processor affinity */

/* Measures the packets per second of the data path relative to a plain
   recvmmsg/sendmmsg relay.  The two alternate in one run, because other load
   on the machine changes from second to second.  */

#include "bench/common_engine.h"
#include "bench/common_traffic.h"
#include "runtime/data.h"
#include "runtime/process_private.h"
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <unistd.h>

enum
{
  ROUNDS = 61,
  WARM_UP_MS = 30,
  ROUND_MS = 100,
  SERVERS = 14,
  CAPACITY = 300000,
};

/* The data path of runtime/data.c in a balancer without peers.  */
struct datapath
{
  struct bb_settings settings;
  struct bb_process process;
  struct bench_engine *engine;
  struct event *timer;
  _Atomic bool should_stop;
};

struct bench
{
  uint64_t offered; /* packets of all rounds */
  uint64_t forwarded;
  struct traffic_generator generator;
  struct traffic_sink sink;
  struct traffic_relay relay;
  struct datapath datapath;
  struct sockaddr_in relay_address;
  struct sockaddr_in datapath_address;
  struct sockaddr_in sink_address;
};

/* Starts RUN on processor CPU_INDEX of those that the process may use.  When
   the scheduler chose the processors, the rates of two equal relays differed
   by up to 7 %.  */
static pthread_t
start_thread (void *(*run) (void *), void *argument, int cpu_index)
{
  cpu_set_t allowed, one;
  pthread_attr_t attributes;
  pthread_t thread;
  sched_getaffinity (0, sizeof allowed, &allowed);
  cpu_index %= CPU_COUNT (&allowed);
  int cpu = 0;
  while (!CPU_ISSET (cpu, &allowed) || cpu_index-- > 0)
    cpu++;
  CPU_ZERO (&one);
  CPU_SET (cpu, &one);
  pthread_attr_init (&attributes);
  pthread_attr_setaffinity_np (&attributes, sizeof one, &one);
  if (pthread_create (&thread, &attributes, run, argument))
    g_error ("cannot start a thread pinned to one processor");
  pthread_attr_destroy (&attributes);
  return thread;
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd, (void)what;
  struct datapath *d = context;
  d->process.last_tick = bb_clock_boot ();
  bb_engine_tick (d->process.engine, d->process.last_tick);
  if (d->should_stop)
    event_base_loopbreak (d->process.loop);
}

static void *
run_datapath (void *datapath)
{
  struct datapath *d = datapath;
  event_base_dispatch (d->process.loop);
  return NULL;
}

/* Opens the data path with all backend servers at TO.  */
static void
open_datapath (struct datapath *d, struct sockaddr_in *address,
               const struct sockaddr_in *to)
{
  struct bb_fleet *f = bench_make_fleet (1, SERVERS, BB_POLICY_EVEN);
  for (size_t i = 0; i < SERVERS; i++)
    f->services[0].servers[i].gue
        = (struct bb_endpoint){ ntohl (to->sin_addr.s_addr),
                                ntohs (to->sin_port) };
  d->engine = bench_start_engine (f, 0, CAPACITY,
                                  bb_clock_boot () - BENCH_START_LIMIT);
  bb_fleet_free (f);
  /* The kernel chooses a free port here; bb_data_new then binds that port.  */
  close (traffic_open_socket (address));
  d->settings.self.data
      = (struct bb_endpoint){ INADDR_LOOPBACK, ntohs (address->sin_port) };
  d->process.settings = &d->settings;
  d->process.engine = d->engine->e;
  d->process.loop = event_base_new ();
  d->process.data = bb_data_new (&d->process, NULL);
  if (!d->process.data)
    g_error ("the data path cannot bind its port");
  struct timeval tick = { .tv_usec = 50000 };
  d->timer = event_new (d->process.loop, -1, EV_PERSIST, on_timer, d);
  event_add (d->timer, &tick);
  on_timer (-1, 0, d);
}

static void
close_datapath (struct datapath *d)
{
  event_free (d->timer);
  bb_data_free (d->process.data);
  event_base_free (d->process.loop);
  bench_stop_engine (d->engine);
}

static double
measure_rate (struct bench *b, const struct sockaddr_in *path)
{
  while (!b->generator.is_idle)
    g_usleep (1000);
  b->generator.to = *path;
  b->generator.is_running = true;
  g_usleep (1000L * WARM_UP_MS);
  uint64_t packets = b->sink.packets, offered = b->generator.packets;
  double start = bench_clock_wall ();
  g_usleep (1000L * ROUND_MS);
  packets = b->sink.packets - packets;
  b->offered += b->generator.packets - offered;
  b->forwarded += packets;
  double seconds = bench_clock_wall () - start;
  b->generator.is_running = false;
  /* Packets left in the receive buffers must not count in the next
     measurement.  */
  g_usleep (1000L * WARM_UP_MS);
  return (double)packets / seconds;
}

static void
open_sockets (struct bench *b)
{
  struct sockaddr_in unused;
  b->generator.fd = traffic_open_socket (&unused);
  b->generator.service = (struct bb_endpoint){ 0xc0000200, 443 };
  b->sink.fd = traffic_open_socket (&b->sink_address);
  b->relay.fd = traffic_open_socket (&b->relay_address);
  b->relay.to = b->sink_address;
  open_datapath (&b->datapath, &b->datapath_address, &b->sink_address);
}

static bool
measure_forward_ratio (struct bench *b)
{
  static const struct bench_target target
      = { "forward_ratio", "ratio", ">=", 0.9 };
  double ratios[ROUNDS], relay_rates[ROUNDS], datapath_rates[ROUNDS];
  for (int i = 0; i < ROUNDS; i++)
    {
      relay_rates[i] = measure_rate (b, &b->relay_address);
      datapath_rates[i] = measure_rate (b, &b->datapath_address);
      ratios[i] = datapath_rates[i] / relay_rates[i];
    }
  printf ("note relay %.0f packets/s, data path %.0f packets/s\n",
          bench_median (relay_rates, ROUNDS),
          bench_median (datapath_rates, ROUNDS));
  /* The offered load must exceed the capacity of the relay and of the data
     path; otherwise the rates show only the offered load.  */
  printf ("note offered load %.2f of the packets forwarded\n",
          (double)b->offered / (double)b->forwarded);
  return bench_print_measure (&target, bench_median (ratios, ROUNDS));
}

int
main (void)
{
  struct bench *b = g_new0 (struct bench, 1);
  pthread_t threads[4];
  open_sockets (b);
  threads[0] = start_thread (traffic_run_sink, &b->sink, 6);
  threads[1] = start_thread (traffic_run_relay, &b->relay, 2);
  threads[2] = start_thread (run_datapath, &b->datapath, 2);
  threads[3] = start_thread (traffic_run_generator, &b->generator, 4);
  bool met = measure_forward_ratio (b);
  b->generator.should_stop = b->sink.should_stop = b->relay.should_stop
      = b->datapath.should_stop = true;
  for (int i = 0; i < 4; i++)
    pthread_join (threads[i], NULL);
  close_datapath (&b->datapath);
  g_free (b);
  return met ? EXIT_SUCCESS : EXIT_FAILURE;
}
