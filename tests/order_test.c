#include "core/engine_private.h"
#include "tests/suite.h"

enum
{
  MEMBERS = 9,
  HASHES = 20000,
  SEED = 3,
};

static struct bb_view *
make_view (uint32_t first, uint32_t count, bool reverse)
{
  struct bb_view *v = g_new0 (struct bb_view, 1);
  for (uint32_t i = 0; i < count; i++)
    v->ids[i] = 1000 * (first + (reverse ? count - 1 - i : i));
  v->count = count;
  bb_order_fill (v);
  return v;
}

/* Guards against balancers that compute different owners because they list
   their peers in another order, against owners that change although another
   member left, and against a member that owns far more flows than others.  */
START_TEST (owners_are_stable_and_spread)
{
  struct bb_view *all = make_view (1, MEMBERS, false);
  struct bb_view *reverse = make_view (1, MEMBERS, true);
  struct bb_view *fewer = make_view (1, MEMBERS - 1, false);
  GRand *rand = g_rand_new_with_seed (SEED);
  uint32_t has_owner[MEMBERS] = { 0 };
  for (int n = 0; n < HASHES; n++)
    {
      uint64_t hash = (uint64_t)g_rand_int (rand) << 32 | g_rand_int (rand);
      int owner = bb_order_owner (all, hash);
      has_owner[owner]++;
      ck_assert_int_eq (bb_order_owner (reverse, hash), MEMBERS - 1 - owner);
      if (owner < MEMBERS - 1)
        ck_assert_int_eq (bb_order_owner (fewer, hash), owner);
      else
        /* The second member of the order takes over; it holds the entry.  */
        ck_assert_int_eq (bb_order_owner (fewer, hash),
                          bb_order_replicas (all, hash)->members[1]);
    }
  for (int i = 0; i < MEMBERS; i++)
    ck_assert_uint_le (has_owner[i], HASHES / MEMBERS * 5 / 4);
  g_rand_free (rand);
  g_free (all);
  g_free (reverse);
  g_free (fewer);
}
END_TEST

struct order_case
{
  uint32_t members;
  uint32_t joining; /* number of joining members, the first ones */
  uint32_t min_replicas;
  uint32_t max_replicas;
  bool has_owner;
};

static const struct order_case cases[] = {
  { 0, 0, 0, 0, false }, { 1, 0, 1, 1, true },  { 2, 0, 2, 2, true },
  { 9, 0, 3, 3, true },  { 9, 2, 3, 4, true },  { 9, 8, 1, 4, true },
  { 5, 5, 4, 4, false }, { 64, 0, 3, 3, true },
};

/* Guards against joining members that own flows, and against fewer replicas
   than the active members allow.  */
START_TEST (joining_members_hold_but_do_not_own)
{
  const struct order_case *c = &cases[_i];
  struct bb_view *v = make_view (1, c->members, false);
  for (uint32_t i = 0; i < c->joining; i++)
    v->joining[i] = true;
  bb_order_fill (v);
  for (uint64_t p = 0; p < BB_PARTITIONS; p++)
    {
      const struct bb_order *o = bb_order_replicas (v, p << 32);
      int owner = bb_order_owner (v, p << 32);
      ck_assert_int_eq (owner >= 0, c->has_owner);
      ck_assert (owner < 0 || !v->joining[owner]);
      ck_assert_uint_ge (o->count, c->min_replicas);
      ck_assert_uint_le (o->count, c->max_replicas);
      for (uint32_t i = 0; i < o->count; i++)
        for (uint32_t k = 0; k < i; k++)
          ck_assert_uint_ne (o->members[i], o->members[k]);
    }
  g_free (v);
}
END_TEST

/* Guards against replicas of an earlier view that refer to another member, or
   past the end, after a restarted process was removed from it, and against a
   member that counts as a replica although it did not receive the entry.  */
START_TEST (removed_members_leave_the_orders)
{
  struct bb_view *before = make_view (1, MEMBERS, false);
  struct bb_view *v = make_view (1, MEMBERS, false);
  uint8_t gone = (uint8_t)_i, last = MEMBERS - 1;
  v->ids[gone] = v->ids[last];
  v->count--;
  bb_order_remove_member (v, gone, last);
  for (uint64_t p = 0; p < BB_PARTITIONS; p++)
    {
      const struct bb_order *old = bb_order_replicas (before, p << 32);
      const struct bb_order *o = bb_order_replicas (v, p << 32);
      uint32_t kept = 0;
      for (uint32_t i = 0; i < old->count; i++)
        if (old->members[i] != gone)
          {
            ck_assert_uint_lt (o->members[kept], v->count);
            ck_assert_uint_eq (v->ids[o->members[kept++]],
                               before->ids[old->members[i]]);
          }
      ck_assert_uint_eq (o->count, kept);
    }
  g_free (before);
  g_free (v);
}
END_TEST

int
main (void)
{
  Suite *s = suite_create ("order");
  TCase *t = tcase_create ("rendezvous");
  tcase_add_test (t, owners_are_stable_and_spread);
  tcase_add_loop_test (t, joining_members_hold_but_do_not_own, 0,
                       G_N_ELEMENTS (cases));
  tcase_add_loop_test (t, removed_members_leave_the_orders, 0, MEMBERS);
  suite_add_tcase (s, t);
  return run_suite (s);
}
