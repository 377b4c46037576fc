/* Impairment bits and acknowledgements between an owner and one peer.

   Rule under test: no flow is placed off base while the peer forwards packets
   of the bucket as untracked.  The owner may act without an acknowledgement
   only when ACT_BOUND has passed, which two heartbeats make impossible unless
   the peer is paused or cut off.  A peer that joins or wakes raises its own
   sequence number and drops packets until the owner has acknowledged it.

   Mutations: ACT_AT_ONCE, ACK_ANY, CLEAR_EARLY, LIVE_ONLY, NO_GATE,
   FIRST_HEARTBEAT.  */

#define SEQ_MAX 3
#define PAUSES 1

chan to_peer = [2] of { byte, bool, byte, byte }; /* sequence, imp, ack, era */
chan to_owner = [1] of { byte, byte };            /* sequence, ack */

bool belief, imp, placed;  /* of the owner */
byte seq = 1, acked, seen; /* seen: last sequence of the peer */
bool live;                 /* the owner hears the peer */

bool peer_bit, paused, cut;
bool gate = true; /* a joining peer drops packets */
bool excused;     /* cut off, or not yet reached since */
byte peer_seq = 1, peer_ack, era;

#ifdef ACT_AT_ONCE
#define AGREED true
#elif defined(ACK_ANY)
#define AGREED (acked > 0 || paused || cut)
#elif defined(LIVE_ONLY)
#define AGREED (acked >= seq || !live || paused || cut)
#else
#define AGREED (acked >= seq || (seen == 0 && gate) || paused || cut)
#endif

#ifdef FIRST_HEARTBEAT
#define OPENS(a) true
#else
#define OPENS(a) ((a) >= peer_seq)
#endif

#ifdef CLEAR_EARLY
#define MAY_CLEAR true
#else
#define MAY_CLEAR (!placed)
#endif

active proctype owner ()
{
  byte s, a;
end:
  do
  :: atomic { !belief && (imp || seq < SEQ_MAX) ->
       belief = true;
       if
       :: !imp -> imp = true; seq++
       :: else
       fi }
  :: belief -> belief = false
  :: atomic { imp && !belief && seq < SEQ_MAX && MAY_CLEAR ->
       imp = false; seq++ }
  :: atomic { belief && imp && !placed && AGREED -> placed = true }
  :: placed -> placed = false
  :: atomic { nfull (to_peer) -> to_peer!seq, imp, seen, era }
  :: atomic { !cut && nempty (to_owner) ->
       to_owner?s, a; seen = s; acked = a; live = true }
  :: atomic { live && (paused || cut) -> live = false }
  od
}

active proctype peer ()
{
  byte s, a, r, pauses;
  bool b;
end:
  do
  :: atomic { !paused && !cut && nempty (to_peer) ->
       to_peer?s, b, a, r;
       peer_bit = b; peer_ack = s;
       if
       :: OPENS (a) -> gate = false
       :: else
       fi;
       if
       :: r == era -> excused = false
       :: else
       fi }
  :: atomic { !paused && nfull (to_owner) -> to_owner!peer_seq, peer_ack }
  :: atomic { !paused && pauses < PAUSES -> paused = true; pauses++ }
  :: atomic { paused -> paused = false;
#ifndef NO_GATE
       gate = true;
#endif
       peer_seq++ }
  :: atomic { !cut && era == 0 -> cut = true; excused = true; era = 1 }
  :: atomic { cut -> cut = false; era = 2 }
  od
}

active proctype monitor ()
{
end:
  atomic { placed && !paused && !gate && !excused && !peer_bit ->
    assert (false) }
}
