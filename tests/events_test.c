#include "runtime/events.h"
#include "runtime/log.h"
#include "tests/suite.h"
#include <json-c/json.h>
#include <string.h>

static void
add_event (struct bb_events *events, enum bb_event_kind kind, uint64_t value,
           bb_usec at)
{
  struct bb_event event = { .kind = kind, .value = value };
  bb_events_add (events, &event, at, at);
}

/* Creates a ring with COUNT events, one per second, whose values are numbered
   from 1.  */
static struct bb_events *
create_filled_events (uint32_t capacity, uint64_t count)
{
  struct bb_events *events = bb_events_new (capacity);
  for (uint64_t i = 1; i <= count; i++)
    add_event (events, BB_EVENT_VERSION, i, (bb_usec)i * BB_SEC);
  return events;
}

static const struct
{
  uint64_t count;
  uint64_t after;
  uint64_t next; /* expected seq, 0 if none */
} reads[] = {
  { 0, 0, 0 },   { 1, 0, 1 },   { 1, 1, 0 },          { 4, 0, 1 },
  { 4, 3, 4 },   { 5, 0, 2 },   { 11, 0, 8 },         { 11, 9, 10 },
  { 11, 11, 0 }, { 11, 12, 0 }, { 2, UINT64_MAX, 0 },
};

/* Guards against a reader that misses a stored event, reads an overwritten
   one, or reads one twice.  */
START_TEST (next_is_the_oldest_kept)
{
  struct bb_events *events = create_filled_events (4, reads[_i].count);
  const struct bb_event_record *r = bb_events_next (events, reads[_i].after);
  ck_assert_uint_eq (r ? r->seq : 0, reads[_i].next);
  if (r)
    ck_assert_uint_eq (r->event.value, reads[_i].next);
  bb_events_free (events);
}
END_TEST

/* Guards against a flood of one kind that displaces the other events from the
   ring, and against suppressed events that are not counted.  */
START_TEST (flood_is_limited_and_counted)
{
  enum
  {
    FLOOD = 10000
  };
  struct bb_events *events = bb_events_new (BB_EVENTS_CAPACITY);
  for (int i = 0; i < FLOOD; i++)
    add_event (events, BB_EVENT_REFUSED, 0, BB_SEC);
  add_event (events, BB_EVENT_PAUSE, 1, BB_SEC);
  ck_assert_uint_eq (bb_events_last_seq (events), BB_EVENTS_BURST + 1);
  ck_assert_uint_eq (bb_events_suppressed_count (events),
                     FLOOD - BB_EVENTS_BURST);
  add_event (events, BB_EVENT_REFUSED, 0, 2 * BB_SEC);
  const struct bb_event_record *r
      = bb_events_next (events, BB_EVENTS_BURST + 1);
  ck_assert_uint_eq (r->suppressed, FLOOD - BB_EVENTS_BURST);
  for (int i = 0; i < FLOOD; i++)
    add_event (events, BB_EVENT_REFUSED, 0, 2 * BB_SEC);
  ck_assert_uint_eq (bb_events_last_seq (events),
                     BB_EVENTS_BURST + 1 + BB_EVENTS_RATE);
  bb_events_free (events);
}
END_TEST

/* Guards against a token bucket that overflows or stays empty after a long
   time without events, or when the clock is read out of order.  */
START_TEST (limit_survives_jumps_of_the_clock)
{
  static const bb_usec jumps[]
      = { 0, BB_SEC, 400LL * 365 * 86400 * BB_SEC, 5, -BB_SEC, INT64_MAX / 2 };
  struct bb_events *events = bb_events_new (16);
  for (size_t i = 0; i < G_N_ELEMENTS (jumps); i++)
    add_event (events, BB_EVENT_VERSION, i, jumps[i]);
  ck_assert_uint_eq (bb_events_last_seq (events), G_N_ELEMENTS (jumps));
  bb_events_free (events);
}
END_TEST

static struct bb_server server = { .name = "ledger-01", .key = 12 };
static struct bb_service service
    = { .name = "ledger", .key = 11, .servers = &server, .server_count = 1 };
static const struct bb_fleet fleet
    = { .services = &service, .service_count = 1 };
static const struct bb_vm self
    = { .name = "kigali-1", .id = 5, .data_centre = "kigali" };

static const struct
{
  struct bb_event event;
  uint64_t suppressed;
  const char *tail; /* of the line, starting at "level" */
} lines[] = {
  { { .kind = BB_EVENT_VERSION, .value = 7 },
    0,
    "\"level\":\"info\",\"event\":\"version\",\"seq\":3,\"versions\":[1,2,3],"
    "\"peer\":null,\"server\":null,\"service\":null,\"flow\":null,"
    "\"value\":7}" },
  { { .kind = BB_EVENT_SERVER_DOWN, .server = 12 },
    9,
    "\"level\":\"warn\",\"event\":\"server_down\",\"seq\":3,"
    "\"versions\":[1,2,3],\"peer\":null,\"server\":\"ledger-01\","
    "\"service\":\"ledger\",\"flow\":null,\"value\":0,\"suppressed\":9}" },
  { { .kind = BB_EVENT_PEER_LOST, .peer = 5, .flow = 0xab },
    0,
    "\"level\":\"warn\",\"event\":\"peer_lost\",\"seq\":3,"
    "\"versions\":[1,2,3],\"peer\":\"kigali-1\",\"server\":null,"
    "\"service\":null,\"flow\":\"00000000000000ab\",\"value\":0}" },
  { { .kind = BB_EVENT_PEER_BACK, .peer = 0xff },
    0,
    "\"level\":\"info\",\"event\":\"peer_back\",\"seq\":3,"
    "\"versions\":[1,2,3],\"peer\":\"000000ff\",\"server\":null,"
    "\"service\":null,\"flow\":null,\"value\":0}" },
};

/* Guards against changes of the log format, which operators' scripts
   parse.  */
START_TEST (line_has_the_documented_fields)
{
  struct bb_names *names = bb_names_new ();
  bb_names_add_vms (names, &self, 1);
  bb_names_add_fleet (names, &fleet);
  struct bb_log *log = bb_log_new (&self, names, "error");
  struct bb_event_record record = { .seq = 3,
                                    .time_us = 100,
                                    .mono_us = 50,
                                    .versions = { 1, 2, 3 },
                                    .suppressed = lines[_i].suppressed,
                                    .event = lines[_i].event };
  char *line = bb_log_format (log, &record);
  char *expected = g_strconcat ("{\"time_us\":100,\"mono_us\":50,"
                                "\"vm\":\"kigali-1\","
                                "\"data_centre\":\"kigali\",",
                                lines[_i].tail, NULL);
  ck_assert_str_eq (line, expected);
  g_free (line);
  g_free (expected);
  bb_log_free (log);
  bb_names_free (names);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("events");
  TCase *t = tcase_create ("ring and log");
  tcase_add_loop_test (t, next_is_the_oldest_kept, 0, G_N_ELEMENTS (reads));
  tcase_add_test (t, flood_is_limited_and_counted);
  tcase_add_test (t, limit_survives_jumps_of_the_clock);
  tcase_add_loop_test (t, line_has_the_documented_fields, 0,
                       G_N_ELEMENTS (lines));
  suite_add_tcase (s, t);
  return run_suite (s);
}
