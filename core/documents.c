/* Fetches configuration documents from peers, chunk by chunk: a balancer whose
   version is lower than that of a peer requests the document from this peer.
   The overlay is fetched only within a data centre.  */

#include "core/engine_private.h"

#include <string.h>

#define FETCH_TIMEOUT (500 * BB_MSEC)
#define REFUSED_RETRY_TIME (30 * BB_SEC)
#define PLATFORM_GRACE (300 * BB_MSEC)

void
bb_engine_store_document (struct bb_engine *e, enum bb_document_kind kind,
                          uint64_t version, const uint8_t *bytes,
                          size_t length)
{
  struct bb_stored_document *k = &e->stored_documents[kind];
  if (version < k->version || length > BB_DOCUMENT_MAX)
    return;
  uint8_t *copy = g_memdup2 (bytes, length);
  g_free (k->bytes);
  *k = (struct bb_stored_document){ .version = version,
                                    .bytes = copy,
                                    .length = (uint32_t)length };
  e->heartbeat_pending = true;
}

void
bb_documents_clear (struct bb_engine *e)
{
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    {
      g_free (e->stored_documents[k].bytes);
      g_free (e->fetches[k].bytes);
    }
}

static void
request_chunk (struct bb_engine *e, struct bb_peer *p,
               enum bb_document_kind kind, bb_usec now)
{
  struct bb_document_fetch *f = &e->fetches[kind];
  f->requested_at = now;
  f->peer = p->vm.id;
  struct bb_message m
      = { .kind = BB_MESSAGE_DOCUMENT_REQUEST,
          .from = e->options.self.id,
          .u.document_request
          = { .document = kind, .version = f->version, .offset = f->length } };
  e->sink->message (e->context, &p->vm, &m);
}

static void
start_fetch (struct bb_engine *e, struct bb_peer *p,
             enum bb_document_kind kind, bb_usec now)
{
  struct bb_document_fetch *f = &e->fetches[kind];
  g_clear_pointer (&f->bytes, g_free);
  f->length = f->total = 0;
  f->version = p->versions[kind];
  request_chunk (e, p, kind, now);
}

/* A new version usually arrives from the platform shortly after a peer
   received it; fetching it from the peer too would transfer the document
   twice.  A balancer that holds no version requests it at once.  */
static bool
platform_may_deliver (struct bb_engine *e, enum bb_document_kind kind,
                      uint64_t version, bb_usec now)
{
  struct bb_document_fetch *f = &e->fetches[kind];
  if (!e->stored_documents[kind].version)
    return false;
  if (f->announced_version != version)
    {
      f->announced_version = version;
      f->announced_at = now;
    }
  return now - f->announced_at < PLATFORM_GRACE;
}

void
bb_documents_fetch_newer (struct bb_engine *e, struct bb_peer *p, bb_usec now)
{
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    {
      struct bb_document_fetch *f = &e->fetches[k];
      if (k == BB_DOCUMENT_OVERLAY && !bb_peer_is_local (e, p))
        continue;
      if (p->versions[k] <= e->stored_documents[k].version)
        continue;
      if (f->peer && now - f->requested_at < FETCH_TIMEOUT)
        continue;
      if (p->versions[k] == f->refused_version
          && now - f->refused_at < REFUSED_RETRY_TIME)
        continue;
      if (platform_may_deliver (e, (enum bb_document_kind)k, p->versions[k],
                                now))
        continue;
      start_fetch (e, p, (enum bb_document_kind)k, now);
    }
}

void
bb_documents_serve (struct bb_engine *e, struct bb_peer *p,
                    const struct bb_document_request *r)
{
  if (r->document >= BB_DOCUMENT_KINDS)
    return;
  const struct bb_stored_document *k = &e->stored_documents[r->document];
  if (!k->version || k->version != r->version || r->offset >= k->length)
    return;
  struct bb_message m
      = { .kind = BB_MESSAGE_DOCUMENT,
          .from = e->options.self.id,
          .u.document
          = { .document = r->document,
              .version = k->version,
              .offset = r->offset,
              .total = k->length,
              .bytes = k->bytes + r->offset,
              .length = MIN (k->length - r->offset, BB_CHUNK_MAX) } };
  e->sink->message (e->context, &p->vm, &m);
}

static void
complete_fetch (struct bb_engine *e, struct bb_document_fetch *f,
                enum bb_document_kind kind, bb_usec now)
{
  f->peer = 0;
  bool accepted
      = e->sink->document (e->context, kind, f->version, f->bytes, f->length);
  if (!accepted)
    {
      f->refused_version = f->version;
      f->refused_at = now;
      bb_engine_emit_event (e, BB_EVENT_VERSION_REFUSED, 0, 0, f->version);
    }
  g_clear_pointer (&f->bytes, g_free);
  f->length = f->total = 0;
}

void
bb_documents_receive (struct bb_engine *e, struct bb_peer *p,
                      const struct bb_document *d, bb_usec now)
{
  if (d->document >= BB_DOCUMENT_KINDS || d->total > BB_DOCUMENT_MAX)
    return;
  struct bb_document_fetch *f = &e->fetches[d->document];
  if (f->peer != p->vm.id || f->version != d->version || d->offset != f->length
      || d->length > d->total - d->offset)
    return; /* late, repeated or not requested */
  if (!f->bytes)
    f->bytes = g_malloc (d->total + 1);
  else if (f->total != d->total)
    return;
  f->total = d->total;
  memcpy (f->bytes + d->offset, d->bytes, d->length);
  f->length += (uint32_t)d->length;
  if (f->length < f->total)
    request_chunk (e, p, d->document, now);
  else
    complete_fetch (e, f, d->document, now);
}
