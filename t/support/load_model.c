#include "t/support/load_model.h"

#include "base/hash64.h"
#include "coordination/owner.h"
#include "coordination/spread.h"
#include "coordination/task_offer.h"
#include "t/support/load_upstream.h"

#include <string.h>

#define START_US (1000 * USEC_PER_SEC)
#define STEP_US USEC_PER_MSEC
#define BEACON_US (50 * USEC_PER_MSEC)
#define LATE_MESSAGE_MS 40
#define VM_LOST_US (600 * USEC_PER_MSEC)

/* How long load_model_finish () waits for the jobs to end.  */
#define FINISH_US (20 * USEC_PER_SEC)

/* The home's rules; see transport/fleet_home.c.  */
#define STRETCH_PERCENT 160
#define GOAL_MS 60
#define LATE_FACTOR 3
#define MAX_ASSIGNMENTS 24
#define MAX_ASSIGNMENTS_BEFORE_START 6

/* Runs of one job differ by this part of the configured spread.  */
#define RUN_SPREAD_DIVISOR 4

struct model_vm
{
  struct owner_driver driver;
  struct load_model *model;
  guint index;
  gboolean is_dead;
  struct owner *owner;
  struct load_upstreams *upstreams;
  struct vm_room room;       /* as it is now */
  struct vm_room *announced; /* of each other VM, as this one knows it */
  gboolean *is_lost;         /* of each other VM, likewise */
};

struct model_job
{
  struct list_node link; /* in model->jobs */
  guint kind;
  char *id;
  struct model_vm *home;
  guint run_ms;      /* of its tasks */
  guint estimate_ms; /* that the home knows */
  gint64 accepted_us;
  gint64 start_by_us;
  gint64 end_by_us;
  guint n_assignments;
  guint n_done;
  guint n_parts;
  guint n_open; /* parts that have not ended */
  gboolean has_started;
  gboolean is_over;
  struct task_set wanted;
  gboolean is_granted[TASK_OFFER_MAX];
  GPtrArray *parts; /* struct model_part */
};

/* Tasks of a job at one owner.  */
struct model_part
{
  struct model_job *job;
  struct model_vm *vm;
  guint number;
  guint n_offers;
  struct task_set offered; /* or given, if N_OFFERS is 0 */
  guint n_tasks;           /* given or granted, and not returned */
  gboolean is_open;
  struct batch *batch; /* at the owner; NULL once it has ended */
};

enum message_kind
{
  MESSAGE_BATCH,
  MESSAGE_STOP,
  MESSAGE_CLAIM,
  MESSAGE_GRANT,
  MESSAGE_RETURN,
  MESSAGE_END,
};

struct message
{
  enum message_kind kind;
  gint64 arrives_us;
  struct model_part *part;
  guint n;
  guint indexes[TASK_OFFER_MAX];
  gboolean flag; /* GRANT: nothing is left; RETURN, END: something started */
  enum batch_end end;
};

struct load_model
{
  struct load_config config;
  GRand *rand;
  gint64 now_us;
  gint64 announce_us; /* when the next beacons are due */
  struct model_vm *vms;
  struct list_node jobs; /* struct model_job that is not over */
  GPtrArray *all_jobs;   /* struct model_job */
  GPtrArray *messages;   /* struct message on the way */
  guint n_messages;
  gdouble due[LOAD_MAX_KINDS]; /* jobs that are to arrive, with fractions */
  struct load_result results[LOAD_MAX_KINDS];
};

static const struct load_kind *
get_kind (const struct model_job *job)
{
  return &job->home->model->config.kinds[job->kind];
}

/* VALUE, changed by up to PERCENT at random.  */
static guint
vary (struct load_model *model, guint value, guint percent)
{
  guint drawn = (guint)g_rand_int_range (model->rand, 100 - (gint32)percent,
                                         101 + (gint32)percent);

  return value * drawn / 100;
}

/* The objective of a job whose tasks take RUN_MS.  */
static gint64
get_objective_us (guint run_ms)
{
  return (run_ms * STRETCH_PERCENT / 100 + GOAL_MS) * USEC_PER_MSEC;
}

/* A message about PART, on its way from now on.  */
static struct message *
send_message (struct model_part *part, enum message_kind kind)
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
  load_upstreams_start (
      vm->upstreams, run,
      vary (vm->model, part->job->run_ms,
            vm->model->config.spread_percent / RUN_SPREAD_DIVISOR),
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
  send_message (batch->user_data, MESSAGE_CLAIM)->n = n_tasks;
}

static void
on_return (struct owner_driver *driver, struct batch *batch,
           const guint *indexes, guint n_tasks)
{
  struct message *message = send_message (batch->user_data, MESSAGE_RETURN);

  message->n = n_tasks;
  memcpy (message->indexes, indexes, n_tasks * sizeof *indexes);
  message->flag = batch->n_started > 0;
}

static void
on_finish (struct owner_driver *driver, struct batch *batch)
{
  struct model_part *part = batch->user_data;
  struct message *message = send_message (part, MESSAGE_END);

  message->end = batch->end;
  message->flag = batch->n_started > 0;
  for (guint i = 0; i < batch->n_tasks; i++)
    if (batch->tasks[i].state == BATCH_TASK_RETURNED)
      message->indexes[message->n++] = batch->tasks[i].index;
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

/* The home.  */

static struct model_part *
part_new (struct model_job *job, struct model_vm *vm, guint n_offers)
{
  struct model_part *part = g_new0 (struct model_part, 1);

  part->job = job;
  part->vm = vm;
  part->number = job->n_parts++;
  part->n_offers = n_offers;
  part->is_open = TRUE;
  job->n_open++;
  g_ptr_array_add (job->parts, part);
  return part;
}

static void
close_part (struct model_part *part)
{
  if (part->is_open)
    part->job->n_open--;
  part->is_open = FALSE;
}

/* Closes the offers of JOB that were granted nothing, but for KEPT.  */
static void
withdraw_offers (struct model_job *job, const struct model_part *kept)
{
  for (guint i = 0; i < job->parts->len; i++)
    {
      struct model_part *part = g_ptr_array_index (job->parts, i);

      if (!part->is_open || part->n_tasks > 0 || part == kept)
        continue;
      close_part (part);
      send_message (part, MESSAGE_STOP);
    }
}

static gboolean
may_have_started (const struct model_job *job)
{
  if (job->has_started || job->n_done > 0)
    return TRUE;
  for (guint i = 0; i < job->parts->len; i++)
    {
      const struct model_part *part = g_ptr_array_index (job->parts, i);

      if (part->is_open && part->n_tasks > 0)
        return TRUE;
    }
  return FALSE;
}

/* Ends JOB: counts it in N and stops what is left of it.  */
static void
end_job (struct model_job *job, guint *n)
{
  if (job->is_over)
    return;
  (*n)++;
  job->is_over = TRUE;
  job->wanted.n = 0;
  list_remove (&job->link);
  for (guint i = 0; i < job->parts->len; i++)
    {
      struct model_part *part = g_ptr_array_index (job->parts, i);

      if (part->is_open)
        send_message (part, MESSAGE_STOP);
      close_part (part);
    }
}

static struct load_result *
get_result (struct model_job *job)
{
  return &job->home->model->results[job->kind];
}

static void
give_up_job (struct model_job *job)
{
  struct load_result *result = get_result (job);

  end_job (job,
           may_have_started (job) ? &result->n_failed : &result->n_refused);
}

/* The rooms that HOME knows.  */
static guint
list_owners (struct model_vm *home, struct spread_owner *owners)
{
  struct load_model *model = home->model;
  guint n = 0;

  for (guint i = 0; i < model->config.n_owners; i++)
    {
      struct spread_owner owner = { .is_local = TRUE };

      if (home->is_lost[i])
        continue;
      owner.is_self = i == home->index;
      owner.name = (const char *)&model->vms[i];
      owner.room = owner.is_self ? home->room : home->announced[i];
      owner.free_slots = free_slots_count (&owner.room.free_slots, 1);
      if (owner.is_self)
        owner.free_slots
            = owner_count_free_slots (home->owner, "s", 1, model->now_us);
      if (owner.room.n_slots > 0)
        owners[n++] = owner;
    }
  return n;
}

static void
refresh_room (struct model_vm *vm)
{
  struct owner_room room;

  owner_get_room (vm->owner, "s", &room, vm->model->now_us);
  vm_room_init (&vm->room, "s", &room);
}

/* Sends PART to its owner.  */
static void
send_part (struct model_part *part, guint n_share)
{
  struct model_job *job = part->job;
  struct model_vm *home = job->home;

  if (part->vm != home)
    vm_room_take (&home->announced[part->vm->index], n_share, 1,
                  get_kind (job)->priority);
  send_message (part, MESSAGE_BATCH);
}

static gint64
get_longest_wait_ms (const struct model_job *job)
{
  const struct load_model *model = job->home->model;
  gint64 now_us = model->now_us;

  if (may_have_started (job) || job->start_by_us <= now_us)
    return (job->end_by_us - now_us) / USEC_PER_MSEC;
  return (job->start_by_us - now_us) / USEC_PER_MSEC;
}

static void
assign_tasks (struct model_job *job, const guint *indexes, guint n_tasks)
{
  struct load_model *model = job->home->model;
  const struct load_kind *kind = get_kind (job);
  g_autofree struct spread_owner *owners
      = g_new0 (struct spread_owner, model->config.n_owners);
  struct spread_tasks tasks = { .n = n_tasks + job->wanted.n,
                                .run_ms = job->estimate_ms,
                                .priority = kind->priority,
                                .is_offer_only = job->n_assignments > 0,
                                .max_offers = model->config.max_offers };
  struct spread_offer offer;
  guint n_owners;
  guint n_given;

  withdraw_offers (job, NULL);
  refresh_room (job->home);
  n_owners = list_owners (job->home, owners);
  job->n_assignments++;
  offer = spread_assign (
      owners, n_owners, &tasks,
      hash64_pair (hash64_string (job->id), job->n_assignments));
  if (offer.wait_ms < 0 || offer.wait_ms > get_longest_wait_ms (job))
    {
      give_up_job (job);
      return;
    }
  n_given = tasks.n - offer.n_tasks;
  task_set_add (&job->wanted, indexes + n_given, n_tasks - n_given);
  for (guint i = 0; i < n_owners; i++)
    {
      struct model_vm *vm = (struct model_vm *)(gpointer)owners[i].name;
      struct model_part *part;

      if (owners[i].n_given == 0)
        continue;
      part = part_new (job, vm, 0);
      task_set_add (&part->offered, indexes, owners[i].n_given);
      part->n_tasks = owners[i].n_given;
      indexes += owners[i].n_given;
      send_part (part, part->n_tasks);
    }
  for (guint i = 0; i < n_owners && offer.n_tasks > 0; i++)
    {
      struct model_vm *vm = (struct model_vm *)(gpointer)owners[i].name;
      struct model_part *part;

      if (!owners[i].is_offered)
        continue;
      part = part_new (job, vm, offer.n_offers);
      part->offered = job->wanted;
      send_part (part, (job->wanted.n + offer.n_offers - 1) / offer.n_offers);
    }
}

static void
reassign_tasks (struct model_job *job, const guint *indexes, guint n_tasks)
{
  gboolean has_started = may_have_started (job);

  if (job->is_over)
    return;
  if (job->n_assignments
          < (has_started ? MAX_ASSIGNMENTS : MAX_ASSIGNMENTS_BEFORE_START)
      && (has_started || job->home->model->now_us < job->end_by_us))
    assign_tasks (job, indexes, n_tasks);
  else
    give_up_job (job);
}

/* Offers the tasks that no open part can claim anew.  */
static void
renew_offers (struct model_job *job)
{
  if (job->is_over || job->wanted.n == 0)
    return;
  for (guint i = 0; i < job->parts->len; i++)
    {
      const struct model_part *part = g_ptr_array_index (job->parts, i);

      if (part->is_open && part->n_offers > 0
          && task_set_intersects (&job->wanted, &part->offered))
        return;
    }
  reassign_tasks (job, NULL, 0);
}

/* Of the returned tasks in MESSAGE, those that PART had.  */
static guint
take_back (struct model_part *part, const struct message *message,
           guint *indexes)
{
  guint n = 0;

  for (guint i = 0; i < message->n; i++)
    {
      guint index = message->indexes[i];

      if (part->n_offers > 0 && !part->job->is_granted[index])
        continue;
      if (part->n_offers > 0)
        part->job->is_granted[index] = FALSE;
      indexes[n++] = index;
    }
  n = MIN (n, part->n_tasks);
  part->n_tasks -= n;
  return n;
}

static void
handle_returned (const struct message *message)
{
  struct model_part *part = message->part;
  guint indexes[TASK_OFFER_MAX];
  guint n;

  if (!part->is_open)
    return;
  part->job->has_started |= message->flag;
  n = take_back (part, message, indexes);
  if (n > 0)
    reassign_tasks (part->job, indexes, n);
}

static void
handle_end (const struct message *message)
{
  struct model_part *part = message->part;
  struct model_job *job = part->job;
  struct load_result *result = get_result (job);
  gint64 took_us = job->home->model->now_us - job->accepted_us;

  if (!part->is_open)
    return;
  close_part (part);
  job->has_started |= message->flag;
  if (message->end == BATCH_DONE)
    job->n_done += part->n_tasks;
  else if (message->end == BATCH_NOT_STARTED)
    {
      if (part->n_tasks > 0)
        reassign_tasks (job, part->offered.indexes, part->n_tasks);
    }
  else
    end_job (job, &result->n_failed);
  if (job->n_done == get_kind (job)->n_tasks)
    end_job (job, took_us <= get_objective_us (job->run_ms)
                      ? &result->n_in_time
                      : &result->n_late);
  renew_offers (job);
}

static void
handle_claim (const struct message *message)
{
  struct model_part *part = message->part;
  struct model_job *job = part->job;
  struct message *reply = send_message (part, MESSAGE_GRANT);

  reply->flag = TRUE;
  if (!part->is_open || job->is_over)
    return;
  reply->n = task_set_grant (&job->wanted, &part->offered, message->n,
                             reply->indexes);
  for (guint i = 0; i < reply->n; i++)
    {
      g_assert_false (job->is_granted[reply->indexes[i]]);
      job->is_granted[reply->indexes[i]] = TRUE;
    }
  part->n_tasks += reply->n;
  reply->flag
      = reply->n == 0 || !task_set_intersects (&job->wanted, &part->offered);
  if (job->wanted.n == 0)
    withdraw_offers (job, part);
}

/* Messages at the owner.  */

static void
take_batch (struct model_part *part)
{
  const struct model_job *job = part->job;
  const struct load_kind *kind = get_kind (job);
  struct batch *batch = batch_new (job->id, "home", part->offered.n);

  for (guint i = 0; i < part->offered.n; i++)
    batch->tasks[i].index = part->offered.indexes[i];
  batch->number = part->number;
  batch->service = g_strdup ("s");
  batch->spec = g_strdup ("");
  batch->need.cpus = 1;
  batch->estimate_us = job->estimate_ms * USEC_PER_MSEC;
  batch->attempts = 3;
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
      handle_claim (message);
      break;
    case MESSAGE_RETURN:
      handle_returned (message);
      break;
    case MESSAGE_END:
      handle_end (message);
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
      refresh_room (&model->vms[i]);
      for (guint k = 0; k < model->config.n_owners; k++)
        if (!model->vms[i].is_dead)
          model->vms[k].announced[i] = model->vms[i].room;
    }
}

static void
job_free (gpointer data)
{
  struct model_job *job = data;

  g_ptr_array_unref (job->parts);
  g_free (job->id);
  g_free (job);
}

static void
submit_job (struct load_model *model, guint kind)
{
  struct model_job *job = g_new0 (struct model_job, 1);
  const struct load_kind *k = &model->config.kinds[kind];
  gint64 objective_us;
  gint64 run_us;
  guint indexes[TASK_OFFER_MAX];

  job->kind = kind;
  job->id = g_strdup_printf ("%016x", model->all_jobs->len + 1);
  job->home = &model->vms[g_rand_int_range (model->rand, 0,
                                            (gint32)model->config.n_owners)];
  job->parts = g_ptr_array_new_with_free_func (g_free);
  job->run_ms = vary (model, k->run_ms, model->config.spread_percent);
  job->estimate_ms = vary (model, job->run_ms, model->config.spread_percent);
  objective_us = get_objective_us (job->estimate_ms);
  run_us = job->estimate_ms * USEC_PER_MSEC;
  job->accepted_us = model->now_us;
  job->start_by_us = model->now_us + objective_us - run_us;
  job->end_by_us = model->now_us + objective_us * LATE_FACTOR - run_us;
  list_init (&job->link);
  g_ptr_array_add (model->all_jobs, job);
  if (job->home->is_dead)
    return;
  model->results[kind].n_jobs++;
  list_append (&model->jobs, &job->link);
  for (guint i = 0; i < k->n_tasks; i++)
    indexes[i] = i;
  assign_tasks (job, indexes, k->n_tasks);
}

static void
step (struct load_model *model)
{
  model->now_us += STEP_US;
  announce_rooms (model);
  for (guint i = 0; i < model->config.n_owners; i++)
    {
      struct model_vm *vm = &model->vms[i];

      if (vm->is_dead)
        continue;
      load_upstreams_advance (vm->upstreams, model->now_us);
      owner_advance (vm->owner, model->now_us);
    }
  deliver_due (model);
}

/* Submits the jobs that arrive in one step.  */
static void
submit_due (struct load_model *model, gdouble factor)
{
  for (guint i = 0; i < LOAD_MAX_KINDS; i++)
    {
      gdouble n = model->config.kinds[i].jobs_per_s * factor * (gdouble)STEP_US
                  / (gdouble)USEC_PER_SEC;

      model->due[i]
          += model->config.is_even ? n : 2 * n * g_rand_double (model->rand);
      for (; model->due[i] >= 1; model->due[i]--)
        submit_job (model, i);
    }
}

void
load_model_run (struct load_model *model, guint ms, gdouble factor)
{
  for (guint i = 0; i < ms; i++)
    {
      step (model);
      submit_due (model, factor);
    }
}

static void
vm_init (struct load_model *model, guint index, guint first, guint n)
{
  static const struct owner_limits limits
      = { .lease_ms = 900, .max_lease_ms = 1000, .clock_drift_ppm = 20500 };
  struct model_vm *vm = &model->vms[index];

  vm->driver.ops = &ops;
  vm->model = model;
  vm->index = index;
  vm->announced = g_new0 (struct vm_room, model->config.n_owners);
  vm->is_lost = g_new0 (gboolean, model->config.n_owners);
  vm->owner = owner_new (&vm->driver, &limits);
  vm->upstreams
      = load_upstreams_new (vm->owner, first, n, model->rand, model->now_us);
}

struct load_model *
load_model_new (const struct load_config *config)
{
  struct load_model *model = g_new0 (struct load_model, 1);
  guint first = 0;

  model->config = *config;
  model->now_us = START_US;
  model->rand = g_rand_new_with_seed (config->seed);
  list_init (&model->jobs);
  model->all_jobs = g_ptr_array_new_with_free_func (job_free);
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
      g_free (vm->announced);
      g_free (vm->is_lost);
    }
  g_free (model->vms);
  g_ptr_array_unref (model->messages);
  g_ptr_array_unref (model->all_jobs);
  g_rand_free (model->rand);
  g_free (model);
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

/* The homes notice that VM is gone: jobs that have tasks there are lost, and
   its offers count as withdrawn.  */
static void
notice_dead (struct load_model *model, struct model_vm *vm)
{
  g_autoptr (GPtrArray) jobs = g_ptr_array_new ();
  struct list_node *node;
  struct list_node *after;

  for (guint i = 0; i < model->config.n_owners; i++)
    model->vms[i].is_lost[vm->index] = TRUE;
  list_for_each (node, after, &model->jobs)
    g_ptr_array_add (jobs, list_entry (node, struct model_job, link));
  for (guint i = 0; i < jobs->len; i++)
    {
      struct model_job *job = g_ptr_array_index (jobs, i);

      if (job->home == vm)
        end_job (job, &get_result (job)->n_failed);
      for (guint k = 0; k < job->parts->len; k++)
        {
          struct model_part *part = g_ptr_array_index (job->parts, k);

          if (part->vm != vm || !part->is_open)
            continue;
          close_part (part);
          if (part->n_tasks > 0)
            end_job (job, &get_result (job)->n_failed);
        }
      renew_offers (job);
    }
}

void
load_model_kill_owner (struct load_model *model, guint owner)
{
  struct model_vm *vm = &model->vms[owner];

  vm->is_dead = TRUE;
  load_model_run (model, VM_LOST_US / USEC_PER_MSEC, 1);
  notice_dead (model, vm);
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
