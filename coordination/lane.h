/*
 * A lane: one of the queues of a pool.  It holds queued tasks that can run on
 * the same upstreams.
 *
 * With late binding a pool has one lane for each set of shape kinds that its
 * tasks fit.  With early binding it has one for each upstream, and those of
 * late binding for tasks that could not be bound.
 *
 * The tasks are grouped by job into entries, which are kept in a binary heap
 * by the key of the queueing order.  Adding and removing a task takes O(log n)
 * time in the number of jobs.
 */
#ifndef COORDINATION_LANE_H
#define COORDINATION_LANE_H

#include "coordination/order.h"
#include "state/job.h"

struct lane
{
  guint64 kinds;             /* bit set of the shape kinds that fit */
  struct upstream *upstream; /* to which its tasks are bound, or NULL for late
                                binding; not owned */
  const struct order_ops *order;
  GPtrArray *heap; /* struct lane_entry, owned */
  guint n_tasks;
  gboolean is_blocked; /* no task can start now; valid within one call of
                          serve_pool () */
};

/* The tasks of one job in one lane.  */
struct lane_entry
{
  struct lane *lane;
  struct job *job;
  struct list_node job_link; /* in job->lane_entries */
  struct list_node tasks;    /* struct task by queue_link */
  gint64 key;     /* of the queueing order; the smallest is served first */
  guint position; /* index in the heap */
};

/* A new empty lane.  UPSTREAM may be NULL.  */
struct lane *lane_new (guint64 kinds, struct upstream *upstream,
                       const struct order_ops *order);

/* Frees LANE, which must be empty.  */
void lane_free (struct lane *lane);

/* Adds TASK to LANE, before or after the other tasks of its job.  */
void lane_add (struct lane *lane, struct task *task, gboolean at_front);

/* Removes TASK from its lane.  */
void lane_remove (struct task *task);

/* The entry that is served first, or NULL when LANE is empty.  */
struct lane_entry *lane_peek (const struct lane *lane);

/* The first task of ENTRY.  */
struct task *lane_entry_peek (const struct lane_entry *entry);

/* Recomputes the keys of JOB's entries in all lanes and moves the entries in
   their heaps.  */
void lane_update_job (struct job *job);

/* Whether A is served before B: by key, then by acceptance of the job.  */
gboolean lane_entry_precedes (const struct lane_entry *a,
                              const struct lane_entry *b);

#endif
