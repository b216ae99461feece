/*
 * Learned run times of one service.
 *
 * Declared run times are far off, so each is taken as a label only: tasks
 * whose declared times are within a factor of two share an estimate: the run
 * time seen, also of tasks that were stopped, over the number of tasks that
 * ran to their end.  Leaving out the stopped ones would miss the long tasks.
 * Estimates order and refuse; they never end a task.
 */
#ifndef COORDINATION_ESTIMATE_H
#define COORDINATION_ESTIMATE_H

#include <glib.h>

#define ESTIMATE_N_CLASSES 40

struct estimate_class
{
  gdouble n_complete; /* decays */
  gdouble sum_us;     /* decays with it */
};

struct estimate_table
{
  struct estimate_class classes[ESTIMATE_N_CLASSES];
  struct estimate_class all;
};

/* The estimate for a task that declares DECLARED_US, 0 for none; at least
   one microsecond.  */
gint64 estimate_get (const struct estimate_table *table, gint64 declared_us);

/* Notes that a task that declared DECLARED_US ran for ACTUAL_US, to its end or
   until it was stopped.  */
void estimate_learn (struct estimate_table *table, gint64 declared_us,
                     gint64 actual_us, gboolean is_complete);

#endif
