/* Copies and frees configurations and VM lists.  */

#include "core/core.h"

void
bb_fleet_free (struct bb_fleet *fleet)
{
  if (!fleet)
    return;
  for (size_t i = 0; i < fleet->service_count; i++)
    g_free (fleet->services[i].servers);
  g_free (fleet->services);
  g_free (fleet->networks);
  g_free (fleet);
}

struct bb_fleet *
bb_fleet_copy (const struct bb_fleet *fleet)
{
  struct bb_fleet *copy = g_memdup2 (fleet, sizeof *fleet);

  copy->networks = g_memdup2 (fleet->networks,
                              fleet->network_count * sizeof *fleet->networks);
  copy->services = g_memdup2 (fleet->services,
                              fleet->service_count * sizeof *fleet->services);
  for (size_t i = 0; i < copy->service_count; i++)
    {
      struct bb_service *s = &copy->services[i];
      s->servers
          = g_memdup2 (s->servers, s->server_count * sizeof *s->servers);
    }
  return copy;
}

void
bb_vm_list_free (struct bb_vm_list *list)
{
  if (!list)
    return;
  g_free (list->vms);
  g_free (list->servers);
  g_free (list);
}
