/* Checks that need more than one key.  */

#ifndef BB_CONFIG_FLEET_CHECK_H
#define BB_CONFIG_FLEET_CHECK_H

#include "config/document.h"

/* Which key path has claimed a value that only one may have.  */
struct bb_unique_values
{
  GHashTable *paths; /* value to path, both allocated */
};

void bb_unique_values_init (struct bb_unique_values *values);
void bb_unique_values_clear (struct bb_unique_values *values);

/* Claims the formatted value for PATH.  Returns the path that has it already,
   owned by CLAIMS, or NULL.  */
const char *bb_unique_values_add (struct bb_unique_values *values,
                                  const char *path, const char *format, ...)
    G_GNUC_PRINTF (3, 4);

/* Checks one VM of a list; PATH is that of VM.  Returns whether the list keeps
   it.  */
typedef bool (*bb_vm_check_func) (const struct bb_config_layers *layers,
                                  const char *path, const struct bb_vm *vm,
                                  struct bb_unique_values *values,
                                  const void *context);

/* Reads ARRAY, the member LIST of a DOCUMENT, into *VMS, which the caller
   frees.  Returns their number.  */
size_t bb_vms_read (const struct bb_config_layers *layers,
                    const char *document, const char *list, json_object *array,
                    bb_vm_check_func check, const void *context,
                    struct bb_vm **vms);

/* Smallest prime that is at least N.  */
uint32_t bb_prime_at_least (uint32_t n);

/* Checks S with the servers of one data centre.  PATH is that of S.  */
void bb_service_check (const struct bb_config_layers *layers, const char *path,
                       const char *data_centre, const struct bb_service *s);

/* Formats A as a.b.c.d:port; freed by the caller.  */
char *bb_endpoint_format (struct bb_endpoint a);
#endif
