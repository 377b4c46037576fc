#include "standins/common/listener.h"

#define FIRST_RESEND_DELAY (200 * BB_MSEC)
#define RESEND_DELAY_MAX (2 * BB_SEC)
enum
{
  RESENDS_MAX = 12 /* before the flow ends */
};

static void
send_to_caller (const struct bb_listener *listener, struct bb_endpoint caller,
                struct bb_segment s)
{
  s.source = listener->service_endpoint;
  s.destination = caller;
  bb_standin_send_segment (listener->fd, listener->egress, &s);
}

static void
send_acknowledgement (const struct bb_listener *listener,
                      const struct bb_listener_flow *f)
{
  send_to_caller (
      listener, f->caller,
      (struct bb_segment){ .sequence = f->acknowledged + f->out->len,
                           .acknowledgement = f->received,
                           .flags = BB_TCP_ACK });
}

/* Sends all that the caller has not acknowledged, or an empty ACK.  */
static void
send_pending (const struct bb_listener *listener,
              const struct bb_listener_flow *f)
{
  struct bb_segment s = { .sequence = f->acknowledged,
                          .acknowledgement = f->received,
                          .flags = BB_TCP_ACK };
  if (!f->open)
    {
      s.flags |= BB_TCP_SYN;
      send_to_caller (listener, f->caller, s);
      return;
    }
  for (uint32_t i = 0; i < f->out->len; i += BB_STANDIN_PAYLOAD_MAX)
    {
      s.sequence = f->acknowledged + i;
      s.payload = f->out->data + i;
      s.length = MIN (f->out->len - i, BB_STANDIN_PAYLOAD_MAX);
      send_to_caller (listener, f->caller, s);
    }
  s.sequence = f->acknowledged + f->out->len;
  s.length = 0;
  if (f->finishing)
    s.flags |= BB_TCP_FIN;
  if (f->finishing || !f->out->len)
    send_to_caller (listener, f->caller, s);
}

static void
schedule_resend (struct bb_listener_flow *f)
{
  f->resends = 0;
  f->resend_at = bb_standin_now () + FIRST_RESEND_DELAY;
}

void
bb_listener_send (const struct bb_listener *listener,
                  struct bb_listener_flow *f)
{
  schedule_resend (f);
  send_pending (listener, f);
}

static void
accept_flow (struct bb_listener *listener, const struct bb_segment *s,
             uint64_t key)
{
  struct bb_listener_flow *f = g_new0 (struct bb_listener_flow, 1);
  f->key = key;
  f->caller = s->source;
  f->caller_initial = s->sequence;
  f->received = s->sequence + 1;
  f->acknowledged = g_random_int ();
  f->out = g_byte_array_new ();
  g_hash_table_replace (listener->flows, &f->key, f);
  listener->on_accepted (f);
  bb_listener_send (listener, f);
}

static void
end_flow (struct bb_listener *listener, struct bb_listener_flow *f)
{
  listener->on_ended (f);
  g_hash_table_remove (listener->flows, &f->key);
}

static void
handle_syn (struct bb_listener *listener, struct bb_listener_flow *f,
            const struct bb_segment *s, uint64_t key)
{
  if (f && f->caller_initial == s->sequence)
    send_pending (listener, f);
  else if (f && f->open && !f->finishing)
    send_acknowledgement (listener, f); /* challenge ACK, RFC 9293, 3.10.7.4 */
  else
    {
      if (f)
        end_flow (listener, f);
      accept_flow (listener, s, key);
    }
}

/* Returns false if the flow ended with this acknowledgement.  */
static bool
handle_acknowledgement (struct bb_listener_flow *f, const struct bb_segment *s)
{
  uint32_t acknowledged_now = s->acknowledgement - f->acknowledged;
  if (!(s->flags & BB_TCP_ACK))
    return true;
  if (!f->open)
    {
      if (acknowledged_now != 1)
        return true;
      f->open = true;
      f->acknowledged++;
      f->resend_at = 0;
    }
  else if (f->finishing && acknowledged_now == f->out->len + 1)
    return false;
  else if (acknowledged_now > 0 && acknowledged_now <= f->out->len)
    {
      g_byte_array_remove_range (f->out, 0, acknowledged_now);
      f->acknowledged += acknowledged_now;
      schedule_resend (f);
      if (!f->out->len && !f->finishing)
        f->resend_at = 0;
    }
  return true;
}

static void
handle_data (struct bb_listener *listener, struct bb_listener_flow *f,
             const struct bb_segment *s)
{
  if (s->sequence != f->received || f->answer_at)
    {
      send_pending (listener, f);
      return;
    }
  if (!bb_standin_read_request (s->payload, s->length, &f->id,
                                &f->answer_length))
    {
      listener->on_unexpected ("damaged", f->caller);
      return;
    }
  f->received += (uint32_t)s->length;
  listener->on_request (f);
  send_acknowledgement (listener, f);
}

static void
handle_fin (struct bb_listener *listener, struct bb_listener_flow *f,
            const struct bb_segment *s)
{
  uint32_t end = s->sequence + (uint32_t)s->length;
  if (end == f->received && !f->finishing && !f->answer_at)
    {
      f->received++;
      f->finishing = true;
      schedule_resend (f);
    }
  if (f->finishing)
    send_pending (listener, f);
}

/* Resets an unknown flow as RFC 9293, section 3.10.7.1, requires.  */
static void
reset_unknown_flow (const struct bb_listener *listener,
                    const struct bb_segment *s)
{
  struct bb_segment reset = { .flags = BB_TCP_RST };
  listener->on_unexpected ("unknown_flow", s->source);
  if (s->flags & BB_TCP_ACK)
    reset.sequence = s->acknowledgement;
  else
    {
      reset.flags |= BB_TCP_ACK;
      reset.acknowledgement = s->sequence + (uint32_t)s->length;
    }
  send_to_caller (listener, s->source, reset);
}

void
bb_listener_handle_segment (struct bb_listener *listener,
                            const struct bb_segment *s)
{
  uint64_t key = (uint64_t)s->source.address << 16 | s->source.port;
  struct bb_listener_flow *f = g_hash_table_lookup (listener->flows, &key);
  if (s->flags & BB_TCP_RST)
    {
      if (f && s->sequence == f->received)
        end_flow (listener, f);
    }
  else if (s->flags & BB_TCP_SYN)
    handle_syn (listener, f, s, key);
  else if (!f)
    reset_unknown_flow (listener, s);
  else if (!handle_acknowledgement (f, s))
    end_flow (listener, f);
  else if (f->open)
    {
      if (s->length)
        handle_data (listener, f, s);
      if (s->flags & BB_TCP_FIN)
        handle_fin (listener, f, s);
    }
}

/* Returns whether the flow has ended.  */
static gboolean
tick_flow (gpointer key, gpointer value, gpointer context)
{
  struct bb_listener *listener = context;
  struct bb_listener_flow *f = value;
  bb_usec now = bb_standin_now ();
  (void)key;
  if (f->answer_at && f->answer_at <= now && !listener->on_answer_due (f))
    {
      send_to_caller (
          listener, f->caller,
          (struct bb_segment){ .sequence = f->acknowledged + f->out->len,
                               .flags = BB_TCP_RST });
      listener->on_ended (f);
      return TRUE;
    }
  if (!f->resend_at || f->resend_at > now)
    return FALSE;
  if (++f->resends > RESENDS_MAX)
    {
      listener->on_ended (f);
      return TRUE;
    }
  f->resend_at
      = now + MIN (FIRST_RESEND_DELAY << f->resends, RESEND_DELAY_MAX);
  send_pending (listener, f);
  return FALSE;
}

void
bb_listener_tick (struct bb_listener *listener)
{
  g_hash_table_foreach_remove (listener->flows, tick_flow, listener);
}

static void
free_flow (void *data)
{
  struct bb_listener_flow *f = data;
  g_byte_array_unref (f->out);
  g_free (f);
}

void
bb_listener_init (struct bb_listener *listener)
{
  listener->flows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_flow);
}
