/* Balancers whose store comes back from an older copy: what they keep of the
   state held, and what they give each other.  */

#include "marked/balancer.h"
#include "marked/state/directory_era.h"
#include "tests/suite.h"
#include "wire/sync.h"
#include <string.h>

enum
{
  NODES = 6,
  QUEUE = 1 << 12,
  COPY = 15, /* last number of the copy */
};

#define STEP (5 * BB_MSEC)
#define TICK_STEPS 10
#define READ_TIME (10 * BB_MSEC)
#define BOUND (3 * BB_SEC)

struct node
{
  struct bb_marked *m;
  unsigned index;
  bool is_cut; /* from the store */
  bb_usec called;
  unsigned reads; /* of the whole store */
};

static struct
{
  struct node nodes[NODES];
  struct
  {
    unsigned from, to;
    GByteArray *bytes;
    bb_usec at;
  } queue[QUEUE];
  unsigned head, tail;
  unsigned batches; /* that were sent */
  unsigned era_events;
  uint64_t bytes;
  bool is_silent; /* messages are lost */
  bb_usec now;
  /* The store.  */
  uint64_t era, number, version, configured;
} w;

static struct bb_endpoint
endpoint_of (unsigned index)
{
  return (struct bb_endpoint){ 0x0a000001 + index, 7000 };
}

static void
sink_send (void *context, const struct bb_endpoint *to, size_t count,
           const struct bb_sync_message *message)
{
  const struct node *n = context;
  w.batches
      += message->kind == BB_SYNC_RECORDS && message->record_chunk.chunk == 0;
  GByteArray *bytes = bb_sync_encode (message);
  for (size_t i = 0; i < count && !w.is_silent; i++)
    {
      ck_assert_uint_lt (w.tail - w.head, QUEUE);
      w.queue[w.tail++ % QUEUE]
          = (typeof (w.queue[0])){ n->index, to[i].address - 0x0a000001,
                                   g_byte_array_ref (bytes), w.now + BB_MSEC };
    }
  g_byte_array_unref (bytes);
}

static void
sink_event (void *context, const struct bb_event *event)
{
  (void)context;
  w.era_events += event->kind == BB_EVENT_STORE_ERA;
}

static void
sink_server (void *context, const struct bb_backend_server *server)
{
  (void)context;
  (void)server;
}

static const struct bb_marked_sink sink = {
  .send = sink_send,
  .event = sink_event,
  .server = sink_server,
};

static struct bb_sync *
sync_of (unsigned index)
{
  return bb_marked_get_sync (w.nodes[index].m);
}

static struct bb_directory *
directory_of (unsigned index)
{
  return bb_marked_directory (w.nodes[index].m);
}

static void
start_node (unsigned index)
{
  struct node *n = &w.nodes[index];
  struct bb_marked_options options = {
    .sync_options = { .self = { .id = 100 + index,
                                .data_centre = 1 + index % 2,
                                .endpoint = endpoint_of (index) },
                      .incarnation = (uint64_t)w.now,
                      .capacity = 100,
                      .seed = index },
    .data_centre = index % 2 ? "dc-1" : "dc-0",
    .flow_capacity = 16,
    .idle_ms = 15000,
  };
  struct bb_endpoint seeds[] = { endpoint_of (0), endpoint_of (3) };
  *n = (struct node){ .index = index };
  n->m = bb_marked_new (&options, &sink, n, w.now);
  bb_sync_set_seeds (sync_of (index), seeds, G_N_ELEMENTS (seeds));
}

static void
stop_node (unsigned index)
{
  bb_marked_free (g_steal_pointer (&w.nodes[index].m));
}

static void
deliver_messages (void)
{
  while (w.head != w.tail && w.queue[w.head % QUEUE].at <= w.now)
    {
      unsigned from = w.queue[w.head % QUEUE].from;
      unsigned to = w.queue[w.head % QUEUE].to;
      GByteArray *bytes = w.queue[w.head++ % QUEUE].bytes;
      struct bb_endpoint sender = endpoint_of (from);
      struct bb_sync_message m;
      ck_assert (bb_sync_decode (bytes->data, bytes->len, &m, NULL));
      w.bytes += bytes->len;
      if (to < NODES && w.nodes[to].m)
        bb_sync_receive (sync_of (to), &sender, &m, w.now);
      g_byte_array_unref (bytes);
    }
}

static void
setup (void)
{
  memset (&w, 0, sizeof w);
  w.now = BB_SEC;
  w.era = 1;
}

static void
teardown (void)
{
  for (unsigned i = 0; i < NODES; i++)
    bb_marked_free (w.nodes[i].m);
  while (w.head != w.tail)
    g_byte_array_unref (w.queue[w.head++ % QUEUE].bytes);
}

/* Content of the store.  */

static struct bb_server_record
server (enum bb_server_state state, int64_t born, uint64_t era,
        uint64_t number)
{
  struct bb_server_record r = { .name = "i-01",
                                .service = "desk",
                                .data_centre = "dc-0",
                                .address = { 0x0a010000, 8080 },
                                .tag = 1,
                                .state = state,
                                .slots = 2,
                                .born_ms = born,
                                .created = 5,
                                .revision = bb_revision_make (era, number) };
  return r;
}

/* A configuration of VERSION has the routes of the ports from 1 to VERSION. */
static size_t
list_routes (uint64_t version, uint64_t revision,
             struct bb_route_record routes[64])
{
  for (uint64_t i = 0; i < version; i++)
    routes[i] = (struct bb_route_record){
      .address = { 0xc6120001, (uint16_t)(i + 1) },
      .shares = { { bb_name_key ("desk"), 1 } },
      .share_count = 1,
      .revision = revision,
    };
  return version;
}

/* Lets node INDEX read a store of ERA at NUMBER whose configuration is
   VERSION, and which lists RECORD if that is not NULL.  */
static void
read_store (unsigned index, uint64_t era, uint64_t number, uint64_t version,
            const struct bb_server_record *record)
{
  struct bb_route_record routes[64];
  struct bb_snapshot *s = bb_snapshot_new (w.now);
  s->revision = bb_revision_make (era, number);
  if (record)
    bb_snapshot_add_server (s, record);
  uint64_t configured = bb_revision_make (era, MIN (4, number));
  size_t count = list_routes (version, configured, routes);
  bb_snapshot_set_configuration (s, version, configured, routes, count);
  bb_marked_adopt_snapshot (w.nodes[index].m, s, w.now);
  bb_snapshot_free (s);
}

/* Delivers to node INDEX that the store changed the server.  */
static void
change_server (unsigned index, struct bb_server_record r)
{
  bb_marked_put_server (w.nodes[index].m, &r, w.now);
  bb_marked_confirm_revision (w.nodes[index].m, r.revision, w.now, w.now);
}

static enum bb_server_state
state_at (unsigned index)
{
  const struct bb_backend_server *s
      = bb_directory_find_server (directory_of (index), "i-01");
  return s ? s->record.state : BB_SERVER_STATES;
}

/* Whether node INDEX has exactly the routes of VERSION in force.  */
static bool
has_routes_of (unsigned index, uint64_t version)
{
  for (uint16_t port = 1; port < 64; port++)
    {
      struct bb_endpoint address = { 0xc6120001, port };
      const struct bb_route *route
          = bb_directory_find_route (directory_of (index), &address);
      if ((route && route->record.share_count > 0) != (port <= version))
        return false;
    }
  return bb_directory_version (directory_of (index)) == version;
}

/* Lets node TO request the whole state of node FROM.  */
static void
pass_state (unsigned from, unsigned to)
{
  struct bb_endpoint requester = endpoint_of (to);
  struct bb_sync_message m = { .kind = BB_SYNC_REQUEST, .from = 100 + to };
  bb_sync_receive (sync_of (from), &requester, &m, w.now);
  w.now += BB_MSEC;
  deliver_messages ();
}

/* What a balancer knows of a server of incarnation 100, what the copy lists,
   and what the balancer then holds.  */
static const struct
{
  const char *guards;
  enum bb_server_state
      known[2];                /* after it was ready; BB_SERVER_STATES: end */
  enum bb_server_state listed; /* BB_SERVER_STATES: not at all */
  int born;                    /* in the copy */
  enum bb_server_state at_once;
  enum bb_server_state after_expiry; /* of unlisted servers */
  enum bb_server_state after_hold;
} servers[] = {
  { "a server that is lost by the return",
    { BB_SERVER_STATES },
    BB_SERVER_READY,
    100,
    BB_SERVER_READY,
    BB_SERVER_READY,
    BB_SERVER_READY },
  { "new flows for a server that drains",
    { BB_SERVER_DRAINING, BB_SERVER_STATES },
    BB_SERVER_READY,
    100,
    BB_SERVER_DRAINING,
    BB_SERVER_DRAINING,
    BB_SERVER_DRAINING },
  { "new flows for a server that announced its end and is gone",
    { BB_SERVER_DRAINING, BB_SERVER_GONE },
    BB_SERVER_READY,
    100,
    BB_SERVER_GONE,
    BB_SERVER_GONE,
    BB_SERVER_GONE },
  { "new flows for a server that crashed",
    { BB_SERVER_GONE, BB_SERVER_STATES },
    BB_SERVER_READY,
    100,
    BB_SERVER_WITHHELD,
    BB_SERVER_WITHHELD,
    BB_SERVER_READY },
  { "a new incarnation that is kept out",
    { BB_SERVER_DRAINING, BB_SERVER_GONE },
    BB_SERVER_READY,
    101,
    BB_SERVER_READY,
    BB_SERVER_READY,
    BB_SERVER_READY },
  { "an earlier incarnation that replaces the one in use",
    { BB_SERVER_STATES },
    BB_SERVER_DRAINING,
    99,
    BB_SERVER_READY,
    BB_SERVER_READY,
    BB_SERVER_READY },
  { "an unknown incarnation that is kept out for good",
    { BB_SERVER_DRAINING, BB_SERVER_STATES },
    BB_SERVER_READY,
    0,
    BB_SERVER_WITHHELD,
    BB_SERVER_WITHHELD,
    BB_SERVER_READY },
  { "an announced end that is not taken from the copy",
    { BB_SERVER_STATES },
    BB_SERVER_DRAINING,
    100,
    BB_SERVER_DRAINING,
    BB_SERVER_DRAINING,
    BB_SERVER_DRAINING },
  { "a server that the copy lacks and that is gone at once, or for ever used",
    { BB_SERVER_STATES },
    BB_SERVER_STATES,
    0,
    BB_SERVER_EXPIRED,
    BB_SERVER_GONE,
    BB_SERVER_GONE },
  { "a draining server that the copy lacks and that loses its flows",
    { BB_SERVER_DRAINING, BB_SERVER_STATES },
    BB_SERVER_STATES,
    0,
    BB_SERVER_EXPIRED,
    BB_SERVER_GONE,
    BB_SERVER_GONE },
};

static void
learn (unsigned index, size_t i)
{
  struct bb_server_record r = server (BB_SERVER_READY, 100, 1, 6);
  read_store (index, 1, 20, 3, &r);
  for (unsigned j = 0; j < 2 && servers[i].known[j] != BB_SERVER_STATES; j++)
    change_server (index, server (servers[i].known[j], 100, 1, 21 + j));
}

static void
tick (unsigned index, bb_usec time)
{
  w.is_silent = true;
  for (bb_usec end = w.now + time; w.now < end; w.now += 50 * BB_MSEC)
    bb_marked_tick (w.nodes[index].m, w.now);
}

static void
check_state (size_t i, enum bb_server_state expected)
{
  enum bb_server_state state = state_at (0);
  const struct bb_backend_server *s
      = bb_directory_find_server (directory_of (0), "i-01");
  ck_assert_msg (state == expected, "%s: %s", servers[i].guards,
                 bb_server_state_name (state));
  if (servers[i].known[0] == BB_SERVER_DRAINING && expected != BB_SERVER_READY)
    ck_assert_msg (!bb_server_accepts_flows (s), "%s", servers[i].guards);
}

static void
check_servers (size_t i)
{
  check_state (i, servers[i].at_once);
  tick (0, BB_EXPIRY_GRACE_TIME + 100 * BB_MSEC);
  check_state (i, servers[i].after_expiry);
  tick (0, BB_LISTING_HOLD_TIME - BB_EXPIRY_GRACE_TIME);
  check_state (i, servers[i].after_hold);
}

static void
read_copy (unsigned index, size_t i)
{
  struct bb_server_record r
      = server (servers[i].listed, servers[i].born, 2, 6);
  read_store (index, 2, COPY, 3,
              servers[i].listed == BB_SERVER_STATES ? NULL : &r);
}

START_TEST (copy_does_not_undo_what_happened_to_servers)
{
  start_node (0);
  learn (0, (size_t)_i);
  read_copy (0, (size_t)_i);
  check_servers ((size_t)_i);
}
END_TEST

/* Guards against a rule that only the reader of the store keeps.  */
START_TEST (state_of_a_peer_does_not_undo_it)
{
  start_node (0);
  start_node (2);
  learn (0, (size_t)_i);
  read_copy (2, (size_t)_i);
  pass_state (2, 0);
  ck_assert_uint_eq (bb_sync_revision (sync_of (0)),
                     bb_revision_make (2, COPY));
  check_servers ((size_t)_i);
}
END_TEST

/* Guards against a server that stays out although it is written again.  */
START_TEST (written_entries_count_at_once)
{
  start_node (0);
  learn (0, (size_t)_i);
  read_copy (0, (size_t)_i);
  int64_t born = servers[_i].known[0] == BB_SERVER_DRAINING ? 102 : 100;
  change_server (0, server (BB_SERVER_READY, born, 2, COPY + 1));
  ck_assert_int_eq (state_at (0), BB_SERVER_READY);
  tick (0, BB_LISTING_HOLD_TIME + BB_SEC);
  ck_assert_int_eq (state_at (0), BB_SERVER_READY);
}
END_TEST

/* Guards against a withheld server that a joining balancer uses, or that is
   used after the store removed it.  */
START_TEST (withheld_servers_are_known_everywhere)
{
  enum
  {
    CRASHED = 3
  };
  start_node (0);
  start_node (2);
  learn (0, CRASHED);
  read_copy (0, CRASHED);
  w.now += BB_SEC;
  pass_state (0, 2);
  ck_assert_int_eq (state_at (2), BB_SERVER_WITHHELD);
  change_server (2, server (BB_SERVER_GONE, 100, 2, COPY + 1));
  tick (2, BB_LISTING_HOLD_TIME);
  ck_assert_int_eq (state_at (2), BB_SERVER_GONE);
}
END_TEST

/* Guards against a server that is withheld by a balancer that entered the era
   before its entry was written, because a peer entered it after.  */
START_TEST (server_of_a_late_peer_is_ready)
{
  start_node (0);
  read_store (0, 2, COPY, 5, NULL);
  struct bb_endpoint from = endpoint_of (2);
  struct bb_sync_message m = {
    .kind = BB_SYNC_RECORDS,
    .from = 102,
    .incarnation = 1,
    .record_chunk
    = { .batch = 1,
        .chunk_count = 1,
        .from = bb_revision_make (2, COPY),
        .to = bb_revision_make (2, COPY + 1),
        .removals_since = bb_revision_make (2, COPY),
        .version = 5,
        .servers = { server (BB_SERVER_WITHHELD, 100, 2, COPY + 1) },
        .server_count = 1 },
  };
  bb_sync_receive (sync_of (0), &from, &m, w.now);
  ck_assert_int_eq (state_at (0), BB_SERVER_READY);
}
END_TEST

/* Guards against records of two eras in one directory, and against records
   that hide later changes of the store.  */
START_TEST (records_are_of_one_era)
{
  start_node (0);
  learn (0, 2);
  read_store (0, 1, 40, 7, NULL);
  read_store (0, 2, COPY, 3, NULL);
  struct bb_link *lists[] = { bb_directory_servers (directory_of (0)),
                              bb_directory_routes (directory_of (0)) };
  for (struct bb_link *at = lists[0]->next; at != lists[0]; at = at->next)
    {
      uint64_t revision = BB_LINKED (at, struct bb_backend_server, by_revision)
                              ->record.revision;
      ck_assert_uint_eq (bb_revision_era (revision), 2);
      ck_assert_uint_ge (bb_revision_number (revision), 1);
      ck_assert_uint_le (bb_revision_number (revision), COPY);
    }
  unsigned routes = 0;
  for (struct bb_link *at = lists[1]->next; at != lists[1]; at = at->next)
    {
      uint64_t revision
          = BB_LINKED (at, struct bb_route, by_revision)->record.revision;
      ck_assert_uint_eq (bb_revision_era (revision), 2);
      ck_assert_uint_le (bb_revision_number (revision), COPY);
      routes++;
    }
  ck_assert_uint_eq (routes, 7);
}
END_TEST

/* Configurations of two balancers: the first one enters the new era from the
   store, the second one gets the state of the first, and of the second, the
   first.  */
static const struct
{
  const char *guards;
  uint64_t reader, copy, peer; /* versions; 0: holds nothing */
} versions[] = {
  { "the copy replaces a newer configuration", 7, 5, 7 },
  { "the configuration of the copy is not taken", 5, 5, 5 },
  { "the reader's state replaces a newer configuration", 5, 5, 7 },
  { "a joining reader keeps the configuration of the copy", 0, 5, 7 },
  { "a joining balancer gets the configuration of the copy", 7, 5, 0 },
  { "an older configuration of the old era is taken", 5, 7, 3 },
};

START_TEST (configuration_never_goes_back)
{
  uint64_t newest
      = MAX (MAX (versions[_i].reader, versions[_i].copy), versions[_i].peer);
  start_node (0);
  start_node (2);
  if (versions[_i].reader)
    read_store (0, 1, 40, versions[_i].reader, NULL);
  if (versions[_i].peer)
    read_store (2, 1, 40, versions[_i].peer, NULL);
  read_store (0, 2, COPY, versions[_i].copy, NULL);
  ck_assert (has_routes_of (0, MAX (versions[_i].reader, versions[_i].copy)));
  uint64_t revision = bb_sync_revision (sync_of (0));
  pass_state (2, 0);
  ck_assert_uint_eq (bb_sync_revision (sync_of (0)), revision);
  pass_state (0, 2);
  pass_state (2, 0);
  ck_assert_msg (has_routes_of (0, newest), "%s", versions[_i].guards);
  ck_assert_msg (has_routes_of (2, newest), "%s", versions[_i].guards);
  ck_assert_uint_eq (bb_sync_revision (sync_of (2)), revision);
}
END_TEST

/* Changes of a peer whose configuration is, or is not, that of the store.  */
static const struct
{
  const char *guards;
  uint64_t version;  /* of the changes */
  bool is_divergent; /* the sender */
  bool keeps;        /* the receiver kept version 7 */
  bool is_used;
} changes[] = {
  { "changes that are refused", 9, false, false, true },
  { "a version without the routes that the sender kept", 9, true, false,
    false },
  { "routes of the version kept and of the store's", 9, false, true, false },
  { "servers that are refused because of the configuration", 5, false, true,
    true },
};

START_TEST (changes_start_from_the_configuration_held)
{
  start_node (0);
  read_store (0, 1, 40, changes[_i].keeps ? 7 : 5, NULL);
  read_store (0, 2, COPY, 5, NULL);
  struct bb_endpoint from = endpoint_of (2);
  struct bb_sync_message m = {
    .kind = BB_SYNC_RECORDS,
    .from = 102,
    .incarnation = 1,
    .record_chunk
    = { .batch = 1,
        .chunk_count = 1,
        .from = bb_revision_make (2, COPY),
        .to = bb_revision_make (2, COPY + 1),
        .removals_since = bb_revision_make (2, COPY),
        .version = changes[_i].version,
        .is_divergent = changes[_i].is_divergent,
        .servers = { server (BB_SERVER_READY, 100, 2, COPY + 1) },
        .server_count = 1 },
  };
  bb_sync_receive (sync_of (0), &from, &m, w.now);
  ck_assert_msg ((state_at (0) == BB_SERVER_READY) == changes[_i].is_used,
                 "%s", changes[_i].guards);
  ck_assert_uint_eq (bb_revision_number (bb_sync_revision (sync_of (0))),
                     changes[_i].is_used ? COPY + 1 : COPY);
  if (changes[_i].keeps)
    ck_assert (has_routes_of (0, 7));
}
END_TEST

/* Batches that are under way while node 0 goes from era 1 to era 2.  */
static const struct
{
  const char *guards;
  uint64_t era;      /* of the batch */
  bool is_completed; /* after node 0 has entered era 2 from the store */
} batches[] = {
  { "records of the old era in a directory of the new one", 1, true },
  { "records of the new era in a directory of the old one", 2, false },
};

START_TEST (batch_is_of_the_era_held)
{
  start_node (0);
  read_store (0, 1, 40, 5, NULL);
  struct bb_endpoint from = endpoint_of (2);
  struct bb_sync_message m = {
    .kind = BB_SYNC_RECORDS,
    .from = 102,
    .incarnation = 1,
    .record_chunk
    = { .batch = 1,
        .chunk_count = 2,
        .to = bb_revision_make (batches[_i].era, 50),
        .version = 5,
        .servers = { server (BB_SERVER_READY, 100, batches[_i].era, 45) },
        .server_count = 1 },
  };
  bb_sync_receive (sync_of (0), &from, &m, w.now);
  if (batches[_i].is_completed)
    {
      read_store (0, 2, COPY, 5, NULL);
      m.record_chunk.chunk = 1;
      bb_sync_receive (sync_of (0), &from, &m, w.now);
    }
  ck_assert_msg (state_at (0) == BB_SERVER_STATES, "%s", batches[_i].guards);
}
END_TEST

/* Guards against a state of an older era that is said to be fresh, and against
   events of a watch that began in it.  */
START_TEST (late_answers_of_the_old_era_are_ignored)
{
  start_node (0);
  read_store (0, 1, 40, 5, NULL);
  w.now += BB_SEC;
  read_store (0, 2, COPY, 5, NULL);
  bb_usec now = w.now += BB_SEC;
  change_server (0, server (BB_SERVER_READY, 100, 1, 41));
  read_store (0, 1, 45, 9, NULL);
  ck_assert_int_eq (state_at (0), BB_SERVER_STATES);
  ck_assert (has_routes_of (0, 5));
  ck_assert_uint_eq (bb_sync_revision (sync_of (0)),
                     bb_revision_make (2, COPY));
  ck_assert_int_eq (bb_sync_state_age (sync_of (0), now), BB_SEC);
}
END_TEST

/* A fleet with a store that changes its configuration every 0.7 s.  */

static void
configure_store (void)
{
  w.version++;
  w.configured = ++w.number;
}

static void
read_whole_store (struct node *n)
{
  struct bb_route_record routes[64];
  struct bb_snapshot *s = bb_snapshot_new (n->called);
  uint64_t configured = bb_revision_make (w.era, w.configured);
  s->revision = bb_revision_make (w.era, w.number);
  size_t count = list_routes (w.version, configured, routes);
  bb_snapshot_set_configuration (s, w.version, configured, routes, count);
  n->reads++;
  bb_marked_adopt_snapshot (n->m, s, w.now);
  bb_snapshot_free (s);
}

static void
call_store (struct node *n)
{
  struct bb_route_record routes[64];
  struct bb_sync *sync = bb_marked_get_sync (n->m);
  uint64_t held = bb_sync_revision (sync);
  uint64_t revision = bb_revision_make (w.era, w.number);
  if (!bb_sync_may_call_store (sync, w.now))
    n->called = 0;
  else if (n->called == 0)
    n->called = w.now;
  if (n->called == 0 || w.now - n->called < READ_TIME)
    return;
  if (n->is_cut)
    bb_sync_report_store_failure (sync, w.now);
  else if (held == 0 || bb_revision_era (held) != w.era)
    read_whole_store (n);
  else if (held == revision && w.now - n->called < BB_STORE_WATCH_TIME)
    return;
  else
    {
      if (held < bb_revision_make (w.era, w.configured))
        bb_marked_configure (n->m, w.version, revision, routes,
                             list_routes (w.version, revision, routes), w.now);
      bb_marked_confirm_revision (n->m, revision, n->called, w.now);
    }
  n->called = 0;
}

static void
run_for (bb_usec time)
{
  for (bb_usec end = w.now + time; w.now < end; w.now += STEP)
    {
      deliver_messages ();
      for (unsigned i = 0; i < NODES; i++)
        {
          struct node *n = &w.nodes[i];
          if (!n->m)
            continue;
          call_store (n);
          if ((w.now / STEP + i) % TICK_STEPS == 0)
            bb_marked_tick (n->m, w.now);
        }
    }
}

static void
check_version_everywhere (uint64_t version)
{
  for (unsigned i = 0; i < NODES; i++)
    {
      ck_assert_msg (has_routes_of (i, version),
                     "balancer %u holds version %u, not %u", i,
                     (unsigned)bb_directory_version (directory_of (i)),
                     (unsigned)version);
      ck_assert_uint_eq (bb_revision_era (bb_sync_revision (sync_of (i))),
                         w.era);
    }
}

static void
start_fleet (void)
{
  w.number = 20;
  w.version = 5;
  w.configured = 20;
  for (unsigned i = 0; i < NODES; i++)
    start_node (i);
  run_for (2 * BB_SEC);
  check_version_everywhere (5);
}

static unsigned
count_reads (void)
{
  unsigned reads = 0;
  for (unsigned i = 0; i < NODES; i++)
    reads += w.nodes[i].reads;
  return reads;
}

/* The store comes back without its last two configurations.  */
static void
return_store (void)
{
  w.era++;
  w.number -= 2;
  w.version -= 2;
  w.configured = w.number;
}

/* Guards against routes that a balancer does not know 3 s after they were
   added, after one return of the store or two in a row, and against a whole
   read by each balancer.  */
START_TEST (routes_are_known_after_returns)
{
  start_fleet ();
  for (int i = 0; i < 3; i++)
    {
      configure_store ();
      run_for (700 * BB_MSEC);
    }
  check_version_everywhere (8);
  for (int i = 0; i <= _i; i++)
    {
      unsigned reads = count_reads ();
      w.batches = 0;
      w.bytes = 0;
      return_store ();
      run_for (500 * BB_MSEC);
      check_version_everywhere (8);
      ck_assert_uint_eq (count_reads (), reads + 1);
      /* The reader sends to its data centre and to the other leader; that one
         to its own.  */
      ck_assert_uint_le (w.batches, 4);
      g_print ("return: 1 read, %u batches, %u bytes in 0.5 s\n", w.batches,
               (unsigned)w.bytes);
      run_for (BB_SEC);
    }
  /* The operator writes again what was lost, and more.  */
  w.version = 7;
  for (int i = 0; i < 3; i++)
    {
      configure_store ();
      run_for (400 * BB_MSEC);
    }
  run_for (BOUND - 400 * BB_MSEC);
  check_version_everywhere (10);
}
END_TEST

/* Guards against a balancer that joins after the return and keeps the
   configuration of the copy, although it reads the store itself.  */
START_TEST (joining_balancer_gets_the_newest_configuration)
{
  start_fleet ();
  configure_store ();
  run_for (BB_SEC);
  return_store ();
  run_for (BB_SEC);
  unsigned joiner = _i ? 0 : 5; /* the reader, or another one */
  stop_node (joiner);
  run_for (300 * BB_MSEC);
  start_node (joiner);
  run_for (BOUND);
  check_version_everywhere (6);
}
END_TEST

/* Guards against a data centre that stays in the old era because its leader
   missed the return, or because nothing reaches the reader.  */
START_TEST (balancers_that_missed_the_return_follow)
{
  start_fleet ();
  for (unsigned i = 0; i < NODES; i++)
    w.nodes[i].is_cut = i != (unsigned)_i;
  return_store ();
  w.is_silent = true;
  run_for (4 * BB_SEC);
  w.is_silent = false;
  run_for (BOUND);
  configure_store ();
  configure_store ();
  configure_store ();
  run_for (BOUND);
  check_version_everywhere (6);
}
END_TEST

int
main (void)
{
  Suite *suite = suite_create ("era");
  TCase *tc = tcase_create ("returns of the store");
  tcase_set_timeout (tc, 60);
  tcase_add_checked_fixture (tc, setup, teardown);
  tcase_add_loop_test (tc, copy_does_not_undo_what_happened_to_servers, 0,
                       G_N_ELEMENTS (servers));
  tcase_add_loop_test (tc, state_of_a_peer_does_not_undo_it, 0,
                       G_N_ELEMENTS (servers));
  tcase_add_loop_test (tc, written_entries_count_at_once, 0,
                       G_N_ELEMENTS (servers));
  tcase_add_test (tc, withheld_servers_are_known_everywhere);
  tcase_add_test (tc, server_of_a_late_peer_is_ready);
  tcase_add_test (tc, records_are_of_one_era);
  tcase_add_loop_test (tc, configuration_never_goes_back, 0,
                       G_N_ELEMENTS (versions));
  tcase_add_loop_test (tc, changes_start_from_the_configuration_held, 0,
                       G_N_ELEMENTS (changes));
  tcase_add_loop_test (tc, batch_is_of_the_era_held, 0,
                       G_N_ELEMENTS (batches));
  tcase_add_test (tc, late_answers_of_the_old_era_are_ignored);
  tcase_add_loop_test (tc, routes_are_known_after_returns, 0, 2);
  tcase_add_loop_test (tc, joining_balancer_gets_the_newest_configuration, 0,
                       2);
  tcase_add_loop_test (tc, balancers_that_missed_the_return_follow, 0, 2);
  suite_add_tcase (suite, tc);
  return run_suite (suite);
}
