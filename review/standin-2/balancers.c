/* The balancers as child processes, and the platform's routers, which poll
   their readiness twice a second.  */

#include <arpa/inet.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <sys/wait.h>
#include <unistd.h>

#include "fleet.h"

enum
{
  POLL_MS = 500,
  MISSES = 2,
};

static pid_t pids[BALANCERS_MAX];
static unsigned missed[BALANCERS_MAX];
static int64_t last_poll;

uint32_t
balancer_address (unsigned b)
{
  return address (1 + b);
}

/* The settings that the platform renders from deploy/settings.json.  */
static void
write_settings (const char *file, unsigned b)
{
  char own[16], store[16], seed[16], text[600];
  text_of (balancer_address (b), own);
  text_of (address (250), store);
  text_of (balancer_address (0), seed);
  snprintf (text, sizeof text,
            "{\n  \"name\": \"front-%u\",\n  \"data_centre\": \"itagui\",\n"
            "  \"address\": \"%s\",\n  \"metrics_port\": %d,\n"
            "  \"marked\": {\n    \"packets\": \"%s:%d\",\n"
            "    \"ready\": \"%s:%d\",\n    \"store\": \"%s:%u\",\n"
            "    \"peer_port\": %d,\n    \"seeds\": [\"%s:8166\"],\n"
            "    \"cpu_share\": 0.055,\n    \"flow_capacity\": 16384\n"
            "  }\n}\n",
            b + 1, own, ports.metrics, own, ports.packets, own, ports.ready,
            store, ports.store, ports.peer, seed);
  FILE *f = fopen (file, "w");
  if (!f)
    cannot_run ("cannot write settings");
  fputs (text, f);
  fclose (f);
}

void
balancers_start (const char *root, const char *folder)
{
  for (unsigned b = 0; b < balancer_count; b++)
    {
      char file[400], log[400];
      snprintf (file, sizeof file, "%s/boot-%u.json", folder, b + 1);
      snprintf (log, sizeof log, "%s/log-%u.txt", folder, b + 1);
      write_settings (file, b);
      missed[b] = MISSES;
      pids[b] = fork ();
      if (pids[b] == 0)
        {
          prctl (PR_SET_PDEATHSIG, SIGKILL);
          int fd = open (log, O_WRONLY | O_CREAT | O_TRUNC, 0600);
          dup2 (fd, 1);
          dup2 (fd, 2);
          if (chdir (root) == 0)
            execl ("target/bin/bluebellstand", "target/bin/bluebellstand",
                   "--settings", file, (char *)NULL);
          _exit (127);
        }
    }
}

static bool
is_ready (unsigned b)
{
  struct timeval limit = { 0, 200000 };
  struct sockaddr_in a = { .sin_family = AF_INET,
                           .sin_addr.s_addr = htonl (balancer_address (b)),
                           .sin_port = htons (ports.ready) };
  static const char request[]
      = "GET /ready HTTP/1.1\r\nHost: b\r\nConnection: close\r\n\r\n";
  char answer[64] = "";
  int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  setsockopt (fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
  setsockopt (fd, SOL_SOCKET, SO_SNDTIMEO, &limit, sizeof limit);
  bool ok = connect (fd, (struct sockaddr *)&a, sizeof a) == 0
            && send (fd, request, sizeof request - 1, MSG_NOSIGNAL) > 0
            && recv (fd, answer, sizeof answer - 1, 0) > 12
            && strncmp (answer + 9, "200", 3) == 0;
  close (fd);
  return ok;
}

void
balancers_tick (void)
{
  if (now - last_poll < POLL_MS)
    return;
  last_poll = now;
  for (unsigned b = 0; b < balancer_count; b++)
    {
      int status;
      if (pids[b] > 0 && waitpid (pids[b], &status, WNOHANG) == pids[b])
        {
          pids[b] = 0;
          if (now < 5000)
            cannot_run ("a balancer did not start");
          broken ("Fault", "balancer %u ended by itself, status %d", b + 1,
                  status);
        }
      bool was_in = missed[b] < MISSES;
      missed[b] = is_ready (b) ? 0 : missed[b] + 1;
      if (was_in != (missed[b] < MISSES))
        record ("routers: balancer %u is %s rotation", b + 1,
                missed[b] < MISSES ? "in" : "out of");
    }
}

unsigned
balancer_choose (uint32_t hash)
{
  unsigned in = 0, best = 0;
  uint32_t best_score = 0;
  for (unsigned b = 0; b < balancer_count; b++)
    in += missed[b] < MISSES;
  for (unsigned b = 0; b < balancer_count; b++)
    {
      uint32_t score = (hash ^ (b + 1) * 0x9e3779b9u) * 0x85ebca6bu;
      score ^= score >> 15;
      if (in * 2 >= balancer_count && missed[b] >= MISSES)
        continue;
      if (score >= best_score)
        {
          best_score = score;
          best = b;
        }
    }
  return best;
}

void
balancers_stop (void)
{
  for (unsigned b = 0; b < balancer_count; b++)
    if (pids[b] > 0)
      {
        kill (pids[b], SIGKILL);
        waitpid (pids[b], NULL, 0);
        pids[b] = 0;
      }
}
