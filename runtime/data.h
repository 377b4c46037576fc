/* Data path of the GUE transport.  Receives GUE datagrams from the fabric and
   from other balancers, passes each packet to the engine, and forwards it to a
   backend server or another balancer according to the engine's verdict.
   Malformed packets are dropped and counted here, before they reach the
   engine.  */

#ifndef BB_RUNTIME_DATA_H
#define BB_RUNTIME_DATA_H

#include "core/core.h"

struct bb_process;
struct bb_data;

struct bb_data_counters
{
  uint64_t received_packets;
  uint64_t received_bytes;
  uint64_t sent_packets;
  uint64_t sent_bytes;
  uint64_t batches;
  uint64_t send_drops; /* refused by the socket, usually because its buffer was
                          full */
  uint64_t discarded;  /* received during a pause of the process */
  uint64_t reset_drops; /* resets to callers, not sent for lack of an egress
                           address */
  uint64_t drops[BB_DROP_KINDS]; /* dropped before the engine saw the packet */
};

/* Binds the UDP socket given in the settings.  */
struct bb_data *bb_data_new (struct bb_process *p, GError **error);
void bb_data_free (struct bb_data *d);

/* Drops and counts all datagrams in the socket's receive buffer.  */
void bb_data_discard_received (struct bb_data *d);

/* Time at which the last packet arrived from the fabric, 0 if none has.  */
bb_usec bb_data_last_fabric_packet (const struct bb_data *d);
const struct bb_data_counters *bb_data_get_counters (const struct bb_data *d);
#endif
