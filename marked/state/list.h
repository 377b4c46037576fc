/* Intrusive doubly linked list.  The head is a link of its own.  */

#ifndef BB_MARKED_LIST_H
#define BB_MARKED_LIST_H

#include <stdbool.h>
#include <stddef.h>

struct bb_link
{
  struct bb_link *previous;
  struct bb_link *next;
};

/* Pointer to the structure of TYPE whose member FIELD is *LINK.  */
#define BB_LINKED(link, type, field)                                          \
  ((type *)(void *)((char *)(link)-offsetof (type, field)))

static inline void
bb_list_init (struct bb_link *head)
{
  head->previous = head->next = head;
}

static inline bool
bb_list_empty (const struct bb_link *head)
{
  return head->next == head;
}

/* Removes LINK from its list.  An initialised LINK that is in no list stays
   unchanged.  */
static inline void
bb_list_remove (struct bb_link *link)
{
  link->previous->next = link->next;
  link->next->previous = link->previous;
  bb_list_init (link);
}

static inline void
bb_list_append (struct bb_link *head, struct bb_link *link)
{
  link->previous = head->previous;
  link->next = head;
  head->previous->next = link;
  head->previous = link;
}
#endif
