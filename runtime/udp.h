/* UDP socket that receives and sends datagrams in batches, which saves system
   calls.  Sending never blocks: datagrams that the socket refuses are dropped
   and counted.  */

#ifndef BB_RUNTIME_UDP_H
#define BB_RUNTIME_UDP_H

#include "core/core.h"

enum
{
  BB_UDP_BATCH_SIZE = 64,
  /* At most two packets are sent for each one received.  */
  BB_UDP_QUEUE_SIZE = 2 * BB_UDP_BATCH_SIZE,
};

struct bb_udp_counters
{
  uint64_t sent_packets;
  uint64_t sent_bytes;
  uint64_t send_drops;
};

struct bb_udp;

/* Binds a socket with kernel buffers of BUFFER bytes in each direction.
   Received datagrams hold up to PACKET_MAX bytes and are preceded by HEADROOM
   writable bytes.  Returns NULL with BB_ERROR_IO set on failure.  */
struct bb_udp *bb_udp_new (const struct bb_endpoint *endpoint, int buffer,
                           size_t headroom, size_t packet_max, GError **error);
void bb_udp_free (struct bb_udp *b);
int bb_udp_fd (const struct bb_udp *b);

/* Receives a batch.  Returns the number of datagrams, 0 or less if there are
   none.  */
int bb_udp_receive (struct bb_udp *b);

/* Returns datagram I of the last batch.  Its bytes may be modified and queued.
   A datagram that is too long has a *LENGTH of 0.  */
uint8_t *bb_udp_get_datagram (struct bb_udp *b, unsigned i, size_t *length,
                              struct bb_endpoint *from);

/* Queues LENGTH bytes, which must stay valid until the flush.  If the queue is
   full, it is flushed first.  */
void bb_udp_queue (struct bb_udp *b, uint8_t *bytes, size_t length,
                   const struct bb_endpoint *target);
void bb_udp_flush (struct bb_udp *b);
const struct bb_udp_counters *bb_udp_get_counters (const struct bb_udp *b);
#endif
