#include "bench/common_engine.h"
#include "wire/wire.h"

#define TICK_INTERVAL (50 * BB_MSEC)

enum
{
  SELF_ADDRESS = 0x7f000001,
  FIRST_PORT = 7000,
};

static void
record_message (void *context, const struct bb_vm *to,
                const struct bb_message *message)
{
  struct bench_engine *b = context;
  (void)to;
  GByteArray *bytes = bb_wire_encode (message);
  b->messages++;
  b->message_bytes += bytes->len;
  g_byte_array_unref (bytes);
  if (message->kind != BB_MESSAGE_HEARTBEAT)
    return;
  struct bb_heartbeat *h = &b->heartbeat;
  const struct bb_heartbeat *n = &message->u.heartbeat;
  g_free (b->bits);
  b->bits = g_memdup2 (n->bits, n->bit_count * sizeof *n->bits);
  if (n->count_count)
    {
      g_free (b->counts);
      b->counts = g_memdup2 (n->counts, n->count_count * sizeof *n->counts);
    }
  size_t kept_count = n->count_count ? n->count_count : h->count_count;
  *h = *n;
  h->bits = b->bits;
  h->counts = b->counts;
  h->count_count = kept_count;
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

static const struct bb_sink sink = {
  .message = record_message,
  .event = ignore_event,
  .document = refuse_document,
};

static struct bb_vm
make_vm (uint32_t number)
{
  struct bb_vm vm = { .state = BB_VM_LIVE };
  g_snprintf (vm.name, sizeof vm.name, "vm-%u", number);
  g_strlcpy (vm.data_centre, "dc-1", sizeof vm.data_centre);
  vm.id = bb_name_key (vm.name);
  vm.data = (struct bb_endpoint){ SELF_ADDRESS + number, 6080 };
  vm.control = (struct bb_endpoint){ SELF_ADDRESS + number,
                                     (uint16_t)(FIRST_PORT + number) };
  return vm;
}

/* Sends the engine's last heartbeat back from each peer, so that the peers
   report the same state and have acknowledged all of it.  */
static void
send_peer_heartbeats (struct bench_engine *b)
{
  struct bb_message m = { .kind = BB_MESSAGE_HEARTBEAT };
  for (uint32_t i = 0; i < b->peer_count; i++)
    {
      m.from = b->peer_ids[i];
      m.u.heartbeat = b->heartbeat;
      m.u.heartbeat.acknowledged = b->heartbeat.bits_sequence;
      m.u.heartbeat.incarnation = 1;
      m.u.heartbeat.replicated = true;
      m.u.heartbeat.state
          = b->heartbeat.generation ? BB_PEER_ACTIVE : BB_PEER_JOINING;
      bb_engine_receive_message (b->e, &m, b->now);
    }
}

double
bench_run_ticks (struct bench_engine *b, uint32_t count)
{
  double seconds = 0;
  while (count--)
    {
      b->now += TICK_INTERVAL;
      double start = bench_clock_thread ();
      bb_engine_tick (b->e, b->now);
      seconds += bench_clock_thread () - start;
      if (b->now % BB_HEARTBEAT_INTERVAL == 0)
        send_peer_heartbeats (b);
    }
  return seconds;
}

struct bench_engine *
bench_start_engine (const struct bb_fleet *fleet, uint32_t peers,
                    uint32_t flow_capacity, bb_usec start)
{
  struct bench_engine *b = g_new0 (struct bench_engine, 1);
  struct bb_engine_options o = { .self = make_vm (0),
                                 .incarnation = 1,
                                 .flow_capacity = flow_capacity,
                                 .push_bytes = 4000,
                                 .seed = 1 };
  b->now = start - start % BB_HEARTBEAT_INTERVAL;
  b->peer_count = peers;
  b->e = bb_engine_new (&o, &sink, b, b->now);
  for (uint32_t i = 0; i < peers; i++)
    {
      struct bb_vm vm = make_vm (i + 1);
      b->peer_ids[i] = vm.id;
      bb_engine_add_peer (b->e, &vm, b->now);
    }
  bb_engine_set_fleet (b->e, fleet, b->now);
  struct bb_engine_status status = { .state = BB_PEER_JOINING };
  while (status.state != BB_PEER_ACTIVE || b->now < start + 20 * BB_SEC)
    {
      bench_run_ticks (b, 10);
      bb_engine_status (b->e, b->now, &status);
      if (b->now > start + BENCH_START_LIMIT)
        g_error (
            "the engine did not become active within 30 s of simulated time");
    }
  return b;
}

void
bench_stop_engine (struct bench_engine *b)
{
  bb_engine_free (b->e);
  g_free (b->bits);
  g_free (b->counts);
  g_free (b);
}
