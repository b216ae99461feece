#include "coordination/job_flow.h"

#include "base/clock.h"
#include "coordination/task_flow.h"

/* How long the answer of a finished job is kept.  */
#define KEEP_ANSWER_US (120 * USEC_PER_SEC)

/* A task that is expected to end sooner than this is not stopped.  */
#define MIN_STOP_GAIN_US (20 * USEC_PER_MSEC)

/* The shortest time after which a job that was not run may be sent again.  */
#define MIN_RETRY_US (100 * USEC_PER_MSEC)

static int
compare_due_times (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const struct job *x = a;
  const struct job *y = b;

  return (x->due_us > y->due_us) - (x->due_us < y->due_us);
}

static void
add_deadline (struct dispatcher *d, struct job *job, gint64 due_us)
{
  job->due_us = due_us;
  job->deadline_iter
      = g_sequence_insert_sorted (d->deadlines, job, compare_due_times, NULL);
}

static void
remove_deadline (struct job *job)
{
  g_sequence_remove (job->deadline_iter);
  job->deadline_iter = NULL;
}

/* JOB is first checked when the time to its deadline is down to the estimate
   of its longest task; see expire_job ().  */
void
job_flow_add_deadline (struct dispatcher *d, struct job *job)
{
  gint64 start_by_us = job->deadline_us;

  if (job->deadline_us != DEADLINE_NEVER)
    start_by_us = job->deadline_us - job->longest_estimate_us;
  add_deadline (d, job, MAX (start_by_us, job->accepted_us + 1));
}

/* Drops JOB's queued tasks and removes its work from the pool's backlogs.  */
static void
drop_queued_tasks (struct job *job)
{
  pool_remove_queued_work (job->pool, job);
  for (guint i = 0; job->n_queued > 0 && i < job->n_tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_QUEUED)
        continue;
      if (task->queue_entry != NULL)
        pool_dequeue (job->pool, task);
      task->state = TASK_DROPPED;
      job->queued_work_us -= task->estimate_us;
      job->n_queued--;
    }
}

/* Whether a stop would save time.  A task that has run for longer than its
   estimate may run for any time yet.  */
static gboolean
is_worth_stopping (const struct task *task, gint64 now_us)
{
  gint64 run_time_us = now_us - task->started_us;
  gint64 remaining_us = task->estimate_us - run_time_us;

  return remaining_us >= MIN_STOP_GAIN_US || remaining_us <= 0;
}

static void
stop_running_tasks (struct dispatcher *d, struct job *job, gint64 now_us)
{
  for (guint i = 0; job->n_running > 0 && i < job->n_tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING || task->is_stop_requested
          || !is_worth_stopping (task, now_us))
        continue;
      task->is_stop_requested = TRUE;
      d->driver->ops->stop_task (d->driver, task);
    }
}

/* Has the driver answer JOB, and keeps it for KEEP_ANSWER_US.  */
static void
finish_job (struct dispatcher *d, struct job *job, gint64 now_us)
{
  remove_deadline (job);
  job->expire_us = now_us + KEEP_ANSWER_US;
  job->pool->team->bytes -= job->bytes;
  d->n_active--;
  d->driver->ops->finish_job (d->driver, job);
  job_table_finish (d->jobs, job);
}

void
job_flow_complete (struct dispatcher *d, struct job *job, gint64 now_us)
{
  job->state = JOB_COMPLETE;
  finish_job (d, job, now_us);
}

void
job_flow_fail (struct dispatcher *d, struct job *job, GError *error,
               gint64 now_us)
{
  job->state = JOB_FAILED;
  job->failure = error;
  drop_queued_tasks (job);
  stop_running_tasks (d, job, now_us);
  finish_job (d, job, now_us);
}

void
job_flow_give_up (struct dispatcher *d, struct job *job, const char *reason,
                  gint64 now_us)
{
  GError *error = NULL;

  if (job->n_started == 0)
    {
      gint64 wait_us = pool_estimate_wait_us (job->pool);

      job->retry_at_us = now_us + MAX (wait_us, MIN_RETRY_US);
      error_set (&error, ERROR_NOT_RUN,
                 "%s; no task was started: send the job again later", reason);
    }
  else
    error_set (&error, ERROR_UNKNOWN,
               "%s; %u of %u tasks are done and %u were running: check their "
               "effects before you send the job again",
               reason, job->n_done, job->n_tasks, job->n_running);
  job_flow_fail (d, job, error, now_us);
}

/* Ends JOB, or sets the timer to its deadline when it has started in time.  */
static void
expire_job (struct dispatcher *d, struct job *job, gint64 now_us)
{
  if (job->deadline_us <= now_us)
    {
      task_flow_note_overdue (d, job, now_us);
      job_flow_give_up (d, job, "the deadline passed", now_us);
    }
  else if (job->n_started == 0)
    job_flow_give_up (d, job, "the deadline can no longer be met", now_us);
  else
    {
      remove_deadline (job);
      add_deadline (d, job, job->deadline_us);
    }
}

void
job_flow_expire (struct dispatcher *d, gint64 now_us)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (d->deadlines);
      struct job *job;

      if (g_sequence_iter_is_end (first))
        return;
      job = g_sequence_get (first);
      if (job->due_us > now_us)
        return;
      expire_job (d, job, now_us);
    }
}
