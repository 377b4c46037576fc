#include "runtime/names.h"

/* VMs and servers are added and removed for years.  A full table replaces the
   previous one and a new table is started, which bounds memory and retains the
   names used recently.  */
#define NAMES_PER_GENERATION 16384

/* Between the names of one key, at most so many.  */
#define ALTERNATIVE " or "
#define ALTERNATIVES_MAX 4

struct generation
{
  GHashTable *table;     /* key to struct name */
  GStringChunk *strings; /* deduplicated */
};

struct bb_names
{
  struct generation current;
  struct generation previous; /* NULL members until first replacement */
};

struct name
{
  const char *text;
  const char *service; /* NULL for a VM or a service */
};

static struct generation
generation_new (void)
{
  return (struct generation){
    .table = g_hash_table_new_full (NULL, NULL, NULL, g_free),
    .strings = g_string_chunk_new (4096),
  };
}

static void
generation_clear (struct generation *g)
{
  if (!g->table)
    return;
  g_hash_table_unref (g->table);
  g_string_chunk_free (g->strings);
}

struct bb_names *
bb_names_new (void)
{
  struct bb_names *names = g_new0 (struct bb_names, 1);
  names->current = generation_new ();
  return names;
}

void
bb_names_free (struct bb_names *names)
{
  if (!names)
    return;
  generation_clear (&names->current);
  generation_clear (&names->previous);
  g_free (names);
}

/* Another name has the key of HELD.  A log line with the key may mean either.
 */
static void
add_alternative (struct generation *g, struct name *held, const char *text)
{
  g_auto (GStrv) known = g_strsplit (held->text, ALTERNATIVE, -1);
  if (g_strv_contains ((const char *const *)known, text)
      || g_strv_length (known) >= ALTERNATIVES_MAX)
    return;
  g_autofree char *both
      = g_strconcat (held->text, ALTERNATIVE, text, (char *)NULL);
  held->text = g_string_chunk_insert_const (g->strings, both);
}

static void
add_name (struct bb_names *names, uint32_t key, const char *text,
          const char *service)
{
  struct name *held
      = g_hash_table_lookup (names->current.table, GUINT_TO_POINTER (key));
  if (held)
    {
      add_alternative (&names->current, held, text);
      return;
    }
  if (g_hash_table_size (names->current.table) >= NAMES_PER_GENERATION)
    {
      generation_clear (&names->previous);
      names->previous = names->current;
      names->current = generation_new ();
    }
  GStringChunk *strings = names->current.strings;
  struct name *name = g_new0 (struct name, 1);
  name->text = g_string_chunk_insert_const (strings, text);
  if (service)
    name->service = g_string_chunk_insert_const (strings, service);
  g_hash_table_insert (names->current.table, GUINT_TO_POINTER (key), name);
}

void
bb_names_add_fleet (struct bb_names *names, const struct bb_fleet *fleet)
{
  for (size_t i = 0; i < fleet->service_count; i++)
    {
      const struct bb_service *s = &fleet->services[i];
      add_name (names, s->key, s->name, NULL);
      for (size_t j = 0; j < s->server_count; j++)
        add_name (names, s->servers[j].key, s->servers[j].name, s->name);
    }
}

void
bb_names_add_vms (struct bb_names *names, const struct bb_vm *vms,
                  size_t count)
{
  for (size_t i = 0; i < count; i++)
    add_name (names, vms[i].id, vms[i].name, NULL);
}

void
bb_names_add_server (struct bb_names *names, uint32_t key, const char *service,
                     const char *server)
{
  add_name (names, key, server, service);
}

void
bb_names_add_data_centre (struct bb_names *names, const char *data_centre)
{
  add_name (names, bb_name_key (data_centre), data_centre, NULL);
}

const char *
bb_names_lookup (const struct bb_names *names, uint32_t key,
                 const char **service)
{
  const struct name *name
      = g_hash_table_lookup (names->current.table, GUINT_TO_POINTER (key));
  if (!name && names->previous.table)
    name = g_hash_table_lookup (names->previous.table, GUINT_TO_POINTER (key));
  *service = name ? name->service : NULL;
  return name ? name->text : NULL;
}
