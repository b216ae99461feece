/*
 * Polls the platform's list of VMs.
 *
 * A long list is read less often, which limits the cost.  Meanwhile the VMs
 * learn of changes from each other, since they read at different times.
 */
#ifndef TRANSPORT_VM_LIST_H
#define TRANSPORT_VM_LIST_H

#include <glib.h>

struct vm_list;
struct vm_list_owner;

/* One VM of the list.  A text that the platform does not give is empty.  */
struct vm_list_item
{
  const char *name;
  const char *role; /* "entry" or "upstream" */
  const char *availability_zone;
  const char *address; /* "IP:PORT"; of an entry VM, its peer address */
  gboolean is_leaving;
};

struct vm_list_owner_ops
{
  /* The list was read and may have changed.  ITEMS is borrowed.  */
  void (*list_read) (struct vm_list_owner *owner,
                     const struct vm_list_item *items, guint n_items);
};

/* Embedded in the struct of the list's owner.  */
struct vm_list_owner
{
  const struct vm_list_owner_ops *ops;
};

/* Polls the platform at URL, which has no slash at its end.  OWNER must
   outlive the list.  */
struct vm_list *vm_list_new (const char *url, struct vm_list_owner *owner);
void vm_list_free (struct vm_list *list);

#endif
