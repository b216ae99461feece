#include "t/support/decision_world_private.h"

#include <string.h>

void
world_expect (struct world *w, gboolean holds, const char *what)
{
  if (!holds && w->broken == NULL)
    w->broken = what;
}

guint
world_draw (struct world *w, guint n)
{
  return (guint)g_rand_int_range (w->details, 0, (gint)n);
}

guint
world_team_index (const struct job *job)
{
  return (guint)(job->team[1] - '0');
}

/* The quota holds in the second that ends now.  */
static void
check_starts (struct world *w, guint team)
{
  guint n = w->n_starts[team];
  gint64 oldest_us;

  if (n <= QUOTA_STARTS)
    return;
  oldest_us = w->starts[team][(n - 1 - QUOTA_STARTS) % START_RING];
  world_expect (w, oldest_us <= w->now_us - USEC_PER_SEC,
                "starts over the quota");
}

static void
note_start (struct world *w, guint team)
{
  if (team != 0)
    return;
  w->starts[team][w->n_starts[team] % START_RING] = w->now_us;
  w->n_starts[team]++;
  check_starts (w, team);
}

static void
world_start_task (struct dispatcher_driver *driver, struct task *task)
{
  struct world *w = (struct world *)driver;
  struct model_task *model = task->transport_data;
  struct upstream *upstream = task->upstream;
  guint team = world_team_index (task->job);
  guint number = (guint)(upstream->name[1] - '0');

  world_expect (w, model->attempt == ATTEMPT_NONE,
                "a task is started twice at once");
  world_expect (w, !model->may_have_run,
                "a task that may have run is started");
  world_expect (w, model->model->n_answers == 0,
                "a task of an answered job starts");
  world_expect (w, !model->model->is_cancelled,
                "a task of a cancelled job starts");
  world_expect (w, task->token > w->last_token, "the token does not grow");
  world_expect (w, !w->is_leaving[number], "a leaving upstream gets a task");
  world_expect (w, !upstream->is_removed, "a removed upstream gets a task");
  world_expect (w, upstream->n_running <= upstream->slots,
                "too many on an upstream");
  world_expect (w, task->lease_deadline_us > w->now_us,
                "a lease starts lapsed");
  world_expect (w, shape_fits (&task->need, &upstream->shape),
                "it does not fit");
  world_expect (w, shape_fits (&upstream->host->used, &upstream->shape),
                "an upstream gets more than it has");
  w->last_token = task->token;
  model->attempt = ATTEMPT_WAITING;
  model->model->n_in_flight++;
  w->n_running[team]++;
  if (team == 0)
    world_expect (w, w->n_running[team] <= QUOTA_SLOTS,
                  "slots over the quota");
  note_start (w, team);
  g_ptr_array_add (w->in_flight, model);
}

static void
world_stop_task (struct dispatcher_driver *driver, struct task *task)
{
  struct world *w = (struct world *)driver;

  world_expect (w, task->state == TASK_RUNNING,
                "a task that does not run is stopped");
}

static void
world_renew_leases (struct dispatcher_driver *driver,
                    struct upstream *upstream)
{
  struct world *w = (struct world *)driver;

  world_expect (w, upstream->n_running > 0, "leases of no task are renewed");
  g_ptr_array_add (w->renewals, upstream_ref (upstream));
}

static void
check_complete (struct world *w, const struct model_job *model)
{
  for (guint i = 0; i < model->n_tasks; i++)
    {
      const struct task *task = &model->job->tasks[i];

      world_expect (w, task->state == TASK_DONE, "complete without all tasks");
      world_expect (w, task->output == model->tasks[i].output,
                    "a crossed output");
    }
}

static void
check_failed (struct world *w, const struct model_job *model)
{
  const GError *failure = model->job->failure;

  world_expect (w, failure != NULL, "failed without an error");
  if (failure == NULL)
    return;
  if (w->is_paused)
    world_expect (w, strstr (failure->message, "lease") == NULL,
                  "a lease is judged before the sockets were read");
  if (!error_kind_is_not_run (error_get_kind (failure)))
    return;
  for (guint i = 0; i < model->n_tasks; i++)
    {
      world_expect (w, !model->tasks[i].may_have_run,
                    "not-run, but it may have run");
      world_expect (w, model->tasks[i].attempt == ATTEMPT_NONE,
                    "not-run, but an attempt is in flight");
    }
}

static void
world_finish_job (struct dispatcher_driver *driver, struct job *job)
{
  struct world *w = (struct world *)driver;
  struct model_task *first = job->tasks[0].transport_data;
  struct model_job *model = first->model;

  model->n_answers++;
  world_expect (w, model->n_answers == 1, "a second answer");
  if (job->state == JOB_COMPLETE)
    check_complete (w, model);
  else
    check_failed (w, model);
}

static void
world_wake_at (struct dispatcher_driver *driver, gint64 when_us)
{
  struct world *w = (struct world *)driver;

  w->wake_us = when_us;
}

static const struct dispatcher_driver_ops world_ops
    = { world_start_task, world_stop_task, world_renew_leases,
        world_finish_job, world_wake_at };

static void
model_job_free (gpointer data)
{
  struct model_job *model = data;

  for (guint i = 0; i < model->n_tasks; i++)
    g_clear_pointer (&model->tasks[i].output, g_bytes_unref);
  g_free (model->tasks);
  job_unref (model->job);
  g_free (model);
}

static void
add_random_upstream (struct world *w, struct service *service, guint number)
{
  char name[] = { 'u', (char)('0' + number), '\0' };
  /* Two teams share addresses; the third has its own.  */
  g_autofree char *address = g_strdup_printf ("127.0.0.%u:%u", number + 1,
                                              9000 + world_draw (w, 2));
  struct upstream_spec *spec = service_add_upstream (service, name, address);

  g_free (spec->rack);
  spec->rack = g_strdup (number % 2 == 0 ? "r0" : "r1");
  spec->shape.cpus = number < 4 ? 4 : 8;
  spec->shape.memory_mb = 1000;
  spec->shape.accelerators = number == 5 ? 1 : 0;
}

void
world_apply_document (struct world *w, guint team, guint64 version,
                      guint32 upstreams)
{
  static const char *const placements[]
      = { "late-binding", "late-binding", "random", "two-choices",
          "least-outstanding" };
  char name[] = { 't', (char)('0' + team), '\0' };
  struct document *document = document_new (name);
  struct service *service = document_add_service (document, "s");
  struct document *in_force;

  document->version = version;
  document->weight = team + 1;
  document->quota_slots = team == 0 ? QUOTA_SLOTS : 0;
  document->quota_starts_per_second = team == 0 ? QUOTA_STARTS : 0;
  service->slots_per_upstream = SLOTS;
  service->lease_ms = LEASE_MS;
  service->max_queued_tasks = 150;
  g_free (service->placement);
  service->placement
      = g_strdup (placements[world_draw (w, G_N_ELEMENTS (placements))]);
  if (world_draw (w, 8) == 0)
    service->shutdown_unix_ms
        = w->now_us / USEC_PER_MSEC + world_draw (w, 60000) - 10000;
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      if (upstreams >> i & 1)
        add_random_upstream (w, service, i);
    }
  dispatcher_apply_document (w->dispatcher, document, w->now_us);
  w->version[team] = MAX (w->version[team], version);
  in_force = dispatcher_find_document (w->dispatcher, name);
  world_expect (w, in_force->version == w->version[team],
                "a document reverts");
  document_unref (document);
}

struct world *
world_new (guint32 seed)
{
  struct world *w = g_new0 (struct world, 1);
  struct dispatcher_config config = { seed, 400 * 1024, "a" };

  w->driver.ops = &world_ops;
  w->details = g_rand_new_with_seed (seed);
  w->jobs = g_ptr_array_new_with_free_func (model_job_free);
  w->in_flight = g_ptr_array_new ();
  w->renewals
      = g_ptr_array_new_with_free_func ((GDestroyNotify)upstream_unref);
  w->now_us = 100 * USEC_PER_SEC;
  w->dispatcher = dispatcher_new (&w->driver, &config);
  dispatcher_set_unix_offset (w->dispatcher, 0, w->now_us);
  for (guint i = 0; i < N_TEAMS; i++)
    world_apply_document (w, i, 1, 0x3f);
  return w;
}

void
world_free (struct world *w)
{
  g_ptr_array_unref (w->renewals);
  g_ptr_array_unref (w->in_flight);
  for (guint i = 0; i < w->jobs->len; i++)
    {
      struct model_job *model = g_ptr_array_index (w->jobs, i);

      /* The references that running tasks hold.  */
      for (guint t = 0; t < model->n_in_flight; t++)
        job_unref (model->job);
    }
  dispatcher_free (w->dispatcher);
  g_ptr_array_unref (w->jobs);
  g_rand_free (w->details);
  g_free (w);
}

/* The backlogs hold what is queued.  */
static void
check_backlog (struct world *w, struct pool *pool)
{
  gint64 sum_us
      = backlog_sum_us (&pool->backlog_by_key, G_MAXINT64, w->now_us);

  world_expect (w, sum_us == pool->queued_work_us, "a backlog is off");
  world_expect (w, pool->backlog_by_end.overdue_us >= 0,
                "a backlog is negative");
}

/* An upstream that may get a task is found, now or when its rest is over.  */
static void
check_index (struct world *w, const struct pool *pool)
{
  for (guint i = 0; i < pool->upstreams->len; i++)
    {
      const struct upstream *u = g_ptr_array_index (pool->upstreams, i);
      gboolean is_indexed = !list_is_empty (&u->level_link);

      if (u->health->rest_until_us > w->now_us)
        world_expect (w, u->rest_iter != NULL, "an upstream rests for good");
      else if (u->rest_iter == NULL && pool_may_start_on (u, w->now_us)
               && list_is_empty (&u->busy_link))
        world_expect (w, is_indexed, "an idle upstream is forgotten");
    }
}

/* The dispatcher's counts agree with the model.  */
void
world_check_counts (struct world *w)
{
  guint n_active = 0;

  for (guint i = 0; i < w->jobs->len; i++)
    {
      const struct model_job *model = g_ptr_array_index (w->jobs, i);
      const struct job *job = model->job;

      if (job->pool != NULL)
        check_index (w, job->pool);
      if (job->pool != NULL && i == 0)
        check_backlog (w, job->pool);
      n_active += model->n_answers == 0 ? 1 : 0;
      world_expect (w, (job->state == JOB_ACTIVE) == (model->n_answers == 0),
                    "a job's state disagrees with its answer");
      world_expect (w, job->n_running == model->n_in_flight,
                    "n_running is wrong");
      if (job->state == JOB_ACTIVE)
        world_expect (
            w, job->n_queued + job->n_running + job->n_done == job->n_tasks,
            "a task is lost");
    }
  world_expect (w,
                dispatcher_count_unfinished (w->dispatcher)
                    == n_active + w->in_flight->len,
                "the unfinished are counted wrongly");
}
