#include "marked/state/directory_private.h"

void
bb_directory_append (struct bb_link *head, struct bb_link *link,
                     uint64_t revision, uint64_t newest, bool *unsorted)
{
  bb_list_remove (link);
  *unsorted |= !bb_list_empty (head) && revision < newest;
  bb_list_append (head, link);
}

int
bb_directory_compare_revisions (uint64_t a, uint64_t b)
{
  return (a > b) - (a < b);
}

void
bb_directory_sort_list (struct bb_link *head, bool *unsorted,
                        GCompareFunc order)
{
  if (!*unsorted)
    return;
  *unsorted = false;
  GPtrArray *links = g_ptr_array_new ();
  for (struct bb_link *at = head->next; at != head; at = at->next)
    g_ptr_array_add (links, at);
  g_ptr_array_sort (links, order);
  bb_list_init (head);
  for (guint i = 0; i < links->len; i++)
    bb_list_append (head, links->pdata[i]);
  g_ptr_array_unref (links);
}
