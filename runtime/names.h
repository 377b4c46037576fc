/* Maps the 32-bit keys that the engine uses to the names of VMs, services and
   servers, for logs and status.  The number of names is bounded, whatever is
   added over the life of the process.  */

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

void bb_names_add_data_centre (struct bb_names *names,
                               const char *data_centre);

/* Returns the name of the VM, service, server or data centre with KEY, or
   NULL; if several have it, their names with " or " between them.  Sets
   *SERVICE to the name of the server's service, or NULL.  The strings are
   valid until the next name is added.  */
const char *bb_names_lookup (const struct bb_names *names, uint32_t key,
                             const char **service);
#endif
