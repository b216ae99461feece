#include "bench/workload.h"

#include "base/clock.h"

#include <math.h>

/* Ordinary tasks: log-uniform between these.  */
#define MIN_RUN_US (50 * USEC_PER_MSEC)
#define MAX_RUN_US (1000 * USEC_PER_MSEC)

/* Long ones.  */
#define MIN_LONG_US (2 * USEC_PER_SEC)
#define MAX_LONG_US (6 * USEC_PER_SEC)

/* Declared times are off by up to this factor either way.  */
#define DECLARED_FACTOR 10.0

/* Jobs drawn to find the mean work of one.  */
#define N_PROBES 4000

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
draw_size (const struct workload_shape *shape, GRand *random)
{
  gint32 pick = g_rand_int_range (random, 0, 100);
  guint low = 1;

  for (guint i = 0; shape->size_limits[i] != 0; i++)
    {
      guint high = shape->size_limits[i];

      if (pick < (gint32)shape->size_weights[i])
        return (guint)g_rand_int_range (random, (gint)low, (gint)high + 1);
      pick -= (gint32)shape->size_weights[i];
      low = high + 1;
    }
  return 1;
}

static gint64
draw_run (const struct workload_shape *shape, GRand *random)
{
  if (g_rand_double (random) < shape->long_part)
    return draw_log_uniform (random, MIN_LONG_US, MAX_LONG_US);
  return draw_log_uniform (random, MIN_RUN_US, MAX_RUN_US);
}

static struct workload_job *
draw_job (const struct workload_shape *shape, GRand *random)
{
  struct workload_job *job = g_new0 (struct workload_job, 1);

  job->deadline_us = DEADLINE_NEVER;
  job->n_tasks = draw_size (shape, random);
  for (guint i = 0; i < job->n_tasks; i++)
    {
      gdouble off = g_rand_double_range (random, -1, 1);

      job->run_us[i] = draw_run (shape, random);
      job->declared_us[i]
          = (gint64)((gdouble)job->run_us[i] * pow (DECLARED_FACTOR, off));
    }
  return job;
}

static gint64
sum_runs (const struct workload_job *job)
{
  gint64 sum = 0;

  for (guint i = 0; i < job->n_tasks; i++)
    sum += job->run_us[i];
  return sum;
}

static gdouble
measure_mean_work (const struct workload_shape *shape)
{
  GRand *random = g_rand_new_with_seed (1);
  gdouble sum = 0;

  for (guint i = 0; i < N_PROBES; i++)
    {
      struct workload_job *job = draw_job (shape, random);

      sum += (gdouble)sum_runs (job);
      g_free (job);
    }
  g_rand_free (random);
  return sum / N_PROBES;
}

static guint
draw_burst (const struct workload_shape *shape, GRand *random)
{
  guint n = 1;

  while (g_rand_double (random) < 1 - 1 / shape->burst_size)
    n++;
  return n;
}

struct workload *
workload_new (const struct workload_shape *shape, guint n_slots, gdouble load,
              gint64 duration_us, guint32 seed)
{
  struct workload *workload = g_new0 (struct workload, 1);
  GRand *random = g_rand_new_with_seed (seed);
  gdouble gap_us = measure_mean_work (shape) * shape->burst_size
                   / (load * (gdouble)n_slots);
  gdouble now_us = 0;

  workload->jobs = g_ptr_array_new_with_free_func (g_free);
  workload->end_us = duration_us;
  while (now_us < (gdouble)duration_us)
    {
      guint n = draw_burst (shape, random);

      now_us += -log (1 - g_rand_double (random)) * gap_us;
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
workload_job_longest_us (const struct workload_job *job)
{
  gint64 longest = 0;

  for (guint i = 0; i < job->n_tasks; i++)
    longest = MAX (longest, job->run_us[i]);
  return longest;
}

void
workload_set_deadlines (struct workload *workload, gdouble factor,
                        gint64 slack_us)
{
  for (guint i = 0; i < workload->jobs->len; i++)
    {
      struct workload_job *job = g_ptr_array_index (workload->jobs, i);
      gdouble longest = (gdouble)workload_job_longest_us (job);

      job->deadline_us
          = job->arrival_us + (gint64)(factor * longest) + slack_us;
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
