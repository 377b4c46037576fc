#include "marked/sync_private.h"

/* A balancer of another data centre that does not lead is heard seldom.  */
#define FAR_SILENCE (20 * BB_SEC)

/* A peer that was silent for so long is forgotten; a VM that was cut off for
   less is still contacted.  */
#define FORGET_AFTER (30 * BB_SEC)

bool
bb_share_is_live (const struct bb_share_peer *p, bb_usec now)
{
  return p->heard != 0 && now - p->heard < BB_SHARE_SILENCE
         && !(p->flags & BB_SHARE_LEAVING);
}

bool
bb_share_is_near (const struct bb_sharing *s, const struct bb_share_peer *p)
{
  return p->vm.data_centre == s->options.self.data_centre;
}

bool
bb_share_is_leader (const struct bb_share_peer *p, bb_usec now)
{
  return p->flags & BB_SHARE_LEADING && bb_share_is_live (p, now);
}

static struct bb_share_peer *
peer_find (struct bb_sharing *s, uint32_t id)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    if (s->peers[i]->vm.id == id)
      return s->peers[i];
  return NULL;
}

/* The peers of another data centre: *SILENT is the one that was silent for
   longest, a leader only if all say that they lead.  Returns how many there
   are.  */
static uint32_t
survey_far (const struct bb_sharing *s, uint32_t data_centre, uint32_t *silent)
{
  uint32_t count = 0;
  const struct bb_share_peer *last = NULL;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      const struct bb_share_peer *p = s->peers[i];
      if (p->vm.data_centre != data_centre)
        continue;
      count++;
      bool leads = p->flags & BB_SHARE_LEADING;
      bool last_leads = last && last->flags & BB_SHARE_LEADING;
      if (last && (leads != last_leads ? leads : p->heard >= last->heard))
        continue;
      last = p;
      *silent = i;
    }
  return count;
}

/* Makes room for one more of DATA_CENTRE.  */
static bool
make_room (struct bb_sharing *s, uint32_t data_centre, bool heard)
{
  uint32_t silent = UINT32_MAX;
  if (data_centre != s->options.self.data_centre
      && survey_far (s, data_centre, &silent) >= BB_SHARE_FAR_PEERS)
    {
      if (!heard)
        return false;
      bb_share_count_loads (s, s->peers[silent], -1, 0);
      g_free (s->peers[silent]);
      s->peers[silent] = s->peers[--s->peer_count];
    }
  return s->peer_count < BB_SHARE_PEERS_MAX;
}

struct bb_share_peer *
bb_share_peer_get (struct bb_sharing *s, const struct bb_share_vm *vm,
                   bool heard)
{
  struct bb_share_peer *p = peer_find (s, vm->id);
  if (p || vm->id == s->options.self.id
      || !make_room (s, vm->data_centre, heard))
    return p;
  p = g_new0 (struct bb_share_peer, 1);
  p->vm = *vm;
  s->peers[s->peer_count++] = p;
  return p;
}

void
bb_share_count_loads (struct bb_sharing *s, const struct bb_share_peer *p,
                      int sign, bb_usec now)
{
  for (uint32_t i = 0; i < p->load_count; i++)
    {
      const struct bb_share_load *load = &p->loads[i];
      struct bb_backend_server *server
          = bb_directory_marked (s->directory, load->mark);
      if (!server)
        continue;
      server->load.peer_open
          = MAX (server->load.peer_open + sign * load->open, 0);
      server->load.peer_busy
          = MAX (server->load.peer_busy + sign * load->busy, 0);
      if (sign > 0 && load->answers)
        bb_suspicion_report_alive (&server->load.evidence, now);
      if (sign > 0 && load->suspect)
        bb_suspicion_report_silent (&server->load.evidence,
                                    now + BB_SHARE_SILENCE);
    }
}

static void
peer_silent (struct bb_sharing *s, struct bb_share_peer *p, bb_usec now)
{
  if (bb_share_is_near (s, p) || p->led)
    bb_share_send_event (s, BB_EVENT_PEER_LOST, p->vm.id, 0, BB_REASON_TIMEOUT,
                         now - p->heard);
  p->led = false;
  bb_share_count_loads (s, p, -1, now);
  p->load_count = 0;
  p->flags = 0;
  p->heard = 0;
  p->sent = now;
}

void
bb_share_sweep_peers (struct bb_sharing *s, bb_usec now)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    {
      struct bb_share_peer *p = s->peers[i];
      bb_usec silent = p->heard ? now - p->heard : 0;
      if (silent >= BB_SHARE_SILENCE)
        p->flags &= ~(uint32_t)BB_SHARE_LEADING;
      if (silent >= (bb_share_is_near (s, p) ? BB_SHARE_SILENCE : FAR_SILENCE))
        peer_silent (s, p, now);
      if (p->heard == 0 && p->mentioned != 0
          && now - p->mentioned > FORGET_AFTER)
        g_free (p);
      else
        s->peers[kept++] = p;
    }
  s->peer_count = kept;
}

uint32_t
bb_sharing_live (const struct bb_sharing *s, bb_usec now)
{
  uint32_t count = 0;
  for (uint32_t i = 0; i < s->peer_count; i++)
    count += bb_share_is_live (s->peers[i], now);
  return count;
}
