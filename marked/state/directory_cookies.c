#include "core/hash.h"
#include "marked/state/directory_private.h"
#include <string.h>

/* The cookie is a hash of the name and therefore equal on all balancers.  If
   the hashes of two servers collide, the server that was listed first keeps
   the cookie and the other one gets the cookie of its next attempt.  0 is
   reserved for packets without a cookie.  */
uint32_t
bb_server_cookie (const char *name, unsigned attempt)
{
  uint32_t cookie
      = (uint32_t)XXH3_64bits_withSeed (name, strlen (name), attempt);
  return cookie ? cookie : 1;
}

static bool
is_older (const struct bb_backend_server *a, const struct bb_backend_server *b)
{
  if (a->record.created != b->record.created)
    return a->record.created < b->record.created;
  return strcmp (a->record.name, b->record.name) < 0;
}

void
bb_directory_assign_cookie (struct bb_directory *d,
                            struct bb_backend_server *s)
{
  struct bb_backend_server *displaced = s;
  for (unsigned attempt = 0; attempt < BB_COOKIE_ATTEMPTS && displaced;
       attempt++)
    {
      uint32_t cookie = bb_server_cookie (displaced->record.name, attempt);
      struct bb_backend_server *holder
          = bb_directory_find_by_cookie (d, cookie);
      if (holder == displaced)
        return;
      if (holder && is_older (holder, displaced))
        continue;
      displaced->cookie = cookie;
      g_hash_table_insert (d->cookies, GUINT_TO_POINTER (cookie), displaced);
      displaced = holder;
      attempt = 0;
      if (displaced)
        displaced->cookie = 0;
    }
}

void
bb_directory_release_cookie (struct bb_directory *d,
                             struct bb_backend_server *s)
{
  if (s->cookie != 0 && bb_directory_find_by_cookie (d, s->cookie) == s)
    g_hash_table_remove (d->cookies, GUINT_TO_POINTER (s->cookie));
}

struct bb_backend_server *
bb_directory_find_by_cookie (const struct bb_directory *d, uint32_t cookie)
{
  return g_hash_table_lookup (d->cookies, GUINT_TO_POINTER (cookie));
}
