/* The network between balancers.  Balancers reach one another through
   addresses of this proxy, which drops, delays and duplicates datagrams,
   separately for each direction.  */

#include "soak/soak.h"
#include <netinet/in.h>
#include <string.h>
#include <sys/socket.h>

enum
{
  DATAGRAM_MAX = 2048,
  DELAYED_MAX = 20000, /* queue of delayed datagrams; more are dropped */
};

/* State of the link from one balancer to another.  */
struct direction
{
  bb_usec drop_until, delay_until, duplicate_until;
  bb_usec delay; /* until DELAY_UNTIL */
};

struct delayed
{
  bb_usec due;
  unsigned from, to;
  size_t length;
  uint8_t bytes[];
};

static struct direction directions[SOAK_BALANCERS_MAX][SOAK_BALANCERS_MAX];
static int sockets[SOAK_BALANCERS_MAX];
static GQueue *delayed;

struct bb_endpoint
soak_link_address (unsigned balancer)
{
  return (struct bb_endpoint){ 0x7f140000 + 10 + balancer,
                               (uint16_t)(cluster.port + 2) };
}

static void
send_datagram (unsigned from, unsigned to, const uint8_t *bytes, size_t length)
{
  const struct bb_endpoint target = { cluster.balancers[to].packets.address,
                                      (uint16_t)(cluster.port + 2) };
  soak_send_datagram (sockets[from], &target, bytes, length);
}

static void
delay_datagram (unsigned from, unsigned to, const uint8_t *bytes,
                size_t length, bb_usec time)
{
  if (g_queue_get_length (delayed) >= DELAYED_MAX)
    return;
  struct delayed *d = g_malloc (sizeof *d + length);
  *d = (struct delayed){
    .due = cluster.now + time, .from = from, .to = to, .length = length
  };
  memcpy (d->bytes, bytes, length);
  g_queue_push_tail (delayed, d);
}

static void
forward_datagram (unsigned from, unsigned to, const uint8_t *bytes,
                  size_t length)
{
  const struct direction *d = &directions[from][to];
  if (cluster.now < d->drop_until)
    return;
  if (cluster.now < d->duplicate_until)
    delay_datagram (from, to, bytes, length, 30 * BB_MSEC);
  if (cluster.now < d->delay_until)
    delay_datagram (from, to, bytes, length, d->delay);
  else
    send_datagram (from, to, bytes, length);
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  (void)what;
  unsigned to = GPOINTER_TO_UINT (context);
  uint8_t bytes[DATAGRAM_MAX];
  struct sockaddr_in from;
  socklen_t size = sizeof from;
  ssize_t length;
  while ((length = recvfrom (fd, bytes, sizeof bytes, 0,
                             (struct sockaddr *)&from, &size))
         > 0)
    {
      const struct soak_balancer *b
          = soak_find_balancer (ntohl (from.sin_addr.s_addr));
      if (b)
        forward_datagram (b->index, to, bytes, (size_t)length);
    }
}

void
soak_links_tick (void)
{
  for (guint remaining = g_queue_get_length (delayed); remaining > 0;
       remaining--)
    {
      struct delayed *d = g_queue_pop_head (delayed);
      if (d->due > cluster.now)
        {
          g_queue_push_tail (delayed, d);
          continue;
        }
      send_datagram (d->from, d->to, d->bytes, d->length);
      g_free (d);
    }
}

void
soak_links_drop (soak_link_filter filter, bb_usec until)
{
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    for (unsigned j = 0; j < cluster.balancer_count; j++)
      if (filter (&cluster.balancers[i], &cluster.balancers[j]))
        directions[i][j].drop_until = MAX (directions[i][j].drop_until, until);
}

void
soak_links_delay (unsigned balancer, bb_usec time, bb_usec until)
{
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    {
      struct direction *d = &directions[balancer][i];
      d->delay = time;
      d->delay_until = until;
    }
}

void
soak_links_duplicate (unsigned balancer, bb_usec until)
{
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    directions[balancer][i].duplicate_until = until;
}

void
soak_links_start (void)
{
  delayed = g_queue_new ();
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    {
      struct bb_endpoint e = soak_link_address (i);
      sockets[i] = soak_open_socket (&e);
      event_add (event_new (cluster.loop, sockets[i], EV_READ | EV_PERSIST,
                            on_readable, GUINT_TO_POINTER (i)),
                 NULL);
    }
}
