/*
 * One team's quota on this VM: concurrent slots and starts per second.
 *
 * The quota is a limit for all entry VMs together, and each VM keeps to its
 * own share.  Shares are granted by the exchange between VMs until a deadline.
 * Before the first grant, the share is the VM's even part of the quota.  After
 * a grant has expired, it is the smaller of the grant and the even part, so
 * that the sum of all shares does not exceed the quota when the network
 * between the VMs is partitioned.
 */
#ifndef COORDINATION_QUOTA_H
#define COORDINATION_QUOTA_H

#include <glib.h>

/* The starts of the last second are counted in this many steps, as a sliding
   window.  */
#define QUOTA_WINDOW_STEPS 20

#define QUOTA_UNLIMITED G_MAXUINT

/* The number of entry VMs, and the index of this one among them, from 0.  */
struct quota_vms
{
  guint n_vms;
  guint own_index;
};

struct quota
{
  guint total_slots;  /* of all VMs; 0 for no limit */
  guint total_starts; /* of all VMs, per second; 0 for no limit */
  guint granted_slots;
  guint granted_starts;                 /* per second */
  gint64 grant_deadline_us;             /* 0 before the first grant */
  guint n_running;                      /* tasks of the team on this VM */
  guint starts[QUOTA_WINDOW_STEPS + 1]; /* ring of counts, by step number */
  guint n_starts;                       /* sum of the ring */
  gint64 step; /* start of the newest step, in units of the step length */
};

/* Sets the quota of all VMs together: SLOTS, and STARTS per second.  */
void quota_set_total (struct quota *quota, guint slots, guint starts);

/* Grants this VM a share until DEADLINE_US.  */
void quota_grant (struct quota *quota, guint slots, guint starts,
                  gint64 deadline_us);

/* This VM's share now: slots, and starts per second.  QUOTA_UNLIMITED when the
   quota has no limit.  */
guint quota_get_slots (const struct quota *quota, const struct quota_vms *vms,
                       gint64 now_us);
guint quota_get_starts (const struct quota *quota, const struct quota_vms *vms,
                        gint64 now_us);

/*
 * Whether a task may start now.  If not, *RETRY_AT_US is set to the time at
 * which the rate limit may allow it, or to DEADLINE_NEVER when all slots are
 * in use, since then it has to wait for a task to end.
 */
gboolean quota_may_start (struct quota *quota, const struct quota_vms *vms,
                          gint64 now_us, gint64 *retry_at_us);

/* Records the start of a task, and the end of one.  */
void quota_note_start (struct quota *quota, gint64 now_us);
void quota_note_end (struct quota *quota);

#endif
