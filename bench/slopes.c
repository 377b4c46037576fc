/* Measures the cost of each part at three or more sizes and prints lines of
   "slope NAME VALUE UNIT intercept INTERCEPT at SIZE=COST ..." for
   bench/capacity.sh.  VALUE and INTERCEPT are those of the least-squares line
   through the points.  */

#include "bench/common_engine.h"
#include "config/config.h"
#include "core/engine_private.h"
#include "core/hash.h"
#include "wire/wire.h"
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>

enum
{
  POINTS_MAX = 4,
  REPEATS = 5,
  TICKS = 200,
  CAPACITY = 1000,         /* of the flow table, where it is not varied */
  SERVERS_PER_SERVICE = 6, /* 54,000 servers behind 8,900 addresses */
};

struct slope
{
  const char *name;
  const char *unit; /* unit of the slope: the cost of one more element */
  double (*cost) (uint32_t size); /* in seconds or bytes */
  double scale;                   /* converts COST to UNIT */
  uint32_t sizes[POINTS_MAX];
};

static double
cost_of_table (uint32_t servers)
{
  uint32_t buckets = bench_bucket_count (servers);
  uint16_t *table = g_new0 (uint16_t, buckets);
  struct bb_maglev_member *m = g_new0 (struct bb_maglev_member, servers);
  for (uint32_t i = 0; i < servers; i++)
    m[i] = (struct bb_maglev_member){ (i + 1) * 2654435761U, 100 };
  double start = bench_clock_thread ();
  bb_maglev_fill (table, buckets, m, servers);
  double cost = bench_clock_thread () - start;
  g_free (table);
  g_free (m);
  return cost;
}

static double
cost_of_orders (uint32_t members)
{
  struct bb_view *v = g_new0 (struct bb_view, 1);
  for (uint32_t i = 0; i < members; i++)
    v->ids[i] = (i + 1) * 2654435761U;
  v->count = members;
  double start = bench_clock_thread ();
  bb_order_fill (v);
  double cost = bench_clock_thread () - start;
  g_free (v);
  return cost;
}

/* Returns the processor seconds that putting a version in force takes.  */
static double
cost_of_version (uint32_t servers)
{
  struct bb_fleet *f = bench_make_fleet (servers / SERVERS_PER_SERVICE,
                                         SERVERS_PER_SERVICE, BB_POLICY_TABLE);
  struct bench_engine *b = bench_start_engine (f, 0, CAPACITY, BENCH_START);
  f->base_version++;
  double start = bench_clock_thread ();
  bb_engine_set_fleet (b->e, f, b->now);
  double cost = bench_clock_thread () - start;
  bench_stop_engine (b);
  bb_fleet_free (f);
  return cost;
}

static double
bytes_in_use (void)
{
  struct mallinfo2 i = mallinfo2 ();
  return (double)i.uordblks + (double)i.hblkhd;
}

static double
memory_of_servers (uint32_t servers)
{
  struct bb_fleet *f = bench_make_fleet (servers / SERVERS_PER_SERVICE,
                                         SERVERS_PER_SERVICE, BB_POLICY_TABLE);
  double before = bytes_in_use ();
  struct bench_engine *b = bench_start_engine (f, 0, CAPACITY, BENCH_START);
  double bytes = bytes_in_use () - before;
  bench_stop_engine (b);
  bb_fleet_free (f);
  return bytes;
}

static double
memory_of_entries (uint32_t entries)
{
  struct bb_flows t;
  double before = bytes_in_use ();
  bb_flows_init (&t, entries);
  double bytes = bytes_in_use () - before;
  bb_flows_clear (&t);
  return bytes;
}

/* Returns the processor seconds that the ticks of one second take.  */
static double
cost_of_ticks (uint32_t servers, uint32_t peers, uint32_t entries)
{
  struct bb_fleet *f
      = bench_make_fleet (MAX (servers / SERVERS_PER_SERVICE, 1),
                          SERVERS_PER_SERVICE, BB_POLICY_TABLE);
  struct bench_engine *b = bench_start_engine (f, peers, entries, BENCH_START);
  for (uint32_t i = 0; i < entries * 3 / 4; i++)
    bb_entry_record (b->e, bb_hash_score (i, 1), (uint16_t)(i % 6),
                     BB_FLOW_OPEN);
  double cost = bench_run_ticks (b, TICKS) / TICKS * 20;
  bench_stop_engine (b);
  bb_fleet_free (f);
  return cost;
}

static double
ticks_with_servers (uint32_t servers)
{
  return cost_of_ticks (servers, 7, CAPACITY);
}

static double
ticks_with_peers (uint32_t peers)
{
  return cost_of_ticks (SERVERS_PER_SERVICE, peers, CAPACITY);
}

static double
ticks_with_entries (uint32_t entries)
{
  return cost_of_ticks (SERVERS_PER_SERVICE, 0, entries);
}

static double
bytes_of (const struct bb_message *m)
{
  GByteArray *bytes = bb_wire_encode (m);
  double n = bytes->len;
  g_byte_array_unref (bytes);
  return n;
}

static double
bytes_of_heartbeat (uint32_t counts, uint32_t bits)
{
  uint32_t *keys = g_new0 (uint32_t, bits + 1);
  int32_t *open = g_new0 (int32_t, counts + 1);
  for (uint32_t i = 0; i < bits; i++)
    keys[i] = 0x80000000 + i;
  for (uint32_t i = 0; i < counts; i++)
    open[i] = 1000 + (int32_t)i;
  struct bb_message m = { .kind = BB_MESSAGE_HEARTBEAT, .from = 0x80000001 };
  m.u.heartbeat = (struct bb_heartbeat){
    .incarnation = 1765000000000000,
    .state = BB_PEER_ACTIVE,
    .versions = { 70000, 70000, 70000 },
    .generation = 100,
    .default_set_digest = 0x80000001,
    .bits_sequence = 0x80000001,
    .bits = keys,
    .bit_count = bits,
    .acknowledged = 0x80000001,
    .replicated = true,
    .counts_digest = 0x80000001,
    .counts = open,
    .count_count = counts,
    .members_digest = 0x80000001,
  };
  double bytes = bytes_of (&m);
  g_free (keys);
  g_free (open);
  return bytes;
}

static double
heartbeat_with_servers (uint32_t servers)
{
  return bytes_of_heartbeat (servers, 0);
}

static double
heartbeat_with_bits (uint32_t bits)
{
  return bytes_of_heartbeat (0, bits);
}

static double
bytes_of_members (uint32_t count)
{
  struct bb_vm *vms = g_new0 (struct bb_vm, count);
  for (uint32_t i = 0; i < count; i++)
    {
      g_snprintf (vms[i].name, sizeof vms[i].name, "entry-%06u", i);
      g_strlcpy (vms[i].data_centre, "region-3-dc-07", BB_NAME_MAX);
      vms[i].id = bb_name_key (vms[i].name);
      vms[i].data = (struct bb_endpoint){ 0x0a000000 + i, 6080 };
      vms[i].control = (struct bb_endpoint){ 0x0a000000 + i, 6081 };
    }
  struct bb_message m = { .kind = BB_MESSAGE_MEMBERS,
                          .u.members = { .vms = vms, .vm_count = count } };
  double bytes = bytes_of (&m);
  g_free (vms);
  return bytes;
}

static double
bytes_of_entries (uint32_t count)
{
  struct bb_entry *e = g_new0 (struct bb_entry, count);
  for (uint32_t i = 0; i < count; i++)
    e[i] = (struct bb_entry){ bb_hash_score (i, 1), 0x80000000 + i, 1 };
  struct bb_message m
      = { .kind = BB_MESSAGE_ENTRIES,
          .u.entries = { 1, .entries = e, .entry_count = count } };
  double bytes = bytes_of (&m);
  g_free (e);
  return bytes;
}

static GString *
write_document (uint32_t servers)
{
  GString *s = g_string_new ("{\"version\": 1, \"hash_seed\": 1,\n"
                             "\"data_centres\": {\"dc-1\": "
                             "{\"entry_networks\": [\"10.20.1.0/24\"]}},\n"
                             "\"services\": {");
  for (uint32_t i = 0; i < servers; i++)
    {
      uint32_t k = i / SERVERS_PER_SERVICE;
      if (i % SERVERS_PER_SERVICE == 0)
        g_string_append_printf (
            s,
            "%s\n\"service-%05u\": {\"address\": \"10.21.%u.%u\", \"port\": "
            "7001, \"protocol\": \"tcp\", \"policy\": \"table\",\n"
            "\"connection_limit\": 2000, \"slots\": 2, \"servers\": {",
            i ? "}}," : "", k, k / 250, k % 250 + 1);
      g_string_append_printf (
          s,
          "%s\n\"server-%05u\": {\"address\": \"10.%u.%u.%u\", \"gue_port\": "
          "6080, \"health_port\": 8080}",
          i % SERVERS_PER_SERVICE ? "," : "", i, 30 + i / 62500, i / 250 % 250,
          i % 250 + 1);
    }
  return g_string_append (s, "}}}}");
}

static double
bytes_of_document (uint32_t servers)
{
  GString *s = write_document (servers);
  double bytes = (double)s->len;
  g_string_free (s, TRUE);
  return bytes;
}

static double
cost_of_parsing (uint32_t servers)
{
  GString *s = write_document (servers);
  GPtrArray *problems = bb_problems_new ();
  double start = bench_clock_thread ();
  struct bb_config_document *d
      = bb_config_parse ("base", (const uint8_t *)s->str, s->len, problems);
  struct bb_fleet *f = bb_config_merge (d, NULL, "dc-1", problems);
  double cost = bench_clock_thread () - start;
  if (!f)
    {
      const struct bb_problem *p = g_ptr_array_index (problems, 0);
      g_error ("the generated document was refused: %s: %s", p->path, p->text);
    }
  bb_fleet_free (f);
  bb_config_document_free (d);
  g_ptr_array_unref (problems);
  g_string_free (s, TRUE);
  return cost;
}

static const struct slope slopes[] = {
  { "table_build", "us/server", cost_of_table, 1e6, { 14, 56, 224, 896 } },
  { "orders_build", "us/member", cost_of_orders, 1e6, { 9, 32, 64 } },
  { "version", "us/server", cost_of_version, 1e6, { 60, 240, 960, 3840 } },
  { "memory", "bytes/server", memory_of_servers, 1, { 60, 240, 960 } },
  { "entry_memory",
    "bytes/entry",
    memory_of_entries,
    1,
    { 10000, 100000, 300000 } },
  { "tick_servers",
    "us/s/server",
    ticks_with_servers,
    1e6,
    { 12, 48, 192, 768 } },
  { "tick_peers", "us/s/peer", ticks_with_peers, 1e6, { 1, 8, 32, 63 } },
  { "tick_entries",
    "ns/s/entry",
    ticks_with_entries,
    1e9,
    { 10000, 100000, 300000 } },
  { "heartbeat",
    "bytes/server",
    heartbeat_with_servers,
    1,
    { 14, 140, 1400 } },
  { "heartbeat_bits", "bytes/bit", heartbeat_with_bits, 1, { 0, 14, 140 } },
  { "members", "bytes/vm", bytes_of_members, 1, { 9, 64, 524 } },
  { "entries", "bytes/entry", bytes_of_entries, 1, { 1, 10, 50 } },
  { "document", "bytes/server", bytes_of_document, 1, { 60, 600, 6000 } },
  { "parse", "us/server", cost_of_parsing, 1e6, { 60, 600, 6000 } },
};

static void
measure (const struct slope *s)
{
  double n = 0, sx = 0, sy = 0, sxx = 0, sxy = 0;
  double points[POINTS_MAX] = { 0 };
  for (int i = 0; i < POINTS_MAX && (i == 0 || s->sizes[i]); i++)
    {
      double values[REPEATS], x = s->sizes[i];
      for (int k = 0; k < REPEATS; k++)
        values[k] = s->cost (s->sizes[i]) * s->scale;
      double y = points[i] = bench_median (values, REPEATS);
      n++, sx += x, sy += y, sxx += x * x, sxy += x * y;
    }
  double slope = (n * sxy - sx * sy) / (n * sxx - sx * sx);
  printf ("slope %s %.4g %s intercept %.4g at", s->name, slope, s->unit,
          (sy - slope * sx) / n);
  for (int i = 0; i < POINTS_MAX && (i == 0 || s->sizes[i]); i++)
    printf (" %u=%.4g", s->sizes[i], points[i]);
  printf ("\n");
  fflush (stdout);
}

int
main (void)
{
  for (size_t i = 0; i < G_N_ELEMENTS (slopes); i++)
    measure (&slopes[i]);
  return EXIT_SUCCESS;
}
