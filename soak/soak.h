/* A soak of real balancers: this program plays the fabric, the store, servers
   and callers on loopback, starts balancers as processes, hurts them with
   signals and bad networks, and checks from outside what is promised.

   Equal seeds give equal schedules of faults; the timing of processes
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
  SOAK_PACKET_MAX = 256,
  SOAK_FIRST_PORT = 443,  /* of the routes: one port a service */
  SOAK_LINK_SEEDS = 1000, /* from this seed on links are harmed too */
  SOAK_PROBE_PORT = 900,  /* of the routes that come and go */
};

/* Bounds of the users' settings, and a margin for a busy machine.  */
#define SOAK_MARGIN (700 * BB_MSEC)
#define SOAK_CONFIG_BOUND (3000 * BB_MSEC + SOAK_MARGIN)
#define SOAK_DRAIN_BOUND (3000 * BB_MSEC + SOAK_MARGIN)
#define SOAK_CALM (4000 * BB_MSEC + SOAK_MARGIN)

enum soak_store_mode
{
  SOAK_STORE_SERVES,
  SOAK_STORE_REFUSES,
  SOAK_STORE_SILENT,
  SOAK_STORE_RESETS,
  SOAK_STORE_MODES
};

struct soak_balancer
{
  unsigned index, data_centre;
  struct bb_endpoint packets, ready;
  pid_t pid; /* 0: not running */
  bb_usec start_at;
  bool stopped;           /* by SIGSTOP */
  bb_usec resume_at;      /* 0: not stopped */
  bb_usec last_fault_end; /* when the last one ended */
  bb_usec isolated_until; /* servers ignore it */
  unsigned failed_polls;
  struct bb_fetch *poll;
  bb_usec last_polled;
  enum soak_store_mode store;
  bb_usec store_until;
};

struct soak_server
{
  char id[24];
  uint64_t tag;
  unsigned service, data_centre;
  struct bb_endpoint address;
  int fd; /* -1: ended */
  struct event *readable;
  GHashTable *flows; /* caller's address and port to struct soak_flow */
  int64_t born_ms;
  bool listed, draining;
  bb_usec drained_at;     /* when the store took it */
  bb_usec exit_at;        /* 0: stays */
  bb_usec expire_at;      /* when its entry goes; 0: stays */
  bb_usec last_fault_end; /* end of the last pause */
};

struct soak_world
{
  struct event_base *loop;
  GRand *random; /* of the schedule */
  uint32_t seed;
  uint16_t port;
  bb_usec started, now, faults_end, end;
  struct soak_balancer balancers[SOAK_BALANCERS_MAX];
  unsigned balancer_count;
  struct soak_server servers[SOAK_SERVERS_MAX];
  unsigned server_count;
  unsigned caller_count;
  const char *program;
  char *directory; /* of settings and logs */
  const char *plant;
  /* routes that come and go */
  bool probe_listed;
  bb_usec probe_changed;
  bb_usec store_trouble; /* when the last one of all balancers ended */
  uint64_t asked, answered, late_asked, late_answered, violations;
};

extern struct soak_world world;

/* Counts and prints a broken promise.  */
void soak_violation (const char *promise, const char *format, ...)
    G_GNUC_PRINTF (2, 3);

/* packet.c */
int soak_open_socket (const struct bb_endpoint *endpoint);
void soak_send_datagram (int fd, const struct bb_endpoint *to,
                         const uint8_t *bytes, size_t length);
uint32_t soak_checksum (const uint8_t *packet, size_t length);

/* Writes a packet and its checksum; returns its length.  */
size_t soak_encode_packet (uint8_t *bytes, const struct bb_packet *p,
                           uint32_t mark, const void *data);

/* platform/standins/store.c */
void soak_store_start (void);
void soak_store_put_server (struct soak_server *s);
void soak_store_remove_server (struct soak_server *s);
void soak_store_publish_routes (void);
void soak_store_drop_history (void);
void soak_store_tick (void);

/* servers.c */
struct soak_server *soak_server_start (unsigned service, unsigned data_centre,
                                       const struct soak_server *reuse);
void soak_server_drain (struct soak_server *s);
void soak_server_crash (struct soak_server *s);
void soak_servers_tick (void);
struct soak_server *soak_find_server (uint64_t tag);
bool soak_server_is_stable (const struct soak_server *s);

/* callers.c */
void soak_callers_start (void);
void soak_callers_tick (void);

/* balancers.c */
void soak_balancers_start (void);
void soak_balancers_tick (void);
void soak_balancers_stop (void);
struct soak_balancer *soak_choose_balancer (unsigned data_centre,
                                            uint64_t hash);
struct soak_balancer *soak_find_balancer (uint32_t address);
bool soak_balancer_is_stable (const struct soak_balancer *b);
void soak_balancer_signal (struct soak_balancer *b, int number);

/* links.c */

/* Whether datagrams from FROM to TO are meant.  */
typedef bool (*soak_link_filter) (const struct soak_balancer *from,
                                  const struct soak_balancer *to);

void soak_links_start (void);
void soak_links_tick (void);
void soak_links_drop (soak_link_filter filter, bb_usec until);

/* Datagrams from BALANCER take TIME longer, or come twice.  */
void soak_links_delay (unsigned balancer, bb_usec time, bb_usec until);
void soak_links_duplicate (unsigned balancer, bb_usec until);

/* Where the others reach BALANCER.  */
struct bb_endpoint soak_link_address (unsigned balancer);

/* faults.c, link_faults.c */
void soak_faults_tick (void);
void soak_link_faults_tick (void);
#endif
