#include "coordination/owner_private.h"

/* A stop order without an answer is repeated after this.  */
#define STOP_INTERVAL_US (150 * USEC_PER_MSEC)

/* The slowness of an upstream is reported when it has changed by this factor,
   which is more than the errors of estimates do.  */
#define REPORTED_CHANGE 1.4

/* Added to run times before they are compared, so that measuring noise counts
   little for short tasks.  */
#define SPEED_NOISE_US (15 * USEC_PER_MSEC)

/* Run numbers that are skipped after an upstream has refused a start.  It does
   so also for a number that is too old: an earlier submission of the job may
   have used this number and the next ones.  */
#define N_SKIPPED_RUN_NUMBERS 7

void
owner_report_health (struct owner *owner,
                     const struct owned_upstream *upstream,
                     enum owner_health_event event)
{
  if (owner->driver->ops->health_changed != NULL)
    owner->driver->ops->health_changed (owner->driver, upstream, event);
}

void
owner_stop_run (struct owner *owner, struct run *run, gint64 now_us)
{
  if (run->state == RUN_STOPPING)
    return;
  run->state = RUN_STOPPING;
  run->stop_due_us = now_us + STOP_INTERVAL_US;
  run->is_stop_acknowledged = FALSE;
  owner->driver->ops->stop_run (owner->driver, run);
}

/* Requeues TASK, none of whose runs can still be running.  */
static void
requeue (struct owner *owner, struct batch_task *task)
{
  struct batch *batch = task->batch;

  batch_task_queue (task);
  owner_relink_batch (owner, batch);
}

/* Runs TASK on UPSTREAM again only if no other can take it.  */
static void
avoid_upstream (struct batch_task *task, const struct owned_upstream *upstream)
{
  g_free (task->failed_on);
  task->failed_on = g_strdup (upstream->id);
}

/* Counts a failed run of TASK: queues it again, or ends its batch when all
   attempts are used up.  */
static void
note_failed (struct owner *owner, struct batch_task *task,
             const struct owned_upstream *upstream, gint64 now_us)
{
  struct batch *batch = task->batch;

  task->n_failed++;
  avoid_upstream (task, upstream);
  if (task->n_failed < batch->attempts)
    {
      requeue (owner, task);
      return;
    }
  task->state = BATCH_TASK_FAILED;
  owner_end_batch (owner, batch, BATCH_FAILED, "a task used up its attempts",
                   now_us);
}

/* Moves TASK on after its run on UPSTREAM has ended.  A run that did not fail
   by itself does not count as an attempt.  */
static void
end_task (struct owner *owner, struct batch_task *task,
          const struct owned_upstream *upstream, enum run_end end,
          gint64 now_us)
{
  struct batch *batch = task->batch;

  task->run = NULL;
  batch->n_active--;
  if (end == RUN_DONE)
    {
      task->state = BATCH_TASK_DONE;
      batch->n_done++;
    }
  else if (batch->is_ending)
    task->state = BATCH_TASK_DROPPED;
  else if (end == RUN_FAILED)
    note_failed (owner, task, upstream, now_us);
  else
    {
      requeue (owner, task);
      owner_apply_crash_limit (owner, task, now_us);
    }
  owner_finish_batch_if_done (owner, batch);
}

/* Adds RUN, which takes TOOK_US, to what is known of the speed of its
   upstream.  Reports a change from ordinary or from the last report.  The time
   of a run during which this VM was paused contains the pause, so it does not
   count.  */
void
owner_add_run_speed (struct owner *owner, struct run *run, gint64 took_us,
                     gint64 now_us)
{
  struct owned_upstream *upstream = run->upstream;
  gdouble ratio;

  if (owner_was_paused_since (owner, run->started_us, now_us))
    return;
  owned_add_run_speed (run, took_us);
  ratio = upstream->slowness / upstream->reported_slowness;
  if (ratio < REPORTED_CHANGE && ratio > 1 / REPORTED_CHANGE)
    return;
  upstream->reported_slowness = upstream->slowness;
  owner_report_health (owner, upstream, HEALTH_EVENT_SPEED);
}

/* Counts the end of RUN in the speed and the failures of its upstream.  */
static void
update_health (struct owner *owner, struct run *run, enum run_end end,
               gint64 now_us)
{
  gboolean was_resting = run->upstream->rest_until_us > now_us;
  gint64 took_us = now_us - run->started_us + SPEED_NOISE_US;
  gint64 expected_us;

  if (run->task == NULL)
    return;
  expected_us = run->task->batch->estimate_us + SPEED_NOISE_US;
  if (end == RUN_DONE)
    run->upstream->succeeded_us = now_us;
  if (end == RUN_DONE && owner->limits.placement_by_speed)
    {
      owner_add_run_speed (owner, run, now_us - run->started_us, now_us);
      owned_record_success (run->upstream);
    }
  else if (end == RUN_DONE)
    owned_record_speed (run->upstream,
                        (gdouble)took_us / (gdouble)expected_us);
  else if (end == RUN_FAILED)
    owned_record_failure (run->upstream, now_us);
  if (!was_resting && run->upstream->rest_until_us > now_us)
    owner_report_health (owner, run->upstream, HEALTH_EVENT_FAILING);
}

void
owner_end_run (struct owner *owner, struct run *run, enum run_end end,
               gint64 now_us)
{
  struct batch_task *task = run->task;
  struct owned_upstream *upstream = run->upstream;

  update_health (owner, run, end, now_us);
  if (owner->driver->ops->run_ended != NULL)
    owner->driver->ops->run_ended (owner->driver, run, end);
  owner->n_isolated -= run->is_isolated ? 1 : 0;
  run_free (run);
  if (task != NULL)
    end_task (owner, task, upstream, end, now_us);
}

/* The start of RUN had no effect: queues its task again.  Skips
   N_SKIPPED_NUMBERS run numbers.  */
static void
cancel_start (struct owner *owner, struct run *run, guint n_skipped_numbers,
              gint64 now_us)
{
  struct batch_task *task = run->task;

  if (task != NULL)
    {
      task->n_runs += n_skipped_numbers;
      task->batch->n_started--;
    }
  owner_end_run (owner, run, RUN_STOPPED, now_us);
}

void
owner_drop_runs (struct owner *owner, struct owned_upstream *upstream,
                 gint64 now_us)
{
  while (!list_is_empty (&upstream->runs))
    owner_end_run (owner, list_entry (upstream->runs.next, struct run, link),
                   RUN_LOST, now_us);
}

/* Another owner controls UPSTREAM now, and the outcome of its runs is not
   known: ends their batches.  */
static void
abandon_runs (struct owner *owner, struct owned_upstream *upstream,
              gint64 now_us)
{
  while (!list_is_empty (&upstream->runs))
    {
      struct run *run = list_entry (upstream->runs.next, struct run, link);

      if (run->task != NULL)
        owner_end_batch (owner, run->task->batch, BATCH_STOPPED,
                         "its upstream was taken over", now_us);
      owner_end_run (owner, run, RUN_LOST, now_us);
    }
}

void
owner_drop_fenced_upstream (struct owner *owner,
                            struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->is_removed)
    return;
  upstream->is_removed = TRUE;
  g_hash_table_steal (owner->upstreams, upstream->id);
  abandon_runs (owner, upstream, now_us);
  owner_verify_crashes (owner, upstream, now_us);
  owner->driver->ops->ownership_ended (owner->driver, upstream, TRUE);
  owned_unref (upstream);
  owner_start_queued (owner, now_us);
}

void
owner_finish_release (struct owner *owner, struct owned_upstream *upstream)
{
  if (!upstream->is_releasing || upstream->is_removed
      || !list_is_empty (&upstream->runs)
      || upstream->last_ended_entry > upstream->acked_ended_entry)
    return;
  upstream->is_removed = TRUE;
  g_hash_table_steal (owner->upstreams, upstream->id);
  owner_verify_crashes (owner, upstream, owner->last_call_us);
  owner->driver->ops->ownership_ended (owner->driver, upstream, FALSE);
  owned_unref (upstream);
}

/* Whether RUN certainly belongs to a former instance of its upstream.  The
   start of a run that no answer has listed yet may have been carried out by
   the former instance or by the present one.  */
static gboolean
is_of_former_instance (const struct run *run)
{
  return run->is_foreign || run->last_listed_poll != 0;
}

/* Discards what a former instance has answered about RUN.  */
static void
reset_run (struct run *run, gint64 now_us)
{
  run->is_stop_acknowledged = FALSE;
  run->n_unlisted_polls = 0;
  run->stop_due_us = now_us;
  run->start_expires_us = 0;
}

/* Ends the runs of the former instance as lost.  Keeps those that the present
   one may have started.  */
static void
drop_former_runs (struct owner *owner, struct owned_upstream *upstream,
                  gint64 now_us)
{
  struct list_node *node = upstream->runs.next;

  while (node != &upstream->runs)
    {
      struct run *run = list_entry (node, struct run, link);

      node = node->next;
      if (!is_of_former_instance (run))
        {
          reset_run (run, now_us);
          continue;
        }
      owner_end_run (owner, run, RUN_LOST, now_us);
      node = upstream->runs.next;
    }
}

/* Another instance of UPSTREAM runs now: the former one was lost, at the
   latest now.  */
static void
note_loss (struct owner *owner, struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->state != OWNED_UNRESPONSIVE)
    upstream->lost_us = now_us;
  owner_note_crash (owner, upstream);
}

void
owner_begin_instance (struct owner *owner, struct owned_upstream *upstream,
                      gint64 instance_start_ms, gint64 now_us)
{
  note_loss (owner, upstream, now_us);
  upstream->instance_start_ms = instance_start_ms;
  upstream->last_ended_entry = 0;
  upstream->acked_ended_entry = 0;
  upstream->clock_read_us = 0;
  upstream->leased_until_ms = 0;
  upstream->state = OWNED_UNCONFIRMED;
  upstream->poll_due_us = now_us;
  if (owner->limits.placement_by_speed)
    owned_reset_speed (upstream);
  owner_report_health (owner, upstream, HEALTH_EVENT_RESTARTED);
  drop_former_runs (owner, upstream, now_us);
  if (instance_start_ms != 0)
    owner_verify_crashes (owner, upstream, now_us);
}

/* Another instance has refused an order to UPSTREAM.  Most probably it will
   not answer under this id any more, so it is polled rarely.  */
void
owner_handle_other_instance (struct owner *owner,
                             struct owned_upstream *upstream, gint64 now_us)
{
  note_loss (owner, upstream, now_us);
  owner_drop_runs (owner, upstream, now_us);
  if (upstream->instance_start_ms != 0)
    owner_begin_instance (owner, upstream, 0, now_us);
  upstream->poll_due_us = now_us + OWNED_UNRESPONSIVE_POLL_US;
}

/* Starts nothing more there before a poll was answered, which tells that the
   upstream is alive and which instance it is.  */
void
owner_mark_unconfirmed (struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->state == OWNED_HELD)
    upstream->state = OWNED_UNCONFIRMED;
  upstream->poll_due_us = MIN (upstream->poll_due_us, now_us);
}

/* The start of RUN got no answer and may still be carried out: stops RUN.  */
void
owner_handle_unanswered_start (struct owner *owner, struct run *run,
                               gint64 now_us)
{
  if (run->state != RUN_STARTING)
    return;
  /* An answer that is only later than usual is no fault of the upstream: it
     would rest when it or this VM is scheduled late.  */
  if (now_us - run->sent_us >= ANSWER_TIMEOUT_MAX_US)
    owned_record_failure (run->upstream, now_us);
  if (owner->driver->ops->start_unanswered != NULL)
    owner->driver->ops->start_unanswered (owner->driver, run);
  run->state = RUN_UNCONFIRMED;
  if (run->task != NULL)
    avoid_upstream (run->task, run->upstream);
  owner_stop_run (owner, run, now_us);
}

static void
apply_start_result (struct owner *owner, struct run *run, enum order_end end,
                    gint64 now_us)
{
  switch (end)
    {
    case ORDER_ACCEPTED:
      if (run->state == RUN_STARTING)
        run->state = RUN_RUNNING;
      run->is_confirmed = TRUE;
      run->visible_after_poll = run->upstream->n_polls;
      run->progressed_us = now_us;
      run->listed_us = now_us;
      break;
    case ORDER_UNANSWERED:
      owner_mark_unconfirmed (run->upstream, now_us);
      owner_handle_unanswered_start (owner, run, now_us);
      break;
    case ORDER_INVALID:
      owner_end_run (owner, run, RUN_FAILED, now_us);
      break;
    case ORDER_UNHEALTHY:
    case ORDER_NOT_SENT:
      owned_start_rest (run->upstream, now_us);
      owner_mark_unconfirmed (run->upstream, now_us);
      cancel_start (owner, run, 0, now_us);
      break;
    default:
      cancel_start (owner, run, N_SKIPPED_RUN_NUMBERS, now_us);
    }
}

/* Handles what the answers to all orders have in common.  Returns FALSE when
   UPSTREAM is no longer owned.  */
static gboolean
process_answer (struct owner *owner, struct owned_upstream *upstream,
                enum order_end end, gint64 clock_ms, gint64 now_us)
{
  if (upstream->is_removed)
    return FALSE;
  owned_set_clock (upstream, clock_ms, now_us);
  if (end == ORDER_FENCED)
    owner_drop_fenced_upstream (owner, upstream, now_us);
  return end != ORDER_FENCED;
}

gboolean
owner_start_sending (struct owner *owner, struct owned_upstream *upstream,
                     const char *name, guint number, gint64 now_us)
{
  struct run *run = owned_find_run (upstream, name, number);

  if (upstream->is_removed || run == NULL || run->state == RUN_STOPPING)
    return FALSE;
  run->sent_us = now_us;
  run->sent_after_poll = upstream->n_polls;
  run->n_unlisted_polls = 0;
  owner_update_start_check (upstream, now_us);
  if (upstream->start_check_us < owner->wake_us)
    {
      owner->wake_us = upstream->start_check_us;
      owner->driver->ops->wake_at (owner->driver, owner->wake_us);
    }
  return TRUE;
}

void
owner_start_ended (struct owner *owner, struct owned_upstream *upstream,
                   const char *name, guint number, enum order_end end,
                   gint64 clock_ms, gint64 now_us)
{
  struct run *run;

  if (!process_answer (owner, upstream, end, clock_ms, now_us))
    return;
  run = owned_find_run (upstream, name, number);
  if (run != NULL && (end == ORDER_ACCEPTED || end == ORDER_REJECTED))
    answer_time_note (&upstream->start_answers, now_us - run->sent_us);
  if (run != NULL)
    apply_start_result (owner, run, end, now_us);
  owner_update_start_check (upstream, now_us);
  if (end == ORDER_OTHER_INSTANCE)
    owner_handle_other_instance (owner, upstream, now_us);
  owner_start_queued (owner, now_us);
  owner_advance (owner, now_us);
}

void
owner_stop_ended (struct owner *owner, struct owned_upstream *upstream,
                  const char *name, guint number, enum order_end end,
                  gint64 clock_ms, gint64 now_us)
{
  struct run *run;

  if (!process_answer (owner, upstream, end, clock_ms, now_us))
    return;
  run = owned_find_run (upstream, name, number);
  if (run == NULL || (end != ORDER_ACCEPTED && end != ORDER_REJECTED))
    return;
  run->is_stop_acknowledged = TRUE;
  run->visible_after_poll = upstream->n_polls;
  /* Nothing ends that would make the upstream answer a poll it holds back.  */
  if (upstream->is_poll_held && run->last_listed_poll == 0)
    upstream->is_polling = FALSE;
  upstream->poll_due_us = now_us;
  owner_advance (owner, now_us);
}
