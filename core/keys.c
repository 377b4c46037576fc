/* Keys of names.  */

#include "core/keys.h"
#include "core/core.h"
#include <string.h>
#include <xxhash.h>

/* A stored key of 0 means "none".  */
static uint32_t
nonzero_key (uint64_t hash)
{
  uint32_t key = (uint32_t)hash;
  return key ? key : 1;
}

uint32_t
bb_name_key (const char *name)
{
  return nonzero_key (XXH3_64bits (name, strlen (name)));
}

uint32_t
bb_server_key (const char *service, const char *server)
{
  char text[2 * BB_NAME_MAX];
  size_t a = strnlen (service, BB_NAME_MAX - 1);
  size_t b = strnlen (server, BB_NAME_MAX - 1);

  /* The NUL keeps "a" + "bc" apart from "ab" + "c".  */
  memcpy (text, service, a);
  text[a] = '\0';
  memcpy (text + a + 1, server, b);
  return nonzero_key (XXH3_64bits (text, a + 1 + b));
}

/* Unique keys.  The lower half of a key is the hash of its name, the upper
   half counts the names of that hash.  The names are never removed, since
   messages of peers may have any of them.  */

#define HASH_BITS 32
#define UNNAMED (UINT64_C (1) << 63)

struct named
{
  uint64_t key;
  struct bb_digest digest;
};

static struct
{
  GHashTable *by_name;   /* to struct named, owned by by_key */
  GHashTable *by_digest; /* the same */
  GHashTable *by_key;
  uint32_t received; /* names that a peer sent first */
  uint32_t seed;
} table;

/* Seeded, as the digests that peers send may be made to collide.  */
static guint
hash_digest (gconstpointer digest)
{
  return (guint)XXH3_64bits_withSeed (digest, sizeof (struct bb_digest),
                                      table.seed);
}

static gboolean
equal_digests (gconstpointer a, gconstpointer b)
{
  return memcmp (a, b, sizeof (struct bb_digest)) == 0;
}

static void
init_table (void)
{
  if (table.by_key)
    return;
  table.by_name
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  table.seed = g_random_int ();
  table.by_digest = g_hash_table_new (hash_digest, equal_digests);
  table.by_key
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
}

static const struct named *
find_key (uint64_t key)
{
  init_table ();
  return g_hash_table_lookup (table.by_key, &key);
}

static const struct named *
get_named (uint32_t hash, const struct bb_digest *digest)
{
  init_table ();
  struct named *n = g_hash_table_lookup (table.by_digest, digest);
  if (n)
    return n;
  n = g_new (struct named, 1);
  *n = (struct named){ .key = hash, .digest = *digest };
  while (find_key (n->key))
    n->key += UINT64_C (1) << HASH_BITS;
  g_hash_table_insert (table.by_digest, &n->digest, n);
  g_hash_table_insert (table.by_key, &n->key, n);
  return n;
}

static struct bb_digest
digest_of (const char *name)
{
  struct bb_digest d;
  guint8 bytes[32];
  gsize length = sizeof bytes;
  GChecksum *sum = g_checksum_new (G_CHECKSUM_SHA256);
  g_checksum_update (sum, (const guchar *)name, -1);
  g_checksum_get_digest (sum, bytes, &length);
  g_checksum_free (sum);
  memcpy (d.words, bytes, sizeof d.words);
  for (size_t i = 0; i < G_N_ELEMENTS (d.words); i++)
    d.words[i] = GUINT64_FROM_BE (d.words[i]);
  return d;
}

uint64_t
bb_key (const char *name)
{
  init_table ();
  const struct named *n = g_hash_table_lookup (table.by_name, name);
  if (n)
    return n->key;
  struct bb_digest digest = digest_of (name);
  n = get_named (bb_name_key (name), &digest);
  g_hash_table_insert (table.by_name, g_strdup (name), (gpointer)n);
  return n->key;
}

uint32_t
bb_key_hash (uint64_t key)
{
  return (uint32_t)key;
}

struct bb_digest
bb_key_digest (uint64_t key)
{
  const struct named *n = find_key (key);
  return n ? n->digest : (struct bb_digest){ 0 };
}

uint64_t
bb_key_receive (uint32_t hash, const struct bb_digest *digest)
{
  static const struct bb_digest none;
  if (hash == 0 || equal_digests (digest, &none))
    return bb_key_of_hash (hash);
  init_table ();
  if (!g_hash_table_contains (table.by_digest, digest)
      && table.received++ >= BB_KEYS_RECEIVED_MAX)
    {
      table.received = BB_KEYS_RECEIVED_MAX;
      return bb_key_of_hash (hash);
    }
  return get_named (hash, digest)->key;
}

uint64_t
bb_key_of_hash (uint32_t hash)
{
  return hash ? UNNAMED | hash : 0;
}

bool
bb_key_is_shared (uint64_t key)
{
  return find_key (UINT64_C (1) << HASH_BITS | bb_key_hash (key)) != NULL;
}

uint64_t
bb_key_resolve (uint64_t key)
{
  return key & UNNAMED && !bb_key_is_shared (key) ? bb_key_hash (key) : key;
}

bool
bb_key_is_same (uint64_t a, uint64_t b)
{
  return a == b || bb_key_resolve (a) == bb_key_resolve (b);
}
