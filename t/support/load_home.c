#include "t/support/load_model_private.h"

#include "base/hash64.h"

/* The home's rules; see transport/fleet_home.c.  */
#define STRETCH_PERCENT 160
#define GOAL_MS 60
#define LATE_FACTOR 3
#define MAX_ASSIGNMENTS 24

/* What a task needs in a configuration with sizes.  */
#define SIZED_TASK_CPUS 8
#define SIZED_TASK_PERCENT 20
#define MAX_ASSIGNMENTS_BEFORE_START 6

const struct load_kind *
load_job_get_kind (const struct model_job *job)
{
  return &job->home->model->config.kinds[job->kind];
}

/* The objective of a job whose tasks take RUN_MS.  */
static gint64
get_objective_us (guint run_ms)
{
  return (run_ms * STRETCH_PERCENT / 100 + GOAL_MS) * USEC_PER_MSEC;
}

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

      if (!part->is_open || part->tasks.n > 0 || part == kept)
        continue;
      close_part (part);
      load_model_send (part, MESSAGE_STOP);
    }
}

static gboolean
may_have_started (const struct model_job *job)
{
  if (job->has_started || job->done.n > 0)
    return TRUE;
  for (guint i = 0; i < job->parts->len; i++)
    {
      const struct model_part *part = g_ptr_array_index (job->parts, i);

      if (part->is_open && part->tasks.n > 0)
        return TRUE;
    }
  return FALSE;
}

/* Counts the end of JOB, for which the member at OFFSET of the results
   stands.  */
static void
count_end (struct model_job *job, gsize offset)
{
  struct load_model *model = job->home->model;
  gdouble worth = load_job_get_kind (job)->worth;
  struct load_result *group
      = &model->groups[job->caller == 0 ? GROUP_FIRST : GROUP_OTHERS];

  if (job->accepted_us < model->counted_from_us)
    return;
  G_STRUCT_MEMBER (guint, &model->results[job->kind], offset)++;
  G_STRUCT_MEMBER (guint, group, offset)++;
  group->n_jobs++;
  if (job->is_retry)
    G_STRUCT_MEMBER (guint, &model->groups[GROUP_RETRIES], offset)++;
  if (job->caller == 0)
    return;
  model->others_worth += worth;
  if (offset == offsetof (struct load_result, n_in_time))
    model->others_worth_served += worth;
}

/* Ends JOB: counts it in the member at OFFSET of the results, and stops what
   is left of it.  */
static void
end_job (struct model_job *job, gsize offset)
{
  if (job->is_over)
    return;
  count_end (job, offset);
  load_waiting_end (job);
  job->is_over = TRUE;
  job->wanted.n = 0;
  list_remove (&job->link);
  for (guint i = 0; i < job->parts->len; i++)
    {
      struct model_part *part = g_ptr_array_index (job->parts, i);

      if (part->is_open)
        load_model_send (part, MESSAGE_STOP);
      close_part (part);
    }
}

static void
give_up_job (struct model_job *job)
{
  end_job (job, may_have_started (job)
                    ? offsetof (struct load_result, n_failed)
                    : offsetof (struct load_result, n_refused));
}

guint
load_home_list_owners (struct model_vm *home, gdouble cpus,
                       struct spread_owner *owners)
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
      owner.free_slots = free_slots_count (&owner.room.free_slots, cpus);
      if (owner.is_self)
        owner.free_slots
            = owner_count_free_slots (home->owner, "s", cpus, model->now_us);
      if (owner.room.n_slots > 0)
        owners[n++] = owner;
    }
  return n;
}

void
load_home_refresh_room (struct model_vm *vm)
{
  struct owner_room room;

  owner_get_room (vm->owner, "s", &room, vm->model->now_us);
  vm_room_init (&vm->room, "s", &room);
}

/* Whether JOB can only be late, and nothing of it has begun.  */
static gboolean
is_late (const struct model_job *job)
{
  return job->home->model->now_us > job->start_by_us
         && !may_have_started (job);
}

/* Sends PART to its owner.  */
static void
send_part (struct model_part *part, guint n_share)
{
  struct model_job *job = part->job;
  struct model_vm *home = job->home;
  const struct room_tasks tasks
      = { .n = n_share,
          .cpus = job->cpus,
          .priority = load_job_get_kind (job)->priority,
          .is_late = is_late (job) };

  if (part->vm != home)
    vm_room_take (&home->announced[part->vm->index], &tasks);
  load_model_send (part, MESSAGE_BATCH);
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

static struct queue_sum
sum_queues (const struct spread_owner *owners, guint n_owners)
{
  struct queue_sum sum = { 0 };

  for (guint i = 0; i < n_owners; i++)
    queue_sum_add (&sum, &owners[i].room);
  return sum;
}

/* Whether JOB belongs to the excess of its caller, which is then asked to
   return after *RETRY_MS.  */
static gboolean
is_excess (struct model_job *job, const struct queue_sum *queue,
           gint64 *retry_ms)
{
  struct load_model *model = job->home->model;
  struct caller_standing standing;

  if (!model->config.shares_by_caller || job->n_assignments > 1
      || !queue_sum_has_queue (queue))
    return FALSE;
  standing = caller_share_get (job->home->share, job->caller + 1,
                               queue->capacity_milli, model->now_us);
  *retry_ms = MAX (*retry_ms, caller_standing_get_excess_ms (&standing));
  return caller_standing_is_excess (&standing, hash64_string (job->id));
}

/* JOB was refused, with Retry-After of RETRY_MS without a spread.  */
static void
plan_return (struct model_job *job, const struct queue_sum *queue,
             gint64 retry_ms)
{
  struct load_model *model = job->home->model;
  struct retry_request request = { .job = hash64_string (job->id),
                                   .n_tasks = load_job_get_kind (job)->n_tasks,
                                   .drain_ms = retry_ms,
                                   .starts_per_s = queue->starts_per_s,
                                   .n_homes = model->config.n_owners,
                                   .seed = (guint64)model->now_us };
  struct model_return *returned;

  if (job->is_retry || model->config.retry_percent == 0
      || may_have_started (job))
    return;
  if (model->config.spreads_retries)
    retry_ms
        = retry_spread_refuse (job->home->retries, &request, model->now_us);
  if (g_rand_int_range (model->rand, 0, 100)
      >= (gint32)model->config.retry_percent)
    return;
  returned = g_new0 (struct model_return, 1);
  *returned = (struct model_return){ .kind = job->kind,
                                     .caller = job->caller,
                                     .run_ms = job->run_ms,
                                     .estimate_ms = job->estimate_ms,
                                     .id = g_strdup (job->id) };
  /* The header has whole seconds.  */
  returned->due_us = model->now_us + (retry_ms + 999) / 1000 * USEC_PER_SEC;
  g_ptr_array_add (model->returns, returned);
}

static void
assign_tasks (struct model_job *job, const guint *indexes, guint n_tasks)
{
  struct load_model *model = job->home->model;
  const struct load_kind *kind = load_job_get_kind (job);
  g_autofree struct spread_owner *owners
      = g_new0 (struct spread_owner, model->config.n_owners);
  struct spread_tasks tasks = { .n = n_tasks + job->wanted.n,
                                .run_ms = job->estimate_ms,
                                .priority = kind->priority,
                                .is_late = is_late (job),
                                .is_offer_only = job->n_assignments > 0,
                                .max_offers = model->config.max_offers };
  struct spread_offer offer;
  struct queue_sum queue;
  gint64 retry_ms;
  guint n_owners;
  guint n_given;

  withdraw_offers (job, NULL);
  load_home_refresh_room (job->home);
  n_owners = load_home_list_owners (job->home, job->cpus, owners);
  job->n_assignments++;
  offer = spread_assign (
      owners, n_owners, &tasks,
      hash64_pair (hash64_string (job->id), job->n_assignments));
  queue = sum_queues (owners, n_owners);
  retry_ms = MAX (offer.wait_ms, 0);
  if (offer.wait_ms < 0 || offer.wait_ms > get_longest_wait_ms (job)
      || is_excess (job, &queue, &retry_ms))
    {
      if (!may_have_started (job)
          && load_waiting_add (job, offer.wait_ms >= 0))
        return;
      plan_return (job, &queue, retry_ms);
      give_up_job (job);
      return;
    }
  /* One that can only be late waits until there are free slots for all of
     it.  */
  if (tasks.is_late && offer.n_tasks > 0 && load_waiting_add (job, TRUE))
    return;
  load_waiting_end (job);
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
      part->tasks = part->offered;
      indexes += owners[i].n_given;
      send_part (part, part->tasks.n);
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

void
load_home_assign_all (struct model_job *job)
{
  guint indexes[TASK_OFFER_MAX];
  guint n_tasks = load_job_get_kind (job)->n_tasks;

  for (guint i = 0; i < n_tasks; i++)
    indexes[i] = i;
  job->wanted.n = 0;
  assign_tasks (job, indexes, n_tasks);
}

void
load_home_refuse (struct model_job *job)
{
  give_up_job (job);
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
  else if (has_started || !load_waiting_add (job, TRUE))
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

/* PART has no longer those of its tasks that are in RETURNED.  Writes them to
   INDEXES, and returns their number.  */
static guint
take_back (struct model_part *part, const struct task_set *returned,
           guint *indexes)
{
  guint n = task_set_grant (&part->tasks, returned, TASK_OFFER_MAX, indexes);

  task_set_remove (&part->offered, returned->indexes, returned->n);
  for (guint i = 0; i < n; i++)
    part->job->is_granted[indexes[i]] = FALSE;
  return n;
}

void
load_home_handle_returned (const struct message *message)
{
  struct model_part *part = message->part;
  struct task_set returned = { 0 };
  guint indexes[TASK_OFFER_MAX];
  guint n;

  if (!part->is_open)
    return;
  part->job->has_started |= message->flag;
  task_set_add (&returned, message->indexes, message->n);
  n = take_back (part, &returned, indexes);
  if (n > 0)
    reassign_tasks (part->job, indexes, n);
}

void
load_home_handle_end (const struct message *message)
{
  struct model_part *part = message->part;
  struct model_job *job = part->job;
  gint64 took_us = job->home->model->now_us - job->accepted_us;

  load_home_handle_returned (message);
  if (!part->is_open)
    return;
  close_part (part);
  if (message->end == BATCH_DONE)
    {
      /* The owner must have run exactly the tasks of the part, and no other
         owner any of them.  */
      g_assert_cmpuint (part->tasks.n, ==, message->done.n);
      for (guint i = 0; i < message->done.n; i++)
        {
          guint index = message->done.indexes[i];

          g_assert_true (task_set_contains (&part->tasks, index));
          g_assert_false (task_set_contains (&job->done, index));
          task_set_add (&job->done, &index, 1);
        }
    }
  else if (message->end == BATCH_NOT_STARTED)
    {
      const struct task_set dropped = part->tasks;
      guint indexes[TASK_OFFER_MAX];
      guint n = take_back (part, &dropped, indexes);

      if (n > 0)
        reassign_tasks (job, indexes, n);
    }
  else
    end_job (job, offsetof (struct load_result, n_failed));
  if (job->done.n == load_job_get_kind (job)->n_tasks)
    end_job (job, took_us <= get_objective_us (job->run_ms)
                      ? offsetof (struct load_result, n_in_time)
                      : offsetof (struct load_result, n_late));
  renew_offers (job);
}

void
load_home_handle_claim (const struct message *message)
{
  struct model_part *part = message->part;
  struct model_job *job = part->job;
  struct message *reply = load_model_send (part, MESSAGE_GRANT);

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
  task_set_add (&part->tasks, reply->indexes, reply->n);
  reply->flag
      = reply->n == 0 || !task_set_intersects (&job->wanted, &part->offered);
  if (reply->flag)
    part->offered.n = 0;
  if (job->wanted.n == 0)
    withdraw_offers (job, part);
}

void
load_home_free_job (gpointer data)
{
  struct model_job *job = data;

  g_ptr_array_unref (job->parts);
  g_free (job->id);
  g_free (job);
}

/* The CPUs that each task of a job needs.  */
static gdouble
draw_cpus (struct load_model *model)
{
  const struct load_config *c = &model->config;

  if (!c->is_sized)
    return 1;
  if (c->task_cpus > 0)
    return c->task_cpus;
  return load_model_vary (model, SIZED_TASK_CPUS * 1000, SIZED_TASK_PERCENT)
         / 1000.0;
}

void
load_home_free_return (gpointer data)
{
  struct model_return *returned = data;

  g_free (returned->id);
  g_free (returned);
}

static struct model_job *
job_new (struct load_model *model, guint kind, guint caller, char *id)
{
  struct model_job *job = g_new0 (struct model_job, 1);

  job->kind = kind;
  job->caller = caller;
  job->id = id;
  job->parts = g_ptr_array_new_with_free_func (g_free);
  list_init (&job->link);
  g_ptr_array_add (model->all_jobs, job);
  return job;
}

/* JOB is a new one: draws its run time, and what its home knows of that.  */
static void
draw_run_time (struct load_model *model, struct model_job *job)
{
  guint percent = model->config.spread_percent;

  job->run_ms = load_model_vary (model, model->config.kinds[job->kind].run_ms,
                                 percent);
  job->estimate_ms = load_model_vary (model, job->run_ms, percent);
  job->cpus = draw_cpus (model);
}

static struct model_vm *
draw_home (struct load_model *model)
{
  return &model->vms[g_rand_int_range (model->rand, 0,
                                       (gint32)model->config.n_owners)];
}

/* The caller of the next job.  Callers differ: of each three in turn, the
   second sends twice and the third three times as many jobs as the first.  */
static guint
draw_caller (struct load_model *model)
{
  guint n = model->config.n_callers;
  guint caller;

  if (n == 0)
    return 0;
  do
    caller = (guint)g_rand_int_range (model->rand, 0, (gint32)n);
  while ((guint)g_rand_int_range (model->rand, 0, 3) > caller % 3);
  return caller;
}

/* JOB arrives at its home.  */
static void
accept_job (struct model_job *job)
{
  struct model_vm *home = job->home;
  struct load_model *model = home->model;
  guint n_tasks = load_job_get_kind (job)->n_tasks;
  gint64 objective_us = get_objective_us (job->estimate_ms);
  gint64 run_us = job->estimate_ms * USEC_PER_MSEC;
  gboolean is_known;

  job->accepted_us = model->now_us;
  job->start_by_us = model->now_us + objective_us - run_us;
  job->end_by_us = model->now_us + objective_us * LATE_FACTOR - run_us;
  if (home->is_dead)
    return;
  is_known = retry_spread_note_arrival (home->retries, hash64_string (job->id),
                                        model->config.n_owners, model->now_us);
  if (!is_known)
    caller_share_count (home->share, job->caller + 1,
                        n_tasks * (gdouble)run_us, model->now_us);
  model->results[job->kind].n_jobs++;
  if (job->is_retry)
    model->groups[GROUP_RETRIES].n_jobs++;
  list_append (&model->jobs, &job->link);
  load_waiting_note_arrival (job);
  load_waiting_init (job);
  if (!load_waiting_is_behind (job))
    load_home_assign_all (job);
}

static char *
make_id (const struct load_model *model)
{
  return g_strdup_printf ("%016x", model->all_jobs->len + 1);
}

void
load_home_submit (struct load_model *model, guint kind)
{
  struct model_job *job
      = job_new (model, kind, draw_caller (model), make_id (model));

  job->home = draw_home (model);
  draw_run_time (model, job);
  accept_job (job);
}

void
load_home_submit_flood (struct load_model *model)
{
  struct model_job *job
      = job_new (model, model->flood_kind, 0, make_id (model));
  gint home = model->flood_home;

  if (home < 0 || model->vms[home].is_dead)
    job->home = draw_home (model);
  else
    job->home = &model->vms[home];
  draw_run_time (model, job);
  accept_job (job);
}

void
load_home_submit_return (struct load_model *model,
                         const struct model_return *returned)
{
  struct model_job *job = job_new (model, returned->kind, returned->caller,
                                   g_strdup (returned->id));

  job->is_retry = TRUE;
  job->home = draw_home (model);
  job->run_ms = returned->run_ms;
  job->estimate_ms = returned->estimate_ms;
  accept_job (job);
}

void
load_home_lose_vm (struct load_model *model, struct model_vm *vm)
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
        end_job (job, offsetof (struct load_result, n_failed));
      for (guint k = 0; k < job->parts->len; k++)
        {
          struct model_part *part = g_ptr_array_index (job->parts, k);

          if (part->vm != vm || !part->is_open)
            continue;
          close_part (part);
          if (part->tasks.n > 0)
            end_job (job, offsetof (struct load_result, n_failed));
        }
      renew_offers (job);
    }
}
