#include "runtime/peers.h"
#include "runtime/process_private.h"
#include "wire/wire.h"
#include <arpa/inet.h>
#include <errno.h>
#include <string.h>
#include <zmq.h>

enum
{
  HIGH_WATER_MARK = 64,       /* messages queued to or from one peer */
  CONNECTIONS_MAX = 256,      /* the engine has at most BB_PEER_MAX peers */
  RECEIVE_MESSAGES_MAX = 256, /* bounds the time until packets are handled */
  RECONNECT_MS = 100,         /* initial; doubles up to RECONNECT_MAX_MS */
  RECONNECT_MAX_MS = 1000,    /* less than BB_SUSPECT_TIMEOUT */
  /* A connection can stop delivering for good while new connections work.
     Pings close it before BB_SUSPECT_TIMEOUT has passed, so that its
     replacement keeps the peer from being suspected.  */
  PING_INTERVAL_MS = 500,
  PING_TIMEOUT_MS = 600,
  PING_TTL_MS = 5000, /* the remote end closes after this time without pings */
  /* Bytes of the ZMTP header of a frame below 256 bytes, and of a longer
     one.  */
  FRAME_HEADER_SHORT = 2,
  FRAME_HEADER_LONG = 9,
};

#define CONNECTION_IDLE_MAX (30 * BB_SEC)
/* Messages read this soon after a pause were sent before its end and must not
   count as recent contact with a peer.  */
#define DISCARD_WINDOW (100 * BB_MSEC)

struct connection
{
  void *socket;
  bb_usec last_used;
};

struct bb_peers
{
  struct bb_process *process;
  void *context;
  void *router;
  struct event *readable;
  GHashTable *connections; /* endpoint_key to struct connection */
  bb_usec discard_until;
  struct bb_peers_counters counters;
};

static gint64
endpoint_key (const struct bb_endpoint *endpoint)
{
  return (gint64)endpoint->address << 16 | endpoint->port;
}

static uint64_t
frame_bytes (size_t length)
{
  return length + (length < 256 ? FRAME_HEADER_SHORT : FRAME_HEADER_LONG);
}

static bool
is_from_peer (const struct bb_peers *peers, zmq_msg_t *message)
{
  const char *text = zmq_msg_gets (message, "Peer-Address");
  struct in_addr in;
  return text && inet_pton (AF_INET, text, &in) == 1
         && bb_engine_admits_address (peers->process->engine,
                                      ntohl (in.s_addr));
}

static void
handle_message (struct bb_peers *peers, zmq_msg_t *message, bb_usec now)
{
  size_t length = zmq_msg_size (message);
  peers->counters.received_messages++;
  peers->counters.received_bytes += frame_bytes (length);
  if (!is_from_peer (peers, message))
    {
      peers->counters.refused_sources++;
      return;
    }
  if (now < peers->discard_until)
    {
      peers->counters.discarded++;
      return;
    }
  struct bb_decoded_message decoded;
  if (!bb_wire_decode (zmq_msg_data (message), length, &decoded, NULL))
    {
      peers->counters.undecodable++;
      return;
    }
  if (decoded.message.from != peers->process->settings->self.id)
    bb_engine_receive_message (peers->process->engine, &decoded.message, now);
  bb_decoded_message_clear (&decoded);
}

/* Receives one message with all its frames: the first is the identity of the
   connection, the second the content.  Returns false if there is no
   message.  */
static bool
receive_message (struct bb_peers *peers, bb_usec now)
{
  int frame = 0, more = 1;
  while (more)
    {
      zmq_msg_t message;
      zmq_msg_init (&message);
      if (zmq_msg_recv (&message, peers->router, ZMQ_DONTWAIT) < 0)
        {
          zmq_msg_close (&message);
          return false;
        }
      more = zmq_msg_more (&message);
      if (frame++ == 1)
        handle_message (peers, &message, now);
      zmq_msg_close (&message);
    }
  return true;
}

/* ZMQ_FD is edge-triggered, so messages are read until EAGAIN.  After
   RECEIVE_MESSAGES_MAX messages the event is activated explicitly, so that
   packets are handled in between.  */
static void
receive_all (struct bb_peers *peers)
{
  bb_usec now = bb_clock_boot ();
  for (int i = 0; i < RECEIVE_MESSAGES_MAX; i++)
    if (!receive_message (peers, now))
      return;
  event_active (peers->readable, EV_READ, 0);
}

static void
on_readable (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  receive_all (context);
}

static void
set_option (void *socket, int option, int value)
{
  zmq_setsockopt (socket, option, &value, sizeof value);
}

static void
set_options (void *socket)
{
  set_option (socket, ZMQ_LINGER, 0);
  set_option (socket, ZMQ_SNDHWM, HIGH_WATER_MARK);
  set_option (socket, ZMQ_RCVHWM, HIGH_WATER_MARK);
  int64_t max = BB_WIRE_MESSAGE_MAX;
  zmq_setsockopt (socket, ZMQ_MAXMSGSIZE, &max, sizeof max);
}

static void
set_dealer_options (void *socket)
{
  set_options (socket);
  set_option (socket, ZMQ_HEARTBEAT_IVL, PING_INTERVAL_MS);
  set_option (socket, ZMQ_HEARTBEAT_TIMEOUT, PING_TIMEOUT_MS);
  set_option (socket, ZMQ_HEARTBEAT_TTL, PING_TTL_MS);
  set_option (socket, ZMQ_CONNECT_TIMEOUT, RECONNECT_MAX_MS);
  set_option (socket, ZMQ_HANDSHAKE_IVL, RECONNECT_MAX_MS);
  set_option (socket, ZMQ_RECONNECT_IVL, RECONNECT_MS);
  set_option (socket, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
  /* Messages are not queued for a peer without a connection: outdated state is
     worse than none, and the next heartbeat follows soon.  */
  set_option (socket, ZMQ_IMMEDIATE, 1);
}

static void
connection_free (void *data)
{
  struct connection *connection = data;
  zmq_close (connection->socket);
  g_free (connection);
}

/* Binds the source to this VM's control address.  Peers admit messages by
   source address, and the system might choose another address.  */
static void
format_url (const struct bb_peers *peers, const struct bb_endpoint *control,
            char *url, size_t size)
{
  struct bb_endpoint source = {
    .address = peers->process->settings->self.control.address,
  };
  char from[BB_ENDPOINT_TEXT_SIZE], to[BB_ENDPOINT_TEXT_SIZE];
  g_snprintf (url, size, "tcp://%s;%s", bb_endpoint_to_text (from, &source),
              bb_endpoint_to_text (to, control));
}

static struct connection *
get_connection (struct bb_peers *peers, const struct bb_endpoint *control,
                bb_usec now)
{
  gint64 key = endpoint_key (control);
  struct connection *connection
      = g_hash_table_lookup (peers->connections, &key);
  if (connection)
    {
      connection->last_used = now;
      return connection;
    }
  if (g_hash_table_size (peers->connections) >= CONNECTIONS_MAX)
    return NULL;
  char url[2 * BB_ENDPOINT_TEXT_SIZE + 8];
  format_url (peers, control, url, sizeof url);
  void *socket = zmq_socket (peers->context, ZMQ_DEALER);
  if (!socket)
    return NULL;
  set_dealer_options (socket);
  if (zmq_connect (socket, url) != 0)
    {
      zmq_close (socket);
      return NULL;
    }
  connection = g_new (struct connection, 1);
  *connection = (struct connection){ socket, now };
  g_hash_table_insert (peers->connections, g_memdup2 (&key, sizeof key),
                       connection);
  return connection;
}

void
bb_peers_connect (struct bb_peers *peers, const struct bb_endpoint *control)
{
  get_connection (peers, control, bb_clock_boot ());
}

/* Reading ZMQ_EVENTS makes the socket process its internal commands, such as a
   new connection; the ZMQ_FD of an outgoing socket is not watched.  The value
   read is not used.  */
static void
process_zmq_commands (void *socket)
{
  int events;
  size_t size = sizeof events;
  zmq_getsockopt (socket, ZMQ_EVENTS, &events, &size);
}

void
bb_peers_send (struct bb_peers *peers, const struct bb_vm *to,
               const struct bb_message *message)
{
  GByteArray *bytes = bb_wire_encode (message);
  struct connection *connection
      = get_connection (peers, &to->control, bb_clock_boot ());
  int sent = -1;
  if (connection && bytes->len <= BB_WIRE_MESSAGE_MAX)
    {
      process_zmq_commands (connection->socket);
      sent = zmq_send (connection->socket, bytes->data, bytes->len,
                       ZMQ_DONTWAIT);
      process_zmq_commands (connection->socket);
    }
  if (sent < 0)
    peers->counters.send_drops++;
  else
    {
      peers->counters.sent_messages++;
      peers->counters.sent_bytes += frame_bytes (bytes->len);
    }
  g_byte_array_unref (bytes);
}

void
bb_peers_discard_received (struct bb_peers *peers, bb_usec now)
{
  peers->discard_until = now + DISCARD_WINDOW;
  receive_all (peers);
}

static gboolean
is_idle (gpointer key, gpointer value, gpointer now)
{
  (void)key;
  const struct connection *connection = value;
  return *(const bb_usec *)now - connection->last_used > CONNECTION_IDLE_MAX;
}

void
bb_peers_maintain (struct bb_peers *peers, bb_usec now)
{
  g_hash_table_foreach_remove (peers->connections, is_idle, &now);
  receive_all (peers);
}

const struct bb_peers_counters *
bb_peers_get_counters (const struct bb_peers *peers)
{
  return &peers->counters;
}

static bool
open_router (struct bb_peers *peers, GError **error)
{
  const struct bb_endpoint *control = &peers->process->settings->self.control;
  char text[BB_ENDPOINT_TEXT_SIZE], url[BB_ENDPOINT_TEXT_SIZE + 8];
  g_snprintf (url, sizeof url, "tcp://%s",
              bb_endpoint_to_text (text, control));
  peers->context = zmq_ctx_new ();
  peers->router = zmq_socket (peers->context, ZMQ_ROUTER);
  set_options (peers->router);
  if (zmq_bind (peers->router, url) != 0)
    {
      g_set_error (error, BB_ERROR, BB_ERROR_IO, "control: TCP %s: %s", text,
                   zmq_strerror (errno));
      return false;
    }
  int fd;
  size_t size = sizeof fd;
  zmq_getsockopt (peers->router, ZMQ_FD, &fd, &size);
  peers->readable = event_new (peers->process->loop, fd, EV_READ | EV_PERSIST,
                               on_readable, peers);
  event_add (peers->readable, NULL);
  return true;
}

struct bb_peers *
bb_peers_new (struct bb_process *p, GError **error)
{
  struct bb_peers *peers = g_new0 (struct bb_peers, 1);
  peers->process = p;
  peers->connections = g_hash_table_new_full (g_int64_hash, g_int64_equal,
                                              g_free, connection_free);
  if (!open_router (peers, error))
    {
      bb_peers_free (peers);
      return NULL;
    }
  return peers;
}

void
bb_peers_free (struct bb_peers *peers)
{
  if (!peers)
    return;
  if (peers->readable)
    event_free (peers->readable);
  g_hash_table_unref (peers->connections);
  zmq_close (peers->router);
  zmq_ctx_term (peers->context);
  g_free (peers);
}
