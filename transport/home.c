#include "transport/home.h"

#include "base/clock.h"
#include "base/event_log.h"
#include "base/metrics.h"

#include <string.h>

/* Bits of an incarnation that tell processes started in one millisecond
   apart.  */
#define INCARNATION_RANDOM_BITS 12

struct home
{
  struct dispatcher_driver driver;
  struct upstream_client_owner owner;
  const struct settings *settings;
  struct dispatcher *dispatcher;
  struct upstream_client *client;
  guint64 incarnation;
  guint64 next_sequence;
  guint wake_source;
  gint64 wake_us;
  void (*drained) (gpointer data);
  gpointer drained_data;
  guint drained_source;
};

static struct home *
home_from_driver (struct dispatcher_driver *driver)
{
  return list_entry (driver, struct home, driver);
}

static struct home *
home_from_owner (struct upstream_client_owner *owner)
{
  return list_entry (owner, struct home, owner);
}

static gboolean
call_drained (gpointer data)
{
  struct home *home = data;
  void (*drained) (gpointer data) = home->drained;

  home->drained_source = 0;
  home->drained = NULL;
  drained (home->drained_data);
  return G_SOURCE_REMOVE;
}

static void
check_drained (struct home *home)
{
  if (home->drained == NULL || home->drained_source != 0)
    return;
  if (dispatcher_count_unfinished (home->dispatcher) == 0)
    home->drained_source = g_idle_add (call_drained, home);
}

static void
driver_start_task (struct dispatcher_driver *driver, struct task *task)
{
  struct home *home = home_from_driver (driver);
  struct document *document
      = dispatcher_find_document (home->dispatcher, task->job->team);
  struct service *service
      = document_find_service (document, task->job->service);

  metrics_count (METRIC_TASK_STARTS);
  upstream_client_start (home->client, task, service);
}

static void
driver_stop_task (struct dispatcher_driver *driver, struct task *task)
{
  struct home *home = home_from_driver (driver);

  upstream_client_stop (home->client, task);
}

static void
driver_renew_leases (struct dispatcher_driver *driver,
                     struct upstream *upstream)
{
  struct home *home = home_from_driver (driver);

  upstream_client_renew (home->client, upstream, upstream->lease_ms);
}

static void
count_answer (const struct job *job)
{
  metrics_record (METRIC_JOB_SECONDS, clock_now_us () - job->accepted_us);
  if (job->is_cancelled)
    metrics_count (METRIC_JOBS_CANCELLED);
  if (job->state == JOB_COMPLETE)
    metrics_count (METRIC_JOBS_COMPLETE);
  else
    metrics_count_label (METRIC_JOBS_FAILED, error_get_kind (job->failure));
}

static void
driver_finish_job (struct dispatcher_driver *driver, struct job *job)
{
  struct home *home = home_from_driver (driver);
  struct list_node *node;
  struct list_node *after;

  job_build_answer (job);
  count_answer (job);
  event_log (EVENT_JOB_FINISHED, "job %s: status %u", job->id,
             job->answer_status);
  list_for_each (node, after, &job->waiters)
    {
      struct job_waiter *waiter = list_entry (node, struct job_waiter, link);

      list_remove (&waiter->link);
      waiter->answer (waiter, job);
    }
  check_drained (home);
}

static gboolean
on_wake (gpointer data)
{
  struct home *home = data;

  home->wake_source = 0;
  home->wake_us = 0;
  dispatcher_advance (home->dispatcher, clock_now_us ());
  check_drained (home);
  return G_SOURCE_REMOVE;
}

static void
driver_wake_at (struct dispatcher_driver *driver, gint64 when_us)
{
  struct home *home = home_from_driver (driver);
  gint64 delay_us = MAX (when_us - clock_now_us (), 0);
  guint delay_ms = (guint)MIN (delay_us / USEC_PER_MSEC + 1, (gint64)G_MAXINT);

  if (home->wake_source != 0 && home->wake_us == when_us)
    return;
  if (home->wake_source != 0)
    g_source_remove (home->wake_source);
  home->wake_us = when_us;
  home->wake_source = g_timeout_add (delay_ms, on_wake, home);
}

static const struct dispatcher_driver_ops driver_ops = {
  .start_task = driver_start_task,
  .stop_task = driver_stop_task,
  .renew_leases = driver_renew_leases,
  .finish_job = driver_finish_job,
  .wake_at = driver_wake_at,
};

static gboolean
owner_may_send (struct upstream_client_owner *owner, struct task *task)
{
  struct home *home = home_from_owner (owner);

  return dispatcher_may_send (home->dispatcher, task, clock_now_us ());
}

static void
count_attempt (const struct task *task, enum attempt_end end, gint64 now_us)
{
  if (outcome_judge (end).verdict == VERDICT_MOVE)
    metrics_count (METRIC_TASK_MOVES);
  else
    metrics_record (METRIC_TASK_SECONDS, now_us - task->started_us);
  if (end == ATTEMPT_ANSWER_NOT_RUN)
    metrics_count (METRIC_TASK_REFUSALS);
}

static void
owner_attempt_ended (struct upstream_client_owner *owner, struct task *task,
                     enum attempt_end end, GBytes *output)
{
  struct home *home = home_from_owner (owner);
  gint64 now_us = clock_now_us ();

  count_attempt (task, end, now_us);
  dispatcher_report (home->dispatcher, task, end, output, now_us);
  check_drained (home);
}

static void
owner_leases_renewed (struct upstream_client_owner *owner,
                      struct upstream *upstream, gint64 deadline_us)
{
  struct home *home = home_from_owner (owner);

  dispatcher_lease_renewed (home->dispatcher, upstream, deadline_us);
}

static const struct upstream_client_owner_ops owner_ops = {
  .may_send = owner_may_send,
  .attempt_ended = owner_attempt_ended,
  .leases_renewed = owner_leases_renewed,
};

static guint64
choose_incarnation (void)
{
  guint64 random = g_random_int () & ((1u << INCARNATION_RANDOM_BITS) - 1);

  return ((guint64)clock_unix_ms () << INCARNATION_RANDOM_BITS) | random;
}

struct home *
home_new (const struct settings *settings)
{
  struct home *home = g_new0 (struct home, 1);
  struct dispatcher_config config = {
    .seed = g_random_int (),
    .max_bytes = settings->max_state_bytes,
    .availability_zone = settings->availability_zone,
  };

  home->driver.ops = &driver_ops;
  home->owner.ops = &owner_ops;
  home->settings = settings;
  home->incarnation = choose_incarnation ();
  home->next_sequence = 1;
  home->client = upstream_client_new (&home->owner);
  home->dispatcher = dispatcher_new (&home->driver, &config);
  return home;
}

void
home_free (struct home *home)
{
  if (home->wake_source != 0)
    g_source_remove (home->wake_source);
  if (home->drained_source != 0)
    g_source_remove (home->drained_source);
  upstream_client_free (home->client);
  dispatcher_free (home->dispatcher);
  g_free (home);
}

struct dispatcher *
home_get_dispatcher (struct home *home)
{
  return home->dispatcher;
}

struct upstream_client *
home_get_upstream_client (struct home *home)
{
  return home->client;
}

guint64
home_get_incarnation (const struct home *home)
{
  return home->incarnation;
}

struct home_load
home_count_load (struct home *home)
{
  struct job_table *jobs = dispatcher_get_jobs (home->dispatcher);
  struct home_load load = { .job_bytes = jobs->bytes };
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, jobs->jobs);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct job *job = value;

      if (job->state == JOB_ACTIVE)
        load.n_active_jobs++;
      load.n_queued_tasks += job->n_queued;
      load.n_running_tasks += job->n_running;
    }
  return load;
}

char *
home_draw_ticket (struct home *home)
{
  struct job_id id = {
    .incarnation = home->incarnation,
    .sequence = home->next_sequence++,
    .deadline_unix_ms = clock_unix_ms () + TICKET_LIFE_MS,
  };

  g_strlcpy (id.vm, home->settings->vm, sizeof id.vm);
  return job_id_format (&id);
}

gboolean
home_owns (const struct home *home, const struct job_id *id)
{
  return id->incarnation == home->incarnation
         && g_str_equal (id->vm, home->settings->vm);
}

/* Checks that a ticket may start a job now.  */
static gboolean
check_ticket (struct home *home, const char *ticket, GError **error)
{
  struct job_id id;

  if (!job_id_parse (ticket, &id, NULL, error))
    return FALSE;
  if (!home_owns (home, &id) || id.sequence >= home->next_sequence)
    {
      error_set (error, ERROR_INVALID,
                 "this ticket was not issued here; draw one with POST "
                 "/v1/tickets");
      return FALSE;
    }
  if (id.deadline_unix_ms < clock_unix_ms ())
    {
      error_set (error, ERROR_EXPIRED,
                 "this ticket is past its deadline, and whether it was used "
                 "is no longer known; check before you send the job again");
      return FALSE;
    }
  return TRUE;
}

/* Submits a job that no former submission under its ticket has started.  */
static gboolean
submit_new (struct home *home, struct submission *submission, GError **error)
{
  struct job *job = submission->job;

  if (submission->ticket != NULL
      && !check_ticket (home, submission->ticket, error))
    return FALSE;
  g_free (job->id);
  job->id = submission->ticket != NULL ? g_strdup (submission->ticket)
                                       : home_draw_ticket (home);
  return dispatcher_submit (home->dispatcher, job, clock_now_us (), error);
}

struct job *
home_submit (struct home *home, struct submission *submission, GError **error)
{
  struct job_table *jobs = dispatcher_get_jobs (home->dispatcher);
  struct job *former = NULL;
  GError *refusal = NULL;

  if (submission->ticket != NULL)
    former = job_table_find (jobs, submission->ticket);
  if (former != NULL)
    return former;
  if (submit_new (home, submission, &refusal))
    {
      metrics_count (METRIC_JOBS_ACCEPTED);
      return submission->job;
    }
  metrics_count_label (METRIC_JOBS_REFUSED, error_get_kind (refusal));
  g_propagate_error (error, refusal);
  return NULL;
}

struct job *
home_find (struct home *home, const char *id, GError **error)
{
  struct job *job
      = job_table_find (dispatcher_get_jobs (home->dispatcher), id);

  if (job == NULL)
    error_set (error, ERROR_NOT_FOUND,
               "there is no such job here, or its answer is no longer kept");
  return job;
}

void
home_wait (struct home *home, struct job *job, struct job_waiter *waiter)
{
  if (job->state == JOB_ACTIVE)
    list_append (&job->waiters, &waiter->link);
  else
    waiter->answer (waiter, job);
}

gboolean
home_cancel (struct home *home, struct job *job)
{
  return dispatcher_cancel (home->dispatcher, job, clock_now_us ());
}

void
home_drain (struct home *home, void (*drained) (gpointer data), gpointer data)
{
  home->drained = drained;
  home->drained_data = data;
  dispatcher_drain (home->dispatcher, clock_now_us ());
  check_drained (home);
}
