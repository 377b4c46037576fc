/* Hand-over of one tracked flow while balancers crash, join and leave.

   Balancers 0 to 3 are numbered in the rendezvous order of the flow.  Views
   of the membership follow the truth one fact at a time, in any order.  Rule
   under test: whichever balancer a packet enters, it reaches one that holds
   the entry, or it is lost on the way to a dead one, which callers repair by
   retransmission.  Two replicas and one crash stand for three and two, which
   keeps the state space small; one balancer joins and one leaves meanwhile.

   Mutations: NO_CHAIN, NO_PASS_ON, LEAVE_EARLY, JOINING_COUNTS, ACTIVE_ONLY.  */

#define N 4
#define REPLICAS 2
#define CRASHES 1
#define ABSENT 0
#define JOINING 1
#define ACTIVE 2
#define LEAVING 3
#define DEAD 4

byte st[N];
byte view[16]; /* view[i * N + j]: state of j as i knows it */
bool has[N];
byte crashes, leaves;

#define V(i, j) view[(i) * N + (j)]
#define UP(i) (st[i] == JOINING || st[i] == ACTIVE || st[i] == LEAVING)
#define LIVE(s) ((s) == JOINING || (s) == ACTIVE || (s) == LEAVING)

/* k has reported to the joining me that all entries were pushed.  */
#define PUSHED(k, me) (k == me || !LIVE (V (me, k)) || !UP (k) || \
  (V (k, me) == JOINING && (has[me] || !has[k])))
/* k has reported to the leaving me that it holds the entries of its rank.  */
#define TAKEN(k, me, r) ((r >= REPLICAS || !UP (k) || has[k]) && \
  (k == me || !UP (k) || V (k, me) == LEAVING) && V (me, k) == st[k])

#ifdef JOINING_COUNTS
#define COUNTS(s) (s == ACTIVE || s == JOINING)
#else
#define COUNTS(s) (s == ACTIVE)
#endif

/* r = rank of j in the order of i; N if not in it.  A joining one displaces no
   active one, so that an entry is held by all replicas without it.  */
inline rank (i, j, r)
{
  r = 0; x = 0;
  do
  :: x < j -> r = r + (COUNTS (V (i, x)) -> 1 : 0); x++
  :: else -> break
  od;
  r = (V (i, j) == ACTIVE || V (i, j) == JOINING -> r : N)
}

/* o = first active one in the order of i; N if none.  */
inline first (i, o)
{
  o = 0;
  do
  :: o < N && V (i, o) != ACTIVE -> o++
  :: else -> break
  od
}

/* If no active one is left, leaving and then joining ones are tried.  */
#ifdef ACTIVE_ONLY
#define LAST_1 ACTIVE
#define LAST_2 ACTIVE
#else
#define LAST_1 LEAVING
#define LAST_2 JOINING
#endif
inline try (i, o, s)
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

/* o = next one that a packet at i is passed to.  */
inline next (i, o)
{
  o = 0;
  do
  :: o < N && (V (i, o) != ACTIVE || visited[o]) -> o++
  :: else -> break
  od;
  try (i, o, LAST_1);
  try (i, o, LAST_2)
}

/* Follows a packet that enters at i; an ingress uses its own entry.  */
inline walk (i)
{
  cur = i; hops = 0;
  do
  :: has[cur] -> break
  :: else ->
     visited[cur] = true;
#ifdef NO_PASS_ON
     if
     :: hops > 0 -> assert (false)
     :: else
     fi;
#endif
     next (cur, o);
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

/* Learns of a change; the views of a joining one start with the truth.  */
proctype balancer (byte me)
{
  byte x, r, o, k, cur, hops;
  bool visited[N];
  bool ok;
end:
  do
  :: atomic { UP (me) -> /* one fact of the membership arrives */
       if
       :: V (me, 0) != st[0] -> V (me, 0) = st[0]
       :: V (me, 1) != st[1] -> V (me, 1) = st[1]
       :: V (me, 2) != st[2] -> V (me, 2) = st[2]
       :: V (me, 3) != st[3] -> V (me, 3) = st[3]
       :: else
       fi }
  :: atomic { UP (me) && has[me] -> /* paced push by the first of the order */
       first (me, o);
       k = 0;
       do
       :: k < N ->
          rank (me, k, r);
          if
          :: (o == me || V (me, me) == LEAVING) && r < REPLICAS && UP (k) && !has[k] ->
             has[k] = true; break
          :: else -> k++
          fi
       :: else -> break
       od;
       x = 0; r = 0; k = 0; o = 0 }
  :: atomic { st[me] == ACTIVE && crashes < CRASHES ->
       st[me] = DEAD; has[me] = false; crashes++ }
  :: atomic { st[me] == ABSENT ->
       k = 0;
       do
       :: k < N -> V (me, k) = st[k]; k++
       :: else -> break
       od;
       st[me] = JOINING; V (me, me) = JOINING; k = 0 }
  :: atomic { st[me] == JOINING -> /* every live peer reports its push done */
       ok = true; k = 0;
       do
       :: k < N ->
          ok = ok && PUSHED (k, me);
          k++
       :: else -> break
       od;
       if
       :: ok -> st[me] = ACTIVE; V (me, me) = ACTIVE
       :: else
       fi;
       ok = false; k = 0 }
  :: atomic { st[me] == ACTIVE && leaves == 0 ->
       st[me] = LEAVING; V (me, me) = LEAVING; leaves++ }
  :: atomic { st[me] == LEAVING -> /* exits once its entry is held by all replicas */
       ok = true; k = 0;
#ifndef LEAVE_EARLY
       do
       :: k < N ->
          rank (me, k, r);
          ok = ok && TAKEN (k, me, r);
          k++
       :: else -> break
       od;
#endif
       if
       :: ok -> st[me] = DEAD; has[me] = false
       :: else
       fi;
       ok = false; x = 0; r = 0; k = 0 }
  :: atomic { UP (me) && (st[me] != JOINING || V (me, me) == JOINING) ->
       /* a packet enters here */
       first (me, o);
       if
       :: o < N -> o = 0; walk (me)
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
    :: i < N -> st[i] = (i == a -> ABSENT : ACTIVE); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < N ->
       j = 0;
       do
       :: j < N -> V (i, j) = st[j]; j++
       :: else -> break
       od;
#ifdef NO_CHAIN
       has[i] = (i == (a == 0 -> 1 : 0));
#else
       has[i] = (i != a && i < (a < REPLICAS -> REPLICAS + 1 : REPLICAS));
#endif
       i++
    :: else -> break
    od;
    i = 0; j = 0;
    run balancer (0); run balancer (1); run balancer (2); run balancer (3)
  }
}
