#include "coordination/admission.h"

#include "base/clock.h"
#include "coordination/shape_check.h"
#include "coordination/wind_down.h"

/* The shortest and the longest time after which a retry is advised.  */
#define MIN_RETRY_US (100 * USEC_PER_MSEC)
#define MAX_RETRY_US (30 * USEC_PER_SEC)

/* The part of the time left beside its run that a job may wait.  */
#define WAIT_PART 0.4

/* How far below its estimate a run may stay.  */
#define MAX_UNDERRUN 4

static void
advise_retry (struct job *job, gint64 wait_us, gint64 now_us)
{
  job->retry_at_us = now_us + CLAMP (wait_us, MIN_RETRY_US, MAX_RETRY_US);
}

static gboolean
check_place (struct dispatcher *d, struct pool *pool, struct job *job,
             gint64 now_us, GError **error)
{
  if (d->is_draining)
    {
      job->retry_at_us = now_us;
      error_set (error, ERROR_DRAINING,
                 "this VM is leaving; send the job to another one");
      return FALSE;
    }
  if (job_table_has_used (d->jobs, job->id))
    {
      error_set (error, ERROR_EXPIRED,
                 "a job of this id was accepted before and its answer is no "
                 "longer kept; check its effects, then draw a new id");
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
      error_set (error, ERROR_NOT_RUN,
                 "the job's deadline has passed; send a later one");
      return FALSE;
    }
  return TRUE;
}

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
    full = "this VM has no memory left for the team's share of jobs";
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

/* How long JOB's tasks take once there is room for them.  */
static gint64
estimate_run_us (const struct pool *pool, const struct job *job)
{
  gint64 n_slots = MAX (pool->n_slots, 1);

  return MAX (job->queued_work_us / n_slots, job->longest_estimate_us);
}

/*
 * Estimates are means, and the jobs that seem short enough are those that have
 * been underestimated.  So a job may wait for a part only of the time that its
 * run leaves; and while nothing waits, it is refused only when its deadline is
 * far below its estimate.
 */
static gboolean
can_meet_deadline (gint64 left_us, gint64 wait_us, gint64 run_us)
{
  if (wait_us == 0)
    return run_us <= left_us * MAX_UNDERRUN;
  return (gdouble)wait_us <= (gdouble)(left_us - run_us) * WAIT_PART;
}

static gboolean
check_deadline (struct pool *pool, struct job *job, gint64 now_us,
                GError **error)
{
  gint64 left_us = job->deadline_us - now_us;
  gint64 wait_us = pool_estimate_wait_us (pool);
  gint64 run_us = estimate_run_us (pool, job);

  if (job->deadline_us == DEADLINE_NEVER
      || can_meet_deadline (left_us, wait_us, run_us))
    return TRUE;
  advise_retry (job, wait_us, now_us);
  error_set (error, ERROR_NOT_RUN,
             "the job is expected to wait for %" G_GINT64_FORMAT
             " ms and to run for %" G_GINT64_FORMAT
             " ms, which its deadline does not leave; send it again later or "
             "with a later deadline",
             wait_us / USEC_PER_MSEC, run_us / USEC_PER_MSEC);
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
  if (!check_place (d, pool, job, now_us, error)
      || !shape_check_job (pool->kinds, job, error)
      || !check_queue (d, pool, job, now_us, error)
      || !check_quota (d, pool, job, now_us, error))
    return FALSE;
  set_estimates (pool, job);
  end_us = now_us + pool_estimate_wait_us (pool) + estimate_run_us (pool, job);
  return wind_down_admit (pool, end_us, now_us, &job->retry_at_us, error)
         && check_deadline (pool, job, now_us, error);
}
