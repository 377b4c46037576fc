/* The data path: GUE in, GUE out.  */

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
  uint64_t send_drops;  /* refused by the socket, mostly a full buffer */
  uint64_t discarded;   /* buffered during a pause of the process */
  uint64_t reset_drops; /* resets to callers without an egress address */
  uint64_t drops[BB_DROP_KINDS]; /* before the engine saw the packet */
};

/* Binds the UDP socket of the settings.  */
struct bb_data *bb_data_new (struct bb_process *p, GError **error);
void bb_data_free (struct bb_data *d);

/* Drops and counts what the socket has buffered.  */
void bb_data_discard_received (struct bb_data *d);

/* When the last packet of the fabric came, 0: never.  */
bb_usec bb_data_last_fabric_packet (const struct bb_data *d);
const struct bb_data_counters *bb_data_get_counters (const struct bb_data *d);
#endif
