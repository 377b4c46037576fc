#include "standins/common/client.h"

#define FIRST_RESEND_DELAY (300 * BB_MSEC)
#define RESEND_DELAY_MAX (4 * BB_SEC)
enum
{
  RESENDS_MAX = 20,
  RESENDS_CLOSING_MAX = 5
};

static void
send_segment (const struct bb_client_net *net, const struct bb_client *c,
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
send_acknowledgement (const struct bb_client_net *net,
                      const struct bb_client *c)
{
  send_segment (net, c, BB_TCP_ACK, c->sent, NULL, 0);
}

/* Sends the segment that the server has not acknowledged.  */
static void
send_pending (const struct bb_client_net *net, const struct bb_client *c)
{
  if (c->state == BB_CLIENT_OPENING)
    send_segment (net, c, BB_TCP_SYN, c->acknowledged, NULL, 0);
  else if (c->state == BB_CLIENT_CLOSING)
    send_segment (net, c, BB_TCP_FIN | BB_TCP_ACK, c->sent - 1, NULL, 0);
  else if (c->acknowledged != c->sent)
    send_segment (net, c, BB_TCP_ACK, c->sent - BB_STANDIN_REQUEST_SIZE,
                  c->request, BB_STANDIN_REQUEST_SIZE);
}

static void
send_new (const struct bb_client_net *net, struct bb_client *c)
{
  c->resends = 0;
  c->resend_at = bb_standin_now () + FIRST_RESEND_DELAY;
  send_pending (net, c);
}

void
bb_client_open (const struct bb_client_net *net, struct bb_client *c)
{
  if (!c->in)
    c->in = g_byte_array_new ();
  g_byte_array_set_size (c->in, 0);
  c->state = BB_CLIENT_OPENING;
  c->acknowledged = g_random_int ();
  c->sent = c->acknowledged + 1;
  c->received = 0;
  send_new (net, c);
}

void
bb_client_send_request (const struct bb_client_net *net, struct bb_client *c,
                        uint64_t id, uint32_t length)
{
  bb_standin_write_request (c->request, id, length);
  c->sent += BB_STANDIN_REQUEST_SIZE;
  send_new (net, c);
}

void
bb_client_close (const struct bb_client_net *net, struct bb_client *c)
{
  c->state = BB_CLIENT_CLOSING;
  c->sent++;
  send_new (net, c);
}

static void
end_flow (struct bb_client *c, void (*call) (struct bb_client *))
{
  c->state = BB_CLIENT_ENDED;
  c->resend_at = 0;
  call (c);
}

/* Accepts a reset only with the next sequence number expected, as RFC 5961
   requires; others are answered with a challenge ACK.  */
static void
handle_reset (const struct bb_client_net *net, struct bb_client *c,
              const struct bb_segment *s)
{
  if (c->state == BB_CLIENT_OPENING)
    {
      if (s->flags & BB_TCP_ACK && s->acknowledgement == c->sent)
        end_flow (c, net->callbacks->on_refused);
    }
  else if (s->sequence != c->received)
    send_acknowledgement (net, c);
  else if (c->state == BB_CLIENT_CLOSING)
    end_flow (c, net->callbacks->on_closed);
  else
    end_flow (c, net->callbacks->on_reset);
}

static void
handle_syn (const struct bb_client_net *net, struct bb_client *c,
            const struct bb_segment *s)
{
  bool is_expected = s->flags & BB_TCP_ACK && s->acknowledgement == c->sent;
  if (c->state != BB_CLIENT_OPENING)
    send_acknowledgement (net, c);
  else if (is_expected)
    {
      c->state = BB_CLIENT_OPEN;
      c->acknowledged = c->sent;
      c->received = s->sequence + 1;
      c->resend_at = 0;
      send_acknowledgement (net, c);
      net->callbacks->on_established (c);
    }
}

static void
handle_data (const struct bb_client_net *net, struct bb_client *c,
             const struct bb_segment *s)
{
  bool is_expected = s->sequence == c->received;
  if (is_expected)
    {
      g_byte_array_append (c->in, s->payload, (guint)s->length);
      c->received += (uint32_t)s->length;
    }
  send_acknowledgement (net, c);
  if (is_expected)
    net->callbacks->on_received (c);
}

void
bb_client_handle_segment (const struct bb_client_net *net, struct bb_client *c,
                          const struct bb_segment *s)
{
  if (s->flags & BB_TCP_RST)
    {
      handle_reset (net, c, s);
      return;
    }
  if (s->flags & BB_TCP_SYN || c->state == BB_CLIENT_OPENING)
    {
      if (s->flags & BB_TCP_SYN)
        handle_syn (net, c, s);
      return;
    }
  uint32_t acknowledged_now = s->acknowledgement - c->acknowledged;
  if (s->flags & BB_TCP_ACK && acknowledged_now <= c->sent - c->acknowledged)
    c->acknowledged = s->acknowledgement;
  if (c->acknowledged == c->sent)
    c->resend_at = 0;
  if (s->length)
    handle_data (net, c, s);
  if (s->flags & BB_TCP_FIN && c->state == BB_CLIENT_CLOSING
      && s->sequence + s->length == c->received)
    {
      c->received++;
      send_acknowledgement (net, c);
      end_flow (c, net->callbacks->on_closed);
    }
}

void
bb_client_acknowledge_fin (const struct bb_client_net *net,
                           const struct bb_segment *s)
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
bb_client_tick (const struct bb_client_net *net, struct bb_client *c,
                bb_usec now)
{
  if (!c->resend_at || c->resend_at > now)
    return;
  bool closing = c->state == BB_CLIENT_CLOSING;
  c->resends++;
  if (closing && c->resends > RESENDS_CLOSING_MAX)
    end_flow (c, net->callbacks->on_closed);
  else if (c->resends > RESENDS_MAX)
    end_flow (c, net->callbacks->on_gave_up);
  else
    {
      c->resend_at
          = now + MIN (FIRST_RESEND_DELAY << c->resends, RESEND_DELAY_MAX);
      net->callbacks->on_resent (c);
      send_pending (net, c);
    }
}
