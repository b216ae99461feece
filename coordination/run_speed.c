#include "coordination/run_speed.h"

#include "base/clock.h"

#include <math.h>

/* Variances are in units of that of the logarithm of a declared run time,
   which is off by up to 0.4 (0.24 squared).  */

/* The weight of the assumption that an upstream is ordinary.  */
#define PRIOR_WEIGHT 2.0

/* The tasks of a job differ by 0.15 and less (0.1 squared).  */
#define JOB_VARIANCE 0.17

/* The evidence is bounded, so that the estimate follows a gradual change
   within some tens of runs.  */
#define MAX_EVIDENCE 30.0

/* A run that is off by more than this factor (in the logarithm) counts as if
   it were off by as much: declared run times are off by 0.6 to 1.4.  */
#define MAX_STEP 0.5

/* After this many runs in a row beyond MAX_STEP in the same direction the
   upstream has changed.  With one task in thirty that takes seven times as
   long, this happens by chance once in 27,000 runs.  */
#define CHANGE_RUNS 3

/* The bound on the slowness of one run, in the logarithm: a factor of 20.  */
#define MAX_LOG 3.0

/* Part of the time of a run that passes outside of the upstream: the start
   order, and the answer to the poll that reports the end.  */
#define OVERHEAD_US (5 * USEC_PER_MSEC)

/* Runs as short as this have half the weight of long ones: delays of orders
   and polls are a larger part of them.  */
#define HALF_WEIGHT_US (30 * USEC_PER_MSEC)

static gdouble
get_log_ratio (gint64 took_us, gint64 declared_us)
{
  gdouble ratio = (gdouble)MAX (took_us, 1)
                  / (gdouble)(MAX (declared_us, 1) + OVERHEAD_US);

  return CLAMP (log (ratio), -MAX_LOG, MAX_LOG);
}

/* The weight of a run by its length.  */
static gdouble
get_length_weight (gint64 declared_us)
{
  return (gdouble)MAX (declared_us, 1)
         / (gdouble)(MAX (declared_us, 1) + HALF_WEIGHT_US);
}

gdouble
run_speed_get_slowness (const struct run_speed *speed)
{
  return exp (speed->log_slowness);
}

/* The logarithm of the work of the tasks by the declared one.  */
static gdouble
get_log_work (const struct run_work *work)
{
  return work->log_sum / (1 + work->weight);
}

/* Counts a run that is off by MORE.  Returns the step that it counts as.  */
static gdouble
bound_step (struct run_speed *speed, gdouble more)
{
  if (fabs (more) <= MAX_STEP)
    speed->n_outliers = 0;
  else if (more > 0)
    speed->n_outliers = MAX (speed->n_outliers, 0) + 1;
  else
    speed->n_outliers = MIN (speed->n_outliers, 0) - 1;
  if (ABS (speed->n_outliers) < CHANGE_RUNS)
    return CLAMP (more, -MAX_STEP, MAX_STEP);
  speed->evidence = 0;
  return more;
}

void
run_speed_add (struct run_speed *speed, const struct run_work *work,
               gint64 took_us, gint64 declared_us)
{
  gdouble weight = get_length_weight (declared_us)
                   / (1 / (1 + work->weight) + JOB_VARIANCE);
  gdouble step
      = bound_step (speed, get_log_ratio (took_us, declared_us)
                               - get_log_work (work) - speed->log_slowness);

  speed->log_slowness
      += step * weight / (PRIOR_WEIGHT + speed->evidence + weight);
  speed->evidence = MIN (speed->evidence + weight, MAX_EVIDENCE);
}

void
run_work_add (struct run_work *work, const struct run_speed *speed,
              gint64 took_us, gint64 declared_us)
{
  gdouble off = get_log_ratio (took_us, declared_us) - speed->log_slowness;
  gdouble expected = get_log_work (work);
  gdouble weight = get_length_weight (declared_us)
                   / (1 / (PRIOR_WEIGHT + speed->evidence) + JOB_VARIANCE);

  off = CLAMP (off, expected - MAX_STEP, expected + MAX_STEP);
  work->log_sum += weight * off;
  work->weight += weight;
}
