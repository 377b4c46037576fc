/* Checks that involve more than one key.

   They report conflicts that the check of a single value cannot find: two
   keys with a value that has to be unique, too few buckets for the servers
   of a service, a service without usable servers, and connection limits
   that do not fit the slots or weights.  */

#ifndef BB_CONFIG_FLEET_CHECK_H
#define BB_CONFIG_FLEET_CHECK_H

#include "config/document.h"

/* Values that have to be unique, each with the path of the key that sets the
   value.  */
struct bb_unique_values
{
  GHashTable *paths; /* value to path; both are allocated */
};

void bb_unique_values_init (struct bb_unique_values *values);
void bb_unique_values_clear (struct bb_unique_values *values);

/* Adds the formatted value, which belongs to the key at PATH.  Returns the
   path of the key that already has the value, owned by VALUES, or NULL.  */
const char *bb_unique_values_add (struct bb_unique_values *values,
                                  const char *path, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Checks one VM of a list; PATH is the path of VM.  Returns whether the list
   keeps the VM.  */
typedef bool (*bb_vm_check_func) (const struct bb_config_layers *layers,
                                  const char *path, const struct bb_vm *vm,
                                  struct bb_unique_values *values,
                                  const void *context);

/* Reads ARRAY, which is the member LIST of a DOCUMENT, into *VMS, which the
   caller frees.  Returns the number of VMs.  */
size_t bb_vms_read (const struct bb_config_layers *layers,
                    const char *document, const char *list, json_object *array,
                    bb_vm_check_func check, const void *context,
                    struct bb_vm **vms);

/* Returns the smallest prime that is at least N.  */
uint32_t bb_prime_at_least (uint32_t n);

/* Checks S with the servers that DATA_CENTRE uses.  PATH is the path of S.  If
   the data centre IS_EVACUATED, its own servers drain.  */
void bb_service_check (const struct bb_config_layers *layers, const char *path,
                       const char *data_centre, bool is_evacuated,
                       const struct bb_service *s);

/* Returns A as "a.b.c.d:port"; freed by the caller.  */
char *bb_endpoint_format (struct bb_endpoint a);
#endif
