#include "coordination/admission.h"

#include "base/clock.h"
#include "coordination/shape_check.h"
#include "coordination/wind_down.h"

/* Bounds of the time after which a refused job is advised to retry.  */
#define MIN_RETRY_US (100 * USEC_PER_MSEC)
#define MAX_RETRY_US (30 * USEC_PER_SEC)

/* The fraction of a job's spare time, which is the time to its deadline less
   its estimated run time, that it may spend waiting.  */
#define MAX_WAIT_FRACTION 0.4

/* The fraction of the slots that the work of jobs with deadlines may use.  */
#define MAX_DEADLINE_LOAD 0.7

/* The estimate of a job may exceed its run time by up to this factor.  */
#define MAX_OVERESTIMATE 4

static void
advise_retry (struct job *job, gint64 wait_us, gint64 now_us)
{
  job->retry_at_us = now_us + CLAMP (wait_us, MIN_RETRY_US, MAX_RETRY_US);
}

/* Whether this VM takes the job at all: it is not draining, the id is new, the
   service exists, and the deadline has not passed.  */
static gboolean
check_target (struct dispatcher *d, struct pool *pool, struct job *job,
              gint64 now_us, GError **error)
{
  if (d->is_draining)
    {
      job->retry_at_us = now_us;
      error_set (error, ERROR_DRAINING,
                 "this VM is draining; send the job to another VM");
      return FALSE;
    }
  if (job_table_is_id_used (d->jobs, job->id))
    {
      error_set (
          error, ERROR_EXPIRED,
          "a job with this id was accepted before and its answer is no "
          "longer kept; check its effects, then submit it under a new id");
      return FALSE;
    }
  if (pool == NULL || pool->service == NULL)
    {
      error_set (error, ERROR_NOT_FOUND,
                 "team '%s' has no service '%s' in force; check both names",
                 job->team, job->service);
      return FALSE;
    }
  if (job->deadline_us <= now_us)
    {
      error_set (
          error, ERROR_NOT_RUN,
          "the job's deadline has passed; send the job with a later one");
      return FALSE;
    }
  return TRUE;
}

static gboolean
check_inputs (const struct pool *pool, const struct job *job, GError **error)
{
  guint limit = pool->service->max_input_bytes;

  for (guint i = 0; i < job->n_tasks; i++)
    {
      GBytes *input = job->tasks[i].input;

      if (input == NULL || g_bytes_get_size (input) <= limit)
        continue;
      error_set (error, ERROR_TOO_LARGE,
                 "the input of task %u has %" G_GSIZE_FORMAT
                 " bytes; the service takes %u at most: send a smaller one",
                 i, g_bytes_get_size (input), limit);
      return FALSE;
    }
  return TRUE;
}

/* Whether the queue and the memory have space for the job.  */
static gboolean
check_queue (struct dispatcher *d, struct pool *pool, struct job *job,
             gint64 now_us, GError **error)
{
  gsize free_bytes
      = d->jobs->max_bytes - MIN (d->jobs->bytes, d->jobs->max_bytes);
  const char *full = NULL;

  if (pool->n_queued + job->n_tasks > pool->service->max_queued_tasks)
    full = "this VM has too many tasks of the service queued";
  else if (!job_table_has_room (d->jobs, job->bytes))
    full = "this VM has no memory left for the job";
  else if (pool->team->bytes + job->bytes > free_bytes)
    full = "the team's jobs on this VM have used up its share of the memory";
  if (full == NULL)
    return TRUE;
  advise_retry (job, pool_estimate_wait_us (pool), now_us);
  error_set (error, ERROR_NOT_RUN, "%s; send the job again later", full);
  return FALSE;
}

static void
set_estimates (struct pool *pool, struct job *job)
{
  job->queued_work_us = 0;
  job->longest_estimate_us = 0;
  for (guint i = 0; i < job->n_tasks; i++)
    {
      struct task *task = &job->tasks[i];

      task->estimate_us
          = estimate_get (&pool->estimates, task->declared_run_time_us);
      job->queued_work_us += task->estimate_us;
      job->longest_estimate_us
          = MAX (job->longest_estimate_us, task->estimate_us);
    }
}

/* The estimated time that JOB's tasks take if they have all slots of POOL.  */
static gint64
estimate_run_us (const struct pool *pool, const struct job *job)
{
  gint64 n_slots = MAX (pool->n_slots, 1);

  return MAX (job->queued_work_us / n_slots, job->longest_estimate_us);
}

/*
 * Estimates are means, and the jobs that seem short enough for their deadlines
 * tend to be those that are underestimated.  So a job may spend only a
 * fraction of its spare time waiting.
 */
static void
set_start_by (const struct pool *pool, struct job *job, gint64 now_us)
{
  gint64 left_us = job->deadline_us - now_us;
  gint64 spare_us = left_us - estimate_run_us (pool, job);

  job->start_by_us = DEADLINE_NEVER;
  job->end_by_us = DEADLINE_NEVER;
  if (job->deadline_us == DEADLINE_NEVER)
    return;
  job->start_by_us
      = now_us + (gint64)((gdouble)MAX (spare_us, 0) * MAX_WAIT_FRACTION);
  job->end_by_us = job->start_by_us + job->longest_estimate_us;
}

/* The estimated time that JOB waits behind the jobs that are served before it.
   Running work counts half, as tasks are on average half done.  */
static gint64
estimate_wait_us (struct pool *pool, const struct job *job, gint64 now_us)
{
  gint64 key_us = pool->order->compute_key (job);
  gint64 n_slots = MAX (pool->n_slots, 1);

  if (pool_estimate_wait_us (pool) == 0)
    return 0;
  return (backlog_sum_us (&pool->backlog_by_key, key_us, now_us)
          + pool->running_work_us / 2)
         / n_slots;
}

/* The time by which JOB would overload the slots and so make jobs with
   deadlines late; 0 for not at all.  */
static gint64
estimate_delay_us (struct pool *pool, const struct job *job, gint64 now_us)
{
  guint n_slots = MAX (pool->n_slots, 1);
  gint64 excess_us = backlog_find_excess_us (
      &pool->backlog_by_end, job->end_by_us, job->queued_work_us,
      pool->running_work_us / 2, n_slots, MAX_DEADLINE_LOAD, now_us);

  return MAX (excess_us, 0) / n_slots;
}

static gboolean
check_deadline (struct pool *pool, struct job *job, gint64 now_us,
                GError **error)
{
  gint64 left_us = job->deadline_us - now_us;
  gint64 run_us = estimate_run_us (pool, job);
  gint64 wait_us = estimate_wait_us (pool, job, now_us);
  gint64 delay_us;

  if (job->deadline_us == DEADLINE_NEVER)
    return TRUE;
  /* A job that need not wait is refused only when its deadline is far below
     its estimate, since the estimate may be too high.  */
  if (wait_us == 0 && run_us <= left_us * MAX_OVERESTIMATE)
    return TRUE;
  delay_us = estimate_delay_us (pool, job, now_us);
  if (now_us + wait_us <= job->start_by_us && delay_us == 0)
    return TRUE;
  advise_retry (job, MAX (wait_us, delay_us), now_us);
  error_set (error, ERROR_NOT_RUN,
             "the job is expected to wait for %" G_GINT64_FORMAT
             " ms and to run for %" G_GINT64_FORMAT
             " ms, which would miss its deadline or those of other jobs; "
             "send it again later or with a later deadline",
             (wait_us + delay_us) / USEC_PER_MSEC, run_us / USEC_PER_MSEC);
  return FALSE;
}

static gboolean
check_quota (struct dispatcher *d, struct pool *pool, struct job *job,
             gint64 now_us, GError **error)
{
  const struct quota *quota = &pool->team->quota;

  if (quota_get_slots (quota, &d->vms, now_us) > 0
      && quota_get_starts (quota, &d->vms, now_us) > 0)
    return TRUE;
  advise_retry (job, MIN_RETRY_US, now_us);
  error_set (error, ERROR_OVER_QUOTA,
             "this VM has no share of the quota of team '%s'; send the job to "
             "another VM, or have the quota raised",
             job->team);
  return FALSE;
}

gboolean
admission_check (struct dispatcher *d, struct pool *pool, struct job *job,
                 gint64 now_us, GError **error)
{
  gint64 end_us;

  job->retry_at_us = 0;
  if (!check_target (d, pool, job, now_us, error)
      || !check_inputs (pool, job, error)
      || !shape_check_job (pool->kinds, job, error)
      || !check_queue (d, pool, job, now_us, error)
      || !check_quota (d, pool, job, now_us, error))
    return FALSE;
  job->accepted_us = now_us;
  set_estimates (pool, job);
  set_start_by (pool, job, now_us);
  end_us = now_us + pool_estimate_wait_us (pool) + estimate_run_us (pool, job);
  return wind_down_check_job (pool, end_us, now_us, &job->retry_at_us, error)
         && check_deadline (pool, job, now_us, error);
}
