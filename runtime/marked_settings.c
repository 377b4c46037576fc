/* Reloads the settings of a running process on a marked transport.  Seeds and
   the store's address can change without a restart; invalid settings are
   ignored.  */

#include "runtime/marked_private.h"
#include <sys/stat.h>

/* Interval at which the settings file is checked, since it may change without
   a SIGHUP.  */
#define FILE_INTERVAL (2 * BB_SEC)

/* Balancers receive messages of peers at one port, which is the same on all
   VMs.  */
void
bb_marked_set_seeds (struct bb_marked_process *p,
                     const struct bb_marked_settings *m)
{
  struct bb_endpoint *seeds = g_new0 (struct bb_endpoint, m->seed_count + 1);
  for (size_t i = 0; i < m->seed_count; i++)
    seeds[i] = (struct bb_endpoint){ m->seeds[i].address,
                                     p->settings->marked.peer_port };
  bb_sync_set_seeds (bb_marked_get_sync (p->marked), seeds, m->seed_count);
  g_free (seeds);
}

static struct bb_settings *
read_settings (struct bb_marked_process *p)
{
  gchar *bytes;
  gsize length;
  GError *error = NULL;
  if (!g_file_get_contents (p->settings_file, &bytes, &length, &error))
    {
      bb_log_write_text (p->log, BB_LOG_ERROR, "settings_unreadable",
                         error->message);
      g_error_free (error);
      return NULL;
    }
  GPtrArray *problems = bb_problems_new ();
  struct bb_settings *s = bb_settings_parse (
      p->settings_file, (const uint8_t *)bytes, length, problems);
  g_free (bb_log_write_problems (p->log, problems));
  g_ptr_array_unref (problems);
  g_free (bytes);
  return s;
}

/* Applies changed seeds and a changed store address; other settings take
   effect at the next restart.  If the file is unusable, nothing changes.  */
void
bb_marked_reload_settings (struct bb_marked_process *p)
{
  struct bb_settings *s = p->settings_file ? read_settings (p) : NULL;
  if (!s)
    return;
  const struct bb_marked_settings *m = &s->marked;
  bb_marked_set_seeds (p, m);
  bool store_changed = m->store.port != 0
                       && (m->store.address != p->store.address
                           || m->store.port != p->store.port);
  bb_marked_add_event (p, BB_EVENT_RELOAD, m->seed_count, BB_REASON_NONE);
  if (store_changed)
    {
      p->store = m->store;
      bb_marked_start_store (p);
    }
  bb_settings_free (s);
}

int64_t
bb_marked_settings_mtime (const struct bb_marked_process *p)
{
  struct stat status;
  if (!p->settings_file || stat (p->settings_file, &status) != 0)
    return 0;
  return (int64_t)status.st_mtim.tv_sec * BB_SEC
         + status.st_mtim.tv_nsec / 1000;
}

void
bb_marked_check_settings_file (struct bb_marked_process *p, bb_usec now)
{
  if (now - p->settings_checked < FILE_INTERVAL)
    return;
  p->settings_checked = now;
  int64_t changed = bb_marked_settings_mtime (p);
  if (changed == 0 || changed == p->settings_mtime)
    return;
  p->settings_mtime = changed;
  bb_marked_reload_settings (p);
}
