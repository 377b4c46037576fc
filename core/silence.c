/* Two set-associative tables of fixed size: observations of sequence numbers
   at the ingress, and counts of repetitions at the owner of a flow.  */

#include "core/silence.h"

enum
{
  SET_WAYS = 4,
};

/* Copies of a packet that the fabric duplicated or reordered are not
   repetitions by the caller; the shortest retransmission timeout of Linux is
   200 ms.  */
#define REPEAT_AFTER_MS 200

/* An observation that has repeated is kept for this long, so that busy flows
   do not displace the few silent ones.  */
#define PROTECT_MS 300000

/* A caller doubles its retransmission timeout up to 120 s on Linux, and only
   the repetitions that arrive at the same ingress are reported.  A repetition
   after a longer gap belongs to another stall of the flow.  */
#define COUNT_GAP (600 * BB_SEC)

struct observation
{
  uint32_t tag; /* 0: unused */
  uint32_t sequence;
  uint32_t last_seen_ms;
  uint32_t repeats;
};

struct repeat_count
{
  uint64_t hash;
  uint32_t sequence;
  uint32_t observations; /* 0: unused */
  bb_usec first_seen;
  bb_usec last_seen;
};

struct bb_silence
{
  uint32_t set_mask;
  uint32_t count_mask;
  struct observation (*observations)[SET_WAYS];
  struct repeat_count (*repeat_counts)[SET_WAYS];
};

static uint32_t
round_up_power (uint32_t n)
{
  uint32_t p = 1;
  while (p < n && p < 1U << 31)
    p *= 2;
  return p;
}

struct bb_silence *
bb_silence_new (uint32_t slots)
{
  struct bb_silence *s = g_new0 (struct bb_silence, 1);
  uint32_t sets = round_up_power (MAX (slots, SET_WAYS)) / SET_WAYS;
  /* Only repetitions are counted, so there can be fewer counts than
     observations.  */
  uint32_t count_sets = MAX (sets / 16, 16);
  s->set_mask = sets - 1;
  s->count_mask = count_sets - 1;
  s->observations = g_malloc0_n (sets, sizeof *s->observations);
  s->repeat_counts = g_malloc0_n (count_sets, sizeof *s->repeat_counts);
  return s;
}

void
bb_silence_free (struct bb_silence *s)
{
  if (!s)
    return;
  g_free (s->observations);
  g_free (s->repeat_counts);
  g_free (s);
}

/* Returns the observation of SET to replace: an unused one, otherwise the
   oldest that has not repeated lately, otherwise the oldest.  */
static struct observation *
replaceable_observation (struct observation *set, uint32_t now_ms)
{
  struct observation *victim = NULL;
  uint64_t highest = 0;
  for (int i = 0; i < SET_WAYS; i++)
    {
      uint32_t age = now_ms - set[i].last_seen_ms;
      bool protected = set[i].repeats > 0 && age < PROTECT_MS;
      uint64_t value = age + (protected ? 0 : (uint64_t)1 << 32);
      if (set[i].tag == 0)
        return &set[i];
      if (!victim || value > highest)
        {
          victim = &set[i];
          highest = value;
        }
    }
  return victim;
}

bool
bb_silence_observe (struct bb_silence *s, uint64_t hash, uint32_t sequence,
                    bb_usec now)
{
  struct observation *set = s->observations[hash & s->set_mask];
  uint32_t tag = (uint32_t)(hash >> 32) | 1;
  uint32_t now_ms = (uint32_t)(now / BB_MSEC);
  for (int i = 0; i < SET_WAYS; i++)
    {
      if (set[i].tag != tag)
        continue;
      if (set[i].sequence != sequence)
        {
          set[i] = (struct observation){ tag, sequence, now_ms, 0 };
          return false;
        }
      if (now_ms - set[i].last_seen_ms < REPEAT_AFTER_MS)
        return false;
      set[i].last_seen_ms = now_ms;
      set[i].repeats++;
      return true;
    }
  *replaceable_observation (set, now_ms)
      = (struct observation){ tag, sequence, now_ms, 0 };
  return false;
}

static struct repeat_count *
find_count (struct bb_silence *s, uint64_t hash)
{
  /* The same hash selects the owner of a flow.  The high half is folded in, so
     that the flows of one owner spread over all sets.  */
  struct repeat_count *set
      = s->repeat_counts[(hash ^ (hash >> 32)) & s->count_mask];
  struct repeat_count *oldest = &set[0];
  for (int i = 0; i < SET_WAYS; i++)
    {
      if (set[i].observations > 0 && set[i].hash == hash)
        return &set[i];
      if (oldest->observations > 0
          && (set[i].observations == 0
              || set[i].last_seen < oldest->last_seen))
        oldest = &set[i];
    }
  oldest->observations = 0;
  return oldest;
}

bool
bb_silence_count_repeat (struct bb_silence *s, uint64_t hash,
                         uint32_t sequence, bb_usec limit, bb_usec now)
{
  if (limit <= 0)
    return false;
  struct repeat_count *t = find_count (s, hash);
  if (t->observations == 0 || t->sequence != sequence
      || now - t->last_seen > COUNT_GAP)
    {
      *t = (struct repeat_count){ hash, sequence, 1, now, now };
      return false;
    }
  t->last_seen = now;
  t->observations++;
  if (t->observations < BB_SILENCE_MIN_OBSERVATIONS
      || now - t->first_seen < limit)
    return false;
  t->observations = 0;
  return true;
}

void
bb_silence_reset_count (struct bb_silence *s, uint64_t hash)
{
  find_count (s, hash)->observations = 0;
}
