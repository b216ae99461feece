#include "t/support/decision_world_private.h"

static struct model_job *
make_job (struct world *w)
{
  static const guint sizes[] = { 1, 1, 1, 2, 3, 5, 8, 130 };
  struct model_job *model = g_new0 (struct model_job, 1);
  guint n_tasks = sizes[world_draw (w, G_N_ELEMENTS (sizes))];
  char team[] = { 't', (char)('0' + world_draw (w, N_TEAMS)), '\0' };
  g_autofree char *id = g_strdup_printf ("j%u", w->n_submitted++);

  model->job = job_new (id, team, "s", n_tasks);
  model->n_tasks = n_tasks;
  model->tasks = g_new0 (struct model_task, n_tasks);
  if (world_draw (w, 3) != 0)
    model->job->deadline_us = w->now_us + world_draw (w, 6000) * USEC_PER_MSEC;
  for (guint i = 0; i < n_tasks; i++)
    {
      struct task *task = &model->job->tasks[i];

      model->tasks[i].model = model;
      model->tasks[i].task = task;
      task->transport_data = &model->tasks[i];
      task->is_idempotent = world_draw (w, 2) == 0;
      task->need.cpus = world_draw (w, 10) == 0 ? 1 + world_draw (w, 10) : 0;
      task->need.accelerators = world_draw (w, 20) == 0 ? 1 : 0;
      task->declared_run_time_us = world_draw (w, 1000) * USEC_PER_MSEC;
    }
  return model;
}

static void
step_submit (struct world *w)
{
  struct model_job *model;
  g_autoptr (GError) error = NULL;

  if (w->jobs->len >= MAX_LIVE_JOBS)
    return;
  model = make_job (w);
  /* Added before, since tasks start within the call.  */
  g_ptr_array_add (w->jobs, model);
  if (dispatcher_submit (w->dispatcher, model->job, w->now_us, &error))
    {
      world_expect (w, !w->is_draining, "a job is accepted while draining");
      return;
    }
  world_expect (w,
                error_kind_is_not_run (error_get_kind (error))
                    || error_get_kind (error) == ERROR_NOT_FOUND,
                "a refusal that does not say not-run");
  world_expect (w, model->n_in_flight == 0, "a refused job has started");
  g_ptr_array_remove (w->jobs, model);
}

static struct model_task *
pick_in_flight (struct world *w)
{
  if (w->in_flight->len == 0)
    return NULL;
  return g_ptr_array_index (w->in_flight, world_draw (w, w->in_flight->len));
}

static void
report (struct world *w, struct model_task *model, enum attempt_end end)
{
  struct task *task = model->task;
  GBytes *output = NULL;
  gboolean is_definite
      = end == ATTEMPT_NOT_SENT || end == ATTEMPT_ANSWER_NOT_RUN;

  model->attempt = ATTEMPT_NONE;
  model->may_have_run = !is_definite;
  model->model->n_in_flight--;
  w->n_running[world_team_index (task->job)]--;
  g_ptr_array_remove_fast (w->in_flight, model);
  if (end == ATTEMPT_ANSWER_DONE)
    output = model->output = g_bytes_new (&model, sizeof model);
  dispatcher_report_attempt (w->dispatcher, task, end, output, w->now_us);
}

/* Writes a waiting request, when that is still allowed.  */
static void
write_attempt (struct world *w, struct model_task *model)
{
  struct task *task = model->task;
  guint number = (guint)(task->upstream->name[1] - '0');

  if (!dispatcher_may_send (w->dispatcher, task, w->now_us))
    {
      report (w, model, ATTEMPT_NOT_SENT);
      return;
    }
  world_expect (w, model->model->n_answers == 0, "a write after the answer");
  world_expect (w, !model->model->is_cancelled,
                "a write after the cancellation");
  world_expect (w, task->lease_deadline_us > w->now_us,
                "a write under no lease");
  world_expect (w, !w->is_leaving[number], "a write to a leaving upstream");
  model->attempt = ATTEMPT_WRITTEN;
}

static void
step_write (struct world *w)
{
  struct model_task *model = pick_in_flight (w);

  if (model != NULL && model->attempt == ATTEMPT_WAITING)
    write_attempt (w, model);
}

static enum attempt_end
draw_end (struct world *w)
{
  if (world_draw (w, 10) < 7)
    return ATTEMPT_ANSWER_DONE;
  if (world_draw (w, 3) != 0)
    return ATTEMPT_ANSWER_NOT_RUN;
  return (enum attempt_end) (ATTEMPT_DISCONNECTED_IN_REQUEST
                             + (int)world_draw (w, ATTEMPT_ANSWER_NO_OUTCOME));
}

static void
step_end (struct world *w)
{
  struct model_task *model = pick_in_flight (w);

  if (model == NULL)
    return;
  if (model->attempt == ATTEMPT_WAITING)
    report (w, model,
            world_draw (w, 2) ? ATTEMPT_NOT_SENT
                              : ATTEMPT_DISCONNECTED_IN_REQUEST);
  else
    report (w, model, draw_end (w));
}

/* A report that comes a second time.  */
static void
step_repeat_report (struct world *w)
{
  struct model_job *model;
  struct task *task;

  if (w->jobs->len == 0)
    return;
  model = g_ptr_array_index (w->jobs, world_draw (w, w->jobs->len));
  task = &model->job->tasks[world_draw (w, model->n_tasks)];
  if (task->state != TASK_RUNNING)
    dispatcher_report_attempt (w->dispatcher, task, draw_end (w), NULL,
                               w->now_us);
}

static void
step_time (struct world *w)
{
  w->now_us += world_draw (w, 30000);
  if (w->now_us >= w->wake_us)
    dispatcher_run_timers (w->dispatcher, w->now_us);
}

/* The process is stopped for a while, then continued.  */
static void
step_pause (struct world *w)
{
  w->now_us += USEC_PER_SEC + world_draw (w, 10000) * USEC_PER_MSEC;
  w->is_paused = TRUE;
  if (world_draw (w, 2) == 0)
    step_write (w);
  dispatcher_run_timers (w->dispatcher, w->now_us);
  w->is_paused = FALSE;
}

static void
step_cancel (struct world *w)
{
  guint n = world_draw (w, 8) == 0 ? w->jobs->len : MIN (w->jobs->len, 1);

  for (guint i = 0; i < n; i++)
    {
      struct model_job *model
          = g_ptr_array_index (w->jobs, world_draw (w, w->jobs->len));
      gboolean was_answered = model->n_answers > 0;
      gboolean done = dispatcher_cancel (w->dispatcher, model->job, w->now_us);

      world_expect (w, done != was_answered, "a cancellation is told wrongly");
      model->is_cancelled = TRUE;
    }
}

static void
step_leaving (struct world *w)
{
  guint number = world_draw (w, N_UPSTREAMS);
  char name[] = { 'u', (char)('0' + number), '\0' };

  w->is_leaving[number] = world_draw (w, 3) == 0;
  dispatcher_set_leaving (w->dispatcher, name, w->is_leaving[number],
                          w->now_us);
}

static void
step_document (struct world *w)
{
  guint team = world_draw (w, N_TEAMS);
  guint64 version = w->version[team] + world_draw (w, 3);

  world_apply_document (w, team, version,
                        (guint32)world_draw (w, 64) | world_draw (w, 64));
}

static void
step_renewed (struct world *w)
{
  guint n = w->renewals->len;
  struct upstream *upstream;

  if (n == 0)
    return;
  upstream = g_ptr_array_steal_index_fast (w->renewals, world_draw (w, n));
  dispatcher_note_lease_renewed (w->dispatcher, upstream,
                                 w->now_us + LEASE_MS * USEC_PER_MSEC);
  upstream_unref (upstream);
}

static void
step_lease_refused (struct world *w)
{
  struct model_task *model = pick_in_flight (w);

  if (model != NULL)
    dispatcher_note_lease_refused (w->dispatcher, model->task);
}

/* An upstream dies: every attempt on it is cut.  */
static void
step_death (struct world *w)
{
  char name = (char)('0' + world_draw (w, N_UPSTREAMS));

  for (guint i = w->in_flight->len; i > 0; i--)
    {
      struct model_task *model;

      if (i > w->in_flight->len)
        continue;
      model = g_ptr_array_index (w->in_flight, i - 1);
      if (model->task->upstream->name[1] != name)
        continue;
      report (w, model,
              model->attempt == ATTEMPT_WAITING
                  ? ATTEMPT_NOT_SENT
                  : ATTEMPT_DISCONNECTED_BEFORE_ANSWER);
    }
}

static void
step_shares (struct world *w)
{
  char name[] = { 'u', (char)('0' + world_draw (w, N_UPSTREAMS)), '\0' };
  gint64 until_us = w->now_us + world_draw (w, 5000) * USEC_PER_MSEC;

  switch (world_draw (w, 4))
    {
    case 0:
      dispatcher_set_vm_count (w->dispatcher, 1 + world_draw (w, 3), 0,
                               w->now_us);
      break;
    case 1:
      dispatcher_set_quota_share (w->dispatcher, "t0", world_draw (w, 12),
                                  world_draw (w, 50), until_us, w->now_us);
      break;
    case 2:
      dispatcher_set_slot_share (w->dispatcher, "t1/s", name,
                                 world_draw (w, 5), until_us, w->now_us);
      break;
    default:
      dispatcher_set_unix_offset (
          w->dispatcher, (gint64)world_draw (w, 60) * USEC_PER_SEC, w->now_us);
      break;
    }
}

static gboolean
is_over (const struct model_job *model)
{
  return model->n_answers > 0 && model->n_in_flight == 0;
}

/* Forgets some of the jobs that are over.  */
static void
forget_jobs (struct world *w)
{
  for (guint i = w->jobs->len; i > 0; i--)
    {
      if (is_over (g_ptr_array_index (w->jobs, i - 1)))
        g_ptr_array_remove_index_fast (w->jobs, i - 1);
    }
}

struct step_kind
{
  guint weight;
  void (*perform) (struct world *w);
};

static const struct step_kind step_kinds[] = {
  { 160, step_submit },       { 300, step_write },  { 300, step_end },
  { 160, step_time },         { 8, step_pause },    { 12, step_cancel },
  { 12, step_leaving },       { 6, step_document }, { 40, step_renewed },
  { 2, step_lease_refused },  { 4, step_death },    { 8, step_shares },
  { 10, step_repeat_report }, { 30, forget_jobs },
};

const char *
world_step (struct world *w, guint32 code)
{
  guint total = 0;
  guint pick;

  g_rand_set_seed (w->details, code);
  for (guint i = 0; i < G_N_ELEMENTS (step_kinds); i++)
    total += step_kinds[i].weight;
  pick = world_draw (w, total);
  for (guint i = 0; i < G_N_ELEMENTS (step_kinds); i++)
    {
      if (pick < step_kinds[i].weight)
        {
          step_kinds[i].perform (w);
          break;
        }
      pick -= step_kinds[i].weight;
    }
  world_check_counts (w);
  return w->broken;
}

/* Longer than any job without a deadline takes once upstreams answer.  */
#define SETTLE_ROUNDS 20000

const char *
world_settle (struct world *w)
{
  dispatcher_drain (w->dispatcher, w->now_us);
  w->is_draining = TRUE;
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      char name[] = { 'u', (char)('0' + i), '\0' };

      w->is_leaving[i] = FALSE;
      dispatcher_set_leaving (w->dispatcher, name, FALSE, w->now_us);
    }
  dispatcher_set_vm_count (w->dispatcher, 1, 0, w->now_us);
  dispatcher_set_quota_share (w->dispatcher, "t0", QUOTA_SLOTS, QUOTA_STARTS,
                              DEADLINE_NEVER, w->now_us);
  for (guint i = 0; i < N_TEAMS; i++)
    world_apply_document (w, i, w->version[i] + 1, 0x3f);
  for (guint i = 0; i < N_UPSTREAMS; i++)
    {
      char name[] = { 'u', (char)('0' + i), '\0' };

      dispatcher_set_slot_share (w->dispatcher, "t1/s", name, SLOTS,
                                 DEADLINE_NEVER, w->now_us);
    }
  for (guint i = 0; i < SETTLE_ROUNDS && w->broken == NULL; i++)
    {
      if (dispatcher_count_unfinished (w->dispatcher) == 0)
        break;
      while (w->renewals->len > 0)
        step_renewed (w);
      w->now_us += 10 * USEC_PER_MSEC;
      dispatcher_run_timers (w->dispatcher, w->now_us);
      while (w->in_flight->len > 0)
        {
          struct model_task *model = g_ptr_array_index (w->in_flight, 0);

          if (model->attempt == ATTEMPT_WAITING)
            write_attempt (w, model);
          else
            report (w, model, ATTEMPT_ANSWER_DONE);
        }
    }
  world_expect (w, dispatcher_count_unfinished (w->dispatcher) == 0,
                "a drained dispatcher does not come to rest");
  world_check_counts (w);
  return w->broken;
}
