/* A small deployment on loopback addresses, for the cases of the third review:
   the users' store, their servers, clients and routers, all in this process,
   and balancers as child processes.  One thread, one poll loop.  */

#ifndef REVIEW3_WORLD_H
#define REVIEW3_WORLD_H

#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <sys/types.h>

enum
{
  BALANCERS_MAX = 8,
  SERVERS_MAX = 64,
  FLOWS_MAX = 1024,
  ITEMS_MAX = 4096,
  EVENTS_MAX = 65536,
  HEADER = 36,
  DATA_MAX = 1200,
  HEARTBEAT_MS = 1200,
  REQUEST_BYTES = 64
};

enum
{
  SYN = 16,
  ACK = 32,
  FIN = 2,
  RST = 8
};

struct balancer
{
  unsigned index;
  const char *zone;
  uint32_t address;
  pid_t pid; /* 0: not running */
  char settings[256];
  bool is_ready; /* in rotation */
  unsigned misses;
  int poll_fd; /* -1: no request of /ready in progress */
  double poll_due, poll_end;
};

struct server
{
  char id[32];
  uint64_t tag;
  char service[64];
  const char *zone;
  uint32_t address;
  uint16_t port;
  int fd; /* -1: not running */
  bool is_draining;
  bool is_listed; /* has an entry, as far as the server knows */
  bool heartbeats;
  unsigned slots, max_conns;
  unsigned connections; /* flows that it holds */
  int64_t born_ms;
  double next_heartbeat;
  unsigned long executed;
};

enum flow_state
{
  FLOW_FREE,
  FLOW_SYN_SENT,
  FLOW_OPEN,
  FLOW_ENDED
};

enum flow_end
{
  END_NONE,
  END_CLOSED,       /* by the client */
  END_SERVER_RESET, /* a reset that its server sent */
  END_SYSTEM_RESET, /* a reset of the balancers */
  END_NO_ANSWER     /* the handshake was not answered in 1.4 s */
};

/* A client's flow.  It has at most one request in progress, of one packet,
   which has a number; the answer is one packet.  */
struct flow
{
  enum flow_state state;
  enum flow_end end;
  uint32_t client; /* address */
  uint16_t sport;
  uint32_t host;
  uint16_t port; /* of the route */
  const char *zone;
  double started, opened, ended;
  uint32_t sequence, acknowledgement, echo;
  unsigned syns;
  uint64_t request; /* in progress; 0: none */
  uint8_t data[REQUEST_BYTES];
  double sent_at, due, wait;
  unsigned sends;
  double ack_due; /* of a delayed acknowledgement; 0: none */
  unsigned long answered;
  struct server *server; /* that opened it, as its answer says */
  double last_answer;
  int balancer; /* -1: by the routers' hash */
};

extern struct balancer balancers[BALANCERS_MAX];
extern unsigned balancer_count;
extern struct server servers[SERVERS_MAX];
extern unsigned server_count;
extern struct flow flows[FLOWS_MAX];
extern unsigned flow_count;
extern uint16_t packets_port;
extern bool has_trouble; /* TROUBLE is not 0 */
extern FILE *record;

double now_ms (void);
void note (const char *format, ...) __attribute__ ((format (printf, 1, 2)));

/* Ends all processes, writes the record and exits.  */
void finish (int status, const char *format, ...)
    __attribute__ ((format (printf, 2, 3), noreturn));

void world_start (void);
/* Runs the world for MS milliseconds.  */
void run_for (double ms);
/* Runs it until CONDITION or for MS.  Returns whether the condition holds.  */
bool run_until (bool (*condition) (void), double ms);

/* Balancers.  */
struct balancer *add_balancer (const char *zone);
void write_settings (struct balancer *b);
void start_balancer (struct balancer *b);
bool all_ready (void);

/* Store.  */
void store_put (const char *key, const char *text);
void store_delete (const char *key);
void store_config (const char *json);

/* Servers.  */
struct server *add_server (const char *service, const char *zone,
                           unsigned slots, unsigned max_conns);
void start_server (struct server *s);
void stop_server (struct server *s); /* as a crash */
void drain_server (struct server *s);
void end_server (struct server *s); /* leaves: stops and removes its entry */
void put_entry (struct server *s);
unsigned count_flows (const struct server *s);

/* Clients.  */
struct flow *open_flow (const char *zone, uint32_t host, uint16_t port);
/* Sends a request that the server works on for WORK_MS.  */
void send_request (struct flow *f, unsigned work_ms);
void close_flow (struct flow *f);
uint32_t loopback (unsigned a, unsigned b, unsigned c);

/* Called on each datagram to a server before it is handled; returns whether
   the network loses it.  NULL: none is lost.  */
extern bool (*lose_datagram) (struct server *s, const uint8_t *packet,
                              size_t length);
/* Called when a server begins to work on a request.  */
extern void (*on_executed) (struct server *s, uint64_t request);
/* Called when a server takes the first packet of a flow.  */
extern void (*on_opening) (struct server *s, uint32_t client, uint16_t sport);
extern void (*on_tick) (void);

uint32_t load32 (const uint8_t *p);
uint16_t load16 (const uint8_t *p);

#endif
