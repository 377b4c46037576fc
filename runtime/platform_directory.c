/* Reads documents from files.  They are polled because kernel file
   notifications miss changes on network file systems.  */

#include "runtime/platform.h"
#include "runtime/util.h"
#include <errno.h>
#include <event2/event.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#define POLL_INTERVAL (200 * BB_MSEC)

struct file
{
  char *path;
  struct stat last_stat; /* zero before the first read */
  bool must_reread; /* read the file even if it looks unchanged, since the last
                       read may have seen a partial write */
};

struct directory
{
  struct bb_platform *platform;
  struct event *timer;
  struct file files[BB_DOCUMENT_KINDS];
};

static bool
stat_is_equal (const struct stat *a, const struct stat *b)
{
  return a->st_ino == b->st_ino && a->st_size == b->st_size
         && a->st_mtim.tv_sec == b->st_mtim.tv_sec
         && a->st_mtim.tv_nsec == b->st_mtim.tv_nsec;
}

/* A second change within the resolution of the file system's clock does not
   change the modification time, so a recent file must be read again.  */
static bool
is_recent (const struct stat *last_stat)
{
  return bb_clock_wall () / BB_SEC - last_stat->st_mtim.tv_sec < 2;
}

/* Reads at most one byte more than a document may have, so that a larger file
   is refused and not truncated.  Returns NULL with errno set on failure.  */
static GByteArray *
read_file (const char *path, struct stat *last_stat)
{
  int fd = open (path, O_RDONLY | O_CLOEXEC | O_NONBLOCK);
  if (fd < 0)
    return NULL;
  GByteArray *bytes = g_byte_array_sized_new (65536);
  guint8 chunk[65536];
  ssize_t got = fstat (fd, last_stat);
  while (bytes->len <= BB_DOCUMENT_MAX
         && (got = read (fd, chunk, sizeof chunk)) > 0)
    g_byte_array_append (bytes, chunk, (guint)got);
  close (fd);
  if (got >= 0)
    return bytes;
  g_byte_array_unref (bytes);
  return NULL;
}

/* Returns whether the file was read or is known to be absent.  */
static bool
poll_file (struct directory *d, enum bb_document_kind kind)
{
  struct bb_platform *platform = d->platform;
  struct file *file = &d->files[kind];
  struct stat current_stat;
  if (stat (file->path, &current_stat) == 0
      && stat_is_equal (&current_stat, &file->last_stat) && !file->must_reread)
    return true;
  GByteArray *bytes = read_file (file->path, &file->last_stat);
  if (!bytes && errno == ENOENT && kind == BB_DOCUMENT_OVERLAY)
    {
      platform->sink->absent (platform->context, kind);
      return true;
    }
  if (!bytes)
    return false;
  enum bb_offer offer
      = bb_platform_offer (platform, kind, 0, bytes->data, bytes->len);
  file->must_reread
      = offer == BB_OFFER_REFUSED || is_recent (&file->last_stat);
  g_byte_array_unref (bytes);
  return true;
}

static void
on_timer (evutil_socket_t fd, short what, void *context)
{
  (void)fd;
  (void)what;
  struct directory *d = context;
  bool ok = true;
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    ok &= poll_file (d, (enum bb_document_kind)i);
  bb_platform_record_read (d->platform, ok);
  struct timeval tv = bb_clock_timeval (POLL_INTERVAL);
  event_add (d->timer, &tv);
}

static void *
start (struct bb_platform *platform, GError **error)
{
  struct stat last_stat;
  if (stat (platform->location, &last_stat) != 0
      || !S_ISDIR (last_stat.st_mode))
    {
      g_set_error (error, BB_ERROR, BB_ERROR_IO,
                   "platform: \"%s\": expected a directory",
                   platform->location);
      return NULL;
    }
  char *overlay = g_strdup_printf ("overlay-%s.json", platform->data_centre);
  const char *const names[BB_DOCUMENT_KINDS] = {
    [BB_DOCUMENT_BASE] = "base.json",
    [BB_DOCUMENT_OVERLAY] = overlay,
    [BB_DOCUMENT_VMS] = "vms.json",
  };
  struct directory *d = g_new0 (struct directory, 1);
  d->platform = platform;
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    d->files[i].path = g_build_filename (platform->location, names[i], NULL);
  g_free (overlay);
  struct timeval at_once = { 0 };
  d->timer = event_new (platform->loop, -1, 0, on_timer, d);
  event_add (d->timer, &at_once);
  return d;
}

static void
stop (void *state)
{
  struct directory *d = state;
  for (int i = 0; i < BB_DOCUMENT_KINDS; i++)
    g_free (d->files[i].path);
  event_free (d->timer);
  g_free (d);
}

const struct bb_platform_ops bb_platform_directory = {
  .name = "directory",
  .start = start,
  .stop = stop,
};
