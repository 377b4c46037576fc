/* Soak test of real balancer processes.  This program is the fabric, the
   store, the backend servers and the callers, all on loopback addresses.  It
   starts balancers as child processes, injects faults (signals, failures of
   the store, of servers and of links between balancers), and checks from
   outside that the balancers keep their guarantees.

   Equal seeds give equal schedules of faults; the timing of the processes
   differs.  */

#ifndef BB_SOAK_SOAK_H
#define BB_SOAK_SOAK_H

#include "core/core.h"
#include "platform/platform.h"
#include <event2/event.h>
#include <sys/types.h>

enum
{
  SOAK_DATA_CENTRES = 3,
  SOAK_SERVICES = 2,
  SOAK_BALANCERS_MAX = 300,
  SOAK_SERVERS_MAX = 512,
  SOAK_CALLERS_MAX = 512,
  SOAK_HEADER_SIZE = BB_PLATFORM_HEADER_SIZE,
  SOAK_PACKET_MAX = 256,        /* bytes */
  SOAK_FIRST_PORT = 443,        /* of the first service; next ones follow */
  SOAK_LINK_SEEDS = 1000,       /* lowest seed with link faults */
  SOAK_ERA_SEEDS = 2000,        /* lowest seed with returns of the store */
  SOAK_EVACUATION_SEEDS = 4000, /* lowest seed with evacuations */
  SOAK_SLOW_SEEDS = 6000, /* lowest seed with a service of slow requests */
  SOAK_SLOW_SERVICE = 1,
  SOAK_REQUEST_SIZE = 16, /* bytes */
  SOAK_PROBE_PORT = 900,  /* of the route that is added and removed */
};

/* Time until a new configuration must be in force, until a draining server
   must get no new flows, and from the end of a fault until all guarantees hold
   again.  Bounds of the users' settings plus a margin for a busy machine.  */
#define SOAK_MARGIN (700 * BB_MSEC)
#define SOAK_CONFIG_BOUND (3000 * BB_MSEC + SOAK_MARGIN)
#define SOAK_DRAIN_BOUND (3000 * BB_MSEC + SOAK_MARGIN)
#define SOAK_EVACUATION_BOUND (5000 * BB_MSEC + SOAK_MARGIN)
#define SOAK_SETTLE_TIME (4000 * BB_MSEC + SOAK_MARGIN)

/* Time after which the entry of a server that stopped expires.  */
#define SOAK_EXPIRY (3600 * BB_MSEC)

enum soak_store_mode
{
  SOAK_STORE_SERVES,
  SOAK_STORE_REFUSES, /* answers with an error */
  SOAK_STORE_SILENT,  /* does not answer */
  SOAK_STORE_RESETS,  /* closes the connection */
  SOAK_STORE_MODES
};

struct soak_balancer
{
  unsigned index, data_centre;
  struct bb_endpoint packets, ready; /* addresses that it listens on */
  pid_t pid;                         /* 0: not running */
  bb_usec start_at;  /* when to start it if it is not running */
  bool stopped;      /* by SIGSTOP */
  bb_usec resume_at; /* when to resume it if it is stopped */
  bb_usec last_fault_end;
  bb_usec isolated_until; /* servers ignore its packets */
  unsigned failed_polls;  /* consecutive */
  struct bb_fetch *poll;  /* of /ready; NULL: none in progress */
  bb_usec last_polled;
  enum soak_store_mode store; /* how the store answers this balancer */
  bb_usec store_until;        /* end of a mode that is a fault */
};

struct soak_server
{
  char id[24];
  uint64_t tag; /* in the header of packets to this server */
  unsigned service, data_centre;
  struct bb_endpoint address;
  int fd;                 /* -1: stopped */
  struct event *readable; /* of FD */
  GHashTable *flows; /* struct soak_flow by the caller's address and port */
  int64_t born_ms;   /* wall clock, in its entry in the store */
  bool listed;       /* has an entry in the store */
  bool draining;
  bb_usec drained_at;     /* when the store received that state */
  bb_usec exit_at;        /* when it stops; 0: never */
  bb_usec expire_at;      /* when its entry in the store expires; 0: never */
  bb_usec rewrite_at;     /* when it writes its lost entry; 0: never */
  bb_usec last_fault_end; /* packets are ignored until then */
};

struct soak_cluster
{
  struct event_base *loop;
  GRand *random; /* schedule of faults */
  uint32_t seed;
  uint16_t port; /* first of the ports of this seed */
  bb_usec started, now, faults_end, end;
  struct soak_balancer balancers[SOAK_BALANCERS_MAX];
  unsigned balancer_count;
  struct soak_server servers[SOAK_SERVERS_MAX];
  unsigned server_count;
  unsigned caller_count;
  const char *program;
  char *directory;   /* settings and logs of the balancers */
  const char *plant; /* fault to plant, or NULL */
  /* The route that is added and removed.  */
  bool probe_listed;
  /* The data centre that is evacuated, at most one at a time.  */
  unsigned evacuated;
  bb_usec evacuated_at;         /* 0: none is */
  bb_usec probe_changed;        /* when it was last added or removed */
  bb_usec last_store_fault_end; /* of the last one for all balancers */
  /* Late: more than SOAK_SETTLE_TIME after the end of the faults.  */
  uint64_t requests_sent, requests_answered, late_requests, late_answers,
      violations;
};

extern struct soak_cluster cluster;

/* Counts and prints a violation of GUARANTEE.  */
void soak_violation (const char *guarantee, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* packet.c */
int soak_open_socket (const struct bb_endpoint *endpoint);
void soak_send_datagram (int fd, const struct bb_endpoint *to,
                         const uint8_t *bytes, size_t length);

/* Returns the checksum that a packet should have.  */
uint32_t soak_checksum (const uint8_t *packet, size_t length);

/* Encodes a packet with its checksum; returns its length.  */
size_t soak_encode_packet (uint8_t *bytes, const struct bb_packet *p,
                           uint32_t cookie, const void *data);

/* platform/standins/store.c */
void soak_store_start (void);
void soak_store_put_server (struct soak_server *s);
void soak_store_remove_server (struct soak_server *s);
void soak_store_publish_routes (void);

/* Writes or removes the operator's request of cluster.evacuated.  */
void soak_store_put_evacuation (void);
void soak_store_drop_history (void);

/* Goes back to a copy some seconds old, in a new era.  The servers and the
   operator write again what was lost, within 2 s.  */
void soak_store_return (void);
void soak_store_tick (void);

/* servers.c */

/* Starts a server and adds it to the store, at the address of REUSE unless
   that is NULL.  */
struct soak_server *soak_server_start (unsigned service, unsigned data_centre,
                                       const struct soak_server *reuse);

/* Marks the server as draining in the store; it stops 5 to 8 s later.  */
void soak_server_drain (struct soak_server *s);

/* Stops the server at once; its entry in the store expires 3.6 s later.  */
void soak_server_crash (struct soak_server *s);
void soak_servers_tick (void);
struct soak_server *soak_find_server (uint64_t tag);

/* Returns whether S must keep its flows: it is up, not draining, and its last
   fault ended more than SOAK_SETTLE_TIME ago.  */
bool soak_server_is_stable (const struct soak_server *s);
/* Whether requests to SERVICE take longer than callers wait before they
   retransmit.  */
bool soak_service_is_slow (unsigned service);

/* callers.c */
void soak_callers_start (void);
void soak_callers_tick (void);

/* balancers.c */
void soak_balancers_start (void);
void soak_balancers_tick (void);
void soak_balancers_stop (void);

/* Returns the balancer that the fabric sends a flow with HASH to.  */
struct soak_balancer *soak_choose_balancer (unsigned data_centre,
                                            uint64_t hash);
struct soak_balancer *soak_find_balancer (uint32_t address);

/* Returns whether B must keep its guarantees: it runs, the store answers it,
   and its last fault ended more than SOAK_SETTLE_TIME ago.  */
bool soak_balancer_is_stable (const struct soak_balancer *b);
void soak_balancer_signal (struct soak_balancer *b, int number);

/* links.c */

/* Returns whether a fault applies to datagrams from FROM to TO.  */
typedef bool (*soak_link_filter) (const struct soak_balancer *from,
                                  const struct soak_balancer *to);

void soak_links_start (void);
void soak_links_tick (void);
void soak_links_drop (soak_link_filter filter, bb_usec until);

/* Until UNTIL, delay datagrams from BALANCER by TIME, or send a second copy of
   each after 30 ms.  */
void soak_links_delay (unsigned balancer, bb_usec time, bb_usec until);
void soak_links_duplicate (unsigned balancer, bb_usec until);

/* Returns the address of the proxy that other balancers use for BALANCER.  */
struct bb_endpoint soak_link_address (unsigned balancer);

/* faults.c, link_faults.c */
void soak_faults_tick (void);
void soak_link_faults_tick (void);
#endif
