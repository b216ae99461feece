#include "coordination/dispatcher.h"

#include "base/clock.h"
#include "coordination/admission.h"
#include "coordination/dispatcher_private.h"
#include "coordination/host.h"
#include "coordination/job_flow.h"
#include "coordination/leases.h"
#include "coordination/reservation.h"
#include "coordination/rollout.h"
#include "coordination/serve.h"
#include "coordination/shares.h"
#include "coordination/task_flow.h"

#include <string.h>

/* The longest tick period; short leases shorten it.  */
#define TICK_US (500 * USEC_PER_MSEC)

/* A tick that is late by more than this many periods follows a pause of the
   process.  */
#define LATE_TICKS 2

/* A wake-up that is late by more than this follows a pause of the process.  */
#define LATE_WAKE_US (100 * USEC_PER_MSEC)

/* Time after a pause to read the sockets before deadlines are checked.  */
#define RESUME_DELAY_US (20 * USEC_PER_MSEC)

struct dispatcher *
dispatcher_new (struct dispatcher_driver *driver,
                const struct dispatcher_config *config)
{
  struct dispatcher *d = g_new0 (struct dispatcher, 1);

  d->driver = driver;
  d->random = g_rand_new_with_seed (config->seed);
  d->availability_zone = g_strdup (
      config->availability_zone != NULL ? config->availability_zone : "");
  d->documents = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)document_unref);
  d->teams = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    (GDestroyNotify)team_free);
  d->pools = g_hash_table_new_full (g_str_hash, g_str_equal, NULL,
                                    (GDestroyNotify)pool_free);
  d->hosts = host_table_new ();
  d->leaving_names
      = g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL);
  d->jobs = job_table_new (config->max_bytes);
  d->deadlines = g_sequence_new (NULL);
  d->resting_upstreams = g_sequence_new (NULL);
  list_init (&d->busy_upstreams);
  d->vms.n_vms = 1;
  d->next_token = 1;
  d->tick_us = TICK_US;
  d->throttle_retry_us = DEADLINE_NEVER;
  return d;
}

static void
drop_queued_tasks (gpointer key, gpointer value, gpointer user_data)
{
  struct job *job = value;

  for (guint i = 0; i < job->n_tasks; i++)
    {
      if (job->tasks[i].queue_entry != NULL)
        pool_dequeue (job->pool, &job->tasks[i]);
    }
}

void
dispatcher_free (struct dispatcher *d)
{
  g_hash_table_foreach (d->jobs->jobs, drop_queued_tasks, NULL);
  g_sequence_free (d->resting_upstreams);
  g_sequence_free (d->deadlines);
  job_table_free (d->jobs);
  g_hash_table_unref (d->pools);
  g_hash_table_unref (d->teams);
  g_hash_table_unref (d->documents);
  g_hash_table_unref (d->hosts);
  g_hash_table_unref (d->leaving_names);
  g_rand_free (d->random);
  g_free (d->availability_zone);
  g_free (d);
}

struct pool *
dispatcher_find_pool (struct dispatcher *d, const char *team,
                      const char *service)
{
  g_autofree char *key = g_strconcat (team, "/", service, NULL);

  return g_hash_table_lookup (d->pools, key);
}

/* The time at which the next timer is due.  */
static gint64
compute_wake_us (struct dispatcher *d)
{
  GSequenceIter *due = g_sequence_get_begin_iter (d->deadlines);
  GSequenceIter *resting = g_sequence_get_begin_iter (d->resting_upstreams);
  gint64 when_us = MIN (d->tick_due_us, d->throttle_retry_us);

  if (!g_sequence_iter_is_end (due))
    {
      struct job *job = g_sequence_get (due);

      when_us = MIN (when_us, job->due_us);
    }
  if (!g_sequence_iter_is_end (resting))
    {
      struct upstream *upstream = g_sequence_get (resting);

      when_us = MIN (when_us, upstream->health->rest_until_us);
    }
  return when_us;
}

void
dispatcher_update_wakeup (struct dispatcher *d)
{
  gint64 when_us;

  if (d->is_resuming)
    return;
  when_us = compute_wake_us (d);
  if (when_us == d->wake_us)
    return;
  d->wake_us = when_us;
  d->driver->ops->wake_at (d->driver, when_us);
}

/* Schedules the first tick; does nothing once ticks are running.  */
static void
start_ticks (struct dispatcher *d, gint64 now_us)
{
  if (d->tick_due_us == 0)
    d->tick_due_us = now_us + d->tick_us;
}

void
dispatcher_apply_document (struct dispatcher *d, struct document *document,
                           gint64 now_us)
{
  struct document *former = dispatcher_find_document (d, document->team);

  if (former != NULL && former->version >= document->version)
    return;
  start_ticks (d, now_us);
  rollout_apply (d, document, now_us);
  dispatcher_update_wakeup (d);
}

struct document *
dispatcher_find_document (struct dispatcher *d, const char *team)
{
  return g_hash_table_lookup (d->documents, team);
}

GHashTable *
dispatcher_get_documents (struct dispatcher *d)
{
  return d->documents;
}

/* Sorts tasks by estimate, the longest first.  */
static int
compare_estimates (gconstpointer a, gconstpointer b)
{
  const struct task *x = *(struct task *const *)a;
  const struct task *y = *(struct task *const *)b;

  if (x->estimate_us != y->estimate_us)
    return x->estimate_us > y->estimate_us ? -1 : 1;
  return x->index < y->index ? -1 : 1;
}

/* Queues the tasks of JOB, the longest estimate first.  */
static void
enqueue_tasks (struct dispatcher *d, struct job *job)
{
  struct task *tasks[JOB_MAX_TASKS];

  for (guint i = 0; i < job->n_tasks; i++)
    tasks[i] = &job->tasks[i];
  qsort (tasks, job->n_tasks, sizeof tasks[0], compare_estimates);
  for (guint i = 0; i < job->n_tasks; i++)
    pool_enqueue (job->pool, tasks[i], FALSE, d->random);
}

gboolean
dispatcher_submit (struct dispatcher *d, struct job *job, gint64 now_us,
                   GError **error)
{
  struct pool *pool = dispatcher_find_pool (d, job->team, job->service);

  job_update_bytes (job);
  if (!admission_check (d, pool, job, now_us, error))
    return FALSE;
  start_ticks (d, now_us);
  job->pool = pool;
  job->sequence = d->next_sequence++;
  job_table_add (d->jobs, job, now_us);
  pool->team->bytes += job->bytes;
  job_flow_add_deadline (d, job);
  d->n_active++;
  pool_add_queued_work (pool, job, now_us);
  enqueue_tasks (d, job);
  serve_pool (d, pool, now_us);
  dispatcher_update_wakeup (d);
  return TRUE;
}

gboolean
dispatcher_may_send (const struct dispatcher *d, const struct task *task,
                     gint64 now_us)
{
  if (task->job->state != JOB_ACTIVE || task->job->deadline_us <= now_us)
    return FALSE;
  if (task->upstream->is_leaving || task->upstream->is_removed)
    return FALSE;
  return task->lease_deadline_us > now_us;
}

void
dispatcher_report_attempt (struct dispatcher *d, struct task *task,
                           enum attempt_end end, GBytes *output, gint64 now_us)
{
  if (task->state != TASK_RUNNING)
    return;
  task_flow_end_attempt (d, task, end, output, now_us);
  dispatcher_update_wakeup (d);
}

void
dispatcher_note_lease_renewed (struct dispatcher *d, struct upstream *upstream,
                               gint64 deadline_us)
{
  struct list_node *node;
  struct list_node *after;

  if (upstream->health != NULL)
    health_note_renewal_answered (upstream);
  list_for_each (node, after, &upstream->running)
    {
      struct task *task = list_entry (node, struct task, upstream_link);

      if (task->job->state == JOB_ACTIVE && !task->is_lease_refused)
        task->lease_deadline_us = MAX (task->lease_deadline_us, deadline_us);
    }
}

void
dispatcher_note_lease_refused (struct dispatcher *d, struct task *task)
{
  task->is_lease_refused = TRUE;
}

gboolean
dispatcher_cancel (struct dispatcher *d, struct job *job, gint64 now_us)
{
  GError *error = NULL;

  if (job->state != JOB_ACTIVE)
    return FALSE;
  job->is_cancelled = TRUE;
  error_set (&error, job->n_started > 0 ? ERROR_CANCELLED : ERROR_NOT_RUN,
             "the job was cancelled; %u of its tasks had started",
             job->n_started);
  job_flow_fail (d, job, error, now_us);
  dispatcher_update_wakeup (d);
  return TRUE;
}

/* Sets IS_LEAVING on all upstreams called NAME.  Returns those that changed;
   free with g_ptr_array_unref ().  */
static GPtrArray *
mark_leaving (struct dispatcher *d, const char *name, gboolean is_leaving)
{
  GPtrArray *changed = g_ptr_array_new ();
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool *pool = value;

      for (guint i = 0; i < pool->upstreams->len; i++)
        {
          struct upstream *u = g_ptr_array_index (pool->upstreams, i);

          if (!g_str_equal (u->name, name) || u->is_leaving == is_leaving)
            continue;
          u->is_leaving = is_leaving;
          g_ptr_array_add (changed, u);
        }
    }
  return changed;
}

void
dispatcher_set_leaving (struct dispatcher *d, const char *name,
                        gboolean is_leaving, gint64 now_us)
{
  g_autoptr (GPtrArray) changed = mark_leaving (d, name, is_leaving);

  if (is_leaving)
    g_hash_table_add (d->leaving_names, g_strdup (name));
  else
    g_hash_table_remove (d->leaving_names, name);
  for (guint i = 0; i < changed->len; i++)
    {
      struct upstream *upstream = g_ptr_array_index (changed, i);

      pool_update_slots (upstream->pool);
      if (is_leaving)
        serve_requeue_bound_tasks (d, upstream);
      serve_upstream (d, upstream, now_us);
      serve_pool (d, upstream->pool, now_us);
    }
  dispatcher_update_wakeup (d);
}

void
dispatcher_drain (struct dispatcher *d, gint64 now_us)
{
  d->is_draining = TRUE;
}

gboolean
dispatcher_is_draining (const struct dispatcher *d)
{
  return d->is_draining;
}

guint
dispatcher_count_unfinished (const struct dispatcher *d)
{
  return d->n_active + d->n_running;
}

/* The periodic work: shares, reservations, leases and kept answers.  */
static void
run_tick (struct dispatcher *d, gint64 now_us)
{
  gboolean was_paused = now_us > d->tick_due_us + LATE_TICKS * d->tick_us;

  shares_expire (d, now_us);
  reservations_expire (d, now_us);
  leases_update (d, was_paused, now_us);
  job_table_expire (d->jobs, now_us);
  d->tick_due_us = now_us + d->tick_us;
}

/* Whether to handle no timers yet: the process was paused, and its sockets are
   to be read first.  Asks the driver for another call in that case.  */
static gboolean
defer_timers_after_pause (struct dispatcher *d, gint64 now_us)
{
  gboolean was_paused = d->wake_us != 0 && now_us > d->wake_us + LATE_WAKE_US;

  if (!was_paused || d->is_resuming)
    {
      d->is_resuming = FALSE;
      return FALSE;
    }
  d->is_resuming = TRUE;
  d->driver->ops->wake_at (d->driver, now_us + RESUME_DELAY_US);
  return TRUE;
}

void
dispatcher_run_timers (struct dispatcher *d, gint64 now_us)
{
  start_ticks (d, now_us);
  if (defer_timers_after_pause (d, now_us))
    return;
  job_flow_expire (d, now_us);
  serve_rested (d, now_us);
  serve_throttled (d, now_us);
  if (now_us >= d->tick_due_us)
    run_tick (d, now_us);
  d->wake_us = 0;
  dispatcher_update_wakeup (d);
}

struct job_table *
dispatcher_get_jobs (struct dispatcher *d)
{
  return d->jobs;
}
