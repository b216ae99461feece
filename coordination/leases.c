#include "coordination/leases.h"

#include "base/clock.h"
#include "coordination/job_flow.h"
#include "coordination/serve.h"
#include "coordination/task_flow.h"

/* Leases are renewed when this part of them has passed, and an answer to the
   renewal is due within the same time.  */
#define RENEW_PART 3

static void
renew (struct dispatcher *d, struct upstream *upstream, gint64 now_us)
{
  gint64 period_us = upstream->lease_ms * USEC_PER_MSEC / RENEW_PART;

  upstream->renew_due_us = now_us + period_us;
  health_note_renewal (upstream, now_us + period_us);
  d->driver->ops->renew_leases (d->driver, upstream);
}

/* Has a task stopped that nobody waits for and that was to end by itself.  */
static void
stop_leftover (struct dispatcher *d, struct task *task)
{
  if (task->is_stop_requested)
    return;
  task->is_stop_requested = TRUE;
  d->driver->ops->stop_task (d->driver, task);
}

/* Fails the job of TASK when its lease has lapsed.  Returns whether it
   has.  */
static gboolean
judge_lease (struct dispatcher *d, struct task *task, gint64 now_us)
{
  struct attempt_verdict verdict = outcome_classify (ATTEMPT_LEASE_EXPIRED);
  struct job *job = task->job;

  if (task->lease_deadline_us > now_us)
    return FALSE;
  if (job->state != JOB_ACTIVE)
    {
      stop_leftover (d, task);
      return FALSE;
    }
  job_flow_fail (d, job, task_flow_make_error (task, &verdict), now_us);
  return TRUE;
}

static void
judge_upstream (struct dispatcher *d, struct upstream *upstream, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;
  gboolean has_lapsed = FALSE;

  list_for_each (node, after, &upstream->running)
    {
      struct task *task = list_entry (node, struct task, upstream_link);

      has_lapsed |= judge_lease (d, task, now_us);
    }
  if (has_lapsed)
    task_flow_note_failure (d, upstream, now_us);
}

/* Takes an upstream that has become silent out of use, and puts one that has
   answered again back.  */
static void
check_renewal (struct dispatcher *d, struct upstream *upstream, gint64 now_us)
{
  gboolean is_indexed = !list_is_empty (&upstream->level_link);

  health_check_renewal (upstream, now_us);
  if (pool_may_start_on (upstream, now_us) != is_indexed)
    serve_upstream (d, upstream, now_us);
}

void
leases_tend (struct dispatcher *d, gboolean is_late, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &d->busy)
    {
      struct upstream *upstream
          = list_entry (node, struct upstream, busy_link);

      if (!is_late)
        {
          check_renewal (d, upstream, now_us);
          judge_upstream (d, upstream, now_us);
        }
      if (is_late || upstream->renew_due_us <= now_us)
        renew (d, upstream, now_us);
    }
}
