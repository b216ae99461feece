/*
 * Decides how a home spreads the tasks of a job over the owners of upstreams.
 * Does no I/O.
 *
 * Tasks go to owners where they start at once: first to this VM, then to
 * owners in its availability zone, then to others.  Tasks that find no free
 * slot are queued where the expected wait is shortest; owners serve their
 * queues in the order of the objectives.  When no task of a job can start at
 * once, one owner gets all of them: parts in several queues would start at
 * different times, and the work of the first part would be wasted if the rest
 * found no room.
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
  gboolean has_queued; /* result: some of them are queued there */
};

/* The tasks to spread: as many as are left of one job.  */
struct spread_tasks
{
  guint n;
  guint run_ms;   /* estimate for each */
  guint priority; /* 0 is the most urgent */
};

/*
 * Gives TASKS to OWNERS.  Returns the longest expected wait,
 * in milliseconds, or -1 when no owner has any slot.  SEED must differ for
 * each call, so that homes that know the same rooms choose differently.
 */
gint64 spread_assign (struct spread_owner *owners, guint n_owners,
                      const struct spread_tasks *tasks, guint64 seed);

#endif
