#include "marked/sync/sync_private.h"

void
bb_sync_add_silences (struct bb_sync *s, struct bb_sync_heartbeat *b,
                      bb_usec now)
{
  for (uint32_t i = 0;
       i < b->load_count && b->silence_count < BB_SYNC_SILENCES_MAX; i++)
    {
      const struct bb_backend_server *server
          = bb_directory_find_by_cookie (s->directory, b->loads[i].cookie);
      if (!server || !server->is_local)
        continue;
      struct bb_silence silence
          = bb_suspicion_silence (&server->load.evidence, now);
      if (silence.flows > 0 || silence.probes.answered > 0)
        b->silences[b->silence_count++] = (struct bb_sync_silence){
          .load = i,
          .flows = MIN (silence.flows, BB_SILENCE_FLOWS_MAX),
          .age_ms = silence.flows ? bb_sync_age_ms (silence.since, now) : 0,
          .is_slow = silence.is_slow,
          .failed = silence.probes.failed,
          .answered = silence.probes.answered,
          .probed_ms = silence.probes.since
                           ? bb_sync_age_ms (silence.probes.since, now)
                           : 0,
        };
    }
}

void
bb_sync_drop_silences (struct bb_sync *s, struct bb_sync_peer *p)
{
  for (uint32_t i = 0; i < p->silence_count; i++)
    {
      struct bb_backend_server *server
          = bb_directory_find_by_cookie (s->directory, p->silences[i].cookie);
      if (server)
        bb_suspicion_remove_peer_silence (&server->load.evidence,
                                          &p->silences[i].silence);
    }
  s->peer_silences -= p->silence_count;
  p->silence_count = 0;
}

static void
begin_comparison (struct bb_suspicion_evidence *e,
                  const struct bb_silence *silence, bb_usec now)
{
  (void)silence;
  (void)now;
  bb_suspicion_begin_comparison (e);
}

static void
compare (struct bb_suspicion_evidence *e, const struct bb_silence *silence,
         bb_usec now)
{
  (void)now;
  bb_suspicion_compare_silence (e, silence);
}

static void
foreach_silence (struct bb_sync *s,
                 void (*each) (struct bb_suspicion_evidence *e,
                               const struct bb_silence *silence, bb_usec now),
                 bb_usec now)
{
  for (uint32_t i = 0; i < s->peer_count; i++)
    for (uint32_t n = 0; n < s->peers[i]->silence_count; n++)
      {
        const struct bb_sync_peer_silence *kept = &s->peers[i]->silences[n];
        struct bb_backend_server *server
            = bb_directory_find_by_cookie (s->directory, kept->cookie);
        if (server)
          each (&server->load.evidence, &kept->silence, now);
      }
}

void
bb_sync_compare_silences (struct bb_sync *s, bb_usec now)
{
  if (s->peer_silences == 0)
    return;
  foreach_silence (s, begin_comparison, now);
  foreach_silence (s, compare, now);
  foreach_silence (s, bb_suspicion_add_answered_probes, now);
}

uint32_t
bb_sync_peer_silences (const struct bb_sync *s)
{
  return s->peer_silences;
}

/* Whether a balancer can report S: older builds report retransmissions that
   were acknowledged, without probes.  */
static bool
is_plausible (const struct bb_sync_silence *s)
{
  return (s->flows > 0 || s->answered > 0) && s->flows <= BB_SILENCE_FLOWS_MAX
         && s->failed <= BB_PROBES_KEPT && s->answered <= BB_PROBES_KEPT
         && s->failed <= s->flows && s->age_ms <= BB_SUSPICION_TIME / BB_MSEC;
}

/* A silence of a server in another data centre may be due to the path to that
   data centre, which the balancers of this one share.  */
void
bb_sync_keep_silences (struct bb_sync *s, struct bb_sync_peer *p,
                       const struct bb_sync_heartbeat *b, bb_usec now)
{
  bb_sync_drop_silences (s, p);
  for (uint32_t i = 0; bb_sync_peer_is_local (s, p) && i < b->silence_count;
       i++)
    {
      const struct bb_sync_silence *from = &b->silences[i];
      uint32_t cookie = b->loads[from->load].cookie;
      struct bb_backend_server *server
          = bb_directory_find_by_cookie (s->directory, cookie);
      if (!server || !server->is_local || !is_plausible (from))
        continue;
      struct bb_sync_peer_silence *kept = &p->silences[p->silence_count++];
      kept->cookie = cookie;
      kept->silence = (struct bb_silence){
        .flows = from->flows,
        .since = from->flows ? now - from->age_ms * BB_MSEC : 0,
        .probes = { .failed = from->failed,
                    .answered = from->answered,
                    .since = now - from->probed_ms * BB_MSEC },
        .is_slow = from->is_slow,
      };
      s->peer_silences++;
      bb_suspicion_add_peer_silence (&server->load.evidence, &kept->silence,
                                     now);
    }
}
