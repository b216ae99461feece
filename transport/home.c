#include "transport/home.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/event_log.h"
#include "base/machine_limits.h"
#include "base/metrics.h"
#include "protocol/job_id_mac.h"

#include <string.h>

/* The low bits of an incarnation are random, so that processes started in the
   same millisecond differ.  */
#define INCARNATION_RANDOM_BITS 12

/* How often the records of old tickets are dropped.  */
#define TICKET_EXPIRY_INTERVAL_US (10 * USEC_PER_SEC)

/* How often the offset between the wall clock and the monotonic clock is
   measured.  */
#define UNIX_OFFSET_INTERVAL_SEC 1

/* The share of the machine's memory that jobs may take.  */
#define MEMORY_SHARE 4

struct home
{
  struct dispatcher_driver driver;
  struct upstream_client_owner owner;
  const struct settings *settings;
  struct dispatcher *dispatcher;
  struct upstream_client *client;
  guint64 incarnation;
  struct ticket_window *tickets;
  gint64 ticket_expiry_due_us; /* when old records are dropped next */
  const struct peer_mac *mac;  /* NULL when ids carry none */
  gboolean is_configured;
  guint wake_source;
  guint unix_offset_source;
  gint64 wake_us;                  /* when wake_source is due, or 0 */
  void (*drained) (gpointer data); /* NULL unless it is still to be called */
  gpointer drained_data;
  guint drained_source;
  gboolean is_past_drain_deadline;
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

/* Calls drained (), from the main loop, if the drain has nothing left to wait
   for.  */
static void
notify_if_drained (struct home *home)
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

/* The drain's deadline cancels jobs.  Replaces the error of such a job, since
   its caller has not cancelled it.  */
static void
set_drain_deadline_failure (struct job *job)
{
  if (job->failure == NULL || error_get_kind (job->failure) != ERROR_CANCELLED)
    return;
  g_clear_error (&job->failure);
  error_set (&job->failure, ERROR_UNKNOWN,
             "this VM had to stop while %u of %u tasks were started and not "
             "done; check their effects before you submit the job again",
             job->n_started - job->n_done, job->n_tasks);
}

static void
count_finished_job (const struct job *job)
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

  if (home->is_past_drain_deadline)
    set_drain_deadline_failure (job);
  job_build_answer (job);
  count_finished_job (job);
  event_log (EVENT_JOB_FINISHED, "job %s: status %u", job->id,
             job->answer_status);
  list_for_each (node, after, &job->waiters)
    {
      struct job_waiter *waiter = list_entry (node, struct job_waiter, link);

      list_remove (&waiter->link);
      waiter->answer (waiter, job);
    }
  notify_if_drained (home);
}

static gboolean
on_wake (gpointer data)
{
  struct home *home = data;

  home->wake_source = 0;
  home->wake_us = 0;
  dispatcher_run_timers (home->dispatcher, clock_now_us ());
  notify_if_drained (home);
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
count_attempt_end (const struct task *task, enum attempt_end end,
                   gint64 now_us)
{
  if (outcome_classify (end).verdict == VERDICT_NOT_RUN)
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

  count_attempt_end (task, end, now_us);
  dispatcher_report_attempt (home->dispatcher, task, end, output, now_us);
  notify_if_drained (home);
}

static void
owner_leases_renewed (struct upstream_client_owner *owner,
                      struct upstream *upstream, gint64 deadline_us)
{
  struct home *home = home_from_owner (owner);

  dispatcher_note_lease_renewed (home->dispatcher, upstream, deadline_us);
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

/* Shutdown dates are in Unix time.  When the wall clock is stepped, they move
   on the dispatcher's monotonic clock.  */
static void
update_unix_offset (struct home *home)
{
  gint64 now_us = clock_now_us ();

  dispatcher_set_unix_offset (
      home->dispatcher, clock_unix_ms () * USEC_PER_MSEC - now_us, now_us);
}

static gboolean
on_unix_offset_due (gpointer data)
{
  update_unix_offset (data);
  return G_SOURCE_CONTINUE;
}

/* The memory of jobs: what the settings allow, and at most a quarter of the
   machine's.  */
static guint
get_max_bytes (const struct settings *settings)
{
  struct machine_limits limits;

  machine_limits_read (&limits, settings->memory_mb, 0);
  return (guint)MIN (settings->max_state_bytes,
                     limits.memory_bytes / MEMORY_SHARE);
}

struct home *
home_new (const struct settings *settings)
{
  struct home *home = g_new0 (struct home, 1);
  struct dispatcher_config config = {
    .seed = g_random_int (),
    .max_bytes = get_max_bytes (settings),
    .availability_zone = settings->availability_zone,
  };

  home->driver.ops = &driver_ops;
  home->owner.ops = &owner_ops;
  home->settings = settings;
  home->incarnation = choose_incarnation ();
  home->tickets = ticket_window_new ();
  home->client = upstream_client_new (&home->owner);
  home->dispatcher = dispatcher_new (&home->driver, &config);
  update_unix_offset (home);
  home->unix_offset_source = g_timeout_add_seconds (UNIX_OFFSET_INTERVAL_SEC,
                                                    on_unix_offset_due, home);
  return home;
}

void
home_free (struct home *home)
{
  g_source_remove (home->unix_offset_source);
  if (home->wake_source != 0)
    g_source_remove (home->wake_source);
  if (home->drained_source != 0)
    g_source_remove (home->drained_source);
  upstream_client_free (home->client);
  dispatcher_free (home->dispatcher);
  ticket_window_free (home->tickets);
  g_free (home);
}

void
home_set_configured (struct home *home)
{
  home->is_configured = TRUE;
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

void
home_set_mac (struct home *home, const struct peer_mac *mac)
{
  home->mac = mac;
}

gboolean
home_parse_id (const struct home *home, const char *text, struct job_id *id,
               GError **error)
{
  const char *mac = NULL;

  if (!job_id_parse (text, id, &mac, error))
    return FALSE;
  if (job_id_check_mac (home->mac, text, mac))
    return TRUE;
  error_set (error, ERROR_INVALID,
             "this job id was not issued by this deployment; use an id from "
             "the response to POST /v1/tickets or POST /v1/jobs");
  return FALSE;
}

/* Issues the next id, sets SEQUENCE to its sequence number, and returns the id
   with its MAC.  Free with g_free ().  */
static char *
issue_id (struct home *home, guint64 *sequence)
{
  struct job_id id = {
    .incarnation = home->incarnation,
    .deadline_unix_ms = clock_unix_ms () + TICKET_LIFETIME_MS,
  };

  id.sequence = ticket_window_issue (home->tickets, &id.deadline_unix_ms);
  *sequence = id.sequence;
  g_strlcpy (id.vm, home->settings->vm, sizeof id.vm);
  return job_id_sign (home->mac, job_id_format (&id));
}

static void
expire_old_tickets (struct home *home)
{
  gint64 now_us = clock_now_us ();

  if (home->ticket_expiry_due_us > now_us)
    return;
  home->ticket_expiry_due_us = now_us + TICKET_EXPIRY_INTERVAL_US;
  ticket_window_advance (home->tickets, clock_unix_ms ());
}

char *
home_issue_ticket (struct home *home)
{
  guint64 sequence;

  expire_old_tickets (home);
  return issue_id (home, &sequence);
}

gboolean
home_is_earlier_id (const struct home *home, const struct job_id *id)
{
  return id->incarnation != home->incarnation
         && g_str_equal (id->vm, home->settings->vm);
}

gboolean
home_is_own_id (const struct home *home, const struct job_id *id)
{
  return id->incarnation == home->incarnation
         && g_str_equal (id->vm, home->settings->vm);
}

static enum ticket_state
get_ticket_state (const struct home *home, const struct job_id *id)
{
  if (!home_is_own_id (home, id))
    return TICKET_NOT_ISSUED;
  return ticket_window_get_state (home->tickets, id->sequence,
                                  id->deadline_unix_ms, clock_unix_ms ());
}

static void
set_expired_error (GError **error, enum ticket_state state)
{
  if (state == TICKET_USED)
    error_set (error, ERROR_EXPIRED,
               "a job was started under this id, and its answer is no longer "
               "kept; check its effects before you submit it again");
  else
    error_set (error, ERROR_EXPIRED,
               "this id is too old to know whether a job was started under "
               "it; check for its effects before you submit the job again");
}

/* Parses TICKET into ID.  Returns FALSE with ERROR unless it may start a job
   now.  */
static gboolean
check_ticket (struct home *home, const char *ticket, struct job_id *id,
              GError **error)
{
  enum ticket_state state;

  if (!home_parse_id (home, ticket, id, error))
    return FALSE;
  state = get_ticket_state (home, id);
  if (state == TICKET_USABLE)
    return TRUE;
  if (state == TICKET_NOT_ISSUED)
    error_set (error, ERROR_INVALID,
               "this ticket was not issued here; request a new one with POST "
               "/v1/tickets");
  else if (state == TICKET_EXPIRED)
    error_set (
        error, ERROR_NOT_RUN,
        "this ticket is past its deadline and was never used; request a "
        "new one with POST /v1/tickets");
  else
    set_expired_error (error, state);
  return FALSE;
}

/* The job that an earlier submission has started under the same ticket, or
   NULL.  */
static struct job *
find_existing_job (struct home *home, const struct submission *submission)
{
  struct job_table *jobs = dispatcher_get_jobs (home->dispatcher);

  return submission->ticket != NULL ? job_table_find (jobs, submission->ticket)
                                    : NULL;
}

/* Sets the id of the submitted job: the ticket, or a new id.  */
static gboolean
assign_id (struct home *home, const struct submission *submission,
           guint64 *sequence, GError **error)
{
  struct job *job = submission->job;
  struct job_id id;

  g_free (job->id);
  job->id = NULL;
  if (submission->ticket == NULL)
    {
      job->id = issue_id (home, sequence);
      return TRUE;
    }
  if (!check_ticket (home, submission->ticket, &id, error))
    return FALSE;
  *sequence = id.sequence;
  job->id = g_strdup (submission->ticket);
  return TRUE;
}

/* Submits a job whose ticket, if it has one, has not started a job yet.  */
static gboolean
submit_new (struct home *home, struct submission *submission, GError **error)
{
  guint64 sequence = 0;

  expire_old_tickets (home);
  if (!assign_id (home, submission, &sequence, error))
    return FALSE;
  if (!home->is_configured)
    {
      error_set (error, ERROR_NOT_RUN,
                 "this VM has not read the configuration yet; submit the job "
                 "again");
      return FALSE;
    }
  if (!dispatcher_submit (home->dispatcher, submission->job, clock_now_us (),
                          error))
    return FALSE;
  ticket_window_mark_used (home->tickets, sequence);
  return TRUE;
}

struct job *
home_submit_job (struct home *home, struct submission *submission,
                 GError **error)
{
  struct job *existing = find_existing_job (home, submission);
  GError *refusal = NULL;

  if (existing != NULL)
    return existing;
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
home_find_job (struct home *home, const char *id, GError **error)
{
  struct job *job
      = job_table_find (dispatcher_get_jobs (home->dispatcher), id);
  enum ticket_state state = TICKET_NOT_ISSUED;
  struct job_id parsed;

  if (job != NULL)
    return job;
  if (home_parse_id (home, id, &parsed, NULL))
    state = get_ticket_state (home, &parsed);
  if (state == TICKET_USED || state == TICKET_FORGOTTEN)
    set_expired_error (error, state);
  else
    error_set (error, ERROR_NOT_FOUND, "no job was started under this id");
  return NULL;
}

void
home_add_waiter (struct home *home, struct job *job, struct job_waiter *waiter)
{
  if (job->state == JOB_ACTIVE)
    list_append (&job->waiters, &waiter->link);
  else
    waiter->answer (waiter, job);
}

gboolean
home_cancel_job (struct home *home, struct job *job)
{
  return dispatcher_cancel (home->dispatcher, job, clock_now_us ());
}

/* Collects the active jobs before they are ended, since that changes the
   table.  */
static void
collect_active (gpointer key, gpointer value, gpointer data)
{
  struct job *job = value;
  GPtrArray *pending = data;

  if (job->state == JOB_ACTIVE)
    g_ptr_array_add (pending, job_ref (job));
}

void
home_abort_jobs (struct home *home)
{
  struct job_table *jobs = dispatcher_get_jobs (home->dispatcher);
  g_autoptr (GPtrArray) pending
      = g_ptr_array_new_with_free_func ((GDestroyNotify)job_unref);

  home->is_past_drain_deadline = TRUE;
  g_hash_table_foreach (jobs->jobs, collect_active, pending);
  event_log (EVENT_DRAIN_DEADLINE, "%u jobs are still running", pending->len);
  for (guint i = 0; i < pending->len; i++)
    dispatcher_cancel (home->dispatcher, pending->pdata[i], clock_now_us ());
  if (home->drained != NULL && home->drained_source == 0)
    home->drained_source = g_idle_add (call_drained, home);
}

void
home_drain (struct home *home, void (*drained) (gpointer data), gpointer data)
{
  home->drained = drained;
  home->drained_data = data;
  dispatcher_drain (home->dispatcher, clock_now_us ());
  notify_if_drained (home);
}
