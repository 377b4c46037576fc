/* Decodes peer messages; message_encode.c describes the layout.  The bytes
   come from the network, so every type, count and range is checked.  */

#include "wire/message.h"
#include "wire/reader.h"
#include "wire/wire.h"
#include <string.h>

static void
read_bits (struct bb_reader *r, struct bb_heartbeat *h)
{
  struct bb_reader inner = bb_reader_get_array (r);
  uint32_t *bits = bb_reader_alloc (r, inner.remaining, sizeof *bits);
  h->bits = bits;
  h->bit_count = bits ? inner.remaining : 0;
  for (size_t i = 0; i < h->bit_count; i++)
    bits[i] = bb_reader_get_u32 (&inner);
  r->is_invalid |= inner.is_invalid;
}

static void
read_counts (struct bb_reader *r, struct bb_heartbeat *h)
{
  struct bb_reader inner = bb_reader_get_array (r);
  int32_t *counts = bb_reader_alloc (r, inner.remaining, sizeof *counts);
  h->counts = counts;
  h->count_count = counts ? inner.remaining : 0;
  for (size_t i = 0; i < h->count_count; i++)
    counts[i] = bb_reader_get_i32 (&inner);
  r->is_invalid |= inner.is_invalid;
}

static void
read_heartbeat (struct bb_reader *r, struct bb_heartbeat *h)
{
  h->incarnation = bb_reader_get_uint (r, UINT64_MAX);
  h->state = (enum bb_peer_state)bb_reader_get_uint (r, BB_PEER_LEAVING);
  for (size_t i = 0; i < BB_DOCUMENT_KINDS; i++)
    h->versions[i] = bb_reader_get_uint (r, UINT64_MAX);
  h->generation = bb_reader_get_u32 (r);
  h->phase = (enum bb_phase)bb_reader_get_uint (r, BB_PHASE_RESOLVE);
  h->default_set_digest = bb_reader_get_u32 (r);
  h->bits_sequence = bb_reader_get_u32 (r);
  read_bits (r, h);
  h->acknowledged = bb_reader_get_u32 (r);
  h->replicated = bb_reader_get_uint (r, 1) != 0;
  h->counts_digest = bb_reader_get_u32 (r);
  read_counts (r, h);
  h->members_digest = bb_reader_get_u32 (r);
}

static void
read_vm (struct bb_reader *r, struct bb_vm *vm)
{
  struct bb_reader fields = bb_reader_get_array (r);
  bb_reader_get_name (&fields, vm->name);
  bb_reader_get_name (&fields, vm->data_centre);
  bb_reader_get_endpoint (&fields, &vm->data);
  bb_reader_get_endpoint (&fields, &vm->control);
  vm->state = (enum bb_vm_state)bb_reader_get_uint (&fields, BB_VM_LEAVING);
  r->is_invalid |= fields.is_invalid;
  if (!r->is_invalid)
    vm->id = bb_name_key (vm->name);
}

static void
read_members (struct bb_reader *r, struct bb_members *members)
{
  struct bb_reader inner = bb_reader_get_array (r);
  struct bb_vm *vms = bb_reader_alloc (r, inner.remaining, sizeof *vms);
  members->vms = vms;
  members->vm_count = vms ? inner.remaining : 0;
  for (size_t i = 0; i < members->vm_count; i++)
    read_vm (&inner, &vms[i]);
  r->is_invalid |= inner.is_invalid;
}

static enum bb_document_kind
read_document_kind (struct bb_reader *r)
{
  return (enum bb_document_kind)bb_reader_get_uint (r, BB_DOCUMENT_KINDS - 1);
}

static void
read_document_request (struct bb_reader *r,
                       struct bb_document_request *document_request)
{
  document_request->document = read_document_kind (r);
  document_request->version = bb_reader_get_uint (r, UINT64_MAX);
  document_request->offset = (uint32_t)bb_reader_get_uint (r, BB_DOCUMENT_MAX);
}

static void
read_document (struct bb_reader *r, struct bb_document *d)
{
  d->document = read_document_kind (r);
  d->version = bb_reader_get_uint (r, UINT64_MAX);
  d->offset = (uint32_t)bb_reader_get_uint (r, BB_DOCUMENT_MAX);
  d->total = (uint32_t)bb_reader_get_uint (r, BB_DOCUMENT_MAX);
  const msgpack_object *o = bb_reader_get (r, MSGPACK_OBJECT_BIN);
  if (!o)
    return;
  size_t size = o->via.bin.size;
  if (size > BB_CHUNK_MAX || d->offset > d->total
      || size > d->total - d->offset)
    {
      r->is_invalid = true;
      return;
    }
  uint8_t *bytes = bb_reader_alloc (r, size, 1);
  if (bytes)
    memcpy (bytes, o->via.bin.ptr, size);
  d->bytes = bytes;
  d->length = bytes ? size : 0;
}

static void
read_entries (struct bb_reader *r, struct bb_entries *entries)
{
  entries->batch = bb_reader_get_u32 (r);
  struct bb_reader inner = bb_reader_get_array (r);
  size_t count = inner.remaining / BB_WIRE_ENTRY_FIELDS;
  if (inner.remaining % BB_WIRE_ENTRY_FIELDS || count > BB_ENTRIES_PER_MESSAGE)
    r->is_invalid = true;
  struct bb_entry *list = bb_reader_alloc (r, count, sizeof *list);
  entries->entries = list;
  entries->entry_count = list ? count : 0;
  for (size_t i = 0; i < entries->entry_count; i++)
    {
      list[i].hash = bb_reader_get_uint (&inner, UINT64_MAX);
      list[i].server = bb_reader_get_u32 (&inner);
      list[i].state = (uint8_t)bb_reader_get_uint (&inner, UINT8_MAX);
    }
  r->is_invalid |= inner.is_invalid;
}

static void
read_set_member (struct bb_reader *r, struct bb_default_set_member *m)
{
  struct bb_reader fields = bb_reader_get_array (r);
  m->service = bb_reader_get_u32 (&fields);
  m->server = bb_reader_get_u32 (&fields);
  bb_reader_get_endpoint (&fields, &m->gue);
  m->default_weight = (uint16_t)bb_reader_get_uint (&fields, UINT16_MAX);
  m->target_weight = (uint16_t)bb_reader_get_uint (&fields, UINT16_MAX);
  m->buckets = (uint32_t)bb_reader_get_uint (&fields, BB_BUCKETS_MAX);
  m->formed_version = bb_reader_get_uint (&fields, UINT64_MAX);
  r->is_invalid |= fields.is_invalid;
}

static void
read_default_set (struct bb_reader *r, struct bb_default_set *set)
{
  set->origin = bb_reader_get_uint (r, UINT64_MAX);
  set->hash_seed = bb_reader_get_uint (r, UINT64_MAX);
  set->generation = bb_reader_get_u32 (r);
  set->phase = (enum bb_phase)bb_reader_get_uint (r, BB_PHASE_RESOLVE);
  set->digest = bb_reader_get_u32 (r);
  struct bb_reader inner = bb_reader_get_array (r);
  struct bb_default_set_member *members
      = bb_reader_alloc (r, inner.remaining, sizeof *members);
  set->members = members;
  set->member_count = members ? inner.remaining : 0;
  for (size_t i = 0; i < set->member_count; i++)
    read_set_member (&inner, &members[i]);
  r->is_invalid |= inner.is_invalid;
}

static void
read_body (struct bb_reader *r, struct bb_message *m)
{
  switch (m->kind)
    {
    case BB_MESSAGE_HEARTBEAT:
      read_heartbeat (r, &m->u.heartbeat);
      break;
    case BB_MESSAGE_MEMBERS:
      read_members (r, &m->u.members);
      break;
    case BB_MESSAGE_DOCUMENT_REQUEST:
      read_document_request (r, &m->u.document_request);
      break;
    case BB_MESSAGE_DOCUMENT:
      read_document (r, &m->u.document);
      break;
    case BB_MESSAGE_ENTRIES:
      read_entries (r, &m->u.entries);
      break;
    case BB_MESSAGE_ENTRIES_ACK:
      m->u.entries_ack.batch = bb_reader_get_u32 (r);
      break;
    case BB_MESSAGE_DEFAULT_SET:
      read_default_set (r, &m->u.default_set);
      break;
    case BB_MESSAGE_KINDS:
      break;
    }
}

static bool
read_message (void *context, uint64_t kind, struct bb_reader *fields)
{
  struct bb_message *m = context;
  if (kind < BB_MESSAGE_HEARTBEAT || kind >= BB_MESSAGE_KINDS)
    return false;
  m->kind = (enum bb_message_kind)kind;
  m->from = bb_reader_get_u32 (fields);
  read_body (fields, m);
  return true;
}

bool
bb_wire_decode (const uint8_t *data, size_t length,
                struct bb_decoded_message *decoded, GError **error)
{
  memset (decoded, 0, sizeof *decoded);
  msgpack_zone *arena = NULL;
  bool ok = bb_wire_read_message (data, length, read_message,
                                  &decoded->message, &arena, error);
  decoded->arena = arena;
  if (!ok)
    bb_decoded_message_clear (decoded);
  return ok;
}

void
bb_decoded_message_clear (struct bb_decoded_message *decoded)
{
  if (decoded->arena)
    msgpack_zone_free (decoded->arena);
  memset (decoded, 0, sizeof *decoded);
}
