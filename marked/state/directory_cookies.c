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

static struct bb_backend_server *
find_holder (const struct bb_directory *d, uint32_t cookie)
{
  return g_hash_table_lookup (d->cookies, GUINT_TO_POINTER (cookie));
}

/* Two balancers may choose different cookies for a server, since one of them
   does not hold a former server whose cookie collides.  Each of them knows the
   cookies that the other one may have chosen.  */

static bool
has_alias (const struct bb_backend_server *s, uint32_t cookie)
{
  for (unsigned attempt = 0; attempt < BB_COOKIE_ALIASES; attempt++)
    if (bb_server_cookie (s->record.name, attempt) == cookie)
      return true;
  return false;
}

static void
add_aliases (struct bb_directory *d, struct bb_backend_server *s)
{
  for (unsigned attempt = 0; attempt < BB_COOKIE_ALIASES; attempt++)
    {
      gpointer key
          = GUINT_TO_POINTER (bb_server_cookie (s->record.name, attempt));
      gpointer other;
      bool is_known
          = g_hash_table_lookup_extended (d->aliases, key, NULL, &other);
      g_hash_table_insert (d->aliases, key,
                           !is_known || other == s ? s : NULL);
    }
}

/* Finds the server that has the alias COOKIE once REMOVED, one of several, is
   gone.  */
static void
renew_alias (struct bb_directory *d, uint32_t cookie,
             const struct bb_backend_server *removed)
{
  struct bb_backend_server *left = NULL;
  unsigned count = 0;
  const struct bb_link *head = &d->servers_by_revision;
  for (const struct bb_link *at = head->next; at != head; at = at->next)
    {
      struct bb_backend_server *s
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      if (s == removed || s->record.address.port == 0
          || !has_alias (s, cookie))
        continue;
      left = s;
      count++;
    }
  if (count == 0)
    g_hash_table_remove (d->aliases, GUINT_TO_POINTER (cookie));
  else
    g_hash_table_insert (d->aliases, GUINT_TO_POINTER (cookie),
                         count == 1 ? left : NULL);
}

static void
remove_aliases (struct bb_directory *d, const struct bb_backend_server *s)
{
  for (unsigned attempt = 0; attempt < BB_COOKIE_ALIASES; attempt++)
    {
      uint32_t cookie = bb_server_cookie (s->record.name, attempt);
      gpointer holder;
      if (!g_hash_table_lookup_extended (d->aliases, GUINT_TO_POINTER (cookie),
                                         NULL, &holder))
        continue;
      if (holder == s)
        g_hash_table_remove (d->aliases, GUINT_TO_POINTER (cookie));
      else if (!holder)
        renew_alias (d, cookie, s);
    }
}

void
bb_directory_assign_cookie (struct bb_directory *d,
                            struct bb_backend_server *s)
{
  add_aliases (d, s);
  struct bb_backend_server *displaced = s;
  for (unsigned attempt = 0; attempt < BB_COOKIE_ATTEMPTS && displaced;
       attempt++)
    {
      uint32_t cookie = bb_server_cookie (displaced->record.name, attempt);
      struct bb_backend_server *holder = find_holder (d, cookie);
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
  remove_aliases (d, s);
  if (s->cookie != 0 && find_holder (d, s->cookie) == s)
    g_hash_table_remove (d->cookies, GUINT_TO_POINTER (s->cookie));
}

struct bb_backend_server *
bb_directory_find_by_cookie (const struct bb_directory *d, uint32_t cookie)
{
  struct bb_backend_server *s = find_holder (d, cookie);
  return s ? s : g_hash_table_lookup (d->aliases, GUINT_TO_POINTER (cookie));
}
