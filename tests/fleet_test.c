#include "core/core.h"
#include "tests/suite.h"

/* Guards against one key for two pairs of service and server whose names join
   to the same text, or for a pair and a single name, and against key 0, which
   means none.  */
START_TEST (keys_keep_names_apart)
{
  ck_assert_uint_ne (bb_server_key ("a", "bc"), bb_server_key ("ab", "c"));
  ck_assert_uint_ne (bb_server_key ("a", "b"), bb_name_key ("ab"));
  ck_assert_uint_eq (bb_server_key ("a", "b"), bb_server_key ("a", "b"));
  ck_assert_uint_ne (bb_name_key (""), 0);
}
END_TEST

/* Guards against keys that change between releases: balancers of both releases
   run side by side during a replacement.  */
START_TEST (keys_are_stable)
{
  ck_assert_uint_eq (bb_name_key ("ledger"), 0x9003885eU);
  ck_assert_uint_eq (bb_server_key ("ledger", "ledger-01"), 0xeeaf0f7U);
}
END_TEST

/* Guards against a copy that shares memory with the original.  */
START_TEST (copy_is_deep)
{
  struct bb_fleet *f = g_new0 (struct bb_fleet, 1);

  f->service_count = 1;
  f->services = g_new0 (struct bb_service, 1);
  f->services[0].server_count = 2;
  f->services[0].servers = g_new0 (struct bb_server, 2);
  f->services[0].servers[1].weight = 7;
  f->network_count = 1;
  f->networks = g_new0 (struct bb_network, 1);
  f->networks[0].prefix = 24;
  struct bb_fleet *copy = bb_fleet_copy (f);
  f->services[0].servers[1].weight = 8;
  bb_fleet_free (f);
  ck_assert_uint_eq (copy->services[0].servers[1].weight, 7);
  ck_assert_uint_eq (copy->networks[0].prefix, 24);
  bb_fleet_free (copy);
  bb_fleet_free (NULL);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("fleet");
  TCase *t = tcase_create ("values");

  tcase_add_test (t, keys_keep_names_apart);
  tcase_add_test (t, keys_are_stable);
  tcase_add_test (t, copy_is_deep);
  suite_add_tcase (s, t);
  return run_suite (s);
}
