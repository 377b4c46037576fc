/* The phases prepare, resolve and settled of a rebalance between an owner (0)
   and an ingress (1), for one bucket whose default server changes from A to B.

   At the start, flow 0 is recorded at A; flow 1 starts at any time and the
   policy places it at A or B.  Rule under test: all packets of a flow reach
   the same server as its first packet.  Flows in a bucket whose default and
   desired servers differ are recorded wherever they are placed, because the
   default server is about to change.

   Mutations: NO_BARRIER, FREE_IN_RESOLVE, OLD_BITS,
   RECORD_NON_DEFAULT_ONLY.  */

#define SETTLED_OLD 0
#define PREPARE 1
#define RESOLVE 2
#define SETTLED_NEW 3
#define NONE 0
#define A 1
#define B 2

byte phase[2];
byte reported_phase[2]; /* [i]: last phase that i received from the other */
bool peer_bit;          /* the owner's bit for B, as received by the ingress */
byte entry[2];          /* server recorded at the owner */
byte first_server[2];   /* server that received the flow's first packet */
chan heartbeat0 = [2] of { byte, bool };
chan heartbeat1 = [2] of { byte };

#define DEFAULT_SERVER(p) ((p) >= RESOLVE -> B : A)
#define RECORDED_AT_A (entry[0] == A || entry[1] == A)
#ifdef OLD_BITS
#define BIT (RECORDED_AT_A && phase[0] == SETTLED_NEW)
#else
#define BIT (RECORDED_AT_A)
#endif

#ifdef NO_BARRIER
#define REACHED(i) true
#else
#define REACHED(i) (reported_phase[i] >= phase[i])
#endif
#ifdef RECORD_NON_DEFAULT_ONLY
#define RECORDS(s) (s != DEFAULT_SERVER (phase[0]))
#else
#define RECORDS(s) (phase[0] != SETTLED_NEW || s != B)
#endif

/* Once a peer may have settled, a placement away from the new default server
   needs a bit that this peer has acknowledged.  */
#ifdef FREE_IN_RESOLVE
#define MUST_USE_DEFAULT (phase[0] == SETTLED_NEW && !peer_bit)
#else
#define MUST_USE_DEFAULT (phase[0] >= RESOLVE && !(peer_bit && BIT))
#endif

inline check_server (f, s)
{
  if
  :: first_server[f] == NONE -> first_server[f] = s
  :: else -> assert (first_server[f] == s)
  fi
}

inline forward (f, syn)
{
  if
  :: entry[f] != NONE -> check_server (f, entry[f])
  :: else ->
     if
     :: syn && first_server[f] == NONE ->
        if
        :: s = A
        :: s = B
        fi;
        if
        :: MUST_USE_DEFAULT -> s = B
        :: else
        fi;
        if
        :: RECORDS (s) -> entry[f] = s
        :: else
        fi;
        check_server (f, s)
     :: else -> s = DEFAULT_SERVER (phase[0]); check_server (f, s)
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
  :: atomic { nfull (heartbeat0) -> heartbeat0!phase[0], BIT }
  :: atomic { heartbeat1?p -> reported_phase[0] = p; p = 0 }
  :: atomic { true -> forward (0, false) }
  :: atomic { true -> forward (1, first_server[1] == NONE) }
  :: atomic { entry[0] != NONE -> entry[0] = NONE; break }
  od;
  /* Flow 0 has ended; flow 1 continues.  */
end2:
  do
  :: advance (0)
  :: atomic { nfull (heartbeat0) -> heartbeat0!phase[0], BIT }
  :: atomic { heartbeat1?p -> reported_phase[0] = p; p = 0 }
  :: atomic { true -> forward (1, first_server[1] == NONE) }
  od
}

proctype ingress ()
{
  byte s, p;
  bool b;
end:
  do
  :: advance (1)
  :: atomic { nfull (heartbeat1) -> heartbeat1!phase[1] }
  :: atomic { heartbeat0?p, b ->
       reported_phase[1] = p; peer_bit = b; p = 0; b = 0 }
  :: atomic { entry[0] != NONE -> /* a packet of flow 0 */
       if
       :: phase[1] == SETTLED_NEW && !peer_bit -> check_server (0, B)
       :: else -> forward (0, false)
       fi }
  :: atomic { true -> /* a packet of flow 1 */
       if
       :: phase[1] == SETTLED_NEW && !peer_bit -> check_server (1, B)
       :: else -> forward (1, first_server[1] == NONE)
       fi }
  od
}

init {
  atomic { entry[0] = A; first_server[0] = A; run owner (); run ingress () }
}
