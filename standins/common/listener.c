#include "standins/common/listener.h"

#define RESEND_FIRST (200 * BB_MSEC)
#define RESEND_MAX (2 * BB_SEC)
enum
{
  RESENDS = 12 /* after which the caller is taken for gone */
};

static void
send_to_caller (const struct bb_port *port, struct bb_endpoint caller,
                struct bb_segment s)
{
  s.source = port->serve;
  s.destination = caller;
  bb_standin_send_segment (port->fd, port->egress, &s);
}

static void
send_acknowledgement (const struct bb_port *port, const struct bb_port_flow *f)
{
  send_to_caller (
      port, f->caller,
      (struct bb_segment){ .sequence = f->acknowledged + f->out->len,
                           .acknowledgement = f->received,
                           .flags = BB_TCP_ACK });
}

/* Sends all that the caller has not acknowledged, or an empty ACK.  */
static void
send_pending (const struct bb_port *port, const struct bb_port_flow *f)
{
  struct bb_segment s = { .sequence = f->acknowledged,
                          .acknowledgement = f->received,
                          .flags = BB_TCP_ACK };
  if (!f->open)
    {
      s.flags |= BB_TCP_SYN;
      send_to_caller (port, f->caller, s);
      return;
    }
  for (uint32_t i = 0; i < f->out->len; i += BB_STANDIN_SEGMENT)
    {
      s.sequence = f->acknowledged + i;
      s.payload = f->out->data + i;
      s.length = MIN (f->out->len - i, BB_STANDIN_SEGMENT);
      send_to_caller (port, f->caller, s);
    }
  s.sequence = f->acknowledged + f->out->len;
  s.length = 0;
  if (f->finishing)
    s.flags |= BB_TCP_FIN;
  if (f->finishing || !f->out->len)
    send_to_caller (port, f->caller, s);
}

static void
schedule_resend (struct bb_port_flow *f)
{
  f->resends = 0;
  f->resend_at = bb_standin_now () + RESEND_FIRST;
}

void
bb_port_send (const struct bb_port *port, struct bb_port_flow *f)
{
  schedule_resend (f);
  send_pending (port, f);
}

static void
accept_flow (struct bb_port *port, const struct bb_segment *s, uint64_t key)
{
  struct bb_port_flow *f = g_new0 (struct bb_port_flow, 1);
  f->key = key;
  f->caller = s->source;
  f->caller_initial = s->sequence;
  f->received = s->sequence + 1;
  f->acknowledged = g_random_int ();
  f->out = g_byte_array_new ();
  g_hash_table_replace (port->flows, &f->key, f);
  port->accepted (f);
  bb_port_send (port, f);
}

static void
end_flow (struct bb_port *port, struct bb_port_flow *f)
{
  port->ended (f);
  g_hash_table_remove (port->flows, &f->key);
}

static void
take_syn (struct bb_port *port, struct bb_port_flow *f,
          const struct bb_segment *s, uint64_t key)
{
  if (f && f->caller_initial == s->sequence)
    send_pending (port, f);
  else if (f && f->open && !f->finishing)
    send_acknowledgement (port, f); /* challenge, RFC 9293, 3.10.7.4 */
  else
    {
      if (f)
        end_flow (port, f);
      accept_flow (port, s, key);
    }
}

/* Returns false if the flow ended with this acknowledgement.  */
static bool
take_acknowledgement (struct bb_port_flow *f, const struct bb_segment *s)
{
  uint32_t taken = s->acknowledgement - f->acknowledged;
  if (!(s->flags & BB_TCP_ACK))
    return true;
  if (!f->open)
    {
      if (taken != 1)
        return true;
      f->open = true;
      f->acknowledged++;
      f->resend_at = 0;
    }
  else if (f->finishing && taken == f->out->len + 1)
    return false;
  else if (taken > 0 && taken <= f->out->len)
    {
      g_byte_array_remove_range (f->out, 0, taken);
      f->acknowledged += taken;
      schedule_resend (f);
      if (!f->out->len && !f->finishing)
        f->resend_at = 0;
    }
  return true;
}

static void
take_data (struct bb_port *port, struct bb_port_flow *f,
           const struct bb_segment *s)
{
  if (s->sequence != f->received || f->answer_at)
    {
      send_pending (port, f);
      return;
    }
  if (!bb_standin_read_request (s->payload, s->length, &f->id,
                                &f->answer_length))
    {
      port->odd ("damaged", f->caller);
      return;
    }
  f->received += (uint32_t)s->length;
  port->requested (f);
  send_acknowledgement (port, f);
}

static void
take_fin (struct bb_port *port, struct bb_port_flow *f,
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
    send_pending (port, f);
}

/* RFC 9293, section 3.10.7.1.  */
static void
reset_unknown (const struct bb_port *port, const struct bb_segment *s)
{
  struct bb_segment reset = { .flags = BB_TCP_RST };
  port->odd ("unknown_flow", s->source);
  if (s->flags & BB_TCP_ACK)
    reset.sequence = s->acknowledgement;
  else
    {
      reset.flags |= BB_TCP_ACK;
      reset.acknowledgement = s->sequence + (uint32_t)s->length;
    }
  send_to_caller (port, s->source, reset);
}

void
bb_port_take_segment (struct bb_port *port, const struct bb_segment *s)
{
  uint64_t key = (uint64_t)s->source.address << 16 | s->source.port;
  struct bb_port_flow *f = g_hash_table_lookup (port->flows, &key);
  if (s->flags & BB_TCP_RST)
    {
      if (f && s->sequence == f->received)
        end_flow (port, f);
    }
  else if (s->flags & BB_TCP_SYN)
    take_syn (port, f, s, key);
  else if (!f)
    reset_unknown (port, s);
  else if (!take_acknowledgement (f, s))
    end_flow (port, f);
  else if (f->open)
    {
      if (s->length)
        take_data (port, f, s);
      if (s->flags & BB_TCP_FIN)
        take_fin (port, f, s);
    }
}

/* Returns whether the flow has ended.  */
static gboolean
tick_flow (gpointer key, gpointer value, gpointer context)
{
  struct bb_port *port = context;
  struct bb_port_flow *f = value;
  bb_usec now = bb_standin_now ();
  (void)key;
  if (f->answer_at && f->answer_at <= now && !port->due (f))
    {
      send_to_caller (
          port, f->caller,
          (struct bb_segment){ .sequence = f->acknowledged + f->out->len,
                               .flags = BB_TCP_RST });
      port->ended (f);
      return TRUE;
    }
  if (!f->resend_at || f->resend_at > now)
    return FALSE;
  if (++f->resends > RESENDS)
    {
      port->ended (f);
      return TRUE;
    }
  f->resend_at = now + MIN (RESEND_FIRST << f->resends, RESEND_MAX);
  send_pending (port, f);
  return FALSE;
}

void
bb_port_tick (struct bb_port *port)
{
  g_hash_table_foreach_remove (port->flows, tick_flow, port);
}

static void
free_flow (void *data)
{
  struct bb_port_flow *f = data;
  g_byte_array_unref (f->out);
  g_free (f);
}

void
bb_port_init (struct bb_port *port)
{
  port->flows
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, free_flow);
}
