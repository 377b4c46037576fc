/* Hand-over of one tracked flow while balancers crash, join and leave.

   Balancers 0 to 3 are numbered in the rendezvous order of the flow.  The
   membership views follow the true states one change at a time, in any order.
   Rule under test: a packet that enters at any balancer reaches a balancer
   that holds the entry, or is lost on the way to a dead balancer, in which
   case the caller retransmits it.  The model has two replicas and one crash instead of
   three and two, to keep the state space small.  One balancer joins and one
   leaves meanwhile.

   Mutations: NO_CHAIN, NO_PASS_ON, LEAVE_EARLY, JOINING_COUNTS,
   ACTIVE_ONLY.  */

#define N 4
#define REPLICAS 2
#define CRASHES 1
#define ABSENT 0
#define JOINING 1
#define ACTIVE 2
#define LEAVING 3
#define DEAD 4

byte state[N];
byte view[16]; /* view[i * N + j]: state of j in the view of i */
bool has_entry[N];
byte crashes, leaves;

#define V(i, j) view[(i) * N + (j)]
#define UP(i) \
  (state[i] == JOINING || state[i] == ACTIVE || state[i] == LEAVING)
#define LIVE(s) ((s) == JOINING || (s) == ACTIVE || (s) == LEAVING)

/* k has reported to the joining balancer me that all entries were
   replicated.  */
#define REPLICATED(k, me) (k == me || !LIVE (V (me, k)) || !UP (k) || \
  (V (k, me) == JOINING && (has_entry[me] || !has_entry[k])))
/* k has reported to the leaving balancer me that k holds the entries of its
   rank.  */
#define HOLDS_RANK(k, me, r) ((r >= REPLICAS || !UP (k) || has_entry[k]) && \
  (k == me || !UP (k) || V (k, me) == LEAVING) && V (me, k) == state[k])

#ifdef JOINING_COUNTS
#define IN_ORDER(s) (s == ACTIVE || s == JOINING)
#else
#define IN_ORDER(s) (s == ACTIVE)
#endif

/* r = rank of j in the order of i; N if j is not in it.  A joining balancer
   displaces no active one, so that an entry has all its replicas without the
   joining balancer.  */
inline rank (i, j, r)
{
  r = 0; x = 0;
  do
  :: x < j -> r = r + (IN_ORDER (V (i, x)) -> 1 : 0); x++
  :: else -> break
  od;
  r = (V (i, j) == ACTIVE || V (i, j) == JOINING -> r : N)
}

/* o = first active balancer in the order of i; N if there is none.  */
inline first_active (i, o)
{
  o = 0;
  do
  :: o < N && V (i, o) != ACTIVE -> o++
  :: else -> break
  od
}

/* If no active balancer is left, leaving and then joining ones are
   queried.  */
#ifdef ACTIVE_ONLY
#define FALLBACK_1 ACTIVE
#define FALLBACK_2 ACTIVE
#else
#define FALLBACK_1 LEAVING
#define FALLBACK_2 JOINING
#endif
inline next_in_state (i, o, s)
{
  if
  :: o == N ->
     o = 0;
     do
     :: o < N && (V (i, o) != s || visited[o]) -> o++
     :: else -> break
     od
  :: else
  fi
}

/* o = next balancer that a packet at i is passed to.  */
inline next_holder (i, o)
{
  o = 0;
  do
  :: o < N && (V (i, o) != ACTIVE || visited[o]) -> o++
  :: else -> break
  od;
  next_in_state (i, o, FALLBACK_1);
  next_in_state (i, o, FALLBACK_2)
}

/* Routes a packet that enters at i; a balancer that holds the entry
   uses it.  */
inline route_packet (i)
{
  cur = i; hops = 0;
  do
  :: has_entry[cur] -> break
  :: else ->
     visited[cur] = true;
#ifdef NO_PASS_ON
     if
     :: hops > 0 -> assert (false)
     :: else
     fi;
#endif
     next_holder (cur, o);
     assert (o < N);
     if
     :: !UP (o) -> break /* lost; the caller retransmits */
     :: else -> cur = o; hops++; assert (hops <= 4)
     fi
  od;
  visited[0] = false; visited[1] = false;
  visited[2] = false; visited[3] = false;
  cur = 0; hops = 0; o = 0
}

/* Receives changes of the membership; the view of a joining balancer starts
   with the true states.  */
proctype balancer (byte me)
{
  byte x, r, o, k, cur, hops;
  bool visited[N];
  bool ok;
end:
  do
  :: atomic { UP (me) -> /* one change of the membership is received */
       if
       :: V (me, 0) != state[0] -> V (me, 0) = state[0]
       :: V (me, 1) != state[1] -> V (me, 1) = state[1]
       :: V (me, 2) != state[2] -> V (me, 2) = state[2]
       :: V (me, 3) != state[3] -> V (me, 3) = state[3]
       :: else
       fi }
  :: atomic { UP (me) && has_entry[me] ->
       /* paced replication by the first active balancer in the order */
       first_active (me, o);
       k = 0;
       do
       :: k < N ->
          rank (me, k, r);
          if
          :: (o == me || V (me, me) == LEAVING) && r < REPLICAS && UP (k) &&
             !has_entry[k] ->
             has_entry[k] = true; break
          :: else -> k++
          fi
       :: else -> break
       od;
       x = 0; r = 0; k = 0; o = 0 }
  :: atomic { state[me] == ACTIVE && crashes < CRASHES ->
       state[me] = DEAD; has_entry[me] = false; crashes++ }
  :: atomic { state[me] == ABSENT ->
       k = 0;
       do
       :: k < N -> V (me, k) = state[k]; k++
       :: else -> break
       od;
       state[me] = JOINING; V (me, me) = JOINING; k = 0 }
  :: atomic { state[me] == JOINING ->
       /* every live peer reports that its replication is done */
       ok = true; k = 0;
       do
       :: k < N ->
          ok = ok && REPLICATED (k, me);
          k++
       :: else -> break
       od;
       if
       :: ok -> state[me] = ACTIVE; V (me, me) = ACTIVE
       :: else
       fi;
       ok = false; k = 0 }
  :: atomic { state[me] == ACTIVE && leaves == 0 ->
       state[me] = LEAVING; V (me, me) = LEAVING; leaves++ }
  :: atomic { state[me] == LEAVING ->
       /* exits once all replicas hold its entry */
       ok = true; k = 0;
#ifndef LEAVE_EARLY
       do
       :: k < N ->
          rank (me, k, r);
          ok = ok && HOLDS_RANK (k, me, r);
          k++
       :: else -> break
       od;
#endif
       if
       :: ok -> state[me] = DEAD; has_entry[me] = false
       :: else
       fi;
       ok = false; x = 0; r = 0; k = 0 }
  :: atomic { UP (me) && (state[me] != JOINING || V (me, me) == JOINING) ->
       /* a packet enters here */
       first_active (me, o);
       if
       :: o < N -> o = 0; route_packet (me)
       :: else
       fi;
       o = 0 }
  od
}

init
{
  byte a, i, j;
  atomic {
    select (a : 0 .. 3);
    i = 0;
    do
    :: i < N -> state[i] = (i == a -> ABSENT : ACTIVE); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < N ->
       j = 0;
       do
       :: j < N -> V (i, j) = state[j]; j++
       :: else -> break
       od;
#ifdef NO_CHAIN
       has_entry[i] = (i == (a == 0 -> 1 : 0));
#else
       has_entry[i] =
         (i != a && i < (a < REPLICAS -> REPLICAS + 1 : REPLICAS));
#endif
       i++
    :: else -> break
    od;
    i = 0; j = 0;
    run balancer (0); run balancer (1); run balancer (2); run balancer (3)
  }
}
