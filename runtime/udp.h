/* Batches of datagrams on one UDP socket.  */

#ifndef BB_RUNTIME_UDP_H
#define BB_RUNTIME_UDP_H

#include "core/core.h"

enum
{
  BB_BATCH_SIZE = 64,
  BB_BATCH_OUT = 2 * BB_BATCH_SIZE, /* two packets out for each one in */
};

struct bb_batch_counters
{
  uint64_t sent_packets;
  uint64_t sent_bytes;
  uint64_t send_drops;
};

struct bb_batch;

/* Binds a socket with BUFFER bytes of kernel buffers each way.  Datagrams hold
   up to PACKET_MAX bytes and have HEADROOM bytes before them.  Returns NULL
   with BB_ERROR_IO set if that fails.  */
struct bb_batch *bb_batch_new (const struct bb_endpoint *endpoint, int buffer,
                               size_t headroom, size_t packet_max,
                               GError **error);
void bb_batch_free (struct bb_batch *b);
int bb_batch_fd (const struct bb_batch *b);

/* Receives what is there; returns the number of datagrams, 0 or less if there
   is none.  */
int bb_batch_receive (struct bb_batch *b);

/* Datagram I of the last batch.  Its bytes may be changed and queued.  LENGTH
   is 0 if it was too long.  */
uint8_t *bb_batch_packet (struct bb_batch *b, unsigned i, size_t *length,
                          struct bb_endpoint *from);

/* Queues LENGTH bytes, which must stay until the flush.  A full queue is
   flushed first.  */
void bb_batch_queue (struct bb_batch *b, uint8_t *bytes, size_t length,
                     const struct bb_endpoint *target);
void bb_batch_flush (struct bb_batch *b);
const struct bb_batch_counters *
bb_batch_get_counters (const struct bb_batch *b);
#endif
