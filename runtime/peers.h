/* Sends and receives messages between balancers over ZeroMQ.  Sending never
   blocks: a message for a peer that is not connected, or whose queue is full,
   is dropped.  Messages from addresses that do not belong to a balancer are
   refused.  */

#ifndef BB_RUNTIME_PEERS_H
#define BB_RUNTIME_PEERS_H

#include "core/core.h"

struct bb_process;
struct bb_peers;

/* Bytes include the ZMTP frame headers, but not TCP/IP headers, handshakes or
   keepalive pings.  */
struct bb_peers_counters
{
  uint64_t received_messages;
  uint64_t received_bytes;
  uint64_t sent_messages;
  uint64_t sent_bytes;
  uint64_t send_drops;      /* no connection, or a full queue */
  uint64_t refused_sources; /* source is not the address of a known balancer */
  uint64_t undecodable;
  uint64_t discarded; /* received during a pause of the process */
};

/* Binds the control endpoint of the settings.  */
struct bb_peers *bb_peers_new (struct bb_process *p, GError **error);
void bb_peers_free (struct bb_peers *peers);

/* Connects to the balancer at CONTROL unless a connection exists.  */
void bb_peers_connect (struct bb_peers *peers,
                       const struct bb_endpoint *control);

/* Sends MESSAGE or drops it; never blocks.  */
void bb_peers_send (struct bb_peers *peers, const struct bb_vm *to,
                    const struct bb_message *message);

/* Drops and counts the messages sent during a pause that ended at NOW.  */
void bb_peers_discard_received (struct bb_peers *peers, bb_usec now);

/* Handles the messages that have arrived and closes idle connections.  To be
   called about once a second.  */
void bb_peers_maintain (struct bb_peers *peers, bb_usec now);
const struct bb_peers_counters *
bb_peers_get_counters (const struct bb_peers *peers);
#endif
