#include "marked/sync/sync_private.h"

enum
{
  /* Pending requests that a server may have at one balancer, far above what
     fits into the queue of a server.  */
  SERVER_PENDING_MAX = 256,
};

void
bb_sync_add_loads (struct bb_sync *s, struct bb_sync_heartbeat *b, bb_usec now)
{
  struct bb_link *head = bb_directory_servers (s->directory);
  uint32_t max = bb_sync_fitting_loads (b->listed_peer_count);
  for (struct bb_link *at = head->previous; at != head && b->load_count < max;
       at = at->previous)
    {
      const struct bb_backend_server *server
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      const struct bb_server_load *load = &server->load;
      if (load->open <= 0 && load->busy <= 0
          && !bb_answer_quality_has_report (&load->quality))
        continue;
      b->loads[b->load_count++] = (struct bb_sync_load){
        .cookie = server->cookie,
        .open = (uint16_t)CLAMP (load->open, 0, UINT16_MAX),
        .busy = (uint16_t)CLAMP (load->busy, 0, UINT16_MAX),
        .is_answering = bb_suspicion_is_answering (&load->evidence, now),
      };
    }
}

/* Whether a server can have LOAD: a pending request is on an open flow, and a
   full server rejects requests.  */
static bool
is_load_plausible (const struct bb_sync_load *load)
{
  return load->busy <= load->open && load->busy <= SERVER_PENDING_MAX;
}

void
bb_sync_keep_loads (struct bb_sync *s, struct bb_sync_peer *p,
                    const struct bb_sync_heartbeat *b)
{
  p->load_count = 0;
  for (uint32_t i = 0; i < b->load_count; i++)
    if (is_load_plausible (&b->loads[i]))
      p->loads[p->load_count++] = b->loads[i];
  if (p->load_count < b->load_count)
    bb_sync_send_event (s, BB_EVENT_ENTRY_REFUSED, p->vm.id,
                        b->load_count - p->load_count, BB_REASON_PEER, 0);
}
