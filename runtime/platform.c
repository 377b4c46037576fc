#include "runtime/platform.h"
#include "runtime/util.h"

static const struct bb_platform_ops *const implementations[] = {
  [BB_PLATFORM_HTTP] = &bb_platform_http,
  [BB_PLATFORM_DIRECTORY] = &bb_platform_directory,
};

struct bb_platform *
bb_platform_new (enum bb_platform_kind kind, struct event_base *loop,
                 const char *location, const char *data_centre, GRand *random,
                 const struct bb_platform_sink *sink, void *context,
                 GError **error)
{
  struct bb_platform *platform = g_new (struct bb_platform, 1);
  *platform = (struct bb_platform){
    .loop = loop,
    .location = location,
    .data_centre = data_centre,
    .random = random,
    .sink = sink,
    .context = context,
    .ops = implementations[kind],
  };
  platform->state = platform->ops->start (platform, error);
  if (platform->state)
    return platform;
  g_free (platform);
  return NULL;
}

void
bb_platform_free (struct bb_platform *platform)
{
  if (!platform)
    return;
  platform->ops->stop (platform->state);
  g_free (platform);
}

void
bb_platform_record_read (struct bb_platform *platform, bool is_answered)
{
  struct bb_platform_status *status = &platform->status;
  status->reads++;
  if (is_answered)
    {
      status->failed_since = 0;
      return;
    }
  status->failures++;
  if (status->failed_since == 0)
    status->failed_since = bb_clock_boot ();
}

enum bb_offer
bb_platform_offer (struct bb_platform *platform, enum bb_document_kind kind,
                   uint64_t version, const uint8_t *bytes, size_t length)
{
  platform->status.received_bytes += length;
  enum bb_offer offer = platform->sink->document (platform->context, kind,
                                                  version, bytes, length);
  platform->status.serves_older[kind] = offer == BB_OFFER_OLDER;
  return offer;
}
