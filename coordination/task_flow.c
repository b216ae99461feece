#include "coordination/task_flow.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "coordination/host.h"
#include "coordination/job_flow.h"
#include "coordination/placement.h"
#include "coordination/serve.h"

/* A job fails when one of its tasks was moved this many times, and for at
   least this time since the first one.  Within that time, slots that other VMs
   use may become free.  */
#define MAX_MOVES 64
#define MIN_MOVE_PERIOD_US (5 * USEC_PER_SEC)

/* An attempt without an answer counts as a failure of the upstream when it
   took longer than this multiple of the estimate.  */
#define OVERDUE_FACTOR 4

/* Added to a run time and its estimate before they are compared, since the
   time that machines and the network add to a short task says nothing about
   the speed of its upstream.  */
#define RUN_TIME_NOISE_US (25 * USEC_PER_MSEC)

/* Unhealthy upstreams of one rack needed before the whole rack is limited.  */
#define MIN_RACK_FAILURES 2

GError *
task_flow_make_error (const struct task *task,
                      const struct attempt_verdict *verdict)
{
  enum error_kind kind
      = verdict->verdict == VERDICT_FAILED ? ERROR_FAILED : ERROR_UNKNOWN;
  GError *error = NULL;

  error_set (&error, kind, "task %u on upstream '%s': %s%s", task->index,
             task->upstream->name, verdict->reason,
             task->is_idempotent
                 ? "; the job may be sent again as a new one"
                 : "; check the task's effect before you send it again");
  return error;
}

/* Whether UPSTREAM counts towards the limit of its rack.  One refusal alone is
   normal when other VMs use its slots.  */
static gboolean
is_unhealthy (const struct upstream *upstream)
{
  const struct upstream_health *health = upstream->health;

  return health->state == HEALTH_PROBATION || health->is_silent
         || health->n_consecutive_failures > 0
         || health->n_consecutive_refusals > 1;
}

static gboolean
is_same_rack (const struct upstream *a, const struct upstream *b)
{
  return a->rack[0] != '\0' && g_str_equal (a->rack, b->rack)
         && g_str_equal (a->availability_zone, b->availability_zone);
}

/* Limits all upstreams of UPSTREAM's rack to one task at a time when at least
   half of them, and MIN_RACK_FAILURES, are unhealthy.  */
static void
limit_rack (struct upstream *upstream, gint64 now_us)
{
  GPtrArray *upstreams = upstream->pool->upstreams;
  guint n_all = 0;
  guint n_unhealthy = 0;

  for (guint i = 0; i < upstreams->len; i++)
    {
      const struct upstream *other = g_ptr_array_index (upstreams, i);

      if (!is_same_rack (other, upstream))
        continue;
      n_all++;
      n_unhealthy += is_unhealthy (other) ? 1 : 0;
    }
  if (n_unhealthy < MIN_RACK_FAILURES || 2 * n_unhealthy < n_all)
    return;
  for (guint i = 0; i < upstreams->len; i++)
    {
      struct upstream *other = g_ptr_array_index (upstreams, i);

      if (!is_same_rack (other, upstream))
        continue;
      health_limit_to_one (other);
      pool_update_index (other, now_us);
    }
}

/* Applies a change of UPSTREAM's health to the lanes and indexes.
   IS_NEWLY_UNHEALTHY: it was put on probation or has become unreachable.  */
static void
apply_health_change (struct dispatcher *d, struct upstream *upstream,
                     gboolean is_newly_unhealthy, gint64 now_us)
{
  serve_update_rest (d, upstream, now_us);
  if (!is_newly_unhealthy)
    return;
  if (upstream->pool->placement->binds_early)
    serve_requeue_bound_tasks (d, upstream);
  limit_rack (upstream, now_us);
  pool_update_slots (upstream->pool);
}

void
task_flow_note_failure (struct dispatcher *d, struct upstream *upstream,
                        gint64 now_us)
{
  gboolean is_newly_unhealthy;

  if (upstream->pool == NULL)
    return;
  is_newly_unhealthy
      = health_note_failure (upstream, &upstream->pool->health, now_us);
  apply_health_change (d, upstream, is_newly_unhealthy, now_us);
}

void
task_flow_note_overdue (struct dispatcher *d, struct job *job, gint64 now_us)
{
  for (guint i = 0; job->n_running > 0 && i < job->n_tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING)
        continue;
      if (now_us - task->started_us > OVERDUE_FACTOR * task->estimate_us)
        task_flow_note_failure (d, task->upstream, now_us);
    }
}

/* The run time of a task over its estimate; above 1 when it was slower.  */
static gdouble
compute_slowness (gint64 run_time_us, gint64 estimate_us)
{
  return (gdouble)(run_time_us + RUN_TIME_NOISE_US)
         / (gdouble)(estimate_us + RUN_TIME_NOISE_US);
}

static void
note_success (struct dispatcher *d, struct task *task, gint64 now_us)
{
  struct upstream *upstream = task->upstream;
  struct pool *pool = upstream->pool;
  gint64 run_time_us = now_us - task->started_us;
  enum health_state former;

  if (pool == NULL)
    return;
  former = upstream->health->state;
  health_note_done (upstream, &pool->health, task->started_us,
                    compute_slowness (run_time_us, task->estimate_us), now_us);
  if (upstream->health->state == HEALTH_NORMAL)
    estimate_add_sample (&pool->estimates, task->declared_run_time_us,
                         run_time_us, TRUE);
  if (upstream->health->state == former)
    {
      serve_update_rest (d, upstream, now_us);
      return;
    }
  apply_health_change (d, upstream, former == HEALTH_NORMAL, now_us);
  pool_update_slots (pool);
}

static void
note_refusal (struct dispatcher *d, struct upstream *upstream,
              enum attempt_end end, gint64 now_us)
{
  gboolean was_sent = end == ATTEMPT_ANSWER_NOT_RUN;
  gboolean is_newly_unhealthy;

  if (upstream->pool == NULL || upstream->is_leaving)
    return;
  is_newly_unhealthy = health_note_refusal (upstream, &upstream->pool->health,
                                            was_sent, now_us);
  apply_health_change (d, upstream, is_newly_unhealthy, now_us);
}

/* Whether an attempt that failed or has an unknown outcome counts as a failure
   of the upstream.  */
static gboolean
counts_as_failure (const struct task *task, enum attempt_end end,
                   gint64 now_us)
{
  gint64 run_time_us = now_us - task->started_us;

  if (task->is_stop_requested)
    return FALSE;
  if (end == ATTEMPT_TIMED_OUT)
    return run_time_us > OVERDUE_FACTOR * task->estimate_us;
  return end != ATTEMPT_ANSWER_TOO_LARGE;
}

/* Adds the run time of a task that was stopped, which is shorter than its full
   run would have been, to the estimates.  */
static void
learn_from_stopped_task (const struct task *task, gint64 now_us)
{
  struct pool *pool = task->upstream->pool;

  if (pool == NULL || !task->is_stop_requested
      || task->upstream->health->state != HEALTH_NORMAL)
    return;
  estimate_add_sample (&pool->estimates, task->declared_run_time_us,
                       now_us - task->started_us, FALSE);
}

/* Records the end of an attempt in the upstream's health and the pool's
   estimates.  */
static void
record_verdict (struct dispatcher *d, struct task *task, enum attempt_end end,
                enum verdict verdict, gint64 now_us)
{
  switch (verdict)
    {
    case VERDICT_DONE:
      note_success (d, task, now_us);
      break;
    case VERDICT_NOT_RUN:
      /* When the job has ended, an attempt that was not sent was cancelled
         here.  That is no fault of the upstream.  */
      if (end == ATTEMPT_ANSWER_NOT_RUN || task->job->state == JOB_ACTIVE)
        note_refusal (d, task->upstream, end, now_us);
      break;
    case VERDICT_FAILED:
    case VERDICT_UNKNOWN:
      learn_from_stopped_task (task, now_us);
      if (counts_as_failure (task, end, now_us))
        task_flow_note_failure (d, task->upstream, now_us);
      break;
    }
}

static void
complete_task (struct dispatcher *d, struct task *task, GBytes *output,
               gint64 now_us)
{
  struct job *job = task->job;

  task->state = TASK_DONE;
  if (job->state != JOB_ACTIVE)
    return;
  task->output = g_bytes_ref (output);
  job->n_done++;
  if (job->n_done == job->n_tasks)
    job_flow_complete (d, job, now_us);
}

static gboolean
has_used_up_moves (const struct task *task, gint64 now_us)
{
  return task->n_moves >= MAX_MOVES
         && now_us - task->first_move_us >= MIN_MOVE_PERIOD_US;
}

static void
requeue (struct dispatcher *d, struct task *task, gint64 now_us)
{
  struct job *job = task->job;

  task->state = TASK_QUEUED;
  job->n_queued++;
  pool_remove_queued_work (job->pool, job);
  job->queued_work_us += task->estimate_us;
  pool_add_queued_work (job->pool, job, now_us);
  if (job->pool->service == NULL)
    job_flow_give_up (d, job, "the service was removed from its document",
                      now_us);
  else if (has_used_up_moves (task, now_us))
    job_flow_give_up (d, job, "all upstreams that were tried refused a task",
                      now_us);
  else if (!pool_enqueue (job->pool, task, TRUE, d->random))
    job_flow_give_up (d, job,
                      "no upstream is left that has the resources for a task",
                      now_us);
  else
    lane_update_job (job);
}

/* Requeues TASK, which certainly did not run, unless its job has ended.  */
static void
move_task (struct dispatcher *d, struct task *task, gint64 now_us)
{
  struct job *job = task->job;

  job->n_started--;
  if (task->n_moves == 0)
    task->first_move_us = now_us;
  task->n_moves++;
  if (job->state == JOB_ACTIVE)
    requeue (d, task, now_us);
  else
    task->state = TASK_DROPPED;
}

static void
fail_task (struct dispatcher *d, struct task *task, GError *error,
           gint64 now_us)
{
  struct job *job = task->job;

  task->state = TASK_FAILED;
  if (job->state == JOB_ACTIVE)
    job_flow_fail (d, job, error, now_us);
  else
    g_error_free (error);
}

static void
apply_verdict (struct dispatcher *d, struct task *task,
               const struct attempt_verdict *verdict, GBytes *output,
               gint64 now_us)
{
  GError *error;

  switch (verdict->verdict)
    {
    case VERDICT_DONE:
      serve_release_task (d, task, now_us);
      complete_task (d, task, output, now_us);
      break;
    case VERDICT_NOT_RUN:
      event_log (EVENT_TASK_MOVED, "task %s/%u from upstream '%s': %s",
                 task->job->id, task->index, task->upstream->name,
                 verdict->reason);
      serve_release_task (d, task, now_us);
      move_task (d, task, now_us);
      break;
    case VERDICT_FAILED:
    case VERDICT_UNKNOWN:
      error = task_flow_make_error (task, verdict);
      serve_release_task (d, task, now_us);
      fail_task (d, task, error, now_us);
      break;
    }
}

void
task_flow_end_attempt (struct dispatcher *d, struct task *task,
                       enum attempt_end end, GBytes *output, gint64 now_us)
{
  struct attempt_verdict verdict = outcome_classify (end);
  struct upstream *freed = task->upstream;
  struct job *job = task->job;
  struct team *team = job->pool->team;

  record_verdict (d, task, end, verdict.verdict, now_us);
  if (freed->pool == NULL)
    freed = host_find_active (freed->host);
  apply_verdict (d, task, &verdict, output, now_us);
  if (freed != NULL)
    serve_upstream (d, freed, now_us);
  if (verdict.verdict == VERDICT_NOT_RUN)
    serve_pool (d, job->pool, now_us);
  if (team->is_throttled)
    serve_team (d, team, now_us);
  job_unref (job);
}
