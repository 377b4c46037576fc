/* Reads msgpack that comes from the network: every type, count and range is
   checked.  */

#ifndef BB_WIRE_READER_H
#define BB_WIRE_READER_H

#include "core/core.h"
#include <msgpack.h>

/* The elements of an array that have not been read.  BAD is set by the first
   element that is missing or unfit, and stays set.  */
struct bb_reader
{
  const msgpack_object *next;
  uint32_t remaining;
  msgpack_zone *zone;
  bool is_invalid;
};

/* The next element, which must be of TYPE, or NULL.  */
const msgpack_object *bb_reader_get (struct bb_reader *r,
                                     msgpack_object_type type);

/* A number up to MAX; 0 if it is unfit.  */
uint64_t bb_reader_get_uint (struct bb_reader *r, uint64_t max);
uint32_t bb_reader_get_u32 (struct bb_reader *r);
int32_t bb_reader_get_i32 (struct bb_reader *r);

/* The elements of an array; none if it is unfit.  */
struct bb_reader bb_reader_get_array (struct bb_reader *r);
void *bb_reader_alloc (struct bb_reader *r, size_t count, size_t size);

/* A text of 1 to BB_NAME_MAX - 1 bytes without NUL.  */
void bb_reader_get_name (struct bb_reader *r, char name[BB_NAME_MAX]);
void bb_reader_get_endpoint (struct bb_reader *r,
                             struct bb_endpoint *endpoint);

/* Reads the fields of a message of KIND into CONTEXT.  Returns false if the
   kind is unknown.  */
typedef bool (*bb_wire_body_reader) (void *context, uint64_t kind,
                                     struct bb_reader *fields);

/* Reads one message, an array that starts with the protocol version and the
   kind.  What TAKE has reserved lives as long as *ARENA, which the caller
   frees, on failure too; with ARENA NULL nothing may be reserved.  Errors:
   BB_ERROR_TOO_LARGE, BB_ERROR_PROTOCOL.  */
bool bb_wire_read_message (const uint8_t *data, size_t length,
                           bb_wire_body_reader take, void *context,
                           msgpack_zone **arena, GError **error);
#endif
