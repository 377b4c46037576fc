#include "driver/overload_private.h"

enum
{
  SLOW_FACTOR = 4,
};

static void
run_next (struct world *w, struct server *s)
{
  for (int slot = 0; slot < w->day->slots && s->waiting_count > 0; slot++)
    {
      if (s->running[slot])
        continue;
      struct flow *f = s->waiting[0];
      s->waiting_count--;
      for (int i = 0; i < s->waiting_count; i++)
        s->waiting[i] = s->waiting[i + 1];
      int work = w->day->kinds[f->kind].work_ms;
      s->running[slot] = f;
      s->due[slot] = w->now
                     + work * BB_MSEC * g_rand_int_range (w->random, 30, 171)
                           / 100 * (s->is_slow ? SLOW_FACTOR : 1);
    }
}

void
bb_overload_run_server (struct world *w, struct server *s)
{
  for (int slot = 0; slot < w->day->slots; slot++)
    if (s->running[slot] && s->due[slot] <= w->now)
      {
        struct flow *f = s->running[slot];
        s->running[slot] = NULL;
        bb_overload_schedule (w, BB_OVERLOAD_NETWORK_MS,
                              bb_overload_receive_answer, f, f->request);
      }
  run_next (w, s);
}

void
bb_overload_reach_server (struct world *w, struct flow *f, struct request *q)
{
  struct server *s = f->server;
  if (s->waiting_count == w->day->queue)
    {
      w->result.rejected++;
      bb_overload_schedule (w, BB_OVERLOAD_NETWORK_MS,
                            bb_overload_receive_rejection, f, q);
      return;
    }
  s->waiting[s->waiting_count++] = f;
  run_next (w, s);
}
