#include "core/silence.h"

enum
{
  WAYS = 4,
};

/* Copies of a packet that the fabric duplicated or reordered are not
   repetitions by the caller; the shortest retransmission timeout of Linux is
   200 ms.  */
#define REPEAT_AFTER_MS 200

/* A sighting that has repeated keeps its place for this long, so that busy
   flows do not displace the few silent ones.  */
#define PROTECT_MS 300000

/* A caller doubles its retransmission timeout up to 120 s on Linux, and only
   the repetitions that meet the same ingress are reported.  A sighting after
   a longer gap belongs to another stall of the flow.  */
#define COUNT_GAP (600 * BB_SEC)

struct sighting
{
  uint32_t tag; /* 0: unused */
  uint32_t sequence;
  uint32_t seen_ms;
  uint32_t repeats;
};

struct tally
{
  uint64_t hash;
  uint32_t sequence;
  uint32_t sightings; /* 0: unused */
  bb_usec first;
  bb_usec last;
};

struct bb_silence
{
  uint32_t set_mask;
  uint32_t tally_mask;
  struct sighting (*sightings)[WAYS];
  struct tally (*tallies)[WAYS];
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
  uint32_t sets = round_up_power (MAX (slots, WAYS)) / WAYS;
  /* Only repetitions reach the tallies, so they can be fewer.  */
  uint32_t tally_sets = MAX (sets / 16, 16);
  s->set_mask = sets - 1;
  s->tally_mask = tally_sets - 1;
  s->sightings = g_malloc0_n (sets, sizeof *s->sightings);
  s->tallies = g_malloc0_n (tally_sets, sizeof *s->tallies);
  return s;
}

void
bb_silence_free (struct bb_silence *s)
{
  if (!s)
    return;
  g_free (s->sightings);
  g_free (s->tallies);
  g_free (s);
}

/* Returns the least valuable sighting of SET: an unused one, else the oldest
   that has not repeated lately, else the oldest.  */
static struct sighting *
sighting_victim (struct sighting *set, uint32_t now_ms)
{
  struct sighting *victim = NULL;
  uint64_t most = 0;
  for (int i = 0; i < WAYS; i++)
    {
      uint32_t age = now_ms - set[i].seen_ms;
      bool kept = set[i].repeats > 0 && age < PROTECT_MS;
      uint64_t value = age + (kept ? 0 : (uint64_t)1 << 32);
      if (set[i].tag == 0)
        return &set[i];
      if (!victim || value > most)
        {
          victim = &set[i];
          most = value;
        }
    }
  return victim;
}

bool
bb_silence_sight (struct bb_silence *s, uint64_t hash, uint32_t sequence,
                  bb_usec now)
{
  struct sighting *set = s->sightings[hash & s->set_mask];
  uint32_t tag = (uint32_t)(hash >> 32) | 1;
  uint32_t now_ms = (uint32_t)(now / BB_MSEC);
  for (int i = 0; i < WAYS; i++)
    {
      if (set[i].tag != tag)
        continue;
      if (set[i].sequence != sequence)
        {
          set[i] = (struct sighting){ tag, sequence, now_ms, 0 };
          return false;
        }
      if (now_ms - set[i].seen_ms < REPEAT_AFTER_MS)
        return false;
      set[i].seen_ms = now_ms;
      set[i].repeats++;
      return true;
    }
  *sighting_victim (set, now_ms)
      = (struct sighting){ tag, sequence, now_ms, 0 };
  return false;
}

static struct tally *
find_tally (struct bb_silence *s, uint64_t hash)
{
  /* The owner of flows is chosen by the same hash; fold in the high half.  */
  struct tally *set = s->tallies[(hash ^ (hash >> 32)) & s->tally_mask];
  struct tally *oldest = &set[0];
  for (int i = 0; i < WAYS; i++)
    {
      if (set[i].sightings > 0 && set[i].hash == hash)
        return &set[i];
      if (oldest->sightings > 0
          && (set[i].sightings == 0 || set[i].last < oldest->last))
        oldest = &set[i];
    }
  oldest->sightings = 0;
  return oldest;
}

bool
bb_silence_count (struct bb_silence *s, uint64_t hash, uint32_t sequence,
                  bb_usec limit, bb_usec now)
{
  if (limit <= 0)
    return false;
  struct tally *t = find_tally (s, hash);
  if (t->sightings == 0 || t->sequence != sequence
      || now - t->last > COUNT_GAP)
    {
      *t = (struct tally){ hash, sequence, 1, now, now };
      return false;
    }
  t->last = now;
  t->sightings++;
  if (t->sightings < BB_SILENCE_REPEATS || now - t->first < limit)
    return false;
  t->sightings = 0;
  return true;
}

void
bb_silence_restart (struct bb_silence *s, uint64_t hash)
{
  find_tally (s, hash)->sightings = 0;
}
