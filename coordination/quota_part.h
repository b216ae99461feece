/*
 * Which part of every team's quota is this VM's.
 *
 * A quota holds over all entry VMs because each keeps to its part, and the
 * parts add up to the quota.  When the settings say how many entry VMs there
 * are at the most, and which one this is, the parts never depend on what the
 * VM can see.  Otherwise the platform's list decides: a VM that is new on the
 * list makes the parts smaller at once, one that is gone makes them larger
 * only after QUOTA_PART_GROW_DELAY_US, by when every VM has read the list.  A
 * VM that is cut off keeps the list that it read last.
 *
 * Free of I/O.  Times are readings of clock_now_us ().
 */
#ifndef COORDINATION_QUOTA_PART_H
#define COORDINATION_QUOTA_PART_H

#include "base/clock.h"
#include "coordination/quota.h"

/* Longer than the longest pause between two readings of the list.  */
#define QUOTA_PART_GROW_DELAY_US (60 * USEC_PER_SEC)

struct quota_part
{
  struct quota_vms vms; /* the part in force */

  /* For the module's own use.  */
  char *vm;
  gboolean is_fixed;   /* by the settings */
  guint next_n_vms;    /* a smaller number that was seen */
  gint64 next_from_us; /* when it counts; DEADLINE_NEVER without one */
};

/*
 * Prepares PART for VM.  N_VMS is the largest number of entry VMs that the
 * settings allow, 0 when they do not say; OWN_INDEX is which one this is, from
 * 0, or N_VMS when they do not say, which leaves a remainder unused.
 */
void quota_part_init (struct quota_part *part, const char *vm, guint n_vms,
                      guint own_index);
void quota_part_clear (struct quota_part *part);

/*
 * Tells the names of the other entry VMs on the platform's list.  Returns
 * whether the part in force has changed; to be called about once a second.
 */
gboolean quota_part_update (struct quota_part *part, const char *const *others,
                            guint n_others, gint64 now_us);

#endif
