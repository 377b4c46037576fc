/* State of the sharing, for the files of this package.  */

#ifndef BB_MARKED_SYNC_PRIVATE_H
#define BB_MARKED_SYNC_PRIVATE_H

#include "marked/sync.h"

enum
{
  /* The 524 balancers of a data centre in two years, and some of each of the
     20 others.  */
  BB_SHARE_PEERS_MAX = 1024,
  BB_SHARE_FAR_PEERS = 8, /* of each other data centre */
  /* The first that a beat names: that of the asker's data centre, and leaders
     of others.  */
  BB_SHARE_LEADERS_NAMED = 1 + BB_SHARE_KNOWN / 2,
  /* Batches that arrive at the same time: several balancers may answer one
     that joins, while its leader tells what is new.  */
  BB_SHARE_BATCHES = 4,
  BB_SHARE_CHUNK_WORDS = BB_SHARE_CHUNKS / 64,
};

struct bb_share_peer
{
  struct bb_share_vm vm;
  uint64_t incarnation;
  bb_usec heard; /* 0: never */
  bb_usec sent;
  uint32_t flags;
  bool led; /* a data centre, when it was heard last */
  uint32_t capacity;
  uint64_t revision;
  uint64_t version;
  bb_usec mentioned; /* last heard, or named by another balancer */
  struct bb_share_load loads[BB_SHARE_LOADS];
  uint32_t load_count;
};

/* A batch of items that is arriving.  Its routes come into force together when
   it is complete: flows must not be handled by parts of two configurations. */
struct bb_share_batch
{
  uint32_t from; /* 0: not in use */
  bb_usec touched;
  uint32_t number;
  uint32_t chunk_count;
  uint32_t received;
  uint64_t chunks[BB_SHARE_CHUNK_WORDS];
  GHashTable *names;  /* of a whole state; else NULL */
  GHashTable *routes; /* the same, by bb_directory_route_key */
  GArray *records;    /* struct bb_route_record */
};

struct bb_sharing
{
  struct bb_share_options options;
  struct bb_directory *directory;
  const struct bb_share_sink *sink;
  void *context;
  GRand *random;
  struct bb_endpoint seeds[BB_SHARE_KNOWN];
  size_t seed_count;
  struct bb_share_peer *peers[BB_SHARE_PEERS_MAX];
  uint32_t peer_count;
  uint64_t revision;
  bb_usec verified;     /* 0: never */
  bb_usec store_failed; /* 0: it answered, or was not asked */
  bb_usec beat_due;
  bb_usec wanted;
  bb_usec contacted;
  bb_usec far_due;
  bool reads;
  bool first; /* of all readers */
  bool leads;
  bool leaving;
  struct bb_endpoint targets[BB_SHARE_PEERS_MAX]; /* of one message */
  uint32_t batch_number;
  struct bb_share_batch batches[BB_SHARE_BATCHES];
};

/* sharing.c */
void bb_share_send_event (struct bb_sharing *s, enum bb_event_kind kind,
                          uint32_t peer, uint64_t value, enum bb_reason reason,
                          bb_usec age);

/* The first live peer of DATA_CENTRE in the order of readers, or NULL.  */
const struct bb_share_peer *bb_share_best (const struct bb_sharing *s,
                                           uint32_t data_centre, bb_usec now);

/* share_peers.c: who there is.  */
bool bb_share_is_live (const struct bb_share_peer *p, bb_usec now);
bool bb_share_is_near (const struct bb_sharing *s,
                       const struct bb_share_peer *p);

/* The peer that VM names, new if need be; NULL for this balancer itself, and
   when there are too many.  Of another data centre only a few are kept; one
   that is HEARD takes the place of the one that was silent for longest.  */
struct bb_share_peer *bb_share_peer_get (struct bb_sharing *s,
                                         const struct bb_share_vm *vm,
                                         bool heard);

/* Whether P leads its data centre, as its last beat said.  */
bool bb_share_is_leader (const struct bb_share_peer *p, bb_usec now);

/* Adds (SIGN 1) or takes away (-1) what P counts of the servers.  */
void bb_share_count_loads (struct bb_sharing *s, const struct bb_share_peer *p,
                           int sign, bb_usec now);
void bb_share_sweep_peers (struct bb_sharing *s, bb_usec now);

/* share_known.c: whom a beat names.  Adds up to COUNT balancers in all, those
   first that one of DATA_CENTRE needs most.  */
void bb_share_add_known (struct bb_sharing *s, struct bb_share_beat *b,
                         uint32_t data_centre, uint32_t count, bb_usec now);

/* share_beats.c: what balancers tell each other of themselves.  */
void bb_share_send (struct bb_sharing *s, const struct bb_endpoint *to,
                    size_t count, struct bb_share_message *m);
uint32_t bb_share_age_ms (bb_usec since, bb_usec now);
uint32_t bb_share_own_flags (const struct bb_sharing *s, bb_usec now);
/* The own data centre has got a new leader, which is this balancer: it lets
   the others know.  */
void bb_share_contact_far (struct bb_sharing *s, bb_usec now);
void bb_share_contact_seeds (struct bb_sharing *s, bb_usec now);
void bb_share_send_beats (struct bb_sharing *s, bb_usec now);
void bb_share_receive_beat (struct bb_sharing *s,
                            const struct bb_endpoint *from,
                            const struct bb_share_message *m, bb_usec now);

/* share_items.c: what they tell each other of the store.  */
void bb_share_send_items (struct bb_sharing *s, const struct bb_endpoint *to,
                          size_t count, uint64_t from, bb_usec now);
void bb_share_receive_items (struct bb_sharing *s, uint32_t from,
                             const struct bb_share_items *m, bb_usec now);

void bb_share_batch_clear (struct bb_share_batch *b);

/* Tells what is newer than BEFORE: a leader those that follow it, a reader the
   other leaders too.  */
void bb_share_publish (struct bb_sharing *s, uint64_t before, bb_usec now);
void bb_share_set_verified (struct bb_sharing *s, uint32_t verified_ms,
                            bb_usec now);
#endif
