/*
 * Learned run times of one service.
 *
 * Declared run times are far off, so each is taken as a label only: tasks
 * whose declared times are within a factor of two share an estimate, which is
 * a moving average of the run times seen.  Estimates order and refuse; they
 * never end a task.
 */
#ifndef COORDINATION_ESTIMATE_H
#define COORDINATION_ESTIMATE_H

#include <glib.h>

#define ESTIMATE_N_CLASSES 40

struct estimate_class
{
  guint n_seen;
  gdouble mean_us;
};

struct estimate_table
{
  struct estimate_class classes[ESTIMATE_N_CLASSES];
  struct estimate_class all;
};

/* The estimate for a task that declares DECLARED_US, 0 for none; at least
   one microsecond.  */
gint64 estimate_get (const struct estimate_table *table, gint64 declared_us);

/* Notes that a task that declared DECLARED_US took ACTUAL_US.  */
void estimate_learn (struct estimate_table *table, gint64 declared_us,
                     gint64 actual_us);

#endif
