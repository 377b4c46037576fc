/* Adoption of versions by one balancer from a platform that may serve older
   ones and from two peers that send a document in two chunks.

   Rule under test: the version in force never goes back, and a document is
   never assembled from chunks of different versions.

   Mutations: TRUST_PLATFORM, NO_CHECK_AT_END, MIX_CHUNKS.  */

#define MAX 3

byte force, first; /* in force; version of chunk 0, 0: no transfer */
byte peer_version[2];
chan chunks = [3] of { byte, byte }; /* version, chunk number */

#ifdef MIX_CHUNKS
#define FITS(v) true
#else
#define FITS(v) (first == v)
#endif

inline adopt (v)
{
  assert (v > force);
  force = v
}

active proctype platform ()
{
  byte v;
end:
  do
  :: atomic { select (v : 1 .. MAX);
       if
#ifndef TRUST_PLATFORM
       :: v <= force
#endif
       :: v > force -> adopt (v)
#ifdef TRUST_PLATFORM
       :: v <= force && force > 0 -> adopt (v)
#endif
       fi }
  od
}

active [2] proctype peer ()
{
  byte me;
  me = _pid - 1;
end:
  do
  :: peer_version[me] < MAX -> peer_version[me]++
  :: atomic { peer_version[me] > 0 && nfull (chunks) ->
       chunks!peer_version[me], 0 }
  :: atomic { peer_version[me] > 0 && nfull (chunks) ->
       chunks!peer_version[me], 1 }
  od
}

active proctype receiver ()
{
  byte v, n;
end:
  do
  :: atomic { chunks?v, n ->
       if
       :: n == 0 && v > force -> first = v
       :: n == 1 && first != 0 && FITS (v) ->
          assert (first == v);
          if
#ifndef NO_CHECK_AT_END
          :: first <= force
          :: first > force -> adopt (first)
#else
          :: true -> adopt (first)
#endif
          fi;
          first = 0
       :: else
       fi;
       v = 0; n = 0 }
  od
}
