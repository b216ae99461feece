/*
 * Which VMs, of any role, are leaving.
 *
 * A VM counts as leaving when the platform's list that was read last says so,
 * or when a peer has told it since: the peer's list is fresher then.  Where
 * the list cannot be read, the word of a peer holds for a while.
 */
#ifndef TRANSPORT_LEAVING_VMS_H
#define TRANSPORT_LEAVING_VMS_H

#include <glib.h>

struct leaving_vms;

/* Called when a VM begins to leave or no longer does.  */
typedef void leaving_change_func (gpointer data, const char *vm,
                                  gboolean is_leaving);

struct leaving_vms *leaving_vms_new (leaving_change_func *changed,
                                     gpointer data);
void leaving_vms_free (struct leaving_vms *vms);

/* A peer has told that VM is leaving.  */
void leaving_vms_report (struct leaving_vms *vms, const char *vm,
                         gint64 now_us);

/* Replaces what the list says: begin, add each VM that leaves, end.  Adding
   returns whether the list before did not have it.  */
void leaving_vms_begin_list (struct leaving_vms *vms);
gboolean leaving_vms_add_listed (struct leaving_vms *vms, const char *name);
void leaving_vms_end_list (struct leaving_vms *vms, gint64 now_us);

/* Calls VISIT for every VM that is leaving.  */
void leaving_vms_foreach (struct leaving_vms *vms,
                          void (*visit) (const char *vm, gpointer data),
                          gpointer data);

/* Passes the time.  */
void leaving_vms_advance (struct leaving_vms *vms, gint64 now_us);

#endif
