#include "wire/reader.h"
#include "wire/message.h"
#include "wire/wire.h"
#include <string.h>

const msgpack_object *
bb_reader_get (struct bb_reader *r, msgpack_object_type type)
{
  if (r->is_invalid || r->remaining == 0 || r->next->type != type)
    {
      r->is_invalid = true;
      return NULL;
    }
  r->remaining--;
  return r->next++;
}

uint64_t
bb_reader_get_uint (struct bb_reader *r, uint64_t max)
{
  const msgpack_object *o = bb_reader_get (r, MSGPACK_OBJECT_POSITIVE_INTEGER);
  if (o && o->via.u64 > max)
    r->is_invalid = true;
  return o && !r->is_invalid ? o->via.u64 : 0;
}

uint32_t
bb_reader_get_u32 (struct bb_reader *r)
{
  return (uint32_t)bb_reader_get_uint (r, UINT32_MAX);
}

int32_t
bb_reader_get_i32 (struct bb_reader *r)
{
  if (r->remaining > 0 && r->next->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    return (int32_t)bb_reader_get_uint (r, INT32_MAX);
  const msgpack_object *o = bb_reader_get (r, MSGPACK_OBJECT_NEGATIVE_INTEGER);
  if (o && o->via.i64 < INT32_MIN)
    r->is_invalid = true;
  return o && !r->is_invalid ? (int32_t)o->via.i64 : 0;
}

struct bb_reader
bb_reader_get_array (struct bb_reader *r)
{
  struct bb_reader inner = { .zone = r->zone };
  const msgpack_object *o = bb_reader_get (r, MSGPACK_OBJECT_ARRAY);
  if (o)
    {
      inner.next = o->via.array.ptr;
      inner.remaining = o->via.array.size;
    }
  return inner;
}

/* Returns zeroed memory from the arena for COUNT elements, NULL if COUNT is 0
   or the reader is invalid.  */
void *
bb_reader_alloc (struct bb_reader *r, size_t count, size_t size)
{
  if (count == 0 || r->is_invalid)
    return NULL;
  void *memory = msgpack_zone_malloc (r->zone, count * size);
  if (!memory)
    r->is_invalid = true;
  else
    memset (memory, 0, count * size);
  return memory;
}

void
bb_reader_get_name (struct bb_reader *r, char name[BB_NAME_MAX])
{
  const msgpack_object *o = bb_reader_get (r, MSGPACK_OBJECT_STR);
  if (!o)
    return;
  size_t size = o->via.str.size;
  if (size == 0 || size >= BB_NAME_MAX || memchr (o->via.str.ptr, 0, size))
    {
      r->is_invalid = true;
      return;
    }
  memcpy (name, o->via.str.ptr, size);
  name[size] = 0;
}

void
bb_reader_get_endpoint (struct bb_reader *r, struct bb_endpoint *endpoint)
{
  endpoint->address = bb_reader_get_u32 (r);
  endpoint->port = (uint16_t)bb_reader_get_uint (r, UINT16_MAX);
}

/* Returns the reason for rejecting the message, or NULL.  */
static const char *
read_message (const msgpack_unpacked *unpacked, bb_wire_body_reader read_body,
              void *context)
{
  struct bb_reader r
      = { .next = &unpacked->data, .remaining = 1, .zone = unpacked->zone };
  struct bb_reader fields = bb_reader_get_array (&r);
  uint64_t version = bb_reader_get_uint (&fields, UINT64_MAX);
  if (r.is_invalid || fields.is_invalid)
    return "message: expected an array that starts with the protocol version";
  if (version != BB_WIRE_VERSION)
    return "message: unknown protocol version";
  uint64_t kind = bb_reader_get_uint (&fields, UINT32_MAX);
  if (fields.is_invalid || !read_body (context, kind, &fields))
    return "message: unknown kind";
  return fields.is_invalid ? "message: an element is missing, of the wrong "
                             "type or out of range"
                           : NULL;
}

bool
bb_wire_read_message (const uint8_t *data, size_t length,
                      bb_wire_body_reader read_body, void *context,
                      msgpack_zone **arena, GError **error)
{
  if (length > BB_WIRE_MESSAGE_MAX)
    {
      g_set_error (error, BB_ERROR, BB_ERROR_TOO_LARGE,
                   "message: %zu bytes; expected at most %d", length,
                   BB_WIRE_MESSAGE_MAX);
      return false;
    }
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  const char *problem = "message: expected one whole msgpack item";
  if (bb_wire_sizes_fit (data, length)
      && msgpack_unpack_next (&unpacked, (const char *)data, length, NULL)
             == MSGPACK_UNPACK_SUCCESS)
    problem = read_message (&unpacked, read_body, context);
  if (arena)
    *arena = msgpack_unpacked_release_zone (&unpacked);
  msgpack_unpacked_destroy (&unpacked);
  if (problem)
    g_set_error (error, BB_ERROR, BB_ERROR_PROTOCOL, "%s", problem);
  return !problem;
}
