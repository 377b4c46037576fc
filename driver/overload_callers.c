#include "driver/overload_private.h"

enum
{
  ATTEMPTS = 3,      /* of one request */
  ACK_DELAY_MS = 40, /* callers delay the acknowledgement of one packet */
  REQUEST_BYTES = 200,
  ANSWER_BYTES = 600,
};

static void
finish_request (struct world *w, struct request *q, bool is_answered)
{
  const struct bb_overload_kind *k = &w->day->kinds[q->kind];
  struct bb_overload_count *c = &w->result.kinds[q->kind];
  bb_usec took = w->now - q->first;
  if (q->is_over)
    return;
  q->is_over = true;
  if (!q->is_counted)
    return;
  if (!is_answered || took > k->limit_ms * BB_MSEC)
    c->failed++;
  else if (took > k->objective_ms * BB_MSEC)
    c->late++;
  else
    {
      c->in_time++;
      w->result.in_time[q->data_centre]++;
    }
}

/* Ends an attempt of Q that did not run.  Its caller retries at once.  */
static void
fail_attempt (struct world *w, struct request *q)
{
  if (++q->attempts >= ATTEMPTS)
    finish_request (w, q, false);
  else
    bb_overload_schedule (w, BB_OVERLOAD_NETWORK_MS, bb_overload_start_attempt,
                          NULL, q);
}

/* The caller acknowledges an answer, which the balancers see.  */
static void
acknowledge (struct world *w, struct flow *f, struct request *q)
{
  (void)q;
  bool is_last = w->day->kinds[f->kind].opens_flows;
  f->acknowledgement += ANSWER_BYTES;
  bb_overload_send_packet (w, f,
                           is_last ? BB_TCP_ACK | BB_TCP_FIN : BB_TCP_ACK, 0);
}

void
bb_overload_receive_answer (struct world *w, struct flow *f, struct request *q)
{
  finish_request (w, q, true);
  f->is_idle = !w->day->kinds[f->kind].opens_flows;
  acknowledge (w, f, q);
}

/* A full server answers at once that the request has not run.  The flow stays
   open.  */
void
bb_overload_receive_rejection (struct world *w, struct flow *f,
                               struct request *q)
{
  f->is_idle = !w->day->kinds[f->kind].opens_flows;
  bb_overload_schedule (w, ACK_DELAY_MS, acknowledge, f, NULL);
  fail_attempt (w, q);
}

static void
send_request (struct world *w, struct flow *f, struct request *q)
{
  f->request = q;
  f->is_idle = false;
  bb_overload_send_packet (w, f, BB_TCP_ACK, REQUEST_BYTES);
  f->sequence += REQUEST_BYTES;
  bb_overload_schedule (w, BB_OVERLOAD_NETWORK_MS, bb_overload_reach_server, f,
                        q);
}

static struct flow *
find_idle_flow (const struct world *w, const struct request *q)
{
  for (guint i = 0; i < w->flows->len; i++)
    {
      struct flow *f = w->flows->pdata[i];
      if (f->is_idle && f->caller == q->caller && f->kind == q->kind)
        return f;
    }
  return NULL;
}

static void
open_flow (struct world *w, struct request *q)
{
  struct flow *f = g_new0 (struct flow, 1);
  f->kind = q->kind;
  f->caller = q->caller;
  f->port = (uint16_t)g_rand_int_range (w->random, 1024, 65536);
  f->node = bb_overload_draw_node (w, q->data_centre);
  struct bb_marked_verdict v = bb_overload_send_packet (w, f, BB_TCP_SYN, 0);
  if (v.kind != BB_MARKED_FORWARD)
    {
      w->result.refused++;
      g_free (f);
      fail_attempt (w, q);
      return;
    }
  f->cookie = v.cookie;
  f->server = &w->servers[v.tag - 1];
  if (bb_overload_data_centre (w, (unsigned)v.tag - 1) != q->data_centre)
    w->result.spilled++;
  if (w->placed && bb_overload_is_peak (w))
    w->placed (w->context, w->now - bb_overload_peak_start (), q->data_centre,
               (int)v.tag - 1);
  f->sequence = f->acknowledgement = 1;
  g_ptr_array_add (w->flows, f);
  bb_overload_schedule (w, 2 * BB_OVERLOAD_NETWORK_MS, send_request, f, q);
}

void
bb_overload_start_attempt (struct world *w, struct flow *f, struct request *q)
{
  if (w->now - q->first > w->day->kinds[q->kind].limit_ms * BB_MSEC)
    {
      finish_request (w, q, false);
      return;
    }
  w->result.attempts++;
  f = q->attempts == 0 ? find_idle_flow (w, q) : NULL;
  if (f)
    send_request (w, f, q);
  else
    open_flow (w, q);
}
