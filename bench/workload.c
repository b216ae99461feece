#include "bench/workload.h"

#include "base/clock.h"

#include <math.h>

/* Run times of ordinary tasks: log-uniform between these.  */
#define MIN_RUN_US (50 * USEC_PER_MSEC)
#define MAX_RUN_US (1000 * USEC_PER_MSEC)

/* Run times of long tasks: log-uniform between these.  */
#define MIN_LONG_RUN_US (2 * USEC_PER_SEC)
#define MAX_LONG_RUN_US (6 * USEC_PER_SEC)

/* Declared run times are too long or too short by up to this factor.  */
#define MAX_DECLARED_ERROR_FACTOR 10.0

/* Jobs drawn to estimate the mean run time of all the tasks of a job.  */
#define N_MEAN_SAMPLES 4000

/* "bicycles": mostly small jobs that arrive one by one.  "forest": larger jobs
   that arrive in bursts, with a longer network delay.  */
const struct workload_shape workload_shapes[] = {
  { "bicycles", { 1, 8, 40, 130, 0 }, { 60, 25, 12, 3, 0 }, 0.02, 1, 500 },
  { "forest", { 1, 12, 60, 130, 0 }, { 40, 30, 20, 10, 0 }, 0.02, 6, 1000 },
};
const guint workload_n_shapes = G_N_ELEMENTS (workload_shapes);

static gint64
draw_log_uniform (GRand *random, gint64 low, gint64 high)
{
  gdouble x
      = g_rand_double_range (random, log ((gdouble)low), log ((gdouble)high));

  return (gint64)exp (x);
}

static guint
draw_n_tasks (const struct workload_shape *shape, GRand *random)
{
  gint32 percent = g_rand_int_range (random, 0, 100);
  guint low = 1;

  for (guint i = 0; shape->max_sizes[i] != 0; i++)
    {
      guint high = shape->max_sizes[i];

      if (percent < (gint32)shape->size_percents[i])
        return (guint)g_rand_int_range (random, (gint)low, (gint)high + 1);
      percent -= (gint32)shape->size_percents[i];
      low = high + 1;
    }
  return 1;
}

static gint64
draw_run_time (const struct workload_shape *shape, GRand *random)
{
  if (g_rand_double (random) < shape->long_task_fraction)
    return draw_log_uniform (random, MIN_LONG_RUN_US, MAX_LONG_RUN_US);
  return draw_log_uniform (random, MIN_RUN_US, MAX_RUN_US);
}

static struct workload_job *
draw_job (const struct workload_shape *shape, GRand *random)
{
  struct workload_job *job = g_new0 (struct workload_job, 1);

  job->deadline_us = DEADLINE_NEVER;
  job->n_tasks = draw_n_tasks (shape, random);
  for (guint i = 0; i < job->n_tasks; i++)
    {
      gdouble exponent = g_rand_double_range (random, -1, 1);

      job->run_times_us[i] = draw_run_time (shape, random);
      job->declared_run_times_us[i]
          = (gint64)((gdouble)job->run_times_us[i]
                     * pow (MAX_DECLARED_ERROR_FACTOR, exponent));
    }
  return job;
}

static gint64
sum_run_times (const struct workload_job *job)
{
  gint64 sum = 0;

  for (guint i = 0; i < job->n_tasks; i++)
    sum += job->run_times_us[i];
  return sum;
}

/* The mean, over random jobs, of the run time of all tasks of a job.  */
static gdouble
estimate_mean_job_work_us (const struct workload_shape *shape)
{
  GRand *random = g_rand_new_with_seed (1);
  gdouble sum = 0;

  for (guint i = 0; i < N_MEAN_SAMPLES; i++)
    {
      struct workload_job *job = draw_job (shape, random);

      sum += (gdouble)sum_run_times (job);
      g_free (job);
    }
  g_rand_free (random);
  return sum / N_MEAN_SAMPLES;
}

/* A number of jobs from 1 on with a geometric distribution.  */
static guint
draw_burst_size (const struct workload_shape *shape, GRand *random)
{
  guint n = 1;

  while (g_rand_double (random) < 1 - 1 / shape->mean_burst_size)
    n++;
  return n;
}

struct workload *
workload_new (const struct workload_shape *shape, guint n_slots, gdouble load,
              gint64 duration_us, guint32 seed)
{
  struct workload *workload = g_new0 (struct workload, 1);
  GRand *random = g_rand_new_with_seed (seed);
  gdouble mean_burst_gap_us = estimate_mean_job_work_us (shape)
                              * shape->mean_burst_size
                              / (load * (gdouble)n_slots);
  gdouble now_us = 0;

  workload->jobs = g_ptr_array_new_with_free_func (g_free);
  workload->end_us = duration_us;
  while (now_us < (gdouble)duration_us)
    {
      guint n = draw_burst_size (shape, random);

      now_us += -log (1 - g_rand_double (random)) * mean_burst_gap_us;
      for (guint i = 0; i < n; i++)
        {
          struct workload_job *job = draw_job (shape, random);

          job->arrival_us = (gint64)now_us + 1;
          g_ptr_array_add (workload->jobs, job);
        }
    }
  g_rand_free (random);
  return workload;
}

void
workload_free (struct workload *workload)
{
  g_ptr_array_unref (workload->jobs);
  g_free (workload);
}

gint64
workload_job_get_longest_us (const struct workload_job *job)
{
  gint64 longest_us = 0;

  for (guint i = 0; i < job->n_tasks; i++)
    longest_us = MAX (longest_us, job->run_times_us[i]);
  return longest_us;
}

void
workload_set_deadlines (struct workload *workload, gdouble factor,
                        gint64 slack_us)
{
  for (guint i = 0; i < workload->jobs->len; i++)
    {
      struct workload_job *job = g_ptr_array_index (workload->jobs, i);
      gdouble longest_us = (gdouble)workload_job_get_longest_us (job);

      job->deadline_us
          = job->arrival_us + (gint64)(factor * longest_us) + slack_us;
    }
}

static int
compare_arrivals (gconstpointer a, gconstpointer b)
{
  const struct workload_job *x = *(struct workload_job *const *)a;
  const struct workload_job *y = *(struct workload_job *const *)b;

  return (x->arrival_us > y->arrival_us) - (x->arrival_us < y->arrival_us);
}

void
workload_merge (struct workload *workload, struct workload *other, guint team)
{
  for (guint i = 0; i < other->jobs->len; i++)
    {
      struct workload_job *job = g_ptr_array_index (other->jobs, i);

      job->team = team;
      g_ptr_array_add (workload->jobs, job);
    }
  g_ptr_array_set_free_func (other->jobs, NULL);
  workload_free (other);
  g_ptr_array_sort (workload->jobs, compare_arrivals);
}
