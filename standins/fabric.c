/* Network fabric.  Sends each packet of a caller to a random target of the
   data centre.  A packet from a server, received at the egress, goes to the
   caller that has the packet's destination as its inner address.

   A targets file has one line per target.  "ADDRESS:PORT" is a balancer.
   "ADDRESS:PORT SERVICE" is a backend server in tests without balancers: it
   receives packets to that service address, and all packets of a flow go to
   the same server.  */

#include "standins/common.h"
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>

enum
{
  RELOAD_INTERVAL_MS = 20,
  TARGETS_MAX = 256
};

/* Faults for tests, at each EVERYth packet from callers.  */
enum fault
{
  FAULT_NONE,
  FAULT_DUPLICATE, /* sent to two targets, which TCP must tolerate */
  FAULT_MISDIRECT, /* sent to VICTIM instead */
  FAULT_LOSS,      /* not sent, which TCP must tolerate */
  FAULTS
};
static const char *const fault_names[FAULTS]
    = { "none", "duplicate", "misdirect", "loss" };

struct target
{
  struct bb_endpoint endpoint;
  struct bb_endpoint service; /* port 0: packets to any service */
};

struct caller
{
  gint address; /* inner address, the key */
  struct bb_endpoint endpoint;
};

struct ingress
{
  int fd;
  char *path;
  struct timespec read_mtime; /* of the targets file when it was read */
  ino_t read_inode;
  struct target targets[TARGETS_MAX];
  uint32_t target_count;
};

static struct
{
  char **ingress, *egress, *fault, *victim;
  gint every, seed;
} options = { .every = 1, .seed = 1 };

static const GOptionEntry entries[]
    = { BB_STANDIN_STRINGS ("ingress", options.ingress),
        BB_STANDIN_STRING ("egress", options.egress),
        BB_STANDIN_STRING ("fault", options.fault),
        BB_STANDIN_STRING ("victim", options.victim),
        BB_STANDIN_INT ("every", options.every),
        BB_STANDIN_INT ("seed", options.seed),
        { 0 } };

static struct
{
  int egress_fd;
  GHashTable *callers; /* of struct caller, by inner address */
  GRand *random;
  enum fault fault;
  struct bb_endpoint victim;
  uint64_t packets;
} fabric;

static void
read_targets (struct ingress *in)
{
  char *text;
  in->target_count = 0;
  if (!g_file_get_contents (in->path, &text, NULL, NULL))
    return;
  char **lines = g_strsplit (text, "\n", -1);
  for (char **l = lines; *l && in->target_count < TARGETS_MAX; l++)
    {
      char **words = g_strsplit (g_strstrip (*l), " ", 2);
      struct target *t = &in->targets[in->target_count];
      if (words[0] && *words[0])
        {
          *t = (struct target){ bb_standin_parse_endpoint (words[0]), { 0 } };
          if (words[1])
            t->service = bb_standin_parse_endpoint (words[1]);
          in->target_count++;
        }
      g_strfreev (words);
    }
  g_strfreev (lines);
  g_free (text);
}

static void
reload_targets (void *context)
{
  struct ingress *in = context;
  struct stat s;
  if (stat (in->path, &s) != 0
      || (s.st_mtim.tv_sec == in->read_mtime.tv_sec
          && s.st_mtim.tv_nsec == in->read_mtime.tv_nsec
          && s.st_ino == in->read_inode))
    return;
  in->read_mtime = s.st_mtim;
  in->read_inode = s.st_ino;
  read_targets (in);
}

static const struct target *
choose_target (const struct ingress *in, const struct bb_segment *s)
{
  const struct target *candidates[TARGETS_MAX];
  uint32_t count = 0;
  for (uint32_t i = 0; i < in->target_count; i++)
    {
      const struct target *t = &in->targets[i];
      if (!t->service.port
          || bb_standin_endpoints_equal (t->service, s->destination))
        candidates[count++] = t;
    }
  if (!count)
    return NULL;
  if (candidates[0]->service.port)
    return candidates[(s->source.address * 31 + s->source.port) % count];
  return candidates[g_rand_int (fabric.random) % count];
}

static void
record_caller (uint32_t address, struct bb_endpoint from)
{
  gint key = (gint)address;
  struct caller *c = g_hash_table_lookup (fabric.callers, &key);
  if (!c)
    {
      c = g_new (struct caller, 1);
      c->address = key;
      g_hash_table_insert (fabric.callers, &c->address, c);
    }
  c->endpoint = from;
}

static void
forward_packet (struct ingress *in, const uint8_t *packet, size_t length,
                const struct bb_segment *s)
{
  const struct target *t = choose_target (in, s);
  bool due = ++fabric.packets % (uint64_t)options.every == 0;
  enum fault fault = due ? fabric.fault : FAULT_NONE;
  if (fault == FAULT_MISDIRECT)
    bb_standin_send_packet (in->fd, fabric.victim, packet, length);
  if (!t || fault == FAULT_MISDIRECT || fault == FAULT_LOSS)
    return;
  bb_standin_send_packet (in->fd, t->endpoint, packet, length);
  t = choose_target (in, s);
  if (fault == FAULT_DUPLICATE && t)
    bb_standin_send_packet (in->fd, t->endpoint, packet, length);
}

static void
receive_ingress (void *context)
{
  struct ingress *in = context;
  uint8_t buffer[BB_STANDIN_DATAGRAM_MAX], *inner;
  struct bb_endpoint from;
  struct bb_segment s;
  ssize_t n;
  while ((n = bb_standin_receive_packet (in->fd, buffer, &inner, &from)) >= 0)
    if (n && bb_standin_parse_segment (inner, (size_t)n, &s))
      {
        record_caller (s.source.address, from);
        forward_packet (in, inner, (size_t)n, &s);
      }
}

static void
receive_egress (void *context)
{
  uint8_t buffer[BB_STANDIN_DATAGRAM_MAX], *inner;
  struct bb_endpoint from;
  struct bb_segment s;
  ssize_t n;
  (void)context;
  while (
      (n = bb_standin_receive_packet (fabric.egress_fd, buffer, &inner, &from))
      >= 0)
    {
      if (!n || !bb_standin_parse_segment (inner, (size_t)n, &s))
        continue;
      gint key = (gint)s.destination.address;
      const struct caller *c = g_hash_table_lookup (fabric.callers, &key);
      if (c)
        bb_standin_send_packet (fabric.egress_fd, c->endpoint, inner,
                                (size_t)n);
    }
}

/* TEXT is "ADDRESS:PORT=FILE".  */
static void
open_ingress (struct event_base *base, const char *text)
{
  struct ingress *in = g_new0 (struct ingress, 1);
  char **parts = g_strsplit (text, "=", 2);
  in->fd = bb_standin_open_udp (bb_standin_parse_endpoint (parts[0]));
  in->path = g_strdup (parts[1]);
  if (!in->path)
    {
      g_printerr ("\"%s\" is not ADDRESS:PORT=FILE\n", text);
      exit (2);
    }
  g_strfreev (parts);
  reload_targets (in);
  bb_standin_watch_socket (base, in->fd, receive_ingress, in);
  bb_standin_watch_timer (base, RELOAD_INTERVAL_MS, reload_targets, in);
}

int
main (int argc, char **argv)
{
  bb_standin_parse_options (argc, argv, entries);
  struct event_base *base = event_base_new ();
  fabric.fault = bb_standin_parse_name (options.fault, fault_names, FAULTS);
  if (fabric.fault == FAULT_MISDIRECT)
    fabric.victim = bb_standin_parse_endpoint (options.victim);
  fabric.random = g_rand_new_with_seed ((guint32)options.seed);
  fabric.callers
      = g_hash_table_new_full (g_int_hash, g_int_equal, NULL, g_free);
  fabric.egress_fd
      = bb_standin_open_udp (bb_standin_parse_endpoint (options.egress));
  bb_standin_watch_socket (base, fabric.egress_fd, receive_egress, NULL);
  for (char **i = options.ingress; i && *i; i++)
    open_ingress (base, *i);
  event_base_dispatch (base);
  return 0;
}
