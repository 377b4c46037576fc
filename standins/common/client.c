#include "standins/common/client.h"

#define RESEND_FIRST (300 * BB_MSEC)
#define RESEND_MAX (4 * BB_SEC)
enum
{
  RESENDS = 20,
  RESENDS_CLOSING = 5
};

static void
send_segment (const struct bb_call_net *net, const struct bb_call *c,
              uint8_t flags, uint32_t sequence, const uint8_t *data,
              size_t length)
{
  struct bb_segment s = { .source = c->inner,
                          .destination = c->service,
                          .sequence = sequence,
                          .acknowledgement = c->received,
                          .flags = flags,
                          .payload = data,
                          .length = length };
  bb_standin_send_segment (net->fd, net->ingress, &s);
}

static void
send_acknowledgement (const struct bb_call_net *net, const struct bb_call *c)
{
  send_segment (net, c, BB_TCP_ACK, c->sent, NULL, 0);
}

/* Sends what the server has not acknowledged.  */
static void
send_pending (const struct bb_call_net *net, const struct bb_call *c)
{
  if (c->state == BB_CALL_OPENING)
    send_segment (net, c, BB_TCP_SYN, c->acknowledged, NULL, 0);
  else if (c->state == BB_CALL_CLOSING)
    send_segment (net, c, BB_TCP_FIN | BB_TCP_ACK, c->sent - 1, NULL, 0);
  else if (c->acknowledged != c->sent)
    send_segment (net, c, BB_TCP_ACK, c->sent - BB_STANDIN_REQUEST, c->request,
                  BB_STANDIN_REQUEST);
}

static void
send_new (const struct bb_call_net *net, struct bb_call *c)
{
  c->resends = 0;
  c->resend_at = bb_standin_now () + RESEND_FIRST;
  send_pending (net, c);
}

void
bb_call_open (const struct bb_call_net *net, struct bb_call *c)
{
  if (!c->in)
    c->in = g_byte_array_new ();
  g_byte_array_set_size (c->in, 0);
  c->state = BB_CALL_OPENING;
  c->acknowledged = g_random_int ();
  c->sent = c->acknowledged + 1;
  c->received = 0;
  send_new (net, c);
}

void
bb_call_send_request (const struct bb_call_net *net, struct bb_call *c,
                      uint64_t id, uint32_t length)
{
  bb_standin_write_request (c->request, id, length);
  c->sent += BB_STANDIN_REQUEST;
  send_new (net, c);
}

void
bb_call_close (const struct bb_call_net *net, struct bb_call *c)
{
  c->state = BB_CALL_CLOSING;
  c->sent++;
  send_new (net, c);
}

static void
end_call (struct bb_call *c, void (*call) (struct bb_call *))
{
  c->state = BB_CALL_ENDED;
  c->resend_at = 0;
  call (c);
}

/* Takes only what RFC 5961 lets a receiver take: a reset with the exact next
   octet; others are answered with a challenge ACK.  */
static void
take_reset (const struct bb_call_net *net, struct bb_call *c,
            const struct bb_segment *s)
{
  if (c->state == BB_CALL_OPENING)
    {
      if (s->flags & BB_TCP_ACK && s->acknowledgement == c->sent)
        end_call (c, net->ops->refused);
    }
  else if (s->sequence != c->received)
    send_acknowledgement (net, c);
  else if (c->state == BB_CALL_CLOSING)
    end_call (c, net->ops->closed);
  else
    end_call (c, net->ops->reset);
}

static void
take_syn (const struct bb_call_net *net, struct bb_call *c,
          const struct bb_segment *s)
{
  bool fits = s->flags & BB_TCP_ACK && s->acknowledgement == c->sent;
  if (c->state != BB_CALL_OPENING)
    send_acknowledgement (net, c);
  else if (fits)
    {
      c->state = BB_CALL_OPEN;
      c->acknowledged = c->sent;
      c->received = s->sequence + 1;
      c->resend_at = 0;
      send_acknowledgement (net, c);
      net->ops->established (c);
    }
}

static void
take_data (const struct bb_call_net *net, struct bb_call *c,
           const struct bb_segment *s)
{
  bool fits = s->sequence == c->received;
  if (fits)
    {
      g_byte_array_append (c->in, s->payload, (guint)s->length);
      c->received += (uint32_t)s->length;
    }
  send_acknowledgement (net, c);
  if (fits)
    net->ops->received (c);
}

void
bb_call_take_segment (const struct bb_call_net *net, struct bb_call *c,
                      const struct bb_segment *s)
{
  if (s->flags & BB_TCP_RST)
    {
      take_reset (net, c, s);
      return;
    }
  if (s->flags & BB_TCP_SYN || c->state == BB_CALL_OPENING)
    {
      if (s->flags & BB_TCP_SYN)
        take_syn (net, c, s);
      return;
    }
  uint32_t taken = s->acknowledgement - c->acknowledged;
  if (s->flags & BB_TCP_ACK && taken <= c->sent - c->acknowledged)
    c->acknowledged = s->acknowledgement;
  if (c->acknowledged == c->sent)
    c->resend_at = 0;
  if (s->length)
    take_data (net, c, s);
  if (s->flags & BB_TCP_FIN && c->state == BB_CALL_CLOSING
      && s->sequence + s->length == c->received)
    {
      c->received++;
      send_acknowledgement (net, c);
      end_call (c, net->ops->closed);
    }
}

void
bb_call_take_stray (const struct bb_call_net *net, const struct bb_segment *s)
{
  if (!(s->flags & BB_TCP_FIN) || s->flags & BB_TCP_RST)
    return;
  struct bb_segment answer
      = { .source = s->destination,
          .destination = s->source,
          .sequence = s->acknowledgement,
          .acknowledgement = s->sequence + (uint32_t)s->length + 1,
          .flags = BB_TCP_ACK };
  bb_standin_send_segment (net->fd, net->ingress, &answer);
}

void
bb_call_tick (const struct bb_call_net *net, struct bb_call *c, bb_usec now)
{
  if (!c->resend_at || c->resend_at > now)
    return;
  bool closing = c->state == BB_CALL_CLOSING;
  c->resends++;
  if (closing && c->resends > RESENDS_CLOSING)
    end_call (c, net->ops->closed);
  else if (c->resends > RESENDS)
    end_call (c, net->ops->gave_up);
  else
    {
      c->resend_at = now + MIN (RESEND_FIRST << c->resends, RESEND_MAX);
      net->ops->resent (c);
      send_pending (net, c);
    }
}
