/*
 * Determines this VM's part of every team's quota.
 *
 * A quota is enforced over all entry VMs because each VM keeps to its part and
 * the parts add up to the quota.  The settings may give the largest number of
 * entry VMs, and which one this is.  The parts then never depend on the VMs
 * that this one can see.  Otherwise the platform's list decides.  A VM that
 * joins the list makes the parts smaller at once.  One that leaves it makes
 * them larger only after QUOTA_PART_GROW_DELAY_US, when every VM has read the
 * new list.  A VM that is cut off keeps the list that it read last.
 *
 * Does no I/O.  Times are readings of clock_now_us ().
 */
#ifndef COORDINATION_QUOTA_PART_H
#define COORDINATION_QUOTA_PART_H

#include "base/clock.h"
#include "coordination/quota.h"

/* How long the parts stay small after a VM has left the list.  Longer than the
   longest time between two readings of the list.  */
#define QUOTA_PART_GROW_DELAY_US (60 * USEC_PER_SEC)

struct quota_part
{
  struct quota_vms vms; /* the part in force */

  /* For the module's own use.  */
  char *vm;
  gboolean is_fixed;      /* by the settings */
  guint pending_n_vms;    /* a smaller number of VMs that is to be applied */
  gint64 pending_from_us; /* when to apply it; DEADLINE_NEVER for none */
};

/*
 * Initialises PART for VM.  N_VMS is the largest number of entry VMs that the
 * settings allow, or 0 when they do not say.  OWN_INDEX, from 0, tells which
 * one this is, or is N_VMS when the settings do not say.  A remainder of the
 * division is then left unused.
 */
void quota_part_init (struct quota_part *part, const char *vm, guint n_vms,
                      guint own_index);
void quota_part_clear (struct quota_part *part);

/*
 * Takes the names of the other entry VMs on the platform's list.  Returns
 * whether the part in force has changed.  To be called about once a second.
 */
gboolean quota_part_update (struct quota_part *part, const char *const *others,
                            guint n_others, gint64 now_us);

#endif
