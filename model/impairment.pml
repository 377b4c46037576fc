/* Impairment bits and acknowledgements between an owner and one peer.

   Rule under test: no flow is placed on a non-default server while the peer
   forwards packets of the bucket as untracked.  The owner may put its bit into
   effect without an acknowledgement only after BB_ACKNOWLEDGE_TIMEOUT; two
   heartbeats within that time deliver the bit unless the peer is paused or cut
   off.  A peer that joins or resumes raises its own sequence number and drops
   packets until the owner has acknowledged that number.

   Mutations: ACT_AT_ONCE, ACK_ANY, CLEAR_EARLY, LIVE_ONLY, NO_GATE,
   FIRST_HEARTBEAT.  */

#define SEQ_MAX 3
#define PAUSES 1

/* sequence, bit, acknowledgement, era */
chan to_peer = [2] of { byte, bool, byte, byte };
/* sequence, acknowledgement */
chan to_owner = [1] of { byte, byte };

/* State of the owner.  */
bool impaired, bit_set, placed_non_default;
byte seq = 1, acknowledged;
byte peer_seq_received; /* last sequence of the peer */
bool peer_live;         /* the owner receives heartbeats of the peer */

bool peer_bit, paused, cut_off;
bool drops_packets = true; /* until the owner has acknowledged the peer */
bool unreached;            /* cut off, or no later heartbeat received */
byte peer_seq = 1, peer_acknowledged;
byte era; /* 0 before, 1 while and 2 after the peer is cut off */

#ifdef ACT_AT_ONCE
#define ACKNOWLEDGED true
#elif defined(ACK_ANY)
#define ACKNOWLEDGED (acknowledged > 0 || paused || cut_off)
#elif defined(LIVE_ONLY)
#define ACKNOWLEDGED (acknowledged >= seq || !peer_live || paused || cut_off)
#else
#define ACKNOWLEDGED (acknowledged >= seq || \
  (peer_seq_received == 0 && drops_packets) || paused || cut_off)
#endif

#ifdef FIRST_HEARTBEAT
#define ENDS_DROPPING(a) true
#else
#define ENDS_DROPPING(a) ((a) >= peer_seq)
#endif

#ifdef CLEAR_EARLY
#define MAY_CLEAR true
#else
#define MAY_CLEAR (!placed_non_default)
#endif

active proctype owner ()
{
  byte s, a;
end:
  do
  :: atomic { !impaired && (bit_set || seq < SEQ_MAX) ->
       impaired = true;
       if
       :: !bit_set -> bit_set = true; seq++
       :: else
       fi }
  :: impaired -> impaired = false
  :: atomic { bit_set && !impaired && seq < SEQ_MAX && MAY_CLEAR ->
       bit_set = false; seq++ }
  :: atomic { impaired && bit_set && !placed_non_default && ACKNOWLEDGED ->
       placed_non_default = true }
  :: placed_non_default -> placed_non_default = false
  :: atomic { nfull (to_peer) -> to_peer!seq, bit_set, peer_seq_received, era }
  :: atomic { !cut_off && nempty (to_owner) ->
       to_owner?s, a;
       peer_seq_received = s; acknowledged = a; peer_live = true }
  :: atomic { peer_live && (paused || cut_off) -> peer_live = false }
  od
}

active proctype peer ()
{
  byte s, a, r, pauses;
  bool b;
end:
  do
  :: atomic { !paused && !cut_off && nempty (to_peer) ->
       to_peer?s, b, a, r;
       peer_bit = b; peer_acknowledged = s;
       if
       :: ENDS_DROPPING (a) -> drops_packets = false
       :: else
       fi;
       if
       :: r == era -> unreached = false
       :: else
       fi }
  :: atomic { !paused && nfull (to_owner) ->
       to_owner!peer_seq, peer_acknowledged }
  :: atomic { !paused && pauses < PAUSES -> paused = true; pauses++ }
  :: atomic { paused -> paused = false;
#ifndef NO_GATE
       drops_packets = true;
#endif
       peer_seq++ }
  :: atomic { !cut_off && era == 0 ->
       cut_off = true; unreached = true; era = 1 }
  :: atomic { cut_off -> cut_off = false; era = 2 }
  od
}

active proctype monitor ()
{
end:
  atomic { placed_non_default && !paused && !drops_packets && !unreached &&
           !peer_bit ->
    assert (false) }
}
