/*
 * Estimated run times of one service's tasks, learned from their run times.
 *
 * The run times that callers declare are far off, so they serve to group
 * tasks: tasks with declared times in the same power-of-two range form a class
 * with one estimate.  The estimate is the total run time of the class divided
 * by the number of tasks that ran to their end.  The total includes the time
 * of tasks that were stopped, since these are mostly the long ones.  A class
 * with few samples uses the mean of the service as well, or the declared time
 * while the service has no samples.
 *
 * Estimates are used to order tasks, to admit jobs and to judge the speed of
 * upstreams.  They never end a task.
 */
#ifndef COORDINATION_ESTIMATE_H
#define COORDINATION_ESTIMATE_H

#include <glib.h>

#define ESTIMATE_N_CLASSES 40

struct estimate_class
{
  gdouble n_complete; /* tasks that ran to their end; scaled down when it
                         exceeds the length of the moving average */
  gdouble sum_us;     /* run times; scaled down with n_complete */
};

struct estimate_table
{
  struct estimate_class classes[ESTIMATE_N_CLASSES];
  struct estimate_class all; /* of all tasks, whatever their class */
};

/* The estimated run time, at least one microsecond, of a task that declares
   DECLARED_US, or 0 for no declaration.  */
gint64 estimate_get (const struct estimate_table *table, gint64 declared_us);

/* Adds the run time ACTUAL_US of a task that declared DECLARED_US.
   IS_COMPLETE is FALSE for a task that was stopped before its end.  */
void estimate_add_sample (struct estimate_table *table, gint64 declared_us,
                          gint64 actual_us, gboolean is_complete);

#endif
