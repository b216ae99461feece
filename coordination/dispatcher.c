#include "coordination/dispatcher.h"

#include "base/clock.h"
#include "coordination/pool.h"

#include <string.h>

/* How often leases and expiry are looked at.  */
#define TICK_US (500 * USEC_PER_MSEC)

/* A tick that comes later than this follows a pause of the process.  */
#define LATE_TICK_US (2 * TICK_US)

/* How long a finished job's answer is kept.  */
#define KEEP_ANSWER_US (120 * USEC_PER_SEC)

struct dispatcher
{
  struct dispatcher_driver *driver;
  GRand *random;
  GHashTable *documents; /* team -> struct document */
  GHashTable *pools;     /* "team/service" -> struct pool */
  struct job_table *jobs;
  GSequence *deadlines; /* struct job by deadline_us */
  guint64 next_token;
  guint n_active;  /* jobs not finished */
  guint n_running; /* tasks that occupy an upstream */
  gint64 tick_due_us;
  gboolean is_draining;
};

struct dispatcher *
dispatcher_new (struct dispatcher_driver *driver,
                const struct dispatcher_config *config)
{
  struct dispatcher *d = g_new0 (struct dispatcher, 1);

  d->driver = driver;
  d->random = g_rand_new_with_seed (config->seed);
  d->documents = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                        (GDestroyNotify)document_unref);
  d->pools = g_hash_table_new_full (g_str_hash, g_str_equal, g_free,
                                    (GDestroyNotify)pool_free);
  d->jobs = job_table_new (config->max_bytes);
  d->deadlines = g_sequence_new (NULL);
  d->next_token = 1;
  return d;
}

void
dispatcher_free (struct dispatcher *d)
{
  g_sequence_free (d->deadlines);
  job_table_free (d->jobs);
  g_hash_table_unref (d->pools);
  g_hash_table_unref (d->documents);
  g_rand_free (d->random);
  g_free (d);
}

static struct pool *
find_pool (struct dispatcher *d, const char *team, const char *service)
{
  g_autofree char *key = g_strconcat (team, "/", service, NULL);

  return g_hash_table_lookup (d->pools, key);
}

static struct pool *
ensure_pool (struct dispatcher *d, const char *team, const char *service)
{
  struct pool *pool = find_pool (d, team, service);

  if (pool == NULL)
    {
      pool = pool_new (team, service);
      g_hash_table_insert (d->pools, g_strconcat (team, "/", service, NULL),
                           pool);
    }
  return pool;
}

static void
schedule_wake (struct dispatcher *d)
{
  GSequenceIter *first = g_sequence_get_begin_iter (d->deadlines);
  gint64 when_us = d->tick_due_us;

  if (!g_sequence_iter_is_end (first))
    {
      struct job *job = g_sequence_get (first);

      when_us = MIN (when_us, job->deadline_us);
    }
  d->driver->ops->wake_at (d->driver, when_us);
}

static struct upstream *
choose_upstream (struct pool *pool, const struct task *task)
{
  struct upstream *best = NULL;

  for (guint i = 0; i < pool->upstreams->len; i++)
    {
      struct upstream *u = g_ptr_array_index (pool->upstreams, i);

      if (upstream_count_free_slots (u) == 0)
        continue;
      if (!shape_fits (&task->need, &u->shape))
        continue;
      if (best == NULL || u->n_running < best->n_running)
        best = u;
    }
  return best;
}

static void
start_task (struct dispatcher *d, struct pool *pool, struct task *task,
            struct upstream *upstream, gint64 now_us)
{
  gint64 lease_us = pool->service->lease_ms * USEC_PER_MSEC;
  struct job *job = job_ref (task->job);

  pool_dequeue (pool, task);
  job->n_queued--;
  job->n_running++;
  job->n_started++;
  task->state = TASK_RUNNING;
  task->upstream = upstream_ref (upstream);
  task->token = d->next_token++;
  task->started_us = now_us;
  task->lease_deadline_us = now_us + lease_us;
  if (upstream->n_running == 0)
    upstream->renew_due_us = now_us + lease_us / 3;
  upstream->n_running++;
  list_append (&upstream->running, &task->upstream_link);
  d->n_running++;
  d->driver->ops->start_task (d->driver, task);
}

/* Starts what can start.  */
static void
serve_pool (struct dispatcher *d, struct pool *pool, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &pool->queue)
    {
      struct task *task = list_entry (node, struct task, queue_link);
      struct upstream *upstream = choose_upstream (pool, task);

      if (upstream == NULL)
        return;
      start_task (d, pool, task, upstream, now_us);
    }
}

void
dispatcher_apply_document (struct dispatcher *d, struct document *document,
                           gint64 now_us)
{
  struct document *former = dispatcher_find_document (d, document->team);
  GHashTableIter iter;
  gpointer value;

  if (former != NULL && former->version >= document->version)
    return;
  for (guint i = 0; i < document->services->len; i++)
    {
      struct service *service = g_ptr_array_index (document->services, i);

      ensure_pool (d, document->team, service->name);
    }
  g_hash_table_replace (d->documents, g_strdup (document->team),
                        document_ref (document));
  g_hash_table_iter_init (&iter, d->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool *pool = value;

      if (!g_str_equal (pool->team, document->team))
        continue;
      pool_apply_document (pool, document);
      serve_pool (d, pool, now_us);
    }
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

static gboolean
check_shapes (struct pool *pool, const struct job *job, GError **error)
{
  for (guint i = 0; i < job->n_tasks; i++)
    {
      gboolean fits = FALSE;

      for (guint u = 0; u < pool->upstreams->len && !fits; u++)
        {
          struct upstream *up = g_ptr_array_index (pool->upstreams, u);

          fits = shape_fits (&job->tasks[i].need, &up->shape);
        }
      if (!fits)
        {
          error_set (error, ERROR_NEVER_RUNS,
                     "task %u fits no upstream of '%s'; ask for less", i,
                     job->service);
          return FALSE;
        }
    }
  return TRUE;
}

static gboolean
admit (struct dispatcher *d, struct pool *pool, struct job *job, gint64 now_us,
       GError **error)
{
  if (d->is_draining)
    {
      error_set (error, ERROR_DRAINING,
                 "this VM is leaving; send the job to another one");
      return FALSE;
    }
  if (pool == NULL || pool->service == NULL)
    {
      error_set (error, ERROR_NOT_FOUND,
                 "team '%s' has no service '%s' in force; check both names",
                 job->team, job->service);
      return FALSE;
    }
  if (job->deadline_us <= now_us)
    {
      error_set (error, ERROR_NOT_RUN,
                 "the job's deadline has passed; send a later one");
      return FALSE;
    }
  if (pool->n_queued + job->n_tasks > pool->service->max_queued_tasks
      || !job_table_has_room (d->jobs, job->bytes))
    {
      error_set (error, ERROR_NOT_RUN,
                 "this VM has too many tasks queued; try again later");
      return FALSE;
    }
  return check_shapes (pool, job, error);
}

static int
compare_deadlines (gconstpointer a, gconstpointer b, gpointer user_data)
{
  const struct job *x = a;
  const struct job *y = b;

  return (x->deadline_us > y->deadline_us) - (x->deadline_us < y->deadline_us);
}

gboolean
dispatcher_submit (struct dispatcher *d, struct job *job, gint64 now_us,
                   GError **error)
{
  struct pool *pool = find_pool (d, job->team, job->service);

  job_update_bytes (job);
  if (!admit (d, pool, job, now_us, error))
    return FALSE;
  job->accepted_us = now_us;
  job_table_add (d->jobs, job);
  job->deadline_iter
      = g_sequence_insert_sorted (d->deadlines, job, compare_deadlines, NULL);
  d->n_active++;
  for (guint i = 0; i < job->n_tasks; i++)
    pool_enqueue (pool, &job->tasks[i]);
  serve_pool (d, pool, now_us);
  if (d->tick_due_us == 0)
    d->tick_due_us = now_us + TICK_US;
  schedule_wake (d);
  return TRUE;
}

gboolean
dispatcher_may_send (const struct dispatcher *d, const struct task *task,
                     gint64 now_us)
{
  if (task->job->state != JOB_ACTIVE || task->job->deadline_us <= now_us)
    return FALSE;
  return task->lease_deadline_us > now_us;
}

static void
drop_queued_tasks (struct dispatcher *d, struct job *job)
{
  struct pool *pool = find_pool (d, job->team, job->service);

  for (guint i = 0; i < job->n_tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_QUEUED)
        continue;
      pool_dequeue (pool, task);
      task->state = TASK_DROPPED;
      job->n_queued--;
    }
}

static void
stop_running_tasks (struct dispatcher *d, struct job *job)
{
  for (guint i = 0; i < job->n_tasks; i++)
    {
      struct task *task = &job->tasks[i];

      if (task->state != TASK_RUNNING || task->is_stop_requested)
        continue;
      task->is_stop_requested = TRUE;
      d->driver->ops->stop_task (d->driver, task);
    }
}

static void
finish_job (struct dispatcher *d, struct job *job, gint64 now_us)
{
  g_sequence_remove (job->deadline_iter);
  job->deadline_iter = NULL;
  job->forget_us = now_us + KEEP_ANSWER_US;
  d->n_active--;
  d->driver->ops->finish_job (d->driver, job);
  job_table_finish (d->jobs, job);
}

/* Fails JOB with an error that ERROR owns from now on.  */
static void
fail_job (struct dispatcher *d, struct job *job, GError *error, gint64 now_us)
{
  job->state = JOB_FAILED;
  job->failure = error;
  drop_queued_tasks (d, job);
  stop_running_tasks (d, job);
  finish_job (d, job, now_us);
}

static GError *
deadline_error (const struct job *job)
{
  GError *error = NULL;

  if (job->n_started == 0)
    error_set (&error, ERROR_NOT_RUN,
               "the deadline passed before any task could start; send a "
               "later deadline or fewer tasks");
  else
    error_set (&error, ERROR_UNKNOWN,
               "the deadline passed while %u of %u tasks were running; check "
               "their effects before you send the job again",
               job->n_running, job->n_tasks);
  return error;
}

static GError *
attempt_error (const struct task *task, const struct attempt_verdict *verdict)
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

static void
leave_upstream (struct dispatcher *d, struct task *task)
{
  struct upstream *upstream = task->upstream;

  list_remove (&task->upstream_link);
  upstream->n_running--;
  task->job->n_running--;
  d->n_running--;
  task->upstream = NULL;
  upstream_unref (upstream);
}

static void
complete_task (struct dispatcher *d, struct task *task, GBytes *output,
               gint64 now_us)
{
  struct job *job = task->job;

  leave_upstream (d, task);
  task->state = TASK_DONE;
  if (job->state != JOB_ACTIVE)
    return;
  task->output = g_bytes_ref (output);
  job->n_done++;
  if (job->n_done < job->n_tasks)
    return;
  job->state = JOB_COMPLETE;
  finish_job (d, job, now_us);
}

static void
move_task (struct dispatcher *d, struct pool *pool, struct task *task)
{
  struct job *job = task->job;

  leave_upstream (d, task);
  job->n_started--;
  task->n_moves++;
  if (job->state != JOB_ACTIVE)
    {
      task->state = TASK_DROPPED;
      return;
    }
  task->state = TASK_QUEUED;
  job->n_queued++;
  pool_enqueue (pool, task);
}

static void
fail_task (struct dispatcher *d, struct task *task,
           const struct attempt_verdict *verdict, gint64 now_us)
{
  struct job *job = task->job;
  GError *error = attempt_error (task, verdict);

  leave_upstream (d, task);
  task->state = TASK_FAILED;
  if (job->state == JOB_ACTIVE)
    fail_job (d, job, error, now_us);
  else
    g_error_free (error);
}

void
dispatcher_report (struct dispatcher *d, struct task *task,
                   enum attempt_end end, GBytes *output, gint64 now_us)
{
  struct attempt_verdict verdict = outcome_judge (end);
  struct job *job = task->job;
  struct pool *pool = find_pool (d, job->team, job->service);

  switch (verdict.verdict)
    {
    case VERDICT_DONE:
      complete_task (d, task, output, now_us);
      break;
    case VERDICT_MOVE:
      move_task (d, pool, task);
      break;
    case VERDICT_FAILED:
    case VERDICT_UNKNOWN:
      fail_task (d, task, &verdict, now_us);
      break;
    }
  job_unref (job);
  serve_pool (d, pool, now_us);
}

void
dispatcher_lease_renewed (struct dispatcher *d, struct upstream *upstream,
                          gint64 deadline_us)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &upstream->running)
    {
      struct task *task = list_entry (node, struct task, upstream_link);

      task->lease_deadline_us = MAX (task->lease_deadline_us, deadline_us);
    }
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
  fail_job (d, job, error, now_us);
  return TRUE;
}

void
dispatcher_set_leaving (struct dispatcher *d, const char *name,
                        gboolean is_leaving, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool *pool = value;

      for (guint i = 0; i < pool->upstreams->len; i++)
        {
          struct upstream *u = g_ptr_array_index (pool->upstreams, i);

          if (g_str_equal (u->name, name))
            u->is_leaving = is_leaving;
        }
      serve_pool (d, pool, now_us);
    }
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

static void
expire_deadlines (struct dispatcher *d, gint64 now_us)
{
  for (;;)
    {
      GSequenceIter *first = g_sequence_get_begin_iter (d->deadlines);
      struct job *job;

      if (g_sequence_iter_is_end (first))
        return;
      job = g_sequence_get (first);
      if (job->deadline_us > now_us)
        return;
      fail_job (d, job, deadline_error (job), now_us);
    }
}

static void
judge_lease (struct dispatcher *d, struct task *task, gint64 now_us)
{
  struct attempt_verdict verdict = outcome_judge (ATTEMPT_LEASE_LAPSED);
  struct job *job = task->job;

  if (task->lease_deadline_us > now_us || job->state != JOB_ACTIVE)
    return;
  fail_job (d, job, attempt_error (task, &verdict), now_us);
}

static void
tend_upstream (struct dispatcher *d, struct upstream *upstream,
               gboolean is_late, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;

  if (upstream->n_running == 0)
    return;
  if (upstream->renew_due_us <= now_us)
    d->driver->ops->renew_leases (d->driver, upstream);
  if (is_late)
    return;
  list_for_each (node, after, &upstream->running)
    judge_lease (d, list_entry (node, struct task, upstream_link), now_us);
}

static void
tick (struct dispatcher *d, gint64 now_us)
{
  gboolean is_late = now_us > d->tick_due_us + LATE_TICK_US;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, d->pools);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct pool *pool = value;

      for (guint i = 0; i < pool->upstreams->len; i++)
        tend_upstream (d, g_ptr_array_index (pool->upstreams, i), is_late,
                       now_us);
    }
  job_table_expire (d->jobs, now_us);
  d->tick_due_us = now_us + TICK_US;
}

void
dispatcher_advance (struct dispatcher *d, gint64 now_us)
{
  expire_deadlines (d, now_us);
  if (now_us >= d->tick_due_us)
    tick (d, now_us);
  schedule_wake (d);
}

struct job_table *
dispatcher_get_jobs (struct dispatcher *d)
{
  return d->jobs;
}
