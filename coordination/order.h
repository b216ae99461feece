/*
 * Queueing orders: which of the waiting jobs of one pool goes first.
 *
 * An order gives each job a key in microseconds of the dispatcher's clock;
 * the smallest key is served first, ties by acceptance.  A key changes only
 * with the job's queued tasks, never with time, so that waiting jobs need no
 * attention.  A job can be overtaken only by jobs accepted before its own
 * key: this bounds its wait behind smaller jobs.
 */
#ifndef COORDINATION_ORDER_H
#define COORDINATION_ORDER_H

#include "state/job.h"

/* The most by which a key may lie behind the job's acceptance.  */
#define ORDER_MAX_AGEING_US (60 * G_GINT64_CONSTANT (1000000))

#define ORDER_DEFAULT "fewest-remaining"

struct order_ops
{
  const char *name;
  gint64 (*compute_key) (const struct job *job);
};

/* The order of that name, or NULL.  Static.  */
const struct order_ops *order_find (const char *name);

/* All orders, ended by NULL.  Static.  */
const struct order_ops *const *order_list (void);

#endif
