#include "coordination/owner_private.h"

/* Tasks of one job that began together end soon after each other: an answer
   with ends is followed by the next ask after this time, which takes them
   together.  */
#define COMPANY_US (8 * USEC_PER_MSEC)

/* An upstream where nothing runs is asked this often, so that a crash is
   noticed before the next life is taken for this one.  */
#define IDLE_ASK_US (1 * USEC_PER_SEC)

/* A stop without an answer is sent again after this.  */
#define STOP_INTERVAL_US (150 * USEC_PER_MSEC)

/* A task whose progress has not been seen to move for this long, or for this
   many times its expected run time, stands still.  */
#define STILL_US (600 * USEC_PER_MSEC)
#define STILL_FACTOR 0.8

/* An upstream this many times slower than expected is left.  */
#define SLOW_FACTOR 2.5

/* Restarts of one task because of slow or hanging upstreams.  */
#define MAX_RESTARTS 3

/* Added to run times before they are compared.  */
#define SPEED_NOISE_US (15 * USEC_PER_MSEC)

/* Run numbers that are left out after an upstream has refused one as old: an
   earlier life of the job may have used them.  */
#define NUMBERS_LEFT_OUT 7

static void
tell_doubt (struct owner *owner, const struct owned *upstream,
            enum owner_health_event doubt)
{
  if (owner->driver->ops->reassessed != NULL)
    owner->driver->ops->reassessed (owner->driver, upstream, doubt);
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

/* Puts TASK, none of whose runs can be there any more, back into the queue. */
static void
requeue (struct owner *owner, struct batch_task *task)
{
  struct batch *batch = task->batch;

  task->state = BATCH_TASK_QUEUED;
  batch->n_queued++;
  owner_place_batch (owner, batch);
}

static void
note_failed (struct owner *owner, struct batch_task *task,
             const struct owned *upstream, gint64 now_us)
{
  struct batch *batch = task->batch;

  task->n_failed++;
  g_free (task->failed_on);
  task->failed_on = g_strdup (upstream->id);
  if (task->n_failed < batch->attempts)
    {
      requeue (owner, task);
      return;
    }
  task->state = BATCH_TASK_FAILED;
  owner_end_batch (owner, batch, BATCH_FAILED, "a task used up its attempts",
                   now_us);
}

static void
end_task (struct owner *owner, struct batch_task *task,
          const struct owned *upstream, enum run_end end, gint64 now_us)
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
  owner_check_batch (owner, batch);
}

static void
learn (struct owner *owner, const struct run *run, enum run_end end,
       gint64 now_us)
{
  gboolean was_resting = run->upstream->rest_until_us > now_us;
  gint64 took_us = now_us - run->started_us + SPEED_NOISE_US;
  gint64 expected_us;

  if (run->task == NULL)
    return;
  expected_us = run->task->batch->estimate_us + SPEED_NOISE_US;
  if (end == RUN_DONE)
    owned_note_done (run->upstream, (gdouble)took_us / (gdouble)expected_us);
  else if (end == RUN_FAILED)
    owned_note_failure (run->upstream, now_us);
  if (!was_resting && run->upstream->rest_until_us > now_us)
    tell_doubt (owner, run->upstream, HEALTH_FAILING);
}

void
owner_end_run (struct owner *owner, struct run *run, enum run_end end,
               gint64 now_us)
{
  struct batch_task *task = run->task;
  struct owned *upstream = run->upstream;

  learn (owner, run, end, now_us);
  if (owner->driver->ops->run_ended != NULL)
    owner->driver->ops->run_ended (owner->driver, run, end);
  run_free (run);
  if (task != NULL)
    end_task (owner, task, upstream, end, now_us);
}

/* The start of RUN had no effect.  */
static void
undo_start (struct owner *owner, struct run *run, guint n_left_out,
            gint64 now_us)
{
  struct batch_task *task = run->task;

  if (task != NULL)
    {
      task->n_runs += n_left_out;
      task->batch->n_started--;
    }
  owner_end_run (owner, run, RUN_STOPPED, now_us);
}

void
owner_lose_runs (struct owner *owner, struct owned *upstream, gint64 now_us)
{
  while (!list_is_empty (&upstream->runs))
    owner_end_run (owner, list_entry (upstream->runs.next, struct run, link),
                   RUN_LOST, now_us);
}

/* Somebody else decides now what runs there, and the fate of these runs is
   not known: their batches end.  */
static void
abandon_runs (struct owner *owner, struct owned *upstream, gint64 now_us)
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
owner_lose_upstream (struct owner *owner, struct owned *upstream,
                     gint64 now_us)
{
  if (upstream->is_removed)
    return;
  upstream->is_removed = TRUE;
  g_hash_table_steal (owner->upstreams, upstream->id);
  abandon_runs (owner, upstream, now_us);
  owner->driver->ops->lost (owner->driver, upstream, TRUE);
  owned_unref (upstream);
  owner_serve (owner, now_us);
}

void
owner_check_released (struct owner *owner, struct owned *upstream)
{
  if (!upstream->is_releasing || upstream->is_removed
      || !list_is_empty (&upstream->runs)
      || upstream->last_seen > upstream->acknowledged)
    return;
  upstream->is_removed = TRUE;
  g_hash_table_steal (owner->upstreams, upstream->id);
  owner->driver->ops->lost (owner->driver, upstream, FALSE);
  owned_unref (upstream);
}

/* Whether RUN was there before the latest life of its upstream began.  An
   order whose run no list has shown yet may have been obeyed by either life.
 */
static gboolean
is_of_former_life (const struct run *run)
{
  return run->is_foreign || run->seen_in != 0;
}

/* What is known of RUN from a former life holds no longer.  */
static void
doubt_run (struct run *run, gint64 now_us)
{
  run->is_stop_acknowledged = FALSE;
  run->stop_due_us = now_us;
  run->void_us = 0;
}

static void
lose_former_runs (struct owner *owner, struct owned *upstream, gint64 now_us)
{
  struct list_node *node = upstream->runs.next;

  while (node != &upstream->runs)
    {
      struct run *run = list_entry (node, struct run, link);

      node = node->next;
      if (!is_of_former_life (run))
        {
          doubt_run (run, now_us);
          continue;
        }
      owner_end_run (owner, run, RUN_LOST, now_us);
      node = upstream->runs.next;
    }
}

void
owner_begin_life (struct owner *owner, struct owned *upstream, gint64 born_ms,
                  gint64 now_us)
{
  upstream->born_ms = born_ms;
  upstream->last_seen = 0;
  upstream->acknowledged = 0;
  upstream->clock_read_us = 0;
  upstream->leased_until_ms = 0;
  upstream->state = OWNED_TAKING;
  upstream->ask_due_us = now_us;
  tell_doubt (owner, upstream, HEALTH_RESTARTED);
  lose_former_runs (owner, upstream, now_us);
}

/* The upstream has refused an order, as it is another one by now.  It will not
   answer to this name any more, most probably, so it is asked rarely.  */
static void
replace_life (struct owner *owner, struct owned *upstream, gint64 now_us)
{
  owner_lose_runs (owner, upstream, now_us);
  if (upstream->born_ms != 0)
    owner_begin_life (owner, upstream, 0, now_us);
  upstream->ask_due_us = now_us + OWNED_SILENT_INTERVAL_US;
}

/* Nothing more is started there before it has told that it lives, and which of
   its lives it is.  */
static void
doubt_upstream (struct owned *upstream, gint64 now_us)
{
  if (upstream->state == OWNED_HELD)
    upstream->state = OWNED_TAKING;
  upstream->ask_due_us = MIN (upstream->ask_due_us, now_us);
}

/* The order for RUN got no answer: it may be carried out later.  */
static void
open_run (struct owner *owner, struct run *run, gint64 now_us)
{
  owned_rest (run->upstream, now_us);
  doubt_upstream (run->upstream, now_us);
  if (owner->driver->ops->unanswered != NULL)
    owner->driver->ops->unanswered (owner->driver, run);
  if (run->state != RUN_STARTING)
    return;
  run->state = RUN_OPEN;
  owner_stop_run (owner, run, now_us);
}

static void
start_ended (struct owner *owner, struct run *run, enum order_end end,
             gint64 now_us)
{
  switch (end)
    {
    case ORDER_ACCEPTED:
      if (run->state == RUN_STARTING)
        run->state = RUN_RUNNING;
      run->is_confirmed = TRUE;
      run->unseen_after = run->upstream->n_asks;
      run->moved_us = now_us;
      break;
    case ORDER_UNANSWERED:
      open_run (owner, run, now_us);
      break;
    case ORDER_INVALID:
      owner_end_run (owner, run, RUN_FAILED, now_us);
      break;
    case ORDER_UNHEALTHY:
    case ORDER_NOT_SENT:
      owned_rest (run->upstream, now_us);
      doubt_upstream (run->upstream, now_us);
      undo_start (owner, run, 0, now_us);
      break;
    default:
      undo_start (owner, run, NUMBERS_LEFT_OUT, now_us);
    }
}

/* Takes the answer to an order.  Returns FALSE when UPSTREAM is not owned, or
   turns out not to be.  */
static gboolean
take_answer (struct owner *owner, struct owned *upstream, enum order_end end,
             gint64 clock_ms, gint64 now_us)
{
  if (upstream->is_removed)
    return FALSE;
  owned_read_clock (upstream, clock_ms, now_us);
  if (end == ORDER_FENCED)
    owner_lose_upstream (owner, upstream, now_us);
  return end != ORDER_FENCED;
}

void
owner_start_ended (struct owner *owner, struct owned *upstream,
                   const char *name, guint number, enum order_end end,
                   gint64 clock_ms, gint64 now_us)
{
  struct run *run;

  if (!take_answer (owner, upstream, end, clock_ms, now_us))
    return;
  run = owned_find_run (upstream, name, number);
  if (run != NULL)
    start_ended (owner, run, end, now_us);
  if (end == ORDER_OTHER_INSTANCE)
    replace_life (owner, upstream, now_us);
  owner_serve (owner, now_us);
  owner_advance (owner, now_us);
}

void
owner_stop_ended (struct owner *owner, struct owned *upstream,
                  const char *name, guint number, enum order_end end,
                  gint64 clock_ms, gint64 now_us)
{
  struct run *run;

  if (!take_answer (owner, upstream, end, clock_ms, now_us))
    return;
  run = owned_find_run (upstream, name, number);
  if (run == NULL || (end != ORDER_ACCEPTED && end != ORDER_REJECTED))
    return;
  run->is_stop_acknowledged = TRUE;
  run->unseen_after = upstream->n_asks;
  upstream->ask_due_us = now_us;
  owner_advance (owner, now_us);
}

static void
take_ends (struct owner *owner, struct owned *upstream,
           const struct upstream_report *report, gint64 now_us)
{
  for (guint i = 0; i < report->n_ended; i++)
    {
      const struct listed_end *end = &report->ended[i];
      struct run *run;

      if (end->number <= upstream->last_seen)
        continue;
      upstream->last_seen = end->number;
      upstream->last_end_us = now_us;
      run = owned_find_run (upstream, end->name, end->run);
      if (run != NULL)
        owner_end_run (owner, run, end->end, now_us);
      else if (end->end == RUN_DONE)
        owner_accept_done (owner, end->name, end->run);
    }
}

/* Judges the speed of an upstream by the progress of a task that runs.  */
static void
note_progress (struct run *run, guint percent, gint64 now_us)
{
  if (percent == run->percent)
    return;
  run->percent = percent;
  run->moved_us = now_us;
}

static void
take_running (struct owner *owner, struct owned *upstream,
              const struct upstream_report *report, gint64 now_us)
{
  for (guint i = 0; i < report->n_running; i++)
    {
      const struct listed_run *listed = &report->running[i];
      struct run *run
          = owned_find_run (upstream, listed->name, listed->number);

      if (run == NULL)
        {
          run = run_new (upstream, NULL, listed->name, listed->number);
          run->started_us = now_us;
          run->moved_us = now_us;
          owner_stop_run (owner, run, now_us);
        }
      if (run->state == RUN_STARTING)
        run->state = RUN_RUNNING;
      run->is_confirmed = TRUE;
      run->seen_in = upstream->n_answered;
      note_progress (run, listed->percent, now_us);
    }
}

/* Whether the list that was just answered proves that RUN is not there and
   never will be.  */
static gboolean
is_absent (const struct run *run, gint64 now_us)
{
  const struct owned *upstream = run->upstream;

  if (run->seen_in == upstream->n_answered
      || run->unseen_after >= upstream->n_answered)
    return FALSE;
  switch (run->state)
    {
    case RUN_RUNNING:
      return TRUE;
    case RUN_STOPPING:
      return run->is_stop_acknowledged || run->is_foreign
             || (run->void_us != 0 && run->void_us < upstream->asked_us);
    default:
      return FALSE;
    }
}

static void
drop_absent (struct owner *owner, struct owned *upstream, gint64 now_us)
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

/* In a new life orders of before, if there are any, have got leases of an
   unknown end.  */
static void
note_leases (const struct owner *owner, struct owned *upstream)
{
  if (upstream->leased_until_ms == 0 && !list_is_empty (&upstream->runs))
    upstream->leased_until_ms
        = upstream->clock_ms + owner->limits.max_lease_ms;
}

static void
take_report (struct owner *owner, struct owned *upstream,
             const struct upstream_report *report, gint64 now_us)
{
  if (report->born_ms != 0 && upstream->born_ms != 0
      && report->born_ms != upstream->born_ms)
    owner_begin_life (owner, upstream, report->born_ms, now_us);
  if (upstream->born_ms == 0)
    upstream->born_ms = report->born_ms;
  owned_read_clock (upstream, report->clock_ms, now_us);
  note_leases (owner, upstream);
  if (upstream->state == OWNED_UNRESPONSIVE)
    tell_doubt (owner, upstream, HEALTH_RECOVERED);
  upstream->state = owned_is_doubted (upstream) ? OWNED_TAKING : OWNED_HELD;
  take_ends (owner, upstream, report, now_us);
  take_running (owner, upstream, report, now_us);
  drop_absent (owner, upstream, now_us);
  if (!list_is_empty (&upstream->runs) && !owned_is_doubted (upstream))
    upstream->ask_due_us = now_us + (report->n_ended > 0 ? COMPANY_US : 0);
  else if (!list_is_empty (&upstream->runs)
           || upstream->last_seen > upstream->acknowledged
           || owned_is_doubted (upstream))
    upstream->ask_due_us = now_us;
  else
    upstream->ask_due_us = now_us + IDLE_ASK_US;
}

static void
note_silence (struct owner *owner, struct owned *upstream, gint64 now_us)
{
  if (upstream->silent_since_us == 0)
    upstream->silent_since_us = now_us;
  doubt_upstream (upstream, now_us);
  if (++upstream->n_silent < OWNED_MAX_SILENT)
    return;
  upstream->ask_due_us = now_us + OWNED_SILENT_INTERVAL_US;
  if (upstream->state != OWNED_UNRESPONSIVE)
    tell_doubt (owner, upstream, HEALTH_UNRESPONSIVE);
  upstream->state = OWNED_UNRESPONSIVE;
  owned_rest (upstream, now_us);
}

void
owner_poll_ended (struct owner *owner, struct owned *upstream,
                  enum order_end end, const struct upstream_report *report,
                  gint64 now_us)
{
  if (upstream->is_removed)
    return;
  upstream->is_polling = FALSE;
  upstream->ask_due_us = DEADLINE_NEVER;
  if (end == ORDER_FENCED)
    {
      owner_lose_upstream (owner, upstream, now_us);
      return;
    }
  if (end == ORDER_ACCEPTED && report != NULL)
    {
      upstream->n_answered = upstream->n_asks;
      upstream->acknowledged = upstream->told_seen;
      owned_note_answer (upstream);
      take_report (owner, upstream, report, now_us);
    }
  else if (end == ORDER_OTHER_INSTANCE)
    replace_life (owner, upstream, now_us);
  else
    note_silence (owner, upstream, now_us);
  owner_check_released (owner, upstream);
  owner_serve (owner, now_us);
  owner_advance (owner, now_us);
}

static gboolean
stands_still (const struct run *run, gint64 now_us)
{
  gint64 expected_us = (gint64)((gdouble)run->expected_us * STILL_FACTOR);

  return now_us - run->moved_us > MAX (STILL_US, expected_us);
}

/* Whether RUN would end sooner if it began anew on a usual upstream.  */
static gboolean
is_too_slow (const struct run *run, gint64 now_us)
{
  gint64 estimate_us = run->task->batch->estimate_us;
  gint64 spent_us = now_us - run->started_us;
  gint64 left_us;

  if (spent_us < STILL_US || run->percent == 0)
    return FALSE;
  left_us = spent_us * (100 - (gint64)run->percent) / run->percent;
  return run->upstream->slowness > SLOW_FACTOR && left_us > 2 * estimate_us;
}

/* Judges an upstream by a task that takes far longer than estimated.  */
static void
judge_speed (struct run *run, gint64 now_us)
{
  gint64 estimate_us = run->task->batch->estimate_us + SPEED_NOISE_US;
  gint64 spent_us = now_us - run->started_us;
  gint64 total_us;

  if (run->is_judged || run->percent == 0
      || spent_us < 2 * estimate_us + STILL_US / 4)
    return;
  total_us = spent_us * 100 / run->percent;
  run->is_judged = TRUE;
  owned_note_done (run->upstream, (gdouble)total_us / (gdouble)estimate_us);
}

static void
watch_run (struct owner *owner, struct run *run, gint64 now_us)
{
  struct batch_task *task = run->task;

  if (run->state == RUN_STOPPING && run->stop_due_us <= now_us
      && !run->is_stop_acknowledged)
    {
      run->state = RUN_RUNNING;
      owner_stop_run (owner, run, now_us);
      return;
    }
  if (run->state != RUN_RUNNING || task == NULL
      || task->n_restarts >= MAX_RESTARTS)
    return;
  judge_speed (run, now_us);
  if (!stands_still (run, now_us) && !is_too_slow (run, now_us))
    return;
  task->n_restarts++;
  owned_note_failure (run->upstream, now_us);
  owned_rest (run->upstream, now_us);
  tell_doubt (owner, run->upstream, HEALTH_SLOW);
  owner_stop_run (owner, run, now_us);
}

void
owner_watch_runs (struct owner *owner, struct owned *upstream, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &upstream->runs)
    watch_run (owner, list_entry (node, struct run, link), now_us);
  if (upstream->n_silent < OWNED_MAX_SILENT || list_is_empty (&upstream->runs))
    return;
  if (owned_latest_us (owner, upstream, upstream->leased_until_ms, now_us)
      < now_us)
    owner_lose_runs (owner, upstream, now_us);
}
