/* Runs a complete process on loopback in the thread of the test.  Each program
   that includes this header has its own.  */

#ifndef BB_TESTS_LOOPBACK_H
#define BB_TESTS_LOOPBACK_H

#include "runtime/data.h"
#include "runtime/process_private.h"
#include "tests/sockets.h"
#include "tests/suite.h"
#include <glib/gstdio.h>
#include <string.h>
#include <unistd.h>

enum
{
  SERVICE = 0x0a090909, /* 10.9.9.9 */
  CALLER = 0x0a010101
};

#define LOOPBACK socket_own.address /* of the process, in an entry network */
#define FOREIGN (socket_own.address + 1) /* not in the entry network */

#define BASE                                                                  \
  "{\"version\": 4, \"hash_seed\": 1, \"data_centres\": {\"mde\": "           \
  "{\"entry_networks\": [\"%s/32\"]}}, \"services\": {\"s\": "                \
  "{\"address\": \"10.9.9.9\", \"port\": 80, \"protocol\": \"tcp\", "         \
  "\"connection_limit\": 10, \"servers\": {\"a\": {\"address\": "             \
  "\"%s\", \"gue_port\": %u, \"health_port\": %u}}}}}"

static struct
{
  struct bb_settings settings;
  struct bb_process *p;
  char *directory;
  int server; /* UDP sockets of the test */
  int egress;
  int health;    /* accepts connections and never responds */
  int fabric;    /* at FOREIGN */
  int peer;      /* at LOOPBACK */
  char *fetched; /* body of the last response */
} t;

static inline void
write_document (const char *name, const char *text)
{
  char *path = g_build_filename (t.directory, name, NULL);
  ck_assert (g_file_set_contents (path, text, -1, NULL));
  g_free (path);
}

static inline void
run_once (void)
{
  event_base_loop (t.p->loop, EVLOOP_ONCE);
}

static bool
is_ready (void)
{
  struct bb_engine_status status;
  bb_engine_status (t.p->engine, bb_clock_boot (), &status);
  return status.ready;
}

/* Chooses the endpoints that the process will bind.  */
static inline void
set_up_settings (void)
{
  memset (&t, 0, sizeof t);
  t.directory = g_dir_make_tmp ("bb-XXXXXX", NULL);
  t.server = socket_open (LOOPBACK, SOCK_DGRAM);
  t.health = socket_open (LOOPBACK, SOCK_STREAM);
  ck_assert_int_eq (listen (t.health, 64), 0);
  t.egress = socket_open (LOOPBACK, SOCK_DGRAM);
  t.peer = socket_open (LOOPBACK, SOCK_DGRAM);
  t.fabric = socket_open (FOREIGN, SOCK_DGRAM);
  t.settings = (struct bb_settings){
    .self = { .name = "e1",
              .id = bb_name_key ("e1"),
              .data_centre = "mde",
              .data = socket_free_endpoint (LOOPBACK, SOCK_DGRAM),
              .control = socket_free_endpoint (LOOPBACK, SOCK_STREAM) },
    .metrics = socket_free_endpoint (LOOPBACK, SOCK_STREAM),
    .platform_kind = BB_PLATFORM_DIRECTORY,
    .platform = t.directory,
    .egress = socket_endpoint (t.egress),
    .flow_capacity = 1024,
    .push_bytes = 1024,
    .probe_interval_ms = 100,
    .leave_limit_ms = 3600000,
    .log_level = "error",
  };
  char address[BB_ENDPOINT_TEXT_SIZE];
  bb_address_to_text (address, LOOPBACK);
  char *base = g_strdup_printf (BASE, address, address,
                                socket_endpoint (t.server).port,
                                socket_endpoint (t.health).port);
  write_document ("base.json", base);
  g_free (base);
  write_document ("vms.json", "{\"version\": 1, \"vms\": []}");
}

static inline void
start_process (void)
{
  GError *error = NULL;
  t.p = bb_process_new (&t.settings, &error);
  ck_assert_msg (t.p != NULL, "%s", error ? error->message : "");
  while (!is_ready ())
    run_once ();
}

static inline void
set_up (void)
{
  set_up_settings ();
  start_process ();
}

static inline void
tear_down (void)
{
  bb_process_free (t.p);
  ck_assert_int_eq (chdir (t.directory), 0);
  g_unlink ("base.json");
  g_unlink ("vms.json");
  g_rmdir (t.directory);
  g_free (t.directory);
  g_free (t.fetched);
  close (t.server);
  close (t.egress);
  close (t.health);
  close (t.fabric);
  close (t.peer);
}
#endif
