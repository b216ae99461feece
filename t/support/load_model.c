#include "t/support/load_model_private.h"

#include <string.h>

#define START_US (1000 * USEC_PER_SEC)
#define STEP_US USEC_PER_MSEC
#define BEACON_US (50 * USEC_PER_MSEC)
#define LATE_MESSAGE_MS 40
#define VM_LOST_US (600 * USEC_PER_MSEC)

/* How long load_model_finish () waits for the jobs to end.  */
#define FINISH_US (20 * USEC_PER_SEC)

/* How long more slots are expected after some have come; see
   coordination/slot_outlook.h.  */
#define TAKEOVER_US (2600 * USEC_PER_MSEC)

/* Jobs that may wait at one home.  */
#define MAX_WAITING_JOBS 1000

/* Runs of one job differ by this part of the configured spread.  */
#define RUN_SPREAD_DIVISOR 4

guint
load_model_vary (struct load_model *model, guint value, guint percent)
{
  guint drawn = (guint)g_rand_int_range (model->rand, 100 - (gint32)percent,
                                         101 + (gint32)percent);

  return value * drawn / 100;
}

guint
load_model_draw_run_ms (struct load_model *model, const struct model_job *job)
{
  const struct load_config *c = &model->config;
  guint run_ms = load_model_vary (model, job->run_ms,
                                  c->spread_percent / RUN_SPREAD_DIVISOR);

  if (c->tail_percent > 0
      && g_rand_int_range (model->rand, 0, 100) < (gint32)c->tail_percent)
    run_ms *= c->tail_factor;
  return run_ms;
}

struct message *
load_model_send (struct model_part *part, enum message_kind kind)
{
  struct load_model *model = part->vm->model;
  const struct load_config *c = &model->config;
  struct message *message = g_new0 (struct message, 1);
  guint ms = part->vm == part->job->home ? 0 : c->message_ms;

  if (ms > 0 && c->late_share > 0
      && g_rand_int_range (model->rand, 0, (gint32)c->late_share) == 0)
    ms += LATE_MESSAGE_MS;
  model->n_messages += ms > 0 ? 1 : 0;
  message->kind = kind;
  message->part = part;
  message->arrives_us = model->now_us + ms * USEC_PER_MSEC;
  g_ptr_array_add (model->messages, message);
  return message;
}

/* The owner's driver.  */

static struct model_vm *
vm_from_driver (struct owner_driver *driver)
{
  return list_entry (driver, struct model_vm, driver);
}

static void
on_start (struct owner_driver *driver, struct run *run, gint64 until_ms)
{
  struct model_vm *vm = vm_from_driver (driver);
  struct model_part *part = run->task->batch->user_data;

  if (part->n_offers > 0)
    g_assert_true (part->job->is_granted[run->task->index]);
  load_upstreams_start (vm->upstreams, run,
                        load_model_draw_run_ms (vm->model, part->job),
                        vm->model->now_us);
}

static void
on_stop (struct owner_driver *driver, struct run *run)
{
  struct model_vm *vm = vm_from_driver (driver);

  load_upstreams_stop (vm->upstreams, run, vm->model->now_us);
}

static void
on_poll (struct owner_driver *driver, struct owned_upstream *upstream,
         gint64 until_ms, guint wait_ms)
{
  struct model_vm *vm = vm_from_driver (driver);

  if (vm->upstreams != NULL)
    load_upstreams_poll (vm->upstreams, upstream, wait_ms, vm->model->now_us);
}

static void
on_claim (struct owner_driver *driver, struct batch *batch, guint n_tasks)
{
  load_model_send (batch->user_data, MESSAGE_CLAIM)->n = n_tasks;
}

static void
on_return (struct owner_driver *driver, struct batch *batch,
           const guint *indexes, guint n_tasks)
{
  struct message *message = load_model_send (batch->user_data, MESSAGE_RETURN);

  message->n = n_tasks;
  memcpy (message->indexes, indexes, n_tasks * sizeof *indexes);
  message->flag = batch->n_started > 0;
}

static void
on_finish (struct owner_driver *driver, struct batch *batch)
{
  struct model_part *part = batch->user_data;
  struct message *message = load_model_send (part, MESSAGE_END);

  message->end = batch->end;
  message->done.n
      = batch_list_tasks (batch, BATCH_TASK_DONE, message->done.indexes);
  message->flag = batch->n_started > 0;
  message->n = batch_list_tasks (batch, BATCH_TASK_RETURNED, message->indexes);
  part->batch = NULL;
  batch_free (batch);
}

static void
on_lost (struct owner_driver *driver, struct owned_upstream *upstream,
         gboolean is_fenced)
{
}

static void
on_wake_at (struct owner_driver *driver, gint64 when_us)
{
}

static const struct owner_driver_ops ops = {
  .start_run = on_start,
  .stop_run = on_stop,
  .poll = on_poll,
  .claim_tasks = on_claim,
  .return_tasks = on_return,
  .finish_batch = on_finish,
  .ownership_ended = on_lost,
  .wake_at = on_wake_at,
};

/* Messages at the owner.  */

static void
take_batch (struct model_part *part)
{
  const struct model_job *job = part->job;
  const struct load_config *c = &part->vm->model->config;
  const struct load_kind *kind = load_job_get_kind (job);
  struct batch *batch = batch_new (job->id, "home", part->offered.n);

  for (guint i = 0; i < part->offered.n; i++)
    batch->tasks[i].index = part->offered.indexes[i];
  batch->number = part->number;
  batch->service = g_strdup ("s");
  batch->spec = g_strdup ("");
  batch->need.cpus = job->cpus;
  batch->estimate_us = job->estimate_ms * USEC_PER_MSEC;
  batch->attempts = c->attempts > 0 ? c->attempts : 3;
  batch->priority = kind->priority;
  batch->start_by_us = job->start_by_us;
  batch->end_by_us = job->end_by_us;
  batch->is_part = part->offered.n < kind->n_tasks;
  batch->needs_free_slots = part->n_offers == 0;
  if (part->n_offers > 0)
    batch_set_offered (batch, part->n_offers);
  batch->user_data = part;
  part->batch = batch;
  owner_submit_batch (part->vm->owner, batch, part->vm->model->now_us);
}

static void
deliver (const struct message *message)
{
  struct model_part *part = message->part;
  struct model_vm *vm = part->vm;
  gboolean is_for_owner = message->kind == MESSAGE_BATCH
                          || message->kind == MESSAGE_STOP
                          || message->kind == MESSAGE_GRANT;

  if (vm->is_dead || part->job->home->is_dead)
    return;
  if (is_for_owner && message->kind != MESSAGE_BATCH && part->batch == NULL)
    return;
  switch (message->kind)
    {
    case MESSAGE_BATCH:
      take_batch (part);
      break;
    case MESSAGE_STOP:
      owner_stop_batch (vm->owner, part->batch, "", vm->model->now_us);
      break;
    case MESSAGE_GRANT:
      owner_claim_ended (vm->owner, part->batch, message->indexes, message->n,
                         message->flag, vm->model->now_us);
      break;
    case MESSAGE_CLAIM:
      load_home_handle_claim (message);
      break;
    case MESSAGE_RETURN:
      load_home_handle_returned (message);
      break;
    case MESSAGE_END:
      load_home_handle_end (message);
      break;
    }
}

static void
deliver_due (struct load_model *model)
{
  for (guint i = 0; i < model->messages->len;)
    {
      struct message *message = g_ptr_array_index (model->messages, i);

      if (message->arrives_us > model->now_us)
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index (model->messages, i);
      deliver (message);
      g_free (message);
    }
}

static void
announce_rooms (struct load_model *model)
{
  if (model->now_us < model->announce_us)
    return;
  model->announce_us = model->now_us + BEACON_US;
  for (guint i = 0; i < model->config.n_owners; i++)
    {
      load_home_refresh_room (&model->vms[i]);
      for (guint k = 0; k < model->config.n_owners; k++)
        if (!model->vms[i].is_dead)
          model->vms[k].announced[i] = model->vms[i].room;
    }
}

/* Whether tasks wait for slots, as VM knows it.  */
static gboolean
has_queue (const struct model_vm *vm)
{
  struct queue_sum sum = { 0 };

  for (guint i = 0; i < vm->model->config.n_owners; i++)
    if (!vm->is_lost[i])
      queue_sum_add (&sum, i == vm->index ? &vm->room : &vm->announced[i]);
  return queue_sum_has_queue (&sum);
}

/* Passes the reports of callers to VM.  */
static void
report_to (struct model_vm *vm)
{
  struct load_model *model = vm->model;
  g_autoptr (GPtrArray) lists = g_ptr_array_new ();

  for (guint i = 0; i < model->config.n_owners; i++)
    if (i != vm->index && !vm->is_lost[i])
      g_ptr_array_add (lists, &model->vms[i].largest);
  caller_share_update (
      vm->share, (const struct caller_list *const *)(gpointer)lists->pdata,
      lists->len, has_queue (vm), model->now_us);
}

static void
report_callers (struct load_model *model)
{
  if (!model->config.shares_by_caller || model->now_us < model->report_us)
    return;
  model->report_us = model->now_us
                     + (model->config.report_ms > 0
                            ? model->config.report_ms * USEC_PER_MSEC
                            : BEACON_US);
  for (guint i = 0; i < model->config.n_owners; i++)
    report_to (&model->vms[i]);
  for (guint i = 0; i < model->config.n_owners; i++)
    caller_share_list_largest (model->vms[i].share, &model->vms[i].largest,
                               model->now_us);
}

static void
step (struct load_model *model)
{
  model->now_us += STEP_US;
  announce_rooms (model);
  report_callers (model);
  for (guint i = 0; i < model->config.n_owners; i++)
    {
      struct model_vm *vm = &model->vms[i];

      if (vm->is_dead)
        continue;
      load_upstreams_advance (vm->upstreams, model->now_us);
      owner_advance (vm->owner, model->now_us);
      load_waiting_advance (vm);
    }
  deliver_due (model);
}

/* Submits the jobs that arrive in one step.  */
static void
submit_returned (struct load_model *model)
{
  for (guint i = 0; i < model->returns->len;)
    {
      struct model_return *returned = g_ptr_array_index (model->returns, i);

      if (returned->due_us > model->now_us)
        {
          i++;
          continue;
        }
      g_ptr_array_steal_index (model->returns, i);
      load_home_submit_return (model, returned);
      load_home_free_return (returned);
    }
}

static void
submit_flood (struct load_model *model)
{
  model->flood_due
      += model->flood_jobs_per_s * (gdouble)STEP_US / (gdouble)USEC_PER_SEC;
  for (; model->flood_due >= 1; model->flood_due--)
    load_home_submit_flood (model);
}

static void
submit_due (struct load_model *model, gdouble factor)
{
  for (guint i = 0; i < LOAD_MAX_KINDS; i++)
    {
      gdouble n = model->config.kinds[i].jobs_per_s * factor
                  * model->kind_factors[i] * (gdouble)STEP_US
                  / (gdouble)USEC_PER_SEC;

      model->due[i]
          += model->config.is_even ? n : 2 * n * g_rand_double (model->rand);
      for (; model->due[i] >= 1; model->due[i]--)
        load_home_submit (model, i);
    }
}

void
load_model_run (struct load_model *model, guint ms, gdouble factor)
{
  for (guint i = 0; i < ms; i++)
    {
      step (model);
      submit_due (model, factor);
      submit_flood (model);
      submit_returned (model);
    }
}

static void
vm_init (struct load_model *model, guint index, guint first, guint n)
{
  const struct owner_limits limits
      = { .lease_ms = 900,
          .max_lease_ms = 1000,
          .clock_drift_ppm = 20500,
          .placement_by_speed = model->config.placement_by_speed };
  struct model_vm *vm = &model->vms[index];
  struct load_config *config = &model->config;

  vm->driver.ops = &ops;
  vm->model = model;
  vm->index = index;
  vm->announced = g_new0 (struct vm_room, model->config.n_owners);
  vm->is_lost = g_new0 (gboolean, model->config.n_owners);
  vm->share = caller_share_new ();
  vm->retries = retry_spread_new ();
  if (config->waits)
    waiting_jobs_init (&vm->waiting, MAX_WAITING_JOBS,
                       (gsize)MAX_WAITING_JOBS * LOAD_JOB_BYTES);
  else
    waiting_jobs_init (&vm->waiting, 0, 0);
  vm->owner = owner_new (&vm->driver, &limits);
  vm->upstreams = load_upstreams_new (vm->owner, config, first, n, model->rand,
                                      model->now_us);
}

struct load_model *
load_model_new (const struct load_config *config)
{
  struct load_model *model = g_new0 (struct load_model, 1);
  guint first = 0;

  model->config = *config;
  model->now_us = START_US;
  model->rand = g_rand_new_with_seed (config->seed);
  for (guint i = 0; i < LOAD_MAX_KINDS; i++)
    model->kind_factors[i] = 1;
  model->returns = g_ptr_array_new_with_free_func (load_home_free_return);
  list_init (&model->jobs);
  model->all_jobs = g_ptr_array_new_with_free_func (load_home_free_job);
  model->messages = g_ptr_array_new_with_free_func (g_free);
  model->vms = g_new0 (struct model_vm, config->n_owners);
  for (guint i = 0; i < config->n_owners; i++)
    {
      guint end = config->n_upstreams * (i + 1) / config->n_owners;

      vm_init (model, i, first, end - first);
      first = end;
    }
  return model;
}

void
load_model_free (struct load_model *model)
{
  for (guint i = 0; i < model->config.n_owners; i++)
    {
      struct model_vm *vm = &model->vms[i];

      load_upstreams_free (vm->upstreams);
      owner_free (vm->owner);
      caller_share_free (vm->share);
      retry_spread_free (vm->retries);
      g_free (vm->announced);
      g_free (vm->is_lost);
    }
  g_free (model->vms);
  g_ptr_array_unref (model->returns);
  g_ptr_array_unref (model->messages);
  g_ptr_array_unref (model->all_jobs);
  g_rand_free (model->rand);
  g_free (model);
}

void
load_model_count_from_now (struct load_model *model)
{
  model->counted_from_us = model->now_us;
  model->n_messages = 0;
  for (guint i = 0; i < LOAD_MAX_KINDS; i++)
    model->results[i] = (struct load_result){ 0 };
}

void
load_model_set_kind_factor (struct load_model *model, guint kind,
                            gdouble factor)
{
  model->kind_factors[kind] = factor;
}

void
load_model_set_flood (struct load_model *model, guint kind, guint jobs_per_s,
                      gint home)
{
  model->flood_kind = kind;
  model->flood_jobs_per_s = jobs_per_s;
  model->flood_home = home;
}

struct load_result
load_model_get_caller_result (const struct load_model *model,
                              gboolean is_first)
{
  return model->groups[is_first ? GROUP_FIRST : GROUP_OTHERS];
}

gdouble
load_model_get_others_worth (const struct load_model *model)
{
  return model->others_worth_served / model->others_worth;
}

struct load_result
load_model_get_retry_result (const struct load_model *model)
{
  return model->groups[GROUP_RETRIES];
}

void
load_model_set_lost_share (struct load_model *model, gdouble share)
{
  for (guint i = 0; i < model->config.n_owners; i++)
    load_upstreams_set_lost_share (model->vms[i].upstreams, share);
}

guint
load_model_count_in_time (const struct load_model *model, guint kind)
{
  return model->results[kind].n_in_time;
}

void
load_model_remove_upstreams (struct load_model *model, guint first,
                             guint count)
{
  for (guint i = first; i < first + count; i++)
    for (guint k = 0; k < model->config.n_owners; k++)
      load_upstreams_remove (model->vms[k].upstreams, i, model->now_us);
}

static void
set_leaving (struct load_model *model, guint first, guint count,
             gboolean is_leaving, guint warm_up_ms)
{
  for (guint i = first; i < first + count; i++)
    for (guint k = 0; k < model->config.n_owners; k++)
      load_upstreams_set_leaving (model->vms[k].upstreams, i, is_leaving,
                                  warm_up_ms, model->now_us);
}

/* Owners without an upstream that takes runs return what is queued, as
   transport/fleet_owner.c has them do.  */
void
load_model_evacuate (struct load_model *model, guint first, guint count)
{
  set_leaving (model, first, count, TRUE, 0);
  for (guint i = 0; i < model->config.n_owners; i++)
    {
      struct owner *owner = model->vms[i].owner;
      struct owner_room room;

      owner_get_room (owner, "s", &room, model->now_us);
      if (room.n_slots == 0)
        owner_return_all_queued (owner, "s", model->now_us);
    }
}

void
load_model_take_back (struct load_model *model, guint first, guint count,
                      guint warm_up_ms)
{
  set_leaving (model, first, count, FALSE, warm_up_ms);
  model->slots_expected_until_us = model->now_us + TAKEOVER_US;
}

void
load_model_slow_upstreams (struct load_model *model, guint every,
                           gdouble factor)
{
  for (guint i = 0; i < model->config.n_owners; i++)
    load_upstreams_slow_down (model->vms[i].upstreams, every, factor);
}

void
load_model_kill_owner (struct load_model *model, guint owner)
{
  struct model_vm *vm = &model->vms[owner];

  vm->is_dead = TRUE;
  load_model_run (model, VM_LOST_US / USEC_PER_MSEC, 1);
  load_home_lose_vm (model, vm);
}

struct load_result
load_model_finish (struct load_model *model, guint kind)
{
  gint64 end_us = model->now_us + FINISH_US;

  while (!list_is_empty (&model->jobs) && model->now_us < end_us)
    step (model);
  g_assert_true (list_is_empty (&model->jobs));
  return model->results[kind];
}

gdouble
load_model_worth (struct load_model *model)
{
  gdouble served = 0;
  gdouble all = 0;

  for (guint i = 0; i < LOAD_MAX_KINDS; i++)
    {
      const struct load_kind *kind = &model->config.kinds[i];
      struct load_result result = load_model_finish (model, i);

      served += kind->worth * result.n_in_time;
      all += kind->worth * result.n_jobs;
    }
  return served / all;
}

guint
load_model_count_messages (const struct load_model *model)
{
  return model->n_messages;
}
