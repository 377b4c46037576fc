/* The balancers under test as child processes, and the fabric, which polls
   their readiness and chooses one for each flow.  */

#include "runtime/fetch.h"
#include "runtime/util.h"
#include "soak/soak.h"
#include <errno.h>
#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <string.h>
#include <sys/wait.h>
#include <unistd.h>

#define POLL_INTERVAL (500 * BB_MSEC)

enum
{
  FAILED_POLLS_MAX = 2, /* before the fabric stops sending to a balancer */
};

struct soak_balancer *
soak_find_balancer (uint32_t address)
{
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    if (cluster.balancers[i].packets.address == address)
      return &cluster.balancers[i];
  return NULL;
}

bool
soak_balancer_is_stable (const struct soak_balancer *b)
{
  return b->pid != 0 && !b->stopped && b->store == SOAK_STORE_SERVES
         && cluster.now > b->isolated_until + SOAK_SETTLE_TIME
         && cluster.now - b->last_fault_end > SOAK_SETTLE_TIME;
}

/* Chooses by rendezvous hashing among the balancers of the data centre that
   answer the polls, or among all its balancers if fewer than half answer.  */
struct soak_balancer *
soak_choose_balancer (unsigned data_centre, uint64_t hash)
{
  unsigned all = 0, up = 0;
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    if (cluster.balancers[i].data_centre == data_centre)
      {
        all++;
        up += cluster.balancers[i].failed_polls < FAILED_POLLS_MAX;
      }
  struct soak_balancer *best = NULL;
  uint64_t best_score = 0;
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    {
      struct soak_balancer *b = &cluster.balancers[i];
      uint64_t score = (hash ^ (i + 1)) * 0xbf58476d1ce4e5b9;
      score ^= score >> 29;
      if (b->data_centre != data_centre
          || (up * 2 >= all && b->failed_polls >= FAILED_POLLS_MAX))
        continue;
      if (!best || score > best_score)
        {
          best = b;
          best_score = score;
        }
    }
  return best;
}

/* Replaces the file PATH, without waiting for the disk as g_file_set_contents
   does: while this process waits, no link, server or caller works.  */
static void
replace_file (const char *path, const char *text)
{
  g_autofree char *next = g_strconcat (path, ".next", (char *)NULL);
  FILE *file = fopen (next, "w");
  if (!file || fputs (text, file) < 0 || fclose (file) != 0
      || rename (next, path) != 0)
    g_error ("cannot write %s: %s", path, g_strerror (errno));
}

static char *
write_settings (const struct soak_balancer *b)
{
  char *path = g_strdup_printf ("%s/%u.json", cluster.directory, b->index);
  GString *text = g_string_new ("");
  char address[BB_ENDPOINT_TEXT_SIZE];
  bb_address_to_text (address, b->packets.address);
  g_string_printf (
      text,
      "{\"name\":\"b-%u\",\"data_centre\":\"dc-%u\",\"address\":\"%s\","
      "\"marked\":{\"packets\":\"%s:%u\",\"ready\":\"%s:%u\",\"store\":"
      "\"127.0.0.1:%u\",\"peer_port\":%u,\"cpu_share\":0.5,\"seeds\":[",
      b->index, b->data_centre, address, address, b->packets.port, address,
      b->ready.port, cluster.port + 10 + b->index, cluster.port + 2);
  for (int i = 0; i < 3; i++)
    {
      unsigned seed = (unsigned)g_rand_int_range (
          cluster.random, 0, (gint32)cluster.balancer_count);
      bb_address_to_text (address, soak_link_address (seed).address);
      g_string_append_printf (text, "%s\"%s:1\"", i ? "," : "", address);
    }
  g_string_append (text, "]}}");
  replace_file (path, text->str);
  g_string_free (text, TRUE);
  return path;
}

static void
start_process (struct soak_balancer *b)
{
  g_autofree char *settings = write_settings (b);
  g_autofree char *log
      = g_strdup_printf ("%s/%u.log", cluster.directory, b->index);
  pid_t pid = fork ();
  if (pid == 0)
    {
      int fd = open (log, O_WRONLY | O_CREAT | O_APPEND, 0600);
      dup2 (fd, STDOUT_FILENO);
      dup2 (fd, STDERR_FILENO);
      execl (cluster.program, cluster.program, "--settings", settings, NULL);
      _exit (127);
    }
  if (pid < 0)
    g_error ("fork: %s", g_strerror (errno));
  b->pid = pid;
  b->start_at = 0;
  b->last_fault_end = cluster.now;
}

void
soak_balancer_signal (struct soak_balancer *b, int number)
{
  if (b->pid == 0)
    return;
  kill (b->pid, number);
  b->last_fault_end = cluster.now;
  if (number == SIGSTOP)
    b->stopped = true;
  if (number == SIGCONT)
    b->stopped = false;
  if (number == SIGHUP)
    g_free (write_settings (b));
}

/* Schedules the restart of a balancer that has ended.  Any end but SIGKILL or
   an exit with status 0 violates a guarantee.  */
static void
reap_process (struct soak_balancer *b)
{
  int status;
  if (b->pid == 0 || waitpid (b->pid, &status, WNOHANG) != b->pid)
    return;
  bool killed = WIFSIGNALED (status) && WTERMSIG (status) == SIGKILL;
  bool exited = WIFEXITED (status) && WEXITSTATUS (status) == 0;
  if (!killed && !exited)
    soak_violation ("process", "balancer %u ended with wait status %x",
                    b->index, (unsigned)status);
  b->pid = 0;
  b->stopped = false;
  b->last_fault_end = cluster.now;
  b->start_at
      = cluster.now
        + (bb_usec)g_rand_int_range (cluster.random, 200, 2000) * BB_MSEC;
}

static void
handle_poll_response (void *context, const struct bb_fetch_response *answer)
{
  struct soak_balancer *b = context;
  b->failed_polls = answer->status == 200 ? 0 : b->failed_polls + 1;
  bb_fetch_free (b->poll);
  b->poll = NULL;
}

static void
poll_ready (struct soak_balancer *b)
{
  if (b->poll || cluster.now - b->last_polled < POLL_INTERVAL)
    return;
  b->last_polled = cluster.now;
  b->poll = bb_fetch_new (cluster.loop, &b->ready, "/ready", POLL_INTERVAL,
                          1024, handle_poll_response, b);
}

void
soak_balancers_tick (void)
{
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    {
      struct soak_balancer *b = &cluster.balancers[i];
      reap_process (b);
      if (b->pid == 0 && cluster.now >= b->start_at)
        start_process (b);
      if (b->stopped && cluster.now >= b->resume_at)
        soak_balancer_signal (b, SIGCONT);
      if (b->store != SOAK_STORE_SERVES && cluster.now >= b->store_until)
        {
          b->store = SOAK_STORE_SERVES;
          b->last_fault_end = cluster.now;
        }
      poll_ready (b);
    }
}

void
soak_balancers_start (void)
{
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    {
      struct soak_balancer *b = &cluster.balancers[i];
      b->index = i;
      b->data_centre = i % SOAK_DATA_CENTRES;
      b->failed_polls = FAILED_POLLS_MAX;
      b->packets = (struct bb_endpoint){ 0x7f0a0000 + 10 + i, cluster.port };
      b->ready = (struct bb_endpoint){ b->packets.address,
                                       (uint16_t)(cluster.port + 1) };
    }
}

void
soak_balancers_stop (void)
{
  for (unsigned i = 0; i < cluster.balancer_count; i++)
    if (cluster.balancers[i].pid != 0)
      {
        kill (cluster.balancers[i].pid, SIGKILL);
        waitpid (cluster.balancers[i].pid, NULL, 0);
      }
}
