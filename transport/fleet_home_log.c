#include "transport/fleet_home_log.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "base/log_line.h"

#include <string.h>

/* The time since the last beacon of OWNER; 0 for this VM and unknown ones.  */
static gint64
get_age_us (const struct vm_directory *directory,
            const struct spread_owner *owner)
{
  const struct vm *vm = vm_directory_find (directory, owner->name);

  return vm != NULL && !owner->is_self ? clock_now_us () - vm->heard_us : 0;
}

static gint64
get_elapsed_ms (const struct fleet_job *job)
{
  return (clock_now_us () - job->accepted_us) / USEC_PER_MSEC;
}

/* Appends STEP as a word to TRAIL.  Returns FALSE if it does not fit into a
   log line.  */
static gboolean
append_step (GString *trail, const char *step)
{
  if (trail->len + 1 + strlen (step) > LOG_LINE_MAX_TEXT)
    return FALSE;
  if (trail->len > 0)
    g_string_append_c (trail, ' ');
  g_string_append (trail, step);
  return TRUE;
}

/* Appends that OWNER is given N_TASKS tasks or, if IS_OFFER, is offered
   them.  */
static gboolean
append_batch_sent (GString *trail, gint64 elapsed_ms, guint batch,
                   gboolean is_offer, guint n_tasks,
                   const struct spread_owner *owner, gint64 age_us)
{
  g_autofree char *step = g_strdup_printf (
      "%" G_GINT64_FORMAT "%c%u:%s:%u:%u:%u"
      ":%" G_GINT64_FORMAT,
      elapsed_ms, is_offer ? '~' : '+', batch, owner->name, n_tasks,
      owner->free_slots, vm_room_count_ahead (&owner->room, ROOM_PRIORITIES),
      age_us / USEC_PER_MSEC);

  return append_step (trail, step);
}

/* Appends the batches that OWNERS get, numbered from FIRST_NUMBER on.  Returns
   how many of them fit into a log line.  */
static guint
append_first_batches (GString *trail, guint first_number,
                      const struct spread_owner *owners, guint n_owners,
                      const struct vm_directory *directory)
{
  guint n = 0;

  for (guint i = 0; i < n_owners; i++)
    {
      if (owners[i].n_given == 0)
        continue;
      if (!append_batch_sent (trail, 0, first_number + n, FALSE,
                              owners[i].n_given, &owners[i],
                              get_age_us (directory, &owners[i])))
        return n;
      n++;
    }
  return n;
}

guint
fleet_home_log_job_accepted (const struct fleet_job *job,
                             const struct spread_owner *owners, guint n_owners,
                             const struct vm_directory *directory)
{
  const struct fleet_submission *s = job->submission;
  g_autoptr (GString) trail = g_string_new (NULL);
  guint n_logged_parts = append_first_batches (trail, job->first_number,
                                               owners, n_owners, directory);
  gboolean has_label
      = s->required_label != NULL && s->required_label[0] != '\0';

  event_log_fields (
      EVENT_JOB_ACCEPTED, FIELD_TEXT ("job", s->job),
      FIELD_TEXT ("service", s->service), FIELD_INT ("tasks", s->n_tasks),
      FIELD_REAL ("cpus", s->need.cpus),
      FIELD_INT ("memory_mb", s->need.memory_mb),
      FIELD_IF (s->need.accelerators > 0,
                FIELD_INT ("accelerators", s->need.accelerators)),
      FIELD_IF (has_label, FIELD_TEXT ("label", s->required_label)),
      FIELD_IF (s->per_upstream > 0,
                FIELD_INT ("per_upstream", s->per_upstream)),
      FIELD_INT ("estimate_us", s->estimate_us),
      FIELD_INT ("objective_us", s->objective_us),
      FIELD_IF (s->caller_timeout_us > 0,
                FIELD_INT ("timeout_us", s->caller_timeout_us)),
      FIELD_IF (n_logged_parts > 0, FIELD_TEXT ("trail", trail->str)));
  return n_logged_parts;
}

void
fleet_home_log_batch_sent (const struct fleet_part *part,
                           const struct spread_owner *owner,
                           const struct vm_directory *directory)
{
  const struct fleet_job *job = part->job;
  gint64 age_us = get_age_us (directory, owner);
  gboolean is_offer = part->n_offers > 0;
  guint n_tasks = is_offer ? part->offered.n : part->n_tasks;

  if (append_batch_sent (job->trail, get_elapsed_ms (job), part->number,
                         is_offer, n_tasks, owner, age_us))
    return;
  event_log_fields (
      EVENT_BATCH_SENT, FIELD_TEXT ("job", job->submission->job),
      FIELD_INT ("batch", part->number), FIELD_TEXT ("owner", owner->name),
      FIELD_INT ("tasks", n_tasks),
      FIELD_IF (is_offer, FIELD_INT ("offers", part->n_offers)),
      FIELD_INT ("free_slots", owner->free_slots),
      FIELD_INT ("queued",
                 vm_room_count_ahead (&owner->room, ROOM_PRIORITIES)),
      FIELD_INT ("age_us", age_us));
}

void
fleet_home_log_tasks_returned (const struct fleet_part *part, guint n_tasks,
                               const char *self)
{
  const struct fleet_job *job = part->job;
  const char *owner = part->owner != NULL ? part->owner : self;
  g_autofree char *step
      = g_strdup_printf ("%" G_GINT64_FORMAT "-%u:%s:%u", get_elapsed_ms (job),
                         part->number, owner, n_tasks);

  if (n_tasks == 0 || append_step (job->trail, step))
    return;
  event_log_fields (EVENT_TASKS_RETURNED,
                    FIELD_TEXT ("job", job->submission->job),
                    FIELD_INT ("batch", part->number),
                    FIELD_TEXT ("owner", owner), FIELD_INT ("tasks", n_tasks));
}

void
fleet_home_log_tasks_ignored (const struct fleet_part *part, const char *self)
{
  event_log_fields (
      EVENT_TASKS_IGNORED, FIELD_TEXT ("job", part->job->submission->job),
      FIELD_INT ("batch", part->number),
      FIELD_TEXT ("owner", part->owner != NULL ? part->owner : self),
      FIELD_INT ("tasks", part->n_tasks));
}

/* The log field of the steps since the acceptance was logged; left out if
   there are none.  */
static struct event_field
make_trail_field (const struct fleet_job *job)
{
  return FIELD_IF (job->trail->len > 0, FIELD_TEXT ("trail", job->trail->str));
}

/* Writes the line of a job that succeeded, with its objective if that was
   missed.  */
static void
log_done (const struct fleet_job *job, guint status, gint64 took_us)
{
  gint64 objective_us = job->submission->objective_us;

  event_log_fields (
      EVENT_JOB_ANSWERED, FIELD_TEXT ("job", job->submission->job),
      FIELD_INT ("status", status), FIELD_INT ("ms", took_us / USEC_PER_MSEC),
      FIELD_IF (took_us > objective_us,
                FIELD_INT ("objective_ms", objective_us / USEC_PER_MSEC)),
      make_trail_field (job));
}

void
fleet_home_log_job_answered (const struct fleet_job *job,
                             const struct fleet_answer *answer,
                             const char *outcome, guint status, gint64 took_us)
{
  const struct fleet_submission *s = job->submission;
  const struct fleet_refusal *refusal = &job->refusal;
  gboolean is_over_share = refusal->cause == REFUSAL_OVER_SHARE;

  if (answer->outcome == FLEET_DONE)
    {
      log_done (job, status, took_us);
      return;
    }
  event_log_fields (
      answer->outcome == FLEET_NOT_RUN ? EVENT_JOB_TURNED_AWAY
                                       : EVENT_JOB_GIVEN_UP,
      FIELD_TEXT ("job", s->job), FIELD_TEXT ("outcome", outcome),
      FIELD_INT ("status", status), FIELD_TEXT ("reason", answer->reason),
      FIELD_INT ("ms", took_us / USEC_PER_MSEC),
      FIELD_INT ("objective_ms", s->objective_us / USEC_PER_MSEC),
      FIELD_INT ("tasks", s->n_tasks), FIELD_INT ("done", job->done.n),
      FIELD_INT ("batches", job->n_parts),
      FIELD_IF (answer->outcome == FLEET_NOT_RUN,
                FIELD_TEXT ("cause", refusal_cause_name (refusal->cause))),
      FIELD_IF (is_over_share, FIELD_TEXT ("caller", s->caller)),
      FIELD_IF (is_over_share, FIELD_INT ("demand_milli_cpus",
                                          refusal->standing.demand_milli)),
      FIELD_IF (is_over_share,
                FIELD_INT ("limit_milli_cpus", refusal->standing.limit_milli)),
      FIELD_IF (is_over_share,
                FIELD_INT ("callers", refusal->standing.n_callers)),
      FIELD_IF (answer->retry_after_ms > 0,
                FIELD_INT ("retry_after_ms", answer->retry_after_ms)),
      make_trail_field (job));
}

void
fleet_home_log_caller_gone (const struct fleet_job *job)
{
  event_log_fields (
      EVENT_CALLER_GONE, FIELD_TEXT ("job", job->submission->job),
      FIELD_INT ("done", job->done.n), FIELD_INT ("ms", get_elapsed_ms (job)),
      make_trail_field (job));
}
