/* Entries that do not describe a server, in place of the entry of a live one:
   at the balancer that reads the store and at a peer of it.  */

#include "tests/marked_fixture.h"
#include "wire/sync.h"

#define UNUSABLE_AT BB_SEC

/* Puts the record of an unusable or removed entry, which has no data.  */
static void
put_without_data (const char *name, enum bb_server_state state, bb_usec now)
{
  struct bb_server_record r = { .state = state, .revision = ++t.revision };
  g_strlcpy (r.name, name, sizeof r.name);
  bb_marked_put_server (t.m, &r, now);
}

static void
put_next (enum bb_server_state state, bb_usec now)
{
  if (state == BB_SERVER_GONE)
    put_without_data ("a", state, now);
  else
    put_server ("a", "desk", "north", state, now);
}

static struct bb_marked_verdict
open_new_flow (uint16_t port, bb_usec now)
{
  struct bb_marked_packet p = packet (port, BB_TCP_SYN, 100, 0);
  return handle_packet (&p, now);
}

/* What follows the unusable entry of a server with an open flow.  */
static const struct
{
  const char *description;
  enum bb_server_state next;
  bool is_used;  /* for new flows */
  bool is_reset; /* the open flow, idle for 5 s */
} followers[] = {
  { "nothing", BB_SERVER_UNUSABLE, false, false },
  { "its own entry", BB_SERVER_READY, true, false },
  { "its own entry, which is draining", BB_SERVER_DRAINING, false, false },
  { "its removal", BB_SERVER_GONE, false, true },
};

/* Guards against flows of a live server that are reset, and against new flows
   by an entry that names no server.  */
START_TEST (unusable_entry_stops_new_flows_only)
{
  put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "desk", 0);
  uint32_t cookie = open_flow (1000, 0);
  put_without_data ("a", BB_SERVER_UNUSABLE, UNUSABLE_AT);
  ck_assert_int_eq (open_new_flow (1001, UNUSABLE_AT).kind, BB_MARKED_RESET);
  if (followers[_i].next != BB_SERVER_UNUSABLE)
    put_next (followers[_i].next, 2 * BB_SEC);
  bb_marked_tick (t.m, 5 * BB_SEC);
  ck_assert_msg (t.reset_count == followers[_i].is_reset, "%s",
                 followers[_i].description);
  if (!followers[_i].is_reset)
    ck_assert_int_eq (send_request (1000, cookie, 101, 1, 5 * BB_SEC).kind,
                      BB_MARKED_FORWARD);
  ck_assert_int_eq (open_new_flow (1002, 5 * BB_SEC).kind,
                    followers[_i].is_used ? BB_MARKED_FORWARD
                                          : BB_MARKED_RESET);
}
END_TEST

/* Puts an entry of "a" with another address.  */
static void
put_elsewhere (const char *service, bb_usec now)
{
  struct bb_server_record r
      = bb_directory_find_server (bb_marked_directory (t.m), "a")->record;
  r.address.address++;
  r.tag++;
  r.state = BB_SERVER_READY;
  r.revision = ++t.revision;
  g_strlcpy (r.service, service, sizeof r.service);
  bb_marked_put_server (t.m, &r, now);
}

/* Guards against open flows that follow an entry with a service that no
   configuration names (review case 13).  */
static const struct
{
  const char *description;
  const char *service;
  enum bb_server_state before;
  bool is_used;
} services[] = {
  { "its own", "desk", BB_SERVER_READY, true },
  { "another one of the configuration", "other", BB_SERVER_READY, true },
  { "one that nobody names", "nobody", BB_SERVER_READY, false },
  { "one that nobody names, while it drains", "nobody", BB_SERVER_DRAINING,
    false },
};

START_TEST (entry_of_an_unknown_service_changes_nothing)
{
  put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "other", 0);
  configure (2, ROUTE_PORT, "desk", 0);
  uint32_t cookie = open_flow (1000, 0);
  put_server ("a", "desk", "north", services[_i].before, 0);
  const struct bb_backend_server *a
      = bb_directory_find_server (bb_marked_directory (t.m), "a");
  struct bb_endpoint address = a->record.address;
  put_elsewhere (services[_i].service, UNUSABLE_AT);
  bb_marked_tick (t.m, 2 * BB_SEC);
  struct bb_marked_verdict v = send_request (1000, cookie, 101, 1, 2 * BB_SEC);
  ck_assert_int_eq (v.kind, BB_MARKED_FORWARD);
  ck_assert_msg ((v.target.address == address.address) != services[_i].is_used,
                 "%s", services[_i].description);
  if (services[_i].is_used)
    return;
  ck_assert_str_eq (a->record.service, "desk");
  ck_assert_int_eq (open_new_flow (1001, 2 * BB_SEC).kind, BB_MARKED_RESET);
  put_server ("a", "desk", "north", services[_i].before, 3 * BB_SEC);
  ck_assert_int_eq (open_new_flow (1002, 3 * BB_SEC).kind,
                    services[_i].before == BB_SERVER_READY ? BB_MARKED_FORWARD
                                                           : BB_MARKED_RESET);
}
END_TEST

/* Guards against a new server that is lost since its entry precedes the
   configuration that names its service.  */
START_TEST (entry_before_its_configuration_is_kept)
{
  put_server ("a", "later", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "later", BB_SEC);
  ck_assert_int_eq (open_new_flow (1000, BB_SEC).kind, BB_MARKED_FORWARD);
}
END_TEST

/* A read of the store that lists SERVER, whose entry is unusable.  */
static void
read_store_with_unusable (const char *server, bb_usec now)
{
  struct bb_server_record r
      = { .state = BB_SERVER_UNUSABLE, .revision = ++t.revision };
  g_strlcpy (r.name, server, sizeof r.name);
  struct bb_snapshot *s = bb_snapshot_new (now);
  s->revision = t.revision;
  bb_snapshot_add_server (s, &r);
  bb_marked_adopt_snapshot (t.m, s, now);
  bb_snapshot_free (s);
}

/* Guards against a whole read that takes an unusable entry for a removed one.
 */
START_TEST (unusable_entry_in_a_whole_read)
{
  const struct bb_backend_server *a
      = put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "desk", 0);
  open_flow (1000, 0);
  read_store_with_unusable ("a", UNUSABLE_AT);
  bb_marked_tick (t.m, 5 * BB_SEC);
  ck_assert_int_eq (a->record.state, BB_SERVER_UNUSABLE);
  ck_assert_uint_eq (t.reset_count, 0);
  ck_assert_int_eq (open_new_flow (1001, 5 * BB_SEC).kind, BB_MARKED_RESET);
}
END_TEST

/* The peer: a balancer that receives what T.M would send.  */

static struct bb_sync_message sent[4];
static unsigned sent_count;

static void
capture (void *context, const struct bb_endpoint *to, size_t count,
         const struct bb_sync_message *message)
{
  (void)context;
  (void)to;
  (void)count;
  if (message->kind != BB_SYNC_RECORDS)
    return;
  GByteArray *bytes = bb_sync_encode (message);
  ck_assert_uint_lt (sent_count, G_N_ELEMENTS (sent));
  ck_assert (
      bb_sync_decode (bytes->data, bytes->len, &sent[sent_count++], NULL));
  g_byte_array_unref (bytes);
}

static const struct bb_marked_sink reader_sink = {
  .send = capture,
  .event = sink_event,
  .server = sink_server,
  .reset = sink_reset,
  .copy = sink_copy,
};

static struct bb_marked *
new_reader (void)
{
  struct bb_marked_options options = {
    .sync_options
    = { .self = { .id = 2, .data_centre = bb_name_key ("north") },
        .capacity = 1000,
        .seed = 1 },
    .data_centre = "north",
    .flow_capacity = 256,
    .idle_ms = 15000,
  };
  sent_count = 0;
  return bb_marked_new (&options, &reader_sink, NULL, 0);
}

/* Passes the records of READER that are newer than REVISION to PEER.  */
static void
synchronize (struct bb_marked *reader, struct bb_marked *peer,
             uint64_t revision, bb_usec now)
{
  const struct bb_endpoint address = { 0x0a000002, 7000 };
  struct bb_sync_message m = { .kind = BB_SYNC_REQUEST,
                               .from = 1,
                               .request = { .revision = revision } };
  sent_count = 0;
  bb_sync_receive (bb_marked_get_sync (reader), &address, &m, now);
  for (unsigned i = 0; i < sent_count; i++)
    bb_sync_receive (bb_marked_get_sync (peer), &address, &sent[i], now);
}

/* What the store has under the server's name after the unusable entry.  */
static const struct
{
  const char *description;
  enum bb_server_state next;
  enum bb_server_state at_peer;
} later[] = {
  { "its own entry", BB_SERVER_READY, BB_SERVER_READY },
  { "its removal", BB_SERVER_GONE, BB_SERVER_GONE },
};

/* Guards against a reader that never had a usable entry of a server, and whose
   state therefore ends the server at its peers, or hides its later removal. */
START_TEST (peer_of_a_reader_that_never_knew_the_server)
{
  const struct bb_backend_server *a
      = put_server ("a", "desk", "north", BB_SERVER_READY, 0);
  configure (1, ROUTE_PORT, "desk", 0);
  open_flow (1000, 0);
  bb_marked_confirm_revision (t.m, t.revision, 0, 0);
  struct bb_marked *peer = t.m;
  struct bb_marked *reader = t.m = new_reader ();
  read_store_with_unusable ("a", UNUSABLE_AT);
  synchronize (reader, peer, 1, UNUSABLE_AT);
  bb_marked_tick (peer, 5 * BB_SEC);
  ck_assert_int_eq (a->record.state, BB_SERVER_UNUSABLE);
  ck_assert_uint_eq (t.reset_count, 0);
  uint64_t before = t.revision;
  put_next (later[_i].next, 6 * BB_SEC);
  bb_marked_confirm_revision (reader, t.revision, 6 * BB_SEC, 6 * BB_SEC);
  synchronize (reader, peer, before, 6 * BB_SEC);
  ck_assert_msg (a->record.state == later[_i].at_peer, "%s",
                 later[_i].description);
  ck_assert_str_eq (a->record.service, "desk");
  bb_marked_free (reader);
  t.m = peer;
}
END_TEST

/* Guards against a reader that missed the last entry of a server, since it was
   removed while the pages of a read arrived, and against one that had removed
   it earlier.  Both must pass on what the store reports next.  */
static const struct
{
  const char *description;
  bool was_known;
  enum bb_server_state next; /* without data */
  enum bb_server_state sent;
} unknown[] = {
  { "removal of a server never held", false, BB_SERVER_GONE, BB_SERVER_GONE },
  { "unusable entry of a server never held", false, BB_SERVER_UNUSABLE,
    BB_SERVER_UNUSABLE },
  { "unusable entry of a removed server", true, BB_SERVER_UNUSABLE,
    BB_SERVER_UNUSABLE },
};

START_TEST (change_of_an_unlisted_server_is_passed_on)
{
  struct bb_marked *fixture = t.m;
  struct bb_marked *reader = t.m = new_reader ();
  if (unknown[_i].was_known)
    {
      put_server ("a", "desk", "north", BB_SERVER_READY, 0);
      put_without_data ("a", BB_SERVER_GONE, 0);
    }
  read_store_with_unusable ("b", BB_SEC);
  uint64_t before = t.revision;
  put_without_data ("a", unknown[_i].next, 2 * BB_SEC);
  bb_marked_confirm_revision (reader, t.revision, 2 * BB_SEC, 2 * BB_SEC);
  synchronize (reader, fixture, before, 2 * BB_SEC);
  ck_assert_uint_eq (sent_count, 1);
  ck_assert_uint_eq (sent[0].record_chunk.server_count, 1);
  ck_assert_str_eq (sent[0].record_chunk.servers[0].name, "a");
  ck_assert_msg (sent[0].record_chunk.servers[0].state == unknown[_i].sent,
                 "%s", unknown[_i].description);
  bb_marked_free (reader);
  t.m = fixture;
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("unusable");
  TCase *tc = tcase_create ("unusable entries");
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, unusable_entry_stops_new_flows_only, 0,
                       G_N_ELEMENTS (followers));
  tcase_add_loop_test (tc, entry_of_an_unknown_service_changes_nothing, 0,
                       G_N_ELEMENTS (services));
  tcase_add_test (tc, entry_before_its_configuration_is_kept);
  tcase_add_test (tc, unusable_entry_in_a_whole_read);
  tcase_add_loop_test (tc, peer_of_a_reader_that_never_knew_the_server, 0,
                       G_N_ELEMENTS (later));
  tcase_add_loop_test (tc, change_of_an_unlisted_server_is_passed_on, 0,
                       G_N_ELEMENTS (unknown));
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
