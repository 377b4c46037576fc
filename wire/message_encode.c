/* Encodes peer messages.  A message is one flat msgpack array: [version, kind,
   from, fields of the kind ...].  Later releases may append elements,
   which older receivers ignore.  */

#include "wire/message.h"
#include "wire/wire.h"
#include "wire/writer.h"

static void
put_heartbeat (msgpack_packer *pk, const struct bb_heartbeat *h)
{
  bb_writer_put_uint (pk, h->incarnation);
  bb_writer_put_uint (pk, h->state);
  for (size_t i = 0; i < BB_DOCUMENT_KINDS; i++)
    bb_writer_put_uint (pk, h->versions[i]);
  bb_writer_put_uint (pk, h->generation);
  bb_writer_put_uint (pk, h->phase);
  bb_writer_put_uint (pk, h->default_set_digest);
  bb_writer_put_uint (pk, h->bits_sequence);
  msgpack_pack_array (pk, h->bit_count);
  for (size_t i = 0; i < h->bit_count; i++)
    bb_writer_put_uint (pk, h->bits[i]);
  bb_writer_put_uint (pk, h->acknowledged);
  bb_writer_put_uint (pk, h->replicated);
  bb_writer_put_uint (pk, h->counts_digest);
  msgpack_pack_array (pk, h->count_count);
  for (size_t i = 0; i < h->count_count; i++)
    msgpack_pack_int32 (pk, h->counts[i]);
  bb_writer_put_uint (pk, h->members_digest);
}

static void
put_members (msgpack_packer *pk, const struct bb_members *members)
{
  msgpack_pack_array (pk, members->vm_count);
  for (size_t i = 0; i < members->vm_count; i++)
    {
      const struct bb_vm *vm = &members->vms[i];
      msgpack_pack_array (pk, BB_WIRE_VM_FIELDS);
      bb_writer_put_name (pk, vm->name);
      bb_writer_put_name (pk, vm->data_centre);
      bb_writer_put_endpoint (pk, &vm->data);
      bb_writer_put_endpoint (pk, &vm->control);
      bb_writer_put_uint (pk, vm->state);
    }
}

static void
put_document (msgpack_packer *pk, const struct bb_document *d)
{
  bb_writer_put_uint (pk, d->document);
  bb_writer_put_uint (pk, d->version);
  bb_writer_put_uint (pk, d->offset);
  bb_writer_put_uint (pk, d->total);
  msgpack_pack_bin_with_body (pk, d->bytes, d->length);
}

static void
put_document_request (msgpack_packer *pk,
                      const struct bb_document_request *document_request)
{
  bb_writer_put_uint (pk, document_request->document);
  bb_writer_put_uint (pk, document_request->version);
  bb_writer_put_uint (pk, document_request->offset);
}

/* The entries form one flat array, which saves one byte of array header per
   entry.  */
static void
put_entries (msgpack_packer *pk, const struct bb_entries *entries)
{
  bb_writer_put_uint (pk, entries->batch);
  msgpack_pack_array (pk, entries->entry_count * BB_WIRE_ENTRY_FIELDS);
  for (size_t i = 0; i < entries->entry_count; i++)
    {
      bb_writer_put_uint (pk, entries->entries[i].hash);
      bb_writer_put_uint (pk, entries->entries[i].server);
      bb_writer_put_uint (pk, entries->entries[i].state);
    }
}

static void
put_default_set (msgpack_packer *pk, const struct bb_default_set *set)
{
  bb_writer_put_uint (pk, set->origin);
  bb_writer_put_uint (pk, set->hash_seed);
  bb_writer_put_uint (pk, set->generation);
  bb_writer_put_uint (pk, set->phase);
  bb_writer_put_uint (pk, set->digest);
  msgpack_pack_array (pk, set->member_count);
  for (size_t i = 0; i < set->member_count; i++)
    {
      const struct bb_default_set_member *m = &set->members[i];
      msgpack_pack_array (pk, BB_WIRE_MEMBER_FIELDS);
      bb_writer_put_uint (pk, m->service);
      bb_writer_put_uint (pk, m->server);
      bb_writer_put_endpoint (pk, &m->gue);
      bb_writer_put_uint (pk, m->default_weight);
      bb_writer_put_uint (pk, m->target_weight);
      bb_writer_put_uint (pk, m->buckets);
      bb_writer_put_uint (pk, m->formed_version);
    }
}

static const size_t body_fields[BB_MESSAGE_KINDS] = {
  [BB_MESSAGE_HEARTBEAT] = 15,       [BB_MESSAGE_MEMBERS] = 1,
  [BB_MESSAGE_DOCUMENT_REQUEST] = 3, [BB_MESSAGE_DOCUMENT] = 5,
  [BB_MESSAGE_ENTRIES] = 2,          [BB_MESSAGE_ENTRIES_ACK] = 1,
  [BB_MESSAGE_DEFAULT_SET] = 6,
};

GByteArray *
bb_wire_encode (const struct bb_message *message)
{
  GByteArray *out = g_byte_array_sized_new (256);
  msgpack_packer pk;
  msgpack_packer_init (&pk, out, bb_writer_append);
  msgpack_pack_array (&pk, 3 + body_fields[message->kind]);
  bb_writer_put_uint (&pk, BB_WIRE_VERSION);
  bb_writer_put_uint (&pk, message->kind);
  bb_writer_put_uint (&pk, message->from);
  switch (message->kind)
    {
    case BB_MESSAGE_HEARTBEAT:
      put_heartbeat (&pk, &message->u.heartbeat);
      break;
    case BB_MESSAGE_MEMBERS:
      put_members (&pk, &message->u.members);
      break;
    case BB_MESSAGE_DOCUMENT_REQUEST:
      put_document_request (&pk, &message->u.document_request);
      break;
    case BB_MESSAGE_DOCUMENT:
      put_document (&pk, &message->u.document);
      break;
    case BB_MESSAGE_ENTRIES:
      put_entries (&pk, &message->u.entries);
      break;
    case BB_MESSAGE_ENTRIES_ACK:
      bb_writer_put_uint (&pk, message->u.entries_ack.batch);
      break;
    case BB_MESSAGE_DEFAULT_SET:
      put_default_set (&pk, &message->u.default_set);
      break;
    case BB_MESSAGE_KINDS:
      break;
    }
  return out;
}
