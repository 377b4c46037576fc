/* Keys of names: 32-bit hashes that are equal on all balancers.  */

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
