#include "review/standin-3/private.h"
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

enum
{
  POLL_MS = 500 /* between two requests of /ready */
};

struct balancer balancers[BALANCERS_MAX];
unsigned balancer_count;

void
balancers_end (void)
{
  for (unsigned i = 0; i < balancer_count; i++)
    if (balancers[i].pid > 0)
      {
        kill (balancers[i].pid, SIGKILL);
        waitpid (balancers[i].pid, NULL, 0);
        balancers[i].pid = 0;
      }
}

struct balancer *
add_balancer (const char *zone)
{
  struct balancer *b = &balancers[balancer_count];
  b->index = balancer_count++;
  b->zone = zone;
  b->address = loopback (0, 1, b->index + 1);
  b->poll_fd = -1;
  snprintf (b->settings, sizeof b->settings, "%s/balancer-%u.json", directory,
            b->index);
  return b;
}

/* What the template of the deploy file gives for a small deployment.  */
void
write_settings (struct balancer *b)
{
  char temporary[300];
  snprintf (temporary, sizeof temporary, "%s.new", b->settings);
  FILE *f = fopen (temporary, "w");
  if (!f)
    finish (2, "no settings file");
  fprintf (f,
           "{\n \"name\": \"front-%s-%u\",\n \"data_centre\": \"%s\",\n"
           " \"address\": \"%s\",\n \"metrics_port\": %u,\n \"marked\": {\n"
           "  \"packets\": \"%s:%u\",\n  \"ready\": \"%s:%u\",\n"
           "  \"store\": \"%s:%u\",\n  \"peer_port\": %u,\n  \"seeds\": [",
           b->zone, b->index, b->zone, text_of (b->address), metrics_port,
           text_of (b->address), packets_port, text_of (b->address),
           ready_port, text_of (loopback (0, 4, 1)), store_port, peer_port);
  for (unsigned i = 0; i < balancer_count && i < 3; i++)
    fprintf (f, "%s\"%s:%u\"", i ? "," : "", text_of (balancers[i].address),
             peer_port);
  fprintf (f,
           "],\n  \"cpu_share\": 0.25,\n  \"flow_capacity\": 16384\n }\n}\n");
  fclose (f);
  if (rename (temporary, b->settings) != 0)
    finish (2, "no settings file");
}

void
start_balancer (struct balancer *b)
{
  char log[300];
  snprintf (log, sizeof log, "%s/balancer-%u.log", directory, b->index);
  note ("start of balancer %u (%s)", b->index, text_of (b->address));
  pid_t pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0644);
      prctl (PR_SET_PDEATHSIG, SIGKILL);
      dup2 (fd, 1);
      dup2 (fd, 2);
      execl ("target/bin/bluebellstand", "target/bin/bluebellstand",
             "--settings", b->settings, (char *)NULL);
      _exit (127);
    }
  b->pid = pid;
  b->is_ready = false;
  b->misses = 0;
  b->poll_due = 0;
}

bool
all_ready (void)
{
  for (unsigned i = 0; i < balancer_count; i++)
    if (!balancers[i].is_ready)
      return false;
  return true;
}

static void
end_poll (struct balancer *b, bool ok)
{
  if (b->poll_fd >= 0)
    close (b->poll_fd);
  b->poll_fd = -1;
  b->misses = ok ? 0 : b->misses + 1;
  if (ok != b->is_ready && (ok || b->misses >= 2))
    {
      b->is_ready = ok;
      note ("routers: balancer %u is %s rotation", b->index,
            ok ? "in" : "out of");
    }
}

static void
tick_balancer (struct balancer *b)
{
  int status;
  if (b->pid > 0 && waitpid (b->pid, &status, WNOHANG) == b->pid)
    {
      note ("balancer %u ended, status %d signal %d", b->index,
            WIFEXITED (status) ? WEXITSTATUS (status) : -1,
            WIFSIGNALED (status) ? WTERMSIG (status) : 0);
      b->pid = 0;
    }
  double now = now_ms ();
  if (b->poll_fd >= 0)
    {
      char in[256];
      ssize_t n = recv (b->poll_fd, in, sizeof in - 1, MSG_DONTWAIT);
      if (n > 0)
        {
          in[n] = 0;
          end_poll (b, strncmp (in, "HTTP/1.1 200", 12) == 0);
        }
      else if (n == 0 || (errno != EAGAIN && errno != ENOTCONN)
               || now >= b->poll_end)
        end_poll (b, false);
    }
  else if (now >= b->poll_due)
    {
      struct sockaddr_in to = socket_address (b->address, ready_port);
      char out[256];
      b->poll_due = now + POLL_MS;
      b->poll_end = now + POLL_MS - 20;
      b->poll_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
      /* A listener on a loopback address accepts at once.  */
      if (connect (b->poll_fd, (struct sockaddr *)&to, sizeof to) != 0)
        {
          end_poll (b, false);
          return;
        }
      int n = snprintf (out, sizeof out,
                        "GET /ready HTTP/1.1\r\nHost: %s:%u\r\n"
                        "Connection: close\r\n\r\n",
                        text_of (b->address), ready_port);
      (void)!send (b->poll_fd, out, (size_t)n, MSG_NOSIGNAL);
    }
}

void
balancers_turn (void)
{
  for (unsigned i = 0; i < balancer_count; i++)
    tick_balancer (&balancers[i]);
}
