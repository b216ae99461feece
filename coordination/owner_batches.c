#include "coordination/owner_private.h"
#include "coordination/slot_choice.h"

#include <string.h>

/* After this number of batches whose tasks do not all fit, the rest of the
   queue is not tried.  */
#define MAX_SKIPPED_BATCHES 12

/* A run on an upstream that is slower by this much costs as much as waiting,
   so faster upstreams are preferred in steps of this size.  Within one step
   the one with the fewest free CPUs is preferred.  */
#define SLOWNESS_STEP 0.15

/* The poll that follows a start is delayed by this, so that one poll covers
   further starts there.  */
#define START_POLL_DELAY_US (10 * USEC_PER_MSEC)

/* Weight of the latest batch in the smoothed typical CPUs of a task.  */
#define TYPICAL_CPUS_WEIGHT 0.05

/* The typical CPUs of a task are at least this, even if tasks need none, so
   that the slots of the largest capacity, 1e6 CPUs, can be counted.  */
#define MIN_TYPICAL_CPUS 0.01

struct batch *
batch_new (const char *job, const char *home, guint n_tasks)
{
  struct batch *batch = g_new0 (struct batch, 1);

  list_init (&batch->link);
  list_init (&batch->holds);
  batch->job = g_strdup (job);
  batch->home = g_strdup (home);
  batch->first_run_number = 1;
  batch->attempts = 1;
  batch->far_factor = 1;
  batch->end_by_us = DEADLINE_NEVER;
  batch->n_tasks = n_tasks;
  batch->n_queued = n_tasks;
  batch->tasks = g_new0 (struct batch_task, n_tasks);
  for (guint i = 0; i < n_tasks; i++)
    batch->tasks[i].batch = batch;
  return batch;
}

void
batch_free (struct batch *batch)
{
  list_remove (&batch->link);
  owner_release_holds (batch);
  for (guint i = 0; i < batch->n_tasks; i++)
    {
      batch_task_clear_crashes (&batch->tasks[i]);
      g_free (batch->tasks[i].failed_on);
    }
  g_free (batch->tasks);
  g_free (batch->job);
  g_free (batch->home);
  g_free (batch->service);
  g_free (batch->spec);
  g_free (batch->affinity);
  g_free (batch->required_label);
  g_free (batch);
}

void
batch_set_offered (struct batch *batch, guint n_offers)
{
  batch->n_offers = n_offers;
  batch->n_offered = batch->n_tasks;
  batch->n_queued = 0;
  for (guint i = 0; i < batch->n_tasks; i++)
    batch->tasks[i].state = BATCH_TASK_OFFERED;
}

guint
batch_count_waiting (const struct batch *batch)
{
  guint n_queued = batch->n_queued - batch->n_suspects;

  if (batch->n_offered == 0)
    return n_queued;
  return n_queued + (batch->n_offered + batch->n_offers - 1) / batch->n_offers;
}

void
batch_task_queue (struct batch_task *task)
{
  task->state = BATCH_TASK_QUEUED;
  task->batch->n_queued++;
  task->batch->n_suspects += batch_task_is_suspect (task) ? 1 : 0;
}

void
batch_task_unqueue (struct batch_task *task, enum batch_task_state state)
{
  task->state = state;
  task->batch->n_queued--;
  task->batch->n_suspects -= batch_task_is_suspect (task) ? 1 : 0;
}

guint
batch_list_tasks (const struct batch *batch, enum batch_task_state state,
                  guint *indexes)
{
  guint n = 0;

  for (guint i = 0; i < batch->n_tasks; i++)
    if (batch->tasks[i].state == state)
      indexes[n++] = batch->tasks[i].index;
  return n;
}

gboolean
batch_is_returned (const struct batch *batch)
{
  return batch->n_returned == batch->n_tasks;
}

/* Whether tasks of the job may have been started.  Their work would be wasted
   if the rest of the job found no room.  */
static gboolean
may_have_begun (const struct batch *batch)
{
  return batch->is_part || batch->n_started > 0;
}

/* Whether A goes before B in the queue.  */
static gboolean
precedes (const struct batch *a, const struct batch *b)
{
  if (a->is_late != b->is_late)
    return b->is_late;
  if (a->priority != b->priority)
    return a->priority < b->priority;
  return a->start_by_us < b->start_by_us;
}

static void
insert_queued (struct owner *owner, struct batch *batch)
{
  struct list_node *node = owner->queue.prev;

  while (node != &owner->queue
         && precedes (batch, list_entry (node, struct batch, link)))
    node = node->prev;
  list_insert_after (node, &batch->link);
}

void
owner_relink_batch (struct owner *owner, struct batch *batch)
{
  list_remove (&batch->link);
  if (may_have_begun (batch))
    batch->is_late = FALSE;
  if (batch->n_queued + batch->n_offered > 0)
    insert_queued (owner, batch);
  else
    list_append (&owner->batches, &batch->link);
}

gboolean
owner_finish_batch_if_done (struct owner *owner, struct batch *batch)
{
  if (batch->is_finished || batch->n_active > 0)
    return FALSE;
  if (!batch->is_ending && batch->n_done + batch->n_returned < batch->n_tasks)
    return FALSE;
  if (!batch->is_ending)
    batch->end = BATCH_DONE;
  list_remove (&batch->link);
  batch->is_finished = TRUE;
  owner->driver->ops->finish_batch (owner->driver, batch);
  return TRUE;
}

void
owner_end_batch (struct owner *owner, struct batch *batch, enum batch_end end,
                 const char *reason, gint64 now_us)
{
  if (batch->is_ending)
    return;
  batch->confirmed_us = owner_get_confirmed_us (owner, batch);
  batch->is_ending = TRUE;
  batch->end = end;
  batch->reason = reason;
  for (guint i = 0; i < batch->n_tasks; i++)
    {
      struct batch_task *task = &batch->tasks[i];

      if (task->state == BATCH_TASK_QUEUED
          || task->state == BATCH_TASK_OFFERED)
        task->state = BATCH_TASK_DROPPED;
      if (task->run != NULL)
        owner_stop_run (owner, task->run, now_us);
    }
  batch->n_queued = 0;
  batch->n_suspects = 0;
  batch->n_offered = 0;
  owner_release_holds (batch);
  owner_relink_batch (owner, batch);
}

void
owner_stop_batch (struct owner *owner, struct batch *batch, const char *reason,
                  gint64 now_us)
{
  enum batch_end end
      = batch->n_started == 0 ? BATCH_NOT_STARTED : BATCH_STOPPED;

  /* Its end is on its way to the home.  */
  if (batch->is_finished)
    return;
  owner_end_batch (owner, batch, end, reason, now_us);
  owner_finish_batch_if_done (owner, batch);
}

/* Whether TASK is queued and may be one of N_TASKS that are given back.
   Suspects stay unless WITH_ALL: another owner would run them no sooner.  */
static gboolean
may_return (const struct batch_task *task, guint n_tasks, gboolean with_all)
{
  return task->state == BATCH_TASK_QUEUED && n_tasks > 0
         && (with_all || !batch_task_is_suspect (task));
}

guint
owner_return_tasks (struct owner *owner, struct batch *batch, guint n_tasks,
                    gboolean with_offered)
{
  guint *indexes = g_new (guint, batch->n_tasks);
  guint n = 0;

  for (guint i = 0; i < batch->n_tasks; i++)
    {
      struct batch_task *task = &batch->tasks[i];

      if (may_return (task, n_tasks, with_offered))
        {
          n_tasks--;
          batch_task_unqueue (task, BATCH_TASK_RETURNED);
        }
      else if (task->state == BATCH_TASK_OFFERED && with_offered)
        {
          batch->n_offered--;
          task->state = BATCH_TASK_RETURNED;
        }
      else
        continue;
      indexes[n++] = task->index;
    }
  if (n > 0)
    {
      batch->n_returned += n;
      batch->is_part = TRUE;
      owner->driver->ops->return_tasks (owner->driver, batch, indexes, n);
    }
  g_free (indexes);
  if (!owner_finish_batch_if_done (owner, batch))
    owner_relink_batch (owner, batch);
  return n;
}

/* Whether BATCH, if it is queued, is late.  */
static gboolean
has_become_late (const struct batch *batch, gint64 now_us)
{
  return batch->start_by_us <= now_us && !may_have_begun (batch);
}

void
owner_submit_batch (struct owner *owner, struct batch *batch, gint64 now_us)
{
  gdouble more = batch->need.cpus - owner->typical_cpus;

  owner->typical_cpus = MAX (owner->typical_cpus + TYPICAL_CPUS_WEIGHT * more,
                             MIN_TYPICAL_CPUS);
  batch->queued_us = now_us;
  batch->is_late = has_become_late (batch, now_us);
  owner_relink_batch (owner, batch);
  owner_start_queued (owner, now_us);
  if (batch->n_queued > 0 && batch->needs_free_slots)
    owner_return_tasks (owner, batch, batch->n_queued, FALSE);
  owner_advance (owner, now_us);
}

const struct batch *
owner_get_first_queued (const struct owner *owner)
{
  const struct list_node *node;

  for (node = owner->queue.next; node != &owner->queue; node = node->next)
    {
      const struct batch *batch = list_entry (node, struct batch, link);

      if (batch_count_waiting (batch) > 0)
        return batch;
    }
  return NULL;
}

/* The queued batches for SERVICE; settled ones only if WITH_SETTLED.  */
static GPtrArray *
list_queued (struct owner *owner, const char *service, gboolean with_settled)
{
  GPtrArray *found = g_ptr_array_new ();
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &owner->queue)
    {
      struct batch *batch = list_entry (node, struct batch, link);

      if (g_str_equal (batch->service, service)
          && (with_settled || !batch->is_settled))
        g_ptr_array_add (found, batch);
    }
  return found;
}

void
owner_return_queued (struct owner *owner, const char *service, guint n_tasks,
                     gint64 now_us)
{
  g_autoptr (GPtrArray) found = list_queued (owner, service, FALSE);

  for (guint i = 0; i < found->len && n_tasks > 0; i++)
    n_tasks -= owner_return_tasks (owner, g_ptr_array_index (found, i),
                                   n_tasks, FALSE);
}

void
owner_return_all_queued (struct owner *owner, const char *service,
                         gint64 now_us)
{
  g_autoptr (GPtrArray) found = list_queued (owner, service, TRUE);

  for (guint i = 0; i < found->len; i++)
    owner_return_tasks (owner, g_ptr_array_index (found, i), G_MAXUINT, TRUE);
}

static void
stop_home_batches_in (struct owner *owner, struct list_node *batches,
                      const char *home, gint64 now_us)
{
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, batches)
    {
      struct batch *batch = list_entry (node, struct batch, link);

      if (g_str_equal (batch->home, home))
        g_ptr_array_add (found, batch);
    }
  for (guint i = 0; i < found->len; i++)
    owner_stop_batch (owner, g_ptr_array_index (found, i), "its home is gone",
                      now_us);
}

void
owner_stop_home_batches (struct owner *owner, const char *home, gint64 now_us)
{
  stop_home_batches_in (owner, &owner->queue, home, now_us);
  stop_home_batches_in (owner, &owner->batches, home, now_us);
}

/* The queued task of BATCH that is called NAME and has had a run NUMBER, or
   NULL.  */
static struct batch_task *
find_queued_task (struct batch *batch, const char *name, guint number)
{
  if (!g_str_has_prefix (name, batch->job))
    return NULL;
  for (guint i = 0; i < batch->n_tasks; i++)
    {
      struct batch_task *task = &batch->tasks[i];
      g_autofree char *own = NULL;

      if (task->state != BATCH_TASK_QUEUED || number < batch->first_run_number
          || number >= batch->first_run_number + task->n_runs)
        continue;
      own = g_strdup_printf ("%s.0.%u.%u", batch->job, batch->step,
                             task->index);
      if (g_str_equal (own, name))
        return task;
    }
  return NULL;
}

void
owner_accept_late_success (struct owner *owner, const char *name, guint number)
{
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &owner->queue)
    {
      struct batch *batch = list_entry (node, struct batch, link);
      struct batch_task *task = find_queued_task (batch, name, number);

      if (task == NULL)
        continue;
      batch_task_unqueue (task, BATCH_TASK_DONE);
      batch->n_done++;
      if (!owner_finish_batch_if_done (owner, batch))
        owner_relink_batch (owner, batch);
      return;
    }
}

static gboolean
has_label (const struct owned_upstream *upstream, const char *label)
{
  if (label == NULL || label[0] == '\0')
    return TRUE;
  for (guint i = 0; i < upstream->labels->len; i++)
    if (g_str_equal (g_ptr_array_index (upstream->labels, i), label))
      return TRUE;
  return FALSE;
}

static gboolean
is_same_step (const struct batch *a, const struct batch *b)
{
  return a == b || (a->step == b->step && g_str_equal (a->job, b->job));
}

/* The runs and holds on UPSTREAM of the step of BATCH.  A job may have several
   batches here, as what does not fit comes back to its home.  */
static guint
count_runs_of (const struct owned_upstream *upstream,
               const struct batch *batch)
{
  const struct list_node *node;
  guint n = 0;

  for (node = upstream->runs.next; node != &upstream->runs; node = node->next)
    {
      const struct run *run = list_entry (node, struct run, link);

      n += run->task != NULL && is_same_step (run->task->batch, batch);
    }
  for (node = upstream->holds.next; node != &upstream->holds;
       node = node->next)
    n += is_same_step (list_entry (node, struct slot_hold, link)->batch,
                       batch);
  return n;
}

gboolean
owner_may_run_on (const struct owner *owner, const struct batch_task *task,
                  const struct owned_upstream *upstream, gint64 now_us)
{
  const struct batch *batch = task->batch;

  if (!g_str_equal (upstream->service, batch->service)
      || !owned_can_start (upstream, &batch->need, now_us)
      || !has_label (upstream, batch->required_label))
    return FALSE;
  /* A grant confirms the batch, so a slot may be claimed before.  */
  if (task->state != BATCH_TASK_OFFERED
      && !owner_can_lease (owner, upstream, batch, now_us))
    return FALSE;
  return batch->per_upstream == 0
         || count_runs_of (upstream, batch) < batch->per_upstream;
}

/* Whether UPSTREAM is off the preferred rack of BATCH.  */
static gboolean
is_far (const struct batch *batch, const struct owned_upstream *upstream)
{
  return batch->affinity != NULL && batch->affinity[0] != '\0'
         && g_strcmp0 (batch->affinity, upstream->rack) != 0;
}

/* The cost of running TASK on UPSTREAM; the lowest is preferred.  The terms,
   the one that counts most first: TASK failed there last, UPSTREAM is on
   probation or warming up, its expected slowness in steps, the CPUs left free.
 */
static gdouble
compute_cost (const struct batch_task *task,
              const struct owned_upstream *upstream, gint64 now_us)
{
  const struct batch *batch = task->batch;
  gdouble slowness = upstream->slowness;
  gdouble left = upstream->shape.cpus - upstream->used.cpus - batch->need.cpus;
  gdouble cost;

  if (is_far (batch, upstream))
    slowness *= batch->far_factor;
  cost = (gdouble)(gint64)(slowness / SLOWNESS_STEP) * 1000 + left;
  if (g_strcmp0 (task->failed_on, upstream->id) == 0)
    cost += 1000000;
  if (upstream->is_on_probation || owned_is_warming_up (upstream, now_us))
    cost += 100000;
  return cost;
}

/* Describes TASK to the choice of its slot.  One that was granted does not
   wait for a faster upstream: it was claimed for a slot that is free, and no
   other owner can start it any more.  */
static struct slot_task
describe_task (const struct batch_task *task, gint64 now_us)
{
  const struct batch *batch = task->batch;

  return (struct slot_task){
    .now_us = now_us,
    .run_us = batch->estimate_us,
    .start_by_us = batch->start_by_us,
    .end_by_us = batch->end_by_us,
    .may_wait = task->state == BATCH_TASK_OFFERED || batch->needs_free_slots,
    .has_failed = task->n_failed > 0,
    .is_last_attempt = task->n_failed + 1 >= batch->attempts
  };
}

/* Whether UPSTREAM can run the tasks of BATCH, at once or when it has room.  A
   task must not wait for one that never can.  */
static gboolean
is_suitable (const struct batch *batch, const struct owned_upstream *upstream,
             gint64 now_us)
{
  return owned_is_usable (upstream, now_us)
         && g_str_equal (upstream->service, batch->service)
         && has_label (upstream, batch->required_label)
         && owned_is_large_enough (upstream, &batch->need);
}

/* Whether no upstream of the service of BATCH can take its tasks any longer,
   but some are owned.  One that gets no runs for a while may take them when it
   recovers.  */
static gboolean
is_misfit (const struct owner *owner, const struct batch *batch)
{
  gboolean has_upstream = FALSE;
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      const struct owned_upstream *upstream = value;

      if (!g_str_equal (upstream->service, batch->service))
        continue;
      has_upstream = TRUE;
      if (!upstream->is_leaving && !upstream->is_releasing
          && has_label (upstream, batch->required_label)
          && owned_is_large_enough (upstream, &batch->need))
        return FALSE;
    }
  return has_upstream;
}

/* Returns the queued tasks that fit no upstream here any longer.  While a
   claim is not answered, it is not known which tasks were granted.  */
static void
return_misfits (struct owner *owner)
{
  g_autoptr (GPtrArray) found = g_ptr_array_new ();
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &owner->queue)
    {
      struct batch *batch = list_entry (node, struct batch, link);

      if (!batch->is_claiming && is_misfit (owner, batch))
        g_ptr_array_add (found, batch);
    }
  for (guint i = 0; i < found->len; i++)
    owner_return_tasks (owner, g_ptr_array_index (found, i), G_MAXUINT, TRUE);
}

/* Adds UPSTREAM, which is suitable for TASK, to CHOICE.  */
static void
add_candidate (const struct owner *owner, struct slot_choice *choice,
               const struct batch_task *task, struct owned_upstream *upstream,
               gint64 now_us)
{
  const struct batch *batch = task->batch;
  gdouble far_factor = is_far (batch, upstream) ? batch->far_factor : 1;
  const struct slot_candidate candidate = {
    .upstream = upstream,
    .slowness = upstream->slowness * far_factor,
    .cpus = upstream->shape.cpus,
    .free_cpus = owned_get_free_cpus (upstream),
    .succeeded_us = upstream->succeeded_us,
    .has_room = owner_may_run_on (owner, task, upstream, now_us),
    .is_on_probation
    = upstream->is_on_probation || owned_is_warming_up (upstream, now_us),
    .has_failed_task = g_strcmp0 (task->failed_on, upstream->id) == 0,
  };

  slot_choice_add (choice, &candidate);
}

/* Finds the slot with placement_by_speed.  */
static struct owned_upstream *
choose_slot (struct owner *owner, const struct batch_task *task, gint64 now_us)
{
  const struct slot_task description = describe_task (task, now_us);
  struct slot_choice choice;
  enum slot_wait wait;
  GHashTableIter iter;
  gpointer value;

  slot_choice_init (&choice, &description);
  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct owned_upstream *upstream = value;

      if (is_suitable (task->batch, upstream, now_us))
        add_candidate (owner, &choice, task, upstream, now_us);
    }
  wait = slot_choice_get (&choice, &value);
  if ((wait == SLOT_WAIT_FASTER || wait == SLOT_WAIT_PROVEN)
      && owner->driver->ops->slot_declined != NULL)
    owner->driver->ops->slot_declined (owner->driver, wait);
  return value;
}

struct owned_upstream *
owner_find_slot (struct owner *owner, const struct batch_task *task,
                 gint64 now_us)
{
  struct owned_upstream *best = NULL;
  gdouble best_cost = 0;
  GHashTableIter iter;
  gpointer value;

  if (owner->limits.placement_by_speed)
    return choose_slot (owner, task, now_us);
  g_hash_table_iter_init (&iter, owner->upstreams);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct owned_upstream *upstream = value;
      gdouble cost;

      if (!owner_may_run_on (owner, task, upstream, now_us))
        continue;
      cost = compute_cost (task, upstream, now_us);
      if (best != NULL && cost >= best_cost)
        continue;
      best = upstream;
      best_cost = cost;
    }
  return best;
}

/* The priority for which a start of BATCH counts.  Late batches take only what
   those of all priorities leave over.  */
static guint
get_start_class (const struct batch *batch)
{
  return owner_room_priority (batch->is_late ? ROOM_PRIORITIES
                                             : batch->priority);
}

void
owner_start_task (struct owner *owner, struct batch_task *task,
                  struct owned_upstream *upstream, gint64 now_us)
{
  struct batch *batch = task->batch;
  gdouble far_factor = is_far (batch, upstream) ? batch->far_factor : 1;
  gint64 until_ms = owner_get_lease_end_ms (owner, upstream, batch, now_us);
  g_autofree char *name
      = g_strdup_printf ("%s.0.%u.%u", batch->job, batch->step, task->index);
  struct run *run;

  run = run_new (upstream, task, name, batch->first_run_number + task->n_runs);
  task->n_runs++;
  owner->n_isolated += run->is_isolated ? 1 : 0;
  batch_task_unqueue (task, BATCH_TASK_RUNNING);
  task->run = run;
  batch->n_active++;
  batch->n_started++;
  if (batch->first_started_us == 0)
    batch->first_started_us = now_us;
  run->state = RUN_STARTING;
  event_rate_count (&upstream->starts[get_start_class (batch)], now_us);
  run->started_us = now_us;
  run->sent_us = now_us;
  run->progressed_us = now_us;
  run->listed_us = now_us;
  run->sent_after_poll = upstream->n_polls;
  run->declared_us = (gint64)((gdouble)batch->estimate_us * far_factor);
  run->expected_us = (gint64)((gdouble)batch->estimate_us * upstream->slowness
                              * far_factor);
  run->start_expires_us
      = owned_latest_time_us (owner, upstream, until_ms, now_us);
  upstream->leased_until_ms = MAX (upstream->leased_until_ms, until_ms);
  upstream->poll_due_us
      = MIN (upstream->poll_due_us, now_us + START_POLL_DELAY_US);
  owner_update_start_check (upstream, now_us);
  owner->driver->ops->start_run (owner->driver, run, until_ms);
}

void
owner_start_batch (struct owner *owner, struct batch *batch, gint64 now_us)
{
  for (guint i = 0; batch->n_queued > batch->n_suspects && i < batch->n_tasks;
       i++)
    {
      struct batch_task *task = &batch->tasks[i];
      struct owned_upstream *upstream;

      if (task->state != BATCH_TASK_QUEUED || batch_task_is_suspect (task))
        continue;
      upstream = owner_find_slot (owner, task, now_us);
      /* With placement_by_speed, a task that has failed may wait where the
         others need not.  */
      if (upstream == NULL && owner->limits.placement_by_speed
          && task->n_failed > 0)
        continue;
      if (upstream == NULL)
        return;
      owner_start_task (owner, task, upstream, now_us);
    }
}

void
owner_start_queued (struct owner *owner, gint64 now_us)
{
  struct list_node *node;
  struct list_node *after;
  guint n_skipped = 0;

  owner_detect_pause (owner, now_us);
  list_for_each (node, after, &owner->queue)
    {
      struct batch *batch = list_entry (node, struct batch, link);

      owner_start_batch (owner, batch, now_us);
      if (batch->n_queued == batch->n_suspects)
        owner_claim_slots (owner, batch, now_us);
      if (batch->n_queued + batch->n_offered == 0
          || (batch->is_late && may_have_begun (batch)))
        owner_relink_batch (owner, batch);
      else if (batch_count_waiting (batch) > 0
               && ++n_skipped >= MAX_SKIPPED_BATCHES)
        break;
    }
  owner_start_suspect (owner, now_us);
}

/* Moves batches of jobs that have missed their objective before anything of
   them was started behind all others.  */
static void
demote_late (struct owner *owner, gint64 now_us)
{
  g_autoptr (GPtrArray) late = g_ptr_array_new ();
  struct list_node *node;
  struct list_node *after;

  list_for_each (node, after, &owner->queue)
    {
      struct batch *batch = list_entry (node, struct batch, link);

      if (batch->is_late)
        break;
      if (has_become_late (batch, now_us))
        g_ptr_array_add (late, batch);
    }
  for (guint i = 0; i < late->len; i++)
    {
      struct batch *batch = g_ptr_array_index (late, i);

      batch->is_late = TRUE;
      owner_relink_batch (owner, batch);
    }
}

/* Whether BATCH, none of which has begun, can't be started in time: it is
   late, and the batches in time have tasks that wait for the same upstreams.
 */
static gboolean
is_hopeless (struct owner *owner, const struct batch *batch, gint64 now_us)
{
  struct owner_room room;
  gdouble starts_per_s = 0;
  guint n_own = batch_count_waiting (batch);
  guint n_ahead = n_own;

  if (!batch->is_late || may_have_begun (batch))
    return FALSE;
  owner_get_room (owner, batch->service, &room, now_us);
  for (guint i = 0; i < ROOM_PRIORITIES; i++)
    {
      n_ahead += room.n_queued[i];
      starts_per_s += room.starts_per_s[i];
    }
  starts_per_s = MAX (starts_per_s, room.ends_per_s);
  return n_ahead > n_own
         && n_ahead * USEC_PER_SEC
                > (batch->end_by_us - now_us) * MAX (starts_per_s, 1);
}

void
owner_expire_batches (struct owner *owner, gint64 now_us)
{
  g_autoptr (GPtrArray) expired = g_ptr_array_new ();
  struct list_node *node;
  struct list_node *after;

  demote_late (owner, now_us);
  return_misfits (owner);
  list_for_each (node, after, &owner->queue)
    {
      struct batch *batch = list_entry (node, struct batch, link);

      if (batch->n_started == 0
          && (batch->end_by_us <= now_us
              || is_hopeless (owner, batch, now_us)))
        g_ptr_array_add (expired, batch);
    }
  for (guint i = 0; i < expired->len; i++)
    owner_stop_batch (owner, g_ptr_array_index (expired, i),
                      "no room before its deadline", now_us);
}
