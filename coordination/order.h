/*
 * Queueing orders: which of the queued jobs of one pool is served first.
 *
 * An order computes a key for each job, in microseconds of the dispatcher's
 * clock.  The smallest key is served first, and equal keys are served in order
 * of acceptance.  A key changes only with the job's queued tasks, not with
 * time, so that the queues need no periodic updates.  Only jobs accepted
 * before the time that is a job's key can overtake it, which bounds its wait
 * behind smaller jobs.
 */
#ifndef COORDINATION_ORDER_H
#define COORDINATION_ORDER_H

#include "state/job.h"

/* The most by which a key may exceed the time of the job's acceptance.  */
#define ORDER_MAX_AGEING_US (60 * G_GINT64_CONSTANT (1000000))

#define ORDER_DEFAULT "fewest-remaining"

struct order_ops
{
  const char *name; /* in documents */

  /* The key of JOB.  */
  gint64 (*compute_key) (const struct job *job);
};

/* The order called NAME, or NULL.  Statically allocated.  */
const struct order_ops *order_find (const char *name);

/* All orders, terminated by NULL.  Statically allocated.  */
const struct order_ops *const *order_list (void);

#endif
