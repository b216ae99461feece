/*
 * Decides how a home spreads the tasks of a job over the owners of upstreams.
 * Does no I/O.
 *
 * Tasks go to owners where they start at once: first to this VM, then to
 * owners in its availability zone, then to others.  The tasks that find no
 * free slot are offered to several owners, those where the expected wait is
 * shortest.  Each claims tasks when their turn has come in its queue and it
 * has a free slot; see task_offer.h.
 *
 * A job that can only be late is given to free slots only as a whole.  The
 * rest of a job that has begun goes before jobs in time, since the work would
 * be wasted otherwise.
 */
#ifndef COORDINATION_SPREAD_H
#define COORDINATION_SPREAD_H

#include "coordination/vm_directory.h"

/* An owner that may take tasks.  */
struct spread_owner
{
  const char *name;
  gboolean is_self;
  gboolean is_local; /* in the availability zone of this VM */
  struct vm_room room;
  guint free_slots;    /* tasks of the job that would start at once */
  guint n_given;       /* result: tasks that it gets */
  gboolean is_offered; /* result: the tasks that are left are offered to it */
};

/* The tasks to spread: as many as are left of one job.  */
struct spread_tasks
{
  guint n;
  guint run_ms;           /* estimate for each */
  guint priority;         /* 0 is the most urgent */
  gboolean is_late;       /* none has begun, and the job can only be late: they
                             go after all others */
  gboolean is_offer_only; /* not given to announced free slots: announcements
                             were wrong for them before */
  guint max_offers; /* owners that tasks are offered to at most; at least 1 */
};

/* The usual number of owners that tasks are offered to.  */
#define SPREAD_OFFERS_MAX 4

/* The tasks that were not given to free slots.  */
struct spread_offer
{
  guint n_tasks;
  guint n_offers; /* owners that they are offered to */
  gint64 wait_ms; /* expected until the last of them starts; 0 for none, -1
                     when no owner has any slot */
};

/*
 * Gives TASKS to OWNERS, and selects the owners that the rest of them is
 * offered to.  SEED must differ for each call, so that homes that know the
 * same rooms choose differently.
 */
struct spread_offer spread_assign (struct spread_owner *owners, guint n_owners,
                                   const struct spread_tasks *tasks,
                                   guint64 seed);

#endif
