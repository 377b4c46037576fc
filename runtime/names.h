/* Names behind the keys that the engine uses, for logs and status.  */

#ifndef BB_RUNTIME_NAMES_H
#define BB_RUNTIME_NAMES_H

#include "core/core.h"

struct bb_names;

struct bb_names *bb_names_new (void);
void bb_names_free (struct bb_names *names);

void bb_names_add_fleet (struct bb_names *names, const struct bb_fleet *fleet);
void bb_names_add_vms (struct bb_names *names, const struct bb_vm *vms,
                       size_t count);

void bb_names_add_server (struct bb_names *names, uint32_t key,
                          const char *service, const char *server);

/* The name of the VM, service or server with KEY, or NULL.  *SERVICE is set
   to the name of the server's service, or NULL.  The strings are valid until
   names are added.  */
const char *bb_names_lookup (const struct bb_names *names, uint32_t key,
                             const char **service);
#endif
