/*
 * A lane: waiting tasks that may go to the same upstreams.
 *
 * The tasks are kept by job, in a binary heap by the key of the queueing
 * order.  Adding, removing and taking cost O(log n) in the number of jobs.
 * With late binding a pool has one lane for each set of shapes that fits;
 * with early binding each upstream has its own.
 */
#ifndef COORDINATION_LANE_H
#define COORDINATION_LANE_H

#include "coordination/order.h"
#include "state/job.h"

struct lane
{
  guint64 kinds;             /* bit set of shape kinds that fit */
  struct upstream *upstream; /* the only one, or NULL; not owned */
  const struct order_ops *order;
  GPtrArray *heap; /* struct lane_entry, owned */
  guint n_tasks;
  gboolean is_blocked; /* within one serving: none of its tasks fits now */
};

/* The tasks of one job in one lane.  */
struct lane_entry
{
  struct lane *lane;
  struct job *job;
  struct list_node job_link; /* in job->order_link */
  struct list_node tasks;    /* struct task by queue_link */
  gint64 key;
  guint position; /* in the heap */
};

struct lane *lane_new (guint64 kinds, struct upstream *upstream,
                       const struct order_ops *order);

/* LANE must be empty.  */
void lane_free (struct lane *lane);

/* Adds TASK behind, or before, the job's other tasks in LANE.  */
void lane_add (struct lane *lane, struct task *task, gboolean at_front);

/* Takes TASK out of the lane that it is in.  */
void lane_remove (struct task *task);

/* The first entry, or NULL.  */
struct lane_entry *lane_peek (const struct lane *lane);

/* The first task of ENTRY.  */
struct task *lane_entry_peek (const struct lane_entry *entry);

/* Puts JOB's entries in all lanes where their keys belong now.  */
void lane_update_job (struct job *job);

/* Whether A is served before B.  */
gboolean lane_entry_precedes (const struct lane_entry *a,
                              const struct lane_entry *b);

#endif
