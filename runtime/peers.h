/* Messages between balancers over ZeroMQ.  */

#ifndef BB_RUNTIME_PEERS_H
#define BB_RUNTIME_PEERS_H

#include "core/core.h"

struct bb_process;
struct bb_peers;

/* Bytes include the ZMTP frame headers, not TCP/IP headers, handshakes and
   the pings that keep connections under watch.  */
struct bb_peers_counters
{
  uint64_t received_messages;
  uint64_t received_bytes;
  uint64_t sent_messages;
  uint64_t sent_bytes;
  uint64_t send_drops;      /* no connection, or the queue was full */
  uint64_t refused_sources; /* not the address of a balancer of ours */
  uint64_t undecodable;
  uint64_t discarded; /* buffered during a pause of the process */
};

/* Binds the control endpoint of the settings.  */
struct bb_peers *bb_peers_new (struct bb_process *p, GError **error);
void bb_peers_free (struct bb_peers *peers);

/* Connects to the balancer at CONTROL unless there is a connection.  */
void bb_peers_connect (struct bb_peers *peers,
                       const struct bb_endpoint *control);

/* Sends MESSAGE or drops it; never blocks.  */
void bb_peers_send (struct bb_peers *peers, const struct bb_vm *to,
                    const struct bb_message *message);

/* Drops and counts what was sent during a pause that ended at NOW.  */
void bb_peers_discard_received (struct bb_peers *peers, bb_usec now);

/* Handles what has arrived, and closes connections that have not been used
   for a while.  To be called about once a second.  */
void bb_peers_maintain (struct bb_peers *peers, bb_usec now);
const struct bb_peers_counters *
bb_peers_get_counters (const struct bb_peers *peers);
#endif
