/* Common code of the stand-ins: options, events, UDP sockets, TCP segments in
   GUE, requests and answers, history files.  Of the packages under test,
   only the GUE header is used.  */

#ifndef BB_STANDINS_COMMON_H
#define BB_STANDINS_COMMON_H

#include "wire/wire.h"
#include <event2/event.h>
#include <netinet/in.h>
#include <stdio.h>
#include <sys/types.h>

enum
{
  BB_STANDIN_DATAGRAM_MAX = 2048,     /* longest GUE datagram */
  BB_STANDIN_PAYLOAD_MAX = 1200,      /* payload bytes of one TCP segment */
  BB_STANDIN_REQUEST_SIZE = 16,       /* bytes of a request */
  BB_STANDIN_ANSWER_HEADER_SIZE = 48, /* bytes of an answer before its body */
  BB_STANDIN_SERVER_NAME = 32,
  BB_STANDIN_BODY_MAX = 1 << 20,
};

#define BB_STANDIN_STRING(name, value)                                        \
  {                                                                           \
    name, 0, 0, G_OPTION_ARG_STRING, &(value), NULL, NULL                     \
  }
#define BB_STANDIN_INT(name, value)                                           \
  {                                                                           \
    name, 0, 0, G_OPTION_ARG_INT, &(value), NULL, NULL                        \
  }
#define BB_STANDIN_STRINGS(name, value)                                       \
  {                                                                           \
    name, 0, 0, G_OPTION_ARG_STRING_ARRAY, &(value), NULL, NULL               \
  }

/* One TCP segment; PAYLOAD points into the datagram.  */
struct bb_segment
{
  struct bb_endpoint source;
  struct bb_endpoint destination;
  uint32_t sequence;
  uint32_t acknowledgement;
  uint8_t flags;
  const uint8_t *payload;
  size_t length;
};

/* An answer is a header with the id of its request, and a body of LENGTH bytes
   that is derived from the id.  */
struct bb_answer
{
  uint64_t id;
  uint32_t length;
  char server[BB_STANDIN_SERVER_NAME];
};

/* Returns the wall-clock time, which shell scripts can also write to history
   lines.  */
bb_usec bb_standin_now (void);

/* Parses the arguments by ENTRIES; ends the process on an error.  */
void bb_standin_parse_options (int argc, char **argv,
                               const GOptionEntry *entries);
/* Returns the index of TEXT in NAMES, or 0 if TEXT is NULL; ends the process
   if NAMES does not hold TEXT.  */
unsigned bb_standin_parse_name (const char *text, const char *const *names,
                                unsigned count);
/* Parses "ADDRESS:PORT"; ends the process if TEXT is not of this form.  */
struct bb_endpoint bb_standin_parse_endpoint (const char *text);
/* Writes "ADDRESS:PORT" to TEXT, which has room for 24 bytes.  */
const char *bb_standin_format_endpoint (char *text,
                                        struct bb_endpoint endpoint);
bool bb_standin_endpoints_equal (struct bb_endpoint a, struct bb_endpoint b);
struct sockaddr_in bb_standin_socket_address (struct bb_endpoint endpoint);

/* Returns a non-blocking UDP socket bound to ENDPOINT, or ends the process. */
int bb_standin_open_udp (struct bb_endpoint endpoint);

/* Calls CALL each time the socket is readable, the signal arrives or the timer
   expires.  */
typedef void (*bb_standin_callback) (void *context);
void bb_standin_watch_socket (struct event_base *base, int fd,
                              bb_standin_callback call, void *context);
void bb_standin_watch_signal (struct event_base *base, int number,
                              bb_standin_callback call, void *context);
void bb_standin_watch_timer (struct event_base *base, int ms,
                             bb_standin_callback call, void *context);

/* Serves HTTP at ENDPOINT, or ends the process.  */
struct evhttp_request;
struct evhttp *
bb_standin_open_http (struct event_base *base, struct bb_endpoint endpoint,
                      void (*call) (struct evhttp_request *, void *),
                      void *context);

/* Receives one GUE datagram.  Returns the length of the inner packet and
   points *INNER to it in BUFFER.  Returns 0 if the datagram is not valid GUE,
   -1 if there is no datagram.  */
ssize_t bb_standin_receive_packet (int fd, uint8_t *buffer, uint8_t **inner,
                                   struct bb_endpoint *from);
void bb_standin_send_packet (int fd, struct bb_endpoint to,
                             const uint8_t *packet, size_t length);

/* Parses an IPv4 packet with a TCP segment.  Returns false if it is malformed
   or a checksum is wrong.  */
bool bb_standin_parse_segment (const uint8_t *packet, size_t length,
                               struct bb_segment *segment);
void bb_standin_send_segment (int fd, struct bb_endpoint to,
                              const struct bb_segment *segment);

/* Returns whether sequence number A precedes B in modulo arithmetic.  */
bool bb_standin_sequence_precedes (uint32_t a, uint32_t b);

void bb_standin_write_request (uint8_t *data, uint64_t id, uint32_t length);
bool bb_standin_read_request (const uint8_t *data, size_t length, uint64_t *id,
                              uint32_t *answer_length);
void bb_standin_write_answer (GByteArray *out, const struct bb_answer *answer);
/* Returns false if DATA does not start with an answer.  */
bool bb_standin_read_answer (const uint8_t *data, size_t length,
                             struct bb_answer *answer);
/* Fills BODY with the bytes derived from ID.  */
void bb_standin_fill_body (uint8_t *body, uint32_t length, uint64_t id);
uint64_t bb_standin_digest (const uint8_t *body, uint32_t length);

/* Opens a line-buffered history file for appending, or ends the process.  */
FILE *bb_standin_open_history (const char *path);
/* Writes {"event":EVENT,"time_us":NOW,...}; FORMAT gives the other members. */
void bb_standin_write_event (FILE *history, const char *event,
                             const char *format, ...) G_GNUC_PRINTF (3, 4);
#endif
