/*
 * One team's quota on this VM: slots at once and starts a second.
 *
 * A quota holds over all entry VMs because each keeps to its own share.  A
 * share granted by the exchange between VMs has a deadline.  Without a grant
 * the share is the VM's even part of the quota; after a grant has lapsed it
 * is the smaller of the two, so that the sum stays below the quota however
 * the VMs are cut off from each other.
 */
#ifndef COORDINATION_QUOTA_H
#define COORDINATION_QUOTA_H

#include <glib.h>

/* The starts of the last second are counted in steps of 1 / N of it.  */
#define QUOTA_WINDOW_STEPS 20

#define QUOTA_UNLIMITED G_MAXUINT

/* How many entry VMs there are, and which one this is, from 0.  */
struct quota_vms
{
  guint n_vms;
  guint own_index;
};

struct quota
{
  guint total_slots;  /* over all VMs; 0 is no limit */
  guint total_starts; /* a second, over all VMs; 0 is no limit */
  guint granted_slots;
  guint granted_starts;
  gint64 grant_deadline_us; /* 0 before the first grant */
  guint n_running;
  guint starts[QUOTA_WINDOW_STEPS + 1]; /* by step, a ring */
  guint n_starts;                       /* sum of the ring */
  gint64 step;                          /* the ring's newest step */
};

/* Sets the limits of a new document.  */
void quota_set_total (struct quota *quota, guint slots, guint starts);

/* Grants a share until DEADLINE_US.  */
void quota_grant (struct quota *quota, guint slots, guint starts,
                  gint64 deadline_us);

/* The slots, and starts a second, that this VM may use now.  */
guint quota_get_slots (const struct quota *quota, const struct quota_vms *vms,
                       gint64 now_us);
guint quota_get_starts (const struct quota *quota, const struct quota_vms *vms,
                        gint64 now_us);

/*
 * Whether a task may start now.  When FALSE, *RETRY_AT_US is when the starts
 * of the last second allow one, or DEADLINE_NEVER when a slot is missing.
 */
gboolean quota_may_start (struct quota *quota, const struct quota_vms *vms,
                          gint64 now_us, gint64 *retry_at_us);

/* Counts a start, and the end of a task.  */
void quota_note_start (struct quota *quota, gint64 now_us);
void quota_note_end (struct quota *quota);

#endif
