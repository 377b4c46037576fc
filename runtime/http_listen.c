#include "runtime/http_listen.h"
#include "runtime/util.h"
#include <arpa/inet.h>
#include <errno.h>
#include <event2/http.h>
#include <sys/socket.h>
#include <unistd.h>

enum
{
  BACKLOG = 128,
  TIMEOUT_S = 5,
  HEADERS_MAX = 8192, /* bytes */
  BODY_MAX = 1024     /* bytes */
};

/* evhttp_bind_socket would pass the numeric address to the resolver, which
   takes longer than the rest of the start.  */
static int
open_socket (const struct bb_endpoint *endpoint)
{
  const int one = 1;
  struct sockaddr_in address = {
    .sin_family = AF_INET,
    .sin_addr.s_addr = htonl (endpoint->address),
    .sin_port = htons (endpoint->port),
  };
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
  if (bind (fd, (struct sockaddr *)&address, sizeof address) == 0
      && listen (fd, BACKLOG) == 0)
    return fd;
  int saved_errno = errno;
  close (fd);
  errno = saved_errno;
  return -1;
}

struct evhttp *
bb_http_listen (struct event_base *loop, const struct bb_endpoint *endpoint,
                const char *purpose, GError **error)
{
  char text[BB_ENDPOINT_TEXT_SIZE];
  int fd = open_socket (endpoint);
  if (fd < 0)
    {
      g_set_error (error, BB_ERROR, BB_ERROR_IO, "%s: TCP %s: %s", purpose,
                   bb_endpoint_to_text (text, endpoint), g_strerror (errno));
      return NULL;
    }
  struct evhttp *server = evhttp_new (loop);
  evhttp_set_timeout (server, TIMEOUT_S);
  evhttp_set_max_headers_size (server, HEADERS_MAX);
  evhttp_set_max_body_size (server, BODY_MAX);
  evhttp_set_allowed_methods (server, EVHTTP_REQ_GET | EVHTTP_REQ_HEAD);
  evhttp_accept_socket (server, fd);
  return server;
}
