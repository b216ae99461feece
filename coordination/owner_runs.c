#include "coordination/owner_private.h"

/* Tasks of one job that started together end soon after each other.  After an
   answer with ended runs the next poll is delayed by this, so that it reports
   further ends together.  */
#define END_POLL_DELAY_US (8 * USEC_PER_MSEC)

/* An upstream where nothing runs is polled this often, so that a crash is
   noticed before the next instance is taken for this one.  */
#define IDLE_POLL_INTERVAL_US (1 * USEC_PER_SEC)

/* A stop order without an answer is repeated after this.  */
#define STOP_INTERVAL_US (150 * USEC_PER_MSEC)

/* A task is stalled if its progress has not changed for the longer of this
   time and this fraction of its expected run time.  */
#define MIN_STALL_US (600 * USEC_PER_MSEC)
#define STALL_FACTOR 0.8

/* On an upstream slower than this many times the expected run time, a task is
   stopped and run again if it would still need more than twice its
   estimate.  */
#define SLOW_FACTOR 2.5

/* Restarts allowed for one task because of stalls and slow upstreams.  */
#define MAX_RESTARTS 3

/* A poll that takes longer than usual by this is replaced by one that is
   answered at once: its answer may be lost.  */
#define ANSWER_MARGIN_US (40 * USEC_PER_MSEC)

/* The margin for the end of a run, as a fraction of its time up to then.  */
#define END_MARGIN 0.1

/* Progress of less than this many percent does not tell when a run will
   end.  */
#define MIN_PERCENT 10

/* The slowness of an upstream is reported when it has changed by this factor,
   which is more than the errors of estimates do.  */
#define REPORTED_CHANGE 1.4

/* A run that is as long as an upstream may hold back the answer to a poll
   tells its time by its progress, before it ends.  */
#define MIN_SPEED_US (200 * USEC_PER_MSEC)

/* Added to run times before they are compared, so that measuring noise counts
   little for short tasks.  */
#define SPEED_NOISE_US (15 * USEC_PER_MSEC)

/* Run numbers that are skipped after an upstream has refused a start.  It does
   so also for a number that is too old: an earlier submission of the job may
   have used this number and the next ones.  */
#define N_SKIPPED_RUN_NUMBERS 7

static void handle_lost_starts (struct owner *owner,
                                struct owned_upstream *upstream,
                                gint64 now_us);

static void
report_health (struct owner *owner, const struct owned_upstream *upstream,
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

  task->state = BATCH_TASK_QUEUED;
  batch->n_queued++;
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
    requeue (owner, task);
  owner_finish_batch_if_done (owner, batch);
}

/* Adds RUN, which takes TOOK_US, to what is known of the speed of its
   upstream.  Reports a change from ordinary or from the last report.  The time
   of a run during which this VM was paused contains the pause, so it does not
   count.  */
static void
add_run_speed (struct owner *owner, struct run *run, gint64 took_us,
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
  report_health (owner, upstream, HEALTH_EVENT_SPEED);
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
      add_run_speed (owner, run, now_us - run->started_us, now_us);
      owned_record_success (run->upstream);
    }
  else if (end == RUN_DONE)
    owned_record_speed (run->upstream,
                        (gdouble)took_us / (gdouble)expected_us);
  else if (end == RUN_FAILED)
    owned_record_failure (run->upstream, now_us);
  if (!was_resting && run->upstream->rest_until_us > now_us)
    report_health (owner, run->upstream, HEALTH_EVENT_FAILING);
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

void
owner_begin_instance (struct owner *owner, struct owned_upstream *upstream,
                      gint64 instance_start_ms, gint64 now_us)
{
  upstream->instance_start_ms = instance_start_ms;
  upstream->last_ended_entry = 0;
  upstream->acked_ended_entry = 0;
  upstream->clock_read_us = 0;
  upstream->leased_until_ms = 0;
  upstream->state = OWNED_UNCONFIRMED;
  upstream->poll_due_us = now_us;
  if (owner->limits.placement_by_speed)
    owned_reset_speed (upstream);
  report_health (owner, upstream, HEALTH_EVENT_RESTARTED);
  drop_former_runs (owner, upstream, now_us);
}

/* Another instance has refused an order to UPSTREAM.  Most probably it will
   not answer under this id any more, so it is polled rarely.  */
static void
handle_other_instance (struct owner *owner, struct owned_upstream *upstream,
                       gint64 now_us)
{
  owner_drop_runs (owner, upstream, now_us);
  if (upstream->instance_start_ms != 0)
    owner_begin_instance (owner, upstream, 0, now_us);
  upstream->poll_due_us = now_us + OWNED_UNRESPONSIVE_POLL_US;
}

/* Starts nothing more there before a poll was answered, which tells that the
   upstream is alive and which instance it is.  */
static void
mark_unconfirmed (struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->state == OWNED_HELD)
    upstream->state = OWNED_UNCONFIRMED;
  upstream->poll_due_us = MIN (upstream->poll_due_us, now_us);
}

/* The start of RUN got no answer and may still be carried out: stops RUN.  */
static void
handle_unanswered_start (struct owner *owner, struct run *run, gint64 now_us)
{
  if (run->state != RUN_STARTING)
    return;
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
      mark_unconfirmed (run->upstream, now_us);
      handle_unanswered_start (owner, run, now_us);
      break;
    case ORDER_INVALID:
      owner_end_run (owner, run, RUN_FAILED, now_us);
      break;
    case ORDER_UNHEALTHY:
    case ORDER_NOT_SENT:
      owned_start_rest (run->upstream, now_us);
      mark_unconfirmed (run->upstream, now_us);
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
    answer_time_note (&upstream->start_answers, now_us - run->started_us);
  if (run != NULL)
    apply_start_result (owner, run, end, now_us);
  owner_update_start_check (upstream, now_us);
  if (end == ORDER_OTHER_INSTANCE)
    handle_other_instance (owner, upstream, now_us);
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

/* A run has ended with success of which no task waits here any more: it
   counted as lost, and may since be listed as foreign.  */
static void
end_unknown_success (struct owner *owner, struct run *run,
                     const struct listed_end *end, gint64 now_us)
{
  if (run != NULL)
    owner_end_run (owner, run, RUN_DONE, now_us);
  owner_accept_late_success (owner, end->name, end->run_number);
}

static void
process_ended_runs (struct owner *owner, struct owned_upstream *upstream,
                    const struct upstream_report *report, gint64 now_us)
{
  for (guint i = 0; i < report->n_ended; i++)
    {
      const struct listed_end *end = &report->ended[i];
      struct run *run;

      if (end->entry_number <= upstream->last_ended_entry)
        continue;
      upstream->last_ended_entry = end->entry_number;
      upstream->last_end_us = now_us;
      run = owned_find_run (upstream, end->name, end->run_number);
      if (end->end == RUN_DONE && (run == NULL || run->task == NULL))
        end_unknown_success (owner, run, end, now_us);
      else if (run != NULL)
        owner_end_run (owner, run, end->end, now_us);
    }
}

/* Records that RUN is listed, and when its progress has changed.  */
static void
note_progress (struct run *run, guint percent, gint64 now_us)
{
  run->listed_us = now_us;
  if (percent == run->percent)
    return;
  run->percent = percent;
  run->progressed_us = now_us;
}

static void
process_running_runs (struct owner *owner, struct owned_upstream *upstream,
                      const struct upstream_report *report, gint64 now_us)
{
  for (guint i = 0; i < report->n_running; i++)
    {
      const struct listed_run *listed = &report->running[i];
      struct run *run
          = owned_find_run (upstream, listed->name, listed->run_number);

      if (run == NULL)
        {
          /* A foreign run: stops it, since no task here wants its result.  */
          run = run_new (upstream, NULL, listed->name, listed->run_number);
          run->started_us = now_us;
          run->progressed_us = now_us;
          owner_stop_run (owner, run, now_us);
        }
      if (run->state == RUN_STARTING)
        run->state = RUN_RUNNING;
      run->is_confirmed = TRUE;
      run->last_listed_poll = upstream->last_answered_poll;
      note_progress (run, listed->percent, now_us);
    }
}

/* Whether the answer just received proves that RUN is not running and can't
   start any more.  */
static gboolean
is_absent (const struct run *run, gint64 now_us)
{
  const struct owned_upstream *upstream = run->upstream;

  if (run->last_listed_poll == upstream->last_answered_poll
      || run->visible_after_poll >= upstream->last_answered_poll)
    return FALSE;
  switch (run->state)
    {
    case RUN_RUNNING:
      return TRUE;
    case RUN_STOPPING:
      return run->is_stop_acknowledged || run->is_foreign
             || (run->start_expires_us != 0
                 && run->start_expires_us < upstream->polled_us);
    default:
      return FALSE;
    }
}

static void
drop_absent_runs (struct owner *owner, struct owned_upstream *upstream,
                  gint64 now_us)
{
  struct list_node *node = upstream->runs.next;

  while (node != &upstream->runs)
    {
      struct run *run = list_entry (node, struct run, link);

      if (!is_absent (run, now_us))
        {
          node = node->next;
          continue;
        }
      owner_end_run (owner, run, RUN_LOST, now_us);
      node = upstream->runs.next;
    }
}

/* A new instance may have carried out orders meant for the former one, with
   lease ends that are not known: assumes the longest lease.  */
static void
note_unknown_leases (const struct owner *owner,
                     struct owned_upstream *upstream)
{
  if (upstream->leased_until_ms == 0 && !list_is_empty (&upstream->runs))
    upstream->leased_until_ms
        = upstream->clock_ms + owner->limits.max_lease_ms;
}

/* Updates UPSTREAM and its runs from the answer to a poll, and sets the time
   of the next poll.  */
static void
apply_report (struct owner *owner, struct owned_upstream *upstream,
              const struct upstream_report *report, gint64 now_us)
{
  if (report->instance_start_ms != 0 && upstream->instance_start_ms != 0
      && report->instance_start_ms != upstream->instance_start_ms)
    owner_begin_instance (owner, upstream, report->instance_start_ms, now_us);
  if (upstream->instance_start_ms == 0)
    upstream->instance_start_ms = report->instance_start_ms;
  owned_set_clock (upstream, report->clock_ms, now_us);
  note_unknown_leases (owner, upstream);
  if (upstream->state == OWNED_UNRESPONSIVE)
    report_health (owner, upstream, HEALTH_EVENT_RECOVERED);
  upstream->state = owned_is_stale (upstream) ? OWNED_UNCONFIRMED : OWNED_HELD;
  process_ended_runs (owner, upstream, report, now_us);
  process_running_runs (owner, upstream, report, now_us);
  drop_absent_runs (owner, upstream, now_us);
  if (!list_is_empty (&upstream->runs) && !owned_is_stale (upstream))
    upstream->poll_due_us
        = now_us + (report->n_ended > 0 ? END_POLL_DELAY_US : 0);
  else if (!list_is_empty (&upstream->runs)
           || upstream->last_ended_entry > upstream->acked_ended_entry
           || owned_is_stale (upstream))
    upstream->poll_due_us = now_us;
  else
    upstream->poll_due_us = now_us + IDLE_POLL_INTERVAL_US;
}

/* Processes the successful runs in a report of a former instance, whose
   entries were numbered anew since.  */
static void
process_successes (struct owner *owner, struct owned_upstream *upstream,
                   const struct upstream_report *report, gint64 now_us)
{
  for (guint i = 0; i < report->n_ended; i++)
    {
      const struct listed_end *end = &report->ended[i];
      struct run *run = owned_find_run (upstream, end->name, end->run_number);

      if (end->end != RUN_DONE)
        continue;
      if (run != NULL && run->task != NULL)
        owner_end_run (owner, run, RUN_DONE, now_us);
      else
        end_unknown_success (owner, run, end, now_us);
    }
}

/* Processes the ended runs in the answer to a poll that was superseded.  What
   else it tells may be older than what is known.  */
static void
apply_superseded_report (struct owner *owner, struct owned_upstream *upstream,
                         const struct upstream_report *report, gint64 now_us)
{
  if (report->instance_start_ms == upstream->instance_start_ms)
    process_ended_runs (owner, upstream, report, now_us);
  else
    process_successes (owner, upstream, report, now_us);
  owner_finish_release (owner, upstream);
  owner_start_queued (owner, now_us);
  owner_advance (owner, now_us);
}

static void
note_unanswered_poll (struct owner *owner, struct owned_upstream *upstream,
                      gint64 now_us)
{
  if (upstream->unanswered_since_us == 0)
    upstream->unanswered_since_us = now_us;
  mark_unconfirmed (upstream, now_us);
  if (++upstream->n_unanswered_polls < OWNED_MAX_UNANSWERED_POLLS)
    return;
  upstream->poll_due_us = now_us + OWNED_UNRESPONSIVE_POLL_US;
  if (upstream->state != OWNED_UNRESPONSIVE)
    report_health (owner, upstream, HEALTH_EVENT_UNRESPONSIVE);
  upstream->state = OWNED_UNRESPONSIVE;
  owned_start_rest (upstream, now_us);
}

void
owner_poll_ended (struct owner *owner, struct owned_upstream *upstream,
                  guint64 poll, enum order_end end,
                  const struct upstream_report *report, gint64 now_us)
{
  if (upstream->is_removed)
    return;
  if (poll != upstream->n_polls && end != ORDER_FENCED)
    {
      if (end == ORDER_ACCEPTED && report != NULL)
        apply_superseded_report (owner, upstream, report, now_us);
      return;
    }
  upstream->is_polling = FALSE;
  upstream->poll_due_us = DEADLINE_NEVER;
  if (end == ORDER_FENCED)
    {
      owner_drop_fenced_upstream (owner, upstream, now_us);
      return;
    }
  if (end == ORDER_ACCEPTED && report != NULL)
    {
      upstream->last_answered_poll = upstream->n_polls;
      upstream->answered_sent_us = upstream->polled_us;
      upstream->acked_ended_entry = upstream->reported_ended_entry;
      owned_clear_unanswered (upstream);
      apply_report (owner, upstream, report, now_us);
      handle_lost_starts (owner, upstream, now_us);
    }
  else if (end == ORDER_OTHER_INSTANCE)
    handle_other_instance (owner, upstream, now_us);
  else
    note_unanswered_poll (owner, upstream, now_us);
  owner_finish_release (owner, upstream);
  owner_start_queued (owner, now_us);
  owner_advance (owner, now_us);
}

/* When RUN should have ended and its upstream have told so, judged by its
   progress as last listed.  */
static gint64
compute_end_due_us (const struct run *run)
{
  gint64 spent_us = run->listed_us - run->started_us;
  gint64 total_us = run->expected_us;

  if (run->percent >= MIN_PERCENT)
    total_us = spent_us * 100 / run->percent;
  return run->started_us + ANSWER_MARGIN_US
         + (gint64)((gdouble)MAX (total_us, spent_us) * (1 + END_MARGIN));
}

/* When the answer to the start order for RUN is overdue, so that a poll has to
   tell whether the run exists.  */
static gint64
get_answer_due_us (const struct run *run)
{
  return run->started_us
         + answer_time_get_timeout_us (&run->upstream->start_answers);
}

/* Whether news of RUN is overdue.  */
static gboolean
is_overdue (const struct run *run, gint64 now_us)
{
  switch (run->state)
    {
    case RUN_STARTING:
      return get_answer_due_us (run) <= now_us;
    case RUN_RUNNING:
      return run->task != NULL && compute_end_due_us (run) < now_us;
    case RUN_STOPPING:
      return run->is_stop_acknowledged && run->last_listed_poll == 0;
    default:
      return FALSE;
    }
}

gboolean
owner_expects_news (const struct owned_upstream *upstream, gint64 now_us)
{
  const struct list_node *node;

  for (node = upstream->runs.next; node != &upstream->runs; node = node->next)
    if (is_overdue (list_entry (node, struct run, link), now_us))
      return TRUE;
  return FALSE;
}

void
owner_update_start_check (struct owned_upstream *upstream, gint64 now_us)
{
  const struct list_node *node;

  upstream->start_check_us = DEADLINE_NEVER;
  for (node = upstream->runs.next; node != &upstream->runs; node = node->next)
    {
      const struct run *run = list_entry (node, struct run, link);
      gint64 due_us = get_answer_due_us (run);

      if (run->state == RUN_STARTING && run->last_listed_poll == 0
          && due_us > now_us)
        upstream->start_check_us = MIN (upstream->start_check_us, due_us);
    }
}

/* Asks UPSTREAM for an answer at once.  */
static void
poll_now (struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->is_polling && upstream->is_poll_held)
    upstream->is_polling = FALSE;
  upstream->poll_due_us = MIN (upstream->poll_due_us, now_us);
}

void
owner_check_starts (struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->start_check_us > now_us)
    return;
  if (owner_expects_news (upstream, now_us))
    poll_now (upstream, now_us);
  owner_update_start_check (upstream, now_us);
}

/* Gives up waiting for the answer to a poll that the upstream may hold back,
   if that answer should have come.  */
static void
supersede_poll (struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->is_polling && upstream->is_poll_held
      && upstream->polled_us + ANSWER_MARGIN_US <= now_us
      && owner_expects_news (upstream, now_us))
    poll_now (upstream, now_us);
}

/* Whether the start order for RUN got no answer, and a later poll did not list
   the run.  */
static gboolean
is_start_lost (const struct run *run)
{
  return run->state == RUN_STARTING && run->last_listed_poll == 0
         && run->upstream->last_answered_poll > run->sent_after_poll
         && run->upstream->answered_sent_us >= get_answer_due_us (run);
}

/* Stops the runs whose start orders were lost, as the answer to a poll of
   UPSTREAM has shown.  */
static void
handle_lost_starts (struct owner *owner, struct owned_upstream *upstream,
                    gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &upstream->runs)
    if (is_start_lost (list_entry (node, struct run, link)))
      handle_unanswered_start (owner, list_entry (node, struct run, link),
                               now_us);
}

/* Whether the answers of the upstream show that RUN makes no progress.  The
   silence of an upstream shows nothing.  */
static gboolean
is_stalled (const struct run *run)
{
  gint64 expected_us = (gint64)((gdouble)run->expected_us * STALL_FACTOR);

  return run->listed_us - run->progressed_us > MAX (MIN_STALL_US, expected_us);
}

/* Whether RUN would end sooner if it started again on a usual upstream.  */
static gboolean
is_too_slow (const struct run *run)
{
  gint64 estimate_us = run->task->batch->estimate_us;
  gint64 spent_us = run->listed_us - run->started_us;
  gint64 left_us;

  if (spent_us < MIN_STALL_US || run->percent == 0)
    return FALSE;
  left_us = spent_us * (100 - (gint64)run->percent) / run->percent;
  return run->upstream->slowness > SLOW_FACTOR && left_us > 2 * estimate_us;
}

/* Adds RUN to the speed of its upstream, once, as soon as its progress tells
   how long it takes.  */
static void
record_progress (struct owner *owner, struct run *run, gint64 now_us)
{
  gint64 spent_us = run->listed_us - run->started_us;

  if (!run->is_speed_counted && run->percent >= MIN_PERCENT
      && spent_us >= MIN_SPEED_US)
    add_run_speed (owner, run, spent_us * 100 / run->percent, now_us);
}

/* Counts RUN in the slowness of its upstream, once, as soon as its progress
   shows that it takes far longer than estimated.  */
static void
record_slow_run (struct run *run)
{
  gint64 estimate_us = run->task->batch->estimate_us + SPEED_NOISE_US;
  gint64 spent_us = run->listed_us - run->started_us;
  gint64 total_us;

  if (run->is_slowness_counted || run->percent == 0
      || spent_us < 2 * estimate_us + MIN_STALL_US / 4)
    return;
  total_us = spent_us * 100 / run->percent;
  run->is_slowness_counted = TRUE;
  owned_record_speed (run->upstream, (gdouble)total_us / (gdouble)estimate_us);
}

/* Repeats an overdue stop.  Stops a stalled or slow run, so that its task runs
   again elsewhere.  */
static void
check_run (struct owner *owner, struct run *run, gint64 now_us)
{
  struct batch_task *task = run->task;

  if (run->state == RUN_STOPPING && run->stop_due_us <= now_us
      && !run->is_stop_acknowledged)
    {
      /* owner_stop_run () ignores a run that is stopping.  */
      run->state = RUN_RUNNING;
      owner_stop_run (owner, run, now_us);
      return;
    }
  if (run->state != RUN_RUNNING || task == NULL
      || task->n_restarts >= MAX_RESTARTS)
    return;
  if (owner->limits.placement_by_speed)
    record_progress (owner, run, now_us);
  else
    record_slow_run (run);
  if (!is_stalled (run) && !is_too_slow (run))
    return;
  task->n_restarts++;
  owned_record_failure (run->upstream, now_us);
  owned_start_rest (run->upstream, now_us);
  report_health (owner, run->upstream, HEALTH_EVENT_SLOW);
  owner_stop_run (owner, run, now_us);
}

void
owner_check_runs (struct owner *owner, struct owned_upstream *upstream,
                  gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &upstream->runs)
    check_run (owner, list_entry (node, struct run, link), now_us);
  supersede_poll (upstream, now_us);
  if (upstream->n_unanswered_polls < OWNED_MAX_UNANSWERED_POLLS
      || list_is_empty (&upstream->runs))
    return;
  if (owned_latest_time_us (owner, upstream, upstream->leased_until_ms, now_us)
      < now_us)
    owner_drop_runs (owner, upstream, now_us);
}
