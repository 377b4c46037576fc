/* A balancer of a marked transport without I/O.  Each program that includes
   this header has its own.  */

#ifndef BB_TESTS_MARKED_FIXTURE_H
#define BB_TESTS_MARKED_FIXTURE_H

#include "marked/balancer.h"
#include "tests/suite.h"
#include <netinet/in.h>
#include <string.h>

enum
{
  ROUTE_PORT = 443,
  OTHER_PORT = 444,
  UNKNOWN_PORT = 445,
};

#define ROUTE_ADDRESS 0xc6120001
#define CALLER_ADDRESS 0x64400007

static struct
{
  struct bb_marked *m;
  struct bb_marked_packet resets[256];
  unsigned reset_count;
  uint64_t events[BB_EVENT_KINDS];
  uint64_t revision;
} t;

static inline void
sink_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_sync_message *message)
{
  (void)context;
  (void)to;
  (void)count;
  (void)message;
}

static inline void
sink_event (void *context, const struct bb_event *event)
{
  (void)context;
  t.events[event->kind]++;
}

static inline void
sink_server (void *context, const struct bb_backend_server *server)
{
  (void)context;
  (void)server;
}

static inline void
sink_reset (void *context, const struct bb_marked_packet *packet)
{
  (void)context;
  ck_assert_uint_lt (t.reset_count, G_N_ELEMENTS (t.resets));
  t.resets[t.reset_count++] = *packet;
}

static void
sink_copy (void *context, unsigned slot)
{
  (void)context;
  (void)slot;
}

static const struct bb_marked_sink sink = {
  .send = sink_send,
  .event = sink_event,
  .server = sink_server,
  .reset = sink_reset,
  .copy = sink_copy,
};

static inline void
setup (void)
{
  struct bb_marked_options options = {
    .sync_options
    = { .self = { .id = 1, .data_centre = bb_name_key ("north") },
        .capacity = 1000,
        .seed = 1 },
    .data_centre = "north",
    .flow_capacity = 256,
    .idle_ms = 15000,
  };
  memset (&t, 0, sizeof t);
  t.m = bb_marked_new (&options, &sink, NULL, 0);
}

static inline void
teardown (void)
{
  bb_marked_free (t.m);
}

static inline struct bb_backend_server *
put_server (const char *name, const char *service, const char *data_centre,
            enum bb_server_state state, bb_usec now)
{
  struct bb_server_record r = {
    .address = { 0x0a000000 + bb_name_key (name) % 250, 8080 },
    .tag = bb_name_key (name),
    .state = state,
    .slots = 2,
    .born_ms = 1,
    .created = t.revision + 1,
    .revision = t.revision + 1,
  };
  t.revision++;
  g_strlcpy (r.name, name, sizeof r.name);
  g_strlcpy (r.service, service, sizeof r.service);
  g_strlcpy (r.data_centre, data_centre, sizeof r.data_centre);
  bb_marked_put_server (t.m, &r, now);
  return bb_directory_find_server (bb_marked_directory (t.m), name);
}

static inline void
configure (uint64_t version, uint16_t port, const char *service, bb_usec now)
{
  struct bb_route_record r = {
    .address = { ROUTE_ADDRESS, port },
    .shares = { { bb_name_key (service), 1 } },
    .share_count = 1,
    .revision = ++t.revision,
  };
  bb_marked_configure (t.m,
                       &(struct bb_configuration){ .version = version,
                                                   .revision = t.revision,
                                                   .routes = &r,
                                                   .route_count = 1 },
                       now);
}

static inline struct bb_marked_packet
packet (uint16_t caller_port, uint8_t flags, uint32_t sequence,
        uint16_t payload)
{
  return (struct bb_marked_packet){
    .packet = { .source = CALLER_ADDRESS,
                .source_port = caller_port,
                .destination = ROUTE_ADDRESS,
                .destination_port = ROUTE_PORT,
                .protocol = IPPROTO_TCP,
                .tcp_flags = flags,
                .sequence = sequence,
                .payload = payload,
                .acknowledgement = 1 },
  };
}

static inline struct bb_marked_verdict
handle_packet (const struct bb_marked_packet *p, bb_usec now)
{
  struct bb_marked_verdict v;
  bb_marked_handle_packet (t.m, p, now, &v);
  return v;
}

/* Opens a flow and returns the cookie of its packets.  */
static inline uint32_t
open_flow (uint16_t caller_port, bb_usec now)
{
  struct bb_marked_packet p = packet (caller_port, BB_TCP_SYN, 100, 0);
  struct bb_marked_verdict v = handle_packet (&p, now);
  ck_assert_int_eq (v.kind, BB_MARKED_FORWARD);
  p = packet (caller_port, BB_TCP_ACK, 101, 0);
  p.cookie = v.cookie;
  ck_assert_int_eq (handle_packet (&p, now + 4 * BB_MSEC).kind,
                    BB_MARKED_FORWARD);
  return v.cookie;
}

static inline struct bb_marked_verdict
send_request (uint16_t caller_port, uint32_t cookie, uint32_t sequence,
              uint32_t acknowledgement, bb_usec now)
{
  struct bb_marked_packet p = packet (caller_port, BB_TCP_ACK, sequence, 50);
  p.cookie = cookie;
  p.packet.acknowledgement = acknowledgement;
  return handle_packet (&p, now);
}

/* Adds COUNT servers of one service in the own data centre and writes their
   cookies to COOKIES.  */
static inline void
put_servers (unsigned count, uint32_t *cookies)
{
  for (unsigned i = 0; i < count; i++)
    {
      char name[8];
      g_snprintf (name, sizeof name, "s%u", i);
      cookies[i]
          = put_server (name, "desk", "north", BB_SERVER_READY, 0)->cookie;
    }
}
#endif
