/* Writes msgpack into a GByteArray.  */

#ifndef BB_WIRE_WRITER_H
#define BB_WIRE_WRITER_H

#include "core/core.h"
#include <msgpack.h>
#include <string.h>

/* Write callback for msgpack_packer_init; DATA is a GByteArray.  */
static inline int
bb_writer_append (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)length);
  return 0;
}

static inline void
bb_writer_put_uint (msgpack_packer *pk, uint64_t value)
{
  msgpack_pack_uint64 (pk, value);
}

static inline void
bb_writer_put_endpoint (msgpack_packer *pk, const struct bb_endpoint *endpoint)
{
  bb_writer_put_uint (pk, endpoint->address);
  bb_writer_put_uint (pk, endpoint->port);
}

static inline void
bb_writer_put_name (msgpack_packer *pk, const char *name)
{
  msgpack_pack_str_with_body (pk, name, strnlen (name, BB_NAME_MAX - 1));
}
#endif
