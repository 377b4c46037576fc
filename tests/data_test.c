#include "runtime/peers.h"
#include "tests/loopback.h"
#include "wire/wire.h"

/* Writes a TCP segment with FLAGS to port 80 of DESTINATION; returns its
   length.  */
static size_t
write_segment (uint8_t *data, uint32_t destination, uint8_t flags)
{
  struct bb_packet packet = { .source = CALLER,
                              .destination = destination,
                              .source_port = 4000,
                              .destination_port = 80,
                              .protocol = 6,
                              .tcp_flags = BB_TCP_ACK,
                              .sequence = 7 };
  size_t length = bb_wire_encode_reset (data, &packet, false);
  data[33] = flags;
  return length;
}

static void
send_datagram (int fd, const uint8_t *data, size_t length)
{
  struct sockaddr_in to
      = { .sin_family = AF_INET,
          .sin_addr.s_addr = htonl (t.settings.self.data.address),
          .sin_port = htons (t.settings.self.data.port) };
  ck_assert_int_eq (
      sendto (fd, data, length, 0, (struct sockaddr *)&to, sizeof to),
      (ssize_t)length);
}

static uint64_t
count_drops (enum bb_drop kind)
{
  return bb_data_get_counters (t.p->data)->drops[kind]
         + bb_engine_counters (t.p->engine)->drops[kind];
}

static const struct
{
  const char *guard;
  int offset; /* of the byte to change in the datagram, -1 if none */
  uint8_t byte;
  int missing_bytes; /* bytes cut off at the end */
  uint32_t destination;
  uint8_t flags;
  enum bb_drop drop; /* NONE: the datagram reaches the server unchanged */
} datagrams[] = {
  { "a SYN that is changed or not forwarded", -1, 0, 0, SERVICE, BB_TCP_SYN,
    BB_DROP_NONE },
  { "a later segment that is not forwarded", -1, 0, 0, SERVICE, BB_TCP_ACK,
    BB_DROP_NONE },
  { "GUE version 1", 0, 0x40, 0, SERVICE, BB_TCP_SYN, BB_DROP_GUE_VERSION },
  { "a payload that is not IPv4", 1, 41, 0, SERVICE, BB_TCP_SYN,
    BB_DROP_NOT_IPV4 },
  { "IPv6 behind an IPv4 header type", 4, 0x60, 0, SERVICE, BB_TCP_SYN,
    BB_DROP_NOT_IPV4 },
  { "a fragment", 10, 0x20, 0, SERVICE, BB_TCP_SYN, BB_DROP_FRAGMENT },
  { "a truncated TCP header", -1, 0, 8, SERVICE, BB_TCP_SYN,
    BB_DROP_TRUNCATED },
  { "an empty datagram", -1, 0, 44, SERVICE, BB_TCP_SYN, BB_DROP_TRUNCATED },
  { "a destination that is no service", -1, 0, 0, SERVICE + 1, BB_TCP_SYN,
    BB_DROP_NO_SERVICE },
};

/* Guards against the fault that each row describes: a datagram is forwarded
   although it must be dropped, or a drop is not counted under its kind.  */
START_TEST (datagram_is_forwarded_or_counted)
{
  uint8_t data[64] = { 0 }, got[64];
  size_t header = bb_gue_encode (data, NULL);
  size_t length = header
                  + write_segment (data + header, datagrams[_i].destination,
                                   datagrams[_i].flags)
                  - (size_t)datagrams[_i].missing_bytes;
  if (datagrams[_i].offset >= 0)
    data[datagrams[_i].offset] = datagrams[_i].byte;
  send_datagram (t.fabric, data, length);
  while (bb_data_get_counters (t.p->data)->received_packets == 0)
    run_once ();
  ssize_t size = recv (t.server, got, sizeof got, 0);
  if (datagrams[_i].drop == BB_DROP_NONE)
    {
      ck_assert_int_eq (size, (ssize_t)length);
      ck_assert_mem_eq (got, data, length);
      return;
    }
  ck_assert_int_eq (size, -1);
  ck_assert_msg (count_drops (datagrams[_i].drop) == 1, "%s",
                 datagrams[_i].guard);
}
END_TEST

/* Guards against accepting handed-over packets from a sender that is not a
   balancer.  */
START_TEST (handover_is_accepted_from_peers_only)
{
  uint8_t data[64], got[64];
  struct bb_handover handover = { .hops = 1, .flags = BB_HAND_FINAL };
  size_t header = bb_gue_encode (data, &handover);
  size_t length = header + write_segment (data + header, SERVICE, BB_TCP_ACK);
  send_datagram (t.fabric, data, length);
  send_datagram (t.peer, data, length);
  while (bb_data_get_counters (t.p->data)->received_packets < 2)
    run_once ();
  ck_assert_uint_eq (count_drops (BB_DROP_NOT_PEER), 1);
  ck_assert_uint_eq (bb_engine_counters (t.p->engine)->handed_in, 1);
  ck_assert_int_eq (recv (t.server, got, sizeof got, 0),
                    (ssize_t)(length - BB_GUE_HANDOVER));
  ck_assert_int_eq (recv (t.server, got, sizeof got, 0), -1);
  ck_assert_int_eq (bb_data_last_fabric_packet (t.p->data), 0);
}
END_TEST

/* Guards against handling packets with stale state after a pause of the
   process.  The pause is simulated by handling no event for longer than the
   limit.  */
START_TEST (packets_of_a_pause_are_discarded)
{
  enum
  {
    COUNT = 200
  };
  uint8_t data[64], got[64];
  size_t header = bb_gue_encode (data, NULL);
  size_t length = header + write_segment (data + header, SERVICE, BB_TCP_SYN);
  for (int i = 0; i < COUNT; i++)
    send_datagram (t.fabric, data, length);
  g_usleep (BB_PAUSE_LIMIT + 100 * BB_MSEC);
  while (bb_data_get_counters (t.p->data)->discarded == 0)
    run_once ();
  ck_assert_uint_eq (bb_data_get_counters (t.p->data)->discarded, COUNT);
  ck_assert_int_eq (recv (t.server, got, sizeof got, 0), -1);
}
END_TEST

/* Guards against a refused flow whose caller gets no reset and waits for its
   own time-out, and against a reset that does not match the caller's SYN.  */
START_TEST (refused_flow_is_reset)
{
  struct bb_probe_report full = { .ok = true, .connections = 10 };
  uint8_t data[64], got[64];
  size_t header = bb_gue_encode (data, NULL);
  size_t length = header + write_segment (data + header, SERVICE, BB_TCP_SYN);
  bb_engine_receive_report (t.p->engine, bb_server_key ("s", "a"), &full,
                            bb_clock_boot ());
  ssize_t size = -1;
  while (size < 0)
    {
      send_datagram (t.fabric, data, length);
      run_once ();
      size = recv (t.egress, got, sizeof got, 0);
    }
  struct bb_packet reset;
  ck_assert_int_eq (
      bb_packet_parse (got + header, (size_t)size - header, &reset),
      BB_DROP_NONE);
  ck_assert_uint_eq (reset.destination, CALLER);
  ck_assert_uint_eq (reset.destination_port, 4000);
  ck_assert_int_eq (reset.tcp_flags, BB_TCP_RST | BB_TCP_ACK);
  ck_assert_uint_eq (reset.acknowledgement, 8);
}
END_TEST

/* Guards against a stop that ends while the fabric still sends packets, and
   against an exit status other than 0.  */
START_TEST (stop_waits_for_the_fabric)
{
  uint8_t data[64];
  size_t header = bb_gue_encode (data, NULL);
  size_t length = header + write_segment (data + header, SERVICE, BB_TCP_ACK);
  t.settings.quiet_ms = 300;
  bb_process_request_stop (t.p);
  bb_usec began = bb_clock_boot ();
  while (bb_clock_boot () - began < BB_SEC)
    {
      send_datagram (t.fabric, data, length);
      run_once ();
    }
  ck_assert_int_eq (bb_process_run (t.p), 0);
  ck_assert_int_ge (bb_clock_boot () - bb_data_last_fabric_packet (t.p->data),
                    300 * BB_MSEC);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("data");
  TCase *c = tcase_create ("loopback");
  tcase_add_unchecked_fixture (c, socket_reserve, socket_release);
  tcase_add_checked_fixture (c, set_up, tear_down);
  tcase_add_loop_test (c, datagram_is_forwarded_or_counted, 0,
                       G_N_ELEMENTS (datagrams));
  tcase_add_test (c, handover_is_accepted_from_peers_only);
  tcase_add_test (c, packets_of_a_pause_are_discarded);
  tcase_add_test (c, refused_flow_is_reset);
  tcase_add_test (c, stop_waits_for_the_fabric);
  suite_add_tcase (s, c);
  return run_suite (s);
}
