#include "coordination/leases.h"

#include "base/clock.h"
#include "coordination/job_flow.h"
#include "coordination/serve.h"
#include "coordination/task_flow.h"

/* A lease is renewed this many times over its length.  The answer to a renewal
   is due before the next one.  */
#define RENEWALS_PER_LEASE 3

static void
renew_upstream (struct dispatcher *d, struct upstream *upstream, gint64 now_us)
{
  gint64 period_us = upstream->lease_ms * USEC_PER_MSEC / RENEWALS_PER_LEASE;

  upstream->renew_due_us = now_us + period_us;
  health_note_renewal_sent (upstream, now_us + period_us);
  d->driver->ops->renew_leases (d->driver, upstream);
}

/* Asks once for a stop of TASK, whose job has ended and whose lease has
   expired.  It was left to run because it was expected to end soon.  */
static void
stop_orphaned_task (struct dispatcher *d, struct task *task)
{
  if (task->is_stop_requested)
    return;
  task->is_stop_requested = TRUE;
  d->driver->ops->stop_task (d->driver, task);
}

/* Fails the job of TASK when the lease of TASK has expired, and returns TRUE.
   When the job has already ended, stops the task and returns FALSE.  */
static gboolean
expire_lease (struct dispatcher *d, struct task *task, gint64 now_us)
{
  struct attempt_verdict verdict = outcome_classify (ATTEMPT_LEASE_EXPIRED);
  struct job *job = task->job;

  if (task->lease_deadline_us > now_us)
    return FALSE;
  if (job->state != JOB_ACTIVE)
    {
      stop_orphaned_task (d, task);
      return FALSE;
    }
  job_flow_fail (d, job, task_flow_make_error (task, &verdict), now_us);
  return TRUE;
}

/* Expires the leases of UPSTREAM's tasks.  Any that expired count as one
   failure of the upstream.  */
static void
expire_leases (struct dispatcher *d, struct upstream *upstream, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;
  gboolean has_expired = FALSE;

  list_for_each (node, after, &upstream->running)
    {
      struct task *task = list_entry (node, struct task, upstream_link);

      has_expired |= expire_lease (d, task, now_us);
    }
  if (has_expired)
    task_flow_note_failure (d, upstream, now_us);
}

/* Offers no more tasks to UPSTREAM once it has become silent, and offers tasks
   again once it has answered.  */
static void
check_renewal (struct dispatcher *d, struct upstream *upstream, gint64 now_us)
{
  gboolean is_indexed = !list_is_empty (&upstream->level_link);

  health_check_renewal_timeout (upstream, now_us);
  if (pool_may_start_on (upstream, now_us) != is_indexed)
    serve_upstream (d, upstream, now_us);
}

void
leases_update (struct dispatcher *d, gboolean was_paused, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &d->busy_upstreams)
    {
      struct upstream *upstream
          = list_entry (node, struct upstream, busy_link);

      if (!was_paused)
        {
          check_renewal (d, upstream, now_us);
          expire_leases (d, upstream, now_us);
        }
      if (was_paused || upstream->renew_due_us <= now_us)
        renew_upstream (d, upstream, now_us);
    }
}
