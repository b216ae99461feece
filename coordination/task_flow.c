#include "coordination/task_flow.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "coordination/host.h"
#include "coordination/job_flow.h"
#include "coordination/placement.h"
#include "coordination/serve.h"

/* Definite refusals of one task before its job is given up, unless they came
   within a time in which slots that others hold become free.  */
#define MAX_MOVES 64
#define MIN_MOVING_US (5 * USEC_PER_SEC)

/* A silent attempt is the upstream's fault after this many estimates.  */
#define SILENCE_FACTOR 4

/* Added to run times before they are compared: what machines and the network
   add to a short task says nothing about its upstream.  */
#define SPEED_NOISE_US (25 * USEC_PER_MSEC)

/* Upstreams of one rack that fail before all of it is suspected.  */
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

static gboolean
is_troubled (const struct upstream *upstream)
{
  const struct upstream_health *health = upstream->health;

  return health->state == HEALTH_PROBATION || health->is_silent
         || health->n_failed_run > 0 || health->n_refused_run > 1;
}

static gboolean
shares_rack (const struct upstream *a, const struct upstream *b)
{
  return a->rack[0] != '\0' && g_str_equal (a->rack, b->rack)
         && g_str_equal (a->availability_zone, b->availability_zone);
}

/* Suspects the rest of UPSTREAM's rack when half of it has trouble.  */
static void
suspect_rack (struct upstream *upstream, gint64 now_us)
{
  GPtrArray *upstreams = upstream->pool->upstreams;
  guint n_all = 0;
  guint n_troubled = 0;

  for (guint i = 0; i < upstreams->len; i++)
    {
      const struct upstream *other = g_ptr_array_index (upstreams, i);

      if (!shares_rack (other, upstream))
        continue;
      n_all++;
      n_troubled += is_troubled (other) ? 1 : 0;
    }
  if (n_troubled < MIN_RACK_FAILURES || 2 * n_troubled < n_all)
    return;
  for (guint i = 0; i < upstreams->len; i++)
    {
      struct upstream *other = g_ptr_array_index (upstreams, i);

      if (!shares_rack (other, upstream))
        continue;
      health_suspect (other);
      pool_update_index (other, now_us);
    }
}

/* Follows up a change of UPSTREAM's health.  */
static void
follow_up (struct dispatcher *d, struct upstream *upstream,
           gboolean is_in_trouble, gint64 now_us)
{
  serve_note_rest (d, upstream, now_us);
  if (!is_in_trouble)
    return;
  if (upstream->pool->placement->binds_early)
    serve_unbind (d, upstream);
  suspect_rack (upstream, now_us);
  pool_count_slots (upstream->pool);
}

void
task_flow_note_failure (struct dispatcher *d, struct upstream *upstream,
                        gint64 now_us)
{
  gboolean is_in_trouble;

  if (upstream->pool == NULL)
    return;
  is_in_trouble
      = health_note_failure (upstream, &upstream->pool->health, now_us);
  follow_up (d, upstream, is_in_trouble, now_us);
}

void
task_flow_blame_overdue (struct dispatcher *d, struct job *job, gint64 now_us)
{
  for (guint i = 0; job->n_running > 0 && i < job->n_tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING)
        continue;
      if (now_us - task->started_us > SILENCE_FACTOR * task->estimate_us)
        task_flow_note_failure (d, task->upstream, now_us);
    }
}

/* How many times slower than expected a task ran.  */
static gdouble
compute_slowness (gint64 run_time_us, gint64 estimate_us)
{
  return (gdouble)(run_time_us + SPEED_NOISE_US)
         / (gdouble)(estimate_us + SPEED_NOISE_US);
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
    estimate_learn (&pool->estimates, task->declared_run_time_us, run_time_us,
                    TRUE);
  if (upstream->health->state == former)
    {
      serve_note_rest (d, upstream, now_us);
      return;
    }
  follow_up (d, upstream, former == HEALTH_NORMAL, now_us);
  pool_count_slots (pool);
}

static void
note_refusal (struct dispatcher *d, struct upstream *upstream,
              enum attempt_end end, gint64 now_us)
{
  gboolean was_sent = end == ATTEMPT_ANSWER_NOT_RUN;
  gboolean is_in_trouble;

  if (upstream->pool == NULL || upstream->is_leaving)
    return;
  is_in_trouble = health_note_refusal (upstream, &upstream->pool->health,
                                       was_sent, now_us);
  follow_up (d, upstream, is_in_trouble, now_us);
}

/* Whether END, of an attempt that did not succeed, tells against the
   upstream.  */
static gboolean
blames_upstream (const struct task *task, enum attempt_end end, gint64 now_us)
{
  gint64 run_time_us = now_us - task->started_us;

  if (task->is_stop_requested)
    return FALSE;
  if (end == ATTEMPT_TIMED_OUT)
    return run_time_us > SILENCE_FACTOR * task->estimate_us;
  return end != ATTEMPT_ANSWER_TOO_LARGE;
}

/* A task that was stopped would have run for longer than it did.  */
static void
learn_from_stop (const struct task *task, gint64 now_us)
{
  struct pool *pool = task->upstream->pool;

  if (pool == NULL || !task->is_stop_requested
      || task->upstream->health->state != HEALTH_NORMAL)
    return;
  estimate_learn (&pool->estimates, task->declared_run_time_us,
                  now_us - task->started_us, FALSE);
}

static void
learn_from_end (struct dispatcher *d, struct task *task, enum attempt_end end,
                enum verdict verdict, gint64 now_us)
{
  switch (verdict)
    {
    case VERDICT_DONE:
      note_success (d, task, now_us);
      break;
    case VERDICT_NOT_RUN:
      /* A cancelled attempt is not sent through no fault of the upstream.  */
      if (end == ATTEMPT_ANSWER_NOT_RUN || task->job->state == JOB_ACTIVE)
        note_refusal (d, task->upstream, end, now_us);
      break;
    case VERDICT_FAILED:
    case VERDICT_UNKNOWN:
      learn_from_stop (task, now_us);
      if (blames_upstream (task, end, now_us))
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
is_refused_for_good (const struct task *task, gint64 now_us)
{
  return task->n_moves >= MAX_MOVES
         && now_us - task->first_refused_us >= MIN_MOVING_US;
}

static void
requeue (struct dispatcher *d, struct task *task, gint64 now_us)
{
  struct job *job = task->job;

  task->state = TASK_QUEUED;
  job->n_queued++;
  pool_uncount_work (job->pool, job);
  job->queued_work_us += task->estimate_us;
  pool_count_work (job->pool, job, now_us);
  if (job->pool->service == NULL)
    job_flow_give_up (d, job, "the service was dropped", now_us);
  else if (is_refused_for_good (task, now_us))
    job_flow_give_up (d, job, "every upstream that was tried refused", now_us);
  else if (!pool_enqueue (job->pool, task, TRUE, d->random))
    job_flow_give_up (d, job, "no upstream of that shape is left", now_us);
  else
    lane_update_job (job);
}

static void
move_task (struct dispatcher *d, struct task *task, gint64 now_us)
{
  struct job *job = task->job;

  job->n_started--;
  if (task->n_moves == 0)
    task->first_refused_us = now_us;
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
      serve_release (d, task, now_us);
      complete_task (d, task, output, now_us);
      break;
    case VERDICT_NOT_RUN:
      event_log (EVENT_TASK_MOVED, "task %s/%u from upstream '%s': %s",
                 task->job->id, task->index, task->upstream->name,
                 verdict->reason);
      serve_release (d, task, now_us);
      move_task (d, task, now_us);
      break;
    case VERDICT_FAILED:
    case VERDICT_UNKNOWN:
      error = task_flow_make_error (task, verdict);
      serve_release (d, task, now_us);
      fail_task (d, task, error, now_us);
      break;
    }
}

void
task_flow_end_attempt (struct dispatcher *d, struct task *task,
                       enum attempt_end end, GBytes *output, gint64 now_us)
{
  struct attempt_verdict verdict = outcome_classify (end);
  struct upstream *offered = task->upstream;
  struct job *job = task->job;
  struct team *team = job->pool->team;

  learn_from_end (d, task, end, verdict.verdict, now_us);
  if (offered->pool == NULL)
    offered = host_find_active (offered->host);
  apply_verdict (d, task, &verdict, output, now_us);
  if (offered != NULL)
    serve_upstream (d, offered, now_us);
  if (verdict.verdict == VERDICT_NOT_RUN)
    serve_pool (d, job->pool, now_us);
  if (team->is_throttled)
    serve_team (d, team, now_us);
  job_unref (job);
}
