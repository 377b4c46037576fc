/* Codec of the messages between balancers of a marked transport: heartbeats,
   requests and records of servers and routes.  The decoder rejects malformed
   messages, so that their contents need no further checks of type or size.  */

#ifndef BB_WIRE_SYNC_H
#define BB_WIRE_SYNC_H

#include "marked/sync/sync_messages.h"

/* Encodes MESSAGE; free the result with g_byte_array_unref.  */
GByteArray *bb_sync_encode (const struct bb_sync_message *message);

/* Decodes LENGTH bytes into MESSAGE.  Returns false with BB_ERROR_PROTOCOL or
   BB_ERROR_TOO_LARGE set if they are not a message of this protocol
   version.  */
bool bb_sync_decode (const uint8_t *data, size_t length,
                     struct bb_sync_message *message, GError **error);
#endif
