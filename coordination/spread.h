/*
 * How a home spreads the tasks of a job over the owners of upstreams: free of
 * I/O.
 *
 * Tasks go where they start at once: first to upstreams of this VM, then to
 * owners of its availability zone, then to others.  What finds no free slot is
 * queued where the expected wait is the shortest, for queues are drained in
 * the order of objectives.  When none of a job starts at once, one queue gets
 * all of it: parts in several queues would begin at different times, and what
 * begins is in vain unless the rest finds room as well.
 */
#ifndef COORDINATION_SPREAD_H
#define COORDINATION_SPREAD_H

#include "coordination/vm_directory.h"

/* An owner that may take tasks.  */
struct spread_owner
{
  const char *name;
  gboolean is_self;
  gboolean is_local; /* of the own zone */
  struct vm_room room;
  guint n_given;       /* filled in: tasks that it gets */
  gboolean has_queued; /* filled in: some of them wait there */
};

/*
 * Gives N_TASKS of RUN_MS each to OWNERS.  Returns the longest expected wait,
 * in milliseconds, or -1 when no owner has any slot.  SEED is another one each
 * time: homes that choose by the same news must not choose alike.
 */
gint64 spread_tasks (struct spread_owner *owners, guint n_owners,
                     guint n_tasks, guint run_ms, guint64 seed);

#endif
