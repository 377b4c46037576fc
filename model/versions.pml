/* Adoption of versions by one balancer, from a platform that may serve older
   versions and from two peers that send a document in two chunks.

   Rule under test: the version in force is never lowered, and a document is
   never assembled from chunks of different versions.

   Mutations: TRUST_PLATFORM, NO_CHECK_AT_END, MIX_CHUNKS.  */

#define MAX 3

byte in_force;       /* version in force */
byte chunk0_version; /* 0: no transfer */
byte peer_version[2];
chan chunks = [3] of { byte, byte }; /* version, chunk number */

#ifdef MIX_CHUNKS
#define IS_SAME_VERSION(v) true
#else
#define IS_SAME_VERSION(v) (chunk0_version == v)
#endif

inline adopt (v)
{
  assert (v > in_force);
  in_force = v
}

active proctype platform ()
{
  byte v;
end:
  do
  :: atomic { select (v : 1 .. MAX);
       if
#ifndef TRUST_PLATFORM
       :: v <= in_force
#endif
       :: v > in_force -> adopt (v)
#ifdef TRUST_PLATFORM
       :: v <= in_force && in_force > 0 -> adopt (v)
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
       :: n == 0 && v > in_force -> chunk0_version = v
       :: n == 1 && chunk0_version != 0 && IS_SAME_VERSION (v) ->
          assert (chunk0_version == v);
          if
#ifndef NO_CHECK_AT_END
          :: chunk0_version <= in_force
          :: chunk0_version > in_force -> adopt (chunk0_version)
#else
          :: true -> adopt (chunk0_version)
#endif
          fi;
          chunk0_version = 0
       :: else
       fi;
       v = 0; n = 0 }
  od
}
