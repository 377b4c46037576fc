#include "marked/sync/sync_private.h"

enum
{
  /* Pending requests that a server may have at one balancer, far above what
     fits into the queue of a server.  */
  SERVER_PENDING_MAX = 256,
};

void
bb_sync_note_silence (struct bb_sync *s, uint32_t cookie)
{
  for (size_t i = 0; i < G_N_ELEMENTS (s->silent_servers); i++)
    if (s->silent_servers[i] == cookie)
      return;
  s->silent_servers[s->next_silent] = cookie;
  s->next_silent = (s->next_silent + 1) % G_N_ELEMENTS (s->silent_servers);
}

static bool
is_listed (const struct bb_sync_heartbeat *b, uint32_t count, uint32_t cookie)
{
  for (uint32_t i = 0; i < count; i++)
    if (b->loads[i].cookie == cookie)
      return true;
  return false;
}

static void
add_load (struct bb_sync_heartbeat *b, const struct bb_backend_server *server,
          bb_usec now)
{
  const struct bb_server_load *load = &server->load;
  b->loads[b->load_count++] = (struct bb_sync_load){
    .cookie = server->cookie,
    .open = (uint16_t)CLAMP (load->open, 0, UINT16_MAX),
    .busy = (uint16_t)CLAMP (load->busy, 0, UINT16_MAX),
    .is_answering = bb_suspicion_is_answering (&load->evidence, now),
  };
}

/* Adds the server of COOKIE if it is silent here, or if peers report that it
   is silent and it answers here.  */
static void
add_silent (struct bb_sync *s, struct bb_sync_heartbeat *b, uint32_t max,
            uint32_t cookie, bb_usec now)
{
  const struct bb_backend_server *server
      = bb_directory_find_by_cookie (s->directory, cookie);
  if (!server || !server->is_local || b->load_count == max
      || is_listed (b, b->load_count, cookie))
    return;
  const struct bb_suspicion_evidence *e = &server->load.evidence;
  struct bb_silence own = bb_suspicion_silence (e, now);
  if (own.flows > 0 || own.probes.answered > 0
      || (e->peer_silence.peers > 0 && bb_suspicion_is_answering (e, now)))
    add_load (b, server, now);
}

/* Adds the servers whose silence the report shows or refutes.  */
static void
add_all_silent (struct bb_sync *s, struct bb_sync_heartbeat *b, uint32_t max,
                bb_usec now)
{
  for (size_t i = 0; i < G_N_ELEMENTS (s->silent_servers); i++)
    add_silent (s, b, max, s->silent_servers[i], now);
  for (uint32_t i = 0; s->peer_silences > 0 && i < s->peer_count; i++)
    for (uint32_t n = 0; n < s->peers[i]->silence_count; n++)
      add_silent (s, b, max, s->peers[i]->silences[n].cookie, now);
}

void
bb_sync_add_loads (struct bb_sync *s, struct bb_sync_heartbeat *b, bb_usec now)
{
  struct bb_link *head = bb_directory_servers (s->directory);
  uint32_t max = bb_sync_fitting_loads (b->listed_peer_count);
  add_all_silent (s, b, max, now);
  uint32_t silent_count = b->load_count;
  for (struct bb_link *at = head->previous; at != head && b->load_count < max;
       at = at->previous)
    {
      const struct bb_backend_server *server
          = BB_LINKED (at, struct bb_backend_server, by_revision);
      const struct bb_server_load *load = &server->load;
      if (load->open <= 0 && load->busy <= 0
          && !bb_answer_quality_has_report (&load->quality))
        continue;
      if (!is_listed (b, silent_count, server->cookie))
        add_load (b, server, now);
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
