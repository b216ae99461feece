/*
 * The set of VMs, of any role, that are leaving.
 *
 * A VM counts as leaving if the platform's list of VMs, as last read here,
 * says so, or if a peer has reported it since then, for that peer has read a
 * newer list.  While the list cannot be read here, a peer's report expires
 * after ten minutes, unless it is repeated.
 */
#ifndef TRANSPORT_LEAVING_VMS_H
#define TRANSPORT_LEAVING_VMS_H

#include <glib.h>

struct leaving_vms;

/* Called when a VM enters the set or is removed from it.  */
typedef void leaving_change_func (gpointer data, const char *vm,
                                  gboolean is_leaving);

struct leaving_vms *leaving_vms_new (leaving_change_func *changed,
                                     gpointer data);
void leaving_vms_free (struct leaving_vms *vms);

/* Tells that a peer has reported VM as leaving.  */
void leaving_vms_report (struct leaving_vms *vms, const char *vm,
                         gint64 now_us);

/* Replaces the content of the platform's list: call begin, then add each VM
   that the list shows as leaving, then end.  Begin also discards the peers'
   reports.  Adding returns TRUE if the previous list did not show the VM as
   leaving.  */
void leaving_vms_begin_list (struct leaving_vms *vms);
gboolean leaving_vms_add_listed (struct leaving_vms *vms, const char *name);
void leaving_vms_end_list (struct leaving_vms *vms, gint64 now_us);

/* Calls VISIT for every VM in the set.  */
void leaving_vms_foreach (struct leaving_vms *vms,
                          void (*visit) (const char *vm, gpointer data),
                          gpointer data);

/* Removes the VMs that are neither listed nor covered by a report that has not
   expired.  */
void leaving_vms_advance (struct leaving_vms *vms, gint64 now_us);

#endif
