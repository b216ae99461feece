/*
 * Reads the platform's list of VMs again and again.
 *
 * A long list is read less often, so that its cost is bounded; the VMs tell
 * each other what one of them has read.
 */
#ifndef TRANSPORT_VM_LIST_H
#define TRANSPORT_VM_LIST_H

#include <glib.h>

struct vm_list;
struct vm_list_owner;

/* One VM of the list.  */
struct vm_list_item
{
  const char *name;
  const char *role; /* "entry" or "upstream" */
  const char *availability_zone;
  const char *address; /* "IP:PORT"; of an entry VM, where its peers call */
  gboolean is_leaving;
};

struct vm_list_owner_ops
{
  /* The list was read; ENTRIES live only during the call.  */
  void (*read) (struct vm_list_owner *owner,
                const struct vm_list_item *entries, guint n_entries);
};

/* Embedded in whoever owns the list.  */
struct vm_list_owner
{
  const struct vm_list_owner_ops *ops;
};

/* Reads from the platform at URL, without a final slash.  OWNER must outlive
   the list.  */
struct vm_list *vm_list_new (const char *url, struct vm_list_owner *owner);
void vm_list_free (struct vm_list *list);

#endif
