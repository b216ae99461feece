#include "coordination/owner_private.h"

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

/* A start without an answer counts as lost when this number of polls, each
   sent after the answer to the one before, did not list the run.  The first
   may have overtaken the start: an upstream that is scheduled late finds both
   at once, on different connections.  */
#define LOST_START_POLLS 2

/* The margin for the end of a run, as a fraction of its time up to then.  */
#define END_MARGIN 0.1

/* Progress of less than this many percent does not tell when a run will
   end.  */
#define MIN_PERCENT 10

/* A run that is as long as an upstream may hold back the answer to a poll
   tells its time by its progress, before it ends.  */
#define MIN_SPEED_US (200 * USEC_PER_MSEC)

/* Added to run times before they are compared, so that measuring noise counts
   little for short tasks.  */
#define SPEED_NOISE_US (15 * USEC_PER_MSEC)

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

/* When the answer to the start order for RUN is overdue.  */
static gint64
get_answer_due_us (const struct run *run)
{
  return run->sent_us
         + answer_time_get_timeout_us (&run->upstream->start_answers);
}

/* When a poll has to tell whether RUN, whose start order has no answer yet,
   exists.  */
static gint64
get_check_due_us (const struct run *run)
{
  if (run->n_unlisted_polls > 0)
    return get_answer_due_us (run);
  return run->sent_us
         + answer_time_get_check_us (&run->upstream->start_answers);
}

/* Whether news of RUN is overdue.  */
static gboolean
is_overdue (const struct run *run, gint64 now_us)
{
  switch (run->state)
    {
    case RUN_STARTING:
      return get_check_due_us (run) <= now_us;
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
      gint64 due_us = get_check_due_us (run);

      if (due_us <= now_us)
        due_us = get_answer_due_us (run);
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

/* Gives up waiting for a poll of UPSTREAM that should have been answered at
   once, if that takes longer than usual.  Does so once until one is answered
   or has timed out, so that silence is noticed.  */
static void
repeat_poll (struct owned_upstream *upstream, gint64 now_us)
{
  gint64 usual_us = answer_time_get_check_us (&upstream->start_answers);

  if (!upstream->is_polling || upstream->is_poll_held
      || upstream->is_poll_repeated || upstream->polled_us + usual_us > now_us)
    return;
  upstream->is_polling = FALSE;
  upstream->is_poll_repeated = TRUE;
}

void
owner_check_starts (struct owned_upstream *upstream, gint64 now_us)
{
  if (upstream->start_check_us > now_us)
    return;
  if (owner_expects_news (upstream, now_us))
    {
      repeat_poll (upstream, now_us);
      poll_now (upstream, now_us);
    }
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

/* Whether the start order for RUN got no answer, and enough later polls did
   not list the run.  */
static gboolean
is_start_lost (const struct run *run)
{
  return run->n_unlisted_polls >= LOST_START_POLLS
         && run->upstream->answered_sent_us >= get_answer_due_us (run);
}

/* Counts the answer to the latest poll for RUN, if it should have listed
   it.  */
static gboolean
note_unlisted (struct run *run)
{
  if (run->state != RUN_STARTING || run->last_listed_poll != 0
      || run->upstream->last_answered_poll <= run->sent_after_poll)
    return FALSE;
  run->n_unlisted_polls++;
  return TRUE;
}

/* Stops the runs whose start orders were lost, as the answer to a poll of
   UPSTREAM has shown.  */
void
owner_handle_lost_starts (struct owner *owner, struct owned_upstream *upstream,
                          gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &upstream->runs)
    {
      struct run *run = list_entry (node, struct run, link);

      if (note_unlisted (run) && is_start_lost (run))
        owner_handle_unanswered_start (owner, run, now_us);
    }
  owner_update_start_check (upstream, now_us);
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
    owner_add_run_speed (owner, run, spent_us * 100 / run->percent, now_us);
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
  owner_report_health (owner, run->upstream, HEALTH_EVENT_SLOW);
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
    {
      owner_note_crash (owner, upstream);
      owner_drop_runs (owner, upstream, now_us);
    }
}
