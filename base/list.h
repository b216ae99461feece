/*
 * Intrusive doubly linked lists.
 *
 * A list is circular, with one head node.  A linked object embeds a struct
 * list_node.  So linking allocates nothing, and an object can be removed
 * without knowing which list it is on.  A node that is on no list must be
 * initialised with list_init (); list_remove () does that too.  Lists don't
 * own their objects.
 */
#ifndef BASE_LIST_H
#define BASE_LIST_H

#include <glib.h>
#include <stddef.h>

struct list_node
{
  struct list_node *prev;
  struct list_node *next;
};

/* The object of type TYPE whose member MEMBER is *NODE.  */
#define list_entry(node, type, member)                                        \
  ((type *)(void *)((char *)(node)-offsetof (type, member)))

/* Iterates over a list with NODE.  Only the current node may be removed
   meanwhile.  AFTER is a variable that holds the next node.  */
#define list_for_each(node, after, head)                                      \
  for ((node) = (head)->next, (after) = (node)->next; (node) != (head);       \
       (node) = (after), (after) = (node)->next)

/* Makes NODE an empty list, or a node that is on no list.  */
static inline void
list_init (struct list_node *node)
{
  node->prev = node;
  node->next = node;
}

static inline gboolean
list_is_empty (const struct list_node *head)
{
  return head->next == head;
}

/* Links NODE after POSITION.  */
static inline void
list_insert_after (struct list_node *position, struct list_node *node)
{
  node->prev = position;
  node->next = position->next;
  position->next->prev = node;
  position->next = node;
}

static inline void
list_append (struct list_node *head, struct list_node *node)
{
  list_insert_after (head->prev, node);
}

/* Unlinks NODE.  Has no effect when it is on no list.  */
static inline void
list_remove (struct list_node *node)
{
  node->prev->next = node->next;
  node->next->prev = node->prev;
  list_init (node);
}

#endif
