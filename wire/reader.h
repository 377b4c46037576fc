/* Reads msgpack that comes from the network.  Every type, count and range is
   checked, so that a malformed message is rejected as a whole and cannot cause
   an overflow or an unbounded allocation.  */

#ifndef BB_WIRE_READER_H
#define BB_WIRE_READER_H

#include "core/core.h"
#include <msgpack.h>

/* The unread elements of an array.  IS_INVALID is set at the first element
   that is missing, of the wrong type or out of range, and stays set.  */
struct bb_reader
{
  const msgpack_object *next;
  uint32_t remaining;
  msgpack_zone *zone;
  bool is_invalid;
};

/* Returns the next element if it is of TYPE; otherwise sets IS_INVALID and
   returns NULL.  */
const msgpack_object *bb_reader_get (struct bb_reader *r,
                                     msgpack_object_type type);

/* Return an unsigned integer of at most MAX, an unsigned 32-bit integer, and a
   signed 32-bit integer; 0 if the element is invalid.  */
uint64_t bb_reader_get_uint (struct bb_reader *r, uint64_t max);
uint32_t bb_reader_get_u32 (struct bb_reader *r);
int32_t bb_reader_get_i32 (struct bb_reader *r);

/* Returns a reader for a nested array, empty if the element is invalid.  */
struct bb_reader bb_reader_get_array (struct bb_reader *r);
void *bb_reader_alloc (struct bb_reader *r, size_t count, size_t size);

/* Reads a string of 1 to BB_NAME_MAX - 1 bytes without NUL.  */
void bb_reader_get_name (struct bb_reader *r, char name[BB_NAME_MAX]);
void bb_reader_get_endpoint (struct bb_reader *r,
                             struct bb_endpoint *endpoint);

/* Reads the fields of a message of KIND into CONTEXT.  Returns false if the
   kind is unknown.  */
typedef bool (*bb_wire_body_reader) (void *context, uint64_t kind,
                                     struct bb_reader *fields);

/* Reads one message: an array that starts with the protocol version and the
   kind, followed by the fields that READ_BODY reads.  Memory allocated by
   READ_BODY is valid as long as *ARENA, which the caller frees, also after a
   failure.  If ARENA is NULL, READ_BODY must not allocate.  Errors:
   BB_ERROR_TOO_LARGE, BB_ERROR_PROTOCOL.  */
bool bb_wire_read_message (const uint8_t *data, size_t length,
                           bb_wire_body_reader read_body, void *context,
                           msgpack_zone **arena, GError **error);
#endif
