/*
 * How fast an upstream runs tasks, estimated from its runs.
 *
 * The estimate is a slowness: the time of a run divided by its time on an
 * ordinary upstream.  Declared run times are off by up to 0.4 in either
 * direction, and a few percent of the tasks take several times as long.  So
 * the estimate moves in the logarithm, a single run moves it by a bounded
 * step, and few runs move it little.  Runs that are far off in the same
 * direction one after the other mean that the upstream has changed: they
 * replace what was known before.
 *
 * Tasks of one job have similar work.  The times of the runs of a batch that
 * have ended, each corrected by the slowness of its upstream, therefore tell
 * the work of the others better than the declared run time does.
 *
 * Does no I/O.  Zeroed memory is a valid state without any run.
 */
#ifndef COORDINATION_RUN_SPEED_H
#define COORDINATION_RUN_SPEED_H

#include <glib.h>

/* What is known of an upstream.  */
struct run_speed
{
  gdouble log_slowness; /* natural logarithm; 0 at first */
  gdouble evidence;     /* weight of the runs behind it, bounded; the weight of
                           a run whose work is known exactly from its declared
                           run time alone is 1 */
  gint n_outliers;      /* last runs that were far slower (positive) or far
                           faster (negative) than expected, in a row */
};

/* What is known of the work of the tasks of a batch, relative to the declared
   run time.  */
struct run_work
{
  gdouble log_sum; /* weighted logarithms of time by declared time */
  gdouble weight;
};

/* Time of a run divided by its time on an ordinary upstream.  */
gdouble run_speed_get_slowness (const struct run_speed *speed);

/* Adds a run to SPEED that took TOOK_US, or will take that by its progress.
   Its time was declared as DECLARED_US; WORK tells what the other runs of its
   batch took.  */
void run_speed_add (struct run_speed *speed, const struct run_work *work,
                    gint64 took_us, gint64 declared_us);

/* Adds the same run, on an upstream of SPEED, to WORK.  SPEED must not contain
   the run yet.  */
void run_work_add (struct run_work *work, const struct run_speed *speed,
                   gint64 took_us, gint64 declared_us);

#endif
