/* Configuration documents between balancers: whoever is behind asks.  */

#include "core/engine_private.h"

#include <string.h>

#define FETCH_TIMEOUT (500 * BB_MSEC)
#define REFUSED_TIME (30 * BB_SEC)
#define PLATFORM_GRACE (300 * BB_MSEC)

void
bb_engine_keep_document (struct bb_engine *e, enum bb_document_kind kind,
                         uint64_t version, const uint8_t *bytes, size_t length)
{
  struct bb_kept *k = &e->kept[kind];
  if (version < k->version || length > BB_DOCUMENT_MAX)
    return;
  uint8_t *copy = g_memdup2 (bytes, length);
  g_free (k->bytes);
  *k = (struct bb_kept){ .version = version,
                         .bytes = copy,
                         .length = (uint32_t)length };
  e->heartbeat_soon = true;
}

void
bb_documents_clear (struct bb_engine *e)
{
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    {
      g_free (e->kept[k].bytes);
      g_free (e->fetches[k].bytes);
    }
}

static void
ask (struct bb_engine *e, struct bb_peer *p, enum bb_document_kind kind,
     bb_usec now)
{
  struct bb_fetch *f = &e->fetches[kind];
  f->asked = now;
  f->peer = p->vm.id;
  struct bb_message m
      = { .kind = BB_MESSAGE_WANT,
          .from = e->options.self.id,
          .u.want
          = { .document = kind, .version = f->version, .offset = f->length } };
  e->sink->message (e->context, &p->vm, &m);
}

static void
begin (struct bb_engine *e, struct bb_peer *p, enum bb_document_kind kind,
       bb_usec now)
{
  struct bb_fetch *f = &e->fetches[kind];
  g_clear_pointer (&f->bytes, g_free);
  f->length = f->total = 0;
  f->version = p->versions[kind];
  ask (e, p, kind, now);
}

/* A new version usually comes from the platform within moments; asking the
   peers as well would carry the document twice.  A balancer that has none
   asks at once.  */
static bool
platform_may_bring (struct bb_engine *e, enum bb_document_kind kind,
                    uint64_t version, bb_usec now)
{
  struct bb_fetch *f = &e->fetches[kind];
  if (!e->kept[kind].version)
    return false;
  if (f->noticed != version)
    {
      f->noticed = version;
      f->noticed_at = now;
    }
  return now - f->noticed_at < PLATFORM_GRACE;
}

void
bb_documents_compare (struct bb_engine *e, struct bb_peer *p, bb_usec now)
{
  for (int k = 0; k < BB_DOCUMENT_KINDS; k++)
    {
      struct bb_fetch *f = &e->fetches[k];
      if (k == BB_DOCUMENT_OVERLAY && !bb_peer_local (e, p))
        continue;
      if (p->versions[k] <= e->kept[k].version)
        continue;
      if (f->peer && now - f->asked < FETCH_TIMEOUT)
        continue;
      if (p->versions[k] == f->refused && now - f->refused_at < REFUSED_TIME)
        continue;
      if (platform_may_bring (e, (enum bb_document_kind)k, p->versions[k],
                              now))
        continue;
      begin (e, p, (enum bb_document_kind)k, now);
    }
}

void
bb_documents_want (struct bb_engine *e, struct bb_peer *p,
                   const struct bb_want *w)
{
  if (w->document >= BB_DOCUMENT_KINDS)
    return;
  const struct bb_kept *k = &e->kept[w->document];
  if (!k->version || k->version != w->version || w->offset >= k->length)
    return;
  struct bb_message m
      = { .kind = BB_MESSAGE_DOCUMENT,
          .from = e->options.self.id,
          .u.document
          = { .document = w->document,
              .version = k->version,
              .offset = w->offset,
              .total = k->length,
              .bytes = k->bytes + w->offset,
              .length = MIN (k->length - w->offset, BB_CHUNK_MAX) } };
  e->sink->message (e->context, &p->vm, &m);
}

static void
complete (struct bb_engine *e, struct bb_fetch *f, enum bb_document_kind kind,
          bb_usec now)
{
  f->peer = 0;
  bool accepted
      = e->sink->document (e->context, kind, f->version, f->bytes, f->length);
  if (!accepted)
    {
      f->refused = f->version;
      f->refused_at = now;
      bb_engine_event (e, BB_EVENT_VERSION_REFUSED, 0, 0, f->version);
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
  struct bb_fetch *f = &e->fetches[d->document];
  if (f->peer != p->vm.id || f->version != d->version || d->offset != f->length
      || d->length > d->total - d->offset)
    return; /* late, repeated or never asked for */
  if (!f->bytes)
    f->bytes = g_malloc (d->total + 1);
  else if (f->total != d->total)
    return;
  f->total = d->total;
  memcpy (f->bytes + d->offset, d->bytes, d->length);
  f->length += (uint32_t)d->length;
  if (f->length < f->total)
    ask (e, p, d->document, now);
  else
    complete (e, f, d->document, now);
}
