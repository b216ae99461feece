#include "state/job.h"

#include "base/clock.h"

static void
task_init (struct task *task, struct job *job, guint index)
{
  task->job = job;
  task->index = index;
  task->state = TASK_QUEUED;
  task->is_idempotent = TRUE;
  list_init (&task->queue_link);
  list_init (&task->upstream_link);
}

struct job *
job_new (const char *id, const char *team, const char *service, guint n_tasks)
{
  struct job *job = g_new0 (struct job, 1);

  job->ref_count = 1;
  job->id = g_strdup (id);
  job->team = g_strdup (team);
  job->service = g_strdup (service);
  job->state = JOB_ACTIVE;
  job->deadline_us = DEADLINE_NEVER;
  job->expire_us = DEADLINE_NEVER;
  job->n_tasks = n_tasks;
  job->n_queued = n_tasks;
  job->tasks = g_new0 (struct task, n_tasks);
  for (guint i = 0; i < n_tasks; i++)
    task_init (&job->tasks[i], job, i);
  list_init (&job->waiters);
  list_init (&job->table_link);
  list_init (&job->lane_entries);
  return job;
}

struct job *
job_ref (struct job *job)
{
  job->ref_count++;
  return job;
}

void
job_unref (struct job *job)
{
  if (--job->ref_count > 0)
    return;
  for (guint i = 0; i < job->n_tasks; i++)
    {
      g_clear_pointer (&job->tasks[i].input, g_bytes_unref);
      g_clear_pointer (&job->tasks[i].output, g_bytes_unref);
    }
  g_free (job->tasks);
  g_clear_error (&job->failure);
  g_clear_pointer (&job->answer, g_bytes_unref);
  g_free (job->id);
  g_free (job->team);
  g_free (job->service);
  g_free (job);
}

static gsize
count_bytes (GBytes *bytes)
{
  return bytes != NULL ? g_bytes_get_size (bytes) : 0;
}

void
job_update_bytes (struct job *job)
{
  job->bytes = sizeof *job + job->n_tasks * sizeof *job->tasks;
  job->bytes += count_bytes (job->answer);
  for (guint i = 0; i < job->n_tasks; i++)
    {
      job->bytes += count_bytes (job->tasks[i].input);
      job->bytes += count_bytes (job->tasks[i].output);
    }
}

guint
job_get_retry_after_s (const struct job *job, gint64 now_us)
{
  if (job->retry_at_us <= now_us || job->retry_at_us == DEADLINE_NEVER)
    return 0;
  return (guint)((job->retry_at_us - now_us - 1) / USEC_PER_SEC + 1);
}

void
job_drop_inputs (struct job *job)
{
  for (guint i = 0; i < job->n_tasks; i++)
    g_clear_pointer (&job->tasks[i].input, g_bytes_unref);
}
