/* The rebase barrier prepare, resolve, settle between an owner (0) and an
   ingress (1), for one bucket whose base moves from server A to server B.

   Flow 0 was recorded at A before; flow 1 starts at any time and is placed at
   A or B as the policy likes.  Rule under test: no packet of a flow reaches
   another server than its first one.  Flows in a bucket with base != head are
   recorded wherever they are placed, because the base is about to move.

   Mutations: NO_BARRIER, FREE_IN_RESOLVE, OLD_BITS, RECORD_OFF_BASE_ONLY.  */

#define SETTLED_OLD 0
#define PREPARE 1
#define RESOLVE 2
#define SETTLED_NEW 3
#define NONE 0
#define A 1
#define B 2

byte phase[2], known[2]; /* known[i]: phase of the other one, as heard */
bool peer_bit;           /* the owner's bit for B, as the ingress knows it */
byte entry[2];           /* server recorded at the owner */
byte home[2];            /* server that the flow's first packet reached */
chan beat0 = [2] of { byte, bool };
chan beat1 = [2] of { byte };

#define BASE(p) ((p) >= RESOLVE -> B : A)
#define RECORDED_AT_A (entry[0] == A || entry[1] == A)
#ifdef OLD_BITS
#define BIT (RECORDED_AT_A && phase[0] == SETTLED_NEW)
#else
#define BIT (RECORDED_AT_A)
#endif

#ifdef NO_BARRIER
#define REACHED(i) true
#else
#define REACHED(i) (known[i] >= phase[i])
#endif
#ifdef RECORD_OFF_BASE_ONLY
#define RECORDS(s) (s != BASE (phase[0]))
#else
#define RECORDS(s) (phase[0] != SETTLED_NEW || s != B)
#endif

/* Once a peer may have settled, a placement off the new base needs a bit that
   this peer has acknowledged.  */
#ifdef FREE_IN_RESOLVE
#define MUST_USE_BASE (phase[0] == SETTLED_NEW && !peer_bit)
#else
#define MUST_USE_BASE (phase[0] >= RESOLVE && !(peer_bit && BIT))
#endif

inline check (f, s)
{
  if
  :: home[f] == NONE -> home[f] = s
  :: else -> assert (home[f] == s)
  fi
}

inline decide (f, syn)
{
  if
  :: entry[f] != NONE -> check (f, entry[f])
  :: else ->
     if
     :: syn && home[f] == NONE ->
        if
        :: s = A
        :: s = B
        fi;
        if
        :: MUST_USE_BASE -> s = B
        :: else
        fi;
        if
        :: RECORDS (s) -> entry[f] = s
        :: else
        fi;
        check (f, s)
     :: else -> s = BASE (phase[0]); check (f, s)
     fi
  fi;
  s = NONE
}

inline advance (i)
{
  atomic { phase[i] < SETTLED_NEW && REACHED (i) -> phase[i]++ }
}

proctype owner ()
{
  byte s, p;
end:
  do
  :: advance (0)
  :: atomic { nfull (beat0) -> beat0!phase[0], BIT }
  :: atomic { beat1?p -> known[0] = p; p = 0 }
  :: atomic { true -> decide (0, false) }
  :: atomic { true -> decide (1, home[1] == NONE) }
  :: atomic { entry[0] != NONE -> entry[0] = NONE; break }
  od;
  /* Flow 0 has ended; flow 1 goes on.  */
end2:
  do
  :: advance (0)
  :: atomic { nfull (beat0) -> beat0!phase[0], BIT }
  :: atomic { beat1?p -> known[0] = p; p = 0 }
  :: atomic { true -> decide (1, home[1] == NONE) }
  od
}

proctype ingress ()
{
  byte s, p;
  bool b;
end:
  do
  :: advance (1)
  :: atomic { nfull (beat1) -> beat1!phase[1] }
  :: atomic { beat0?p, b -> known[1] = p; peer_bit = b; p = 0; b = 0 }
  :: atomic { entry[0] != NONE -> /* a packet of flow 0 */
       if
       :: phase[1] == SETTLED_NEW && !peer_bit -> check (0, B)
       :: else -> decide (0, false)
       fi }
  :: atomic { true -> /* a packet of flow 1 */
       if
       :: phase[1] == SETTLED_NEW && !peer_bit -> check (1, B)
       :: else -> decide (1, home[1] == NONE)
       fi }
  od
}

init { atomic { entry[0] = A; home[0] = A; run owner (); run ingress () } }
