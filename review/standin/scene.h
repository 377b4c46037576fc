/* Stand-ins for the users' platform around real balancer processes: the
   fabric, the store, the servers, the callers and the operator, all on
   loopback and with the real clock.  A scene is a schedule of changes and
   disruptions with one rule that is checked from outside.  */

#ifndef REVIEW_SCENE_H
#define REVIEW_SCENE_H

#include <event2/event.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>
#include <sys/types.h>

enum
{
  NODES = 6,
  ZONES = 3,
  ROUTES_MAX = 160,
  SERVERS_MAX = 96,
  HOSTS = 12, /* machines of callers, four in each zone */
  FLOWS_MAX = 600,
  HEADER = 36,
  DATA_MAX = 1200,
  RESET_WINDOW = 76800, /* of a reset's seq around the caller's last ack */
};

typedef int64_t usec;
#define MS ((usec)1000)
#define SEC ((usec)1000000)

/* Bounds of the users' page for a small deployment.  */
#define STABILITY (4000 * MS)
#define CONFIG_BOUND (3000 * MS)
#define DRAIN_BOUND (3000 * MS)
#define HEARTBEAT (1200 * MS)
#define FLOW_LIFETIME (60 * SEC)

/* A balancer.  */
struct node
{
  char name[32];
  unsigned index, zone;
  uint32_t address;
  pid_t pid;
  usec start_at; /* restart after an end; 0: none planned */
  usec last_impairment;
  bool frozen;
  bool stopping; /* SIGTERM was sent */
  unsigned misses;
  usec polled;
  bool polling;
  usec store_called; /* last call to the store */
  /* One more datagram to this balancer is lost: the last part of a whole state
     that takes several datagrams.  */
  bool loses;
};

enum server_state
{
  READY,
  DRAINING,
  LEFT
};

struct server
{
  char id[24];
  uint64_t tag;
  unsigned index, zone;
  const char *service;
  uint32_t address;
  int fd;
  struct event *readable;
  enum server_state state;
  usec drained, exit_at, expire_at, next_beat;
  unsigned beats;
  int64_t born_ms;
  GHashTable *flows;
};

struct route
{
  char name[16];
  uint32_t host;
  uint16_t port;
  const char *service;
  const char *kind;
  bool listed;
  usec changed;
};

enum flow_kind
{
  FRESH, /* one request for each flow */
  LONG,  /* many requests, with pauses */
  PROBE  /* sent to one balancer */
};

enum flow_state
{
  IDLE,
  OPENING,
  OPEN,
  WAITING
};

struct flow
{
  enum flow_kind kind;
  enum flow_state state;
  unsigned host, route, copies;
  unsigned left; /* requests until the flow is closed */
  int node;      /* of a probe; -1: by the fabric */
  int last_node;
  uint16_t port;
  uint32_t isn, seq, ack, echo, server_seq;
  usec opened, started, next, retry, deadline, pause;
  uint64_t id;
  struct server *server; /* that holds the flow, by the answers */
};

struct scene
{
  const char *name;
  const char *rule;
  unsigned idle_routes;
  void (*prepare) (void);
  void (*step) (double t);
  /* Balancer FROM reset an open flow.  Its sequence number is OFFSET away from
     the last acknowledgement of the caller.  */
  void (*reset) (struct flow *f, const struct node *from, int64_t offset);
  void (*executed) (struct server *s, const struct route *r, uint64_t id);
  void (*opened) (struct flow *f);
  /* Balancer FROM refused to open a flow.  */
  void (*refused) (struct flow *f, const struct node *from);
  double length;
};

extern const struct scene scenes[];
extern const struct scene *scene; /* that is played */
extern struct event_base *loop;
extern struct node nodes[NODES];
extern struct server servers[SERVERS_MAX];
extern unsigned server_count;
extern struct route routes[ROUTES_MAX];
extern unsigned route_count;
extern struct flow flows[FLOWS_MAX];
extern unsigned flow_count;
extern GRand *chance;
extern usec now;
extern bool trouble;
extern usec last_store_impairment;
extern const char *service_names[2];

/* Writes a line to the record.  */
void note (const char *format, ...) G_GNUC_PRINTF (1, 2);

/* Records that the rule was broken.  */
void broken (const char *format, ...) G_GNUC_PRINTF (1, 2);
double seconds (void);

/* main.c */
uint16_t port_of (unsigned purpose);
int open_socket (uint32_t address, uint16_t port);
void send_datagram (int fd, uint32_t address, uint16_t port, const void *bytes,
                    size_t length);

/* nodes.c */
extern bool stale_seeds; /* one seed and two addresses without a balancer */
void nodes_prepare (void);
void nodes_tick (void);
void nodes_stop (void);
void node_signal (struct node *n, int number);
struct node *node_choose (unsigned zone, uint64_t hash);
bool node_in_touch (const struct node *n);
struct node *node_at (uint32_t address);

/* store.c */
void store_prepare (void);
void store_tick (void);
void store_write (const char *key, const char *text);
void store_delete (const char *key);
const char *store_read (const char *key);
void store_drop_history (void);

/* For TIME, watches hear nothing; then the history is discarded.  */
void store_compact (usec time);
extern unsigned store_page; /* items of one answer */
void store_publish (void);
struct node *store_last_caller (void);

/* servers.c */
struct server *server_start (const char *service, unsigned zone);
void server_drain (struct server *s);
void server_crash (struct server *s);
void servers_tick (void);
struct server *server_at (uint32_t address);

/* callers.c */
void callers_prepare (void);
void callers_tick (void);
/* Flows of KIND LONG are closed after some requests, unless ENDLESS.  */
extern bool endless;
struct flow *flow_add (enum flow_kind kind, unsigned host, unsigned route,
                       int node, usec pause);
extern uint64_t requests_sent, requests_answered, requests_run;

/* packet.c: the header of callers' packets.  */
enum
{
  SYN = 16,
  ACK = 32,
  FIN = 2,
  RST = 8
};

struct packet
{
  uint32_t src, dst, seq, ack, echo;
  uint16_t sport, dport, length;
  uint8_t flags;
  const uint8_t *data;
};
size_t packet_write (uint8_t *bytes, const struct packet *p);
bool packet_read (const uint8_t *bytes, size_t length, struct packet *p,
                  bool *has_sum);
#endif
