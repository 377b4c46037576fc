#include "core/engine.h"
#include "tests/suite.h"

#include <check.h>
#include <netinet/in.h>

#define SERVERS 8

static struct bb_server servers[SERVERS];
static struct bb_service service;
static struct bb_fleet fleet;
static bb_usec now;

static void
ignore_message (void *context, const struct bb_vm *to,
                const struct bb_message *m)
{
  (void)context, (void)to, (void)m;
}

static void
ignore_event (void *context, const struct bb_event *event)
{
  (void)context, (void)event;
}

static bool
refuse_document (void *context, enum bb_document_kind kind, uint64_t version,
                 const uint8_t *bytes, size_t length)
{
  (void)context, (void)kind, (void)version, (void)bytes, (void)length;
  return false;
}

static const struct bb_sink sink = { .message = ignore_message,
                                     .event = ignore_event,
                                     .document = refuse_document };

static void
fill_fleet (void)
{
  for (uint32_t i = 0; i < SERVERS; i++)
    servers[i] = (struct bb_server){ .key = 100 + i,
                                     .gue = { 0x7f000100 + i, 6080 },
                                     .weight = 100 };
  service = (struct bb_service){ .name = "desk",
                                 .key = 9,
                                 .address = { 0x0a000001, 80 },
                                 .protocol = IPPROTO_TCP,
                                 .buckets = 4093,
                                 .idle_s = 3600,
                                 .servers = servers,
                                 .server_count = SERVERS / 2 };
  fleet = (struct bb_fleet){ .base_version = 1,
                             .overlay_version = 1,
                             .hash_seed = 5,
                             .services = &service,
                             .service_count = 1 };
}

static struct bb_engine *
start_engine (void)
{
  struct bb_engine_options options = {
    .self = { .name = "a", .id = 1, .data_centre = "x" },
    .incarnation = 1000000,
    .flow_capacity = 4000,
    .push_bytes = 2048,
  };
  now = 10 * BB_SEC;
  fill_fleet ();
  struct bb_engine *e = bb_engine_new (&options, &sink, NULL, now);
  bb_engine_set_fleet (e, &fleet, now);
  return e;
}

static void
run_ticks (struct bb_engine *e, bb_usec time)
{
  for (bb_usec end = now + time; now < end; now += 50 * BB_MSEC)
    bb_engine_tick (e, now);
}

static uint32_t
server_of (struct bb_engine *e, uint16_t port, uint8_t flags)
{
  struct bb_packet p = { .source = 0x01020304,
                         .destination = 0x0a000001,
                         .source_port = port,
                         .destination_port = 80,
                         .protocol = IPPROTO_TCP,
                         .tcp_flags = flags };
  struct bb_verdict v;
  bb_engine_handle_packet (e, &p, NULL, now, &v);
  return v.kind == BB_VERDICT_FORWARD ? v.server : 0;
}

static void
change_seed (void)
{
  fleet.hash_seed = 77;
}

static void
change_buckets (void)
{
  service.buckets = 8191;
}

static void
change_weight (void)
{
  servers[0].weight = 900;
}

static void
add_servers (void)
{
  service.server_count = SERVERS;
}

static void
remove_server (void)
{
  service.server_count--;
}

static void
drain_server (void)
{
  servers[1].drain = true;
}

/* Guards against a change of the configuration that moves established flows:
   the table of the default servers, which packets without an entry follow,
   must not change with it.  */
static const struct
{
  const char *name;
  void (*change) (void);
} changes[] = {
  { "hash seed", change_seed },        { "bucket count", change_buckets },
  { "weight", change_weight },         { "servers added", add_servers },
  { "server removed", remove_server }, { "server drained", drain_server },
};

enum
{
  FLOWS = 500
};

START_TEST (established_flows_stay)
{
  struct bb_engine *e = start_engine ();
  uint32_t before[FLOWS];
  run_ticks (e, 3 * BB_SEC);
  for (int i = 0; i < FLOWS; i++)
    before[i] = server_of (e, (uint16_t)(1000 + i), BB_TCP_SYN);
  fleet.base_version = 2;
  changes[_i].change ();
  ck_assert (bb_engine_set_fleet (e, &fleet, now));
  run_ticks (e, 3 * BB_SEC);
  for (int i = 0; i < FLOWS; i++)
    ck_assert_msg (server_of (e, (uint16_t)(1000 + i), BB_TCP_ACK) == before[i]
                       && before[i],
                   "%s: flow %d moved", changes[_i].name, i);
  bb_engine_free (e);
}
END_TEST

/* Guards against a service that was added later and whose untracked flows move
   at each change of its servers.  */
START_TEST (added_service_keeps_its_flows)
{
  struct bb_engine *e = start_engine ();
  uint32_t before[FLOWS];
  run_ticks (e, 3 * BB_SEC);
  service.key = 10;
  for (uint32_t i = 0; i < SERVERS; i++)
    servers[i].key += 50;
  fleet.base_version = 2;
  ck_assert (bb_engine_set_fleet (e, &fleet, now));
  run_ticks (e, 3 * BB_SEC);
  for (int i = 0; i < FLOWS; i++)
    before[i] = server_of (e, (uint16_t)(1000 + i), BB_TCP_SYN);
  fleet.base_version = 3;
  add_servers ();
  ck_assert (bb_engine_set_fleet (e, &fleet, now));
  run_ticks (e, 3 * BB_SEC);
  for (int i = 0; i < FLOWS; i++)
    ck_assert_uint_eq (server_of (e, (uint16_t)(1000 + i), BB_TCP_ACK),
                       before[i]);
  bb_engine_free (e);
}
END_TEST

/* Guards against a repeated SYN that is placed on another server, because a
   load-aware bucket may choose another server at each tick.  */
START_TEST (repeated_syn_stays)
{
  struct bb_engine *e = start_engine ();
  uint32_t before[FLOWS];
  service.policy = BB_POLICY_EVEN;
  service.spill_permille = 1000;
  fleet.base_version = 2;
  ck_assert (bb_engine_set_fleet (e, &fleet, now));
  run_ticks (e, 3 * BB_SEC);
  for (int i = 0; i < FLOWS; i++)
    before[i] = server_of (e, (uint16_t)(1000 + i), BB_TCP_SYN);
  run_ticks (e, 500 * BB_MSEC);
  for (int i = 0; i < FLOWS; i++)
    ck_assert_uint_eq (server_of (e, (uint16_t)(1000 + i), BB_TCP_SYN),
                       before[i]);
  bb_engine_free (e);
}
END_TEST

/* Guards against a lower version that replaces the one in force.  */
START_TEST (lower_version_is_ignored)
{
  struct bb_engine *e = start_engine ();
  fleet.overlay_version = 2;
  ck_assert (bb_engine_set_fleet (e, &fleet, now));
  fleet.overlay_version = 1;
  ck_assert (!bb_engine_set_fleet (e, &fleet, now));
  fleet.base_version = 2;
  ck_assert (!bb_engine_set_fleet (e, &fleet, now));
  bb_engine_free (e);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("engine");
  TCase *t = tcase_create ("versions");
  tcase_add_loop_test (t, established_flows_stay, 0,
                       (int)G_N_ELEMENTS (changes));
  tcase_add_test (t, added_service_keeps_its_flows);
  tcase_add_test (t, repeated_syn_stays);
  tcase_add_test (t, lower_version_is_ignored);
  suite_add_tcase (s, t);
  return run_suite (s);
}
