#include "t/support/load_model_private.h"

#include "base/hash64.h"

#define SERVICE 1

static struct model_job *
job_from_waiting (struct waiting_job *waiting)
{
  return list_entry (waiting, struct model_job, waiting);
}

void
load_waiting_note_arrival (struct model_job *job)
{
  slot_demand_count (
      &job->home->demand, SERVICE, load_job_get_kind (job)->n_tasks,
      job->estimate_ms * USEC_PER_MSEC, job->home->model->now_us);
}

void
load_waiting_init (struct model_job *job)
{
  struct waiting_job *waiting = &job->waiting;

  waiting_job_init (waiting);
  waiting->service_hash = SERVICE;
  waiting->n_tasks = load_job_get_kind (job)->n_tasks;
  waiting->run_ms = job->estimate_ms;
  waiting->priority = load_job_get_kind (job)->priority;
  waiting->start_by_us = job->start_by_us;
  waiting->end_by_us = job->end_by_us;
  waiting->n_bytes = LOAD_JOB_BYTES;
}

static gboolean
may_wait (const struct model_vm *vm)
{
  return vm->waiting.max_jobs > 0;
}

/* Whether slots are expected.  HAS_OWNER: besides those that owners
   announce.  */
static gboolean
expects_slots (const struct load_model *model, gboolean has_owner)
{
  return !has_owner || model->now_us < model->slots_expected_until_us;
}

static struct waiting_slots
sum_slots (struct model_vm *vm, const struct spread_owner *owners,
           guint n_owners)
{
  struct waiting_slots slots
      = { .n_homes = vm->model->config.n_owners,
          .seed = hash64_pair (vm->index, ++vm->n_rounds) };

  for (guint i = 0; i < n_owners; i++)
    {
      const struct spread_owner *owner = &owners[i];

      slots.n_free += owner->free_slots;
      slots.pool.n_slots += owner->room.n_slots;
      slots.pool.ends_per_s += owner->room.ends_per_s;
      for (guint k = 0; k < ROOM_PRIORITIES; k++)
        {
          slots.pool.n_queued[k] += owner->room.n_queued[k];
          slots.pool.starts_per_s[k] += owner->room.starts_per_s[k];
        }
    }
  waiting_slots_set_demand (&slots, &vm->demand, SERVICE, n_owners,
                            !expects_slots (vm->model, TRUE),
                            vm->model->now_us);
  return slots;
}

static void
assign_round (struct model_vm *vm)
{
  struct load_model *model = vm->model;
  g_autofree struct spread_owner *owners
      = g_new0 (struct spread_owner, model->config.n_owners);
  struct waiting_slots slots;
  g_autoptr (GPtrArray) hopeless = NULL;
  g_autoptr (GPtrArray) list = NULL;
  guint n_owners;

  load_home_refresh_room (vm);
  n_owners = load_home_list_owners (vm, 1, owners);
  slots = sum_slots (vm, owners, n_owners);
  hopeless = waiting_jobs_list_hopeless (&vm->waiting, SERVICE, &slots,
                                         model->now_us);
  for (guint i = 0; i < hopeless->len; i++)
    load_home_refuse (job_from_waiting (g_ptr_array_index (hopeless, i)));
  list = waiting_jobs_select (&vm->waiting, SERVICE, &slots, model->now_us);
  for (guint i = 0; i < list->len; i++)
    {
      struct waiting_job *waiting = g_ptr_array_index (list, i);

      if (waiting_job_is_waiting (waiting))
        load_home_assign_all (job_from_waiting (waiting));
    }
}

gboolean
load_waiting_add (struct model_job *job, gboolean has_owner)
{
  struct model_vm *vm = job->home;
  struct load_model *model = vm->model;
  struct waiting_job *excess;

  if (!may_wait (vm) || model->now_us >= job->end_by_us
      || !expects_slots (model, has_owner))
    return FALSE;
  job->wanted.n = 0;
  job->n_assignments = 0;
  if (!waiting_job_is_waiting (&job->waiting))
    waiting_jobs_add (&vm->waiting, &job->waiting);
  while ((excess = waiting_jobs_find_excess (&vm->waiting, model->now_us)))
    load_home_refuse (job_from_waiting (excess));
  return TRUE;
}

gboolean
load_waiting_is_behind (struct model_job *job)
{
  struct model_vm *vm = job->home;

  if (!may_wait (vm)
      || !((waiting_job_is_late (&job->waiting, vm->model->now_us)
            && expects_slots (vm->model, TRUE))
           || waiting_jobs_precede (&vm->waiting, &job->waiting,
                                    vm->model->now_us)))
    return FALSE;
  waiting_jobs_add (&vm->waiting, &job->waiting);
  assign_round (vm);
  return TRUE;
}

void
load_waiting_end (struct model_job *job)
{
  waiting_jobs_remove (&job->home->waiting, &job->waiting);
}

void
load_waiting_advance (struct model_vm *vm)
{
  gint64 now_us = vm->model->now_us;
  struct waiting_job *expired;

  while ((expired = waiting_jobs_find_expired (&vm->waiting, now_us)) != NULL)
    load_home_refuse (job_from_waiting (expired));
  if (vm->waiting.n == 0 || now_us - vm->assigned_us < WAITING_ROUND_US)
    return;
  vm->assigned_us = now_us;
  assign_round (vm);
}
