#include "standins/common.h"
#include <string.h>
#include <xxhash.h>

enum
{
  REQUEST_MAGIC = 0x42425251,
  ANSWER_MAGIC = 0x4242414e
};

/* Requests and answers are in host byte order, since both ends run on the same
   machine.  */
struct request
{
  uint32_t magic;
  uint32_t length;
  uint64_t id;
};
G_STATIC_ASSERT (sizeof (struct request) == BB_STANDIN_REQUEST_SIZE);

struct answer
{
  uint32_t magic;
  uint32_t length;
  uint64_t id;
  char server[BB_STANDIN_SERVER_NAME];
};
G_STATIC_ASSERT (sizeof (struct answer) == BB_STANDIN_ANSWER_HEADER_SIZE);

void
bb_standin_write_request (uint8_t *data, uint64_t id, uint32_t length)
{
  struct request r = { REQUEST_MAGIC, length, id };
  memcpy (data, &r, sizeof r);
}

bool
bb_standin_read_request (const uint8_t *data, size_t length, uint64_t *id,
                         uint32_t *answer_length)
{
  struct request r;
  if (length != sizeof r)
    return false;
  memcpy (&r, data, sizeof r);
  *id = r.id;
  *answer_length = r.length;
  return r.magic == REQUEST_MAGIC && r.length <= BB_STANDIN_BODY_MAX;
}

void
bb_standin_write_answer (GByteArray *out, const struct bb_answer *answer)
{
  struct answer header = { ANSWER_MAGIC, answer->length, answer->id, "" };
  g_strlcpy (header.server, answer->server, sizeof header.server);
  g_byte_array_append (out, (const guint8 *)&header, sizeof header);
  guint start = out->len;
  g_byte_array_set_size (out, start + answer->length);
  bb_standin_fill_body (out->data + start, answer->length, answer->id);
}

bool
bb_standin_read_answer (const uint8_t *data, size_t length,
                        struct bb_answer *answer)
{
  struct answer header;
  if (length < sizeof header)
    return false;
  memcpy (&header, data, sizeof header);
  answer->id = header.id;
  answer->length = header.length;
  g_strlcpy (answer->server, header.server, sizeof answer->server);
  return header.magic == ANSWER_MAGIC && header.length <= BB_STANDIN_BODY_MAX;
}

void
bb_standin_fill_body (uint8_t *body, uint32_t length, uint64_t id)
{
  for (uint32_t i = 0; i < length; i += 8)
    {
      uint64_t word = XXH3_64bits_withSeed (&i, sizeof i, id);
      memcpy (body + i, &word, MIN (sizeof word, length - i));
    }
}

uint64_t
bb_standin_digest (const uint8_t *body, uint32_t length)
{
  return XXH3_64bits (body, length);
}
