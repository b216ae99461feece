#include "transport/fleet_owner_log.h"

#include "base/clock.h"
#include "base/event_log.h"

#include <string.h>

static const char *
get_run_end_name (enum run_end end)
{
  static const char *const names[]
      = { "done", "failed", "stopped", "lapsed", "lost" };

  return names[end];
}

static const char *
get_batch_end_name (enum batch_end end)
{
  static const char *const names[]
      = { "done", "failed", "no-room", "stopped", "crashed" };

  return names[end];
}

void
batch_tally_clear (struct batch_tally *tally)
{
  run_tally_clear (&tally->done);
  run_tally_clear (&tally->cut_short);
}

void
fleet_owner_log_batch_accepted (const struct batch *batch)
{
  event_log_fields (EVENT_BATCH_TAKEN, FIELD_TEXT ("job", batch->job),
                    FIELD_INT ("batch", batch->number),
                    FIELD_TEXT ("home", batch->home),
                    FIELD_INT ("tasks", batch->n_tasks));
}

void
fleet_owner_log_batch_refused (const char *job, guint number, const char *home,
                               const char *reason)
{
  event_log_fields (EVENT_BATCH_ENDED, FIELD_TEXT ("job", job),
                    FIELD_INT ("batch", number), FIELD_TEXT ("home", home),
                    FIELD_TEXT ("end", "no-room"),
                    FIELD_TEXT ("reason", reason));
}

void
fleet_owner_log_tasks_returned (const struct batch *batch, guint n_tasks)
{
  event_log_fields (
      EVENT_BATCH_RETURNED, FIELD_TEXT ("job", batch->job),
      FIELD_INT ("batch", batch->number), FIELD_INT ("tasks", n_tasks),
      FIELD_INT ("waited_us", clock_now_us () - batch->queued_us));
}

void
fleet_owner_log_batch_ended (const struct batch *batch,
                             const struct batch_tally *tally,
                             gboolean is_remote)
{
  g_autofree char *home = g_strndup (batch->home, strcspn (batch->home, "#"));
  g_autofree char *done = run_tally_format (&tally->done);
  g_autofree char *cut_short = run_tally_format (&tally->cut_short);

  /* The home logs it.  */
  if (batch_is_returned (batch)
      || (batch->n_offers > 0 && batch->first_started_us == 0))
    return;
  event_log_fields (
      EVENT_BATCH_ENDED, FIELD_TEXT ("job", batch->job),
      FIELD_INT ("batch", batch->number),
      FIELD_IF (is_remote, FIELD_TEXT ("home", home)),
      FIELD_IF (batch->n_done < batch->n_tasks,
                FIELD_INT ("tasks", batch->n_tasks)),
      FIELD_IF (batch->n_done < batch->n_tasks,
                FIELD_INT ("done", batch->n_done)),
      FIELD_TEXT ("end", get_batch_end_name (batch->end)),
      FIELD_IF (batch->reason != NULL, FIELD_TEXT ("reason", batch->reason)),
      FIELD_IF (
          batch->first_started_us != 0,
          FIELD_INT ("waited_us", batch->first_started_us - batch->queued_us)),
      FIELD_IF (done != NULL, FIELD_TEXT ("runs", done)),
      FIELD_IF (cut_short != NULL, FIELD_TEXT ("cut_short", cut_short)));
}

void
fleet_owner_log_run_starting (const struct run *run)
{
  event_log_fields (
      EVENT_RUN_STARTED, FIELD_TEXT ("job", run->task->batch->job),
      FIELD_INT ("task", run->task->index), FIELD_INT ("run", run->number),
      FIELD_TEXT ("upstream", run->upstream->id),
      FIELD_INT ("token", run->upstream->token),
      FIELD_INT ("expected_us", run->expected_us));
}

void
fleet_owner_log_run_stopping (const struct run *run)
{
  event_log_fields (EVENT_RUN_STOPPED, FIELD_TEXT ("task", run->name),
                    FIELD_INT ("run", run->number),
                    FIELD_TEXT ("upstream", run->upstream->id),
                    FIELD_INT ("percent", run->percent),
                    FIELD_BOOL ("is_foreign", run->is_foreign));
}

void
fleet_owner_log_run_unanswered (const struct run *run)
{
  const struct batch_task *task = run->task;
  struct event_field job = FIELD_TEXT ("task", run->name);
  struct event_field index = { .key = "" };

  if (task != NULL)
    {
      job = FIELD_TEXT ("job", task->batch->job);
      index = FIELD_INT ("task", task->index);
    }
  event_log_fields (
      EVENT_RUN_UNANSWERED, job, index, FIELD_INT ("run", run->number),
      FIELD_TEXT ("upstream", run->upstream->id),
      FIELD_INT ("token", run->upstream->token),
      FIELD_INT ("ms", (clock_now_us () - run->started_us) / USEC_PER_MSEC));
}

void
fleet_owner_log_upstream_crashed (const struct run *run)
{
  const struct batch_task *task = run->task;

  event_log_fields (
      EVENT_UPSTREAM_CRASHED, FIELD_TEXT ("job", task->batch->job),
      FIELD_INT ("task", task->index), FIELD_INT ("run", run->number),
      FIELD_TEXT ("upstream", run->upstream->id),
      FIELD_INT ("crashes", task->n_crashes),
      FIELD_INT ("ms", task->crash_age_us / USEC_PER_MSEC),
      FIELD_BOOL ("is_suspect", task->is_suspect));
}

/* Why a run did not succeed, for its log line.  */
static const char *
get_retry_reason (const struct run *run, enum run_end end)
{
  if (end != RUN_STOPPED)
    return get_run_end_name (end);
  if (run->state == RUN_STARTING)
    return "refused";
  if (!run->is_confirmed)
    return "unanswered";
  return run->percent == 0 ? "silent" : "slow";
}

/* Logs a run that did not succeed while its batch continues.  */
static void
log_retried (const struct run *run, enum run_end end, gint64 took_us)
{
  event_log_fields (
      EVENT_TASK_RETRIED, FIELD_TEXT ("job", run->task->batch->job),
      FIELD_INT ("task", run->task->index), FIELD_INT ("run", run->number),
      FIELD_TEXT ("upstream", run->upstream->id),
      FIELD_TEXT ("end", get_run_end_name (end)),
      FIELD_TEXT ("reason", get_retry_reason (run, end)),
      FIELD_INT ("ms", took_us / USEC_PER_MSEC),
      FIELD_INT ("expected_ms", run->expected_us / USEC_PER_MSEC),
      FIELD_INT ("percent", run->percent),
      FIELD_REAL ("slowness", run->upstream->slowness));
}

/* Logs a run that has succeeded, or was cut short by the end of its batch.  */
static void
log_run_end (enum event event, const struct run *run, enum run_end end,
             gint64 took_us)
{
  event_log_fields (
      event, FIELD_TEXT ("job", run->task->batch->job),
      FIELD_INT ("task", run->task->index), FIELD_INT ("run", run->number),
      FIELD_TEXT ("upstream", run->upstream->id),
      FIELD_TEXT ("end", get_run_end_name (end)),
      FIELD_INT ("ms", took_us / USEC_PER_MSEC),
      FIELD_INT ("expected_ms", run->expected_us / USEC_PER_MSEC),
      FIELD_INT ("percent", run->percent),
      FIELD_REAL ("slowness", run->upstream->slowness));
}

void
fleet_owner_log_run_ended (const struct run *run, enum run_end end,
                           gint64 took_us, struct batch_tally *tally)
{
  if (end == RUN_DONE)
    {
      run_tally_add (&tally->done, run->upstream->id, took_us);
      log_run_end (EVENT_RUN_ENDED, run, end, took_us);
    }
  else if (run->task->batch->is_ending)
    {
      run_tally_add (&tally->cut_short, run->upstream->id, took_us);
      log_run_end (EVENT_RUN_CUT_SHORT, run, end, took_us);
    }
  else
    log_retried (run, end, took_us);
}

/* Whether EVENT reports the restart of an upstream that was trusted and idle,
   which affects no job and is not logged.  */
static gboolean
is_routine_restart (const struct owned_upstream *upstream,
                    enum owner_health_event event)
{
  return event == HEALTH_EVENT_RESTARTED && !upstream->is_on_probation
         && upstream->n_runs == 0;
}

void
fleet_owner_log_upstream_health (const struct owned_upstream *upstream,
                                 enum owner_health_event event)
{
  /* The log event and the reason, indexed by enum owner_health_event.  */
  static const struct
  {
    enum event log_event;
    const char *reason;
  } health_events[] = {
    { EVENT_UPSTREAM_RESTING, "failed" }, { EVENT_UPSTREAM_RESTING, "slow" },
    { EVENT_UPSTREAM_MUTE, "mute" },      { EVENT_UPSTREAM_BACK, "answered" },
    { EVENT_UPSTREAM_SPEED, "speed" },    { EVENT_UPSTREAM_BACK, "reborn" },
  };

  if (is_routine_restart (upstream, event))
    return;
  event_log_fields (
      health_events[event].log_event, FIELD_TEXT ("upstream", upstream->id),
      FIELD_TEXT ("reason", health_events[event].reason),
      FIELD_INT ("token", upstream->token),
      FIELD_REAL ("failure_share", upstream->failure_share),
      FIELD_REAL ("slowness", upstream->slowness),
      FIELD_INT ("rest_ms", MAX (upstream->rest_until_us - clock_now_us (), 0)
                                / USEC_PER_MSEC),
      FIELD_INT ("runs", upstream->n_runs));
}
