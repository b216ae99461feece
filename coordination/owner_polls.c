#include "coordination/owner_private.h"

/* Tasks of one job that started together end soon after each other.  After an
   answer with ended runs the next poll is delayed by this, so that it reports
   further ends together.  */
#define END_POLL_DELAY_US (8 * USEC_PER_MSEC)

/* An upstream where nothing runs is polled this often, so that a crash is
   noticed before the next instance is taken for this one.  */
#define IDLE_POLL_INTERVAL_US (1 * USEC_PER_SEC)

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
    {
      upstream->instance_start_ms = report->instance_start_ms;
      owner_verify_crashes (owner, upstream, now_us);
    }
  owned_set_clock (upstream, report->clock_ms, now_us);
  note_unknown_leases (owner, upstream);
  if (upstream->state == OWNED_UNRESPONSIVE)
    owner_report_health (owner, upstream, HEALTH_EVENT_RECOVERED);
  if (upstream->state == OWNED_UNRESPONSIVE)
    owner_verify_crashes (owner, upstream, now_us);
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
  owner_mark_unconfirmed (upstream, now_us);
  if (++upstream->n_unanswered_polls < OWNED_MAX_UNANSWERED_POLLS)
    return;
  upstream->poll_due_us = now_us + OWNED_UNRESPONSIVE_POLL_US;
  if (upstream->state == OWNED_UNRESPONSIVE)
    return;
  upstream->state = OWNED_UNRESPONSIVE;
  upstream->lost_us = upstream->unanswered_since_us;
  owner_report_health (owner, upstream, HEALTH_EVENT_UNRESPONSIVE);
  owner_poll_domain (owner, upstream, now_us);
  /* One outage is one fault, however many polls it leaves unanswered.  */
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
  upstream->is_poll_repeated = FALSE;
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
      owner_handle_lost_starts (owner, upstream, now_us);
    }
  else if (end == ORDER_OTHER_INSTANCE)
    owner_handle_other_instance (owner, upstream, now_us);
  else
    note_unanswered_poll (owner, upstream, now_us);
  owner_finish_release (owner, upstream);
  owner_start_queued (owner, now_us);
  owner_advance (owner, now_us);
}
