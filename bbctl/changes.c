#include "bbctl/changes.h"
#include <string.h>

/* A field of struct bb_service or struct bb_server that is set by one number
   in the documents.  */
struct number_field
{
  const char *name;
  size_t offset;
  size_t size;
  bool is_disruptive;
};

#define NUMBER_FIELD(type, label, field, breaks)                              \
  {                                                                           \
    label, offsetof (struct type, field), sizeof (((struct type *)0)->field), \
        breaks                                                                \
  }

static const struct number_field service_fields[] = {
  NUMBER_FIELD (bb_service, "spill_permille", spill_permille, false),
  NUMBER_FIELD (bb_service, "ramp_ms", ramp_ms, false),
  NUMBER_FIELD (bb_service, "flow_idle_limit_s", idle_s, false),
  NUMBER_FIELD (bb_service, "silent_ms", silent_ms, false),
  NUMBER_FIELD (bb_service, "buckets", buckets, true),
};

static const struct number_field server_fields[] = {
  NUMBER_FIELD (bb_server, "weight", weight, false),
  NUMBER_FIELD (bb_server, "connection_limit", connection_limit, false),
  NUMBER_FIELD (bb_server, "slots", slots, false),
  NUMBER_FIELD (bb_server, "health_port", health.port, false),
};

static uint32_t
read_number (const struct number_field *n, const void *object)
{
  const char *at = (const char *)object + n->offset;
  uint16_t n16 = 0;
  uint32_t n32 = 0;

  if (n->size == sizeof n16)
    {
      memcpy (&n16, at, sizeof n16);
      return n16;
    }
  memcpy (&n32, at, sizeof n32);
  return n32;
}

static void add_change (struct bb_ctl_changes *c, const char *change_kind,
                        bool is_disruptive, const struct bb_service *s,
                        const struct bb_server *v, const char *format, ...)
    G_GNUC_PRINTF (6, 7);

static void
add_change (struct bb_ctl_changes *c, const char *change_kind,
            bool is_disruptive, const struct bb_service *s,
            const struct bb_server *v, const char *format, ...)
{
  struct bb_ctl_change *change = g_new0 (struct bb_ctl_change, 1);
  va_list arguments;

  va_start (arguments, format);
  change->text = g_strdup_vprintf (format, arguments);
  va_end (arguments);
  change->change_kind = g_strdup (change_kind);
  change->is_disruptive = is_disruptive;
  if (s)
    g_strlcpy (change->service, s->name, BB_NAME_MAX);
  if (v)
    g_strlcpy (change->server, v->name, BB_NAME_MAX);
  g_ptr_array_add (c->changes, change);
}

static void
compare_numbers (struct bb_ctl_changes *c, const struct number_field *numbers,
                 size_t count, const struct bb_service *s,
                 const struct bb_server *v, const void *old, const void *new)
{
  for (size_t i = 0; i < count; i++)
    {
      uint32_t a = read_number (&numbers[i], old);
      uint32_t b = read_number (&numbers[i], new);
      if (a != b)
        add_change (c, numbers[i].name, numbers[i].is_disruptive, s, v,
                    "%s from %u to %u%s", numbers[i].name, a, b,
                    numbers[i].is_disruptive
                        ? "; running balancers keep the old value and new "
                          "ones use the new value, so established flows break"
                        : "");
    }
}

static void
compare_server (struct bb_ctl_changes *c, const struct bb_service *s,
                const struct bb_server *old, const struct bb_server *new)
{
  g_autofree char *from = bb_ctl_format_endpoint (old->gue);
  g_autofree char *to = bb_ctl_format_endpoint (new->gue);

  if (old->drain != new->drain)
    add_change (c, "drain", false, s, new, "%s",
                new->drain ? "drained: no new flows, established ones stay"
                           : "takes new flows again");
  if (strcmp (from, to) != 0)
    add_change (c, "address", true, s, new,
                "address from %s to %s; established flows go to the new "
                "address and break there",
                from, to);
  compare_numbers (c, server_fields, G_N_ELEMENTS (server_fields), s, new, old,
                   new);
}

static const struct bb_server *
server_by_name (const struct bb_service *s, const char *name)
{
  for (size_t i = 0; i < s->server_count; i++)
    if (!strcmp (s->servers[i].name, name))
      return &s->servers[i];
  return NULL;
}

static void
compare_servers (struct bb_ctl_changes *c, const struct bb_service *old,
                 const struct bb_service *new)
{
  for (size_t i = 0; i < old->server_count; i++)
    if (!server_by_name (new, old->servers[i].name))
      add_change (c, "server_removed", false, new, &old->servers[i],
                  "removed: no new flows, established ones stay until its VM "
                  "is gone");
  for (size_t i = 0; i < new->server_count; i++)
    {
      const struct bb_server *v = &new->servers[i];
      const struct bb_server *before = server_by_name (old, v->name);
      g_autofree char *gue = bb_ctl_format_endpoint (v->gue);
      if (before)
        compare_server (c, new, before, v);
      else
        add_change (c, "server_added", false, new, v,
                    "added at %s with weight %u%s", gue, v->weight,
                    v->drain ? ", draining" : "");
    }
}

static void
compare_service (struct bb_ctl_changes *c, const struct bb_service *old,
                 const struct bb_service *new)
{
  g_autofree char *from = bb_ctl_format_endpoint (old->address);
  g_autofree char *to = bb_ctl_format_endpoint (new->address);

  if (strcmp (from, to) != 0 || old->protocol != new->protocol)
    add_change (c, "address", true, new, NULL,
                "address from %s/%s to %s/%s; callers of the old one are "
                "no longer served",
                from, bb_ctl_protocol_name (old->protocol), to,
                bb_ctl_protocol_name (new->protocol));
  if (old->policy != new->policy)
    add_change (c, "policy", false, new, NULL, "policy from %s to %s",
                bb_ctl_policy_name (old->policy),
                bb_ctl_policy_name (new->policy));
  compare_numbers (c, service_fields, G_N_ELEMENTS (service_fields), new, NULL,
                   old, new);
  compare_servers (c, old, new);
}

static const struct bb_service *
service_by_name (const struct bb_fleet *f, const char *name)
{
  for (size_t i = 0; i < f->service_count; i++)
    if (!strcmp (f->services[i].name, name))
      return &f->services[i];
  return NULL;
}

/* Returns the share of the buckets whose server for new flows differs.
   Balancers keep the number of buckets in force, so the number in the new
   document is not used.  */
static double
moved_share (const struct bb_service *old, const struct bb_service *new)
{
  struct bb_service in_force = *new;
  in_force.buckets = old->buckets;
  uint32_t *a = bb_ctl_desired_table (old, false);
  uint32_t *b = bb_ctl_desired_table (&in_force, false);
  uint32_t moved = 0;

  for (uint32_t i = 0; i < old->buckets; i++)
    moved += a[i] != b[i];
  g_free (a);
  g_free (b);
  return (double)moved / old->buckets;
}

static void
compare_services (struct bb_ctl_changes *c, const struct bb_fleet *old,
                  const struct bb_fleet *new)
{
  for (size_t i = 0; i < old->service_count; i++)
    if (!service_by_name (new, old->services[i].name))
      add_change (c, "service_removed", true, &old->services[i], NULL,
                  "removed; its callers are no longer served");
  for (size_t i = 0; i < new->service_count; i++)
    {
      const struct bb_service *s = &new->services[i];
      const struct bb_service *before = service_by_name (old, s->name);
      struct bb_ctl_moved_share move = { .share = 0 };
      if (!before)
        {
          add_change (c, "service_added", false, s, NULL,
                      "added with %zu servers", s->server_count);
          continue;
        }
      compare_service (c, before, s);
      g_strlcpy (move.service, s->name, BB_NAME_MAX);
      move.share = moved_share (before, s);
      g_array_append_val (c->moved_shares, move);
    }
}

static void
free_change (gpointer data)
{
  struct bb_ctl_change *c = data;

  g_free (c->change_kind);
  g_free (c->text);
  g_free (c);
}

struct bb_ctl_changes *
bb_ctl_changes_compute (const struct bb_fleet *old, const struct bb_fleet *new)
{
  struct bb_ctl_changes *c = g_new0 (struct bb_ctl_changes, 1);

  c->changes = g_ptr_array_new_with_free_func (free_change);
  c->moved_shares
      = g_array_new (FALSE, TRUE, sizeof (struct bb_ctl_moved_share));
  if (old->hash_seed != new->hash_seed)
    add_change (c, "hash_seed", true, NULL, NULL,
                "hash_seed changed; has no effect while a balancer "
                "of the data centre runs");
  if (old->network_count != new->network_count
      || memcmp (old->networks, new->networks,
                 old->network_count * sizeof *old->networks)
             != 0)
    add_change (c, "entry_networks", false, NULL, NULL,
                "entry_networks changed");
  if (old->is_evacuated != new->is_evacuated)
    add_change (c, "evacuated", false, NULL, NULL, "%s",
                new->is_evacuated
                    ? "data centre evacuated: its servers get no new flows, "
                      "established ones stay"
                    : "data centre taken back: its servers get new flows "
                      "again");
  compare_services (c, old, new);
  return c;
}

void
bb_ctl_changes_free (struct bb_ctl_changes *changes)
{
  g_ptr_array_unref (changes->changes);
  g_array_unref (changes->moved_shares);
  g_free (changes);
}
