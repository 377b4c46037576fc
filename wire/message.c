/* Encodes peer messages.  A message is one flat msgpack array:
   [version, kind, from, fields of the kind ...].  Later versions may append
   elements, which older receivers ignore.  */

#include "wire/message.h"
#include "wire/wire.h"
#include <msgpack.h>
#include <string.h>

static int
append (void *data, const char *bytes, size_t length)
{
  g_byte_array_append (data, (const guint8 *)bytes, (guint)length);
  return 0;
}

static void
put (msgpack_packer *pk, uint64_t value)
{
  msgpack_pack_uint64 (pk, value);
}

static void
put_endpoint (msgpack_packer *pk, const struct bb_endpoint *endpoint)
{
  put (pk, endpoint->address);
  put (pk, endpoint->port);
}

static void
put_name (msgpack_packer *pk, const char *name)
{
  msgpack_pack_str_with_body (pk, name, strnlen (name, BB_NAME_MAX - 1));
}

static void
put_heartbeat (msgpack_packer *pk, const struct bb_heartbeat *h)
{
  put (pk, h->incarnation);
  put (pk, h->state);
  for (size_t i = 0; i < BB_DOCUMENT_KINDS; i++)
    put (pk, h->versions[i]);
  put (pk, h->generation);
  put (pk, h->phase);
  put (pk, h->base_digest);
  put (pk, h->bits_sequence);
  msgpack_pack_array (pk, h->bit_count);
  for (size_t i = 0; i < h->bit_count; i++)
    put (pk, h->bits[i]);
  put (pk, h->acknowledged);
  put (pk, h->pushed);
  put (pk, h->counts_digest);
  msgpack_pack_array (pk, h->count_count);
  for (size_t i = 0; i < h->count_count; i++)
    msgpack_pack_int32 (pk, h->counts[i]);
  put (pk, h->members_digest);
}

static void
put_members (msgpack_packer *pk, const struct bb_members *members)
{
  msgpack_pack_array (pk, members->vm_count);
  for (size_t i = 0; i < members->vm_count; i++)
    {
      const struct bb_vm *vm = &members->vms[i];
      msgpack_pack_array (pk, BB_WIRE_VM_FIELDS);
      put_name (pk, vm->name);
      put_name (pk, vm->data_centre);
      put_endpoint (pk, &vm->data);
      put_endpoint (pk, &vm->control);
      put (pk, vm->state);
    }
}

static void
put_document (msgpack_packer *pk, const struct bb_document *d)
{
  put (pk, d->document);
  put (pk, d->version);
  put (pk, d->offset);
  put (pk, d->total);
  msgpack_pack_bin_with_body (pk, d->bytes, d->length);
}

static void
put_want (msgpack_packer *pk, const struct bb_want *want)
{
  put (pk, want->document);
  put (pk, want->version);
  put (pk, want->offset);
}

/* The entries are one flat array, which saves a byte of header for each.  */
static void
put_entries (msgpack_packer *pk, const struct bb_entries *entries)
{
  put (pk, entries->batch);
  msgpack_pack_array (pk, entries->entry_count * BB_WIRE_ENTRY_FIELDS);
  for (size_t i = 0; i < entries->entry_count; i++)
    {
      put (pk, entries->entries[i].hash);
      put (pk, entries->entries[i].server);
      put (pk, entries->entries[i].state);
    }
}

static void
put_base_set (msgpack_packer *pk, const struct bb_base_set *set)
{
  put (pk, set->origin);
  put (pk, set->hash_seed);
  put (pk, set->generation);
  put (pk, set->phase);
  put (pk, set->digest);
  msgpack_pack_array (pk, set->member_count);
  for (size_t i = 0; i < set->member_count; i++)
    {
      const struct bb_set_member *m = &set->members[i];
      msgpack_pack_array (pk, BB_WIRE_MEMBER_FIELDS);
      put (pk, m->service);
      put (pk, m->server);
      put_endpoint (pk, &m->gue);
      put (pk, m->base_weight);
      put (pk, m->target_weight);
      put (pk, m->buckets);
      put (pk, m->formed);
    }
}

static const size_t body_fields[BB_MESSAGE_KINDS] = {
  [BB_MESSAGE_HEARTBEAT] = 15, [BB_MESSAGE_MEMBERS] = 1,
  [BB_MESSAGE_WANT] = 3,       [BB_MESSAGE_DOCUMENT] = 5,
  [BB_MESSAGE_ENTRIES] = 2,    [BB_MESSAGE_TAKEN] = 1,
  [BB_MESSAGE_BASE_SET] = 6,
};

GByteArray *
bb_wire_encode (const struct bb_message *message)
{
  GByteArray *out = g_byte_array_sized_new (256);
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, append);
  msgpack_pack_array (&pk, 3 + body_fields[message->kind]);
  put (&pk, BB_WIRE_VERSION);
  put (&pk, message->kind);
  put (&pk, message->from);
  switch (message->kind)
    {
    case BB_MESSAGE_HEARTBEAT:
      put_heartbeat (&pk, &message->u.heartbeat);
      break;
    case BB_MESSAGE_MEMBERS:
      put_members (&pk, &message->u.members);
      break;
    case BB_MESSAGE_WANT:
      put_want (&pk, &message->u.want);
      break;
    case BB_MESSAGE_DOCUMENT:
      put_document (&pk, &message->u.document);
      break;
    case BB_MESSAGE_ENTRIES:
      put_entries (&pk, &message->u.entries);
      break;
    case BB_MESSAGE_TAKEN:
      put (&pk, message->u.taken.batch);
      break;
    case BB_MESSAGE_BASE_SET:
      put_base_set (&pk, &message->u.base_set);
      break;
    case BB_MESSAGE_KINDS:
      break;
    }
  return out;
}
